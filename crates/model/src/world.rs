//! Owns a fleet in virtual time: routers that are the shipped decision module (or a plain one, to compare with), and
//! around them caches, parents, the origin, the links between them and the clients, all modelled.
//!
//! One seed, one run: events of one time come in the order in which they were added, chance is one generator, and
//! nothing depends on the order of a hash map. Must never decide anything that a router decides.

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
    /// A client asks, for the first time or again.
    Ask(Number),
    Timer(usize, u32),
    /// An attempt gets to where it goes next.
    Step(Number),
    /// An attempt has had its time.
    Expire(Number),
    /// The next transfer of a link ends, if nothing has changed since.
    Link(usize, u64),
    /// An outcome gets to its router.
    Tell(Number),
    Fault(usize),
    /// One that fell over starts again.
    Back(usize),
    List(usize),
    /// Routers hear of another shape; a hierarchy is due.
    Shape(usize),
    Tend(usize),
    /// A gateway is due; a connection between two comes up, and bytes arrive at an end of it.
    Gateway(usize),
    Up(u64),
    Bytes(u64, usize),
    /// Copies from before a purge go.
    Drop(u64, Micros),
    /// Servers take stock of their load.
    Stock,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Stage {
    /// The hierarchy holds it back.
    Held,
    ToCache,
    /// On its way to the source of its fill.
    ToSource,
    AtOrigin,
    /// The fill moves to the cache.
    Filling,
    /// The answer moves to the client.
    Answering,
    /// It waits for the fill of another.
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
    /// What the origin does for it.
    work: Option<Number>,
    /// It passed the hierarchy's shield, at a version of the shape, and may be filled from beside.
    tolled: bool,
    version: Option<u64>,
    beside: Option<usize>,
    /// It took effect at the origin.
    ran: bool,
    /// When the copy that it brings was made.
    dated: Option<Micros>,
}

#[derive(Debug, Clone)]
struct Client {
    router: usize,
    object: u64,
    part: u32,
    books: bool,
    size: f64,
    /// When it was first asked, and this time.
    first: Micros,
    since: Micros,
    /// How long it waits, in milliseconds.
    wait: f64,
    tries: u32,
    attempts: u8,
    /// From the other site: the ticket of its gateway, and the name that it has there.
    foreign: Option<u64>,
    id: Option<Number>,
}

impl Client {
    /// What it asks for, as copies are kept.
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
    /// Since when it ages, and by how much each minute.
    ages: Option<(Micros, f64)>,
}

const WELL: Health = Health { up: true, silent: false, stalled: false, fails: false, slow: 1.0, ages: None };

impl Health {
    /// How many times as long it takes now.
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
    /// The link to its clients; for parents and the origin the one to the locations.
    link: usize,
    /// When requests came in lately, while it warms.
    came: VecDeque<Micros>,
    /// Fills under way by object, and who waits for them.
    filling: BTreeMap<u64, Vec<Number>>,
    /// Of a parent: what it has asked the origin for.
    fetching: BTreeMap<u64, Number>,
    /// Copies that are renewed behind.
    renewing: BTreeSet<u64>,
    /// Its load as it was when stock was last taken.
    reported: LoadReport,
    asked: u32,
    hits: u32,
}

struct Wire {
    fair: Fair,
    version: u64,
}

/// Something that the origin works at; it goes on when nobody waits for it any more.
#[derive(Debug, Clone)]
struct Work {
    /// The parent that asked for it, and keeps it.
    parent: Option<usize>,
    key: u64,
    waiting: Vec<Number>,
    /// Parents that have it through the parent that asked.
    through: Vec<usize>,
    /// The cache that renews its copy by it.
    renews: Option<usize>,
}

/// One run.
pub struct World {
    plan: Plan,
    chance: Pcg64Mcg,
    demand: Demand,
    queue: Queue<Event>,
    brains: Vec<Decides>,
    servers: Vec<Server>,
    places: BTreeMap<EndpointId, usize>,
    /// What the origin has in hand; it works at all of it at once, as a link carries its transfers.
    works: BTreeMap<Number, Work>,
    working: usize,
    wires: Vec<Wire>,
    /// Locations that are cut off from the hub.
    cut: Vec<bool>,
    list_late: f64,
    report_every: f64,
    /// How many times the planned rate.
    busy: f64,
    /// Repeats that clients may still ask for.
    repeats: f64,
    tiers: tiers::Tiers,
    sites: sites::Sites,
    /// When clients whose fills were held back had better come again.
    come_back: BTreeMap<Number, f64>,
    clients: BTreeMap<Number, Client>,
    attempts: BTreeMap<Number, Attempt>,
    by_id: BTreeMap<(Number, u8), Number>,
    last: Number,
    seen: Seen,
    notes: Notes,
}

/// How caches and parents start.
const COLD: [SlowStart; 2] = [
    SlowStart { initial_ratio: 0.25, duration: 15_000.0, overload_multiple: 3.0, overload_window: 3_000.0 },
    SlowStart { initial_ratio: 0.1, duration: 20_000.0, overload_multiple: 2.0, overload_window: 3_000.0 },
];

/// How long routers may go on with an old copy, and a server with one that it drains, in milliseconds; when old copies
/// are gone.
const PURGE_GRACE: f64 = 1_000.0;
const DRAIN_GRACE: f64 = 250.0;
const PURGE_DONE: f64 = 6_000.0;

const PARENT: u16 = 1;
const ORIGIN: u16 = 2;
/// A parent of parents, of which routers hear nothing.
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

    /// Plays a day and has its record judged by the rules that hold on sockets too.
    pub fn judged(plan: Plan) -> Result<(Seen, Vec<Breach>), Unusable> {
        let rules = RuleBounds {
            drain_grace: DRAIN_GRACE,
            purge_grace: PURGE_GRACE,
            // The way to a server and back, and no more: there are no threads here.
            slack: plan.far * 2.0 + 1.0,
            migration_grace: plan.tiers.map_or(0.0, |tiers| tiers.longest() + plan.list_late + plan.wait),
            ..RuleBounds::default()
        };
        let (seen, lines) = Self::noted(plan)?;
        Ok((seen, judge(&lines, &rules)))
    }

    /// Plays a day and keeps its record.
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
        // The links for fills come first, one for each location.
        for _ in 0..plan.locations {
            self.wire(plan.location_link, plan.flow * 4.0);
        }
        let origin_link = self.wire(plan.origin_link, plan.flow * 4.0);
        // In microseconds of work each microsecond.
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
                // Those asked for most were used last.
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

    /// Plays it to its end.
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

    /// Within what time an answer of that many bytes is wanted.
    fn aim(&self, size: f64) -> f64 {
        self.plan.aim + size / self.plan.flow * 1_000.0
    }

    fn server(&self, id: EndpointId) -> Option<usize> {
        self.places.get(&id).copied()
    }

    /// Whether anything gets from a router to a server.
    fn hears(&self, router: usize, server: usize) -> bool {
        let zone = router / self.plan.routers.max(1);
        usize::from(self.servers[server].member.zone) == zone || !self.cut.get(zone).is_some_and(|cut| *cut)
    }

    /// Whether anything gets from one server to another; a location that is cut off reaches only its own.
    fn reaches(&self, one: usize, other: usize) -> bool {
        let zone = |n: usize| usize::from(self.servers[n].member.zone);
        zone(one) == zone(other) || !(self.cut[zone(one)] || self.cut[zone(other)])
    }

    /// One way between two servers.
    fn way(&self, one: usize, other: usize) -> f64 {
        match self.servers[one].member.zone == self.servers[other].member.zone {
            true => self.plan.near,
            false => self.plan.far,
        }
    }
}
