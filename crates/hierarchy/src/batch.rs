//! Owns what a change of the hierarchy is: batches of changes, who wrote them, and on what they were planned.
//!
//! Must never look at anything but the batch and the shape that it is applied to: all routers judge alike.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::shape::{id, Node, NodeId, Role, Shape, Source, Step};

/// Who writes batches: an operator's file, a control socket, a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Author(pub u16);

/// A batch's name: each author counts its own from 1 on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Serial {
    pub author: Author,
    pub number: u64,
}

/// A batch's place in the one order in which all routers apply batches: a Lamport time, then its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Key {
    pub stamp: u64,
    author: u16,
    number: u64,
}

impl Key {
    pub fn serial(self) -> Serial {
        Serial { author: Author(self.author), number: self.number }
    }
}

/// The newest batch of each author that a plan had seen: the version that it was planned on.
pub type Basis = BTreeMap<Author, u64>;

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
pub struct Batch {
    pub serial: Serial,
    /// Above the stamp of every batch in its basis.
    pub stamp: u64,
    pub basis: Basis,
    /// When it takes effect, in milliseconds of Unix time: the stages count from then at all routers.
    pub at: f64,
    pub changes: Vec<Change>,
}

/// What a batch may hold, so that none can fill a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    pub changes: usize,
    pub sources: usize,
    pub nodes: usize,
    pub authors: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { changes: 200_000, sources: 32, nodes: 200_000, authors: 64 }
    }
}

/// Why a batch is not applied. It is so at every router that has heard the same batches.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    #[error("node CacheId({}) is not in the shape", .0.0)]
    Unknown(NodeId),
    #[error("node CacheId({}) is in the shape already", .0.0)]
    Exists(NodeId),
    #[error("node CacheId({}) is still a source of others", .0.0)]
    StillListed(NodeId),
    #[error("node CacheId({}) would have no source", .0.0)]
    NoSource(NodeId),
    #[error("origin CacheId({}) would have a source", .0.0)]
    OriginFills(NodeId),
    #[error("node CacheId({}) would be its own source", .0.0)]
    Itself(NodeId),
    #[error("no origin would be left")]
    NoOrigin,
    #[error("node CacheId({}) was changed by batch {by:?}, which this one was not planned on", .node.0)]
    Overtaken { node: NodeId, by: Serial },
    #[error("more than {0} {1}")]
    Over(usize, &'static str),
    #[error("node CacheId({}) has a capacity that is no positive number", .0.0)]
    Capacity(NodeId),
}

impl Batch {
    pub fn key(&self) -> Key {
        Key { stamp: self.stamp, author: self.serial.author.0, number: self.serial.number }
    }

    /// Whether the plan had seen that batch.
    fn knew(&self, other: Key) -> bool {
        let serial = other.serial();
        let own = serial.author == self.serial.author && serial.number < self.serial.number;
        // What a shape was begun with has no author.
        own || serial.number == 0 || self.basis.get(&serial.author).is_some_and(|seen| serial.number <= *seen)
    }

    /// Changes the shape, or refuses and leaves it as it was; the steps take it back again.
    ///
    /// A batch is merged with those that it was not planned on as long as none of these has written what it
    /// writes: a node's own figures, or the list of a node's sources. Else it is refused as a whole.
    pub fn apply(&self, shape: &mut Shape, bounds: &Bounds) -> Result<Vec<Step>, Refusal> {
        let mut turn = Turn { batch: self, by: self.key(), bounds, journal: Vec::new(), freed: false };
        let outcome = turn.all(shape);
        let Turn { mut journal, freed, .. } = turn;
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
        self.at.is_finite()
            && self.changes.iter().all(|change| match change {
                Change::Add { node, .. } | Change::Replace { new: node, .. } => node.capacity.is_finite(),
                _ => true,
            })
    }
}

/// One application of a batch.
struct Turn<'a> {
    batch: &'a Batch,
    by: Key,
    bounds: &'a Bounds,
    journal: Vec<Step>,
    freed: bool,
}

impl Turn<'_> {
    fn all(&mut self, shape: &mut Shape) -> Result<(), Refusal> {
        if self.batch.changes.len() > self.bounds.changes {
            return Err(Refusal::Over(self.bounds.changes, "changes in a batch"));
        }
        for change in &self.batch.changes {
            self.one(shape, change)?;
        }
        // Only now: the changes of a batch may name each other's nodes in any order.
        for change in &self.batch.changes {
            if let Change::Remove { node } = change {
                if shape.is_listed(*node) && shape.record(*node).is_none() {
                    return Err(Refusal::StillListed(*node));
                }
            }
        }
        let lacking = self.batch.named().find(|id| shape.is_listed(*id) && shape.record(*id).is_none());
        if let Some(id) = lacking {
            return Err(Refusal::Unknown(id));
        }
        match () {
            () if shape.len() > self.bounds.nodes => Err(Refusal::Over(self.bounds.nodes, "nodes")),
            () if shape.origins() == 0 && !shape.is_empty() => Err(Refusal::NoOrigin),
            () => Ok(()),
        }
    }

    fn one(&mut self, shape: &mut Shape, change: &Change) -> Result<(), Refusal> {
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
                let lists =
                    |record: &&crate::shape::Record| record.edges.iter().any(|edge| edge.source.node == *old);
                let children: Vec<NodeId> =
                    shape.records().into_iter().filter(lists).map(|record| record.node.id).collect();
                for child in children {
                    let renamed = |edge: &crate::shape::Edge| match edge.source.node == *old {
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

    fn insert(&mut self, shape: &mut Shape, node: Node) -> Result<(), Refusal> {
        if shape.record(node.id).is_some() {
            return Err(Refusal::Exists(node.id));
        }
        if node.capacity <= 0.0 {
            return Err(Refusal::Capacity(node.id));
        }
        shape.put(node, self.by, &mut self.journal);
        Ok(())
    }

    fn sources(&mut self, shape: &mut Shape, id: NodeId, sources: &[Source]) -> Result<(), Refusal> {
        let node = self.may_write_sources(shape, id)?;
        match node.role {
            Role::Origin if !sources.is_empty() => return Err(Refusal::OriginFills(id)),
            Role::Cache | Role::Parent if sources.is_empty() => return Err(Refusal::NoSource(id)),
            _ if sources.len() > self.bounds.sources => {
                return Err(Refusal::Over(self.bounds.sources, "sources of a node"));
            }
            _ => {}
        }
        if sources.iter().any(|source| source.node == id) {
            return Err(Refusal::Itself(id));
        }
        self.freed |= shape.put_sources(id, sources, self.by, &mut self.journal);
        Ok(())
    }

    fn may_write_node(&self, shape: &Shape, id: NodeId) -> Result<Node, Refusal> {
        let record = shape.record(id).ok_or(Refusal::Unknown(id))?;
        self.not_overtaken(id, record.node_by)?;
        Ok(record.node)
    }

    fn may_write_sources(&self, shape: &Shape, id: NodeId) -> Result<Node, Refusal> {
        let record = shape.record(id).ok_or(Refusal::Unknown(id))?;
        self.not_overtaken(id, record.edges_by)?;
        Ok(record.node)
    }

    fn not_overtaken(&self, node: NodeId, by: Key) -> Result<(), Refusal> {
        match by == self.by || self.batch.knew(by) {
            true => Ok(()),
            false => Err(Refusal::Overtaken { node, by: by.serial() }),
        }
    }
}
