//! Property tests of streams, transfers and site state against simple models, and tests of routing.

use std::collections::BTreeMap;

use linnethook_gateway::flow_control::{
    CreditGrant, FlowControlConfig, FlowControlError, Priority, ReceiveWindow, SendScheduler,
};
use linnethook_gateway::routing::{
    Route, RouteQuery, RouteRejection, RoutingConfig, RoutingTable, SiteId, SiteView,
};
use linnethook_gateway::site_state::{FactKey, FactValue, PublishedState, ReceivedState, UpdateResult};
use linnethook_gateway::transfer::{ObjectVersion, ResponseFit, Resumption, Transfer};
use proptest::prelude::{any, prop_assert, prop_assert_eq, proptest, ProptestConfig};
use proptest::test_runner::RngSeed;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const LIMITS: FlowControlConfig = FlowControlConfig {
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

    /// All queued bytes arrive, none beyond the granted credit, and a reader that stops blocks no other
    /// stream.
    #[test]
    fn streams_share_a_connection(seed in any::<u64>()) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let (mut sending, mut receiving) = (SendScheduler::new(LIMITS), ReceiveWindow::new(LIMITS));
        let mut expected = BTreeMap::<u32, u64>::new();
        let mut received = BTreeMap::<u32, u64>::new();
        // Stream 1 is never read.
        let blocked = 1u32;
        for stream in 1..=6u32 {
            let priority =
                [Priority::Booking, Priority::FirstPart, Priority::LaterPart][random.random_range(0..3)];
            prop_assert!(sending.open_stream(stream, priority));
            receiving.open_stream(stream);
            let bytes = if stream == blocked { 50_000 } else { random.random_range(0..30_000) };
            expected.insert(stream, bytes);
            sending.queue_bytes(stream, bytes, true);
        }
        for _ in 0..5_000 {
            let Some(turn) = sending.next_turn(random.random_range(1..2_000)) else { break };
            prop_assert!(turn.bytes <= LIMITS.max_turn_bytes);
            let mut grants = receiving.receive(turn.stream, turn.bytes).expect("within the granted credit");
            *received.entry(turn.stream).or_default() += turn.bytes;
            if turn.stream != blocked {
                grants.extend(receiving.consume(turn.stream, turn.bytes));
                if turn.is_last {
                    receiving.close_stream(turn.stream, 0);
                }
            }
            for CreditGrant { stream, bytes } in grants {
                sending.add_credit(stream, bytes).expect("within the largest window");
            }
        }
        for (stream, bytes) in &expected {
            let arrived = received.get(stream).copied().unwrap_or(0);
            prop_assert_eq!(arrived, if *stream == blocked { LIMITS.stream_window_bytes } else { *bytes });
        }
        prop_assert_eq!((sending.len(), receiving.len()), (1, 1));
    }

    /// Regardless of how often and where a transfer is interrupted, the client receives one complete body of
    /// one version or a truncated one.
    #[test]
    fn a_body_is_complete_and_of_one_version(seed in any::<u64>()) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let object_version =
            |tag: u32| ObjectVersion { tag: tag.to_string(), issued_at: 1.0, length: 1_000 + u64::from(tag) };
        let mut transfer = Transfer::new(10_000.0, 6);
        // What was delivered to the client: versions, and the bytes of each.
        let (mut delivered, mut position, mut now) = (Vec::<(u32, u64)>::new(), 0u64, 0.0);
        let (mut version, mut offset) = (1u32, 0u64);
        let delivers_at_once = random.random_range(0..2) == 0;
        let is_complete = loop {
            now += 100.0;
            // Another site may have another version, or send it from the start although the rest was
            // requested.
            version += u32::from(random.random_range(0..4) == 0);
            let first_byte = if random.random_range(0..4) == 0 { 0 } else { offset };
            match transfer.begin_response(object_version(version), first_byte) {
                ResponseFit::Continues => {}
                ResponseFit::Restarts => {
                    delivered.clear();
                    position = 0;
                }
                ResponseFit::Mismatch => match transfer.resume(now, 50.0) {
                    Resumption::GiveUp => break false,
                    Resumption::Restart => {
                        offset = 0;
                        continue;
                    }
                    Resumption::Remainder { offset: missing, .. } => {
                        offset = missing;
                        continue;
                    }
                },
            }
            let start = if first_byte == 0 && !delivers_at_once { 0 } else { position };
            let bytes = random.random_range(0..=(object_version(version).length - start));
            prop_assert!(transfer.receive(bytes));
            position = start + bytes;
            if delivers_at_once {
                transfer.mark_delivered(bytes);
                delivered.push((version, bytes));
            }
            if transfer.is_complete() {
                break true;
            }
            match transfer.resume(now, 50.0) {
                Resumption::GiveUp => break false,
                Resumption::Restart => offset = 0,
                Resumption::Remainder { offset: missing, version: expected } => {
                    prop_assert_eq!(expected.tag, version.to_string());
                    offset = missing;
                }
            }
        };
        let versions: std::collections::BTreeSet<u32> =
            delivered.iter().filter(|part| part.1 > 0).map(|part| part.0).collect();
        prop_assert!(versions.len() <= 1, "bytes of two versions were delivered");
        let sum: u64 = delivered.iter().map(|part| part.1).sum();
        prop_assert!(!is_complete || !delivers_at_once || sum == object_version(version).length, "{sum}");
    }

    /// Updates are lost, delayed and duplicated. After the last one the receiver knows everything that was
    /// published, and no purge is ever reverted.
    #[test]
    fn site_state_converges_after_lost_updates(seed in any::<u64>()) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut published = PublishedState::new(1, 64);
        let mut received = ReceivedState::default();
        let mut model = BTreeMap::<FactKey, FactValue>::new();
        let mut delayed = Vec::new();
        let (mut epoch, mut stamps) = (1, BTreeMap::<FactKey, f64>::new());
        for n in 0..300u32 {
            let now = f64::from(n) * 10.0;
            let (key, value) = match random.random_range(0..4) {
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
            published.publish(now, key.clone(), value.clone());
            model.insert(key, value);
            if random.random_range(0..60) == 0 {
                // The publisher restarts and publishes everything again.
                epoch += 1;
                published = PublishedState::new(epoch, 64);
                model.iter().for_each(|(key, value)| _ = published.publish(now, key.clone(), value.clone()));
            }
            let known = received.position();
            let state = published.changes_since(known);
            match random.random_range(0..4) {
                0 => {}
                1 => delayed.push(state),
                _ => {
                    received.apply_update(now, state, 1_000);
                }
            }
            if let Some(state) = delayed.pop().filter(|_| random.random_range(0..3) == 0) {
                if let UpdateResult::Missing(from) = received.apply_update(now, state, 1_000) {
                    prop_assert!(from <= published.version());
                }
            }
            for (key, value) in &model {
                if let (FactValue::Purged { .. }, Some(FactValue::Purged { stamp })) =
                    (value, received.get(now, 1e9, key))
                {
                    let before = stamps.insert(key.clone(), *stamp).unwrap_or(0.0);
                    prop_assert!(*stamp >= before, "a purge was reverted");
                }
            }
        }
        let known = received.position();
        received.apply_update(4_000.0, published.changes_since(known), 1_000);
        // If the update held nothing new, activity on the session keeps the state current.
        received.record_activity(4_000.0);
        for (key, value) in &model {
            prop_assert_eq!(received.get(4_000.0, 100.0, key), Some(value));
        }
        prop_assert_eq!(received.get(9_000.0, 100.0, &FactKey::Site), None, "the load has expired");
    }
}

#[test]
fn violations_of_flow_control_are_reported() {
    let mut receiving = ReceiveWindow::new(LIMITS);
    receiving.open_stream(3);
    assert_eq!(
        receiving.receive(3, 4_001),
        Err(FlowControlError::WindowExceeded { stream: 3, bytes: 4_001, granted: 4_000 })
    );
    let mut sending = SendScheduler::new(LIMITS);
    assert!(sending.open_stream(1, Priority::LaterPart) && !sending.open_stream(1, Priority::LaterPart));
    assert_eq!(sending.add_credit(1, u32::MAX), Err(FlowControlError::CreditOverflow));
    assert_eq!(sending.add_credit(0, u32::MAX), Err(FlowControlError::CreditOverflow));
    assert_eq!(sending.add_credit(77, 5), Ok(()), "the stream may just have ended");
}

/// Bookings go first, and lower priorities still get turns.
#[test]
fn higher_priorities_go_first_without_starving_others() {
    let mut sending = SendScheduler::new(FlowControlConfig {
        link_window_bytes: 1 << 30,
        stream_window_bytes: 1 << 30,
        ..LIMITS
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
fn requests_are_forwarded_only_within_the_admitted_share() {
    let healthy = SiteView {
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
    let (local, remote) = (SiteId(1), SiteId(2));
    let mut routes = RoutingTable::new(local, RoutingConfig::default());
    routes.update_site(0.0, remote, healthy);
    let count_forwarded = |routes: &mut RoutingTable, now: f64| {
        (0..1_000).filter(|n| routes.route(now, &query(*n)) == Route::Remote(remote)).count()
    };
    assert_eq!(count_forwarded(&mut routes, 0.0), 0, "the local site serves");
    routes.set_local_view(SiteView { has_caches: false, ..healthy });
    // The admitted share rises from a twentieth to all objects, and again after each outage.
    let counts: Vec<usize> =
        [0.0, 5_000.0, 10_000.0].into_iter().map(|now| count_forwarded(&mut routes, now)).collect();
    assert!(
        (20..90).contains(&counts[0]) && (430..620).contains(&counts[1]) && counts[2] == 1_000,
        "{counts:?}"
    );
    routes.update_site(11_000.0, remote, SiteView { reachable: false, ..healthy });
    assert_eq!(routes.route(11_000.0, &query(1)), Route::Rejected(RouteRejection::NoCapableSite));
    // After one second nearly two thirds of the share are left; after a long outage the ramp starts over.
    routes.update_site(12_000.0, remote, healthy);
    let forwarded = count_forwarded(&mut routes, 12_000.0);
    assert!((560..700).contains(&forwarded), "{forwarded}");
    routes.update_site(13_000.0, remote, SiteView { reachable: false, ..healthy });
    routes.update_site(29_000.0, remote, healthy);
    assert!(count_forwarded(&mut routes, 29_000.0) < 90);
    // The site is limited by its reported utilization, with hysteresis, and by the outcomes of requests
    // there.
    for (utilization, admits_all) in [(0.95, false), (0.8, false), (0.7, true), (0.8, true)] {
        routes.update_site(50_000.0, remote, SiteView { utilization, ..healthy });
        assert_eq!(count_forwarded(&mut routes, 50_000.0) == 1_000, admits_all, "utilization {utilization}");
    }
    (0..60).for_each(|_| routes.record_outcome(remote, true));
    assert!(count_forwarded(&mut routes, 50_000.0) < 90);
    (0..200).for_each(|_| routes.record_outcome(remote, false));
    routes.update_site(51_000.0, remote, healthy);
    assert_eq!(count_forwarded(&mut routes, 51_000.0), 1_000);
    // A write needs the path to the origin; a request is not sent back to a site that it has passed.
    let write = RouteQuery { write: true, ..query(5) };
    assert_eq!(routes.route(51_000.0, &write), Route::Local, "the local path to the origin works");
    routes.set_local_view(SiteView { has_caches: false, has_origin: false, ..healthy });
    assert_eq!(routes.route(51_000.0, &write), Route::Remote(remote));
    routes.update_site(51_000.0, remote, SiteView { has_origin: false, ..healthy });
    assert_eq!(routes.route(51_000.0, &write), Route::Rejected(RouteRejection::NoCapableSite));
    routes.update_site(51_000.0, remote, healthy);
    let passed = |sites: &[SiteId]| RouteQuery { passed_sites: sites.to_vec(), ..query(5) };
    assert_eq!(routes.route(51_000.0, &passed(&[remote])), Route::Rejected(RouteRejection::HopLimit));
    assert_eq!(routes.route(51_000.0, &passed(&[local])), Route::Rejected(RouteRejection::HopLimit));
    // Retries have a budget, to which first attempts add.
    let retry = RouteQuery { is_retry: true, ..query(5) };
    let sent = (0..100).filter(|_| routes.route(51_000.0, &retry) == Route::Remote(remote)).count();
    assert_eq!((sent, routes.route(51_000.0, &retry)), (20, Route::Rejected(RouteRejection::RetryBudget)));
    (0..11).for_each(|_| _ = routes.route(51_000.0, &query(5)));
    assert_eq!(routes.route(51_000.0, &retry), Route::Remote(remote));
}
