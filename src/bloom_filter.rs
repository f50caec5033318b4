//! A Bloom filter of two generations: recent items are found, older ones expire.

use fastbloom::BloomFilter;

use crate::hash_ring::hash_pair;

/// Separates the keys of parts from other hashes of an object.
const SALT_PART: u64 = 0x7061_7274;

/// The key of one part's copies from after the purge with that stamp; 0 for none.
pub fn cached_copy_key(object: u64, part: u32, purge_stamp: u64) -> u64 {
    hash_pair(hash_pair(object, SALT_PART.wrapping_add(u64::from(part))), purge_stamp)
}

/// Two Bloom filters; [`rotate`](Self::rotate) clears the older one and makes it the current one.
#[derive(Debug, Clone)]
pub struct RotatingBloomFilter {
    current: BloomFilter,
    previous: BloomFilter,
}

impl RotatingBloomFilter {
    /// An empty filter with `bits` bits and `hashes` hash functions per generation. The seed makes it the
    /// same on every machine.
    pub fn new(bits: usize, hashes: u32, seed: u64) -> Self {
        let empty = BloomFilter::with_num_bits(bits).seed(&u128::from(seed)).hashes(hashes);
        Self { current: empty.clone(), previous: empty }
    }

    /// Adds an item to the current generation.
    pub fn insert(&mut self, item: u64) {
        self.current.insert(&item);
    }

    /// Whether `item` was added in either generation; has false positives, but no false negatives.
    pub fn contains(&self, item: u64) -> bool {
        self.current.contains(&item) || self.previous.contains(&item)
    }

    /// Starts a new generation and drops the older one.
    pub fn rotate(&mut self) {
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.clear();
    }

    /// Drops both generations.
    pub fn clear(&mut self) {
        self.current.clear();
        self.previous.clear();
    }
}
