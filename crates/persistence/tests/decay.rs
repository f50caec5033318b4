//! The decay of the weight of a persisted observation.

use linnethook_persistence::decay::{is_filter_valid, DecayPolicy};

#[test]
fn an_observation_decays_with_its_age() {
    let policy = DecayPolicy::HEALTH;
    let now = 1e9;
    for (age, expected) in [
        (0.0, 1.0),
        (policy.half_life, 0.5),
        (2.0 * policy.half_life, 0.25),
        (policy.max_age, 0.0),
        (-1.0, 0.0),
    ] {
        assert!((policy.weight(now - age, now) - expected).abs() < 1e-9, "{age}");
    }
    assert_eq!(policy.weight(f64::NAN, now), 0.0);
    assert!((policy.interpolate(now - policy.half_life, now, 0.8, 0.2) - 0.5).abs() < 1e-9);
    // Recorded at 100: invalid if the cache was listed or purged later.
    assert!(is_filter_valid(100.0, 50.0, None) && is_filter_valid(100.0, 50.0, Some(90.0)));
    assert!(!is_filter_valid(100.0, 120.0, None) && !is_filter_valid(100.0, 50.0, Some(110.0)));
}
