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
struct Copy {
    key: Key,
    made: Micros,
    rank: u8,
    /// Neighbours in the order of use, within the rank.
    older: u32,
    newer: u32,
}

#[derive(Debug, Clone, Copy)]
struct Ends {
    oldest: u32,
    newest: u32,
}

/// The copies of one cache.
#[derive(Debug, Clone)]
pub struct Copies {
    most: usize,
    slab: Vec<Copy>,
    free: Vec<u32>,
    /// Slab index by key. The hasher has no random seed, so that runs with the same seed are identical.
    places: HashMap<Key, u32, BuildHasherDefault<DefaultHasher>>,
    ranks: [Ends; RANKS],
}

impl Copies {
    /// Creates an empty store for at most `capacity` copies.
    pub fn new(most: usize) -> Self {
        let none = Ends { oldest: NONE, newest: NONE };
        let (slab, free, places) = (Vec::new(), Vec::new(), HashMap::default());
        Self { most, slab, free, places, ranks: [none; RANKS] }
    }

    pub fn len(&self) -> usize {
        self.places.len()
    }

    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// When the stored copy was made. Marks the copy as used.
    pub fn get(&mut self, key: Key) -> Option<Micros> {
        let place = *self.places.get(&key)?;
        self.unlink(place);
        self.link(place);
        Some(self.slab[place as usize].made)
    }

    /// Stores a copy, or replaces the stored one of the same key. Returns the key that was evicted for it.
    ///
    /// A rank above the highest one counts as the highest. A store without capacity ignores the copy.
    pub fn keep(&mut self, key: Key, rank: u8, made: Micros) -> Option<Key> {
        let rank = rank.min(RANKS as u8 - 1);
        if let Some(&place) = self.places.get(&key) {
            self.unlink(place);
            let copy = &mut self.slab[place as usize];
            (copy.made, copy.rank) = (made, rank);
            self.link(place);
            return None;
        }
        if self.most == 0 {
            return None;
        }
        let gone = if self.places.len() >= self.most { self.evict() } else { None };
        let copy = Copy { key, made, rank, older: NONE, newer: NONE };
        let place = match self.free.pop() {
            Some(place) => {
                self.slab[place as usize] = copy;
                place
            }
            None => {
                self.slab.push(copy);
                self.slab.len() as u32 - 1
            }
        };
        self.places.insert(key, place);
        self.link(place);
        gone
    }

    /// Removes a copy. Returns whether it was stored.
    pub fn drop_copy(&mut self, key: Key) -> bool {
        let Some(place) = self.places.remove(&key) else { return false };
        self.unlink(place);
        self.free.push(place);
        true
    }

    fn evict(&mut self) -> Option<Key> {
        let first = self.ranks.iter().map(|ends| ends.oldest).find(|oldest| *oldest != NONE)?;
        let key = self.slab[first as usize].key;
        self.drop_copy(key);
        Some(key)
    }

    /// Appends an entry to the list of its rank as the most recently used one.
    fn link(&mut self, place: u32) {
        let ends = &mut self.ranks[usize::from(self.slab[place as usize].rank)];
        let before = std::mem::replace(&mut ends.newest, place);
        if before == NONE {
            ends.oldest = place;
        } else {
            self.slab[before as usize].newer = place;
        }
        let copy = &mut self.slab[place as usize];
        (copy.older, copy.newer) = (before, NONE);
    }

    fn unlink(&mut self, place: u32) {
        let Copy { rank, older, newer, .. } = self.slab[place as usize];
        let ends = &mut self.ranks[usize::from(rank)];
        match older {
            NONE => ends.oldest = newer,
            older => self.slab[older as usize].newer = newer,
        }
        let ends = &mut self.ranks[usize::from(rank)];
        match newer {
            NONE => ends.newest = older,
            newer => self.slab[newer as usize].older = older,
        }
    }
}
