//! Simple routing policies, for comparison with the decision module.
//!
//! They receive the same events as the decision module and return the same actions. After a failed attempt
//! each tries another cache while time is left. Their only state is the endpoint list and their own requests
//! in flight.

use std::collections::BTreeMap;

use linnethook::hash_ring::hash_pair;
use linnethook::interface::{
    Action, AttemptId, AttemptOutcome, AttemptStatus, Endpoint, EndpointId, EndpointPhase, Event,
    FillInstruction, RejectReason, Request, RequestId, RetryScope, Settings,
};
use linnethook::Policy;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A routing policy.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RoutingPolicy {
    /// The shipped decision module.
    Shipped,
    /// A random cache.
    Random,
    /// The cache with the fewest requests of this router in flight.
    LeastInFlight,
    /// The first cache in the object's order (rendezvous hashing).
    Hash,
    /// The first cache in that order whose requests in flight are at most this multiple of the mean (Mirrokni
    /// et al. 2016).
    BoundedHash(f64),
}

impl RoutingPolicy {
    /// All policies, with a bound of 1.25 for the bounded hash.
    pub const ALL: [Self; 5] =
        [Self::Shipped, Self::Random, Self::LeastInFlight, Self::Hash, Self::BoundedHash(1.25)];

    /// The name in printed results.
    pub fn name(self) -> &'static str {
        match self {
            Self::Shipped => "shipped",
            Self::Random => "random",
            Self::LeastInFlight => "least in flight",
            Self::Hash => "hash",
            Self::BoundedHash(_) => "bounded hash",
        }
    }
}

/// The routing policy of one router, with its state.
pub enum RouterPolicy {
    Shipped(Box<Policy>),
    Baseline(Box<Baseline>),
}

impl RouterPolicy {
    /// Creates the policy of a router; the seed is that of its random numbers.
    pub fn new(policy: RoutingPolicy, settings: Settings, seed: u64) -> Self {
        match policy {
            RoutingPolicy::Shipped => Self::Shipped(Box::new(Policy::new(settings, seed))),
            policy => Self::Baseline(Box::new(Baseline::new(policy, settings, seed))),
        }
    }

    /// Handles an event at a time in milliseconds. Returns the actions of the router.
    pub fn handle(&mut self, now: f64, event: &Event) -> Vec<Action> {
        match self {
            Self::Shipped(policy) => policy.handle(now, event),
            Self::Baseline(baseline) => baseline.handle(now, event),
        }
    }
}

#[derive(Debug, Clone)]
struct PendingRequest {
    request: Request,
    deadline: f64,
    tried: Vec<EndpointId>,
}

/// A router with one of the simple policies.
pub struct Baseline {
    policy: RoutingPolicy,
    settings: Settings,
    rng: Pcg64Mcg,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    in_flight: BTreeMap<EndpointId, u32>,
    pending: BTreeMap<RequestId, PendingRequest>,
}

impl Baseline {
    fn new(policy: RoutingPolicy, settings: Settings, seed: u64) -> Self {
        let (endpoints, in_flight, pending) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Self { policy, settings, rng: Pcg64Mcg::seed_from_u64(seed), endpoints, in_flight, pending }
    }

    fn handle(&mut self, now: f64, event: &Event) -> Vec<Action> {
        match event {
            Event::Endpoints { endpoints, .. } => {
                for endpoint in endpoints {
                    if endpoint.phase == EndpointPhase::Removed {
                        self.endpoints.remove(&endpoint.id);
                    } else {
                        self.endpoints.insert(endpoint.id, *endpoint);
                    }
                }
                Vec::new()
            }
            Event::Request(request) => {
                let pending = PendingRequest {
                    request: *request,
                    deadline: now + request.time_limit,
                    tried: Vec::new(),
                };
                self.pending.insert(request.id, pending);
                self.send_attempt(now, request.id)
            }
            Event::AttemptFinished(outcome) => self.on_attempt_finished(now, outcome),
            Event::ClientDisconnected(request) => {
                self.pending.remove(request);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn send_attempt(&mut self, now: f64, id: RequestId) -> Vec<Action> {
        let Some(pending) = self.pending.get(&id) else { return Vec::new() };
        let object = pending.request.object.0;
        let usable = |endpoint: &&Endpoint| {
            endpoint.phase == EndpointPhase::Ready
                && self.settings.is_local_cache(endpoint)
                && !pending.tried.contains(&endpoint.id)
        };
        let caches: Vec<EndpointId> =
            self.endpoints.values().filter(usable).map(|endpoint| endpoint.id).collect();
        let parents = self
            .endpoints
            .values()
            .filter(|endpoint| endpoint.phase == EndpointPhase::Ready && self.settings.is_parent(endpoint));
        let source = parents.map(|parent| parent.id).min_by_key(|parent| hash_pair(object, parent.0));
        let origin = self
            .endpoints
            .values()
            .find(|endpoint| self.settings.is_origin(endpoint))
            .map(|endpoint| endpoint.id);
        let (Some(cache), Some(source)) = (self.choose_cache(object, &caches), source.or(origin)) else {
            self.pending.remove(&id);
            return vec![Action::Reject {
                request: id,
                retry_after: 100.0,
                retry_scope: RetryScope::Anywhere,
                reason: RejectReason::NoUsableEndpoint,
            }];
        };
        *self.in_flight.entry(cache).or_default() += 1;
        let mut timeout = 0.0;
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.tried.push(cache);
            timeout = (pending.deadline - now) * 0.6;
        }
        let fill = FillInstruction {
            source,
            retention: 1,
            max_age: 0.0,
            max_stale_age: 0.0,
            coalesce: true,
            only_if_cached: false,
            revalidate: false,
        };
        vec![Action::ForwardWithFill { request: id, endpoint: cache, timeout, send_by: None, fill }]
    }

    fn choose_cache(&mut self, object: u64, caches: &[EndpointId]) -> Option<EndpointId> {
        if caches.is_empty() {
            return None;
        }
        let load = |cache: &EndpointId| self.in_flight.get(cache).copied().unwrap_or(0);
        let mut ranked = caches.to_vec();
        ranked.sort_by_key(|cache| hash_pair(object, cache.0));
        match self.policy {
            RoutingPolicy::Random => Some(caches[self.rng.random_range(0..caches.len())]),
            RoutingPolicy::LeastInFlight => {
                caches.iter().copied().min_by_key(|cache| (load(cache), hash_pair(object, cache.0)))
            }
            RoutingPolicy::BoundedHash(bound) => {
                let total: u32 = caches.iter().map(load).sum();
                let max_load = (f64::from(total + 1) / caches.len() as f64 * bound).ceil();
                ranked
                    .iter()
                    .copied()
                    .find(|cache| f64::from(load(cache)) < max_load)
                    .or(ranked.first().copied())
            }
            RoutingPolicy::Hash | RoutingPolicy::Shipped => ranked.first().copied(),
        }
    }

    fn on_attempt_finished(&mut self, now: f64, outcome: &AttemptOutcome) -> Vec<Action> {
        if let Some(count) = self.in_flight.get_mut(&outcome.endpoint) {
            *count = count.saturating_sub(1);
        }
        let AttemptId { request, .. } = outcome.attempt;
        if outcome.request_finished || outcome.status == AttemptStatus::Ok {
            self.pending.remove(&request);
            return Vec::new();
        }
        let Some(pending) = self.pending.get(&request) else { return Vec::new() };
        if pending.tried.len() < self.settings.max_attempts as usize && pending.deadline - now > 100.0 {
            return self.send_attempt(now, request);
        }
        self.pending.remove(&request);
        vec![Action::Reject {
            request,
            retry_after: 100.0,
            retry_scope: RetryScope::Anywhere,
            reason: RejectReason::NoUsableEndpoint,
        }]
    }
}
