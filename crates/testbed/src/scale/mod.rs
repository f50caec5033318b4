//! The sockets half of the scale run: real processes of the built router beside hollow ones, measured by router.
//!
//! A hollow process is the built program with many routers in it, each on a thread and a loop of its own: the same
//! control code with its real sockets, and no clients. Discovery is simulated (`journal`); what else is simulated:
//! a zone or region is cut by resetting the few links that lead across, a rack or zone ends by SIGKILL of one process,
//! a slow member has links of [`SLOW`] bytes a second. All of a run has a bound, and ends when the run does.
//!
//! Rows are over routers, by form, but for those that a fault or restart has ended in between:
//!
//! - `link said`, `link heard`, `journal said`, `journal heard`, `control`: bytes a second on the sockets, by the
//!   program's own counts; `control` is all of them together;
//! - `facts said`, `facts heard`, `fact bytes`: what members tell each other, in messages and bytes a second;
//! - `polls`: polls of discovery a second, as the stand-in has counted them;
//! - `processor`: percent of a core; `memory`: megabytes, a process's share for each router in it;
//! - `journal delay`: milliseconds from when an event was told until a router has taken it in; `journal delay, all`:
//!   the same until the last of them has, by event; `behind`: events that a router lacks when the run ends;
//! - `statement age`: how old, in seconds, what a router knows of another one's place in the journal is, while events
//!   still come; `change delay`: milliseconds from a change of the hierarchy at one router until each acts on it, to 200;
//!   `changes missing`: those that a router has not acted on half a minute after the load's end;
//! - `joined`: seconds from the start until all know of each other; `ready`: milliseconds from a start to the first
//!   poll; `noticed`: seconds from a fault until those asked miss all whom it cut off, if they do before its end;
//!   `whole`: seconds from its end, or from a zone's start, until they see all again;
//! - `links by middle`, `journal by stand-in`: the program's bytes over those that were counted outside of it; on links
//!   1 where the program's lie between what had passed before it was asked and after it had told.

mod faults;
mod journal;
mod places;
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
use places::{list, name, Places};
use plan::check;
use process::{Counters, Processes, PATIENCE};
use purges::Purges;

pub use places::{by_place, join, place, PARTS, SITE};
pub use plan::{Failure, Fault, Form, Plan, Sample, LONGEST, MEMORY, MOST_CORES, PROCESSES, ROUTERS, SLOW};

const CROWDED: Duration = Duration::from_secs(5);
/// Routers of each form that are asked for their view of the others.
const ASKED: usize = 2;
/// How often they are asked while a fault is looked at.
const PAUSE: Duration = Duration::from_millis(250);

/// Plays a plan and measures each router.
///
/// # Errors
/// A plan beyond the bounds, a router that does not start or ends by itself, or a run that takes too long.
pub fn run(plan: &Plan) -> Result<Vec<Sample>, Failure> {
    check(plan)?;
    let mut rig = Harness::start(plan)?;
    rig.join()?;
    let window = rig.play()?;
    rig.settle()?;
    rig.rows(&window)
}

/// The fleet of a run.
struct Harness<'a> {
    plan: &'a Plan,
    until: Instant,
    processes: Processes,
    journal: Arc<Journal>,
    places: Places,
    joined: f64,
    /// Starts that are looked at: router, and when its process was started.
    starts: Vec<(usize, Instant)>,
    /// Routers that did not run all the while.
    disturbed: Vec<usize>,
    /// Seconds until those asked noticed a fault, and until they saw all again after its end.
    noticed: Vec<(usize, f64)>,
    recovered: Vec<(usize, f64)>,
    /// When they were asked last.
    asked: Option<Instant>,
    /// Seconds of the processor that the routers had taken by then.
    spent: Option<(Instant, f64)>,
}

/// Counts of all routers at a time.
struct Look {
    at: Instant,
    counters: BTreeMap<usize, Counters>,
    processor: BTreeMap<usize, f64>,
    meters: Vec<Meter>,
    /// Bytes that the middles around a router had passed before it told its counters, and after.
    passed: BTreeMap<usize, (u64, u64)>,
}

/// What was seen while the load was on.
struct Window {
    looks: [Look; 2],
    memory: BTreeMap<usize, f64>,
    /// How old what a router knew of others was, in seconds.
    ages: Vec<(usize, f64)>,
    /// The last event before, and the last one told.
    events: (usize, usize),
    changes: Vec<Change>,
}

/// A version of the hierarchy, and when it was told or acted on, in Unix milliseconds.
type Change = (u64, Ms);

impl<'a> Harness<'a> {
    /// Starts all processes.
    fn start(plan: &'a Plan) -> Result<Self, Failure> {
        let begun = Instant::now();
        let until = begun + LONGEST;
        let places = Places::new(plan)?;
        let journal = Arc::new(Journal::start(places.journals(), vec![list()])?);
        let processes = Processes::new(&plan.program)?;
        let mut rig = Self {
            plan,
            until,
            processes,
            journal,
            places,
            joined: 0.0,
            starts: Vec::new(),
            disturbed: Vec::new(),
            noticed: Vec::new(),
            recovered: Vec::new(),
            asked: None,
            spent: None,
        };
        for process in 0..rig.places.processes.len() {
            rig.begin(process)?;
        }
        let all = rig.processes.routers();
        rig.processes.until_up(&all, rig.until)?;
        Ok(rig)
    }

    /// Starts a process with all that discovery has told by now.
    fn begin(&mut self, process: usize) -> Result<(), Failure> {
        let (number, known) = self.journal.known();
        let members = self.places.processes[process].clone();
        for n in &members {
            self.places.write_operator(*n)?;
            self.places.write_config(*n, &known)?;
            self.journal.begins(*n, number);
        }
        let at = self.processes.start(&self.places, process)?;
        self.starts.extend(members.iter().map(|n| (*n, at)));
        Ok(())
    }

    /// Waits until all know of each other.
    fn join(&mut self) -> Result<(), Failure> {
        let begun = self.starts.iter().map(|(_, at)| *at).min().unwrap_or(self.until);
        let all = self.places.forms.len();
        if self.plan.places {
            // Who is asked: the first of each site.
            for first in (0..all).step_by(SITE) {
                loop {
                    let fleet_size = self.command(first, &["fleet", "show"])?["whole"].as_u64();
                    if fleet_size == Some(all as u64) {
                        break;
                    }
                    self.bounds(&format!("{} counts {fleet_size:?} routers instead of {all}", name(first)))?;
                    thread::sleep(Duration::from_millis(200));
                }
            }
            self.joined = begun.elapsed().as_secs_f64();
            return Ok(());
        }
        let others = (all - 1) as u64;
        loop {
            let counters = self.processes.counters(self.until.min(Instant::now() + PATIENCE))?;
            let fewest = counters.values().map(|counters| count(counters, "fellows")).min();
            if fewest.is_some_and(|fewest| fewest >= others) {
                self.joined = begun.elapsed().as_secs_f64();
                return Ok(());
            }
            self.bounds(&format!("one router knows of {fewest:?} others instead of {others}"))?;
            thread::sleep(Duration::from_millis(200));
        }
    }

    /// A run that passes a bound ends.
    fn bounds(&mut self, what: &str) -> Result<(), Failure> {
        self.spare_cores(what)?;
        let memory: f64 = self.processes.memory()?.values().sum();
        if memory > MEMORY {
            return Err(format!("the routers take {memory:.0} bytes of memory").into());
        }
        match Instant::now() < self.until {
            true => Ok(()),
            false => Err(format!("no more time: {what}").into()),
        }
    }

    /// A fleet that wants all of the machine is ended: what it would be measured at is how long its threads wait for a core,
    /// and nobody else would get one.
    fn spare_cores(&mut self, what: &str) -> Result<(), Failure> {
        let passed = self.spent.map_or(f64::INFINITY, |(at, _)| at.elapsed().as_secs_f64());
        if passed < CROWDED.as_secs_f64() {
            return Ok(());
        }
        let now = self.processes.processor()?.values().sum::<f64>();
        if let Some((_, before)) = self.spent.replace((Instant::now(), now)) {
            let cores = thread::available_parallelism().map_or(1, usize::from) as f64;
            let wanted = (now - before) / passed;
            if wanted > cores * MOST_CORES {
                return Err(format!("the routers take {wanted:.1} of {cores} cores: {what}").into());
            }
        }
        Ok(())
    }

    fn look(&mut self) -> Result<Look, Failure> {
        let until = self.until.min(Instant::now() + PATIENCE);
        let at = Instant::now();
        let began = self.passed();
        let counters = self.processes.counters(until)?;
        let (meters, processor) = (self.journal.meters(), self.processes.processor()?);
        let passed = self.passed().into_iter().map(|(n, after)| (n, (began[&n], after))).collect();
        Ok(Look { at, counters, processor, meters, passed })
    }

    /// Bytes that the middles around those routers that are watched have passed.
    fn passed(&self) -> BTreeMap<usize, u64> {
        let passed = |n: usize| {
            let proxies = self.places.proxies.iter().filter(move |((from, to), _)| *from == n || *to == n);
            proxies.map(|(_, proxy)| proxy.passed().bytes.iter().sum::<u64>()).sum()
        };
        self.places.watched.iter().map(|n| (*n, passed(*n))).collect()
    }

    /// The load, and the fault in the middle half of it.
    fn play(&mut self) -> Result<Window, Failure> {
        let plan = self.plan;
        let mut chance = Pcg64Mcg::seed_from_u64(plan.seed ^ 1);
        self.journal.forget_delays();
        let first = self.journal.number();
        let before = self.look()?;
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
                    self.strike(fault)?;
                }
                if ended.is_none() && passed >= plan.seconds * 0.75 {
                    self.mend(fault);
                    ended = Some(Instant::now());
                }
                self.notice(fault, began, ended)?;
            }
            if changes.len() < (passed * plan.changes_per_s) as usize {
                let file = self.places.write_changes(changes.len())?;
                let file = file.display().to_string();
                let at = crate::recording::now();
                let batch = self.command(0, &["hierarchy", "apply", &file])?;
                let version = batch["stamp"].as_u64().ok_or("a batch without a version")?;
                changes.push((version, at));
            }
            if restarts < (passed * plan.restarts_per_s) as usize {
                // The first one is watched, and takes the changes.
                let router = chance.random_range(1..plan.real);
                self.processes.kill(router);
                self.begin(router)?;
                self.disturbed.push(router);
                restarts += 1;
            }
            self.bounds("the load is on")?;
            thread::sleep(Duration::from_millis(20));
        }
        // What they know of each other while there is still something to tell.
        let ages = self.ages()?;
        let after = self.look()?;
        let memory = self.processes.memory()?;
        drop(purges);
        if let Some(fault) = plan.fault {
            while self.notices(fault, true) {
                self.notice(fault, began, ended)?;
                self.bounds("those that were apart do not see each other")?;
                thread::sleep(Duration::from_millis(100));
            }
        }
        let events = (first, self.journal.number());
        Ok(Window { looks: [before, after], memory, ages, events, changes })
    }

    /// What a command says to a router, as JSON.
    fn command(&self, router: usize, arguments: &[&str]) -> Result<Value, Failure> {
        let socket = self.places.socket(router);
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

    /// How old what those that are asked know of others is, where events come at a rate.
    fn ages(&self) -> Result<Vec<(usize, f64)>, Failure> {
        let mut ages = Vec::new();
        if self.plan.purges_per_s <= 0.0 {
            return Ok(ages);
        }
        for n in self.asked() {
            let number = self.journal.number() as f64;
            let shown = self.command(n, &["fleet", "show"])?;
            for line in shown["fellows"]["others"].as_array().into_iter().flatten() {
                let there = line["acts"]["journal"].as_u64().unwrap_or(0) as f64;
                ages.push((n, (number - there).max(0.0) / self.plan.purges_per_s));
            }
        }
        Ok(ages)
    }

    /// Waits until all that run have taken in all that was told, or for long enough to say that they have not.
    fn settle(&mut self) -> Result<(), Failure> {
        let all = self.journal.number();
        let until = self.until.min(Instant::now() + PATIENCE);
        let running = self.processes.routers();
        while Instant::now() < until {
            let meters = self.journal.meters();
            if running.iter().all(|n| meters[*n].reached >= all) {
                return Ok(());
            }
            self.bounds("events are taken in")?;
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// How long each change took until each router acted on it, in milliseconds, by the accounts, and how many changes
    /// each has not acted on; those are waited for.
    fn changes(&self, published: &[Change]) -> Result<[Vec<(usize, f64)>; 2], Failure> {
        let Some((newest, _)) = published.last() else { return Ok([Vec::new(), Vec::new()]) };
        let until = self.until.min(Instant::now() + PATIENCE);
        let mut acted = BTreeMap::new();
        let lacks = |acted: &[Change]| acted.iter().all(|(version, _)| version < newest);
        loop {
            for n in self.processes.routers() {
                if acted.get(&n).is_none_or(|acted: &Vec<Change>| lacks(acted)) {
                    acted.insert(n, self.acted(n)?);
                }
            }
            if Instant::now() > until || !acted.values().any(|acted| lacks(acted)) {
                break;
            }
            thread::sleep(Duration::from_millis(200));
        }
        let (mut delays, mut missing) = (Vec::new(), Vec::new());
        for (n, acted) in acted {
            // One that acts on a later version acts on the earlier ones, too.
            let first = |version: &u64| acted.iter().find(|(acted, _)| acted >= version).map(|(_, at)| *at);
            let firsts =
                published.iter().filter_map(|(version, at)| Some((n, (first(version)? - at).max(0.0))));
            let before = delays.len();
            delays.extend(firsts);
            missing.push((n, (published.len() - (delays.len() - before)) as f64));
        }
        Ok([delays, missing])
    }

    /// The versions of the hierarchy that a router acted on, and from when on, by its account.
    fn acted(&self, n: usize) -> Result<Vec<Change>, Failure> {
        let file = self.places.folder.join("accounts");
        self.command(n, &["audit", "export", &file.display().to_string()])?;
        let links = read_file(&std::fs::read(&file)?)?;
        // Those of others are copies.
        let records =
            links.iter().filter(|link| link.name == name(n)).filter_map(|link| link.decode_record().ok());
        let spans = records.filter_map(|record| match record {
            AuditRecord::Span(span) => Some((span.versions.hierarchy.version, span.from.ms as f64)),
            _ => None,
        });
        Ok(spans.collect())
    }
}

fn count(counters: &Counters, name: &str) -> u64 {
    counters.get(name).copied().unwrap_or(0)
}
