//! Owns over which links what is new goes whole, and over which only the word that it is here: one broadcast tree for
//! each key, grown by what comes twice (Plumtree, Leitão and others 2007).
//!
//! All links are eager at first. Over which a fact comes a second time is pruned for its key, at both ends, and is lazy
//! from then on: a digest of each new fact goes over it. A fact of which only digests come is asked for, and the link
//! that it then comes over is eager again. Must never prune the link over which a fact came first, make one lazy whose
//! other end knows nothing of it, nor leave a fact that another one has for good.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::gossip::entry::{EntryKey, Revision};
use crate::Ms;

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlumtreeConfig {
    /// Whether links are pruned at all.
    pub lazy_links: bool,
    /// Digests of new facts go over a lazy link so often at the most, where nothing else goes over it.
    pub announce_interval: Ms,
    /// A fact of which a digest came is waited for so long before it is asked for, and before it is asked for elsewhere.
    pub graft_timeout: Ms,
}

impl Default for PlumtreeConfig {
    fn default() -> Self {
        Self { lazy_links: true, announce_interval: 500.0, graft_timeout: 300.0 }
    }
}

/// Of a key, or of a fact: its key and its order.
pub type Digest = u32;

/// Digests of a word, and keys that are lazy on one link.
const MAX_DIGESTS: usize = 4_096;
/// Facts whose digests are known, and for how long.
const MAX_SEEN: usize = 8_192;
const SEEN_RETENTION_MS: Ms = 60_000.0;
/// Facts that are missing, and links that each may be asked of.
const MAX_MISSING: usize = 4_096;
const MAX_GRAFT_LINKS: usize = 8;

#[derive(Debug, Clone, Default)]
struct PeerLink {
    /// Whether the other end knows of lazy links.
    supports_lazy_links: bool,
    lazy_keys: BTreeSet<Digest>,
    /// What is here and not told yet, by key.
    pending_ihave: BTreeMap<Vec<u8>, Digest>,
    pending_prune: BTreeSet<Digest>,
    pending_graft: BTreeSet<Digest>,
}

/// A fact that is or was here.
#[derive(Debug, Clone)]
struct SeenEntry {
    key: Vec<u8>,
    /// Over which link it came first; none for an own one.
    received_from: Option<String>,
}

#[derive(Debug, Clone)]
struct MissingEntry {
    retry_at: Ms,
    announced_by: VecDeque<String>,
}

/// What is to be told over one link, as digests.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PlumtreeMessages {
    /// Keys of which no more is wanted.
    pub prune: Vec<Digest>,
    /// Facts that are here.
    pub ihave: Vec<Digest>,
    /// Facts that are wanted.
    pub graft: Vec<Digest>,
}

/// How many facts' digests are known, how many are missing, and the most keys that are lazy on one link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlumtreeSizes {
    pub seen: usize,
    pub missing: usize,
    pub lazy: usize,
}

#[derive(Debug, Clone)]
pub struct Plumtree {
    config: PlumtreeConfig,
    links: BTreeMap<String, PeerLink>,
    seen: BTreeMap<Digest, SeenEntry>,
    /// When each came that was seen, the oldest first.
    seen_order: VecDeque<(Ms, Digest)>,
    missing: BTreeMap<Digest, MissingEntry>,
    last_announced: Ms,
}

/// Whether facts of that kind go over lazy links as digests: those that are told again and again.
pub fn uses_lazy_links(key: &EntryKey) -> bool {
    matches!(key, EntryKey::VersionUpdate(_) | EntryKey::Summary(_))
}

fn key_digest(key: &[u8]) -> Digest {
    xxh3_64(key) as Digest
}

fn entry_digest(key: &[u8], (first, second): Revision) -> Digest {
    let order = [first.to_le_bytes(), second.to_le_bytes()].concat();
    xxh3_64_with_seed(&order, xxh3_64(key)) as Digest
}

/// Digests as a word carries them.
pub fn encode_digests(digests: &[Digest]) -> Vec<u8> {
    digests.iter().flat_map(|digest| digest.to_le_bytes()).collect()
}

/// Nothing where there are too many, or a part of one.
pub fn decode_digests(bytes: &[u8]) -> Option<Vec<Digest>> {
    let whole =
        bytes.len().is_multiple_of(size_of::<Digest>()) && bytes.len() <= MAX_DIGESTS * size_of::<Digest>();
    let read = |part: &[u8]| part.try_into().ok().map(Digest::from_le_bytes);
    whole.then(|| bytes.chunks_exact(size_of::<Digest>()).filter_map(read).collect())
}

impl PlumtreeMessages {
    pub fn is_empty(&self) -> bool {
        self.prune.is_empty() && self.ihave.is_empty() && self.graft.is_empty()
    }
}

impl Plumtree {
    pub fn new(rule: PlumtreeConfig) -> Self {
        Self {
            config: rule,
            links: BTreeMap::new(),
            seen: BTreeMap::new(),
            seen_order: VecDeque::new(),
            missing: BTreeMap::new(),
            last_announced: f64::NEG_INFINITY,
        }
    }

    /// Other times; whether links are pruned stays as it was told to those that there are links with.
    pub fn set_config(&mut self, rule: PlumtreeConfig) {
        self.config = PlumtreeConfig { lazy_links: self.config.lazy_links, ..rule };
    }

    pub fn uses_lazy_links(&self) -> bool {
        self.config.lazy_links
    }

    pub fn add_link(&mut self, name: &str) {
        self.links.insert(name.to_string(), PeerLink::default());
    }

    pub fn remove_link(&mut self, name: &str) {
        self.links.remove(name);
    }

    /// The other end of a link has said whether it knows of lazy links.
    pub fn set_lazy_support(&mut self, name: &str, able: bool) {
        if let Some(link) = self.links.get_mut(name) {
            link.supports_lazy_links = able && self.config.lazy_links;
        }
    }

    fn is_lazy_digest(&self, name: &str, key: Digest) -> bool {
        self.links.get(name).is_some_and(|link| link.lazy_keys.contains(&key))
    }

    pub fn is_lazy(&self, name: &str, key: &[u8]) -> bool {
        self.is_lazy_digest(name, key_digest(key))
    }

    /// How much is kept.
    pub fn sizes(&self) -> PlumtreeSizes {
        PlumtreeSizes {
            seen: self.seen.len(),
            missing: self.missing.len(),
            lazy: self.links.values().map(|link| link.lazy_keys.len()).max().unwrap_or(0),
        }
    }

    /// A fact is new here, by itself or over a link: that link is eager.
    pub fn record_new(&mut self, now: Ms, key: &[u8], order: Revision, from: Option<&str>) {
        let digest = entry_digest(key, order);
        self.missing.remove(&digest);
        if let Some(link) = from.and_then(|from| self.links.get_mut(from)) {
            link.lazy_keys.remove(&key_digest(key));
            link.pending_ihave.remove(key);
        }
        let seen = SeenEntry { key: key.to_vec(), received_from: from.map(str::to_string) };
        if self.seen.insert(digest, seen).is_none() {
            self.seen_order.push_back((now, digest));
        }
        let old = |(at, _): &(Ms, Digest)| now - at >= SEEN_RETENTION_MS;
        while self.seen_order.len() > MAX_SEEN || self.seen_order.front().is_some_and(old) {
            if let Some((_, digest)) = self.seen_order.pop_front() {
                self.seen.remove(&digest);
            }
        }
    }

    /// A fact came that was here: the link is pruned for its key, if another one stays that it comes over.
    pub fn record_duplicate(&mut self, from: &str, key: &[u8], order: Revision) {
        let Some(seen) = self.seen.get(&entry_digest(key, order)) else { return };
        let by_key = key_digest(key);
        let stays = match seen.received_from.as_deref() {
            None => true,
            Some(first) => {
                first != from && self.links.contains_key(first) && !self.is_lazy_digest(first, by_key)
            }
        };
        let Some(link) = self.links.get_mut(from).filter(|link| link.supports_lazy_links) else { return };
        link.pending_ihave.remove(key);
        if stays && link.lazy_keys.len() < MAX_DIGESTS {
            link.lazy_keys.insert(by_key);
            link.pending_prune.insert(by_key);
        }
    }

    /// A fact that is new here is to be told over a lazy link.
    pub fn queue_ihave(&mut self, name: &str, key: &[u8], order: Revision) {
        if let Some(link) = self.links.get_mut(name).filter(|link| link.pending_ihave.len() < MAX_DIGESTS) {
            link.pending_ihave.insert(key.to_vec(), entry_digest(key, order));
        }
    }

    /// A fact is not kept any more: what was known of its key ends.
    pub fn forget(&mut self, key: &[u8]) {
        let by_key = key_digest(key);
        for link in self.links.values_mut() {
            link.lazy_keys.remove(&by_key);
            link.pending_ihave.remove(key);
        }
    }

    // ---- What the other ends say.

    pub fn handle_prune(&mut self, from: &str, keys: &[Digest]) {
        if let Some(link) = self.links.get_mut(from).filter(|link| link.supports_lazy_links) {
            let room = MAX_DIGESTS.saturating_sub(link.lazy_keys.len());
            link.lazy_keys.extend(keys.iter().take(room));
        }
    }

    pub fn handle_ihave(&mut self, now: Ms, from: &str, facts: &[Digest]) {
        let Some(link) = self.links.get_mut(from).filter(|link| link.supports_lazy_links) else { return };
        for digest in facts {
            if self.seen.contains_key(digest) {
                link.pending_ihave.retain(|_, here| here != digest);
                continue;
            }
            if self.missing.len() < MAX_MISSING || self.missing.contains_key(digest) {
                let due = now + self.config.graft_timeout;
                let missing = self
                    .missing
                    .entry(*digest)
                    .or_insert(MissingEntry { retry_at: due, announced_by: VecDeque::new() });
                if missing.announced_by.len() < MAX_GRAFT_LINKS
                    && !missing.announced_by.iter().any(|name| name == from)
                {
                    missing.announced_by.push_back(from.to_string());
                }
            }
        }
    }

    /// Facts that the other end lacks: the link is eager for them, and their keys are to be told now.
    pub fn handle_graft(&mut self, from: &str, facts: &[Digest]) -> Vec<Vec<u8>> {
        let Some(link) = self.links.get_mut(from).filter(|link| link.supports_lazy_links) else {
            return Vec::new();
        };
        let seen = &self.seen;
        let keys: Vec<Vec<u8>> = facts.iter().filter_map(|fact| Some(seen.get(fact)?.key.clone())).collect();
        for key in &keys {
            link.lazy_keys.remove(&key_digest(key));
            link.pending_ihave.remove(key);
        }
        keys
    }

    // ---- Time.

    /// What did not come in time is asked for.
    pub fn tick(&mut self, now: Ms) {
        let (links, graft) = (&mut self.links, self.config.graft_timeout);
        self.missing.retain(|digest, missing| {
            if now < missing.retry_at {
                return true;
            }
            missing.retry_at = now + graft;
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

    /// Over which links something is to be told now.
    pub fn links_with_messages(&self, now: Ms) -> Vec<String> {
        let announces = self.announcement_is_due(now);
        let waits = |link: &PeerLink| {
            !link.pending_prune.is_empty()
                || !link.pending_graft.is_empty()
                || announces && !link.pending_ihave.is_empty()
        };
        self.links.iter().filter(|(_, link)| waits(link)).map(|(name, _)| name.clone()).collect()
    }

    /// All that is to be told over a link, and how many bytes that is.
    pub fn pending_messages(&self, name: &str) -> (PlumtreeMessages, usize) {
        let Some(link) = self.links.get(name) else { return (PlumtreeMessages::default(), 0) };
        let words = PlumtreeMessages {
            prune: link.pending_prune.iter().copied().take(MAX_DIGESTS).collect(),
            ihave: link.pending_ihave.values().copied().collect(),
            graft: link.pending_graft.iter().copied().take(MAX_DIGESTS).collect(),
        };
        let kinds = [&words.prune, &words.ihave, &words.graft];
        let bytes =
            kinds.iter().filter(|digests| !digests.is_empty()).map(|digests| 1 + digests.len() * 4).sum();
        (words, bytes)
    }

    /// It was told.
    pub fn mark_sent(&mut self, name: &str) {
        if let Some(link) = self.links.get_mut(name) {
            link.pending_prune.clear();
            link.pending_ihave.clear();
            link.pending_graft.clear();
        }
    }

    /// All links have had their turn.
    pub fn finish_round(&mut self, now: Ms) {
        if self.announcement_is_due(now) {
            self.last_announced = now;
        }
    }

    /// When something is to be told, or asked for.
    pub fn next_deadline(&self) -> Ms {
        if self.links.values().any(|link| !link.pending_prune.is_empty() || !link.pending_graft.is_empty()) {
            return f64::NEG_INFINITY;
        }
        let announces = self.links.values().any(|link| !link.pending_ihave.is_empty());
        let announces =
            if announces { self.last_announced + self.config.announce_interval } else { f64::INFINITY };
        self.missing.values().map(|missing| missing.retry_at).fold(announces, f64::min)
    }
}
