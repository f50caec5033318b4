//! Tests of the `local_capacity` module.

use linnethook_gateway::local_capacity::{LocalCapacity, LocalCapacityConfig, RequestKind};

#[test]
fn unavailable_site_is_detected_by_outcomes_and_probed() {
    let mut capacity = LocalCapacity::new(LocalCapacityConfig::default());
    assert!(!capacity.view().has_caches, "no caches are known yet");
    capacity.set_ready_caches(3);
    for kind in [RequestKind::Read, RequestKind::Write] {
        (0..5).for_each(|_| capacity.record_outcome(0.0, kind, true));
        assert!(
            capacity.view().has_caches && capacity.view().has_origin,
            "fewer than the least number of samples have no effect"
        );
        capacity.record_outcome(0.0, kind, true);
        assert_eq!(
            (capacity.view().has_caches, capacity.view().has_origin),
            (kind == RequestKind::Write, kind == RequestKind::Read)
        );
        assert_eq!((0..100).filter(|n| capacity.take_probe(1_000.0 + f64::from(*n) * 10.0, kind)).count(), 5);
        (0..2).for_each(|_| capacity.record_outcome(1.0, kind, false));
        capacity.record_outcome(1.0, kind, true);
        (0..2).for_each(|_| capacity.record_outcome(1.0, kind, false));
        assert!(
            !capacity.view().has_caches || !capacity.view().has_origin,
            "recovery needs three successes in a row"
        );
        capacity.record_outcome(1.0, kind, false);
        assert!(
            capacity.view().has_caches && capacity.view().has_origin && !capacity.take_probe(9_000.0, kind)
        );
    }
    (0..6).for_each(|_| capacity.record_outcome(1.0, RequestKind::Write, true));
    capacity.record_outcome(20_000.0, RequestKind::Write, false);
    assert!(capacity.view().has_origin, "outcomes beyond their lifetime have no effect");
    capacity.set_drained(true);
    assert!(capacity.view().drained && !capacity.take_probe(30_000.0, RequestKind::Write));
    capacity.set_ready_caches(0);
    assert!(!capacity.view().has_caches);
}
