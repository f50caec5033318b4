//! A seeded soak of "no request is lost" with little memory: bookings of random sizes while the origin stands
//! still or reads slowly, and clients that write in pieces, judged from what the clients were answered.
//!
//! `LINNETHOOK_SOAK_SECONDS` sets its length, and `LINNETHOOK_SOAK_SEED` the seed.

mod common;

use std::io::Write;
use std::net::{Shutdown, SocketAddr};
use std::str::FromStr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::faulty_origin::{FaultyOrigin, OriginFault};
use common::*;
use linnethook_quickstart::client::request;
use linnethook_quickstart::{Client, Journal};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;

const DEFAULT_SECONDS: u64 = 20;
const DEFAULT_SEED: u64 = 1;
/// Connections of clients, each with at most 32 open requests.
const CLIENTS: u32 = 24;
const MAX_OPEN_REQUESTS: usize = 32;
/// 4 to 8 MB of buffers: bodies of bookings that wait for the origin exceed them.
const MEMORY_MB: std::ops::RangeInclusive<u32> = 8..=16;
const MAX_BODY_BYTES: usize = 48_000;
const REQUEST_INTERVAL_MS: std::ops::Range<u64> = 5..60;
const DEADLINE_MS: std::ops::Range<u64> = 400..3_000;
/// One of so many clients writes its messages in two pieces, with a pause that the router accepts.
const SLOW_CLIENT_INTERVAL: u32 = 4;
const WRITE_PAUSE_MS: std::ops::Range<u64> = 50..700;
const FAULT_MS: std::ops::Range<u64> = 500..3_000;
const QUIET_MS: std::ops::Range<u64> = 100..1_500;
/// An answer later than its deadline by more than this is lost; every time limit is longer by the slack.
const MAX_LATE: Duration = Duration::from_millis(500 + 50);
/// After the last booking: the longest deadline, and the latest answer.
const SETTLE: Duration = Duration::from_millis(3_600);

/// A request that was written completely.
struct Written {
    stream: u32,
    at: Instant,
    deadline: Duration,
    /// When answers came, with their codes.
    answers: Vec<(Instant, u8)>,
}

/// The requests of a client, and the error with which its connection ended before it closed it.
#[derive(Default)]
struct ClientRecord {
    requests: Vec<Written>,
    ended: Option<String>,
}

type SharedRecord = Arc<Mutex<ClientRecord>>;

fn setting<T: FromStr>(name: &str, default: T) -> T {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Records the answers of a client until its connection ends.
fn read_answers(mut reader: Client, record: &SharedRecord) {
    loop {
        let frame = reader.read();
        let mut record = record.lock().expect("the record");
        match frame {
            Ok(frame) if frame.stream > 0 => {
                let request = record.requests.iter_mut().find(|request| request.stream == frame.stream);
                let request = request.expect("the answer to a request");
                request.answers.push((Instant::now(), frame.code));
            }
            Ok(frame) => {
                record.ended.get_or_insert(String::from_utf8_lossy(&frame.body).into_owned());
            }
            Err(error) => {
                record.ended.get_or_insert(error.to_string());
                return;
            }
        }
    }
}

/// Books on one connection until the end.
fn book(router: SocketAddr, client: u32, seed: u64, until: Instant) -> ClientRecord {
    let mut random = Pcg64Mcg::seed_from_u64(seed + u64::from(client));
    let mut connection = Client::connect(router).expect("a connection");
    let reader = Client { stream: connection.stream.try_clone().expect("another handle") };
    let record = SharedRecord::default();
    let reading = record.clone();
    let reading = thread::spawn(move || read_answers(reader, &reading));
    let mut stream = 0;
    while Instant::now() < until && record.lock().expect("the record").ended.is_none() {
        thread::sleep(Duration::from_millis(random.random_range(REQUEST_INTERVAL_MS)));
        let is_open = |request: &&Written| request.answers.is_empty();
        if record.lock().expect("the record").requests.iter().filter(is_open).count() >= MAX_OPEN_REQUESTS {
            continue;
        }
        stream += 1;
        let deadline = random.random_range(DEADLINE_MS);
        let (id, object) = (format!("{client:08x}{stream:08x}"), format!("{:016x}", random.random::<u64>()));
        let text = deadline.to_string();
        let fields = [("c", "booking"), ("i", &*id), ("o", &*object), ("d", &*text)];
        let bytes = request(stream, &fields, &vec![7; random.random_range(0..=MAX_BODY_BYTES)]);
        let is_slow = client.is_multiple_of(SLOW_CLIENT_INTERVAL);
        let first = if is_slow { random.random_range(1..bytes.len()) } else { 0 };
        let mut written = connection.stream.write_all(&bytes[..first]);
        if is_slow && written.is_ok() {
            thread::sleep(Duration::from_millis(random.random_range(WRITE_PAUSE_MS)));
        }
        // The answer may arrive before this thread goes on: the request is recorded first.
        let mut locked = record.lock().expect("the record");
        let deadline = Duration::from_millis(deadline);
        let position = locked.requests.len();
        locked.requests.push(Written { stream, at: Instant::now(), deadline, answers: Vec::new() });
        drop(locked);
        written = written.and_then(|()| connection.stream.write_all(&bytes[first..]));
        let mut locked = record.lock().expect("the record");
        match written {
            Ok(()) => locked.requests[position].at = Instant::now(),
            Err(_) => _ = locked.requests.remove(position),
        }
    }
    thread::sleep(SETTLE);
    let ended = record.lock().expect("the record").ended.take();
    let _ = connection.stream.shutdown(Shutdown::Both);
    reading.join().expect("no panic");
    let mut record = record.lock().expect("the record");
    ClientRecord { requests: std::mem::take(&mut record.requests), ended }
}

/// What is wrong with the answers to a request, if anything.
fn fault_of(request: &Written) -> Option<String> {
    match request.answers[..] {
        [] => Some("no answer".to_string()),
        [(at, code)] => {
            let late = at.saturating_duration_since(request.at + request.deadline);
            (late > MAX_LATE).then(|| format!("answered {code} {late:?} after its deadline"))
        }
        _ => Some(format!("{} answers", request.answers.len())),
    }
}

/// Guards against requests that are lost, answered too late or answered twice while bodies fill the buffers.
#[test]
fn no_request_is_lost_with_little_memory_under_seeded_faults() {
    let seed = setting("LINNETHOOK_SOAK_SEED", DEFAULT_SEED);
    let length = Duration::from_secs(setting("LINNETHOOK_SOAK_SECONDS", DEFAULT_SECONDS));
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let (a, b, parent) = (echo("a"), echo("b"), echo("parent"));
    let origin = FaultyOrigin::start(None, seed);
    let targets = ready_endpoints(a.address, b.address, parent.address, origin.address);
    let events = vec![json!({"hosts": {"rev": 1, "all": true, "targets": targets}})];
    let journal = Journal::start("127.0.0.1:0", events).expect("the journal listens");
    let memory_mb = random.random_range(MEMORY_MB);
    let change = |config: &mut serde_json::Value| config["limits"]["memory_mb"] = json!(memory_mb);
    let router = Router::start_with(&journal, change, None, None);
    let until = Instant::now() + length;
    let records: Vec<ClientRecord> = thread::scope(|scope| {
        let address = router.address;
        let clients: Vec<_> = (1..=CLIENTS)
            .map(|client| scope.spawn(move || book(address, client, seed * 1_000, until)))
            .collect();
        while Instant::now() < until {
            thread::sleep(Duration::from_millis(random.random_range(QUIET_MS)));
            let slow = random.random_range(0..3) == 0;
            origin.begin(if slow { OriginFault::Slow } else { OriginFault::Pause });
            thread::sleep(Duration::from_millis(random.random_range(FAULT_MS)));
            origin.end_fault();
        }
        clients.into_iter().map(|client| client.join().expect("no panic")).collect()
    });
    let (_, log) = router.counters();
    let short = log.iter().filter(|line| line.contains("buffers are short")).count();
    let codes = records.iter().flat_map(|record| &record.requests).flat_map(|request| &request.answers);
    let rejected = codes.filter(|(_, code)| *code == REJECTED).count();
    let requests = records.iter().map(|record| record.requests.len()).sum::<usize>();
    println!(
        "seed {seed}, {memory_mb} MB: {requests} requests, {rejected} rejected, {short} lines of shortage"
    );
    println!("{}", router.counters_line());
    assert!(short > 0, "buffers were never short");
    let ended: Vec<&String> = records.iter().filter_map(|record| record.ended.as_ref()).collect();
    assert!(ended.is_empty(), "connections ended: {ended:?}");
    let faults = records.iter().flat_map(|record| &record.requests).filter_map(fault_of);
    let faults: Vec<String> = faults.collect();
    assert!(faults.is_empty(), "{} of {requests}: {:?}", faults.len(), &faults[..faults.len().min(5)]);
}
