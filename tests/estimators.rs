//! Estimators of observed quantities.

use linnethook::estimators::*;
use linnethook::interface::Ms;

const RULE: ConcurrencyLimitConfig = ConcurrencyLimitConfig {
    observation_weight: 0.5,
    memory: 1e6,
    max_late_ratio: 0.6,
    decrease_factor: 0.5,
    decrease_interval: 100.0,
    increase: 1.0,
    min_limit: 1.0,
    max_limit: 10.0,
};

#[test]
fn a_gate_bears_single_late_ones_and_then_shrinks_once_a_while() {
    let mut gate = ConcurrencyLimit::new(8.0);
    gate.record(0.0, true, 9.0, &RULE);
    assert_eq!(gate.limit, 8.0);
    gate.record(1.0, true, 9.0, &RULE);
    gate.record(2.0, true, 9.0, &RULE);
    assert_eq!(gate.limit, 4.0);
    gate.record(102.0, true, 9.0, &RULE);
    assert_eq!(gate.limit, 2.0);
    (0..20).for_each(|_| gate.record(103.0, false, 9.0, &RULE));
    assert_eq!(gate.limit, 10.0);
}

/// A thin stream must not take seconds longer than a thick one to tell a trouble.
#[test]
fn what_comes_rarely_weighs_more_in_a_gate() {
    let rule = ConcurrencyLimitConfig { observation_weight: 0.1, memory: 1000.0, ..RULE };
    let after = |every: Ms| {
        let mut gate = ConcurrencyLimit::new(8.0);
        (0..3).for_each(|n| gate.record(f64::from(n) * every, true, 9.0, &rule));
        gate.limit
    };
    assert_eq!(after(10.0), 8.0);
    assert!(after(1500.0) < 8.0);
}

#[test]
fn a_level_fades_with_time_and_not_with_calls() {
    let (mut once, mut often) = (TimeWeightedMean::default(), TimeWeightedMean::default());
    once.advance(100.0, 4.0, 50.0);
    (1..=10).for_each(|n| often.advance(f64::from(n) * 10.0, 4.0, 50.0));
    assert!((once.mean - often.mean).abs() < 1e-9 && once.mean > 3.0);
}

#[test]
fn an_allowance_fills_up_to_its_most_and_can_be_overdrawn() {
    let mut allowance = TokenBucket::empty(0.0);
    assert_eq!(allowance.available(0.0, 2.0, 10.0), 0.0);
    assert_eq!(allowance.available(100.0, 2.0, 10.0), 10.0);
    allowance.spend(100.0, 2.0, 10.0, 14.0);
    assert_eq!(allowance.available(101.0, 2.0, 10.0), -2.0);
}
