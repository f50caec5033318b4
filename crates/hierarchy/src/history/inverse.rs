//! The changes that revert a batch.

use std::collections::BTreeMap;

use super::History;
use crate::batch::Change;
use crate::node::{NodeId, Source};
use crate::topology::{NodeRecord, UndoStep};
use crate::version::BatchId;

/// A node as it was before a batch; `record` is `None` if the batch added it.
struct PriorState<'a> {
    record: Option<&'a NodeRecord>,
    sources: Vec<Source>,
}

impl History {
    /// The changes that revert a batch: they restore the attributes and sources from before it. `None` if the
    /// batch is not retained or was rejected.
    pub fn inverse_changes(&self, id: BatchId) -> Option<Vec<Change>> {
        let undo_log = self.entry(id)?.result.as_ref().ok()?;
        let mut additions = Vec::new();
        let mut updates = Vec::new();
        let mut removals = Vec::new();
        for (id, prior) in prior_states(&undo_log.0) {
            match (prior.record, self.topology.record(id)) {
                (Some(before), None) => {
                    additions.push(Change::Add { node: before.node, sources: prior.sources });
                }
                (Some(before), Some(now)) => revert_node(before, now, prior.sources, &mut updates),
                (None, Some(_)) => removals.push(Change::Remove { node: id }),
                (None, None) => {}
            }
        }
        additions.reverse();
        Some([additions, updates, removals].concat())
    }
}

/// The state of each node before the first step that wrote its record.
fn prior_states(steps: &[UndoStep]) -> BTreeMap<NodeId, PriorState<'_>> {
    let mut states = BTreeMap::new();
    for step in steps {
        if let UndoStep::RecordWritten { id, before } = step {
            let record = before.as_deref();
            states.entry(*id).or_insert_with(|| PriorState {
                record,
                sources: record.map(NodeRecord::listed_sources).unwrap_or_default(),
            });
        }
    }
    states
}

/// Adds the changes that restore an existing node to an earlier record.
fn revert_node(before: &NodeRecord, now: &NodeRecord, sources: Vec<Source>, changes: &mut Vec<Change>) {
    let node = before.node.id;
    if now.node.site != before.node.site {
        changes.push(Change::Move { node, site: before.node.site, sources });
    } else if now.listed_sources() != sources {
        changes.push(Change::Rerank { node, sources });
    }
    if now.node.retiring != before.node.retiring {
        changes.push(Change::Retire { node, retiring: before.node.retiring });
    }
}
