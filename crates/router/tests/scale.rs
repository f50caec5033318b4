//! Hollow processes of the built program, and a small fixed run of the scale test.

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
/// Longer than any event of a test takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A hollow process with several routers.
struct HollowProcess {
    child: Child,
    log: Receiver<String>,
    directory: PathBuf,
}

impl HollowProcess {
    fn start(test: &str, journal: &Journal, addresses: &[&str]) -> Self {
        let directory = std::env::temp_dir().join(format!("lhh-{}-{test}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("a directory");
        let example = include_str!("../../../examples/config.json");
        let config = |(n, address): (usize, &&str)| {
            let mut config: Value = serde_json::from_str(example).expect("the example configuration");
            config["name"] = json!(format!("h{n}"));
            config["listen"] = json!(address);
            config["journal"] = json!(journal.address.to_string());
            config["known"] = journal.known();
            let path = directory.join(format!("h{n}.json"));
            std::fs::write(&path, config.to_string()).expect("a configuration is written");
            path
        };
        let configs: Vec<PathBuf> = addresses.iter().enumerate().map(config).collect();
        let mut command = Command::new(PROGRAM);
        command.arg("hollow").args(configs).stdin(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().expect("the process starts");
        let stderr = child.stderr.take().expect("its standard error");
        let (sender, log) = channel();
        thread::spawn(move || {
            let lines = BufReader::new(stderr).lines().map_while(Result::ok);
            lines.for_each(|line| _ = sender.send(line));
        });
        Self { child, log, directory }
    }

    /// Waits until each of the routers has logged a line with this text.
    fn wait_for_logs(&self, routers: usize, part: &str) {
        let mut missing: Vec<String> = (0..routers).map(|n| format!("linnethook: h{n}: ")).collect();
        while !missing.is_empty() {
            let line = self
                .log
                .recv_timeout(TEST_TIMEOUT)
                .unwrap_or_else(|_| panic!("no {part:?} from {missing:?}"));
            missing.retain(|name| !(line.starts_with(name) && line.contains(part)));
        }
    }

    fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("a signal is sent");
    }

    fn exit_code(&mut self) -> Option<i32> {
        let until = Instant::now() + TEST_TIMEOUT;
        loop {
            if let Some(end) = self.child.try_wait().expect("a child process") {
                return end.code();
            }
            assert!(Instant::now() < until, "the process does not exit");
            thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for HollowProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

#[test]
fn signals_reach_all_routers_of_a_process() {
    let journal = Journal::start("127.0.0.1:0", Vec::new()).expect("a journal");
    let mut process = HollowProcess::start("signals", &journal, &["127.0.0.1:0"; 4]);
    process.wait_for_logs(4, "listens on");
    process.signal(Signal::SIGUSR1);
    process.wait_for_logs(4, "counters taken_in=0");
    process.signal(Signal::SIGHUP);
    process.wait_for_logs(4, "reloaded: the journal is at");
    process.signal(Signal::SIGTERM);
    process.wait_for_logs(4, "shutting down");
    assert_eq!(process.exit_code(), Some(0));
}

#[test]
fn a_router_that_cannot_start_ends_its_process() {
    let journal = Journal::start("127.0.0.1:0", Vec::new()).expect("a journal");
    let occupied = TcpListener::bind("127.0.0.1:0").expect("it listens");
    let occupied = occupied.local_addr().expect("its address").to_string();
    let mut process = HollowProcess::start("taken", &journal, &["127.0.0.1:0", &occupied, "127.0.0.1:0"]);
    assert_eq!(process.exit_code(), Some(1));
    let log_lines: Vec<String> = process.log.iter().collect();
    assert!(log_lines.iter().any(|line| line.contains("in use")), "{log_lines:?}");
}

fn row<'a>(rows: &'a [Sample], form: Form, measure: &str) -> &'a Sample {
    let found = rows.iter().find(|row| row.form == form && row.measure == measure);
    found.unwrap_or_else(|| panic!("no row {measure:?} of {form:?} in {rows:#?}"))
}

/// All routers are linked with each other, so that they differ in nothing but being hollow or real.
#[test]
fn hollow_routers_send_as_much_as_real_ones() {
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
        assert_eq!(row(&rows, form, "behind").worst, 0.0, "all routers have the same events");
        // The program's own counts against those of the proxies; messages in flight are counted on one side
        // only.
        for (measure, slack) in [("links by middle", 0.05), ("journal by stand-in", 0.01)] {
            let ratio = row(&rows, form, measure);
            assert!((ratio.worst - 1.0).abs() < slack && (ratio.median - 1.0).abs() < slack, "{ratio:?}");
        }
        // By default a router may send 32 KB of facts a second, plus what it has saved up over two seconds.
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

/// Two sites with twenty and four routers: all routers are counted and receive all events everywhere, and
/// send less than in a flat cluster.
#[test]
fn routers_with_locations_send_less_than_in_a_flat_cluster() {
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
        let [with_locations, flat] = [&rows[0], &rows[1]].map(|rows| row(rows, form, "link said").median);
        println!("{form:?}: {with_locations} bytes a second with locations, {flat} in a flat cluster");
        assert!(
            with_locations > 0.0 && with_locations < flat / 2.0,
            "{with_locations} with locations, {flat} without"
        );
        assert_eq!(row(&rows[0], form, "behind").worst, 0.0, "all routers have the same events");
    }
}

#[test]
fn faults_are_rejected_for_routers_with_locations() {
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
    let error = run(&plan).expect_err("the plan is rejected").to_string();
    assert_eq!(error, "faults are not supported with locations");
}
