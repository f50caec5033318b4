//! The topology: nodes, the sources that each may fill from, and which of these edges are in use.
//!
//! The edges in use never contain a cycle. An edge that would close one is suspended until the cycle is
//! broken. Neither the digest nor the result of any query depends on the order in which nodes were stored.

use std::collections::{BTreeSet, HashMap};

use rustc_hash::FxBuildHasher;

mod record;
mod update;

pub(crate) use self::record::UndoStep;
pub use self::record::{Edge, NodeRecord, SuspendedEdge, UndoLog};
use crate::node::{Node, NodeId, Source};
use crate::topological_order::{Cycle, NodeIndex, TopologicalOrder};

/// All nodes with their edges.
#[derive(Debug, Clone, Default)]
pub struct Topology {
    /// Slots by node id. A fixed hasher keeps runs reproducible.
    slots_by_id: HashMap<NodeId, NodeIndex, FxBuildHasher>,
    slots: Vec<Option<NodeRecord>>,
    /// The node id of each slot.
    ids: Vec<NodeId>,
    /// Released slots, to be reused.
    free_slots: Vec<NodeIndex>,
    order: TopologicalOrder,
    /// The number of records that list the node as a source, in use or not, by slot.
    listing_counts: Vec<u32>,
    suspended: BTreeSet<SuspendedEdge>,
    node_count: usize,
    origin_count: usize,
    digest: u64,
}

impl Topology {
    /// Number of nodes.
    pub fn len(&self) -> usize {
        self.node_count
    }

    /// Whether it has no node.
    pub fn is_empty(&self) -> bool {
        self.node_count == 0
    }

    /// Number of origins.
    pub fn origin_count(&self) -> usize {
        self.origin_count
    }

    /// A hash that depends only on the current nodes and edges, not on the changes that led to them.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// A node with its edges.
    pub fn record(&self, id: NodeId) -> Option<&NodeRecord> {
        self.slots_by_id.get(&id).and_then(|index| self.slots[*index as usize].as_ref())
    }

    /// A node's attributes.
    pub fn node(&self, id: NodeId) -> Option<&Node> {
        self.record(id).map(|record| &record.node)
    }

    /// All records, by id.
    pub fn records(&self) -> Vec<&NodeRecord> {
        let mut records: Vec<&NodeRecord> = self.slots.iter().flatten().collect();
        records.sort_by_key(|record| record.node.id);
        records
    }

    /// A node's edges in order of rank, including suspended ones. Takes constant time.
    pub fn edges(&self, id: NodeId) -> &[Edge] {
        self.record(id).map_or(&[], |record| &record.edges)
    }

    /// A node's sources as they were written, including suspended ones.
    pub fn listed_sources(&self, id: NodeId) -> Vec<Source> {
        self.edges(id).iter().map(|edge| edge.source).collect()
    }

    /// The sources that a node's fills may use, in order of rank.
    pub fn sources(&self, id: NodeId) -> impl Iterator<Item = Source> + '_ {
        self.edges(id).iter().filter(|edge| edge.in_use).map(|edge| edge.source)
    }

    /// Whether `from` may fill from `to`.
    pub fn allows(&self, from: NodeId, to: NodeId) -> bool {
        self.edges(from).iter().any(|edge| edge.in_use && edge.source.node == to)
    }

    /// The nodes that may fill from `id`.
    pub fn children(&self, id: NodeId) -> impl Iterator<Item = NodeId> + '_ {
        let children = self.slots_by_id.get(&id).map_or(&[][..], |index| self.order.predecessors(*index));
        children.iter().map(|index| self.ids[*index as usize])
    }

    /// Whether any node lists `id` as a source, in use or not.
    pub fn is_listed(&self, id: NodeId) -> bool {
        self.slots_by_id.get(&id).is_some_and(|index| self.listing_counts[*index as usize] > 0)
    }

    /// The nodes that list `id` as a source, in use or not, sorted by id.
    pub(crate) fn nodes_listing(&self, id: NodeId) -> Vec<NodeId> {
        let lists_node = |record: &&NodeRecord| record.edges.iter().any(|edge| edge.source.node == id);
        self.records().into_iter().filter(lists_node).map(|record| record.node.id).collect()
    }

    /// The edges that are suspended because they would close a cycle.
    pub fn suspended_edges(&self) -> impl Iterator<Item = &SuspendedEdge> {
        self.suspended.iter()
    }

    /// Whether a fill path that starts at `from` may pass `to`. Uses scratch space of the topology.
    pub fn reaches(&mut self, from: NodeId, to: NodeId) -> bool {
        match (self.slots_by_id.get(&from), self.slots_by_id.get(&to)) {
            (Some(&from), Some(&to)) => self.order.reaches(from, to),
            _ => false,
        }
    }

    /// The cycle that an edge would close now, from `to` to `from`; `None` if it would not close one, is in
    /// use already, or a node is unknown. Uses scratch space of the topology.
    pub fn cycle_closed_by(&mut self, from: NodeId, to: NodeId) -> Option<Vec<NodeId>> {
        let (from, to) = (*self.slots_by_id.get(&from)?, *self.slots_by_id.get(&to)?);
        if self.order.successors(from).contains(&to) {
            return None;
        }
        match self.order.insert_edge(from, to) {
            Ok(()) => {
                self.order.remove_edge(from, to);
                None
            }
            Err(Cycle(path)) => Some(path.into_iter().map(|index| self.ids[index as usize]).collect()),
        }
    }

    /// Number of slots, in use or released: a measure of memory use.
    pub fn slot_count(&self) -> usize {
        self.slots.len()
    }
}
