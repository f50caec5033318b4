//! A consistent-hash ring after Chord, with several points a member.
//!
//! Every router that knows the same members builds the same ring.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Mixes two numbers into a hash that is the same on every machine.
pub fn mix(a: u64, b: u64) -> u64 {
    xxh3_64_with_seed(&a.to_le_bytes(), b)
}

/// A hash as a number from 0 up to, but not including, 1.
pub fn fraction(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}

/// Members sorted around the ring by the hash of each of their points.
#[derive(Debug, Clone)]
pub struct Ring<M> {
    points: Vec<(u64, M)>,
}

impl<M> Default for Ring<M> {
    fn default() -> Self {
        Self { points: Vec::new() }
    }
}

impl<M: Copy + Ord> Ring<M> {
    /// A ring in which each member has as many points as is said with it, at `place(member, point)`.
    pub fn new(members: impl IntoIterator<Item = (M, u32)>, place: impl Fn(M, u32) -> u64) -> Self {
        let mut points = Vec::new();
        for (member, count) in members {
            points.extend((0..count).map(|n| (place(member, n), member)));
        }
        points.sort_unstable();
        Self { points }
    }

    /// All members, once each, in the order in which the ring meets them from `hash` on.
    pub fn successors(&self, hash: u64) -> Vec<M> {
        let start = self.points.partition_point(|&(at, _)| at < hash);
        let mut met = Vec::new();
        for &(_, member) in self.points[start..].iter().chain(&self.points[..start]) {
            if !met.contains(&member) {
                met.push(member);
            }
        }
        met
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ring(members: &[u64]) -> Ring<u64> {
        Ring::new(members.iter().map(|&m| (m, 64)), |m, n| mix(m, u64::from(n)))
    }

    #[test]
    fn every_member_is_met_once() {
        let mut met = ring(&[1, 2, 3]).successors(mix(9, 9));
        met.sort_unstable();
        assert_eq!(met, [1, 2, 3]);
        assert!(ring(&[]).successors(5).is_empty());
    }

    #[test]
    fn a_leaving_member_moves_only_what_it_owned() {
        let (all, fewer) = (ring(&[1, 2, 3, 4]), ring(&[1, 2, 4]));
        for hash in (0..2000).map(|n| mix(n, 0)) {
            let order = all.successors(hash);
            let heir = if order[0] == 3 { order[1] } else { order[0] };
            assert_eq!(fewer.successors(hash)[0], heir);
        }
    }

    #[test]
    fn shares_follow_the_points() {
        let ring = Ring::new([(1, 100), (2, 300)], |m, n| mix(m, u64::from(n)));
        let owned = (0..8000).filter(|&n| ring.successors(mix(n, 1))[0] == 2).count();
        assert!((4800..7200).contains(&owned), "{owned}");
    }
}
