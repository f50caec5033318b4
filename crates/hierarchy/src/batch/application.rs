//! Applies a batch to a topology atomically.

use super::{BatchLimits, BatchPosition, BatchRejection, Change, ChangeBatch};
use crate::node::{Node, NodeId, Role, Source};
use crate::topology::{Topology, UndoLog};

impl ChangeBatch {
    /// Applies the batch to the topology and returns its undo log.
    ///
    /// A batch may write the attributes or the source list of a node unless a batch that its author had not
    /// received has written the same item before. A single conflict rejects the entire batch, since its
    /// changes are atomic.
    ///
    /// # Errors
    ///
    /// The first reason for a rejection, in the order of the changes. The topology is then unchanged.
    pub fn apply(&self, topology: &mut Topology, limits: &BatchLimits) -> Result<UndoLog, BatchRejection> {
        let mut application =
            BatchApplication { batch: self, limits, undo_log: UndoLog::default(), has_removed_edge: false };
        let outcome = application.apply_all(topology);
        let BatchApplication { mut undo_log, has_removed_edge, .. } = application;
        let result = match outcome {
            Ok(()) => {
                if has_removed_edge {
                    topology.resume_suspended_edges(&mut undo_log);
                }
                Ok(undo_log)
            }
            Err(rejection) => {
                topology.undo(undo_log);
                Err(rejection)
            }
        };
        self.referenced_nodes().for_each(|id| topology.release_slot(id));
        result
    }
}

/// One application of a batch.
struct BatchApplication<'a> {
    batch: &'a ChangeBatch,
    limits: &'a BatchLimits,
    undo_log: UndoLog,
    /// An edge that was in use was removed, so that a suspended edge may be resumed.
    has_removed_edge: bool,
}

impl BatchApplication<'_> {
    fn position(&self) -> BatchPosition {
        self.batch.position()
    }

    fn apply_all(&mut self, topology: &mut Topology) -> Result<(), BatchRejection> {
        if self.batch.changes.len() > self.limits.max_changes {
            let (got, limit) = (self.batch.changes.len(), self.limits.max_changes);
            return Err(BatchRejection::LimitExceeded { items: "changes in a batch", got, limit });
        }
        for change in &self.batch.changes {
            self.apply_change(topology, change)?;
        }
        self.check_references(topology)?;
        if topology.len() > self.limits.max_nodes {
            let (got, limit) = (topology.len(), self.limits.max_nodes);
            return Err(BatchRejection::LimitExceeded { items: "nodes", got, limit });
        }
        if topology.origin_count() == 0 && !topology.is_empty() {
            return Err(BatchRejection::NoOrigin);
        }
        Ok(())
    }

    /// Checks that every listed source exists. Runs after all changes, as they may refer to each other's
    /// nodes in any order.
    fn check_references(&self, topology: &Topology) -> Result<(), BatchRejection> {
        let is_missing = |id: &NodeId| topology.is_listed(*id) && topology.record(*id).is_none();
        for change in &self.batch.changes {
            if let Change::Remove { node } = change {
                if is_missing(node) {
                    return Err(BatchRejection::StillReferenced(*node));
                }
            }
        }
        match self.batch.referenced_nodes().find(is_missing) {
            Some(id) => Err(BatchRejection::UnknownNode(id)),
            None => Ok(()),
        }
    }

    fn apply_change(&mut self, topology: &mut Topology, change: &Change) -> Result<(), BatchRejection> {
        match change {
            Change::Add { node, sources } => {
                self.insert_node(topology, *node)?;
                self.write_sources(topology, node.id, sources)
            }
            Change::Remove { node } => self.remove_node(topology, *node),
            Change::Move { node, site, sources } => {
                let current = self.writable_node(topology, *node)?;
                self.write_node(topology, Node { site: *site, ..current });
                self.write_sources(topology, *node, sources)
            }
            Change::Replace { old, new } => self.replace_node(topology, *old, *new),
            Change::Rerank { node, sources } => self.write_sources(topology, *node, sources),
            Change::Retire { node, retiring } => {
                let current = self.writable_node(topology, *node)?;
                self.write_node(topology, Node { retiring: *retiring, ..current });
                Ok(())
            }
        }
    }

    fn insert_node(&mut self, topology: &mut Topology, node: Node) -> Result<(), BatchRejection> {
        if topology.record(node.id).is_some() {
            return Err(BatchRejection::NodeExists(node.id));
        }
        if node.capacity <= 0.0 {
            return Err(BatchRejection::InvalidCapacity { node: node.id, capacity: node.capacity });
        }
        self.write_node(topology, node);
        Ok(())
    }

    fn remove_node(&mut self, topology: &mut Topology, id: NodeId) -> Result<(), BatchRejection> {
        self.writable_node(topology, id)?;
        self.node_with_writable_sources(topology, id)?;
        self.has_removed_edge |= topology.sources(id).next().is_some();
        topology.remove_node(id, self.position(), &mut self.undo_log);
        Ok(())
    }

    fn replace_node(
        &mut self,
        topology: &mut Topology,
        old: NodeId,
        new: Node,
    ) -> Result<(), BatchRejection> {
        let current = self.writable_node(topology, old)?;
        self.insert_node(topology, new)?;
        let sources = topology.listed_sources(old);
        self.write_sources(topology, new.id, &sources)?;
        self.write_node(topology, Node { retiring: true, ..current });
        for child in topology.nodes_listing(old) {
            let mut sources = topology.listed_sources(child);
            for source in sources.iter_mut().filter(|source| source.node == old) {
                source.node = new.id;
            }
            self.write_sources(topology, child, &sources)?;
        }
        Ok(())
    }

    fn write_node(&mut self, topology: &mut Topology, node: Node) {
        topology.write_node(node, self.position(), &mut self.undo_log);
    }

    fn write_sources(
        &mut self,
        topology: &mut Topology,
        id: NodeId,
        sources: &[Source],
    ) -> Result<(), BatchRejection> {
        let node = self.node_with_writable_sources(topology, id)?;
        match node.role {
            Role::Origin if !sources.is_empty() => return Err(BatchRejection::OriginWithSource(id)),
            Role::Cache | Role::Parent if sources.is_empty() => return Err(BatchRejection::NoSource(id)),
            _ => {}
        }
        if sources.len() > self.limits.max_sources {
            let (got, limit) = (sources.len(), self.limits.max_sources);
            return Err(BatchRejection::LimitExceeded { items: "sources of a node", got, limit });
        }
        if sources.iter().any(|source| source.node == id) {
            return Err(BatchRejection::SelfReference(id));
        }
        self.has_removed_edge |= topology.write_sources(id, sources, self.position(), &mut self.undo_log);
        Ok(())
    }

    fn writable_node(&self, topology: &Topology, id: NodeId) -> Result<Node, BatchRejection> {
        let record = topology.record(id).ok_or(BatchRejection::UnknownNode(id))?;
        self.check_conflict(id, record.node_written_by)?;
        Ok(record.node)
    }

    fn node_with_writable_sources(&self, topology: &Topology, id: NodeId) -> Result<Node, BatchRejection> {
        let record = topology.record(id).ok_or(BatchRejection::UnknownNode(id))?;
        self.check_conflict(id, record.edges_written_by)?;
        Ok(record.node)
    }

    fn check_conflict(&self, node: NodeId, written_by: BatchPosition) -> Result<(), BatchRejection> {
        if written_by == self.position() || self.batch.has_received(written_by) {
            return Ok(());
        }
        Err(BatchRejection::Conflict { node, by: written_by.batch_id() })
    }
}
