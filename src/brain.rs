//! All decisions of linnethook. What it hears and says is in `src/interface.rs`.
//!
//! The ordinary path: an object's owner on the ring of the location's ready caches serves it and keeps
//! it; its misses are filled from the object's home parent. Only a far busier owner sends a request to
//! the least busy cache, which fills from the owner when the owner's filter has the object. All else
//! here answers for what the design leaves open: health, time-outs, retries, refusals and the rules.

use std::collections::BTreeMap;

use crate::filter::TwoGenerations;
use crate::interface::*;
use crate::ring::{fraction, mix, Ring};

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
const SALT_PART: u64 = 0x7061_7274;

/// The owner is far busier when it has this multiple of the others' mean in flight and so many more.
/// A sibling fill drains the owner's link as much as an answer does, so this is set high.
const BUSY_RATIO: f64 = 3.0;
const BUSY_MORE: f64 = 8.0;
/// An object with this part of a cache's fair share of the work gets a further holder, and one more
/// for each such part.
const HOT_SHARE: f64 = 0.3;
/// Work seen before an object's share of it means anything, in requests of mean size.
const HOT_SEEN: f64 = 40.0;
/// How fast the memory of what is hot fades, a second.
const HOT_KEPT: f64 = 0.8;

/// How often the module looks round.
const LOOK_EVERY: Ms = 50.0;
/// An attempt is overdue this long after it should have ended at a third of the pace.
const OVERDUE: Ms = 300.0;
const OVERDUE_PACE: f64 = 2.5;
/// A server that has answered nothing for so long, and for so many times its usual gap between answers,
/// with so many attempts overdue, stands still.
const SILENT: Ms = 300.0;
const SILENT_GAPS: f64 = 6.0;
const SILENT_OVERDUE: usize = 2;
/// Share of failures, of about the last ten outcomes, at which a server is taken out.
const BAD_SHARE: f64 = 0.35;
const BAD_WEIGHT: f64 = 0.15;
/// A cache that turns away more than this share of what it holds is full.
const FULL_SHARE: f64 = 0.15;
/// First and longest time that a bad server is left alone; doubled for each failed way back.
const OUT_FIRST: Ms = 500.0;
const OUT_LONGEST: Ms = 3_000.0;
/// Good trials in a row, one at a time, after which a server is trusted again.
const TRIALS: u32 = 4;

/// Share of what a cold server can do that all routers together may ask of it.
const COLD_LOAD: f64 = 0.8;
/// Part of the rules' window that may be spent in one go.
const COLD_BURST: f64 = 0.2;
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
/// Pause before a further attempt where no other server is left, growing with each attempt.
const RETRY_PAUSE: Ms = 40.0;
/// Part of the time left that a first attempt may take when there is time for another.
const FIRST_PART: f64 = 0.6;
/// Further attempts that each request brings, and how many may be saved up: a trouble that fails more
/// than this would only grow by trying again.
const RETRY_PART: f64 = 0.15;
const RETRY_SAVED: f64 = 20.0;
/// How the share of misses that may go on to the origin shrinks with a late or failed one, no more often
/// than each so many ms, and grows again: with each one in time, and as time goes by.
const ORIGIN_CUT: f64 = 0.8;
const ORIGIN_CUT_EVERY: Ms = 100.0;
const ORIGIN_MORE: f64 = 0.02;
const ORIGIN_LEAST: f64 = 0.05;
/// Below this share ageing copies are served rather than renewed.
const ORIGIN_SOUND: f64 = 0.8;
/// Advice to clients that were refused.
const COME_BACK: Ms = 400.0;

/// Whether a server does its work, as far as this router sees.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Health {
    Up,
    /// Left alone until then, for so long.
    Out {
        until: Ms,
        span: Ms,
    },
    /// On its way back: good trials so far, whether one is out, and the span if it fails.
    Trial {
        good: u32,
        out: bool,
        span: Ms,
    },
}

/// A cache, a parent or the origin.
#[derive(Debug)]
struct Server {
    member: Member,
    health: Health,
    /// Decaying share of failures.
    bad: f64,
    heard: Ms,
    /// Usual time between its answers.
    gap: Ms,
    /// Decaying share of what it was known to hold and turned away all the same.
    full: f64,
    in_flight: u32,
    /// What it showed to hold.
    filter: TwoGenerations,
    /// Work that may still be asked of it while it is cold, and as of when.
    allowance: f64,
    allowed_at: Ms,
}

/// One attempt that is out.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    cache: CacheId,
    source: Option<CacheId>,
    sent: Ms,
    work: Ms,
    /// Wanted within this time of its sending.
    aim: Ms,
    keeps: bool,
    /// Filled from another cache of the location.
    sibling: bool,
    /// The cache was not known to hold it.
    fills: bool,
    /// A filter's name for what was asked for.
    item: u64,
    /// Cancelled by this router.
    called_off: bool,
}

/// A request that is owed its final answer.
#[derive(Debug)]
struct Open {
    request: Request,
    deadline: Ms,
    sent: u32,
    out: u32,
    /// When the first attempt that may have run was sent, and where.
    may_have_run: Option<(Ms, CacheId)>,
    /// Servers that failed this request.
    avoid: Vec<CacheId>,
    /// A sibling fill missed: only the owner will do.
    owner_only: bool,
    /// Asked only for what is held, and that was not there.
    lacking: bool,
    /// Drawn once: whether its miss may go on to the origin.
    draw: f64,
    started: bool,
}

#[derive(Debug, Clone, Copy)]
struct Route {
    cache: CacheId,
    fill: Option<Fill>,
}

impl Server {
    /// Notes an answer, of whatever kind.
    fn hear(&mut self, now: Ms) {
        self.gap += (now - self.heard - self.gap) * BAD_WEIGHT;
        self.heard = now;
    }
}

/// The decisions of one router.
#[derive(Debug)]
pub struct Brain {
    set: Settings,
    now: Ms,
    servers: BTreeMap<CacheId, Server>,
    ring: Ring<CacheId>,
    open: BTreeMap<RequestId, Open>,
    attempts: BTreeMap<AttemptId, Attempt>,
    /// By class: answers seen and their mean sending time.
    works: Vec<(f64, Ms)>,
    heat: BTreeMap<ObjectId, f64>,
    heat_sum: f64,
    purged_objects: BTreeMap<ObjectId, Ms>,
    purged_groups: BTreeMap<u32, Ms>,
    waiting: BTreeMap<u32, RequestId>,
    token: u32,
    next_rotation: Ms,
    next_fade: Ms,
    out: Vec<Action>,
    looking: bool,
    seed: u64,
    drawn: u64,
    retries: f64,
    /// Share of misses that may go on to the origin, and when it was last cut.
    origin_share: f64,
    origin_cut: Ms,
}

const LOOK: u32 = 0;

impl Brain {
    pub fn new(set: Settings, seed: u64) -> Self {
        let works = vec![(0.0, WORK_GUESS); set.classes.len()];
        Self {
            set,
            now: 0.0,
            servers: BTreeMap::new(),
            ring: Ring::default(),
            open: BTreeMap::new(),
            attempts: BTreeMap::new(),
            works,
            heat: BTreeMap::new(),
            heat_sum: 0.0,
            purged_objects: BTreeMap::new(),
            purged_groups: BTreeMap::new(),
            waiting: BTreeMap::new(),
            token: LOOK,
            next_rotation: 0.0,
            next_fade: 0.0,
            out: Vec::new(),
            looking: false,
            seed,
            drawn: 0,
            retries: RETRY_SAVED,
            origin_share: 1.0,
            origin_cut: 0.0,
        }
    }

    /// A random number from 0 up to 1.
    fn draw(&mut self) -> f64 {
        self.drawn += 1;
        fraction(mix(self.drawn, self.seed))
    }

    /// Takes in one event and says what to do about it.
    pub fn handle(&mut self, now: Ms, event: &Event) -> Vec<Action> {
        self.now = now;
        if !self.looking {
            self.looking = true;
            self.next_rotation = now + FILTER_ROTATION;
            self.out.push(Action::Timer { at: now + LOOK_EVERY, token: LOOK });
            if self.set.ask_for_list {
                self.out.push(Action::Watch);
            }
        }
        match event {
            Event::List { kind, members } => self.on_list(*kind, members),
            Event::Request(request) => self.on_request(request),
            Event::Started(attempt) => {
                if let Some(open) = self.open.get_mut(&attempt.request) {
                    open.started = true;
                }
            }
            Event::Gone(id) => self.close(*id),
            Event::Outcome(outcome) => self.on_outcome(outcome),
            Event::Probed { .. } => {}
            Event::Timer(LOOK) => self.look_round(),
            Event::Timer(token) => {
                if let Some(id) = self.waiting.remove(token) {
                    self.place(id);
                }
            }
            Event::Purged { object, group, ago } => self.on_purge(*object, *group, *ago),
        }
        std::mem::take(&mut self.out)
    }

    // ---- Membership: the list decides which servers exist; a new start empties what was known.

    fn on_list(&mut self, kind: ListKind, members: &[Member]) {
        match kind {
            ListKind::Failed => {
                if self.set.ask_for_list {
                    self.out.push(Action::Watch);
                }
                return;
            }
            ListKind::Complete => {
                for server in self.servers.values_mut() {
                    server.member.phase = Phase::Gone;
                }
            }
            ListKind::Changes => {}
        }
        for member in members {
            let fresh = Server {
                member: *member,
                health: Health::Up,
                bad: 0.0,
                heard: self.now,
                gap: 0.0,
                full: 0.0,
                in_flight: 0,
                filter: TwoGenerations::new(FILTER_BITS, FILTER_HASHES, member.id.0),
                allowance: 0.0,
                allowed_at: self.now,
            };
            let server = self.servers.entry(member.id).or_insert(fresh);
            // A restart: filters can't forget, and its health starts anew with it.
            if member.since > server.member.since {
                server.filter.clear();
                (server.health, server.bad, server.heard) = (Health::Up, 0.0, self.now);
                (server.allowance, server.allowed_at) = (0.0, self.now);
            }
            server.member = *member;
        }
        let mine = |m: &Member| m.phase == Phase::Ready && m.zone == self.set.zone && !self.above(m);
        let ready: Vec<Member> = self.servers.values().map(|s| s.member).filter(mine).collect();
        let mean = ready.iter().map(|m| m.weight).sum::<f64>() / ready.len().max(1) as f64;
        let points = |m: &Member| match mean > 0.0 {
            true => (RING_POINTS * m.weight / mean).clamp(1.0, RING_POINTS * 4.0) as u32,
            false => RING_POINTS as u32,
        };
        self.ring = Ring::new(ready.iter().map(|m| (m.id, points(m))), |id, n| {
            mix(id.0, SALT_POINT.wrapping_add(u64::from(n)))
        });
    }

    fn is_parent(&self, member: &Member) -> bool {
        Some(member.kind) == self.set.parent_kind
    }

    fn is_origin(&self, member: &Member) -> bool {
        Some(member.kind) == self.set.origin_kind
    }

    fn above(&self, member: &Member) -> bool {
        self.is_parent(member) || self.is_origin(member)
    }

    fn ready(&self, id: CacheId) -> bool {
        self.servers.get(&id).is_some_and(|s| s.member.phase == Phase::Ready)
    }

    fn origin(&self) -> Option<CacheId> {
        let found = self.servers.values().find(|s| self.is_origin(&s.member) && self.ready(s.member.id));
        found.map(|s| s.member.id)
    }

    // ---- Purges: kept from the moment they are told of, at every attempt.

    fn on_purge(&mut self, object: Option<ObjectId>, group: u32, ago: Ms) {
        let at = self.now - ago + PURGE_SLACK;
        let newest = match object {
            Some(object) => self.purged_objects.entry(object).or_insert(at),
            None => self.purged_groups.entry(group).or_insert(at),
        };
        *newest = newest.max(at);
    }

    fn purged_at(&self, request: &Request) -> Option<Ms> {
        let object = self.purged_objects.get(&request.object).copied();
        let group = self.purged_groups.get(&request.group).copied();
        [object, group].into_iter().flatten().reduce(Ms::max)
    }

    /// A filter's name for a request's copy. It changes with a purge, so that the filter, which can't
    /// forget, does not speak for copies from before it.
    fn item(&self, request: &Request) -> u64 {
        let purge = self.purged_at(request).map_or(0, f64::to_bits);
        mix(mix(request.object.0, SALT_PART.wrapping_add(u64::from(request.part))), purge)
    }

    /// The oldest copy that will do. A copy counts from when the origin gave it out, so that limiting
    /// its age to the time since the purge shuts out all older ones.
    fn max_age(&self, request: &Request, stale: bool) -> Ms {
        let class = self.class(request.class);
        let usual = match (class.fresh > 0.0, stale) {
            (true, true) => class.fresh + class.grace,
            (true, false) => class.fresh,
            (false, _) => 0.0,
        };
        let since = self.purged_at(request).map(|at| self.now - at);
        match since.filter(|&since| since < self.set.purge_done + PURGE_LONGER) {
            Some(since) if usual > 0.0 => since.clamp(0.01, usual),
            Some(since) => since.max(0.01),
            None => usual,
        }
    }

    // ---- Requests.

    fn class(&self, class: u16) -> Class {
        self.set.classes.get(usize::from(class)).cloned().unwrap_or_default()
    }

    /// The request's own sending time, or its class's mean where sizes are not told.
    fn work(&self, request: &Request) -> Ms {
        if request.size_kb > 0.0 && self.set.flow_kb_per_s > 0.0 {
            return request.size_kb / self.set.flow_kb_per_s * 1000.0;
        }
        self.mean_work(request.class)
    }

    fn mean_work(&self, class: u16) -> Ms {
        match self.works.get(usize::from(class)) {
            Some(&(seen, mean)) if seen >= WORK_SEEN => mean,
            Some(&(_, mean)) => mean.max(WORK_GUESS),
            None => WORK_GUESS,
        }
    }

    fn learn_work(&mut self, class: u16, work: Ms) {
        if let Some((seen, mean)) = self.works.get_mut(usize::from(class)) {
            *seen += 1.0;
            *mean += (work - *mean) * LEARN.max(1.0 / *seen);
        }
    }

    fn on_request(&mut self, request: &Request) {
        let work = self.work(request);
        if request.size_kb > 0.0 {
            self.learn_work(request.class, work);
        }
        *self.heat.entry(request.object).or_insert(0.0) += work;
        self.heat_sum += work;
        self.retries = (self.retries + RETRY_PART).min(RETRY_SAVED);
        let draw = self.draw();
        let open = Open {
            request: *request,
            deadline: self.now + request.budget,
            sent: 0,
            out: 0,
            may_have_run: None,
            avoid: Vec::new(),
            owner_only: false,
            lacking: false,
            draw,
            started: false,
        };
        self.open.insert(request.id, open);
        self.place(request.id);
    }

    /// Nothing is owed any more: calls off what is still out.
    fn close(&mut self, id: RequestId) {
        if self.open.remove(&id).is_none() {
            return;
        }
        if self.set.may_cancel {
            self.call_off(|attempt, _| attempt.request == id);
        }
    }

    fn call_off(&mut self, which: impl Fn(&AttemptId, &Attempt) -> bool) {
        for (id, attempt) in &mut self.attempts {
            if !attempt.called_off && which(id, attempt) {
                attempt.called_off = true;
                self.out.push(Action::Cancel(*id));
            }
        }
    }

    /// The final answer where there is no more to be done. A refusal promises that a further try is
    /// harmless; where that is not certain, it is a failure.
    fn give_up(&mut self, id: RequestId) {
        let Some(open) = self.open.get(&id) else { return };
        let harmless = match self.class(open.request.class).effect {
            Effect::Safe | Effect::Keyed { group: Group::All, .. } => true,
            Effect::Keyed { .. } | Effect::Unsafe => open.may_have_run.is_none() && open.out == 0,
        };
        self.out.push(if harmless {
            let advice = COME_BACK.min(self.set.max_retry_after);
            let retry_after = if self.set.retry_after { advice } else { 0.0 };
            Action::Refuse { request: id, retry_after }
        } else {
            Action::Fail(id)
        });
        self.close(id);
    }

    /// Whether the rule on effects lets another attempt go to `cache`.
    fn may_repeat(&self, open: &Open, cache: CacheId) -> bool {
        if open.out > 0 && !self.set.parallel_attempts {
            return false;
        }
        let effect = self.class(open.request.class).effect;
        if effect == Effect::Safe {
            return true;
        }
        if open.out > 0 {
            return false;
        }
        let Some((sent, first)) = open.may_have_run else { return true };
        let Effect::Keyed { group, window } = effect else { return false };
        let (Some(a), Some(b)) = (self.servers.get(&first), self.servers.get(&cache)) else { return false };
        let alike = match group {
            Group::All => true,
            Group::Zone => a.member.zone == b.member.zone,
            Group::Cell => a.member.zone == b.member.zone && a.member.cell == b.member.cell,
        };
        // A tick of slack: the attempt may take that long to be counted as sent.
        alike && self.now + 2.0 * self.set.tick < sent + window
    }

    /// Sends the request on its way, lets it wait for a moment, or gives it up.
    fn place(&mut self, id: RequestId) {
        let Some(open) = self.open.get(&id) else { return };
        if open.started || open.out > 0 {
            return;
        }
        let (request, deadline, sent) = (open.request, open.deadline, open.sent);
        let left = deadline - self.now - 2.0 * self.set.tick;
        let most = self.set.max_attempts.max(1);
        let class = self.class(request.class);
        let write = class.write || request.write;
        let too_late = sent > 0 && left < self.work(&request);
        if left <= 0.0 || sent >= most || too_late || open.lacking {
            return self.give_up(id);
        }
        if sent > 0 && !write {
            // Guards against retry storms, whatever fails: tries beyond the budget only add to the load.
            if self.retries < 1.0 {
                return self.give_up(id);
            }
            self.retries -= 1.0;
        }
        let route = if write { self.write_route(open) } else { self.read_route(open) };
        let Some(route) = route else {
            let pause = RETRY_PAUSE * f64::from(1 + sent) * (0.5 + self.draw());
            if !write || sent == 0 || pause >= left {
                return self.give_up(id);
            }
            // A write has no other place to go: the same one after a moment.
            self.token = self.token.wrapping_add(1).max(1);
            self.waiting.insert(self.token, id);
            self.out.push(Action::Timer { at: self.now + pause, token: self.token });
            if let Some(open) = self.open.get_mut(&id) {
                open.avoid.clear();
            }
            return;
        };
        if !self.may_repeat(&self.open[&id], route.cache) {
            return self.give_up(id);
        }
        let patience = match class.effect {
            Effect::Unsafe => left,
            _ if sent + 1 >= most => left,
            Effect::Keyed { .. } => left * FIRST_PART,
            Effect::Safe => {
                let work = self.work(&request);
                left.min((class.aim + (class.aim_stretch + 1.0) * work).max(left * FIRST_PART))
            }
        };
        self.send(id, route, patience);
    }

    fn send(&mut self, id: RequestId, route: Route, timeout: Ms) {
        let Some(open) = self.open.get(&id) else { return };
        let request = open.request;
        let class = self.class(request.class);
        let (item, work) = (self.item(&request), self.work(&request));
        let mean = self.mean_work(request.class);
        let known = self.servers.get(&route.cache).is_some_and(|s| s.filter.contains(item));
        let source = route.fill.map(|fill| fill.source).filter(|&source| source != route.cache);
        let attempt = Attempt {
            cache: route.cache,
            source,
            sent: self.now,
            work,
            aim: class.aim + class.aim_stretch * work - (self.now + request.budget - open.deadline).max(0.0),
            sibling: source.and_then(|id| self.servers.get(&id)).is_some_and(|s| !self.above(&s.member)),
            keeps: route.fill.is_some_and(|fill| fill.rank > 0),
            fills: !known,
            item,
            called_off: false,
        };
        self.charge(route.cache, mean);
        if let Some(source) = source {
            self.charge(source, if known { mean * COLD_HIT } else { mean.max(work) });
        }
        for server in [Some(route.cache), source].into_iter().flatten() {
            if let Some(Health::Trial { out, .. }) = self.servers.get_mut(&server).map(|s| &mut s.health) {
                *out = true;
            }
        }
        if let Some(server) = self.servers.get_mut(&route.cache) {
            server.in_flight += 1;
        }
        let Some(open) = self.open.get_mut(&id) else { return };
        self.attempts.insert(AttemptId { request: id, number: open.sent as u8 }, attempt);
        open.sent += 1;
        open.out += 1;
        self.out.push(match route.fill {
            None => Action::Ask { request: id, cache: route.cache, timeout },
            Some(fill) => Action::Fetch { request: id, cache: route.cache, timeout, fill },
        });
    }

    // ---- Routes.

    /// Writes run at the origin. They go straight there, or with it as source where that is not allowed.
    fn write_route(&self, open: &Open) -> Option<Route> {
        let origin = self.origin().filter(|id| !open.avoid.contains(id))?;
        if self.set.direct {
            return Some(Route { cache: origin, fill: None });
        }
        let order = self.ring.successors(mix(open.request.object.0, SALT_OWNER));
        let work = self.mean_work(open.request.class);
        let cache = order.into_iter().find(|&id| !open.avoid.contains(&id) && self.usable(id, work))?;
        Some(Route { cache, fill: Some(self.fill(&open.request, origin, 0, false)) })
    }

    fn read_route(&self, open: &Open) -> Option<Route> {
        let request = &open.request;
        let work = self.mean_work(request.class);
        let troubled = self.origin_share < ORIGIN_SOUND;
        let stale = open.sent > 0 || troubled;
        let order = self.ring.successors(mix(request.object.0, SALT_OWNER));
        let sound = |id: &CacheId| !open.avoid.contains(id) && self.usable(*id, work);
        let usable: Vec<CacheId> = order.iter().copied().filter(sound).collect();
        // A cold cache owns as much of its arc as it can bear; the next on the ring stands in for it.
        let ramped: Vec<CacheId> = usable.iter().copied().filter(|&id| self.ramped(id, request)).collect();
        let holders = if ramped.is_empty() { &usable } else { &ramped };
        let Some(source) = self.fill_source(open) else {
            // Nothing to fill from: only what is held can be had.
            let cache = *holders.first()?;
            return Some(Route { cache, fill: Some(self.fill(request, cache, 0, stale)) });
        };
        let several = self.holders(request).clamp(1, holders.len().max(1));
        let owner = holders.iter().take(several).copied().reduce(|a, b| match self.load(b) < self.load(a) {
            true => b,
            false => a,
        });
        let Some(owner) = owner else {
            // No cache is left in the location: past them, straight to the source.
            if !self.set.direct || open.avoid.contains(&source) || order.iter().any(|&id| self.ready(id)) {
                return None;
            }
            let fill = self.fill(request, source, 0, stale);
            return Some(Route { cache: source, fill: Some(fill) });
        };
        if !open.owner_only && several == 1 && self.set.siblings != Siblings::Off {
            if let Some(cache) = self.far_less_busy(owner, holders) {
                if self.servers[&owner].filter.contains(self.item(request)) {
                    let fill = Fill { only_held: true, ..self.fill(request, owner, 0, stale) };
                    return Some(Route { cache, fill: Some(fill) });
                }
            }
        }
        // The origin is the one thing that all share: a miss beyond what it answers in time asks the
        // parent only for what that holds, and is refused at once if that is nothing.
        let only_held =
            open.draw >= self.origin_share && !self.servers[&owner].filter.contains(self.item(request));
        let from_origin = Some(source) == self.origin();
        let source = if only_held && from_origin { owner } else { source };
        let fill = self.fill(request, source, 1, stale);
        Some(Route { cache: owner, fill: Some(Fill { only_held, renew: fill.renew && !troubled, ..fill }) })
    }

    fn fill(&self, request: &Request, source: CacheId, rank: u8, stale: bool) -> Fill {
        Fill {
            source,
            rank,
            max_age: self.max_age(request, stale),
            join: self.set.joins,
            only_held: false,
            renew: rank > 0 && self.class(request.class).fresh > 0.0,
        }
    }

    /// The first parent in the object's order over all listed ones that is up; the origin without any.
    fn fill_source(&self, open: &Open) -> Option<CacheId> {
        let object = open.request.object.0;
        let listed = self.servers.values().filter(|s| self.is_parent(&s.member));
        let mut order: Vec<CacheId> = listed.map(|s| s.member.id).collect();
        order.sort_by_key(|id| mix(object, id.0 ^ SALT_PARENT));
        let work = self.mean_work(open.request.class);
        let sound = |id: &&CacheId| {
            !open.avoid.contains(id) && self.usable(**id, work) && self.ramped(**id, &open.request)
        };
        order.iter().find(sound).copied().or_else(|| self.origin())
    }

    /// How many caches hold the object. One, but for an object that draws so much of the work that its
    /// owner's link would be drained: then as many as share it out (the paper's several holders).
    fn holders(&self, request: &Request) -> usize {
        let mean = self.mean_work(request.class);
        if self.heat_sum < HOT_SEEN * mean {
            return 1;
        }
        let heat = self.heat.get(&request.object).copied().unwrap_or(0.0);
        let caches = self.servers.values().filter(|s| s.member.zone == self.set.zone).count() as f64;
        1 + (heat / self.heat_sum * caches / HOT_SHARE) as usize
    }

    /// This router's requests in flight at a cache, for its size.
    fn load(&self, id: CacheId) -> f64 {
        let Some(server) = self.servers.get(&id) else { return 0.0 };
        f64::from(server.in_flight) / server.member.weight.max(0.01)
    }

    /// The least busy cache, where the owner has far more of this router's requests in flight.
    fn far_less_busy(&self, owner: CacheId, caches: &[CacheId]) -> Option<CacheId> {
        let others: Vec<CacheId> = caches.iter().copied().filter(|&id| id != owner).collect();
        let least = others.iter().copied().reduce(|a, b| if self.load(b) < self.load(a) { b } else { a })?;
        let mean = others.iter().map(|&id| self.load(id)).sum::<f64>() / others.len() as f64;
        let even = mean * BUSY_RATIO * self.servers[&owner].member.weight;
        let mine = f64::from(self.servers[&owner].in_flight);
        (mine > even && mine > even / BUSY_RATIO + BUSY_MORE).then_some(least)
    }

    // ---- Cold servers: all routers together ask less of them than they can do.

    /// The part of its capacity that a server that has just started has by now at least.
    fn cold_share(&self, server: &Server) -> Option<f64> {
        let cold = if self.is_parent(&server.member) { self.set.parent_cold } else { self.set.cache_cold };
        let age = self.now - server.member.since;
        let started = server.member.since > 0.0 && cold.warm_in > 0.0 && age < cold.warm_in;
        started.then(|| cold.from + (1.0 - cold.from) * (age / cold.warm_in).max(0.0))
    }

    /// Work a millisecond that this router may ask of a cold server: the others may ask as much.
    fn cold_rate(&self, server: &Server, share: f64) -> f64 {
        let here = self.set.routers_by_zone.get(usize::from(server.member.zone)).copied().unwrap_or(0);
        let routers = if self.above(&server.member) || here == 0 { self.set.routers } else { here };
        COLD_LOAD * share * server.member.weight / f64::from(routers.max(1))
    }

    /// What may still be asked of a server; `None` where there is no limit.
    fn allowance(&self, server: &Server) -> Option<f64> {
        if self.is_origin(&server.member) {
            return None;
        }
        let rate = self.cold_rate(server, self.cold_share(server)?);
        let cold = if self.is_parent(&server.member) { self.set.parent_cold } else { self.set.cache_cold };
        let most = rate * cold.window * COLD_BURST;
        Some((server.allowance + rate * (self.now - server.allowed_at)).min(most))
    }

    fn charge(&mut self, id: CacheId, work: Ms) {
        let Some(left) = self.servers.get(&id).and_then(|server| self.allowance(server)) else { return };
        if let Some(server) = self.servers.get_mut(&id) {
            (server.allowance, server.allowed_at) = (left - work, self.now);
        }
    }

    /// Whether the object is among those that a cold server takes by now; all routers find the same.
    fn ramped(&self, id: CacheId, request: &Request) -> bool {
        let share = self.servers.get(&id).and_then(|server| self.cold_share(server));
        share.is_none_or(|share| fraction(mix(request.object.0, id.0 ^ SALT_RAMP)) < share)
    }

    /// Whether a server may be sent something now, or be named as a source.
    fn usable(&self, id: CacheId, _work: Ms) -> bool {
        let Some(server) = self.servers.get(&id) else { return false };
        let sound = match server.health {
            Health::Up => true,
            Health::Out { until, .. } => self.now >= until,
            Health::Trial { out, .. } => !out,
        };
        self.ready(id) && sound && self.allowance(server).is_none_or(|left| left >= 0.0)
    }

    // ---- Outcomes and health.

    fn on_outcome(&mut self, outcome: &Outcome) {
        let Some(attempt) = self.attempts.remove(&outcome.attempt) else { return };
        if let Some(server) = self.servers.get_mut(&attempt.cache) {
            server.in_flight = server.in_flight.saturating_sub(1);
            if !matches!(outcome.status, Status::Timeout | Status::Cancelled | Status::Moot) {
                server.hear(self.now);
            }
            if !attempt.fills && matches!(outcome.status, Status::Ok | Status::Full) {
                let full = f64::from(u8::from(outcome.status == Status::Full));
                server.full += (full - server.full) * BAD_WEIGHT;
            }
        }
        self.judge_outcome(&attempt, outcome);
        let id = outcome.attempt.request;
        let size_told = self.open.get(&id).is_some_and(|open| open.request.size_kb > 0.0);
        if let Some(class) = self.open.get(&id).map(|open| open.request.class).filter(|_| !size_told) {
            if outcome.status == Status::Ok {
                self.learn_work(class, outcome.took);
            }
        }
        let Some(open) = self.open.get_mut(&id) else { return };
        open.out = open.out.saturating_sub(1);
        if outcome.settled {
            return self.close(id);
        }
        if !outcome.status.never_ran() && open.may_have_run.is_none() {
            open.may_have_run = Some((attempt.sent, attempt.cache));
        }
        if outcome.status == Status::Moot {
            return self.give_up(id);
        }
        self.place(id);
    }

    /// Learns from an outcome who did well and who did not.
    fn judge_outcome(&mut self, attempt: &Attempt, outcome: &Outcome) {
        use {Note::*, Status::*};
        let id = outcome.attempt.request;
        let told = self.set.tells;
        let asked = self.servers.get(&attempt.cache);
        let heard = asked.is_some_and(|s| s.heard > attempt.sent);
        let full = asked.is_some_and(|s| s.full > FULL_SHARE);
        self.judge_origin(attempt, outcome);
        let (cache, source) = match (outcome.status, outcome.note) {
            (Ok, note) => {
                if attempt.keeps || note == Some(Hit) {
                    if let Some(server) = self.servers.get_mut(&attempt.cache) {
                        server.filter.insert(attempt.item);
                    }
                }
                let filled = match told {
                    Tells::Nothing => attempt.fills,
                    _ => matches!(note, Some(Filled | FilledByOrigin | Joined)),
                };
                (Some(true), filled.then_some(true))
            }
            (_, Some(SourceRefused | SourceUnreached)) => (None, Some(false)),
            (_, Some(OriginFailed | NoPlace)) => (None, None),
            // Where it is not told who turned it away: the cache, if it does so with what it holds too.
            (Full, _) if told != Tells::All && attempt.fills && !full => (None, Some(false)),
            // Turned away as full is a matter of load, not of health: taking the cache out would only
            // push its load onto the next.
            (Full, _) => (None, None),
            (Error | ConnectFailed | Reset, _) => (Some(false), None),
            (Timeout, _) if attempt.fills => (None, None),
            (Timeout, _) => (Some(heard), None),
            (Miss, _) => {
                if let Some(open) = self.open.get_mut(&id) {
                    open.lacking = !attempt.sibling;
                    open.owner_only = true;
                }
                (None, None)
            }
            (Cancelled | Moot, _) => (None, None),
        };
        let parent = attempt
            .source
            .filter(|id| self.servers.get(id).is_some_and(|server| self.is_parent(&server.member)));
        let to_avoid = match outcome.status {
            Ok | Miss | Moot => None,
            _ if source == Some(false) && parent.is_some() => parent,
            Cancelled if attempt.fills && self.is_up(attempt.cache) => parent,
            _ => Some(attempt.cache),
        };
        if let Some(open) = self.open.get_mut(&id) {
            open.avoid.extend(to_avoid);
        }
        self.judge(attempt.cache, cache);
        if let Some(parent) = parent {
            self.judge(parent, source);
        }
    }

    /// Learns whether the origin still answers in time what the parents lack.
    ///
    /// Meets a slow, crowded or stopped origin, purges and losses that send everybody there at once, and
    /// links that can't carry the fills. Might hurt by refusing misses that would have been just in time.
    fn judge_origin(&mut self, attempt: &Attempt, outcome: &Outcome) {
        let in_time = outcome.took <= attempt.aim;
        let reached = match self.set.tells {
            Tells::Nothing => attempt.fills && attempt.source.is_some(),
            _ => matches!(outcome.note, Some(Note::FilledByOrigin)),
        };
        let lost = matches!(outcome.status, Status::Timeout | Status::Cancelled) && attempt.fills;
        if outcome.note == Some(Note::OriginFailed) || lost || (reached && !in_time) {
            if self.now - self.origin_cut >= ORIGIN_CUT_EVERY {
                self.origin_cut = self.now;
                self.origin_share = (self.origin_share * ORIGIN_CUT).max(ORIGIN_LEAST);
            }
        } else if reached && outcome.status == Status::Ok {
            self.origin_share = (self.origin_share + ORIGIN_MORE).min(1.0);
        }
    }

    fn is_up(&self, id: CacheId) -> bool {
        self.servers.get(&id).is_some_and(|server| server.health == Health::Up)
    }

    /// Counts one good or bad answer of a server; `None` tells nothing of it.
    fn judge(&mut self, id: CacheId, good: Option<bool>) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&id) else { return };
        if let Some(good) = good {
            server.bad += (f64::from(u8::from(!good)) - server.bad) * BAD_WEIGHT;
            if good && server.heard < now {
                server.hear(now);
            }
        }
        server.health = match (server.health, good) {
            (Health::Up, Some(false)) if server.bad > BAD_SHARE => {
                Health::Out { until: now + OUT_FIRST, span: OUT_FIRST }
            }
            (Health::Trial { good, span, .. }, Some(true)) if good + 1 < TRIALS => {
                Health::Trial { good: good + 1, out: false, span }
            }
            (Health::Trial { .. }, Some(true)) => {
                server.bad = 0.0;
                Health::Up
            }
            (Health::Trial { span, .. }, Some(false)) => {
                let span = (span * 2.0).min(OUT_LONGEST);
                Health::Out { until: now + span, span }
            }
            (Health::Trial { good, span, .. }, None) => Health::Trial { good, out: false, span },
            (health, _) => health,
        };
    }

    // ---- Looking round: silence, the way back, and forgetting.

    fn look_round(&mut self) {
        self.out.push(Action::Timer { at: self.now + LOOK_EVERY, token: LOOK });
        let now = self.now;
        for server in self.servers.values_mut() {
            if let Health::Out { until, span } = server.health {
                if now >= until {
                    server.health = Health::Trial { good: 0, out: false, span };
                }
            }
        }
        self.find_silent();
        self.origin_share = (self.origin_share + ORIGIN_MORE / 2.0).min(1.0);
        if now >= self.next_fade {
            self.next_fade = now + 1000.0;
            self.heat_sum *= HOT_KEPT;
            let least = self.heat_sum * 1e-4;
            self.heat.retain(|_, heat| {
                *heat *= HOT_KEPT;
                *heat > least
            });
        }
        if now >= self.next_rotation {
            self.next_rotation = now + FILTER_ROTATION;
            self.servers.values_mut().for_each(|server| server.filter.rotate());
            // Kept for as long as a filter may hold what was there before the purge.
            let oldest = now - self.set.purge_done.max(2.0 * FILTER_ROTATION) - FILTER_ROTATION;
            self.purged_objects.retain(|_, at| *at > oldest);
            self.purged_groups.retain(|_, at| *at > oldest);
        }
    }

    /// Takes out servers that have gone silent, and calls off what waits for them, to be tried elsewhere.
    ///
    /// Meets hung and vanished servers, long pauses and links cut off alike. Might hurt a server that is
    /// merely slow all over; its way back is short.
    fn find_silent(&mut self) {
        let now = self.now;
        let mut overdue: BTreeMap<CacheId, usize> = BTreeMap::new();
        let late = |a: &Attempt| now - a.sent > OVERDUE + OVERDUE_PACE * a.work;
        for attempt in self.attempts.values().filter(|a| late(a)) {
            *overdue.entry(attempt.cache).or_default() += 1;
            if let Some(source) = attempt.source.filter(|_| attempt.fills) {
                *overdue.entry(source).or_default() += 1;
            }
        }
        let mut silent = Vec::new();
        for (id, count) in overdue {
            let Some(server) = self.servers.get_mut(&id) else { continue };
            let span = match server.health {
                Health::Up if count >= SILENT_OVERDUE => OUT_FIRST,
                Health::Trial { span, .. } => (span * 2.0).min(OUT_LONGEST),
                _ => continue,
            };
            let origin = Some(server.member.kind) == self.set.origin_kind;
            if now - server.heard > SILENT.max(server.gap * SILENT_GAPS) && !origin {
                server.health = Health::Out { until: now + span, span };
                silent.push(id);
            }
        }
        if silent.is_empty() || !self.set.may_cancel {
            return;
        }
        let safe = |id: &AttemptId| {
            self.open
                .get(&id.request)
                .is_some_and(|open| !open.started && self.class(open.request.class).effect == Effect::Safe)
        };
        let waits = |a: &Attempt| {
            silent.contains(&a.cache) || (a.fills && a.source.is_some_and(|source| silent.contains(&source)))
        };
        let stuck: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(id, a)| waits(a) && late(a) && safe(id))
            .map(|(id, _)| *id)
            .collect();
        self.call_off(|id, _| stuck.contains(id));
    }
}
