//! Cancellations in input that the router has not read yet. With the built program.

mod common;

use std::io::Write;
use std::thread;
use std::time::Duration;

use common::*;
use linnethook_quickstart::client::{cancellation, request};
use linnethook_quickstart::{Client, Journal};
use nix::sys::signal::Signal;
use serde_json::{json, Value};

/// As many requests as a client may have open.
const REQUESTS: u32 = 32;
/// All of them fit into what the system holds for a connection, but not into one part of a client's work.
const BODY_BYTES: usize = 1_700;
/// Each half message takes a block of the buffers, 256 in all; beyond a sixteenth of them, clients' input is left to
/// the system.
const HALF_MESSAGES: u32 = 24;
const HALF_BODY_BYTES: usize = 24_000;
const PAUSE: Duration = Duration::from_millis(200);

/// The bytes of a request with a body.
fn request_bytes(stream: u32, body_bytes: usize) -> Vec<u8> {
    let id = format!("{body_bytes:08x}{stream:08x}");
    let fields = [("c", "page"), ("i", &*id), ("o", &*id), ("d", "1500")];
    request(stream, &fields, &vec![7; body_bytes])
}

/// Clients with half a message each.
fn hold_buffers(router: &Router) -> Vec<Client> {
    let hold = |stream| {
        let bytes = request_bytes(stream, HALF_BODY_BYTES);
        let mut client = router.client();
        client.stream.write_all(&bytes[..bytes.len() / 2]).expect("sent");
        client
    };
    (1..=HALF_MESSAGES).map(hold).collect()
}

/// Guards against requests that are sent to a cache, although their cancellations have arrived behind what the router
/// reads of a client at a time while others hold the buffers.
#[test]
fn requests_cancelled_behind_what_is_read_at_a_time_reach_no_cache() {
    let (a, b, parent, origin) = (manual(), manual(), manual(), manual());
    let targets = ready_endpoints(a.address, b.address, parent.address, origin.address);
    let events = vec![json!({"hosts": {"rev": 1, "all": true, "targets": targets}})];
    let journal = Journal::start("127.0.0.1:0", events).expect("the journal listens");
    let with_little_memory = |config: &mut Value| config["limits"]["memory_mb"] = json!(8);
    let router = Router::start_with(&journal, with_little_memory, None, None);
    let _others = hold_buffers(&router);
    let mut client = router.client();
    thread::sleep(PAUSE);
    let blocks = router.counters().0["buffers"];
    assert!(blocks >= u64::from(HALF_MESSAGES), "{blocks} blocks are in use");

    router.signal(Signal::SIGSTOP);
    thread::sleep(PAUSE);
    let requests = (1..=REQUESTS).flat_map(|stream| request_bytes(stream, BODY_BYTES));
    let bytes: Vec<u8> = requests.chain((1..=REQUESTS).flat_map(cancellation)).collect();
    client.stream.write_all(&bytes).expect("sent");
    thread::sleep(PAUSE);
    router.signal(Signal::SIGCONT);

    client.ask_ready(REQUESTS + 1).expect("sent");
    assert_eq!(client.read().expect("an answer").kind, 81);
    thread::sleep(PAUSE);
    let counters = router.counters().0;
    assert_eq!((counters["taken_back"], counters["sent"]), (u64::from(REQUESTS), 0));
    assert_eq!([&a, &b, &parent, &origin].map(count_unread_requests), [0; 4]);
}
