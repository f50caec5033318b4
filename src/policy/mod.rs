//! All decisions of linnethook. What it hears and says is in `src/interface.rs`.
//!
//! The ordinary path: an object's owner on the ring of the location's ready caches serves it and keeps
//! it; its misses are filled from the object's home parent. Where the list tells no sizes, owners go by
//! rendezvous hash and learned size instead of the ring. Only a far busier owner sends a request to
//! the least busy cache, which fills from the owner when the owner's filter has the object. All else
//! here answers for what the design leaves open: health, time-outs, retries, refusals and the rules.

use std::collections::BTreeMap;

use crate::bloom_filter::{cached_copy_key, RotatingBloomFilter};
use crate::endpoint_health::EjectionConfig;
use crate::estimators::{ConcurrencyLimit, ConcurrencyLimitConfig, Ewma};
use crate::hash_ring::{hash_pair, unit_fraction, HashRing};
use crate::interface::*;
use crate::purge_log::PurgeLog;
use crate::records::{AttemptRecord, EndpointRecord, FillLink, RequestRecord, Route};

/// Bits and hash functions of one generation of a cache's filter: some 2,000 objects' parts are asked
/// of a cache in a rotation, at 8 bits each under 3% are wrongly found.
const FILTER_BITS: usize = 1 << 14;
const FILTER_HASHES: u32 = 4;
/// The design's starting value; a copy that was not seen for two of these may well be gone.
const FILTER_ROTATION: Ms = 10_000.0;
/// Points on the ring for a cache of mean weight: shares differ by about a tenth.
const RING_POINTS: f64 = 96.0;
/// Salts that keep the hashes for ring points, owners, parents and ramps apart.
const SALT_POINT: u64 = 0x706f_696e;
const SALT_OWNER: u64 = 0x6f77_6e65;
const SALT_PARENT: u64 = 0x7061_7265;
const SALT_RAMP: u64 = 0x7261_6d70;
const SALT_DEAL: u64 = 0x6465_616c;

/// Where the list tells no sizes: the transfers that a cache is taken to send at once until its answers
/// tell, the weight of one that does, how many times its sending time such a one takes at least, the part
/// of its share of all caches that a parent can send, and the part of the least known size that a cold
/// cache has for certain.
const SIZE_GUESS: f64 = 5.0;
const SIZE_WEIGHT: f64 = 0.1;
const SIZE_SLOWED: f64 = 1.3;
const SIZE_PARENT: f64 = 0.3;
const SIZE_SURE: f64 = 0.55;

/// The owner is far busier when it has this multiple of the others' mean in flight, and more by so many times
/// this router's part of what fills its link. A sibling fill drains that link as much as an answer does.
const BUSY_RATIO: f64 = 3.0;
const BUSY_MORE: f64 = 1.6;
/// Holders of an object that is asked for part after part: one who watches it takes a good part of a cache's
/// link for as long as it lasts. All routers find the same ones, however few requests each sees.
const WATCHED_HOLDERS: usize = 5;
/// A hot object's next holder comes in while the ones before it have that many times as many transfers in
/// hand as fill their links: wanted times bear more, and each further holder costs fills.
const CROWDED: f64 = 2.2;
/// The weight of an answer in a cache's pace, how many make it known, how many times the lower median of them
/// (a mean follows those that age) it takes with all of its arc yet, the least of it, and an answer's most.
const PACE_WEIGHT: f64 = 0.08;
const PACE_SEEN: f64 = 6.0;
const PACE_BORNE: f64 = 1.7;
const PACE_LEAST: f64 = 0.2;
const PACE_MOST: f64 = 2.0;
const PACE_OWN: f64 = 0.85; // With less of its arc, what it fills late is put down to itself.
/// Over so long a router takes the mean of what it has in flight for what each of the others has.
const USUAL: Ms = 2_000.0;

/// How often the module looks round.
const LOOK_EVERY: Ms = 50.0;
/// An attempt is overdue this long after it should have ended at that fraction of the pace.
const OVERDUE: Ms = 300.0;
const OVERDUE_PACE: f64 = 2.5;
/// A server that has answered nothing for so long, and for so many times its usual gap between answers,
/// with so many attempts overdue, stands still.
const SILENT: Ms = 300.0;
const SILENT_GAPS: f64 = 6.0;
const SILENT_OVERDUE: usize = 2;
/// A cache that fails more than this share of what it is known to hold fails by itself.
const FAILS_SHARE: f64 = 0.15;
/// A server is taken out at that share of failures, of about the last seven outcomes; it is left alone for
/// half a second, for longer after each failed way back, and trusted after some good trials in a row.
const HEALTH: EjectionConfig = EjectionConfig {
    outcome_weight: 0.15,
    max_failure_ratio: 0.35,
    base_duration: 500.0,
    duration_growth: 2.0,
    max_duration: 3_000.0,
    recovery_successes: 4,
};

/// Part of what makes a cold server fall over that all routers together may ask of it. The capacity that
/// this reckons with is the least that it can have, and work may warm it faster.
const COLD_PART: f64 = 0.6;
/// Part of the rules' window that may be spent in one go.
const COLD_BURST: f64 = 0.75;
/// Weight of a likely hit among the fills that reach a cold parent.
const COLD_HIT: f64 = 0.3;
/// A class's mean sending time before enough of its answers were seen, and how many are enough.
const WORK_GUESS: Ms = 400.0;
const WORK_SEEN: f64 = 20.0;
/// How far a new answer moves what is known of a mean.
const LEARN: f64 = 0.02;

/// A purge is taken to be this much younger than told, to be safe from rounding.
const PURGE_SLACK: Ms = 2.0;
/// Older copies are looked out for this long after the rule says they are gone.
const PURGE_LONGER: Ms = 500.0;
/// Pause before a further attempt of a write, growing with each attempt.
const RETRY_PAUSE: Ms = 40.0;
/// Part of the time left that a first attempt may take when there is time for another.
const FIRST_PART: f64 = 0.6;
/// Further attempts that each request brings, and how many may be saved up: a trouble that fails more
/// than this would only grow by trying again.
const RETRY_PART: f64 = 0.15;
const RETRY_SAVED: f64 = 20.0;
/// Advice to clients that were refused.
const COME_BACK: Ms = 50.0;

/// The share of misses that may go on to the origin: cut while late ones are many, and raised by each in
/// time and a little at each look, so that it comes back when nothing is sent there any more. It looks back
/// for a second and a half at most: a thin stream must not take longer to tell than the origin to stop.
const ORIGIN_GATE: ConcurrencyLimitConfig = ConcurrencyLimitConfig {
    observation_weight: 0.15,
    memory: 1.5e3,
    max_late_ratio: 0.2,
    decrease_factor: 0.8,
    decrease_interval: 1e2,
    increase: 0.02,
    min_limit: 0.05,
    max_limit: 1.,
};
const ORIGIN_BACK: f64 = 0.004;
const ORIGIN_SMALL: f64 = 0.2; // Back in proportion to itself down to this: a failed origin recovers.
/// Below this share ageing copies are served rather than renewed.
const ORIGIN_SOUND: f64 = 0.8;
/// The transfers of mean size that fills may have under way through the location's link. `most` is a
/// multiple of what the location's caches can send at once, below which the link can't be the narrow
/// point; a fill in time adds to the limit what a window of them makes one.
const LINK_GATE: ConcurrencyLimitConfig = ConcurrencyLimitConfig {
    observation_weight: 0.08,
    memory: 5e3,
    max_late_ratio: 0.25,
    decrease_factor: 0.85,
    decrease_interval: 2e2,
    increase: 1.0,
    min_limit: 1.0,
    max_limit: 2.0,
};

/// How crowded a cache may be, in its link's transfers, before what comes is refused: cut while many of its
/// hits are late. `most` lets a short pause fill up its waiting room.
const SEND_GATE: ConcurrencyLimitConfig = ConcurrencyLimitConfig {
    observation_weight: 0.1,
    memory: 5e3,
    max_late_ratio: 0.1,
    decrease_factor: 0.85,
    decrease_interval: 2e2,
    increase: 0.02,
    min_limit: 0.25,
    max_limit: 1.5,
};
/// Weight of a fill by way of the origin in the share that waited longer than a client would for a small
/// answer, and the share at which what is late is put down to the origin.
const WAIT_WEIGHT: f64 = 0.15;
const WAIT_BLAMED: f64 = 0.25;
/// A parent is clearly slow while that share of its fills is late, and that many times the share of the
/// best one; the weight of a fill in it, and the share of requests that try it all the same.
const SLOW_SHARE: f64 = 0.25;
const SLOW_RATIO: f64 = 3.0;
const SLOW_WEIGHT: f64 = 0.1;
const SLOW_TRIAL: f64 = 0.04;
const WAY_BACK: Ms = 10.0; // What an answer takes to the client, at the least.

/// The decisions of one router.
#[derive(Debug)]
pub struct Policy {
    settings: Settings,
    seed: u64,
    drawn: u64,
    now: Ms,
    servers: BTreeMap<EndpointId, EndpointRecord>,
    ring: HashRing<EndpointId>,
    /// By cache, where a hierarchy says what it may be filled from.
    feeds: BTreeMap<EndpointId, FillSources>,
    /// Caches in all locations.
    caches: usize,
    /// What the location's caches could send at once at most: its link does not shrink with those lost.
    at_once: f64,
    open: BTreeMap<RequestId, RequestRecord>,
    attempts: BTreeMap<AttemptId, AttemptRecord>,
    /// By class: the mean sending time.
    works: Vec<Ewma>,
    /// The mean work of a request.
    work: Ewma,
    purges: PurgeLog,
    waiting: BTreeMap<u32, RequestId>,
    token: u32,
    next_rotation: Ms,
    /// Further attempts that may be made.
    retries: f64,
    origin_gate: ConcurrencyLimit,
    link_gate: ConcurrencyLimit,
    /// Share of fills by way of the origin that waited long for their first byte.
    waits: Ewma,
    /// What caches of the location take for their answers, in wanted times.
    pace: f64,
    link: FillLink,
    out: Vec<Action>,
    looking: bool,
}

const LOOK: u32 = 0;

/// An object's place in the order of a server above the location: the first one is its home.
pub fn parent_rank_hash(object: u64, id: u64) -> u64 {
    hash_pair(object, id ^ SALT_PARENT)
}

impl Policy {
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            works: vec![Ewma::new(WORK_GUESS); settings.classes.len()],
            settings,
            seed,
            drawn: 0,
            now: 0.0,
            servers: BTreeMap::new(),
            ring: HashRing::default(),
            feeds: BTreeMap::new(),
            caches: 0,
            at_once: 0.0,
            open: BTreeMap::new(),
            attempts: BTreeMap::new(),
            work: Ewma::new(0.0),
            purges: PurgeLog::default(),
            waiting: BTreeMap::new(),
            token: LOOK,
            next_rotation: 0.0,
            retries: RETRY_SAVED,
            origin_gate: ConcurrencyLimit::new(ORIGIN_GATE.max_limit),
            link_gate: ConcurrencyLimit::new(f64::INFINITY),
            waits: Ewma::new(0.0),
            pace: f64::INFINITY,
            link: FillLink::default(),
            out: Vec::new(),
            looking: false,
        }
    }

    /// Takes in one event and says what to do about it.
    pub fn handle(&mut self, now: Ms, event: &Event) -> Vec<Action> {
        self.now = now;
        if !self.looking {
            self.looking = true;
            self.next_rotation = now + FILTER_ROTATION;
            self.out.push(Action::SetTimer { at: now + LOOK_EVERY, token: LOOK });
            if self.settings.subscribe_to_endpoints {
                self.out.push(Action::SubscribeEndpoints);
            }
        }
        match event {
            Event::Endpoints { update: kind, endpoints: members } => self.on_list(*kind, members),
            Event::Request(request) => self.on_request(request),
            Event::ResponseStarted(attempt) => {
                if let Some(open) = self.open.get_mut(&attempt.request) {
                    open.response_started = true;
                }
            }
            Event::ClientDisconnected(id) => self.close(*id),
            Event::AttemptFinished(outcome) => self.on_outcome(outcome),
            Event::HealthCheck { .. } => {}
            Event::Timer(LOOK) => self.look_round(),
            Event::Timer(token) => self.waiting.remove(token).into_iter().for_each(|id| self.place(id)),
            Event::Purge { object, group, age: ago } => {
                self.purges.record(*object, *group, now - ago + PURGE_SLACK);
            }
            Event::FillSources { cache, sources: None } => drop(self.feeds.remove(cache)),
            Event::FillSources { cache, sources: Some(feeds) } => {
                drop(self.feeds.insert(*cache, feeds.clone()))
            }
        }
        std::mem::take(&mut self.out)
    }

    /// A random number from 0 up to 1.
    fn draw(&mut self) -> f64 {
        self.drawn += 1;
        unit_fraction(hash_pair(self.drawn, self.seed))
    }

    // ---- Membership: the list decides which servers exist.

    fn on_list(&mut self, kind: EndpointUpdate, members: &[Endpoint]) {
        match kind {
            EndpointUpdate::Unavailable if self.settings.subscribe_to_endpoints => {
                self.out.push(Action::SubscribeEndpoints)
            }
            EndpointUpdate::Snapshot => {
                self.servers.values_mut().for_each(|server| server.endpoint.phase = EndpointPhase::Removed);
            }
            EndpointUpdate::Unavailable | EndpointUpdate::Incremental => {}
        }
        if kind == EndpointUpdate::Snapshot {
            let above = |m: &&Endpoint| self.settings.is_parent(m) || self.settings.is_origin(m);
            self.caches = members.len() - members.iter().filter(above).count();
        }
        let empty = |id: EndpointId| RotatingBloomFilter::new(FILTER_BITS, FILTER_HASHES, id.0);
        // Caches of other locations are none of this router's business, and most of a large fleet.
        let near = |m: &&Endpoint| {
            self.settings.is_local_cache(m) || self.settings.is_parent(m) || self.settings.is_origin(m)
        };
        for member in members.iter().filter(near) {
            let fresh =
                |size| EndpointRecord::new(*member, self.now, size, empty(member.id), SEND_GATE.max_limit);
            let server = self.servers.entry(member.id).or_insert_with(|| fresh(SIZE_GUESS));
            // A restart empties it: a filter can't forget, and its health starts anew.
            if member.started_at > server.endpoint.started_at {
                let in_flight = server.in_flight;
                *server = EndpointRecord { in_flight, ..fresh(server.learned_capacity.value) };
            }
            server.endpoint = *member;
        }
        let all = self.servers.values().map(|server| server.endpoint);
        let ready: Vec<Endpoint> =
            all.filter(|m| m.phase == EndpointPhase::Ready && self.settings.is_local_cache(m)).collect();
        let sum: f64 = ready.iter().map(|m| m.weight).sum();
        self.at_once = self.at_once.max(ready.iter().map(|m| self.size(m.id)).sum());
        let mean = sum / ready.len() as f64;
        let size = |m: &Endpoint| if mean > 0.0 { m.weight / mean } else { 1.0 };
        let points = |m: &Endpoint| (RING_POINTS * size(m)).clamp(1.0, RING_POINTS * 4.0) as u32;
        self.ring = HashRing::new(ready.iter().map(|m| (m.id, points(m))), |id, n| {
            hash_pair(id.0, SALT_POINT.wrapping_add(u64::from(n)))
        });
    }

    /// How many transfers a server can send at once: by the list, or where that doesn't tell, its answers.
    fn size(&self, id: EndpointId) -> f64 {
        let Some(server) = self.servers.get(&id) else { return SIZE_GUESS };
        if !self.settings.weights_unknown {
            return server.endpoint.weight.max(0.01);
        }
        match self.settings.is_parent(&server.endpoint) {
            true => SIZE_PARENT * SIZE_GUESS * self.caches as f64 / self.parents().count().max(1) as f64,
            false => server.learned_capacity.value.max(0.01),
        }
    }

    fn origin(&self) -> Option<EndpointId> {
        let up = |s: &&EndpointRecord| {
            self.settings.is_origin(&s.endpoint) && s.endpoint.phase == EndpointPhase::Ready
        };
        self.servers.values().find(up).map(|s| s.endpoint.id)
    }

    // ---- PurgeLog: heeded from the moment they are told, at every attempt.

    /// A filter's name for a request's copy. It changes with a purge, so that the filter, which can't
    /// forget, does not speak for copies from before it.
    fn item(&self, request: &Request) -> u64 {
        let purge = self.purges.last_purge(request.object, request.group).map_or(0, f64::to_bits);
        cached_copy_key(request.object.0, request.part, purge)
    }

    /// The oldest copy that will do. A copy counts from when the origin gave it out, so that limiting
    /// its age to the time since the purge shuts out all older ones.
    fn max_age(&self, request: &Request, stale: bool) -> Ms {
        let class = self.settings.class(request.class);
        let usual = match (class.freshness_lifetime > 0.0, stale) {
            (true, true) => class.freshness_lifetime + class.stale_grace,
            (true, false) => class.freshness_lifetime,
            (false, _) => 0.0,
        };
        let since = self.purges.last_purge(request.object, request.group).map(|at| self.now - at);
        match since.filter(|&since| since < self.settings.purge_completion + PURGE_LONGER) {
            Some(since) if usual > 0.0 => since.clamp(0.01, usual),
            Some(since) => since.max(0.01),
            None => usual,
        }
    }

    // ---- Requests.

    fn mean_work(&self, class: u16) -> Ms {
        let least = |work: &Ewma| if work.samples < WORK_SEEN { WORK_GUESS } else { 0.0 };
        self.works.get(usize::from(class)).map_or(WORK_GUESS, |work| work.value.max(least(work)))
    }

    /// The mean sending time of the class with the largest answers: one transfer of the link's limit.
    fn mean_size(&self) -> Ms {
        let seen = self.works.iter().filter(|mean| mean.samples > 0.0).map(|mean| mean.value);
        seen.reduce(f64::max).unwrap_or(WORK_GUESS).max(1.0)
    }

    fn on_request(&mut self, request: &Request) {
        // Its own sending time; where that is not told, its class's mean.
        let told = request.size_kb > 0.0 && self.settings.flow_kb_per_s > 0.0;
        let work = match told {
            true => request.size_kb / self.settings.flow_kb_per_s * 1000.0,
            false => self.mean_work(request.class),
        };
        if let Some(mean) = self.works.get_mut(usize::from(request.class)).filter(|_| told) {
            mean.update_from_mean(work, LEARN);
        }
        self.work.update_from_mean(work, LEARN);
        self.retries = (self.retries + RETRY_PART).min(RETRY_SAVED);
        let draw = self.draw();
        let open = RequestRecord::new(*request, work, self.now + request.time_limit, draw);
        self.open.insert(request.id, open);
        self.place(request.id);
    }

    /// Nothing is owed any more: calls off what is still out.
    fn close(&mut self, id: RequestId) {
        let Some(open) = self.open.remove(&id).filter(|open| open.attempts_in_flight > 0) else { return };
        (0..open.attempts_sent as u8).for_each(|number| self.call_off(AttemptId { request: id, number }));
    }

    fn call_off(&mut self, id: AttemptId) {
        let out = self.attempts.get_mut(&id).filter(|attempt| !attempt.cancelled);
        if let Some(attempt) = out.filter(|_| self.settings.may_cancel) {
            attempt.cancelled = true;
            self.out.push(Action::CancelAttempt(id));
        }
    }

    /// The final answer where there is no more to be done. A refusal promises that a further try is
    /// harmless; where that is not certain, it is a failure.
    fn give_up(&mut self, id: RequestId, reason: RejectReason) {
        let Some(open) = self.open.get(&id) else { return };
        let harmless = match self.settings.class(open.request.class).idempotence {
            Idempotence::Idempotent | Idempotence::WithKey { scope: DeduplicationScope::All, .. } => true,
            Idempotence::WithKey { .. } | Idempotence::NotIdempotent => {
                open.may_have_executed.is_none() && open.attempts_in_flight == 0
            }
        };
        self.out.push(if harmless {
            let advice = COME_BACK.min(self.settings.max_retry_after);
            let retry_after = if self.settings.supports_retry_after { advice } else { 0.0 };
            Action::Reject { request: id, retry_after, reason }
        } else {
            Action::Fail { request: id, reason }
        });
        self.close(id);
    }

    /// Whether the rule on effects lets another attempt go to `cache`.
    fn may_repeat(&self, open: &RequestRecord, cache: EndpointId) -> bool {
        let effect = self.settings.class(open.request.class).idempotence;
        if open.attempts_in_flight > 0
            && (effect != Idempotence::Idempotent || !self.settings.parallel_attempts)
        {
            return false;
        }
        let (Some((sent, first)), false) = (open.may_have_executed, effect == Idempotence::Idempotent) else {
            return true;
        };
        let Idempotence::WithKey { scope: group, window } = effect else { return false };
        let (Some(a), Some(b)) = (self.servers.get(&first), self.servers.get(&cache)) else { return false };
        let alike = match group {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => a.endpoint.zone == b.endpoint.zone,
            DeduplicationScope::Cell => {
                a.endpoint.zone == b.endpoint.zone && a.endpoint.cell == b.endpoint.cell
            }
        };
        // Some slack: the attempt may take a tick to be counted as sent.
        alike && self.now + 2.0 * self.settings.clock_resolution < sent + window
    }

    /// Sends the request on its way, lets it wait for a moment, or gives it up.
    fn place(&mut self, id: RequestId) {
        let Some(open) = self.open.get(&id) else { return };
        if open.response_started || open.attempts_in_flight > 0 {
            return;
        }
        let (request, work, sent) = (open.request, open.work, open.attempts_sent);
        let left = open.deadline - self.now - 2.0 * self.settings.clock_resolution;
        let most = self.settings.max_attempts.max(1);
        let class = self.settings.class(request.class);
        let write = class.is_write || request.is_write;
        // What may not even go again to where it went before is answered at once.
        let barred = open.may_have_executed.is_some_and(|(_, first)| !self.may_repeat(open, first));
        let ended = match () {
            () if left <= 0.0 => Some(RejectReason::DeadlineExceeded),
            () if sent >= most => Some(RejectReason::AttemptsExhausted),
            () if sent > 0 && left < work => Some(RejectReason::DeadlineTooClose),
            () if open.nothing_cached => Some(RejectReason::NothingCached),
            () if barred => Some(RejectReason::RepeatNotAllowed),
            () => None,
        };
        if let Some(reason) = ended {
            return self.give_up(id, reason);
        }
        if sent > 0 && !write {
            // Guards against retry storms, whatever fails: tries beyond the budget only add to the load.
            if self.retries < 1.0 {
                return self.give_up(id, RejectReason::RetryBudgetExhausted);
            }
            self.retries -= 1.0;
        }
        let route = if write {
            self.write_route(open).ok_or(RejectReason::NoUsableEndpoint)
        } else {
            self.read_route(open)
        };
        let route = match route {
            Ok(route) => route,
            Err(reason) => {
                let pause = RETRY_PAUSE * f64::from(1 + sent) * (0.5 + self.draw());
                if !write || sent == 0 {
                    return self.give_up(id, reason);
                }
                if pause >= left {
                    return self.give_up(id, RejectReason::NoTimeForBackoff);
                }
                // A write has no other place to go: the same one after a moment.
                self.token = self.token.wrapping_add(1).max(1);
                self.waiting.insert(self.token, id);
                self.out.push(Action::SetTimer { at: self.now + pause, token: self.token });
                if let Some(open) = self.open.get_mut(&id) {
                    open.avoid.clear();
                }
                return;
            }
        };
        if !self.may_repeat(&self.open[&id], route.endpoint) {
            return self.give_up(id, RejectReason::RepeatNotAllowed);
        }
        let aim = class.latency_objective + class.objective_stretch_ratio * work;
        let patience = match class.idempotence {
            Idempotence::NotIdempotent => left,
            _ if sent + 1 >= most => left,
            Idempotence::WithKey { .. } => left * FIRST_PART,
            Idempotence::Idempotent => left.min((aim + work).max(left * FIRST_PART)),
        };
        self.send(id, route, patience, aim);
    }

    fn send(&mut self, id: RequestId, route: Route, timeout: Ms, aim: Ms) {
        let Some(open) = self.open.get(&id) else { return };
        let (request, work) = (open.request, open.work);
        let item = self.item(&request);
        let known = self.servers.get(&route.endpoint).is_some_and(|s| s.cached_copies.contains(item));
        let source = route.fill.map(|fill| fill.source).filter(|&source| source != route.endpoint);
        let sibling = source
            .and_then(|id| self.servers.get(&id))
            .is_some_and(|s| self.settings.is_local_cache(&s.endpoint));
        let above = source.is_some() && !sibling;
        let fills = above && !known;
        let attempt = AttemptRecord {
            endpoint: route.endpoint,
            source,
            sent_at: self.now,
            class: request.class,
            work,
            latency_objective: aim,
            caches_fill: route.fill.is_some_and(|fill| fill.retention > 0),
            fills_from_sibling: sibling,
            fills_from_above: fills,
            may_revalidate: above && known && self.settings.class(request.class).freshness_lifetime > 0.0,
            filling: if fills { work } else { 0.0 },
            copy_key: item,
            cancelled: false,
            counted_late: false,
        };
        let mean = self.mean_work(request.class);
        self.charge(route.endpoint, mean);
        if let Some(source) = source {
            self.charge(source, if known { mean * COLD_HIT } else { mean.max(work) });
        }
        if let Some(source) = source.and_then(|id| self.servers.get_mut(&id)) {
            source.health.record_request();
        }
        if let Some(server) = self.servers.get_mut(&route.endpoint) {
            server.health.record_request();
            server.advance(self.now, USUAL);
            server.in_flight += 1;
        }
        self.link.mean_filling.advance(self.now, self.link.filling, USUAL);
        self.link.filling += attempt.filling;
        let Some(open) = self.open.get_mut(&id) else { return };
        self.attempts.insert(AttemptId { request: id, number: open.attempts_sent as u8 }, attempt);
        open.attempts_sent += 1;
        open.attempts_in_flight += 1;
        self.out.push(match route.fill {
            None => Action::Forward { request: id, endpoint: route.endpoint, timeout },
            Some(fill) => Action::ForwardWithFill { request: id, endpoint: route.endpoint, timeout, fill },
        });
    }

    // ---- Routes.

    /// Writes run at the origin. They go straight there, or with it as source where that is not allowed.
    fn write_route(&self, open: &RequestRecord) -> Option<Route> {
        let origin = self.origin().filter(|id| !open.avoid.contains(id))?;
        if self.settings.may_bypass_caches {
            return Some(Route { endpoint: origin, fill: None });
        }
        let order = self.ring.successors(hash_pair(open.request.object.0, SALT_OWNER));
        let cache = order.into_iter().find(|&id| !open.avoid.contains(&id) && self.usable(id, open.work))?;
        Some(Route { endpoint: cache, fill: Some(self.fill(&open.request, origin, 0, false)) })
    }

    fn read_route(&self, open: &RequestRecord) -> Result<Route, RejectReason> {
        let request = &open.request;
        let origin_sound = self.origin_gate.limit >= ORIGIN_SOUND;
        let stale = open.attempts_sent > 0 || !origin_sound;
        let order = self.ring.successors(hash_pair(request.object.0, SALT_OWNER));
        let mean = self.mean_work(request.class);
        let mut usable = order.clone();
        usable.retain(|id| !open.avoid.contains(id) && self.usable(*id, mean));
        if usable.is_empty() && !self.settings.may_bypass_caches {
            // All out at once is more likely a fault of something behind them, or of the judgement.
            usable = order.clone();
            usable.retain(|id| !open.avoid.contains(id) && self.bears(*id, mean));
        }
        // A cold cache owns as much of its arc as it can bear; the next on the ring stands in for it.
        let ramped: Vec<EndpointId> = usable.iter().copied().filter(|&id| self.ramped(id, request)).collect();
        let holders = if ramped.is_empty() { &usable } else { &ramped };
        // The parts of a watched object are dealt out among its holders, so that these cost no further fills.
        // Where the list tells no sizes all is dealt, to every cache: arcs of the ring would be too alike.
        let several = match request.part {
            _ if self.settings.weights_unknown => holders.len(),
            0 => 1,
            _ => WATCHED_HOLDERS,
        };
        let mut several = holders[..several.min(holders.len())].to_vec();
        let item = self.item(request);
        // By rendezvous hash, in proportion to what they can send; also after a purge, whose stamp is not the
        // same at all routers.
        let part = cached_copy_key(request.object.0, request.part, 0);
        let far = |id: &EndpointId| -unit_fraction(hash_pair(part, id.0 ^ SALT_DEAL)).ln() / self.size(*id);
        several.sort_by(|a, b| far(a).total_cmp(&far(b)));
        let shows = |id: &EndpointId| self.servers[id].cached_copies.contains(item);
        let least = self.least_busy(&several);
        let fit = || several.iter().copied().filter(|&id| self.crowding(id) < CROWDED);
        let owner = fit().find(shows).or_else(|| fit().next()).or(least);
        let Some(owner) = owner else {
            // No cache is left in the location, by the list or by what this router sees: past them.
            let parent = self.fill_source(open, None).filter(|_| self.settings.may_bypass_caches);
            let parent = parent.ok_or(RejectReason::NoUsableEndpoint)?;
            if !self.link_bears(open.work) {
                return Err(RejectReason::FillLinkOverloaded);
            }
            let source = self.origin().unwrap_or(parent);
            if parent == source && open.draw >= self.origin_gate.limit {
                return Err(RejectReason::OriginOverloaded);
            }
            return Ok(Route { endpoint: parent, fill: Some(self.fill(request, source, 0, stale)) });
        };
        let known = shows(&owner);
        if known && !open.owner_only && self.settings.sibling_fill != SiblingFill::Disabled {
            if let Some(cache) = self.far_less_busy(owner, holders) {
                let fill = FillInstruction { only_if_cached: true, ..self.fill(request, owner, 0, stale) };
                return Ok(Route { endpoint: cache, fill: Some(fill) });
            }
        }
        // What a crowded cache would answer too late is refused, the least worth for its work first. Meets
        // bursts, lost neighbours and slow caches; might hurt where sizes are neither told nor learnt. Where
        // sizes are only learnt, the next that would be in time stands in for an owner.
        let class = self.settings.class(request.class);
        let aim = class.latency_objective + class.objective_stretch_ratio * open.work;
        let late =
            |id: &EndpointId| self.crowding(*id) * open.work > self.servers[id].crowding_limit.limit * aim;
        let mut others = several.iter().copied().filter(|_| self.settings.weights_unknown);
        let owner = if late(&owner) {
            others.find(|id| !late(id)).ok_or(RejectReason::EndpointTooCrowded)?
        } else {
            owner
        };
        let known = shows(&owner);
        // The link and the origin are shared by all: a miss beyond what they answer in time asks only for
        // what is held, here or at the parent, and is refused at once if that is nothing. What the filter
        // shows may still be past its fresh time, and then has to be renewed at the origin.
        let ages = self.settings.class(request.class).freshness_lifetime > 0.0;
        let to_origin = (known && !ages) || open.draw < self.origin_gate.limit;
        let source = self.fill_source(open, Some(owner)).filter(|&source| {
            (known || self.link_bears(open.work)) && (to_origin || Some(source) != self.origin())
        });
        // An ageing copy now is worth more than a fresh one late, where the way to the origin is that long.
        let far = source.is_some_and(|id| self.servers[&id].origin_wait.value + open.work + WAY_BACK > aim);
        let fill = self.fill(request, source.unwrap_or(owner), 1, stale || far);
        let renew = fill.revalidate && origin_sound;
        Ok(Route {
            endpoint: owner,
            fill: Some(FillInstruction { only_if_cached: !to_origin, revalidate: renew, ..fill }),
        })
    }

    fn fill(&self, request: &Request, source: EndpointId, rank: u8, stale: bool) -> FillInstruction {
        FillInstruction {
            source,
            retention: rank,
            max_age: self.max_age(request, stale),
            max_stale_age: self.max_age(request, true),
            coalesce: self.settings.coalesces_fills,
            only_if_cached: false,
            revalidate: rank > 0 && self.settings.class(request.class).freshness_lifetime > 0.0,
        }
    }

    fn parents(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.servers.values().filter(|s| self.settings.is_parent(&s.endpoint))
    }

    /// The first parent in the object's order over all listed ones that is up; the origin without any. Where
    /// a hierarchy says what the cache, or any cache here, may be filled from, the first of these by rank.
    fn fill_source(&self, open: &RequestRecord, cache: Option<EndpointId>) -> Option<EndpointId> {
        // A slow one still gets a few, so that it is seen when it has come back.
        let trial = open.draw < SLOW_TRIAL;
        let sound = |&id: &EndpointId| {
            let fit = self.usable(id, open.work) && self.ramped(id, &open.request);
            fit && !open.avoid.contains(&id) && (trial || !self.clearly_slow(id))
        };
        let place = |id: &EndpointId| parent_rank_hash(open.request.object.0, id.0);
        let feeds = cache.map_or(self.feeds.values().next(), |cache| self.feeds.get(&cache));
        let Some(feeds) = feeds else {
            return self.parents().map(|s| s.endpoint.id).filter(sound).min_by_key(place).or(self.origin());
        };
        let gone_over = unit_fraction(hash_pair(open.request.object.0, feeds.salt)) < feeds.migrated_ratio;
        let list = if gone_over { &feeds.current } else { &feeds.previous };
        let fit = |feed: &&FillSource| Some(feed.endpoint) == self.origin() || sound(&feed.endpoint);
        let first = list.iter().filter(fit).min_by_key(|feed| (feed.priority, place(&feed.endpoint)));
        first.map(|feed| feed.endpoint)
    }

    /// Whether fills from a parent are late far more often than from another: its own doing then, not that of
    /// the link or the origin. Meets a thin or crowded link of a parent, lost answers, and one that hangs now
    /// and then. Might hurt a parent whose objects are larger than the others'.
    fn clearly_slow(&self, id: EndpointId) -> bool {
        // Waits, where they are told, show that the origin behind it is slow. Else its own fills have to.
        let beside = self.origin().filter(|_| self.settings.outcome_detail != OutcomeDetail::Full);
        let best = self
            .parents()
            .filter(|s| {
                s.endpoint.id != id && s.endpoint.phase == EndpointPhase::Ready && s.health.is_healthy()
            })
            .map(|s| s.late_fill_ratio.value)
            .reduce(f64::min)
            .or(beside.map(|id| self.servers[&id].late_fill_ratio.value))
            .unwrap_or(f64::INFINITY);
        let own = self
            .servers
            .get(&id)
            .filter(|s| self.settings.is_parent(&s.endpoint))
            .map_or(0.0, |s| s.late_fill_ratio.value);
        own > SLOW_SHARE && own > best * SLOW_RATIO
    }

    /// Whether the location's link bears another fill of that size. Large ones are held back first.
    ///
    /// Meets all that slows fills down: a thinner or crowded link, empty caches, bursts. Without it, fills
    /// that are late hold the slots of their cache until even what it holds comes late.
    fn link_bears(&self, work: Ms) -> bool {
        let filling = self.all_filling();
        filling <= 0.0 || filling + work <= self.link_gate.limit * self.mean_size()
    }

    /// Work of the fills under way through the location's link, those of its other routers as estimated.
    fn all_filling(&self) -> Ms {
        let here = self.settings.routers_by_zone.get(usize::from(self.settings.zone)).copied().unwrap_or(1);
        self.link.filling + f64::from(here.max(1) - 1) * self.link.mean_filling.mean
    }

    /// This router's requests in flight at a cache, for its size.
    fn load(&self, id: EndpointId) -> f64 {
        self.servers.get(&id).map_or(0.0, |s| f64::from(s.in_flight) / self.size(id))
    }

    /// How full a cache's link is, with what the location's other routers usually have there: by what this
    /// one has, for its part of them, and else by the mean. What one of many sees alone is mostly chance.
    fn crowding(&self, id: EndpointId) -> f64 {
        self.servers.get(&id).map_or(0.0, |s| {
            let routers = f64::from(self.settings.routers_sharing(&s.endpoint));
            let usual = s.mean_in_flight.mean / routers
                + (1.0 - 1.0 / routers) * self.link.mean_cache_load * self.size(id);
            (f64::from(s.in_flight) + (routers - 1.0) * usual) / self.size(id)
        })
    }

    fn least_busy(&self, caches: &[EndpointId]) -> Option<EndpointId> {
        caches.iter().copied().min_by(|&a, &b| self.load(a).total_cmp(&self.load(b)))
    }

    /// The least busy cache, where the owner has far more of this router's requests in flight.
    fn far_less_busy(&self, owner: EndpointId, caches: &[EndpointId]) -> Option<EndpointId> {
        let others: Vec<EndpointId> = caches.iter().copied().filter(|&id| id != owner).collect();
        let least = self.least_busy(&others)?;
        let mean = others.iter().map(|&id| self.load(id)).sum::<f64>() / others.len() as f64;
        let even = mean * self.size(owner);
        let mine = f64::from(self.servers[&owner].in_flight);
        let routers = f64::from(self.settings.routers_sharing(&self.servers[&owner].endpoint));
        let more = BUSY_MORE * self.size(owner) / routers;
        (mine > even * BUSY_RATIO && mine > even + more).then_some(least)
    }

    // ---- Cold servers: all routers together ask less of them than they can do.

    /// The part of its capacity that may be asked of a server that has just started.
    fn cold_share(&self, server: &EndpointRecord) -> Option<f64> {
        let cold = self.settings.slow_start(&server.endpoint);
        // One that took no connection may come back cold before the list tells of its start.
        let since = server.endpoint.started_at.max(server.connect_failed_at);
        let age = self.now - since;
        let started = since > 0.0 && age < cold.duration;
        let least = cold.initial_ratio + (1.0 - cold.initial_ratio) * (age / cold.duration).max(0.0);
        started.then_some(least * cold.overload_multiple * COLD_PART)
    }

    /// Work a millisecond that this router may ask of a cold server, where the others may ask as much,
    /// and the most at once; `None` where there is no limit.
    fn cold_rate(&self, server: &EndpointRecord) -> Option<(f64, f64)> {
        let routers = f64::from(self.settings.routers_sharing(&server.endpoint));
        let rate = self.cold_share(server)? * self.sure_size(server) / routers;
        Some((rate, rate * self.settings.slow_start(&server.endpoint).overload_window * COLD_BURST))
    }

    /// What a server can send for certain: a size that is only learnt or guessed may be far too large, for
    /// what waits for its fill is in hand too. Of a cache, a part of the least known one.
    fn sure_size(&self, server: &EndpointRecord) -> f64 {
        if !self.settings.weights_unknown || !self.settings.is_local_cache(&server.endpoint) {
            return self.size(server.endpoint.id);
        }
        let known = self.servers.values().filter(|s| s.learned_capacity.samples >= PACE_SEEN);
        SIZE_SURE * known.map(|s| s.learned_capacity.value).fold(SIZE_GUESS, f64::min)
    }

    fn charge(&mut self, id: EndpointId, work: Ms) {
        let Some((rate, most)) = self.servers.get(&id).and_then(|server| self.cold_rate(server)) else {
            return;
        };
        if let Some(server) = self.servers.get_mut(&id) {
            server.slow_start_budget.spend(self.now, rate, most, work);
        }
    }

    /// Whether the object is among those that a cold or slow server takes by now, much alike at all routers.
    fn ramped(&self, id: EndpointId, request: &Request) -> bool {
        let share = |s: &EndpointRecord| self.cold_share(s).unwrap_or(1.0).min(self.pace_share(s));
        let share = self.servers.get(&id).map_or(1.0, share);
        share >= 1.0 || unit_fraction(hash_pair(request.object.0, id.0 ^ SALT_RAMP)) < share
    }

    /// The part of its arc that a cache keeps which answers more slowly than its peers: so much less as it is
    /// slower. Meets caches that age, are smaller than told or share their machine, without any errors to
    /// count. Might hurt one whose objects are the larger ones.
    fn pace_share(&self, server: &EndpointRecord) -> f64 {
        let share = self.pace * PACE_BORNE / server.slowness.value;
        (if server.slowness.samples >= PACE_SEEN { share } else { 1.0 }).clamp(PACE_LEAST, 1.0)
    }

    /// Whether a server may be sent so much work now, or be named as a source of it.
    fn usable(&self, id: EndpointId, work: Ms) -> bool {
        self.bears(id, work) && self.servers.get(&id).is_some_and(|server| server.health.accepts_request())
    }

    /// Whether it is ready, and not too cold for it by the rule. One router's allowance may be far less than
    /// one request, and all would overdraw it at once: each may by a chance that makes up for it, drawn anew
    /// in each stretch of time.
    fn bears(&self, id: EndpointId, work: Ms) -> bool {
        let Some(server) = self.servers.get(&id) else { return false };
        let stretch = self.now / self.settings.slow_start(&server.endpoint).overload_window.max(1.0);
        let chance = || unit_fraction(hash_pair(id.0 ^ self.seed, stretch as u64));
        let bears = |(rate, most)| server.slow_start_budget.available(self.now, rate, most) > chance() * work;
        server.endpoint.phase == EndpointPhase::Ready && self.cold_rate(server).is_none_or(bears)
    }

    // ---- Outcomes and health.

    fn on_outcome(&mut self, outcome: &AttemptOutcome) {
        let Some(attempt) = self.attempts.remove(&outcome.attempt) else { return };
        self.link.mean_filling.advance(self.now, self.link.filling, USUAL);
        self.link.filling = (self.link.filling - attempt.filling).max(0.0);
        if let Some(server) = self.servers.get_mut(&attempt.endpoint) {
            server.advance(self.now, USUAL);
            server.in_flight = server.in_flight.saturating_sub(1);
            if outcome.status.endpoint_responded() {
                server.record_response(self.now, HEALTH.outcome_weight);
            }
            if !attempt.fills_from_above
                && matches!(
                    outcome.status,
                    AttemptStatus::Ok | AttemptStatus::Rejected | AttemptStatus::Error
                )
            {
                server
                    .failure_ratio
                    .update(f64::from(u8::from(outcome.status != AttemptStatus::Ok)), HEALTH.outcome_weight);
            }
        }
        let filled = matches!(outcome.status, AttemptStatus::Ok | AttemptStatus::Rejected)
            && outcome.cache_status != Some(CacheStatus::Hit);
        if let Some(source) = attempt.source.filter(|_| attempt.fills_from_above && filled) {
            if let Some(server) = self.servers.get_mut(&source) {
                server.failure_ratio.update(
                    f64::from(u8::from(outcome.status == AttemptStatus::Rejected)),
                    HEALTH.outcome_weight,
                );
            }
        }
        let refused = self.origin_refused(&attempt, outcome);
        self.judge_ways(&attempt, outcome, refused);
        let late = outcome.elapsed > attempt.latency_objective || outcome.status == AttemptStatus::TimedOut;
        let held = outcome.cache_status == Some(CacheStatus::Hit)
            || !attempt.fills_from_above && attempt.source.is_some();
        if held && (late || outcome.status == AttemptStatus::Ok) {
            let took = if outcome.status == AttemptStatus::Ok { outcome.elapsed } else { f64::INFINITY };
            self.judge_sending(&attempt, took);
            if self.settings.weights_unknown {
                self.learn_size(&attempt, outcome);
            }
        }
        let to_avoid = self.judge_servers(&attempt, outcome, refused);
        let id = outcome.attempt.request;
        let Some(open) = self.open.get_mut(&id) else { return };
        open.attempts_in_flight = open.attempts_in_flight.saturating_sub(1);
        open.avoid.extend(to_avoid);
        if outcome.request_finished {
            return self.close(id);
        }
        if !outcome.status.never_executed() && open.may_have_executed.is_none() {
            open.may_have_executed = Some((attempt.sent_at, attempt.endpoint));
        }
        match outcome.status {
            AttemptStatus::NeverSent => return self.give_up(id, RejectReason::AttemptNeverSent),
            // Another way leads to the same origin.
            AttemptStatus::Rejected if refused => open.nothing_cached |= !open.request.is_write,
            AttemptStatus::CacheMiss => {
                open.nothing_cached |= !attempt.fills_from_sibling;
                open.owner_only = true;
            }
            _ => {}
        }
        self.place(id);
    }

    /// Learns who did well and who did not; the one to avoid for this request comes back.
    fn judge_servers(
        &mut self,
        attempt: &AttemptRecord,
        outcome: &AttemptOutcome,
        refused: bool,
    ) -> Option<EndpointId> {
        use {AttemptStatus::*, CacheStatus::*};
        let told = self.settings.outcome_detail;
        let asked = self.servers.get(&attempt.endpoint);
        let heard = asked.is_some_and(|s| s.last_response_at > attempt.sent_at);
        let up = asked.is_some_and(|s| s.health.is_healthy());
        let troubled = self.origin_gate.limit < ORIGIN_SOUND;
        let failing = asked.is_some_and(|s| s.failure_ratio.value > FAILS_SHARE);
        let (cache, source) = match (outcome.status, outcome.cache_status) {
            (Ok, Some(FilledByParent | FilledByOrigin | Coalesced)) => (Some(true), Some(true)),
            (Ok, _) => {
                (Some(true), (told == OutcomeDetail::None && attempt.fills_from_above).then_some(true))
            }
            // A parent whose places are taken by what waits for a slow origin refuses, or keeps a fill
            // waiting until the cache gives it up. Taken out for that, it would send all to the origin.
            (_, Some(SourceRejected)) if troubled => (None, None),
            (_, Some(SourceUnreachable))
                if troubled && outcome.source_wait > attempt.latency_objective / 2.0 =>
            {
                (None, None)
            }
            (_, Some(SourceRejected | SourceUnreachable)) => (None, Some(false)),
            (_, Some(OriginFailed | NoCapacity)) => (None, None),
            _ if refused => (None, None),
            // Where it is not told whose doing it was: the cache's, if it fails with what it holds too.
            (Rejected | Error, _) if told != OutcomeDetail::Full && attempt.fills_from_above && !failing => {
                (None, Some(false))
            }
            // Turned away as full is a matter of load, not of health: taking the cache out would only
            // push its load onto the next.
            (Rejected, _) => (None, None),
            (Error | ConnectFailed | Reset, _) => (Some(false), None),
            (TimedOut, _) if attempt.fills_from_above => (None, None),
            (TimedOut, _) => (Some(heard), None),
            (CacheMiss | Cancelled | NeverSent, _) => (None, None),
        };
        if let Some(server) = self.servers.get_mut(&attempt.endpoint) {
            if outcome.status == ConnectFailed && !server.health.is_healthy() {
                server.connect_failed_at = self.now;
            }
            if outcome.status == Ok && (attempt.caches_fill || outcome.cache_status == Some(Hit)) {
                server.cached_copies.insert(attempt.copy_key);
            }
        }
        let is_parent =
            |id: &EndpointId| self.servers.get(id).is_some_and(|s| self.settings.is_parent(&s.endpoint));
        let parent = attempt.source.filter(is_parent);
        self.judge(attempt.endpoint, cache);
        parent.into_iter().for_each(|parent| self.judge(parent, source));
        match outcome.status {
            Ok | CacheMiss | NeverSent => None,
            _ if source == Some(false) && parent.is_some() => parent,
            Cancelled if attempt.fills_from_above && up => parent,
            _ => Some(attempt.endpoint),
        }
    }

    /// Learns whether the origin and the location's link still bring in time what is asked of them.
    ///
    /// Meets a slow, crowded or stopped origin, purges and losses that send everybody there at once, and
    /// a link that can't carry the fills. Might hurt by refusing misses that would have been just in time.
    fn judge_ways(&mut self, attempt: &AttemptRecord, outcome: &AttemptOutcome, refused: bool) {
        if outcome.cache_status == Some(CacheStatus::OriginFailed) || refused {
            self.origin_gate.record(self.now, true, ORIGIN_GATE.max_limit, &ORIGIN_GATE);
        }
        // Taken back by its client before it was late, it tells nothing: many would shut out all fills.
        let left = outcome.status == AttemptStatus::Cancelled && outcome.elapsed <= attempt.latency_objective;
        let lost = matches!(outcome.status, AttemptStatus::TimedOut | AttemptStatus::Cancelled);
        let straight =
            Some(attempt.endpoint) == self.origin() && !self.settings.class(attempt.class).is_write;
        if straight && !left && outcome.status != AttemptStatus::NeverSent {
            let late = outcome.status != AttemptStatus::Ok || outcome.elapsed > attempt.latency_objective;
            self.origin_gate.record(self.now, late, ORIGIN_GATE.max_limit, &ORIGIN_GATE);
        }
        let may_fill = (attempt.fills_from_above || attempt.may_revalidate) && !left;
        if !may_fill
            || !(lost || outcome.status == AttemptStatus::Ok)
            || outcome.cache_status == Some(CacheStatus::Hit)
        {
            return;
        }
        let late = lost || outcome.elapsed > attempt.latency_objective;
        let waited = outcome.source_wait > attempt.latency_objective / 2.0;
        if outcome.cache_status == Some(CacheStatus::FilledByOrigin) {
            if let Some(source) = attempt.source.and_then(|id| self.servers.get_mut(&id)) {
                source.origin_wait.update_from_mean(outcome.source_wait, WAIT_WEIGHT);
            }
            let long = outcome.source_wait > self.settings.class(attempt.class).latency_objective;
            self.waits.update(f64::from(u8::from(long)), WAIT_WEIGHT);
            self.origin_gate.record(self.now, late && waited, ORIGIN_GATE.max_limit, &ORIGIN_GATE);
        }
        if !attempt.counted_late && !waited {
            self.judge_fill(attempt, late);
        }
    }

    /// Whether a refused fill is the origin's doing, where that is not told: past its rate it refuses what is
    /// asked straight of it, and what all parents fetch. One of them that fails by itself is beside others.
    fn origin_refused(&self, attempt: &AttemptRecord, outcome: &AttemptOutcome) -> bool {
        let untold = self.settings.outcome_detail != OutcomeDetail::Full
            && outcome.status == AttemptStatus::Rejected
            && attempt.fills_from_above;
        let Some(source) = attempt.source.filter(|_| untold) else { return false };
        let others =
            self.parents().filter(|s| s.endpoint.id != source && s.endpoint.phase == EndpointPhase::Ready);
        let (fails, count) = others.fold((0.0, 0.0), |(sum, n), s| (sum + s.failure_ratio.value, n + 1.0));
        Some(source) == self.origin() || fails > FAILS_SHARE * count || count == 0.0
    }

    /// Counts a fill whose wait is not known, or was not long. What a parent, or a cache that is slower than
    /// its peers, makes late by itself is not the link's doing, which would be shut for those that are well.
    fn judge_fill(&mut self, attempt: &AttemptRecord, late: bool) {
        if late && self.waits.value > WAIT_BLAMED {
            return self.origin_gate.record(self.now, true, ORIGIN_GATE.max_limit, &ORIGIN_GATE);
        }
        let Some(source) = attempt.source.filter(|_| attempt.fills_from_above) else { return };
        if let Some(server) = self.servers.get_mut(&source) {
            server.late_fill_ratio.update(f64::from(u8::from(late)), SLOW_WEIGHT);
        }
        let own = self.servers.get(&attempt.endpoint).is_some_and(|s| self.pace_share(s) < PACE_OWN);
        if late && (own || self.clearly_slow(source)) {
            return;
        }
        let most = LINK_GATE.max_limit * self.at_once.max(1.0);
        self.link_gate.limit = self.link_gate.limit.min(most);
        let used = self.all_filling() / self.mean_size();
        let raise = LINK_GATE.increase / self.link_gate.limit.max(1.0);
        self.link_gate.record(
            self.now,
            late,
            used,
            &ConcurrencyLimitConfig { max_limit: most, increase: raise, ..LINK_GATE },
        );
    }

    /// Counts an answer that only the cache's own crowding could make late.
    fn judge_sending(&mut self, attempt: &AttemptRecord, took: Ms) {
        let aim = attempt.latency_objective.max(1.0);
        let used = self.crowding(attempt.endpoint) * attempt.work / aim;
        if let Some(server) = self.servers.get_mut(&attempt.endpoint) {
            server.crowding_limit.record(self.now, took > aim, used, &SEND_GATE);
            server.slowness.update_from_mean((took / aim).min(PACE_MOST), PACE_WEIGHT);
        }
    }

    /// What a cache sends in all, by how long an answer took beside the others that it had in hand: as much
    /// as it can if they slowed each other, and at least that much if not.
    fn learn_size(&mut self, attempt: &AttemptRecord, outcome: &AttemptOutcome) {
        let Some(server) = self.servers.get_mut(&attempt.endpoint) else { return };
        let Some(in_hand) = outcome.load_report.in_flight.filter(|_| outcome.status == AttemptStatus::Ok)
        else {
            return;
        };
        let sent = in_hand.max(1.0) * attempt.work / outcome.elapsed.max(1.0);
        if sent > server.learned_capacity.value || outcome.elapsed > SIZE_SLOWED * attempt.work {
            server.learned_capacity.update(sent, SIZE_WEIGHT);
        }
    }

    /// Counts one good or bad answer of a server; `None` tells nothing of it.
    fn judge(&mut self, id: EndpointId, good: Option<bool>) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        if good == Some(true) && server.last_response_at < self.now {
            server.record_response(self.now, HEALTH.outcome_weight);
        }
        server.health.record_outcome(self.now, good, &HEALTH);
    }

    // ---- Looking round: silence, the way back, and forgetting.

    fn look_round(&mut self) {
        self.out.push(Action::SetTimer { at: self.now + LOOK_EVERY, token: LOOK });
        let (now, mut late) = (self.now, Vec::new());
        let known = self.servers.values().filter(|s| s.slowness.samples >= PACE_SEEN);
        let mut paces: Vec<f64> = known.map(|s| s.slowness.value).collect();
        paces.sort_by(f64::total_cmp);
        self.pace = paces.get(paces.len().saturating_sub(1) / 2).copied().unwrap_or(f64::INFINITY);
        for server in self.servers.values_mut() {
            server.health.start_due_recovery(now);
            server.advance(now, USUAL);
        }
        self.link.mean_filling.advance(now, self.link.filling, USUAL);
        let own = self.servers.values().filter(|s| self.settings.is_local_cache(&s.endpoint));
        let ready = own.filter(|s| s.endpoint.phase == EndpointPhase::Ready);
        let (usual, size): (Vec<f64>, Vec<f64>) =
            ready.map(|s| (s.mean_in_flight.mean, self.size(s.endpoint.id))).unzip();
        self.link.mean_cache_load = usual.iter().sum::<f64>() / size.iter().sum::<f64>().max(0.01);
        self.find_silent();
        // What is overdue for its client is late before it ends.
        let overdue = |a: &&mut AttemptRecord| {
            (a.fills_from_above || a.may_revalidate)
                && !a.counted_late
                && now - a.sent_at > a.latency_objective
        };
        for attempt in self.attempts.values_mut().filter(overdue) {
            attempt.counted_late = true;
            late.push(*attempt);
            // What waits for the origin does not use the link.
            if self.waits.value > WAIT_BLAMED {
                self.link.filling = (self.link.filling - attempt.filling).max(0.0);
                attempt.filling = 0.0;
            }
        }
        late.iter().for_each(|attempt| self.judge_fill(attempt, true));
        let share = self.origin_gate.limit;
        self.origin_gate.limit = (share + ORIGIN_BACK * share.max(ORIGIN_SMALL)).min(ORIGIN_GATE.max_limit);
        if now >= self.next_rotation {
            self.next_rotation = now + FILTER_ROTATION;
            self.servers.values_mut().for_each(|server| server.cached_copies.rotate());
            self.servers
                .retain(|_, server| server.endpoint.phase != EndpointPhase::Removed || server.in_flight > 0);
            // Kept for as long as a filter may hold what was there before the purge.
            self.purges.remove_before(
                now - self.settings.purge_completion.max(3.0 * FILTER_ROTATION) - PURGE_LONGER,
            );
        }
    }

    /// Takes out servers that have gone silent, and calls off what waits for them, to be tried elsewhere.
    ///
    /// Meets hung and vanished servers, also those out for taking no connections, long pauses and links cut
    /// off alike. Might hurt a server that is merely slow all over; its way back is short.
    fn find_silent(&mut self) {
        let now = self.now;
        let late = |a: &AttemptRecord| now - a.sent_at > OVERDUE + OVERDUE_PACE * a.work;
        let mut overdue: BTreeMap<EndpointId, usize> = BTreeMap::new();
        for attempt in self.attempts.values().filter(|a| late(a)) {
            *overdue.entry(attempt.endpoint).or_default() += 1;
            // The source's silence, only if the cache itself has answered since: else all that waits for a
            // silent cache would count against the parents. Nor is one silent that waits for a slow origin.
            let heard =
                self.servers.get(&attempt.endpoint).is_some_and(|s| s.last_response_at > attempt.sent_at);
            let its_own = attempt.fills_from_above && heard && self.waits.value <= WAIT_BLAMED;
            if let Some(source) = attempt.source.filter(|_| its_own) {
                *overdue.entry(source).or_default() += 1;
            }
        }
        let mut silent = Vec::new();
        for (id, count) in overdue {
            let Some(server) = self.servers.get_mut(&id) else { continue };
            let still =
                now - server.last_response_at > SILENT.max(server.response_interval.value * SILENT_GAPS);
            let enough = count >= SILENT_OVERDUE || server.health.is_recovering();
            // Fills from a parent that is out are left alone: calling them off would ask the origin again.
            let judged = self.settings.is_local_cache(&server.endpoint) || !server.health.is_ejected();
            if still && enough && judged && !self.settings.is_origin(&server.endpoint) {
                server.health.eject_if_admitted(now, &HEALTH);
                silent.push(id);
            }
        }
        if silent.is_empty() {
            return;
        }
        let safe = |id: &AttemptId| {
            self.open.get(&id.request).is_some_and(|open| {
                !open.response_started
                    && self.settings.class(open.request.class).idempotence == Idempotence::Idempotent
            })
        };
        let waits = |a: &AttemptRecord| {
            silent.contains(&a.endpoint)
                || (a.fills_from_above && a.source.is_some_and(|source| silent.contains(&source)))
        };
        let stuck = self.attempts.iter().filter(|(id, a)| waits(a) && late(a) && safe(id));
        let stuck: Vec<AttemptId> = stuck.map(|(id, _)| *id).collect();
        stuck.into_iter().for_each(|id| self.call_off(id));
    }
}
