//! The router on sockets, between stand-ins: one test for each thing that only sockets can get wrong.

mod common;

use std::io::Write;
use std::net::Shutdown;
use std::os::unix::process::ExitStatusExt;

use common::*;
use linnethook_quickstart::client::request;
use linnethook_quickstart::{Answer, CacheEvent, Client, Journal};
use nix::sys::signal::Signal;
use serde_json::json;

const SERVED: u8 = 1;
const REFUSED: u8 = 2;
const FAILED: u8 = 3;

fn video<'a>(id: &'a str, object: &'a str) -> [(&'a str, &'a str); 7] {
    let (c, i, o) = (("c", "video"), ("i", id), ("o", object));
    [c, i, o, ("d", "3000"), ("chunk", "3"), ("tag", "17"), ("m", "412.5")]
}

fn booking(id: &str) -> [(&str, &str); 4] {
    [("c", "booking"), ("i", id), ("o", "00000000000000b0"), ("d", "3000")]
}

#[test]
fn a_read_goes_to_its_owner_filled_from_the_parent_and_its_parts_are_passed_on_unchanged() {
    let fleet = fleet();
    let mut client = fleet.router.client();
    client.ask(7, &video("9b1f03aa5c7e2d41", "7f3a9c21e0b4d655"), b"a body").expect("sent");
    let answer = client.read().expect("an answer");
    assert_eq!((answer.kind, answer.stream, answer.code), (66, 7, SERVED));
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    assert!(body.ends_with(" 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 3 a body"), "{body}");
    let owner = if body.starts_with("a ") { &fleet.a } else { &fleet.b };
    let (_, _, fields, _) = asked(owner);
    assert_eq!((fields["kind"].as_str(), fields["parent"].as_str()), ("video", "parent"));
    assert_eq!(fields["shelf"], "1");
    assert!(fields["ms"].parse::<u32>().is_ok_and(|ms| ms > 0 && ms <= 3000), "{}", fields["ms"]);
    assert!(!fields.contains_key("got"));
}

#[test]
fn a_request_is_accepted_however_its_bytes_arrive() {
    let fleet = fleet();
    let mut client = fleet.router.client();
    for byte in request(1, &video("0000000000000001", "00000000000000aa"), b"xyz") {
        client.stream.write_all(&[byte]).expect("sent");
    }
    let answer = client.read().expect("an answer");
    assert_eq!((answer.stream, answer.code), (1, SERVED));
    assert!(answer.body.ends_with(b" xyz"));
}

#[test]
fn long_answers_are_complete() {
    let long: Vec<u8> = (0..240_000u32).map(|n| (n % 251) as u8).collect();
    let body = long.clone();
    let both = move || {
        let body = body.clone();
        cache(move |_, _, _| Some(Answer::data(body.clone())))
    };
    let fleet = fleet_of(both(), both(), echo("origin"));
    let mut client = fleet.router.client();
    for stream in 1..=8 {
        client.ask(stream, &video("0000000000000001", "00000000000000aa"), b"").expect("sent");
    }
    for _ in 1..=8 {
        assert_eq!(client.read().expect("an answer").body, long);
    }
}

/// Ids come again with a request that crossed a close; streams do not on their connection.
#[test]
fn the_same_id_twice_at_once_is_two_requests() {
    let fleet = fleet_of(holding(), holding(), echo("origin"));
    let mut client = fleet.router.client();
    let fields = video("00000000000000ee", "00000000000000aa");
    client.ask(1, &fields, b"one").expect("sent");
    let (cache, _, first, id) = asked_either(&fleet.a, &fleet.b);
    client.ask(2, &fields, b"two").expect("sent");
    let (second, _, _, body) = asked(cache);
    assert_ne!(first, second, "their answers could not be told apart on one connection");
    assert_eq!(body, b"two");
    cache.answer(second, &id, &Answer::data("to two")).expect("answered");
    let answer = client.read().expect("an answer");
    assert_eq!((answer.stream, answer.body.as_slice()), (2, &b"to two"[..]));
    cache.answer(first, &id, &Answer::data("to one")).expect("answered");
    let answer = client.read().expect("an answer");
    assert_eq!((answer.stream, answer.body.as_slice()), (1, &b"to one"[..]));
}

/// A machine that is cut off reads no `QUIT`: only the end of its connection gives up what is open there,
/// and two copies must not be out at once.
#[test]
fn what_a_silent_cache_holds_is_given_up_by_closing_before_it_is_tried_elsewhere() {
    let fleet = fleet_of(holding(), holding(), echo("origin"));
    let mut client = fleet.router.client();
    client.ask(1, &video("00000000000000e1", "00000000000000aa"), b"").expect("sent");
    let (silent, other, connection, id) = asked_either(&fleet.a, &fleet.b);
    let (again, same, ..) = asked(other);
    assert_eq!(same, id);
    let end = wait(&silent.events, |event| !matches!(event, CacheEvent::Opened { .. }));
    assert_eq!(end, CacheEvent::Closed { connection });
    other.answer(again, &id, &Answer::data("late but whole")).expect("answered");
    let answer = client.read().expect("an answer");
    assert_eq!((answer.code, answer.body.as_slice()), (SERVED, &b"late but whole"[..]));
}

/// Where no more connections may be opened, attempts share them: one that is given up must not take the others
/// along, and its late answer is nobody's.
#[test]
fn on_a_shared_connection_one_is_given_up_alone_and_its_late_answer_is_dropped() {
    let fleet = narrow_fleet(48);
    let mut client = fleet.router.client();
    for stream in 1..=12 {
        client.ask(stream, &video(&format!("{stream:016x}"), "00000000000000aa"), b"").expect("sent");
    }
    let (cache, _, first, first_id) = asked_either(&fleet.a, &fleet.b);
    let mut asks = vec![(first, first_id)];
    asks.extend((1..12).map(|_| {
        let (connection, id, ..) = asked(cache);
        (connection, id)
    }));
    let shares = |(connection, id): &&(usize, String)| {
        asks.iter().any(|(other, other_id)| other == connection && other_id != id)
    };
    let (shared, given_up) = asks.iter().find(shares).cloned().expect("a shared connection");
    let other = |(connection, id): &&(usize, String)| *connection == shared && *id != given_up;
    let (_, other_id) = asks.iter().find(other).cloned().expect("what shares it");
    let (alone, alone_id) =
        asks.iter().find(|(connection, _)| *connection != shared).cloned().expect("another");
    cache.answer(alone, &alone_id, &Answer::data("heard")).expect("answered");
    assert_eq!(client.read().expect("an answer").body, b"heard");
    client.give_up(u32::from_str_radix(&given_up, 16).expect("a stream")).expect("sent");
    let quit = wait(&cache.events, |event| !matches!(event, CacheEvent::Opened { .. }));
    assert_eq!(quit, CacheEvent::Cancel { connection: shared, id: given_up.clone() });
    cache.answer(shared, &given_up, &Answer::data("late")).expect("answered");
    cache.answer(shared, &other_id, &Answer::data("kept")).expect("answered");
    let answer = client.read().expect("an answer");
    assert_eq!((format!("{:016x}", answer.stream), answer.body), (other_id, b"kept".to_vec()));
}

#[test]
fn a_read_whose_cache_dies_is_tried_elsewhere() {
    let fleet = fleet_of(holding(), holding(), echo("origin"));
    let mut client = fleet.router.client();
    client.ask(1, &video("00000000000000e1", "00000000000000aa"), b"").expect("sent");
    let (dead, other, connection, id) = asked_either(&fleet.a, &fleet.b);
    dead.close(connection).expect("closed");
    let (again, same, ..) = asked(other);
    assert_eq!(same, id);
    other.answer(again, &id, &Answer::data("from the other")).expect("answered");
    assert_eq!(client.read().expect("an answer").body, b"from the other");
}

#[test]
fn a_request_given_up_is_given_up_at_the_cache_and_gets_no_answer() {
    let fleet = fleet_of(holding(), holding(), echo("origin"));
    let mut client = fleet.router.client();
    client.ask(1, &video("00000000000000e1", "00000000000000aa"), b"").expect("sent");
    let (cache, _, connection, _) = asked_either(&fleet.a, &fleet.b);
    client.give_up(1).expect("sent");
    wait(&cache.events, |event| *event == CacheEvent::Closed { connection });
    // The next answer on the connection is that of the next question.
    client.ask_ready(2).expect("sent");
    let next = client.read().expect("an answer");
    assert_eq!((next.kind, next.stream, next.code), (81, 2, SERVED));
}

#[test]
fn a_request_given_up_in_the_same_breath_is_not_answered() {
    let fleet = fleet();
    let mut client = fleet.router.client();
    let mut bytes = request(1, &video("00000000000000e1", "00000000000000aa"), b"");
    bytes.extend([0, 0, 0, 5, 67, 0, 0, 0, 1]);
    client.stream.write_all(&bytes).expect("sent");
    client.ask(2, &video("00000000000000e2", "00000000000000aa"), b"").expect("sent");
    assert_eq!(client.read().expect("an answer").stream, 2);
}

/// It may have run: neither a further attempt nor a refusal is allowed.
#[test]
fn a_write_whose_connection_ends_has_failed() {
    let fleet = fleet_of(echo("a"), echo("b"), holding());
    let mut client = fleet.router.client();
    client.ask(1, &booking("00000000000000b1"), b"pay").expect("sent");
    let (connection, ..) = asked(&fleet.origin);
    fleet.origin.close(connection).expect("closed");
    assert_eq!(client.read().expect("an answer").code, FAILED);
    assert_eq!(left_over(&fleet.origin), 0);
}

/// A refused connection proves that nothing ran.
#[test]
fn a_write_that_reached_nobody_is_refused() {
    let fleet = fleet();
    let (_occupied, nobody) = nobody();
    fleet.journal.publish(json!({"hosts": {"rev": 2, "all": false,
        "targets": [host("origin", nobody, "Ready")]}}));
    wait(&fleet.journal.polls, |tail| *tail == 2);
    let mut client = fleet.router.client();
    client.ask(1, &booking("00000000000000b1"), b"pay").expect("sent");
    assert_eq!(client.read().expect("an answer").code, REFUSED);
    assert_eq!(left_over(&fleet.origin), 0);
}

#[test]
fn a_write_goes_to_the_origin_once() {
    let fleet = fleet();
    let mut client = fleet.router.client();
    client.ask(1, &booking("00000000000000b1"), b"pay").expect("sent");
    let answer = client.read().expect("an answer");
    assert_eq!((answer.code, answer.body.starts_with(b"origin ")), (SERVED, true));
    assert_eq!(left_over(&fleet.origin), 1);
}

/// Without it caches can't tell a repeat, and a keyed request would have its effect twice.
#[test]
fn the_token_of_a_keyed_request_goes_along() {
    let fleet = fleet();
    let mut client = fleet.router.client();
    let mut fields = booking("00000000000000b1").to_vec();
    fields.push(("k", "5d41402a"));
    client.ask(1, &fields, b"pay").expect("sent");
    assert_eq!(client.read().expect("an answer").code, SERVED);
    let (_, _, fields, _) = asked(&fleet.origin);
    assert_eq!(fields.get("token").map(String::as_str), Some("5d41402a"));
}

#[test]
fn a_current_copy_is_reported_only_to_the_client_that_has_it() {
    let unchanged = || {
        cache(|_, fields, _| {
            let digest = if fields.contains_key("got") { "digest=4be0c1,res=HIT" } else { "res=HIT" };
            Some(Answer { status: "unchanged", fields: digest.to_string(), body: Vec::new() })
        })
    };
    let fleet = fleet_of(unchanged(), unchanged(), echo("origin"));
    let mut client = fleet.router.client();
    let mut fields = video("00000000000000e1", "00000000000000aa").to_vec();
    client.ask(1, &fields, b"").expect("sent");
    let valid = ("valid".to_string(), "1".to_string());
    assert!(!client.read().expect("an answer").fields.contains(&valid), "it holds no copy");
    fields.push(("known", "4be0c1"));
    client.ask(2, &fields, b"").expect("sent");
    let answer = client.read().expect("an answer");
    assert_eq!((answer.code, answer.body.len()), (SERVED, 0));
    assert_eq!(answer.fields, std::slice::from_ref(&valid));
    fields.pop();
    fields.push(("known", "another"));
    client.ask(3, &fields, b"").expect("sent");
    assert!(!client.read().expect("an answer").fields.contains(&valid), "it holds another copy");
}

#[test]
fn a_copy_that_no_cache_names_is_not_reported_as_current() {
    let unnamed =
        || cache(|_, _, _| Some(Answer { status: "unchanged", fields: "res=HIT".into(), body: Vec::new() }));
    let fleet = fleet_of(unnamed(), unnamed(), echo("origin"));
    let mut client = fleet.router.client();
    let mut fields = video("00000000000000e1", "00000000000000aa").to_vec();
    fields.push(("known", "4be0c1"));
    client.ask(1, &fields, b"").expect("sent");
    let answer = client.read().expect("an answer");
    assert!(answer.fields.is_empty() && !answer.body.is_empty(), "the bytes, from elsewhere: {answer:?}");
}

#[test]
fn a_malformed_frame_is_reported_on_stream_0_and_ends_the_connection() {
    let fleet = fleet();
    for bytes in [&[0, 0, 0, 5, 99, 0, 0, 0, 1][..], &[0xff; 9], &[0, 0, 0, 6, 65, 0, 0, 0, 0, 0]] {
        let mut client = fleet.router.client();
        client.stream.write_all(bytes).expect("sent");
        let error = client.read().expect("an error");
        assert_eq!((error.kind, error.stream), (66, 0));
        assert!(client.read().is_err(), "the connection has ended");
    }
    let mut client = fleet.router.client();
    client.ask(1, &[("c", "video"), ("i", "1")], b"").expect("sent");
    let answer = client.read().expect("an answer");
    assert_eq!((answer.stream, answer.code), (1, FAILED), "well formed, but without its object");
    client.ask(2, &video("00000000000000e2", "00000000000000aa"), b"").expect("sent");
    assert_eq!(client.read().expect("an answer").code, SERVED);
}

/// Whoever does nothing is owed a close within 3 s, and must not hold the place of one with something to ask.
#[test]
fn silent_connections_are_notified_and_closed_in_time() {
    let fleet = narrow_fleet_of(64, echo("a"), echo("b"));
    let start = std::time::Instant::now();
    let mut silent: Vec<Client> = (0..60).map(|_| fleet.router.client()).collect();
    let mut half = fleet.router.client();
    half.stream
        .write_all(&request(1, &video("00000000000000e1", "00000000000000aa"), b"")[..40])
        .expect("sent");
    for stream in 1..=3 {
        let mut client = fleet.router.client();
        client.ask(stream, &video("00000000000000e1", "00000000000000aa"), b"").expect("sent");
        assert_eq!(client.read().expect("an answer").code, SERVED);
    }
    let error = silent.iter_mut().chain([&mut half]).filter_map(|client| client.read().ok()).count();
    assert!(error > 0, "those not closed to make room are told why");
    // 2 s by the limits; some more, as tests run beside each other.
    assert!(start.elapsed().as_millis() < 5_000, "{:?}", start.elapsed());
}

/// A router with room for one client, whose place is taken by one that is idle for long enough to lose it.
fn one_place() -> (Fleet, Client) {
    let fleet = narrow_fleet_of(34, echo("a"), echo("b"));
    let mut client = fleet.router.client();
    client.ask_ready(1).expect("sent");
    assert_eq!(client.read().expect("an answer").kind, 81);
    std::thread::sleep(std::time::Duration::from_millis(200));
    (fleet, client)
}

/// A close while a request lies unread would leave it without an answer.
#[test]
fn a_request_that_has_arrived_keeps_its_client_the_place_that_another_wants() {
    let (fleet, mut client) = one_place();
    fleet.router.signal(Signal::SIGSTOP);
    let mut other = fleet.router.client();
    other.ask_ready(1).expect("sent");
    client.ask(2, &video("00000000000000e1", "00000000000000aa"), b"").expect("sent");
    fleet.router.signal(Signal::SIGCONT);
    let answer = client.read().expect("an answer");
    assert_eq!((answer.stream, answer.code), (2, SERVED));
    assert_eq!(other.read().expect("an answer").kind, 81, "its turn comes");
}

/// Whoever can't be accepted waits; nobody is accepted only to be closed.
#[test]
fn where_descriptors_run_out_all_clients_are_answered_in_their_turn() {
    let fleet = short_fleet(20);
    let mut clients: Vec<Client> = (0..24).map(|_| fleet.router.client()).collect();
    for client in &mut clients {
        client.ask_ready(1).expect("sent");
    }
    assert!(fleet.router.logged("accept: ").contains("os error 24"));
    for client in &mut clients {
        assert_eq!(client.read().expect("an answer").kind, 81);
    }
}

#[test]
fn half_a_message_whose_client_is_displaced_is_reported() {
    let (fleet, mut client) = one_place();
    let bytes = request(2, &video("00000000000000e1", "00000000000000aa"), b"");
    client.stream.write_all(&bytes[..40]).expect("sent");
    std::thread::sleep(std::time::Duration::from_millis(200));
    let mut other = fleet.router.client();
    other.ask_ready(1).expect("sent");
    let error = client.read().expect("an error");
    assert_eq!((error.kind, error.stream), (66, 0));
    assert_eq!(other.read().expect("an answer").kind, 81);
}

/// A client that asks once and keeps its connection for good must not keep its place.
#[test]
fn a_connection_that_is_idle_for_good_is_closed() {
    let fleet = fleet();
    let mut client = fleet.router.client();
    client.ask(1, &video("00000000000000e1", "00000000000000aa"), b"").expect("sent");
    assert_eq!(client.read().expect("an answer").code, SERVED);
    let start = std::time::Instant::now();
    assert!(client.read().is_err());
    assert!((4_000..10_000).contains(&start.elapsed().as_millis()), "{:?}", start.elapsed());
}

/// What caches can't use they answer with an error, which would count against them.
#[test]
fn requests_that_cannot_be_used_fail_before_they_cost_a_cache_anything() {
    let fleet = fleet();
    let mut client = fleet.router.client();
    let cases = [
        ("c", "no such class"),
        ("c", ""),
        ("i", "9b1f"),
        ("i", "9b1f03aa5c7e2d4g"),
        ("i", ""),
        ("o", "7f3a"),
        ("d", "-5"),
        ("d", "nan"),
        ("d", "1e300"),
        ("d", "0"),
        ("chunk", "-1"),
        ("chunk", "4294967296"),
        ("tag", "256"),
        ("tag", "x"),
        ("m", "-412.5"),
        ("m", "inf"),
        ("m", "0"),
        ("r", "7"),
        ("known", "a,b"),
    ];
    for (n, (name, value)) in cases.into_iter().enumerate() {
        if n % 10 == 0 {
            client = fleet.router.client();
        }
        let mut fields = video("9b1f03aa5c7e2d41", "7f3a9c21e0b4d655").to_vec();
        fields.retain(|(known, _)| *known != name);
        fields.push((name, value));
        client.ask(n as u32 + 1, &fields, b"").expect("sent");
        assert_eq!(client.read().expect("an answer").code, FAILED, "{name}={value}");
    }
    client.ask(90, &booking("00000000000000b1"), &[7; 48_001]).expect("sent");
    assert_eq!(client.read().expect("an answer").code, FAILED);
    assert_eq!([&fleet.a, &fleet.b, &fleet.origin].map(left_over), [0, 0, 0]);
}

#[test]
fn the_same_again_and_again_ends_the_connection() {
    let fleet = fleet();
    let mut client = fleet.router.client();
    let mut answers = Vec::new();
    for stream in 1..=100 {
        let sent = client.ask(stream, &[("c", "video")], b"");
        match client.read() {
            Ok(answer) if sent.is_ok() && answer.stream > 0 => answers.push(answer.code),
            _ => break,
        }
    }
    assert!(answers.len() < 50 && answers.iter().all(|&code| code == FAILED), "{answers:?}");
}

/// Caches tell requests by their ids alone.
#[test]
fn the_id_of_an_open_request_is_rejected_for_another_object() {
    let fleet = fleet_of(holding(), holding(), echo("origin"));
    let mut client = fleet.router.client();
    client.ask(1, &video("00000000000000e1", "00000000000000aa"), b"").expect("sent");
    let (cache, _, connection, id) = asked_either(&fleet.a, &fleet.b);
    let mut other = fleet.router.client();
    other.ask(1, &video("00000000000000e1", "00000000000000ab"), b"").expect("sent");
    assert_eq!(other.read().expect("an answer").code, FAILED);
    cache.answer(connection, &id, &Answer::data("the first")).expect("answered");
    assert_eq!(client.read().expect("an answer").body, b"the first");
    assert_eq!(left_over(&fleet.a) + left_over(&fleet.b), 0);
}

#[test]
fn requests_cancelled_at_once_or_over_the_limit_reach_no_cache() {
    let fleet = fleet_of(holding(), holding(), echo("origin"));
    let ask = |stream: u32| request(stream, &video(&format!("{stream:016x}"), "00000000000000aa"), b"");
    let mut client = fleet.router.client();
    let back = |stream: u32| [&[0, 0, 0, 5, 67][..], &stream.to_be_bytes()].concat();
    let bytes: Vec<u8> = (1..=30).flat_map(ask).chain((1..=30).flat_map(back)).collect();
    client.stream.write_all(&bytes).expect("sent");
    client.ask_ready(31).expect("sent");
    assert_eq!(client.read().expect("an answer").kind, 81);
    let mut client = fleet.router.client();
    let bytes: Vec<u8> = (1..=60).flat_map(ask).collect();
    client.stream.write_all(&bytes).expect("sent");
    for stream in 1..=32 {
        let answer = client.read().expect("an answer");
        assert_eq!((answer.stream, answer.code), (stream, FAILED));
    }
    let error = client.read().expect("an error");
    assert_eq!((error.kind, error.stream), (66, 0));
    assert!(client.read().is_err(), "the connection has ended");
    assert_eq!(left_over(&fleet.a) + left_over(&fleet.b), 0);
}

/// Without their answers the requests on a connection that is broken off would be lost.
#[test]
fn what_is_open_on_a_connection_that_is_broken_off_has_its_final_answer_first() {
    let fleet = fleet_of(holding(), holding(), echo("origin"));
    let mut client = fleet.router.client();
    client.ask(1, &video("00000000000000e1", "00000000000000aa"), b"").expect("sent");
    let (cache, _, connection, _) = asked_either(&fleet.a, &fleet.b);
    // One that can't be used and one that can, in the same breath as a frame that can't be read.
    let mut bytes = request(2, &[("c", "video")], b"");
    bytes.extend(request(3, &video("00000000000000e3", "00000000000000ab"), b""));
    bytes.extend([0xff; 9]);
    client.stream.write_all(&bytes).expect("sent");
    let frames: Vec<(u32, u8)> =
        std::iter::from_fn(|| client.read().ok()).map(|f| (f.stream, f.code)).collect();
    assert_eq!(frames, [(1, FAILED), (2, FAILED), (3, FAILED), (0, FAILED)]);
    wait(&cache.events, |event| *event == CacheEvent::Closed { connection });
    assert_eq!(left_over(&fleet.a) + left_over(&fleet.b), 0);
}

#[test]
fn two_requests_under_one_number_end_the_connection_also_when_the_first_is_answered() {
    let fleet = fleet();
    let mut client = fleet.router.client();
    for (stream, served) in [(2, true), (1, true), (2, false)] {
        client.ask(stream, &video("00000000000000e1", "00000000000000aa"), b"").expect("sent");
        let answer = client.read().expect("an answer");
        assert_eq!((answer.stream, answer.code == SERVED), (if served { stream } else { 0 }, served));
    }
}

/// Closing with input unread would reset the connection and take the error along.
#[test]
fn the_error_arrives_also_while_the_client_is_still_sending() {
    let fleet = fleet();
    let mut client = fleet.router.client();
    let mut bytes = vec![0x03, 0x93, 0x87, 0x00, 65, 0, 0, 0, 1];
    bytes.resize(600_000, 7);
    client.stream.write_all(&bytes).expect("sent");
    let error = client.read().expect("an error");
    assert_eq!((error.kind, error.stream), (66, 0));
}

/// Each replaced cache used to leave a line for good.
#[test]
fn the_state_of_replaced_caches_ends_with_them() {
    let fleet = fleet();
    for rev in 0..300u32 {
        let line = |rev: u32, state: &str| {
            let mut host = host("cache-b", fleet.b.address, state);
            host["uid"] = json!(format!("spare-{rev}"));
            host
        };
        let targets = [line(rev, "Ready"), line(rev.wrapping_sub(1), "Gone")];
        fleet.journal.publish(json!({"hosts": {"rev": rev + 2, "all": false, "targets": targets}}));
    }
    wait(&fleet.journal.polls, |tail| *tail == 301);
    let mut client = fleet.router.client();
    client.ask(1, &video("00000000000000e1", "00000000000000aa"), b"").expect("sent");
    assert_eq!(client.read().expect("an answer").code, SERVED);
    fleet.router.signal(Signal::SIGUSR1);
    let line = fleet.router.logged("counters");
    assert!(line.contains(" held_caches=5 "), "{line}");
}

/// What one client does not read must hold up nobody else, and is not read for without end.
#[test]
fn a_client_that_does_not_read_holds_up_nobody() {
    let long = || cache(|_, _, _| Some(Answer::data(vec![7; 240_000])));
    let fleet = fleet_of(long(), long(), echo("origin"));
    let mut lazy = fleet.router.client();
    for stream in 1..=32 {
        lazy.ask(stream, &video("00000000000000e1", "00000000000000aa"), b"").expect("sent");
    }
    let mut client = fleet.router.client();
    for stream in 1..=4 {
        client.ask(stream, &video("00000000000000e2", "00000000000000ab"), b"").expect("sent");
        let answer = client.read().expect("an answer");
        assert!(answer.code == REFUSED || answer.body.len() == 240_000);
    }
    let mut answers: Vec<u32> = (1..=32).map(|_| lazy.read().expect("an answer").stream).collect();
    answers.sort_unstable();
    assert_eq!(answers, (1..=32).collect::<Vec<u32>>());
}

#[test]
fn a_lost_poll_is_repeated_from_the_last_position() {
    let fleet = fleet();
    wait(&fleet.journal.polls, |tail| *tail == 1);
    fleet.journal.drop_poll();
    assert_eq!(wait(&fleet.journal.polls, |_| true), 1);
    fleet.journal.publish(json!({"expire": {"set": 3, "stamp": 1}}));
    assert_eq!(wait(&fleet.journal.polls, |_| true), 2);
}

#[test]
fn nothing_goes_to_a_cache_that_drains_and_none_is_filled_from_it() {
    let fleet = fleet();
    fleet.journal.publish(json!({"hosts": {"rev": 2, "all": false, "targets": [
        host("cache-a", fleet.a.address, "Terminating"), host("parent", fleet.parent.address, "Terminating")]}}));
    wait(&fleet.journal.polls, |tail| *tail == 2);
    let mut client = fleet.router.client();
    for stream in 1..=20 {
        let object = format!("{stream:016x}");
        client.ask(stream, &video("00000000000000e1", &object), b"").expect("sent");
        assert_eq!(client.read().expect("an answer").code, SERVED);
        let (_, _, fields, _) = asked(&fleet.b);
        assert_ne!(fields.get("parent").map(String::as_str), Some("parent"));
    }
    assert_eq!(left_over(&fleet.a), 0);
}

#[test]
fn after_a_purge_no_older_copy_is_accepted() {
    let fleet = fleet();
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a clock");
    let stamp = now.as_millis() as u64;
    fleet.journal.publish(json!({"expire": {"name": "00000000000000aa", "stamp": stamp}}));
    wait(&fleet.journal.polls, |tail| *tail == 2);
    let mut client = fleet.router.client();
    client.ask(1, &video("00000000000000e1", "00000000000000aa"), b"").expect("sent");
    client.read().expect("an answer");
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a clock");
    let since = now.as_millis() as u64 - stamp;
    let (cache, _, fields) = match fleet.a.events.try_iter().find(|h| matches!(h, CacheEvent::Request { .. }))
    {
        Some(CacheEvent::Request { connection, id, fields, .. }) => (connection, id, fields),
        _ => {
            let (connection, id, fields, _) = asked(&fleet.b);
            (connection, id, fields)
        }
    };
    assert!(cache > 0);
    let accept: u64 = fields["accept"].parse().expect("an age");
    assert!(accept >= 1 && accept <= since.max(1), "{accept} ms accepted, {since} ms after the purge");
}

#[test]
fn at_sigterm_it_finishes_what_it_has_and_what_still_comes() {
    let mut fleet = fleet_of(holding(), holding(), echo("origin"));
    let mut client = fleet.router.client();
    client.ask_ready(1).expect("sent");
    assert_eq!(client.read().expect("an answer").code, SERVED);
    client.ask(2, &video("00000000000000e1", "00000000000000aa"), b"").expect("sent");
    let (cache, _, connection, id) = asked_either(&fleet.a, &fleet.b);
    fleet.router.signal(Signal::SIGTERM);
    let error = client.read().expect("a frame");
    assert_eq!((error.kind, error.stream), (90, 0));
    let mut late = fleet.router.client();
    assert_eq!(late.read().expect("a frame").kind, 90);
    late.ask_ready(1).expect("sent");
    assert_ne!(late.read().expect("an answer").code, SERVED, "it is not ready any more");
    late.ask(2, &booking("00000000000000b1"), b"").expect("sent");
    assert_eq!(late.read().expect("an answer").code, SERVED);
    cache.answer(connection, &id, &Answer::data("kept")).expect("answered");
    let answer = client.read().expect("an answer");
    assert_eq!((answer.code, answer.body.as_slice()), (SERVED, &b"kept"[..]));
    let end = fleet.router.ended();
    assert_eq!((end.code(), end.signal()), (Some(0), None));
    assert!(fleet.router.logged("counters").contains("served=2 "));
}

/// Whoever waits for a place when all else is answered is taken in and answered before the end.
#[test]
fn at_sigterm_whoever_still_waits_for_a_place_is_answered_before_it_ends() {
    let mut fleet = narrow_fleet(34);
    let mut client = fleet.router.client();
    client.ask(1, &video("00000000000000e1", "00000000000000aa"), b"").expect("sent");
    let (cache, _, connection, id) = asked_either(&fleet.a, &fleet.b);
    fleet.router.signal(Signal::SIGTERM);
    assert_eq!(client.read().expect("a frame").kind, 90);
    let mut late = fleet.router.client();
    late.ask_ready(1).expect("sent");
    // It goes on for a second in any case.
    std::thread::sleep(std::time::Duration::from_millis(1_200));
    cache.answer(connection, &id, &Answer::data("kept")).expect("answered");
    assert_eq!(client.read().expect("an answer").body, b"kept");
    let kinds: Vec<u8> = std::iter::from_fn(|| late.read().ok()).map(|frame| frame.kind).collect();
    assert_eq!(kinds, [90, 81]);
    assert_eq!(fleet.router.ended().code(), Some(0));
}

/// A second journal that has told the same events as the first one.
fn moved_journal(fleet: &Fleet) -> Journal {
    let known = fleet.journal.known()["entries"].as_array().cloned().unwrap_or_default();
    Journal::start("127.0.0.1:0", known).expect("the journal listens")
}

#[test]
fn at_sighup_it_goes_over_to_the_new_journal_from_the_last_number_and_loses_nothing() {
    let mut fleet = fleet_of(holding(), holding(), echo("origin"));
    fleet.journal.publish(json!({"expire": {"set": 3, "stamp": 1}}));
    wait(&fleet.journal.polls, |tail| *tail == 2);
    let mut client = fleet.router.client();
    client.ask(1, &video("00000000000000e1", "00000000000000aa"), b"").expect("sent");
    let (cache, _, connection, id) = asked_either(&fleet.a, &fleet.b);
    for _ in 0..2 {
        let moved = moved_journal(&fleet);
        fleet.router.reload(moved.address);
        assert_eq!(wait(&moved.polls, |_| true), 2);
        fleet.journal = moved;
    }
    fleet.journal.publish(json!({"expire": {"set": 4, "stamp": 1}}));
    assert_eq!(wait(&fleet.journal.polls, |_| true), 3);
    cache.answer(connection, &id, &Answer::data("kept")).expect("answered");
    assert_eq!(client.read().expect("an answer").body, b"kept");
}

#[test]
fn a_configuration_that_cannot_be_read_changes_nothing() {
    let mut fleet = fleet();
    wait(&fleet.journal.polls, |tail| *tail == 1);
    for text in ["", "{\"name\": \"half", "{}"] {
        fleet.router.reload_text(text);
        assert!(fleet.router.logged("not reloaded").ends_with(|c: char| c.is_ascii_digit()), "one line");
    }
    fleet.journal.publish(json!({"expire": {"set": 3, "stamp": 1}}));
    assert_eq!(wait(&fleet.journal.polls, |tail| *tail > 1), 2);
    let moved = moved_journal(&fleet);
    fleet.router.reload(moved.address);
    assert_eq!(wait(&moved.polls, |_| true), 2);
}

/// The platform kills soon after the longest wait: what would still be open then is answered before.
#[test]
fn after_sigterm_what_stays_open_is_answered_before_the_platform_kills() {
    let mut fleet = fleet_of(echo("a"), echo("b"), holding());
    let mut client = fleet.router.client();
    client
        .ask(
            1,
            &[("c", "booking"), ("i", "00000000000000b1"), ("o", "00000000000000b0"), ("d", "60000")],
            b"",
        )
        .expect("sent");
    asked(&fleet.origin);
    let start = std::time::Instant::now();
    fleet.router.signal(Signal::SIGTERM);
    assert_eq!(client.read().expect("a frame").kind, 90);
    assert_eq!(client.read().expect("an answer").code, FAILED);
    assert_eq!(fleet.router.ended().code(), Some(0));
    // 3.45 s by the limits; some more, as tests run beside each other.
    assert!(start.elapsed().as_millis() < 5_000, "{:?}", start.elapsed());
}

#[test]
fn counters_are_printed_on_request() {
    let fleet = fleet();
    let mut client = fleet.router.client();
    client.ask(1, &video("00000000000000e1", "00000000000000aa"), b"abc").expect("sent");
    client.read().expect("an answer");
    fleet.router.signal(Signal::SIGUSR1);
    let line = fleet.router.logged("counters");
    assert!(line.contains("taken_in=1 taken_in_bytes=3") && line.contains("served=1 "), "{line}");
    assert!(line.ends_with("open=0 out=0 buffers=0"), "{line}");
}

/// A line that can't be written must not end the router.
#[test]
fn it_serves_on_when_nobody_reads_its_log() {
    let mut fleet = fleet();
    fleet.router.close_log();
    for _ in 0..3 {
        let mut client = fleet.router.client();
        client.stream.write_all(&[0xff; 9]).expect("sent");
        assert_eq!(client.read().expect("an error").stream, 0);
        while client.read().is_ok() {}
    }
    let mut client = fleet.router.client();
    client.ask(1, &video("00000000000000e1", "00000000000000aa"), b"").expect("sent");
    assert_eq!(client.read().expect("an answer").code, SERVED);
}

#[test]
fn a_client_that_leaves_takes_its_requests_along() {
    let fleet = fleet_of(holding(), holding(), echo("origin"));
    let mut client = fleet.router.client();
    client.ask(1, &video("00000000000000e1", "00000000000000aa"), b"").expect("sent");
    let (cache, _, connection, _) = asked_either(&fleet.a, &fleet.b);
    client.stream.shutdown(Shutdown::Both).expect("closed");
    wait(&cache.events, |event| *event == CacheEvent::Closed { connection });
}

/// A figure that is missing, nothing, very small, very large or no figure at all: either the router says in one line
/// what is wrong, with the way to it, or it answers what it is asked, within the client's time.
#[test]
fn settings_out_of_the_ordinary_are_refused_in_one_line_or_served() {
    let values = [json!(null), json!(0), json!(-1), json!(1e-9), json!(1), json!(1e15), json!("much")];
    let places: [&[&str]; 12] = [
        &["grades", "0", "deadline"],
        &["grades", "0", "objective"],
        &["grades", "0", "aim-stretch"],
        &["grades", "0", "effect"],
        &["allowed", "connect-timeout"],
        &["allowed", "conn-idle"],
        &["allowed", "max-attempts"],
        &["allowed", "max-open"],
        &["allowed", "streams-per-conn"],
        &["family-info", "flow-kb-per-s"],
        &["family-info", "notice-time"],
        &["rules", "drain-grace"],
    ];
    let fleet = fleet();
    let (mut refused, mut answered) = (0, 0);
    for path in places {
        for value in &values {
            let change = |config: &mut serde_json::Value| {
                let mut at = &mut config["settings"];
                for step in &path[..path.len() - 1] {
                    at = match step.parse::<usize>() {
                        Ok(n) => &mut at[n],
                        Err(_) => &mut at[*step],
                    };
                }
                let last = path[path.len() - 1];
                match value.is_null() {
                    true => drop(at.as_object_mut().expect("an object").remove(last)),
                    false => at[last] = value.clone(),
                }
            };
            match Router::try_start(&fleet.journal, change, None, None) {
                Err(log_lines) => {
                    assert_eq!(log_lines.len(), 1, "{path:?} {value}: {log_lines:?}");
                    assert!(log_lines[0].contains(path[path.len() - 1]), "{path:?} {value}: {log_lines:?}");
                    refused += 1;
                }
                Ok(router) => {
                    let mut client = router.client();
                    let fields =
                        [("c", "video"), ("i", "00000000000000e1"), ("o", "00000000000000aa"), ("d", "900")];
                    client.ask(1, &fields, b"").expect("sent");
                    let answer = client.read().expect("an answer");
                    assert_eq!((answer.kind, answer.stream), (66, 1), "{path:?} {value}");
                    answered += 1;
                }
            }
        }
    }
    assert!(refused > 10 && answered > 10, "{refused} refused, {answered} answered");
}
