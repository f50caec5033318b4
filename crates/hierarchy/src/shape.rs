//! Owns the shape: nodes, the sources that each may fill from, and which of these edges are in use.
//!
//! Every step leaves a [`Step`] in a journal, so that it can be taken back. Must never have a loop among the
//! edges in use, not for a moment either, nor depend on the order in which nodes were stored.

use std::collections::{BTreeSet, HashMap};

use rustc_hash::FxBuildHasher;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::batch::Key;
use crate::order::{Index, Loop, Order};

/// A cache, a parent of any tier, or the origin: the name that the decision module has for it too.
pub use linnethook::interface::EndpointId as NodeId;

/// What a node is in the hierarchy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    Cache,
    Parent,
    /// Has no sources, and every fill may end there.
    Origin,
}

impl Role {
    /// The name that commands print.
    pub fn name(self) -> &'static str {
        match self {
            Self::Cache => "cache",
            Self::Parent => "parent",
            Self::Origin => "origin",
        }
    }
}

/// One node.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Node {
    #[serde(with = "id")]
    pub id: NodeId,
    pub role: Role,
    /// The site or hub at which it stands.
    pub site: u32,
    /// How far from the clients: 0 for caches, more for each tier of parents.
    pub tier: u8,
    /// What it can do, in any unit that is the same for nodes of a tier.
    pub capacity: f64,
    /// Nothing new goes over to it; what fills from it leaves by stages, and until its grace it serves what it
    /// holds.
    pub retiring: bool,
}

/// A place to fill from; lower ranks are asked first, equal ones share by hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Source {
    pub rank: u16,
    #[serde(with = "id")]
    pub node: NodeId,
}

impl Source {
    pub fn new(node: NodeId, rank: u16) -> Self {
        Self { rank, node }
    }
}

/// Ids as plain numbers.
pub(crate) mod id {
    use serde::{Deserialize, Deserializer, Serializer};

    use super::NodeId;

    pub fn serialize<S: Serializer>(id: &NodeId, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_u64(id.0)
    }

    pub fn deserialize<'a, D: Deserializer<'a>>(from: D) -> Result<NodeId, D::Error> {
        u64::deserialize(from).map(NodeId)
    }
}

/// A source as the shape has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Edge {
    pub source: Source,
    /// In use; else suspended, for it would close a loop.
    pub in_use: bool,
}

/// All that is known of a node, and by which batch it was written last.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    pub node: Node,
    pub node_by: Key,
    pub edges: Vec<Edge>,
    pub edges_by: Key,
}

/// An edge that waits for its loop to go, in the order in which they may come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Suspended {
    pub by: Key,
    pub from: NodeId,
    pub source: Source,
}

/// One step of a change, with what is needed to take it back.
#[derive(Debug, Clone)]
pub enum Step {
    /// The node's record before; `None` where there was none.
    Wrote(NodeId, Option<Box<Record>>),
    Linked(NodeId, NodeId),
    Unlinked(NodeId, NodeId),
}

#[derive(Debug, Clone, Default)]
pub struct Shape {
    /// A fixed hasher: nothing may differ between two runs.
    places: HashMap<NodeId, Index, FxBuildHasher>,
    slots: Vec<Option<Record>>,
    ids: Vec<NodeId>,
    /// Places of nodes that are gone, to be used again.
    free: Vec<Index>,
    order: Order,
    /// By source: how many list it, in use or not.
    listed: Vec<u32>,
    suspended: BTreeSet<Suspended>,
    nodes: usize,
    origins: usize,
    digest: u64,
}

impl Shape {
    /// Nodes in the shape.
    pub fn len(&self) -> usize {
        self.nodes
    }

    pub fn is_empty(&self) -> bool {
        self.nodes == 0
    }

    /// Equal for equal shapes, however they came about.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    pub fn record(&self, id: NodeId) -> Option<&Record> {
        self.places.get(&id).and_then(|index| self.slots[*index as usize].as_ref())
    }

    pub fn node(&self, id: NodeId) -> Option<&Node> {
        self.record(id).map(|record| &record.node)
    }

    /// A node's sources in their order, those that are suspended among them; constant time.
    pub fn edges(&self, id: NodeId) -> &[Edge] {
        self.record(id).map_or(&[], |record| &record.edges)
    }

    /// The sources that a fill may use, in their order.
    pub fn sources(&self, id: NodeId) -> impl Iterator<Item = Source> + '_ {
        self.edges(id).iter().filter(|edge| edge.in_use).map(|edge| edge.source)
    }

    /// Whether a fill of `from` may go to `to`.
    pub fn allows(&self, from: NodeId, to: NodeId) -> bool {
        self.edges(from).iter().any(|edge| edge.in_use && edge.source.node == to)
    }

    /// The nodes that fill from it now.
    pub fn children(&self, id: NodeId) -> impl Iterator<Item = NodeId> + '_ {
        let below = self.places.get(&id).map_or(&[][..], |index| self.order.below(*index));
        below.iter().map(|index| self.ids[*index as usize])
    }

    /// Whether any node names it as a source, in use or not.
    pub fn is_listed(&self, id: NodeId) -> bool {
        self.places.get(&id).is_some_and(|index| self.listed[*index as usize] > 0)
    }

    pub fn origins(&self) -> usize {
        self.origins
    }

    /// The edges that wait for a loop to go.
    pub fn suspended(&self) -> impl Iterator<Item = &Suspended> {
        self.suspended.iter()
    }

    /// All records, by id.
    pub fn records(&self) -> Vec<&Record> {
        let mut all: Vec<&Record> = self.slots.iter().flatten().collect();
        all.sort_by_key(|record| record.node.id);
        all
    }

    /// Whether a fill that starts at `from` may come by `to`.
    pub fn reaches(&mut self, from: NodeId, to: NodeId) -> bool {
        match (self.places.get(&from), self.places.get(&to)) {
            (Some(&from), Some(&to)) => self.order.reaches(from, to),
            _ => false,
        }
    }

    /// The loop that an edge would close now.
    pub fn would_loop(&mut self, from: NodeId, to: NodeId) -> Option<Vec<NodeId>> {
        let (from, to) = (*self.places.get(&from)?, *self.places.get(&to)?);
        if self.order.above(from).contains(&to) {
            return None;
        }
        match self.order.link(from, to) {
            Ok(()) => {
                self.order.unlink(from, to);
                None
            }
            Err(Loop(way)) => Some(way.into_iter().map(|index| self.ids[index as usize]).collect()),
        }
    }

    // ---- Steps: what a change is made of.

    /// Writes a node's own figures; its sources stay.
    pub fn put(&mut self, node: Node, by: Key, journal: &mut Vec<Step>) {
        let before = self.record(node.id).cloned();
        let record = match &before {
            Some(record) => Record { node, node_by: by, ..record.clone() },
            None => Record { node, node_by: by, edges: Vec::new(), edges_by: by },
        };
        self.write(node.id, Some(record));
        journal.push(Step::Wrote(node.id, before.map(Box::new)));
    }

    /// Takes a node out. Nothing lists it any more.
    pub fn take_out(&mut self, id: NodeId, by: Key, journal: &mut Vec<Step>) {
        self.put_sources(id, &[], by, journal);
        let before = self.record(id).cloned();
        self.write(id, None);
        journal.push(Step::Wrote(id, before.map(Box::new)));
    }

    /// Gives a node other sources. One that would close a loop is listed but not in use. True where an edge
    /// went out of use, so that a suspended one may come back.
    pub fn put_sources(&mut self, id: NodeId, sources: &[Source], by: Key, journal: &mut Vec<Step>) -> bool {
        let Some(before) = self.record(id).cloned() else { return false };
        let mut sources = sources.to_vec();
        sources.sort_unstable();
        sources.dedup_by_key(|source| source.node);
        let kept = |edge: &Edge| sources.iter().any(|source| source.node == edge.source.node);
        let mut freed = false;
        for edge in before.edges.iter().filter(|edge| edge.in_use) {
            self.unlink(id, edge.source.node, journal);
            freed |= !kept(edge);
        }
        let edges = sources.iter().map(|&source| Edge { source, in_use: false }).collect();
        let record = Record { edges, edges_by: by, ..before.clone() };
        self.write(id, Some(record));
        journal.push(Step::Wrote(id, Some(Box::new(self.without_use(before)))));
        for source in sources {
            self.try_link(id, source.node, journal);
        }
        freed
    }

    /// Gives a node the sources of another router's shape, with only those in use that are so there. One that
    /// would close a loop all the same stays suspended.
    pub fn put_used(&mut self, id: NodeId, sources: &[Source], by: Key, used: impl Fn(NodeId) -> bool) {
        let Some(record) = self.record(id).cloned() else { return };
        let edges = sources.iter().map(|&source| Edge { source, in_use: false }).collect();
        self.write(id, Some(Record { edges, edges_by: by, ..record }));
        for source in sources.iter().filter(|source| used(source.node)) {
            self.try_link(id, source.node, &mut Vec::new());
        }
    }

    /// Lets suspended edges come back whose loop has gone, the oldest first.
    pub fn resume(&mut self, journal: &mut Vec<Step>) {
        for edge in self.suspended.clone() {
            self.try_link(edge.from, edge.source.node, journal);
        }
    }

    /// Takes steps back, the last one first.
    pub fn undo(&mut self, journal: Vec<Step>) {
        for step in journal.into_iter().rev() {
            match step {
                Step::Wrote(id, before) => self.write(id, before.map(|record| *record)),
                Step::Linked(from, to) => self.set_use(from, to, false),
                Step::Unlinked(from, to) => self.set_use(from, to, true),
            }
        }
    }

    fn without_use(&self, mut record: Record) -> Record {
        record.edges.iter_mut().for_each(|edge| edge.in_use = false);
        record
    }

    fn try_link(&mut self, from: NodeId, to: NodeId, journal: &mut Vec<Step>) {
        let (a, b) = (self.place(from), self.place(to));
        if self.order.link(a, b).is_ok() {
            self.order.unlink(a, b);
            self.set_use(from, to, true);
            journal.push(Step::Linked(from, to));
        }
    }

    fn unlink(&mut self, from: NodeId, to: NodeId, journal: &mut Vec<Step>) {
        self.set_use(from, to, false);
        journal.push(Step::Unlinked(from, to));
    }

    /// Takes an edge into use or out of it, in the record, the order and the list of suspended ones alike.
    fn set_use(&mut self, from: NodeId, to: NodeId, in_use: bool) {
        let (a, b) = (self.place(from), self.place(to));
        self.forget(from);
        if let Some(edge) = self.slots[a as usize]
            .as_mut()
            .and_then(|record| record.edges.iter_mut().find(|edge| edge.source.node == to))
        {
            edge.in_use = in_use;
        }
        match in_use {
            // It was found to close no loop, or was in use at this very point of the history.
            true => drop(self.order.link(a, b)),
            false => self.order.unlink(a, b),
        }
        self.learn(from);
    }

    /// Replaces a record. Its edges in use are none, or are in the order already.
    fn write(&mut self, id: NodeId, record: Option<Record>) {
        let place = self.place(id) as usize;
        self.forget(id);
        self.slots[place] = record;
        self.learn(id);
    }

    /// Gives the place of a node back that neither is there nor is named by any other.
    pub fn release(&mut self, id: NodeId) {
        let Some(&index) = self.places.get(&id) else { return };
        let place = index as usize;
        if self.slots[place].is_none() && self.listed[place] == 0 && self.order.is_apart(index) {
            self.places.remove(&id);
            self.free.push(index);
        }
    }

    /// Places in the arena, those of nodes that are gone among them.
    pub fn arena(&self) -> usize {
        self.slots.len()
    }

    /// A node's place in the arena; a new one where it has none.
    fn place(&mut self, id: NodeId) -> Index {
        if let Some(&index) = self.places.get(&id) {
            return index;
        }
        // A place that was given back may stand anywhere in the order: it has no edges.
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.ids.push(id);
            self.listed.push(0);
            self.order.add()
        });
        self.ids[index as usize] = id;
        self.places.insert(id, index);
        index
    }

    /// Takes a record out of all that is counted over the records.
    fn forget(&mut self, id: NodeId) {
        let index = self.places[&id] as usize;
        let Some(record) = self.slots[index].take() else { return };
        self.nodes -= 1;
        self.origins -= usize::from(record.node.role == Role::Origin);
        self.digest = self.digest.wrapping_sub(digest(&record));
        for edge in &record.edges {
            let source = self.place(edge.source.node) as usize;
            self.listed[source] -= 1;
            self.suspended.remove(&Suspended { by: record.edges_by, from: id, source: edge.source });
        }
        self.slots[index] = Some(record);
    }

    fn learn(&mut self, id: NodeId) {
        let index = self.places[&id] as usize;
        let Some(record) = self.slots[index].take() else { return };
        self.nodes += 1;
        self.origins += usize::from(record.node.role == Role::Origin);
        self.digest = self.digest.wrapping_add(digest(&record));
        for edge in &record.edges {
            let source = self.place(edge.source.node) as usize;
            self.listed[source] += 1;
            if !edge.in_use {
                self.suspended.insert(Suspended { by: record.edges_by, from: id, source: edge.source });
            }
        }
        self.slots[index] = Some(record);
    }
}

/// A record's part of the shape's digest, over all that decides about fills.
fn digest(record: &Record) -> u64 {
    let Node { id, role, site, tier, capacity, retiring } = record.node;
    let mut hash = Xxh3::new();
    hash.update(&id.0.to_le_bytes());
    hash.update(&[role as u8, tier, u8::from(retiring)]);
    hash.update(&site.to_le_bytes());
    hash.update(&capacity.to_bits().to_le_bytes());
    for edge in &record.edges {
        hash.update(&edge.source.rank.to_le_bytes());
        hash.update(&edge.source.node.0.to_le_bytes());
        hash.update(&[u8::from(edge.in_use)]);
    }
    hash.digest()
}
