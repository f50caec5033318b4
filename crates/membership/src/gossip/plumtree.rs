//! Selects the links over which a new entry is sent in full, and those over which only its digest is sent:
//! one broadcast tree for each key (Plumtree, Leitão et al. 2007).
//!
//! All links are eager at first. A link over which an entry arrives a second time is pruned for the entry's
//! key at both ends: it is lazy for that key from then on, and carries only digests of new entries. An entry
//! of which only digests arrive is requested (grafted), and the link it then arrives over is eager again. The
//! link over which an entry arrived first is never pruned, nor is a link whose other end does not support
//! lazy links.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::gossip::entry::{EntryKey, Revision};
use crate::Ms;

/// The settings of the broadcast trees.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlumtreeConfig {
    /// Whether links are pruned.
    pub lazy_links: bool,
    /// How often digests of new entries are sent over a lazy link that carries nothing else.
    pub announce_interval: Ms,
    /// How long to wait for an announced entry before requesting it, and for a requested one before
    /// requesting it from another peer.
    pub graft_timeout: Ms,
}

impl Default for PlumtreeConfig {
    fn default() -> Self {
        Self { lazy_links: true, announce_interval: 500.0, graft_timeout: 300.0 }
    }
}

/// A digest of a key, or of an entry's key and revision.
pub type Digest = u32;

/// The most digests of one message, and the most keys for which one link is lazy.
const MAX_DIGESTS: usize = 4_096;
/// The largest number of entries whose digests are remembered.
const MAX_SEEN: usize = 8_192;
/// How long the digest of an entry is remembered, in milliseconds.
const SEEN_RETENTION_MS: Ms = 60_000.0;
/// The largest number of announced entries that are missing.
const MAX_MISSING: usize = 4_096;
/// The largest number of peers from which one missing entry is requested.
const MAX_GRAFT_LINKS: usize = 8;

#[derive(Debug, Clone, Default)]
struct PeerLink {
    supports_lazy_links: bool,
    /// Digests of the keys for which the link is lazy.
    lazy_keys: BTreeSet<Digest>,
    /// Digests of new entries that have not been announced yet, by key.
    pending_ihave: BTreeMap<Vec<u8>, Digest>,
    pending_prune: BTreeSet<Digest>,
    pending_graft: BTreeSet<Digest>,
}

/// An entry that this router has or had.
#[derive(Debug, Clone)]
struct SeenEntry {
    key: Vec<u8>,
    /// The peer from which it arrived first; `None` for an entry of this router.
    received_from: Option<String>,
}

/// An entry that was announced and has not arrived.
#[derive(Debug, Clone)]
struct MissingEntry {
    retry_at: Ms,
    /// The peers that announced it and from which it has not been requested yet.
    announced_by: VecDeque<String>,
}

/// The messages to send over one link, as digests.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PlumtreeMessages {
    /// Keys for which this router wants digests of entries only.
    pub prune: Vec<Digest>,
    /// Entries that this router has.
    pub ihave: Vec<Digest>,
    /// Entries that this router requests in full.
    pub graft: Vec<Digest>,
}

/// The sizes of the state of the broadcast trees.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlumtreeSizes {
    /// Entries whose digests are remembered.
    pub seen: usize,
    /// Announced entries that have not arrived.
    pub missing: usize,
    /// The largest number of keys for which a single link is lazy.
    pub lazy: usize,
}

/// One router's state of the broadcast trees.
#[derive(Debug, Clone)]
pub struct Plumtree {
    config: PlumtreeConfig,
    links: BTreeMap<String, PeerLink>,
    seen: BTreeMap<Digest, SeenEntry>,
    /// When each entry was first seen, the oldest first.
    seen_order: VecDeque<(Ms, Digest)>,
    missing: BTreeMap<Digest, MissingEntry>,
    last_announced: Ms,
}

/// Whether entries of this kind use lazy links: the kinds that are published repeatedly.
pub fn uses_lazy_links(key: &EntryKey) -> bool {
    matches!(key, EntryKey::VersionUpdate(_) | EntryKey::Summary(_))
}

fn key_digest(key: &[u8]) -> Digest {
    xxh3_64(key) as Digest
}

fn entry_digest(key: &[u8], revision: Revision) -> Digest {
    xxh3_64_with_seed(&revision.to_bytes(), xxh3_64(key)) as Digest
}

/// Encodes digests as the body of a message.
pub fn encode_digests(digests: &[Digest]) -> Vec<u8> {
    digests.iter().flat_map(|digest| digest.to_le_bytes()).collect()
}

/// Decodes the body of a message; `None` if it has too many digests or ends within one.
pub fn decode_digests(bytes: &[u8]) -> Option<Vec<Digest>> {
    let size = size_of::<Digest>();
    let is_valid = bytes.len().is_multiple_of(size) && bytes.len() <= MAX_DIGESTS * size;
    if !is_valid {
        return None;
    }
    let read = |chunk: &[u8]| chunk.try_into().ok().map(Digest::from_le_bytes);
    Some(bytes.chunks_exact(size).filter_map(read).collect())
}

impl PlumtreeMessages {
    /// Whether there is nothing to send.
    pub fn is_empty(&self) -> bool {
        self.prune.is_empty() && self.ihave.is_empty() && self.graft.is_empty()
    }

    /// The size in bytes of all messages: a tag and the digests of each.
    pub fn bytes(&self) -> usize {
        let kinds = [&self.prune, &self.ihave, &self.graft];
        let sent = kinds.iter().filter(|digests| !digests.is_empty());
        sent.map(|digests| 1 + digests.len() * size_of::<Digest>()).sum()
    }
}

impl PeerLink {
    fn has_urgent_messages(&self) -> bool {
        !self.pending_prune.is_empty() || !self.pending_graft.is_empty()
    }
}

impl Plumtree {
    /// The state of a router without links that has seen no entry.
    pub fn new(config: PlumtreeConfig) -> Self {
        Self {
            config,
            links: BTreeMap::new(),
            seen: BTreeMap::new(),
            seen_order: VecDeque::new(),
            missing: BTreeMap::new(),
            last_announced: f64::NEG_INFINITY,
        }
    }

    /// Applies other settings except `lazy_links`, which the handshake has announced to the peers already.
    pub fn set_config(&mut self, config: PlumtreeConfig) {
        self.config = PlumtreeConfig { lazy_links: self.config.lazy_links, ..config };
    }

    /// Whether this router prunes links.
    pub fn uses_lazy_links(&self) -> bool {
        self.config.lazy_links
    }

    /// Adds a link, eager for all keys.
    pub fn add_link(&mut self, name: &str) {
        self.links.insert(name.to_string(), PeerLink::default());
    }

    /// Removes a link.
    pub fn remove_link(&mut self, name: &str) {
        self.links.remove(name);
    }

    /// Records whether the other end of a link supports lazy links.
    pub fn set_lazy_support(&mut self, name: &str, is_supported: bool) {
        if let Some(link) = self.links.get_mut(name) {
            link.supports_lazy_links = is_supported && self.config.lazy_links;
        }
    }

    /// The link with a peer, if both ends support lazy links.
    fn lazy_capable_link(&mut self, name: &str) -> Option<&mut PeerLink> {
        self.links.get_mut(name).filter(|link| link.supports_lazy_links)
    }

    fn is_lazy_digest(&self, name: &str, key: Digest) -> bool {
        self.links.get(name).is_some_and(|link| link.lazy_keys.contains(&key))
    }

    /// Whether a link is lazy for a key.
    pub fn is_lazy(&self, name: &str, key: &[u8]) -> bool {
        self.is_lazy_digest(name, key_digest(key))
    }

    /// The sizes of the state.
    pub fn sizes(&self) -> PlumtreeSizes {
        PlumtreeSizes {
            seen: self.seen.len(),
            missing: self.missing.len(),
            lazy: self.links.values().map(|link| link.lazy_keys.len()).max().unwrap_or(0),
        }
    }

    /// Records a new entry of a peer or of this router. The link over which it arrived becomes eager for its
    /// key.
    pub fn record_new(&mut self, now: Ms, key: &[u8], revision: Revision, from: Option<&str>) {
        let digest = entry_digest(key, revision);
        self.missing.remove(&digest);
        if let Some(link) = from.and_then(|from| self.links.get_mut(from)) {
            link.lazy_keys.remove(&key_digest(key));
            link.pending_ihave.remove(key);
        }
        let seen = SeenEntry { key: key.to_vec(), received_from: from.map(str::to_string) };
        if self.seen.insert(digest, seen).is_none() {
            self.seen_order.push_back((now, digest));
        }
        self.forget_old_entries(now);
    }

    fn forget_old_entries(&mut self, now: Ms) {
        let is_old = |(seen_at, _): &(Ms, Digest)| now - seen_at >= SEEN_RETENTION_MS;
        while self.seen_order.len() > MAX_SEEN || self.seen_order.front().is_some_and(is_old) {
            if let Some((_, digest)) = self.seen_order.pop_front() {
                self.seen.remove(&digest);
            }
        }
    }

    /// Records a received entry that was known already. The link is pruned for its key, if the entry first
    /// arrived over another link that still exists and is eager.
    pub fn record_duplicate(&mut self, from: &str, key: &[u8], revision: Revision) {
        let Some(seen) = self.seen.get(&entry_digest(key, revision)) else { return };
        let key_digest = key_digest(key);
        let has_eager_source = match seen.received_from.as_deref() {
            None => true,
            Some(first) => {
                let is_linked = self.links.contains_key(first);
                first != from && is_linked && !self.is_lazy_digest(first, key_digest)
            }
        };
        let Some(link) = self.lazy_capable_link(from) else { return };
        link.pending_ihave.remove(key);
        if has_eager_source && link.lazy_keys.len() < MAX_DIGESTS {
            link.lazy_keys.insert(key_digest);
            link.pending_prune.insert(key_digest);
        }
    }

    /// Queues the digest of a new entry for a lazy link.
    pub fn queue_ihave(&mut self, name: &str, key: &[u8], revision: Revision) {
        let link = self.links.get_mut(name);
        if let Some(link) = link.filter(|link| link.pending_ihave.len() < MAX_DIGESTS) {
            link.pending_ihave.insert(key.to_vec(), entry_digest(key, revision));
        }
    }

    /// Forgets a key whose entry was removed.
    pub fn forget(&mut self, key: &[u8]) {
        let digest = key_digest(key);
        for link in self.links.values_mut() {
            link.lazy_keys.remove(&digest);
            link.pending_ihave.remove(key);
        }
    }

    /// Handles a peer's request to send only digests for these keys.
    pub fn handle_prune(&mut self, from: &str, keys: &[Digest]) {
        if let Some(link) = self.lazy_capable_link(from) {
            let free_capacity = MAX_DIGESTS.saturating_sub(link.lazy_keys.len());
            link.lazy_keys.extend(keys.iter().take(free_capacity));
        }
    }

    /// Handles a peer's announcement of these entries. Those that do not arrive within the graft timeout are
    /// requested.
    pub fn handle_ihave(&mut self, now: Ms, from: &str, entries: &[Digest]) {
        let Some(link) = self.links.get_mut(from).filter(|link| link.supports_lazy_links) else { return };
        for digest in entries {
            if self.seen.contains_key(digest) {
                link.pending_ihave.retain(|_, own| own != digest);
                continue;
            }
            if self.missing.len() >= MAX_MISSING && !self.missing.contains_key(digest) {
                continue;
            }
            let retry_at = now + self.config.graft_timeout;
            let unannounced = || MissingEntry { retry_at, announced_by: VecDeque::new() };
            let missing = self.missing.entry(*digest).or_insert_with(unannounced);
            let is_known = missing.announced_by.iter().any(|name| name == from);
            if missing.announced_by.len() < MAX_GRAFT_LINKS && !is_known {
                missing.announced_by.push_back(from.to_string());
            }
        }
    }

    /// Handles a peer's request for these entries: the link becomes eager for their keys again. Returns the
    /// keys of the entries to send.
    pub fn handle_graft(&mut self, from: &str, entries: &[Digest]) -> Vec<Vec<u8>> {
        let Some(link) = self.links.get_mut(from).filter(|link| link.supports_lazy_links) else {
            return Vec::new();
        };
        let known = entries.iter().filter_map(|digest| self.seen.get(digest));
        let keys: Vec<Vec<u8>> = known.map(|seen| seen.key.clone()).collect();
        for key in &keys {
            link.lazy_keys.remove(&key_digest(key));
            link.pending_ihave.remove(key);
        }
        keys
    }

    /// Requests the announced entries that have not arrived in time, from one of the announcing peers after
    /// another.
    pub fn tick(&mut self, now: Ms) {
        let links = &mut self.links;
        let graft_timeout = self.config.graft_timeout;
        self.missing.retain(|digest, missing| {
            if now < missing.retry_at {
                return true;
            }
            missing.retry_at = now + graft_timeout;
            while let Some(name) = missing.announced_by.pop_front() {
                if let Some(link) = links.get_mut(&name) {
                    link.pending_graft.insert(*digest);
                    return true;
                }
            }
            false
        });
    }

    fn announcement_is_due(&self, now: Ms) -> bool {
        now >= self.last_announced + self.config.announce_interval
    }

    /// The links over which messages are to be sent now.
    pub fn links_with_messages(&self, now: Ms) -> Vec<String> {
        let is_announcing = self.announcement_is_due(now);
        let has_messages =
            |link: &PeerLink| link.has_urgent_messages() || is_announcing && !link.pending_ihave.is_empty();
        self.links.iter().filter(|(_, link)| has_messages(link)).map(|(name, _)| name.clone()).collect()
    }

    /// All messages for a link.
    pub fn pending_messages(&self, name: &str) -> PlumtreeMessages {
        let Some(link) = self.links.get(name) else { return PlumtreeMessages::default() };
        PlumtreeMessages {
            prune: link.pending_prune.iter().copied().take(MAX_DIGESTS).collect(),
            ihave: link.pending_ihave.values().copied().collect(),
            graft: link.pending_graft.iter().copied().take(MAX_DIGESTS).collect(),
        }
    }

    /// Records that the pending messages of a link were sent.
    pub fn mark_sent(&mut self, name: &str) {
        if let Some(link) = self.links.get_mut(name) {
            link.pending_prune.clear();
            link.pending_ihave.clear();
            link.pending_graft.clear();
        }
    }

    /// Records that the pending messages of all links have been processed.
    pub fn finish_round(&mut self, now: Ms) {
        if self.announcement_is_due(now) {
            self.last_announced = now;
        }
    }

    /// When messages are to be sent or a request is due.
    pub fn next_deadline(&self) -> Ms {
        if self.links.values().any(PeerLink::has_urgent_messages) {
            return f64::NEG_INFINITY;
        }
        let has_announcements = self.links.values().any(|link| !link.pending_ihave.is_empty());
        let announce_at = match has_announcements {
            true => self.last_announced + self.config.announce_interval,
            false => f64::INFINITY,
        };
        self.missing.values().map(|missing| missing.retry_at).fold(announce_at, f64::min)
    }
}
