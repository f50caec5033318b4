//! Streams, transfers, site state and routes over seeded scripts, against plain models.

use std::collections::BTreeMap;

use linnethook_gateway::flow_control::{
    CreditGrant, FlowControlConfig, FlowControlError, Priority, ReceiveWindow, SendScheduler,
};
use linnethook_gateway::routing::{
    Route, RouteQuery, RouteRefusal, RoutingConfig, RoutingTable, SiteId, SiteView,
};
use linnethook_gateway::site_state::{FactKey, FactValue, PublishedState, ReceivedState, UpdateResult};
use linnethook_gateway::transfer::{ObjectVersion, ResponseFit, Resumption, Transfer};
use proptest::prelude::{any, prop_assert, prop_assert_eq, proptest, ProptestConfig};
use proptest::test_runner::RngSeed;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const BOUNDS: FlowControlConfig = FlowControlConfig {
    max_streams: 8,
    stream_window_bytes: 4_000,
    link_window_bytes: 12_000,
    max_turn_bytes: 1_000,
    max_skipped_turns: 4,
};

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// All that is pushed arrives, nothing beyond what was granted, and a reader that stops holds up nobody else.
    #[test]
    fn streams_share_a_link(seed in any::<u64>()) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let (mut sending, mut receiving) = (SendScheduler::new(BOUNDS), ReceiveWindow::new(BOUNDS));
        let mut wanted = BTreeMap::<u32, u64>::new();
        let mut got = BTreeMap::<u32, u64>::new();
        // Nobody ever reads stream 1.
        let stuck = 1u32;
        for stream in 1..=6u32 {
            let priority =
                [Priority::Booking, Priority::FirstPart, Priority::LaterPart][random.random_range(0..3)];
            prop_assert!(sending.open_stream(stream, priority));
            receiving.open_stream(stream);
            let bytes = if stream == stuck { 50_000 } else { random.random_range(0..30_000) };
            wanted.insert(stream, bytes);
            sending.queue_bytes(stream, bytes, true);
        }
        for _ in 0..5_000 {
            let Some(turn) = sending.next_turn(random.random_range(1..2_000)) else { break };
            prop_assert!(turn.bytes <= BOUNDS.max_turn_bytes);
            let mut grants = receiving.receive(turn.stream, turn.bytes).expect("within what was granted");
            *got.entry(turn.stream).or_default() += turn.bytes;
            if turn.stream != stuck {
                grants.extend(receiving.consume(turn.stream, turn.bytes));
                if turn.is_last {
                    receiving.close_stream(turn.stream, 0);
                }
            }
            for CreditGrant { stream, bytes } in grants {
                sending.add_credit(stream, bytes).expect("no more than can be counted");
            }
        }
        for (stream, bytes) in &wanted {
            let arrived = got.get(stream).copied().unwrap_or(0);
            prop_assert_eq!(arrived, if *stream == stuck { BOUNDS.stream_window_bytes } else { *bytes });
        }
        prop_assert_eq!((sending.len(), receiving.len()), (1, 1));
    }

    /// However often and wherever it stops: one whole body of one copy, or cut off; what crossed twice is counted.
    #[test]
    fn a_body_is_complete_and_of_one_version(seed in any::<u64>()) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let copy =
            |tag: u32| ObjectVersion { tag: tag.to_string(), issued_at: 1.0, length: 1_000 + u64::from(tag) };
        let mut transfer = Transfer::new(10_000.0, 6);
        // What the client was given: which copy, and how much of it.
        let (mut given, mut at, mut now) = (Vec::<(u32, u64)>::new(), 0u64, 0.0);
        let (mut version, mut from) = (1u32, 0u64);
        let passes_on = random.random_range(0..2) == 0;
        let is_complete = loop {
            now += 100.0;
            // Another site may have another copy, or give it from the start although the rest was asked for.
            version += u32::from(random.random_range(0..4) == 0);
            let begins = if random.random_range(0..4) == 0 { 0 } else { from };
            match transfer.begin_response(copy(version), begins) {
                ResponseFit::Continues => {}
                ResponseFit::Restarts => {
                    given.clear();
                    at = 0;
                }
                ResponseFit::Mismatch => match transfer.resume(now, 50.0) {
                    Resumption::GiveUp => break false,
                    Resumption::Restart => {
                        from = 0;
                        continue;
                    }
                    Resumption::Remainder { offset: rest, .. } => {
                        from = rest;
                        continue;
                    }
                },
            }
            let at_now = if begins == 0 && !passes_on { 0 } else { at };
            let bytes = random.random_range(0..=(copy(version).length - at_now));
            prop_assert!(transfer.receive(bytes));
            at = at_now + bytes;
            if passes_on {
                transfer.mark_delivered(bytes);
                given.push((version, bytes));
            }
            if transfer.is_complete() {
                break true;
            }
            match transfer.resume(now, 50.0) {
                Resumption::GiveUp => break false,
                Resumption::Restart => from = 0,
                Resumption::Remainder { offset: rest, version: wanted } => {
                    prop_assert_eq!(wanted.tag, version.to_string());
                    from = rest;
                }
            }
        };
        let versions: std::collections::BTreeSet<u32> =
            given.iter().filter(|g| g.1 > 0).map(|g| g.0).collect();
        prop_assert!(versions.len() <= 1, "pieces of two copies");
        let sum: u64 = given.iter().map(|g| g.1).sum();
        prop_assert!(!is_complete || !passes_on || sum == copy(version).length, "{sum}");
    }

    /// Whatever is lost or comes twice: once the other side has heard the last, it knows what the one has said, and no
    /// purge is ever taken back.
    #[test]
    fn site_state_is_resumed(seed in any::<u64>()) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut own = PublishedState::new(1, 64);
        let mut other = ReceivedState::default();
        let mut plain = BTreeMap::<FactKey, FactValue>::new();
        let mut late = Vec::new();
        let (mut epoch, mut stamps) = (1, BTreeMap::<FactKey, f64>::new());
        for n in 0..300u32 {
            let now = f64::from(n) * 10.0;
            let (about, fact) = match random.random_range(0..4) {
                0 => (
                    FactKey::Site,
                    FactValue::Load {
                        utilization: random.random_range(0..10) as f64 / 10.0,
                        caches: 3,
                        origin_reachable: true,
                    },
                ),
                1 => (
                    FactKey::Object(random.random_range(0..9u32).to_string()),
                    FactValue::Purged { stamp: now },
                ),
                _ => {
                    let ready = random.random_range(0..2) == 0;
                    (FactKey::Cache(random.random_range(0..5u32).to_string()), FactValue::Cache { ready })
                }
            };
            own.publish(now, about.clone(), fact.clone());
            plain.insert(about, fact);
            if random.random_range(0..60) == 0 {
                // It starts again, and says all anew.
                epoch += 1;
                own = PublishedState::new(epoch, 64);
                plain.iter().for_each(|(about, fact)| _ = own.publish(now, about.clone(), fact.clone()));
            }
            let known = other.position();
            let state = own.changes_since(known);
            match random.random_range(0..4) {
                0 => {}
                1 => late.push(state),
                _ => {
                    other.apply_update(now, state, 1_000);
                }
            }
            if let Some(state) = late.pop().filter(|_| random.random_range(0..3) == 0) {
                if let UpdateResult::Missing(from) = other.apply_update(now, state, 1_000) {
                    prop_assert!(from <= own.version());
                }
            }
            for (about, fact) in &plain {
                if let (FactValue::Purged { .. }, Some(FactValue::Purged { stamp })) =
                    (fact, other.get(now, 1e9, about))
                {
                    let before = stamps.insert(about.clone(), *stamp).unwrap_or(0.0);
                    prop_assert!(*stamp >= before, "a purge was taken back");
                }
            }
        }
        let known = other.position();
        other.apply_update(4_000.0, own.changes_since(known), 1_000);
        // Where that told nothing new, it is the session that is alive.
        other.record_activity(4_000.0);
        for (about, fact) in &plain {
            prop_assert_eq!(other.get(4_000.0, 100.0, about), Some(fact));
        }
        prop_assert_eq!(
            other.get(9_000.0, 100.0, &FactKey::Site),
            None,
            "older than its bound it counts for nothing"
        );
    }
}

#[test]
fn what_the_other_side_may_not_do_ends_the_session() {
    let mut receiving = ReceiveWindow::new(BOUNDS);
    receiving.open_stream(3);
    assert_eq!(receiving.receive(3, 4_001), Err(FlowControlError::WindowExceeded));
    let mut sending = SendScheduler::new(BOUNDS);
    assert!(sending.open_stream(1, Priority::LaterPart) && !sending.open_stream(1, Priority::LaterPart));
    assert_eq!(sending.add_credit(1, u32::MAX), Err(FlowControlError::CreditOverflow));
    assert_eq!(sending.add_credit(0, u32::MAX), Err(FlowControlError::CreditOverflow));
    assert_eq!(sending.add_credit(77, 5), Ok(()), "one that has just ended");
}

/// Bookings go first, and what is left over still gets its turns.
#[test]
fn priorities_go_first_and_starve_nobody() {
    let mut sending = SendScheduler::new(FlowControlConfig {
        link_window_bytes: 1 << 30,
        stream_window_bytes: 1 << 30,
        ..BOUNDS
    });
    for (stream, priority) in [(1, Priority::LaterPart), (2, Priority::FirstPart), (3, Priority::Booking)] {
        sending.open_stream(stream, priority);
        sending.queue_bytes(stream, 1_000_000, false);
    }
    let mut turns = BTreeMap::<u32, u32>::new();
    (0..100).for_each(|_| *turns.entry(sending.next_turn(10_000).expect("a turn").stream).or_default() += 1);
    assert!(turns[&3] > 60 && turns[&2] >= 10 && turns[&1] >= 10, "{turns:?}");
}

#[test]
fn requests_stay_at_home_and_go_across_only_where_that_helps() {
    let well = SiteView {
        reachable: true,
        has_caches: true,
        has_origin: true,
        utilization: 0.2,
        drained: false,
        flapping: false,
    };
    let query = |object| RouteQuery {
        object,
        write: false,
        home_site: None,
        passed_sites: Vec::new(),
        tried_sites: Vec::new(),
        is_retry: false,
        admitted_site: None,
    };
    let (me, other) = (SiteId(1), SiteId(2));
    let mut routes = RoutingTable::new(me, RoutingConfig::default());
    routes.update_site(0.0, other, well);
    let across = |routes: &mut RoutingTable, now: f64| {
        (0..1_000).filter(|n| routes.route(now, &query(*n)) == Route::Remote(other)).count()
    };
    assert_eq!(across(&mut routes, 0.0), 0, "home serves");
    routes.set_own_view(SiteView { has_caches: false, ..well });
    // It rises from a twentieth to all, and again after each cut.
    let counts: Vec<usize> =
        [0.0, 5_000.0, 10_000.0].into_iter().map(|now| across(&mut routes, now)).collect();
    assert!(
        (20..90).contains(&counts[0]) && (430..620).contains(&counts[1]) && counts[2] == 1_000,
        "{counts:?}"
    );
    routes.update_site(11_000.0, other, SiteView { reachable: false, ..well });
    assert_eq!(routes.route(11_000.0, &query(1)), Route::Refused(RouteRefusal::NoCapableSite));
    // After a second nearly two thirds of the part that it had are left; after a long cut it begins anew.
    routes.update_site(12_000.0, other, well);
    let left = across(&mut routes, 12_000.0);
    assert!((560..700).contains(&left), "{left}");
    routes.update_site(13_000.0, other, SiteView { reachable: false, ..well });
    routes.update_site(29_000.0, other, well);
    assert!(across(&mut routes, 29_000.0) < 90);
    // Full by its own word, with hysteresis; and by what went there.
    for (used, all) in [(0.95, false), (0.8, false), (0.7, true), (0.8, true)] {
        routes.update_site(50_000.0, other, SiteView { utilization: used, ..well });
        assert_eq!(across(&mut routes, 50_000.0) == 1_000, all, "{used}");
    }
    (0..60).for_each(|_| routes.record_outcome(other, true));
    assert!(across(&mut routes, 50_000.0) < 90);
    (0..200).for_each(|_| routes.record_outcome(other, false));
    routes.update_site(51_000.0, other, well);
    assert_eq!(across(&mut routes, 51_000.0), 1_000);
    // A write needs the way to the origin; what has come from there does not go back.
    let write = RouteQuery { write: true, ..query(5) };
    assert_eq!(routes.route(51_000.0, &write), Route::Local, "the own way to the origin is open");
    routes.set_own_view(SiteView { has_caches: false, has_origin: false, ..well });
    assert_eq!(routes.route(51_000.0, &write), Route::Remote(other));
    routes.update_site(51_000.0, other, SiteView { has_origin: false, ..well });
    assert_eq!(routes.route(51_000.0, &write), Route::Refused(RouteRefusal::NoCapableSite));
    routes.update_site(51_000.0, other, well);
    let passed = |sites: &[SiteId]| RouteQuery { passed_sites: sites.to_vec(), ..query(5) };
    assert_eq!(routes.route(51_000.0, &passed(&[other])), Route::Refused(RouteRefusal::HopLimit));
    assert_eq!(routes.route(51_000.0, &passed(&[me])), Route::Refused(RouteRefusal::HopLimit));
    // Repeats have a budget, which other requests fill.
    let repeat = RouteQuery { is_retry: true, ..query(5) };
    let sent = (0..100).filter(|_| routes.route(51_000.0, &repeat) == Route::Remote(other)).count();
    assert_eq!((sent, routes.route(51_000.0, &repeat)), (20, Route::Refused(RouteRefusal::RetryBudget)));
    (0..11).for_each(|_| _ = routes.route(51_000.0, &query(5)));
    assert_eq!(routes.route(51_000.0, &repeat), Route::Remote(other));
}
