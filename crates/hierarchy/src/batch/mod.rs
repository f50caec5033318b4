//! Batches of topology changes: what they contain, what bounds them, and why one is rejected.
//!
//! [`ChangeBatch::apply`] depends on the batch and the topology alone, so that all routers decide alike.

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
        /// Where it fills from; empty for an origin.
        sources: Vec<Source>,
    },
    /// Removes a node that no other node lists as a source any more.
    Remove {
        /// The node to remove.
        #[serde(with = "id_as_number")]
        node: NodeId,
    },
    /// Moves a node to another site and gives it the sources to use there.
    Move {
        /// The node that moves.
        #[serde(with = "id_as_number")]
        node: NodeId,
        /// Its new site.
        site: u32,
        /// Its new sources.
        sources: Vec<Source>,
    },
    /// Puts a new node in place of another one in all source lists. The old node starts to retire.
    Replace {
        /// The node that retires.
        #[serde(with = "id_as_number")]
        old: NodeId,
        /// The node that takes over, with the sources of the old one.
        new: Node,
    },
    /// Gives a node other sources or other ranks.
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
    /// The node that the change is about and the sources that it lists.
    fn referenced_nodes(&self) -> (NodeId, &[Source]) {
        match self {
            Self::Add { node, sources } => (node.id, sources),
            Self::Move { node, sources, .. } | Self::Rerank { node, sources } => (*node, sources),
            Self::Remove { node } | Self::Retire { node, .. } => (*node, &[]),
            Self::Replace { new, .. } => (new.id, &[]),
        }
    }
}

/// Changes that take effect together or not at all.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeBatch {
    /// Its name.
    #[serde(rename = "serial")]
    pub id: BatchId,
    /// Its Lamport timestamp, above that of every batch in its basis.
    pub stamp: u64,
    /// The newest batch of each author that its author had seen.
    pub basis: VersionVector,
    /// When it takes effect, in milliseconds of Unix time. All routers count the rollout stages from here.
    #[serde(rename = "at")]
    pub effective_at: f64,
    /// The changes, in the order in which they are applied.
    pub changes: Vec<Change>,
}

impl ChangeBatch {
    /// Its place in the total order.
    pub fn position(&self) -> BatchPosition {
        BatchPosition::new(self.stamp, self.id)
    }

    /// Whether its author had seen the batch at that place.
    fn has_seen(&self, other: BatchPosition) -> bool {
        let other = other.batch_id();
        let is_own_earlier = other.author == self.id.author && other.number < self.id.number;
        // The initial contents of a topology belong to no author.
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

    /// Whether all its figures are finite numbers.
    pub fn has_finite_figures(&self) -> bool {
        self.effective_at.is_finite()
            && self.changes.iter().all(|change| match change {
                Change::Add { node, .. } | Change::Replace { new: node, .. } => node.capacity.is_finite(),
                _ => true,
            })
    }
}

/// Bounds on batches and on the topology that they make, so that no author can exhaust a router's memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BatchLimits {
    /// Changes of a batch.
    pub max_changes: usize,
    /// Sources of a node.
    pub max_sources: usize,
    /// Nodes of the topology.
    pub max_nodes: usize,
    /// Authors whose batches are accepted.
    pub max_authors: usize,
}

impl Default for BatchLimits {
    fn default() -> Self {
        Self { max_changes: 200_000, max_sources: 32, max_nodes: 200_000, max_authors: 64 }
    }
}

/// Why a batch is not applied. All routers that have received the same batches agree on it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BatchRejection {
    /// A change refers to a node that does not exist.
    #[error("node {} is not in the shape", NodeLabel(*.0))]
    UnknownNode(NodeId),
    /// A node to add exists already.
    #[error("node {} is in the shape already", NodeLabel(*.0))]
    NodeExists(NodeId),
    /// A node to remove is still listed as a source.
    #[error("node {} is still a source of others", NodeLabel(*.0))]
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
    #[error("no origin would be left")]
    NoOrigin,
    /// A concurrent batch has written the same node or the same source list.
    #[error("node {} was changed by batch {by}, which this one was not planned on", NodeLabel(*.node))]
    Conflict {
        /// The node.
        node: NodeId,
        /// The concurrent batch.
        by: BatchId,
    },
    /// The batch or the topology would exceed a bound of [`BatchLimits`], with what it counts.
    #[error("more than {0} {1}")]
    LimitExceeded(usize, &'static str),
    /// A capacity is not a positive number.
    #[error("node {} has a capacity that is no positive number", NodeLabel(*.0))]
    InvalidCapacity(NodeId),
}

/// Names a node in error messages, in a form that scripts read and that is independent of type names.
struct NodeLabel(NodeId);

impl fmt::Display for NodeLabel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "CacheId({})", self.0 .0)
    }
}
