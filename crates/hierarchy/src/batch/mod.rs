//! Batches of topology changes: their contents, their limits, and the reasons for a rejection.
//!
//! The result of [`ChangeBatch::apply`] depends only on the batch and the topology, so that it is the same at
//! all routers.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::node::{id_as_number, Node, NodeId, Source};

mod application;

pub use crate::version::{AuthorId, BatchId, BatchPosition, VersionVector};

/// One change of the topology.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a node that does not exist.
    Add {
        /// The new node.
        node: Node,
        /// Its sources; empty for an origin.
        sources: Vec<Source>,
    },
    /// Removes a node that no other node lists as a source.
    Remove {
        /// The node to remove.
        #[serde(with = "id_as_number")]
        node: NodeId,
    },
    /// Moves a node to another site, and replaces its sources.
    Move {
        /// The node that moves.
        #[serde(with = "id_as_number")]
        node: NodeId,
        /// Its new site.
        site: u32,
        /// Its new sources.
        sources: Vec<Source>,
    },
    /// Replaces a node by a new one in all source lists. The old node starts to retire.
    Replace {
        /// The node that retires.
        #[serde(with = "id_as_number")]
        old: NodeId,
        /// The new node, which takes over the sources of the old one.
        new: Node,
    },
    /// Replaces the sources of a node, or changes their ranks.
    Rerank {
        /// The node whose sources change.
        #[serde(with = "id_as_number")]
        node: NodeId,
        /// Its new sources.
        sources: Vec<Source>,
    },
    /// Starts or ends the retirement of a node.
    Retire {
        /// The node.
        #[serde(with = "id_as_number")]
        node: NodeId,
        /// Whether it retires from now on.
        retiring: bool,
    },
}

impl Change {
    /// The node that the change writes and the sources that it lists.
    fn referenced_nodes(&self) -> (NodeId, &[Source]) {
        match self {
            Self::Add { node, sources } => (node.id, sources),
            Self::Move { node, sources, .. } | Self::Rerank { node, sources } => (*node, sources),
            Self::Remove { node } | Self::Retire { node, .. } => (*node, &[]),
            Self::Replace { new, .. } => (new.id, &[]),
        }
    }
}

/// Changes that are applied atomically.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeBatch {
    /// The id of the batch.
    #[serde(rename = "serial")]
    pub id: BatchId,
    /// The Lamport timestamp, above that of every batch in its basis.
    pub stamp: u64,
    /// The newest batch of each author that its author had received.
    pub basis: VersionVector,
    /// When it takes effect, in milliseconds of Unix time. The stages of the rollout are timed from here at
    /// all routers.
    #[serde(rename = "at")]
    pub effective_at: f64,
    /// The changes, in the order in which they are applied.
    pub changes: Vec<Change>,
}

impl ChangeBatch {
    /// The position in the total order.
    pub fn position(&self) -> BatchPosition {
        BatchPosition::new(self.stamp, self.id)
    }

    /// Whether its author had received the batch at the position `other`.
    fn has_received(&self, other: BatchPosition) -> bool {
        let other = other.batch_id();
        let is_own_earlier = other.author == self.id.author && other.number < self.id.number;
        // The initial contents of a topology have no author.
        let is_initial = other.number == 0;
        let is_in_basis = self.basis.get(&other.author).is_some_and(|seen| other.number <= *seen);
        is_own_earlier || is_initial || is_in_basis
    }

    /// The nodes that its changes refer to.
    fn referenced_nodes(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.changes.iter().flat_map(|change| {
            let (node, sources) = change.referenced_nodes();
            sources.iter().map(|source| source.node).chain([node])
        })
    }

    /// Whether its effective time and all capacities are finite.
    pub fn has_finite_values(&self) -> bool {
        self.effective_at.is_finite()
            && self.changes.iter().all(|change| match change {
                Change::Add { node, .. } | Change::Replace { new: node, .. } => node.capacity.is_finite(),
                _ => true,
            })
    }
}

/// Bounds on batches and on the resulting topology, so that no author can exhaust a router's memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BatchLimits {
    /// Maximum number of changes of a batch.
    pub max_changes: usize,
    /// Maximum number of sources of a node.
    pub max_sources: usize,
    /// Maximum number of nodes of the topology.
    pub max_nodes: usize,
    /// Maximum number of authors whose batches are accepted.
    pub max_authors: usize,
}

impl Default for BatchLimits {
    fn default() -> Self {
        Self { max_changes: 200_000, max_sources: 32, max_nodes: 200_000, max_authors: 64 }
    }
}

/// Why a batch is not applied. The reason is the same at all routers that have received the same batches.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum BatchRejection {
    /// A change refers to a node that does not exist.
    #[error("node {} is not in the topology", NodeLabel(*.0))]
    UnknownNode(NodeId),
    /// A node to add exists already.
    #[error("node {} is already in the topology", NodeLabel(*.0))]
    NodeExists(NodeId),
    /// A node to remove is still listed as a source.
    #[error("node {} is still a source of other nodes", NodeLabel(*.0))]
    StillReferenced(NodeId),
    /// A cache or parent would have no source.
    #[error("node {} would have no source", NodeLabel(*.0))]
    NoSource(NodeId),
    /// An origin would have a source.
    #[error("origin {} would have a source", NodeLabel(*.0))]
    OriginWithSource(NodeId),
    /// A node would be its own source.
    #[error("node {} would be its own source", NodeLabel(*.0))]
    SelfReference(NodeId),
    /// The topology would have no origin.
    #[error("the topology would have no origin")]
    NoOrigin,
    /// A concurrent batch has written the attributes or the source list of the same node.
    #[error("node {} was changed by batch {by}, which is not in the basis of this batch", NodeLabel(*.node))]
    Conflict {
        /// The node.
        node: NodeId,
        /// The concurrent batch.
        by: BatchId,
    },
    /// The batch or the topology would exceed a bound of [`BatchLimits`]: the bound, and the items that it
    /// limits.
    #[error("limit exceeded: {got} {items}, expected at most {limit}")]
    LimitExceeded {
        /// What is limited.
        items: &'static str,
        /// Their number.
        got: usize,
        /// The limit.
        limit: usize,
    },
    /// A capacity is not a positive number.
    #[error("node {} has capacity {capacity}, expected a positive number", NodeLabel(*.node))]
    InvalidCapacity {
        /// The node.
        node: NodeId,
        /// Its capacity.
        capacity: f64,
    },
}

/// The form of a node id in error messages. Scripts parse it, so it must not change with the names of types.
struct NodeLabel(NodeId);

impl fmt::Display for NodeLabel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "CacheId({})", self.0 .0)
    }
}
