//! A consistent-hash ring with several points per member.
//!
//! Routers with the same members build identical rings.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hash of two numbers; the result is the same on every machine.
pub fn hash_pair(first: u64, second: u64) -> u64 {
    xxh3_64_with_seed(&first.to_le_bytes(), second)
}

/// Maps a hash to a number from 0 up to but not including 1.
pub fn unit_fraction(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}

/// Members sorted by the hash of each of their points.
#[derive(Debug, Clone)]
pub struct HashRing<M> {
    points: Vec<(u64, M)>,
}

impl<M> Default for HashRing<M> {
    fn default() -> Self {
        Self { points: Vec::new() }
    }
}

impl<M: Copy + Ord> HashRing<M> {
    /// A ring of the members with the given numbers of points. `point_hash(member, n)` is the position of a
    /// member's point `n`.
    pub fn new(members: impl IntoIterator<Item = (M, u32)>, point_hash: impl Fn(M, u32) -> u64) -> Self {
        let mut points = Vec::new();
        for (member, count) in members {
            points.extend((0..count).map(|n| (point_hash(member, n), member)));
        }
        points.sort_unstable();
        Self { points }
    }

    /// All members, once each, in ring order starting at `hash`. The first one is the owner of `hash`.
    pub fn successors(&self, hash: u64) -> Vec<M> {
        let start = self.points.partition_point(|&(at, _)| at < hash);
        let mut found = Vec::new();
        for &(_, member) in self.points[start..].iter().chain(&self.points[..start]) {
            if !found.contains(&member) {
                found.push(member);
            }
        }
        found
    }
}
