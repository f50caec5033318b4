//! Owns the batches heard, in the one order that all routers share, and the shape that they make.
//!
//! A batch that comes late is put where it belongs: those after it are taken back and applied again. So the
//! shape follows from the set of batches alone, whatever the order in which they were heard. Must never apply
//! a batch before those that it was planned on, nor keep more than its bounds.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::batch::{
    AuthorId, BatchId, BatchLimits, BatchPosition, BatchRejection, Change, ChangeBatch, VersionVector,
};
use crate::topology::{id, Node, NodeId, Source, Topology, UndoStep};

/// How much is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HistoryLimits {
    /// Batches that can still be taken back, to let a late one in before them.
    pub retained_batches: usize,
    /// Batches that wait for one before them.
    pub pending_batches: usize,
}

impl Default for HistoryLimits {
    fn default() -> Self {
        Self { retained_batches: 1_024, pending_batches: 256 }
    }
}

/// What became of a batch that was heard.
#[derive(Debug, Clone, PartialEq)]
pub enum ReceiveOutcome {
    /// It has its place in the history, with those that waited for it.
    Accepted(Vec<BatchId>),
    /// It was heard before.
    Duplicate,
    /// It waits for that batch, which has not been heard yet.
    Pending(BatchId),
    Invalid(BatchError),
}

/// Why a batch can't have a place in the history at all.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BatchError {
    #[error("batch {0} was heard with other content")]
    ConflictingContent(BatchId),
    #[error("its stamp is not above that of batch {0}, on which it was planned")]
    StampTooLow(BatchId),
    #[error("it belongs before what is kept of the history; the shape has to be learned anew")]
    TooOld,
    #[error("too many batches wait for others, or come from too many authors")]
    LimitReached,
    #[error("batches are numbered from 1 on, a stamp is above 0, and figures are numbers")]
    InvalidFigures,
}

/// A batch with its place, and what it did.
#[derive(Debug, Clone)]
struct HistoryEntry {
    batch: ChangeBatch,
    verdict: Result<Vec<UndoStep>, BatchRejection>,
}

/// What is known of an author's batches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
struct Known {
    number: u64,
    stamp: u64,
}

/// The present shape with its place in the history, for a router that has just started.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    records: Vec<SnapshotRecord>,
    known: Vec<(AuthorId, u64, u64)>,
    last: BatchPosition,
}

impl Snapshot {
    /// The stamp of the newest batch in it.
    pub fn version(&self) -> u64 {
        self.known.iter().map(|(.., stamp)| *stamp).max().unwrap_or(0)
    }
}

/// A record as it is handed on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct SnapshotRecord {
    node: Node,
    node_by: BatchPosition,
    sources: Vec<Source>,
    /// Those of them that are in use.
    used: Vec<Id>,
    edges_by: BatchPosition,
}

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct Id(#[serde(with = "id")] NodeId);

#[derive(Debug, Clone, Default)]
pub struct History {
    batch_limits: BatchLimits,
    limits: HistoryLimits,
    shape: Topology,
    entries: Vec<HistoryEntry>,
    /// All up to here is part of the shape for good.
    folded: BatchPosition,
    known: BTreeMap<AuthorId, Known>,
    waiting: BTreeMap<BatchId, ChangeBatch>,
}

impl History {
    pub fn new(batch_limits: BatchLimits, limits: HistoryLimits) -> Self {
        Self { batch_limits, limits, ..Self::default() }
    }

    pub fn topology(&self) -> &Topology {
        &self.shape
    }

    /// The shape, for searches that need room of their own; the answers are those of `shape`.
    pub fn topology_mut(&mut self) -> &mut Topology {
        &mut self.shape
    }

    /// The newest batch of each author: what a plan made now is planned on.
    pub fn basis(&self) -> VersionVector {
        self.known.iter().map(|(author, known)| (*author, known.number)).collect()
    }

    /// A stamp above all that were heard.
    pub fn next_stamp(&self) -> u64 {
        self.known.values().map(|known| known.stamp).max().unwrap_or(0) + 1
    }

    /// The next number of an author.
    pub fn next_number(&self, author: AuthorId) -> u64 {
        self.known.get(&author).map_or(1, |known| known.number + 1)
    }

    /// The stamp of the newest batch: the version of the shape that goes with fills.
    pub fn version(&self) -> u64 {
        self.next_stamp() - 1
    }

    /// Batches that wait for others, with what each waits for.
    pub fn pending(&self) -> impl Iterator<Item = (BatchId, BatchId)> + '_ {
        self.waiting.iter().filter_map(|(batch_id, batch)| Some((*batch_id, self.missing(batch)?)))
    }

    /// The batches kept, in their order, with what became of each.
    pub fn entries(&self) -> impl Iterator<Item = (&ChangeBatch, Result<(), &BatchRejection>)> {
        self.entries.iter().map(|entry| (&entry.batch, entry.verdict.as_ref().map(|_| ())))
    }

    /// What became of a batch that is kept.
    pub fn outcome(&self, batch_id: BatchId) -> Option<Result<(), &BatchRejection>> {
        let found = self.entries.iter().find(|entry| entry.batch.id == batch_id)?;
        Some(found.verdict.as_ref().map(|_| ()))
    }

    /// When the batch with that key takes effect, where it is kept.
    pub fn effective_at(&self, key: BatchPosition) -> Option<f64> {
        let n = self.entries.binary_search_by_key(&key, |entry| entry.batch.position()).ok()?;
        Some(self.entries[n].batch.effective_at)
    }

    /// A batch by that author on the present shape.
    pub fn draft_batch(&self, author: AuthorId, effective_at: f64, changes: Vec<Change>) -> ChangeBatch {
        ChangeBatch {
            id: BatchId { author, number: self.next_number(author) },
            stamp: self.next_stamp(),
            basis: self.basis(),
            effective_at,
            changes,
        }
    }

    /// Takes in a batch, from wherever it comes.
    pub fn receive_batch(&mut self, batch: ChangeBatch) -> ReceiveOutcome {
        match self.admit(&batch) {
            Ok(()) => {}
            Err(heard) => return heard,
        }
        if let Some(missing) = self.missing(&batch) {
            if self.waiting.len() >= self.limits.pending_batches {
                return ReceiveOutcome::Invalid(BatchError::LimitReached);
            }
            self.waiting.insert(batch.id, batch);
            return ReceiveOutcome::Pending(missing);
        }
        let mut taken = vec![batch.id];
        if let Err(wrong) = self.insert(batch) {
            return ReceiveOutcome::Invalid(wrong);
        }
        // Those that waited for it, and those that waited for these.
        while let Some(ready) = self.waiting.values().find(|batch| self.missing(batch).is_none()) {
            let batch_id = ready.id;
            let Some(batch) = self.waiting.remove(&batch_id) else { break };
            if self.insert(batch).is_ok() {
                taken.push(batch_id);
            }
        }
        self.fold();
        ReceiveOutcome::Accepted(taken)
    }

    fn admit(&self, batch: &ChangeBatch) -> Result<(), ReceiveOutcome> {
        let BatchId { author, number } = batch.id;
        if number == 0 || batch.stamp == 0 || !batch.is_readable() {
            return Err(ReceiveOutcome::Invalid(BatchError::InvalidFigures));
        }
        let known = self.known.get(&author);
        if known.is_none() && self.known.len() >= self.batch_limits.max_authors {
            return Err(ReceiveOutcome::Invalid(BatchError::LimitReached));
        }
        let same = |other: &ChangeBatch| match other == batch {
            true => ReceiveOutcome::Duplicate,
            false => ReceiveOutcome::Invalid(BatchError::ConflictingContent(batch.id)),
        };
        if let Some(other) = self.waiting.get(&batch.id) {
            return Err(same(other));
        }
        if known.is_some_and(|known| number <= known.number) {
            let found = self.entries.iter().find(|entry| entry.batch.id == batch.id);
            return Err(found.map_or(ReceiveOutcome::Duplicate, |entry| same(&entry.batch)));
        }
        Ok(())
    }

    /// The first batch that has to be heard before it.
    fn missing(&self, batch: &ChangeBatch) -> Option<BatchId> {
        let BatchId { author, number } = batch.id;
        let lacks = |author: AuthorId, seen: u64| {
            let known = self.known.get(&author).map_or(0, |known| known.number);
            (known < seen).then_some(BatchId { author, number: known + 1 })
        };
        let others = batch.basis.iter().filter(|(other, _)| **other != author);
        lacks(author, number - 1).or_else(|| others.into_iter().find_map(|(author, n)| lacks(*author, *n)))
    }

    /// Gives a batch its place, and applies it and all after it.
    fn insert(&mut self, batch: ChangeBatch) -> Result<(), BatchError> {
        let key = batch.position();
        // Causes come before effects in the one order; an author's batches are in the order of their numbers.
        let own = self.known.get(&batch.id.author).copied().unwrap_or_default();
        if batch.stamp <= own.stamp {
            return Err(BatchError::StampTooLow(BatchId { number: own.number, ..batch.id }));
        }
        let above = |entry: &&HistoryEntry| {
            let batch_id = entry.batch.id;
            entry.batch.stamp >= batch.stamp
                && batch.basis.get(&batch_id.author).is_some_and(|seen| batch_id.number <= *seen)
        };
        if let Some(cause) = self.entries.iter().find(above) {
            return Err(BatchError::StampTooLow(cause.batch.id));
        }
        if key <= self.folded {
            return Err(BatchError::TooOld);
        }
        self.known.insert(batch.id.author, Known { number: batch.id.number, stamp: batch.stamp });
        let at = self.entries.partition_point(|entry| entry.batch.position() < key);
        let mut after = self.entries.split_off(at);
        for entry in after.iter_mut().rev() {
            if let Ok(steps) = &mut entry.verdict {
                self.shape.undo(std::mem::take(steps));
            }
        }
        let later = after.into_iter().map(|entry| entry.batch);
        for batch in std::iter::once(batch).chain(later) {
            let verdict = batch.apply(&mut self.shape, &self.batch_limits);
            self.entries.push(HistoryEntry { batch, verdict });
        }
        Ok(())
    }

    /// Lets go of the oldest batches; what they made stays.
    fn fold(&mut self) {
        let over = self.entries.len().saturating_sub(self.limits.retained_batches);
        for entry in self.entries.drain(..over) {
            self.folded = entry.batch.position();
        }
    }

    /// The changes that take a batch back: to the figures and sources from before it, where these still stand.
    pub fn inverse_changes(&self, batch_id: BatchId) -> Option<Vec<Change>> {
        let entry = self.entries.iter().find(|entry| entry.batch.id == batch_id)?;
        let steps = entry.verdict.as_ref().ok()?;
        // The first record written of each node is the one from before the batch.
        let (mut first, mut wished) = (BTreeMap::new(), BTreeMap::new());
        for step in steps {
            if let UndoStep::RecordWritten(id, before) = step {
                first.entry(*id).or_insert_with(|| before.as_deref());
                let sources = before.as_deref().map(|record| record.edges.iter().map(|edge| edge.source));
                wished.entry(*id).or_insert_with(|| sources.map(Iterator::collect::<Vec<Source>>));
            }
        }
        let (mut back, mut out) = (Vec::new(), Vec::new());
        for (id, before) in first {
            let sources = wished.remove(&id).flatten().unwrap_or_default();
            match (before, self.shape.record(id)) {
                (Some(record), None) => back.insert(0, Change::Add { node: record.node, sources }),
                (Some(record), Some(now)) => {
                    if now.node.site != record.node.site {
                        let site = record.node.site;
                        back.push(Change::Move { node: id, site, sources });
                    } else if now.edges.iter().map(|edge| edge.source).ne(sources.iter().copied()) {
                        back.push(Change::Rerank { node: id, sources });
                    }
                    if now.node.retiring != record.node.retiring {
                        back.push(Change::Retire { node: id, retiring: record.node.retiring });
                    }
                }
                (None, Some(_)) => out.push(Change::Remove { node: id }),
                (None, None) => {}
            }
        }
        back.append(&mut out);
        Some(back)
    }

    /// The present shape, to be handed to a router that has just started.
    pub fn snapshot(&self) -> Snapshot {
        let kin = |record: &crate::topology::NodeRecord| SnapshotRecord {
            node: record.node,
            node_by: record.node_by,
            sources: record.edges.iter().map(|edge| edge.source).collect(),
            used: record.edges.iter().filter(|edge| edge.in_use).map(|e| Id(e.source.node)).collect(),
            edges_by: record.edges_by,
        };
        Snapshot {
            records: self.shape.records().into_iter().map(kin).collect(),
            known: self.known.iter().map(|(author, known)| (*author, known.number, known.stamp)).collect(),
            last: self.entries.last().map_or(self.folded, |entry| entry.batch.position()),
        }
    }

    /// Begins again from another router's shape. What that router had not heard is lost here too, unless it is
    /// heard again; what is older than its last batch can't be taken in any more.
    pub fn restore_snapshot(&mut self, snapshot: Snapshot) -> Result<(), BatchRejection> {
        let mut shape = Topology::default();
        let steps = &mut Vec::new();
        if snapshot.records.len() > self.batch_limits.max_nodes {
            return Err(BatchRejection::LimitExceeded(self.batch_limits.max_nodes, "nodes"));
        }
        for kin in &snapshot.records {
            shape.put(kin.node, kin.node_by, steps);
        }
        for kin in &snapshot.records {
            let unknown = kin.sources.iter().find(|source| shape.record(source.node).is_none());
            if let Some(source) = unknown {
                return Err(BatchRejection::UnknownNode(source.node));
            }
            shape.put_used(kin.node.id, &kin.sources, kin.edges_by, |id| kin.used.contains(&Id(id)));
        }
        self.shape = shape;
        self.entries.clear();
        self.folded = snapshot.last;
        self.known =
            snapshot.known.into_iter().map(|(a, number, stamp)| (a, Known { number, stamp })).collect();
        let known = &self.known;
        self.waiting
            .retain(|batch_id, _| known.get(&batch_id.author).is_none_or(|k| batch_id.number > k.number));
        Ok(())
    }
}
