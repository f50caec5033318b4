//! The cost of a router as the fleet grows: fleets of increasing size in virtual time and on sockets,
//! components on their own, and slopes through the measurements.
//!
//! - [`fleet`]: a large fleet of the shipped membership core in virtual time;
//! - [`parts`]: one member of a fleet of any size, the decision module, a page of the journal, the
//!   hierarchy, the audit log, and a link;
//! - [`row`], [`fit`]: rows, and least squares through them;
//! - [`page`]: tables and charts;
//! - [`run`]: runs all stages within limits of time and memory.

pub mod fit;
pub mod fleet;
pub mod page;
pub mod parts;
pub mod row;

use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use clap::{Args, ValueEnum};
use linnethook_testbed::scale as sockets;
use xxhash_rust::xxh3::xxh3_64;

use fleet::{Fleet, FleetFault, FleetResults, RouterCounters, Setup};
use row::{Form, Half, Load, Row};

/// A stage of a scale run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Stage {
    /// Components on their own
    Parts,
    /// One member of a fleet of each size, up to twice the planned one
    Alone,
    /// Complete fleets in virtual time
    Virtual,
    /// Faults in virtual time
    Faults,
    /// Real and hollow processes
    Sockets,
}

/// Fleets of increasing size: traffic, memory and CPU time of each router, and propagation delays
#[derive(Debug, Clone, Args)]
pub struct Options {
    /// Stages to run, in this order
    #[arg(long, value_enum, value_delimiter = ',', default_value = "parts,alone,virtual,faults,sockets")]
    pub stages: Vec<Stage>,
    /// Numbers of routers of the fleets in virtual time, increasing, from 4 to 8192
    #[arg(long, value_delimiter = ',', default_value = "10,20,40,80,160,320,640,1280,2560")]
    pub sizes: Vec<usize>,
    /// Numbers of routers of the fleets on sockets, increasing, from 4 to 640
    #[arg(long, value_delimiter = ',', default_value = "10,20,40,80,160,320")]
    pub socket_sizes: Vec<usize>,
    /// Purges per second in the entire fleet; each rate is a series of its own
    #[arg(long, value_delimiter = ',', default_value = "0,10,50,350")]
    pub purges: Vec<f64>,
    /// Configuration changes per second in the entire fleet
    #[arg(long, default_value_t = 0.28)]
    pub changes: f64,
    /// Restarts per second in the entire fleet
    #[arg(long, default_value_t = 0.03)]
    pub restarts: f64,
    /// Seconds that are measured; proportionally fewer for fleets of more than 160 routers, but at least 2
    #[arg(long, default_value_t = 10.0)]
    pub seconds: f64,
    /// Number of routers of the fleet in which faults are simulated
    #[arg(long, default_value_t = 320)]
    pub fault_size: usize,
    /// Faults in virtual time by their names in the tables, `none` for the fleet without a fault; all by
    /// default
    #[arg(long, value_delimiter = ',')]
    pub faults: Vec<String>,
    /// How routers inform each other of the versions that they act on
    #[arg(long, value_enum, value_delimiter = ',', default_value = "flat")]
    pub form: Vec<Form>,
    /// Seed of all random choices
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Threads; bytes, counts and virtual times are the same with any number of them
    #[arg(long, default_value_t = 3)]
    pub jobs: usize,
    /// Time limit of the run, in minutes
    #[arg(long, default_value_t = 10.0)]
    pub minutes: f64,
    /// Estimated memory above which a size is skipped, in gigabytes
    #[arg(long, default_value_t = 12.0)]
    pub gigabytes: f64,
    /// Executable of the router, for real and hollow processes; by default the one in the folder of this
    /// program
    #[arg(long, value_name = "FILE")]
    pub program: Option<PathBuf>,
    /// File for the rows and then the slopes, as lines of JSON
    #[arg(long, value_name = "FILE")]
    pub out: Option<PathBuf>,
    /// Folder for the charts, as SVG
    #[arg(long, value_name = "FOLDER")]
    pub svg: Option<PathBuf>,
}

/// Limit of processes at once; hollow ones share half of it.
const MAX_PROCESSES: usize = 200;
/// Fleets of up to this size are also simulated without the rate limit.
const MAX_UNLIMITED_ROUTERS: usize = 160;
/// Estimated bytes that each member occupies at each other one: somewhat more than the measured
/// `memory of a member`.
const BYTES_PER_PAIR: f64 = 1_400.0;
/// Estimated CPU seconds for each pair of members: of one tick, and to construct the fleet.
const CPU_SECONDS_PER_PAIR_AND_TICK: f64 = 5e-6;
const CPU_SECONDS_PER_PAIR_AT_START: f64 = 5e-6;

impl Options {
    /// Checks the ranges of all options.
    ///
    /// # Errors
    /// The first option out of its range, in one line.
    pub fn check(&self) -> Result<(), String> {
        let increasing = |sizes: &[usize], most: usize| {
            sizes.is_sorted_by(|a, b| a < b) && sizes.iter().all(|size| (4..=most).contains(size))
        };
        let within = |what: &str, value: f64, low: f64, high: f64| match (low..=high).contains(&value) {
            true => Ok(()),
            false => Err(format!("{what}: {value}, expected from {low} to {high}")),
        };
        if !increasing(&self.sizes, 8_192) || self.sizes.is_empty() {
            return Err(format!("--sizes: {:?}, expected increasing sizes from 4 to 8192", self.sizes));
        }
        if !increasing(&self.socket_sizes, 640) {
            return Err(format!(
                "--socket-sizes: {:?}, expected increasing sizes from 4 to 640",
                self.socket_sizes
            ));
        }
        self.purges.iter().try_for_each(|rate| within("--purges", *rate, 0.0, 2_000.0))?;
        within("--changes", self.changes, 0.0, 100.0)?;
        within("--restarts", self.restarts, 0.0, 20.0)?;
        within("--seconds", self.seconds, 1.0, 1_200.0)?;
        if self.stages.contains(&Stage::Sockets) {
            within("--seconds with stage sockets", self.seconds, 1.0, 120.0)?;
        }
        within("--fault-size", self.fault_size as f64, 4.0, 1_280.0)?;
        within("--jobs", self.jobs as f64, 1.0, 8.0)?;
        within("--minutes", self.minutes, 0.1, 10.0)?;
        within("--gigabytes", self.gigabytes, 0.1, 12.0)
    }
}

/// The results of a run.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub rows: Vec<Row>,
    /// The measurements that were skipped, with the reason.
    pub skipped: Vec<String>,
}

struct Run<'a> {
    options: &'a Options,
    id: String,
    started_at: Instant,
    stop: &'a AtomicBool,
    outcome: Outcome,
    rows_written: usize,
    report: &'a mut dyn FnMut(&str),
    write_row: &'a mut dyn FnMut(&Row) -> io::Result<()>,
}

/// Runs the stages within the limits of time and memory. `write_row` gets the rows as they are measured, and
/// `report` a line of progress for each measurement.
///
/// # Errors
/// An executable that cannot be read, and errors of `write_row`.
pub fn run(
    options: &Options,
    stop: &AtomicBool,
    report: &mut dyn FnMut(&str),
    write_row: &mut dyn FnMut(&Row) -> io::Result<()>,
) -> io::Result<Outcome> {
    // Options that do not affect the rows are excluded from the identifier.
    let named = Options { out: None, svg: None, jobs: 1, program: None, ..options.clone() };
    let digest = xxh3_64(format!("{named:?} {}", crate::rows::build()?).as_bytes());
    let id = format!("{:08x}", digest >> 32);
    let (started_at, outcome) = (Instant::now(), Outcome::default());
    let mut run = Run { options, id, started_at, stop, outcome, rows_written: 0, report, write_row };
    for stage in &options.stages {
        match stage {
            Stage::Parts => run.parts(),
            Stage::Alone => run.alone(),
            Stage::Virtual => run.fleets()?,
            Stage::Faults => run.faults()?,
            Stage::Sockets => run.sockets()?,
        }
        run.write_rows()?;
    }
    Ok(run.outcome)
}

fn no_load() -> Load {
    Load { purges: 0.0, changes: 0.0, restarts: 0.0, fault: String::new() }
}

/// Seconds that are measured for a fleet of this size.
fn seconds(options: &Options, routers: usize) -> f64 {
    let cut = options.seconds * (160.0 / routers as f64).min(1.0);
    cut.max(options.seconds.min(2.0))
}

impl Run<'_> {
    /// The remaining time of a stage. The other stages use 55 % of the time limit if the sockets stage is to
    /// run.
    fn time_left(&self, stage: Stage) -> Duration {
        let sockets = self.options.stages.contains(&Stage::Sockets) && stage != Stage::Sockets;
        let part = if sockets { 0.55 } else { 1.0 };
        Duration::from_secs_f64(self.options.minutes * 60.0 * part).saturating_sub(self.started_at.elapsed())
    }

    fn write_rows(&mut self) -> io::Result<()> {
        self.outcome.rows[self.rows_written..].iter().try_for_each(|row| (self.write_row)(row))?;
        self.rows_written = self.outcome.rows.len();
        Ok(())
    }

    fn is_over(&self, stage: Stage) -> bool {
        self.stop.load(Ordering::Acquire) || self.time_left(stage).is_zero()
    }

    fn skip(&mut self, what: String) {
        (self.report)(&format!("skipped: {what}"));
        self.outcome.skipped.push(what);
    }

    fn row(&self, half: Half, form: Form, (measure, unit): (&str, &str), of: &str, size: f64) -> Row {
        Row {
            run: self.id.clone(),
            half,
            form,
            measure: measure.to_string(),
            unit: unit.to_string(),
            of: of.to_string(),
            size,
            load: no_load(),
            seconds: 0.0,
            seed: self.options.seed,
            count: 0,
            median: None,
            p99: None,
            worst: None,
            never: 0,
        }
    }

    fn measured(&mut self, half: Half, all: Vec<parts::Measured>) {
        for (measure, unit, of, size, value) in all {
            let row = self.row(half, Form::Flat, (measure, unit), of, size).of(vec![value]);
            self.outcome.rows.push(row);
        }
    }

    fn parts(&mut self) {
        (self.report)("parts");
        let seed = self.options.seed;
        // Kept alive, so that each one is visible in the growth of the process memory.
        let mut policies = Vec::new();
        for caches in [4, 16, 64, 256, 1_024, 2_700] {
            let (measured, policy) = parts::decisions(seed, caches);
            self.measured(Half::Part, measured);
            policies.push(policy);
        }
        for purges in [1, 2, 8, 32, 128, 512] {
            self.measured(Half::Part, parts::journal_page(purges));
        }
        for nodes in [50, 200, 800, 3_200] {
            self.measured(Half::Part, parts::hierarchy(nodes));
        }
        for purges in [0.0, 1.0, 10.0, 50.0, 350.0] {
            self.measured(Half::Part, parts::audit_log(purges));
        }
        for links in [1, 2, 4, 8] {
            self.measured(Half::Part, parts::links(links));
        }
    }

    fn alone(&mut self) {
        // Kept alive, so that each one is visible in the growth of the process memory.
        let mut members = Vec::new();
        for routers in (0..12).map(|n| 16usize << n) {
            if self.is_over(Stage::Alone) {
                return self.skip(format!("a member of {routers}: out of time"));
            }
            (self.report)(&format!("a member of {routers}"));
            let (measured, member) = parts::member(self.options.seed, routers);
            self.measured(Half::Alone, measured);
            members.push(member);
        }
    }

    fn fleets(&mut self) -> io::Result<()> {
        let options = self.options;
        // Small fleets at every load first, so that a lack of time affects the largest ones.
        for routers in options.sizes.iter().copied() {
            let each = options
                .purges
                .iter()
                .flat_map(|purges| options.form.iter().map(move |form| (*purges, *form)));
            for (purges, form) in each {
                let setup = Setup {
                    routers,
                    form,
                    seconds: seconds(options, routers),
                    purges,
                    changes: options.changes,
                    restarts: options.restarts,
                    seed: options.seed,
                    jobs: options.jobs,
                    ..Setup::default()
                };
                self.fleet(setup, "", Stage::Virtual);
                self.write_rows()?;
                // The traffic without the rate limit, for comparison.
                if routers <= MAX_UNLIMITED_ROUTERS && purges > 0.0 && form == Form::Flat {
                    self.fleet(Setup { rate_limited: false, ..setup }, "no pace", Stage::Virtual);
                }
            }
        }
        Ok(())
    }

    fn faults(&mut self) -> io::Result<()> {
        let options = self.options;
        let routers = options.fault_size;
        // A rack of an assumed size, a zone of the planned size (16,000 routers in 151 zones), and half of
        // the fleet.
        let zone = (16_000 / 151).min(routers / 3).max(1);
        let faults = [
            ("", None),
            ("silent watches", Some(FleetFault::JournalSilent)),
            ("rack", Some(FleetFault::Rack(16.min(routers / 4).max(1)))),
            ("zone cut", Some(FleetFault::Partition(zone))),
            ("regions apart", Some(FleetFault::Partition(routers / 2))),
            ("slow member", Some(FleetFault::Slow(4_000))),
            ("zone start", Some(FleetFault::Restart(zone))),
            ("loss", Some(FleetFault::Loss)),
        ];
        let selected =
            |name: &str| options.faults.is_empty() || options.faults.iter().any(|fault| fault == name);
        let faults =
            faults.into_iter().filter(|(name, _)| selected(if name.is_empty() { "none" } else { name }));
        let each = options.form.iter().flat_map(|form| faults.clone().map(|fault| (*form, fault)));
        for (form, (name, fleet_fault)) in each {
            let setup = Setup {
                routers,
                form,
                seconds: options.seconds * 1.5,
                purges: 10.0,
                // Ten times the normal rate, for a sufficient number of samples.
                changes: options.changes * 10.0,
                fleet_fault,
                seed: options.seed,
                jobs: options.jobs,
                ..Setup::default()
            };
            self.fleet(setup, if name.is_empty() { "none" } else { name }, Stage::Faults);
            self.write_rows()?;
        }
        Ok(())
    }

    fn fleet(&mut self, setup: Setup, fault: &str, stage: Stage) {
        let what = format!("{:?}: {} routers, {} purges/s {fault}", setup.form, setup.routers, setup.purges);
        // The number of others that each router knows: all, or those of its site.
        let known_routers = if setup.form == Form::Flat { setup.routers as f64 } else { 30.0 };
        let pairs = setup.routers as f64 * known_routers;
        let required = pairs * BYTES_PER_PAIR;
        if required > self.options.gigabytes * 1e9 {
            return self.skip(format!("{what}: expected to need {:.1} GB", required / 1e9));
        }
        if self.is_over(stage) {
            return self.skip(format!("{what}: out of time"));
        }
        // A tick visits all members, ten times a second where statements change. A fleet that would exceed
        // the time limit is not started.
        let ticks = if setup.purges > 0.0 { 10.0 * (setup.seconds + 1.0) } else { 1.0 };
        let cpu_seconds = pairs * (ticks * CPU_SECONDS_PER_PAIR_AND_TICK + CPU_SECONDS_PER_PAIR_AT_START)
            / self.options.jobs.min(3) as f64;
        if cpu_seconds > self.time_left(stage).as_secs_f64() {
            return self.skip(format!("{what}: expected to take {cpu_seconds:.0} s"));
        }
        let started_at = Instant::now();
        let results = Fleet::new(setup).run(self.time_left(stage));
        let Some(results) = results else { return self.skip(format!("{what}: out of time")) };
        (self.report)(&format!("{what}: {:.1} s", started_at.elapsed().as_secs_f64()));
        let load = Load {
            purges: setup.purges,
            changes: setup.changes,
            restarts: setup.restarts,
            fault: fault.to_string(),
        };
        let size = setup.routers as f64;
        let new = |name| {
            let row = self.row(Half::Virtual, setup.form, name, "routers", size);
            Row { load: load.clone(), seconds: setup.seconds, ..row }
        };
        let mut rows: Vec<Row> =
            measures(&setup, &results).into_iter().map(|(name, values)| new(name).of(values)).collect();
        if let Some((median, p99, worst)) = results.journal_lag.filter(|_| setup.purges > 0.0) {
            let by = |purges: f64| Some(purges / setup.purges);
            let count = setup.routers * (setup.routers - 1);
            let (median, p99, worst) = (by(median), by(p99), by(worst));
            rows.push(Row { count, median, p99, worst, ..new(("a statement is old", "s")) });
        }
        self.outcome.rows.extend(rows.into_iter().filter(|row| row.count > 0));
    }

    fn sockets(&mut self) -> io::Result<()> {
        let options = self.options;
        let program = linnethook_testbed::process_cluster::router_program(options.program.as_deref());
        let program = match program {
            Ok(program) => program,
            Err(why) => {
                self.skip(format!("sockets: {why}"));
                return Ok(());
            }
        };
        let plan = |routers: usize, purges: f64, form: Form, fault| sockets::Plan {
            real: routers.min(4),
            hollow: routers - routers.min(4),
            hollow_per_process: 16.max(routers / (MAX_PROCESSES / 2)),
            seconds: options.seconds,
            purges_per_s: purges,
            changes_per_s: options.changes,
            restarts_per_s: options.restarts,
            fault,
            seed: options.seed,
            program: program.clone(),
            dials: 3,
            places: form == Form::Summary,
        };
        let mut plans = Vec::new();
        // One load after another, each over all sizes, so that a lack of time affects the last loads.
        for purges in options.purges.iter().copied() {
            for form in options.form.iter().copied() {
                let sizes = options.socket_sizes.iter();
                plans.extend(sizes.map(|routers| (plan(*routers, purges, form, None), "")));
            }
        }
        use sockets::Fault;
        let most = options.socket_sizes.iter().copied().filter(|size| *size <= 80).max();
        if let Some(routers) = most.filter(|_| options.stages.contains(&Stage::Faults)) {
            plans.extend(
                [
                    ("control killed", Fault::ControlKilled),
                    ("rack", Fault::Rack),
                    ("zone cut", Fault::ZoneCut),
                    ("regions apart", Fault::RegionsApart),
                    ("slow member", Fault::SlowMember),
                    ("zone start", Fault::ZoneStart),
                ]
                .map(|(name, fault)| (plan(routers, 10.0, Form::Flat, Some(fault)), name)),
            );
        }
        for (plan, fault) in plans {
            let routers = plan.real + plan.hollow;
            let form = if plan.places { Form::Summary } else { Form::Flat };
            let what =
                format!("sockets, {form:?}: {routers} routers, {} purges/s {fault}", plan.purges_per_s);
            if self.is_over(Stage::Sockets)
                || self.time_left(Stage::Sockets).as_secs_f64() < plan.seconds * 2.0
            {
                self.skip(format!("{what}: out of time"));
                continue;
            }
            let started_at = Instant::now();
            let samples = match sockets::run(&plan) {
                Ok(samples) => samples,
                Err(why) => {
                    self.skip(format!("{what}: {why}"));
                    continue;
                }
            };
            (self.report)(&format!("{what}: {:.1} s", started_at.elapsed().as_secs_f64()));
            let load = Load {
                purges: plan.purges_per_s,
                changes: plan.changes_per_s,
                restarts: plan.restarts_per_s,
                fault: fault.to_string(),
            };
            for sample in samples {
                let half = match sample.form {
                    sockets::Form::Real => Half::SocketsReal,
                    sockets::Form::Hollow => Half::SocketsHollow,
                };
                let row =
                    self.row(half, form, (&sample.measure, &sample.unit), "routers", sample.routers as f64);
                let finite = |value: f64| value.is_finite().then_some(value);
                let (median, p99, worst) = (finite(sample.median), finite(sample.p99), finite(sample.worst));
                let count = if half == Half::SocketsReal { plan.real } else { plan.hollow };
                let never = usize::from(worst.is_none());
                let (load, seconds) = (load.clone(), plan.seconds);
                self.outcome.rows.push(Row { load, seconds, count, median, p99, worst, never, ..row });
            }
            self.write_rows()?;
        }
        Ok(())
    }
}

/// The values of one fleet by measure: of all routers, or of all events.
fn measures(setup: &Setup, results: &FleetResults) -> Vec<((&'static str, &'static str), Vec<f64>)> {
    let each = |of: &dyn Fn(&RouterCounters) -> f64| results.counters.iter().map(of).collect::<Vec<f64>>();
    let by_second =
        |of: &dyn Fn(&RouterCounters) -> u64| each(&|counters| of(counters) as f64 / setup.seconds);
    let spent = |counters: &RouterCounters| counters.receive_time + counters.tick_time;
    let recovery = results.partition_recovery.clone().unwrap_or_default();
    let known = results.partition_recovery.iter().map(|recovery| recovery.convergence_ms).collect();
    let bytes = |all: &[u64], by: f64| all.iter().map(|bytes| *bytes as f64 / by).collect::<Vec<f64>>();
    let micros = |time: Duration, count: u64| time.as_secs_f64() * 1e6 / count.max(1) as f64;
    vec![
        (("bytes in and out", "bytes/s"), by_second(&|m| m.bytes_sent + m.bytes_received)),
        (("bytes out", "bytes/s"), by_second(&|m| m.bytes_sent)),
        (("frames in and out", "1/s"), by_second(&|m| m.frames_sent + m.frames_received)),
        (("facts heard", "1/s"), by_second(&|m| m.facts_received)),
        (("core", "%"), each(&|m| spent(m).as_secs_f64() / setup.seconds * 100.0)),
        (("a fact heard", "us"), each(&|m| micros(m.receive_time, m.facts_received))),
        (("a turn", "us"), each(&|m| micros(m.tick_time, m.ticks))),
        (("facts kept", "facts"), results.stored_facts.iter().map(|(facts, _)| *facts as f64).collect()),
        (("bytes of facts", "bytes"), results.stored_facts.iter().map(|(_, bytes)| *bytes as f64).collect()),
        (("facts without room", "facts"), results.rejected_facts.iter().map(|full| *full as f64).collect()),
        (("facts that wait to be said", "facts"), results.pending_facts.iter().map(|n| *n as f64).collect()),
        (("a purge known everywhere", "ms"), results.purges.clone()),
        (("a change known everywhere", "ms"), results.changes.clone()),
        (("a restart knows all members", "ms"), results.joined.clone()),
        (("parts meet again, all known", "ms"), known),
        (("parts meet again, until then", "bytes"), bytes(&recovery.bytes_until_converged, 1.0)),
        (("parts meet again, the minute after", "bytes/s"), bytes(&recovery.bytes_in_first_minute, 60.0)),
        (("a restart is told", "bytes"), results.caught_up.iter().map(|bytes| *bytes as f64).collect()),
    ]
}
