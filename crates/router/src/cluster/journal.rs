//! Drains and purges: those in this router's journal are published, and those in other routers' journals are
//! applied until this router's journal has reached their positions.

use linnethook_audit::record::AuditedAction;
use linnethook_membership::gossip::entry::{CacheStatus, EntryKey, Purge};

use crate::discovery::event::{EndpointEntry, EndpointUpdate, PurgeEvent, WatchEvent};
use crate::log::log_line;
use crate::policy_adapter::{EndpointKey, Ms};

use super::{ClusterAdapter, ClusterEffect};

impl ClusterAdapter {
    /// Publishes changes of the endpoint list from this router's journal. Entries of which other routers
    /// report a later drain are overridden in `update`.
    pub fn on_endpoint_update(&mut self, now: Ms, update: &mut EndpointUpdate, journal_position: u64) {
        if update.is_complete {
            self.endpoints.retain_listed(&update.entries);
        }
        for entry in &mut update.entries {
            self.on_listed_endpoint(now, entry, journal_position);
            self.endpoints.apply_to(entry, journal_position);
        }
    }

    fn on_listed_endpoint(&mut self, now: Ms, entry: &EndpointEntry, journal_position: u64) {
        let status = CacheStatus {
            ready: entry.is_ready(),
            removed: entry.is_removed(),
            started_at: entry.started_at(),
        };
        let was_ready = self.endpoints.replace(entry);
        let is_drained = was_ready && !status.ready;
        let is_restored = !was_ready && status.ready;
        let cache = EndpointKey::of(&entry.uid).number();
        if let Some(audit_log) = &mut self.audit_log {
            audit_log.add_node_name(cache, &entry.uid);
        }
        if is_drained {
            self.versions.drains_applied += 1;
            self.record_action(now, AuditedAction::Drain { cache, journal_position, from_gossip: false });
        } else if is_restored {
            let action = AuditedAction::CacheRestored { cache, journal_position, from_gossip: false };
            self.record_action(now, action);
        }
        // Not published if the cache was ready before and still is.
        if !status.ready || is_restored {
            self.membership.publish_cache(now, &entry.uid, status, journal_position);
        }
    }

    /// Publishes a purge from this router's journal, for routers that receive no events from theirs.
    pub fn on_watch_event(&mut self, now: Ms, event: &WatchEvent) {
        let Some(purge) = &event.purge else { return };
        self.versions.purges_applied += 1;
        self.record_action(
            now,
            AuditedAction::Purge { journal_position: event.position, from_gossip: false },
        );
        let published = Purge { issued_at: purge.issued_at, journal_position: event.position };
        self.membership.publish_purge(now, &to_purge_key(purge), published);
    }

    /// Records the position that this router's journal has reached; up to there it overrides other routers'
    /// journals. Returns the entries of the endpoint list that are no longer overridden.
    pub(super) fn on_journal_position(&mut self, journal_position: u64) -> Vec<EndpointEntry> {
        self.versions.journal_position = journal_position;
        self.endpoints.remove_up_to(journal_position)
    }

    /// Applies the state of a cache from another router's journal.
    pub(super) fn on_cache_changed(
        &mut self,
        now: Ms,
        name: &str,
        status: CacheStatus,
        journal_position: u64,
    ) -> Option<ClusterEffect> {
        if journal_position <= self.versions.journal_position {
            return None;
        }
        let entry = self.endpoints.apply_status(name, status, journal_position)?;
        let cache = EndpointKey::of(name).number();
        if status.ready {
            let action = AuditedAction::CacheRestored { cache, journal_position, from_gossip: true };
            self.record_action(now, action);
            log_line!(upstream = %name, journal_position, "fellows: cache restored by a peer's journal");
        } else {
            self.applied_from_gossip.drains += 1;
            self.versions.drains_applied += 1;
            self.record_action(now, AuditedAction::Drain { cache, journal_position, from_gossip: true });
            log_line!(upstream = %name, journal_position, "fellows: cache drained by a peer's journal");
        }
        Some(ClusterEffect::EndpointChanged(entry))
    }

    /// Applies a purge from another router's journal.
    pub(super) fn on_purged(&mut self, now: Ms, key: EntryKey, purge: &Purge) -> Option<ClusterEffect> {
        let journal_position = purge.journal_position;
        if journal_position <= self.versions.journal_position {
            return None;
        }
        self.applied_from_gossip.purges += 1;
        self.versions.purges_applied += 1;
        self.record_action(now, AuditedAction::Purge { journal_position, from_gossip: true });
        let (object, group) = match key {
            EntryKey::Object(name) => (Some(name), 0),
            EntryKey::Group(group) => (None, group),
            _ => return None,
        };
        log_line!(journal_position, "fellows: purge applied from a peer's journal");
        Some(ClusterEffect::Purge(PurgeEvent { object, group, issued_at: purge.issued_at }))
    }
}

fn to_purge_key(purge: &PurgeEvent) -> EntryKey {
    match &purge.object {
        Some(name) => EntryKey::Object(name.clone()),
        None => EntryKey::Group(purge.group),
    }
}
