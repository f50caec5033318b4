//! The part of the scale run that uses sockets: real processes of the built router next to hollow ones, with
//! measurements for each router.
//!
//! A hollow process is the built program with many routers, each with a thread and an event loop of its own:
//! the same control code with real sockets, and no clients. Discovery is simulated (`journal`). Also
//! simulated: a zone or region is cut by resetting the few links across, a rack or zone ends by SIGKILL of
//! one process, and a slow member has links of [`SLOW_LINK_RATE`] bytes per second. A run has limits for
//! time, processes and memory, and all its processes end with it.
//!
//! Each row is computed over the routers of one form, without those that a fault or restart has ended
//! meanwhile:
//!
//! - `link said`, `link heard`, `journal said`, `journal heard`, `control`: bytes per second sent and
//!   received on the sockets, from the program's counters; `control` is the sum;
//! - `facts said`, `facts heard`, `fact bytes`: facts that members send and receive, in messages and bytes
//!   per second;
//! - `polls`: polls of discovery per second, as counted by the simulated discovery service;
//! - `processor`: percent of a core; `memory`: megabytes, for a router its share of the process;
//! - `journal delay`: milliseconds from the publication of an event until a router has applied it; `journal
//!   delay, all`: the same until the last router has, by event; `behind`: events that a router lacks at the
//!   end of the run;
//! - `statement age`: how stale, in seconds, a router's knowledge of another one's journal position is, while
//!   events still arrive; `change delay`: milliseconds from a change of the hierarchy at one router until
//!   each router acts on it, with a resolution of 200; `changes missing`: changes that a router has not acted
//!   on 30 s after the load's end;
//! - `joined`: seconds from the start until all routers know each other; `ready`: milliseconds from a start
//!   to the first poll; `noticed`: seconds from a fault until the polled routers miss all those that it cut
//!   off, if that is before its end; `whole`: seconds from its end, or from a zone's start, until they see
//!   all routers again;
//! - `links by middle`, `journal by stand-in`: ratio of the program's byte counts to those of the proxies and
//!   of the simulated discovery service. On links it is 1 if the program's count lies between those of the
//!   proxies before and after the counters were read.

mod faults;
mod journal;
mod layout;
mod plan;
mod process;
mod purges;
mod rows;

use std::collections::BTreeMap;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use linnethook_audit::record::{read_file, Record as AuditRecord};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::Value;

use crate::recording::Ms;
use journal::{Journal, Meter};
use layout::{list, name, Layout};
use plan::check;
use process::{Counters, Processes, TIMEOUT};
use purges::Purges;

pub use layout::{add_link, links_by_location, site_location, PARTS_PER_LEVEL, ROUTERS_PER_SITE};
pub use plan::{
    Failure, Fault, Form, Plan, Sample, MAX_CORE_SHARE, MAX_DURATION, MAX_MEMORY_BYTES, MAX_PROCESSES,
    MAX_ROUTERS, SLOW_LINK_RATE,
};

/// Interval over which the use of the machine's cores is checked.
const CORE_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Routers of each form whose views of the others are polled.
const POLLED_ROUTERS: usize = 2;
/// Interval of those polls during a fault.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Runs a plan and measures each router.
///
/// # Errors
/// A plan outside the limits, a router that does not start or ends by itself, or a run that exceeds a limit.
pub fn run(plan: &Plan) -> Result<Vec<Sample>, Failure> {
    check(plan)?;
    let mut harness = Harness::start(plan)?;
    harness.wait_until_joined()?;
    let window = harness.run_load()?;
    harness.wait_until_applied()?;
    harness.rows(&window)
}

/// The fleet of a run.
struct Harness<'a> {
    plan: &'a Plan,
    until: Instant,
    processes: Processes,
    journal: Arc<Journal>,
    layout: Layout,
    joined: f64,
    /// Measured starts: the router, and when its process was started.
    starts: Vec<(usize, Instant)>,
    /// Routers that did not run all the time.
    disturbed: Vec<usize>,
    /// Seconds until each polled router noticed a fault.
    noticed: Vec<(usize, f64)>,
    /// Seconds after its end until each polled router saw all others again.
    recovered: Vec<(usize, f64)>,
    /// When the routers were last polled.
    polled_at: Option<Instant>,
    /// Processor time of all routers in seconds, and when it was read.
    processor_time: Option<(Instant, f64)>,
}

/// Counters of all routers at one time.
struct CounterSnapshot {
    at: Instant,
    counters: BTreeMap<usize, Counters>,
    processor: BTreeMap<usize, f64>,
    meters: Vec<Meter>,
    /// Bytes that the proxies of a router's links had passed before and after its counters were read.
    passed: BTreeMap<usize, (u64, u64)>,
}

/// Measurements during the load.
struct Window {
    snapshots: [CounterSnapshot; 2],
    memory: BTreeMap<usize, f64>,
    /// How stale a router's knowledge of the others' journal positions was, in seconds.
    ages: Vec<(usize, f64)>,
    /// Number of the last event before the load, and of the last one published during it.
    events: (usize, usize),
    changes: Vec<Change>,
}

/// A version of the hierarchy, and when it was published or first acted on, in Unix milliseconds.
type Change = (u64, Ms);

impl<'a> Harness<'a> {
    /// Starts all processes.
    fn start(plan: &'a Plan) -> Result<Self, Failure> {
        let begun = Instant::now();
        let until = begun + MAX_DURATION;
        let layout = Layout::new(plan)?;
        let journal = Arc::new(Journal::start(layout.journals(), vec![list()])?);
        let processes = Processes::new(&plan.program)?;
        let mut harness = Self {
            plan,
            until,
            processes,
            journal,
            layout,
            joined: 0.0,
            starts: Vec::new(),
            disturbed: Vec::new(),
            noticed: Vec::new(),
            recovered: Vec::new(),
            polled_at: None,
            processor_time: None,
        };
        for process in 0..harness.layout.processes.len() {
            harness.start_process(process)?;
        }
        let all = harness.processes.routers();
        harness.processes.until_up(&all, harness.until)?;
        Ok(harness)
    }

    /// Starts a process with all events that discovery has published so far.
    fn start_process(&mut self, process: usize) -> Result<(), Failure> {
        let (number, known) = self.journal.known();
        let members = self.layout.processes[process].clone();
        for n in &members {
            self.layout.write_operator(*n)?;
            self.layout.write_config(*n, &known)?;
            self.journal.router_starts(*n, number);
        }
        let at = self.processes.start(&self.layout, process)?;
        self.starts.extend(members.iter().map(|n| (*n, at)));
        Ok(())
    }

    /// Waits until all routers know each other.
    fn wait_until_joined(&mut self) -> Result<(), Failure> {
        let begun = self.starts.iter().map(|(_, at)| *at).min().unwrap_or(self.until);
        let all = self.layout.forms.len();
        if self.plan.places {
            // Polls the first router of each site.
            for first in (0..all).step_by(ROUTERS_PER_SITE) {
                loop {
                    let fleet_size = self.command(first, &["fleet", "show"])?["whole"].as_u64();
                    if fleet_size == Some(all as u64) {
                        break;
                    }
                    self.check_limits(&format!(
                        "{} counts {fleet_size:?} routers instead of {all}",
                        name(first)
                    ))?;
                    thread::sleep(Duration::from_millis(200));
                }
            }
            self.joined = begun.elapsed().as_secs_f64();
            return Ok(());
        }
        let others = (all - 1) as u64;
        loop {
            let counters = self.processes.counters(self.until.min(Instant::now() + TIMEOUT))?;
            let fewest = counters.values().map(|counters| count(counters, "fellows")).min();
            if fewest.is_some_and(|fewest| fewest >= others) {
                self.joined = begun.elapsed().as_secs_f64();
                return Ok(());
            }
            self.check_limits(&format!("one router knows of {fewest:?} others instead of {others}"))?;
            thread::sleep(Duration::from_millis(200));
        }
    }

    /// Fails if the run exceeds its limit of cores, memory or time; `what` says what it waits for.
    fn check_limits(&mut self, what: &str) -> Result<(), Failure> {
        self.check_core_use(what)?;
        let memory: f64 = self.processes.memory()?.values().sum();
        if memory > MAX_MEMORY_BYTES {
            return Err(format!(
                "the routers use {memory:.0} bytes of memory; expected at most {MAX_MEMORY_BYTES:.0}"
            )
            .into());
        }
        match Instant::now() < self.until {
            true => Ok(()),
            false => Err(format!("run exceeded {MAX_DURATION:?}: {what}").into()),
        }
    }

    /// Fails if the fleet uses nearly all cores of the machine: the measured times would be those of threads
    /// waiting for a core, and other processes would get none.
    fn check_core_use(&mut self, what: &str) -> Result<(), Failure> {
        let passed = self.processor_time.map_or(f64::INFINITY, |(at, _)| at.elapsed().as_secs_f64());
        if passed < CORE_CHECK_INTERVAL.as_secs_f64() {
            return Ok(());
        }
        let now = self.processes.processor()?.values().sum::<f64>();
        if let Some((_, before)) = self.processor_time.replace((Instant::now(), now)) {
            let cores = thread::available_parallelism().map_or(1, usize::from) as f64;
            let wanted = (now - before) / passed;
            if wanted > cores * MAX_CORE_SHARE {
                let most = cores * MAX_CORE_SHARE;
                return Err(
                    format!("the routers use {wanted:.1} cores; expected at most {most:.1}: {what}").into()
                );
            }
        }
        Ok(())
    }

    fn snapshot(&mut self) -> Result<CounterSnapshot, Failure> {
        let until = self.until.min(Instant::now() + TIMEOUT);
        let at = Instant::now();
        let began = self.passed();
        let counters = self.processes.counters(until)?;
        let (meters, processor) = (self.journal.meters(), self.processes.processor()?);
        let passed = self.passed().into_iter().map(|(n, after)| (n, (began[&n], after))).collect();
        Ok(CounterSnapshot { at, counters, processor, meters, passed })
    }

    /// Bytes that the proxies of each watched router's links have passed.
    fn passed(&self) -> BTreeMap<usize, u64> {
        let passed = |n: usize| {
            let proxies = self.layout.proxies.iter().filter(move |((from, to), _)| *from == n || *to == n);
            proxies.map(|(_, proxy)| proxy.passed().bytes.iter().sum::<u64>()).sum()
        };
        self.layout.watched.iter().map(|n| (*n, passed(*n))).collect()
    }

    /// Runs the load, with the fault during its second and third quarters.
    fn run_load(&mut self) -> Result<Window, Failure> {
        let plan = self.plan;
        let mut random = Pcg64Mcg::seed_from_u64(plan.seed ^ 1);
        self.journal.clear_delays();
        let first = self.journal.number();
        let before = self.snapshot()?;
        let begun = Instant::now();
        let purges = Purges::start(&self.journal, plan.purges_per_s, plan.seed)?;
        let (mut began, mut ended) = (None, None);
        let (mut changes, mut restarts) = (Vec::new(), 0);
        loop {
            let passed = begun.elapsed().as_secs_f64();
            if passed >= plan.seconds {
                break;
            }
            if let Some(fault) = plan.fault {
                if began.is_none() && passed >= plan.seconds * 0.25 {
                    began = Some((Instant::now(), crate::recording::now()));
                    self.inject(fault)?;
                }
                if ended.is_none() && passed >= plan.seconds * 0.75 {
                    self.clear(fault);
                    ended = Some(Instant::now());
                }
                self.poll_views(fault, began, ended)?;
            }
            if changes.len() < (passed * plan.changes_per_s) as usize {
                let file = self.layout.write_changes(changes.len())?;
                let file = file.display().to_string();
                let at = crate::recording::now();
                let batch = self.command(0, &["hierarchy", "apply", &file])?;
                let version =
                    batch["stamp"].as_u64().ok_or("`hierarchy apply` returned a batch without `stamp`")?;
                changes.push((version, at));
            }
            if restarts < (passed * plan.restarts_per_s) as usize {
                // Router 0 is never restarted: it is watched, and applies the changes.
                let router = random.random_range(1..plan.real);
                self.processes.kill(router);
                self.start_process(router)?;
                self.disturbed.push(router);
                restarts += 1;
            }
            self.check_limits("under load")?;
            thread::sleep(Duration::from_millis(20));
        }
        // Measured while events are still published.
        let ages = self.ages()?;
        let after = self.snapshot()?;
        let memory = self.processes.memory()?;
        drop(purges);
        if let Some(fault) = plan.fault {
            while self.awaits_notice(fault, true) {
                self.poll_views(fault, began, ended)?;
                self.check_limits("the cut-off routers and the others do not see each other yet")?;
                thread::sleep(Duration::from_millis(100));
            }
        }
        let events = (first, self.journal.number());
        Ok(Window { snapshots: [before, after], memory, ages, events, changes })
    }

    /// Runs a command on a router's control socket; returns its output as JSON.
    fn command(&self, router: usize, arguments: &[&str]) -> Result<Value, Failure> {
        let socket = self.layout.socket(router);
        let mut command = Command::new(&self.plan.program);
        command.args(arguments).arg("--socket").arg(socket).args(["--format", "json"]).stdin(Stdio::null());
        let output = command.output()?;
        match output.status.success() {
            true => Ok(serde_json::from_slice(&output.stdout).unwrap_or(Value::Null)),
            false => {
                let message = String::from_utf8_lossy(&output.stderr);
                Err(format!("{}: {}: {message}", name(router), arguments.join(" ")).into())
            }
        }
    }

    /// How stale the polled routers' knowledge of the others' journal positions is, in seconds; empty without
    /// purges.
    fn ages(&self) -> Result<Vec<(usize, f64)>, Failure> {
        let mut ages = Vec::new();
        if self.plan.purges_per_s <= 0.0 {
            return Ok(ages);
        }
        for n in self.polled_routers() {
            let number = self.journal.number() as f64;
            let shown = self.command(n, &["fleet", "show"])?;
            for line in shown["fellows"]["others"].as_array().into_iter().flatten() {
                let there = line["acts"]["journal"].as_u64().unwrap_or(0) as f64;
                ages.push((n, (number - there).max(0.0) / self.plan.purges_per_s));
            }
        }
        Ok(ages)
    }

    /// Waits until all running routers have applied all published events, or a time-out has passed.
    fn wait_until_applied(&mut self) -> Result<(), Failure> {
        let all = self.journal.number();
        let until = self.until.min(Instant::now() + TIMEOUT);
        let running = self.processes.routers();
        while Instant::now() < until {
            let meters = self.journal.meters();
            if running.iter().all(|n| meters[*n].reached >= all) {
                return Ok(());
            }
            self.check_limits("waiting for routers to apply all events")?;
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// From the audit logs: how long it took until each router acted on each change, in milliseconds, and how
    /// many changes each router has not acted on. Waits for missing changes until a time-out.
    fn changes(&self, published: &[Change]) -> Result<[Vec<(usize, f64)>; 2], Failure> {
        let Some((newest, _)) = published.last() else { return Ok([Vec::new(), Vec::new()]) };
        let until = self.until.min(Instant::now() + TIMEOUT);
        let mut acted = BTreeMap::new();
        let lacks = |acted: &[Change]| acted.iter().all(|(version, _)| version < newest);
        loop {
            for n in self.processes.routers() {
                if acted.get(&n).is_none_or(|acted: &Vec<Change>| lacks(acted)) {
                    acted.insert(n, self.versions_acted_on(n)?);
                }
            }
            if Instant::now() > until || !acted.values().any(|acted| lacks(acted)) {
                break;
            }
            thread::sleep(Duration::from_millis(200));
        }
        let (mut delays, mut missing) = (Vec::new(), Vec::new());
        for (n, acted) in acted {
            // A later version includes the earlier changes.
            let first = |version: &u64| acted.iter().find(|(acted, _)| acted >= version).map(|(_, at)| *at);
            let firsts =
                published.iter().filter_map(|(version, at)| Some((n, (first(version)? - at).max(0.0))));
            let before = delays.len();
            delays.extend(firsts);
            missing.push((n, (published.len() - (delays.len() - before)) as f64));
        }
        Ok([delays, missing])
    }

    /// The versions of the hierarchy that a router acted on, each with its first time, from its audit log.
    fn versions_acted_on(&self, n: usize) -> Result<Vec<Change>, Failure> {
        let file = self.layout.folder.join("audit-export");
        self.command(n, &["audit", "export", &file.display().to_string()])?;
        let records = read_file(&std::fs::read(&file)?)?;
        // Records of other routers are replicas.
        let own = records.iter().filter(|record| record.name == name(n));
        let decoded = own.filter_map(|record| record.decode_record().ok());
        let spans = decoded.filter_map(|record| match record {
            AuditRecord::Span(span) => Some((span.versions.hierarchy.version, span.from.ms as f64)),
            _ => None,
        });
        Ok(spans.collect())
    }
}

fn count(counters: &Counters, name: &str) -> u64 {
    counters.get(name).copied().unwrap_or(0)
}
