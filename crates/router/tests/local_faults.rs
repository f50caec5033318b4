//! System calls of the router that fail for a moment: no request is lost, nothing lasts longer than the failure,
//! and no endpoint is blamed for it.

mod common;

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use common::fault_plan::FaultPlan;
use common::*;
use linnethook_audit::record::{ChainLink, Record};
use linnethook_fault_shim::plan::Call;
use linnethook_persistence::file_store::LockedDirectory;
use linnethook_persistence::record_log::{RecordLog, RecordLogLimits};
use linnethook_quickstart::{Answer, Cache, CacheEvent, Client, Frame, Journal};
use nix::libc::{
    EADDRNOTAVAIL, EAGAIN, ECONNABORTED, EINTR, EIO, EMFILE, ENETUNREACH, ENFILE, ENOBUFS, ENOMEM, ENOSPC,
    EPROTO,
};
use nix::sys::signal::Signal;
use serde_json::json;

const SEED: u64 = 1;
/// How long calls fail.
const FAULT: Duration = Duration::from_millis(150);
/// The deadline of the requests.
const DEADLINE: Duration = Duration::from_millis(1_200);
/// A new request is answered so soon after the last failed call: caches answer at once, and nothing lasts.
const RECOVERY: Duration = Duration::from_millis(500);

/// A fleet whose router's system calls fail as planned.
fn faulty_fleet(a: Cache, b: Cache, origin: Cache, plan: &FaultPlan) -> Fleet {
    let parent = echo("parent");
    let targets = ready_endpoints(a.address, b.address, parent.address, origin.address);
    let events = vec![json!({"hosts": {"rev": 1, "all": true, "targets": targets}})];
    let journal = Journal::start("127.0.0.1:0", events).expect("the journal listens");
    let router = Router::start_with_faults(&journal, |_| {}, None, plan);
    Fleet { a, b, parent, origin, journal, router }
}

/// Sends a request on a stream.
fn ask(client: &mut Client, class: &str, stream: u32, object: u64) {
    let (id, object) = (format!("{object:08x}{stream:08x}"), format!("{object:016x}"));
    let deadline = DEADLINE.as_millis().to_string();
    let fields = [("c", class), ("i", &*id), ("o", &*object), ("d", &*deadline)];
    client.ask(stream, &fields, b"").expect("sent");
}

/// The answer to the only open request, with the time that it took.
fn answer(client: &mut Client) -> (Duration, Frame) {
    let since = Instant::now();
    let frame = client.read().expect("an answer");
    (since.elapsed(), frame)
}

/// Guards against new connections that wait for seconds after accepts failed for a moment.
#[test]
fn accepts_that_fail_for_a_moment_delay_no_request_past_its_deadline() {
    for errors in [&[ENFILE, EMFILE][..], &[ENOBUFS, ENOMEM], &[EPROTO, ENETUNREACH, ECONNABORTED, EINTR]] {
        let plan = FaultPlan::new(SEED);
        let fleet = faulty_fleet(echo("a"), echo("b"), echo("origin"), &plan);
        // Others are connected: the router can't tell that it is not itself short of descriptors.
        let mut others: Vec<Client> = (0..8).map(|_| fleet.router.client()).collect();
        others.iter_mut().for_each(|other| other.ask_ready(1).expect("sent"));
        others.iter_mut().for_each(|other| _ = other.read().expect("ready"));
        // The caches hold all objects, so that a burst of requests needs no fills.
        for n in 0..150 {
            ask(&mut others[0], "page", 2 + n, u64::from(n));
            assert_eq!(answer(&mut others[0]).1.code, SERVED);
        }
        plan.fail_randomly(Call::Accept, 700, errors);
        let clients: Vec<_> = (0..150)
            .map(|n| {
                let address = fleet.router.address;
                thread::spawn(move || {
                    // One a millisecond: the caches could serve all of them.
                    thread::sleep(Duration::from_millis(n));
                    let mut client = Client::connect(address).expect("a connection");
                    ask(&mut client, "page", 1, n);
                    answer(&mut client)
                })
            })
            .collect();
        thread::sleep(FAULT);
        plan.succeed(Call::Accept);
        for client in clients {
            let (took, frame) = client.join().expect("an answer");
            assert!(took < DEADLINE, "{errors:?}: answered {} after {took:?}", frame.code);
            assert_eq!(frame.code, SERVED, "{errors:?}");
        }
        assert!(plan.failures(Call::Accept) > 0);
        let mut client = fleet.router.client();
        ask(&mut client, "page", 1, 7);
        assert!(answer(&mut client).0 < RECOVERY, "{errors:?}");
    }
}

/// Guards against clients that are disconnected since accepts failed for a moment.
#[test]
fn a_descriptor_failure_of_a_moment_closes_no_idle_client() {
    let plan = FaultPlan::new(SEED);
    let fleet = faulty_fleet(echo("a"), echo("b"), echo("origin"), &plan);
    let mut idle: Vec<Client> = (0..40).map(|_| fleet.router.client()).collect();
    for client in &mut idle {
        client.ask_ready(1).expect("sent");
        client.read().expect("ready");
    }
    thread::sleep(FAULT);
    for call in [Call::Accept, Call::Open] {
        plan.fail_randomly(call, 1_000, &[ENFILE]);
    }
    fleet.router.signal(Signal::SIGHUP);
    let late: Vec<Client> = (0..40).map(|_| fleet.router.client()).collect();
    thread::sleep(Duration::from_millis(8));
    plan.succeed_all();
    thread::sleep(FAULT);
    for (client, n) in idle.iter_mut().zip(1..) {
        ask(client, "page", 2, n);
        assert_eq!(answer(client).1.code, SERVED);
    }
    drop(late);
}

/// Guards against answers that are lost since a write to their client failed for a moment.
#[test]
fn a_write_to_a_client_that_fails_for_a_moment_loses_no_answer() {
    for error in [ENOBUFS, ENOMEM, EINTR] {
        let plan = FaultPlan::new(SEED);
        let fleet = faulty_fleet(manual(), manual(), manual(), &plan);
        let mut client = fleet.router.client();
        ask(&mut client, "booking", 1, 5);
        let (connection, id, ..) = next_request(&fleet.origin);
        plan.fail_from(Call::Send, 1, &[error]);
        fleet.origin.answer(connection, &id, &Answer::data("done")).expect("answered");
        thread::sleep(FAULT);
        plan.succeed(Call::Send);
        let (took, frame) = answer(&mut client);
        assert_eq!((frame.code, &*frame.body), (SERVED, &b"done"[..]), "errno {error}");
        assert!(took < RECOVERY, "errno {error}: {took:?}");
    }
}

/// Guards against requests that are lost since a read from their client failed for a moment.
#[test]
fn a_read_from_a_client_that_fails_for_a_moment_loses_no_request() {
    for error in [ENOBUFS, ENOMEM, EINTR] {
        let plan = FaultPlan::new(SEED);
        let fleet = faulty_fleet(echo("a"), echo("b"), echo("origin"), &plan);
        let mut client = fleet.router.client();
        client.ask_ready(1).expect("sent");
        client.read().expect("ready");
        plan.fail_from(Call::Receive, plan.calls(Call::Receive) + 1, &[error]);
        ask(&mut client, "booking", 2, 5);
        thread::sleep(FAULT);
        plan.succeed(Call::Receive);
        let (took, frame) = answer(&mut client);
        assert_eq!(frame.code, SERVED, "errno {error}");
        assert!(took < RECOVERY, "errno {error}: {took:?}");
    }
}

/// Guards against a booking that fails since the router could not read or write its connection to the origin
/// for a moment.
#[test]
fn transfers_with_an_endpoint_that_fail_for_a_moment_fail_no_request() {
    for error in [ENOBUFS, ENOMEM, EINTR] {
        for call in [Call::Send, Call::Receive] {
            let plan = FaultPlan::new(SEED);
            let fleet = faulty_fleet(manual(), manual(), manual(), &plan);
            let mut client = fleet.router.client();
            // The connection to the origin exists.
            ask(&mut client, "booking", 1, 4);
            let (connection, id, ..) = next_request(&fleet.origin);
            fleet.origin.answer(connection, &id, &Answer::data("first")).expect("answered");
            assert_eq!(answer(&mut client).1.code, SERVED);
            if call == Call::Send {
                plan.fail_from(call, 1, &[error]);
            }
            ask(&mut client, "booking", 2, 5);
            if call == Call::Send {
                thread::sleep(FAULT);
                plan.succeed(call);
            }
            let (connection, id, ..) = next_request(&fleet.origin);
            if call == Call::Receive {
                plan.fail_from(call, 1, &[error]);
            }
            fleet.origin.answer(connection, &id, &Answer::data("second")).expect("answered");
            if call == Call::Receive {
                thread::sleep(FAULT);
                plan.succeed(call);
            }
            let (took, frame) = answer(&mut client);
            assert_eq!((frame.code, &*frame.body), (SERVED, &b"second"[..]), "{call:?}, errno {error}");
            assert!(took < RECOVERY, "{call:?}, errno {error}: {took:?}");
            assert_eq!(unread_requests(&fleet.origin).len(), 0, "{call:?}, errno {error}: sent twice");
        }
    }
}

/// Guards against endpoints that are ejected, and requests that are refused, since the router itself could not
/// connect for a moment.
#[test]
fn connects_that_fail_locally_for_a_moment_count_against_no_endpoint() {
    for (call, errors) in [
        (Call::Connect, &[EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EAGAIN][..]),
        (Call::Connect, &[ENOMEM, EINTR]),
        (Call::Socket, &[ENFILE, EMFILE, ENOBUFS, ENOMEM]),
        (Call::SetOption, &[ENOBUFS, ENOMEM]),
    ] {
        let plan = FaultPlan::new(SEED);
        let fleet = faulty_fleet(echo("a"), echo("b"), echo("origin"), &plan);
        plan.fail_from(call, plan.calls(call) + 1, errors);
        let mut client = fleet.router.client();
        for stream in 1..=30 {
            let class = if stream % 3 == 0 { "booking" } else { "page" };
            ask(&mut client, class, stream, u64::from(stream));
        }
        thread::sleep(FAULT);
        plan.succeed(call);
        for _ in 1..=30 {
            let (took, frame) = answer(&mut client);
            assert_eq!(frame.code, SERVED, "{call:?} {errors:?}: stream {} after {took:?}", frame.stream);
        }
        // Both caches serve their objects as before.
        let mut by_cache = [0; 2];
        for stream in 31..=62 {
            ask(&mut client, "page", stream, u64::from(stream));
            let frame = answer(&mut client).1;
            assert_eq!(frame.code, SERVED, "{call:?} {errors:?}");
            by_cache[usize::from(frame.body.starts_with(b"b"))] += 1;
        }
        assert!(by_cache.iter().all(|count| *count > 4), "{call:?} {errors:?}: {by_cache:?}");
    }
}

/// Guards against a router that goes on with an old configuration since reading the new one failed for a moment.
#[test]
fn a_configuration_that_can_t_be_read_for_a_moment_is_read_again() {
    for (call, error) in [(Call::Open, ENFILE), (Call::Open, EIO), (Call::Read, EIO)] {
        let plan = FaultPlan::new(SEED);
        let mut fleet = faulty_fleet(echo("a"), echo("b"), echo("origin"), &plan);
        let moved = Journal::start("127.0.0.1:0", Vec::new()).expect("the journal listens");
        if call == Call::Open {
            plan.fail_from(call, 1, &[error]);
            fleet.router.reload(moved.address);
        } else {
            // The signal itself is read with the first call.
            plan.fail_from(call, plan.calls(call) + 2, &[error]);
            fleet.router.reload(moved.address);
        }
        thread::sleep(FAULT);
        plan.succeed(call);
        let polled = moved.polls.recv_timeout(RECOVERY + RECOVERY);
        assert!(polled.is_ok(), "{call:?}, errno {error}: the new journal is not polled");
    }
}

/// Guards against a router that ends with all its requests since waiting for signals failed once.
#[test]
fn a_signal_that_can_t_be_read_for_a_moment_ends_no_router() {
    for error in [EINTR, ENOMEM, EIO] {
        let plan = FaultPlan::new(SEED);
        let fleet = faulty_fleet(echo("a"), echo("b"), manual(), &plan);
        let mut client = fleet.router.client();
        ask(&mut client, "booking", 1, 5);
        let (connection, id, ..) = next_request(&fleet.origin);
        plan.fail_from(Call::Read, 1, &[error]);
        fleet.router.signal(Signal::SIGUSR1);
        thread::sleep(FAULT);
        plan.succeed(Call::Read);
        fleet.origin.answer(connection, &id, &Answer::data("done")).expect("answered");
        let frame = client.read();
        assert_eq!(frame.expect("an answer").code, SERVED, "errno {error}");
        let line = fleet.router.wait_for_log(" held_clients=");
        assert!(!line.is_empty());
    }
}

/// Guards against requests of waiting connections that are lost since accepts failed during the shutdown.
#[test]
fn accepts_that_fail_during_the_shutdown_lose_no_request() {
    let plan = FaultPlan::new(SEED);
    let mut fleet = faulty_fleet(echo("a"), echo("b"), echo("origin"), &plan);
    plan.fail_randomly(Call::Accept, 1_000, &[ENFILE, ENOBUFS]);
    fleet.router.signal(Signal::SIGTERM);
    let mut clients: Vec<Client> = (0..20).map(|_| fleet.router.client()).collect();
    clients.iter_mut().zip(1..).for_each(|(client, n)| ask(client, "booking", 1, n));
    thread::sleep(Duration::from_millis(300));
    plan.succeed(Call::Accept);
    for client in &mut clients {
        let frame = loop {
            let frame = client.read().expect("an answer");
            if frame.stream == 1 {
                break frame;
            }
        };
        assert_eq!(frame.code, SERVED);
    }
    assert!(fleet.router.wait_for_exit().success());
}

/// Guards against an audit log that ends with the first disk error, though what it took on is still owed.
#[test]
fn disk_writes_that_fail_for_a_moment_lose_no_audit_record() {
    for (call, errors) in
        [(Call::Write, &[ENOSPC, EIO][..]), (Call::Sync, &[EIO, ENOSPC]), (Call::Open, &[ENFILE, EIO])]
    {
        let directory = std::env::temp_dir().join(format!("linnethook-audit-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&directory);
        let operator = audit_operator(&directory);
        let plan = FaultPlan::new(SEED);
        let journal = audit_journal();
        let (fleet, mut router) = journal.start(&operator, &plan);
        let mut client = router.client();
        let mut book = |streams: std::ops::RangeInclusive<u32>| {
            for stream in streams {
                ask(&mut client, "booking", stream, u64::from(stream));
                assert_eq!(answer(&mut client).1.code, SERVED);
                thread::sleep(Duration::from_millis(5));
            }
        };
        book(1..=20);
        plan.fail_from(call, 1, errors);
        book(21..=120);
        thread::sleep(Duration::from_millis(600));
        assert!(plan.failures(call) > 0, "{call:?}: nothing was written meanwhile");
        plan.succeed(call);
        book(121..=140);
        router.signal(Signal::SIGTERM);
        assert!(router.wait_for_exit().success());
        let (numbers, bookings) = stored_records(&directory);
        assert_eq!(numbers, (1..=numbers.len() as u64).collect::<Vec<_>>(), "{call:?}: records are missing");
        assert_eq!(bookings, 140, "{call:?}: bookings without a record");
        drop(fleet);
        let _ = std::fs::remove_dir_all(&directory);
    }
}

/// The servers of a router with an audit log.
struct AuditServers {
    _caches: [Cache; 4],
    journal: Journal,
}

fn audit_journal() -> AuditServers {
    let caches = [echo("a"), echo("b"), echo("parent"), echo("origin")];
    let [a, b, parent, origin] = &caches;
    let targets = ready_endpoints(a.address, b.address, parent.address, origin.address);
    let events = vec![json!({"hosts": {"rev": 1, "all": true, "targets": targets}})];
    let journal = Journal::start("127.0.0.1:0", events).expect("the journal listens");
    AuditServers { _caches: caches, journal }
}

impl AuditServers {
    fn start(self, operator: &str, plan: &FaultPlan) -> (Self, Router) {
        let router = Router::start_with_faults(&self.journal, |_| {}, Some(operator), plan);
        (self, router)
    }
}

/// An operator file of a router that keeps its audit log in a directory.
fn audit_operator(directory: &Path) -> String {
    format!(
        "control(path = \"{}.sock\")\nhierarchy()\n\
         node(\"origin\", role = \"origin\", site = \"hub\", capacity = 20)\n\
         node(\"parent\", role = \"parent\", site = \"hub\", capacity = 30, sources = [\"origin\"])\n\
         node(\"cache-a\", site = \"shop\", capacity = 8, sources = [(\"parent\", 0), (\"origin\", 9)])\n\
         node(\"cache-b\", site = \"shop\", capacity = 8, sources = [(\"parent\", 0), (\"origin\", 9)])\n\
         gateway(site = \"shop\", listen = \"127.0.0.1:0\")\nfellows()\n\
         audit(folder = \"{}\", copies = 0, span = 0.2)\n",
        directory.display(),
        directory.display()
    )
}

/// The numbers of the records in a directory, and how many attempts of bookings they name.
fn stored_records(directory: &Path) -> (Vec<u64>, usize) {
    let mut files = LockedDirectory::open(directory).expect("the directory");
    let opened = RecordLog::open(&mut files, RecordLogLimits::default()).expect("the log");
    let records = opened.records.iter().map(|record| ChainLink::decode(record).expect("a record"));
    let records: Vec<ChainLink> = records.collect();
    let attempts = |link: &ChainLink| match link.decode_record().expect("a readable record") {
        Record::Span(span) => span.write_attempts.len(),
        Record::Started { .. } | Record::Closed { .. } => 0,
    };
    (records.iter().map(|link| link.number).collect(), records.iter().map(attempts).sum())
}

/// Guards against a deadline that was computed when the attempt was queued, and not when it was sent.
#[test]
fn the_deadline_passed_on_is_at_most_what_the_client_has_left() {
    const DEADLINE_MS: f64 = 600.0;
    const SLACK_MS: f64 = 150.0;
    let plan = FaultPlan::new(SEED);
    let fleet = faulty_fleet(echo("a"), echo("b"), echo("origin"), &plan);
    plan.fail_from(Call::Connect, plan.calls(Call::Connect) + 1, &[EADDRNOTAVAIL]);
    let mut client = fleet.router.client();
    let fields = [("c", "booking"), ("i", "00000000000000b1"), ("o", "00000000000000b0"), ("d", "600")];
    let sent = Instant::now();
    client.ask(1, &fields, b"").expect("sent");
    thread::sleep(Duration::from_millis(200));
    let left = DEADLINE_MS - sent.elapsed().as_secs_f64() * 1_000.0;
    plan.succeed(Call::Connect);
    let (_, _, fields, _) = next_request(&fleet.origin);
    let passed_on: f64 = fields["ms"].parse().expect("a number");
    assert!(passed_on <= left + SLACK_MS, "{passed_on} ms passed on, {left} ms left");
    assert_eq!(answer(&mut client).1.code, SERVED);
}

/// Guards against copies from before a purge that are accepted since the wall clock was stepped before the start.
#[test]
fn a_purge_is_as_old_as_it_is_whatever_the_wall_clock_says() {
    const DELAY_MS: f64 = 200.0;
    for seconds in [3_600, 5, -5, -3_600] {
        let plan = FaultPlan::new(SEED);
        plan.step_clock(seconds);
        let fleet = faulty_fleet(echo("a"), echo("b"), echo("origin"), &plan);
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
        let purged = Instant::now();
        let stamp = unix.as_millis() as u64;
        fleet.journal.publish(json!({"expire": {"name": "0000000000000003", "stamp": stamp}}));
        thread::sleep(Duration::from_millis(DELAY_MS as u64));
        let mut client = fleet.router.client();
        let fields = [("c", "page"), ("i", "00000000000000a1"), ("o", "0000000000000003"), ("d", "1500")];
        client.ask(1, &fields, b"").expect("sent");
        assert_eq!(answer(&mut client).1.code, SERVED, "{seconds} s");
        let since = purged.elapsed().as_secs_f64() * 1_000.0;
        let requests = fleet.a.events.try_iter().chain(fleet.b.events.try_iter());
        let accepted: Vec<f64> = requests
            .filter_map(|event| match event {
                CacheEvent::Request { fields, .. } => fields.get("accept")?.parse().ok(),
                _ => None,
            })
            .collect();
        let [accepted] = accepted[..] else { panic!("{seconds} s: {accepted:?}") };
        assert!(
            accepted <= since,
            "{seconds} s: copies of {accepted} ms accepted, {since} ms after the purge"
        );
        // Not so strict that all copies from after the purge are refused.
        assert!(accepted >= DELAY_MS / 2.0, "{seconds} s: only copies of {accepted} ms accepted");
    }
}
