//! A seeded soak of a fleet of router processes under random, overlapping faults: system calls that fail, a wall
//! clock that is stepped, caches that fail, reset and fall silent, clients that leave, signals in series, and
//! restarts in which the kill comes at the page's earliest while clients go on using open connections. Judged by
//! what clients and servers have recorded.
//!
//! `LINNETHOOK_SOAK_SECONDS` sets its length, `LINNETHOOK_SOAK_SEED` its first seed and `LINNETHOOK_SOAK_SEEDS` the
//! number of seeds.

mod common;

use std::collections::HashMap;
use std::fmt;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::str::FromStr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::fault_plan::FaultPlan;
use common::soak_client::{SoakClient, SoakRecord, SoakRequest};
use common::timestamped_server::{serve_and_keep, AcceptedConnections};
use common::*;
use linnethook_fault_shim::plan::Call;
use linnethook_quickstart::client::request;
use linnethook_quickstart::{Answer, Journal};
use linnethook_testbed::recording::{now as unix_now, Ms};
use nix::libc::{EADDRNOTAVAIL, ECONNABORTED, EINTR, EIO, EMFILE, ENETUNREACH, ENFILE, ENOBUFS, ENOMEM};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};

const DEFAULT_SECONDS: u64 = 15;
const DEFAULT_SEED: u64 = 2;
const DEFAULT_SEEDS: u64 = 2;
const ROUTERS: u32 = 24;
const CLIENTS_PER_ROUTER: u32 = 3;
const CACHES: u64 = 6;
const MAX_DEADLINE: Duration = Duration::from_millis(600);
const DEADLINE_MS: std::ops::RangeInclusive<u64> = 250..=600;
const REQUEST_INTERVAL_MS: std::ops::Range<u64> = 15..60;
const LIFETIME_MS: std::ops::Range<u64> = 1_500..4_000;
const FAULT_MS: std::ops::Range<u64> = 40..300;
const QUIET_MS: std::ops::Range<u64> = 50..700;
/// SIGKILL comes so long after SIGTERM, at the page's earliest.
const KILL_AFTER: Duration = Duration::from_millis(600 + 700);
/// New connections come for so long after SIGTERM.
const NEW_CONNECTIONS_MS: std::ops::Range<u64> = 20..350;
/// An answer later than its deadline by more than this is lost; every time limit is longer by the slack.
const MAX_LATE: Duration = Duration::from_millis(500 + 50);
/// A request that crosses the close of a connection without open requests within this time is sent again.
const CROSSING: Duration = Duration::from_millis(50);
/// An attempt may begin so long after its client has left, with the slack.
const MAX_BEGIN_AFTER_END: Duration = Duration::from_millis(100 + 50);
/// The deadline passed on may be longer than what the client has left by this.
const DEADLINE_SLACK_MS: f64 = 150.0;
/// One of so many seeds has a crowd of clients that write requests of many short fields and read nothing.
const CROWD_INTERVAL: u64 = 3;
const CROWD: usize = 40;
/// So many requests that broke a rule are shown.
const MAX_SHOWN: usize = 12;

/// An attempt as a server has received it.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: Instant,
    /// The deadline passed on, in milliseconds.
    passed_on: f64,
    /// Whether it was executed; an attempt that is answered as `full` was not.
    is_executed: bool,
}

type Arrivals = Arc<Mutex<HashMap<String, Vec<Arrival>>>>;

fn setting<T: FromStr>(name: &str, default: T) -> T {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// The present time on both clocks, to compare kernel time stamps with those of clients.
#[derive(Debug, Clone, Copy)]
struct Clocks {
    instant: Instant,
    unix_ms: Ms,
}

impl Clocks {
    fn now() -> Self {
        Self { instant: Instant::now(), unix_ms: unix_now() }
    }

    fn instant_of(self, unix_ms: Ms) -> Instant {
        self.instant + Duration::from_secs_f64((unix_ms - self.unix_ms).max(0.0) / 1_000.0)
    }
}

/// A server that records what reaches this machine for it, and answers late, with errors, or never, at random.
fn server(seed: u64, clocks: Clocks, arrivals: &Arrivals, accepted: &AcceptedConnections) -> SocketAddr {
    let random = Mutex::new(Pcg64Mcg::seed_from_u64(seed));
    let arrivals = arrivals.clone();
    let handler = move |at: Ms, id: &str, fields: &Fields| {
        let (draw, delay) = {
            let mut random = random.lock().expect("the random numbers");
            (random.random_range(0..100), random.random_range(0..20))
        };
        let passed_on = fields["ms"].parse().expect("a number");
        let arrival = Arrival { at: clocks.instant_of(at), passed_on, is_executed: !matches!(draw, 3 | 4) };
        arrivals.lock().expect("the arrivals").entry(id.to_string()).or_default().push(arrival);
        thread::sleep(Duration::from_millis(delay));
        match draw {
            0 => None,
            1 | 2 => Some(Answer::with_status("failed")),
            3 | 4 => Some(Answer::with_status("full")),
            _ => Some(Answer::data("served")),
        }
    };
    let listener = TcpListener::bind("127.0.0.1:0").expect("it listens");
    serve_and_keep(listener, Arc::new(handler), Some(accepted.clone()))
}

/// The servers that all routers of a run use.
struct Servers {
    accepted: AcceptedConnections,
    journal: Mutex<Journal>,
    arrivals: Arrivals,
    bookings: Arrivals,
}

impl Servers {
    fn start(seed: u64) -> Self {
        let (arrivals, bookings) = (Arrivals::default(), Arrivals::default());
        let (accepted, clocks) = (AcceptedConnections::default(), Clocks::now());
        let start = |n: u64, arrivals| server(seed * 100 + n, clocks, arrivals, &accepted);
        let mut targets = vec![
            endpoint("parent", start(50, &arrivals), "Ready"),
            endpoint("origin", start(51, &bookings), "Ready"),
        ];
        for n in 0..CACHES {
            let mut target = endpoint("cache-a", start(n, &arrivals), "Ready");
            target["uid"] = json!(format!("cache-{n}"));
            targets.push(target);
        }
        let events = vec![json!({"hosts": {"rev": 1, "all": true, "targets": targets}})];
        let journal = Journal::start("127.0.0.1:0", events).expect("the journal listens");
        Self { accepted, journal: Mutex::new(journal), arrivals, bookings }
    }

    /// Closes connections of the servers at random until the end.
    fn close_connections(&self, seed: u64, until: Instant) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        while Instant::now() < until {
            thread::sleep(Duration::from_millis(random.random_range(5..80)));
            let mut accepted = self.accepted.lock().expect("the connections");
            if !accepted.is_empty() {
                let n = random.random_range(0..accepted.len());
                let _ = accepted.swap_remove(n).shutdown(Shutdown::Both);
            }
        }
    }
}

impl Drop for Servers {
    /// Ends the threads that serve connections, for the next seed.
    fn drop(&mut self) {
        for connection in self.accepted.lock().expect("the connections").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

/// Lets a router's calls fail at random until the end of its life.
fn fail_calls(plan: &FaultPlan, router: Pid, seed: u64, is_over: &AtomicBool) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    while !is_over.load(Ordering::Relaxed) {
        for _ in 0..random.random_range(1..4) {
            let per_thousand = random.random_range(100..700);
            match random.random_range(0..10) {
                0 => plan.fail_randomly(Call::Accept, per_thousand, &[ENFILE, EMFILE, ENOBUFS, ECONNABORTED]),
                1 => plan.fail_randomly(Call::Socket, per_thousand, &[ENFILE, ENOBUFS, EMFILE]),
                2 => plan.fail_randomly(Call::Connect, per_thousand, &[EADDRNOTAVAIL, ENETUNREACH, ENOBUFS]),
                3 => plan.fail_randomly(Call::Receive, per_thousand, &[EINTR, ENOMEM]),
                4 => plan.fail_randomly(Call::Send, per_thousand, &[EINTR, ENOBUFS, ENOMEM]),
                5 => plan.shorten(Call::Receive, per_thousand),
                6 => plan.shorten(Call::Send, per_thousand),
                7 => plan.fail_randomly(Call::SetOption, per_thousand, &[ENOBUFS, ENOMEM]),
                8 => plan.fail_randomly(Call::Open, per_thousand, &[ENFILE, EIO]),
                _ => plan.fail_randomly(Call::Read, per_thousand, &[EINTR, EIO]),
            }
        }
        if random.random_range(0..4) == 0 {
            plan.step_clock([-3_600, -5, 0, 5, 3_600][random.random_range(0..5)]);
        }
        if random.random_range(0..3) == 0 {
            (0..random.random_range(1..4)).for_each(|_| _ = kill(router, Signal::SIGHUP));
        }
        thread::sleep(Duration::from_millis(random.random_range(FAULT_MS)));
        plan.succeed_all();
        thread::sleep(Duration::from_millis(random.random_range(QUIET_MS)));
    }
}

/// Sends requests on open connections until the router ends them; now and then the client leaves.
fn use_router(router: SocketAddr, prefix: &AtomicU32, seed: u64, latest: &Mutex<Instant>) -> Vec<SoakRecord> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut records = Vec::new();
    loop {
        let Some(mut client) = SoakClient::connect(router, prefix.fetch_add(1, Ordering::Relaxed)) else {
            return records;
        };
        let leaves = random.random_range(0..4) == 0;
        let requests = if leaves { random.random_range(1..30) } else { u32::MAX };
        for _ in 0..requests {
            let class = if random.random_range(0..3) == 0 { "booking" } else { "page" };
            let deadline = Duration::from_millis(random.random_range(DEADLINE_MS));
            client.send(&mut random, class, deadline);
            thread::sleep(Duration::from_millis(random.random_range(REQUEST_INTERVAL_MS)));
            if client.has_ended() || Instant::now() > *latest.lock().expect("the end") {
                break;
            }
        }
        let has_ended = client.has_ended();
        let end = *latest.lock().expect("the end");
        if leaves && !has_ended {
            records.push(client.leave());
        } else {
            records.push(client.finish(end));
            return records;
        }
    }
}

/// Connects while the router shuts down, and sends a few requests.
fn use_while_draining(router: SocketAddr, prefix: u32, seed: u64, latest: Instant) -> Option<SoakRecord> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    thread::sleep(Duration::from_millis(random.random_range(NEW_CONNECTIONS_MS)));
    let mut client = SoakClient::connect(router, prefix)?;
    for class in ["booking", "page", "booking"] {
        client.send(&mut random, class, MAX_DEADLINE);
    }
    Some(client.finish(latest))
}

/// Clients that write requests of many short fields and most of another one, and read nothing.
fn crowd(router: SocketAddr) -> Vec<TcpStream> {
    let names: Vec<String> = (0..255).map(|n| format!("{n:x}")).collect();
    let fields: Vec<(&str, &str)> = names.iter().map(|name| (&**name, "1")).collect();
    let one = request(1, &fields, b"");
    let connect = |_| {
        let mut stream = TcpStream::connect(router).ok()?;
        for stream_number in 1..=14 {
            stream.write_all(&request(stream_number, &fields, b"")).ok()?;
        }
        stream.write_all(&one[..one.len() - 20]).ok()?;
        Some(stream)
    };
    (0..CROWD).filter_map(connect).collect()
}

/// One router after another until the end, each shut down by SIGTERM and killed at the page's earliest.
fn run_slot(servers: &Servers, slot: u32, seed: u64, prefix: &AtomicU32, until: Instant) -> Vec<SoakRecord> {
    let mut random = Pcg64Mcg::seed_from_u64(seed * 1_000 + u64::from(slot));
    let mut records = Vec::new();
    while Instant::now() < until {
        let plan = FaultPlan::new(random.random());
        let change = |config: &mut Value| {
            config["name"] = json!(format!("n{slot}"));
            for grade in config["settings"]["grades"].as_array_mut().expect("classes") {
                grade["deadline"] = json!(MAX_DEADLINE.as_millis() as u64);
                grade["objective"] = json!(200);
            }
            config["settings"]["balancers"] = json!(ROUTERS);
        };
        let mut router = {
            let journal = servers.journal.lock().expect("the journal");
            Router::start_with_faults(&journal, change, None, &plan)
        };
        let process = router.process_id();
        let (address, is_over) = (router.address, AtomicBool::new(false));
        let far = Instant::now() + Duration::from_secs(60);
        let latest = Mutex::new(far);
        let has_crowd = seed.is_multiple_of(CROWD_INTERVAL) && slot.is_multiple_of(4);
        let seeds: Vec<u64> = (0..8).map(|_| random.random()).collect();
        thread::scope(|scope| {
            let faults = scope.spawn(|| fail_calls(&plan, process, seeds[0], &is_over));
            let clients: Vec<_> = (0..CLIENTS_PER_ROUTER as usize)
                .map(|n| (seeds[n + 1], &latest))
                .map(|(seed, latest)| scope.spawn(move || use_router(address, prefix, seed, latest)))
                .collect();
            let crowd = if has_crowd { crowd(address) } else { Vec::new() };
            thread::sleep(Duration::from_millis(random.random_range(LIFETIME_MS)));
            if random.random_range(0..3) == 0 {
                router.signal(Signal::SIGHUP);
            }
            router.signal(Signal::SIGTERM);
            let kill_at = Instant::now() + KILL_AFTER;
            *latest.lock().expect("the end") = kill_at + Duration::from_millis(200);
            if random.random_range(0..2) == 0 {
                router.signal(Signal::SIGTERM);
            }
            let late: Vec<_> = (0..2)
                .map(|n| (prefix.fetch_add(1, Ordering::Relaxed), seeds[n + 5]))
                .map(|(prefix, seed)| scope.spawn(move || use_while_draining(address, prefix, seed, kill_at)))
                .collect();
            thread::sleep(kill_at.saturating_duration_since(Instant::now()));
            is_over.store(true, Ordering::Relaxed);
            faults.join().expect("no panic");
            drop(crowd);
            for client in clients {
                records.extend(client.join().expect("no panic"));
            }
            records.extend(late.into_iter().filter_map(|client| client.join().expect("no panic")));
        });
        router.kill();
        let log = router.remaining_log();
        let violations: Vec<&String> = log
            .iter()
            .filter(|line| line.contains("is_violation=true") || line.contains("panicked"))
            .chain(
                log.iter().filter(|line| line.contains(" violations=") && !line.contains(" violations=0 ")),
            )
            .collect();
        assert!(violations.is_empty(), "seed {seed}, slot {slot}: {violations:?}");
    }
    records
}

/// What is wrong with a request, if anything.
fn fault_of(request: &SoakRequest, ended_at: Option<Instant>, servers: &Servers) -> Option<String> {
    let of = |arrivals: &Arrivals| {
        arrivals.lock().expect("the arrivals").get(&request.id).cloned().unwrap_or_default()
    };
    let (arrivals, bookings) = (of(&servers.arrivals), of(&servers.bookings));
    let executed = bookings.iter().filter(|booking| booking.is_executed).count();
    if executed > 1 {
        return Some(format!("executed {executed} times"));
    }
    for arrival in arrivals.iter().chain(&bookings) {
        let end = request.given_up_at;
        let late = end.map(|end| arrival.at.saturating_duration_since(end)).unwrap_or_default();
        if late > MAX_BEGIN_AFTER_END {
            return Some(format!("begun {late:?} after its client had left"));
        }
        let elapsed = arrival.at.saturating_duration_since(request.written_at);
        let left = (request.deadline.as_secs_f64() - elapsed.as_secs_f64()) * 1_000.0;
        if arrival.passed_on > left + DEADLINE_SLACK_MS && elapsed < request.deadline {
            return Some(format!("{} ms passed on, {left:.0} ms left", arrival.passed_on));
        }
    }
    if request.given_up_at.is_some() {
        return None;
    }
    match request.answers[..] {
        [] => {
            let crosses = ended_at.is_some_and(|end| request.written_at + CROSSING >= end);
            (!crosses).then(|| {
                let before = ended_at.map(|end| end.saturating_duration_since(request.written_at));
                format!("no answer; the connection ended {before:?} later")
            })
        }
        [(_, REJECTED)] if executed > 0 => Some("refused, but executed".to_string()),
        [(at, code)] => {
            let late = at.saturating_duration_since(request.written_at + request.deadline);
            (late > MAX_LATE).then(|| format!("answered {code} {late:?} after its deadline"))
        }
        _ => Some(format!("{} answers", request.answers.len())),
    }
}

/// What was found with one seed.
struct Findings {
    seed: u64,
    requests: usize,
    /// A line for each request that broke a rule.
    broken: Vec<String>,
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { seed, requests, broken } = self;
        write!(
            f,
            "seed {seed}: {} of {requests}: {:#?}",
            broken.len(),
            &broken[..broken.len().min(MAX_SHOWN)]
        )
    }
}

fn soak(seed: u64, length: Duration) -> Findings {
    let servers = Servers::start(seed);
    let until = Instant::now() + length;
    let prefix = AtomicU32::new(1);
    let records: Vec<SoakRecord> = thread::scope(|scope| {
        scope.spawn(|| servers.close_connections(seed, until));
        let (servers, prefix) = (&servers, &prefix);
        let slots: Vec<_> = (0..ROUTERS)
            .map(|slot| scope.spawn(move || run_slot(servers, slot, seed, prefix, until)))
            .collect();
        slots.into_iter().flat_map(|slot| slot.join().expect("no panic")).collect()
    });
    let requests: usize = records.iter().map(|record| record.requests.len()).sum();
    let answers = records.iter().flat_map(|record| &record.requests).flat_map(|request| &request.answers);
    let mut codes = [0; 4];
    answers.for_each(|(_, code)| codes[usize::from(*code).min(3)] += 1);
    let judged = records.iter().flat_map(|record| {
        record.requests.iter().filter_map(|request| {
            let fault = fault_of(request, record.ended_at, &servers)?;
            Some(format!("{} {}: {fault}", request.class, request.id))
        })
    });
    let broken: Vec<String> = judged.collect();
    println!(
        "seed {seed}: {} connections, {requests} requests, {} served, {} refused, {} failed, {} broken",
        records.len(),
        codes[1],
        codes[2],
        codes[3],
        broken.len()
    );
    Findings { seed, requests, broken }
}

/// Guards against requests that are lost, answered twice or too late, run twice, refused though they ran, or begun
/// after their client has left, whichever faults come together.
#[test]
fn a_fleet_keeps_its_rules_under_random_overlapping_faults() {
    let length = Duration::from_secs(setting("LINNETHOOK_SOAK_SECONDS", DEFAULT_SECONDS));
    let first = setting("LINNETHOOK_SOAK_SEED", DEFAULT_SEED);
    let seeds = first..first + setting("LINNETHOOK_SOAK_SEEDS", DEFAULT_SEEDS);
    let findings = seeds.map(|seed| soak(seed, length)).filter(|findings| !findings.broken.is_empty());
    let findings: Vec<String> = findings.map(|findings| findings.to_string()).collect();
    assert!(findings.is_empty(), "{}", findings.join("\n"));
}
