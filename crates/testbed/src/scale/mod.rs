//! Owns the sockets half of the scale run: real processes of the built router beside hollow ones, measured by router.
//!
//! A hollow process is the built program with many routers in it, each on a thread and a loop of its own: the same
//! control code with its real sockets, and no clients. Discovery is a stand-in ([`journal`]); what else is simulated:
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

mod journal;
mod places;
mod process;

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use linnethook_audit::record::{read_file, ChainLink, Record as AuditRecord};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::fault_proxy::{FaultProxy, LinkConditions, TO_ACCEPTOR, TO_DIALER};
use crate::harness::{alive, line};
use crate::recording::Ms;
use journal::{Journal, Meter};
pub use places::{by_place, join, place, PARTS, SITE};
use places::{list, name, Places};
use process::{Counters, Processes, PATIENCE};

/// Why a run came to nothing.
pub type Failure = Box<dyn std::error::Error + Send + Sync>;

/// What befalls the fleet in the middle of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fault {
    /// The control machine is killed, and comes back.
    ControlKilled,
    /// All routers of a hollow process are killed at once.
    Rack,
    /// A zone is cut from all others, and comes back.
    ZoneCut,
    /// Two halves lose each other, and meet again.
    RegionsApart,
    /// One router's links are slow.
    SlowMember,
    /// All routers of a hollow process end and start again at once.
    ZoneStart,
}

/// Which kind of process a router runs in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Form {
    Real,
    Hollow,
}

/// A run of the scale rig.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Processes with one router, and routers that share processes, this many to each.
    pub real: usize,
    pub hollow: usize,
    pub hollow_per_process: usize,
    /// How long is measured, in seconds.
    pub seconds: f64,
    pub purges_per_s: f64,
    pub changes_per_s: f64,
    pub restarts_per_s: f64,
    pub fault: Option<Fault>,
    pub seed: u64,
    /// The built router.
    pub program: PathBuf,
    /// Fellows that each router dials.
    pub dials: usize,
    /// Routers have places, and what is known beyond a site is summed up; else all tell all. Links follow from the places.
    pub places: bool,
}

/// A row: one measure over the routers of one form.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    pub form: Form,
    /// Routers in all, of both forms.
    pub routers: usize,
    pub measure: String,
    pub unit: String,
    pub median: f64,
    pub p99: f64,
    pub worst: f64,
}

/// Bounds of a run: processes, routers, how long all of it may take, and memory in bytes.
pub const PROCESSES: usize = 200;
pub const ROUTERS: usize = 2_000;
pub const LONGEST: Duration = Duration::from_secs(590);
pub const MEMORY: f64 = 12e9;
/// Of the machine's cores the routers may take this part, over so long.
pub const MOST_CORES: f64 = 0.75;
const CROWDED: Duration = Duration::from_secs(5);
/// Bytes a second on the links of a slow member.
pub const SLOW: f64 = 2_000.0;
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

fn check(plan: &Plan) -> Result<(), Failure> {
    let routers = plan.real + plan.hollow;
    let processes = plan.real + plan.hollow.div_ceil(plan.hollow_per_process.max(1));
    let rates = [plan.purges_per_s, plan.changes_per_s, plan.restarts_per_s];
    let needs_hollow = matches!(plan.fault, Some(Fault::Rack | Fault::ZoneStart | Fault::ZoneCut));
    let problems = [
        (!(2..=ROUTERS).contains(&routers), format!("expected 2 to {ROUTERS} routers, got {routers}")),
        (processes > PROCESSES, format!("expected up to {PROCESSES} processes, got {processes}")),
        (
            plan.hollow > 0 && !(1..=256).contains(&plan.hollow_per_process),
            format!("expected 1 to 256 hollow routers in a process, got {}", plan.hollow_per_process),
        ),
        (!(1.0..=300.0).contains(&plan.seconds), format!("expected 1 to 300 seconds, got {}", plan.seconds)),
        (
            !rates.iter().all(|rate| (0.0..=10_000.0).contains(rate)),
            format!("expected rates of 0 to 10000 a second, got {rates:?}"),
        ),
        (!(1..=16).contains(&plan.dials), format!("expected 1 to 16 dials, got {}", plan.dials)),
        (
            needs_hollow && (plan.hollow == 0 || processes < 2),
            "this fault needs a hollow process beside others".to_string(),
        ),
        (plan.places && plan.fault.is_some(), "faults are played where all tell all".to_string()),
        (plan.restarts_per_s > 0.0 && plan.real < 2, "restarts need two real routers".to_string()),
    ];
    match problems.into_iter().find(|(is, _)| *is) {
        Some((_, why)) => Err(why.into()),
        None => Ok(()),
    }
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

    /// The middles that a fault befalls.
    fn befallen(&self, fault: Fault) -> impl Iterator<Item = &FaultProxy> {
        let those = move |(from, to): (usize, usize)| match fault {
            Fault::ZoneCut | Fault::RegionsApart => self.places.crosses(from, to),
            Fault::SlowMember => from == 0 || to == 0,
            _ => false,
        };
        self.places.proxies.iter().filter(move |(ends, _)| those(**ends)).map(|(_, proxy)| proxy)
    }

    fn strike(&mut self, fault: Fault) -> Result<(), Failure> {
        let last = self.places.processes.len() - 1;
        match fault {
            Fault::ControlKilled => self.journal.kill(true),
            Fault::Rack | Fault::ZoneStart => {
                self.processes.kill(last);
                self.disturbed.extend(&self.places.apart);
                if fault == Fault::ZoneStart {
                    self.begin(last)?;
                }
            }
            Fault::ZoneCut | Fault::RegionsApart => {
                self.befallen(fault).for_each(FaultProxy::cut);
                if fault == Fault::RegionsApart {
                    self.journal.silence(&self.places.apart, true);
                }
            }
            Fault::SlowMember => {
                let conditions = LinkConditions { rate: SLOW, ..LinkConditions::default() };
                self.befallen(fault).for_each(|proxy| {
                    [TO_ACCEPTOR, TO_DIALER]
                        .into_iter()
                        .for_each(|direction| proxy.conditions(direction, conditions));
                });
            }
        }
        Ok(())
    }

    fn mend(&self, fault: Fault) {
        match fault {
            Fault::ControlKilled => self.journal.kill(false),
            Fault::Rack | Fault::ZoneStart => {}
            Fault::ZoneCut | Fault::RegionsApart | Fault::SlowMember => {
                self.befallen(fault).for_each(FaultProxy::mend);
                self.journal.silence(&self.places.apart, false);
            }
        }
    }

    /// Who is asked for a view of the others: some of each form that run all the while.
    fn asked(&self) -> Vec<usize> {
        let of = |form| {
            let those = (0..self.places.forms.len()).filter(move |n| self.places.forms[*n] == form);
            those.filter(|n| !self.places.apart.contains(n) && !self.disturbed.contains(n)).take(ASKED)
        };
        of(Form::Real).chain(of(Form::Hollow)).collect()
    }

    /// Whether somebody who is asked has yet to notice a fault's end, or a fault that does not end. What nobody has
    /// noticed by its end is not waited for.
    fn notices(&self, fault: Fault, ended: bool) -> bool {
        match fault {
            Fault::Rack => self.noticed.is_empty(),
            Fault::ZoneStart => self.recovered.is_empty(),
            Fault::ZoneCut | Fault::RegionsApart => {
                self.recovered.is_empty() && !(ended && self.noticed.is_empty())
            }
            Fault::ControlKilled | Fault::SlowMember => false,
        }
    }

    /// Looks whether those that are asked miss all whom a fault has cut off, and whether they see all again.
    fn notice(
        &mut self,
        fault: Fault,
        began: Option<(Instant, f64)>,
        ended: Option<Instant>,
    ) -> Result<(), Failure> {
        let Some((began, stamp)) = began.filter(|_| self.notices(fault, ended.is_some())) else {
            return Ok(());
        };
        if self.asked.is_some_and(|asked| asked.elapsed() < PAUSE) {
            return Ok(());
        }
        let (mut seen, mut starts_anew) = (Vec::new(), true);
        for n in self.asked() {
            let at = Instant::now();
            let shown = self.command(n, &["fleet", "show"])?;
            // A zone that starts again may never have been missed: its routers are there once these starts are.
            let anew = |n: &usize| {
                let start = line(&shown, &name(*n)).and_then(|line| line["start"].as_u64());
                start.is_some_and(|start| start as f64 / 1_000.0 >= stamp)
            };
            starts_anew &= self.places.apart.iter().all(anew);
            seen.push((n, at, alive(&shown)));
        }
        self.asked = Some(Instant::now());
        let others = self.places.forms.len() - 1;
        let here = others - self.places.apart.len();
        let since = |from: Instant| {
            move |(n, at, _): &(usize, Instant, usize)| (*n, at.saturating_duration_since(from).as_secs_f64())
        };
        if self.noticed.is_empty() && seen.iter().all(|(.., alive)| *alive <= here) {
            self.noticed = seen.iter().map(since(began)).collect();
        }
        let mended = match fault {
            Fault::ZoneStart => Some(began).filter(|_| starts_anew),
            Fault::ZoneCut | Fault::RegionsApart => ended.filter(|_| !self.noticed.is_empty()),
            Fault::Rack | Fault::ControlKilled | Fault::SlowMember => None,
        };
        let back = seen.iter().all(|(.., alive)| *alive == others);
        if let Some(mended) = mended.filter(|_| back) {
            self.recovered = seen.iter().map(since(mended)).collect();
        }
        Ok(())
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
        let links = read_file(&std::fs::read(&file)?).ok_or("accounts that can't be read")?;
        // Those of others are copies.
        let records = links.iter().filter(|link| link.name == name(n)).filter_map(ChainLink::decode_record);
        let spans = records.filter_map(|record| match record {
            AuditRecord::Span(span) => Some((span.versions.hierarchy.version, span.from.ms as f64)),
            _ => None,
        });
        Ok(spans.collect())
    }

    /// The rows of a run.
    fn rows(&mut self, window: &Window) -> Result<Vec<Sample>, Failure> {
        let last = self.look()?;
        let [changes, missing] = self.changes(&window.changes)?;
        let [before, after] = &window.looks;
        let seconds = (after.at - before.at).as_secs_f64();
        let mut rows = Rows { forms: &self.places.forms, rows: Vec::new() };
        let steady: Vec<usize> = (0..rows.forms.len()).filter(|n| !self.disturbed.contains(n)).collect();
        let of = |look: &Look, n: usize, names: &[&str]| -> f64 {
            look.counters.get(&n).map_or(0.0, |all| names.iter().map(|name| count(all, name) as f64).sum())
        };
        let rate = |names: &[&str]| -> Vec<(usize, f64)> {
            steady.iter().map(|n| (*n, (of(after, *n, names) - of(before, *n, names)) / seconds)).collect()
        };
        let links = ["link_bytes_out", "link_bytes_in"];
        let polls = ["journal_bytes_out", "journal_bytes_in"];
        rows.add("link said", "B/s", &rate(&links[..1]));
        rows.add("link heard", "B/s", &rate(&links[1..]));
        rows.add("journal said", "B/s", &rate(&polls[..1]));
        rows.add("journal heard", "B/s", &rate(&polls[1..]));
        rows.add("control", "B/s", &rate(&[links, polls].concat()));
        rows.add("facts said", "1/s", &rate(&["fellow_said"]));
        rows.add("facts heard", "1/s", &rate(&["fellow_heard"]));
        rows.add("fact bytes", "B/s", &rate(&["fellow_bytes"]));
        let polled = steady.iter().map(|n| (*n, (after.meters[*n].polls - before.meters[*n].polls) as f64));
        rows.add("polls", "1/s", &polled.map(|(n, polls)| (n, polls / seconds)).collect::<Vec<_>>());
        let spent = |n: &usize| Some((*n, after.processor.get(n)? - before.processor.get(n)?));
        let spent = steady.iter().filter_map(spent).map(|(n, spent)| (n, spent / seconds * 100.0));
        rows.add("processor", "% of a core", &spent.collect::<Vec<_>>());
        let memory = window.memory.iter().map(|(n, bytes)| (*n, bytes / 1e6));
        rows.add("memory", "MB", &memory.collect::<Vec<_>>());
        let delays = last.meters.iter().enumerate();
        let delays = delays.flat_map(|(n, meter)| meter.delays.iter().map(move |delay| (n, *delay)));
        rows.add("journal delay", "ms", &delays.collect::<Vec<_>>());
        // Those that ran all the while have a delay for every event.
        let event_count = window.events.1 - window.events.0;
        for form in [Form::Real, Form::Hollow] {
            let meters = steady.iter().filter(|n| self.places.forms[**n] == form).map(|n| &last.meters[*n]);
            let meters: Vec<&Meter> = meters.filter(|meter| meter.delays.len() == event_count).collect();
            let of_all = |n| meters.iter().map(|meter: &&Meter| meter.delays[n]).fold(0.0, f64::max);
            if !meters.is_empty() {
                rows.put(form, "journal delay, all", "ms", (0..event_count).map(of_all).collect());
            }
        }
        let number = self.journal.number() as f64;
        let running = self.processes.routers();
        let behind = running.iter().map(|n| (*n, number - of(&last, *n, &["journal_number"])));
        rows.add("behind", "events", &behind.collect::<Vec<_>>());
        rows.add("statement age", "s", &window.ages);
        rows.add("change delay", "ms", &changes);
        rows.add("changes missing", "changes", &missing);
        rows.add("joined", "s", &[(0, self.joined)]);
        let ready = |(n, begun): &(usize, Instant)| {
            let first = last.meters[*n].first.filter(|first| first >= begun)?;
            Some((*n, (first - *begun).as_secs_f64() * 1_000.0))
        };
        // Of the start of a zone, or of single ones, once the others have long been there.
        let later = self.starts.get(self.places.forms.len()..).unwrap_or_default();
        let starts = if later.is_empty() { &self.starts[..] } else { later };
        rows.add("ready", "ms", &starts.iter().filter_map(ready).collect::<Vec<_>>());
        rows.add("noticed", "s", &self.noticed);
        rows.add("whole", "s", &self.recovered);
        let through = |n: &usize| {
            let (before, after) = last.passed.get(n).filter(|(before, _)| *before > 0)?;
            let counted = of(&last, *n, &links);
            Some((*n, counted / counted.clamp(*before as f64, *after as f64)))
        };
        let cut = matches!(self.plan.fault, Some(Fault::ZoneCut | Fault::RegionsApart | Fault::SlowMember));
        let watched = self.places.watched.iter().filter(|n| !cut && steady.contains(n));
        rows.add("links by middle", "ratio", &watched.filter_map(through).collect::<Vec<_>>());
        let ratio = |n: &usize| {
            let Meter { bytes_sent, bytes_received, .. } = last.meters[*n];
            (*n, of(&last, *n, &polls) / (bytes_sent + bytes_received) as f64)
        };
        let undisturbed = self.plan.fault != Some(Fault::ControlKilled) && !cut;
        let counted = steady.iter().filter(|_| undisturbed).map(ratio);
        rows.add("journal by stand-in", "ratio", &counted.collect::<Vec<_>>());
        Ok(rows.rows)
    }
}

fn count(counters: &Counters, name: &str) -> u64 {
    counters.get(name).copied().unwrap_or(0)
}

/// Rows as they are collected.
struct Rows<'a> {
    forms: &'a [Form],
    rows: Vec<Sample>,
}

impl Rows<'_> {
    /// A row for each form that has values.
    fn add(&mut self, measure: &str, unit: &str, values: &[(usize, f64)]) {
        for form in [Form::Real, Form::Hollow] {
            let own = values.iter().filter(|(n, _)| self.forms[*n] == form);
            self.put(form, measure, unit, own.map(|(_, value)| *value).collect());
        }
    }

    fn put(&mut self, form: Form, measure: &str, unit: &str, mut values: Vec<f64>) {
        values.sort_by(f64::total_cmp);
        let Some(worst) = values.last().copied() else { return };
        let at = |part: f64| values[((values.len() - 1) as f64 * part).round() as usize];
        let (measure, unit) = (measure.to_string(), unit.to_string());
        let (median, p99) = (at(0.5), at(0.99));
        self.rows.push(Sample { form, routers: self.forms.len(), measure, unit, median, p99, worst });
    }
}

/// Purges that discovery tells at a steady rate, by a thread of their own; dropped, they end.
struct Purges {
    over: Arc<AtomicBool>,
    teller: Option<thread::JoinHandle<()>>,
}

impl Purges {
    fn start(journal: &Arc<Journal>, rate: f64, seed: u64) -> Result<Self, Failure> {
        let over = Arc::new(AtomicBool::new(false));
        let (done, journal) = (over.clone(), journal.clone());
        let teller = move || {
            let begun = Instant::now();
            let mut objects = Pcg64Mcg::seed_from_u64(seed);
            for n in 1u64.. {
                // Without any there is nothing to wait for.
                let due = if rate > 0.0 { n as f64 / rate } else { f64::INFINITY };
                while begun.elapsed().as_secs_f64() < due {
                    if done.load(Ordering::Acquire) {
                        return;
                    }
                    thread::sleep(Duration::from_millis(2));
                }
                let object = format!("{:016x}", objects.random::<u64>());
                let event = json!({"expire": {"name": object, "stamp": crate::recording::now().floor()}});
                journal.tell(event, begun + Duration::from_secs_f64(due));
            }
        };
        let teller = Some(thread::Builder::new().spawn(teller)?);
        Ok(Self { over, teller })
    }
}

impl Drop for Purges {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Release);
        self.teller.take().map(thread::JoinHandle::join);
    }
}
