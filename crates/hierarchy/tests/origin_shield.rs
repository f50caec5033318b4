//! The shield, the leases and the memory of cold keys against plain models, over seeded scripts.

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

fn end(has_copy: bool, is_late: bool) -> FillOutcome {
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

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Whoever waits gets one word and no more, by its time; a fetch has one filler; bounds hold; bookings go.
    #[test]
    fn each_queued_fill_gets_one_decision_in_time(seed in any::<u64>()) {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let rule = ShieldConfig { max_queued: 20, max_queued_bytes: 15_000.0, lease_duration: 300.0, ..ShieldConfig::default() };
        let mut shield = OriginShield::new(rule);
        let (mut now, mut last) = (0.0, 0u64);
        let mut waiting = BTreeMap::<u64, (f64, u64)>::new();
        let mut out = BTreeMap::<u64, (f64, u64)>::new();
        let hear = |released: Vec<QueuedDecision>, now: f64, waiting: &mut BTreeMap<u64, (f64, u64)>,
                        out: &mut BTreeMap<u64, (f64, u64)>| {
            for word in released {
                let (_, key) = waiting.remove(&word.ticket).expect("it waited, and had no word yet");
                match word.decision {
                    ShieldDecision::Admit => drop(out.insert(word.ticket, (now, key))),
                    ShieldDecision::Reject { retry_after, .. } => assert!((50.0..=2_000.0).contains(&retry_after)),
                    ShieldDecision::Queue { .. } => panic!("it has waited already"),
                }
            }
        };
        for step in 0..600 {
            now += chance.random_range(0..20) as f64;
            if step == 200 {
                shield.begin_change(now, NodeId(2));
            }
            match chance.random_range(0..10) {
                0..=5 => {
                    last += 1;
                    let key = chance.random_range(0..8);
                    let kinds = [Priority::Write, Priority::Demand, Priority::Demand, Priority::Revalidation];
                    let priority = kinds[chance.random_range(0..4)];
                    let rivals = out.values().filter(|(since, k)| *k == key && now < since + 300.0).count();
                    match shield.request_fill(now, fill(last, key, priority)) {
                        ShieldDecision::Admit => {
                            // Those let go behind a fetch that brought a copy hit; they hold no lease.
                            prop_assert!(priority == Priority::Write || rivals == 0 || step > 0);
                            out.insert(last, (now, key));
                        }
                        ShieldDecision::Queue { until } => {
                            prop_assert!(priority == Priority::Demand && until <= now + 150.0);
                            waiting.insert(last, (until, key));
                        }
                        ShieldDecision::Reject { reason, .. } => {
                            prop_assert!(priority != Priority::Write && reason != ShieldRejection::QueueTimeout);
                        }
                    }
                }
                6 | 7 => {
                    if let Some(ticket) = out.keys().next().copied() {
                        out.remove(&ticket);
                        let brought = chance.random_range(0..3) > 0;
                        let released = shield.complete_fill(now, ticket, end(brought, !brought));
                        hear(released, now, &mut waiting, &mut out);
                    }
                }
                8 => {
                    if let Some(ticket) = waiting.keys().next().copied() {
                        prop_assert!(shield.cancel_fill(ticket));
                        waiting.remove(&ticket);
                    }
                }
                _ => {}
            }
            let released = shield.tick(now);
            hear(released, now, &mut waiting, &mut out);
            prop_assert!(waiting.values().all(|(until, _)| now < *until), "past its time");
            prop_assert_eq!(shield.occupancy().queued, waiting.len());
            prop_assert!(waiting.len() <= 15);
            prop_assert!(shield.next_deadline(now).is_some() || waiting.is_empty());
        }
        let mut withdrawn = shield.cancel_source(NodeId(1));
        withdrawn.sort_unstable();
        prop_assert_eq!(withdrawn, waiting.keys().copied().collect::<Vec<_>>());
    }

    /// Leases against a plain map of when each ends.
    #[test]
    fn a_lease_has_one_holder_and_expires(seed in any::<u64>()) {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let mut leases = LeaseTable::new(8);
        let mut plain = BTreeMap::<FetchKey, (LeaseId, f64)>::new();
        let mut now = 0.0;
        for _ in 0..400 {
            now += chance.random_range(0..40) as f64;
            let fetch = FetchKey { source: NodeId(1), key: chance.random_range(0..12) };
            plain.retain(|_, (_, until)| now < *until);
            match chance.random_range(0..3) {
                0 | 1 => match leases.acquire(now, fetch, 200.0) {
                    Grant::Granted(id) => {
                        prop_assert!(plain.insert(fetch, (id, now + 200.0)).is_none());
                    }
                    Grant::AlreadyLeased(id) => prop_assert_eq!(plain.get(&fetch).map(|held| held.0), Some(id)),
                    Grant::Untracked => prop_assert_eq!(plain.len(), 8),
                },
                _ => {
                    if let Some((id, _)) = plain.remove(&fetch) {
                        prop_assert!(leases.release(fetch, id) && !leases.release(fetch, id));
                    }
                }
            }
            prop_assert!(leases.len() <= 8);
            prop_assert!(plain.keys().all(|fetch| leases.is_leased(now, *fetch)));
        }
        let ended = leases.remove_expired(now + 1_000.0).len();
        prop_assert!(leases.is_empty() && ended >= plain.len());
    }

    /// What the table says of a key is never older than true, and with room to spare it forgets little.
    #[test]
    fn recent_keys_are_near_a_plain_map(seed in any::<u64>()) {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let (mut table, mut plain) = (RecentKeys::new(4_096, 60_000.0), HashMap::<u64, f64>::new());
        let mut now = 1.7e12;
        for _ in 0..2_000 {
            now += chance.random_range(0..100) as f64;
            let key = linnethook::hash_ring::hash_pair(chance.random_range(0..1_000), 1);
            table.record(now, key);
            plain.insert(key, now);
        }
        let (mut lost, mut kept) = (0, 0);
        for (key, at) in &plain {
            match table.age(now, *key) {
                Some(age) => {
                    kept += 1;
                    prop_assert!(age <= now - at + 8.0, "{age} for {}", now - at);
                }
                None => lost += u32::from(now - at < 59_000.0),
            }
        }
        prop_assert!(lost * 50 <= kept, "{lost} lost of {kept}");
        table.sweep(now + 61_000.0);
        prop_assert!(plain.keys().all(|key| table.age(now + 61_000.0, *key).is_none()));
    }
}

/// A filler that is lost blocks those behind it no longer than its lease, and then only one of them goes.
#[test]
fn a_lost_filler_blocks_no_longer_than_its_lease() {
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
    // What was lost ends after all: the lease is another's by now.
    assert_eq!(shield.complete_fill(110.0, 1, end(true, true)), []);
    assert_eq!(
        shield.complete_fill(120.0, 2, end(true, false)),
        [QueuedDecision { ticket: 3, decision: ShieldDecision::Admit }]
    );
}

/// Bookings first, then demand; renewals do not wait at all; what is over is told when to come back.
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
        shield.complete_fill(at + 10.0, u64::from(n), end(true, false));
    }
    shield.begin_change(10_000.0, NodeId(2));
    let ask = |shield: &mut OriginShield, ticket, priority| {
        shield.request_fill(10_001.0, fill(ticket, ticket, priority))
    };
    let said: Vec<ShieldDecision> = (200..230).map(|n| ask(&mut shield, n, Priority::Demand)).collect();
    let gone = said.iter().filter(|verdict| **verdict == ShieldDecision::Admit).count();
    assert!(gone <= 4, "{gone}");
    assert!(said.iter().any(|verdict| matches!(verdict, ShieldDecision::Queue { .. })));
    assert!(matches!(
        ask(&mut shield, 300, Priority::Revalidation),
        ShieldDecision::Reject { reason: ShieldRejection::BudgetExhausted, .. }
    ));
    assert_eq!(ask(&mut shield, 301, Priority::Write), ShieldDecision::Admit);
    let mut words = Vec::new();
    (0..20).for_each(|n| words.extend(shield.tick(10_001.0 + f64::from(n) * 10.0)));
    let first: Vec<u64> =
        words.iter().filter(|w| w.decision == ShieldDecision::Admit).map(|w| w.ticket).collect();
    assert!(first.is_sorted(), "{first:?}");
    assert!(words
        .iter()
        .any(|w| matches!(w.decision, ShieldDecision::Reject { reason: ShieldRejection::QueueTimeout, retry_after } if retry_after >= 50.0)));
    assert_eq!(shield.occupancy().queued, 0);
}
