//! What sites publish of themselves: readiness of caches, drains, purges and load, by version.
//!
//! An update is all there is, or what has changed since a version that the other side names, so that a lost connection
//! costs only what was missed. An older update never replaces a newer one, and a purge is never taken back.

use std::collections::{BTreeMap, BTreeSet};

use linnethook::interface::Ms;
use serde::{Deserialize, Serialize};

/// What is the case.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FactValue {
    /// Whether a cache takes new work. Only one that does not is published, or one that does so again.
    Cache {
        /// Whether it does.
        ready: bool,
    },
    /// A cache has left for good.
    CacheRemoved,
    /// Copies of an object or group from before are out of date.
    Purged {
        /// The time of the purge, in Unix milliseconds.
        stamp: Ms,
    },
    /// The load of a site.
    Load {
        /// The ratio of what the site can carry that is in use.
        utilization: f64,
        /// How many of its caches take new work.
        caches: u32,
        /// Whether its path to the origin is open.
        origin_reachable: bool,
    },
    /// Whether the operators have drained the site.
    Drained(bool),
    /// An entry of the gossip between routers of one site, as they encode it.
    PeerEntry(Vec<u8>),
}

impl FactValue {
    /// Whether it need not be known for ever.
    fn may_expire(&self) -> bool {
        matches!(self, Self::Purged { .. } | Self::CacheRemoved | Self::Cache { ready: true })
    }
}

/// What a fact is about. A later fact with the same key replaces an earlier one.
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
    /// What the operators want of the site.
    Operators,
    /// An entry of the gossip between routers of one site, by its encoded key.
    PeerEntry(Vec<u8>),
}

/// Something that a site publishes. On the wire it is the key followed by the value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fact {
    /// What it is about.
    pub key: FactKey,
    /// What is the case.
    pub value: FactValue,
}

/// What the enums, lengths and versions of a fact take on the wire at the most, about, in bytes.
const FACT_OVERHEAD_BYTES: usize = 24;

impl Fact {
    /// What is the case with something.
    pub fn new(key: FactKey, value: FactValue) -> Self {
        Self { key, value }
    }

    /// About how many bytes it takes on the wire.
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

/// A point in the history of what a process has published.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StatePosition {
    /// When the process started, in Unix microseconds: versions count within it.
    pub epoch: u64,
    /// The version up to which all is known.
    pub version: u64,
}

/// What has changed of the state of a site.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StateUpdate {
    /// When the process that publishes it started, in Unix microseconds.
    pub epoch: u64,
    /// The version that this is on top of; 0 if it is all there is.
    pub since: u64,
    /// The version that is known with it.
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

/// A fact with the version in which it was published.
struct VersionedFact {
    version: u64,
    fact: Fact,
}

/// What this process publishes.
#[derive(Debug, Clone)]
pub struct PublishedState {
    epoch: u64,
    version: u64,
    facts: BTreeMap<FactKey, PublishedFact>,
    /// Facts of earlier versions were forgotten: whoever is behind that gets all there is.
    complete_since: u64,
    max_facts: usize,
}

impl PublishedState {
    /// `epoch` is the start of this process; facts that may expire are evicted beyond `max_facts`.
    pub fn new(epoch: u64, max_facts: usize) -> Self {
        Self { epoch, version: 0, facts: BTreeMap::new(), complete_since: 0, max_facts }
    }

    /// The version of the last change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Publishes a fact; false if it is known already.
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

    /// Forgets what was published before that time and need not be known for ever: purges, and caches that are ready
    /// again or have left.
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

    /// Evicts the oldest fact that need not be known for ever; drains and readiness stay.
    fn evict_oldest(&mut self) {
        let candidates = self.facts.iter().filter(|(_, fact)| fact.value.may_expire());
        let oldest = candidates.min_by_key(|(_, fact)| fact.version);
        if let Some((key, version)) = oldest.map(|(key, fact)| (key.clone(), fact.version)) {
            self.facts.remove(&key);
            self.complete_since = self.complete_since.max(version);
        }
    }

    /// Removes a fact. Whoever knows of it is not told.
    pub fn remove(&mut self, key: &FactKey) {
        self.facts.remove(key);
    }

    /// The version that an update for `position` is on top of: 0, so that it holds all there is, where that position is
    /// of another start or behind what was forgotten.
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

    /// The facts after a version, in their order.
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

    /// What has changed since a position of the other side; all there is if that is not known any more.
    pub fn changes_since(&self, position: StatePosition) -> StateUpdate {
        let since = self.base_version(position);
        let facts = self.facts_since(since).into_iter().map(|versioned| versioned.fact).collect();
        StateUpdate { epoch: self.epoch, since, version: self.version, facts }
    }

    /// The same in several updates of about `max_bytes` each, each on top of the one before.
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

/// What came of an update.
#[derive(Debug, Clone, PartialEq)]
pub enum UpdateResult {
    /// What is new in it.
    Applied(Vec<Fact>),
    /// It was known before, or is of an earlier start.
    Outdated,
    /// An update before it is missing: all after that version is to be requested.
    Missing(u64),
    /// It has more facts than are retained of a site.
    TooManyFacts,
}

#[derive(Debug, Clone)]
struct ReceivedFact {
    received_at: Ms,
    value: FactValue,
}

/// What another process has published.
#[derive(Debug, Clone, Default)]
pub struct ReceivedState {
    position: StatePosition,
    facts: BTreeMap<FactKey, ReceivedFact>,
    last_update: Option<Ms>,
}

impl ReceivedState {
    /// The position up to which all is known, for the other side after a reconnect.
    pub fn position(&self) -> StatePosition {
        self.position
    }

    /// Something was received from there, so that what is known still holds.
    pub fn record_activity(&mut self, now: Ms) {
        if self.last_update.is_some() {
            self.last_update = Some(now);
        }
    }

    /// Applies an update; at most `max_facts` are retained.
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

    /// Removes what an update with all there is does not have; purges are not taken back. Caches that were not ready
    /// are ready again, which is new.
    fn remove_missing(&mut self, update: &StateUpdate) -> Vec<Fact> {
        let listed: BTreeSet<&FactKey> = update.facts.iter().map(|fact| &fact.key).collect();
        let mut new = Vec::new();
        self.facts.retain(|key, known| {
            let stays = matches!(known.value, FactValue::Purged { .. }) || listed.contains(key);
            if !stays && known.value == (FactValue::Cache { ready: false }) {
                new.push(Fact { key: key.clone(), value: FactValue::Cache { ready: true } });
            }
            stays
        });
        new
    }

    /// The fact, if it is new.
    fn apply_fact(&mut self, now: Ms, fact: Fact) -> Option<Fact> {
        // Routers of one site know by themselves which entries of their gossip are new.
        if matches!(fact.key, FactKey::PeerEntry(_)) {
            return Some(fact);
        }
        // Of two purges the later one holds, whatever the order in which they arrive.
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

    /// Forgets what was received before that time and need not be known for ever.
    pub fn expire(&mut self, before: Ms) {
        self.facts.retain(|_, fact| !fact.value.may_expire() || fact.received_at >= before);
    }

    /// The number of facts that are retained.
    pub fn len(&self) -> usize {
        self.facts.len()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }

    /// Whether a cache takes no new work; that holds until the site publishes otherwise.
    pub fn has_barred_cache(&self, cache: &str) -> bool {
        let fact = self.facts.get(&FactKey::Cache(cache.to_string()));
        let value = fact.map(|fact| &fact.value);
        matches!(value, Some(FactValue::Cache { ready: false } | FactValue::CacheRemoved))
    }

    /// What is known of something, if the site was received from at most `lifetime` milliseconds ago.
    pub fn get(&self, now: Ms, lifetime: Ms, key: &FactKey) -> Option<&FactValue> {
        let is_recent = self.last_update.is_some_and(|at| now - at <= lifetime);
        self.facts.get(key).filter(|_| is_recent).map(|fact| &fact.value)
    }
}
