//! The input of a run: a fleet, its load and its faults; and random fault schedules from a seed. Nothing here
//! changes during a run.

use std::ops::Range;

use linnethook_hierarchy::rollout::RolloutConfig;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::demand::{Crowd, DemandRule};
use crate::plain::Way;

/// The hierarchy that routers use to select fill sources. Times are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tiers {
    /// Whether children migrate in stages, and whether fills pass the shield.
    pub staged: bool,
    pub shielded: bool,
    pub announce: f64,
    pub warm: f64,
    pub settle: f64,
    /// The number of parents, from the first, that are home parents of the locations in turn; the others are
    /// spare.
    pub homes: usize,
}

/// Two sites, whose routers are gateways to each other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sites {
    /// One-way delay between the sites in milliseconds, and bandwidth in bytes per second in each direction.
    pub delay: f64,
    pub carries: f64,
    /// The maximum age of the other site's state for its requests to be admitted, in milliseconds.
    pub fresh: f64,
}

impl Default for Sites {
    fn default() -> Self {
        Self { delay: 10.0, carries: 2e7, fresh: 200.0 }
    }
}

/// A fault of the link between two sites.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Blow {
    /// Connections are reset, and new ones fail until the link is restored.
    Cut,
    /// Data is lost silently.
    Silent,
    /// The delay is multiplied by this factor.
    Slow(f64),
    Mend,
}

impl Tiers {
    /// The longest time that a migration of children may take, in milliseconds. While sources are short of
    /// capacity, the shield may pause stages.
    pub(crate) fn longest(&self) -> f64 {
        let held = if self.shielded { RolloutConfig::default().max_pause } else { 0.0 };
        self.announce + self.warm + self.settle + held
    }
}

impl Default for Tiers {
    fn default() -> Self {
        let (announce, warm, settle) = (2_000.0, 15_000.0, 10_000.0);
        Self { staged: true, shielded: true, announce, warm, settle, homes: 1 }
    }
}

/// A fleet, its load and its faults.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    pub seed: u64,
    /// The routing policy of all routers.
    pub way: Way,
    pub locations: usize,
    /// Routers and caches per location, and parents that all locations share.
    pub routers: usize,
    pub caches: usize,
    pub parents: usize,
    /// Second tier of parents, which the parents share by hash; 0 = parents request from the origin.
    pub tops: usize,
    /// The number of caches per location, from the last, that are absent until a fault starts them.
    pub spare: usize,
    /// Copies that a cache and a parent can store, and requests that each serves at a time.
    pub cache_copies: usize,
    pub parent_copies: usize,
    pub slots: usize,
    /// Fills that a cache runs at a time, over all its cores; 0 = unlimited.
    pub fills: usize,
    /// Whether home parents start with the most popular objects cached.
    pub filled: bool,
    /// Bytes per second: the maximum of one transfer, a cache's link to its clients, a location's link for
    /// fills, and the link of the origin and the parents.
    pub flow: f64,
    pub cache_link: f64,
    pub location_link: f64,
    pub origin_link: f64,
    /// One-way delay within a location, and between a location and the hub, in milliseconds.
    pub near: f64,
    pub far: f64,
    /// Service time of the origin in milliseconds, and the number of concurrent requests above which it
    /// grows.
    pub origin_takes: f64,
    pub origin_easy: usize,
    /// The origin crashes on a request above this number of concurrent requests, and restarts after the delay
    /// (in seconds); 0 = it never crashes.
    pub origin_bears: usize,
    pub origin_away: f64,
    /// Clients' first requests per second in total, and the length of the load in seconds.
    pub rate: f64,
    pub seconds: f64,
    /// Parts that a client requests one after the other, and the share of clients that send a booking
    /// instead.
    pub parts: u32,
    pub bookings: f64,
    /// How long clients wait and the latency objective, both in milliseconds, and how often clients retry a
    /// rejected request.
    pub wait: f64,
    pub aim: f64,
    pub again: u32,
    /// Whether clients also retry failed requests (never bookings), their minimum pause before a retry in
    /// milliseconds, and the factor by which it grows with each retry.
    pub again_failed: bool,
    pub pause: f64,
    pub backoff: f64,
    /// Whether clients wait at least for the rejection's retry-after time.
    pub heed: bool,
    /// Mean number of retries per first request that clients may send; 0 = unlimited.
    pub repeats: f64,
    /// Freshness lifetime of a copy, and the time after it in which the copy may still be served, in
    /// milliseconds; 0 = fresh until it is purged.
    pub fresh: f64,
    pub stale: f64,
    /// Mechanisms of the routers that can be disabled: fills from sibling caches, coalesced fills, bypassing
    /// the caches, and outcomes with cache status; and the maximum number of attempts per request.
    pub siblings: bool,
    pub joins: bool,
    pub direct: bool,
    pub told: bool,
    pub attempts: u32,
    /// Without a hierarchy, a cache fills from any parent in the endpoint list.
    pub tiers: Option<Tiers>,
    /// Without it there is one site.
    pub sites: Option<Sites>,
    pub demand: DemandRule,
    pub crowds: Vec<Crowd>,
    pub faults: Vec<(f64, Fault)>,
    /// Delay until routers receive an update of the endpoint list, in milliseconds.
    pub list_late: f64,
    /// Interval at which servers update the load that they report, in milliseconds; 0 = never.
    pub report_every: f64,
    /// Requests per second that a warm cache and a warm parent can serve. After a start they begin with a
    /// quarter and a tenth of it, and crash on more than three times (cache) or two times (parent) of what
    /// they can serve at that time. 0 = they never crash.
    pub cache_able: f64,
    pub parent_able: f64,
    /// Time until a crashed server restarts, in seconds.
    pub away: f64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seed: 1,
            way: Way::Shipped,
            locations: 2,
            routers: 2,
            caches: 4,
            parents: 2,
            tops: 0,
            spare: 0,
            cache_copies: 1_500,
            parent_copies: 8_000,
            slots: 200,
            fills: 0,
            filled: false,
            flow: 2e6,
            cache_link: 2e7,
            location_link: 2e7,
            origin_link: 4e7,
            near: 1.0,
            far: 15.0,
            origin_takes: 20.0,
            origin_easy: 64,
            origin_bears: 0,
            origin_away: 2.0,
            rate: 200.0,
            seconds: 30.0,
            parts: 1,
            bookings: 0.0,
            wait: 3_000.0,
            aim: 500.0,
            again: 2,
            again_failed: false,
            pause: 50.0,
            backoff: 1.0,
            heed: true,
            repeats: 0.0,
            fresh: 0.0,
            stale: 0.0,
            siblings: true,
            joins: true,
            direct: true,
            told: true,
            attempts: 4,
            tiers: None,
            sites: None,
            demand: DemandRule { objects: 20_000, ..DemandRule::default() },
            crowds: Vec::new(),
            faults: Vec::new(),
            list_late: 300.0,
            report_every: 0.0,
            cache_able: 0.0,
            parent_able: 0.0,
            away: 5.0,
        }
    }
}

/// The weight of a server without a configured throughput.
const TOLD: f64 = 8.0;

impl Plan {
    /// The number of servers: caches by location, then parents, then their parents, then the origin.
    pub fn servers(&self) -> usize {
        self.locations * self.caches + self.parents + self.tops + 1
    }

    /// The configured weight of a server: how many transfers of mean size it can serve at a time.
    pub(crate) fn weight(&self, kind: u16) -> f64 {
        let able = [self.cache_able, self.parent_able, 0.0, self.parent_able][usize::from(kind)];
        let mean = self.demand.size * (self.demand.spread * self.demand.spread / 2.0).exp() / self.flow;
        if able > 0.0 {
            able * mean
        } else {
            TOLD
        }
    }

    pub fn origin(&self) -> usize {
        self.servers() - 1
    }

    /// A random schedule of faults that begin within `within` (seconds) and may overlap. Most end again. Each
    /// seed excludes some kinds of fault, so that rare combinations occur.
    pub fn bad_day(&self, seed: u64, troubles: usize, within: Range<f64>) -> Vec<(f64, Fault)> {
        let mut chance = Pcg64Mcg::seed_from_u64(seed ^ 0x6261_645f_6461_7973);
        let kinds: Vec<Kind> = Kind::ALL.into_iter().filter(|_| chance.random::<f64>() < 0.6).collect();
        let mut faults = Vec::new();
        for _ in 0..troubles {
            let Some(kind) = kinds.get(chance.random_range(0..kinds.len().max(1))) else { continue };
            let from = chance.random_range(within.clone());
            let to = (from + chance.random_range(0.3..8.0)).min(self.seconds);
            let n = chance.random_range(0..self.servers());
            let location = chance.random_range(0..self.locations.max(1));
            let strength: f64 = chance.random_range(1.5..12.0);
            match kind {
                Kind::Die => faults.extend([(from, Fault::Die(n)), (to, Fault::Start(n))]),
                Kind::Together => {
                    let first = location * self.caches;
                    for n in (first..first + self.caches).step_by(2) {
                        let late = chance.random_range(0.0..0.05);
                        faults.extend([(from + late, Fault::Die(n)), (from + late + 0.05, Fault::Start(n))]);
                    }
                }
                Kind::Silent => {
                    faults.extend([(from, Fault::Silent(n, true)), (to, Fault::Silent(n, false))])
                }
                Kind::Stall => faults.extend([(from, Fault::Stall(n, true)), (to, Fault::Stall(n, false))]),
                Kind::FailFast => {
                    faults.extend([(from, Fault::FailFast(n, true)), (to, Fault::FailFast(n, false))]);
                }
                Kind::Slow => faults.extend([(from, Fault::Slow(n, strength)), (to, Fault::Slow(n, 1.0))]),
                Kind::Age => {
                    faults.extend([(from, Fault::Age(n, strength * 20.0)), (to, Fault::Age(n, 0.0))])
                }
                Kind::Drain => faults.extend([(from, Fault::Drain(n)), (to, Fault::Start(n))]),
                Kind::Cut => {
                    faults.extend([(from, Fault::Cut(location, true)), (to, Fault::Cut(location, false))]);
                }
                Kind::ListLate => {
                    faults.extend([
                        (from, Fault::ListLate(strength * 500.0)),
                        (to, Fault::ListLate(self.list_late)),
                    ]);
                }
                Kind::Crowd => faults.extend([(from, Fault::Rate(strength / 3.0)), (to, Fault::Rate(1.0))]),
                Kind::Purge => faults.push((from, Fault::Purge((strength * 20.0) as u32))),
            }
        }
        faults.sort_by(|a, b| a.0.total_cmp(&b.0));
        faults
    }
}

/// Kinds of fault of a random schedule.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Kind {
    Die,
    Together,
    Silent,
    Stall,
    FailFast,
    Slow,
    Age,
    Drain,
    Cut,
    ListLate,
    Crowd,
    Purge,
}

impl Kind {
    const ALL: [Self; 12] = [
        Self::Die,
        Self::Together,
        Self::Silent,
        Self::Stall,
        Self::FailFast,
        Self::Slow,
        Self::Age,
        Self::Drain,
        Self::Cut,
        Self::ListLate,
        Self::Crowd,
        Self::Purge,
    ];
}

/// A fault. Servers are numbered: caches by location, then parents, then their parents, then the origin.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// The server crashes: connections are reset and its copies are lost. The endpoint list reports it with a
    /// delay.
    Die(usize),
    /// The server starts again, cold and empty. A server that was only draining continues with its copies.
    Start(usize),
    /// The server stops (`true`) or resumes (`false`) answering.
    Silent(usize, bool),
    /// The server accepts requests without processing them, or processes them again.
    Stall(usize, bool),
    /// The server answers each request with an error at once, or normally again.
    FailFast(usize, bool),
    /// The server's service time is multiplied by this factor.
    Slow(usize, f64),
    /// The server becomes slower: its slowdown factor grows by this much per minute; 0 ends the growth.
    Age(usize, f64),
    /// The endpoint list reports the server as draining.
    Drain(usize),
    /// The network between a location and the hub is down, or up again.
    Cut(usize, bool),
    /// Sets the delay of updates of the endpoint list, in milliseconds.
    ListLate(f64),
    /// Sets the interval of load reports, in milliseconds.
    ReportsLate(f64),
    /// Multiplies the request rate of the plan by this factor.
    Rate(f64),
    /// Migrates the locations that fill from one parent to another; both are indices among the parents. No
    /// effect without the hierarchy.
    Move(usize, usize),
    /// A fault of the link between two sites; no effect with a single site.
    Link(Blow),
    /// Purges this many objects, drawn by popularity.
    Purge(u32),
}

impl Fault {
    /// The server that the fault affects, if it affects a single one.
    pub fn server(&self) -> Option<usize> {
        match self {
            Self::Die(n) | Self::Start(n) | Self::Drain(n) => Some(*n),
            Self::Slow(n, _) | Self::Age(n, _) => Some(*n),
            Self::Silent(n, _) | Self::Stall(n, _) | Self::FailFast(n, _) => Some(*n),
            Self::Cut(..) | Self::ListLate(_) | Self::ReportsLate(_) | Self::Rate(_) | Self::Purge(_) => None,
            Self::Move(..) | Self::Link(_) => None,
        }
    }
}
