//! The shield, the leases and the memory of cold keys against plain models, over seeded scripts.

use std::collections::{BTreeMap, HashMap};

use linnethook_hierarchy::budget::BudgetRule;
use linnethook_hierarchy::lease::{Fetch, Grant, LeaseId, Leases};
use linnethook_hierarchy::recency::Recency;
use linnethook_hierarchy::shield::{Fill, FillEnd, Over, Priority, Released, Shield, ShieldRule, Verdict};
use linnethook_hierarchy::NodeId;
use proptest::prelude::{any, prop_assert, prop_assert_eq, proptest, ProptestConfig};
use proptest::test_runner::RngSeed;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn end(brought: bool, late: bool) -> FillEnd {
    FillEnd { brought, late: Some(late), filled: None, reached: None }
}

fn fill(ticket: u64, key: u64, priority: Priority) -> Fill {
    Fill {
        ticket,
        fetch: Fetch { source: NodeId(1), key },
        priority,
        bytes: 1_000.0,
        joins: false,
        leased: true,
        patience: 1_000.0,
        tolls: vec![(NodeId(1), 1.0), (NodeId(2), 0.5)],
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Whoever waits gets one word and no more, by its time; a fetch has one filler; bounds hold; bookings go.
    #[test]
    fn each_fill_gets_one_word_in_time(seed in any::<u64>()) {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let rule = ShieldRule { waiting: 20, waiting_bytes: 15_000.0, lease: 300.0, ..ShieldRule::default() };
        let mut shield = Shield::new(rule);
        let (mut now, mut last) = (0.0, 0u64);
        let mut waiting = BTreeMap::<u64, (f64, u64)>::new();
        let mut out = BTreeMap::<u64, (f64, u64)>::new();
        let hear = |released: Vec<Released>, now: f64, waiting: &mut BTreeMap<u64, (f64, u64)>,
                        out: &mut BTreeMap<u64, (f64, u64)>| {
            for word in released {
                let (_, key) = waiting.remove(&word.ticket).expect("it waited, and had no word yet");
                match word.verdict {
                    Verdict::Go => drop(out.insert(word.ticket, (now, key))),
                    Verdict::Over { come_back, .. } => assert!((50.0..=2_000.0).contains(&come_back)),
                    Verdict::Wait { .. } => panic!("it has waited already"),
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
                    let kinds = [Priority::Booking, Priority::Demand, Priority::Demand, Priority::Renewal];
                    let priority = kinds[chance.random_range(0..4)];
                    let rivals = out.values().filter(|(since, k)| *k == key && now < since + 300.0).count();
                    match shield.ask(now, fill(last, key, priority)) {
                        Verdict::Go => {
                            // Those let go behind a fetch that brought a copy hit; they hold no lease.
                            prop_assert!(priority == Priority::Booking || rivals == 0 || step > 0);
                            out.insert(last, (now, key));
                        }
                        Verdict::Wait { until } => {
                            prop_assert!(priority == Priority::Demand && until <= now + 150.0);
                            waiting.insert(last, (until, key));
                        }
                        Verdict::Over { why, .. } => {
                            prop_assert!(priority != Priority::Booking && why != Over::Time);
                        }
                    }
                }
                6 | 7 => {
                    if let Some(ticket) = out.keys().next().copied() {
                        out.remove(&ticket);
                        let brought = chance.random_range(0..3) > 0;
                        let released = shield.ended(now, ticket, end(brought, !brought));
                        hear(released, now, &mut waiting, &mut out);
                    }
                }
                8 => {
                    if let Some(ticket) = waiting.keys().next().copied() {
                        prop_assert!(shield.forget(ticket));
                        waiting.remove(&ticket);
                    }
                }
                _ => {}
            }
            let released = shield.tick(now);
            hear(released, now, &mut waiting, &mut out);
            prop_assert!(waiting.values().all(|(until, _)| now < *until), "past its time");
            prop_assert_eq!(shield.kept().0, waiting.len());
            prop_assert!(waiting.len() <= 15);
            prop_assert!(shield.next(now).is_some() || waiting.is_empty());
        }
        let mut withdrawn = shield.withdraw(NodeId(1));
        withdrawn.sort_unstable();
        prop_assert_eq!(withdrawn, waiting.keys().copied().collect::<Vec<_>>());
    }

    /// Leases against a plain map of when each ends.
    #[test]
    fn a_lease_is_held_by_one_and_ends_by_itself(seed in any::<u64>()) {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let mut leases = Leases::new(8);
        let mut plain = BTreeMap::<Fetch, (LeaseId, f64)>::new();
        let mut now = 0.0;
        for _ in 0..400 {
            now += chance.random_range(0..40) as f64;
            let fetch = Fetch { source: NodeId(1), key: chance.random_range(0..12) };
            plain.retain(|_, (_, until)| now < *until);
            match chance.random_range(0..3) {
                0 | 1 => match leases.ask(now, fetch, 200.0) {
                    Grant::Granted(id) => {
                        prop_assert!(plain.insert(fetch, (id, now + 200.0)).is_none());
                    }
                    Grant::Taken(id) => prop_assert_eq!(plain.get(&fetch).map(|held| held.0), Some(id)),
                    Grant::Untracked => prop_assert_eq!(plain.len(), 8),
                },
                _ => {
                    if let Some((id, _)) = plain.remove(&fetch) {
                        prop_assert!(leases.release(fetch, id) && !leases.release(fetch, id));
                    }
                }
            }
            prop_assert!(leases.len() <= 8);
            prop_assert!(plain.keys().all(|fetch| leases.is_taken(now, *fetch)));
        }
        let ended = leases.expired(now + 1_000.0).len();
        prop_assert!(leases.is_empty() && ended >= plain.len());
    }

    /// What the table says of a key is never older than true, and with room to spare it forgets little.
    #[test]
    fn the_memory_of_cold_keys_is_near_a_plain_map(seed in any::<u64>()) {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let (mut table, mut plain) = (Recency::new(4_096, 60_000.0), HashMap::<u64, f64>::new());
        let mut now = 1.7e12;
        for _ in 0..2_000 {
            now += chance.random_range(0..100) as f64;
            let key = linnethook::hash_ring::hash_pair(chance.random_range(0..1_000), 1);
            table.note(now, key);
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
fn a_lost_filler_does_not_block() {
    let mut shield = Shield::new(ShieldRule { lease: 100.0, ..ShieldRule::default() });
    assert_eq!(shield.ask(0.0, fill(1, 7, Priority::Demand)), Verdict::Go);
    for ticket in [2, 3] {
        assert!(matches!(shield.ask(1.0, fill(ticket, 7, Priority::Demand)), Verdict::Wait { .. }));
    }
    assert_eq!(shield.tick(99.0), []);
    assert_eq!(shield.tick(101.0), [Released { ticket: 2, verdict: Verdict::Go }]);
    assert_eq!(shield.counts().leases_lost, 1);
    // What was lost ends after all: the lease is another's by now.
    assert_eq!(shield.ended(110.0, 1, end(true, true)), []);
    assert_eq!(shield.ended(120.0, 2, end(true, false)), [Released { ticket: 3, verdict: Verdict::Go }]);
}

/// Bookings first, then demand; renewals do not wait at all; what is over is told when to come back.
#[test]
fn what_is_over_the_budget_waits_in_order_or_is_told_when_to_come_back() {
    let budget = BudgetRule { least: 10.0, ..BudgetRule::default() };
    let mut shield = Shield::new(ShieldRule { budget, ..ShieldRule::default() });
    for n in 0..100u32 {
        let at = f64::from(n) * 100.0;
        assert_eq!(shield.ask(at, fill(u64::from(n), u64::from(n), Priority::Demand)), Verdict::Go);
        shield.ended(at + 10.0, u64::from(n), end(true, false));
    }
    shield.begin_change(10_000.0, NodeId(2));
    let ask = |shield: &mut Shield, ticket, priority| shield.ask(10_001.0, fill(ticket, ticket, priority));
    let said: Vec<Verdict> = (200..230).map(|n| ask(&mut shield, n, Priority::Demand)).collect();
    let gone = said.iter().filter(|verdict| **verdict == Verdict::Go).count();
    assert!(gone <= 4, "{gone}");
    assert!(said.iter().any(|verdict| matches!(verdict, Verdict::Wait { .. })));
    assert!(matches!(ask(&mut shield, 300, Priority::Renewal), Verdict::Over { why: Over::Budget, .. }));
    assert_eq!(ask(&mut shield, 301, Priority::Booking), Verdict::Go);
    let mut words = Vec::new();
    (0..20).for_each(|n| words.extend(shield.tick(10_001.0 + f64::from(n) * 10.0)));
    let first: Vec<u64> = words.iter().filter(|w| w.verdict == Verdict::Go).map(|w| w.ticket).collect();
    assert!(first.is_sorted(), "{first:?}");
    assert!(words
        .iter()
        .any(|w| matches!(w.verdict, Verdict::Over { why: Over::Time, come_back } if come_back >= 50.0)));
    assert_eq!(shield.kept().0, 0);
}
