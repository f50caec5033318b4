//! Measures the load that the decision modules of many routers together put on a server that has just
//! started.
//!
//! A small fleet in virtual time around the decision module alone: some routers, the caches of their
//! locations, parents, and an origin that never fails. Servers don't crash under overload here, so that the
//! full overload is visible. Simulated are the servers (a response takes its transfer time, longer when more
//! transfers are in progress than the server has capacity for), the network delays, clients that retry
//! rejected requests, and the endpoint list, whose updates each router receives with a delay of its own. Runs
//! with the same seed are identical.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use linnethook::hash_ring::{hash_pair, unit_fraction};
use linnethook::interface::{
    Action, AttemptId, AttemptOutcome, AttemptStatus, CacheStatus, Endpoint, EndpointId, EndpointPhase,
    EndpointUpdate, Event as PolicyEvent, FillInstruction, LoadReport, Ms, ObjectId, OutcomeDetail, Request,
    RequestId, Settings, SlowStart,
};
use linnethook::Policy;
use linnethook_settings::{decode, merge, SettingsError};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1, StandardNormal};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};

/// A class of read requests: its share of the requests, and the mean transfer time of its responses.
#[derive(Debug, Clone, Copy)]
pub struct Reads {
    pub class: u16,
    pub part: f64,
    pub work: Ms,
}

/// A deployment: the settings of its routers, and the machines that they describe.
#[derive(Debug, Clone)]
pub struct Shape {
    pub name: &'static str,
    pub settings: Settings,
    /// Locations with routers and caches; routers are spread evenly over them.
    pub locations: usize,
    /// Whether the settings contain the number of routers of each location.
    pub seats: bool,
    /// Capacity of each cache of a location and of each parent, in concurrent transfers.
    pub caches: Vec<f64>,
    pub parents: Vec<f64>,
    pub reads: Vec<Reads>,
    /// Number of objects that are requested repeatedly.
    pub objects: u64,
    pub sizes_told: bool,
}

/// The distribution of requests over routers and time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Demand {
    Even,
    /// Every fifth router gets five times as many as each of the others.
    Skewed,
    /// A quarter of the load until some seconds after the start, while retry budgets fill up, then six times
    /// as much.
    Burst,
}

/// Which servers start cold, all at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Who {
    Cache,
    /// All caches of a location but one.
    Caches,
    Parent,
    /// All parents but one.
    Parents,
}

/// The delay after which routers learn of the crash and of the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// Up to half a second, drawn for each router.
    Soon,
    /// Up to 4.5 s, drawn for each router; the server is back before some routers have learned of its crash.
    Late,
}

#[derive(Debug, Clone)]
pub struct Trial<'a> {
    pub shape: &'a Shape,
    pub routers: usize,
    pub demand: Demand,
    pub who: Who,
    pub heard: Heard,
    /// The number of routers in the settings of each router; `None` = the actual number.
    pub told_of: Option<u32>,
    /// The load, as a multiple of the capacity of all caches.
    pub load: f64,
    pub seed: u64,
}

/// Results of a trial at the servers that started cold.
///
/// A window ends with each request at such a server and is as long as its overload window. Its budget N is
/// the number of requests of mean size that the server accepts in a window without a crash.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Sum {
    /// The number of windows, of those with more than N requests, and of those above the bound N + 2 x root
    /// of N + 2.
    pub windows: u32,
    pub over_budget: u32,
    pub over: u32,
    /// Whether more than two thirds of the work of the first window above the bound came from routers that
    /// knew of the start when they sent it, and from routers that knew of it by the end of the window.
    pub broken: bool,
    pub broken_by_then: bool,
    /// The largest window as a multiple of the bound, the largest as a multiple of N, and N of the former
    /// window.
    pub worst: f64,
    pub worst_budget: f64,
    pub budget: f64,
    /// Time from the start until a window has half, and nine tenths, of the load that the server had before
    /// its crash; `None` = not within the trial.
    pub half: Option<Ms>,
    pub ramp: Option<Ms>,
    /// The same for an ideal router that knows the complete state and sends as much as N allows.
    pub half_knowing: Ms,
    pub ramp_knowing: Ms,
}

/// Routers count as notified from this time after the start on, in milliseconds.
const DEEMED_TOLD: Ms = 7_000.0;
const FIRST: Ms = 100_000.0;
const LOST: Ms = FIRST + 6_000.0;
const BACK: Ms = LOST + 1_000.0;
const BURST: Ms = BACK + 3_500.0;
const NEAR: Ms = 1.0;
const FAR: Ms = 12.0;
const ORIGIN_TAKES: Ms = 30.0;
/// Share of the requests that are for an object that has not been requested before.
const ONCE: f64 = 0.25;
const SPREAD: f64 = 0.7;
const AGAIN: u32 = 2;
/// A server rejects requests while this multiple of its capacity is in progress.
const ROOM: f64 = 8.0;

/// Deployments that differ in the cost of a request, in the outcome detail, and in the parameters of the
/// slow-start rule: the example configuration, the two of `deploy/sites` (with the lower ends of their
/// ranges, on fewer machines), the example with short-lived copies, and one with large objects on small
/// machines, of which a router's share is far less than one.
///
/// # Errors
///
/// Returns an error if the settings of a deployment cannot be read.
pub fn shapes() -> Result<Vec<Shape>, SettingsError> {
    let config: Value =
        serde_json::from_str(include_str!("../../../examples/config.json")).map_err(|wrong| {
            SettingsError { path: "examples/config.json".to_string(), message: wrong.to_string() }
        })?;
    let read = |changes: Value| {
        decode(merge(&config["settings"], &changes).to_string().as_bytes()).map(|told| told.settings)
    };
    let grade = |aim: u32, stretch: u32, deadline: u32| {
        let (effect, worth) = ("read_like", 1);
        json!({"objective": aim, "aim-stretch": stretch, "deadline": deadline, "effect": effect, "worth": worth})
    };
    let ferry = json!({
        "allowed": {"max-attempts": 3, "parallel-tries": true, "max-retry-after": 300},
        "grades": [grade(150, 2, 450)],
        "family-info": {"flow-kb-per-s": 3000, "max-age": [9000], "grace-for": [15000], "pass-on": [false],
            "old-copy-worth": [0.6], "class-parts": [false], "parent-floor": 0.07, "parent-warms-in": 20000,
            "parent-fall-multiple": 2, "notice-time": 500},
        "rules": {"fall": 2500, "fall-multiple": 3, "start-capacity": 0.2, "cold": 15000}});
    let orchard = json!({
        "allowed": {"max-attempts": 4, "may-cancel": false, "probes": false, "retry-after": false},
        "grades": [grade(1200, 2, 20000), grade(200, 1, 600), grade(400, 2, 2500)],
        "dcs": ["hub", "shop", "other"], "weight-source": "off",
        "family-info": {"flow-kb-per-s": 0, "max-age": [0, 0, 0], "grace-for": [0, 0, 0],
            "pass-on": [false, false, false], "peers-fill": "off", "tells": "hit",
            "parent-floor": 0.07, "parent-warms-in": 20000, "parent-fall-multiple": 2},
        "rules": {"fall": 2000, "fall-multiple": 3.5, "start-capacity": 0.2, "cold": 14000}});
    let short = json!({"family-info": {"max-age": [2000, 2000, 0], "grace-for": [4000, 4000, 0]}});
    let one = |class, part, work| Reads { class, part, work };
    Ok(vec![
        Shape {
            name: "example",
            settings: read(json!({}))?,
            locations: 1,
            seats: true,
            caches: vec![8.0; 4],
            parents: vec![5.0; 3],
            reads: vec![one(0, 0.3, 400.0), one(1, 0.7, 50.0)],
            objects: 3_000,
            sizes_told: true,
        },
        Shape {
            name: "ferry-boards",
            settings: read(ferry)?,
            locations: 1,
            seats: false,
            caches: vec![2.0, 2.5, 3.0],
            parents: vec![1.5; 3],
            reads: vec![one(0, 1.0, 35.0)],
            objects: 3_000,
            sizes_told: true,
        },
        Shape {
            name: "orchard-charts",
            settings: read(orchard)?,
            locations: 2,
            seats: true,
            caches: vec![3.0, 5.0, 7.0],
            parents: vec![4.0; 3],
            reads: vec![one(0, 0.2, 550.0), one(1, 0.5, 27.0), one(2, 0.3, 100.0)],
            objects: 3_000,
            sizes_told: false,
        },
        Shape {
            name: "short-lived copies",
            settings: read(short)?,
            locations: 1,
            seats: true,
            caches: vec![8.0; 3],
            parents: vec![6.0; 3],
            reads: vec![one(0, 0.3, 400.0), one(1, 0.7, 100.0)],
            objects: 1_500,
            sizes_told: true,
        },
        Shape {
            name: "large objects",
            settings: read(json!({"weight-source": "nominal"}))?,
            locations: 1,
            seats: true,
            caches: vec![4.0; 6],
            parents: vec![5.0; 3],
            reads: vec![one(0, 0.8, 1_400.0), one(1, 0.2, 400.0)],
            objects: 3_000,
            sizes_told: true,
        },
    ])
}

impl Shape {
    /// The mean transfer time of a response.
    pub fn work(&self) -> Ms {
        let parts: f64 = self.reads.iter().map(|reads| reads.part).sum();
        self.reads.iter().map(|reads| reads.part * reads.work).sum::<f64>() / parts
    }

    fn settings(&self, routers: usize, router: usize) -> Settings {
        let mut settings = self.settings.clone();
        settings.routers = routers as u32;
        settings.zone = self.zone(router);
        let seats = |zone: u16| (0..routers).filter(|n| self.zone(*n) == zone).count() as u32;
        let zones = 0..=self.locations as u16;
        settings.routers_by_zone = if self.seats { zones.map(seats).collect() } else { Vec::new() };
        settings
    }

    /// The zone of a router; parents and the origin are in zone 0.
    fn zone(&self, router: usize) -> u16 {
        (1 + router % self.locations) as u16
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    Arrive,
    Again(u64),
    Timer(usize, u32),
    /// An attempt arrives at its server; its response arrives at the router; it times out.
    Reach(u64),
    Back(u64),
    Expire(u64),
    /// The fill of an attempt arrives at its source; the revalidation of a cached copy, instructed by a
    /// router, arrives at its source.
    Source(u64),
    Renew {
        router: usize,
        cache: usize,
        source: usize,
        object: u64,
        work: Ms,
    },
    /// A transfer of a server completes; the second value is the number of starts of the server.
    Free(usize, u32),
    Lose,
    Start,
    /// A router receives an endpoint update with the phase that the server had when it was sent.
    Hear(usize, usize, EndpointPhase),
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    router: usize,
    id: AttemptId,
    server: usize,
    fill: Option<FillInstruction>,
    sent: Ms,
    status: AttemptStatus,
    note: Option<CacheStatus>,
    waited: Ms,
}

#[derive(Debug, Clone, Copy)]
struct Wish {
    router: usize,
    reads: usize,
    object: u64,
    work: Ms,
    tries: u32,
    since: Ms,
}

struct Server {
    member: Endpoint,
    able: f64,
    cold: SlowStart,
    up: bool,
    /// Number of its crashes, so that transfers from before a crash do not free capacity of the restarted
    /// server.
    life: u32,
    in_hand: u32,
    /// Copies stored since its start, with the time when they were made; before its first crash it has all
    /// objects that are requested repeatedly.
    held: BTreeMap<u64, Ms>,
    whole: bool,
}

/// A request that arrived at a server that started cold.
#[derive(Debug, Clone, Copy)]
struct Came {
    at: Ms,
    work: Ms,
    router: usize,
    told: bool,
}

struct Fleet<'a> {
    trial: &'a Trial<'a>,
    now: Ms,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    added: u64,
    chance: Pcg64Mcg,
    brains: Vec<Policy>,
    /// When each router learned of each server's start.
    heard: Vec<BTreeMap<usize, Ms>>,
    servers: Vec<Server>,
    wishes: BTreeMap<u64, Wish>,
    attempts: BTreeMap<u64, Attempt>,
    by_id: BTreeMap<AttemptId, u64>,
    sent: BTreeMap<u64, u8>,
    last: u64,
    new_objects: u64,
    /// All requests that arrived, by server that starts cold.
    came: BTreeMap<usize, Vec<Came>>,
}

impl Trial<'_> {
    /// The servers that start cold. Servers are numbered: caches by location, then parents, then the origin.
    fn targets(&self) -> Vec<usize> {
        let caches = self.shape.caches.len();
        let parents = self.shape.locations * caches;
        match self.who {
            Who::Cache => vec![0],
            Who::Caches => (0..caches - 1).collect(),
            Who::Parent => vec![parents],
            Who::Parents => (parents..parents + self.shape.parents.len() - 1).collect(),
        }
    }

    /// When the trial ends.
    fn end(&self) -> Ms {
        let cold = match self.who {
            Who::Cache | Who::Caches => self.shape.settings.cache_slow_start,
            Who::Parent | Who::Parents => self.shape.settings.parent_slow_start,
        };
        BACK + cold.duration.min(12_000.0)
    }

    /// Runs the trial; the result combines all servers that start cold.
    pub fn play(&self) -> Sum {
        let mut fleet = Fleet::new(self);
        fleet.run();
        let sums: Vec<Sum> = self.targets().into_iter().map(|n| fleet.sum(n)).collect();
        let mut all = Sum { half: Some(0.0), ramp: Some(0.0), ..Sum::default() };
        for sum in &sums {
            all.windows += sum.windows;
            all.over_budget += sum.over_budget;
            all.over += sum.over;
            all.broken |= sum.broken;
            all.broken_by_then |= sum.broken_by_then;
            if sum.worst > all.worst {
                (all.worst, all.budget) = (sum.worst, sum.budget);
            }
            all.worst_budget = all.worst_budget.max(sum.worst_budget);
            let later = |a: Option<Ms>, b: Option<Ms>| a.and_then(|a| b.map(|b| a.max(b)));
            (all.half, all.ramp) = (later(all.half, sum.half), later(all.ramp, sum.ramp));
            all.half_knowing = all.half_knowing.max(sum.half_knowing);
            all.ramp_knowing = all.ramp_knowing.max(sum.ramp_knowing);
        }
        all
    }
}

impl<'a> Fleet<'a> {
    fn new(trial: &'a Trial<'a>) -> Self {
        let shape = trial.shape;
        let mut servers = Vec::new();
        let mut add = |kind: u16, zone: u16, able: f64| {
            let id = EndpointId(hash_pair(servers.len() as u64, trial.seed ^ 0x636f_6c64) >> 12);
            let weight = if shape.settings.weights_unknown { 1.0 } else { able };
            let member = Endpoint {
                id,
                cell: 0,
                zone,
                role: kind,
                weight,
                started_at: 0.0,
                phase: EndpointPhase::Ready,
            };
            let cold = shape.settings.slow_start(&member);
            let held = BTreeMap::new();
            servers.push(Server { member, able, cold, up: true, life: 0, in_hand: 0, held, whole: true });
        };
        for location in 0..shape.locations {
            shape.caches.iter().for_each(|able| add(0, 1 + location as u16, *able));
        }
        shape.parents.iter().for_each(|able| add(1, 0, *able));
        add(2, 0, 1e6);
        let mut fleet = Self {
            trial,
            now: FIRST,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            added: 0,
            chance: Pcg64Mcg::seed_from_u64(trial.seed),
            brains: Vec::new(),
            heard: vec![BTreeMap::new(); trial.routers],
            servers,
            wishes: BTreeMap::new(),
            attempts: BTreeMap::new(),
            by_id: BTreeMap::new(),
            sent: BTreeMap::new(),
            last: 0,
            new_objects: shape.objects,
            came: trial.targets().into_iter().map(|n| (n, Vec::new())).collect(),
        };
        let members: Vec<Endpoint> = fleet.servers.iter().map(|server| server.member).collect();
        for n in 0..trial.routers {
            let mut settings = shape.settings(trial.routers, n);
            if let Some(routers) = trial.told_of {
                settings.routers = routers;
                settings.routers_by_zone.clear();
            }
            fleet.brains.push(Policy::new(settings, hash_pair(n as u64, trial.seed)));
            fleet.tell(
                n,
                &PolicyEvent::Endpoints { update: EndpointUpdate::Snapshot, endpoints: members.clone() },
            );
        }
        fleet.add(FIRST, Event::Arrive);
        fleet.add(LOST, Event::Lose);
        fleet.add(BACK, Event::Start);
        fleet
    }

    fn add(&mut self, at: Ms, event: Event) {
        self.added += 1;
        self.events.insert(self.added, event);
        self.queue.push(Reverse(((at.max(self.now) * 1_000.0) as u64, self.added)));
    }

    fn run(&mut self) {
        let end = self.trial.end();
        while let Some(Reverse((at, number))) = self.queue.pop() {
            self.now = at as f64 / 1_000.0;
            if self.now > end {
                return;
            }
            match self.events.remove(&number) {
                Some(Event::Arrive) => self.arrive(),
                Some(Event::Again(wish)) => self.ask(wish),
                Some(Event::Timer(router, token)) => self.tell(router, &PolicyEvent::Timer(token)),
                Some(Event::Reach(attempt)) => self.reach(attempt),
                Some(Event::Source(attempt)) => self.fill(attempt),
                Some(Event::Renew { router, cache, source, object, work }) => {
                    self.renew(router, cache, source, object, work);
                }
                Some(Event::Back(attempt)) => self.ended(attempt),
                Some(Event::Expire(attempt)) => {
                    if let Some(out) = self.attempts.get_mut(&attempt) {
                        out.status = AttemptStatus::TimedOut;
                        out.note = None;
                        self.ended(attempt);
                    }
                }
                Some(Event::Free(server, life)) => {
                    let server = &mut self.servers[server];
                    server.in_hand -= u32::from(server.life == life);
                }
                Some(Event::Lose) => self.lose(),
                Some(Event::Start) => self.start(),
                Some(Event::Hear(router, server, phase)) => self.hear(router, server, phase),
                None => {}
            }
        }
    }

    // ---- Clients.

    /// The current request rate, per millisecond.
    fn rate(&self) -> f64 {
        let shape = self.trial.shape;
        let able: f64 = shape.caches.iter().sum::<f64>() * shape.locations as f64;
        let times = match self.trial.demand {
            Demand::Even | Demand::Skewed => 1.0,
            Demand::Burst if self.now < BURST => 0.25,
            Demand::Burst => 1.5,
        };
        able / shape.work() * self.trial.load * times
    }

    fn arrive(&mut self) {
        let gap: f64 = Exp1.sample(&mut self.chance);
        self.add(self.now + gap / self.rate(), Event::Arrive);
        let shape = self.trial.shape;
        let heavy = |n: usize| self.trial.demand == Demand::Skewed && n.is_multiple_of(5);
        let weights: Vec<f64> = (0..self.trial.routers).map(|n| if heavy(n) { 5.0 } else { 1.0 }).collect();
        let router = pick(self.chance.random(), &weights);
        let parts: Vec<f64> = shape.reads.iter().map(|reads| reads.part).collect();
        let reads = pick(self.chance.random(), &parts);
        let object = if self.chance.random::<f64>() < ONCE {
            self.new_objects += 1;
            self.new_objects
        } else {
            // Squaring skews the popularity towards low numbers.
            let place: f64 = self.chance.random();
            (place * place * shape.objects as f64) as u64
        };
        let object = object * 8 + reads as u64;
        // Sizes are lognormal with a mean of one; the size of an object is the same for all requests.
        let far: f64 = StandardNormal.sample(&mut Pcg64Mcg::seed_from_u64(object));
        let size = (SPREAD * far - SPREAD * SPREAD / 2.0).exp();
        let work = (shape.reads[reads].work * size).max(1.0);
        self.last += 1;
        let wish = Wish { router, reads, object, work, tries: 0, since: self.now };
        self.wishes.insert(self.last, wish);
        self.ask(self.last);
    }

    fn ask(&mut self, id: u64) {
        let Some(wish) = self.wishes.get(&id).copied() else { return };
        let shape = self.trial.shape;
        let class = shape.reads[wish.reads].class;
        let flow = shape.settings.flow_kb_per_s;
        let size_kb = if shape.sizes_told { wish.work * flow / 1_000.0 } else { 0.0 };
        let budget = shape.settings.class(class).deadline + wish.since - self.now;
        if budget <= 0.0 {
            self.wishes.remove(&id);
            return;
        }
        let request = Request {
            id: RequestId(id),
            object: ObjectId(wish.object),
            part: 0,
            group: 0,
            class,
            size_kb,
            client_retry: wish.tries > 0,
            is_write: false,
            time_limit: budget,
        };
        self.tell(wish.router, &PolicyEvent::Request(request));
    }

    /// A rejected client retries after a pause, under a new request number.
    fn refused(&mut self, id: u64) {
        let Some(wish) = self.wishes.remove(&id).filter(|wish| wish.tries < AGAIN) else { return };
        self.last += 1;
        self.wishes.insert(self.last, Wish { tries: wish.tries + 1, ..wish });
        let pause = self.chance.random_range(50.0..200.0);
        self.add(self.now + pause, Event::Again(self.last));
    }

    // ---- Routers.

    fn tell(&mut self, router: usize, event: &PolicyEvent) {
        for action in self.brains[router].handle(self.now, event) {
            match action {
                Action::Forward { request, endpoint: cache, timeout } => {
                    self.send(router, request, cache, timeout, None)
                }
                Action::ForwardWithFill { request, endpoint: cache, timeout, fill } => {
                    self.send(router, request, cache, timeout, Some(fill));
                }
                Action::CancelAttempt(id) => {
                    if let Some(number) = self.by_id.get(&id).copied() {
                        if let Some(out) = self.attempts.get_mut(&number) {
                            (out.status, out.note) = (AttemptStatus::Cancelled, None);
                            self.add(self.now, Event::Back(number));
                        }
                    }
                }
                Action::Reject { request, .. } | Action::Fail { request, .. } => self.refused(request.0),
                Action::SetTimer { at, token } => self.add(at, Event::Timer(router, token)),
                Action::HealthCheck(cache) => {
                    if let Some(n) = self.place(cache) {
                        self.count(n, router, self.trial.shape.work());
                    }
                }
                Action::SubscribeEndpoints | Action::Log(_) => {}
            }
        }
    }

    fn place(&self, id: EndpointId) -> Option<usize> {
        self.servers.iter().position(|server| server.member.id == id)
    }

    fn send(
        &mut self,
        router: usize,
        request: RequestId,
        cache: EndpointId,
        timeout: Ms,
        fill: Option<FillInstruction>,
    ) {
        let Some(server) = self.place(cache) else { return };
        let number = self.sent.entry(request.0).or_default();
        let id = AttemptId { request, number: *number };
        *number += 1;
        self.last += 1;
        let (status, note) = (AttemptStatus::Ok, None);
        let attempt = Attempt { router, id, server, fill, sent: self.now, status, note, waited: 0.0 };
        self.attempts.insert(self.last, attempt);
        self.by_id.insert(id, self.last);
        let (way, last) = (self.way(server), self.last);
        self.add(self.now + way, Event::Reach(last));
        if timeout > 0.0 {
            self.add(self.now + timeout, Event::Expire(last));
        }
    }

    fn way(&self, server: usize) -> Ms {
        if self.servers[server].member.role == 0 {
            NEAR
        } else {
            FAR
        }
    }

    // ---- Servers.

    /// Records a request at a server that starts cold.
    fn count(&mut self, server: usize, router: usize, work: Ms) {
        let since = self.heard[router].get(&server).copied();
        let told = since.is_some() || self.now > BACK + DEEMED_TOLD;
        if let Some(came) = self.came.get_mut(&server) {
            came.push(Came { at: self.now, work, router, told });
        }
    }

    /// Starts a transfer at a server. Returns its duration, or `None` if the server rejects it.
    fn take(&mut self, n: usize, work: Ms) -> Option<Ms> {
        let age = self.now - self.servers[n].member.started_at;
        let server = &mut self.servers[n];
        let able = server.able * able(&server.cold, server.member.started_at, age);
        if f64::from(server.in_hand) >= able.max(1.0) * ROOM {
            return None;
        }
        server.in_hand += 1;
        let takes = work * (f64::from(server.in_hand) / able).max(1.0);
        let life = server.life;
        self.add(self.now + takes, Event::Free(n, life));
        Some(takes)
    }

    /// When the copy was made that a server stores, if it stores one.
    fn held(&self, n: usize, object: u64, class: u16) -> Option<Ms> {
        let server = &self.servers[n];
        let fresh = self.trial.shape.settings.class(class).freshness_lifetime;
        let from_before = server.whole && object / 8 < self.trial.shape.objects;
        let age =
            unit_fraction(hash_pair(object, server.member.id.0)) * if fresh > 0.0 { fresh } else { 60_000.0 };
        server.held.get(&object).copied().or(from_before.then_some(FIRST - age))
    }

    /// Whether a copy made at that time is recent enough for the fill instruction.
    fn will_do(&self, made: Ms, class: u16, fill: Option<&FillInstruction>) -> bool {
        let fresh = self.trial.shape.settings.class(class).freshness_lifetime;
        let most = fill.map_or(0.0, |fill| if fill.revalidate { fill.max_stale_age } else { fill.max_age });
        let most = if most > 0.0 { most } else { fresh };
        most <= 0.0 || self.now - made <= most
    }

    fn wish_of(&self, attempt: &Attempt) -> Option<(Wish, Reads)> {
        let wish = self.wishes.get(&attempt.id.request.0).copied()?;
        Some((wish, self.trial.shape.reads[wish.reads]))
    }

    fn answer(&mut self, number: u64, status: AttemptStatus, note: Option<CacheStatus>, after: Ms) {
        if let Some(out) = self.attempts.get_mut(&number) {
            (out.status, out.note) = (status, note);
            self.add(self.now + after, Event::Back(number));
        }
    }

    fn reach(&mut self, number: u64) {
        let Some(attempt) = self.attempts.get(&number).copied() else { return };
        let way = self.way(attempt.server);
        if !self.servers[attempt.server].up {
            return self.answer(number, AttemptStatus::ConnectFailed, None, way);
        }
        let Some((wish, reads)) = self.wish_of(&attempt) else { return };
        self.count(attempt.server, attempt.router, reads.work);
        let origin = self.servers.len() - 1;
        let (object, class) = (wish.object, reads.class);
        if attempt.server == origin {
            return self.answer(number, AttemptStatus::Ok, None, ORIGIN_TAKES + wish.work + way);
        }
        let order = attempt.fill.as_ref();
        let held = self.held(attempt.server, object, class);
        if let Some(made) = held.filter(|made| self.will_do(*made, class, order)) {
            let fresh = self.trial.shape.settings.class(class).freshness_lifetime;
            let ages = fresh > 0.0 && self.now - made > fresh * 0.8;
            let source =
                order.filter(|fill| fill.revalidate && ages).and_then(|fill| self.place(fill.source));
            if let Some(source) = source.filter(|source| *source != attempt.server) {
                let (router, cache, work) = (attempt.router, attempt.server, wish.work);
                // The copy counts as new until the revalidation completes, so that it is revalidated only
                // once.
                self.servers[cache].held.insert(object, self.now);
                let at = self.now + self.way(source);
                self.add(at, Event::Renew { router, cache, source, object, work });
            }
            let stale = fresh > 0.0 && self.now - made > fresh;
            return match self.take(attempt.server, wish.work) {
                Some(takes) => {
                    let note = if stale { CacheStatus::Stale } else { CacheStatus::Hit };
                    self.answer(number, AttemptStatus::Ok, Some(note), takes + way);
                }
                None => self.answer(number, AttemptStatus::Rejected, None, way),
            };
        }
        let own = self.servers[attempt.server].member.id;
        match attempt.fill.filter(|fill| fill.source != own).and_then(|fill| self.place(fill.source)) {
            None => self.answer(number, AttemptStatus::CacheMiss, None, way),
            Some(source) => self.add(self.now + self.way(source), Event::Source(number)),
        }
    }

    /// A fill has arrived at its source.
    fn fill(&mut self, number: u64) {
        let Some(attempt) = self.attempts.get(&number).copied() else { return };
        let (Some(fill), Some((wish, reads))) = (attempt.fill, self.wish_of(&attempt)) else { return };
        let Some(source) = self.place(fill.source) else { return };
        let way = self.way(source) + self.way(attempt.server);
        if !self.servers[source].up {
            return self.answer(number, AttemptStatus::Rejected, Some(CacheStatus::SourceUnreachable), way);
        }
        self.count(source, attempt.router, reads.work);
        let origin = self.servers.len() - 1;
        let held = self.held(source, wish.object, reads.class);
        let held = held.filter(|made| source != origin && self.will_do(*made, reads.class, Some(&fill)));
        if held.is_none() && fill.only_if_cached {
            return self.answer(number, AttemptStatus::CacheMiss, Some(CacheStatus::SourceMiss), way);
        }
        let waits = if held.is_none() { ORIGIN_TAKES } else { 0.0 };
        let takes = if source == origin { Some(wish.work) } else { self.take(source, wish.work) };
        let Some(takes) = takes else {
            return self.answer(number, AttemptStatus::Rejected, Some(CacheStatus::SourceRejected), way);
        };
        let made = held.unwrap_or(self.now);
        if source != origin {
            self.servers[source].held.insert(wish.object, made);
        }
        if fill.retention > 0 {
            self.servers[attempt.server].held.insert(wish.object, made);
        }
        let note = if held.is_none() { CacheStatus::FilledByOrigin } else { CacheStatus::FilledByParent };
        // The cache forwards the data while it fills, which uses its own link for as long.
        let own = self.take(attempt.server, wish.work);
        let Some(own) = own else {
            return self.answer(number, AttemptStatus::Rejected, Some(CacheStatus::NoCapacity), way);
        };
        if let Some(out) = self.attempts.get_mut(&number) {
            out.waited = self.now - out.sent + waits + FAR;
        }
        self.answer(number, AttemptStatus::Ok, Some(note), waits + takes.max(own) + way);
    }

    /// A revalidation has arrived at its source, which has a fresh copy or fetches one; no request waits for
    /// it.
    fn renew(&mut self, router: usize, cache: usize, source: usize, object: u64, work: Ms) {
        if !self.servers[source].up {
            return;
        }
        let reads = self.trial.shape.reads[(object % 8) as usize];
        self.count(source, router, reads.work);
        let made =
            self.held(source, object, reads.class).filter(|made| self.will_do(*made, reads.class, None));
        let made = made.unwrap_or(self.now);
        if source + 1 < self.servers.len() && self.take(source, work).is_none() {
            return;
        }
        self.servers[source].held.insert(object, made);
        self.servers[cache].held.insert(object, made);
    }

    /// The outcome of an attempt arrives at its router.
    fn ended(&mut self, number: u64) {
        let Some(attempt) = self.attempts.remove(&number) else { return };
        self.by_id.remove(&attempt.id);
        let settled =
            attempt.status == AttemptStatus::Ok && self.wishes.remove(&attempt.id.request.0).is_some();
        let tells = self.trial.shape.settings.outcome_detail;
        let note = attempt.note.filter(|note| {
            tells == OutcomeDetail::Full || tells == OutcomeDetail::HitsOnly && *note == CacheStatus::Hit
        });
        let server = &self.servers[attempt.server];
        let load = LoadReport { in_flight: Some(f64::from(server.in_hand)), ..LoadReport::default() };
        let outcome = AttemptOutcome {
            attempt: attempt.id,
            endpoint: server.member.id,
            status: attempt.status,
            request_finished: settled,
            elapsed: self.now - attempt.sent,
            source_wait: if tells == OutcomeDetail::Full { attempt.waited } else { 0.0 },
            cache_status: note,
            load_report: load,
        };
        self.tell(attempt.router, &PolicyEvent::AttemptFinished(outcome));
    }

    // ---- The crash and the start.

    fn lose(&mut self) {
        for n in self.trial.targets() {
            let server = &mut self.servers[n];
            (server.up, server.in_hand, server.life, server.whole) = (false, 0, server.life + 1, false);
            server.held.clear();
            let there: Vec<u64> =
                self.attempts.iter().filter(|(_, a)| a.server == n).map(|(number, _)| *number).collect();
            there.into_iter().for_each(|number| self.answer(number, AttemptStatus::Reset, None, NEAR));
            self.spread(n, EndpointPhase::Removed);
        }
    }

    fn start(&mut self) {
        for n in self.trial.targets() {
            let now = self.now;
            let server = &mut self.servers[n];
            (server.up, server.member.started_at) = (true, now);
            self.spread(n, EndpointPhase::Ready);
        }
    }

    fn spread(&mut self, server: usize, phase: EndpointPhase) {
        let most = match self.trial.heard {
            Heard::Soon => 500.0,
            Heard::Late => 4_500.0,
        };
        for router in 0..self.trial.routers {
            let late = self.chance.random_range(20.0..most);
            self.add(self.now + late, Event::Hear(router, server, phase));
        }
    }

    fn hear(&mut self, router: usize, server: usize, phase: EndpointPhase) {
        // An update that is older than the last one is dropped.
        if phase == EndpointPhase::Ready {
            self.heard[router].insert(server, self.now);
        } else if self.heard[router].contains_key(&server) {
            return;
        }
        let since = if phase == EndpointPhase::Ready { self.servers[server].member.started_at } else { 0.0 };
        let member = Endpoint { phase, started_at: since, ..self.servers[server].member };
        self.tell(
            router,
            &PolicyEvent::Endpoints { update: EndpointUpdate::Incremental, endpoints: vec![member] },
        );
    }

    // ---- Results.

    fn sum(&self, n: usize) -> Sum {
        let server = &self.servers[n];
        let all = &self.came[&n];
        let (cold, mean) = (server.cold, self.trial.shape.work());
        let before: f64 = all
            .iter()
            .filter(|came| (FIRST + 1_000.0..LOST).contains(&came.at))
            .map(|came| came.work)
            .sum::<f64>()
            / (LOST - FIRST - 1_000.0);
        let mut sum = Sum::default();
        let after: Vec<&Came> =
            all.iter().filter(|came| came.at >= BACK && came.at < BACK + cold.duration).collect();
        let (mut first, mut work, mut told) = (0, 0.0, 0.0);
        let mut fell = false;
        for (last, came) in after.iter().enumerate() {
            work += came.work;
            told += if came.told { came.work } else { 0.0 };
            while came.at - after[first].at > cold.overload_window {
                work -= after[first].work;
                told -= if after[first].told { after[first].work } else { 0.0 };
                first += 1;
            }
            let age = came.at - BACK;
            let budget =
                server.able * able(&cold, BACK, age) * cold.overload_multiple * cold.overload_window / mean;
            let bound = budget + 2.0 * budget.sqrt() + 2.0;
            sum.windows += 1;
            sum.over_budget += u32::from(work / mean > budget);
            if work / mean > bound {
                sum.over += 1;
                if !fell {
                    fell = true;
                    let by_then = |came: &&&Came| {
                        let heard = self.heard[came.router].get(&n);
                        heard.is_some_and(|at| *at <= BACK + age) || age > DEEMED_TOLD
                    };
                    let window = &after[first..=last];
                    let known: f64 = window.iter().filter(by_then).map(|came| came.work).sum();
                    (sum.broken, sum.broken_by_then) = (told > work * 2.0 / 3.0, known > work * 2.0 / 3.0);
                }
            }
            if work / mean / bound > sum.worst {
                (sum.worst, sum.budget) = (work / mean / bound, budget);
            }
            sum.worst_budget = sum.worst_budget.max(work / mean / budget);
            if age > cold.overload_window {
                let since = age - cold.overload_window / 2.0;
                let reached = |part: f64| (work / cold.overload_window > before * part).then_some(since);
                (sum.half, sum.ramp) = (sum.half.or(reached(0.5)), sum.ramp.or(reached(0.9)));
            }
        }
        let knowing = |part: f64| {
            let fits =
                |age: &f64| server.able * able(&cold, BACK, *age) * cold.overload_multiple >= before * part;
            (0..400).map(|n| f64::from(n) * 50.0).find(fits).unwrap_or(cold.duration)
        };
        (sum.half_knowing, sum.ramp_knowing) = (knowing(0.5), knowing(0.9));
        sum
    }
}

/// The share of its capacity that a server has at least, at an age after its start.
fn able(cold: &SlowStart, since: Ms, age: Ms) -> f64 {
    if since <= 0.0 || cold.duration <= 0.0 {
        return 1.0;
    }
    cold.initial_ratio + (1.0 - cold.initial_ratio) * (age / cold.duration).clamp(0.0, 1.0)
}

/// The index that a number from 0 up to 1 selects, by weight.
fn pick(at: f64, weights: &[f64]) -> usize {
    let mut left = at * weights.iter().sum::<f64>();
    let falls = |weight: &f64| {
        left -= weight;
        left < 0.0
    };
    weights.iter().position(falls).unwrap_or(0)
}
