//! The `local_capacity` module: what the own site can serve.

use linnethook_gateway::local_capacity::{LocalCapacity, LocalCapacityConfig, RequestKind};

#[test]
fn an_unable_home_is_known_by_what_comes_of_it_and_tried_again() {
    let mut home = LocalCapacity::new(LocalCapacityConfig::default());
    assert!(!home.view().has_caches, "nothing is listed yet");
    home.set_listed_caches(3);
    for need in [RequestKind::Read, RequestKind::Write] {
        (0..5).for_each(|_| home.record_outcome(0.0, need, true));
        assert!(home.view().has_caches && home.view().has_origin, "few tell nothing");
        home.record_outcome(0.0, need, true);
        assert_eq!(
            (home.view().has_caches, home.view().has_origin),
            (need == RequestKind::Write, need == RequestKind::Read)
        );
        assert_eq!((0..100).filter(|n| home.take_probe(1_000.0 + f64::from(*n) * 10.0, need)).count(), 5);
        (0..2).for_each(|_| home.record_outcome(1.0, need, false));
        home.record_outcome(1.0, need, true);
        (0..2).for_each(|_| home.record_outcome(1.0, need, false));
        assert!(!home.view().has_caches || !home.view().has_origin, "three in a row");
        home.record_outcome(1.0, need, false);
        assert!(home.view().has_caches && home.view().has_origin && !home.take_probe(9_000.0, need));
    }
    (0..6).for_each(|_| home.record_outcome(1.0, RequestKind::Write, true));
    home.record_outcome(20_000.0, RequestKind::Write, false);
    assert!(home.view().has_origin, "what was long ago counts for nothing");
    home.set_drained(true);
    assert!(home.view().drained && !home.take_probe(30_000.0, RequestKind::Write));
    home.set_listed_caches(0);
    assert!(!home.view().has_caches);
}
