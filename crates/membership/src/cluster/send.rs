//! What this router sends, and when: entries for all peers at every flush, entries for single links also in
//! between.

use std::collections::BTreeSet;

use super::Cluster;
use crate::actions::{ClusterAction, EncodedEntry};
use crate::gossip::outbox::Bundle;
use crate::gossip::wire::{HANDSHAKE_TAG, TIMESTAMP_TAG};
use crate::Ms;

impl Cluster {
    /// Sends a peer the handshake with this router's location.
    pub(super) fn send_handshake(&mut self, peer: &str) {
        let Some(topology) = &self.topology else { return };
        let handshake = topology.handshake(self.versions.hierarchy);
        self.outbox.queue_direct(peer, EncodedEntry::new(vec![HANDSHAKE_TAG], handshake.encode()));
    }

    /// Sends pending entries and messages, as far as the rate limit allows: entries for all peers first, by
    /// urgency.
    pub(super) fn flush(&mut self, now: Ms) {
        self.flush_broadcast(now);
        self.flush_links(now);
        self.flush_direct(now);
    }

    fn flush_broadcast(&mut self, now: Ms) {
        let links = self.link_count();
        let max_bytes = self.config.bundle_bytes;
        let bundle = self.outbox.take_broadcast(now, &self.table, links, max_bytes, &mut self.rate_limiter);
        if bundle.entries.is_empty() {
            return;
        }
        self.count_sent(bundle.bytes * links);
        let entries = self.with_timestamp(now, bundle.entries);
        self.actions.push_back(ClusterAction::Broadcast(entries));
    }

    /// Sends the pending entries and messages for single links.
    fn flush_links(&mut self, now: Ms) {
        let Some(topology) = &mut self.topology else { return };
        topology.plumtree.tick(now);
        topology.is_deferred = false;
        for peer in topology.peers_to_send_to(now, self.config.flush_interval) {
            self.flush_link(now, peer);
        }
        if let Some(topology) = &mut self.topology {
            topology.plumtree.finish_round(now);
        }
    }

    fn flush_link(&mut self, now: Ms, peer: String) {
        let Some(topology) = &mut self.topology else { return };
        let max_bytes = self.config.bundle_bytes;
        let bundle = topology.take_entries(now, &peer, &self.table, max_bytes, &mut self.rate_limiter);
        let messages = topology.take_plumtree_messages(now, &peer, &mut self.rate_limiter);
        let bytes = bundle.bytes + messages.iter().map(EncodedEntry::byte_count).sum::<usize>();
        let mut entries = bundle.entries;
        if !entries.is_empty() {
            entries = self.with_timestamp(now, entries);
        }
        entries.extend(messages);
        if entries.is_empty() {
            return;
        }
        if let Some(topology) = &mut self.topology {
            topology.links.mark_sent(now, &peer);
        }
        self.count_sent(bytes);
        self.actions.push_back(ClusterAction::SendTo(peer, entries));
    }

    fn flush_direct(&mut self, now: Ms) {
        let max_bytes = self.config.bundle_bytes;
        let bundles = self.outbox.take_direct(now, max_bytes, &mut self.rate_limiter);
        for (peer, Bundle { entries, bytes }) in bundles {
            self.count_sent(bytes);
            let entries = self.with_timestamp(now, entries);
            self.actions.push_back(ClusterAction::SendTo(peer, entries));
        }
    }

    /// Whether entries are pending for an idle link, and the rate limit has not deferred them.
    pub(super) fn is_link_flush_due(&self, now: Ms) -> bool {
        let topology = self.topology.as_ref().filter(|topology| !topology.is_deferred);
        let oldest_send = topology.and_then(|topology| topology.links.oldest_send());
        oldest_send.is_some_and(|last_sent| now >= last_sent + self.config.flush_interval)
    }

    /// Sends entries for single links before the next flush, if that leaves ample tokens of the rate limit:
    /// entries for all peers must not be delayed by them.
    pub(super) fn flush_links_early(&mut self, now: Ms) {
        let links = self.link_count();
        if self.outbox.leaves_ample_tokens(now, &self.table, links, &mut self.rate_limiter) {
            self.flush_links(now);
        } else if let Some(topology) = &mut self.topology {
            topology.is_deferred = true;
        }
    }

    /// Sends each peer the digests of the entries that have it in their scope.
    pub(super) fn send_digests(&mut self) {
        let peers: BTreeSet<String> = self.members.links().map(|(name, _)| name.clone()).collect();
        for peer in peers {
            let Some(common_depth) = self.common_depth(&peer) else { continue };
            let digests = self.table.digests_within(common_depth);
            let bytes = postcard::to_stdvec(&digests).unwrap_or_default();
            self.count_sent(bytes.len());
            let message = EncodedEntry::new(Vec::new(), bytes);
            self.actions.push_back(ClusterAction::SendTo(peer, vec![message]));
        }
    }

    /// When something is to be sent; `None` if nothing is pending.
    pub(super) fn flush_deadline(&self) -> Option<Ms> {
        let next_flush = self.last_flush + self.config.flush_interval;
        let has_pending = self.status_changed || !self.outbox.is_empty();
        let flush_at = has_pending.then_some(next_flush);
        let link_flush_at = self.topology.as_ref().and_then(|topology| {
            let idle_at = topology.links.oldest_send()? + self.config.flush_interval;
            Some(if topology.is_deferred { next_flush } else { next_flush.min(idle_at) })
        });
        let publish_at = self.topology.as_ref().map(|topology| {
            let due = topology.summaries.next_deadline().min(topology.plumtree.next_deadline());
            due.min(topology.update_deadline(&self.versions, &self.config)).max(next_flush)
        });
        flush_at.into_iter().chain(link_flush_at).chain(publish_at).reduce(f64::min)
    }

    /// Prepends a timestamp of this router to the entries.
    fn with_timestamp(&mut self, now: Ms, mut entries: Vec<EncodedEntry>) -> Vec<EncodedEntry> {
        let timestamp = postcard::to_stdvec(&self.clock.next_timestamp(now)).unwrap_or_default();
        entries.insert(0, EncodedEntry::new(vec![TIMESTAMP_TAG], timestamp));
        entries
    }

    /// The number of links, at least 1.
    fn link_count(&self) -> usize {
        self.members.links().count().max(1)
    }

    fn count_sent(&mut self, bytes: usize) {
        self.counters.messages_sent += 1;
        self.counters.bytes_sent += bytes as u64;
    }
}
