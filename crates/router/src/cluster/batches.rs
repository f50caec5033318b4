//! Publishing and receiving batches of hierarchy changes.

use linnethook_audit::record::AuditedAction;
use linnethook_hierarchy::change_spec::BatchSpec;

use crate::hierarchy_adapter::{EnteredStage, HierarchyAdapter};
use crate::log::log_line;
use crate::policy_adapter::Ms;

use super::{ClusterAdapter, ClusterEffect};

impl ClusterAdapter {
    /// Publishes the batches that this router received first.
    pub(super) fn publish_batches(&mut self, now: Ms, hierarchy: &mut HierarchyAdapter) {
        for batch in hierarchy.drain_outgoing_batches() {
            let body = postcard::to_stdvec(&batch).unwrap_or_default();
            if self.membership.publish_batch(now, batch.author, batch.number, batch.stamp, body) {
                let (author, number) = (batch.author, batch.number);
                self.record_action(now, AuditedAction::Batch { author, number, from_gossip: false });
            }
        }
    }

    /// Records the rollout stages that were entered.
    pub(super) fn record_rollout_stages(&mut self, now: Ms, hierarchy: &mut HierarchyAdapter) {
        for EnteredStage { target, stage } in hierarchy.drain_stage_transitions() {
            self.record_action(now, AuditedAction::RolloutStage { target, stage });
        }
    }

    /// Publishes the version of the hierarchy that this router acts on.
    pub(super) fn update_hierarchy_version(&mut self, hierarchy: &HierarchyAdapter) {
        self.versions.hierarchy = hierarchy.active_version();
        self.membership.set_versions(&self.versions);
    }

    /// Applies a batch that another router has gossiped.
    pub(super) fn on_batch(
        &mut self,
        now: Ms,
        hierarchy: Option<&mut HierarchyAdapter>,
        body: &[u8],
    ) -> Option<ClusterEffect> {
        let hierarchy = hierarchy?;
        let batch = postcard::from_bytes::<BatchSpec>(body).ok()?;
        let (author, number) = (batch.author, batch.number);
        let version_before = hierarchy.active_version();
        if let Err(reason) = hierarchy.apply_gossip_batch(now, &batch) {
            log_line!(author, number, %reason, "fellows: a gossiped batch was not applied");
        }
        if hierarchy.active_version() != version_before {
            self.applied_from_gossip.batches += 1;
            self.record_action(now, AuditedAction::Batch { author, number, from_gossip: true });
            log_line!(author, number, "fellows: a gossiped batch was applied");
        }
        Some(ClusterEffect::HierarchyChanged)
    }
}
