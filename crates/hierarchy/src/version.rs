//! The ids of batches, their total order, and version vectors.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

/// The author of batches: an operator file, a control socket or a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AuthorId(pub u16);

/// The id of a batch. Each author numbers its own batches from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BatchId {
    /// The author.
    pub author: AuthorId,
    /// Its number among the author's batches.
    pub number: u64,
}

/// The form of a batch id in error messages. Scripts parse it, so it must not change with the names of types.
impl fmt::Display for BatchId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Serial {{ author: Author({}), number: {} }}", self.author.0, self.number)
    }
}

/// The position of a batch in the total order in which all routers apply batches: by Lamport timestamp, then
/// by id. The default is the position before all batches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct BatchPosition {
    /// The Lamport timestamp.
    pub stamp: u64,
    author: u16,
    number: u64,
}

impl BatchPosition {
    /// The position of a batch with that timestamp.
    pub(crate) fn new(stamp: u64, batch_id: BatchId) -> Self {
        Self { stamp, author: batch_id.author.0, number: batch_id.number }
    }

    /// The id of the batch at this position.
    pub fn batch_id(self) -> BatchId {
        BatchId { author: AuthorId(self.author), number: self.number }
    }
}

/// The newest batch number received of each author.
pub type VersionVector = BTreeMap<AuthorId, u64>;
