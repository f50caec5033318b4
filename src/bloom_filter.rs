//! A rotating Bloom filter with two generations: recent items are found, older ones expire.

use fastbloom::BloomFilter;

use crate::hash_ring::hash_pair;

/// Makes the keys of parts independent of other hashes of an object.
const SALT_PART: u64 = 0x7061_7274;

/// The key of the copies of one part after the purge with that stamp; a stamp of 0 means no purge.
pub fn cached_copy_key(object: u64, part: u32, purge_stamp: u64) -> u64 {
    hash_pair(hash_pair(object, SALT_PART.wrapping_add(u64::from(part))), purge_stamp)
}

/// Two generations of a Bloom filter. [`rotate`](Self::rotate) drops the older one and starts a new one.
#[derive(Debug, Clone)]
pub struct RotatingBloomFilter {
    current: BloomFilter,
    previous: BloomFilter,
}

impl RotatingBloomFilter {
    /// An empty filter with `bits` bits and `hashes` hash functions per generation. With the same seed the
    /// filter gives the same results on every machine.
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
