//! Tests of the consistent-hash ring.

use linnethook::hash_ring::*;

fn ring(members: &[u64]) -> HashRing<u64> {
    HashRing::new(members.iter().map(|&m| (m, 64)), |m, n| hash_pair(m, u64::from(n)))
}

#[test]
fn every_member_is_a_successor_once() {
    let mut successors = ring(&[1, 2, 3]).successors(hash_pair(9, 9));
    successors.sort_unstable();
    assert_eq!(successors, [1, 2, 3]);
    assert!(ring(&[]).successors(5).is_empty());
}

#[test]
fn removing_a_member_moves_only_what_it_owned() {
    let (all, fewer) = (ring(&[1, 2, 3, 4]), ring(&[1, 2, 4]));
    for hash in (0..2000).map(|n| hash_pair(n, 0)) {
        let order = all.successors(hash);
        let expected_owner = if order[0] == 3 { order[1] } else { order[0] };
        assert_eq!(fewer.successors(hash)[0], expected_owner);
    }
}

#[test]
fn shares_follow_the_points() {
    let ring = HashRing::new([(1, 100), (2, 300)], |m, n| hash_pair(m, u64::from(n)));
    let owned = (0..8000).filter(|&n| ring.successors(hash_pair(n, 1))[0] == 2).count();
    assert!((4800..7200).contains(&owned), "{owned}");
}
