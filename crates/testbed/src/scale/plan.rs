//! What a scale run plays, its bounds, and its rows.

use std::path::PathBuf;
use std::time::Duration;

use serde::{Deserialize, Serialize};

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
    /// A process with one router and clients.
    Real,
    /// A process with many routers and no clients.
    Hollow,
}

/// A run of the scale rig.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Processes with one router, and routers that share processes, this many to each.
    pub real: usize,
    /// Hollow routers.
    pub hollow: usize,
    /// Hollow routers in a process.
    pub hollow_per_process: usize,
    /// How long is measured, in seconds.
    pub seconds: f64,
    /// Purges a second.
    pub purges_per_s: f64,
    /// Changes of the hierarchy a second.
    pub changes_per_s: f64,
    /// Restarts of real routers a second.
    pub restarts_per_s: f64,
    /// The fault in the middle half of the run.
    pub fault: Option<Fault>,
    /// The seed of links, purges and restarts.
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
    /// The form of the routers.
    pub form: Form,
    /// Routers in all, of both forms.
    pub routers: usize,
    /// What is measured; the module lists the measures.
    pub measure: String,
    /// Its unit.
    pub unit: String,
    /// The median over routers.
    pub median: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The highest value.
    pub worst: f64,
}

/// Bounds of a run: processes, routers, how long all of it may take, and memory in bytes.
pub const PROCESSES: usize = 200;

/// Routers of a run at the most.
pub const ROUTERS: usize = 2_000;

/// How long a run may take.
pub const LONGEST: Duration = Duration::from_secs(590);

/// Memory of all routers at the most, in bytes.
pub const MEMORY: f64 = 12e9;

/// Of the machine's cores the routers may take this part, over so long.
pub const MOST_CORES: f64 = 0.75;

/// Bytes a second on the links of a slow member.
pub const SLOW: f64 = 2_000.0;

pub(super) fn check(plan: &Plan) -> Result<(), Failure> {
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
