//! Owns all facts that are known, the newest of each key, and the digests by which two tables are compared.
//!
//! A fact may be for the places around this router only down to some depth: digests are kept by depth, so that two
//! routers with only some places in common compare only what is for both. Must never let an older fact take the place
//! of a newer one, nor keep more than its bounds.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::aggregation::location::MAX_DEPTH;
use crate::gossip::entry::{EntryKey, GossipEntry};
use crate::Ms;

/// How much is kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TableLimits {
    pub entries: usize,
    /// Bytes of one, and of all.
    pub entry_bytes: usize,
    pub total_bytes: usize,
    /// Facts of kinds that only a newer build knows, which are passed on as they came.
    pub unknown_entries: usize,
}

impl Default for TableLimits {
    fn default() -> Self {
        Self { entries: 8_192, entry_bytes: 64 << 10, total_bytes: 8 << 20, unknown_entries: 256 }
    }
}

/// What came of a fact that was heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InsertOutcome {
    Inserted,
    /// It is known, or a newer one is.
    Stale,
    /// There is no room for it, or it is too long.
    Rejected,
}

#[derive(Debug, Clone)]
struct StoredEntry {
    entry: GossipEntry,
    bytes: usize,
    received_at: Ms,
    /// How many names of a place both ends must have in common for it to be told; 0 for all.
    depth: usize,
}

/// Parts of a table that are compared one by one.
pub const PARTITIONS: usize = 16;
pub type PartitionDigests = [u64; PARTITIONS];

#[derive(Debug, Clone, Default)]
pub struct EntryTable {
    limits: TableLimits,
    entries: BTreeMap<Vec<u8>, StoredEntry>,
    bytes: usize,
    unknown: usize,
    /// By depth.
    digests: [PartitionDigests; MAX_DEPTH + 1],
}

/// The part that a key belongs to.
pub fn part(key: &[u8]) -> usize {
    (xxh3_64(key) % PARTITIONS as u64) as usize
}

fn digest(key: &[u8], entry: &GossipEntry) -> u64 {
    let (first, second) = entry.revision;
    let order = [first.to_le_bytes(), second.to_le_bytes()].concat();
    xxh3_64_with_seed(&entry.body, xxh3_64_with_seed(&order, xxh3_64(key)))
}

impl EntryTable {
    pub fn new(kept: TableLimits) -> Self {
        Self { limits: kept, ..Self::default() }
    }

    /// Other bounds; what is beyond them stays until a newer fact takes its place or it ends.
    pub fn set_limits(&mut self, kept: TableLimits) {
        self.limits = kept;
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn get(&self, key: &[u8]) -> Option<&GossipEntry> {
        self.entries.get(key).map(|held| &held.entry)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&Vec<u8>, &GossipEntry)> {
        self.entries.iter().map(|(key, held)| (key, &held.entry))
    }

    /// By part: the sum over its facts, which does not depend on the order in which they came.
    pub fn digests(&self) -> PartitionDigests {
        self.digests_within(MAX_DEPTH)
    }

    /// The same over facts that may be told where so many names are common.
    pub fn digests_within(&self, common: usize) -> PartitionDigests {
        let mut sum: PartitionDigests = [0; PARTITIONS];
        for digests in self.digests.iter().take(common + 1) {
            sum.iter_mut().zip(digests).for_each(|(sum, part)| *sum = sum.wrapping_add(*part));
        }
        sum
    }

    /// How many names must be common for a fact to be told.
    pub fn depth(&self, key: &[u8]) -> usize {
        self.entries.get(key).map_or(0, |held| held.depth)
    }

    /// Keys of facts that may be told where so many names are common.
    pub fn keys_within(&self, common: usize) -> impl Iterator<Item = &Vec<u8>> {
        self.entries.iter().filter(move |(_, held)| held.depth <= common).map(|(key, _)| key)
    }

    /// Takes in a fact that is for all.
    pub fn insert(&mut self, now: Ms, key: &[u8], entry: GossipEntry) -> InsertOutcome {
        self.insert_within(now, key, entry, 0)
    }

    /// Takes in a fact that is told where so many names are common.
    pub fn insert_within(&mut self, now: Ms, key: &[u8], entry: GossipEntry, depth: usize) -> InsertOutcome {
        let depth = depth.min(MAX_DEPTH);
        let newer =
            |known: &StoredEntry| (entry.revision, &entry.body) > (known.entry.revision, &known.entry.body);
        let known = self.entries.get(key);
        if known.is_some_and(|known| !newer(known)) {
            return InsertOutcome::Stale;
        }
        let bytes = key.len() + entry.body.len();
        let before = known.map_or(0, |known| known.bytes);
        let strange = known.is_none() && EntryKey::decode(key).is_none();
        let full = known.is_none() && self.entries.len() >= self.limits.entries
            || bytes > self.limits.entry_bytes
            || self.bytes - before + bytes > self.limits.total_bytes
            || strange && self.unknown >= self.limits.unknown_entries;
        if full {
            return InsertOutcome::Rejected;
        }
        self.remove(key);
        self.unknown += usize::from(EntryKey::decode(key).is_none());
        self.bytes += bytes;
        let sum = &mut self.digests[depth][part(key)];
        *sum = sum.wrapping_add(digest(key, &entry));
        self.entries.insert(key.to_vec(), StoredEntry { entry, bytes, received_at: now, depth });
        InsertOutcome::Inserted
    }

    pub fn remove(&mut self, key: &[u8]) -> bool {
        let Some(held) = self.entries.remove(key) else { return false };
        self.unknown -= usize::from(EntryKey::decode(key).is_none());
        self.bytes -= held.bytes;
        let sum = &mut self.digests[held.depth][part(key)];
        *sum = sum.wrapping_sub(digest(key, &held.entry));
        true
    }

    /// When a fact was heard.
    pub fn received_at(&self, key: &[u8]) -> Option<Ms> {
        self.entries.get(key).map(|held| held.received_at)
    }

    /// Keys of facts that were heard before that and end.
    pub fn keys_older_than(&self, before: Ms, ends: impl Fn(&EntryKey) -> bool) -> Vec<Vec<u8>> {
        let old = |(key, held): &(&Vec<u8>, &StoredEntry)| {
            held.received_at < before && EntryKey::decode(key).is_none_or(|key| ends(&key))
        };
        self.entries.iter().filter(old).map(|(key, _)| key.clone()).collect()
    }

    /// The facts of the parts in which another table differs.
    pub fn differing(&self, other: &PartitionDigests) -> Vec<(Vec<u8>, GossipEntry)> {
        self.differing_within(other, MAX_DEPTH)
    }

    /// The same of facts that may be told where so many names are common.
    pub fn differing_within(&self, other: &PartitionDigests, common: usize) -> Vec<(Vec<u8>, GossipEntry)> {
        let mine = self.digests_within(common);
        let differs = |key: &[u8]| mine[part(key)] != other[part(key)];
        let facts = self.entries.iter().filter(|(key, held)| held.depth <= common && differs(key));
        facts.map(|(key, held)| (key.clone(), held.entry.clone())).collect()
    }
}
