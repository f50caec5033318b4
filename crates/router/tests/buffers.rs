//! While buffers are short, every request that was written completely gets its answer in time, whoever holds
//! the buffers. With the built program.

mod common;

use std::io::{self, Write};
use std::thread;
use std::time::{Duration, Instant};

use common::pending_connections::*;
use common::*;
use linnethook_quickstart::client::request;
use linnethook_quickstart::{Answer, Client, Journal};
use serde_json::json;

/// The largest body of a request.
const MAX_BODY_BYTES: usize = 48_000;
/// The most requests that a client may have open on one connection.
const MAX_OPEN_REQUESTS: u32 = 32;
/// With this limit the router has 4 MB of buffers, which 80 bodies of the largest size exceed.
const MEMORY_MB: usize = 8;
const DEADLINE_MS: &str = "3000";
/// An answer later than this after its request was written is lost: the deadline, and half a second.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(3_500);

/// A fleet with little memory, whose origin answers no booking.
fn fleet_with_little_memory() -> Fleet {
    let (a, b, parent, origin) = (echo("a"), echo("b"), echo("parent"), manual());
    let targets = ready_endpoints(a.address, b.address, parent.address, origin.address);
    let events = vec![json!({"hosts": {"rev": 1, "all": true, "targets": targets}})];
    let journal = Journal::start("127.0.0.1:0", events).expect("the journal listens");
    let change = |config: &mut serde_json::Value| config["limits"]["memory_mb"] = json!(MEMORY_MB);
    let router = Router::start_with(&journal, change, None, None);
    Fleet { a, b, parent, origin, journal, router }
}

fn id_of(client: u32, stream: u32) -> String {
    format!("{client:08x}{stream:08x}")
}

/// Writes as many of the largest bookings as a client may have open, and reads their answers. Returns an error
/// of the connection, or the longest time between a booking and its answer.
fn book(mut client: Client, number: u32) -> io::Result<Duration> {
    let body = vec![7; MAX_BODY_BYTES];
    let mut written = Vec::new();
    for stream in 1..=MAX_OPEN_REQUESTS {
        let id = id_of(number, stream);
        client.ask(stream, &booking(&id, DEADLINE_MS), &body)?;
        written.push(Instant::now());
    }
    let mut longest = Duration::ZERO;
    for _ in 0..MAX_OPEN_REQUESTS {
        let answer = client.read()?;
        if answer.stream == 0 {
            return Err(io::Error::other(String::from_utf8_lossy(&answer.body)));
        }
        longest = longest.max(written[answer.stream as usize - 1].elapsed());
    }
    Ok(longest)
}

/// Guards against requests that are lost with their connection: bookings in progress held the buffers, the
/// router stopped reading, and closed connections over messages whose rest it had not read itself.
#[test]
fn requests_that_were_written_completely_are_answered_in_time_while_bookings_hold_the_buffers() {
    const CLIENTS: u32 = 12;
    let fleet = fleet_with_little_memory();
    let clients: Vec<_> = (1..=CLIENTS)
        .map(|number| {
            let client = fleet.router.client();
            thread::spawn(move || book(client, number))
        })
        .collect();
    fleet.router.wait_for_log("buffers are short");
    // A read takes no buffers until its answer arrives.
    let mut reader = fleet.router.client();
    reader.ask(1, &video("00000000000000e1", OBJECT_OF_A), b"").expect("sent");
    assert_eq!(reader.read().expect("an answer").code, SERVED);
    for client in clients {
        let longest = client.join().expect("no panic").expect("an answer to each booking");
        assert!(longest <= MAX_ANSWER_TIME, "{longest:?}");
    }
}

/// Guards against clients that send slowly: their messages must neither keep the buffers from others, nor get
/// no answer once they are complete.
#[test]
fn clients_that_send_slowly_keep_no_buffers_and_are_answered_once_they_are_done() {
    const CLIENTS: u32 = 120;
    let fleet = fleet_with_little_memory();
    let body = vec![7; MAX_BODY_BYTES];
    let mut slow: Vec<(Client, Vec<u8>)> = (1..=CLIENTS)
        .map(|number| {
            let mut client = fleet.router.client();
            let mut bytes = request(1, &booking(&id_of(number, 1), DEADLINE_MS), &body);
            let rest = bytes.split_off(bytes.len() - 1);
            client.stream.write_all(&bytes).expect("sent");
            (client, rest)
        })
        .collect();
    let mut client = fleet.router.client();
    client.ask(1, &booking("00000000000000b1", DEADLINE_MS), &body).expect("sent");
    assert_eq!(next_request(&fleet.origin).1, "00000000000000b1", "a complete booking is forwarded");
    for (client, rest) in &mut slow {
        client.stream.write_all(rest).expect("sent");
    }
    let mut rejected = 0;
    for (client, _) in &mut slow {
        let answer = client.read().expect("an answer");
        assert_eq!((answer.kind, answer.stream), (66, 1), "{}", String::from_utf8_lossy(&answer.body));
        rejected += u32::from(answer.code == REJECTED);
    }
    assert!(rejected > 0, "the messages together need more than the buffers");
}

/// Reads an object of its own on a stream.
fn large_read(client: &mut Client, number: u32, stream: u32) -> io::Result<()> {
    let (id, object) = (id_of(number, stream), format!("{:016x}", number << 8 | stream));
    client.ask(stream, &[("c", "video"), ("i", &id), ("o", &object), ("d", "5000"), ("m", "240")], b"")
}

/// Guards against a router that is killed for its memory: answers that came in at once, while their clients read
/// nothing, took twice the buffers.
#[test]
fn answers_that_clients_do_not_read_take_no_more_than_the_buffers() {
    const CACHES: usize = 30;
    const CLIENTS: u32 = 60;
    const LIMIT_MB: usize = 32;
    /// Half of the memory, in blocks of 16 KiB.
    const MAX_BLOCKS: u64 = LIMIT_MB as u64 * 1024 / 2 / 16;
    const ANSWER_BYTES: usize = 240_000;
    const ANSWER_BLOCKS: u64 = (ANSWER_BYTES / (16 * 1024)) as u64 + 1;
    const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
    const SAMPLES: u32 = 30;
    const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

    let large = || cache(|_, _, _| Some(Answer::data(vec![7; ANSWER_BYTES])));
    let (parent, origin) = (large(), large());
    let caches: Vec<_> = (0..CACHES).map(|_| large()).collect();
    let mut targets =
        vec![endpoint("parent", parent.address, "Ready"), endpoint("origin", origin.address, "Ready")];
    for (n, cache) in caches.iter().enumerate() {
        let mut target = endpoint("cache-a", cache.address, "Ready");
        target["uid"] = json!(format!("cache-{n}"));
        targets.push(target);
    }
    let events = vec![json!({"hosts": {"rev": 1, "all": true, "targets": targets}})];
    let journal = Journal::start("127.0.0.1:0", events).expect("the journal listens");
    let change = |config: &mut serde_json::Value| config["limits"]["memory_mb"] = json!(LIMIT_MB);
    let router = Router::start_with(&journal, change, None, None);
    let senders: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let mut client = router.client();
            shrink_receive_buffer(&client);
            thread::spawn(move || {
                for stream in 1..MAX_OPEN_REQUESTS {
                    large_read(&mut client, number, stream).expect("sent");
                    thread::sleep(REQUEST_INTERVAL);
                }
                client
            })
        })
        .collect();
    let mut reader = router.client();
    let (mut most, mut served) = (0, 0);
    for stream in 1..=SAMPLES {
        large_read(&mut reader, CLIENTS, stream).expect("sent");
        let answer = reader.read().expect("an answer");
        assert!(answer.code == SERVED || answer.code == REJECTED, "{}", answer.code);
        served += u32::from(answer.code == SERVED);
        thread::sleep(SAMPLE_INTERVAL);
        let (counters, _) = router.counters();
        let connections = counters["held_clients"] + counters["held_connections"];
        // Each connection may hold a block that is filled in part.
        let bound = MAX_BLOCKS + connections + ANSWER_BLOCKS;
        most = most.max(counters["buffers"]);
        assert!(most <= bound, "{most} blocks in use, expected at most {bound}: {counters:?}");
    }
    senders.into_iter().for_each(|sender| drop(sender.join().expect("no panic")));
    println!("at most {most} blocks in use, {served} of {SAMPLES} reads of the reader served");
    assert!(most > MAX_BLOCKS / 2, "the answers are too few: at most {most} blocks in use");
}
