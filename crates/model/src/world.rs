//! A simulated fleet in virtual time. The routers run the decision module that is shipped, or a simple policy
//! for comparison; caches, parents, the origin, the links between them and the clients are models.
//!
//! A seed determines a run: events at the same time are handled in the order in which they were added, there
//! is a single random number generator, and nothing depends on the order of a hash map. The simulation
//! decides nothing that a router decides.

mod clients;
mod origin;
mod serving;
mod sites;
mod tiers;
mod troubles;

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

use crate::copies::Copies;
use crate::demand::{Demand, Unusable};
use crate::fair::Fair;
use crate::notes::Notes;
use crate::plain::Decides;
use crate::queue::Queue;
use crate::Micros;

pub use crate::plan::{Fault, Plan};
pub use crate::seen::Seen;

type Number = u64;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    Arrive,
    /// A client sends its request, for the first time or as a retry.
    Ask(Number),
    Timer(usize, u32),
    /// An attempt arrives at its next hop.
    Step(Number),
    /// An attempt times out.
    Expire(Number),
    /// The next transfer of a link completes; ignored if the link has changed since.
    Link(usize, u64),
    /// The outcome of an attempt arrives at its router.
    Tell(Number),
    Fault(usize),
    /// A crashed server restarts.
    Back(usize),
    List(usize),
    /// Routers receive a batch of hierarchy changes; the timer of a hierarchy is due.
    Shape(usize),
    Tend(usize),
    /// The timer of a gateway is due; a connection between two gateways opens; bytes arrive at an end of it.
    Gateway(usize),
    Up(u64),
    Bytes(u64, usize),
    /// A server removes copies from before a purge.
    Drop(u64, Micros),
    /// Servers update the load that they report.
    Stock,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Stage {
    /// Queued in the hierarchy's shield.
    Held,
    ToCache,
    /// On its way to the source of its fill.
    ToSource,
    AtOrigin,
    /// The fill is being transferred to the cache.
    Filling,
    /// The response is being transferred to the client.
    Answering,
    /// Waiting for the fill of another attempt.
    Joined,
    Over,
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
    write: bool,
    sent: Micros,
    waited: Micros,
    note: Option<CacheStatus>,
    status: AttemptStatus,
    /// The origin's work for it.
    work: Option<Number>,
    /// Whether the hierarchy's shield admitted it, the topology version at that time, and the node that is
    /// checked for a cached copy after its source.
    tolled: bool,
    version: Option<u64>,
    beside: Option<usize>,
    /// Whether it took effect at the origin.
    ran: bool,
    /// When the copy that it returns was made.
    dated: Option<Micros>,
}

#[derive(Debug, Clone)]
struct Client {
    router: usize,
    object: u64,
    part: u32,
    books: bool,
    size: f64,
    /// When the client first sent the request, and when it sent this retry.
    first: Micros,
    since: Micros,
    /// How long the client waits, in milliseconds.
    wait: f64,
    tries: u32,
    attempts: u8,
    /// Of a request from the other site: the ticket of this site's gateway, and the request's number at its
    /// own site.
    foreign: Option<u64>,
    id: Option<Number>,
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

/// How a server behaves.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Health {
    up: bool,
    silent: bool,
    stalled: bool,
    fails: bool,
    slow: f64,
    /// Since when the server slows down, and by how much per minute.
    ages: Option<(Micros, f64)>,
}

const WELL: Health = Health { up: true, silent: false, stalled: false, fails: false, slow: 1.0, ages: None };

impl Health {
    /// The factor of its service time now.
    fn slowness(&self, now: Micros) -> f64 {
        let aged = self.ages.map_or(0.0, |(since, by)| ms(now.saturating_sub(since)) / 60_000.0 * by);
        self.slow + aged
    }
}

struct Server {
    member: Endpoint,
    health: Health,
    copies: Copies,
    in_hand: usize,
    /// The link to its clients; parents and the origin share the origin's link.
    link: usize,
    /// Times of the recent requests, while it warms up.
    came: VecDeque<Micros>,
    /// Fills in progress by key, with the attempts that wait for each.
    filling: BTreeMap<u64, Vec<Number>>,
    /// Of a parent: its requests to the origin, by key.
    fetching: BTreeMap<u64, Number>,
    /// Copies that are being revalidated in the background.
    renewing: BTreeSet<u64>,
    /// The load that it reports.
    reported: LoadReport,
    asked: u32,
    hits: u32,
}

struct Wire {
    fair: Fair,
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
    through: Vec<usize>,
    /// The cache that revalidates its copy with it.
    renews: Option<usize>,
}

/// A simulated fleet, for a single run.
pub struct World {
    plan: Plan,
    chance: Pcg64Mcg,
    demand: Demand,
    queue: Queue<Event>,
    brains: Vec<Decides>,
    servers: Vec<Server>,
    places: BTreeMap<EndpointId, usize>,
    /// Requests at the origin, which shares its capacity evenly among them, like a link.
    works: BTreeMap<Number, Work>,
    working: usize,
    wires: Vec<Wire>,
    /// Locations that are cut off from the hub.
    cut: Vec<bool>,
    list_late: f64,
    report_every: f64,
    /// Factor of the planned request rate.
    busy: f64,
    /// Tokens for client retries.
    repeats: f64,
    tiers: tiers::Tiers,
    sites: sites::Sites,
    /// Retry-after times for clients whose fills the shield rejected.
    come_back: BTreeMap<Number, f64>,
    clients: BTreeMap<Number, Client>,
    attempts: BTreeMap<Number, Attempt>,
    by_id: BTreeMap<(Number, u8), Number>,
    last: Number,
    seen: Seen,
    notes: Notes,
}

/// Slow start of caches and of parents.
const COLD: [SlowStart; 2] = [
    SlowStart { initial_ratio: 0.25, duration: 15_000.0, overload_multiple: 3.0, overload_window: 3_000.0 },
    SlowStart { initial_ratio: 0.1, duration: 20_000.0, overload_multiple: 2.0, overload_window: 3_000.0 },
];

/// In milliseconds: how long routers may use a purged copy, how long a draining server may receive requests,
/// and when purged copies are removed everywhere.
const PURGE_GRACE: f64 = 1_000.0;
const DRAIN_GRACE: f64 = 250.0;
const PURGE_DONE: f64 = 6_000.0;

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

impl World {
    pub fn new(plan: Plan) -> Result<Self, Unusable> {
        Self::with(plan, Notes::default())
    }

    /// Runs a plan, and checks its recording with the rules that also apply to recordings of the testbed.
    pub fn judged(plan: Plan) -> Result<(Seen, Vec<Breach>), Unusable> {
        let rules = RuleBounds {
            drain_grace: DRAIN_GRACE,
            purge_grace: PURGE_GRACE,
            // One round trip to a server; there is no scheduling delay in virtual time.
            slack: plan.far * 2.0 + 1.0,
            going_over: plan.tiers.map_or(0.0, |tiers| tiers.longest() + plan.list_late + plan.wait),
            ..RuleBounds::default()
        };
        let (seen, lines) = Self::noted(plan)?;
        Ok((seen, judge(&lines, &rules)))
    }

    /// Runs a plan and returns its recording.
    pub fn noted(plan: Plan) -> Result<(Seen, Vec<RecordEntry>), Unusable> {
        let (seen, notes) = Self::with(plan, Notes::wanted())?.play();
        Ok((seen, notes.into_lines()))
    }

    fn with(plan: Plan, notes: Notes) -> Result<Self, Unusable> {
        let demand = Demand::new(plan.demand, plan.crowds.clone())?;
        let mut world = Self {
            chance: Pcg64Mcg::seed_from_u64(plan.seed),
            demand,
            queue: Queue::default(),
            brains: Vec::new(),
            servers: Vec::new(),
            places: BTreeMap::new(),
            works: BTreeMap::new(),
            working: 0,
            wires: Vec::new(),
            cut: vec![false; plan.locations + 1],
            list_late: plan.list_late,
            report_every: plan.report_every,
            busy: 1.0,
            repeats: 0.0,
            tiers: tiers::Tiers::default(),
            sites: sites::Sites::default(),
            come_back: BTreeMap::new(),
            clients: BTreeMap::new(),
            attempts: BTreeMap::new(),
            by_id: BTreeMap::new(),
            last: 0,
            seen: Seen::default(),
            notes,
            plan,
        };
        world.build();
        Ok(world)
    }

    fn wire(&mut self, carries: f64, most: f64) -> usize {
        self.wires.push(Wire { fair: Fair::new(carries / 1e6, most / 1e6), version: 0 });
        self.wires.len() - 1
    }

    fn build(&mut self) {
        let plan = self.plan.clone();
        let hub = plan.locations as u16;
        // The locations' links for fills have the lowest indices.
        for _ in 0..plan.locations {
            self.wire(plan.location_link, plan.flow * 4.0);
        }
        let origin_link = self.wire(plan.origin_link, plan.flow * 4.0);
        // The unit of this link is microseconds of work per microsecond.
        self.working = self.wire(plan.origin_easy.max(1) as f64 * 1e6, 1e6);
        let caches = plan.caches.max(1);
        let kinds = (0..plan.locations * plan.caches).map(|n| (0u16, (n / caches) as u16, n % caches));
        let kinds = kinds.chain((0..plan.parents).map(|_| (PARENT, hub, 0)));
        let kinds = kinds.chain((0..plan.tops).map(|_| (TOP, hub, 0)));
        for (n, (kind, zone, place)) in kinds.chain(std::iter::once((ORIGIN, hub, 0))).enumerate() {
            let id = EndpointId(linnethook::hash_ring::hash_pair(n as u64, 0x6d6f_6465));
            let there = kind != 0 || place + plan.spare < plan.caches;
            let phase = if there { EndpointPhase::Ready } else { EndpointPhase::Removed };
            let member =
                Endpoint { id, cell: 0, zone, role: kind, weight: plan.weight(kind), started_at: 0.0, phase };
            let link = if kind == 0 { self.wire(plan.cache_link, plan.flow) } else { origin_link };
            let room = [plan.cache_copies, plan.parent_copies, 0, plan.parent_copies][usize::from(kind)];
            self.places.insert(id, n);
            self.servers.push(Server {
                member,
                health: Health { up: there, ..WELL },
                copies: Copies::new(room),
                in_hand: 0,
                came: VecDeque::new(),
                link,
                filling: BTreeMap::new(),
                fetching: BTreeMap::new(),
                renewing: BTreeSet::new(),
                reported: LoadReport::default(),
                asked: 0,
                hits: 0,
            });
        }
        if plan.filled {
            let homes = plan.tiers.map_or(plan.parents, |tiers| tiers.homes).min(plan.parents);
            let objects = (plan.parent_copies as u64).min(plan.demand.objects);
            for server in self.servers.iter_mut().skip(plan.locations * plan.caches).take(homes) {
                // Insert the most popular objects last, so that they are the most recently used.
                (0..objects)
                    .rev()
                    .for_each(|rank| _ = server.copies.keep(self.demand.at_rank(0, rank), 1, 0));
            }
        }
        let there = |member: &Endpoint| member.phase != EndpointPhase::Removed && member.role != TOP;
        let members: Vec<Endpoint> = self.servers.iter().map(|server| server.member).filter(there).collect();
        for n in 0..plan.locations * plan.routers {
            let settings = self.settings((n / plan.routers.max(1)) as u16);
            let mut brain = Decides::new(plan.way, settings, plan.seed ^ n as u64);
            let list =
                PolicyEvent::Endpoints { update: EndpointUpdate::Snapshot, endpoints: members.clone() };
            let actions = brain.handle(0.0, &list);
            self.brains.push(brain);
            self.carry_out(n, actions);
        }
        for n in 0..plan.faults.len() {
            self.queue.add(micros(plan.faults[n].0 * 1_000.0), Event::Fault(n));
        }
        if plan.report_every > 0.0 {
            self.queue.add(micros(plan.report_every), Event::Stock);
        }
        self.build_tiers();
        self.build_sites();
        self.queue.add(0, Event::Arrive);
    }

    fn settings(&self, zone: u16) -> Settings {
        let plan = &self.plan;
        let video = RequestClass {
            idempotence: Idempotence::Idempotent,
            latency_objective: plan.aim,
            deadline: plan.wait,
            priority_weight: 1.0,
            late_weight_ratio: 0.2,
            objective_stretch_ratio: 1.0,
            freshness_lifetime: plan.fresh,
            stale_grace: plan.stale,
            stale_weight_ratio: 0.7,
            ..RequestClass::default()
        };
        let booking = RequestClass {
            idempotence: Idempotence::NotIdempotent,
            is_write: true,
            freshness_lifetime: 0.0,
            stale_grace: 0.0,
            ..video.clone()
        };
        Settings {
            routers: (plan.locations * plan.routers) as u32,
            routers_by_zone: vec![plan.routers as u32; plan.locations],
            zone,
            classes: vec![video, booking],
            clock_resolution: 100.0,
            max_attempts: plan.attempts,
            may_cancel: true,
            supports_retry_after: true,
            max_retry_after: 1_000.0,
            drain_grace: DRAIN_GRACE,
            cache_slow_start: COLD[0],
            parent_slow_start: COLD[1],
            parent_role: Some(PARENT),
            origin_role: Some(ORIGIN),
            flow_kb_per_s: plan.flow / 1_000.0,
            fill_link_kb_per_s: plan.location_link / 1_000.0,
            sibling_fill: if plan.siblings { SiblingFill::SameLocation } else { SiblingFill::Disabled },
            coalesces_fills: plan.joins,
            may_bypass_caches: plan.direct,
            outcome_detail: if plan.told { OutcomeDetail::Full } else { OutcomeDetail::None },
            purge_grace: PURGE_GRACE,
            purge_completion: PURGE_DONE,
            ..Settings::default()
        }
    }

    /// Runs the plan to its end.
    pub fn run(self) -> Seen {
        self.play().0
    }

    fn play(mut self) -> (Seen, Notes) {
        let end = micros(self.plan.seconds * 1_000.0 + self.plan.wait + 1_000.0);
        while let Some((now, event)) = self.queue.take() {
            if now > end {
                break;
            }
            self.seen.events += 1;
            match event {
                Event::Arrive => self.arrive(now),
                Event::Ask(number) => self.ask(now, number),
                Event::Timer(router, token) => self.tell(now, router, &PolicyEvent::Timer(token)),
                Event::Step(number) => self.step(now, number),
                Event::Expire(number) => self.end(now, number, AttemptStatus::TimedOut),
                Event::Link(wire, version) => self.moved(now, wire, version),
                Event::Tell(number) => self.outcome(now, number),
                Event::Fault(n) => self.strike(now, self.plan.faults[n].1),
                Event::Back(server) => self.strike(now, Fault::Start(server)),
                Event::List(server) => self.list(now, server),
                Event::Shape(n) => self.reshape(now, n),
                Event::Tend(router) => self.tend_due(now, router),
                Event::Gateway(router) => self.gateway_due(now, router),
                Event::Up(conn) => self.bring_up(now, conn),
                Event::Bytes(conn, to) => self.arrives(now, conn, to),
                Event::Drop(object, stamp) => self.drop_copies(object, stamp),
                Event::Stock => self.stock(now),
            }
        }
        (self.seen, self.notes)
    }

    fn tell(&mut self, now: Micros, router: usize, event: &PolicyEvent) {
        let actions = self.brains[router].handle(ms(now), event);
        self.carry_out(router, actions);
    }

    fn carry_out(&mut self, router: usize, actions: Vec<Action>) {
        let now = self.queue.now();
        for action in actions {
            match action {
                Action::SetTimer { at, token } => self.queue.add(micros(at), Event::Timer(router, token)),
                Action::Forward { request, endpoint: cache, timeout } => {
                    self.send(now, request, cache, timeout, None)
                }
                Action::ForwardWithFill { request, endpoint: cache, timeout, fill } => {
                    self.send(now, request, cache, timeout, Some(fill));
                }
                Action::CancelAttempt(AttemptId { request, number }) => {
                    if let Some(&number) = self.by_id.get(&(request.0, number)) {
                        self.end(now, number, AttemptStatus::Cancelled);
                    }
                }
                Action::Reject { request, retry_after, .. } => self.refused(now, request.0, retry_after),
                Action::Fail { request, .. } => self.failed(now, request.0),
                Action::HealthCheck(_) | Action::SubscribeEndpoints | Action::Log(_) => {}
            }
        }
    }

    /// The latency objective for a response of `size` bytes, in milliseconds.
    fn aim(&self, size: f64) -> f64 {
        self.plan.aim + size / self.plan.flow * 1_000.0
    }

    fn server(&self, id: EndpointId) -> Option<usize> {
        self.places.get(&id).copied()
    }

    /// Whether messages of a router reach a server.
    fn hears(&self, router: usize, server: usize) -> bool {
        let zone = router / self.plan.routers.max(1);
        usize::from(self.servers[server].member.zone) == zone || !self.cut.get(zone).is_some_and(|cut| *cut)
    }

    /// Whether messages of one server reach another; a location that is cut off reaches only its own servers.
    fn reaches(&self, one: usize, other: usize) -> bool {
        let zone = |n: usize| usize::from(self.servers[n].member.zone);
        zone(one) == zone(other) || !(self.cut[zone(one)] || self.cut[zone(other)])
    }

    /// One-way delay between two servers, in milliseconds.
    fn way(&self, one: usize, other: usize) -> f64 {
        match self.servers[one].member.zone == self.servers[other].member.zone {
            true => self.plan.near,
            false => self.plan.far,
        }
    }
}
