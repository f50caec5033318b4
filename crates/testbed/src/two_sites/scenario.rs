//! The scenario of a simulation, its faults, and its results.

use linnethook_gateway::gateway::GatewayConfig;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::recording::{Ms, RecordEntry};

/// A fault of the link or a site, from a time on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SiteFault {
    /// Connections are reset; new ones fail until [`SiteFault::Mend`].
    Cut,
    /// Nothing passes towards these sides, without an error to either end.
    Silent {
        /// The sides that nothing passes towards.
        to: [bool; 2],
    },
    /// The delay is multiplied by this factor.
    Slow(f64),
    /// All faults of the link are cleared.
    Mend,
    /// The gateway of a side restarts; its clients disconnect.
    Restart(usize),
    /// The store of a side becomes reachable (`true`) or unreachable.
    Store(usize, bool),
    /// The caches of a side become available (`true`) or unavailable.
    Caches(usize, bool),
}

/// A script: faults with their times.
pub type Script = Vec<(Ms, SiteFault)>;

/// The scenario of a simulation.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// The same seed gives the same run.
    pub seed: u64,
    /// How long clients send requests, in milliseconds.
    pub length: Ms,
    /// Bookings per second, at each side.
    pub bookings: f64,
    /// Parts of videos per second, at each side.
    pub reads: f64,
    /// Smallest and largest size of a part, in bytes.
    pub sizes: (usize, usize),
    /// Delay of the link in one direction, in milliseconds.
    pub delay: Ms,
    /// Largest random addition to the delay, in milliseconds.
    pub jitter: Ms,
    /// Bytes per millisecond, in each direction.
    pub carries: f64,
    /// How long a client waits for its answer, in milliseconds.
    pub wait: Ms,
    /// The latency objective of requests, in milliseconds.
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
    /// Requests whose gateway restarted.
    pub released: u64,
}

/// Results of a simulation.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// How bookings ended.
    pub bookings: Tally,
    /// How parts of videos ended.
    pub reads: Tally,
    /// The recording: what crossed the link and reached the stores.
    pub lines: Vec<RecordEntry>,
    /// Bookings that ran more than once, with the number of runs.
    pub ran_twice: Vec<(u64, u32)>,
    /// Bytes that crossed the link.
    pub crossed: u64,
    /// Bytes of bodies that crossed the link.
    pub bodies: u64,
    /// Bytes of bodies that crossed the link again or reached no client.
    pub bodies_again: u64,
    /// Requests that crossed the link from each side, by 100 ms.
    pub opened: [Vec<u32>; 2],
    /// Requests of clients, by 100 ms.
    pub asked: Vec<u32>,
    /// Requests that were served, by the 100 ms in which they were sent.
    pub served: Vec<u32>,
    /// When a gateway logged that its last connection is down.
    pub downs: Vec<Ms>,
    /// When a gateway logged that a connection is up.
    pub ups: Vec<Ms>,
    /// Log lines of both gateways.
    pub notes: u64,
    /// Highest concurrent numbers: connections, forwarded requests, remote requests, remembered tokens.
    pub most: [u64; 4],
}

/// A script with `cuts` cuts, silences or slow phases of the link and some restarts of gateways. Stores and
/// caches of the two sides fail in turn, so that some requests always have to cross the link.
pub fn bad_day(seed: u64, length: Ms, cuts: usize) -> Script {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut script: Script = Vec::new();
    let every = length / cuts.max(1) as Ms;
    for n in 0..cuts {
        let from = n as Ms * every + random.random_range(0.0..every * 0.3);
        let lasts = random.random_range(0.02..0.5) * every;
        let fault = match random.random_range(0..6) {
            0 | 1 => SiteFault::Cut,
            2 => SiteFault::Silent { to: [true, true] },
            3 => SiteFault::Silent { to: [true, false] },
            4 => SiteFault::Silent { to: [false, true] },
            _ => SiteFault::Slow(random.random_range(2.0..30.0)),
        };
        script.push((from, fault));
        script.push((from + lasts, SiteFault::Mend));
        if random.random_range(0..12) == 0 {
            script.push((
                from + random.random_range(0.0..lasts * 1.5),
                SiteFault::Restart(random.random_range(0..2)),
            ));
        }
    }
    // The stores of the two sides fail in turn, and the caches of that side for a part of the time.
    let (mut at, mut side) = (500.0, 0);
    while at < length {
        let lasts = random.random_range(0.1..0.3) * length.min(20_000.0);
        script.push((at, SiteFault::Store(side, false)));
        script.push((at + lasts, SiteFault::Store(side, true)));
        let caches = random.random_range(0.0..lasts);
        script.push((at + caches * 0.5, SiteFault::Caches(side, false)));
        script.push((at + caches, SiteFault::Caches(side, true)));
        at += lasts + random.random_range(0.0..1_000.0);
        side = 1 - side;
    }
    script.sort_by(|a, b| a.0.total_cmp(&b.0));
    script
}
