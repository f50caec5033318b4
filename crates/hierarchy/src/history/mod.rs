//! The batches received, in the total order that all routers share, and the topology that results from them.
//!
//! A late batch is inserted at its position: the batches after it are undone and applied again. The topology
//! therefore depends only on the set of batches, not on the order in which they were received. A batch is
//! applied only after the batches that it is based on.

use std::collections::BTreeMap;

use crate::batch::{BatchLimits, BatchRejection, Change, ChangeBatch};
use crate::topology::{Topology, UndoLog};
use crate::version::{AuthorId, BatchId, BatchPosition, VersionVector};

mod inverse;
mod snapshot;

pub use self::snapshot::Snapshot;

/// Bounds on the size of a history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HistoryLimits {
    /// Maximum number of batches in the history that can still be undone to insert a late one before them.
    pub retained_batches: usize,
    /// Maximum number of batches that are pending until a batch that they depend on is received.
    pub pending_batches: usize,
}

impl Default for HistoryLimits {
    fn default() -> Self {
        Self { retained_batches: 1_024, pending_batches: 256 }
    }
}

/// The result of receiving a batch.
#[derive(Debug, Clone, PartialEq)]
pub enum ReceiveOutcome {
    /// It was inserted into the history, and so were the pending batches that follow it in the list.
    Accepted(Vec<BatchId>),
    /// It was received before.
    Duplicate,
    /// It is pending until that batch is received.
    Pending(BatchId),
    /// It can't be inserted into the history.
    Invalid(BatchError),
}

/// Why a batch can't be inserted into the history.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BatchError {
    /// A batch with the same id but different content was received before.
    #[error("batch {0} was received before with different content")]
    ConflictingContent(BatchId),
    /// Its timestamp is not above that of its author's previous batch or of a batch in its basis.
    #[error(
        "batch {batch} has timestamp {stamp}, expected more than {dependency_stamp}, the timestamp of \
             batch {dependency} on which it depends"
    )]
    StampTooLow {
        /// The rejected batch.
        batch: BatchId,
        /// Its timestamp.
        stamp: u64,
        /// A batch that it depends on.
        dependency: BatchId,
        /// The timestamp of that batch.
        dependency_stamp: u64,
    },
    /// Its position is before the batches that can still be undone.
    #[error(
        "batch {batch} with timestamp {stamp} is older than the retained history, which begins after \
             timestamp {truncated_stamp}; the topology has to be restored from a snapshot"
    )]
    TooOld {
        /// The rejected batch.
        batch: BatchId,
        /// Its timestamp.
        stamp: u64,
        /// The timestamp of the newest batch that can no longer be undone.
        truncated_stamp: u64,
    },
    /// A bound on pending batches or on authors is reached.
    #[error("batch {batch} was not stored: the limit of {limit} {items} is reached")]
    LimitReached {
        /// The rejected batch.
        batch: BatchId,
        /// The bound.
        limit: usize,
        /// What is limited.
        items: &'static str,
    },
    /// Its number is zero.
    #[error("batch {0} has number 0, expected at least 1")]
    ZeroNumber(BatchId),
    /// Its timestamp is zero.
    #[error("batch {0} has timestamp 0, expected at least 1")]
    ZeroStamp(BatchId),
    /// A time or capacity is not finite.
    #[error("batch {0} has a time or a capacity that is not finite")]
    NonFiniteValue(BatchId),
}

/// A batch in the history, and the result of applying it.
#[derive(Debug, Clone)]
struct HistoryEntry {
    batch: ChangeBatch,
    result: Result<UndoLog, BatchRejection>,
}

/// The newest batch of an author.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct AuthorProgress {
    number: u64,
    stamp: u64,
}

/// All batches received, and the topology that results from them.
#[derive(Debug, Clone, Default)]
pub struct History {
    batch_limits: BatchLimits,
    limits: HistoryLimits,
    topology: Topology,
    entries: Vec<HistoryEntry>,
    /// Batches up to this position can no longer be undone.
    truncated_at: BatchPosition,
    authors: BTreeMap<AuthorId, AuthorProgress>,
    pending: BTreeMap<BatchId, ChangeBatch>,
}

impl History {
    /// An empty history.
    pub fn new(batch_limits: BatchLimits, limits: HistoryLimits) -> Self {
        Self { batch_limits, limits, ..Self::default() }
    }

    /// The current topology.
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// The current topology, for searches that need its scratch space. They don't change the topology itself.
    pub fn topology_mut(&mut self) -> &mut Topology {
        &mut self.topology
    }

    /// The newest batch of each author: the basis of a batch drafted now.
    pub fn basis(&self) -> VersionVector {
        self.authors.iter().map(|(author, newest)| (*author, newest.number)).collect()
    }

    /// A timestamp above those of all batches received.
    pub fn next_stamp(&self) -> u64 {
        self.authors.values().map(|newest| newest.stamp).max().unwrap_or(0) + 1
    }

    /// The number of an author's next batch.
    pub fn next_number(&self, author: AuthorId) -> u64 {
        self.authors.get(&author).map_or(1, |newest| newest.number + 1)
    }

    /// The timestamp of the newest batch: the version of the topology that fills carry.
    pub fn version(&self) -> u64 {
        self.next_stamp() - 1
    }

    /// Pending batches, each with the first batch that has to be received before it.
    pub fn pending(&self) -> impl Iterator<Item = (BatchId, BatchId)> + '_ {
        self.pending.iter().filter_map(|(id, batch)| Some((*id, self.missing_dependency(batch)?)))
    }

    /// The retained batches in their order, each with the result of applying it.
    pub fn entries(&self) -> impl Iterator<Item = (&ChangeBatch, Result<(), &BatchRejection>)> {
        self.entries.iter().map(|entry| (&entry.batch, entry.result.as_ref().map(|_| ())))
    }

    /// The result of applying a batch, if it is retained.
    pub fn outcome(&self, id: BatchId) -> Option<Result<(), &BatchRejection>> {
        self.entry(id).map(|entry| entry.result.as_ref().map(|_| ()))
    }

    /// When the batch at that position takes effect, in milliseconds of Unix time; `None` if it is not
    /// retained.
    pub fn effective_at(&self, position: BatchPosition) -> Option<f64> {
        let index = self.entries.binary_search_by_key(&position, |entry| entry.batch.position()).ok()?;
        Some(self.entries[index].batch.effective_at)
    }

    /// Drafts a batch by `author` that is based on all batches received so far.
    pub fn draft_batch(&self, author: AuthorId, effective_at: f64, changes: Vec<Change>) -> ChangeBatch {
        ChangeBatch {
            id: BatchId { author, number: self.next_number(author) },
            stamp: self.next_stamp(),
            basis: self.basis(),
            effective_at,
            changes,
        }
    }

    /// Receives a batch: inserts it, or retains it as pending until the batches that it depends on are
    /// received.
    pub fn receive_batch(&mut self, batch: ChangeBatch) -> ReceiveOutcome {
        if let Some(outcome) = self.outcome_without_insertion(&batch) {
            return outcome;
        }
        if let Some(missing) = self.missing_dependency(&batch) {
            if self.pending.len() >= self.limits.pending_batches {
                let (limit, items) = (self.limits.pending_batches, "pending batches");
                return ReceiveOutcome::Invalid(BatchError::LimitReached { batch: batch.id, limit, items });
            }
            self.pending.insert(batch.id, batch);
            return ReceiveOutcome::Pending(missing);
        }
        let mut accepted = vec![batch.id];
        if let Err(error) = self.insert(batch) {
            return ReceiveOutcome::Invalid(error);
        }
        // Pending batches that depend on this one, directly or through others.
        while let Some(ready) = self.pending.values().find(|batch| self.missing_dependency(batch).is_none()) {
            let id = ready.id;
            let Some(batch) = self.pending.remove(&id) else { break };
            if self.insert(batch).is_ok() {
                accepted.push(id);
            }
        }
        self.truncate();
        ReceiveOutcome::Accepted(accepted)
    }

    fn entry(&self, id: BatchId) -> Option<&HistoryEntry> {
        self.entries.iter().find(|entry| entry.batch.id == id)
    }

    /// The outcome of a batch that is invalid or was received before; `None` for any other.
    fn outcome_without_insertion(&self, batch: &ChangeBatch) -> Option<ReceiveOutcome> {
        let BatchId { author, number } = batch.id;
        if let Some(error) = invalid_value(batch) {
            return Some(ReceiveOutcome::Invalid(error));
        }
        let newest = self.authors.get(&author);
        if newest.is_none() && self.authors.len() >= self.batch_limits.max_authors {
            let (limit, items) = (self.batch_limits.max_authors, "authors");
            return Some(ReceiveOutcome::Invalid(BatchError::LimitReached { batch: batch.id, limit, items }));
        }
        let compare = |received: &ChangeBatch| match received == batch {
            true => ReceiveOutcome::Duplicate,
            false => ReceiveOutcome::Invalid(BatchError::ConflictingContent(batch.id)),
        };
        if let Some(received) = self.pending.get(&batch.id) {
            return Some(compare(received));
        }
        if newest.is_some_and(|newest| number <= newest.number) {
            let entry = self.entry(batch.id);
            return Some(entry.map_or(ReceiveOutcome::Duplicate, |entry| compare(&entry.batch)));
        }
        None
    }

    /// The first missing batch that has to be received before this one.
    fn missing_dependency(&self, batch: &ChangeBatch) -> Option<BatchId> {
        let BatchId { author, number } = batch.id;
        let first_missing = |author: AuthorId, required: u64| {
            let newest = self.authors.get(&author).map_or(0, |newest| newest.number);
            (newest < required).then_some(BatchId { author, number: newest + 1 })
        };
        let mut other_authors = batch.basis.iter().filter(|(other, _)| **other != author);
        first_missing(author, number - 1)
            .or_else(|| other_authors.find_map(|(other, number)| first_missing(*other, *number)))
    }

    /// Inserts a batch at its position, and applies it and all batches after it.
    fn insert(&mut self, batch: ChangeBatch) -> Result<(), BatchError> {
        self.check_position(&batch)?;
        let newest = AuthorProgress { number: batch.id.number, stamp: batch.stamp };
        self.authors.insert(batch.id.author, newest);
        let position = batch.position();
        let index = self.entries.partition_point(|entry| entry.batch.position() < position);
        let mut later = self.entries.split_off(index);
        for entry in later.iter_mut().rev() {
            if let Ok(undo_log) = &mut entry.result {
                self.topology.undo(std::mem::take(undo_log));
            }
        }
        self.apply(batch);
        later.into_iter().for_each(|entry| self.apply(entry.batch));
        Ok(())
    }

    /// Checks that the batch is ordered after the batches that it depends on and after the truncated ones.
    fn check_position(&self, batch: &ChangeBatch) -> Result<(), BatchError> {
        let newest = self.authors.get(&batch.id.author).copied().unwrap_or_default();
        if batch.stamp <= newest.stamp {
            let dependency = BatchId { number: newest.number, ..batch.id };
            return Err(stamp_too_low(batch, dependency, newest.stamp));
        }
        let is_dependency_not_before = |entry: &&HistoryEntry| {
            let id = entry.batch.id;
            let is_in_basis = batch.basis.get(&id.author).is_some_and(|seen| id.number <= *seen);
            entry.batch.stamp >= batch.stamp && is_in_basis
        };
        if let Some(dependency) = self.entries.iter().find(is_dependency_not_before) {
            return Err(stamp_too_low(batch, dependency.batch.id, dependency.batch.stamp));
        }
        if batch.position() <= self.truncated_at {
            let truncated_stamp = self.truncated_at.stamp;
            return Err(BatchError::TooOld { batch: batch.id, stamp: batch.stamp, truncated_stamp });
        }
        Ok(())
    }

    fn apply(&mut self, batch: ChangeBatch) {
        let result = batch.apply(&mut self.topology, &self.batch_limits);
        self.entries.push(HistoryEntry { batch, result });
    }

    /// Drops the oldest batches beyond the bound. Their changes remain in the topology.
    fn truncate(&mut self) {
        let excess = self.entries.len().saturating_sub(self.limits.retained_batches);
        for entry in self.entries.drain(..excess) {
            self.truncated_at = entry.batch.position();
        }
    }
}

fn invalid_value(batch: &ChangeBatch) -> Option<BatchError> {
    match (batch.id.number, batch.stamp) {
        (0, _) => Some(BatchError::ZeroNumber(batch.id)),
        (_, 0) => Some(BatchError::ZeroStamp(batch.id)),
        _ if !batch.has_finite_values() => Some(BatchError::NonFiniteValue(batch.id)),
        _ => None,
    }
}

fn stamp_too_low(batch: &ChangeBatch, dependency: BatchId, dependency_stamp: u64) -> BatchError {
    BatchError::StampTooLow { batch: batch.id, stamp: batch.stamp, dependency, dependency_stamp }
}
