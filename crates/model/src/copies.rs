//! The copies that a cache stores, each with a retention rank and the time when it was made.
//!
//! Eviction starts with the lowest rank, and takes the least recently used copy of a rank first. The copies
//! of each rank form a linked list in a slab, so that each operation takes constant time, however many copies
//! are stored. The number of copies never exceeds the capacity.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, DefaultHasher};

use crate::Micros;

/// Identifies one part of an object.
pub type Key = u64;

/// Number of retention ranks; rank 0 is evicted first.
pub const RANKS: usize = 4;

const NONE: u32 = u32::MAX;

#[derive(Debug, Clone, Copy)]
struct StoredCopy {
    key: Key,
    issued_at: Micros,
    rank: u8,
    /// Neighbours in the order of use, within the rank.
    older: u32,
    newer: u32,
}

#[derive(Debug, Clone, Copy)]
struct UsageList {
    oldest: u32,
    newest: u32,
}

/// The copies of one cache.
#[derive(Debug, Clone)]
pub struct Copies {
    capacity: usize,
    slab: Vec<StoredCopy>,
    free: Vec<u32>,
    /// Slab index by key. The hasher has no random seed, so that runs with the same seed are identical.
    index_by_key: HashMap<Key, u32, BuildHasherDefault<DefaultHasher>>,
    lists_by_rank: [UsageList; RANKS],
}

impl Copies {
    /// Creates an empty store for at most `capacity` copies.
    pub fn new(capacity: usize) -> Self {
        let empty = UsageList { oldest: NONE, newest: NONE };
        let (slab, free, index_by_key) = (Vec::new(), Vec::new(), HashMap::default());
        Self { capacity, slab, free, index_by_key, lists_by_rank: [empty; RANKS] }
    }

    /// Number of stored copies.
    pub fn len(&self) -> usize {
        self.index_by_key.len()
    }

    pub fn is_empty(&self) -> bool {
        self.index_by_key.is_empty()
    }

    /// When the stored copy was made. Marks the copy as used.
    pub fn get(&mut self, key: Key) -> Option<Micros> {
        let index = *self.index_by_key.get(&key)?;
        self.unlink(index);
        self.link(index);
        Some(self.slab[index as usize].issued_at)
    }

    /// Stores a copy, or replaces the stored one of the same key. Returns the key that was evicted for it.
    ///
    /// A rank above the highest one counts as the highest. A store without capacity ignores the copy.
    pub fn insert(&mut self, key: Key, rank: u8, issued_at: Micros) -> Option<Key> {
        let rank = rank.min(RANKS as u8 - 1);
        if let Some(&index) = self.index_by_key.get(&key) {
            self.unlink(index);
            let copy = &mut self.slab[index as usize];
            (copy.issued_at, copy.rank) = (issued_at, rank);
            self.link(index);
            return None;
        }
        if self.capacity == 0 {
            return None;
        }
        let evicted = if self.index_by_key.len() >= self.capacity { self.evict() } else { None };
        let copy = StoredCopy { key, issued_at, rank, older: NONE, newer: NONE };
        let index = match self.free.pop() {
            Some(index) => {
                self.slab[index as usize] = copy;
                index
            }
            None => {
                self.slab.push(copy);
                self.slab.len() as u32 - 1
            }
        };
        self.index_by_key.insert(key, index);
        self.link(index);
        evicted
    }

    /// Removes a copy. Returns whether it was stored.
    pub fn remove(&mut self, key: Key) -> bool {
        let Some(index) = self.index_by_key.remove(&key) else { return false };
        self.unlink(index);
        self.free.push(index);
        true
    }

    fn evict(&mut self) -> Option<Key> {
        let first = self.lists_by_rank.iter().map(|list| list.oldest).find(|oldest| *oldest != NONE)?;
        let key = self.slab[first as usize].key;
        self.remove(key);
        Some(key)
    }

    /// Appends an entry to the list of its rank as the most recently used one.
    fn link(&mut self, index: u32) {
        let list = &mut self.lists_by_rank[usize::from(self.slab[index as usize].rank)];
        let previous = std::mem::replace(&mut list.newest, index);
        if previous == NONE {
            list.oldest = index;
        } else {
            self.slab[previous as usize].newer = index;
        }
        let copy = &mut self.slab[index as usize];
        (copy.older, copy.newer) = (previous, NONE);
    }

    fn unlink(&mut self, index: u32) {
        let StoredCopy { rank, older, newer, .. } = self.slab[index as usize];
        let list = &mut self.lists_by_rank[usize::from(rank)];
        match older {
            NONE => list.oldest = newer,
            older => self.slab[older as usize].newer = newer,
        }
        let list = &mut self.lists_by_rank[usize::from(rank)];
        match newer {
            NONE => list.newest = older,
            newer => self.slab[newer as usize].older = older,
        }
    }
}
