//! Owns the batches heard, in the one order that all routers share, and the shape that they make.
//!
//! A batch that comes late is put where it belongs: those after it are taken back and applied again. So the
//! shape follows from the set of batches alone, whatever the order in which they were heard. Must never apply
//! a batch before those that it was planned on, nor keep more than its bounds.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::batch::{Author, Basis, Batch, Bounds, Change, Key, Refusal, Serial};
use crate::shape::{id, Node, NodeId, Shape, Source, Step};

/// How much is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Kept {
    /// Batches that can still be taken back, to let a late one in before them.
    pub batches: usize,
    /// Batches that wait for one before them.
    pub waiting: usize,
}

impl Default for Kept {
    fn default() -> Self {
        Self { batches: 1_024, waiting: 256 }
    }
}

/// What became of a batch that was heard.
#[derive(Debug, Clone, PartialEq)]
pub enum Heard {
    /// It has its place in the history, with those that waited for it.
    Taken(Vec<Serial>),
    /// It was heard before.
    Repeated,
    /// It waits for that batch, which has not been heard yet.
    Waiting(Serial),
    Unusable(Unusable),
}

/// Why a batch can't have a place in the history at all.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Unusable {
    #[error("batch {0:?} was heard with other content")]
    Contradicts(Serial),
    #[error("its stamp is not above that of batch {0:?}, on which it was planned")]
    Stamp(Serial),
    #[error("it belongs before what is kept of the history; the shape has to be learned anew")]
    TooOld,
    #[error("too many batches wait for others, or come from too many authors")]
    Full,
    #[error("batches are numbered from 1 on, a stamp is above 0, and figures are numbers")]
    Figures,
}

/// A batch with its place, and what it did.
#[derive(Debug, Clone)]
struct Entry {
    batch: Batch,
    verdict: Result<Vec<Step>, Refusal>,
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
    records: Vec<Kin>,
    known: Vec<(Author, u64, u64)>,
    last: Key,
}

impl Snapshot {
    /// The stamp of the newest batch in it.
    pub fn version(&self) -> u64 {
        self.known.iter().map(|(.., stamp)| *stamp).max().unwrap_or(0)
    }
}

/// A record as it is handed on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Kin {
    node: Node,
    node_by: Key,
    sources: Vec<Source>,
    /// Those of them that are in use.
    used: Vec<Id>,
    edges_by: Key,
}

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct Id(#[serde(with = "id")] NodeId);

#[derive(Debug, Clone, Default)]
pub struct History {
    bounds: Bounds,
    kept: Kept,
    shape: Shape,
    entries: Vec<Entry>,
    /// All up to here is part of the shape for good.
    folded: Key,
    known: BTreeMap<Author, Known>,
    waiting: BTreeMap<Serial, Batch>,
}

impl History {
    pub fn new(bounds: Bounds, kept: Kept) -> Self {
        Self { bounds, kept, ..Self::default() }
    }

    pub fn shape(&self) -> &Shape {
        &self.shape
    }

    /// The shape, for searches that need room of their own; the answers are those of `shape`.
    pub fn shape_mut(&mut self) -> &mut Shape {
        &mut self.shape
    }

    /// The newest batch of each author: what a plan made now is planned on.
    pub fn basis(&self) -> Basis {
        self.known.iter().map(|(author, known)| (*author, known.number)).collect()
    }

    /// A stamp above all that were heard.
    pub fn next_stamp(&self) -> u64 {
        self.known.values().map(|known| known.stamp).max().unwrap_or(0) + 1
    }

    /// The next number of an author.
    pub fn next_number(&self, author: Author) -> u64 {
        self.known.get(&author).map_or(1, |known| known.number + 1)
    }

    /// The stamp of the newest batch: the version of the shape that goes with fills.
    pub fn version(&self) -> u64 {
        self.next_stamp() - 1
    }

    /// Batches that wait for others, with what each waits for.
    pub fn waiting(&self) -> impl Iterator<Item = (Serial, Serial)> + '_ {
        self.waiting.iter().filter_map(|(serial, batch)| Some((*serial, self.missing(batch)?)))
    }

    /// The batches kept, in their order, with what became of each.
    pub fn entries(&self) -> impl Iterator<Item = (&Batch, Result<(), &Refusal>)> {
        self.entries.iter().map(|entry| (&entry.batch, entry.verdict.as_ref().map(|_| ())))
    }

    /// What became of a batch that is kept.
    pub fn verdict(&self, serial: Serial) -> Option<Result<(), &Refusal>> {
        let found = self.entries.iter().find(|entry| entry.batch.serial == serial)?;
        Some(found.verdict.as_ref().map(|_| ()))
    }

    /// When the batch with that key takes effect, where it is kept.
    pub fn took_effect(&self, key: Key) -> Option<f64> {
        let n = self.entries.binary_search_by_key(&key, |entry| entry.batch.key()).ok()?;
        Some(self.entries[n].batch.at)
    }

    /// A batch by that author on the present shape.
    pub fn draft(&self, author: Author, at: f64, changes: Vec<Change>) -> Batch {
        Batch {
            serial: Serial { author, number: self.next_number(author) },
            stamp: self.next_stamp(),
            basis: self.basis(),
            at,
            changes,
        }
    }

    /// Takes in a batch, from wherever it comes.
    pub fn hear(&mut self, batch: Batch) -> Heard {
        match self.admit(&batch) {
            Ok(()) => {}
            Err(heard) => return heard,
        }
        if let Some(missing) = self.missing(&batch) {
            if self.waiting.len() >= self.kept.waiting {
                return Heard::Unusable(Unusable::Full);
            }
            self.waiting.insert(batch.serial, batch);
            return Heard::Waiting(missing);
        }
        let mut taken = vec![batch.serial];
        if let Err(wrong) = self.insert(batch) {
            return Heard::Unusable(wrong);
        }
        // Those that waited for it, and those that waited for these.
        while let Some(ready) = self.waiting.values().find(|batch| self.missing(batch).is_none()) {
            let serial = ready.serial;
            let Some(batch) = self.waiting.remove(&serial) else { break };
            if self.insert(batch).is_ok() {
                taken.push(serial);
            }
        }
        self.fold();
        Heard::Taken(taken)
    }

    fn admit(&self, batch: &Batch) -> Result<(), Heard> {
        let Serial { author, number } = batch.serial;
        if number == 0 || batch.stamp == 0 || !batch.is_readable() {
            return Err(Heard::Unusable(Unusable::Figures));
        }
        let known = self.known.get(&author);
        if known.is_none() && self.known.len() >= self.bounds.authors {
            return Err(Heard::Unusable(Unusable::Full));
        }
        let same = |other: &Batch| match other == batch {
            true => Heard::Repeated,
            false => Heard::Unusable(Unusable::Contradicts(batch.serial)),
        };
        if let Some(other) = self.waiting.get(&batch.serial) {
            return Err(same(other));
        }
        if known.is_some_and(|known| number <= known.number) {
            let found = self.entries.iter().find(|entry| entry.batch.serial == batch.serial);
            return Err(found.map_or(Heard::Repeated, |entry| same(&entry.batch)));
        }
        Ok(())
    }

    /// The first batch that has to be heard before it.
    fn missing(&self, batch: &Batch) -> Option<Serial> {
        let Serial { author, number } = batch.serial;
        let lacks = |author: Author, seen: u64| {
            let known = self.known.get(&author).map_or(0, |known| known.number);
            (known < seen).then_some(Serial { author, number: known + 1 })
        };
        let others = batch.basis.iter().filter(|(other, _)| **other != author);
        lacks(author, number - 1).or_else(|| others.into_iter().find_map(|(author, n)| lacks(*author, *n)))
    }

    /// Gives a batch its place, and applies it and all after it.
    fn insert(&mut self, batch: Batch) -> Result<(), Unusable> {
        let key = batch.key();
        // Causes come before effects in the one order; an author's batches are in the order of their numbers.
        let own = self.known.get(&batch.serial.author).copied().unwrap_or_default();
        if batch.stamp <= own.stamp {
            return Err(Unusable::Stamp(Serial { number: own.number, ..batch.serial }));
        }
        let above = |entry: &&Entry| {
            let serial = entry.batch.serial;
            entry.batch.stamp >= batch.stamp
                && batch.basis.get(&serial.author).is_some_and(|seen| serial.number <= *seen)
        };
        if let Some(cause) = self.entries.iter().find(above) {
            return Err(Unusable::Stamp(cause.batch.serial));
        }
        if key <= self.folded {
            return Err(Unusable::TooOld);
        }
        self.known.insert(batch.serial.author, Known { number: batch.serial.number, stamp: batch.stamp });
        let at = self.entries.partition_point(|entry| entry.batch.key() < key);
        let mut after = self.entries.split_off(at);
        for entry in after.iter_mut().rev() {
            if let Ok(steps) = &mut entry.verdict {
                self.shape.undo(std::mem::take(steps));
            }
        }
        let later = after.into_iter().map(|entry| entry.batch);
        for batch in std::iter::once(batch).chain(later) {
            let verdict = batch.apply(&mut self.shape, &self.bounds);
            self.entries.push(Entry { batch, verdict });
        }
        Ok(())
    }

    /// Lets go of the oldest batches; what they made stays.
    fn fold(&mut self) {
        let over = self.entries.len().saturating_sub(self.kept.batches);
        for entry in self.entries.drain(..over) {
            self.folded = entry.batch.key();
        }
    }

    /// The changes that take a batch back: to the figures and sources from before it, where these still stand.
    pub fn inverse(&self, serial: Serial) -> Option<Vec<Change>> {
        let entry = self.entries.iter().find(|entry| entry.batch.serial == serial)?;
        let steps = entry.verdict.as_ref().ok()?;
        // The first record written of each node is the one from before the batch.
        let (mut first, mut wished) = (BTreeMap::new(), BTreeMap::new());
        for step in steps {
            if let Step::Wrote(id, before) = step {
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
        let kin = |record: &crate::shape::Record| Kin {
            node: record.node,
            node_by: record.node_by,
            sources: record.edges.iter().map(|edge| edge.source).collect(),
            used: record.edges.iter().filter(|edge| edge.in_use).map(|e| Id(e.source.node)).collect(),
            edges_by: record.edges_by,
        };
        Snapshot {
            records: self.shape.records().into_iter().map(kin).collect(),
            known: self.known.iter().map(|(author, known)| (*author, known.number, known.stamp)).collect(),
            last: self.entries.last().map_or(self.folded, |entry| entry.batch.key()),
        }
    }

    /// Begins again from another router's shape. What that router had not heard is lost here too, unless it is
    /// heard again; what is older than its last batch can't be taken in any more.
    pub fn adopt(&mut self, snapshot: Snapshot) -> Result<(), Refusal> {
        let mut shape = Shape::default();
        let steps = &mut Vec::new();
        if snapshot.records.len() > self.bounds.nodes {
            return Err(Refusal::Over(self.bounds.nodes, "nodes"));
        }
        for kin in &snapshot.records {
            shape.put(kin.node, kin.node_by, steps);
        }
        for kin in &snapshot.records {
            let unknown = kin.sources.iter().find(|source| shape.record(source.node).is_none());
            if let Some(source) = unknown {
                return Err(Refusal::Unknown(source.node));
            }
            shape.put_used(kin.node.id, &kin.sources, kin.edges_by, |id| kin.used.contains(&Id(id)));
        }
        self.shape = shape;
        self.entries.clear();
        self.folded = snapshot.last;
        self.known =
            snapshot.known.into_iter().map(|(a, number, stamp)| (a, Known { number, stamp })).collect();
        let known = &self.known;
        self.waiting.retain(|serial, _| known.get(&serial.author).is_none_or(|k| serial.number > k.number));
        Ok(())
    }
}
