use super::*;

const UP_TO_DATE: StragglerObservation =
    StragglerObservation { own_version: 5, floor: 5, isolated_since: None, journal_valid_until: 0.0 };

#[test]
fn router_below_floor_is_excluded_after_grace_period_and_recovers_by_ramp() {
    let mut straggler = StragglerDetector::new(StragglerConfig::default());
    assert_eq!(straggler.observe(0.0, &UP_TO_DATE), None);
    let behind = StragglerObservation { floor: 6, ..UP_TO_DATE };
    assert_eq!(straggler.observe(1_000.0, &behind), Some(StragglerState::Lagging(1_000.0)));
    assert_eq!((straggler.observe(10_900.0, &behind), straggler.admitted_ratio(10_900.0)), (None, 1.0));
    assert_eq!(straggler.observe(11_000.0, &behind), Some(StragglerState::Excluded(ExclusionReason::Behind)));
    assert_eq!(straggler.admitted_ratio(11_000.0), 0.0);
    let caught_up = StragglerObservation { own_version: 6, ..behind };
    assert_eq!(straggler.observe(20_000.0, &caught_up), Some(StragglerState::Recovering(20_000.0)));
    assert!((straggler.admitted_ratio(22_500.0) - 0.5).abs() < 1e-9);
    assert_eq!(straggler.observe(25_000.0, &caught_up), Some(StragglerState::UpToDate));
    // A router that catches up within the grace period is not excluded.
    straggler.observe(30_000.0, &behind);
    assert_eq!(straggler.observe(31_000.0, &caught_up), Some(StragglerState::UpToDate));
}

#[test]
fn partition_alone_excludes_no_router() {
    let mut straggler = StragglerDetector::new(StragglerConfig::default());
    for second in 0..1_000 {
        let now = f64::from(second) * 1_000.0;
        let partitioned = StragglerObservation {
            isolated_since: Some(0.0),
            journal_valid_until: now - 2_000.0,
            ..UP_TO_DATE
        };
        assert_eq!(straggler.observe(now, &partitioned), None, "the journal is up to date");
        let stale_journal = StragglerObservation { journal_valid_until: 0.0, ..UP_TO_DATE };
        assert_eq!(straggler.observe(now, &stale_journal), None, "peers can be reached");
    }
    let isolated = StragglerObservation {
        isolated_since: Some(1_000_000.0),
        journal_valid_until: 990_000.0,
        ..UP_TO_DATE
    };
    assert_eq!(straggler.observe(1_029_000.0, &isolated), None);
    assert_eq!(
        straggler.observe(1_030_000.0, &isolated),
        Some(StragglerState::Excluded(ExclusionReason::Isolated))
    );
    let reconnected = StragglerObservation { isolated_since: None, ..isolated };
    assert_eq!(straggler.observe(1_031_000.0, &reconnected), Some(StragglerState::Recovering(1_031_000.0)));
}

#[test]
fn majority_of_voters_decides_version() {
    assert_eq!(majority_version(&[Some(4), Some(7), Some(7)]), 7);
    assert_eq!(majority_version(&[Some(4), Some(4), Some(7)]), 4);
    assert_eq!(majority_version(&[Some(9), None, None]), 0);
    assert_eq!(majority_version(&[Some(9), Some(8), None]), 8);
    assert_eq!(
        majority_version(&[Some(3), Some(3), Some(9), Some(9)]),
        3,
        "half of the voters are not a majority"
    );
    assert_eq!(majority_version(&[]), 0);
}
