//! A gateway with peers that violate the protocol or stop responding: memory stays within its limits, no
//! request is answered twice, and rejections carry a reason.

mod support;

use std::collections::BTreeMap;

use bytes::{Bytes, BytesMut};
use linnethook_gateway::attempt_ledger::{AttemptOutcome, Token};
use linnethook_gateway::codec::{Frame, Message, RejectReason, ResponseHead};
use linnethook_gateway::gateway::{Action, GatewayConfig, Reply};
use linnethook_gateway::local_capacity::RequestKind;
use linnethook_gateway::site_state::{Fact, FactKey, FactValue, StatePosition, StateUpdate};
use proptest::prelude::{any, prop, prop_assert, prop_assert_eq, proptest, ProptestConfig};
use proptest::test_runner::RngSeed;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::*;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Messages in any order, on any stream, with random bytes among them: no panic, every limit is
    /// respected, and each local request gets exactly one answer by its deadline.
    #[test]
    fn arbitrary_messages_of_a_peer_are_handled(
        seed in any::<u64>(),
        garbage in prop::collection::vec(any::<u8>(), 0..60),
    ) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut config = GatewayConfig::default();
        (
            config.forwarding.max_remote_requests,
            config.attempt_ledger.max_tokens,
            config.routing.initial_share,
        ) = (16, 32, 1.0);
        let mut gateway = connected(config);
        gateway.report_local_load(60.0, 0, 0.1);
        let (mut now, mut submitted, mut answers, mut up) = (60.0, 0u64, BTreeMap::<u64, u32>::new(), true);
        for _ in 0..300 {
            now += random.random_range(0.0..20.0);
            if random.random_range(0..4) == 0 {
                submitted += 1;
                gateway.submit_request(
                    now,
                    submitted,
                    forward_request(random.random_range(0..2) == 0, now + 300.0),
                );
            }
            let stream = random.random_range(0..12);
            let token = Token { epoch: random.random_range(4..8), number: random.random_range(0..40) };
            let bytes = vec![1; random.random_range(0..3_000)];
            let length = random.random_range(0..3_000);
            let message = match random.random_range(0..20) {
                0 => Message::Cancel,
                1 => Message::Credit(random.random_range(0..100_000)),
                2..=5 => request(Some(token)),
                6 => request(None),
                7 => Message::OutcomeQuery(token),
                8 => Message::OutcomeReport(token, AttemptOutcome::NeverRan),
                9 => Message::OutcomeReport(token, AttemptOutcome::Completed(Some(bytes))),
                10 => Message::Reject { reason: RejectReason::AtCapacity, retry_after_ms: 7 },
                11 => Message::Response(Box::new(ResponseHead {
                    served: true,
                    fields: Vec::new(),
                    body_length: length,
                    offset: 0,
                    version: None,
                })),
                12 => Message::Data(bytes.into()),
                13 => Message::End,
                14 => Message::Ping(9),
                15 => Message::Pong(random.random_range(0..10)),
                16 => Message::StateRequest(StatePosition { epoch: 7, version: random.random_range(0..10) }),
                17 if random.random_range(0..10) == 0 => hello(random.random_range(4..7)),
                _ => Message::StateUpdate(StateUpdate {
                    epoch: 5,
                    since: 0,
                    version: submitted,
                    facts: Vec::new(),
                }),
            };
            if up {
                send(&mut gateway, now, stream, message);
                if random.random_range(0..200) == 0 {
                    gateway.receive(now, 1, &garbage);
                }
                let frames = sent_frames(&mut gateway);
                answer_pings(&mut gateway, FIRST_CONNECTION, now, &frames);
            }
            gateway.on_timer(now);
            for action in actions(&mut gateway) {
                match action {
                    // A request that is served locally is answered by the caller.
                    Action::Answer(ticket, _) | Action::ServeLocally(ticket) => {
                        *answers.entry(ticket).or_default() += 1
                    }
                    Action::ServeRemote(request) if random.random_range(0..3) > 0 => {
                        let body = Bytes::from(vec![2; 500]);
                        gateway.complete_remote_request(
                            now,
                            request.ticket,
                            Reply::Served { fields: Vec::new(), body, version: None },
                        );
                    }
                    Action::Close(..) => up = false,
                    _ => {}
                }
            }
            if !up {
                up = true;
                gateway.connection_opened(now, 1, None);
                send(&mut gateway, now, 0, hello(5));
            }
            let status = gateway.status(now);
            let remembered: u64 = status.sites[0].gateways.iter().map(|g| g.remembered_tokens).sum();
            prop_assert!(status.remote_requests <= 16 && remembered <= 32, "{status:?}");
        }
        gateway.on_timer(now + 400.0);
        for action in actions(&mut gateway) {
            if let Action::Answer(ticket, _) | Action::ServeLocally(ticket) = action {
                *answers.entry(ticket).or_default() += 1;
            }
        }
        prop_assert!(answers.values().all(|n| *n == 1), "{answers:?}");
        prop_assert_eq!(answers.len() as u64, submitted);
    }
}

/// A peer that never grants credit receives no more than its window, other streams get their turns, and its
/// answer is finally dropped.
#[test]
fn answer_to_a_stopped_reader_is_dropped_after_the_timeout() {
    let mut config = GatewayConfig::default();
    config.forwarding.answer_write_timeout = 1_000.0;
    let mut gateway = connected(config);
    sent_frames(&mut gateway);
    for stream in [1, 2] {
        send(&mut gateway, 61.0, stream, request(None));
    }
    let requests: Vec<u64> = actions(&mut gateway)
        .into_iter()
        .filter_map(
            |action| if let Action::ServeRemote(request) = action { Some(request.ticket) } else { None },
        )
        .collect();
    for (ticket, size) in requests.into_iter().zip([1_000_000, 1_000]) {
        let body = Bytes::from(vec![1; size]);
        gateway.complete_remote_request(
            61.0,
            ticket,
            Reply::Served { fields: Vec::new(), body, version: None },
        );
    }
    let mut bytes = BTreeMap::<u32, usize>::new();
    for frame in sent_frames(&mut gateway) {
        if let Message::Data(data) = frame.message {
            *bytes.entry(frame.stream).or_default() += data.len();
        }
    }
    assert_eq!(bytes, BTreeMap::from([(1, 256 << 10), (2, 1_000)]));
    assert!(gateway.status(62.0).sites[0].gateways[0].connections[0].queued_bytes > 700_000);
    let mut now = 62.0;
    while now < 1_200.0 {
        now += 50.0;
        gateway.on_timer(now);
        let frames = sent_frames(&mut gateway);
        answer_pings(&mut gateway, FIRST_CONNECTION, now, &frames);
    }
    let connection = &gateway.status(now).sites[0].gateways[0].connections[0];
    assert!(connection.queued_bytes < 1_000 && connection.incoming == 0, "{connection:?}");
}

/// When the received state is older than 200 ms, drains that the sender knows may be unknown here: a request
/// is rejected without having run. Its token is not recorded, so that the sender can retry at another site.
#[test]
fn request_is_admitted_only_while_the_state_of_its_sender_is_recent() {
    let mut gateway = connected(GatewayConfig::default());
    sent_frames(&mut gateway);
    let token = Token { epoch: 5, number: 1 };
    send(&mut gateway, 150.0, 1, request(Some(token)));
    assert!(matches!(actions(&mut gateway).last(), Some(Action::ServeRemote(_) | Action::Write(_))));
    let late = Token { epoch: 5, number: 2 };
    send(&mut gateway, 260.0, 2, request(Some(late)));
    let rejection = Frame {
        stream: 2,
        message: Message::Reject { reason: RejectReason::StateTooOld, retry_after_ms: 0 },
    };
    let frames = sent_frames(&mut gateway);
    assert!(frames.contains(&rejection), "{frames:?}");
    // When queried, it is fenced like a token that never arrived.
    send(&mut gateway, 261.0, 0, Message::OutcomeQuery(late));
    let report = Frame { stream: 0, message: Message::OutcomeReport(late, AttemptOutcome::NeverRan) };
    assert!(sent_frames(&mut gateway).contains(&report));
    answer_pings(&mut gateway, FIRST_CONNECTION, 262.0, &[]);
    // A drain that is received before a request is reported before the request.
    gateway.on_timer(270.0);
    let frames = sent_frames(&mut gateway);
    answer_pings(&mut gateway, FIRST_CONNECTION, 271.0, &frames);
    actions(&mut gateway);
    let facts = vec![Fact::new(FactKey::Cache("c".to_string()), FactValue::Cache { ready: false })];
    send(&mut gateway, 272.0, 0, Message::StateUpdate(StateUpdate { epoch: 5, since: 1, version: 2, facts }));
    send(&mut gateway, 272.0, 3, request(None));
    let order: Vec<u8> = actions(&mut gateway)
        .iter()
        .filter_map(|action| match action {
            Action::RemoteFact(..) => Some(1),
            Action::ServeRemote(_) => Some(2),
            _ => None,
        })
        .collect();
    assert_eq!((order, gateway.is_cache_unavailable("c")), (vec![1, 2], true));
}

/// The outcome of an attempt does not depend on its connection: an attempt that was only partly written has
/// not run when its connection is lost, and one that was written completely stays uncertain until its
/// deadline.
#[test]
fn outcomes_of_attempts_survive_lost_connections() {
    let mut config = GatewayConfig::default();
    config.routing.initial_share = 1.0;
    let mut gateway = connected(config);
    gateway.report_local_load(61.0, 0, 0.1);
    (0..6).for_each(|_| gateway.record_local_outcome(61.0, RequestKind::Write, true));
    sent_frames(&mut gateway);
    actions(&mut gateway);
    // Partly written: it never ran. It waits for a connection until its time is up, and is rejected since
    // there is no other site.
    gateway.submit_request(62.0, 1, forward_request(true, 400.0));
    let mut bytes = BytesMut::new();
    gateway.take_output(1, 1 << 20, &mut bytes);
    gateway.mark_written(1, bytes.len() - 1);
    gateway.connection_closed(63.0, 1);
    gateway.on_timer(310.0);
    assert!(actions(&mut gateway).iter().any(|a| matches!(a, Action::Answer(1, Reply::Rejected { .. }))));
    // Completely written: it is uncertain, and fails at its deadline.
    let mut gateway = connected(config);
    gateway.report_local_load(61.0, 0, 0.1);
    (0..6).for_each(|_| gateway.record_local_outcome(61.0, RequestKind::Write, true));
    sent_frames(&mut gateway);
    gateway.submit_request(62.0, 1, forward_request(true, 400.0));
    sent_frames(&mut gateway);
    gateway.connection_closed(63.0, 1);
    gateway.on_timer(399.0);
    assert!(!actions(&mut gateway).iter().any(|a| matches!(a, Action::Answer(..))));
    gateway.on_timer(400.0);
    assert!(actions(&mut gateway).contains(&Action::Answer(1, Reply::Failed)));
}

/// Guards against a request that runs at two sites: its connection was closed as silent, so that the request
/// counted as never sent and was sent on, but an earlier order to write still sent the rest of it.
#[test]
fn nothing_is_written_to_a_connection_that_is_about_to_be_closed() {
    let mut config = GatewayConfig::default();
    config.routing.initial_share = 1.0;
    let silence = config.session.heartbeat.max_silence;
    let mut gateway = connected(config);
    sent_frames(&mut gateway);
    gateway.report_local_load(61.0, 0, 0.1);
    for _ in 0..6 {
        gateway.record_local_outcome(61.0, RequestKind::Write, true);
    }
    let deadline = 61.0 + 10.0 * silence;
    gateway.submit_request(61.0, 1, forward_request(true, deadline));
    // The system does not accept the request yet.
    let mut unwritten = BytesMut::new();
    gateway.take_output(1, 1 << 24, &mut unwritten);
    assert!(unwritten.windows(9).any(|bytes| bytes == b"a booking"), "it is to be sent to the other site");
    actions(&mut gateway);
    let now = 61.0 + 2.0 * silence;
    gateway.report_local_load(now, 0, 0.9);
    gateway.on_timer(now);
    let actions = actions(&mut gateway);
    assert!(actions.iter().any(|action| matches!(action, Action::Close(1, _))), "{actions:?}");
    assert!(!actions.contains(&Action::Write(1)), "{actions:?}");
}
