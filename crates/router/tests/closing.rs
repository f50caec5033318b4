//! Connections of clients that the router closes: each request that was written completely before has its
//! answer. With the built program.

mod common;

use std::io::Write;
use std::net::Shutdown;
use std::thread;
use std::time::Duration;

use common::pending_connections::*;
use common::*;
use linnethook_quickstart::client::request;
use linnethook_quickstart::{Answer, Client};
use nix::sys::signal::Signal;
use socket2::SockRef;

const UNKNOWN_TYPE_FRAME: [u8; 9] = [0, 0, 0, 5, 99, 0, 0, 0, 1];

/// The streams and codes of all answers until the connection ends.
fn answers_until_close(client: &mut Client) -> Vec<(u32, u8)> {
    std::iter::from_fn(|| client.read().ok())
        .filter(|frame| frame.kind == 66)
        .map(|frame| (frame.stream, frame.code))
        .collect()
}

/// A valid read on this stream.
fn read_request(stream: u32) -> Vec<u8> {
    request(stream, &small_object(&format!("{stream:016x}")), b"")
}

/// Guards against requests that are lost behind a message that ends their connection: they were read in the
/// same turn, and dropped.
#[test]
fn requests_read_together_with_a_malformed_or_repeated_message_are_answered() {
    let fleet = fleet();
    for bad in
        [UNKNOWN_TYPE_FRAME.to_vec(), request(0, &small_object("00000000000000e1"), b""), read_request(1)]
    {
        let mut client = fleet.router.client();
        let bytes = [read_request(1), bad, read_request(2), read_request(3)].concat();
        client.stream.write_all(&bytes).expect("sent");
        let expected = [(1, FAILED), (2, REJECTED), (3, REJECTED), (0, FAILED)];
        assert_eq!(answers_until_close(&mut client), expected);
    }
}

/// Guards against answers that are lost since their client has shut its sending side: the router took the end
/// of its input for the end of the connection.
#[test]
fn a_client_that_has_shut_its_sending_side_gets_the_answers_of_a_closing_connection() {
    let fleet = fleet();
    let mut client = fleet.router.client();
    // Both arrive before the router reads them.
    fleet.router.signal(Signal::SIGSTOP);
    let bytes = [read_request(1), UNKNOWN_TYPE_FRAME.to_vec(), read_request(2)].concat();
    client.stream.write_all(&bytes).expect("sent");
    client.stream.shutdown(Shutdown::Write).expect("shut");
    fleet.router.signal(Signal::SIGCONT);
    assert_eq!(answers_until_close(&mut client), [(1, FAILED), (2, REJECTED), (0, FAILED)]);
}

/// Guards against requests that are lost behind too many invalid ones: they lay in the router's socket when it
/// closed the connection.
#[test]
fn unread_requests_behind_too_many_invalid_ones_are_answered() {
    const INVALID: u32 = 16;
    const VALID: u32 = 8;
    /// The invalid requests take nearly all that is read of a client in one turn.
    const INVALID_BODY_BYTES: usize = 15_800;
    let fleet = fleet();
    let mut client = fleet.router.client();
    let mut bytes = Vec::new();
    for stream in 1..=INVALID {
        bytes.extend(request(stream, &[("c", "video")], &[7; INVALID_BODY_BYTES]));
    }
    for stream in INVALID + 1..=INVALID + VALID {
        let id = format!("{stream:016x}");
        bytes.extend(request(stream, &booking(&id, "3000"), &[7; 48_000]));
    }
    client.stream.write_all(&bytes).expect("sent");
    let mut answers = answers_until_close(&mut client);
    assert_eq!(answers.pop(), Some((0, FAILED)), "the reason comes last");
    let streams: Vec<u32> = answers.iter().map(|(stream, _)| *stream).collect();
    assert_eq!(streams, (1..=INVALID + VALID).collect::<Vec<u32>>());
}

/// Guards against answers that are lost with a connection that is being closed: another client took its place
/// before they were written.
#[test]
fn a_closing_connection_is_not_displaced_before_its_answers_are_written() {
    /// More than the system holds for a connection.
    const REQUESTS: u32 = 31;
    const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
    let b = cache(|_, _, _| Some(Answer::data(vec![7; 240_000])));
    // One connection of a client.
    let fleet = fleet_with_socket_limit_of(34, echo("a"), b);
    let mut client = fleet.router.client();
    SockRef::from(&client.stream).set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a small buffer");
    for stream in 1..=REQUESTS {
        client.stream.write_all(&read_request(stream)).expect("sent");
    }
    wait_for_counters(&fleet.router, |counters| {
        let count = |name: &str| counters.split(name).nth(1)?.split(' ').next()?.parse::<u32>().ok();
        count(" served=").unwrap_or_default() + count(" refused=").unwrap_or_default() == REQUESTS
    });
    client.stream.write_all(&UNKNOWN_TYPE_FRAME).expect("sent");
    // The router reads the malformed frame once enough of the answers are written.
    let mut answers = Vec::new();
    let counters = loop {
        let frame = client.read().expect("an answer");
        answers.push((frame.stream, frame.code));
        thread::sleep(Duration::from_millis(20));
        let (counters, _) = fleet.router.counters();
        if counters["malformed"] == 1 {
            break counters;
        }
    };
    assert!(counters["buffers"] > 0, "answers are still to be written");
    thread::sleep(Duration::from_millis(200));
    let mut other = fleet.router.client();
    other.ask_ready(1).expect("sent");
    thread::sleep(Duration::from_millis(400));
    answers.extend(answers_until_close(&mut client));
    assert_eq!(answers.len() as u32, REQUESTS + 1, "{answers:?}");
    drop(client);
    assert_eq!(other.read().expect("an answer").kind, 81, "the other client is served next");
}

/// Guards against a request that is lost by a timeout although it was complete: after a pause of the process,
/// a sweep closed its connection without reading it again.
#[test]
fn requests_completed_while_the_process_was_paused_past_a_timeout_are_answered() {
    /// A part of a message is accepted for 1.5 s, and a connection without a request for 2 s.
    const MESSAGE_TIMEOUT: Duration = Duration::from_millis(1_500);
    const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_000);
    /// The process is paused from this long before the timeout until this long after it.
    const PAUSED_AROUND: Duration = Duration::from_millis(300);
    const STEP: Duration = Duration::from_millis(100);

    let fleet = fleet();
    for (sent_before, timeout) in [(40, MESSAGE_TIMEOUT), (0, FIRST_REQUEST_TIMEOUT)] {
        let bytes = request(1, &video("00000000000000e1", OBJECT_OF_A), b"");
        let mut client = fleet.router.client();
        client.stream.write_all(&bytes[..sent_before]).expect("sent");
        thread::sleep(timeout - PAUSED_AROUND);
        fleet.router.signal(Signal::SIGSTOP);
        thread::sleep(STEP);
        client.stream.write_all(&bytes[sent_before..]).expect("sent");
        thread::sleep(2 * PAUSED_AROUND - STEP);
        fleet.router.signal(Signal::SIGCONT);
        let answer = client.read().expect("an answer");
        let reason = String::from_utf8_lossy(&answer.body).into_owned();
        assert_eq!((answer.stream, answer.code), (1, SERVED), "{reason}");
    }
}

/// Guards against requests that are lost with their client's connection, which was closed because its answers
/// had not been read for some seconds, although their clients still waited.
#[test]
fn a_client_that_reads_no_answers_for_a_while_loses_no_request_that_it_still_waits_for() {
    /// Longer than the time after which a client that reads nothing is closed.
    const PAUSE: Duration = Duration::from_millis(9_000);
    let mut fleet = pending_fleet_with(cache(|_, _, _| Some(Answer::data(vec![7; 240_000]))), |_| ());
    let mut client = fleet.client_with_pending_request();
    leave_answers_unread(&fleet.router, &mut client, 3);
    thread::sleep(PAUSE);
    for _ in 0..SMALL_REQUESTS {
        assert_eq!(client.read().expect("an answer").code, SERVED);
    }
    let _a = fleet.accept_connections();
    let answer = client.read().expect("the answer to the pending request");
    assert_eq!((answer.stream, answer.code), (1, SERVED));
}
