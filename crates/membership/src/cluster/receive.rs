//! Entries and messages received from peers: which are new, which this router applies, and which it forwards.

use super::Cluster;
use crate::actions::{ClusterAction, ClusterEvent, EncodedEntry, Participation};
use crate::aggregation::location::Location;
use crate::aggregation::scope::LinkHandshake;
use crate::aggregation::summary::SummaryReport;
use crate::gossip::entry::Revision;
use crate::gossip::entry::{urgency, EntryKey, GossipEntry};
use crate::gossip::entry_table::{InsertOutcome, PartitionDigests};
use crate::gossip::plumtree::{decode_digests, Digest};
use crate::gossip::wire::{
    is_topology_tag, FIRST_MESSAGE_TAG, GRAFT_TAG, HANDSHAKE_TAG, IHAVE_TAG, PRUNE_TAG, QUERY_TAG,
    TIMESTAMP_TAG,
};
use crate::hybrid_clock::Timestamp;
use crate::name_conflict::{ConflictDecision, NameHolder};
use crate::versions::{RouterStatus, VersionUpdate};
use crate::Ms;

impl Cluster {
    /// Handles an entry or a message from a peer, given its key and its value.
    pub fn receive(&mut self, now: Ms, from: &str, key: &[u8], value: &[u8]) {
        if self.participation != Participation::Active {
            return;
        }
        self.counters.messages_received += 1;
        match key {
            [] => self.receive_digests(now, from, value),
            [TIMESTAMP_TAG] => self.receive_timestamp(now, value),
            [tag] if is_topology_tag(*tag) && self.topology.is_some() => {
                self.receive_topology_message(now, from, *tag, value);
            }
            [kind @ FIRST_MESSAGE_TAG..=u8::MAX] => {
                let (from, kind, bytes) = (from.to_string(), *kind, value.to_vec());
                self.actions.push_back(ClusterAction::Message { from, kind, bytes });
            }
            _ => self.receive_entry(now, from, key, value),
        }
    }

    fn receive_timestamp(&mut self, now: Ms, value: &[u8]) {
        match postcard::from_bytes::<Timestamp>(value) {
            Ok(timestamp) => self.clock.observe(now, timestamp),
            Err(_) => self.counters.unreadable += 1,
        }
    }

    fn receive_entry(&mut self, now: Ms, from: &str, key: &[u8], value: &[u8]) {
        let Ok(entry) = GossipEntry::decode(value) else {
            self.counters.unreadable += 1;
            return;
        };
        match EntryKey::decode(key) {
            Some(EntryKey::Router(name)) => self.handle_status(now, from, key, &name, entry),
            Some(EntryKey::NameConflict(name)) => self.handle_name_conflict(now, from, key, &name, entry),
            Some(EntryKey::VersionUpdate(name)) => self.handle_version_update(now, from, key, &name, entry),
            Some(EntryKey::Summary(location)) => self.handle_summary(now, from, key, location, entry),
            // Entries from a straggler are ignored until it has caught up and sends them again.
            Some(kind) if kind != EntryKey::Floor && self.is_straggler(now, from) => {
                self.counters.straggler_entries_ignored += 1;
            }
            Some(kind) => {
                if self.accept_entry(now, from, key, entry.clone(), 0) {
                    self.apply_entry(kind, &entry);
                }
            }
            None => {
                self.accept_entry(now, from, key, entry, 0);
            }
        }
    }

    /// Inserts a received entry and, if it is new, forwards it to peers whose locations share this many
    /// names.
    fn accept_entry(&mut self, now: Ms, from: &str, key: &[u8], entry: GossipEntry, depth: usize) -> bool {
        let revision = entry.revision;
        let outcome = self.table.insert_within(now, key, entry, depth);
        match outcome {
            InsertOutcome::Inserted => {
                self.counters.entries_new += 1;
                self.propagate(now, key.to_vec(), revision, depth, Some(from));
            }
            InsertOutcome::Stale => {
                self.counters.entries_stale += 1;
                if let Some(topology) = &mut self.topology {
                    topology.plumtree.record_duplicate(from, key, revision);
                }
            }
            InsertOutcome::Rejected => self.counters.entries_rejected += 1,
        }
        let is_newest = self.table.get(key).is_some_and(|known| known.revision == revision);
        if let Some(topology) = self.topology.as_mut().filter(|_| is_newest) {
            // The sender has the entry.
            topology.links.dequeue(from, urgency(key), key);
        }
        outcome == InsertOutcome::Inserted
    }

    /// Passes an entry that stems from a journal or from the hierarchy on to the owner, which has this
    /// router's own journal.
    fn apply_entry(&mut self, key: EntryKey, entry: &GossipEntry) {
        let action = match key {
            EntryKey::Cache(name) => entry.decode_body().ok().map(|status| ClusterAction::CacheChanged {
                name,
                status,
                journal_position: entry.revision.epoch,
            }),
            EntryKey::Object(_) | EntryKey::Group(_) => {
                entry.decode_body().ok().map(|purge| ClusterAction::Purged { key, purge })
            }
            EntryKey::Batch(..) => Some(ClusterAction::BatchReceived(entry.body.clone())),
            EntryKey::Floor => return,
            EntryKey::Router(_)
            | EntryKey::NameConflict(_)
            | EntryKey::VersionUpdate(_)
            | EntryKey::Summary(_) => None,
        };
        match action {
            Some(action) => self.actions.push_back(action),
            None => self.counters.unreadable += 1,
        }
    }

    // Statuses and version updates.

    fn handle_status(&mut self, now: Ms, from: &str, key: &[u8], name: &str, entry: GossipEntry) {
        let incarnation = entry.revision.epoch;
        if name == self.name {
            // Other received statuses of this router itself are ignored.
            if incarnation > self.incarnation && !self.name_conflicts.is_rejected(name, incarnation) {
                self.handle_later_incarnation(now, incarnation);
            }
            return;
        }
        if self.name_conflicts.is_rejected(name, incarnation) {
            self.counters.entries_stale += 1;
            return;
        }
        let status = RouterStatus::decode(&entry).ok();
        let topology = self.topology.as_mut();
        if topology.is_some_and(|topology| topology.links.mark_without_location(from)) {
            self.enqueue_known_entries(from);
        }
        let location = status.as_ref().and_then(|status| status.location.as_ref());
        let is_same_site = self.is_same_site(from, location);
        let Some(depth) = self.status_depth(name, is_same_site, status.is_some()) else {
            self.counters.out_of_scope += 1;
            return;
        };
        if !self.accept_entry(now, from, key, entry, depth) {
            return;
        }
        let Some(status) = status else {
            self.counters.unreadable += 1;
            return;
        };
        if !is_same_site {
            return;
        }
        if let Some(change) = self.members.update_status(now, name, incarnation, status) {
            self.emit(ClusterEvent::Member { name: name.to_string(), incarnation, change });
        }
        self.apply_version_update(name);
        self.mark_site_changed(now);
    }

    /// Whether a status belongs to this site. One without a location does if its sender belongs to this site.
    fn is_same_site(&self, from: &str, location: Option<&Location>) -> bool {
        match (&self.topology, location) {
            (None, _) => true,
            (Some(topology), Some(location)) => location == topology.location(),
            (Some(topology), None) => topology.links.is_same_site(from),
        }
    }

    /// The depth of a router's status. With locations `None` if the status is for another site or cannot be
    /// decoded.
    fn status_depth(&self, name: &str, is_same_site: bool, is_readable: bool) -> Option<usize> {
        match &self.topology {
            None => Some(0),
            Some(topology) if is_readable => topology.status_depth(name, is_same_site),
            Some(_) => None,
        }
    }

    fn handle_version_update(&mut self, now: Ms, from: &str, key: &[u8], name: &str, entry: GossipEntry) {
        let status_key = EntryKey::Router(name.to_string()).encode();
        let status = self.table.get(&status_key);
        let has_status = status.is_some_and(|status| status.revision.epoch == entry.revision.epoch);
        // With locations, a router whose status is unknown here belongs to another site, or its status has
        // not arrived.
        if name == self.name || !has_status && self.topology.is_some() {
            return;
        }
        let depth = self.table.depth(&status_key);
        if self.accept_entry(now, from, key, entry, depth) {
            self.apply_version_update(name);
            self.mark_site_changed(now);
        }
    }

    /// Applies the known version update of a router, if it is newer than the status it belongs to.
    fn apply_version_update(&mut self, name: &str) {
        let Some(update) = self.table.get(&EntryKey::VersionUpdate(name.to_string()).encode()) else {
            return;
        };
        let status = self.table.get(&EntryKey::Router(name.to_string()).encode());
        let is_newer = status.is_some_and(|status| {
            status.revision < update.revision && status.revision.epoch == update.revision.epoch
        });
        if let Some(body) = update.decode_body::<VersionUpdate>().ok().filter(|_| is_newer) {
            self.members.apply_version_update(name, update.revision.epoch, &body);
        }
    }

    // Name conflicts.

    /// Handles a later incarnation of this router's name.
    fn handle_later_incarnation(&mut self, now: Ms, incarnation: u64) {
        if self.leaving {
            return;
        }
        match self.name_conflicts.decide(now, self.config.yield_window) {
            ConflictDecision::Yield => {
                let event = ClusterEvent::Yielded { holder: incarnation };
                self.stop_participating(Participation::Yielded(incarnation), event);
            }
            ConflictDecision::Reject => self.reject_later_incarnation(now, incarnation),
        }
    }

    fn reject_later_incarnation(&mut self, now: Ms, incarnation: u64) {
        self.counters.name_conflicts += 1;
        self.emit(ClusterEvent::NameConflict { incarnation });
        self.name_conflicts.reject(&self.name, incarnation);
        let holder = NameHolder { incarnation: self.incarnation };
        let entry = GossipEntry::new(Revision::new(incarnation, 0), 1, &holder);
        self.publish(now, &EntryKey::NameConflict(self.name.clone()), entry);
        // Routers that drop the other incarnation's status need this one's again.
        self.status_changed = true;
        if let Some(topology) = &mut self.topology {
            topology.republish_status();
        }
    }

    fn handle_name_conflict(&mut self, now: Ms, from: &str, key: &[u8], name: &str, entry: GossipEntry) {
        let rejected = entry.revision.epoch;
        let Ok(NameHolder { incarnation: holder }) = entry.decode_body() else {
            self.counters.unreadable += 1;
            return;
        };
        if !self.accept_entry(now, from, key, entry, 0) {
            return;
        }
        if name == self.name {
            if rejected == self.incarnation {
                let event = ClusterEvent::Refused { holder };
                self.stop_participating(Participation::Refused(holder), event);
            }
            return;
        }
        self.name_conflicts.reject(name, rejected);
        let status_key = EntryKey::Router(name.to_string()).encode();
        if self.table.get(&status_key).is_some_and(|status| status.revision.epoch == rejected) {
            self.table.remove(&status_key);
            self.table.remove(&EntryKey::VersionUpdate(name.to_string()).encode());
            self.members.remove_incarnation(name, rejected);
            self.mark_site_changed(now);
        }
    }

    // Locations.

    /// Handles the summary of a location. It is for all routers within the parent location.
    fn handle_summary(&mut self, now: Ms, from: &str, key: &[u8], location: Location, entry: GossipEntry) {
        let Some(topology) = &self.topology else {
            self.accept_entry(now, from, key, entry, 0);
            return;
        };
        let report = entry.decode_body::<SummaryReport>().ok();
        let is_valid = |report: &SummaryReport| location.is_valid() && report.summary.is_valid();
        let Some(report) = report.filter(is_valid) else {
            self.counters.unreadable += 1;
            return;
        };
        let depth = location.depth().saturating_sub(1);
        let age = self.clock.last().ms.saturating_sub(entry.revision.epoch) as f64;
        let max_age = self.config.timeouts.forget_after + topology.summaries.validity();
        if topology.location().common_depth(&location) < depth || age >= max_age {
            self.counters.out_of_scope += 1;
            return;
        }
        let revision = entry.revision;
        if self.accept_entry(now, from, key, entry, depth) {
            if let Some(topology) = &mut self.topology {
                topology.summaries.receive(now, location, report, revision);
            }
        }
    }

    fn receive_topology_message(&mut self, now: Ms, from: &str, tag: u8, value: &[u8]) {
        let is_readable = match tag {
            HANDSHAKE_TAG => {
                LinkHandshake::decode(value).ok().map(|handshake| self.handle_handshake(from, handshake))
            }
            PRUNE_TAG | IHAVE_TAG | GRAFT_TAG => {
                decode_digests(value).map(|digests| self.handle_plumtree_message(now, from, tag, &digests))
            }
            QUERY_TAG => self.receive_query(now, from, value),
            _ => self.receive_answer(value),
        };
        if is_readable.is_none() {
            self.counters.unreadable += 1;
        }
    }

    fn handle_handshake(&mut self, from: &str, handshake: LinkHandshake) {
        let Some(topology) = &mut self.topology else { return };
        if !handshake.location.is_valid() {
            self.counters.unreadable += 1;
            return;
        }
        topology.plumtree.set_lazy_support(from, handshake.supports_lazy_links);
        if topology.links.record_handshake(from, handshake) {
            self.enqueue_known_entries(from);
        }
    }

    /// Queues the known entries for a peer whose location has become known.
    fn enqueue_known_entries(&mut self, peer: &str) {
        self.status_changed = true;
        if let Some(topology) = &mut self.topology {
            topology.enqueue_known_entries(peer, &self.table);
        }
    }

    fn handle_plumtree_message(&mut self, now: Ms, from: &str, tag: u8, digests: &[Digest]) {
        let Some(topology) = &mut self.topology else { return };
        match tag {
            PRUNE_TAG => topology.plumtree.handle_prune(from, digests),
            IHAVE_TAG => topology.plumtree.handle_ihave(now, from, digests),
            _ => {
                for key in topology.plumtree.handle_graft(from, digests) {
                    let depth = self.table.depth(&key);
                    topology.links.enqueue(from, urgency(&key), &key, depth);
                }
            }
        }
    }

    // Anti-entropy.

    fn receive_digests(&mut self, now: Ms, from: &str, value: &[u8]) {
        match postcard::from_bytes::<PartitionDigests>(value) {
            Ok(digests) => self.handle_digests(now, from, digests),
            Err(_) => self.counters.unreadable += 1,
        }
    }

    /// Sends a peer the entries that it lacks.
    fn handle_digests(&mut self, now: Ms, from: &str, theirs: PartitionDigests) {
        // Before the peer's location is known, it is unknown which entries are for it.
        let Some(common_depth) = self.common_depth(from) else { return };
        let own = self.table.digests_within(common_depth);
        let Some(stable) = self.anti_entropy.compare(from, theirs, own) else { return };
        let missing = self.table.differing_within(&stable, common_depth);
        if !self.outbox.has_capacity_for(missing.len()) {
            self.counters.entries_rejected += 1;
            return;
        }
        self.counters.entries_repaired += missing.len() as u64;
        for (key, entry) in missing {
            self.outbox.queue_direct(from, EncodedEntry::new(key, entry.encode()));
        }
        self.flush(now);
    }
}
