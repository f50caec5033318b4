//! Owns what sites tell each other of themselves: readiness, drains, purges and load, by version.
//!
//! A full state or what has changed since a version that the other side names; a break costs only what it missed. What
//! is older than its bound counts for nothing. Must never take an older word for a newer one, nor hold a purge or a
//! drain back.

use std::collections::{BTreeMap, BTreeSet};

use linnethook::interface::Ms;
use serde::{Deserialize, Serialize};

/// One thing that a site says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FactValue {
    /// A cache, by its name: whether it takes new work. Only one that does not is worth a word, or does again.
    Cache { ready: bool },
    /// A cache that is gone for good.
    CacheRemoved,
    /// An object or group, by its name: copies from before are out of date.
    Purged { stamp: Ms },
    /// The part of what the site can carry that is in use, how many of its caches take new work, and whether its way
    /// to the origin is open.
    Load { utilization: f64, caches: u32, origin_reachable: bool },
    /// It is to be left alone, by its operators.
    Drained(bool),
    /// What fellow routers of one site pass on, as they write it.
    PeerEntry(Vec<u8>),
}

impl FactValue {
    /// Whether it need not be known for ever.
    fn may_expire(&self) -> bool {
        matches!(self, Self::Purged { .. } | Self::CacheRemoved | Self::Cache { ready: true })
    }
}

/// Where a fact belongs: its kind and its name, so that a later one takes the place of an earlier one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum FactKey {
    Cache(String),
    Object(String),
    Group(u32),
    Site,
    Operators,
    /// By the key that fellows have for it.
    PeerEntry(Vec<u8>),
}

impl FactKey {
    /// About how many bytes it takes, with its fact.
    fn estimated_bytes(&self, fact: &FactValue) -> usize {
        let name = match self {
            Self::Cache(name) | Self::Object(name) => name.len(),
            Self::PeerEntry(key) => key.len(),
            Self::Group(_) | Self::Site | Self::Operators => 0,
        };
        let said = if let FactValue::PeerEntry(entry) = fact { entry.len() } else { 0 };
        name + said + 24
    }
}

/// What one side tells the other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StateUpdate {
    /// When the process that tells it started: versions count within it.
    pub epoch: u64,
    /// The version that this is on top of; 0 for all there is.
    pub since: u64,
    pub version: u64,
    pub facts: Vec<(FactKey, FactValue)>,
}

/// A fact with the version in which it was said.
type VersionedFact = (u64, (FactKey, FactValue));

/// What a site says of itself.
#[derive(Debug, Clone)]
pub struct PublishedState {
    epoch: u64,
    version: u64,
    facts: BTreeMap<FactKey, (u64, Ms, FactValue)>,
    /// Below it the order of what was forgotten is not known: whoever is behind it gets all there is.
    complete_since: u64,
    max_facts: usize,
}

impl PublishedState {
    pub fn new(epoch: u64, most: usize) -> Self {
        Self { epoch, version: 0, facts: BTreeMap::new(), complete_since: 0, max_facts: most }
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    /// A fact; nothing happens where it is known as it is.
    pub fn publish(&mut self, now: Ms, about: FactKey, fact: FactValue) -> bool {
        let old = |known: &FactValue| match (known, &fact) {
            (FactValue::Purged { stamp: known }, FactValue::Purged { stamp }) => stamp <= known,
            (known, fact) => known == fact,
        };
        if self.facts.get(&about).is_some_and(|(_, _, known)| old(known)) {
            return false;
        }
        self.version += 1;
        self.facts.insert(about, (self.version, now, fact));
        if self.facts.len() > self.max_facts {
            self.evict_oldest();
        }
        true
    }

    /// What was said before that and holds for good by now need not be told any more: purges, and caches that are gone
    /// or back.
    pub fn expire(&mut self, before: Ms) {
        let count = self.facts.len();
        let mut newest = self.complete_since;
        self.facts.retain(|_, (version, at, fact)| {
            let old = fact.may_expire() && *at < before;
            if old {
                newest = newest.max(*version);
            }
            !old
        });
        if self.facts.len() < count {
            self.complete_since = newest;
        }
    }

    /// What was said longest ago of such things makes room; drains and readiness stay.
    fn evict_oldest(&mut self) {
        let ends = self.facts.iter().filter(|(_, (_, _, fact))| fact.may_expire());
        let first =
            ends.min_by_key(|(_, (version, ..))| *version).map(|(about, (v, ..))| (about.clone(), *v));
        if let Some((about, version)) = first {
            self.facts.remove(&about);
            self.complete_since = self.complete_since.max(version);
        }
    }

    /// What need not be told any more; nobody who has heard of it has to hear that.
    pub fn remove(&mut self, about: &FactKey) {
        self.facts.remove(about);
    }

    /// What was said since a version that the other side has, each with its version; all there is, on top of nothing, where
    /// that is not of this start.
    fn facts_since(&self, epoch: u64, version: u64) -> (u64, Vec<VersionedFact>) {
        let known = epoch == self.epoch && version <= self.version && version >= self.complete_since;
        let since = if known { version } else { 0 };
        let mut said: Vec<VersionedFact> = (self.facts.iter())
            .filter(|(_, (said, ..))| *said > since)
            .map(|(about, (said, _, fact))| (*said, (about.clone(), fact.clone())))
            .collect();
        said.sort_by_key(|(said, _)| *said);
        (since, said)
    }

    /// What has changed since a version that the other side has; all there is where that is not of this start.
    pub fn changes_since(&self, epoch: u64, version: u64) -> StateUpdate {
        let (since, said) = self.facts_since(epoch, version);
        let facts = said.into_iter().map(|(_, fact)| fact).collect();
        StateUpdate { epoch: self.epoch, since, version: self.version, facts }
    }

    /// The same in pieces of about so many bytes at the most: each on top of the one before.
    pub fn update_chunks(&self, epoch: u64, version: u64, bytes: usize) -> Vec<StateUpdate> {
        let (mut since, said) = self.facts_since(epoch, version);
        let (mut pieces, mut facts) = (Vec::new(), Vec::new());
        let (mut last, mut length) = (since, 0);
        for (version, (about, fact)) in said {
            let more = about.estimated_bytes(&fact);
            if length + more > bytes && !facts.is_empty() {
                let facts = std::mem::take(&mut facts);
                pieces.push(StateUpdate { epoch: self.epoch, since, version: last, facts });
                (since, length) = (last, 0);
            }
            length += more;
            last = version;
            facts.push((about, fact));
        }
        pieces.push(StateUpdate { epoch: self.epoch, since, version: self.version, facts });
        pieces
    }
}

/// What came of a state that was heard.
#[derive(Debug, Clone, PartialEq)]
pub enum UpdateResult {
    /// What is new in it.
    Applied(Vec<(FactKey, FactValue)>),
    /// It was heard before, or is of an earlier start.
    Outdated,
    /// Something before it is missing: to be asked for from that version on.
    Missing(u64),
    /// It says more than is kept of a site.
    TooManyFacts,
}

/// What is known of another site.
#[derive(Debug, Clone, Default)]
pub struct ReceivedState {
    epoch: u64,
    version: u64,
    facts: BTreeMap<FactKey, (Ms, FactValue)>,
    last_update: Option<Ms>,
}

impl ReceivedState {
    /// The start and version up to which all is known, to be told at a reconnect.
    pub fn position(&self) -> (u64, u64) {
        (self.epoch, self.version)
    }

    /// A sign of life that tells nothing new.
    pub fn record_activity(&mut self, now: Ms) {
        if self.last_update.is_some() {
            self.last_update = Some(now);
        }
    }

    /// Takes in a state; at most so many facts are kept.
    pub fn apply_update(&mut self, now: Ms, state: StateUpdate, most: usize) -> UpdateResult {
        if state.epoch < self.epoch
            || state.epoch == self.epoch && state.version <= self.version && state.since > 0
        {
            return UpdateResult::Outdated;
        }
        if state.since > 0 && (state.epoch != self.epoch || state.since > self.version) {
            return UpdateResult::Missing(if state.epoch == self.epoch { self.version } else { 0 });
        }
        if self.facts.len() + state.facts.len() > most {
            return UpdateResult::TooManyFacts;
        }
        self.last_update = Some(now);
        let mut new = Vec::new();
        if state.since == 0 {
            // All there is: what is not in it holds no more, but purges are not taken back.
            let told: BTreeSet<&FactKey> = state.facts.iter().map(|(about, _)| about).collect();
            self.facts.retain(|about, (_, fact)| {
                let stays = matches!(fact, FactValue::Purged { .. }) || told.contains(about);
                if !stays && *fact == (FactValue::Cache { ready: false }) {
                    new.push((about.clone(), FactValue::Cache { ready: true }));
                }
                stays
            });
        }
        (self.epoch, self.version) = (state.epoch, state.version);
        for (about, fact) in state.facts {
            // Fellows know by themselves what of theirs is new.
            if matches!(about, FactKey::PeerEntry(_)) {
                new.push((about, fact));
                continue;
            }
            // Of two purges the later one holds, whatever the order.
            let later = match (self.facts.get(&about), &fact) {
                (Some((_, FactValue::Purged { stamp: known })), FactValue::Purged { stamp }) => stamp > known,
                (Some((_, known)), fact) => known != fact,
                (None, _) => true,
            };
            if later {
                self.facts.insert(about.clone(), (now, fact.clone()));
                new.push((about, fact));
            }
        }
        UpdateResult::Applied(new)
    }

    /// Forgets what was heard before that and holds for good by now.
    pub fn expire(&mut self, before: Ms) {
        self.facts.retain(|_, (at, fact)| !fact.may_expire() || *at >= before);
    }

    /// Facts that are kept.
    pub fn len(&self) -> usize {
        self.facts.len()
    }

    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }

    /// Whether it says of a cache that it takes no new work; that holds until it says otherwise.
    pub fn has_barred_cache(&self, cache: &str) -> bool {
        let fact = self.facts.get(&FactKey::Cache(cache.to_string()));
        matches!(fact, Some((_, FactValue::Cache { ready: false } | FactValue::CacheRemoved)))
    }

    /// What is known of something, if it was heard within that bound.
    pub fn get(&self, now: Ms, bound: Ms, about: &FactKey) -> Option<&FactValue> {
        let fresh = self.last_update.is_some_and(|heard| now - heard <= bound);
        self.facts.get(about).filter(|_| fresh).map(|(_, fact)| fact)
    }
}
