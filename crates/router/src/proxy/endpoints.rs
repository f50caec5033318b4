//! Updates of the endpoint list, fill sources and purges: from the journal, other sites and other routers.

use crate::cluster::ClusterEffect;
use crate::discovery::event::{EndpointEntry, EndpointUpdate, PurgeEvent, WatchEvent};
use crate::event_handler::EventHandler;
use crate::hierarchy_adapter::ChangedFillSources;
use crate::log::log_line;
use crate::policy_adapter::{Ms, PolicyInput};

use super::Proxy;

impl<W: EventHandler> Proxy<W> {
    /// Applies an event of this router's journal.
    pub fn on_watch_event(&mut self, now: Ms, event: WatchEvent) {
        self.counters.watch_events += 1;
        if let (Some(batch), Some(hierarchy)) = (&event.hierarchy_batch, &mut self.parts.hierarchy) {
            if let Err(reason) = hierarchy.apply_journal_batch(now, batch) {
                let (author, number) = (batch.author, batch.number);
                log_line!(author, number, %reason, "hierarchy: applying a batch of the journal failed");
            }
            self.report_fill_sources();
        }
        if let Some(cluster) = &mut self.parts.cluster {
            cluster.on_watch_event(now, &event);
        }
        if let Some(mut update) = event.endpoints {
            if let Some(cluster) = &mut self.parts.cluster {
                cluster.on_endpoint_update(now, &mut update, event.position);
            }
            self.merge_remote_drains(now, &mut update);
            self.apply_endpoint_update(&update);
        }
        if let Some(purge) = &event.purge {
            self.apply_journal_purge(now, purge, event.position);
        }
    }

    /// Applies an update of the endpoint list.
    pub(super) fn apply_endpoint_update(&mut self, update: &EndpointUpdate) {
        let now = self.clock.now();
        self.upstreams.update_endpoints(now, &update.entries, update.is_complete);
        self.update_hierarchy_endpoints(update);
        self.report_to_policy(now, update.policy_input());
    }

    /// Reports the endpoint list to the hierarchy, and rejects queued fills of endpoints that are no longer
    /// usable.
    fn update_hierarchy_endpoints(&mut self, update: &EndpointUpdate) {
        let now = self.clock.now();
        let Some(hierarchy) = &mut self.parts.hierarchy else { return };
        let policy = &self.policy;
        let decisions =
            hierarchy.update_endpoints(now, update, |entry| policy.is_local(&entry.endpoint_info()));
        self.execute_fill_decisions(decisions);
        self.report_fill_sources();
    }

    /// Reports changed fill sources to the policy.
    pub fn report_fill_sources(&mut self) {
        let now = self.clock.now();
        let Some(hierarchy) = &mut self.parts.hierarchy else { return };
        for ChangedFillSources { endpoint, sources } in hierarchy.changed_fill_sources(now) {
            self.report_to_policy(now, PolicyInput::FillSources { endpoint, sources });
        }
    }

    /// Announces an update to other sites, and marks endpoints as draining that other sites have announced as
    /// drained.
    fn merge_remote_drains(&mut self, now: Ms, update: &mut EndpointUpdate) {
        if let Some(remote_sites) = &mut self.parts.remote_sites {
            let policy = &self.policy;
            remote_sites.on_endpoint_update(now, update, |entry| policy.is_local(&entry.endpoint_info()));
        }
    }

    /// Applies a purge of this router's journal.
    fn apply_journal_purge(&mut self, now: Ms, purge: &PurgeEvent, position: u64) {
        let Some(input) = purge.policy_input() else {
            return log_line!(
                position,
                object = purge.object.as_deref().unwrap_or_default(),
                "journal: skipping a purge whose object is not hexadecimal"
            );
        };
        if let PolicyInput::Purged { object, group, .. } = input {
            self.upstreams.withdraw_purged(now, object, group);
            self.withdraw_purged_fills(now, object, group);
        }
        if let Some(remote_sites) = &mut self.parts.remote_sites {
            remote_sites.publish_purge(now, purge);
        }
        self.report_to_policy(now, input);
    }

    /// Withdraws fills of purged objects that are queued for admission.
    fn withdraw_purged_fills(&mut self, now: Ms, object: Option<u64>, group: u32) {
        let Some(hierarchy) = &mut self.parts.hierarchy else { return };
        for (order, queued_at) in hierarchy.withdraw_purged(object, group) {
            self.upstreams.withdraw_unsent(now, order.attempt, order.endpoint, queued_at);
        }
    }

    /// Applies a purge that another site, or another router, has announced.
    pub(super) fn apply_announced_purge(&mut self, purge: &PurgeEvent) {
        if let Some(input) = purge.policy_input() {
            self.report_to_policy(self.clock.now(), input);
        }
    }

    /// Executes the effects of the cluster membership until none is pending.
    pub fn run_cluster(&mut self) {
        if self.parts.cluster.is_none() {
            return;
        }
        while let Some(effect) = self.parts.next_cluster_effect(&self.clock) {
            match effect {
                ClusterEffect::EndpointChanged(entry) => self.apply_cluster_entry(entry),
                ClusterEffect::Purge(purge) => {
                    if let Some(remote_sites) = &mut self.parts.remote_sites {
                        remote_sites.publish_purge(self.clock.now(), &purge);
                    }
                    self.apply_announced_purge(&purge);
                }
                ClusterEffect::HierarchyChanged => self.report_fill_sources(),
            }
        }
        self.run_remote_sites();
    }

    /// Applies an entry of the endpoint list that was changed by reports of other routers.
    pub fn apply_cluster_entry(&mut self, entry: EndpointEntry) {
        let mut update = EndpointUpdate { is_complete: false, entries: vec![entry] };
        self.merge_remote_drains(self.clock.now(), &mut update);
        self.apply_endpoint_update(&update);
    }
}
