//! The state of a router with a topology location beside the entry table: its links by location, summaries,
//! broadcast trees, and the routes of queries.

use std::collections::BTreeSet;

use crate::actions::EncodedEntry;
use crate::aggregation::location::Location;
use crate::aggregation::query::QueryRoutes;
use crate::aggregation::scope::{is_scoped, LinkHandshake, ScopedLinks};
use crate::aggregation::tree::SummaryTree;
use crate::config::MembershipConfig;
use crate::gossip::entry::{urgency, EntryKey, Revision};
use crate::gossip::entry_table::EntryTable;
use crate::gossip::outbox::Bundle;
use crate::gossip::plumtree::{encode_digests, uses_lazy_links, Plumtree};
use crate::gossip::rate_limit::TokenBucket;
use crate::gossip::wire::{GRAFT_TAG, IHAVE_TAG, PRUNE_TAG};
use crate::versions::{ActiveVersions, HierarchyVersion, RouterStatus, VersionUpdate};
use crate::Ms;

/// The state of a router with a location.
#[derive(Debug, Clone)]
pub struct Topology {
    /// The links, and the pending entries of each.
    pub links: ScopedLinks,
    /// The summaries of locations.
    pub summaries: SummaryTree,
    /// Which links carry complete entries.
    pub plumtree: Plumtree,
    /// The routes of queries.
    pub queries: QueryRoutes,
    /// The rate limit defers entries for single links until the next flush.
    pub is_deferred: bool,
    /// Routers whose statuses go to all locations.
    voters: BTreeSet<String>,
    last_status: Option<RouterStatus>,
    /// The status is to be published again, even if it has not changed.
    republish_status: bool,
    last_update: VersionUpdate,
    last_update_at: Ms,
}

impl Topology {
    /// The state of a router that starts at a location.
    pub fn new(
        now: Ms,
        config: &MembershipConfig,
        router: &str,
        location: Location,
        versions: &ActiveVersions,
    ) -> Self {
        let silent_until = now + config.timeouts.suspect_after;
        Self {
            summaries: SummaryTree::new(config.aggregation, router, location.clone(), silent_until),
            links: ScopedLinks::new(location),
            plumtree: Plumtree::new(config.plumtree),
            queries: QueryRoutes::default(),
            is_deferred: false,
            voters: BTreeSet::new(),
            last_status: None,
            republish_status: false,
            last_update: VersionUpdate::from_versions(versions),
            last_update_at: now,
        }
    }

    /// The location of this router.
    pub fn location(&self) -> &Location {
        self.links.location()
    }

    /// Sets the routers whose statuses go to all locations. Returns true if they changed.
    pub fn set_voters(&mut self, names: &[String]) -> bool {
        let voters: BTreeSet<String> = names.iter().cloned().collect();
        let has_changed = self.voters != voters;
        self.republish_status |= has_changed;
        self.voters = voters;
        has_changed
    }

    /// Whether the status of a router goes to all locations.
    pub fn is_voter(&self, name: &str) -> bool {
        self.voters.contains(name)
    }

    /// Adds or removes a link.
    pub fn set_link(&mut self, name: &str, is_up: bool) {
        if is_up {
            self.links.add_link(name);
            self.plumtree.add_link(name);
        } else {
            self.links.remove_link(name);
            self.plumtree.remove_link(name);
        }
    }

    /// The handshake that this router sends.
    pub fn handshake(&self, hierarchy: HierarchyVersion) -> LinkHandshake {
        let supports_lazy_links = self.plumtree.uses_lazy_links();
        LinkHandshake { location: self.location().clone(), hierarchy, supports_lazy_links }
    }

    /// The depth of this router's own status: 0 for a voter, else the depth of the site.
    pub fn own_status_depth(&self, router: &str) -> usize {
        if self.is_voter(router) {
            0
        } else {
            self.location().depth()
        }
    }

    /// The depth of another router's status; `None` if the status is for another site only.
    pub fn status_depth(&self, router: &str, is_same_site: bool) -> Option<usize> {
        match self.is_voter(router) {
            true => Some(0),
            false => is_same_site.then_some(self.location().depth()),
        }
    }

    /// Publishes the status again with the next flush, even if it has not changed.
    pub fn republish_status(&mut self) {
        self.republish_status = true;
    }

    /// Records the status that is about to be published. Returns false if it differs from the last one in
    /// progress at most, as after a link with another site came up or went down.
    pub fn record_status(&mut self, now: Ms, status: &RouterStatus) -> bool {
        let is_forced = std::mem::take(&mut self.republish_status);
        let is_known =
            self.last_status.as_ref().is_some_and(|last| is_equal_apart_from_progress(last, status));
        if is_known && !is_forced {
            return false;
        }
        self.last_status = Some(status.clone());
        self.record_update(now, VersionUpdate::from_versions(&status.versions));
        true
    }

    /// Records the version update that is about to be published. Returns true if the hierarchy changed.
    pub fn record_update(&mut self, now: Ms, update: VersionUpdate) -> bool {
        let has_hierarchy_changed = self.last_update.hierarchy != update.hierarchy;
        self.last_update_at = now;
        self.last_update = update;
        self.summaries.mark_changed(now);
        has_hierarchy_changed
    }

    /// When a version update is due: with the next flush if the hierarchy changed, else at the progress
    /// interval.
    pub fn update_deadline(&self, versions: &ActiveVersions, config: &MembershipConfig) -> Ms {
        let update = VersionUpdate::from_versions(versions);
        if update == self.last_update {
            f64::INFINITY
        } else if update.hierarchy != self.last_update.hierarchy {
            self.last_update_at + config.flush_interval
        } else {
            self.last_update_at + config.aggregation.progress_interval
        }
    }

    /// Queues a new entry for all links in its scope; over lazy links only its digest.
    pub fn propagate(
        &mut self,
        now: Ms,
        kind: &EntryKey,
        key: &[u8],
        revision: Revision,
        depth: usize,
        from: Option<&str>,
    ) {
        let is_lazy_kind = uses_lazy_links(kind);
        if is_lazy_kind {
            self.plumtree.record_new(now, key, revision, from);
        }
        for name in self.links.recipients(depth, from) {
            if is_lazy_kind && self.plumtree.is_lazy(&name, key) {
                self.plumtree.queue_ihave(&name, key, revision);
            } else {
                self.links.enqueue(&name, urgency(key), key, depth);
            }
        }
    }

    /// Queues all known entries that are sent link by link and have the peer in their scope.
    pub fn enqueue_known_entries(&mut self, peer: &str, table: &EntryTable) {
        let Some(common_depth) = self.links.common_depth(peer) else { return };
        for key in table.keys_within(common_depth) {
            if EntryKey::decode(key).is_some_and(|key| is_scoped(&key)) {
                self.links.enqueue(peer, urgency(key), key, table.depth(key));
            }
        }
    }

    /// The peers whose links have entries or messages of their own to send now.
    pub fn peers_to_send_to(&mut self, now: Ms, min_idle: Ms) -> Vec<String> {
        let mut peers = self.links.links_ready_to_send(now, min_idle);
        let with_messages = self.plumtree.links_with_messages(now);
        let others: Vec<String> = with_messages.into_iter().filter(|peer| !peers.contains(peer)).collect();
        peers.extend(others);
        peers
    }

    /// Takes the most urgent pending entries for a peer, as far as the rate limit allows.
    pub fn take_entries(
        &mut self,
        now: Ms,
        peer: &str,
        table: &EntryTable,
        max_bytes: usize,
        rate_limiter: &mut TokenBucket,
    ) -> Bundle {
        let mut bundle = Bundle::default();
        while let Some(key) = self.links.first_pending_key(peer) {
            let Some(entry) = table.get(key) else {
                self.links.pop_pending(peer);
                continue;
            };
            let encoded = entry.encode();
            let bytes = key.len() + encoded.len();
            if !bundle.admits(now, bytes, 1, max_bytes, rate_limiter) {
                self.is_deferred = true;
                break;
            }
            bundle.push(EncodedEntry::new(key.to_vec(), encoded));
            self.links.pop_pending(peer);
        }
        bundle
    }

    /// Takes the messages of the broadcast trees for a peer, if the rate limit allows all of them.
    pub fn take_plumtree_messages(
        &mut self,
        now: Ms,
        peer: &str,
        rate_limiter: &mut TokenBucket,
    ) -> Vec<EncodedEntry> {
        let messages = self.plumtree.pending_messages(peer);
        if messages.is_empty() || !rate_limiter.try_consume(now, messages.bytes()) {
            return Vec::new();
        }
        self.plumtree.mark_sent(peer);
        let kinds = [(PRUNE_TAG, messages.prune), (IHAVE_TAG, messages.ihave), (GRAFT_TAG, messages.graft)];
        let sent = kinds.into_iter().filter(|(_, digests)| !digests.is_empty());
        sent.map(|(tag, digests)| EncodedEntry::new(vec![tag], encode_digests(&digests))).collect()
    }
}

fn is_equal_apart_from_progress(one: &RouterStatus, other: &RouterStatus) -> bool {
    let (own, theirs) = (&one.versions, &other.versions);
    own.build == theirs.build
        && own.settings_digest == theirs.settings_digest
        && own.operator_digest == theirs.operator_digest
        && one.links == other.links
        && one.leaving == other.leaving
}
