//! Compares the shield, the leases and the recent keys with simple models, over seeded scripts.

use std::collections::{BTreeMap, HashMap};

use linnethook_hierarchy::lease::{FetchKey, Grant, LeaseId, LeaseTable};
use linnethook_hierarchy::origin_shield::{
    FillOutcome, FillRequest, OriginShield, Priority, QueuedDecision, ShieldConfig, ShieldDecision,
    ShieldRejection, TierCost,
};
use linnethook_hierarchy::rate_budget::RateBudgetConfig;
use linnethook_hierarchy::recent_keys::RecentKeys;
use linnethook_hierarchy::NodeId;
use proptest::prelude::{any, prop_assert, prop_assert_eq, proptest, ProptestConfig};
use proptest::test_runner::RngSeed;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn outcome(has_copy: bool, is_late: bool) -> FillOutcome {
    FillOutcome { has_copy, is_late: Some(is_late), reached_source: None, reached_upper_tiers: None }
}

fn cost(target: u64, expected_fills: f64) -> TierCost {
    TierCost { target: NodeId(target), expected_fills }
}

fn fill(ticket: u64, key: u64, priority: Priority) -> FillRequest {
    FillRequest {
        ticket,
        fetch: FetchKey { source: NodeId(1), key },
        priority,
        bytes: 1_000.0,
        may_join: false,
        needs_lease: true,
        max_wait: 1_000.0,
        tier_costs: vec![cost(1, 1.0), cost(2, 0.5)],
    }
}

/// By ticket: the end of the queueing time or the time of admission, and the key.
type FillTimes = BTreeMap<u64, (f64, u64)>;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Each queued fill is decided exactly once, before its queueing time expires. The queue stays within its
    /// limits, and writes are never queued or rejected.
    #[test]
    fn each_queued_fill_is_decided_once_in_time(seed in any::<u64>()) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let config = ShieldConfig {
            max_queued: 20,
            max_queued_bytes: 15_000.0,
            lease_duration: 300.0,
            ..ShieldConfig::default()
        };
        let mut shield = OriginShield::new(config);
        let (mut now, mut last_ticket) = (0.0, 0u64);
        let mut queued = FillTimes::new();
        let mut in_flight = FillTimes::new();
        let apply_decisions = |decisions: Vec<QueuedDecision>,
                               now: f64,
                               queued: &mut FillTimes,
                               in_flight: &mut FillTimes| {
            for decision in decisions {
                let (_, key) = queued.remove(&decision.ticket).expect("queued and not decided yet");
                match decision.decision {
                    ShieldDecision::Admit => drop(in_flight.insert(decision.ticket, (now, key))),
                    ShieldDecision::Reject { retry_after, .. } => {
                        assert!((50.0..=2_000.0).contains(&retry_after));
                    }
                    ShieldDecision::Queue { .. } => panic!("queued a second time"),
                }
            }
        };
        for step in 0..600 {
            now += rng.random_range(0..20) as f64;
            if step == 200 {
                shield.begin_change(now, NodeId(2));
            }
            match rng.random_range(0..10) {
                0..=5 => {
                    last_ticket += 1;
                    let key = rng.random_range(0..8);
                    let priority = match rng.random_range(0..4) {
                        0 => Priority::Write,
                        1 | 2 => Priority::Demand,
                        _ => Priority::Revalidation,
                    };
                    let is_leased = |(since, other): &&(f64, u64)| *other == key && now < since + 300.0;
                    let concurrent = in_flight.values().filter(is_leased).count();
                    match shield.request_fill(now, fill(last_ticket, key, priority)) {
                        ShieldDecision::Admit => {
                            // Fills that are admitted after a fetch has stored a copy hold no lease.
                            prop_assert!(priority == Priority::Write || concurrent == 0 || step > 0);
                            in_flight.insert(last_ticket, (now, key));
                        }
                        ShieldDecision::Queue { until } => {
                            prop_assert!(priority == Priority::Demand && until <= now + 150.0);
                            queued.insert(last_ticket, (until, key));
                        }
                        ShieldDecision::Reject { reason, .. } => {
                            prop_assert!(priority != Priority::Write);
                            prop_assert!(reason != ShieldRejection::QueueTimeout);
                        }
                    }
                }
                6 | 7 => {
                    if let Some(ticket) = in_flight.keys().next().copied() {
                        in_flight.remove(&ticket);
                        let has_copy = rng.random_range(0..3) > 0;
                        let decisions = shield.complete_fill(now, ticket, outcome(has_copy, !has_copy));
                        apply_decisions(decisions, now, &mut queued, &mut in_flight);
                    }
                }
                8 => {
                    if let Some(ticket) = queued.keys().next().copied() {
                        prop_assert!(shield.cancel_fill(ticket));
                        queued.remove(&ticket);
                    }
                }
                _ => {}
            }
            let decisions = shield.tick(now);
            apply_decisions(decisions, now, &mut queued, &mut in_flight);
            prop_assert!(queued.values().all(|(until, _)| now < *until), "queued past its time");
            prop_assert_eq!(shield.occupancy().queued, queued.len());
            prop_assert!(queued.len() <= 15);
            prop_assert!(shield.next_deadline(now).is_some() || queued.is_empty());
        }
        let mut cancelled = shield.cancel_source(NodeId(1));
        cancelled.sort_unstable();
        prop_assert_eq!(cancelled, queued.keys().copied().collect::<Vec<_>>());
    }

    /// Compares the lease table with a map from fetches to leases and their expiry.
    #[test]
    fn a_lease_has_one_holder_and_expires(seed in any::<u64>()) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut leases = LeaseTable::new(8);
        let mut model = BTreeMap::<FetchKey, (LeaseId, f64)>::new();
        let mut now = 0.0;
        for _ in 0..400 {
            now += rng.random_range(0..40) as f64;
            let fetch = FetchKey { source: NodeId(1), key: rng.random_range(0..12) };
            model.retain(|_, (_, until)| now < *until);
            match rng.random_range(0..3) {
                0 | 1 => match leases.acquire(now, fetch, 200.0) {
                    Grant::Granted(id) => {
                        prop_assert!(model.insert(fetch, (id, now + 200.0)).is_none());
                    }
                    Grant::AlreadyLeased(id) => {
                        prop_assert_eq!(model.get(&fetch).map(|lease| lease.0), Some(id));
                    }
                    Grant::Untracked => prop_assert_eq!(model.len(), 8),
                },
                _ => {
                    if let Some((id, _)) = model.remove(&fetch) {
                        prop_assert!(leases.release(fetch, id) && !leases.release(fetch, id));
                    }
                }
            }
            prop_assert!(leases.len() <= 8);
            prop_assert!(model.keys().all(|fetch| leases.is_leased(now, *fetch)));
        }
        let expired = leases.remove_expired(now + 1_000.0).len();
        prop_assert!(leases.is_empty() && expired >= model.len());
    }

    /// The age of a key exceeds the true age by at most 8 ms, and a table with free capacity evicts few keys.
    #[test]
    fn recent_keys_approximate_a_plain_map(seed in any::<u64>()) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (mut table, mut model) = (RecentKeys::new(4_096, 60_000.0), HashMap::<u64, f64>::new());
        let mut now = 1.7e12;
        for _ in 0..2_000 {
            now += rng.random_range(0..100) as f64;
            let key = linnethook::hash_ring::hash_pair(rng.random_range(0..1_000), 1);
            table.record(now, key);
            model.insert(key, now);
        }
        let (mut missing, mut found) = (0, 0);
        for (key, at) in &model {
            match table.age(now, *key) {
                Some(age) => {
                    found += 1;
                    prop_assert!(age <= now - at + 8.0, "{age} for {}", now - at);
                }
                None => missing += u32::from(now - at < 59_000.0),
            }
        }
        prop_assert!(missing * 50 <= found, "{missing} missing, {found} found");
        table.sweep(now + 61_000.0);
        prop_assert!(model.keys().all(|key| table.age(now + 61_000.0, *key).is_none()));
    }
}

/// A fill whose end is not reported blocks others only until its lease expires; then one of them is admitted.
#[test]
fn a_fill_without_an_end_blocks_others_only_until_its_lease_expires() {
    let mut shield = OriginShield::new(ShieldConfig { lease_duration: 100.0, ..ShieldConfig::default() });
    assert_eq!(shield.request_fill(0.0, fill(1, 7, Priority::Demand)), ShieldDecision::Admit);
    for ticket in [2, 3] {
        assert!(matches!(
            shield.request_fill(1.0, fill(ticket, 7, Priority::Demand)),
            ShieldDecision::Queue { .. }
        ));
    }
    assert_eq!(shield.tick(99.0), []);
    assert_eq!(shield.tick(101.0), [QueuedDecision { ticket: 2, decision: ShieldDecision::Admit }]);
    assert_eq!(shield.counters().leases_expired, 1);
    // The first fill ends when another one holds the lease: that lease is not released.
    assert_eq!(shield.complete_fill(110.0, 1, outcome(true, true)), []);
    assert_eq!(
        shield.complete_fill(120.0, 2, outcome(true, false)),
        [QueuedDecision { ticket: 3, decision: ShieldDecision::Admit }]
    );
}

/// Writes are admitted first, then demand fills; revalidations are not queued; rejections have a Retry-After.
#[test]
fn fills_over_the_budget_are_queued_in_order_or_rejected_with_retry_after() {
    let budget = RateBudgetConfig { min_rate: 10.0, ..RateBudgetConfig::default() };
    let mut shield = OriginShield::new(ShieldConfig { budget, ..ShieldConfig::default() });
    for n in 0..100u32 {
        let at = f64::from(n) * 100.0;
        assert_eq!(
            shield.request_fill(at, fill(u64::from(n), u64::from(n), Priority::Demand)),
            ShieldDecision::Admit
        );
        shield.complete_fill(at + 10.0, u64::from(n), outcome(true, false));
    }
    shield.begin_change(10_000.0, NodeId(2));
    let request = |shield: &mut OriginShield, ticket, priority| {
        shield.request_fill(10_001.0, fill(ticket, ticket, priority))
    };
    let decisions: Vec<ShieldDecision> =
        (200..230).map(|n| request(&mut shield, n, Priority::Demand)).collect();
    let admitted = decisions.iter().filter(|decision| **decision == ShieldDecision::Admit).count();
    assert!(admitted <= 4, "{admitted}");
    assert!(decisions.iter().any(|decision| matches!(decision, ShieldDecision::Queue { .. })));
    assert!(matches!(
        request(&mut shield, 300, Priority::Revalidation),
        ShieldDecision::Reject { reason: ShieldRejection::BudgetExhausted, .. }
    ));
    assert_eq!(request(&mut shield, 301, Priority::Write), ShieldDecision::Admit);
    let mut queued_decisions = Vec::new();
    (0..20).for_each(|n| queued_decisions.extend(shield.tick(10_001.0 + f64::from(n) * 10.0)));
    let admitted: Vec<u64> = queued_decisions
        .iter()
        .filter(|queued| queued.decision == ShieldDecision::Admit)
        .map(|queued| queued.ticket)
        .collect();
    assert!(admitted.is_sorted(), "{admitted:?}");
    let is_timeout = |queued: &QueuedDecision| match queued.decision {
        ShieldDecision::Reject { reason, retry_after } => {
            reason == ShieldRejection::QueueTimeout && retry_after >= 50.0
        }
        _ => false,
    };
    assert!(queued_decisions.iter().any(is_timeout));
    assert_eq!(shield.occupancy().queued, 0);
}
