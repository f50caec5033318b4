//! A Bloom filter in two generations: what was added lately is found, what is older is forgotten.

use fastbloom::BloomFilter;

use crate::ring::mix;

/// Keeps names of parts apart from other hashes of an object.
const SALT_PART: u64 = 0x7061_7274;

/// The name of one part's copies from after that purge; 0 for none.
pub fn name_of(object: u64, part: u32, purge: u64) -> u64 {
    mix(mix(object, SALT_PART.wrapping_add(u64::from(part))), purge)
}

/// Two Bloom filters; [`rotate`](Self::rotate) drops the older one and starts a new one.
#[derive(Debug, Clone)]
pub struct TwoGenerations {
    young: BloomFilter,
    old: BloomFilter,
}

impl TwoGenerations {
    /// An empty filter of `bits` bits and `hashes` hash functions a generation.
    ///
    /// The seed makes it the same on every machine.
    pub fn new(bits: usize, hashes: u32, seed: u64) -> Self {
        let empty = BloomFilter::with_num_bits(bits).seed(&u128::from(seed)).hashes(hashes);
        Self { young: empty.clone(), old: empty }
    }

    pub fn insert(&mut self, item: u64) {
        self.young.insert(&item);
    }

    /// Whether `item` was added in one of the two generations; may be wrong with "yes", never with "no".
    pub fn contains(&self, item: u64) -> bool {
        self.young.contains(&item) || self.old.contains(&item)
    }

    pub fn rotate(&mut self) {
        std::mem::swap(&mut self.young, &mut self.old);
        self.young.clear();
    }

    pub fn clear(&mut self) {
        self.young.clear();
        self.old.clear();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_item_outlives_one_rotation_and_not_two() {
        let mut filter = TwoGenerations::new(1024, 4, 7);
        filter.insert(42);
        assert!(filter.contains(42));
        filter.rotate();
        assert!(filter.contains(42));
        filter.rotate();
        assert!(!filter.contains(42));
    }

    #[test]
    fn clearing_forgets_both_generations() {
        let mut filter = TwoGenerations::new(1024, 4, 7);
        filter.insert(1);
        filter.rotate();
        filter.insert(2);
        filter.clear();
        assert!(!filter.contains(1) && !filter.contains(2));
    }
}
