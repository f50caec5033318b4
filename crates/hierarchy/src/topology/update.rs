//! Updates of the topology. Each step is recorded in an [`UndoLog`], so that a batch can be undone.

use super::record::{Edge, NodeRecord, SuspendedEdge, UndoLog, UndoStep};
use super::Topology;
use crate::node::{Node, NodeId, Role, Source};
use crate::topological_order::NodeIndex;
use crate::version::BatchPosition;

impl Topology {
    /// Writes a node's attributes. Its sources are unchanged.
    pub(crate) fn write_node(&mut self, node: Node, written_by: BatchPosition, undo_log: &mut UndoLog) {
        let before = self.record(node.id).cloned();
        let record = match &before {
            Some(record) => NodeRecord { node, node_written_by: written_by, ..record.clone() },
            None => NodeRecord {
                node,
                node_written_by: written_by,
                edges: Vec::new(),
                edges_written_by: written_by,
            },
        };
        self.replace_record(node.id, Some(record));
        undo_log.0.push(UndoStep::RecordWritten { id: node.id, before: before.map(Box::new) });
    }

    /// Removes a node with its edges.
    pub(crate) fn remove_node(&mut self, id: NodeId, written_by: BatchPosition, undo_log: &mut UndoLog) {
        self.write_sources(id, &[], written_by, undo_log);
        let before = self.record(id).cloned();
        self.replace_record(id, None);
        undo_log.0.push(UndoStep::RecordWritten { id, before: before.map(Box::new) });
    }

    /// Replaces a node's sources. A source that would close a cycle is listed and suspended. Returns whether
    /// an edge that was in use was removed, so that a suspended one may be resumed.
    pub(crate) fn write_sources(
        &mut self,
        id: NodeId,
        sources: &[Source],
        written_by: BatchPosition,
        undo_log: &mut UndoLog,
    ) -> bool {
        let Some(before) = self.record(id).cloned() else { return false };
        let mut sources = sources.to_vec();
        sources.sort_unstable();
        sources.dedup_by_key(|source| source.node);
        let mut has_removed_edge = false;
        for edge in before.edges.iter().filter(|edge| edge.in_use) {
            self.disable_edge(id, edge.source.node, undo_log);
            has_removed_edge |= sources.iter().all(|source| source.node != edge.source.node);
        }
        let record =
            NodeRecord { edges: unused_edges(&sources), edges_written_by: written_by, ..before.clone() };
        self.replace_record(id, Some(record));
        let edges = before.edges.iter().map(|edge| Edge { in_use: false, ..*edge }).collect();
        let before = NodeRecord { edges, ..before };
        undo_log.0.push(UndoStep::RecordWritten { id, before: Some(Box::new(before)) });
        for source in sources {
            self.enable_edge_if_acyclic(id, source.node, undo_log);
        }
        has_removed_edge
    }

    /// Restores a node's sources from a snapshot, and enables those for which `is_used` is true. One that
    /// would close a cycle in spite of that remains suspended.
    pub(crate) fn restore_sources(
        &mut self,
        id: NodeId,
        sources: &[Source],
        written_by: BatchPosition,
        is_used: impl Fn(NodeId) -> bool,
    ) {
        let Some(record) = self.record(id).cloned() else { return };
        let record = NodeRecord { edges: unused_edges(sources), edges_written_by: written_by, ..record };
        self.replace_record(id, Some(record));
        for source in sources.iter().filter(|source| is_used(source.node)) {
            self.enable_edge_if_acyclic(id, source.node, &mut UndoLog::default());
        }
    }

    /// Enables suspended edges that no longer close a cycle, those of the oldest batches first.
    pub(crate) fn resume_suspended_edges(&mut self, undo_log: &mut UndoLog) {
        for edge in self.suspended.clone() {
            self.enable_edge_if_acyclic(edge.from, edge.source.node, undo_log);
        }
    }

    /// Undoes the steps of a log in reverse order.
    pub fn undo(&mut self, undo_log: UndoLog) {
        for step in undo_log.0.into_iter().rev() {
            match step {
                UndoStep::RecordWritten { id, before } => {
                    self.replace_record(id, before.map(|record| *record));
                }
                UndoStep::EdgeEnabled { from, to } => self.set_in_use(from, to, false),
                UndoStep::EdgeDisabled { from, to } => self.set_in_use(from, to, true),
            }
        }
    }

    fn enable_edge_if_acyclic(&mut self, from: NodeId, to: NodeId, undo_log: &mut UndoLog) {
        let (from_index, to_index) = (self.slot_of(from), self.slot_of(to));
        if self.order.insert_edge(from_index, to_index).is_ok() {
            self.order.remove_edge(from_index, to_index);
            self.set_in_use(from, to, true);
            undo_log.0.push(UndoStep::EdgeEnabled { from, to });
        }
    }

    fn disable_edge(&mut self, from: NodeId, to: NodeId, undo_log: &mut UndoLog) {
        self.set_in_use(from, to, false);
        undo_log.0.push(UndoStep::EdgeDisabled { from, to });
    }

    /// Enables or disables an edge, in the record, the order and the set of suspended edges.
    fn set_in_use(&mut self, from: NodeId, to: NodeId, in_use: bool) {
        let (from_index, to_index) = (self.slot_of(from), self.slot_of(to));
        self.uncount_record(from);
        let record = self.slots[from_index as usize].as_mut();
        let edge = record.and_then(|record| record.edges.iter_mut().find(|edge| edge.source.node == to));
        if let Some(edge) = edge {
            edge.in_use = in_use;
        }
        if in_use {
            // Callers have checked that it closes no cycle, or restore a state in which it was in use.
            drop(self.order.insert_edge(from_index, to_index));
        } else {
            self.order.remove_edge(from_index, to_index);
        }
        self.count_record(from);
    }

    /// Replaces a record. Any edges of it that are in use must be part of the order already.
    fn replace_record(&mut self, id: NodeId, record: Option<NodeRecord>) {
        let index = self.slot_of(id) as usize;
        self.uncount_record(id);
        self.slots[index] = record;
        self.count_record(id);
    }

    /// Releases the slot of a node that neither exists nor is listed by another.
    pub(crate) fn release_slot(&mut self, id: NodeId) {
        let Some(&index) = self.slots_by_id.get(&id) else { return };
        let slot = index as usize;
        let is_unused = self.slots[slot].is_none() && self.listing_counts[slot] == 0;
        if is_unused && self.order.is_isolated(index) {
            self.slots_by_id.remove(&id);
            self.free_slots.push(index);
        }
    }

    /// The slot of a node; allocates one if it has none.
    fn slot_of(&mut self, id: NodeId) -> NodeIndex {
        if let Some(&index) = self.slots_by_id.get(&id) {
            return index;
        }
        // A released slot has no edges, so that it may be at any position in the order.
        let index = self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.ids.push(id);
            self.listing_counts.push(0);
            self.order.add_node()
        });
        self.ids[index as usize] = id;
        self.slots_by_id.insert(id, index);
        index
    }

    /// Removes a record from the counts, the digest and the set of suspended edges.
    fn uncount_record(&mut self, id: NodeId) {
        let index = self.slots_by_id[&id] as usize;
        let Some(record) = self.slots[index].take() else { return };
        self.node_count -= 1;
        self.origin_count -= usize::from(record.node.role == Role::Origin);
        self.digest = self.digest.wrapping_sub(record.digest());
        for edge in &record.edges {
            let source = self.slot_of(edge.source.node) as usize;
            self.listing_counts[source] -= 1;
            self.suspended.remove(&suspended_edge(&record, edge));
        }
        self.slots[index] = Some(record);
    }

    /// Adds a record to the counts, the digest and the set of suspended edges.
    fn count_record(&mut self, id: NodeId) {
        let index = self.slots_by_id[&id] as usize;
        let Some(record) = self.slots[index].take() else { return };
        self.node_count += 1;
        self.origin_count += usize::from(record.node.role == Role::Origin);
        self.digest = self.digest.wrapping_add(record.digest());
        for edge in &record.edges {
            let source = self.slot_of(edge.source.node) as usize;
            self.listing_counts[source] += 1;
            if !edge.in_use {
                self.suspended.insert(suspended_edge(&record, edge));
            }
        }
        self.slots[index] = Some(record);
    }
}

fn unused_edges(sources: &[Source]) -> Vec<Edge> {
    sources.iter().map(|&source| Edge { source, in_use: false }).collect()
}

fn suspended_edge(record: &NodeRecord, edge: &Edge) -> SuspendedEdge {
    SuspendedEdge { written_by: record.edges_written_by, from: record.node.id, source: edge.source }
}
