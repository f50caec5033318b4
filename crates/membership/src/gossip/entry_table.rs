//! All known entries, the newest of each key, with digests by which two routers compare their tables.
//!
//! An entry of depth N is only for routers that share the outermost N names of this router's location.
//! Digests are maintained by depth, so that two routers compare only the entries that are for both.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::aggregation::location::MAX_DEPTH;
use crate::gossip::entry::{EntryKey, GossipEntry};
use crate::Ms;

/// The limits of a table.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TableLimits {
    /// The number of entries.
    pub entries: usize,
    /// Bytes of one entry.
    pub entry_bytes: usize,
    /// Bytes of all entries together.
    pub total_bytes: usize,
    /// The number of entries of kinds that only a newer build knows. They are forwarded unchanged.
    pub unknown_entries: usize,
}

impl Default for TableLimits {
    fn default() -> Self {
        Self { entries: 8_192, entry_bytes: 64 << 10, total_bytes: 8 << 20, unknown_entries: 256 }
    }
}

/// The outcome of an insertion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InsertOutcome {
    /// The entry was new, or newer than the known one.
    Inserted,
    /// The entry is known, or a newer one is.
    Stale,
    /// The entry exceeds a limit of the table.
    Rejected,
}

#[derive(Debug, Clone)]
struct StoredEntry {
    entry: GossipEntry,
    bytes: usize,
    received_at: Ms,
    /// How many names the locations of two routers must share for one to send the entry to the other; 0 for
    /// all routers.
    depth: usize,
}

/// The number of partitions of a table that are compared separately.
pub const PARTITIONS: usize = 16;

/// A digest of each partition: the wrapping sum over its entries, which does not depend on their order.
pub type PartitionDigests = [u64; PARTITIONS];

/// All known entries.
#[derive(Debug, Clone, Default)]
pub struct EntryTable {
    limits: TableLimits,
    entries: BTreeMap<Vec<u8>, StoredEntry>,
    bytes: usize,
    /// The number of entries of unknown kinds.
    unknown: usize,
    /// By depth of the entries.
    digests: [PartitionDigests; MAX_DEPTH + 1],
}

/// The partition of a key.
pub fn partition(key: &[u8]) -> usize {
    (xxh3_64(key) % PARTITIONS as u64) as usize
}

fn digest(key: &[u8], entry: &GossipEntry) -> u64 {
    let revision_digest = xxh3_64_with_seed(&entry.revision.to_bytes(), xxh3_64(key));
    xxh3_64_with_seed(&entry.body, revision_digest)
}

fn is_unknown_kind(key: &[u8]) -> bool {
    EntryKey::decode(key).is_none()
}

impl EntryTable {
    /// An empty table.
    pub fn new(limits: TableLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Applies other limits. Stored entries beyond them remain until they are replaced or removed.
    pub fn set_limits(&mut self, limits: TableLimits) {
        self.limits = limits;
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of all keys and bodies.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The newest entry of a key.
    pub fn get(&self, key: &[u8]) -> Option<&GossipEntry> {
        self.entries.get(key).map(|stored| &stored.entry)
    }

    /// All entries, by key.
    pub fn iter(&self) -> impl Iterator<Item = (&Vec<u8>, &GossipEntry)> {
        self.entries.iter().map(|(key, stored)| (key, &stored.entry))
    }

    /// The digests of all entries.
    pub fn digests(&self) -> PartitionDigests {
        self.digests_within(MAX_DEPTH)
    }

    /// The digests of the entries for a router whose location shares this many names.
    pub fn digests_within(&self, common_depth: usize) -> PartitionDigests {
        let mut total: PartitionDigests = [0; PARTITIONS];
        for digests in self.digests.iter().take(common_depth + 1) {
            for (sum, digest) in total.iter_mut().zip(digests) {
                *sum = sum.wrapping_add(*digest);
            }
        }
        total
    }

    /// The depth of an entry; 0 if the entry is unknown.
    pub fn depth(&self, key: &[u8]) -> usize {
        self.entries.get(key).map_or(0, |stored| stored.depth)
    }

    /// The keys of the entries for a router whose location shares this many names.
    pub fn keys_within(&self, common_depth: usize) -> impl Iterator<Item = &Vec<u8>> {
        self.entries.iter().filter(move |(_, stored)| stored.depth <= common_depth).map(|(key, _)| key)
    }

    /// Inserts an entry for all routers.
    pub fn insert(&mut self, now: Ms, key: &[u8], entry: GossipEntry) -> InsertOutcome {
        self.insert_within(now, key, entry, 0)
    }

    /// Inserts an entry for the routers whose locations share `depth` names.
    pub fn insert_within(&mut self, now: Ms, key: &[u8], entry: GossipEntry, depth: usize) -> InsertOutcome {
        let known = self.entries.get(key);
        // Of two entries with the same revision every router keeps the one with the greater body.
        let is_newer = |known: &GossipEntry| (entry.revision, &entry.body) > (known.revision, &known.body);
        if known.is_some_and(|known| !is_newer(&known.entry)) {
            return InsertOutcome::Stale;
        }
        let bytes = key.len() + entry.body.len();
        if !self.is_within_limits(key, bytes) {
            return InsertOutcome::Rejected;
        }
        self.remove(key);
        let depth = depth.min(MAX_DEPTH);
        self.unknown += usize::from(is_unknown_kind(key));
        self.bytes += bytes;
        let sum = &mut self.digests[depth][partition(key)];
        *sum = sum.wrapping_add(digest(key, &entry));
        self.entries.insert(key.to_vec(), StoredEntry { entry, bytes, received_at: now, depth });
        InsertOutcome::Inserted
    }

    /// Whether the limits allow an entry of this key and size, in place of the known one.
    fn is_within_limits(&self, key: &[u8], bytes: usize) -> bool {
        let replaced_bytes = self.entries.get(key).map(|known| known.bytes);
        let is_new_key = replaced_bytes.is_none();
        let total_bytes = self.bytes - replaced_bytes.unwrap_or(0) + bytes;
        let is_table_full = is_new_key && self.entries.len() >= self.limits.entries;
        let is_unknown_full =
            is_new_key && is_unknown_kind(key) && self.unknown >= self.limits.unknown_entries;
        let is_too_large = bytes > self.limits.entry_bytes || total_bytes > self.limits.total_bytes;
        !is_table_full && !is_unknown_full && !is_too_large
    }

    /// Removes an entry. Returns false if there is none.
    pub fn remove(&mut self, key: &[u8]) -> bool {
        let Some(removed) = self.entries.remove(key) else { return false };
        self.unknown -= usize::from(is_unknown_kind(key));
        self.bytes -= removed.bytes;
        let sum = &mut self.digests[removed.depth][partition(key)];
        *sum = sum.wrapping_sub(digest(key, &removed.entry));
        true
    }

    /// When an entry was received.
    pub fn received_at(&self, key: &[u8]) -> Option<Ms> {
        self.entries.get(key).map(|stored| stored.received_at)
    }

    /// The keys of the entries that were received before this time and are of a kind that expires. Entries of
    /// unknown kinds always expire.
    pub fn keys_older_than(&self, before: Ms, expires: impl Fn(&EntryKey) -> bool) -> Vec<Vec<u8>> {
        let is_old = |(key, stored): &(&Vec<u8>, &StoredEntry)| {
            stored.received_at < before && EntryKey::decode(key).is_none_or(|key| expires(&key))
        };
        self.entries.iter().filter(is_old).map(|(key, _)| key.clone()).collect()
    }

    /// The entries of the partitions whose digests differ from those of another table.
    pub fn differing(&self, other: &PartitionDigests) -> Vec<(Vec<u8>, GossipEntry)> {
        self.differing_within(other, MAX_DEPTH)
    }

    /// The same, restricted to entries for a router whose location shares this many names.
    pub fn differing_within(
        &self,
        other: &PartitionDigests,
        common_depth: usize,
    ) -> Vec<(Vec<u8>, GossipEntry)> {
        let own = self.digests_within(common_depth);
        let differs = |key: &[u8]| own[partition(key)] != other[partition(key)];
        let is_missing =
            |(key, stored): &(&Vec<u8>, &StoredEntry)| stored.depth <= common_depth && differs(key);
        let missing = self.entries.iter().filter(is_missing);
        missing.map(|(key, stored)| (key.clone(), stored.entry.clone())).collect()
    }
}
