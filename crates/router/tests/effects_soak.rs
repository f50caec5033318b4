//! Seeded soaks of "no effect happens twice": bookings under faults of the origin drawn from a seed, judged from
//! what the origin executed and what the clients were answered.
//!
//! `LINNETHOOK_SOAK_SECONDS` sets the length of each, and `LINNETHOOK_SOAK_SEED` the seed.

mod common;

use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr};
use std::str::FromStr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::faulty_origin::{FaultyOrigin, OriginFault};
use common::*;
use linnethook_quickstart::{Client, Journal};
use linnethook_testbed::recording::Ms;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};

const DEFAULT_SECONDS: u64 = 20;
const DEFAULT_SEED: u64 = 1;
/// Connections of clients, each with at most 32 open requests.
const CLIENTS: usize = 24;
/// The pause between two bookings of a client.
const BOOKING_INTERVAL_MS: std::ops::Range<u64> = 20..120;
const DEADLINE_MS: std::ops::Range<u64> = 400..3_000;
/// How long a fault lasts, and the time to the next one.
const FAULT_MS: std::ops::Range<u64> = 100..1_800;
const QUIET_MS: std::ops::Range<u64> = 100..700;
const MAX_BODY_BYTES: usize = 48_000;
/// With this limit the router opens 12 connections to one endpoint, and shares them.
const DESCRIPTORS: usize = 96;
/// How long the origin remembers a key.
const WINDOW_MS: Ms = 1_000.0;
/// Every time limit is longer by this on sockets.
const SLACK_MS: Ms = 50.0;
/// After the last booking: the longest deadline, and a margin.
const SETTLE: Duration = Duration::from_millis(3_300);

/// What the clients of a soak were answered, by request id.
type Answers = Arc<Mutex<HashMap<String, Vec<u8>>>>;

fn setting<T: FromStr>(name: &str, default: T) -> T {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// The id of a client's n-th booking.
fn id_of(client: usize, n: usize) -> String {
    format!("{:016x}", (client + 1) << 32 | n)
}

/// Books at random until the end, on a new connection where the router closes one.
fn book(router: SocketAddr, client: usize, seed: u64, until: Instant, answers: &Answers) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut n = 0;
    while Instant::now() < until {
        let Ok(mut connection) = Client::connect(router) else { return };
        let Ok(stream) = connection.stream.try_clone() else { return };
        let mut reader = Client { stream };
        let (first, answers) = (n, answers.clone());
        let reading = thread::spawn(move || {
            while let Ok(frame) = reader.read() {
                if frame.kind == 66 && frame.stream > 0 {
                    let id = id_of(client, first + frame.stream as usize - 1);
                    answers.lock().expect("answers").entry(id).or_default().push(frame.code);
                }
            }
        });
        for stream in 1..=24 {
            let deadline = random.random_range(DEADLINE_MS).to_string();
            let id = id_of(client, n);
            let object = format!("{:016x}", random.random_range(0..1_000u64));
            let fields =
                [("c", "booking"), ("i", id.as_str()), ("o", object.as_str()), ("d", deadline.as_str())];
            let body = vec![7; random.random_range(0..MAX_BODY_BYTES)];
            if Instant::now() >= until || connection.ask(stream, &fields, &body).is_err() {
                break;
            }
            n += 1;
            thread::sleep(Duration::from_millis(random.random_range(BOOKING_INTERVAL_MS)));
        }
        thread::sleep(SETTLE);
        let _ = connection.stream.shutdown(Shutdown::Both);
        let _ = reading.join();
    }
}

/// Runs a soak with faults drawn from `faults`; returns the origin and the answers.
fn soak(
    faults: &[OriginFault],
    keys: bool,
    change: impl Fn(&mut Value),
) -> (FaultyOrigin, HashMap<String, Vec<u8>>) {
    let seed = setting("LINNETHOOK_SOAK_SEED", DEFAULT_SEED);
    let length = Duration::from_secs(setting("LINNETHOOK_SOAK_SECONDS", DEFAULT_SECONDS));
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let (a, b, parent) = (echo("a"), echo("b"), echo("parent"));
    let origin = FaultyOrigin::start(keys.then_some(WINDOW_MS), seed);
    let targets = ready_endpoints(a.address, b.address, parent.address, origin.address);
    let events = vec![json!({"hosts": {"rev": 1, "all": true, "targets": targets}})];
    let journal = Journal::start("127.0.0.1:0", events).expect("the journal listens");
    let router = Router::start_with(&journal, change, None, None);
    let answers: Answers = Arc::default();
    let until = Instant::now() + length;
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (answers, address) = (&answers, router.address);
            scope.spawn(move || book(address, client, seed * 1_000 + client as u64, until, answers));
        }
        while Instant::now() < until {
            thread::sleep(Duration::from_millis(random.random_range(QUIET_MS)));
            origin.begin(faults[random.random_range(0..faults.len())]);
            thread::sleep(Duration::from_millis(random.random_range(FAULT_MS)));
            origin.end_fault();
        }
    });
    let answers = answers.lock().expect("answers").clone();
    (origin, answers)
}

fn assert_one_answer_each(answers: &HashMap<String, Vec<u8>>) {
    let several: Vec<_> = answers.iter().filter(|(_, codes)| codes.len() > 1).collect();
    assert!(several.is_empty(), "several answers: {several:?}");
}

/// The origin stands still, reads slowly, resets connections, and new ones come up late: no booking that was
/// rejected is executed, and none twice.
#[test]
fn no_rejected_booking_is_executed_under_seeded_faults() {
    let faults = [OriginFault::Pause, OriginFault::Slow, OriginFault::Reset, OriginFault::HoldConnections];
    let (origin, answers) = soak(&faults, false, |config| {
        config["limits"]["sockets"] = json!(DESCRIPTORS);
    });
    assert_one_answer_each(&answers);
    let executions = origin.executions();
    let count = |code: u8| answers.values().filter(|codes| codes[..] == [code]).count();
    println!("served {}, rejected {}, failed {}", count(SERVED), count(REJECTED), count(FAILED));
    assert!(count(REJECTED) > 0 && count(SERVED) > 0 && count(FAILED) > 0, "the faults had no effect");
    for (id, times) in &executions {
        assert_eq!(times.len(), 1, "{id} was executed several times");
        let code = answers.get(id).and_then(|codes| codes.first());
        assert_ne!(code, Some(&REJECTED), "{id} was rejected and executed");
    }
}

/// Answers get lost, connections are reset and new ones come up late, also later than the window of a key: no
/// booking is sent to the origin after the window, and none is executed twice.
#[test]
fn no_repeat_is_sent_after_its_window_under_seeded_faults() {
    let faults = [OriginFault::LoseAnswers, OriginFault::Reset, OriginFault::HoldConnections];
    let (origin, answers) = soak(&faults, true, |config| {
        config["settings"]["allowed"]["connect-timeout"] = json!(1_500);
        let class = &mut config["settings"]["grades"][2];
        class["effect"] = json!("idempotency_key");
        class["dedup-scope"] = json!("all");
        class["window"] = json!(WINDOW_MS);
    });
    assert_one_answer_each(&answers);
    let arrivals = origin.arrivals();
    let repeated = arrivals.values().filter(|times| times.len() > 1).count();
    println!("{} bookings arrived, {repeated} of them several times", arrivals.len());
    assert!(repeated > 0, "the faults had no effect");
    for (id, times) in &arrivals {
        let late = times.iter().map(|at| at - times[0]).find(|after| *after > WINDOW_MS + SLACK_MS);
        assert!(late.is_none(), "{id} was repeated {late:?} ms after its first attempt");
    }
    let twice: Vec<_> = origin.executions().into_iter().filter(|(_, times)| times.len() > 1).collect();
    assert!(twice.is_empty(), "executed several times: {twice:?}");
}
