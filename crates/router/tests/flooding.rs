//! Clients and caches that send small messages at full speed: a turn of the event loop has its bound, whoever is ready, so that
//! the requests of others are answered in time.

mod common;

use std::io::Write;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use common::flooding_clients::{Flood, FloodingClients};
use common::{echo, fleet, fleet_of, Fleet, Router, SERVED};
use linnethook_quickstart::cache::encode;
use linnethook_quickstart::client::readiness_query;
use linnethook_quickstart::{Answer as CacheAnswer, Cache, CacheEvent, Client};
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};

/// How long the flooding clients send before the first request of another one.
const FLOOD_BEGIN: Duration = Duration::from_secs(1);
/// The other clients' requests, and the time between them.
const REQUESTS: u32 = 20;
const INTERVAL: Duration = Duration::from_millis(100);
/// Too few clients to keep others waiting.
const FEW_CLIENTS: u32 = 10;
/// So many answers to readiness queries are more than the router and the system keep for a client.
const UNREAD_ANSWERS: u32 = 1_500_000;
/// How long the turns of a router without work are counted.
const REST: Duration = Duration::from_secs(1);
/// The router's shortest pause before something is tried again is 5 ms.
const MAX_TURNS_AT_REST: u64 = 200;
/// How many copies of an answer a cache writes together.
const COPIES_PER_WRITE: usize = 1_000;
/// The log line of a turn over its bound.
const LONG_TURN: &str = "took longer than its bound";
/// An answer later than its deadline by more than this is lost: half a second, and 50 ms on sockets.
const MAX_LATE: Duration = Duration::from_millis(500 + 50);

/// Longer than several turns of the event loop.
const CONNECTED_BEFORE: Duration = Duration::from_millis(300);

/// How a client uses its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Connecting {
    /// The only request follows the connect at once.
    Just,
    /// The only request follows the connect much later.
    Before,
    /// Another request was answered on the connection before.
    Used,
}

/// The answer to a request.
#[derive(Debug, Clone, Copy)]
struct Answer {
    code: u8,
    after: Duration,
}

/// Sends one request, and waits for its answer; `None` if there is none.
fn ask_on(client: &mut Client, stream: u32, number: u32, deadline: Duration) -> Option<Answer> {
    let (id, object) = (format!("e{stream:07x}{number:08x}"), format!("f{number:015x}"));
    let wait = deadline.as_millis().to_string();
    let fields = [("c", "page"), ("i", &*id), ("o", &*object), ("d", &*wait)];
    let sent = Instant::now();
    client.ask(stream, &fields, b"").expect("sent");
    let answer = client.read().ok()?;
    assert_eq!((answer.kind, answer.stream), (66, stream));
    Some(Answer { code: answer.code, after: sent.elapsed() })
}

/// Asks on a connection of its own, and returns the last answer.
fn ask(router: SocketAddr, number: u32, connecting: Connecting, deadline: Duration) -> Option<Answer> {
    let mut client = Client::connect(router).expect("a connection");
    match connecting {
        Connecting::Just => {}
        Connecting::Before => thread::sleep(CONNECTED_BEFORE),
        Connecting::Used => _ = ask_on(&mut client, 1, number, deadline)?,
    }
    ask_on(&mut client, 2, number, deadline)
}

/// Asks beside flooding clients.
fn check_flood(clients: u32, flood: Flood, connecting: Connecting, deadline: Duration) {
    let maximum = getrlimit(Resource::Nofile).maximum;
    setrlimit(Resource::Nofile, Rlimit { current: maximum, maximum }).expect("more descriptors");
    let fleet = fleet();
    let _flooding = FloodingClients::start(fleet.router.address, clients, flood);
    thread::sleep(FLOOD_BEGIN);
    println!("{clients} clients, {flood:?}");
    check_requests(&fleet.router, connecting, deadline);
}

/// Asks: no request is lost, and at least half of them are served.
fn check_requests(router: &Router, connecting: Connecting, deadline: Duration) {
    let address = router.address;
    let asking: Vec<_> = (0..REQUESTS)
        .map(|number| {
            thread::sleep(INTERVAL);
            thread::spawn(move || ask(address, number, connecting, deadline))
        })
        .collect();
    let answers = asking.into_iter().filter_map(|asked| asked.join().expect("no panic"));
    let answers: Vec<Answer> = answers.collect();
    let timely = answers.iter().filter(|answer| answer.after <= deadline + MAX_LATE).count();
    let lost = REQUESTS as usize - timely;
    let served = answers.iter().filter(|answer| answer.code == SERVED).count();
    let longest = answers.iter().map(|answer| answer.after).max();
    println!("{served} of {REQUESTS} served, {lost} lost, longest {longest:?}");
    let (_, log) = router.counters();
    log.iter().filter(|line| line.contains(LONG_TURN)).for_each(|line| println!("{line}"));
    println!("{}", router.counters_line());
    assert_eq!(lost, 0, "lost of {REQUESTS}");
    assert!(2 * served >= REQUESTS as usize, "{served} of {REQUESTS} served");
}

/// Guards against a loop that turns without waiting for clients that it does not read: those that have left in the
/// middle of a flood, and one that takes none of its answers.
#[test]
fn the_event_loop_rests_after_a_flood_and_beside_a_client_that_reads_nothing() {
    let fleet = fleet();
    let flooding = FloodingClients::start(fleet.router.address, FEW_CLIENTS, Flood::CancelledRequests(1));
    thread::sleep(FLOOD_BEGIN);
    drop(flooding);
    let silent = fleet.router.client();
    let queries: Vec<u8> = (1..=UNREAD_ANSWERS).flat_map(readiness_query).collect();
    silent.stream.set_nonblocking(true).expect("a socket");
    let mut written = 0;
    let begin = Instant::now();
    while written < queries.len() && begin.elapsed() < FLOOD_BEGIN {
        match (&silent.stream).write(&queries[written..]) {
            Ok(bytes) => written += bytes,
            Err(_) => thread::sleep(Duration::from_millis(1)),
        }
    }
    let turns = || fleet.router.counters().0["turns"];
    let before = turns();
    thread::sleep(REST);
    let during = turns() - before;
    println!("{during} turns within {REST:?}");
    assert!(during <= MAX_TURNS_AT_REST, "{during} turns within {REST:?}");
    drop(silent);
}

/// Writes copies of an answer to a connection with a request until the router closes it, and then to the next one.
/// Other connections are answered meanwhile.
fn write_copies(cache: &Cache) {
    for event in &cache.events {
        let CacheEvent::Request { connection, id, .. } = event else { continue };
        let copies = encode(&id, &CacheAnswer::data(b"a copy".as_slice())).repeat(COPIES_PER_WRITE);
        while cache.write(connection, &copies).is_ok() {}
    }
}

/// Guards against a turn that reads a cache until nothing is left, while copies of an answer follow without end.
#[test]
fn requests_are_answered_beside_a_cache_that_sends_copies_without_end() {
    let Fleet { a, b: _b, parent: _parent, origin: _origin, journal: _journal, router } =
        fleet_of(echo("a"), echo("b"), echo("origin"));
    let copying = thread::spawn(move || write_copies(&a));
    check_requests(&router, Connecting::Just, Duration::from_millis(1_500));
    assert!(!copying.is_finished(), "the cache has ended");
}

/// Guards against a turn that reads all that a hundred clients send and cancel, while the requests of others wait.
#[test]
fn requests_are_answered_beside_a_hundred_clients_that_send_and_cancel() {
    check_flood(100, Flood::CancelledRequests(1), Connecting::Just, Duration::from_millis(500));
}

/// Guards against the same turn where each client has as many requests open as it may.
#[test]
fn requests_are_answered_beside_a_hundred_clients_that_cancel_thirty_at_once() {
    check_flood(100, Flood::CancelledRequests(30), Connecting::Just, Duration::from_millis(500));
}

/// Guards against the same turn, made long by readiness checks.
#[test]
fn requests_are_answered_beside_a_hundred_clients_that_ask_for_readiness() {
    check_flood(100, Flood::ReadinessQueries, Connecting::Just, Duration::from_millis(500));
}

/// Guards against a turn that has a bound for each client, and grows with their number.
#[test]
fn requests_are_answered_beside_four_hundred_clients_that_send_and_cancel() {
    check_flood(400, Flood::CancelledRequests(1), Connecting::Just, Duration::from_millis(1_500));
}

/// Guards against a first request that waits behind the flood, since its connection was read before it came.
#[test]
fn first_requests_are_answered_that_follow_their_connection_late() {
    check_flood(100, Flood::CancelledRequests(30), Connecting::Before, Duration::from_millis(500));
}

/// Guards against a second request that waits until all flooding clients were served, unlike the first.
#[test]
fn second_requests_are_answered_beside_four_hundred_clients_that_send_and_cancel() {
    check_flood(400, Flood::CancelledRequests(1), Connecting::Used, Duration::from_millis(500));
}
