//! Owns what is to be played: a fleet, its load, what befalls it; and bad days drawn from a seed.
//!
//! Must never hold anything that changes while a day is played.

use std::ops::Range;

use linnethook_hierarchy::rollout::RolloutConfig;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::demand::{Crowd, DemandRule};
use crate::plain::Way;

/// How children come to their sources where the routers have the hierarchy: times in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tiers {
    /// Whether children go over by stages, and whether fills pass the shield.
    pub staged: bool,
    pub shielded: bool,
    pub announce: f64,
    pub warm: f64,
    pub settle: f64,
    /// The first so many parents are homes of locations in turn; the others wait.
    pub homes: usize,
}

/// Two sites, whose routers are gateways to each other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sites {
    /// One way between them in milliseconds, and bytes a second in each direction.
    pub delay: f64,
    pub carries: f64,
    /// How new what is known of the other side must be for its requests to be let in, in milliseconds.
    pub fresh: f64,
}

impl Default for Sites {
    fn default() -> Self {
        Self { delay: 10.0, carries: 2e7, fresh: 200.0 }
    }
}

/// What befalls the link between two sites.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Blow {
    /// Connections are reset; new ones fail until it is mended.
    Cut,
    /// Nothing passes any more, and nothing is said of it.
    Silent,
    /// So many times the delay.
    Slow(f64),
    Mend,
}

impl Tiers {
    /// For how long children may be on their way from one source to another. While the tiers above are short, the shield
    /// lets stages stand still.
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

/// A fleet and its load.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    pub seed: u64,
    /// How routers decide.
    pub way: Way,
    pub locations: usize,
    /// Routers and caches of each location, and parents that all share.
    pub routers: usize,
    pub caches: usize,
    pub parents: usize,
    /// Parents of the parents, which these share by hash; 0 = they ask the origin.
    pub tops: usize,
    /// The last so many caches of each location are not there until a fault starts them.
    pub spare: usize,
    /// Copies that a cache and a parent keep, and requests that each takes at a time.
    pub cache_copies: usize,
    pub parent_copies: usize,
    pub slots: usize,
    /// Fills that a cache takes at a time, of all its cores; 0 = any number.
    pub fills: usize,
    /// Whether parents that are a home begin with what is asked for most.
    pub filled: bool,
    /// Bytes a second: what one transfer may have, a cache's link to its clients, a location's link for fills, and the
    /// origin's.
    pub flow: f64,
    pub cache_link: f64,
    pub location_link: f64,
    pub origin_link: f64,
    /// One way between neighbours, and between a location and the hub, in milliseconds.
    pub near: f64,
    pub far: f64,
    /// How long the origin takes for one, and how many it has in hand before that grows.
    pub origin_takes: f64,
    pub origin_easy: usize,
    /// With more than so many in hand it falls over, and is away for so many seconds; 0 = it never does.
    pub origin_bears: usize,
    pub origin_away: f64,
    /// Clients' first requests a second in all, for how many seconds.
    pub rate: f64,
    pub seconds: f64,
    /// Parts that a client asks for, one after the other, and the part of all clients that book instead.
    pub parts: u32,
    pub bookings: f64,
    /// How long clients wait, within what they want their answer, and how often they come again when refused.
    pub wait: f64,
    pub aim: f64,
    pub again: u32,
    /// Whether they come again after a failure too (never with a booking), and how long they pause at the least, in
    /// milliseconds; each time so many times as long.
    pub again_failed: bool,
    pub pause: f64,
    pub backoff: f64,
    /// Whether they wait for as long as they are told.
    pub heed: bool,
    /// How many repeats clients may ask for by first request, in the mean; 0 = as many as they like.
    pub repeats: f64,
    /// How long a copy is fresh, and for how long past that it may still be served, in milliseconds; 0 = until it is purged.
    pub fresh: f64,
    pub stale: f64,
    /// Mechanisms of the routers, each of which can be left out: fills from beside, joining a fill, going past the caches,
    /// knowing how an answer came about; and how many attempts a request may have.
    pub siblings: bool,
    pub joins: bool,
    pub direct: bool,
    pub told: bool,
    pub attempts: u32,
    /// Without it a cache fills from any parent that is listed.
    pub tiers: Option<Tiers>,
    /// Without them there is one site.
    pub sites: Option<Sites>,
    pub demand: DemandRule,
    pub crowds: Vec<Crowd>,
    pub faults: Vec<(f64, Fault)>,
    /// How late routers hear of a change of the list, in milliseconds.
    pub list_late: f64,
    /// How often servers take stock of their load, in milliseconds, so that routers hear of it that late; 0 = never.
    pub report_every: f64,
    /// Requests a second that a cache and a parent can do once they are warm; with a cold start they begin with a quarter
    /// and a tenth of it, and fall over beyond three times what they can do then. 0 = they never do.
    pub cache_able: f64,
    pub parent_able: f64,
    /// How long one that has fallen over is away, in seconds.
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

/// What is told of one whose power is not set.
const TOLD: f64 = 8.0;

impl Plan {
    /// All servers: caches by location, then parents, then their parents, then the origin.
    pub fn servers(&self) -> usize {
        self.locations * self.caches + self.parents + self.tops + 1
    }

    /// What routers are told that a server can do at a time, in transfers of mean size.
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

    /// A bad day: so many troubles, drawn from the seed, that begin within a stretch of it and may overlap. Most end again.
    /// Each seed leaves some kinds out, so that rare mixes come up.
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

/// Kinds of trouble of a bad day.
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

/// What befalls the fleet. Servers are numbered: caches by location, then parents, then their parents, then the origin.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// It dies: connections are reset, what it held is lost; the list tells of it late.
    Die(usize),
    /// It starts again, cold and empty; one that only drained goes on as it is.
    Start(usize),
    /// It says nothing any more, or again.
    Silent(usize, bool),
    /// It takes requests and does nothing about them, or does again.
    Stall(usize, bool),
    /// It answers each request with an error at once, or no longer.
    FailFast(usize, bool),
    /// It takes so many times as long.
    Slow(usize, f64),
    /// It ages: each minute it takes so many times as long more; 0 ends it.
    Age(usize, f64),
    /// It takes no new work by the list.
    Drain(usize),
    /// Between a location and the hub nothing gets through, or again.
    Cut(usize, bool),
    /// From now on routers hear so late of a change of the list, in milliseconds.
    ListLate(f64),
    /// From now on servers take stock of their load so rarely, in milliseconds.
    ReportsLate(f64),
    /// So many times as much is asked for.
    Rate(f64),
    /// Locations that fill from one parent are to fill from another, both counted among the parents; nothing without the
    /// hierarchy.
    Move(usize, usize),
    /// The link between two sites; nothing where there is one.
    Link(Blow),
    /// So many of the objects that are asked for most are purged.
    Purge(u32),
}

impl Fault {
    /// The server that it befalls, where it is one.
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
