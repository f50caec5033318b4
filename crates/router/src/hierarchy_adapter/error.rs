//! The errors of changes and snapshots of the hierarchy.

use std::fmt;

use linnethook_hierarchy::plan::PlanError;
use linnethook_hierarchy::{BatchError, BatchId, BatchRejection};

/// Why a change of the hierarchy was not applied, or a snapshot not restored. Commands print the text.
#[derive(Debug, Clone, PartialEq)]
pub enum HierarchyError {
    /// A change of the batch, or the snapshot, violates a constraint of the hierarchy.
    Rejected(BatchRejection),
    /// The batch can't be placed in the history.
    Invalid(BatchError),
    /// The batch is pending, as this batch, which it depends on, has not been received.
    MissingBatch(BatchId),
    /// The effect of the changes can't be computed.
    Plan(PlanError),
    /// The batch to roll back is not retained, or was rejected.
    NotRetained {
        /// The author of the batch.
        author: u16,
        /// Its number.
        number: u64,
    },
    /// The snapshot can't be decoded.
    SnapshotFormat(postcard::Error),
    /// The snapshot is older than this router's hierarchy.
    SnapshotOutdated {
        /// The version of the snapshot.
        snapshot: u64,
        /// The version of this router's hierarchy.
        own: u64,
    },
}

impl fmt::Display for HierarchyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Rejected(rejection) => rejection.fmt(f),
            Self::Invalid(error) => error.fmt(f),
            Self::MissingBatch(missing) => {
                let (number, author) = (missing.number, missing.author.0);
                write!(f, "the batch is pending until batch {number} of author {author} is received")
            }
            Self::Plan(error) => error.fmt(f),
            Self::NotRetained { author, number } => {
                write!(f, "no such batch: {author}/{number} is not retained, or was not applied")
            }
            Self::SnapshotFormat(error) => write!(f, "hierarchy snapshot can't be decoded: {error}"),
            Self::SnapshotOutdated { snapshot, own } => {
                write!(
                    f,
                    "hierarchy snapshot is at version {snapshot}, expected at least {own} as at this router"
                )
            }
        }
    }
}

impl std::error::Error for HierarchyError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Rejected(rejection) => Some(rejection),
            Self::Invalid(error) => Some(error),
            Self::Plan(error) => Some(error),
            Self::SnapshotFormat(error) => Some(error),
            Self::MissingBatch(_) | Self::NotRetained { .. } | Self::SnapshotOutdated { .. } => None,
        }
    }
}

impl From<BatchRejection> for HierarchyError {
    fn from(rejection: BatchRejection) -> Self {
        Self::Rejected(rejection)
    }
}

impl From<BatchError> for HierarchyError {
    fn from(error: BatchError) -> Self {
        Self::Invalid(error)
    }
}

impl From<PlanError> for HierarchyError {
    fn from(error: PlanError) -> Self {
        Self::Plan(error)
    }
}

impl From<postcard::Error> for HierarchyError {
    fn from(error: postcard::Error) -> Self {
        Self::SnapshotFormat(error)
    }
}
