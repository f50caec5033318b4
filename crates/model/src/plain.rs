//! Owns plain ways to decide, for comparison: what a router without the project's decision module would do.
//!
//! They see what the module sees and speak its language. Each tries another cache when one fails, as long as there is
//! time, and keeps no books beyond its own requests in flight.

use std::collections::BTreeMap;

use linnethook::interface::{
    Action, AttemptId, CacheId, Event, Fill, Member, Outcome, Phase, Request, RequestId, Settings, Status,
};
use linnethook::ring::mix;
use linnethook::Brain;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// How requests are decided about.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Way {
    /// The shipped decision module.
    Shipped,
    /// Any cache.
    Random,
    /// The cache with the least of this router's requests in flight.
    LeastInFlight,
    /// The first cache in the object's order (rendezvous hashing).
    Hash,
    /// The first in that order which has no more than so many times the mean in flight (Mirrokni et al. 2016).
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

/// Whoever decides at one router.
pub enum Decides {
    Shipped(Box<Brain>),
    Plain(Box<Plain>),
}

impl Decides {
    pub fn new(way: Way, settings: Settings, seed: u64) -> Self {
        match way {
            Way::Shipped => Self::Shipped(Box::new(Brain::new(settings, seed))),
            way => Self::Plain(Box::new(Plain::new(way, settings, seed))),
        }
    }

    pub fn handle(&mut self, now: f64, event: &Event) -> Vec<Action> {
        match self {
            Self::Shipped(brain) => brain.handle(now, event),
            Self::Plain(plain) => plain.handle(now, event),
        }
    }
}

#[derive(Debug, Clone)]
struct Open {
    request: Request,
    deadline: f64,
    tried: Vec<CacheId>,
}

/// A plain router.
pub struct Plain {
    way: Way,
    settings: Settings,
    chance: Pcg64Mcg,
    members: BTreeMap<CacheId, Member>,
    in_flight: BTreeMap<CacheId, u32>,
    open: BTreeMap<RequestId, Open>,
}

impl Plain {
    fn new(way: Way, settings: Settings, seed: u64) -> Self {
        let (members, in_flight, open) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Self { way, settings, chance: Pcg64Mcg::seed_from_u64(seed), members, in_flight, open }
    }

    fn handle(&mut self, now: f64, event: &Event) -> Vec<Action> {
        match event {
            Event::List { members, .. } => {
                for member in members {
                    if member.phase == Phase::Gone {
                        self.members.remove(&member.id);
                    } else {
                        self.members.insert(member.id, *member);
                    }
                }
                Vec::new()
            }
            Event::Request(request) => {
                let open = Open { request: *request, deadline: now + request.budget, tried: Vec::new() };
                self.open.insert(request.id, open);
                self.send(now, request.id)
            }
            Event::Outcome(outcome) => self.ended(now, outcome),
            Event::Gone(request) => {
                self.open.remove(request);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn send(&mut self, now: f64, id: RequestId) -> Vec<Action> {
        let Some(open) = self.open.get(&id) else { return Vec::new() };
        let object = open.request.object.0;
        let usable = |member: &&Member| {
            member.phase == Phase::Ready && self.settings.is_own(member) && !open.tried.contains(&member.id)
        };
        let caches: Vec<CacheId> = self.members.values().filter(usable).map(|member| member.id).collect();
        let parents = self.members.values().filter(|m| m.phase == Phase::Ready && self.settings.is_parent(m));
        let source = parents.map(|parent| parent.id).min_by_key(|parent| mix(object, parent.0));
        let origin = self.members.values().find(|m| self.settings.is_origin(m)).map(|m| m.id);
        let (Some(cache), Some(source)) = (self.choose(object, &caches), source.or(origin)) else {
            self.open.remove(&id);
            return vec![Action::Refuse { request: id, retry_after: 100.0 }];
        };
        *self.in_flight.entry(cache).or_default() += 1;
        let mut timeout = 0.0;
        if let Some(open) = self.open.get_mut(&id) {
            open.tried.push(cache);
            timeout = (open.deadline - now) * 0.6;
        }
        let fill =
            Fill { source, rank: 1, max_age: 0.0, ageing: 0.0, join: true, only_held: false, renew: false };
        vec![Action::Fetch { request: id, cache, timeout, fill }]
    }

    fn choose(&mut self, object: u64, caches: &[CacheId]) -> Option<CacheId> {
        if caches.is_empty() {
            return None;
        }
        let load = |cache: &CacheId| self.in_flight.get(cache).copied().unwrap_or(0);
        let mut order = caches.to_vec();
        order.sort_by_key(|cache| mix(object, cache.0));
        match self.way {
            Way::Random => Some(caches[self.chance.random_range(0..caches.len())]),
            Way::LeastInFlight => {
                caches.iter().copied().min_by_key(|cache| (load(cache), mix(object, cache.0)))
            }
            Way::BoundedHash(bound) => {
                let all: u32 = caches.iter().map(load).sum();
                let most = (f64::from(all + 1) / caches.len() as f64 * bound).ceil();
                order.iter().copied().find(|cache| f64::from(load(cache)) < most).or(order.first().copied())
            }
            Way::Hash | Way::Shipped => order.first().copied(),
        }
    }

    fn ended(&mut self, now: f64, outcome: &Outcome) -> Vec<Action> {
        if let Some(count) = self.in_flight.get_mut(&outcome.cache) {
            *count = count.saturating_sub(1);
        }
        let AttemptId { request, .. } = outcome.attempt;
        if outcome.settled || outcome.status == Status::Ok {
            self.open.remove(&request);
            return Vec::new();
        }
        let Some(open) = self.open.get(&request) else { return Vec::new() };
        if open.tried.len() < self.settings.max_attempts as usize && open.deadline - now > 100.0 {
            return self.send(now, request);
        }
        self.open.remove(&request);
        vec![Action::Refuse { request, retry_after: 100.0 }]
    }
}
