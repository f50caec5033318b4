//! Owns what a change of the hierarchy is: batches of changes, who wrote them, and on what they were planned.
//!
//! Must never look at anything but the batch and the shape that it is applied to: all routers judge alike.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::topology::{id, Node, NodeId, Role, Source, Topology, UndoStep};

/// Who writes batches: an operator's file, a control socket, a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AuthorId(pub u16);

/// A batch's name: each author counts its own from 1 on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BatchId {
    pub author: AuthorId,
    pub number: u64,
}

/// Names a batch in error messages, in a form that does not follow the names of types.
impl fmt::Display for BatchId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Serial {{ author: Author({}), number: {} }}", self.author.0, self.number)
    }
}

/// Names a node in error messages, in a form that does not follow the names of types.
struct NodeLabel(NodeId);

impl fmt::Display for NodeLabel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "CacheId({})", self.0 .0)
    }
}

/// A batch's place in the one order in which all routers apply batches: a Lamport time, then its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct BatchPosition {
    pub stamp: u64,
    author: u16,
    number: u64,
}

impl BatchPosition {
    pub fn batch_id(self) -> BatchId {
        BatchId { author: AuthorId(self.author), number: self.number }
    }
}

/// The newest batch of each author that a plan had seen: the version that it was planned on.
pub type VersionVector = BTreeMap<AuthorId, u64>;

/// One change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// A node that was not there.
    Add { node: Node, sources: Vec<Source> },
    /// A node that nothing lists as a source any more.
    Remove {
        #[serde(with = "id")]
        node: NodeId,
    },
    /// It stands elsewhere from now on, and fills from there.
    Move {
        #[serde(with = "id")]
        node: NodeId,
        site: u32,
        sources: Vec<Source>,
    },
    /// A new node takes another's place wherever that is a source; the old one is left to retire.
    Replace {
        #[serde(with = "id")]
        old: NodeId,
        new: Node,
    },
    /// Other sources, or other ranks.
    Rerank {
        #[serde(with = "id")]
        node: NodeId,
        sources: Vec<Source>,
    },
    /// It is to be left, and serves what it holds until its grace; or, with false, it is back.
    Retire {
        #[serde(with = "id")]
        node: NodeId,
        retiring: bool,
    },
}

/// Changes that take effect together or not at all.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeBatch {
    #[serde(rename = "serial")]
    pub id: BatchId,
    /// Above the stamp of every batch in its basis.
    pub stamp: u64,
    pub basis: VersionVector,
    /// When it takes effect, in milliseconds of Unix time: the stages count from then at all routers.
    #[serde(rename = "at")]
    pub effective_at: f64,
    pub changes: Vec<Change>,
}

/// What a batch may hold, so that none can fill a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BatchLimits {
    pub max_changes: usize,
    pub max_sources: usize,
    pub max_nodes: usize,
    pub max_authors: usize,
}

impl Default for BatchLimits {
    fn default() -> Self {
        Self { max_changes: 200_000, max_sources: 32, max_nodes: 200_000, max_authors: 64 }
    }
}

/// Why a batch is not applied. It is so at every router that has heard the same batches.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BatchRejection {
    #[error("node {} is not in the shape", NodeLabel(*.0))]
    UnknownNode(NodeId),
    #[error("node {} is in the shape already", NodeLabel(*.0))]
    NodeExists(NodeId),
    #[error("node {} is still a source of others", NodeLabel(*.0))]
    StillReferenced(NodeId),
    #[error("node {} would have no source", NodeLabel(*.0))]
    NoSource(NodeId),
    #[error("origin {} would have a source", NodeLabel(*.0))]
    OriginWithSource(NodeId),
    #[error("node {} would be its own source", NodeLabel(*.0))]
    SelfReference(NodeId),
    #[error("no origin would be left")]
    NoOrigin,
    #[error("node {} was changed by batch {by}, which this one was not planned on", NodeLabel(*.node))]
    Conflict { node: NodeId, by: BatchId },
    #[error("more than {0} {1}")]
    LimitExceeded(usize, &'static str),
    #[error("node {} has a capacity that is no positive number", NodeLabel(*.0))]
    InvalidCapacity(NodeId),
}

impl ChangeBatch {
    pub fn position(&self) -> BatchPosition {
        BatchPosition { stamp: self.stamp, author: self.id.author.0, number: self.id.number }
    }

    /// Whether the plan had seen that batch.
    fn knew(&self, other: BatchPosition) -> bool {
        let batch_id = other.batch_id();
        let own = batch_id.author == self.id.author && batch_id.number < self.id.number;
        // What a shape was begun with has no author.
        own || batch_id.number == 0
            || self.basis.get(&batch_id.author).is_some_and(|seen| batch_id.number <= *seen)
    }

    /// Changes the shape, or refuses and leaves it as it was; the steps take it back again.
    ///
    /// A batch is merged with those that it was not planned on as long as none of these has written what it
    /// writes: a node's own figures, or the list of a node's sources. Else it is refused as a whole.
    pub fn apply(&self, shape: &mut Topology, limits: &BatchLimits) -> Result<Vec<UndoStep>, BatchRejection> {
        let mut turn =
            BatchApplication { batch: self, by: self.position(), limits, journal: Vec::new(), freed: false };
        let outcome = turn.all(shape);
        let BatchApplication { mut journal, freed, .. } = turn;
        let verdict = match outcome {
            Ok(()) => {
                if freed {
                    shape.resume(&mut journal);
                }
                Ok(journal)
            }
            Err(refusal) => {
                shape.undo(journal);
                Err(refusal)
            }
        };
        self.named().for_each(|id| shape.release(id));
        verdict
    }

    /// The nodes that its changes name.
    fn named(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.changes.iter().flat_map(|change| {
            let (node, sources) = match change {
                Change::Add { node, sources } => (node.id, &sources[..]),
                Change::Move { node, sources, .. } | Change::Rerank { node, sources } => {
                    (*node, &sources[..])
                }
                Change::Remove { node } | Change::Retire { node, .. } => (*node, &[][..]),
                Change::Replace { new, .. } => (new.id, &[][..]),
            };
            sources.iter().map(|source| source.node).chain([node])
        })
    }

    /// Whether all its figures are numbers.
    pub fn is_readable(&self) -> bool {
        self.effective_at.is_finite()
            && self.changes.iter().all(|change| match change {
                Change::Add { node, .. } | Change::Replace { new: node, .. } => node.capacity.is_finite(),
                _ => true,
            })
    }
}

/// One application of a batch.
struct BatchApplication<'a> {
    batch: &'a ChangeBatch,
    by: BatchPosition,
    limits: &'a BatchLimits,
    journal: Vec<UndoStep>,
    freed: bool,
}

impl BatchApplication<'_> {
    fn all(&mut self, shape: &mut Topology) -> Result<(), BatchRejection> {
        if self.batch.changes.len() > self.limits.max_changes {
            return Err(BatchRejection::LimitExceeded(self.limits.max_changes, "changes in a batch"));
        }
        for change in &self.batch.changes {
            self.one(shape, change)?;
        }
        // Only now: the changes of a batch may name each other's nodes in any order.
        for change in &self.batch.changes {
            if let Change::Remove { node } = change {
                if shape.is_listed(*node) && shape.record(*node).is_none() {
                    return Err(BatchRejection::StillReferenced(*node));
                }
            }
        }
        let lacking = self.batch.named().find(|id| shape.is_listed(*id) && shape.record(*id).is_none());
        if let Some(id) = lacking {
            return Err(BatchRejection::UnknownNode(id));
        }
        match () {
            () if shape.len() > self.limits.max_nodes => {
                Err(BatchRejection::LimitExceeded(self.limits.max_nodes, "nodes"))
            }
            () if shape.origins() == 0 && !shape.is_empty() => Err(BatchRejection::NoOrigin),
            () => Ok(()),
        }
    }

    fn one(&mut self, shape: &mut Topology, change: &Change) -> Result<(), BatchRejection> {
        match change {
            Change::Add { node, sources } => {
                self.insert(shape, *node)?;
                self.sources(shape, node.id, sources)
            }
            Change::Remove { node } => {
                self.may_write_node(shape, *node)?;
                self.may_write_sources(shape, *node)?;
                self.freed |= shape.sources(*node).next().is_some();
                shape.take_out(*node, self.by, &mut self.journal);
                Ok(())
            }
            Change::Move { node, site, sources } => {
                let known = self.may_write_node(shape, *node)?;
                shape.put(Node { site: *site, ..known }, self.by, &mut self.journal);
                self.sources(shape, *node, sources)
            }
            Change::Replace { old, new } => {
                let known = self.may_write_node(shape, *old)?;
                self.insert(shape, *new)?;
                let own: Vec<Source> = shape.edges(*old).iter().map(|edge| edge.source).collect();
                self.sources(shape, new.id, &own)?;
                shape.put(Node { retiring: true, ..known }, self.by, &mut self.journal);
                let lists = |record: &&crate::topology::NodeRecord| {
                    record.edges.iter().any(|edge| edge.source.node == *old)
                };
                let children: Vec<NodeId> =
                    shape.records().into_iter().filter(lists).map(|record| record.node.id).collect();
                for child in children {
                    let renamed = |edge: &crate::topology::Edge| match edge.source.node == *old {
                        true => Source { node: new.id, ..edge.source },
                        false => edge.source,
                    };
                    let sources: Vec<Source> = shape.edges(child).iter().map(renamed).collect();
                    self.sources(shape, child, &sources)?;
                }
                Ok(())
            }
            Change::Rerank { node, sources } => self.sources(shape, *node, sources),
            Change::Retire { node, retiring } => {
                let known = self.may_write_node(shape, *node)?;
                shape.put(Node { retiring: *retiring, ..known }, self.by, &mut self.journal);
                Ok(())
            }
        }
    }

    fn insert(&mut self, shape: &mut Topology, node: Node) -> Result<(), BatchRejection> {
        if shape.record(node.id).is_some() {
            return Err(BatchRejection::NodeExists(node.id));
        }
        if node.capacity <= 0.0 {
            return Err(BatchRejection::InvalidCapacity(node.id));
        }
        shape.put(node, self.by, &mut self.journal);
        Ok(())
    }

    fn sources(
        &mut self,
        shape: &mut Topology,
        id: NodeId,
        sources: &[Source],
    ) -> Result<(), BatchRejection> {
        let node = self.may_write_sources(shape, id)?;
        match node.role {
            Role::Origin if !sources.is_empty() => return Err(BatchRejection::OriginWithSource(id)),
            Role::Cache | Role::Parent if sources.is_empty() => return Err(BatchRejection::NoSource(id)),
            _ if sources.len() > self.limits.max_sources => {
                return Err(BatchRejection::LimitExceeded(self.limits.max_sources, "sources of a node"));
            }
            _ => {}
        }
        if sources.iter().any(|source| source.node == id) {
            return Err(BatchRejection::SelfReference(id));
        }
        self.freed |= shape.put_sources(id, sources, self.by, &mut self.journal);
        Ok(())
    }

    fn may_write_node(&self, shape: &Topology, id: NodeId) -> Result<Node, BatchRejection> {
        let record = shape.record(id).ok_or(BatchRejection::UnknownNode(id))?;
        self.not_overtaken(id, record.node_by)?;
        Ok(record.node)
    }

    fn may_write_sources(&self, shape: &Topology, id: NodeId) -> Result<Node, BatchRejection> {
        let record = shape.record(id).ok_or(BatchRejection::UnknownNode(id))?;
        self.not_overtaken(id, record.edges_by)?;
        Ok(record.node)
    }

    fn not_overtaken(&self, node: NodeId, by: BatchPosition) -> Result<(), BatchRejection> {
        match by == self.by || self.batch.knew(by) {
            true => Ok(()),
            false => Err(BatchRejection::Conflict { node, by: by.batch_id() }),
        }
    }
}
