//! Removal of expired entries: purges after their retention, old change batches, and summaries that are not
//! renewed.

use super::Cluster;
use crate::actions::ClusterAction;
use crate::aggregation::location::Location;
use crate::gossip::entry::{CacheStatus, EntryKey, Revision};
use crate::Ms;

impl Cluster {
    /// Removes all entries that have expired.
    pub(super) fn expire(&mut self, now: Ms) {
        let retained_since = now - self.config.purge_retention;
        let is_purge = |key: &EntryKey| matches!(key, EntryKey::Object(_) | EntryKey::Group(_));
        let mut expired = self.table.keys_older_than(retained_since, is_purge);
        expired.extend(self.expired_caches(retained_since));
        expired.extend(self.surplus_batches());
        expired.iter().for_each(|key| self.remove_entry(key));
        self.expire_summaries(now, retained_since);
    }

    /// The keys of old cache entries, except of caches that are draining.
    fn expired_caches(&self, retained_since: Ms) -> Vec<Vec<u8>> {
        let is_cache = |key: &EntryKey| matches!(key, EntryKey::Cache(_));
        let mut keys = self.table.keys_older_than(retained_since, is_cache);
        keys.retain(|key| {
            let entry = self.table.get(key);
            let status = entry.and_then(|entry| entry.decode_body::<CacheStatus>().ok());
            let is_draining = status.is_some_and(|status| !status.ready && !status.removed);
            !is_draining
        });
        keys
    }

    /// The keys of the oldest change batches beyond the limit.
    fn surplus_batches(&self) -> Vec<Vec<u8>> {
        let is_batch = |key: &[u8]| matches!(EntryKey::decode(key), Some(EntryKey::Batch(..)));
        let entries = self.table.iter().filter(|(key, _)| is_batch(key));
        let mut batches: Vec<(Revision, Vec<u8>)> =
            entries.map(|(key, entry)| (entry.revision, key.clone())).collect();
        let surplus = batches.len().saturating_sub(self.config.max_batches);
        batches.sort_unstable();
        batches.into_iter().take(surplus).map(|(_, key)| key).collect()
    }

    /// Removes summaries that have not been renewed in time. A router without a location only forwards
    /// summaries and version updates, and removes both by age.
    fn expire_summaries(&mut self, now: Ms, retained_since: Ms) {
        // By the hybrid clock, which all routers share: otherwise a router would send others summaries that
        // they have removed already.
        let clock = self.clock.next_timestamp(now).ms;
        let Some(topology) = &mut self.topology else {
            let is_forwarded =
                |key: &EntryKey| matches!(key, EntryKey::VersionUpdate(_) | EntryKey::Summary(_));
            let expired = self.table.keys_older_than(retained_since, is_forwarded);
            expired.iter().for_each(|key| self.remove_entry(key));
            return;
        };
        let max_age = self.config.timeouts.forget_after + topology.summaries.validity();
        let is_expired = |revision: Revision| clock.saturating_sub(revision.epoch) as f64 >= max_age;
        let received = topology.summaries.received().iter();
        let expired = received.filter(|(_, summary)| is_expired(summary.revision));
        let expired: Vec<Location> = expired.map(|(location, _)| location.clone()).collect();
        for location in expired {
            topology.summaries.forget(&location);
            let key = EntryKey::Summary(location).encode();
            topology.plumtree.forget(&key);
            self.table.remove(&key);
        }
    }

    /// Removes an entry, and no longer sends it to peers that connect later.
    pub(super) fn remove_entry(&mut self, key: &[u8]) {
        if let Some(topology) = &mut self.topology {
            topology.plumtree.forget(key);
        }
        if self.table.remove(key) {
            self.actions.push_back(ClusterAction::Retract(key.to_vec()));
        }
    }
}
