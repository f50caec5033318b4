//! A small world for the module's tests: one location of three caches, two parents and an origin.
#![allow(dead_code)]

use linnethook::interface::*;
use linnethook::Brain;

pub const PARENT: u16 = 1;
pub const ORIGIN: u16 = 2;
pub const ZONE: u16 = 3;
pub const HUB: u16 = 0;
pub const CACHES: [CacheId; 3] = [CacheId(11), CacheId(12), CacheId(13)];
pub const PARENTS: [CacheId; 2] = [CacheId(21), CacheId(22)];
pub const THE_ORIGIN: CacheId = CacheId(31);

/// Classes of the settings below.
pub const SAFE: u16 = 0;
pub const FRESH: u16 = 1;
pub const KEYED: u16 = 2;
pub const UNSAFE: u16 = 3;

pub fn settings() -> Settings {
    let safe = Class {
        effect: Effect::Safe,
        aim: 400.0,
        aim_stretch: 2.0,
        deadline: 5000.0,
        worth: 2.0,
        ..Class::default()
    };
    let fresh = Class { fresh: 10_000.0, grace: 20_000.0, stale_worth: 0.7, ..safe.clone() };
    let keyed = Effect::Keyed { group: Group::All, window: 3000.0 };
    let write = Class { write: true, aim: 800.0, deadline: 4000.0, ..Class::default() };
    Settings {
        routers: 4,
        routers_by_zone: vec![0, 0, 0, 2],
        zone: ZONE,
        classes: vec![safe, fresh, Class { effect: keyed, ..write.clone() }, write],
        tick: 2.0,
        max_attempts: 6,
        may_cancel: true,
        max_retry_after: 1000.0,
        drain_grace: 250.0,
        cache_cold: ColdStart { from: 0.2, warm_in: 15_000.0, fall_multiple: 3.0, window: 3000.0 },
        parent_cold: ColdStart { from: 0.1, warm_in: 20_000.0, fall_multiple: 2.0, window: 3000.0 },
        parent_kind: Some(PARENT),
        origin_kind: Some(ORIGIN),
        flow_kb_per_s: 1000.0,
        siblings: Siblings::Location,
        direct: true,
        tells: Tells::All,
        purge_grace: 1000.0,
        purge_done: 6000.0,
        ..Settings::default()
    }
}

pub fn member(id: CacheId) -> Member {
    let (kind, zone) = match id {
        id if CACHES.contains(&id) => (0, ZONE),
        id if PARENTS.contains(&id) => (PARENT, HUB),
        _ => (ORIGIN, HUB),
    };
    Member { id, cell: 0, zone, kind, weight: 10.0, since: 0.0, phase: Phase::Ready }
}

pub fn everyone() -> Vec<Member> {
    CACHES.into_iter().chain(PARENTS).chain([THE_ORIGIN]).map(member).collect()
}

/// An attempt as the module ordered it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sent {
    pub attempt: AttemptId,
    pub cache: CacheId,
    pub timeout: Ms,
    pub fill: Option<Fill>,
}

/// The module with a clock, its timers and a count of what it sent.
pub struct World {
    pub brain: Brain,
    pub now: Ms,
    timers: Vec<(Ms, u32)>,
    pub sent: Vec<Sent>,
    pub finals: Vec<Action>,
    pub cancelled: Vec<AttemptId>,
    next: u64,
}

impl World {
    pub fn new(settings: Settings) -> Self {
        Self::with(settings, everyone())
    }

    pub fn with(settings: Settings, members: Vec<Member>) -> Self {
        Self::seeded(settings, members, 7)
    }

    pub fn seeded(settings: Settings, members: Vec<Member>, seed: u64) -> Self {
        let mut world = Self {
            brain: Brain::new(settings, seed),
            now: 100_000.0,
            timers: Vec::new(),
            sent: Vec::new(),
            finals: Vec::new(),
            cancelled: Vec::new(),
            next: 1,
        };
        world.tell(Event::List { kind: ListKind::Complete, members });
        world
    }

    pub fn tell(&mut self, event: Event) {
        for action in self.brain.handle(self.now, &event) {
            match action {
                Action::Ask { request, cache, timeout } => self.note(request, cache, timeout, None),
                Action::Fetch { request, cache, timeout, fill } => {
                    self.note(request, cache, timeout, Some(fill));
                }
                Action::Refuse { .. } | Action::Fail(_) => self.finals.push(action),
                Action::Timer { at, token } => self.timers.push((at, token)),
                Action::Cancel(attempt) => self.cancelled.push(attempt),
                Action::Probe(_) | Action::Watch | Action::Log(_) => {}
            }
        }
    }

    fn note(&mut self, request: RequestId, cache: CacheId, timeout: Ms, fill: Option<Fill>) {
        let number = self.sent.iter().filter(|sent| sent.attempt.request == request).count() as u8;
        self.sent.push(Sent { attempt: AttemptId { request, number }, cache, timeout, fill });
    }

    /// Lets time pass, with the timers that come due.
    pub fn pass(&mut self, length: Ms) {
        let end = self.now + length;
        loop {
            let due = self.timers.iter().enumerate().filter(|(_, timer)| timer.0 <= end);
            let Some((first, _)) = due.min_by(|a, b| a.1 .0.total_cmp(&b.1 .0)) else { break };
            let (at, token) = self.timers.swap_remove(first);
            self.now = self.now.max(at);
            self.tell(Event::Timer(token));
        }
        self.now = end;
    }

    pub fn list(&mut self, member: Member) {
        self.tell(Event::List { kind: ListKind::Changes, members: vec![member] });
    }

    pub fn request(&self, class: u16, object: u64) -> Request {
        Request {
            id: RequestId(self.next),
            object: ObjectId(object),
            part: 0,
            group: 5,
            class,
            size_kb: 100.0,
            repeat: false,
            write: class >= KEYED,
            budget: 3000.0,
        }
    }

    /// A request comes in; what was sent for it, if anything was.
    pub fn ask(&mut self, class: u16, object: u64) -> Option<Sent> {
        let request = self.request(class, object);
        self.submit(request)
    }

    pub fn submit(&mut self, request: Request) -> Option<Sent> {
        self.next += 1;
        let before = self.sent.len();
        self.tell(Event::Request(request));
        self.sent.get(before).copied()
    }

    /// An attempt ends; what was sent for the same request then, if anything was.
    pub fn end(&mut self, sent: Sent, status: Status, note: Option<Note>) -> Option<Sent> {
        self.end_after(sent, status, note, 0.0)
    }

    pub fn end_after(&mut self, sent: Sent, status: Status, note: Option<Note>, took: Ms) -> Option<Sent> {
        let before = self.sent.len();
        self.tell(Event::Outcome(Outcome {
            attempt: sent.attempt,
            cache: sent.cache,
            status,
            settled: status == Status::Ok,
            took,
            waited: 0.0,
            note,
            load: Load::default(),
        }));
        self.sent.get(before).copied()
    }

    /// The objects below 400 that `owner` owns and that its filter shows.
    pub fn owned(&mut self, owner: CacheId) -> Vec<u64> {
        (0..400).filter(|&object| self.serve(SAFE, object, Note::Filled).cache == owner).collect()
    }

    /// Asks for one object after another, none of which ends, until one is not sent to `owner`.
    pub fn crowd(&mut self, owner: CacheId, objects: &[u64]) -> Option<Sent> {
        objects.iter().find_map(|&object| self.ask(SAFE, object).filter(|sent| sent.cache != owner))
    }

    /// Asks and serves at once.
    pub fn serve(&mut self, class: u16, object: u64, note: Note) -> Sent {
        let sent = self.ask(class, object).expect("an attempt");
        self.end_after(sent, Status::Ok, Some(note), 100.0);
        sent
    }
}
