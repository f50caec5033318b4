//! Hollow processes of the built program, and a small fixed run of the scale rig.

use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

use linnethook_quickstart::Journal;
use linnethook_testbed::scale::{run, Fault, Form, Plan, Sample};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::{json, Value};

const PROGRAM: &str = env!("CARGO_BIN_EXE_linnethook");
/// Longer than anything that is waited for.
const PATIENCE: Duration = Duration::from_secs(20);

/// A hollow process with routers that listen at these addresses.
struct Process {
    child: Child,
    log: Receiver<String>,
    folder: PathBuf,
}

impl Process {
    fn start(test: &str, journal: &Journal, addresses: &[&str]) -> Self {
        let folder = std::env::temp_dir().join(format!("lhh-{}-{test}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let example = include_str!("../../../examples/config.json");
        let config = |(n, address): (usize, &&str)| {
            let mut config: Value = serde_json::from_str(example).expect("the example configuration");
            config["name"] = json!(format!("h{n}"));
            config["listen"] = json!(address);
            config["journal"] = json!(journal.address.to_string());
            config["known"] = journal.known();
            let path = folder.join(format!("h{n}.json"));
            std::fs::write(&path, config.to_string()).expect("a configuration is written");
            path
        };
        let configs: Vec<PathBuf> = addresses.iter().enumerate().map(config).collect();
        let mut command = Command::new(PROGRAM);
        command.arg("hollow").args(configs).stdin(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().expect("the process starts");
        let stderr = child.stderr.take().expect("its log");
        let (sender, log) = channel();
        thread::spawn(move || {
            let lines = BufReader::new(stderr).lines().map_while(Result::ok);
            lines.for_each(|line| _ = sender.send(line));
        });
        Self { child, log, folder }
    }

    /// Waits until each of the routers has logged something.
    fn all_log(&self, routers: usize, part: &str) {
        let mut left: Vec<String> = (0..routers).map(|n| format!("linnethook: h{n}: ")).collect();
        while !left.is_empty() {
            let line = self.log.recv_timeout(PATIENCE).unwrap_or_else(|_| panic!("{left:?} {part}"));
            left.retain(|name| !(line.starts_with(name) && line.contains(part)));
        }
    }

    fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("a signal is sent");
    }

    fn code(&mut self) -> Option<i32> {
        let until = Instant::now() + PATIENCE;
        loop {
            if let Some(end) = self.child.try_wait().expect("it is ours") {
                return end.code();
            }
            assert!(Instant::now() < until, "it does not end");
            thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

#[test]
fn signals_reach_all_routers_of_a_process() {
    let journal = Journal::start("127.0.0.1:0", Vec::new()).expect("a journal");
    let mut process = Process::start("signals", &journal, &["127.0.0.1:0"; 4]);
    process.all_log(4, "listens on");
    process.signal(Signal::SIGUSR1);
    process.all_log(4, "counters taken_in=0");
    process.signal(Signal::SIGHUP);
    process.all_log(4, "reloaded: the journal is at");
    process.signal(Signal::SIGTERM);
    process.all_log(4, "shutting down");
    assert_eq!(process.code(), Some(0));
}

#[test]
fn a_router_that_can_not_begin_ends_its_process() {
    let journal = Journal::start("127.0.0.1:0", Vec::new()).expect("a journal");
    let occupied = TcpListener::bind("127.0.0.1:0").expect("it listens");
    let occupied = occupied.local_addr().expect("its address").to_string();
    let mut process = Process::start("taken", &journal, &["127.0.0.1:0", &occupied, "127.0.0.1:0"]);
    assert_eq!(process.code(), Some(1));
    let bytes_sent: Vec<String> = process.log.iter().collect();
    assert!(bytes_sent.iter().any(|line| line.contains("in use")), "{bytes_sent:?}");
}

fn row<'a>(rows: &'a [Sample], form: Form, measure: &str) -> &'a Sample {
    let found = rows.iter().find(|row| row.form == form && row.measure == measure);
    found.unwrap_or_else(|| panic!("no row {measure:?} of {form:?} in {rows:#?}"))
}

/// All with all, so that each has as much to say as any other: what differs is the form alone.
#[test]
fn hollow_routers_say_what_real_ones_say() {
    let plan = Plan {
        real: 3,
        hollow: 7,
        hollow_per_process: 4,
        seconds: 6.0,
        purges_per_s: 20.0,
        changes_per_s: 0.5,
        restarts_per_s: 0.0,
        fault: None,
        seed: 39,
        program: PROGRAM.into(),
        dials: 9,
        places: false,
    };
    let rows = run(&plan).expect("a run");
    for form in [Form::Real, Form::Hollow] {
        assert_eq!(row(&rows, form, "behind").worst, 0.0, "all were told the same");
        // The program's own counts against those outside of it; what is under way counts on one side only.
        for (measure, slack) in [("links by middle", 0.05), ("journal by stand-in", 0.01)] {
            let ratio = row(&rows, form, measure);
            assert!((ratio.worst - 1.0).abs() < slack && (ratio.median - 1.0).abs() < slack, "{ratio:?}");
        }
        // As shipped no more than 32 KB/s of facts may be said, and what was saved up of two seconds.
        let bytes_sent = row(&rows, form, "fact bytes").worst;
        assert!(
            bytes_sent > 0.0 && bytes_sent < 32_768.0 * (1.0 + 2.0 / 6.0),
            "{bytes_sent} bytes of facts a second"
        );
    }
    for measure in ["link said", "link heard", "journal heard", "facts said", "fact bytes"] {
        let [real, hollow] = [Form::Real, Form::Hollow].map(|form| row(&rows, form, measure).median);
        assert!((hollow / real - 1.0).abs() < 0.25, "{measure}: {hollow} hollow, {real} real");
    }
}

/// Two sites of twenty and four: all are counted everywhere, take in all events, and say a part of what they say where all
/// tell all.
#[test]
fn routers_in_places_say_less_than_where_all_tell_all() {
    let plan = |places| Plan {
        real: 2,
        hollow: 22,
        hollow_per_process: 11,
        seconds: 4.0,
        purges_per_s: 10.0,
        changes_per_s: 0.5,
        restarts_per_s: 0.0,
        fault: None,
        seed: 39,
        program: PROGRAM.into(),
        dials: 3,
        places,
    };
    let rows = [true, false].map(|places| run(&plan(places)).expect("a run"));
    for form in [Form::Real, Form::Hollow] {
        let [placed, flat] = [&rows[0], &rows[1]].map(|rows| row(rows, form, "link said").median);
        println!("{form:?}: {placed} bytes said a second in places, {flat} where all tell all");
        assert!(placed > 0.0 && placed < flat / 2.0, "{placed} in places, {flat} without");
        assert_eq!(row(&rows[0], form, "behind").worst, 0.0, "all were told the same");
    }
}

#[test]
fn faults_are_refused_where_routers_have_places() {
    let plan = Plan {
        real: 2,
        hollow: 2,
        hollow_per_process: 2,
        seconds: 1.0,
        purges_per_s: 0.0,
        changes_per_s: 0.0,
        restarts_per_s: 0.0,
        fault: Some(Fault::Rack),
        seed: 1,
        program: PROGRAM.into(),
        dials: 1,
        places: true,
    };
    let why = run(&plan).expect_err("no such run").to_string();
    assert!(why.contains("all tell all"), "{why}");
}
