//! Why a change of the hierarchy was not applied.

use std::fmt;

use linnethook_hierarchy::plan::PlanError;
use linnethook_hierarchy::{BatchError, BatchId, BatchRejection};

/// Why a change of the hierarchy was not applied, or a snapshot not restored. Commands print its text.
#[derive(Debug, Clone, PartialEq)]
pub enum HierarchyError {
    /// A change of the batch, or the snapshot, breaks a rule of the hierarchy.
    Rejected(BatchRejection),
    /// The batch can't have a place in the history.
    Invalid(BatchError),
    /// The batch waits for that one, which has not been received.
    MissingBatch(BatchId),
    /// There is no plan for the changes.
    Plan(PlanError),
    /// The batch to roll back is not retained, or was rejected.
    NotRetained,
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
                write!(f, "it waits for batch {} of author {}", missing.number, missing.author.0)
            }
            Self::Plan(error) => error.fmt(f),
            Self::NotRetained => f.write_str("no such batch is kept, or it was not applied"),
            Self::SnapshotFormat(error) => error.fmt(f),
            Self::SnapshotOutdated { snapshot, own } => {
                write!(f, "it is at version {snapshot}, this router at {own}")
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
            Self::MissingBatch(_) | Self::NotRetained | Self::SnapshotOutdated { .. } => None,
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
