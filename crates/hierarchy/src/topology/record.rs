//! The record of a node in the topology, and the undo log of a change.

use xxhash_rust::xxh3::Xxh3;

use crate::node::{Node, NodeId, Source};
use crate::version::BatchPosition;

/// A source of a node, and whether the topology lets fills use it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Edge {
    /// The source as it was written.
    pub source: Source,
    /// Whether fills may use it; an edge that would close a cycle is suspended.
    pub in_use: bool,
}

/// A node with its edges, and the batches that wrote them last.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeRecord {
    /// The node's attributes.
    pub node: Node,
    /// The batch that wrote the attributes.
    pub node_written_by: BatchPosition,
    /// Its sources, sorted by rank and id.
    pub edges: Vec<Edge>,
    /// The batch that wrote the source list.
    pub edges_written_by: BatchPosition,
}

impl NodeRecord {
    /// The sources as they were written, including suspended ones.
    pub fn listed_sources(&self) -> Vec<Source> {
        self.edges.iter().map(|edge| edge.source).collect()
    }

    /// The hash of the attributes and edges, which determine all fills.
    pub(super) fn digest(&self) -> u64 {
        let Node { id, role, site, tier, capacity, retiring } = self.node;
        let mut hash = Xxh3::new();
        hash.update(&id.0.to_le_bytes());
        hash.update(&[role as u8, tier, u8::from(retiring)]);
        hash.update(&site.to_le_bytes());
        hash.update(&capacity.to_bits().to_le_bytes());
        for edge in &self.edges {
            hash.update(&edge.source.rank.to_le_bytes());
            hash.update(&edge.source.node.0.to_le_bytes());
            hash.update(&[u8::from(edge.in_use)]);
        }
        hash.digest()
    }
}

/// An edge that is suspended because it would close a cycle. Edges are resumed in ascending order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SuspendedEdge {
    /// The batch that wrote the edge.
    pub written_by: BatchPosition,
    /// The node whose edge it is.
    pub from: NodeId,
    /// The source at the other end.
    pub source: Source,
}

/// One step of a change, with the data that is needed to undo it.
#[derive(Debug, Clone)]
pub(crate) enum UndoStep {
    /// A record was written or removed; `before` is the earlier record, if the node existed.
    RecordWritten { id: NodeId, before: Option<Box<NodeRecord>> },
    /// An edge was enabled.
    EdgeEnabled { from: NodeId, to: NodeId },
    /// An edge was disabled.
    EdgeDisabled { from: NodeId, to: NodeId },
}

/// The steps of a change, in the order in which they were applied.
#[derive(Debug, Clone, Default)]
pub struct UndoLog(pub(crate) Vec<UndoStep>);
