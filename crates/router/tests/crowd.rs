//! A crowd of clients that write requests of very many short fields and half of another one, and read nothing: the
//! router stays within its memory, and answers others in time.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use linnethook_quickstart::client::request;
use linnethook_quickstart::{Client, Journal};
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use serde_json::{json, Value};

const SOCKETS: u64 = 2_048;
const ROUNDS: usize = 3;
const REST: Duration = Duration::from_millis(1_200);
const REQUESTS: u32 = 29;
/// Fields beside those that a request needs; 255 in all.
const OTHER_FIELDS: usize = 251;
const DEADLINE: Duration = Duration::from_millis(1_500);
/// An answer later than its deadline by more than this is lost; every time limit is longer by the slack.
const MAX_LATE: Duration = Duration::from_millis(500 + 50);
const MIB: u64 = 1_024 * 1_024;

/// A connection of the crowd.
fn crowd_client(router: SocketAddr, prefix: u32) -> Option<TcpStream> {
    let names: Vec<String> = (0..OTHER_FIELDS).map(|n| format!("x{n:x}")).collect();
    let mut stream = TcpStream::connect(router).ok()?;
    for number in 1..=REQUESTS + 1 {
        let (id, object) =
            (format!("{prefix:08x}{number:08x}"), format!("{:016x}", number * 31 + prefix % 97));
        let mut fields = vec![("c", "page"), ("i", &*id), ("o", &*object), ("d", "1500")];
        fields.extend(names.iter().map(|name| (&**name, "1")));
        let bytes = request(number, &fields, b"");
        let length = if number > REQUESTS { bytes.len() / 2 } else { bytes.len() };
        stream.write_all(&bytes[..length]).ok()?;
    }
    Some(stream)
}

/// The most memory that a process has used, in bytes.
fn peak_memory(router: &Router) -> u64 {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", router.process_id())).expect("the status");
    let line = status.lines().find(|line| line.starts_with("VmHWM")).expect("the peak");
    let kib: u64 = line.split_whitespace().nth(1).and_then(|kib| kib.parse().ok()).expect("a number");
    kib * 1_024
}

/// Sends requests one after another until the end; returns the longest time until an answer.
fn good_client(router: SocketAddr, prefix: u32, is_over: &AtomicBool) -> Duration {
    let mut client = Client::connect(router).expect("a connection");
    let mut longest = Duration::ZERO;
    for stream in 1.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let (id, wait) = (format!("{prefix:08x}{stream:08x}"), DEADLINE.as_millis().to_string());
        let object = format!("{:016x}", stream % 50);
        let fields = [("c", "page"), ("i", &*id), ("o", &*object), ("d", &*wait)];
        let sent = Instant::now();
        client.ask(stream, &fields, b"").expect("sent");
        let answer = client.read().expect("an answer");
        assert_eq!(answer.stream, stream);
        longest = longest.max(sent.elapsed());
        thread::sleep(Duration::from_millis(30));
    }
    longest
}

fn check_crowd(size: usize, memory_mb: u64) {
    let limit =
        Rlimit { current: getrlimit(Resource::Nofile).maximum, maximum: getrlimit(Resource::Nofile).maximum };
    setrlimit(Resource::Nofile, limit).expect("more descriptors");
    let (a, b, parent, origin) = (echo("a"), echo("b"), echo("parent"), echo("origin"));
    let targets = ready_endpoints(a.address, b.address, parent.address, origin.address);
    let events = vec![json!({"hosts": {"rev": 1, "all": true, "targets": targets}})];
    let journal = Journal::start("127.0.0.1:0", events).expect("the journal listens");
    let change = |config: &mut Value| {
        config["limits"]["memory_mb"] = json!(memory_mb);
        config["limits"]["sockets"] = json!(SOCKETS);
    };
    let router = Router::start_with(&journal, change, None, None);
    let (is_over, prefix) = (AtomicBool::new(false), AtomicU32::new(1));
    let address = router.address;
    let longest = thread::scope(|scope| {
        let good: Vec<_> = (0..10)
            .map(|n| (0xe000_0000 + n, &is_over))
            .map(|(prefix, is_over)| scope.spawn(move || good_client(address, prefix, is_over)))
            .collect();
        for _ in 0..ROUNDS {
            let connect = |_| crowd_client(address, prefix.fetch_add(1, Ordering::Relaxed));
            let crowd: Vec<TcpStream> = (0..size).filter_map(connect).collect();
            thread::sleep(REST);
            drop(crowd);
        }
        is_over.store(true, Ordering::Relaxed);
        good.into_iter().map(|client| client.join().expect("no panic")).max()
    });
    let (peak, longest) = (peak_memory(&router), longest.expect("clients"));
    println!("{size} clients, {memory_mb} MB: peak {:.1} MB, longest {longest:?}", peak as f64 / MIB as f64);
    assert!(longest < DEADLINE + MAX_LATE, "answered after {longest:?}");
    assert!(peak <= memory_mb * MIB, "peak {peak} bytes");
}

/// Guards against a process that is killed for its memory, and answers that are late, beside a crowd.
#[test]
fn a_crowd_of_clients_with_many_short_fields_takes_no_more_than_the_memory() {
    for (size, memory_mb) in [(400, 24), (800, 32)] {
        check_crowd(size, memory_mb);
    }
}
