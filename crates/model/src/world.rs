//! Owns a fleet in virtual time: routers that are the shipped decision module (or a plain one, to compare with), and
//! around them caches, parents, the origin, the links between them and the clients, all modelled.
//!
//! One seed, one run: events of one time come in the order in which they were added, chance is one generator, and
//! nothing depends on the order of a hash map. Must never decide anything that a router decides.

use std::collections::BTreeMap;

use linnethook::interface::{
    Action, AttemptId, CacheId, Class, ColdStart, Effect, Event as Told, Fill, ListKind, Load, Member, Note,
    ObjectId, Outcome, Phase, Request, RequestId, Settings, Siblings, Status, Tells,
};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;

use crate::copies::Copies;
use crate::demand::{Crowd, Demand, DemandRule, Unusable};
use crate::fair::Fair;
use crate::plain::{Decides, Way};
use crate::queue::Queue;
use crate::Micros;

/// A fleet and its load.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    pub seed: u64,
    /// How routers decide.
    pub way: Way,
    pub locations: usize,
    /// Routers and caches of each location, and parents that all share.
    pub routers: usize,
    pub caches: usize,
    pub parents: usize,
    /// Copies that a cache and a parent keep, and requests that each takes at a time.
    pub cache_copies: usize,
    pub parent_copies: usize,
    pub slots: usize,
    /// Bytes a second: what one transfer may have, a cache's link to its clients, a location's link for fills, and the
    /// origin's.
    pub flow: f64,
    pub cache_link: f64,
    pub location_link: f64,
    pub origin_link: f64,
    /// One way between neighbours, and between a location and the hub, in milliseconds.
    pub near: f64,
    pub far: f64,
    /// How long the origin takes for one, and how many it has in hand before that grows.
    pub origin_takes: f64,
    pub origin_easy: usize,
    /// Requests a second in all, for how many seconds.
    pub rate: f64,
    pub seconds: f64,
    /// How long clients wait, within what they want their answer, and how often they come again when refused.
    pub wait: f64,
    pub aim: f64,
    pub again: u32,
    pub demand: DemandRule,
    pub crowds: Vec<Crowd>,
    pub faults: Vec<(f64, Fault)>,
    /// How late routers hear of a change of the list, in milliseconds.
    pub list_late: f64,
    /// Requests a second that a cache and a parent can do once they are warm; with a cold start they begin with a quarter
    /// and a tenth of it, and fall over beyond three times what they can do then. 0 = they never do.
    pub cache_able: f64,
    pub parent_able: f64,
    /// How long one that has fallen over is away, in seconds.
    pub away: f64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seed: 1,
            way: Way::Shipped,
            locations: 2,
            routers: 2,
            caches: 4,
            parents: 2,
            cache_copies: 1_500,
            parent_copies: 8_000,
            slots: 200,
            flow: 2e6,
            cache_link: 2e7,
            location_link: 2e7,
            origin_link: 4e7,
            near: 1.0,
            far: 15.0,
            origin_takes: 20.0,
            origin_easy: 64,
            rate: 200.0,
            seconds: 30.0,
            wait: 3_000.0,
            aim: 500.0,
            again: 2,
            demand: DemandRule { objects: 20_000, ..DemandRule::default() },
            crowds: Vec::new(),
            faults: Vec::new(),
            list_late: 300.0,
            cache_able: 0.0,
            parent_able: 0.0,
            away: 5.0,
        }
    }
}

/// What befalls the fleet. Servers are numbered: caches by location, then parents, then the origin.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// It dies: connections are reset, what it held is lost; the list tells of it late.
    Die(usize),
    /// It starts again, cold and empty.
    Start(usize),
    /// It says nothing any more, or again.
    Silent(usize, bool),
    /// It takes so many times as long.
    Slow(usize, f64),
    /// It takes no new work by the list.
    Drain(usize),
}

/// How requests ended, by the second in which they were asked, and what reached the origin, by second.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Seen {
    pub asked: Vec<u32>,
    pub in_time: Vec<u32>,
    pub late: Vec<u32>,
    pub refused: Vec<u32>,
    pub failed: Vec<u32>,
    pub origin: Vec<u32>,
    pub hits: u64,
    pub fills: u64,
    pub events: u64,
    /// Servers that fell over.
    pub fell: u64,
    /// Milliseconds that served requests took.
    pub took: Vec<f32>,
}

impl Seen {
    fn count(list: &mut Vec<u32>, second: usize) {
        if list.len() <= second {
            list.resize(second + 1, 0);
        }
        list[second] += 1;
    }

    /// The part of the requests that was served in time.
    pub fn share(&self) -> f64 {
        let sum = |list: &[u32]| list.iter().map(|n| f64::from(*n)).sum::<f64>();
        sum(&self.in_time) / sum(&self.asked).max(1.0)
    }
}

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
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Stage {
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
    fill: Option<Fill>,
    stage: Stage,
    sent: Micros,
    waited: Micros,
    note: Option<Note>,
    status: Status,
}

#[derive(Debug, Clone)]
struct Client {
    router: usize,
    object: u64,
    size: f64,
    /// When it was first asked, and this time.
    first: Micros,
    since: Micros,
    tries: u32,
    attempts: u8,
}

struct Server {
    member: Member,
    up: bool,
    silent: bool,
    slow: f64,
    copies: Copies,
    in_hand: usize,
    /// The link to its clients; for parents and the origin the one to the locations.
    link: usize,
    /// When requests came in lately, while it warms.
    came: std::collections::VecDeque<Micros>,
    /// Fills under way by object, and who waits for them.
    filling: BTreeMap<u64, Vec<Number>>,
}

struct Wire {
    fair: Fair,
    version: u64,
}

/// One run.
pub struct World {
    plan: Plan,
    chance: Pcg64Mcg,
    demand: Demand,
    queue: Queue<Event>,
    brains: Vec<Decides>,
    servers: Vec<Server>,
    places: BTreeMap<CacheId, usize>,
    /// Requests that the origin has in hand.
    at_origin: usize,
    wires: Vec<Wire>,
    clients: BTreeMap<Number, Client>,
    attempts: BTreeMap<Number, Attempt>,
    by_id: BTreeMap<(Number, u8), Number>,
    last: Number,
    seen: Seen,
}

/// How caches and parents start.
const COLD: [ColdStart; 2] = [
    ColdStart { from: 0.25, warm_in: 15_000.0, fall_multiple: 3.0, window: 3_000.0 },
    ColdStart { from: 0.1, warm_in: 20_000.0, fall_multiple: 2.0, window: 3_000.0 },
];

fn micros(ms: f64) -> Micros {
    (ms.max(0.0) * 1_000.0) as Micros
}

fn ms(at: Micros) -> f64 {
    at as f64 / 1_000.0
}

impl World {
    pub fn new(plan: Plan) -> Result<Self, Unusable> {
        let demand = Demand::new(plan.demand, plan.crowds.clone())?;
        let mut world = Self {
            chance: Pcg64Mcg::seed_from_u64(plan.seed),
            demand,
            queue: Queue::default(),
            brains: Vec::new(),
            servers: Vec::new(),
            places: BTreeMap::new(),
            at_origin: 0,
            wires: Vec::new(),
            clients: BTreeMap::new(),
            attempts: BTreeMap::new(),
            by_id: BTreeMap::new(),
            last: 0,
            seen: Seen::default(),
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
        let kinds = (0..plan.locations * plan.caches).map(|n| (0u16, (n / plan.caches.max(1)) as u16));
        let kinds = kinds.chain((0..plan.parents).map(|_| (1, hub))).chain(std::iter::once((2, hub)));
        for (n, (kind, zone)) in kinds.enumerate() {
            let id = CacheId(linnethook::ring::mix(n as u64, 0x6d6f_6465));
            let member = Member { id, cell: 0, zone, kind, weight: 8.0, since: 0.0, phase: Phase::Ready };
            let link = if kind == 0 { self.wire(plan.cache_link, plan.flow) } else { origin_link };
            let room = [plan.cache_copies, plan.parent_copies, 0][usize::from(kind)];
            self.places.insert(id, n);
            self.servers.push(Server {
                member,
                up: true,
                silent: false,
                slow: 1.0,
                copies: Copies::new(room),
                in_hand: 0,
                came: Default::default(),
                link,
                filling: BTreeMap::new(),
            });
        }
        let members: Vec<Member> = self.servers.iter().map(|server| server.member).collect();
        for n in 0..plan.locations * plan.routers {
            let settings = self.settings((n / plan.routers.max(1)) as u16);
            let mut brain = Decides::new(plan.way, settings, plan.seed ^ n as u64);
            let list = Told::List { kind: ListKind::Complete, members: members.clone() };
            let actions = brain.handle(0.0, &list);
            self.brains.push(brain);
            self.carry_out(n, actions);
        }
        for n in 0..plan.faults.len() {
            self.queue.add(micros(plan.faults[n].0 * 1_000.0), Event::Fault(n));
        }
        self.queue.add(0, Event::Arrive);
    }

    fn settings(&self, zone: u16) -> Settings {
        let plan = &self.plan;
        let class = Class {
            effect: Effect::Safe,
            aim: plan.aim,
            deadline: plan.wait,
            worth: 1.0,
            late_worth: 0.2,
            aim_stretch: 1.0,
            ..Class::default()
        };
        Settings {
            routers: (plan.locations * plan.routers) as u32,
            routers_by_zone: vec![plan.routers as u32; plan.locations],
            zone,
            classes: vec![class],
            tick: 100.0,
            max_attempts: 4,
            may_cancel: true,
            retry_after: true,
            max_retry_after: 1_000.0,
            drain_grace: 250.0,
            cache_cold: COLD[0],
            parent_cold: COLD[1],
            parent_kind: Some(1),
            origin_kind: Some(2),
            flow_kb_per_s: plan.flow / 1_000.0,
            link_kb_per_s: plan.location_link / 1_000.0,
            siblings: Siblings::Location,
            joins: true,
            direct: true,
            tells: Tells::All,
            purge_grace: 1_000.0,
            purge_done: 6_000.0,
            ..Settings::default()
        }
    }

    /// Plays it to its end.
    pub fn run(mut self) -> Seen {
        let end = micros(self.plan.seconds * 1_000.0 + self.plan.wait + 1_000.0);
        while let Some((now, event)) = self.queue.take() {
            if now > end {
                break;
            }
            self.seen.events += 1;
            match event {
                Event::Arrive => self.arrive(now),
                Event::Ask(number) => self.ask(now, number),
                Event::Timer(router, token) => self.tell(now, router, &Told::Timer(token)),
                Event::Step(number) => self.step(now, number),
                Event::Expire(number) => self.end(now, number, Status::Timeout),
                Event::Link(wire, version) => self.moved(now, wire, version),
                Event::Tell(number) => self.outcome(now, number),
                Event::Fault(n) => self.strike(now, self.plan.faults[n].1),
                Event::Back(server) => self.strike(now, Fault::Start(server)),
                Event::List(server) => self.list(now, server),
            }
        }
        self.seen
    }

    fn tell(&mut self, now: Micros, router: usize, event: &Told) {
        let actions = self.brains[router].handle(ms(now), event);
        self.carry_out(router, actions);
    }

    fn carry_out(&mut self, router: usize, actions: Vec<Action>) {
        let now = self.queue.now();
        for action in actions {
            match action {
                Action::Timer { at, token } => self.queue.add(micros(at), Event::Timer(router, token)),
                Action::Ask { request, cache, timeout } => self.send(now, request, cache, timeout, None),
                Action::Fetch { request, cache, timeout, fill } => {
                    self.send(now, request, cache, timeout, Some(fill));
                }
                Action::Cancel(AttemptId { request, number }) => {
                    if let Some(&number) = self.by_id.get(&(request.0, number)) {
                        self.end(now, number, Status::Cancelled);
                    }
                }
                Action::Refuse { request, retry_after } => self.refused(now, request.0, retry_after),
                Action::Fail(request) => self.finish(now, request.0, End::Failed),
                Action::Probe(_) | Action::Watch | Action::Log(_) => {}
            }
        }
    }

    // ---- Clients.

    fn arrive(&mut self, now: Micros) {
        if now >= micros(self.plan.seconds * 1_000.0) {
            return;
        }
        if let Ok(gap) = Exp::new(self.plan.rate.max(1e-9) / 1e6) {
            let gap = gap.sample(&mut self.chance).max(1.0);
            self.queue.add(now + gap as Micros, Event::Arrive);
        }
        let router = self.chance.random_range(0..self.brains.len());
        let object = self.demand.object(now, &mut self.chance);
        let size = self.demand.size::<Pcg64Mcg>(object);
        self.last += 1;
        let client = Client { router, object, size, first: now, since: now, tries: 0, attempts: 0 };
        self.clients.insert(self.last, client);
        Seen::count(&mut self.seen.asked, (now / 1_000_000) as usize);
        self.ask(now, self.last);
    }

    fn ask(&mut self, now: Micros, number: Number) {
        let Some(client) = self.clients.get_mut(&number) else { return };
        client.since = now;
        let request = Request {
            id: RequestId(number),
            object: ObjectId(linnethook::ring::mix(client.object, 1)),
            part: 0,
            group: 0,
            class: 0,
            size_kb: client.size / 1_000.0,
            repeat: client.tries > 0,
            write: false,
            budget: self.plan.wait,
        };
        let router = client.router;
        self.tell(now, router, &Told::Request(request));
    }

    fn refused(&mut self, now: Micros, number: Number, wait: f64) {
        let again = self.plan.again;
        let Some(client) = self.clients.get_mut(&number) else { return };
        if client.tries >= again {
            return self.finish(now, number, End::Refused);
        }
        // It comes again under a new name, as clients do.
        let mut client = client.clone();
        self.clients.remove(&number);
        (client.tries, client.attempts) = (client.tries + 1, 0);
        self.last += 1;
        self.clients.insert(self.last, client);
        let pause = wait.max(50.0) * self.chance.random_range(1.0..1.5);
        self.queue.add(now + micros(pause), Event::Ask(self.last));
    }

    fn finish(&mut self, now: Micros, number: Number, end: End) {
        let Some(client) = self.clients.remove(&number) else { return };
        let second = (client.first / 1_000_000) as usize;
        let took = ms(now - client.first);
        let sending = client.size / self.plan.flow * 1_000.0;
        let list = match end {
            End::Served if took <= self.plan.aim + sending => &mut self.seen.in_time,
            End::Served => &mut self.seen.late,
            End::Refused => &mut self.seen.refused,
            End::Failed => &mut self.seen.failed,
        };
        Seen::count(list, second);
        if end == End::Served {
            self.seen.took.push(took as f32);
        }
    }

    // ---- Attempts.

    fn server(&self, id: CacheId) -> Option<usize> {
        self.places.get(&id).copied()
    }

    fn send(&mut self, now: Micros, request: RequestId, cache: CacheId, timeout: f64, fill: Option<Fill>) {
        let Some(server) = self.server(cache) else { return };
        let Some(client) = self.clients.get_mut(&request.0) else { return };
        let number = client.attempts;
        client.attempts += 1;
        let left = self.plan.wait - ms(now - client.since);
        let timeout = if timeout > 0.0 { timeout.min(left) } else { left };
        self.last += 1;
        let attempt = Attempt {
            router: client.router,
            request: request.0,
            number,
            server,
            fill,
            stage: Stage::ToCache,
            sent: now,
            waited: 0,
            note: None,
            status: Status::Moot,
        };
        self.attempts.insert(self.last, attempt);
        self.by_id.insert((request.0, number), self.last);
        let way = if self.servers[server].member.kind == 0 { self.plan.near } else { self.plan.far };
        self.queue.add(now + micros(way), Event::Step(self.last));
        self.queue.add(now + micros(timeout), Event::Expire(self.last));
    }

    /// Counts one that comes in at a server that warms; false where it falls over by it.
    fn bears(&mut self, now: Micros, n: usize) -> bool {
        let (able, cold) = match self.servers[n].member.kind {
            0 => (self.plan.cache_able, COLD[0]),
            1 => (self.plan.parent_able, COLD[1]),
            _ => return true,
        };
        let server = &mut self.servers[n];
        let age = ms(now) - server.member.since;
        if able <= 0.0 || server.member.since <= 0.0 || age >= cold.warm_in {
            return true;
        }
        server.came.push_back(now);
        while server.came.front().is_some_and(|at| ms(now - at) > cold.window) {
            server.came.pop_front();
        }
        let part = cold.from + (1.0 - cold.from) * age / cold.warm_in;
        server.came.len() as f64 <= able * part * cold.fall_multiple * cold.window / 1_000.0
    }

    /// An attempt goes on.
    fn step(&mut self, now: Micros, number: Number) {
        let Some(attempt) = self.attempts.get(&number) else { return };
        match attempt.stage {
            Stage::ToCache => self.at_cache(now, number),
            Stage::ToSource => self.at_source(now, number),
            Stage::AtOrigin => {
                self.at_origin = self.at_origin.saturating_sub(1);
                self.fill_moves(now, number, Note::FilledByOrigin);
            }
            Stage::Filling | Stage::Answering | Stage::Joined | Stage::Over => {}
        }
    }

    fn object(&self, attempt: &Attempt) -> u64 {
        self.clients.get(&attempt.request).map_or(0, |client| client.object)
    }

    fn at_cache(&mut self, now: Micros, number: Number) {
        let Some(attempt) = self.attempts.get(&number).cloned() else { return };
        let object = self.object(&attempt);
        let slots = self.plan.slots;
        let server = &mut self.servers[attempt.server];
        if !server.up {
            return self.end(now, number, Status::ConnectFailed);
        }
        if server.silent {
            return;
        }
        if !self.bears(now, attempt.server) {
            self.seen.fell += 1;
            self.strike(now, Fault::Die(attempt.server));
            self.queue.add(now + micros(self.plan.away * 1_000.0), Event::Back(attempt.server));
            return self.end(now, number, Status::Reset);
        }
        let server = &mut self.servers[attempt.server];
        if server.in_hand >= slots {
            return self.end(now, number, Status::Full);
        }
        if server.member.kind == 2 {
            server.in_hand += 1;
            return self.ask_origin(now, number);
        }
        if server.copies.get(object).is_some() {
            server.in_hand += 1;
            self.seen.hits += 1;
            return self.answer(now, number, Note::Hit);
        }
        let source = attempt.fill.map(|fill| fill.source).filter(|source| *source != server.member.id);
        let Some(fill) = attempt.fill.filter(|_| source.is_some()) else {
            return self.end(now, number, Status::Miss);
        };
        server.in_hand += 1;
        if fill.join {
            if let Some(waiting) = server.filling.get_mut(&object) {
                waiting.push(number);
                if let Some(attempt) = self.attempts.get_mut(&number) {
                    attempt.stage = Stage::Joined;
                }
                return;
            }
        }
        server.filling.entry(object).or_default();
        let way = if source
            .and_then(|source| self.server(source))
            .is_some_and(|n| self.servers[n].member.kind == 0)
        {
            self.plan.near
        } else {
            self.plan.far
        };
        if let Some(attempt) = self.attempts.get_mut(&number) {
            attempt.stage = Stage::ToSource;
        }
        self.queue.add(now + micros(way), Event::Step(number));
    }

    fn at_source(&mut self, now: Micros, number: Number) {
        let Some(attempt) = self.attempts.get(&number).cloned() else { return };
        let Some(fill) = attempt.fill else { return };
        let Some(source) = self.server(fill.source) else { return };
        let object = self.object(&attempt);
        let server = &mut self.servers[source];
        let note = |world: &mut Self, note: Note, status: Status| {
            if let Some(attempt) = world.attempts.get_mut(&number) {
                attempt.note = Some(note);
            }
            world.end(now, number, status);
        };
        if !server.up {
            return note(self, Note::SourceUnreached, Status::Error);
        }
        if server.silent {
            return;
        }
        if server.member.kind == 2 {
            return self.ask_origin(now, number);
        }
        if server.copies.get(object).is_some() {
            return self.fill_moves(now, number, Note::Filled);
        }
        if fill.only_held || server.member.kind == 0 {
            return note(self, Note::SourceLacks, Status::Full);
        }
        self.ask_origin(now, number);
    }

    fn ask_origin(&mut self, now: Micros, number: Number) {
        Seen::count(&mut self.seen.origin, (now / 1_000_000) as usize);
        self.seen.fills += 1;
        let easy = self.plan.origin_easy.max(1);
        let Some(origin) = self.servers.last_mut() else { return };
        if !origin.up || origin.silent {
            return;
        }
        self.at_origin += 1;
        let slow = origin.slow * (self.at_origin as f64 / easy as f64).max(1.0);
        let takes = self.plan.origin_takes * slow * self.chance.random_range(0.7..1.3);
        if let Some(attempt) = self.attempts.get_mut(&number) {
            attempt.stage = Stage::AtOrigin;
        }
        self.queue.add(now + micros(takes), Event::Step(number));
    }

    /// The fill moves to its cache, over its location's link.
    fn fill_moves(&mut self, now: Micros, number: Number, note: Note) {
        let Some(attempt) = self.attempts.get_mut(&number) else { return };
        attempt.note = Some(note);
        attempt.stage = Stage::Filling;
        attempt.waited = now - attempt.sent;
        let (server, request, source) =
            (attempt.server, attempt.request, attempt.fill.map(|fill| fill.source));
        let Some((object, size)) = self.clients.get(&request).map(|client| (client.object, client.size))
        else {
            return;
        };
        if let Some(parent) = source.and_then(|source| self.server(source)) {
            if self.servers[parent].member.kind == 1 && note == Note::FilledByOrigin {
                self.servers[parent].copies.keep(object, 1, now);
            }
        }
        if self.servers[server].member.kind == 2 {
            return self.answer(now, number, note);
        }
        let wire = usize::from(self.servers[server].member.zone).min(self.plan.locations);
        self.begin(now, wire, number, size);
    }

    fn answer(&mut self, now: Micros, number: Number, note: Note) {
        let Some(attempt) = self.attempts.get_mut(&number) else { return };
        attempt.note = Some(note);
        attempt.stage = Stage::Answering;
        let (server, request) = (attempt.server, attempt.request);
        let size = self.clients.get(&request).map_or(1.0, |client| client.size);
        let slow = self.servers[server].slow;
        self.begin(now, self.servers[server].link, number, size * slow);
    }

    // ---- Links.

    fn begin(&mut self, now: Micros, wire: usize, number: Number, bytes: f64) {
        self.wires[wire].fair.begin(now, number, bytes);
        self.plan_link(wire);
    }

    fn plan_link(&mut self, wire: usize) {
        let w = &mut self.wires[wire];
        w.version += 1;
        if let Some((at, _)) = w.fair.next() {
            self.queue.add(at, Event::Link(wire, w.version));
        }
    }

    /// The next transfer of a link has ended.
    fn moved(&mut self, now: Micros, wire: usize, version: u64) {
        if self.wires[wire].version != version {
            return;
        }
        let Some((_, number)) = self.wires[wire].fair.next().filter(|(at, _)| *at <= now) else {
            return self.plan_link(wire);
        };
        self.wires[wire].fair.end(now, number);
        self.plan_link(wire);
        let Some(attempt) = self.attempts.get(&number).cloned() else { return };
        match attempt.stage {
            Stage::Filling => {
                let object = self.object(&attempt);
                let rank = attempt.fill.map_or(0, |fill| fill.rank);
                let server = &mut self.servers[attempt.server];
                if rank > 0 {
                    server.copies.keep(object, rank, now);
                }
                let waiting = server.filling.remove(&object).unwrap_or_default();
                let note = attempt.note.unwrap_or(Note::Filled);
                self.answer(now, number, note);
                for other in waiting {
                    self.answer(now, other, Note::Joined);
                }
            }
            Stage::Answering => self.end(now, number, Status::Ok),
            _ => {}
        }
    }

    // ---- Ends.

    /// An attempt is over where it is; its router hears of it after the way back.
    fn end(&mut self, now: Micros, number: Number, status: Status) {
        let Some(attempt) = self.attempts.get_mut(&number) else { return };
        if attempt.stage == Stage::Over {
            return;
        }
        let stage = std::mem::replace(&mut attempt.stage, Stage::Over);
        if stage == Stage::AtOrigin {
            self.at_origin = self.at_origin.saturating_sub(1);
        }
        attempt.status = status;
        let attempt = attempt.clone();
        let object = self.object(&attempt);
        let at = &mut self.servers[attempt.server];
        if stage != Stage::ToCache {
            at.in_hand = at.in_hand.saturating_sub(1);
        }
        let (link, zone) = (at.link, usize::from(at.member.zone).min(self.plan.locations));
        // A fill that ends without its copy ends those that wait for it.
        let filled = matches!(stage, Stage::ToSource | Stage::AtOrigin | Stage::Filling);
        let waiting = if filled { at.filling.remove(&object).unwrap_or_default() } else { Vec::new() };
        match stage {
            Stage::Filling => _ = self.wires[zone].fair.end(now, number),
            Stage::Answering => _ = self.wires[link].fair.end(now, number),
            _ => {}
        }
        match stage {
            Stage::Filling => self.plan_link(zone),
            Stage::Answering => self.plan_link(link),
            _ => {}
        }
        for other in waiting {
            if let Some(other) = self.attempts.get_mut(&other) {
                other.note = Some(Note::NoPlace);
            }
            self.end(now, other, Status::Full);
        }
        // What the router ends itself it knows at once.
        let way = match status {
            Status::Timeout | Status::Cancelled => 0.0,
            _ => self.plan.near,
        };
        self.queue.add(now + micros(way), Event::Tell(number));
    }

    fn outcome(&mut self, now: Micros, number: Number) {
        let Some(attempt) = self.attempts.remove(&number) else { return };
        self.by_id.remove(&(attempt.request, attempt.number));
        if attempt.status == Status::Ok {
            self.finish(now, attempt.request, End::Served);
        }
        let outcome = Outcome {
            attempt: AttemptId { request: RequestId(attempt.request), number: attempt.number },
            cache: self.servers[attempt.server].member.id,
            status: attempt.status,
            settled: !self.clients.contains_key(&attempt.request),
            took: ms(now - attempt.sent),
            waited: ms(attempt.waited),
            note: attempt.note,
            load: Load::default(),
        };
        self.tell(now, attempt.router, &Told::Outcome(outcome));
    }

    // ---- Faults.

    fn strike(&mut self, now: Micros, fault: Fault) {
        match fault {
            Fault::Die(n) => {
                let Some(server) = self.servers.get_mut(n) else { return };
                server.up = false;
                server.copies = Copies::new(match server.member.kind {
                    0 => self.plan.cache_copies,
                    _ => self.plan.parent_copies,
                });
                server.member.phase = Phase::Gone;
                let there = self.attempts.iter().filter(|(_, a)| a.server == n && a.stage != Stage::ToCache);
                let there: Vec<Number> = there.map(|(number, _)| *number).collect();
                there.into_iter().for_each(|number| self.end(now, number, Status::Reset));
                self.queue.add(now + micros(self.plan.list_late), Event::List(n));
            }
            Fault::Start(n) => {
                let Some(server) = self.servers.get_mut(n) else { return };
                (server.up, server.silent, server.in_hand) = (true, false, 0);
                server.came.clear();
                (server.member.phase, server.member.since) = (Phase::Ready, ms(now));
                self.queue.add(now + micros(self.plan.list_late), Event::List(n));
            }
            Fault::Silent(n, silent) => {
                if let Some(server) = self.servers.get_mut(n) {
                    server.silent = silent;
                }
            }
            Fault::Slow(n, times) => {
                if let Some(server) = self.servers.get_mut(n) {
                    server.slow = times.max(0.01);
                }
            }
            Fault::Drain(n) => {
                if let Some(server) = self.servers.get_mut(n) {
                    server.member.phase = Phase::Draining;
                }
                self.queue.add(now + micros(self.plan.list_late), Event::List(n));
            }
        }
    }

    fn list(&mut self, now: Micros, server: usize) {
        let Some(member) = self.servers.get(server).map(|server| server.member) else { return };
        for router in 0..self.brains.len() {
            self.tell(now, router, &Told::List { kind: ListKind::Changes, members: vec![member] });
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum End {
    Served,
    Refused,
    Failed,
}
