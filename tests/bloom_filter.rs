//! Tests of the rotating Bloom filter.

use linnethook::bloom_filter::*;

#[test]
fn an_item_survives_one_rotation_and_not_two() {
    let mut filter = RotatingBloomFilter::new(1024, 4, 7);
    filter.insert(42);
    assert!(filter.contains(42));
    filter.rotate();
    assert!(filter.contains(42));
    filter.rotate();
    assert!(!filter.contains(42));
}

#[test]
fn clearing_drops_both_generations() {
    let mut filter = RotatingBloomFilter::new(1024, 4, 7);
    filter.insert(1);
    filter.rotate();
    filter.insert(2);
    filter.clear();
    assert!(!filter.contains(1) && !filter.contains(2));
}
