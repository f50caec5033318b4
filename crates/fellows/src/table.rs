//! Owns all facts that are known, the newest of each key, and the digests by which two tables are compared.
//!
//! Must never let an older fact take the place of a newer one, nor keep more than its bounds.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::fact::{Entry, Key};
use crate::Ms;

/// How much is kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Kept {
    pub facts: usize,
    /// Bytes of one, and of all.
    pub longest: usize,
    pub bytes: usize,
    /// Facts of kinds that only a newer build knows, which are passed on as they came.
    pub unknown: usize,
}

impl Default for Kept {
    fn default() -> Self {
        Self { facts: 8_192, longest: 64 << 10, bytes: 8 << 20, unknown: 256 }
    }
}

/// What came of a fact that was heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    New,
    /// It is known, or a newer one is.
    Old,
    /// There is no room for it, or it is too long.
    Full,
}

#[derive(Debug, Clone)]
struct Held {
    entry: Entry,
    bytes: usize,
    since: Ms,
}

/// Parts of a table that are compared one by one.
pub const PARTS: usize = 16;
pub type Digests = [u64; PARTS];

#[derive(Debug, Clone, Default)]
pub struct Table {
    kept: Kept,
    facts: BTreeMap<Vec<u8>, Held>,
    bytes: usize,
    unknown: usize,
    digests: Digests,
}

/// The part that a key belongs to.
pub fn part(key: &[u8]) -> usize {
    (xxh3_64(key) % PARTS as u64) as usize
}

fn digest(key: &[u8], entry: &Entry) -> u64 {
    let (first, second) = entry.order;
    let order = [first.to_le_bytes(), second.to_le_bytes()].concat();
    xxh3_64_with_seed(&entry.body, xxh3_64_with_seed(&order, xxh3_64(key)))
}

impl Table {
    pub fn new(kept: Kept) -> Self {
        Self { kept, ..Self::default() }
    }

    /// Other bounds; what is beyond them stays until a newer fact takes its place or it ends.
    pub fn set(&mut self, kept: Kept) {
        self.kept = kept;
    }

    pub fn len(&self) -> usize {
        self.facts.len()
    }

    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn get(&self, key: &[u8]) -> Option<&Entry> {
        self.facts.get(key).map(|held| &held.entry)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&Vec<u8>, &Entry)> {
        self.facts.iter().map(|(key, held)| (key, &held.entry))
    }

    /// By part: the sum over its facts, which does not depend on the order in which they came.
    pub fn digests(&self) -> Digests {
        self.digests
    }

    /// Takes in a fact.
    pub fn take(&mut self, now: Ms, key: &[u8], entry: Entry) -> Taken {
        let newer = |known: &Held| (entry.order, &entry.body) > (known.entry.order, &known.entry.body);
        let known = self.facts.get(key);
        if known.is_some_and(|known| !newer(known)) {
            return Taken::Old;
        }
        let bytes = key.len() + entry.body.len();
        let before = known.map_or(0, |known| known.bytes);
        let strange = known.is_none() && Key::decode(key).is_none();
        let full = known.is_none() && self.facts.len() >= self.kept.facts
            || bytes > self.kept.longest
            || self.bytes - before + bytes > self.kept.bytes
            || strange && self.unknown >= self.kept.unknown;
        if full {
            return Taken::Full;
        }
        self.remove(key);
        self.unknown += usize::from(Key::decode(key).is_none());
        self.bytes += bytes;
        let sum = &mut self.digests[part(key)];
        *sum = sum.wrapping_add(digest(key, &entry));
        self.facts.insert(key.to_vec(), Held { entry, bytes, since: now });
        Taken::New
    }

    pub fn remove(&mut self, key: &[u8]) -> bool {
        let Some(held) = self.facts.remove(key) else { return false };
        self.unknown -= usize::from(Key::decode(key).is_none());
        self.bytes -= held.bytes;
        let sum = &mut self.digests[part(key)];
        *sum = sum.wrapping_sub(digest(key, &held.entry));
        true
    }

    /// Keys of facts that were heard before that and end.
    pub fn older(&self, before: Ms, ends: impl Fn(&Key) -> bool) -> Vec<Vec<u8>> {
        let old = |(key, held): &(&Vec<u8>, &Held)| {
            held.since < before && Key::decode(key).is_none_or(|key| ends(&key))
        };
        self.facts.iter().filter(old).map(|(key, _)| key.clone()).collect()
    }

    /// The facts of the parts in which another table differs.
    pub fn differing(&self, other: &Digests) -> Vec<(Vec<u8>, Entry)> {
        let differs = |key: &[u8]| self.digests[part(key)] != other[part(key)];
        let facts = self.facts.iter().filter(|(key, _)| differs(key));
        facts.map(|(key, held)| (key.clone(), held.entry.clone())).collect()
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn entry(order: u64, body: u8) -> Entry {
        Entry { order: (order, 0), version: 1, body: vec![body] }
    }

    proptest! {
        /// Whatever the order in which facts come, and however often: the same facts, and the same digests.
        #[test]
        fn tables_that_heard_the_same_are_the_same(
            facts in proptest::collection::vec((0u32..20, 0u64..6, 0u8..4), 0..120),
            turns in proptest::collection::vec(any::<prop::sample::Index>(), 0..40),
        ) {
            let (mut one, mut other) = (Table::new(Kept::default()), Table::new(Kept::default()));
            let mut shuffled = facts.clone();
            for turn in turns {
                if !shuffled.is_empty() {
                    let at = turn.index(shuffled.len());
                    let fact = shuffled.remove(at);
                    shuffled.insert(0, fact);
                    shuffled.push(fact);
                }
            }
            for (table, facts) in [(&mut one, &facts), (&mut other, &shuffled)] {
                for (key, order, body) in facts {
                    table.take(0.0, &Key::Group(*key).encode(), entry(*order, *body));
                }
            }
            prop_assert_eq!(one.digests(), other.digests());
            prop_assert!(one.iter().eq(other.iter()));
            prop_assert!(one.differing(&other.digests()).is_empty());
            for (key, _) in other.iter() {
                prop_assert!(one.remove(key));
            }
            prop_assert_eq!((one.digests(), one.bytes()), ([0; PARTS], 0));
        }
    }

    #[test]
    fn an_older_fact_never_wins_and_a_gap_is_found_by_its_part() {
        let mut table = Table::new(Kept::default());
        let key = Key::Router("n1".to_string()).encode();
        assert_eq!(table.take(0.0, &key, entry(5, 1)), Taken::New);
        assert_eq!(table.take(0.0, &key, entry(4, 9)), Taken::Old);
        assert_eq!(table.take(0.0, &key, entry(5, 1)), Taken::Old);
        assert_eq!(table.get(&key), Some(&entry(5, 1)));
        let other = table.clone();
        let new = Key::Router("n2".to_string()).encode();
        table.take(0.0, &new, entry(1, 1));
        let gap = table.differing(&other.digests());
        assert!(gap.iter().any(|(key, _)| *key == new) && gap.len() <= 2);
    }

    #[test]
    fn no_more_is_kept_than_may_be() {
        let kept = Kept { facts: 3, longest: 10, bytes: 20, unknown: 1 };
        let mut table = Table::new(kept);
        let long = Entry { body: vec![0; 11], ..entry(1, 0) };
        assert_eq!(table.take(0.0, &Key::Group(1).encode(), long), Taken::Full);
        assert_eq!(table.take(0.0, &[99, 1], entry(1, 0)), Taken::New);
        assert_eq!(table.take(0.0, &[99, 2], entry(1, 0)), Taken::Full, "of unknown kinds");
        for group in 1..=2 {
            assert_eq!(table.take(0.0, &Key::Group(group).encode(), entry(1, 0)), Taken::New);
        }
        assert_eq!(table.take(0.0, &Key::Group(3).encode(), entry(1, 0)), Taken::Full);
        assert_eq!(table.take(0.0, &Key::Group(2).encode(), entry(2, 0)), Taken::New, "of what is known");
    }
}
