//! The batches received, in the total order that all routers share, and the topology that they make.
//!
//! A late batch is inserted at its place: the batches after it are undone and applied again. The topology therefore
//! follows from the set of batches alone, whatever the order in which they arrived. A batch is applied only after
//! the batches that it is based on.

use std::collections::BTreeMap;

use crate::batch::{BatchLimits, BatchRejection, Change, ChangeBatch};
use crate::topology::{Topology, UndoLog};
use crate::version::{AuthorId, BatchId, BatchPosition, VersionVector};

mod inverse;
mod snapshot;

pub use self::snapshot::Snapshot;

/// Bounds on what a history stores.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HistoryLimits {
    /// Applied batches that can still be undone to insert a late one before them.
    pub retained_batches: usize,
    /// Batches that wait for a batch they depend on.
    pub pending_batches: usize,
}

impl Default for HistoryLimits {
    fn default() -> Self {
        Self { retained_batches: 1_024, pending_batches: 256 }
    }
}

/// What became of a batch that was received.
#[derive(Debug, Clone, PartialEq)]
pub enum ReceiveOutcome {
    /// It has its place in the history, and so have the pending batches named after it.
    Accepted(Vec<BatchId>),
    /// It was received before.
    Duplicate,
    /// It waits for that batch.
    Pending(BatchId),
    /// It can't have a place in the history.
    Invalid(BatchError),
}

/// Why a batch can't have a place in the history at all.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BatchError {
    /// A batch of the same name but with other content was received before.
    #[error("batch {0} was heard with other content")]
    ConflictingContent(BatchId),
    /// Its timestamp is not above that of a batch in its basis.
    #[error("its stamp is not above that of batch {0}, on which it was planned")]
    StampTooLow(BatchId),
    /// Its place lies before the batches that can still be undone.
    #[error("it belongs before what is kept of the history; the shape has to be learned anew")]
    TooOld,
    /// A bound on pending batches or on authors is reached.
    #[error("too many batches wait for others, or come from too many authors")]
    LimitReached,
    /// A number or timestamp is zero, or a figure is not finite.
    #[error("batches are numbered from 1 on, a stamp is above 0, and figures are numbers")]
    InvalidFigures,
}

/// A batch at its place, and the result of applying it.
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

/// All batches received, and the topology that they make.
#[derive(Debug, Clone, Default)]
pub struct History {
    batch_limits: BatchLimits,
    limits: HistoryLimits,
    topology: Topology,
    entries: Vec<HistoryEntry>,
    /// Batches up to this place can't be undone any more.
    truncated_at: BatchPosition,
    authors: BTreeMap<AuthorId, AuthorProgress>,
    pending: BTreeMap<BatchId, ChangeBatch>,
}

impl History {
    /// An empty history.
    pub fn new(batch_limits: BatchLimits, limits: HistoryLimits) -> Self {
        Self { batch_limits, limits, ..Self::default() }
    }

    /// The present topology.
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// The present topology, for searches that use its scratch space. They don't change its answers.
    pub fn topology_mut(&mut self) -> &mut Topology {
        &mut self.topology
    }

    /// The newest batch of each author: the basis of a batch drafted now.
    pub fn basis(&self) -> VersionVector {
        self.authors.iter().map(|(author, newest)| (*author, newest.number)).collect()
    }

    /// A timestamp above all that were received.
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

    /// Pending batches, each with the batch that it waits for.
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

    /// When the batch at that place takes effect, in milliseconds of Unix time, if it is retained.
    pub fn effective_at(&self, position: BatchPosition) -> Option<f64> {
        let index = self.entries.binary_search_by_key(&position, |entry| entry.batch.position()).ok()?;
        Some(self.entries[index].batch.effective_at)
    }

    /// A batch by that author, based on everything received so far.
    pub fn draft_batch(&self, author: AuthorId, effective_at: f64, changes: Vec<Change>) -> ChangeBatch {
        ChangeBatch {
            id: BatchId { author, number: self.next_number(author) },
            stamp: self.next_stamp(),
            basis: self.basis(),
            effective_at,
            changes,
        }
    }

    /// Receives a batch from any source.
    pub fn receive_batch(&mut self, batch: ChangeBatch) -> ReceiveOutcome {
        if let Some(outcome) = self.outcome_without_insertion(&batch) {
            return outcome;
        }
        if let Some(missing) = self.missing_dependency(&batch) {
            if self.pending.len() >= self.limits.pending_batches {
                return ReceiveOutcome::Invalid(BatchError::LimitReached);
            }
            self.pending.insert(batch.id, batch);
            return ReceiveOutcome::Pending(missing);
        }
        let mut accepted = vec![batch.id];
        if let Err(error) = self.insert(batch) {
            return ReceiveOutcome::Invalid(error);
        }
        // Batches that waited for this one, and those that waited for these in turn.
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
        if number == 0 || batch.stamp == 0 || !batch.has_finite_figures() {
            return Some(ReceiveOutcome::Invalid(BatchError::InvalidFigures));
        }
        let newest = self.authors.get(&author);
        if newest.is_none() && self.authors.len() >= self.batch_limits.max_authors {
            return Some(ReceiveOutcome::Invalid(BatchError::LimitReached));
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

    /// The first batch that has to be received before this one.
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

    /// Inserts a batch at its place, and applies it and all batches after it.
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

    /// Checks that the batch comes after the batches that it is based on, and not before the truncated ones.
    fn check_position(&self, batch: &ChangeBatch) -> Result<(), BatchError> {
        let newest = self.authors.get(&batch.id.author).copied().unwrap_or_default();
        if batch.stamp <= newest.stamp {
            return Err(BatchError::StampTooLow(BatchId { number: newest.number, ..batch.id }));
        }
        let is_later_dependency = |entry: &&HistoryEntry| {
            let id = entry.batch.id;
            let is_in_basis = batch.basis.get(&id.author).is_some_and(|seen| id.number <= *seen);
            entry.batch.stamp >= batch.stamp && is_in_basis
        };
        if let Some(dependency) = self.entries.iter().find(is_later_dependency) {
            return Err(BatchError::StampTooLow(dependency.batch.id));
        }
        if batch.position() <= self.truncated_at {
            return Err(BatchError::TooOld);
        }
        Ok(())
    }

    fn apply(&mut self, batch: ChangeBatch) {
        let result = batch.apply(&mut self.topology, &self.batch_limits);
        self.entries.push(HistoryEntry { batch, result });
    }

    /// Drops the oldest batches beyond the bound. Their changes stay.
    fn truncate(&mut self) {
        let excess = self.entries.len().saturating_sub(self.limits.retained_batches);
        for entry in self.entries.drain(..excess) {
            self.truncated_at = entry.batch.position();
        }
    }
}
