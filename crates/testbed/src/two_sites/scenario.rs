//! What is simulated, by which faults, and what came of it.

use linnethook_gateway::gateway::GatewayConfig;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::recording::{Ms, RecordEntry};

/// What befalls the link or a site, from a time on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SiteFault {
    /// Connections are reset; new ones fail until it is mended.
    Cut,
    /// Nothing passes towards these sides any more, and nothing is said of it.
    Silent {
        /// The sides that nothing passes towards.
        to: [bool; 2],
    },
    /// So many times the delay.
    Slow(f64),
    /// All faults of the link end.
    Mend,
    /// The gateway of a side dies and starts again; its clients are gone with it.
    Restart(usize),
    /// The store of a side can't be reached, or can again.
    Store(usize, bool),
    /// The caches of a side are gone, or back.
    Caches(usize, bool),
}

/// A script: blows by their times.
pub type Script = Vec<(Ms, SiteFault)>;

/// What is played.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// The same seed is the same run.
    pub seed: u64,
    /// How long clients ask.
    pub length: Ms,
    /// Bookings and parts of videos a second, at each side.
    pub bookings: f64,
    /// Parts of videos a second.
    pub reads: f64,
    /// Bytes of a part, at the least and the most.
    pub sizes: (usize, usize),
    /// One way, and how much it varies.
    pub delay: Ms,
    /// How much the delay varies.
    pub jitter: Ms,
    /// Bytes a millisecond, in each direction.
    pub carries: f64,
    /// How long a client waits, and within what it wants its answer.
    pub wait: Ms,
    /// The latency objective of requests.
    pub aim: Ms,
    /// The settings of both gateways.
    pub rules: GatewayConfig,
    /// The faults.
    pub script: Script,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            seed: 1,
            length: 60_000.0,
            bookings: 10.0,
            reads: 20.0,
            sizes: (20_000, 200_000),
            delay: 10.0,
            jitter: 5.0,
            carries: 20_000.0,
            wait: 2_000.0,
            aim: 600.0,
            rules: GatewayConfig::default(),
            script: Vec::new(),
        }
    }
}

/// How requests ended.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tally {
    /// Requests.
    pub asked: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were rejected.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Their gateway died.
    pub released: u64,
}

/// What came of a play.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// How bookings ended.
    pub bookings: Tally,
    /// How parts of videos ended.
    pub reads: Tally,
    /// What crossed the link and reached the stores.
    pub lines: Vec<RecordEntry>,
    /// Runs of each booking that ran more than once.
    pub ran_twice: Vec<(u64, u32)>,
    /// Bytes that crossed, and those of bodies that crossed more than once or for nothing.
    pub crossed: u64,
    /// Bytes of bodies that crossed.
    pub bodies: u64,
    /// Bytes of bodies that crossed more than once or for nothing.
    pub bodies_again: u64,
    /// Requests that crossed, by 100 ms, from each side; those served, by the 100 ms in which they were asked.
    pub opened: [Vec<u32>; 2],
    /// Requests, by 100 ms.
    pub asked: Vec<u32>,
    /// Requests that were served, by the 100 ms in which they were asked.
    pub served: Vec<u32>,
    /// When a gateway said that its last connection is down, and that one is up.
    pub downs: Vec<Ms>,
    /// When a gateway said that a connection is up.
    pub ups: Vec<Ms>,
    /// Log lines of both gateways.
    pub notes: u64,
    /// The most that was kept at a time: connections, requests across and from there, tokens remembered.
    pub most: [u64; 4],
}

/// A script of so many cuts and silences, with stores and caches that go and come back and gateways that restart, so
/// that there always is something that has to cross.
pub fn bad_day(seed: u64, length: Ms, cuts: usize) -> Script {
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let mut script: Script = Vec::new();
    let every = length / cuts.max(1) as Ms;
    for n in 0..cuts {
        let from = n as Ms * every + chance.random_range(0.0..every * 0.3);
        let lasts = chance.random_range(0.02..0.5) * every;
        let apply_fault = match chance.random_range(0..6) {
            0 | 1 => SiteFault::Cut,
            2 => SiteFault::Silent { to: [true, true] },
            3 => SiteFault::Silent { to: [true, false] },
            4 => SiteFault::Silent { to: [false, true] },
            _ => SiteFault::Slow(chance.random_range(2.0..30.0)),
        };
        script.push((from, apply_fault));
        script.push((from + lasts, SiteFault::Mend));
        if chance.random_range(0..12) == 0 {
            script.push((
                from + chance.random_range(0.0..lasts * 1.5),
                SiteFault::Restart(chance.random_range(0..2)),
            ));
        }
    }
    // One side's store, then the other's; its caches at times.
    let (mut at, mut side) = (500.0, 0);
    while at < length {
        let lasts = chance.random_range(0.1..0.3) * length.min(20_000.0);
        script.push((at, SiteFault::Store(side, false)));
        script.push((at + lasts, SiteFault::Store(side, true)));
        let caches = chance.random_range(0.0..lasts);
        script.push((at + caches * 0.5, SiteFault::Caches(side, false)));
        script.push((at + caches, SiteFault::Caches(side, true)));
        at += lasts + chance.random_range(0.0..1_000.0);
        side = 1 - side;
    }
    script.sort_by(|a, b| a.0.total_cmp(&b.0));
    script
}
