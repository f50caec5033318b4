//! The input of a run: a fleet, its load and its faults; and random fault schedules from a seed. Nothing here
//! changes during a run.

use std::ops::Range;

use linnethook_hierarchy::rollout::RolloutConfig;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::baselines::RoutingPolicy;
use crate::demand::{DemandConfig, FlashCrowd};

/// The hierarchy that routers use to select fill sources. Times are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HierarchyPlan {
    /// Whether children migrate in stages.
    pub staged: bool,
    /// Whether fills pass the shield.
    pub shielded: bool,
    /// How long a migration is announced before its first stage.
    pub announcement: f64,
    /// Duration from the first migrated objects to all of them.
    pub ramp_duration: f64,
    /// How long the former source is still queried for cached copies after a migration.
    pub settling_time: f64,
    /// The number of parents, from the first, that are home parents of the locations in turn; the others are
    /// spare.
    pub home_parents: usize,
}

/// Two sites, whose routers are gateways to each other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SitesPlan {
    /// One-way delay between the sites, in milliseconds.
    pub delay: f64,
    /// Bandwidth in each direction, in bytes per second; all connections share it.
    pub bandwidth: f64,
    /// Maximum age of the other site's state for its requests to be admitted, in milliseconds.
    pub max_state_delay: f64,
}

impl Default for SitesPlan {
    fn default() -> Self {
        Self { delay: 10.0, bandwidth: 2e7, max_state_delay: 200.0 }
    }
}

/// A fault of the link between two sites.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LinkFault {
    /// Connections are reset, and new ones fail until the link is restored.
    Cut,
    /// Nothing is delivered until the link is restored, but connections stay open.
    Silent,
    /// The delay is multiplied by this factor.
    Slow(f64),
    /// The link works normally again.
    Restore,
}

impl HierarchyPlan {
    /// The longest time that a migration of children may take, in milliseconds. While sources are short of
    /// capacity, the shield may pause stages.
    pub(crate) fn max_migration_time(&self) -> f64 {
        let max_pause = if self.shielded { RolloutConfig::default().max_pause } else { 0.0 };
        self.announcement + self.ramp_duration + self.settling_time + max_pause
    }
}

impl Default for HierarchyPlan {
    fn default() -> Self {
        let (announcement, ramp_duration, settling_time) = (2_000.0, 15_000.0, 10_000.0);
        Self { staged: true, shielded: true, announcement, ramp_duration, settling_time, home_parents: 1 }
    }
}

/// A fleet, its load and its faults.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Seed of all random numbers of the run.
    pub seed: u64,
    /// The routing policy of all routers.
    pub routing_policy: RoutingPolicy,
    /// Number of locations.
    pub locations: usize,
    /// Routers per location.
    pub routers: usize,
    /// Caches per location.
    pub caches: usize,
    /// Parents, which all locations share.
    pub parents: usize,
    /// Second tier of parents, which the parents share by hash; 0 = parents request from the origin.
    pub top_parents: usize,
    /// The number of caches per location, from the last, that are absent until a fault starts them.
    pub spare_caches: usize,
    /// Copies that a cache can store.
    pub cache_copies: usize,
    /// Copies that a parent can store.
    pub parent_copies: usize,
    /// Requests that a cache or a parent serves at a time.
    pub max_requests_per_server: usize,
    /// Fills that a cache runs at a time, over all its cores; 0 = unlimited.
    pub max_fills_per_cache: usize,
    /// Whether home parents start with the most popular objects cached.
    pub home_parents_prefilled: bool,
    /// Maximum rate of a transfer, in bytes per second.
    pub transfer_rate: f64,
    /// Bandwidth of a cache's link to its clients, in bytes per second.
    pub cache_link: f64,
    /// Bandwidth of a location's link for fills, in bytes per second.
    pub location_link: f64,
    /// Bandwidth of the link of the origin and the parents, in bytes per second.
    pub origin_link: f64,
    /// One-way delay within a location, in milliseconds.
    pub local_delay: f64,
    /// One-way delay between a location and the hub, in milliseconds.
    pub hub_delay: f64,
    /// Mean service time of the origin, in milliseconds.
    pub origin_service_time: f64,
    /// Number of concurrent requests above which the service time of the origin grows.
    pub origin_concurrency: usize,
    /// The origin crashes on a request above this number of concurrent requests; 0 = it never crashes.
    pub origin_crash_limit: usize,
    /// Time until the crashed origin restarts, in seconds.
    pub origin_restart_delay: f64,
    /// Clients' first requests per second, in total.
    pub rate: f64,
    /// Length of the load, in seconds.
    pub seconds: f64,
    /// Parts that a client requests, one after the other.
    pub parts: u32,
    /// Share of clients that send a booking instead.
    pub booking_share: f64,
    /// How long clients wait for an answer, in milliseconds.
    pub client_timeout: f64,
    /// Latency that clients want, in milliseconds, without the transfer time of the object.
    pub latency_objective: f64,
    /// How often a client retries a rejected request.
    pub max_client_retries: u32,
    /// Whether clients also retry failed requests; bookings are never retried after a failure.
    pub retry_failed_requests: bool,
    /// Minimum pause before a client's first retry, in milliseconds.
    pub retry_pause: f64,
    /// Factor by which the pause grows with each retry.
    pub retry_backoff: f64,
    /// Whether clients wait at least for the rejection's retry-after time.
    pub respect_retry_after: bool,
    /// Mean number of retries per first request that clients may send; 0 = unlimited.
    pub retry_budget: f64,
    /// Freshness lifetime of a copy, in milliseconds; 0 = fresh until it is purged.
    pub freshness_lifetime: f64,
    /// How long after its freshness lifetime a copy may still be served, in milliseconds.
    pub stale_grace: f64,
    /// Whether caches may fill from sibling caches.
    pub sibling_fill: bool,
    /// Whether a request may join a fill in progress.
    pub coalesce_fills: bool,
    /// Whether routers may send requests past the caches.
    pub bypass_caches: bool,
    /// Whether outcomes report the cache status.
    pub report_outcome_detail: bool,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// The hierarchy of the routers; without it, a cache fills from any parent in the endpoint list.
    pub hierarchy: Option<HierarchyPlan>,
    /// The two sites; without it there is one site.
    pub sites: Option<SitesPlan>,
    /// Popularity and sizes of the objects.
    pub demand: DemandConfig,
    /// Flash crowds during the run.
    pub flash_crowds: Vec<FlashCrowd>,
    /// Faults, each with its time in seconds.
    pub faults: Vec<(f64, Fault)>,
    /// Delay until routers receive an update of the endpoint list, in milliseconds.
    pub endpoint_update_delay: f64,
    /// Interval at which servers update the load that they report, in milliseconds; 0 = never.
    pub load_report_interval: f64,
    /// Requests per second that a warm cache can serve. After a start it begins with a quarter of it, and
    /// crashes on more than three times of what it can serve at that time. 0 = it never crashes.
    pub cache_throughput: f64,
    /// Requests per second that a warm parent can serve. After a start it begins with a tenth of it, and
    /// crashes on more than two times of what it can serve at that time. 0 = it never crashes.
    pub parent_throughput: f64,
    /// Time until a server that crashed under overload restarts, in seconds.
    pub restart_delay: f64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seed: 1,
            routing_policy: RoutingPolicy::Shipped,
            locations: 2,
            routers: 2,
            caches: 4,
            parents: 2,
            top_parents: 0,
            spare_caches: 0,
            cache_copies: 1_500,
            parent_copies: 8_000,
            max_requests_per_server: 200,
            max_fills_per_cache: 0,
            home_parents_prefilled: false,
            transfer_rate: 2e6,
            cache_link: 2e7,
            location_link: 2e7,
            origin_link: 4e7,
            local_delay: 1.0,
            hub_delay: 15.0,
            origin_service_time: 20.0,
            origin_concurrency: 64,
            origin_crash_limit: 0,
            origin_restart_delay: 2.0,
            rate: 200.0,
            seconds: 30.0,
            parts: 1,
            booking_share: 0.0,
            client_timeout: 3_000.0,
            latency_objective: 500.0,
            max_client_retries: 2,
            retry_failed_requests: false,
            retry_pause: 50.0,
            retry_backoff: 1.0,
            respect_retry_after: true,
            retry_budget: 0.0,
            freshness_lifetime: 0.0,
            stale_grace: 0.0,
            sibling_fill: true,
            coalesce_fills: true,
            bypass_caches: true,
            report_outcome_detail: true,
            max_attempts: 4,
            hierarchy: None,
            sites: None,
            demand: DemandConfig { objects: 20_000, ..DemandConfig::default() },
            flash_crowds: Vec::new(),
            faults: Vec::new(),
            endpoint_update_delay: 300.0,
            load_report_interval: 0.0,
            cache_throughput: 0.0,
            parent_throughput: 0.0,
            restart_delay: 5.0,
        }
    }
}

/// The weight of a server without a configured throughput.
const DEFAULT_WEIGHT: f64 = 8.0;

impl Plan {
    /// The number of servers: caches by location, then parents, then their parents, then the origin.
    pub fn servers(&self) -> usize {
        self.locations * self.caches + self.parents + self.top_parents + 1
    }

    /// The configured weight of a server: how many transfers of mean size it can serve at a time.
    pub(crate) fn weight(&self, role: u16) -> f64 {
        let throughput =
            [self.cache_throughput, self.parent_throughput, 0.0, self.parent_throughput][usize::from(role)];
        let mean_duration = self.demand.median_size
            * (self.demand.size_sigma * self.demand.size_sigma / 2.0).exp()
            / self.transfer_rate;
        if throughput > 0.0 {
            throughput * mean_duration
        } else {
            DEFAULT_WEIGHT
        }
    }

    /// The index of the origin, which is the last server.
    pub fn origin(&self) -> usize {
        self.servers() - 1
    }

    /// A random schedule of faults that begin within `within` (seconds) and may overlap. Most end again. Each
    /// seed excludes some kinds of fault, so that rare combinations occur.
    pub fn random_faults(&self, seed: u64, count: usize, within: Range<f64>) -> Vec<(f64, Fault)> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x6261_645f_6461_7973);
        let kinds: Vec<FaultKind> =
            FaultKind::ALL.into_iter().filter(|_| rng.random::<f64>() < 0.6).collect();
        let mut faults = Vec::new();
        for _ in 0..count {
            let Some(kind) = kinds.get(rng.random_range(0..kinds.len().max(1))) else { continue };
            let from = rng.random_range(within.clone());
            let to = (from + rng.random_range(0.3..8.0)).min(self.seconds);
            let n = rng.random_range(0..self.servers());
            let location = rng.random_range(0..self.locations.max(1));
            let strength: f64 = rng.random_range(1.5..12.0);
            match kind {
                FaultKind::Crash => faults.extend([(from, Fault::Crash(n)), (to, Fault::Start(n))]),
                FaultKind::RestartHalf => {
                    let first = location * self.caches;
                    for n in (first..first + self.caches).step_by(2) {
                        let delay = rng.random_range(0.0..0.05);
                        faults.extend([
                            (from + delay, Fault::Crash(n)),
                            (from + delay + 0.05, Fault::Start(n)),
                        ]);
                    }
                }
                FaultKind::Silent => {
                    faults.extend([(from, Fault::Silent(n, true)), (to, Fault::Silent(n, false))])
                }
                FaultKind::Stall => {
                    faults.extend([(from, Fault::Stall(n, true)), (to, Fault::Stall(n, false))])
                }
                FaultKind::FailFast => {
                    faults.extend([(from, Fault::FailFast(n, true)), (to, Fault::FailFast(n, false))]);
                }
                FaultKind::Slow => {
                    faults.extend([(from, Fault::Slow(n, strength)), (to, Fault::Slow(n, 1.0))])
                }
                FaultKind::Degrade => {
                    faults.extend([(from, Fault::Degrade(n, strength * 20.0)), (to, Fault::Degrade(n, 0.0))])
                }
                FaultKind::Drain => faults.extend([(from, Fault::Drain(n)), (to, Fault::Start(n))]),
                FaultKind::Partition => {
                    faults.extend([
                        (from, Fault::Partition(location, true)),
                        (to, Fault::Partition(location, false)),
                    ]);
                }
                FaultKind::EndpointUpdateDelay => {
                    faults.extend([
                        (from, Fault::EndpointUpdateDelay(strength * 500.0)),
                        (to, Fault::EndpointUpdateDelay(self.endpoint_update_delay)),
                    ]);
                }
                FaultKind::LoadPeak => {
                    faults.extend([(from, Fault::Rate(strength / 3.0)), (to, Fault::Rate(1.0))])
                }
                FaultKind::Purge => faults.push((from, Fault::Purge((strength * 20.0) as u32))),
            }
        }
        faults.sort_by(|a, b| a.0.total_cmp(&b.0));
        faults
    }
}

/// Kinds of fault of a random schedule.
#[derive(Debug, Clone, Copy, PartialEq)]
enum FaultKind {
    Crash,
    RestartHalf,
    Silent,
    Stall,
    FailFast,
    Slow,
    Degrade,
    Drain,
    Partition,
    EndpointUpdateDelay,
    LoadPeak,
    Purge,
}

impl FaultKind {
    const ALL: [Self; 12] = [
        Self::Crash,
        Self::RestartHalf,
        Self::Silent,
        Self::Stall,
        Self::FailFast,
        Self::Slow,
        Self::Degrade,
        Self::Drain,
        Self::Partition,
        Self::EndpointUpdateDelay,
        Self::LoadPeak,
        Self::Purge,
    ];
}

/// A fault. Servers are numbered: caches by location, then parents, then their parents, then the origin.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// The server crashes: connections are reset and its copies are lost. The endpoint list reports it with a
    /// delay.
    Crash(usize),
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
    Degrade(usize, f64),
    /// The endpoint list reports the server as draining.
    Drain(usize),
    /// The network between a location and the hub is down, or up again.
    Partition(usize, bool),
    /// Sets the delay of updates of the endpoint list, in milliseconds.
    EndpointUpdateDelay(f64),
    /// Sets the interval of load reports, in milliseconds.
    LoadReportInterval(f64),
    /// Multiplies the request rate of the plan by this factor.
    Rate(f64),
    /// Migrates the locations that fill from one parent to another; both are indices among the parents. No
    /// effect without the hierarchy.
    Move(usize, usize),
    /// A fault of the link between two sites; no effect with a single site.
    Link(LinkFault),
    /// Purges this many objects, drawn by popularity.
    Purge(u32),
}

impl Fault {
    /// The server that the fault affects, if it affects a single one.
    pub fn server(&self) -> Option<usize> {
        match self {
            Self::Crash(n) | Self::Start(n) | Self::Drain(n) => Some(*n),
            Self::Slow(n, _) | Self::Degrade(n, _) => Some(*n),
            Self::Silent(n, _) | Self::Stall(n, _) | Self::FailFast(n, _) => Some(*n),
            Self::Partition(..)
            | Self::EndpointUpdateDelay(_)
            | Self::LoadReportInterval(_)
            | Self::Rate(_)
            | Self::Purge(_) => None,
            Self::Move(..) | Self::Link(_) => None,
        }
    }
}
