//! The plan of a scale run, its limits, and its rows.

use std::path::PathBuf;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Why a run failed.
pub type Failure = Box<dyn std::error::Error + Send + Sync>;

/// The fault during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fault {
    /// The discovery service is killed, and recovers.
    ControlKilled,
    /// All routers of a hollow process are killed at once.
    Rack,
    /// A zone is cut off from all others, and reconnects.
    ZoneCut,
    /// All links between two halves of the fleet are cut, and one half also loses discovery; both recover.
    RegionsApart,
    /// One router's links are slow.
    SlowMember,
    /// All routers of a hollow process end and start again at once.
    ZoneStart,
}

/// Which kind of process a router runs in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Form {
    /// A process with one router, which accepts clients.
    Real,
    /// A process with many routers and no clients.
    Hollow,
}

/// The plan of a scale run.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Real routers, each in a process of its own.
    pub real: usize,
    /// Hollow routers.
    pub hollow: usize,
    /// Hollow routers in each process.
    pub hollow_per_process: usize,
    /// Length of the measured load, in seconds.
    pub seconds: f64,
    /// Purges per second.
    pub purges_per_s: f64,
    /// Changes of the hierarchy per second.
    pub changes_per_s: f64,
    /// Restarts of real routers per second.
    pub restarts_per_s: f64,
    /// The fault during the second and third quarters of the run.
    pub fault: Option<Fault>,
    /// The seed for links, purges and restarts.
    pub seed: u64,
    /// The built router.
    pub program: PathBuf,
    /// Peers that each router dials; not used with locations.
    pub dials: usize,
    /// Routers have locations: links follow from them, and facts are summarized beyond a site. Otherwise all
    /// facts spread to all routers.
    pub places: bool,
}

/// A row: the distribution of one measure over the routers of one form.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The form of the routers.
    pub form: Form,
    /// Number of routers of both forms together.
    pub routers: usize,
    /// The measure; the documentation of the module lists them.
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

/// Most processes of a run.
pub const MAX_PROCESSES: usize = 200;

/// Most routers of a run.
pub const MAX_ROUTERS: usize = 2_000;

/// Longest duration of a run.
pub const MAX_DURATION: Duration = Duration::from_secs(590);

/// Most memory of all routers together, in bytes.
pub const MAX_MEMORY_BYTES: f64 = 12e9;

/// Largest share of the machine's cores that the routers may use.
pub const MAX_CORE_SHARE: f64 = 0.75;

/// Rate of the links of a slow member, in bytes per second.
pub const SLOW_LINK_RATE: f64 = 2_000.0;

pub(super) fn check(plan: &Plan) -> Result<(), Failure> {
    let routers = plan.real + plan.hollow;
    let processes = plan.real + plan.hollow.div_ceil(plan.hollow_per_process.max(1));
    let rates = [plan.purges_per_s, plan.changes_per_s, plan.restarts_per_s];
    let needs_hollow = matches!(plan.fault, Some(Fault::Rack | Fault::ZoneStart | Fault::ZoneCut));
    let problems = [
        (
            !(2..=MAX_ROUTERS).contains(&routers),
            format!("expected 2 to {MAX_ROUTERS} routers, got {routers}"),
        ),
        (processes > MAX_PROCESSES, format!("expected up to {MAX_PROCESSES} processes, got {processes}")),
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
            "this fault needs a hollow process and at least one other process".to_string(),
        ),
        (plan.places && plan.fault.is_some(), "faults are not supported with locations".to_string()),
        (plan.restarts_per_s > 0.0 && plan.real < 2, "restarts need at least two real routers".to_string()),
    ];
    match problems.into_iter().find(|(is, _)| *is) {
        Some((_, why)) => Err(why.into()),
        None => Ok(()),
    }
}
