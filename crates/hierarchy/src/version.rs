//! Names of batches, their total order, and the versions that follow from them.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

/// Who writes batches: an operator file, a control socket or a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AuthorId(pub u16);

/// The name of a batch. Each author numbers its own batches from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BatchId {
    /// Who wrote it.
    pub author: AuthorId,
    /// Its number among the author's batches.
    pub number: u64,
}

/// Names a batch in error messages, in a form that scripts read and that is independent of type names.
impl fmt::Display for BatchId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Serial {{ author: Author({}), number: {} }}", self.author.0, self.number)
    }
}

/// The place of a batch in the total order in which all routers apply batches: by Lamport timestamp, then by
/// name. The default is the place before all batches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct BatchPosition {
    /// The Lamport timestamp.
    pub stamp: u64,
    author: u16,
    number: u64,
}

impl BatchPosition {
    /// The place of a batch with that timestamp.
    pub(crate) fn new(stamp: u64, batch_id: BatchId) -> Self {
        Self { stamp, author: batch_id.author.0, number: batch_id.number }
    }

    /// The batch at this place.
    pub fn batch_id(self) -> BatchId {
        BatchId { author: AuthorId(self.author), number: self.number }
    }
}

/// The newest batch number seen of each author.
pub type VersionVector = BTreeMap<AuthorId, u64>;
