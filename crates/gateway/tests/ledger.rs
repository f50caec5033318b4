//! The ledger and the codec over seeded scripts: a link that loses, delays and is cut, two sides that start again.

use std::collections::{BTreeMap, BTreeSet};

use linnethook_gateway::codec::{encode, Begins, Decoder, Frame, Hello, Malformed, Open, Turned, Word};
use linnethook_gateway::ledger::{Admission, Fate, Horizon, Sent, Standing, Taken, Token, Verdict};
use proptest::prelude::{any, prop, prop_assert, prop_assert_eq, proptest, ProptestConfig};
use proptest::test_runner::RngSeed;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

#[derive(Debug, Clone)]
enum Mail {
    Open(Token),
    Ask(Token),
    Told(Token, Fate),
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Whatever the link and the two sides do: no booking runs twice, none has two attempts that may run, each has one
    /// end in time, and none is called free that ran.
    #[test]
    fn no_booking_runs_twice(seed in any::<u64>()) {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let (mut near, mut far) = (1u64, 1u64);
        let mut sent = Sent::new(near, 64);
        let mut taken = Taken::new(Horizon { span: 3_000.0, ..Horizon::default() });
        taken.hello(near);
        let (mut up, mut now) = (true, 0.0);
        // Mail arrives late or never, in any order; only what is sent while the link is up is on its way.
        let (mut to_far, mut to_near) = (Vec::<Mail>::new(), Vec::<Mail>::new());
        let mut runs = BTreeMap::<u64, u32>::new();
        let mut tickets = BTreeMap::<Token, u64>::new();
        let mut running = BTreeSet::<Token>::new();
        let mut ends = BTreeMap::<u64, (f64, Option<f64>)>::new();
        let mut next = 0u64;
        let mut free = Vec::<u64>::new();
        for _ in 0..600 {
            now += chance.random_range(1..60) as f64;
            match chance.random_range(0..20) {
                0..=5 => {
                    // A new booking, or another attempt at one that is free.
                    let ticket = free.pop().unwrap_or_else(|| { next += 1; next });
                    let deadline = ends.get(&ticket).map_or(now + 2_000.0, |(deadline, _)| *deadline);
                    ends.entry(ticket).or_insert((deadline, None));
                    if up && now < deadline {
                        let token = sent.begin(ticket, far, 0, deadline).expect("no other attempt is open");
                        tickets.insert(token, ticket);
                        if chance.random_range(0..8) > 0 {
                            sent.written(token);
                            to_far.push(Mail::Open(token));
                        }
                    } else {
                        // Nothing ran that is not proven not to have: it may be refused.
                        prop_assert!(runs.get(&ticket).copied().unwrap_or(0) == 0);
                        ends.insert(ticket, (deadline, Some(now)));
                    }
                }
                6..=9 if up && !to_far.is_empty() => {
                    let n = chance.random_range(0..to_far.len());
                    match to_far.swap_remove(n) {
                        Mail::Open(token) => match taken.offer(token) {
                            Admission::Run => { running.insert(token); }
                            Admission::Known(fate) => to_near.push(Mail::Told(token, fate)),
                            Admission::Barred | Admission::Full => {}
                        },
                        Mail::Ask(token) => {
                            let fate = taken.ask(now, token);
                            to_near.push(Mail::Told(token, fate));
                        }
                        Mail::Told(..) => {}
                    }
                }
                10..=12 => {
                    // One ends where it runs: it took effect, or was turned away before it did.
                    if let Some(token) = running.pop_first() {
                        let ticket = tickets[&token];
                        if chance.random_range(0..5) == 0 {
                            taken.never_ran(now, token);
                            to_near.push(Mail::Told(token, Fate::Never));
                        } else {
                            *runs.entry(ticket).or_default() += 1;
                            prop_assert_eq!(runs[&ticket], 1, "it ran twice");
                            taken.ran(now, token, vec![1]);
                            to_near.push(Mail::Told(token, Fate::Ran(Some(vec![1]))));
                        }
                    }
                }
                13..=15 if up && !to_near.is_empty() => {
                    let n = chance.random_range(0..to_near.len());
                    if let Mail::Told(token, fate) = to_near.swap_remove(n) {
                        match sent.told(token, fate, 0) {
                            Some(Verdict::Free(ticket)) => {
                                prop_assert!(!runs.contains_key(&ticket), "it ran, and is called free");
                                free.push(ticket);
                            }
                            Some(Verdict::Answered(ticket, _) | Verdict::Failed(ticket)) => {
                                prop_assert!(ends[&ticket].1.is_none(), "a second end");
                                ends.insert(ticket, (ends[&ticket].0, Some(now)));
                            }
                            None => {}
                        }
                    }
                }
                16 => {
                    if up {
                        // Cut: what is on its way is lost, or still arrives.
                        to_near.clear();
                        if chance.random_range(0..2) == 0 {
                            to_far.clear();
                        }
                        for verdict in sent.lost(0) {
                            if let Verdict::Free(ticket) = verdict {
                                free.push(ticket);
                            }
                        }
                    } else {
                        taken.hello(near);
                        to_far.extend(sent.found(far).into_iter().map(Mail::Ask));
                    }
                    up = !up;
                }
                17 if chance.random_range(0..4) == 0 => {
                    // The far side starts again: what ran there may have run, and nothing is remembered.
                    far += 1;
                    for token in std::mem::take(&mut running) {
                        if chance.random_range(0..2) == 0 {
                            *runs.entry(tickets[&token]).or_default() += 1;
                        }
                    }
                    to_far.clear();
                    to_near.clear();
                    taken = Taken::new(Horizon { span: 3_000.0, ..Horizon::default() });
                    taken.hello(near);
                    for verdict in sent.lost(0) {
                        if let Verdict::Free(ticket) = verdict {
                            free.push(ticket);
                        }
                    }
                    // Those that went to the start before can't be asked after.
                    prop_assert!(sent.found(far).is_empty());
                }
                18 if chance.random_range(0..4) == 0 => {
                    // The near side starts again: its clients are gone with it, and its tokens are void.
                    near += 1;
                    sent = Sent::new(near, 64);
                    let open: Vec<u64> = ends.iter().filter(|(_, (_, end))| end.is_none()).map(|(t, _)| *t).collect();
                    for ticket in open {
                        ends.insert(ticket, (ends[&ticket].0, Some(ends[&ticket].0)));
                    }
                    free.clear();
                    prop_assert!(taken.hello(near) && !taken.hello(near - 1));
                }
                _ => taken.expire(now),
            }
            for verdict in sent.expire(now) {
                if let Verdict::Failed(ticket) = verdict {
                    prop_assert!(ends[&ticket].1.is_none(), "a second end");
                    ends.insert(ticket, (ends[&ticket].0, Some(now)));
                }
            }
            prop_assert!(sent.len() <= 64);
        }
        prop_assert!(runs.values().all(|runs| *runs == 1));
        for (ticket, (deadline, end)) in &ends {
            let waits = sent.standing(*ticket).is_some() || free.contains(ticket);
            prop_assert!(end.is_some() || waits || now < deadline + 60.0, "{ticket} was lost");
        }
    }

    /// Frames come out as they went in, however their bytes are split.
    #[test]
    fn frames_survive_any_split(words in prop::collection::vec((any::<u32>(), 0u8..8, prop::collection::vec(any::<u8>(), 0..200)), 1..20), cuts in prop::collection::vec(1usize..50, 1..50)) {
        let token = Token { epoch: 3, number: 9 };
        let frames: Vec<Frame> = words.into_iter().map(|(stream, kind, bytes)| {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            let word = match kind {
                0 => Word::Hello(Hello { versions: (1, 2), site: text.clone(), node: text, epoch: 7, known: (1, 2), proof: bytes }),
                1 => Word::Open(Box::new(Open { token: Some(token), left_ms: 5, priority: 1, passed: vec![text], rest: None, head: Vec::new(), body: bytes.into() })),
                2 => Word::Answer(Box::new(Begins { served: true, length: bytes.len() as u64, from: 3, copy: None, head: vec![("a".to_string(), text)] })),
                3 => Word::Told(token, Fate::Ran(Some(bytes))),
                4 => Word::Ask(token),
                5 => Word::Credit(bytes.len() as u32),
                6 => Word::Never { why: Turned::Full, come_back: 7 },
                _ => Word::Data(bytes.into()),
            };
            Frame { stream, word }
        }).collect();
        let bytes: Vec<u8> = frames.iter().flat_map(encode).collect();
        let (mut decoder, mut found, mut rest) = (Decoder::default(), Vec::new(), &bytes[..]);
        for cut in cuts.iter().cycle() {
            let (now, later) = rest.split_at((*cut).min(rest.len()));
            decoder.push(now);
            while let Some(frame) = decoder.next(10_000).expect("well formed") {
                found.push(frame);
            }
            rest = later;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(found, frames);
        prop_assert_eq!(decoder.rest(), 0);
    }

    /// Random bytes are frames or an end of the session, and nothing is kept of a frame that is too long.
    #[test]
    fn garbage_ends_the_session(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut decoder = Decoder::default();
        decoder.push(&bytes);
        while let Ok(Some(_)) = decoder.next(300) {}
        prop_assert!(decoder.rest() <= bytes.len());
    }
}

#[test]
fn a_frame_is_checked_before_it_is_there() {
    let mut decoder = Decoder::default();
    decoder.push(&[255, 255, 255, 255]);
    assert_eq!(decoder.next(1_000), Err(Malformed::Length(u32::MAX as usize, 1_000)));
    for (bytes, wrong) in [
        (&[0, 0, 0, 4, 1][..], Malformed::Length(4, 1_000)),
        (&[0, 0, 0, 5, 9, 0, 0, 0, 1], Malformed::Kind),
        (&[0, 0, 0, 6, 1, 0, 0, 0, 1, 200], Malformed::Payload),
        (&[0, 0, 0, 5, 1, 0, 0, 0, 1], Malformed::Payload),
    ] {
        let mut decoder = Decoder::default();
        decoder.push(bytes);
        assert_eq!(decoder.next(1_000), Err(wrong));
    }
}

/// The cases of the design note's table, one by one.
#[test]
fn what_is_proof_and_what_is_not() {
    let mut sent = Sent::new(1, 2);
    let mut taken = Taken::new(Horizon { span: 100.0, tokens: 4, bytes: 3 });
    assert!(taken.hello(1));
    let token = sent.begin(7, 1, 0, 1_000.0).expect("a token");
    assert_eq!((sent.begin(7, 1, 0, 1_000.0), sent.standing(7)), (None, Some(Standing::Unwritten)));
    assert_eq!(sent.lost(0), [Verdict::Free(7)], "not a whole byte of it came");
    let token = Token { number: token.number + 1, ..token };
    assert_eq!(sent.begin(7, 1, 0, 1_000.0), Some(token));
    sent.written(token);
    assert!(sent.lost(0).is_empty() && sent.found(1) == [token] && sent.found(2).is_empty());
    // It never came: freed here, and fenced off there.
    let fate = taken.ask(10.0, token);
    assert_eq!((sent.told(token, fate, 0), taken.offer(token)), (Some(Verdict::Free(7)), Admission::Barred));
    // It ran, and its answer is kept; then only that it ran.
    let other = sent.begin(7, 1, 0, 1_000.0).expect("another attempt");
    assert_eq!(taken.offer(other), Admission::Run);
    assert_eq!(taken.ask(11.0, other), Fate::Running);
    taken.ran(12.0, other, vec![1, 2]);
    assert_eq!(taken.offer(other), Admission::Known(Fate::Ran(Some(vec![1, 2]))));
    let third = Token { number: 50, ..other };
    assert_eq!(taken.offer(third), Admission::Run);
    taken.ran(13.0, third, vec![3, 4]);
    let fate = taken.ask(14.0, other);
    assert_eq!((fate.clone(), taken.kept().1), (Fate::Ran(None), 2));
    assert_eq!(sent.told(other, fate, 0), Some(Verdict::Failed(7)));
    // Past the horizon nothing is proven, and nothing is let in.
    taken.expire(500.0);
    assert_eq!((taken.ask(501.0, other), taken.offer(other)), (Fate::Forgotten, Admission::Barred));
    assert_eq!(taken.kept(), (0, 0));
    // A sender that started again: its old tokens are void, its old hello is a replay.
    assert!(taken.hello(2) && !taken.hello(1));
    assert_eq!(taken.offer(Token { epoch: 1, number: 60 }), Admission::Barred);
    // Time runs out first.
    let last = sent.begin(8, 1, 0, 900.0).expect("a token");
    sent.written(last);
    assert_eq!((sent.expire(899.0), sent.expire(900.0)), (vec![], vec![Verdict::Failed(8)]));
    assert_eq!(sent.told(last, Fate::Ran(Some(vec![])), 0), None, "nothing after");
}
