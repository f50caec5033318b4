//! Entries published by this router: its status, events of its journal, changes by its operators, and
//! summaries.

use super::Cluster;
use crate::aggregation::scope::is_scoped;
use crate::aggregation::summary::Summary;
use crate::aggregation::topology::Topology;
use crate::aggregation::tree::DueReport;
use crate::gossip::entry::{micros, CacheStatus, EntryKey, GossipEntry, Purge, Revision};
use crate::gossip::entry_table::InsertOutcome;
use crate::membership::MemberState;
use crate::versions::{RouterStatus, VersionUpdate};
use crate::Ms;

/// The version of all entry bodies except statuses.
const BODY_VERSION: u16 = 1;

impl Cluster {
    /// Publishes an entry of this router. Returns false if it is known already or exceeds a limit.
    pub fn publish(&mut self, now: Ms, key: &EntryKey, entry: GossipEntry) -> bool {
        self.publish_within(now, key, entry, 0)
    }

    /// Publishes an entry for the routers whose locations share this many names with this router's.
    fn publish_within(&mut self, now: Ms, key: &EntryKey, entry: GossipEntry, depth: usize) -> bool {
        let key = key.encode();
        let revision = entry.revision;
        let outcome = self.table.insert_within(now, &key, entry, depth);
        match outcome {
            InsertOutcome::Inserted => self.propagate(now, key, revision, depth, None),
            InsertOutcome::Stale => {}
            InsertOutcome::Rejected => self.counters.entries_rejected += 1,
        }
        outcome == InsertOutcome::Inserted
    }

    /// Publishes the state of a cache according to this router's own journal.
    pub fn publish_cache(&mut self, now: Ms, name: &str, status: CacheStatus, journal_position: u64) {
        let entry = GossipEntry::new(Revision::new(journal_position, 0), BODY_VERSION, &status);
        self.publish(now, &EntryKey::Cache(name.to_string()), entry);
    }

    /// Publishes a purge from this router's own journal.
    pub fn publish_purge(&mut self, now: Ms, key: &EntryKey, purge: Purge) {
        let revision = Revision::new(micros(purge.issued_at), purge.journal_position);
        self.publish(now, key, GossipEntry::new(revision, BODY_VERSION, &purge));
    }

    /// Publishes a change batch of the hierarchy, as its author encoded it. Returns false if it is known
    /// already or exceeds a limit.
    pub fn publish_batch(
        &mut self,
        now: Ms,
        author: u16,
        number: u64,
        lamport_timestamp: u64,
        body: Vec<u8>,
    ) -> bool {
        let entry =
            GossipEntry { revision: Revision::new(lamport_timestamp, 0), body_version: BODY_VERSION, body };
        self.publish(now, &EntryKey::Batch(author, number), entry)
    }

    /// Queues a new entry for all peers in its scope.
    pub(super) fn propagate(
        &mut self,
        now: Ms,
        key: Vec<u8>,
        revision: Revision,
        depth: usize,
        from: Option<&str>,
    ) {
        let kind = EntryKey::decode(&key).filter(is_scoped);
        match (kind, &mut self.topology) {
            (Some(kind), Some(topology)) => topology.propagate(now, &kind, &key, revision, depth, from),
            _ => self.outbox.queue_broadcast(key),
        }
    }

    /// Publishes the status of this router, if it has changed.
    pub(super) fn publish_status(&mut self, now: Ms) {
        if !std::mem::take(&mut self.status_changed) {
            return;
        }
        let status = self.own_status();
        let mut depth = 0;
        if let Some(topology) = &mut self.topology {
            if !topology.record_status(now, &status) {
                return;
            }
            depth = topology.own_status_depth(&self.name);
        }
        let revision = self.next_status_revision();
        let entry = status.encode(revision, self.config.status_version);
        self.publish_within(now, &EntryKey::Router(self.name.clone()), entry, depth);
    }

    fn own_status(&self) -> RouterStatus {
        let is_same_site = |peer: &str| match &self.topology {
            Some(topology) => topology.links.is_same_site(peer),
            None => true,
        };
        let links = self.members.links().filter(|(peer, _)| is_same_site(peer)).cloned().collect();
        let location = self.location().cloned();
        RouterStatus { versions: self.versions.clone(), links, leaving: self.leaving, location }
    }

    fn next_status_revision(&mut self) -> Revision {
        self.status_number += 1;
        Revision::new(self.incarnation, self.status_number)
    }

    /// Publishes the frequently changing versions of a router with a location, if they are due.
    pub(super) fn publish_version_update(&mut self, now: Ms) {
        let Some(topology) = &mut self.topology else { return };
        if now < topology.update_deadline(&self.versions, &self.config) {
            return;
        }
        let update = VersionUpdate::from_versions(&self.versions);
        let has_hierarchy_changed = topology.record_update(now, update);
        let depth = topology.own_status_depth(&self.name);
        let remote_peers: Vec<String> = topology.links.remote_peers().map(|(name, _)| name.clone()).collect();
        let entry = GossipEntry::new(self.next_status_revision(), BODY_VERSION, &update);
        self.publish_within(now, &EntryKey::VersionUpdate(self.name.clone()), entry, depth);
        if has_hierarchy_changed {
            remote_peers.iter().for_each(|peer| self.send_handshake(peer));
        }
    }

    /// Publishes the summaries that are due, of the locations that this router aggregates.
    pub(super) fn publish_summaries(&mut self, now: Ms) {
        let is_due = |topology: &Topology| now >= topology.summaries.next_deadline();
        if !self.topology.as_deref().is_some_and(is_due) {
            return;
        }
        let (site, is_first_in_site) = self.site_summary(now);
        let clock = self.clock.next_timestamp(now);
        let Some(topology) = &mut self.topology else { return };
        let reports = topology.summaries.due_reports(now, clock, &site, is_first_in_site);
        for DueReport { location, report, revision } in reports {
            self.counters.summaries_published += 1;
            let depth = location.depth() - 1;
            let entry = GossipEntry::new(revision, BODY_VERSION, &report);
            self.publish_within(now, &EntryKey::Summary(location), entry, depth);
        }
    }

    /// The summary of this router's site, and whether this router is the first by name and therefore
    /// aggregates it.
    pub(super) fn site_summary(&self, now: Ms) -> (Summary, bool) {
        let mut summary = Summary::default();
        let is_straggler = self.is_straggler(now, &self.name);
        summary.add_router(&self.name, MemberState::Alive, self.leaving, &self.versions, is_straggler);
        // Routers that are not leaving precede those that are.
        let mut first = (self.leaving, &self.name);
        for (name, member) in self.members.iter() {
            let RouterStatus { versions, leaving, .. } = &member.status;
            summary.add_router(name, member.state, *leaving, versions, self.is_straggler(now, name));
            if member.state == MemberState::Alive {
                first = first.min((*leaving, name));
            }
        }
        let is_first = *first.1 == self.name;
        (summary, is_first)
    }
}
