//! Tests of the estimators.

use linnethook::estimators::*;
use linnethook::interface::Ms;

const CONFIG: ConcurrencyLimitConfig = ConcurrencyLimitConfig {
    observation_weight: 0.5,
    time_constant: 1e6,
    max_late_ratio: 0.6,
    decrease_factor: 0.5,
    decrease_interval: 100.0,
    increase: 1.0,
    min_limit: 1.0,
    max_limit: 10.0,
};

#[test]
fn a_limit_tolerates_single_late_results_and_then_decreases_at_intervals() {
    let mut limit = ConcurrencyLimit::new(8.0);
    limit.record(0.0, true, 9.0, &CONFIG);
    assert_eq!(limit.limit, 8.0);
    limit.record(1.0, true, 9.0, &CONFIG);
    limit.record(2.0, true, 9.0, &CONFIG);
    assert_eq!(limit.limit, 4.0);
    limit.record(102.0, true, 9.0, &CONFIG);
    assert_eq!(limit.limit, 2.0);
    (0..20).for_each(|_| limit.record(103.0, false, 9.0, &CONFIG));
    assert_eq!(limit.limit, 10.0);
}

/// At a low request rate, a fault must not take seconds longer to be detected than at a high one.
#[test]
fn rare_results_weigh_more_in_a_limit() {
    let config = ConcurrencyLimitConfig { observation_weight: 0.1, time_constant: 1000.0, ..CONFIG };
    let limit_after_late_results = |interval: Ms| {
        let mut limit = ConcurrencyLimit::new(8.0);
        (0..3).for_each(|n| limit.record(f64::from(n) * interval, true, 9.0, &config));
        limit.limit
    };
    assert_eq!(limit_after_late_results(10.0), 8.0);
    assert!(limit_after_late_results(1500.0) < 8.0);
}

#[test]
fn a_time_weighted_mean_decays_with_time_and_not_with_calls() {
    let (mut once, mut often) = (TimeWeightedMean::default(), TimeWeightedMean::default());
    once.advance(100.0, 4.0, 50.0);
    (1..=10).for_each(|n| often.advance(f64::from(n) * 10.0, 4.0, 50.0));
    assert!((once.mean - often.mean).abs() < 1e-9 && once.mean > 3.0);
}

#[test]
fn a_token_bucket_fills_up_to_its_burst_and_can_be_overdrawn() {
    let mut bucket = TokenBucket::empty(0.0);
    assert_eq!(bucket.available(0.0, 2.0, 10.0), 0.0);
    assert_eq!(bucket.available(100.0, 2.0, 10.0), 10.0);
    bucket.spend(100.0, 2.0, 10.0, 14.0);
    assert_eq!(bucket.available(101.0, 2.0, 10.0), -2.0);
}
