//! For each kind of system call, the n-th call fails once, and in a second round the n-th and all after it for a
//! moment, for n = 1, 2, 3 ... until a run makes fewer calls. Random faults find the common crossings; this finds
//! the one call whose failure nobody handles.
//!
//! The calls of the start are among them.

mod common;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::fault_plan::FaultPlan;
use common::*;
use linnethook_fault_shim::plan::Call;
use linnethook_quickstart::{Answer, Client, Journal};
use nix::libc::{EADDRNOTAVAIL, ECONNABORTED, EINTR, EIO, EMFILE, ENETUNREACH, ENFILE, ENOBUFS, ENOMEM};
use nix::sys::signal::Signal;
use serde_json::json;

const SEED: u64 = 1;
/// How long calls fail in the second round.
const FAULT: Duration = Duration::from_millis(100);
const DEADLINE_MS: &str = "1500";
/// An answer later than this is lost: the deadline, half a second, and the slack.
const LATEST_ANSWER: Duration = Duration::from_millis(1_500 + 500 + 50);
/// More calls than any run makes.
const MAX_CALLS: u64 = 400;

/// How the calls of a run fail.
#[derive(Debug, Clone, Copy)]
enum Round {
    Once,
    ForAMoment,
}

/// Runs a router of which the n-th call fails. Returns whether any call has failed.
fn run(call: Call, n: u64, error: i32, round: Round) -> bool {
    let case = format!("{call:?} {n}, errno {error}, {round:?}");
    let plan = FaultPlan::new(SEED);
    let executed = Arc::new(AtomicU64::new(0));
    let counted = executed.clone();
    let origin = cache(move |_, _, _| {
        counted.fetch_add(1, Ordering::Relaxed);
        Some(Answer::data("booked"))
    });
    let (a, b, parent) = (echo("a"), echo("b"), echo("parent"));
    let targets = ready_endpoints(a.address, b.address, parent.address, origin.address);
    let events = vec![json!({"hosts": {"rev": 1, "all": true, "targets": targets}})];
    let journal = Journal::start("127.0.0.1:0", events).expect("the journal listens");
    match round {
        Round::Once => plan.fail_once(call, n, error),
        Round::ForAMoment => plan.fail_from(call, n, &[error]),
    }
    thread::scope(|scope| {
        scope.spawn(|| end_fault(&plan, call));
        let mut router = Router::start_with_faults(&journal, |_| {}, None, &plan);
        let mut client = router.client();
        let mut other = router.client();
        check_request(&mut client, "booking", 1, &case);
        check_request(&mut other, "page", 1, &case);
        // The journal of the configuration does not change: the router goes on with it.
        let moved = Journal::start("127.0.0.1:0", Vec::new()).expect("the journal listens");
        router.reload(moved.address);
        check_request(&mut other, "page", 2, &case);
        check_request(&mut client, "booking", 2, &case);
        let polled = moved.polls.recv_timeout(LATEST_ANSWER);
        assert!(polled.is_ok(), "{case}: the new journal is not polled");
        router.signal(Signal::SIGUSR1);
        let line = router.wait_for_log(" held_clients=");
        assert!(line.contains("refused=0") && line.contains("failed=0"), "{case}: {line}");
        plan.succeed_all();
    });
    assert_eq!(executed.load(Ordering::Relaxed), 2, "{case}: bookings executed");
    plan.failures(call) > 0
}

/// Lets the calls succeed again some time after the first one has failed.
fn end_fault(plan: &FaultPlan, call: Call) {
    let until = Instant::now() + Duration::from_secs(10);
    while plan.failures(call) == 0 && Instant::now() < until && !plan.has_ended() {
        thread::sleep(Duration::from_millis(2));
    }
    thread::sleep(FAULT);
    plan.succeed(call);
}

/// Sends a request that must be served, in time.
fn check_request(client: &mut Client, class: &str, stream: u32, case: &str) {
    let id = format!("{stream:08x}{:08x}", class.len());
    let fields = [("c", class), ("i", &*id), ("o", &*id), ("d", DEADLINE_MS)];
    client.ask(stream, &fields, b"").expect("sent");
    let since = Instant::now();
    let answer = client.read().unwrap_or_else(|error| panic!("{case}: {class} {stream}: {error}"));
    assert_eq!((answer.stream, answer.code), (stream, SERVED), "{case}: {class} {stream}");
    assert!(since.elapsed() < LATEST_ANSWER, "{case}: {class} {stream} after {:?}", since.elapsed());
}

fn sweep(call: Call, errors: &[i32]) {
    for round in [Round::Once, Round::ForAMoment] {
        let calls = (1..MAX_CALLS).take_while(|n| {
            let error = errors[*n as usize % errors.len()];
            run(call, *n, error, round)
        });
        println!("{call:?}, {round:?}: {} calls", calls.count());
    }
}

/// Guards against an accept whose failure loses a request.
#[test]
fn any_accept_may_fail() {
    sweep(Call::Accept, &[ENFILE, ENOBUFS, ECONNABORTED, EMFILE]);
}

/// Guards against a socket that can't be opened, whose failure loses a request or lasts.
#[test]
fn any_socket_may_fail() {
    sweep(Call::Socket, &[ENFILE, ENOBUFS, ENOMEM]);
}

/// Guards against a connect whose failure loses a request or lasts.
#[test]
fn any_connect_may_fail() {
    sweep(Call::Connect, &[EADDRNOTAVAIL, ENETUNREACH, ENOBUFS]);
}

/// Guards against a read of a socket whose failure loses a request.
#[test]
fn any_receive_may_fail() {
    sweep(Call::Receive, &[ENOMEM, EINTR, ENOBUFS]);
}

/// Guards against a write to a socket whose failure loses a request.
#[test]
fn any_send_may_fail() {
    sweep(Call::Send, &[ENOBUFS, EINTR, ENOMEM]);
}

/// Guards against an option of a socket whose failure drops the connection.
#[test]
fn any_socket_option_may_fail() {
    sweep(Call::SetOption, &[ENOBUFS, ENOMEM]);
    sweep(Call::GetOption, &[ENOBUFS, ENOMEM]);
}

/// Guards against a file that can't be opened or read for a moment, and then never is.
#[test]
fn any_file_operation_may_fail() {
    sweep(Call::Open, &[ENFILE, EIO]);
    sweep(Call::Read, &[EIO, EINTR]);
}
