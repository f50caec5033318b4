//! The rate budget of one target, under constant offered rates.

use linnethook::interface::Ms;
use linnethook_hierarchy::rate_budget::{RateBudget, RateBudgetConfig};

/// Offers a constant rate of fills for some seconds, and returns how many were admitted in the last second.
fn offer(budget: &mut RateBudget, from: Ms, seconds: u32, per_second: u32, is_late: bool) -> u32 {
    let mut admitted = 0;
    for second in 0..seconds {
        admitted = 0;
        for n in 0..per_second {
            let now = from + f64::from(second) * 1000.0 + f64::from(n) * 1000.0 / f64::from(per_second);
            budget.tick(now);
            if budget.admits(now, 1.0) {
                budget.spend(now, 1.0);
                budget.report(now, is_late);
                admitted += 1;
            }
        }
    }
    admitted
}

#[test]
fn without_late_fills_or_a_change_there_is_no_limit() {
    let mut budget = RateBudget::new(0.0, RateBudgetConfig::default());
    assert_eq!(offer(&mut budget, 0.0, 10, 200, false), 200);
    assert!((budget.rate(10_000.0) - 200.0).abs() < 20.0, "{}", budget.rate(10_000.0));
}

#[test]
fn a_change_is_limited_to_the_rate_before_it_and_the_ceiling_is_removed_afterwards() {
    let mut budget = RateBudget::new(0.0, RateBudgetConfig::default());
    offer(&mut budget, 0.0, 10, 50, false);
    budget.begin_change(10_000.0);
    let during = offer(&mut budget, 10_000.0, 5, 500, false);
    assert!((50..=65).contains(&during), "{during}");
    budget.begin_change(15_000.0);
    let again = offer(&mut budget, 15_000.0, 5, 500, false);
    assert!(again <= 65, "a second change during the first: {again}");
    budget.end_change(20_000.0);
    let after = offer(&mut budget, 20_000.0, 40, 100, false);
    assert!(after == 100 && !budget.has_ceiling(), "{after}");
}

/// Before the rate is known no fill is rejected; once it is known it is the limit.
#[test]
fn a_change_right_after_the_start_is_limited_once_the_rate_is_known() {
    let mut budget = RateBudget::new(0.0, RateBudgetConfig::default());
    assert_eq!(offer(&mut budget, 0.0, 1, 50, false), 50);
    budget.begin_change(1_000.0);
    assert!(budget.is_learning() && !budget.is_near_ceiling(1_000.0));
    assert_eq!(offer(&mut budget, 1_000.0, 3, 50, false), 50, "no limit before the rate is known");
    offer(&mut budget, 4_000.0, 2, 50, false);
    assert!(!budget.is_learning() && budget.has_ceiling());
    let excess = offer(&mut budget, 6_000.0, 5, 500, false);
    assert!((50..=70).contains(&excess), "{excess}");
    let mut ended = RateBudget::new(0.0, RateBudgetConfig::default());
    ended.begin_change(0.0);
    ended.end_change(100.0);
    offer(&mut ended, 200.0, 10, 50, false);
    assert!(
        !ended.is_learning() && ended.limit(11_000.0).is_infinite(),
        "the change ended before the rate was known"
    );
}

#[test]
fn a_target_with_late_fills_is_limited_and_recovers() {
    let mut budget = RateBudget::new(0.0, RateBudgetConfig::default());
    offer(&mut budget, 0.0, 5, 100, false);
    let late_rate = offer(&mut budget, 5_000.0, 10, 100, true);
    assert!(late_rate < 40, "{late_rate}");
    let recovered = offer(&mut budget, 15_000.0, 60, 100, false);
    assert!(recovered >= 99, "{recovered}");
    let delay_without_limit = RateBudget::new(0.0, RateBudgetConfig::default()).delay(0.0, 1.0);
    assert_eq!(delay_without_limit, 0.0);
}
