//! A simulated fleet in virtual time. The routers run the decision module that is shipped, or a simple policy
//! for comparison; caches, parents, the origin, the links between them and the clients are models.
//!
//! A seed determines a run: events at the same time are handled in the order in which they were added, there
//! is a single random number generator, and nothing depends on the order of a hash map. The simulation
//! decides nothing that a router decides.

mod attempts;
mod clients;
mod faults;
mod hierarchy;
mod origin;
mod sites;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use linnethook::interface::{
    Action, AttemptId, AttemptStatus, CacheStatus, Endpoint, EndpointId, EndpointPhase, EndpointUpdate,
    Event as PolicyEvent, FillInstruction, Idempotence, LoadReport, OutcomeDetail, RequestClass, Settings,
    SiblingFill, SlowStart,
};
use linnethook_testbed::checker::{judge, Breach, RuleBounds};
use linnethook_testbed::recording::RecordEntry;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::baselines::RouterPolicy;
use crate::copies::Copies;
use crate::demand::{Demand, InvalidDemand};
use crate::fair_link::FairLink;
use crate::queue::Queue;
use crate::recorder::Recorder;
use crate::Micros;

pub use crate::plan::{Fault, Plan};
pub use crate::statistics::Statistics;

type Number = u64;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    ClientArrival,
    /// A client sends its request, for the first time or as a retry.
    SendRequest(Number),
    PolicyTimer(usize, u32),
    /// An attempt arrives at its next hop.
    AttemptArrival(Number),
    /// An attempt times out.
    AttemptTimeout(Number),
    /// The next transfer of a link completes; ignored if the link has changed since.
    TransferCompletion(usize, u64),
    /// The outcome of an attempt arrives at its router.
    OutcomeArrival(Number),
    Fault(usize),
    /// A crashed server restarts.
    Restart(usize),
    EndpointUpdate(usize),
    /// Routers receive a batch of hierarchy changes; the timer of a hierarchy is due.
    HierarchyBatch(usize),
    HierarchyTimer(usize),
    /// The timer of a gateway is due; a connection between two gateways opens; bytes arrive at an end of it.
    GatewayTimer(usize),
    ConnectionOpened(u64),
    BytesArrival(u64, usize),
    /// Servers remove copies from before a purge.
    RemovePurgedCopies(u64, Micros),
    /// Servers update the load that they report.
    LoadReports,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Stage {
    /// Queued in the hierarchy's shield.
    Queued,
    ToEndpoint,
    /// On its way to the source of its fill.
    ToSource,
    AtOrigin,
    /// The fill is being transferred to the cache.
    Filling,
    /// The response is being transferred to the client.
    Answering,
    /// Waiting for the fill of another attempt.
    Coalesced,
    Finished,
}

#[derive(Debug, Clone)]
struct Attempt {
    router: usize,
    request: Number,
    number: u8,
    server: usize,
    fill: Option<FillInstruction>,
    stage: Stage,
    key: u64,
    is_write: bool,
    sent_at: Micros,
    source_wait: Micros,
    cache_status: Option<CacheStatus>,
    status: AttemptStatus,
    /// The origin's work for it.
    work: Option<Number>,
    /// Whether the hierarchy's shield tracks its fill, the topology version when it was selected, and the
    /// former source of its child, which is checked for a cached copy after its source.
    tracked_by_shield: bool,
    version: Option<u64>,
    former_source: Option<usize>,
    /// Whether it took effect at the origin.
    executed: bool,
    /// When the copy that it returns was made.
    issued_at: Option<Micros>,
}

#[derive(Debug, Clone)]
struct Client {
    router: usize,
    object: u64,
    part: u32,
    is_booking: bool,
    size: f64,
    /// When the client first sent the request, and when it sent this retry.
    first_sent_at: Micros,
    sent_at: Micros,
    /// How long the client waits, in milliseconds.
    timeout: f64,
    retries: u32,
    attempts: u8,
    /// Of a request from the other site: the ticket of this site's gateway, and the request's number at its
    /// own site.
    remote_ticket: Option<u64>,
    remote_number: Option<Number>,
}

impl Client {
    /// The key under which caches store the requested part.
    fn key(&self) -> u64 {
        match self.part {
            0 => self.object,
            part => linnethook::hash_ring::hash_pair(self.object, u64::from(part)),
        }
    }
}

/// The health of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Health {
    up: bool,
    silent: bool,
    stalled: bool,
    fails_fast: bool,
    slow_factor: f64,
    /// Since when the server slows down, and by how much per minute.
    degradation: Option<(Micros, f64)>,
}

const HEALTHY: Health = Health {
    up: true,
    silent: false,
    stalled: false,
    fails_fast: false,
    slow_factor: 1.0,
    degradation: None,
};

impl Health {
    /// The factor of its service time now.
    fn slowdown(&self, now: Micros) -> f64 {
        let growth =
            self.degradation.map_or(0.0, |(since, by)| ms(now.saturating_sub(since)) / 60_000.0 * by);
        self.slow_factor + growth
    }
}

struct Server {
    endpoint: Endpoint,
    health: Health,
    copies: Copies,
    in_flight: usize,
    /// The link to its clients; parents and the origin share the origin's link.
    link: usize,
    /// Times of the recent requests, while it warms up.
    recent_arrivals: VecDeque<Micros>,
    /// Fills in progress by key, with the attempts that wait for each.
    fills_in_progress: BTreeMap<u64, Vec<Number>>,
    /// Of a parent: its requests to the origin, by key.
    origin_fetches: BTreeMap<u64, Number>,
    /// Copies that are being revalidated in the background.
    revalidations: BTreeSet<u64>,
    /// The load that it reports.
    reported_load: LoadReport,
    requests: u32,
    hits: u32,
}

struct Link {
    transfers: FairLink,
    version: u64,
}

/// A request that the origin works on; it is completed even if nobody waits for it any more.
#[derive(Debug, Clone)]
struct Work {
    /// The parent that requested it and stores the response.
    parent: Option<usize>,
    key: u64,
    waiting: Vec<Number>,
    /// Parents that store it too, as they requested it from that parent.
    downstream_parents: Vec<usize>,
    /// The cache that revalidates its copy with it.
    revalidating_cache: Option<usize>,
}

/// A simulated fleet, for a single run.
pub struct Simulation {
    plan: Plan,
    rng: Pcg64Mcg,
    demand: Demand,
    queue: Queue<Event>,
    policies: Vec<RouterPolicy>,
    servers: Vec<Server>,
    server_indices: BTreeMap<EndpointId, usize>,
    /// Requests at the origin, which shares its capacity evenly among them, like a link.
    origin_work: BTreeMap<Number, Work>,
    origin_processor: usize,
    links: Vec<Link>,
    /// Locations that are cut off from the hub.
    partitioned: Vec<bool>,
    endpoint_update_delay: f64,
    load_report_interval: f64,
    /// Factor of the planned request rate.
    rate_factor: f64,
    /// Tokens for client retries.
    retry_tokens: f64,
    hierarchies: hierarchy::Hierarchies,
    sites: sites::Sites,
    /// Retry-after times for clients whose fills the shield rejected.
    retry_after_by_request: BTreeMap<Number, f64>,
    clients: BTreeMap<Number, Client>,
    attempts: BTreeMap<Number, Attempt>,
    attempts_by_id: BTreeMap<(Number, u8), Number>,
    last_number: Number,
    statistics: Statistics,
    recorder: Recorder,
}

/// Slow start of caches and of parents.
const SLOW_START: [SlowStart; 2] = [
    SlowStart { initial_ratio: 0.25, duration: 15_000.0, overload_multiple: 3.0, overload_window: 3_000.0 },
    SlowStart { initial_ratio: 0.1, duration: 20_000.0, overload_multiple: 2.0, overload_window: 3_000.0 },
];

/// In milliseconds: how long routers may use a purged copy, how long a draining server may receive requests,
/// and when purged copies are removed everywhere.
const PURGE_GRACE: f64 = 1_000.0;
const DRAIN_GRACE: f64 = 250.0;
const PURGE_COMPLETION: f64 = 6_000.0;

const PARENT: u16 = 1;
const ORIGIN: u16 = 2;
/// A parent of parents; it is not in the endpoint list of routers.
const TOP: u16 = 3;

fn micros(ms: f64) -> Micros {
    (ms.max(0.0) * 1_000.0) as Micros
}

fn ms(at: Micros) -> f64 {
    at as f64 / 1_000.0
}

impl Simulation {
    /// Creates a simulation without a recording. Returns an error if the demand of the plan is invalid.
    pub fn new(plan: Plan) -> Result<Self, InvalidDemand> {
        Self::with_recorder(plan, Recorder::default())
    }

    /// Runs a plan, and checks its recording with the rules that also apply to recordings of the testbed.
    pub fn run_checked(plan: Plan) -> Result<(Statistics, Vec<Breach>), InvalidDemand> {
        let rules = RuleBounds {
            drain_grace: DRAIN_GRACE,
            purge_grace: PURGE_GRACE,
            // One round trip to a server; there is no scheduling delay in virtual time.
            slack: plan.hub_delay * 2.0 + 1.0,
            migration_grace: plan.hierarchy.map_or(0.0, |hierarchy| {
                hierarchy.max_migration_time() + plan.endpoint_update_delay + plan.client_timeout
            }),
            ..RuleBounds::default()
        };
        let (statistics, entries) = Self::run_recorded(plan)?;
        Ok((statistics, judge(&entries, &rules)))
    }

    /// Runs a plan and returns its recording.
    pub fn run_recorded(plan: Plan) -> Result<(Statistics, Vec<RecordEntry>), InvalidDemand> {
        let (statistics, recorder) = Self::with_recorder(plan, Recorder::enabled())?.run_to_end();
        Ok((statistics, recorder.into_entries()))
    }

    fn with_recorder(plan: Plan, recorder: Recorder) -> Result<Self, InvalidDemand> {
        let demand = Demand::new(plan.demand, plan.flash_crowds.clone())?;
        let mut simulation = Self {
            rng: Pcg64Mcg::seed_from_u64(plan.seed),
            demand,
            queue: Queue::default(),
            policies: Vec::new(),
            servers: Vec::new(),
            server_indices: BTreeMap::new(),
            origin_work: BTreeMap::new(),
            origin_processor: 0,
            links: Vec::new(),
            partitioned: vec![false; plan.locations + 1],
            endpoint_update_delay: plan.endpoint_update_delay,
            load_report_interval: plan.load_report_interval,
            rate_factor: 1.0,
            retry_tokens: 0.0,
            hierarchies: hierarchy::Hierarchies::default(),
            sites: sites::Sites::default(),
            retry_after_by_request: BTreeMap::new(),
            clients: BTreeMap::new(),
            attempts: BTreeMap::new(),
            attempts_by_id: BTreeMap::new(),
            last_number: 0,
            statistics: Statistics::default(),
            recorder,
            plan,
        };
        simulation.build();
        Ok(simulation)
    }

    fn add_link(&mut self, bandwidth: f64, max_rate: f64) -> usize {
        self.links.push(Link { transfers: FairLink::new(bandwidth / 1e6, max_rate / 1e6), version: 0 });
        self.links.len() - 1
    }

    fn build(&mut self) {
        let plan = self.plan.clone();
        let hub = plan.locations as u16;
        // The locations' links for fills have the lowest indices.
        for _ in 0..plan.locations {
            self.add_link(plan.location_link, plan.transfer_rate * 4.0);
        }
        let origin_link = self.add_link(plan.origin_link, plan.transfer_rate * 4.0);
        // The unit of this link is microseconds of work per microsecond.
        self.origin_processor = self.add_link(plan.origin_concurrency.max(1) as f64 * 1e6, 1e6);
        let caches = plan.caches.max(1);
        let specs = (0..plan.locations * plan.caches).map(|n| (0u16, (n / caches) as u16, n % caches));
        let specs = specs.chain((0..plan.parents).map(|_| (PARENT, hub, 0)));
        let specs = specs.chain((0..plan.top_parents).map(|_| (TOP, hub, 0)));
        for (n, (role, zone, index)) in specs.chain(std::iter::once((ORIGIN, hub, 0))).enumerate() {
            let id = EndpointId(linnethook::hash_ring::hash_pair(n as u64, 0x6d6f_6465));
            let running = role != 0 || index + plan.spare_caches < plan.caches;
            let phase = if running { EndpointPhase::Ready } else { EndpointPhase::Removed };
            let endpoint =
                Endpoint { id, cell: 0, zone, role, weight: plan.weight(role), started_at: 0.0, phase };
            let link =
                if role == 0 { self.add_link(plan.cache_link, plan.transfer_rate) } else { origin_link };
            let capacity = [plan.cache_copies, plan.parent_copies, 0, plan.parent_copies][usize::from(role)];
            self.server_indices.insert(id, n);
            self.servers.push(Server {
                endpoint,
                health: Health { up: running, ..HEALTHY },
                copies: Copies::new(capacity),
                in_flight: 0,
                recent_arrivals: VecDeque::new(),
                link,
                fills_in_progress: BTreeMap::new(),
                origin_fetches: BTreeMap::new(),
                revalidations: BTreeSet::new(),
                reported_load: LoadReport::default(),
                requests: 0,
                hits: 0,
            });
        }
        if plan.home_parents_prefilled {
            let homes =
                plan.hierarchy.map_or(plan.parents, |hierarchy| hierarchy.home_parents).min(plan.parents);
            let objects = (plan.parent_copies as u64).min(plan.demand.objects);
            for server in self.servers.iter_mut().skip(plan.locations * plan.caches).take(homes) {
                // Insert the most popular objects last, so that they are the most recently used.
                (0..objects)
                    .rev()
                    .for_each(|rank| _ = server.copies.insert(self.demand.at_rank(0, rank), 1, 0));
            }
        }
        let running = |endpoint: &Endpoint| endpoint.phase != EndpointPhase::Removed && endpoint.role != TOP;
        let endpoints: Vec<Endpoint> =
            self.servers.iter().map(|server| server.endpoint).filter(running).collect();
        for n in 0..plan.locations * plan.routers {
            let settings = self.settings((n / plan.routers.max(1)) as u16);
            let mut policy = RouterPolicy::new(plan.routing_policy, settings, plan.seed ^ n as u64);
            let list =
                PolicyEvent::Endpoints { update: EndpointUpdate::Snapshot, endpoints: endpoints.clone() };
            let actions = policy.handle(0.0, &list);
            self.policies.push(policy);
            self.execute_actions(n, actions);
        }
        for n in 0..plan.faults.len() {
            self.queue.add(micros(plan.faults[n].0 * 1_000.0), Event::Fault(n));
        }
        if plan.load_report_interval > 0.0 {
            self.queue.add(micros(plan.load_report_interval), Event::LoadReports);
        }
        self.build_hierarchies();
        self.build_sites();
        self.queue.add(0, Event::ClientArrival);
    }

    fn settings(&self, zone: u16) -> Settings {
        let plan = &self.plan;
        let read = RequestClass {
            idempotence: Idempotence::Idempotent,
            latency_objective: plan.latency_objective,
            deadline: plan.client_timeout,
            priority_weight: 1.0,
            late_weight_ratio: 0.2,
            objective_stretch_ratio: 1.0,
            freshness_lifetime: plan.freshness_lifetime,
            stale_grace: plan.stale_grace,
            stale_weight_ratio: 0.7,
            ..RequestClass::default()
        };
        let booking = RequestClass {
            idempotence: Idempotence::NotIdempotent,
            is_write: true,
            freshness_lifetime: 0.0,
            stale_grace: 0.0,
            ..read.clone()
        };
        Settings {
            routers: (plan.locations * plan.routers) as u32,
            routers_by_zone: vec![plan.routers as u32; plan.locations],
            zone,
            classes: vec![read, booking],
            clock_resolution: 100.0,
            max_attempts: plan.max_attempts,
            may_cancel: true,
            supports_retry_after: true,
            max_retry_after: 1_000.0,
            drain_grace: DRAIN_GRACE,
            cache_slow_start: SLOW_START[0],
            parent_slow_start: SLOW_START[1],
            parent_role: Some(PARENT),
            origin_role: Some(ORIGIN),
            flow_kb_per_s: plan.transfer_rate / 1_000.0,
            fill_link_kb_per_s: plan.location_link / 1_000.0,
            sibling_fill: if plan.sibling_fill { SiblingFill::SameLocation } else { SiblingFill::Disabled },
            coalesces_fills: plan.coalesce_fills,
            may_bypass_caches: plan.bypass_caches,
            outcome_detail: if plan.report_outcome_detail {
                OutcomeDetail::Full
            } else {
                OutcomeDetail::None
            },
            purge_grace: PURGE_GRACE,
            purge_completion: PURGE_COMPLETION,
            ..Settings::default()
        }
    }

    /// Runs the plan to its end.
    pub fn run(self) -> Statistics {
        self.run_to_end().0
    }

    fn run_to_end(mut self) -> (Statistics, Recorder) {
        let end = micros(self.plan.seconds * 1_000.0 + self.plan.client_timeout + 1_000.0);
        while let Some((now, event)) = self.queue.take() {
            if now > end {
                break;
            }
            self.statistics.events += 1;
            match event {
                Event::ClientArrival => self.on_client_arrival(now),
                Event::SendRequest(number) => self.send_request(now, number),
                Event::PolicyTimer(router, token) => {
                    self.notify_policy(now, router, &PolicyEvent::Timer(token))
                }
                Event::AttemptArrival(number) => self.on_attempt_arrival(now, number),
                Event::AttemptTimeout(number) => self.end_attempt(now, number, AttemptStatus::TimedOut),
                Event::TransferCompletion(link, version) => self.on_transfer_completion(now, link, version),
                Event::OutcomeArrival(number) => self.deliver_outcome(now, number),
                Event::Fault(n) => self.inject_fault(now, self.plan.faults[n].1),
                Event::Restart(server) => self.inject_fault(now, Fault::Start(server)),
                Event::EndpointUpdate(server) => self.deliver_endpoint_update(now, server),
                Event::HierarchyBatch(n) => self.apply_batch(now, n),
                Event::HierarchyTimer(router) => self.on_hierarchy_timer(now, router),
                Event::GatewayTimer(router) => self.on_gateway_timer(now, router),
                Event::ConnectionOpened(connection_id) => self.on_connection_opened(now, connection_id),
                Event::BytesArrival(connection_id, to) => self.deliver_bytes(now, connection_id, to),
                Event::RemovePurgedCopies(object, stamp) => self.remove_purged_copies(object, stamp),
                Event::LoadReports => self.update_reported_loads(now),
            }
        }
        (self.statistics, self.recorder)
    }

    fn notify_policy(&mut self, now: Micros, router: usize, event: &PolicyEvent) {
        let actions = self.policies[router].handle(ms(now), event);
        self.execute_actions(router, actions);
    }

    fn execute_actions(&mut self, router: usize, actions: Vec<Action>) {
        let now = self.queue.now();
        for action in actions {
            match action {
                Action::SetTimer { at, token } => {
                    self.queue.add(micros(at), Event::PolicyTimer(router, token))
                }
                Action::Forward { request, endpoint: cache, timeout, .. } => {
                    self.send(now, request, cache, timeout, None)
                }
                Action::ForwardWithFill { request, endpoint: cache, timeout, fill, .. } => {
                    self.send(now, request, cache, timeout, Some(fill));
                }
                Action::CancelAttempt(AttemptId { request, number }) => {
                    if let Some(&number) = self.attempts_by_id.get(&(request.0, number)) {
                        self.end_attempt(now, number, AttemptStatus::Cancelled);
                    }
                }
                Action::Reject { request, retry_after, .. } => self.on_rejected(now, request.0, retry_after),
                Action::Fail { request, .. } => self.on_failed(now, request.0),
                Action::HealthCheck(_) | Action::SubscribeEndpoints | Action::Log(_) => {}
            }
        }
    }

    /// The latency objective for a response of `size` bytes, in milliseconds.
    fn latency_objective(&self, size: f64) -> f64 {
        self.plan.latency_objective + size / self.plan.transfer_rate * 1_000.0
    }

    fn server_index(&self, id: EndpointId) -> Option<usize> {
        self.server_indices.get(&id).copied()
    }

    /// Whether messages of a router reach a server.
    fn router_reaches(&self, router: usize, server: usize) -> bool {
        let zone = router / self.plan.routers.max(1);
        usize::from(self.servers[server].endpoint.zone) == zone
            || !self.partitioned.get(zone).is_some_and(|partitioned| *partitioned)
    }

    /// Whether messages of one server reach another; a location that is cut off reaches only its own servers.
    fn servers_connected(&self, one: usize, other: usize) -> bool {
        let zone = |n: usize| usize::from(self.servers[n].endpoint.zone);
        zone(one) == zone(other) || !(self.partitioned[zone(one)] || self.partitioned[zone(other)])
    }

    /// One-way delay between two servers, in milliseconds.
    fn network_delay(&self, one: usize, other: usize) -> f64 {
        match self.servers[one].endpoint.zone == self.servers[other].endpoint.zone {
            true => self.plan.local_delay,
            false => self.plan.hub_delay,
        }
    }
}
