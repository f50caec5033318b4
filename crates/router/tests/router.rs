//! The router on sockets, with servers of the test as caches and origin: each test covers a fault that only
//! shows on sockets.

mod common;

use std::io::Write;
use std::net::Shutdown;
use std::os::unix::process::ExitStatusExt;

use common::*;
use linnethook_quickstart::client::request;
use linnethook_quickstart::{Answer, CacheEvent, Client, Journal};
use nix::sys::signal::Signal;
use serde_json::json;

fn video<'a>(id: &'a str, object: &'a str) -> [(&'a str, &'a str); 7] {
    let (c, i, o) = (("c", "video"), ("i", id), ("o", object));
    [c, i, o, ("d", "3000"), ("chunk", "3"), ("tag", "17"), ("m", "412.5")]
}

fn booking(id: &str) -> [(&str, &str); 4] {
    [("c", "booking"), ("i", id), ("o", "00000000000000b0"), ("d", "3000")]
}

#[test]
fn a_read_goes_to_its_owner_to_be_filled_from_the_parent_with_its_fields_unchanged() {
    let fleet = fleet();
    let mut client = fleet.router.client();
    client.ask(7, &video("9b1f03aa5c7e2d41", "7f3a9c21e0b4d655"), b"a body").expect("sent");
    let answer = client.read().expect("an answer");
    assert_eq!((answer.kind, answer.stream, answer.code), (66, 7, SERVED));
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    assert!(body.ends_with(" 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 3 a body"), "{body}");
    let owner = if body.starts_with("a ") { &fleet.a } else { &fleet.b };
    let (_, _, fields, _) = next_request(owner);
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

/// A client that resends a request after its connection was closed uses the same id; stream numbers are
/// unique within a connection.
#[test]
fn the_same_id_twice_at_once_is_two_requests() {
    let fleet = fleet_of(manual(), manual(), echo("origin"));
    let mut client = fleet.router.client();
    let fields = video("00000000000000ee", "00000000000000aa");
    client.ask(1, &fields, b"one").expect("sent");
    let (cache, _, first, id) = next_request_at_either(&fleet.a, &fleet.b);
    client.ask(2, &fields, b"two").expect("sent");
    let (second, _, _, body) = next_request(cache);
    assert_ne!(first, second, "on one connection the responses could not be distinguished");
    assert_eq!(body, b"two");
    cache.answer(second, &id, &Answer::data("to two")).expect("answered");
    let answer = client.read().expect("an answer");
    assert_eq!((answer.stream, answer.body.as_slice()), (2, &b"to two"[..]));
    cache.answer(first, &id, &Answer::data("to one")).expect("answered");
    let answer = client.read().expect("an answer");
    assert_eq!((answer.stream, answer.body.as_slice()), (1, &b"to one"[..]));
}

/// A cache that is cut off reads no `QUIT`: only closing the connection abandons the attempt there, and two
/// attempts of one request must not be open at once.
#[test]
fn an_attempt_at_a_silent_cache_is_abandoned_by_closing_before_it_is_retried_elsewhere() {
    let fleet = fleet_of(manual(), manual(), echo("origin"));
    let mut client = fleet.router.client();
    client.ask(1, &video("00000000000000e1", "00000000000000aa"), b"").expect("sent");
    let (silent, other, connection, id) = next_request_at_either(&fleet.a, &fleet.b);
    let (again, same, ..) = next_request(other);
    assert_eq!(same, id);
    let end = wait(&silent.events, |event| !matches!(event, CacheEvent::Opened { .. }));
    assert_eq!(end, CacheEvent::Closed { connection });
    other.answer(again, &id, &Answer::data("late but complete")).expect("answered");
    let answer = client.read().expect("an answer");
    assert_eq!((answer.code, answer.body.as_slice()), (SERVED, &b"late but complete"[..]));
}

/// At the connection limit attempts share connections: cancelling one must not end the others, and its late
/// response is dropped.
#[test]
fn on_a_shared_connection_one_attempt_is_cancelled_alone_and_its_late_response_is_dropped() {
    let fleet = fleet_with_socket_limit(48);
    let mut client = fleet.router.client();
    for stream in 1..=12 {
        client.ask(stream, &video(&format!("{stream:016x}"), "00000000000000aa"), b"").expect("sent");
    }
    let (cache, _, first, first_id) = next_request_at_either(&fleet.a, &fleet.b);
    let mut attempts = vec![(first, first_id)];
    attempts.extend((1..12).map(|_| {
        let (connection, id, ..) = next_request(cache);
        (connection, id)
    }));
    let shares = |(connection, id): &&(usize, String)| {
        attempts.iter().any(|(other, other_id)| other == connection && other_id != id)
    };
    let (shared, cancelled) = attempts.iter().find(shares).cloned().expect("a shared connection");
    let other = |(connection, id): &&(usize, String)| *connection == shared && *id != cancelled;
    let (_, other_id) = attempts.iter().find(other).cloned().expect("another attempt on it");
    let (alone, alone_id) =
        attempts.iter().find(|(connection, _)| *connection != shared).cloned().expect("another connection");
    cache.answer(alone, &alone_id, &Answer::data("first")).expect("answered");
    assert_eq!(client.read().expect("an answer").body, b"first");
    client.give_up(u32::from_str_radix(&cancelled, 16).expect("a stream")).expect("sent");
    let quit = wait(&cache.events, |event| !matches!(event, CacheEvent::Opened { .. }));
    assert_eq!(quit, CacheEvent::Cancel { connection: shared, id: cancelled.clone() });
    cache.answer(shared, &cancelled, &Answer::data("late")).expect("answered");
    cache.answer(shared, &other_id, &Answer::data("completed")).expect("answered");
    let answer = client.read().expect("an answer");
    assert_eq!((format!("{:016x}", answer.stream), answer.body), (other_id, b"completed".to_vec()));
}

#[test]
fn a_read_whose_cache_fails_is_retried_elsewhere() {
    let fleet = fleet_of(manual(), manual(), echo("origin"));
    let mut client = fleet.router.client();
    client.ask(1, &video("00000000000000e1", "00000000000000aa"), b"").expect("sent");
    let (failed, other, connection, id) = next_request_at_either(&fleet.a, &fleet.b);
    failed.close(connection).expect("closed");
    let (again, same, ..) = next_request(other);
    assert_eq!(same, id);
    other.answer(again, &id, &Answer::data("from the other")).expect("answered");
    assert_eq!(client.read().expect("an answer").body, b"from the other");
}

#[test]
fn a_cancelled_request_is_cancelled_at_the_cache_and_gets_no_answer() {
    let fleet = fleet_of(manual(), manual(), echo("origin"));
    let mut client = fleet.router.client();
    client.ask(1, &video("00000000000000e1", "00000000000000aa"), b"").expect("sent");
    let (cache, _, connection, _) = next_request_at_either(&fleet.a, &fleet.b);
    client.give_up(1).expect("sent");
    wait(&cache.events, |event| *event == CacheEvent::Closed { connection });
    // The next answer on the connection belongs to the next request.
    client.ask_ready(2).expect("sent");
    let next = client.read().expect("an answer");
    assert_eq!((next.kind, next.stream, next.code), (81, 2, SERVED));
}

#[test]
fn a_request_that_is_sent_together_with_its_cancellation_is_not_answered() {
    let fleet = fleet();
    let mut client = fleet.router.client();
    let mut bytes = request(1, &video("00000000000000e1", "00000000000000aa"), b"");
    bytes.extend([0, 0, 0, 5, 67, 0, 0, 0, 1]);
    client.stream.write_all(&bytes).expect("sent");
    client.ask(2, &video("00000000000000e2", "00000000000000aa"), b"").expect("sent");
    assert_eq!(client.read().expect("an answer").stream, 2);
}

/// The write may have run: the router may neither retry nor reject it.
#[test]
fn a_write_whose_connection_is_closed_fails() {
    let fleet = fleet_of(echo("a"), echo("b"), manual());
    let mut client = fleet.router.client();
    client.ask(1, &booking("00000000000000b1"), b"pay").expect("sent");
    let (connection, ..) = next_request(&fleet.origin);
    fleet.origin.close(connection).expect("closed");
    assert_eq!(client.read().expect("an answer").code, FAILED);
    assert_eq!(count_unread_requests(&fleet.origin), 0);
}

/// A refused connection proves that nothing ran.
#[test]
fn a_write_that_reached_no_server_is_rejected() {
    let fleet = fleet();
    let (_socket, unused) = unused_address();
    fleet.journal.publish(json!({"hosts": {"rev": 2, "all": false,
        "targets": [endpoint("origin", unused, "Ready")]}}));
    wait(&fleet.journal.polls, |tail| *tail == 2);
    let mut client = fleet.router.client();
    client.ask(1, &booking("00000000000000b1"), b"pay").expect("sent");
    assert_eq!(client.read().expect("an answer").code, REJECTED);
    assert_eq!(count_unread_requests(&fleet.origin), 0);
}

#[test]
fn a_write_goes_to_the_origin_once() {
    let fleet = fleet();
    let mut client = fleet.router.client();
    client.ask(1, &booking("00000000000000b1"), b"pay").expect("sent");
    let answer = client.read().expect("an answer");
    assert_eq!((answer.code, answer.body.starts_with(b"origin ")), (SERVED, true));
    assert_eq!(count_unread_requests(&fleet.origin), 1);
}

/// Without the idempotency key caches can't recognise a repeated request, which would then take effect twice.
#[test]
fn the_idempotency_key_of_a_request_is_forwarded() {
    let fleet = fleet();
    let mut client = fleet.router.client();
    let mut fields = booking("00000000000000b1").to_vec();
    fields.push(("k", "5d41402a"));
    client.ask(1, &fields, b"pay").expect("sent");
    assert_eq!(client.read().expect("an answer").code, SERVED);
    let (_, _, fields, _) = next_request(&fleet.origin);
    assert_eq!(fields.get("token").map(String::as_str), Some("5d41402a"));
}

#[test]
fn a_copy_is_reported_as_current_only_to_the_client_that_has_it() {
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
fn a_copy_whose_digest_no_cache_states_is_not_reported_as_current() {
    let without_digest =
        || cache(|_, _, _| Some(Answer { status: "unchanged", fields: "res=HIT".into(), body: Vec::new() }));
    let fleet = fleet_of(without_digest(), without_digest(), echo("origin"));
    let mut client = fleet.router.client();
    let mut fields = video("00000000000000e1", "00000000000000aa").to_vec();
    fields.push(("known", "4be0c1"));
    client.ask(1, &fields, b"").expect("sent");
    let answer = client.read().expect("an answer");
    assert!(
        answer.fields.is_empty() && !answer.body.is_empty(),
        "expected the body, from another server: {answer:?}"
    );
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

/// A connection without a request is closed within 3 s, and must not take the capacity that a client with a
/// request needs.
#[test]
fn silent_connections_are_notified_and_closed_in_time() {
    let fleet = fleet_with_socket_limit_of(64, echo("a"), echo("b"));
    let start = std::time::Instant::now();
    let mut silent: Vec<Client> = (0..60).map(|_| fleet.router.client()).collect();
    let mut partial = fleet.router.client();
    partial
        .stream
        .write_all(&request(1, &video("00000000000000e1", "00000000000000aa"), b"")[..40])
        .expect("sent");
    for stream in 1..=3 {
        let mut client = fleet.router.client();
        client.ask(stream, &video("00000000000000e1", "00000000000000aa"), b"").expect("sent");
        assert_eq!(client.read().expect("an answer").code, SERVED);
    }
    let error = silent.iter_mut().chain([&mut partial]).filter_map(|client| client.read().ok()).count();
    assert!(error > 0, "connections that are not closed to make room get an error");
    // 2 s by the limits, and some slack since tests run in parallel.
    assert!(start.elapsed().as_millis() < 5_000, "{:?}", start.elapsed());
}

/// A router with capacity for one client, and a client that has been idle for long enough to be displaced.
fn fleet_for_one_client() -> (Fleet, Client) {
    let fleet = fleet_with_socket_limit_of(34, echo("a"), echo("b"));
    let mut client = fleet.router.client();
    client.ask_ready(1).expect("sent");
    assert_eq!(client.read().expect("an answer").kind, 81);
    std::thread::sleep(std::time::Duration::from_millis(200));
    (fleet, client)
}

/// Closing the connection with a request unread would leave that request without an answer.
#[test]
fn a_client_whose_request_has_arrived_is_not_displaced_by_another() {
    let (fleet, mut client) = fleet_for_one_client();
    fleet.router.signal(Signal::SIGSTOP);
    let mut other = fleet.router.client();
    other.ask_ready(1).expect("sent");
    client.ask(2, &video("00000000000000e1", "00000000000000aa"), b"").expect("sent");
    fleet.router.signal(Signal::SIGCONT);
    let answer = client.read().expect("an answer");
    assert_eq!((answer.stream, answer.code), (2, SERVED));
    assert_eq!(other.read().expect("an answer").kind, 81, "the other client is served next");
}

/// Clients that can't be accepted wait in the backlog; none is accepted only to be closed.
#[test]
fn when_descriptors_run_out_all_clients_are_answered_one_after_another() {
    let fleet = fleet_with_descriptor_limit(20);
    let mut clients: Vec<Client> = (0..24).map(|_| fleet.router.client()).collect();
    for client in &mut clients {
        client.ask_ready(1).expect("sent");
    }
    assert!(fleet.router.wait_for_log("accept: ").contains("os error 24"));
    for client in &mut clients {
        assert_eq!(client.read().expect("an answer").kind, 81);
    }
}

#[test]
fn a_client_that_is_displaced_with_a_partial_message_gets_an_error() {
    let (fleet, mut client) = fleet_for_one_client();
    let bytes = request(2, &video("00000000000000e1", "00000000000000aa"), b"");
    client.stream.write_all(&bytes[..40]).expect("sent");
    std::thread::sleep(std::time::Duration::from_millis(200));
    let mut other = fleet.router.client();
    other.ask_ready(1).expect("sent");
    let error = client.read().expect("an error");
    assert_eq!((error.kind, error.stream), (66, 0));
    assert_eq!(other.read().expect("an answer").kind, 81);
}

/// A client that sends one request and then stays connected must not take capacity forever.
#[test]
fn a_connection_that_stays_idle_is_closed() {
    let fleet = fleet();
    let mut client = fleet.router.client();
    client.ask(1, &video("00000000000000e1", "00000000000000aa"), b"").expect("sent");
    assert_eq!(client.read().expect("an answer").code, SERVED);
    let start = std::time::Instant::now();
    assert!(client.read().is_err());
    assert!((4_000..10_000).contains(&start.elapsed().as_millis()), "{:?}", start.elapsed());
}

/// A cache answers an invalid request with an error, which the router would count as a fault of the cache.
#[test]
fn invalid_requests_fail_without_reaching_a_cache() {
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
    assert_eq!([&fleet.a, &fleet.b, &fleet.origin].map(count_unread_requests), [0, 0, 0]);
}

#[test]
fn repeated_invalid_requests_end_the_connection() {
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

/// Caches distinguish requests by their ids alone.
#[test]
fn the_id_of_an_open_request_is_rejected_for_another_object() {
    let fleet = fleet_of(manual(), manual(), echo("origin"));
    let mut client = fleet.router.client();
    client.ask(1, &video("00000000000000e1", "00000000000000aa"), b"").expect("sent");
    let (cache, _, connection, id) = next_request_at_either(&fleet.a, &fleet.b);
    let mut other = fleet.router.client();
    other.ask(1, &video("00000000000000e1", "00000000000000ab"), b"").expect("sent");
    assert_eq!(other.read().expect("an answer").code, FAILED);
    cache.answer(connection, &id, &Answer::data("the first")).expect("answered");
    assert_eq!(client.read().expect("an answer").body, b"the first");
    assert_eq!(count_unread_requests(&fleet.a) + count_unread_requests(&fleet.b), 0);
}

#[test]
fn requests_cancelled_at_once_or_over_the_limit_reach_no_cache() {
    let fleet = fleet_of(manual(), manual(), echo("origin"));
    let send = |stream: u32| request(stream, &video(&format!("{stream:016x}"), "00000000000000aa"), b"");
    let mut client = fleet.router.client();
    let cancel = |stream: u32| [&[0, 0, 0, 5, 67][..], &stream.to_be_bytes()].concat();
    let bytes: Vec<u8> = (1..=30).flat_map(send).chain((1..=30).flat_map(cancel)).collect();
    client.stream.write_all(&bytes).expect("sent");
    client.ask_ready(31).expect("sent");
    assert_eq!(client.read().expect("an answer").kind, 81);
    let mut client = fleet.router.client();
    let bytes: Vec<u8> = (1..=60).flat_map(send).collect();
    client.stream.write_all(&bytes).expect("sent");
    for stream in 1..=32 {
        let answer = client.read().expect("an answer");
        assert_eq!((answer.stream, answer.code), (stream, FAILED));
    }
    let error = client.read().expect("an error");
    assert_eq!((error.kind, error.stream), (66, 0));
    assert!(client.read().is_err(), "the connection has ended");
    assert_eq!(count_unread_requests(&fleet.a) + count_unread_requests(&fleet.b), 0);
}

/// Before the router closes a connection over an error it answers the open requests on it, which would be
/// lost otherwise.
#[test]
fn open_requests_are_answered_before_their_connection_is_closed_over_an_error() {
    let fleet = fleet_of(manual(), manual(), echo("origin"));
    let mut client = fleet.router.client();
    client.ask(1, &video("00000000000000e1", "00000000000000aa"), b"").expect("sent");
    let (cache, _, connection, _) = next_request_at_either(&fleet.a, &fleet.b);
    // An invalid request and a valid one, in one write with a malformed frame.
    let mut bytes = request(2, &[("c", "video")], b"");
    bytes.extend(request(3, &video("00000000000000e3", "00000000000000ab"), b""));
    bytes.extend([0xff; 9]);
    client.stream.write_all(&bytes).expect("sent");
    let frames: Vec<(u32, u8)> =
        std::iter::from_fn(|| client.read().ok()).map(|f| (f.stream, f.code)).collect();
    assert_eq!(frames, [(1, FAILED), (2, FAILED), (3, FAILED), (0, FAILED)]);
    wait(&cache.events, |event| *event == CacheEvent::Closed { connection });
    assert_eq!(count_unread_requests(&fleet.a) + count_unread_requests(&fleet.b), 0);
}

#[test]
fn a_stream_number_that_is_used_twice_ends_the_connection_also_after_its_answer() {
    let fleet = fleet();
    let mut client = fleet.router.client();
    for (stream, served) in [(2, true), (1, true), (2, false)] {
        client.ask(stream, &video("00000000000000e1", "00000000000000aa"), b"").expect("sent");
        let answer = client.read().expect("an answer");
        assert_eq!((answer.stream, answer.code == SERVED), (if served { stream } else { 0 }, served));
    }
}

/// Closing with input unread would reset the connection, and the client would not get the error.
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

/// The state of replaced caches was never removed once, so that it grew with each replacement.
#[test]
fn the_state_of_replaced_caches_is_removed() {
    let fleet = fleet();
    for rev in 0..300u32 {
        let entry = |rev: u32, state: &str| {
            let mut entry = endpoint("cache-b", fleet.b.address, state);
            entry["uid"] = json!(format!("spare-{rev}"));
            entry
        };
        let targets = [entry(rev, "Ready"), entry(rev.wrapping_sub(1), "Gone")];
        fleet.journal.publish(json!({"hosts": {"rev": rev + 2, "all": false, "targets": targets}}));
    }
    wait(&fleet.journal.polls, |tail| *tail == 301);
    let mut client = fleet.router.client();
    client.ask(1, &video("00000000000000e1", "00000000000000aa"), b"").expect("sent");
    assert_eq!(client.read().expect("an answer").code, SERVED);
    fleet.router.signal(Signal::SIGUSR1);
    let line = fleet.router.wait_for_log("counters");
    assert!(line.contains(" held_caches=5 "), "{line}");
}

/// Unread answers of one client must not delay other clients, and the router stops reading requests of that
/// client.
#[test]
fn a_client_that_does_not_read_delays_no_other_client() {
    let long = || cache(|_, _, _| Some(Answer::data(vec![7; 240_000])));
    let fleet = fleet_of(long(), long(), echo("origin"));
    let mut unread = fleet.router.client();
    for stream in 1..=32 {
        unread.ask(stream, &video("00000000000000e1", "00000000000000aa"), b"").expect("sent");
    }
    let mut client = fleet.router.client();
    for stream in 1..=4 {
        client.ask(stream, &video("00000000000000e2", "00000000000000ab"), b"").expect("sent");
        let answer = client.read().expect("an answer");
        assert!(answer.code == REJECTED || answer.body.len() == 240_000);
    }
    let mut answers: Vec<u32> = (1..=32).map(|_| unread.read().expect("an answer").stream).collect();
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
fn a_draining_cache_gets_no_requests_and_a_draining_parent_no_fills() {
    let fleet = fleet();
    let draining = [
        endpoint("cache-a", fleet.a.address, "Terminating"),
        endpoint("parent", fleet.parent.address, "Terminating"),
    ];
    fleet.journal.publish(json!({"hosts": {"rev": 2, "all": false, "targets": draining}}));
    wait(&fleet.journal.polls, |tail| *tail == 2);
    let mut client = fleet.router.client();
    for stream in 1..=20 {
        let object = format!("{stream:016x}");
        client.ask(stream, &video("00000000000000e1", &object), b"").expect("sent");
        assert_eq!(client.read().expect("an answer").code, SERVED);
        let (_, _, fields, _) = next_request(&fleet.b);
        assert_ne!(fields.get("parent").map(String::as_str), Some("parent"));
    }
    assert_eq!(count_unread_requests(&fleet.a), 0);
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
            let (connection, id, fields, _) = next_request(&fleet.b);
            (connection, id, fields)
        }
    };
    assert!(cache > 0);
    let accept: u64 = fields["accept"].parse().expect("an age");
    assert!(accept >= 1 && accept <= since.max(1), "{accept} ms accepted, {since} ms after the purge");
}

#[test]
fn at_sigterm_open_and_new_requests_are_answered_before_the_exit() {
    let mut fleet = fleet_of(manual(), manual(), echo("origin"));
    let mut client = fleet.router.client();
    client.ask_ready(1).expect("sent");
    assert_eq!(client.read().expect("an answer").code, SERVED);
    client.ask(2, &video("00000000000000e1", "00000000000000aa"), b"").expect("sent");
    let (cache, _, connection, id) = next_request_at_either(&fleet.a, &fleet.b);
    fleet.router.signal(Signal::SIGTERM);
    let error = client.read().expect("a frame");
    assert_eq!((error.kind, error.stream), (90, 0));
    let mut late = fleet.router.client();
    assert_eq!(late.read().expect("a frame").kind, 90);
    late.ask_ready(1).expect("sent");
    assert_ne!(late.read().expect("an answer").code, SERVED, "no longer ready");
    late.ask(2, &booking("00000000000000b1"), b"").expect("sent");
    assert_eq!(late.read().expect("an answer").code, SERVED);
    cache.answer(connection, &id, &Answer::data("completed")).expect("answered");
    let answer = client.read().expect("an answer");
    assert_eq!((answer.code, answer.body.as_slice()), (SERVED, &b"completed"[..]));
    let end = fleet.router.wait_for_exit();
    assert_eq!((end.code(), end.signal()), (Some(0), None));
    assert!(fleet.router.wait_for_log("counters").contains("served=2 "));
}

/// A client that waits to be accepted when all requests are answered is accepted and answered before the
/// exit.
#[test]
fn at_sigterm_a_client_that_waits_to_be_accepted_is_answered_before_the_exit() {
    let mut fleet = fleet_with_socket_limit(34);
    let mut client = fleet.router.client();
    client.ask(1, &video("00000000000000e1", "00000000000000aa"), b"").expect("sent");
    let (cache, _, connection, id) = next_request_at_either(&fleet.a, &fleet.b);
    fleet.router.signal(Signal::SIGTERM);
    assert_eq!(client.read().expect("a frame").kind, 90);
    let mut late = fleet.router.client();
    late.ask_ready(1).expect("sent");
    // The router runs for another second in any case.
    std::thread::sleep(std::time::Duration::from_millis(1_200));
    cache.answer(connection, &id, &Answer::data("completed")).expect("answered");
    assert_eq!(client.read().expect("an answer").body, b"completed");
    let kinds: Vec<u8> = std::iter::from_fn(|| late.read().ok()).map(|frame| frame.kind).collect();
    assert_eq!(kinds, [90, 81]);
    assert_eq!(fleet.router.wait_for_exit().code(), Some(0));
}

/// A second journal with the same events as the first one.
fn moved_journal(fleet: &Fleet) -> Journal {
    let events = fleet.journal.known()["entries"].as_array().cloned().unwrap_or_default();
    Journal::start("127.0.0.1:0", events).expect("the journal listens")
}

#[test]
fn at_sighup_the_new_journal_is_polled_from_the_last_position_and_nothing_is_lost() {
    let mut fleet = fleet_of(manual(), manual(), echo("origin"));
    fleet.journal.publish(json!({"expire": {"set": 3, "stamp": 1}}));
    wait(&fleet.journal.polls, |tail| *tail == 2);
    let mut client = fleet.router.client();
    client.ask(1, &video("00000000000000e1", "00000000000000aa"), b"").expect("sent");
    let (cache, _, connection, id) = next_request_at_either(&fleet.a, &fleet.b);
    for _ in 0..2 {
        let moved = moved_journal(&fleet);
        fleet.router.reload(moved.address);
        assert_eq!(wait(&moved.polls, |_| true), 2);
        fleet.journal = moved;
    }
    fleet.journal.publish(json!({"expire": {"set": 4, "stamp": 1}}));
    assert_eq!(wait(&fleet.journal.polls, |_| true), 3);
    cache.answer(connection, &id, &Answer::data("completed")).expect("answered");
    assert_eq!(client.read().expect("an answer").body, b"completed");
}

#[test]
fn an_invalid_configuration_changes_nothing_at_a_reload() {
    let mut fleet = fleet();
    wait(&fleet.journal.polls, |tail| *tail == 1);
    for text in ["", "{\"name\": \"half", "{}"] {
        fleet.router.reload_text(text);
        assert!(
            fleet.router.wait_for_log("not reloaded").ends_with(|c: char| c.is_ascii_digit()),
            "one line"
        );
    }
    fleet.journal.publish(json!({"expire": {"set": 3, "stamp": 1}}));
    assert_eq!(wait(&fleet.journal.polls, |tail| *tail > 1), 2);
    let moved = moved_journal(&fleet);
    fleet.router.reload(moved.address);
    assert_eq!(wait(&moved.polls, |_| true), 2);
}

/// The platform kills the process soon after the longest deadline: requests that are still open are answered
/// before.
#[test]
fn after_sigterm_open_requests_are_answered_before_the_platform_kills_the_process() {
    let mut fleet = fleet_of(echo("a"), echo("b"), manual());
    let mut client = fleet.router.client();
    client
        .ask(
            1,
            &[("c", "booking"), ("i", "00000000000000b1"), ("o", "00000000000000b0"), ("d", "60000")],
            b"",
        )
        .expect("sent");
    next_request(&fleet.origin);
    let start = std::time::Instant::now();
    fleet.router.signal(Signal::SIGTERM);
    assert_eq!(client.read().expect("a frame").kind, 90);
    assert_eq!(client.read().expect("an answer").code, FAILED);
    assert_eq!(fleet.router.wait_for_exit().code(), Some(0));
    // 3.45 s by the limits, and some slack since tests run in parallel.
    assert!(start.elapsed().as_millis() < 5_000, "{:?}", start.elapsed());
}

#[test]
fn counters_are_printed_on_request() {
    let fleet = fleet();
    let mut client = fleet.router.client();
    client.ask(1, &video("00000000000000e1", "00000000000000aa"), b"abc").expect("sent");
    client.read().expect("an answer");
    fleet.router.signal(Signal::SIGUSR1);
    let line = fleet.router.wait_for_log("counters");
    assert!(line.contains("taken_in=1 taken_in_bytes=3") && line.contains("served=1 "), "{line}");
    let (others, turns) = line.split_once(" turns=").expect("the durations of turns are at the end");
    assert!(others.ends_with("open=0 out=0 buffers=0"), "{line}");
    assert!(
        turns.contains(" turns_over_bound=0 turn_p99_us=") && turns.contains(" turn_max_timers_us="),
        "{line}"
    );
}

/// A log line that can't be written must not end the router.
#[test]
fn the_router_continues_to_serve_after_its_log_is_closed() {
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
fn the_requests_of_a_client_that_disconnects_are_cancelled() {
    let fleet = fleet_of(manual(), manual(), echo("origin"));
    let mut client = fleet.router.client();
    client.ask(1, &video("00000000000000e1", "00000000000000aa"), b"").expect("sent");
    let (cache, _, connection, _) = next_request_at_either(&fleet.a, &fleet.b);
    client.stream.shutdown(Shutdown::Both).expect("closed");
    wait(&cache.events, |event| *event == CacheEvent::Closed { connection });
}

/// A number that is missing, zero, negative, very small, very large or no number at all: the router either
/// exits with one log line that names the setting, or answers requests within the client's deadline.
#[test]
fn extreme_settings_are_rejected_in_one_line_or_requests_are_served() {
    let values = [json!(null), json!(0), json!(-1), json!(1e-9), json!(1), json!(1e15), json!("much")];
    let paths: [&[&str]; 12] = [
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
    let (mut rejected, mut answered) = (0, 0);
    for path in paths {
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
                    rejected += 1;
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
    assert!(rejected > 10 && answered > 10, "{rejected} rejected, {answered} answered");
}
