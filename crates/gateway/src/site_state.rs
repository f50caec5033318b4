//! The state that sites publish about themselves, with versions: readiness of caches, drains, purges and
//! load.
//!
//! An update holds either the complete state or the changes since a version that the receiver names, so that
//! after a lost connection only the missed changes are sent. An older update never replaces a newer one, and
//! a purge is never reverted.

use std::collections::{BTreeMap, BTreeSet};

use linnethook::interface::Ms;
use serde::{Deserialize, Serialize};

/// The value of a fact.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FactValue {
    /// Whether a cache accepts new work. Published when a cache stops accepting it, and when it accepts it
    /// again.
    Cache {
        /// Whether it accepts new work.
        ready: bool,
    },
    /// A cache was removed permanently.
    CacheRemoved,
    /// Copies of an object or group from before the purge are out of date.
    Purged {
        /// The time of the purge, in Unix milliseconds.
        stamp: Ms,
    },
    /// The load of a site.
    Load {
        /// The utilization of the site, from 0 to 1.
        utilization: f64,
        /// The number of its caches that accept new work.
        caches: u32,
        /// Whether its path to the origin works.
        origin_reachable: bool,
    },
    /// Whether the operators have drained the site.
    Drained(bool),
    /// A gossip entry between routers of one site, in their encoding.
    PeerEntry(Vec<u8>),
}

impl FactValue {
    /// Whether the fact may be dropped once it is old enough.
    fn may_expire(&self) -> bool {
        matches!(self, Self::Purged { .. } | Self::CacheRemoved | Self::Cache { ready: true })
    }
}

/// The subject of a fact. A later fact with the same key replaces an earlier one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum FactKey {
    /// A cache, by its name.
    Cache(String),
    /// An object, by its name.
    Object(String),
    /// A group of objects, by its number.
    Group(u32),
    /// The site itself: its load.
    Site,
    /// The state that the operators requested for the site.
    Operators,
    /// A gossip entry between routers of one site, by its encoded key.
    PeerEntry(Vec<u8>),
}

/// A key and its value, as published by a site. The wire format is the key followed by the value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fact {
    /// The subject.
    pub key: FactKey,
    /// The value.
    pub value: FactValue,
}

/// An approximate upper bound on the encoded size of a fact without its strings.
const FACT_OVERHEAD_BYTES: usize = 24;

impl Fact {
    /// Creates a fact.
    pub fn new(key: FactKey, value: FactValue) -> Self {
        Self { key, value }
    }

    /// The approximate size on the wire.
    fn estimated_bytes(&self) -> usize {
        let key = match &self.key {
            FactKey::Cache(name) | FactKey::Object(name) => name.len(),
            FactKey::PeerEntry(key) => key.len(),
            FactKey::Group(_) | FactKey::Site | FactKey::Operators => 0,
        };
        let value = if let FactValue::PeerEntry(entry) = &self.value { entry.len() } else { 0 };
        key + value + FACT_OVERHEAD_BYTES
    }
}

/// A position in the history of the facts that a process publishes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StatePosition {
    /// The start time of the process, in Unix microseconds. Versions are counted per process.
    pub epoch: u64,
    /// The version up to which all facts are known.
    pub version: u64,
}

/// A change of the state of a site.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StateUpdate {
    /// The start time of the publishing process, in Unix microseconds.
    pub epoch: u64,
    /// The version that the update is based on; 0 if it holds the complete state.
    pub since: u64,
    /// The version that is reached with the update.
    pub version: u64,
    /// The facts, the oldest first.
    pub facts: Vec<Fact>,
}

#[derive(Debug, Clone)]
struct PublishedFact {
    version: u64,
    published_at: Ms,
    value: FactValue,
}

/// A fact with the version at which it was published.
struct VersionedFact {
    version: u64,
    fact: Fact,
}

/// The facts that this process publishes.
#[derive(Debug, Clone)]
pub struct PublishedState {
    epoch: u64,
    version: u64,
    facts: BTreeMap<FactKey, PublishedFact>,
    /// Facts up to this version may have been dropped: a receiver that is behind it gets the complete state.
    complete_since: u64,
    max_facts: usize,
}

impl PublishedState {
    /// Creates an empty state. `epoch` is the start time of this process, in Unix microseconds; facts that
    /// may expire are evicted beyond `max_facts`.
    pub fn new(epoch: u64, max_facts: usize) -> Self {
        Self { epoch, version: 0, facts: BTreeMap::new(), complete_since: 0, max_facts }
    }

    /// The version of the last change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Publishes a fact. Returns false if it is already published.
    pub fn publish(&mut self, now: Ms, key: FactKey, value: FactValue) -> bool {
        let is_known = |known: &FactValue| match (known, &value) {
            (FactValue::Purged { stamp: known }, FactValue::Purged { stamp }) => stamp <= known,
            (known, value) => known == value,
        };
        if self.facts.get(&key).is_some_and(|known| is_known(&known.value)) {
            return false;
        }
        self.version += 1;
        self.facts.insert(key, PublishedFact { version: self.version, published_at: now, value });
        if self.facts.len() > self.max_facts {
            self.evict_oldest();
        }
        true
    }

    /// Drops the facts that may expire and were published before that time: purges, removed caches and caches
    /// that are ready again.
    pub fn expire(&mut self, before: Ms) {
        let count = self.facts.len();
        let mut newest_expired = self.complete_since;
        self.facts.retain(|_, fact| {
            let is_expired = fact.value.may_expire() && fact.published_at < before;
            if is_expired {
                newest_expired = newest_expired.max(fact.version);
            }
            !is_expired
        });
        if self.facts.len() < count {
            self.complete_since = newest_expired;
        }
    }

    /// Evicts the oldest fact that may expire. Drains and caches that are not ready are retained.
    fn evict_oldest(&mut self) {
        let candidates = self.facts.iter().filter(|(_, fact)| fact.value.may_expire());
        let oldest = candidates.min_by_key(|(_, fact)| fact.version);
        if let Some((key, version)) = oldest.map(|(key, fact)| (key.clone(), fact.version)) {
            self.facts.remove(&key);
            self.complete_since = self.complete_since.max(version);
        }
    }

    /// Removes a fact without notifying receivers that already have it.
    pub fn remove(&mut self, key: &FactKey) {
        self.facts.remove(key);
    }

    /// The version that an update for `position` is based on. It is 0, for the complete state, if the
    /// position belongs to another start of the process or precedes dropped facts.
    fn base_version(&self, position: StatePosition) -> u64 {
        let is_known = position.epoch == self.epoch
            && position.version <= self.version
            && position.version >= self.complete_since;
        if is_known {
            position.version
        } else {
            0
        }
    }

    /// The facts published after a version, in ascending order of versions.
    fn facts_since(&self, version: u64) -> Vec<VersionedFact> {
        let newer = self.facts.iter().filter(|(_, fact)| fact.version > version);
        let mut facts: Vec<VersionedFact> = newer
            .map(|(key, fact)| VersionedFact {
                version: fact.version,
                fact: Fact { key: key.clone(), value: fact.value.clone() },
            })
            .collect();
        facts.sort_by_key(|fact| fact.version);
        facts
    }

    /// The changes since a position of the receiver, or the complete state if these are no longer available.
    pub fn changes_since(&self, position: StatePosition) -> StateUpdate {
        let since = self.base_version(position);
        let facts = self.facts_since(since).into_iter().map(|versioned| versioned.fact).collect();
        StateUpdate { epoch: self.epoch, since, version: self.version, facts }
    }

    /// Like [`Self::changes_since`], split into updates of about `max_bytes` that each build on the previous
    /// one.
    pub fn update_chunks(&self, position: StatePosition, max_bytes: usize) -> Vec<StateUpdate> {
        let mut since = self.base_version(position);
        let (mut chunks, mut facts) = (Vec::new(), Vec::new());
        let (mut last_version, mut bytes) = (since, 0);
        for VersionedFact { version, fact } in self.facts_since(since) {
            let added = fact.estimated_bytes();
            if bytes + added > max_bytes && !facts.is_empty() {
                let facts = std::mem::take(&mut facts);
                chunks.push(StateUpdate { epoch: self.epoch, since, version: last_version, facts });
                (since, bytes) = (last_version, 0);
            }
            bytes += added;
            last_version = version;
            facts.push(fact);
        }
        chunks.push(StateUpdate { epoch: self.epoch, since, version: self.version, facts });
        chunks
    }
}

/// The result of applying an update.
#[derive(Debug, Clone, PartialEq)]
pub enum UpdateResult {
    /// It was applied; the facts in it that are new.
    Applied(Vec<Fact>),
    /// It was already known, or is from an earlier start of the process.
    Outdated,
    /// A previous update is missing: the updates after this version have to be requested.
    Missing(u64),
    /// It exceeds the number of facts that are retained for a site.
    TooManyFacts,
}

#[derive(Debug, Clone)]
struct ReceivedFact {
    received_at: Ms,
    value: FactValue,
}

/// The facts received from another process.
#[derive(Debug, Clone, Default)]
pub struct ReceivedState {
    position: StatePosition,
    facts: BTreeMap<FactKey, ReceivedFact>,
    last_update: Option<Ms>,
}

impl ReceivedState {
    /// The position up to which all facts were received; sent to the peer after a reconnect.
    pub fn position(&self) -> StatePosition {
        self.position
    }

    /// Records that something was received from the process, which confirms that its facts are current.
    pub fn record_activity(&mut self, now: Ms) {
        if self.last_update.is_some() {
            self.last_update = Some(now);
        }
    }

    /// Applies an update. At most `max_facts` facts are retained.
    pub fn apply_update(&mut self, now: Ms, update: StateUpdate, max_facts: usize) -> UpdateResult {
        let is_same_start = update.epoch == self.position.epoch;
        let is_known = is_same_start && update.version <= self.position.version && update.since > 0;
        if update.epoch < self.position.epoch || is_known {
            return UpdateResult::Outdated;
        }
        if update.since > 0 && (!is_same_start || update.since > self.position.version) {
            return UpdateResult::Missing(if is_same_start { self.position.version } else { 0 });
        }
        if self.facts.len() + update.facts.len() > max_facts {
            return UpdateResult::TooManyFacts;
        }
        self.last_update = Some(now);
        let mut new = Vec::new();
        if update.since == 0 {
            new = self.remove_missing(&update);
        }
        self.position = StatePosition { epoch: update.epoch, version: update.version };
        new.extend(update.facts.into_iter().filter_map(|fact| self.apply_fact(now, fact)));
        UpdateResult::Applied(new)
    }

    /// Removes the facts that a complete update does not contain, except purges. Returns a fact for each
    /// cache that was not ready and thereby is ready again.
    fn remove_missing(&mut self, update: &StateUpdate) -> Vec<Fact> {
        let published: BTreeSet<&FactKey> = update.facts.iter().map(|fact| &fact.key).collect();
        let mut new = Vec::new();
        self.facts.retain(|key, known| {
            let is_retained = matches!(known.value, FactValue::Purged { .. }) || published.contains(key);
            if !is_retained && known.value == (FactValue::Cache { ready: false }) {
                new.push(Fact { key: key.clone(), value: FactValue::Cache { ready: true } });
            }
            is_retained
        });
        new
    }

    /// Stores a fact and returns it if it is new.
    fn apply_fact(&mut self, now: Ms, fact: Fact) -> Option<Fact> {
        // Routers of one site detect by themselves which gossip entries are new.
        if matches!(fact.key, FactKey::PeerEntry(_)) {
            return Some(fact);
        }
        // The later of two purges wins, regardless of the order of their arrival.
        let is_new = match (self.facts.get(&fact.key).map(|known| &known.value), &fact.value) {
            (Some(FactValue::Purged { stamp: known }), FactValue::Purged { stamp }) => stamp > known,
            (Some(known), value) => known != value,
            (None, _) => true,
        };
        if !is_new {
            return None;
        }
        self.facts.insert(fact.key.clone(), ReceivedFact { received_at: now, value: fact.value.clone() });
        Some(fact)
    }

    /// Drops the facts that may expire and were received before that time.
    pub fn expire(&mut self, before: Ms) {
        self.facts.retain(|_, fact| !fact.value.may_expire() || fact.received_at >= before);
    }

    /// The number of retained facts.
    pub fn len(&self) -> usize {
        self.facts.len()
    }

    /// Whether no facts are retained.
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }

    /// Whether the site has published that a cache accepts no new work. This holds until it publishes
    /// otherwise.
    pub fn has_unavailable_cache(&self, cache: &str) -> bool {
        let fact = self.facts.get(&FactKey::Cache(cache.to_string()));
        let value = fact.map(|fact| &fact.value);
        matches!(value, Some(FactValue::Cache { ready: false } | FactValue::CacheRemoved))
    }

    /// The value of a fact, if anything was received from the process at most `lifetime` milliseconds ago.
    pub fn get(&self, now: Ms, lifetime: Ms, key: &FactKey) -> Option<&FactValue> {
        let is_recent = self.last_update.is_some_and(|at| now - at <= lifetime);
        self.facts.get(key).filter(|_| is_recent).map(|fact| &fact.value)
    }
}
