//! Changes of the hierarchy: batches from the operator file, the journal, other routers and the control
//! socket, plans, and snapshots of the hierarchy for other routers.

use linnethook_hierarchy::change_spec::{BatchSpec, ChangeSpec, NodeSpec, PlanSpec};
use linnethook_hierarchy::history::Snapshot;
use linnethook_hierarchy::{AuthorId, BatchId, ChangeBatch, ReceiveOutcome};
use serde::{Deserialize, Serialize};

use crate::policy_adapter::Ms;

use super::{HierarchyAdapter, HierarchyError};

/// The number of batches that may be queued for gossip; other routers receive further ones in snapshots.
const MAX_OUTGOING_BATCHES: usize = 1_024;

/// Batches that this router received first, until they are gossiped.
#[derive(Debug, Default)]
pub(super) struct OutgoingBatches {
    batches: Vec<BatchSpec>,
}

/// The hierarchy as one router sends it to another. The order of the fields is part of the wire format.
#[derive(Debug, Serialize, Deserialize)]
struct SnapshotMessage {
    snapshot: Snapshot,
    node_names: Vec<String>,
    site_names: Vec<String>,
}

impl HierarchyAdapter {
    // The operator file.

    /// Applies the nodes of the operator file at startup. The batch takes effect at time 0, so that all
    /// routers with the same file create the same batch.
    pub(super) fn apply_initial_nodes(&mut self, now: Ms, nodes: &[NodeSpec]) -> Result<(), HierarchyError> {
        if nodes.is_empty() {
            return Ok(());
        }
        let changes = self.names.changes_to_reach(self.hierarchy.topology(), nodes);
        let batch = self.hierarchy.draft_batch(self.operator_file_author, 0.0, changes);
        self.receive_batch(now, batch)
    }

    /// Applies the nodes of a reloaded operator file as one batch. Returns the number of changes.
    ///
    /// # Errors
    ///
    /// The nodes do not form a valid hierarchy; the current one is unchanged.
    pub fn reload(&mut self, now: Ms, nodes: &[NodeSpec]) -> Result<usize, HierarchyError> {
        let changes = self.names.changes_to_reach(self.hierarchy.topology(), nodes);
        let count = changes.len();
        if count > 0 {
            let batch = self.hierarchy.draft_batch(self.operator_file_author, now, changes);
            self.receive_batch(now, batch)?;
            self.names.retain(self.hierarchy.topology());
        }
        Ok(count)
    }

    // Batches of other authors.

    /// Applies a batch from the journal, or one that was created through another router's control socket.
    ///
    /// # Errors
    ///
    /// The batch was not applied; it may be pending until the batches that it depends on are received.
    pub fn apply_journal_batch(&mut self, now: Ms, spec: &BatchSpec) -> Result<(), HierarchyError> {
        let batch = self.names.resolve_batch(spec);
        let result = self.receive_batch(now, batch);
        self.names.retain(self.hierarchy.topology());
        result
    }

    /// Applies a batch that another router has gossiped.
    ///
    /// # Errors
    ///
    /// The batch was not applied, and is not pending.
    pub fn apply_gossip_batch(&mut self, now: Ms, spec: &BatchSpec) -> Result<(), HierarchyError> {
        let batch_id = BatchId { author: AuthorId(spec.author), number: spec.number };
        let result = self.apply_journal_batch(now, spec);
        // Gossip does not preserve order: the batches that this one depends on may arrive later.
        if result.is_err() && self.is_pending(batch_id) {
            return Ok(());
        }
        result
    }

    fn is_pending(&self, batch_id: BatchId) -> bool {
        self.hierarchy.history().pending().any(|(pending, _)| pending == batch_id)
    }

    /// Removes and returns the batches to be gossiped.
    pub fn drain_outgoing_batches(&mut self) -> Vec<BatchSpec> {
        let outgoing = self.outgoing_batches.as_mut();
        outgoing.map(|outgoing| std::mem::take(&mut outgoing.batches)).unwrap_or_default()
    }

    fn receive_batch(&mut self, now: Ms, batch: ChangeBatch) -> Result<(), HierarchyError> {
        let batch_id = batch.id;
        self.next_deadline = now;
        self.queue_outgoing_batch(&batch);
        match self.hierarchy.receive_batch(now, batch) {
            ReceiveOutcome::Accepted(_) => match self.hierarchy.history().outcome(batch_id) {
                Some(Err(rejection)) => Err(rejection.clone().into()),
                _ => Ok(()),
            },
            ReceiveOutcome::Duplicate => Ok(()),
            ReceiveOutcome::Pending(missing) => Err(HierarchyError::MissingBatch(missing)),
            ReceiveOutcome::Invalid(error) => Err(error.into()),
        }
    }

    /// Queues a batch for gossip, unless it is from the operator file, which each router reads itself.
    fn queue_outgoing_batch(&mut self, batch: &ChangeBatch) {
        if batch.id.author == self.operator_file_author {
            return;
        }
        let Some(outgoing) = &mut self.outgoing_batches else { return };
        if outgoing.batches.len() < MAX_OUTGOING_BATCHES {
            outgoing.batches.push(self.names.batch_spec(batch));
        }
    }

    // The control socket.

    /// Computes the effect that changes would have now, without applying them.
    ///
    /// # Errors
    ///
    /// The changes would not be applied.
    pub fn plan(&mut self, now: Ms, changes: &[ChangeSpec]) -> Result<PlanSpec, HierarchyError> {
        let changes = self.names.resolve_changes(changes);
        let batch = self.hierarchy.draft_batch(self.control_socket_author, now, changes);
        let plan = self.hierarchy.plan_batch(now, &batch).map(|plan| self.names.plan_spec(&plan));
        self.names.retain(self.hierarchy.topology());
        Ok(plan?)
    }

    /// Applies changes as a batch of this router's control socket. Returns the batch.
    ///
    /// # Errors
    ///
    /// The batch was rejected.
    pub fn apply(&mut self, now: Ms, changes: &[ChangeSpec]) -> Result<BatchSpec, HierarchyError> {
        let changes = self.names.resolve_changes(changes);
        let batch = self.hierarchy.draft_batch(self.control_socket_author, now, changes);
        let spec = self.names.batch_spec(&batch);
        let result = self.receive_batch(now, batch);
        self.names.retain(self.hierarchy.topology());
        result.map(|()| spec)
    }

    /// Rolls back a batch: its migrations at once, and its changes by a new batch that reverts them. Returns
    /// the number of reverting changes.
    ///
    /// # Errors
    ///
    /// The batch is not retained, or the reverting changes were rejected.
    pub fn roll_back(&mut self, now: Ms, author: u16, number: u64) -> Result<usize, HierarchyError> {
        let batch_id = BatchId { author: AuthorId(author), number };
        let changes = self.hierarchy.roll_back_batch(now, batch_id);
        let changes = changes.ok_or(HierarchyError::NotRetained { author, number })?;
        let count = changes.len();
        let batch = self.hierarchy.draft_batch(self.control_socket_author, now, changes);
        self.receive_batch(now, batch)?;
        Ok(count)
    }

    // Snapshots.

    /// Encodes the hierarchy with its position in the history, for a router that is too far behind to catch
    /// up by batches.
    pub fn encode_snapshot(&self) -> Vec<u8> {
        let message = SnapshotMessage {
            snapshot: self.hierarchy.snapshot(),
            node_names: self.names.node_names(),
            site_names: self.names.site_names(),
        };
        postcard::to_stdvec(&message).unwrap_or_default()
    }

    /// Restores the hierarchy from another router's snapshot.
    ///
    /// # Errors
    ///
    /// The snapshot can't be decoded, is invalid, or is older than this router's hierarchy, which is then
    /// unchanged.
    pub fn restore_snapshot(&mut self, now: Ms, bytes: &[u8]) -> Result<(), HierarchyError> {
        let message: SnapshotMessage = postcard::from_bytes(bytes)?;
        let snapshot = message.snapshot;
        let own = self.hierarchy.version();
        if snapshot.version() < own {
            return Err(HierarchyError::SnapshotOutdated { snapshot: snapshot.version(), own });
        }
        self.hierarchy.restore_snapshot(now, snapshot)?;
        self.names.add_names(&message.node_names, &message.site_names);
        self.names.retain(self.hierarchy.topology());
        self.next_deadline = now;
        Ok(())
    }
}
