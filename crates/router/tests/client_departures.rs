//! Clients that disconnect: the router begins no attempt for them more than 0.1 s later, whatever it is doing
//! then.
//!
//! `docs/endings.md` describes these cases. The tests for a busy event loop stop the process for a while, so
//! that all that arrives meanwhile is read in one turn of the loop and in order of arrival.

mod common;

use std::thread;
use std::time::Duration;

use common::pending_connections::*;
use common::{
    cache, count_unread_requests, echo, fleet_of, manual, next_request, next_request_at_either,
    unread_requests, Router,
};
use linnethook_quickstart::{Answer, Cache, Client};
use linnethook_testbed::cache_server::CacheServerConfig;
use linnethook_testbed::faults::{Fault, When};
use linnethook_testbed::process_cluster::{operator_file, ProcessCluster};
use nix::sys::signal::Signal;
use serde_json::{json, Value};

fn forbid_cancel(config: &mut Value) {
    config["settings"]["allowed"]["may-cancel"] = json!(false);
}

/// Stops the process, and waits until what it has sent so far has arrived.
fn pause_process(router: &Router) {
    router.signal(Signal::SIGSTOP);
    thread::sleep(Duration::from_millis(200));
}

/// Lets the process run again, and gives it time to handle what has arrived.
fn resume_process(router: &Router) {
    router.signal(Signal::SIGCONT);
    thread::sleep(Duration::from_millis(600));
}

/// How many requests at these servers the test has not read yet.
fn count_unread_requests_at(caches: &[&Cache]) -> usize {
    caches.iter().map(|cache| count_unread_requests(cache)).sum()
}

// ---- Clients that the router reads no further because their answers are unread.

/// A fleet in which connections to `cache-a` stay pending, and `cache-b` gives long answers.
fn long_answer_fleet(change: impl Fn(&mut Value)) -> PendingFleet {
    pending_fleet_with(cache(|_, _, _| Some(Answer::data(vec![7; 240_000]))), change)
}

/// The cancel frame of a client that reads none of its answers takes effect, also behind further requests:
/// the router limits what it accepts from such a client, but still reads its cancellations.
#[test]
fn requests_cancelled_behind_unread_answers_are_not_sent() {
    for requests_before in [0, 20] {
        let mut fleet = long_answer_fleet(|_| ());
        let mut client = fleet.client_with_pending_request();
        shrink_receive_buffer(&client);
        leave_answers_unread(&fleet.router, &mut client, 3);
        for stream in 0..requests_before {
            client.ask(40 + stream, &small_object(&format!("{stream:016x}")), &[7; 2_000]).expect("sent");
        }
        client.give_up(1).expect("sent");
        assert!(fleet.remaining_requests().is_empty(), "behind {requests_before} requests");
    }
}

/// The router notices the disconnect of a client with unread answers, also behind further requests of that
/// client.
#[test]
fn pending_requests_are_not_sent_once_their_client_has_disconnected_behind_unread_requests() {
    for how in [Disconnect::Close, Disconnect::HalfClose, Disconnect::Reset] {
        let mut fleet = long_answer_fleet(|_| ());
        let mut client = fleet.client_with_pending_request();
        shrink_receive_buffer(&client);
        leave_answers_unread(&fleet.router, &mut client, 3);
        for stream in 0..20 {
            client.ask(40 + stream, &small_object(&format!("{stream:016x}")), &[7; 2_000]).expect("sent");
        }
        let _client = disconnect(client, how, &[]);
        assert!(fleet.remaining_requests().is_empty(), "{how:?}");
    }
}

/// The number of buffers in use from which on they are short: seven eighths of the 256 blocks.
const SHORT_BLOCKS: u32 = 224;
/// How often the buffers are filled until they are seen to be short.
const MAX_FILLS: usize = 40;

/// A fleet with little memory, its client with a pending request, and clients that read nothing.
struct FullFleet {
    fleet: PendingFleet,
    client: Client,
    _others: Vec<Client>,
}

/// Fills the buffers with unread answers; `None` if they were not seen to be short. A long answer counts while it
/// arrives, and is refused once they are short: they may be for a moment only, between two looks.
fn fill_buffers() -> Option<FullFleet> {
    let fleet = long_answer_fleet(|config| config["limits"]["memory_mb"] = json!(8));
    let client = fleet.client_with_pending_request();
    let mut others: Vec<Client> = (0..3).map(|_| fleet.router.client()).collect();
    for (other, first) in others.iter_mut().zip([100, 200, 300]) {
        shrink_receive_buffer(other);
        send_small_requests(other, first);
    }
    let requests = 1 + others.len() as u64 * u64::from(SMALL_REQUESTS);
    loop {
        let counters = fleet.router.counters().0;
        if counters["buffers"] >= u64::from(SHORT_BLOCKS) {
            return Some(FullFleet { fleet, client, _others: others });
        }
        // Whatever was to fill them has been answered, or its client was closed, and they only become emptier.
        let is_answered = counters["taken_in"] >= requests && counters["out"] == 0;
        if is_answered || counters["held_clients"] < counters["clients"] {
            return None;
        }
    }
}

/// While the buffers are nearly full, whichever client fills them, cancellations and disconnects of others
/// still take effect. From seven eighths of the 256 blocks on, clients that read nothing get no further long
/// answers.
#[test]
fn requests_abandoned_while_buffers_are_nearly_full_are_not_sent() {
    for how in DISCONNECTS {
        let full = (0..MAX_FILLS).find_map(|_| fill_buffers());
        let FullFleet { mut fleet, client, _others } = full.expect("buffers that are seen to be short");
        let _client = disconnect(client, how, &[1]);
        assert!(fleet.remaining_requests().is_empty(), "{how:?}");
    }
}

/// Requests that a client sends while its answers are unread are answered once it reads them: each once,
/// except for those that it has cancelled.
#[test]
fn requests_read_ahead_are_answered_once_their_client_reads_its_answers() {
    let mut fleet = long_answer_fleet(|_| ());
    let mut client = fleet.client_with_pending_request();
    leave_answers_unread(&fleet.router, &mut client, 3);
    for stream in 40..46 {
        client.ask(stream, &small_object(&format!("{stream:016x}")), &[7; 2_000]).expect("sent");
    }
    client.give_up(42).expect("sent");
    client.give_up(1).expect("sent");
    client.ask_ready(50).expect("sent");
    let mut answered = Vec::new();
    while answered.len() < SMALL_REQUESTS as usize + 5 + 1 {
        let frame = client.read().expect("an answer");
        answered.push((frame.kind, frame.stream));
    }
    answered.sort_unstable();
    let expected =
        (3..3 + SMALL_REQUESTS).chain([40, 41, 43, 44, 45]).map(|stream| (66, stream)).chain([(81, 50)]);
    assert_eq!(answered, expected.collect::<Vec<(u8, u32)>>());
    assert!(fleet.remaining_requests().is_empty());
}

// ---- A busy event loop.

/// The response that requires a retry and the client's disconnect are read in one turn of the loop, in this
/// order.
#[test]
fn no_retry_begins_where_the_response_and_the_disconnect_arrive_in_one_turn() {
    for how in DISCONNECTS {
        let fleet = fleet_of(manual(), manual(), echo("origin"));
        let mut client = fleet.router.client();
        client.ask(1, &video("00000000000000e1", OBJECT_OF_A), b"").expect("sent");
        let (connection, id, ..) = next_request(&fleet.a);
        pause_process(&fleet.router);
        fleet.a.answer(connection, &id, &Answer::with_status("full")).expect("answered");
        thread::sleep(Duration::from_millis(20));
        let _client = disconnect(client, how, &[1]);
        thread::sleep(Duration::from_millis(200));
        resume_process(&fleet.router);
        let servers = [&fleet.a, &fleet.b, &fleet.parent, &fleet.origin];
        assert_eq!(count_unread_requests_at(&servers), 0, "{how:?}");
    }
}

/// The same for many clients that disconnect in one burst, by every kind of disconnect.
#[test]
fn no_retry_begins_for_any_of_many_clients_that_disconnect_in_one_burst() {
    let fleet = fleet_of(manual(), manual(), echo("origin"));
    let mut clients: Vec<Client> = (0..200).map(|_| fleet.router.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        let (id, object) = (format!("{n:016x}"), format!("{:016x}", n * 7 + 1));
        client.ask(1, &video(&id, &object), b"").expect("sent");
        client.ask_ready(2).expect("sent");
    }
    // Some are rejected at once: the caches have no capacity for so many.
    for client in &mut clients {
        while client.read().expect("an answer").kind != 81 {}
    }
    // Wait until all attempts have arrived: one that the router is writing when it is stopped would arrive
    // later.
    let sent = || fleet.router.counters().0["sent"] as usize;
    let mut open = Vec::new();
    while open.len() < sent() {
        let (cache, _, connection, id) = next_request_at_either(&fleet.a, &fleet.b);
        open.push((cache, connection, id));
    }
    assert!(open.len() >= 20, "{} attempts are open", open.len());
    pause_process(&fleet.router);
    for cache in [&fleet.a, &fleet.b] {
        open.extend(unread_requests(cache).into_iter().map(|(connection, id)| (cache, connection, id)));
    }
    for (cache, connection, id) in &open {
        cache.answer(*connection, id, &Answer::with_status("full")).expect("answered");
    }
    thread::sleep(Duration::from_millis(20));
    let disconnected: Vec<_> = clients
        .into_iter()
        .zip(DISCONNECTS.into_iter().cycle())
        .map(|(client, how)| disconnect(client, how, &[1]))
        .collect();
    thread::sleep(Duration::from_millis(200));
    resume_process(&fleet.router);
    let sent = count_unread_requests_at(&[&fleet.a, &fleet.b, &fleet.parent, &fleet.origin]);
    assert_eq!(sent, 0, "of {}", open.len());
    drop(disconnected);
}

/// A connection is established and the client whose request waits for it disconnects, both in one turn of the
/// loop.
#[test]
fn nothing_is_sent_where_the_connection_and_the_disconnect_arrive_in_one_turn() {
    for how in DISCONNECTS {
        let mut fleet = pending_fleet(forbid_cancel);
        let client = fleet.client_with_pending_request();
        fleet.router.signal(Signal::SIGSTOP);
        let a = fleet.accept_connections();
        // The system retransmits an unanswered SYN after a second.
        thread::sleep(Duration::from_millis(1_500));
        let _client = disconnect(client, how, &[1]);
        thread::sleep(Duration::from_millis(200));
        resume_process(&fleet.router);
        assert_eq!(count_unread_requests_at(&[&a, &fleet.b, &fleet.parent, &fleet.origin]), 0, "{how:?}");
    }
}

/// A retry becomes due, or an attempt times out, in the same turn of the loop in which the client
/// disconnects.
#[test]
fn no_retry_begins_in_the_turn_in_which_the_client_disconnects() {
    for how in DISCONNECTS {
        for full in [true, false] {
            let origin = if full { cache(|_, _, _| Some(Answer::with_status("full"))) } else { manual() };
            let fleet = fleet_of(manual(), echo("b"), origin);
            let mut client = fleet.router.client();
            // A booking is retried after a pause; a read without an answer, when its attempt times out.
            if full {
                client.ask(1, &booking("00000000000000b1", "3000"), b"pay").expect("sent");
                next_request(&fleet.origin);
            } else {
                let fields = [
                    ("c", "video"),
                    ("i", "00000000000000e1"),
                    ("o", OBJECT_OF_A),
                    ("d", "400"),
                    ("m", "20"),
                ];
                client.ask(1, &fields, b"").expect("sent");
                next_request(&fleet.a);
            }
            pause_process(&fleet.router);
            let servers = [&fleet.a, &fleet.b, &fleet.parent, &fleet.origin];
            count_unread_requests_at(&servers);
            let _client = disconnect(client, how, &[1]);
            thread::sleep(Duration::from_millis(200));
            resume_process(&fleet.router);
            assert_eq!(count_unread_requests_at(&servers), 0, "{how:?}, full: {full}");
        }
    }
}

// ---- The shield.

/// A fill that is queued at the shield ends when its client cancels, also where attempts may not be
/// cancelled. It must not stay queued until it times out, where it takes capacity from other fills.
#[test]
fn a_fill_queued_at_the_shield_ends_when_its_client_cancels() {
    let mut fleet = ProcessCluster::two_hubs(env!("CARGO_BIN_EXE_linnethook"), 1, CacheServerConfig::new)
        .expect("a fleet");
    fleet.node("cache-0").script().add(Fault::Silent, When::Count { after: 0, most: 1_000 });
    let operator = operator_file(1, "south", "extended = True");
    let address = fleet.start_router("n0", Some(&operator), forbid_cancel).expect("a router");
    let mut clients = [0, 1].map(|_| Client::connect(address).expect("a connection"));
    for (n, client) in clients.iter_mut().enumerate() {
        for stream in 1..=4 {
            let (id, object) = (format!("{n:08x}{stream:08x}"), format!("{:016x}", 77 * stream));
            let fields =
                [("c", "video"), ("i", id.as_str()), ("o", object.as_str()), ("d", "3000"), ("m", "20")];
            client.ask(stream, &fields, b"").expect("sent");
        }
        client.ask_ready(5).expect("sent");
        assert_eq!(client.read().expect("an answer").stream, 5, "nothing is answered before");
    }
    (1..=4).for_each(|stream| clients[1].give_up(stream).expect("sent"));
    let shown = ["hierarchy", "show"];
    fleet.until("n0", &shown, "no queued fill", |shown| shown["waiting_fills"] == 0).expect("shown");
    let counts = fleet.query("n0", &shown).expect("shown")["counts"].clone();
    let count = |name: &str| counts[name].as_u64().expect("a number");
    assert_eq!(count("waited"), 4, "{counts}");
    // On a stalled machine one of them may time out first.
    assert!(count("over_time") < 4, "{counts}");
}
