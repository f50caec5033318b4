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
pub struct ReadClass {
    /// Index of the class in the settings.
    pub class: u16,
    /// Share of the requests.
    pub share: f64,
    /// Mean transfer time of a response.
    pub work: Ms,
}

/// A deployment: the settings of its routers, and the machines that they describe.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Name in the results.
    pub name: &'static str,
    /// Settings of the routers, without their number and zone.
    pub settings: Settings,
    /// Locations with routers and caches; routers are spread evenly over them.
    pub locations: usize,
    /// Whether the settings contain the number of routers of each location.
    pub routers_by_zone_known: bool,
    /// Capacity of each cache of a location, in concurrent transfers.
    pub caches: Vec<f64>,
    /// Capacity of each parent, in concurrent transfers.
    pub parents: Vec<f64>,
    /// Classes of the requests.
    pub read_classes: Vec<ReadClass>,
    /// Number of objects that are requested repeatedly.
    pub objects: u64,
    /// Whether requests contain the size of the object.
    pub sizes_known: bool,
}

/// The distribution of requests over routers and time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Demand {
    Even,
    /// Every fifth router gets five times as many as each of the others.
    Skewed,
    /// A quarter of the load until some seconds after the start, then six times
    /// as much.
    Burst,
}

/// Which servers start cold, all at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdServers {
    Cache,
    /// All caches of a location but one.
    Caches,
    Parent,
    /// All parents but one.
    Parents,
}

/// The delay after which routers learn of the crash and of the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateDelay {
    /// Up to half a second, drawn for each router.
    Soon,
    /// Up to 4.5 s, drawn for each router; the server is back before some routers have learned of its crash.
    Late,
}

/// A trial: a deployment under load, of which some servers crash and start cold.
#[derive(Debug, Clone)]
pub struct Trial<'a> {
    /// The simulated deployment.
    pub deployment: &'a Deployment,
    /// Number of routers.
    pub routers: usize,
    /// Distribution of the requests.
    pub demand: Demand,
    /// The servers that crash and start cold.
    pub cold_servers: ColdServers,
    /// Delay of endpoint updates.
    pub update_delay: UpdateDelay,
    /// The number of routers in the settings of each router; `None` = the actual number.
    pub configured_routers: Option<u32>,
    /// The load, as a multiple of the capacity of all caches.
    pub load: f64,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// Results of a trial at the servers that started cold.
///
/// A window ends with each request at such a server and is as long as its overload window. Its budget N is
/// the number of requests of mean size that the server accepts in a window without a crash.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TrialResult {
    /// Number of windows.
    pub windows: u32,
    /// Windows with more than N requests.
    pub over_budget: u32,
    /// Windows above the bound N + 2 x root of N + 2.
    pub over_bound: u32,
    /// Whether more than two thirds of the work of the first window above the bound came from routers that
    /// knew of the start when they sent it.
    pub caused_by_notified: bool,
    /// The same for routers that knew of the start by the end of the window.
    pub caused_by_notified_by_end: bool,
    /// The largest window, as a multiple of the bound.
    pub max_of_bound: f64,
    /// The largest window, as a multiple of N.
    pub max_of_budget: f64,
    /// N of the window that is the largest multiple of the bound.
    pub budget: f64,
    /// Time from the start until a window has half of the load that the server had before its crash; `None` =
    /// not within the trial.
    pub time_to_half: Option<Ms>,
    /// The same for nine tenths of that load.
    pub time_to_nine_tenths: Option<Ms>,
    /// The time to half of the load with an ideal router, which knows the complete state and sends as much as
    /// N allows.
    pub ideal_time_to_half: Ms,
    /// The same for nine tenths of the load.
    pub ideal_time_to_nine_tenths: Ms,
}

/// Routers count as notified from this time after the start on, in milliseconds.
const ALL_NOTIFIED_AFTER: Ms = 7_000.0;
const TRIAL_START: Ms = 100_000.0;
const CRASH_TIME: Ms = TRIAL_START + 6_000.0;
const RESTART_TIME: Ms = CRASH_TIME + 1_000.0;
const BURST_TIME: Ms = RESTART_TIME + 3_500.0;
const LOCAL_DELAY: Ms = 1.0;
const HUB_DELAY: Ms = 12.0;
const ORIGIN_SERVICE_TIME: Ms = 30.0;
/// Share of the requests that are for an object that has not been requested before.
const NEW_OBJECT_SHARE: f64 = 0.25;
const SIZE_SIGMA: f64 = 0.7;
const MAX_RETRIES: u32 = 2;
/// A server rejects requests while this multiple of its capacity is in progress.
const REJECTION_MULTIPLE: f64 = 8.0;

/// Deployments that differ in the cost of a request, in the outcome detail, and in the parameters of the
/// slow-start rule: the example configuration, the two of `deploy/sites` (with the lower ends of their
/// ranges, on fewer machines), the example with short-lived copies, and one with large objects on small
/// machines, of which a router's share is far less than one.
///
/// # Errors
///
/// Returns an error if the settings of a deployment cannot be read.
pub fn deployments() -> Result<Vec<Deployment>, SettingsError> {
    let config: Value =
        serde_json::from_str(include_str!("../../../examples/config.json")).map_err(|error| {
            SettingsError { path: "examples/config.json".to_string(), message: error.to_string() }
        })?;
    let read = |changes: Value| {
        decode(merge(&config["settings"], &changes).to_string().as_bytes()).map(|decoded| decoded.settings)
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
    let read_class = |class, share, work| ReadClass { class, share, work };
    Ok(vec![
        Deployment {
            name: "example",
            settings: read(json!({}))?,
            locations: 1,
            routers_by_zone_known: true,
            caches: vec![8.0; 4],
            parents: vec![5.0; 3],
            read_classes: vec![read_class(0, 0.3, 400.0), read_class(1, 0.7, 50.0)],
            objects: 3_000,
            sizes_known: true,
        },
        Deployment {
            name: "ferry-boards",
            settings: read(ferry)?,
            locations: 1,
            routers_by_zone_known: false,
            caches: vec![2.0, 2.5, 3.0],
            parents: vec![1.5; 3],
            read_classes: vec![read_class(0, 1.0, 35.0)],
            objects: 3_000,
            sizes_known: true,
        },
        Deployment {
            name: "orchard-charts",
            settings: read(orchard)?,
            locations: 2,
            routers_by_zone_known: true,
            caches: vec![3.0, 5.0, 7.0],
            parents: vec![4.0; 3],
            read_classes: vec![
                read_class(0, 0.2, 550.0),
                read_class(1, 0.5, 27.0),
                read_class(2, 0.3, 100.0),
            ],
            objects: 3_000,
            sizes_known: false,
        },
        Deployment {
            name: "short-lived copies",
            settings: read(short)?,
            locations: 1,
            routers_by_zone_known: true,
            caches: vec![8.0; 3],
            parents: vec![6.0; 3],
            read_classes: vec![read_class(0, 0.3, 400.0), read_class(1, 0.7, 100.0)],
            objects: 1_500,
            sizes_known: true,
        },
        Deployment {
            name: "large objects",
            settings: read(json!({"weight-source": "nominal"}))?,
            locations: 1,
            routers_by_zone_known: true,
            caches: vec![4.0; 6],
            parents: vec![5.0; 3],
            read_classes: vec![read_class(0, 0.8, 1_400.0), read_class(1, 0.2, 400.0)],
            objects: 3_000,
            sizes_known: true,
        },
    ])
}

impl Deployment {
    /// The mean transfer time of a response.
    pub fn work(&self) -> Ms {
        let shares: f64 = self.read_classes.iter().map(|read_class| read_class.share).sum();
        self.read_classes.iter().map(|read_class| read_class.share * read_class.work).sum::<f64>() / shares
    }

    fn settings(&self, routers: usize, router: usize) -> Settings {
        let mut settings = self.settings.clone();
        settings.routers = routers as u32;
        settings.zone = self.zone(router);
        let routers_in_zone = |zone: u16| (0..routers).filter(|n| self.zone(*n) == zone).count() as u32;
        let zones = 0..=self.locations as u16;
        settings.routers_by_zone =
            if self.routers_by_zone_known { zones.map(routers_in_zone).collect() } else { Vec::new() };
        settings
    }

    /// The zone of a router; parents and the origin are in zone 0.
    fn zone(&self, router: usize) -> u16 {
        (1 + router % self.locations) as u16
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    ClientArrival,
    Retry(u64),
    Timer(usize, u32),
    /// An attempt arrives at its server; its response arrives at the router; it times out.
    AttemptArrival(u64),
    ResponseArrival(u64),
    Timeout(u64),
    /// The fill of an attempt arrives at its source; the revalidation of a cached copy, instructed by a
    /// router, arrives at its source.
    FillArrival(u64),
    Revalidation {
        router: usize,
        cache: usize,
        source: usize,
        object: u64,
        work: Ms,
    },
    /// A transfer of a server completes; the second value is the number of crashes of the server when it began.
    TransferEnd(usize, u32),
    Crash,
    Start,
    /// A router receives an endpoint update with the phase that the server had when it was sent.
    EndpointUpdate(usize, usize, EndpointPhase),
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    router: usize,
    id: AttemptId,
    server: usize,
    fill: Option<FillInstruction>,
    sent_at: Ms,
    status: AttemptStatus,
    cache_status: Option<CacheStatus>,
    source_wait: Ms,
}

#[derive(Debug, Clone, Copy)]
struct ClientRequest {
    router: usize,
    read_class: usize,
    object: u64,
    work: Ms,
    retries: u32,
    first_sent_at: Ms,
}

struct Server {
    endpoint: Endpoint,
    capacity: f64,
    slow_start: SlowStart,
    up: bool,
    /// Number of its crashes, so that transfers from before a crash do not free capacity of the restarted
    /// server.
    crashes: u32,
    in_flight: u32,
    /// Copies stored since its start, with the time when they were made; before its first crash it has all
    /// objects that are requested repeatedly.
    copies: BTreeMap<u64, Ms>,
    has_all_objects: bool,
}

/// A request that arrived at a server that started cold.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: Ms,
    work: Ms,
    router: usize,
    notified: bool,
}

struct Fleet<'a> {
    trial: &'a Trial<'a>,
    now: Ms,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    events_added: u64,
    rng: Pcg64Mcg,
    policies: Vec<Policy>,
    /// When each router learned of each server's start.
    notified_at: Vec<BTreeMap<usize, Ms>>,
    servers: Vec<Server>,
    requests: BTreeMap<u64, ClientRequest>,
    attempts: BTreeMap<u64, Attempt>,
    attempts_by_id: BTreeMap<AttemptId, u64>,
    attempt_counts: BTreeMap<u64, u8>,
    last_number: u64,
    new_objects: u64,
    /// All requests that arrived, by server that starts cold.
    arrivals: BTreeMap<usize, Vec<Arrival>>,
}

impl Trial<'_> {
    /// The servers that start cold. Servers are numbered: caches by location, then parents, then the origin.
    fn cold_server_indices(&self) -> Vec<usize> {
        let caches = self.deployment.caches.len();
        let parents = self.deployment.locations * caches;
        match self.cold_servers {
            ColdServers::Cache => vec![0],
            ColdServers::Caches => (0..caches - 1).collect(),
            ColdServers::Parent => vec![parents],
            ColdServers::Parents => (parents..parents + self.deployment.parents.len() - 1).collect(),
        }
    }

    /// When the trial ends.
    fn end(&self) -> Ms {
        let slow_start = match self.cold_servers {
            ColdServers::Cache | ColdServers::Caches => self.deployment.settings.cache_slow_start,
            ColdServers::Parent | ColdServers::Parents => self.deployment.settings.parent_slow_start,
        };
        RESTART_TIME + slow_start.duration.min(12_000.0)
    }

    /// Runs the trial; the result combines all servers that start cold.
    pub fn run(&self) -> TrialResult {
        let mut fleet = Fleet::new(self);
        fleet.run();
        let results: Vec<TrialResult> =
            self.cold_server_indices().into_iter().map(|n| fleet.result(n)).collect();
        let mut combined =
            TrialResult { time_to_half: Some(0.0), time_to_nine_tenths: Some(0.0), ..TrialResult::default() };
        for result in &results {
            combined.windows += result.windows;
            combined.over_budget += result.over_budget;
            combined.over_bound += result.over_bound;
            combined.caused_by_notified |= result.caused_by_notified;
            combined.caused_by_notified_by_end |= result.caused_by_notified_by_end;
            if result.max_of_bound > combined.max_of_bound {
                (combined.max_of_bound, combined.budget) = (result.max_of_bound, result.budget);
            }
            combined.max_of_budget = combined.max_of_budget.max(result.max_of_budget);
            let later = |a: Option<Ms>, b: Option<Ms>| a.and_then(|a| b.map(|b| a.max(b)));
            (combined.time_to_half, combined.time_to_nine_tenths) = (
                later(combined.time_to_half, result.time_to_half),
                later(combined.time_to_nine_tenths, result.time_to_nine_tenths),
            );
            combined.ideal_time_to_half = combined.ideal_time_to_half.max(result.ideal_time_to_half);
            combined.ideal_time_to_nine_tenths =
                combined.ideal_time_to_nine_tenths.max(result.ideal_time_to_nine_tenths);
        }
        combined
    }
}

impl<'a> Fleet<'a> {
    fn new(trial: &'a Trial<'a>) -> Self {
        let deployment = trial.deployment;
        let mut servers = Vec::new();
        let mut add = |role: u16, zone: u16, capacity: f64| {
            let id = EndpointId(hash_pair(servers.len() as u64, trial.seed ^ 0x636f_6c64) >> 12);
            let weight = if deployment.settings.weights_unknown { 1.0 } else { capacity };
            let endpoint =
                Endpoint { id, cell: 0, zone, role, weight, started_at: 0.0, phase: EndpointPhase::Ready };
            let slow_start = deployment.settings.slow_start(&endpoint);
            servers.push(Server {
                endpoint,
                capacity,
                slow_start,
                up: true,
                crashes: 0,
                in_flight: 0,
                copies: BTreeMap::new(),
                has_all_objects: true,
            });
        };
        for location in 0..deployment.locations {
            deployment.caches.iter().for_each(|capacity| add(0, 1 + location as u16, *capacity));
        }
        deployment.parents.iter().for_each(|capacity| add(1, 0, *capacity));
        add(2, 0, 1e6);
        let mut fleet = Self {
            trial,
            now: TRIAL_START,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            events_added: 0,
            rng: Pcg64Mcg::seed_from_u64(trial.seed),
            policies: Vec::new(),
            notified_at: vec![BTreeMap::new(); trial.routers],
            servers,
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            attempts_by_id: BTreeMap::new(),
            attempt_counts: BTreeMap::new(),
            last_number: 0,
            new_objects: deployment.objects,
            arrivals: trial.cold_server_indices().into_iter().map(|n| (n, Vec::new())).collect(),
        };
        let endpoints: Vec<Endpoint> = fleet.servers.iter().map(|server| server.endpoint).collect();
        for n in 0..trial.routers {
            let mut settings = deployment.settings(trial.routers, n);
            if let Some(routers) = trial.configured_routers {
                settings.routers = routers;
                settings.routers_by_zone.clear();
            }
            fleet.policies.push(Policy::new(settings, hash_pair(n as u64, trial.seed)));
            fleet.notify_policy(
                n,
                &PolicyEvent::Endpoints { update: EndpointUpdate::Snapshot, endpoints: endpoints.clone() },
            );
        }
        fleet.add(TRIAL_START, Event::ClientArrival);
        fleet.add(CRASH_TIME, Event::Crash);
        fleet.add(RESTART_TIME, Event::Start);
        fleet
    }

    fn add(&mut self, at: Ms, event: Event) {
        self.events_added += 1;
        self.events.insert(self.events_added, event);
        self.queue.push(Reverse(((at.max(self.now) * 1_000.0) as u64, self.events_added)));
    }

    fn run(&mut self) {
        let end = self.trial.end();
        while let Some(Reverse((at, number))) = self.queue.pop() {
            self.now = at as f64 / 1_000.0;
            if self.now > end {
                return;
            }
            match self.events.remove(&number) {
                Some(Event::ClientArrival) => self.on_client_arrival(),
                Some(Event::Retry(id)) => self.send_request(id),
                Some(Event::Timer(router, token)) => self.notify_policy(router, &PolicyEvent::Timer(token)),
                Some(Event::AttemptArrival(number)) => self.on_attempt_arrival(number),
                Some(Event::FillArrival(number)) => self.on_fill_arrival(number),
                Some(Event::Revalidation { router, cache, source, object, work }) => {
                    self.on_revalidation(router, cache, source, object, work);
                }
                Some(Event::ResponseArrival(number)) => self.deliver_outcome(number),
                Some(Event::Timeout(number)) => {
                    if let Some(attempt) = self.attempts.get_mut(&number) {
                        attempt.status = AttemptStatus::TimedOut;
                        attempt.cache_status = None;
                        self.deliver_outcome(number);
                    }
                }
                Some(Event::TransferEnd(server, crashes)) => {
                    let server = &mut self.servers[server];
                    server.in_flight -= u32::from(server.crashes == crashes);
                }
                Some(Event::Crash) => self.crash(),
                Some(Event::Start) => self.start(),
                Some(Event::EndpointUpdate(router, server, phase)) => {
                    self.deliver_endpoint_update(router, server, phase)
                }
                None => {}
            }
        }
    }

    // ---- Clients.

    /// The current request rate, per millisecond.
    fn rate(&self) -> f64 {
        let deployment = self.trial.deployment;
        let capacity: f64 = deployment.caches.iter().sum::<f64>() * deployment.locations as f64;
        let factor = match self.trial.demand {
            Demand::Even | Demand::Skewed => 1.0,
            Demand::Burst if self.now < BURST_TIME => 0.25,
            Demand::Burst => 1.5,
        };
        capacity / deployment.work() * self.trial.load * factor
    }

    fn on_client_arrival(&mut self) {
        let gap: f64 = Exp1.sample(&mut self.rng);
        self.add(self.now + gap / self.rate(), Event::ClientArrival);
        let deployment = self.trial.deployment;
        let heavy = |n: usize| self.trial.demand == Demand::Skewed && n.is_multiple_of(5);
        let weights: Vec<f64> = (0..self.trial.routers).map(|n| if heavy(n) { 5.0 } else { 1.0 }).collect();
        let router = weighted_index(self.rng.random(), &weights);
        let shares: Vec<f64> = deployment.read_classes.iter().map(|read_class| read_class.share).collect();
        let read_class = weighted_index(self.rng.random(), &shares);
        let object = if self.rng.random::<f64>() < NEW_OBJECT_SHARE {
            self.new_objects += 1;
            self.new_objects
        } else {
            // Half of the requests are for a quarter of the objects.
            let uniform: f64 = self.rng.random();
            (uniform * uniform * deployment.objects as f64) as u64
        };
        let object = object * 8 + read_class as u64;
        // Sizes are lognormal with a mean of one; the size of an object is the same for all requests.
        let deviation: f64 = StandardNormal.sample(&mut Pcg64Mcg::seed_from_u64(object));
        let size = (SIZE_SIGMA * deviation - SIZE_SIGMA * SIZE_SIGMA / 2.0).exp();
        let work = (deployment.read_classes[read_class].work * size).max(1.0);
        self.last_number += 1;
        let client_request =
            ClientRequest { router, read_class, object, work, retries: 0, first_sent_at: self.now };
        self.requests.insert(self.last_number, client_request);
        self.send_request(self.last_number);
    }

    fn send_request(&mut self, id: u64) {
        let Some(client_request) = self.requests.get(&id).copied() else { return };
        let deployment = self.trial.deployment;
        let class = deployment.read_classes[client_request.read_class].class;
        let flow = deployment.settings.flow_kb_per_s;
        let size_kb = if deployment.sizes_known { client_request.work * flow / 1_000.0 } else { 0.0 };
        let budget = deployment.settings.class(class).deadline + client_request.first_sent_at - self.now;
        if budget <= 0.0 {
            self.requests.remove(&id);
            return;
        }
        let request = Request {
            id: RequestId(id),
            object: ObjectId(client_request.object),
            part: 0,
            group: 0,
            class,
            size_kb,
            client_retry: client_request.retries > 0,
            is_write: false,
            time_limit: budget,
        };
        self.notify_policy(client_request.router, &PolicyEvent::Request(request));
    }

    /// A rejected client retries after a pause, under a new request number.
    fn retry_rejected(&mut self, id: u64) {
        let Some(client_request) =
            self.requests.remove(&id).filter(|client_request| client_request.retries < MAX_RETRIES)
        else {
            return;
        };
        self.last_number += 1;
        self.requests.insert(
            self.last_number,
            ClientRequest { retries: client_request.retries + 1, ..client_request },
        );
        let pause = self.rng.random_range(50.0..200.0);
        self.add(self.now + pause, Event::Retry(self.last_number));
    }

    // ---- Routers.

    fn notify_policy(&mut self, router: usize, event: &PolicyEvent) {
        for action in self.policies[router].handle(self.now, event) {
            match action {
                Action::Forward { request, endpoint: cache, timeout } => {
                    self.send(router, request, cache, timeout, None)
                }
                Action::ForwardWithFill { request, endpoint: cache, timeout, fill } => {
                    self.send(router, request, cache, timeout, Some(fill));
                }
                Action::CancelAttempt(id) => {
                    if let Some(number) = self.attempts_by_id.get(&id).copied() {
                        if let Some(attempt) = self.attempts.get_mut(&number) {
                            (attempt.status, attempt.cache_status) = (AttemptStatus::Cancelled, None);
                            self.add(self.now, Event::ResponseArrival(number));
                        }
                    }
                }
                Action::Reject { request, .. } | Action::Fail { request, .. } => {
                    self.retry_rejected(request.0)
                }
                Action::SetTimer { at, token } => self.add(at, Event::Timer(router, token)),
                Action::HealthCheck(cache) => {
                    if let Some(n) = self.server_index(cache) {
                        self.record_arrival(n, router, self.trial.deployment.work());
                    }
                }
                Action::SubscribeEndpoints | Action::Log(_) => {}
            }
        }
    }

    fn server_index(&self, id: EndpointId) -> Option<usize> {
        self.servers.iter().position(|server| server.endpoint.id == id)
    }

    fn send(
        &mut self,
        router: usize,
        request: RequestId,
        cache: EndpointId,
        timeout: Ms,
        fill: Option<FillInstruction>,
    ) {
        let Some(server) = self.server_index(cache) else { return };
        let number = self.attempt_counts.entry(request.0).or_default();
        let id = AttemptId { request, number: *number };
        *number += 1;
        self.last_number += 1;
        let (status, cache_status) = (AttemptStatus::Ok, None);
        let attempt =
            Attempt { router, id, server, fill, sent_at: self.now, status, cache_status, source_wait: 0.0 };
        self.attempts.insert(self.last_number, attempt);
        self.attempts_by_id.insert(id, self.last_number);
        let (delay, last_number) = (self.network_delay(server), self.last_number);
        self.add(self.now + delay, Event::AttemptArrival(last_number));
        if timeout > 0.0 {
            self.add(self.now + timeout, Event::Timeout(last_number));
        }
    }

    fn network_delay(&self, server: usize) -> Ms {
        if self.servers[server].endpoint.role == 0 {
            LOCAL_DELAY
        } else {
            HUB_DELAY
        }
    }

    // ---- Servers.

    /// Records a request at a server that starts cold.
    fn record_arrival(&mut self, server: usize, router: usize, work: Ms) {
        let notified_at = self.notified_at[router].get(&server).copied();
        let notified = notified_at.is_some() || self.now > RESTART_TIME + ALL_NOTIFIED_AFTER;
        if let Some(arrivals) = self.arrivals.get_mut(&server) {
            arrivals.push(Arrival { at: self.now, work, router, notified });
        }
    }

    /// Starts a transfer at a server. Returns its duration, or `None` if the server rejects it.
    fn start_transfer(&mut self, n: usize, work: Ms) -> Option<Ms> {
        let age = self.now - self.servers[n].endpoint.started_at;
        let server = &mut self.servers[n];
        let capacity = server.capacity * capacity_ratio(&server.slow_start, server.endpoint.started_at, age);
        if f64::from(server.in_flight) >= capacity.max(1.0) * REJECTION_MULTIPLE {
            return None;
        }
        server.in_flight += 1;
        let duration = work * (f64::from(server.in_flight) / capacity).max(1.0);
        let crashes = server.crashes;
        self.add(self.now + duration, Event::TransferEnd(n, crashes));
        Some(duration)
    }

    /// When the copy was made that a server stores, if it stores one.
    fn cached_copy(&self, n: usize, object: u64, class: u16) -> Option<Ms> {
        let server = &self.servers[n];
        let fresh = self.trial.deployment.settings.class(class).freshness_lifetime;
        let from_before = server.has_all_objects && object / 8 < self.trial.deployment.objects;
        let age = unit_fraction(hash_pair(object, server.endpoint.id.0))
            * if fresh > 0.0 { fresh } else { 60_000.0 };
        server.copies.get(&object).copied().or(from_before.then_some(TRIAL_START - age))
    }

    /// Whether a copy made at that time is recent enough for the fill instruction.
    fn is_recent_enough(&self, issued_at: Ms, class: u16, fill: Option<&FillInstruction>) -> bool {
        let fresh = self.trial.deployment.settings.class(class).freshness_lifetime;
        let max_age =
            fill.map_or(0.0, |fill| if fill.revalidate { fill.max_stale_age } else { fill.max_age });
        let max_age = if max_age > 0.0 { max_age } else { fresh };
        max_age <= 0.0 || self.now - issued_at <= max_age
    }

    fn request_of(&self, attempt: &Attempt) -> Option<(ClientRequest, ReadClass)> {
        let client_request = self.requests.get(&attempt.id.request.0).copied()?;
        Some((client_request, self.trial.deployment.read_classes[client_request.read_class]))
    }

    fn respond(&mut self, number: u64, status: AttemptStatus, cache_status: Option<CacheStatus>, after: Ms) {
        if let Some(attempt) = self.attempts.get_mut(&number) {
            (attempt.status, attempt.cache_status) = (status, cache_status);
            self.add(self.now + after, Event::ResponseArrival(number));
        }
    }

    fn on_attempt_arrival(&mut self, number: u64) {
        let Some(attempt) = self.attempts.get(&number).copied() else { return };
        let delay = self.network_delay(attempt.server);
        if !self.servers[attempt.server].up {
            return self.respond(number, AttemptStatus::ConnectFailed, None, delay);
        }
        let Some((client_request, read_class)) = self.request_of(&attempt) else { return };
        self.record_arrival(attempt.server, attempt.router, read_class.work);
        let origin = self.servers.len() - 1;
        let (object, class) = (client_request.object, read_class.class);
        if attempt.server == origin {
            return self.respond(
                number,
                AttemptStatus::Ok,
                None,
                ORIGIN_SERVICE_TIME + client_request.work + delay,
            );
        }
        let fill = attempt.fill.as_ref();
        let cached = self.cached_copy(attempt.server, object, class);
        if let Some(issued_at) = cached.filter(|issued_at| self.is_recent_enough(*issued_at, class, fill)) {
            let fresh = self.trial.deployment.settings.class(class).freshness_lifetime;
            let needs_revalidation = fresh > 0.0 && self.now - issued_at > fresh * 0.8;
            let source = fill
                .filter(|fill| fill.revalidate && needs_revalidation)
                .and_then(|fill| self.server_index(fill.source));
            if let Some(source) = source.filter(|source| *source != attempt.server) {
                let (router, cache, work) = (attempt.router, attempt.server, client_request.work);
                // The copy counts as new until the revalidation completes, so that it is revalidated only
                // once.
                self.servers[cache].copies.insert(object, self.now);
                let at = self.now + self.network_delay(source);
                self.add(at, Event::Revalidation { router, cache, source, object, work });
            }
            let stale = fresh > 0.0 && self.now - issued_at > fresh;
            return match self.start_transfer(attempt.server, client_request.work) {
                Some(duration) => {
                    let cache_status = if stale { CacheStatus::Stale } else { CacheStatus::Hit };
                    self.respond(number, AttemptStatus::Ok, Some(cache_status), duration + delay);
                }
                None => self.respond(number, AttemptStatus::Rejected, None, delay),
            };
        }
        let own = self.servers[attempt.server].endpoint.id;
        match attempt.fill.filter(|fill| fill.source != own).and_then(|fill| self.server_index(fill.source)) {
            None => self.respond(number, AttemptStatus::CacheMiss, None, delay),
            Some(source) => self.add(self.now + self.network_delay(source), Event::FillArrival(number)),
        }
    }

    /// A fill has arrived at its source.
    fn on_fill_arrival(&mut self, number: u64) {
        let Some(attempt) = self.attempts.get(&number).copied() else { return };
        let (Some(fill), Some((client_request, read_class))) = (attempt.fill, self.request_of(&attempt))
        else {
            return;
        };
        let Some(source) = self.server_index(fill.source) else { return };
        let delay = self.network_delay(source) + self.network_delay(attempt.server);
        if !self.servers[source].up {
            return self.respond(
                number,
                AttemptStatus::Rejected,
                Some(CacheStatus::SourceUnreachable),
                delay,
            );
        }
        self.record_arrival(source, attempt.router, read_class.work);
        let origin = self.servers.len() - 1;
        let cached = self.cached_copy(source, client_request.object, read_class.class);
        let cached = cached.filter(|issued_at| {
            source != origin && self.is_recent_enough(*issued_at, read_class.class, Some(&fill))
        });
        if cached.is_none() && fill.only_if_cached {
            return self.respond(number, AttemptStatus::CacheMiss, Some(CacheStatus::SourceMiss), delay);
        }
        let origin_wait = if cached.is_none() { ORIGIN_SERVICE_TIME } else { 0.0 };
        let duration = if source == origin {
            Some(client_request.work)
        } else {
            self.start_transfer(source, client_request.work)
        };
        let Some(duration) = duration else {
            return self.respond(number, AttemptStatus::Rejected, Some(CacheStatus::SourceRejected), delay);
        };
        let issued_at = cached.unwrap_or(self.now);
        if source != origin {
            self.servers[source].copies.insert(client_request.object, issued_at);
        }
        if fill.retention > 0 {
            self.servers[attempt.server].copies.insert(client_request.object, issued_at);
        }
        let cache_status =
            if cached.is_none() { CacheStatus::FilledByOrigin } else { CacheStatus::FilledByParent };
        // The cache forwards the data while it fills, which uses its own link for as long.
        let own = self.start_transfer(attempt.server, client_request.work);
        let Some(own) = own else {
            return self.respond(number, AttemptStatus::Rejected, Some(CacheStatus::NoCapacity), delay);
        };
        if let Some(attempt) = self.attempts.get_mut(&number) {
            attempt.source_wait = self.now - attempt.sent_at + origin_wait + HUB_DELAY;
        }
        self.respond(number, AttemptStatus::Ok, Some(cache_status), origin_wait + duration.max(own) + delay);
    }

    /// A revalidation has arrived at its source, which has a fresh copy or fetches one; no request waits for
    /// it.
    fn on_revalidation(&mut self, router: usize, cache: usize, source: usize, object: u64, work: Ms) {
        if !self.servers[source].up {
            return;
        }
        let read_class = self.trial.deployment.read_classes[(object % 8) as usize];
        self.record_arrival(source, router, read_class.work);
        let issued_at = self
            .cached_copy(source, object, read_class.class)
            .filter(|issued_at| self.is_recent_enough(*issued_at, read_class.class, None));
        let issued_at = issued_at.unwrap_or(self.now);
        if source + 1 < self.servers.len() && self.start_transfer(source, work).is_none() {
            return;
        }
        self.servers[source].copies.insert(object, issued_at);
        self.servers[cache].copies.insert(object, issued_at);
    }

    /// The outcome of an attempt arrives at its router.
    fn deliver_outcome(&mut self, number: u64) {
        let Some(attempt) = self.attempts.remove(&number) else { return };
        self.attempts_by_id.remove(&attempt.id);
        let finished =
            attempt.status == AttemptStatus::Ok && self.requests.remove(&attempt.id.request.0).is_some();
        let detail = self.trial.deployment.settings.outcome_detail;
        let cache_status = attempt.cache_status.filter(|cache_status| {
            detail == OutcomeDetail::Full
                || detail == OutcomeDetail::HitsOnly && *cache_status == CacheStatus::Hit
        });
        let server = &self.servers[attempt.server];
        let load = LoadReport { in_flight: Some(f64::from(server.in_flight)), ..LoadReport::default() };
        let outcome = AttemptOutcome {
            attempt: attempt.id,
            endpoint: server.endpoint.id,
            status: attempt.status,
            request_finished: finished,
            elapsed: self.now - attempt.sent_at,
            source_wait: if detail == OutcomeDetail::Full { attempt.source_wait } else { 0.0 },
            cache_status,
            load_report: load,
        };
        self.notify_policy(attempt.router, &PolicyEvent::AttemptFinished(outcome));
    }

    // ---- The crash and the start.

    fn crash(&mut self) {
        for n in self.trial.cold_server_indices() {
            let server = &mut self.servers[n];
            (server.up, server.in_flight, server.crashes, server.has_all_objects) =
                (false, 0, server.crashes + 1, false);
            server.copies.clear();
            let affected: Vec<u64> =
                self.attempts.iter().filter(|(_, a)| a.server == n).map(|(number, _)| *number).collect();
            affected
                .into_iter()
                .for_each(|number| self.respond(number, AttemptStatus::Reset, None, LOCAL_DELAY));
            self.announce(n, EndpointPhase::Removed);
        }
    }

    fn start(&mut self) {
        for n in self.trial.cold_server_indices() {
            let now = self.now;
            let server = &mut self.servers[n];
            (server.up, server.endpoint.started_at) = (true, now);
            self.announce(n, EndpointPhase::Ready);
        }
    }

    fn announce(&mut self, server: usize, phase: EndpointPhase) {
        let max_delay = match self.trial.update_delay {
            UpdateDelay::Soon => 500.0,
            UpdateDelay::Late => 4_500.0,
        };
        for router in 0..self.trial.routers {
            let delay = self.rng.random_range(20.0..max_delay);
            self.add(self.now + delay, Event::EndpointUpdate(router, server, phase));
        }
    }

    fn deliver_endpoint_update(&mut self, router: usize, server: usize, phase: EndpointPhase) {
        // An update that is older than the last one is dropped.
        if phase == EndpointPhase::Ready {
            self.notified_at[router].insert(server, self.now);
        } else if self.notified_at[router].contains_key(&server) {
            return;
        }
        let started_at =
            if phase == EndpointPhase::Ready { self.servers[server].endpoint.started_at } else { 0.0 };
        let endpoint = Endpoint { phase, started_at, ..self.servers[server].endpoint };
        self.notify_policy(
            router,
            &PolicyEvent::Endpoints { update: EndpointUpdate::Incremental, endpoints: vec![endpoint] },
        );
    }

    // ---- Results.

    fn result(&self, n: usize) -> TrialResult {
        let server = &self.servers[n];
        let all = &self.arrivals[&n];
        let (slow_start, mean) = (server.slow_start, self.trial.deployment.work());
        let before: f64 = all
            .iter()
            .filter(|arrival| (TRIAL_START + 1_000.0..CRASH_TIME).contains(&arrival.at))
            .map(|arrival| arrival.work)
            .sum::<f64>()
            / (CRASH_TIME - TRIAL_START - 1_000.0);
        let mut result = TrialResult::default();
        let after: Vec<&Arrival> = all
            .iter()
            .filter(|arrival| arrival.at >= RESTART_TIME && arrival.at < RESTART_TIME + slow_start.duration)
            .collect();
        let (mut first, mut work, mut notified) = (0, 0.0, 0.0);
        let mut over_bound_before = false;
        for (last, arrival) in after.iter().enumerate() {
            work += arrival.work;
            notified += if arrival.notified { arrival.work } else { 0.0 };
            while arrival.at - after[first].at > slow_start.overload_window {
                work -= after[first].work;
                notified -= if after[first].notified { after[first].work } else { 0.0 };
                first += 1;
            }
            let age = arrival.at - RESTART_TIME;
            let budget = server.capacity
                * capacity_ratio(&slow_start, RESTART_TIME, age)
                * slow_start.overload_multiple
                * slow_start.overload_window
                / mean;
            let bound = budget + 2.0 * budget.sqrt() + 2.0;
            result.windows += 1;
            result.over_budget += u32::from(work / mean > budget);
            if work / mean > bound {
                result.over_bound += 1;
                if !over_bound_before {
                    over_bound_before = true;
                    let by_then = |arrival: &&&Arrival| {
                        let notified_at = self.notified_at[arrival.router].get(&n);
                        notified_at.is_some_and(|at| *at <= RESTART_TIME + age) || age > ALL_NOTIFIED_AFTER
                    };
                    let window = &after[first..=last];
                    let known: f64 = window.iter().filter(by_then).map(|arrival| arrival.work).sum();
                    (result.caused_by_notified, result.caused_by_notified_by_end) =
                        (notified > work * 2.0 / 3.0, known > work * 2.0 / 3.0);
                }
            }
            if work / mean / bound > result.max_of_bound {
                (result.max_of_bound, result.budget) = (work / mean / bound, budget);
            }
            result.max_of_budget = result.max_of_budget.max(work / mean / budget);
            if age > slow_start.overload_window {
                let window_middle = age - slow_start.overload_window / 2.0;
                let reached = |share: f64| {
                    (work / slow_start.overload_window > before * share).then_some(window_middle)
                };
                (result.time_to_half, result.time_to_nine_tenths) =
                    (result.time_to_half.or(reached(0.5)), result.time_to_nine_tenths.or(reached(0.9)));
            }
        }
        let ideal = |share: f64| {
            let fits = |age: &f64| {
                server.capacity
                    * capacity_ratio(&slow_start, RESTART_TIME, *age)
                    * slow_start.overload_multiple
                    >= before * share
            };
            (0..400).map(|n| f64::from(n) * 50.0).find(fits).unwrap_or(slow_start.duration)
        };
        (result.ideal_time_to_half, result.ideal_time_to_nine_tenths) = (ideal(0.5), ideal(0.9));
        result
    }
}

/// The share of its capacity that a server has at least, at an age after its start.
fn capacity_ratio(slow_start: &SlowStart, started_at: Ms, age: Ms) -> f64 {
    if started_at <= 0.0 || slow_start.duration <= 0.0 {
        return 1.0;
    }
    slow_start.initial_ratio + (1.0 - slow_start.initial_ratio) * (age / slow_start.duration).clamp(0.0, 1.0)
}

/// The index that a number from 0 up to 1 selects, by weight.
fn weighted_index(at: f64, weights: &[f64]) -> usize {
    let mut left = at * weights.iter().sum::<f64>();
    let falls = |weight: &f64| {
        left -= weight;
        left < 0.0
    };
    weights.iter().position(falls).unwrap_or(0)
}
