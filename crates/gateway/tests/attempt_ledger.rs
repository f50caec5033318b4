//! Property tests of the attempt ledger and the codec: the link loses, delays and reorders messages and is
//! cut, and both sides restart.

use std::collections::{BTreeMap, BTreeSet};

use linnethook_gateway::attempt_ledger::{
    Admission, AttemptLedgerConfig, AttemptOutcome, AttemptState, ReceivedAttempts, Resolution,
    RetainedAttempts, SentAttempts, Token,
};
use linnethook_gateway::codec::{
    encode_frame, ForwardedRequest, Frame, FrameDecoder, Hello, MalformedFrame, Message, RejectReason,
    ResponseHead, VersionRange,
};
use linnethook_gateway::site_state::StatePosition;
use proptest::prelude::{any, prop, prop_assert, prop_assert_eq, proptest, ProptestConfig};
use proptest::test_runner::RngSeed;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

#[derive(Debug, Clone)]
enum Packet {
    Request(Token),
    Query(Token),
    Report(Token, AttemptOutcome),
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// For any sequence of faults: no booking runs twice or has two open attempts, each has one final outcome
    /// by its deadline, and none that ran is resolved as never run.
    #[test]
    fn no_booking_runs_twice(seed in any::<u64>()) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let (mut sender_epoch, mut receiver_start) = (1u64, 1u64);
        let mut sent = SentAttempts::new(sender_epoch, 64);
        let mut received = ReceivedAttempts::new(AttemptLedgerConfig {
            retention: 3_000.0,
            ..AttemptLedgerConfig::default()
        });
        received.accept_epoch(sender_epoch);
        let (mut up, mut now) = (true, 0.0);
        // Packets are delayed, lost or reordered; only those sent while the link is up are in transit.
        let (mut to_receiver, mut to_sender) = (Vec::<Packet>::new(), Vec::<Packet>::new());
        let mut runs = BTreeMap::<u64, u32>::new();
        let mut tickets = BTreeMap::<Token, u64>::new();
        let mut running = BTreeSet::<Token>::new();
        let mut ends = BTreeMap::<u64, (f64, Option<f64>)>::new();
        let mut next = 0u64;
        let mut retryable = Vec::<u64>::new();
        for _ in 0..600 {
            now += random.random_range(1..60) as f64;
            match random.random_range(0..20) {
                0..=5 => {
                    // A new booking, or a retry of one whose attempt is proven not to have run.
                    let ticket = retryable.pop().unwrap_or_else(|| {
                        next += 1;
                        next
                    });
                    let deadline = ends.get(&ticket).map_or(now + 2_000.0, |(deadline, _)| *deadline);
                    ends.entry(ticket).or_insert((deadline, None));
                    if up && now < deadline {
                        let token = sent
                            .begin(ticket, receiver_start, 0, deadline)
                            .expect("no other attempt is open");
                        tickets.insert(token, ticket);
                        if random.random_range(0..8) > 0 {
                            sent.mark_written(token);
                            to_receiver.push(Packet::Request(token));
                        }
                    } else {
                        // No attempt has run, so the booking may be rejected.
                        prop_assert!(runs.get(&ticket).copied().unwrap_or(0) == 0);
                        ends.insert(ticket, (deadline, Some(now)));
                    }
                }
                6..=9 if up && !to_receiver.is_empty() => {
                    let n = random.random_range(0..to_receiver.len());
                    match to_receiver.swap_remove(n) {
                        Packet::Request(token) => match received.admit(token) {
                            Admission::Run => {
                                running.insert(token);
                            }
                            Admission::Known(outcome) => to_sender.push(Packet::Report(token, outcome)),
                            Admission::Fenced | Admission::AtCapacity => {}
                        },
                        Packet::Query(token) => {
                            let outcome = received.query_outcome(now, token);
                            to_sender.push(Packet::Report(token, outcome));
                        }
                        Packet::Report(..) => {}
                    }
                }
                10..=12 => {
                    // A running attempt ends: it took effect, or was rejected before it did.
                    if let Some(token) = running.pop_first() {
                        let ticket = tickets[&token];
                        if random.random_range(0..5) == 0 {
                            received.record_rejection(now, token);
                            to_sender.push(Packet::Report(token, AttemptOutcome::NeverRan));
                        } else {
                            *runs.entry(ticket).or_default() += 1;
                            prop_assert_eq!(runs[&ticket], 1, "the booking ran twice");
                            received.record_answer(now, token, vec![1]);
                            to_sender.push(Packet::Report(token, AttemptOutcome::Completed(Some(vec![1]))));
                        }
                    }
                }
                13..=15 if up && !to_sender.is_empty() => {
                    let n = random.random_range(0..to_sender.len());
                    if let Packet::Report(token, outcome) = to_sender.swap_remove(n) {
                        match sent.record_outcome(token, outcome, 0) {
                            Some(Resolution::NeverRan(ticket)) => {
                                prop_assert!(
                                    !runs.contains_key(&ticket),
                                    "the booking ran, but is resolved as never run"
                                );
                                retryable.push(ticket);
                            }
                            Some(Resolution::Answered(ticket, _) | Resolution::Failed(ticket)) => {
                                prop_assert!(ends[&ticket].1.is_none(), "a second final outcome");
                                ends.insert(ticket, (ends[&ticket].0, Some(now)));
                            }
                            None => {}
                        }
                    }
                }
                16 => {
                    if up {
                        // The link is cut: packets in transit are lost, or some still arrive.
                        to_sender.clear();
                        if random.random_range(0..2) == 0 {
                            to_receiver.clear();
                        }
                        for resolution in sent.connection_lost(0) {
                            if let Resolution::NeverRan(ticket) = resolution {
                                retryable.push(ticket);
                            }
                        }
                    } else {
                        received.accept_epoch(sender_epoch);
                        to_receiver
                            .extend(sent.tokens_to_query(receiver_start).into_iter().map(Packet::Query));
                    }
                    up = !up;
                }
                17 if random.random_range(0..4) == 0 => {
                    // The receiver restarts: running attempts may have taken effect, and its ledger is lost.
                    receiver_start += 1;
                    for token in std::mem::take(&mut running) {
                        if random.random_range(0..2) == 0 {
                            *runs.entry(tickets[&token]).or_default() += 1;
                        }
                    }
                    to_receiver.clear();
                    to_sender.clear();
                    received = ReceivedAttempts::new(AttemptLedgerConfig {
                        retention: 3_000.0,
                        ..AttemptLedgerConfig::default()
                    });
                    received.accept_epoch(sender_epoch);
                    for resolution in sent.connection_lost(0) {
                        if let Resolution::NeverRan(ticket) = resolution {
                            retryable.push(ticket);
                        }
                    }
                    // Attempts sent to the earlier start can't be queried.
                    prop_assert!(sent.tokens_to_query(receiver_start).is_empty());
                }
                18 if random.random_range(0..4) == 0 => {
                    // The sender restarts: its clients are disconnected, and its tokens are void.
                    sender_epoch += 1;
                    sent = SentAttempts::new(sender_epoch, 64);
                    let open: Vec<u64> =
                        ends.iter().filter(|(_, (_, end))| end.is_none()).map(|(t, _)| *t).collect();
                    for ticket in open {
                        ends.insert(ticket, (ends[&ticket].0, Some(ends[&ticket].0)));
                    }
                    retryable.clear();
                    prop_assert!(
                        received.accept_epoch(sender_epoch) && !received.accept_epoch(sender_epoch - 1)
                    );
                }
                _ => received.expire(now),
            }
            for resolution in sent.expire(now) {
                if let Resolution::Failed(ticket) = resolution {
                    prop_assert!(ends[&ticket].1.is_none(), "a second final outcome");
                    ends.insert(ticket, (ends[&ticket].0, Some(now)));
                }
            }
            prop_assert!(sent.len() <= 64);
        }
        prop_assert!(runs.values().all(|runs| *runs == 1));
        for (ticket, (deadline, end)) in &ends {
            let waits = sent.state_of(*ticket).is_some() || retryable.contains(ticket);
            prop_assert!(
                end.is_some() || waits || now < deadline + 60.0,
                "booking {ticket} has no final outcome"
            );
        }
    }

    /// Decoded frames equal the encoded ones, regardless of how the bytes are split.
    #[test]
    fn frames_survive_any_split(
        messages in prop::collection::vec(
            (any::<u32>(), 0u8..8, prop::collection::vec(any::<u8>(), 0..200)),
            1..20,
        ),
        cuts in prop::collection::vec(1usize..50, 1..50),
    ) {
        let token = Token { epoch: 3, number: 9 };
        let frames: Vec<Frame> = messages
            .into_iter()
            .map(|(stream, kind, bytes)| {
                let text = String::from_utf8_lossy(&bytes).into_owned();
                let message = match kind {
                    0 => Message::Hello(Hello {
                        versions: VersionRange { min: 1, max: 2 },
                        site: text.clone(),
                        node: text,
                        epoch: 7,
                        known_state: StatePosition { epoch: 1, version: 2 },
                        proof: bytes,
                    }),
                    1 => Message::Request(Box::new(ForwardedRequest {
                        token: Some(token),
                        remaining_ms: 5,
                        priority: 1,
                        passed_sites: vec![text],
                        resume_from: None,
                        fields: Vec::new(),
                        body: bytes.into(),
                    })),
                    2 => Message::Response(Box::new(ResponseHead {
                        served: true,
                        body_length: bytes.len() as u64,
                        offset: 3,
                        version: None,
                        fields: vec![("a".to_string(), text)],
                    })),
                    3 => Message::OutcomeReport(token, AttemptOutcome::Completed(Some(bytes))),
                    4 => Message::OutcomeQuery(token),
                    5 => Message::Credit(bytes.len() as u32),
                    6 => Message::Reject { reason: RejectReason::AtCapacity, retry_after_ms: 7 },
                    _ => Message::Data(bytes.into()),
                };
                Frame { stream, message }
            })
            .collect();
        let bytes: Vec<u8> = frames.iter().flat_map(encode_frame).collect();
        let (mut decoder, mut decoded, mut rest) = (FrameDecoder::default(), Vec::new(), &bytes[..]);
        for cut in cuts.iter().cycle() {
            let (part, later) = rest.split_at((*cut).min(rest.len()));
            decoder.push_bytes(part);
            while let Some(frame) = decoder.next_frame(10_000).expect("a valid frame") {
                decoded.push(frame);
            }
            rest = later;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(decoded, frames);
        prop_assert_eq!(decoder.buffered_bytes(), 0);
    }

    /// Random bytes decode to frames or an error, and no more than the input is buffered.
    #[test]
    fn random_bytes_are_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut decoder = FrameDecoder::default();
        decoder.push_bytes(&bytes);
        while let Ok(Some(_)) = decoder.next_frame(300) {}
        prop_assert!(decoder.buffered_bytes() <= bytes.len());
    }
}

#[test]
fn frame_header_is_checked_before_the_frame_is_complete() {
    let mut decoder = FrameDecoder::default();
    decoder.push_bytes(&[255, 255, 255, 255]);
    assert_eq!(decoder.next_frame(1_000), Err(MalformedFrame::InvalidLength(u32::MAX as usize, 1_000)));
    for (bytes, error) in [
        (&[0, 0, 0, 4, 1][..], MalformedFrame::InvalidLength(4, 1_000)),
        (&[0, 0, 0, 5, 9, 0, 0, 0, 1], MalformedFrame::UnknownKind(9)),
        (&[0, 0, 0, 6, 1, 0, 0, 0, 1, 200], MalformedFrame::InvalidPayload),
        (&[0, 0, 0, 5, 1, 0, 0, 0, 1], MalformedFrame::InvalidPayload),
    ] {
        let mut decoder = FrameDecoder::default();
        decoder.push_bytes(bytes);
        assert_eq!(decoder.next_frame(1_000), Err(error));
    }
}

/// The cases of the table of outcomes in the design note, one by one.
#[test]
fn outcomes_follow_only_from_proof() {
    let mut sent = SentAttempts::new(1, 2);
    let mut received =
        ReceivedAttempts::new(AttemptLedgerConfig { retention: 100.0, max_tokens: 4, max_answer_bytes: 3 });
    assert!(received.accept_epoch(1));
    let token = sent.begin(7, 1, 0, 1_000.0).expect("a token");
    assert_eq!((sent.begin(7, 1, 0, 1_000.0), sent.state_of(7)), (None, Some(AttemptState::Unwritten)));
    assert_eq!(sent.connection_lost(0), [Resolution::NeverRan(7)], "it was not written completely");
    let token = Token { number: token.number + 1, ..token };
    assert_eq!(sent.begin(7, 1, 0, 1_000.0), Some(token));
    sent.mark_written(token);
    assert!(
        sent.connection_lost(0).is_empty()
            && sent.tokens_to_query(1) == [token]
            && sent.tokens_to_query(2).is_empty()
    );
    // It never arrived: resolved as never run at the sender, and fenced at the receiver.
    let outcome = received.query_outcome(10.0, token);
    assert_eq!(
        (sent.record_outcome(token, outcome, 0), received.admit(token)),
        (Some(Resolution::NeverRan(7)), Admission::Fenced)
    );
    // It ran, and its answer is retained; once the answer is evicted, only the fact that it ran.
    let other = sent.begin(7, 1, 0, 1_000.0).expect("another attempt");
    assert_eq!(received.admit(other), Admission::Run);
    assert_eq!(received.query_outcome(11.0, other), AttemptOutcome::Running);
    received.record_answer(12.0, other, vec![1, 2]);
    assert_eq!(received.admit(other), Admission::Known(AttemptOutcome::Completed(Some(vec![1, 2]))));
    let third = Token { number: 50, ..other };
    assert_eq!(received.admit(third), Admission::Run);
    received.record_answer(13.0, third, vec![3, 4]);
    let outcome = received.query_outcome(14.0, other);
    assert_eq!((outcome.clone(), received.retained().answer_bytes), (AttemptOutcome::Completed(None), 2));
    assert_eq!(sent.record_outcome(other, outcome, 0), Some(Resolution::Failed(7)));
    // Beyond the retention nothing is proven, and the token is not admitted.
    received.expire(500.0);
    assert_eq!(
        (received.query_outcome(501.0, other), received.admit(other)),
        (AttemptOutcome::Forgotten, Admission::Fenced)
    );
    assert_eq!(received.retained(), RetainedAttempts { tokens: 0, answer_bytes: 0 });
    // After a restart of the sender, its old tokens are void and its old hello is a replay.
    assert!(received.accept_epoch(2) && !received.accept_epoch(1));
    assert_eq!(received.admit(Token { epoch: 1, number: 60 }), Admission::Fenced);
    // The deadline passes before an outcome is known.
    let last = sent.begin(8, 1, 0, 900.0).expect("a token");
    sent.mark_written(last);
    assert_eq!((sent.expire(899.0), sent.expire(900.0)), (vec![], vec![Resolution::Failed(8)]));
    assert_eq!(
        sent.record_outcome(last, AttemptOutcome::Completed(Some(vec![])), 0),
        None,
        "no outcome after the deadline"
    );
}
