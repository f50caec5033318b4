//! The simulated fleet of a trial: its state and its events.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use linnethook::hash_ring::hash_pair;
use linnethook::interface::{
    AttemptId, AttemptStatus, CacheStatus, Endpoint, EndpointId, EndpointPhase, EndpointUpdate,
    Event as PolicyEvent, FillInstruction, Ms, SlowStart,
};
use linnethook::Policy;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::trial::Trial;

/// Routers count as notified from this time after the start on, in milliseconds.
pub(super) const ALL_NOTIFIED_AFTER: Ms = 7_000.0;
pub(super) const TRIAL_START: Ms = 100_000.0;
pub(super) const CRASH_TIME: Ms = TRIAL_START + 6_000.0;
pub(super) const RESTART_TIME: Ms = CRASH_TIME + 1_000.0;
pub(super) const LOCAL_DELAY: Ms = 1.0;
pub(super) const HUB_DELAY: Ms = 12.0;

#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Event {
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
    /// A transfer of a server completes; the second value is the number of crashes of the server when it
    /// began.
    TransferEnd(usize, u32),
    Crash,
    Start,
    /// A router receives an endpoint update with the phase that the server had when it was sent.
    EndpointUpdate(usize, usize, EndpointPhase),
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt {
    pub(super) router: usize,
    pub(super) id: AttemptId,
    pub(super) server: usize,
    pub(super) fill: Option<FillInstruction>,
    pub(super) sent_at: Ms,
    pub(super) status: AttemptStatus,
    pub(super) cache_status: Option<CacheStatus>,
    pub(super) source_wait: Ms,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct ClientRequest {
    pub(super) router: usize,
    pub(super) read_class: usize,
    pub(super) object: u64,
    pub(super) work: Ms,
    pub(super) retries: u32,
    pub(super) first_sent_at: Ms,
}

pub(super) struct Server {
    pub(super) endpoint: Endpoint,
    pub(super) capacity: f64,
    pub(super) slow_start: SlowStart,
    pub(super) up: bool,
    /// Number of its crashes, so that transfers from before a crash do not free capacity of the restarted
    /// server.
    pub(super) crashes: u32,
    pub(super) in_flight: u32,
    /// Copies stored since its start, with the time when they were made; before its first crash it has all
    /// objects that are requested repeatedly.
    pub(super) copies: BTreeMap<u64, Ms>,
    pub(super) has_all_objects: bool,
}

/// A request that arrived at a server that started cold.
#[derive(Debug, Clone, Copy)]
pub(super) struct Arrival {
    pub(super) at: Ms,
    pub(super) work: Ms,
    pub(super) router: usize,
    pub(super) notified: bool,
}

pub(super) struct Fleet<'a> {
    pub(super) trial: &'a Trial<'a>,
    pub(super) now: Ms,
    pub(super) queue: BinaryHeap<Reverse<(u64, u64)>>,
    pub(super) events: BTreeMap<u64, Event>,
    pub(super) events_added: u64,
    pub(super) rng: Pcg64Mcg,
    pub(super) policies: Vec<Policy>,
    /// When each router learned of each server's start.
    pub(super) notified_at: Vec<BTreeMap<usize, Ms>>,
    pub(super) servers: Vec<Server>,
    pub(super) requests: BTreeMap<u64, ClientRequest>,
    pub(super) attempts: BTreeMap<u64, Attempt>,
    pub(super) attempts_by_id: BTreeMap<AttemptId, u64>,
    pub(super) attempt_counts: BTreeMap<u64, u8>,
    pub(super) last_number: u64,
    pub(super) new_objects: u64,
    /// All requests that arrived, by server that starts cold.
    pub(super) arrivals: BTreeMap<usize, Vec<Arrival>>,
}

impl<'a> Fleet<'a> {
    pub(super) fn new(trial: &'a Trial<'a>) -> Self {
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

    pub(super) fn add(&mut self, at: Ms, event: Event) {
        self.events_added += 1;
        self.events.insert(self.events_added, event);
        self.queue.push(Reverse(((at.max(self.now) * 1_000.0) as u64, self.events_added)));
    }

    pub(super) fn run(&mut self) {
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
}
