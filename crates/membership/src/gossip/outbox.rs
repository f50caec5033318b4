//! Queues of entries and messages to send: entries for all peers by urgency, and entries and messages for a
//! single peer in the order of queueing.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::actions::EncodedEntry;
use crate::gossip::entry::{urgency, GossipEntry};
use crate::gossip::entry_table::EntryTable;
use crate::gossip::rate_limit::TokenBucket;
use crate::Ms;

/// The largest number of queued entries and messages for single peers.
const MAX_DIRECT: usize = 16_384;
/// With this many queued entries for all peers their size is not computed: they never leave ample tokens.
const MAX_MEASURED: usize = 256;
/// The most bytes that encoding adds to the body of an entry.
const MAX_ENTRY_OVERHEAD_BYTES: usize = 26;

/// Entries to send together.
#[derive(Debug, Clone, Default)]
pub struct Bundle {
    /// The entries.
    pub entries: Vec<EncodedEntry>,
    /// The number of bytes of their keys and values.
    pub bytes: usize,
}

impl Bundle {
    /// Whether an entry of this size fits into the bundle, and the rate limit allows sending it `copies`
    /// times. The first entry of a bundle fits whatever its size.
    pub fn admits(
        &self,
        now: Ms,
        bytes: usize,
        copies: usize,
        max_bytes: usize,
        rate_limiter: &mut TokenBucket,
    ) -> bool {
        let is_full = self.bytes + bytes > max_bytes && self.bytes > 0;
        !is_full && rate_limiter.try_consume(now, bytes * copies)
    }

    /// Adds an entry.
    pub fn push(&mut self, entry: EncodedEntry) {
        self.bytes += entry.byte_count();
        self.entries.push(entry);
    }
}

/// The entries and messages that are queued for sending.
#[derive(Debug, Clone, Default)]
pub struct Outbox {
    /// Keys of entries for all peers, by urgency and then by key.
    broadcast: BTreeSet<(u8, Vec<u8>)>,
    /// Entries and messages for one peer.
    direct: VecDeque<(String, EncodedEntry)>,
}

impl Outbox {
    /// Queues the entry of a key for all peers.
    pub fn queue_broadcast(&mut self, key: Vec<u8>) {
        self.broadcast.insert((urgency(&key), key));
    }

    /// Queues an entry or a message for one peer.
    pub fn queue_direct(&mut self, peer: &str, entry: EncodedEntry) {
        self.direct.push_back((peer.to_string(), entry));
    }

    /// Whether this many more entries and messages may be queued for single peers.
    pub fn has_capacity_for(&self, additional: usize) -> bool {
        self.direct.len() + additional <= MAX_DIRECT
    }

    /// Removes everything that is queued for this peer alone.
    pub fn remove_peer(&mut self, peer: &str) {
        self.direct.retain(|(to, _)| to != peer);
    }

    /// Removes everything.
    pub fn clear(&mut self) {
        self.broadcast.clear();
        self.direct.clear();
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.broadcast.is_empty() && self.direct.is_empty()
    }

    /// The number of queued entries and messages.
    pub fn len(&self) -> usize {
        self.broadcast.len() + self.direct.len()
    }

    /// Whether half of the rate limit's burst would be left if all queued entries for all peers were sent
    /// over this many links.
    pub fn leaves_ample_tokens(
        &self,
        now: Ms,
        table: &EntryTable,
        links: usize,
        rate_limiter: &mut TokenBucket,
    ) -> bool {
        let entry_bytes = |entry: &GossipEntry| entry.body.len() + MAX_ENTRY_OVERHEAD_BYTES;
        let measured = self.broadcast.iter().take(MAX_MEASURED);
        let bytes: usize = measured.map(|(_, key)| key.len() + table.get(key).map_or(0, entry_bytes)).sum();
        self.broadcast.len() < MAX_MEASURED && rate_limiter.has_ample_tokens(now, bytes * links)
    }

    /// Takes the most urgent entries for all peers, as far as the rate limit allows sending them over this
    /// many links.
    pub fn take_broadcast(
        &mut self,
        now: Ms,
        table: &EntryTable,
        links: usize,
        max_bytes: usize,
        rate_limiter: &mut TokenBucket,
    ) -> Bundle {
        let mut bundle = Bundle::default();
        while let Some((_, key)) = self.broadcast.first() {
            let Some(entry) = table.get(key) else {
                self.broadcast.pop_first();
                continue;
            };
            let encoded = entry.encode();
            let bytes = key.len() + encoded.len();
            if !bundle.admits(now, bytes, links, max_bytes, rate_limiter) {
                break;
            }
            if let Some((_, key)) = self.broadcast.pop_first() {
                bundle.push(EncodedEntry::new(key, encoded));
            }
        }
        bundle
    }

    /// Takes the entries and messages for single peers in the order of queueing, as far as the rate limit
    /// allows. Returns them by peer.
    pub fn take_direct(
        &mut self,
        now: Ms,
        max_bytes: usize,
        rate_limiter: &mut TokenBucket,
    ) -> BTreeMap<String, Bundle> {
        let mut by_peer = BTreeMap::<String, Bundle>::new();
        // The size limit of a bundle applies to all peers together.
        let mut total = Bundle::default();
        while let Some((_, entry)) = self.direct.front() {
            let bytes = entry.byte_count();
            if !total.admits(now, bytes, 1, max_bytes, rate_limiter) {
                break;
            }
            total.bytes += bytes;
            if let Some((peer, entry)) = self.direct.pop_front() {
                by_peer.entry(peer).or_default().push(entry);
            }
        }
        by_peer
    }
}
