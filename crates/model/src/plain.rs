//! Simple routing policies, for comparison with the decision module.
//!
//! They receive the same events as the decision module and return the same actions. After a failed attempt
//! each tries another cache while time is left. Their only state is the endpoint list and their own requests
//! in flight.

use std::collections::BTreeMap;

use linnethook::hash_ring::hash_pair;
use linnethook::interface::{
    Action, AttemptId, AttemptOutcome, AttemptStatus, Endpoint, EndpointId, EndpointPhase, Event,
    FillInstruction, RejectReason, Request, RequestId, Settings,
};
use linnethook::Policy;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A routing policy.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Way {
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

impl Way {
    pub const ALL: [Self; 5] =
        [Self::Shipped, Self::Random, Self::LeastInFlight, Self::Hash, Self::BoundedHash(1.25)];

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
pub enum Decides {
    Shipped(Box<Policy>),
    Plain(Box<Plain>),
}

impl Decides {
    pub fn new(way: Way, settings: Settings, seed: u64) -> Self {
        match way {
            Way::Shipped => Self::Shipped(Box::new(Policy::new(settings, seed))),
            way => Self::Plain(Box::new(Plain::new(way, settings, seed))),
        }
    }

    pub fn handle(&mut self, now: f64, event: &Event) -> Vec<Action> {
        match self {
            Self::Shipped(policy) => policy.handle(now, event),
            Self::Plain(plain) => plain.handle(now, event),
        }
    }
}

#[derive(Debug, Clone)]
struct Open {
    request: Request,
    deadline: f64,
    tried: Vec<EndpointId>,
}

/// A router with one of the simple policies.
pub struct Plain {
    way: Way,
    settings: Settings,
    chance: Pcg64Mcg,
    members: BTreeMap<EndpointId, Endpoint>,
    in_flight: BTreeMap<EndpointId, u32>,
    open: BTreeMap<RequestId, Open>,
}

impl Plain {
    fn new(way: Way, settings: Settings, seed: u64) -> Self {
        let (members, in_flight, open) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Self { way, settings, chance: Pcg64Mcg::seed_from_u64(seed), members, in_flight, open }
    }

    fn handle(&mut self, now: f64, event: &Event) -> Vec<Action> {
        match event {
            Event::Endpoints { endpoints: members, .. } => {
                for member in members {
                    if member.phase == EndpointPhase::Removed {
                        self.members.remove(&member.id);
                    } else {
                        self.members.insert(member.id, *member);
                    }
                }
                Vec::new()
            }
            Event::Request(request) => {
                let open = Open { request: *request, deadline: now + request.time_limit, tried: Vec::new() };
                self.open.insert(request.id, open);
                self.send(now, request.id)
            }
            Event::AttemptFinished(outcome) => self.ended(now, outcome),
            Event::ClientDisconnected(request) => {
                self.open.remove(request);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn send(&mut self, now: f64, id: RequestId) -> Vec<Action> {
        let Some(open) = self.open.get(&id) else { return Vec::new() };
        let object = open.request.object.0;
        let usable = |member: &&Endpoint| {
            member.phase == EndpointPhase::Ready
                && self.settings.is_local_cache(member)
                && !open.tried.contains(&member.id)
        };
        let caches: Vec<EndpointId> = self.members.values().filter(usable).map(|member| member.id).collect();
        let parents =
            self.members.values().filter(|m| m.phase == EndpointPhase::Ready && self.settings.is_parent(m));
        let source = parents.map(|parent| parent.id).min_by_key(|parent| hash_pair(object, parent.0));
        let origin = self.members.values().find(|m| self.settings.is_origin(m)).map(|m| m.id);
        let (Some(cache), Some(source)) = (self.choose(object, &caches), source.or(origin)) else {
            self.open.remove(&id);
            return vec![Action::Reject {
                request: id,
                retry_after: 100.0,
                reason: RejectReason::NoUsableEndpoint,
            }];
        };
        *self.in_flight.entry(cache).or_default() += 1;
        let mut timeout = 0.0;
        if let Some(open) = self.open.get_mut(&id) {
            open.tried.push(cache);
            timeout = (open.deadline - now) * 0.6;
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
        vec![Action::ForwardWithFill { request: id, endpoint: cache, timeout, fill }]
    }

    fn choose(&mut self, object: u64, caches: &[EndpointId]) -> Option<EndpointId> {
        if caches.is_empty() {
            return None;
        }
        let load = |cache: &EndpointId| self.in_flight.get(cache).copied().unwrap_or(0);
        let mut order = caches.to_vec();
        order.sort_by_key(|cache| hash_pair(object, cache.0));
        match self.way {
            Way::Random => Some(caches[self.chance.random_range(0..caches.len())]),
            Way::LeastInFlight => {
                caches.iter().copied().min_by_key(|cache| (load(cache), hash_pair(object, cache.0)))
            }
            Way::BoundedHash(bound) => {
                let all: u32 = caches.iter().map(load).sum();
                let most = (f64::from(all + 1) / caches.len() as f64 * bound).ceil();
                order.iter().copied().find(|cache| f64::from(load(cache)) < most).or(order.first().copied())
            }
            Way::Hash | Way::Shipped => order.first().copied(),
        }
    }

    fn ended(&mut self, now: f64, outcome: &AttemptOutcome) -> Vec<Action> {
        if let Some(count) = self.in_flight.get_mut(&outcome.endpoint) {
            *count = count.saturating_sub(1);
        }
        let AttemptId { request, .. } = outcome.attempt;
        if outcome.request_finished || outcome.status == AttemptStatus::Ok {
            self.open.remove(&request);
            return Vec::new();
        }
        let Some(open) = self.open.get(&request) else { return Vec::new() };
        if open.tried.len() < self.settings.max_attempts as usize && open.deadline - now > 100.0 {
            return self.send(now, request);
        }
        self.open.remove(&request);
        vec![Action::Reject { request, retry_after: 100.0, reason: RejectReason::NoUsableEndpoint }]
    }
}
