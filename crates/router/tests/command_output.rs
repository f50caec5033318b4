//! The requests and the output of the commands that query a router or read audit logs, as golden texts with
//! the exit codes.

#[path = "unit/golden.rs"]
mod golden;
#[path = "unit/hex.rs"]
mod hex;

use std::io::{Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::thread;

use golden::assert_golden;
use hex::hex;
use linnethook_audit::record::{
    write_file, AuditedAction, ChainLink, Record, Span, Tally, WriteAttempt, WriteOutcome,
};
use linnethook_membership::hybrid_clock::Timestamp;
use linnethook_membership::versions::{ActiveVersions, HierarchyVersion};

const PROGRAM: &str = env!("CARGO_BIN_EXE_linnethook");
const CONTROL_BYTES: &str = include_str!("golden/control_bytes.txt");

/// A temporary directory of one test.
struct Directory(PathBuf);

impl Directory {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("linnethook-output-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a directory");
        Self(path)
    }

    fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    /// The exit code and the output of the program, with the directory's path replaced by `DIRECTORY`.
    fn run(&self, arguments: &[&str]) -> String {
        let mut command = Command::new(PROGRAM);
        command.args(arguments).stdin(Stdio::null()).current_dir(&self.0);
        for name in ["LB_CONFIG", "LB_OPERATOR", "LB_CONTROL"] {
            command.env_remove(name);
        }
        let output = command.output().expect("the program runs");
        let text =
            |bytes: &[u8]| String::from_utf8_lossy(bytes).replace(&self.0.display().to_string(), "DIRECTORY");
        format!("{:?}\n{}{}", output.status.code(), text(&output.stdout), text(&output.stderr))
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The bytes of a message in the fixture of the control socket; the first one if several have that name.
fn message(name: &str) -> Vec<u8> {
    let prefix = format!("answer {name}: ");
    let line = CONTROL_BYTES.lines().find_map(|line| line.strip_prefix(&prefix));
    let digits = line.expect("a message of that name").as_bytes();
    let byte =
        |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).expect("text"), 16).expect("a byte");
    digits.chunks(2).map(byte).collect()
}

fn framed(bytes: &[u8]) -> Vec<u8> {
    [&(bytes.len() as u32).to_be_bytes()[..], bytes].concat()
}

/// A router's control socket that gives one of these responses to each connection in turn; returns the
/// requests in hexadecimal.
fn serve(socket: &Path, responses: Vec<Vec<u8>>) -> thread::JoinHandle<Vec<String>> {
    let listener = UnixListener::bind(socket).expect("a socket");
    thread::spawn(move || {
        let mut requests = Vec::new();
        for response in responses {
            let (mut stream, _) = listener.accept().expect("a connection");
            let mut length = [0; 4];
            if stream.read_exact(&mut length).is_err() {
                break;
            }
            let mut request = vec![0; u32::from_be_bytes(length) as usize];
            stream.read_exact(&mut request).expect("a request");
            requests.push(hex(&request));
            stream.write_all(&response).expect("written");
        }
        requests
    })
}

/// Stops a server and returns its requests.
fn requests(socket: &Path, server: thread::JoinHandle<Vec<String>>) -> String {
    // Unblocks the server if the command has sent fewer requests than there are responses.
    let _ = UnixStream::connect(socket);
    let requests = server.join().expect("the server has ended");
    std::fs::remove_file(socket).expect("the socket exists");
    format!("requests: {}\n", requests.join(" "))
}

/// Runs a command with text and with JSON output against a router that gives these responses.
fn session(directory: &Directory, arguments: &[&str], responses: &[Vec<u8>]) -> String {
    let mut out = String::new();
    for format in ["text", "json"] {
        let socket = directory.path("router.sock");
        let server = serve(&socket, responses.to_vec());
        let arguments = [arguments, &["--socket", "router.sock", "--format", format]].concat();
        out += &format!("{}: {}", arguments.join(" "), directory.run(&arguments));
        out += &requests(&socket, server);
    }
    out
}

#[test]
fn commands_send_and_print_the_same_bytes() {
    let directory = Directory::new("control");
    std::fs::write(directory.path("changes.star"), "remove(\"nobody\")").expect("written");
    let cases: &[(&[&str], &[&str])] = &[
        (&["hierarchy", "show"], &["shown"]),
        (&["hierarchy", "show"], &["no"]),
        (&["hierarchy", "show"], &["gateway"]),
        (&["hierarchy", "nodes"], &["nodes"]),
        (&["hierarchy", "plan", "changes.star"], &["plan"]),
        (&["hierarchy", "apply", "changes.star"], &["applied"]),
        (&["hierarchy", "apply", "changes.star"], &["no"]),
        (&["hierarchy", "rollback", "7", "9"], &["done"]),
        (&["gateway", "status"], &["gateway"]),
        (&["gateway", "routes"], &["routes"]),
        (&["gateway", "drain", "south"], &["done"]),
        (&["gateway", "undrain", "south"], &["no"]),
        (&["gateway", "status"], &["shown"]),
        (&["fleet", "show"], &["fleet"]),
        (&["fleet", "show"], &["no"]),
        (&["fleet", "show", "r0"], &["fleet"]),
        (&["fleet", "show", "r1"], &["fleet", "asking", "no detail yet", "detail"]),
        (&["fleet", "show", "r1"], &["fleet", "asking", "no"]),
        (&["fleet", "show", "r1"], &["fleet", "no"]),
        (&["fleet", "show", "r1"], &["done"]),
        (&["fleet", "show", "--site", "eu/south"], &["fleet", "asking", "detail"]),
        (&["fleet", "show", "--site", "eu/north"], &["fleet"]),
        (&["fleet", "show", "--site", "eu//south"], &["fleet"]),
        (&["fleet", "watch", "--looks", "2", "--every", "0.01"], &["fleet", "fleet"]),
        (&["fleet", "floor", "set", "5"], &["done"]),
        (&["fleet", "floor", "clear"], &["done"]),
        (&["fleet", "floor", "clear"], &["no"]),
        (&["audit", "who", "3"], &["accounts"]),
        (&["audit", "verify"], &["no"]),
        (&["audit", "verify"], &["done"]),
    ];
    let mut out = String::new();
    for (arguments, names) in cases {
        let responses: Vec<_> = names.iter().map(|name| framed(&message(name))).collect();
        out += &session(&directory, arguments, &responses);
    }
    assert_golden("command_sessions.txt", &out);
}

#[test]
fn invalid_responses_are_reported_with_the_same_text() {
    let directory = Directory::new("responses");
    let cases = [
        ("no response", Vec::new()),
        ("a response that is cut short", vec![0, 0, 0, 9, 1]),
        ("a response that is too long", vec![255, 255, 255, 255]),
        ("a response that cannot be decoded", framed(&[250])),
        ("an empty response", framed(&[])),
    ];
    let mut out = String::new();
    for (case, bytes) in cases {
        out += &format!("{case}\n{}", session(&directory, &["hierarchy", "show"], &[bytes]));
    }
    assert_golden("command_bad_responses.txt", &out);
}

#[test]
fn a_batch_is_sent_to_each_router() {
    let directory = Directory::new("several");
    std::fs::write(directory.path("changes.star"), "remove(\"nobody\")").expect("written");
    let mut out = String::new();
    for second in ["done", "no", "shown"] {
        let sockets = ["a.sock", "b.sock"].map(|name| directory.path(name));
        let servers = [("applied", &sockets[0]), (second, &sockets[1])]
            .map(|(name, socket)| serve(socket, vec![framed(&message(name))]));
        let arguments = ["hierarchy", "apply", "changes.star", "--socket", "a.sock,b.sock"];
        out += &format!("{second}: {}", directory.run(&arguments));
        for (server, socket) in servers.into_iter().zip(&sockets) {
            out += &requests(socket, server);
        }
    }
    assert_golden("command_several_routers.txt", &out);
}

fn at(ms: u64) -> Timestamp {
    Timestamp { ms, counter: 3 }
}

fn versions(version: u64) -> ActiveVersions {
    ActiveVersions {
        build: "0.1.0".to_string(),
        settings_digest: 0x0102_0304_0506_0708,
        operator_digest: 0x1112_1314_1516_1718,
        hierarchy: HierarchyVersion { version, digest: version << 40 },
        journal_position: 70_000 + version,
        drains_applied: 3,
        purges_applied: 200,
    }
}

fn span(from: u64, to: u64, version: u64, actions: Vec<AuditedAction>) -> Span {
    let tally = |count: u64| Tally { count, first: at(from + count), last: at(to) };
    Span {
        from: at(from),
        to: at(to),
        wall_clock: (from as f64 + 0.5, to as f64 + 0.5),
        versions: versions(version),
        counts: actions.into_iter().zip(1..).map(|(action, count)| (action, tally(count))).collect(),
        write_attempts: Vec::new(),
        write_outcomes: Vec::new(),
        omitted_writes: 0,
        omitted_actions: 0,
        node_names: vec![(3, "cache-3".to_string()), (4, "south".to_string())],
    }
}

/// Actions of every kind, at nodes with and without a known name.
fn every_action() -> Vec<AuditedAction> {
    let mut actions = vec![
        AuditedAction::Attempt { target: 3 },
        AuditedAction::Attempt { target: 5 },
        AuditedAction::Fill { child: 3, source: 4 },
        AuditedAction::WriteAttempt { target: 3 },
        AuditedAction::Refused,
        AuditedAction::Failed,
        AuditedAction::RejectedAsStraggler,
    ];
    actions.extend((0..=5).map(|stage| AuditedAction::RolloutStage { target: 4, stage }));
    for from_gossip in [false, true] {
        actions.extend([
            AuditedAction::Drain { cache: 3, journal_position: 12, from_gossip },
            AuditedAction::CacheRestored { cache: 3, journal_position: 13, from_gossip },
            AuditedAction::Purge { journal_position: 14, from_gossip },
            AuditedAction::Batch { author: 7, number: 9, from_gossip },
        ]);
    }
    actions
}

fn attempt(attempt: u8, ms: u64, target: u64) -> WriteAttempt {
    WriteAttempt { request_id: "request-1".to_string(), attempt, target, at: at(ms) }
}

fn outcome(attempt: u8, ms: u64) -> WriteOutcome {
    WriteOutcome { request_id: "request-1".to_string(), attempt, outcome: "answered".to_string(), at: at(ms) }
}

fn chain(name: &str, incarnation: u64, records: Vec<Record>) -> Vec<ChainLink> {
    let mut previous_hash = [0; 32];
    let link = |(number, record): (u64, Record)| {
        let link = ChainLink::new(name, incarnation, number, previous_hash, &record);
        previous_hash = link.hash();
        link
    };
    (1..).zip(records).map(link).collect()
}

/// Complete and consistent logs of two routers.
fn complete_logs() -> Vec<ChainLink> {
    let fill = || vec![AuditedAction::Fill { child: 3, source: 4 }];
    let mut second = span(2_000, 3_000, 5, every_action());
    second.write_attempts = vec![attempt(0, 2_100, 3), attempt(1, 2_200, 5), attempt(2, 2_300, 4)];
    second.write_outcomes = vec![outcome(0, 2_150), outcome(9, 2_250)];
    let r0 = vec![
        Record::Started { at: at(1_000), wall_clock: 1_000.5 },
        Record::Span(Box::new(span(1_000, 2_000, 4, fill()))),
        Record::Span(Box::new(second)),
        Record::Closed { at: at(3_000) },
    ];
    let r1 = vec![
        Record::Started { at: at(1_100), wall_clock: 1_100.5 },
        Record::Span(Box::new(span(1_100, 2_500, 4, fill()))),
        Record::Span(Box::new(span(2_500, 2_900, 5, fill()))),
        Record::Span(Box::new(span(2_950, 2_980, 4, fill()))),
        Record::Span(Box::new(span(2_980, 2_990, 4, Vec::new()))),
        Record::Closed { at: at(3_000) },
    ];
    [chain("r0", 1_000, r0), chain("r1", 1_100, r1)].concat()
}

/// The same with a missing record, a record of an unknown version, two records with one number, a broken hash
/// chain, and a log without an end.
fn faulty_logs() -> Vec<ChainLink> {
    let started = |ms: u64| Record::Started { at: at(ms), wall_clock: ms as f64 };
    let spans = |from: u64| (0..4).map(move |n| span(from + n * 10, from + n * 10 + 10, 4, Vec::new()));
    let log = |name: &str, ms: u64| {
        let records = spans(ms).map(|span| Record::Span(Box::new(span)));
        chain(name, ms, std::iter::once(started(ms)).chain(records).collect())
    };
    let mut links = complete_logs();
    links.remove(2);
    links.extend(log("r2", 5_000));
    links.extend(log("r2", 6_000).into_iter().skip(2));
    let mut forked = log("r3", 7_000);
    forked.push(ChainLink::new("r3", 7_000, 3, forked[1].hash(), &started(9_000)));
    links.extend(forked);
    let mut unreadable = log("r4", 8_000);
    unreadable[4].version = 9;
    links.extend(unreadable);
    let mut broken = log("r5", 9_000);
    broken[3].previous_hash = [7; 32];
    links.extend(broken);
    links
}

#[test]
fn audit_commands_print_the_same_text() {
    let directory = Directory::new("audit");
    let cases: &[&[&str]] = &[
        &["who", "4"],
        &["who", "0000050000000000"],
        &["who", "journal:70005"],
        &["who", "build:0.1.0"],
        &["who", "settings:0102"],
        &["who", "operator:11121"],
        &["who", "other:1"],
        &["at", "2.6"],
        &["at", "200000000000"],
        &["request", "request-1"],
        &["request", "request-2"],
        &["settled", "5"],
        &["settled", "6"],
        &["heeded", "12"],
        &["heeded", "14"],
        &["heeded", "15"],
        &["shapes"],
        &["verify"],
        &["export", "again.audit"],
    ];
    let mut out = String::new();
    for (name, links) in [("complete.audit", complete_logs()), ("faulty.audit", faulty_logs())] {
        let content = write_file(&links);
        std::fs::write(directory.path(name), &content).expect("written");
        for arguments in cases {
            // JSON output is long: the spans of one version are enough.
            let is_long = arguments[0] == "who" && arguments[1] != "journal:70005";
            let formats = if is_long { &["text"][..] } else { &["text", "json"] };
            for format in formats {
                let arguments = [&["audit"], *arguments, &["--from", name, "--format", format]].concat();
                out += &format!("{}: {}", arguments.join(" "), directory.run(&arguments));
            }
        }
        let exported = std::fs::read(directory.path("again.audit")).expect("exported");
        assert!(exported == content, "{name} is exported as it was read");
    }
    out += &directory.run(&["audit", "export", "/nowhere/x.audit", "--from", "complete.audit"]);
    assert_golden("audit_commands.txt", &out);
}
