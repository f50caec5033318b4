//! A small world for the module's tests: one location of three caches, two parents and an origin.
#![allow(dead_code, reason = "each test file uses a part of this module")]

use linnethook::interface::*;
use linnethook::Policy;

pub const PARENT: u16 = 1;
pub const ORIGIN: u16 = 2;
pub const ZONE: u16 = 3;
pub const HUB: u16 = 0;
pub const CACHES: [EndpointId; 3] = [EndpointId(11), EndpointId(12), EndpointId(13)];
pub const PARENTS: [EndpointId; 2] = [EndpointId(21), EndpointId(22)];
pub const THE_ORIGIN: EndpointId = EndpointId(31);

/// Classes of the settings below.
pub const SAFE: u16 = 0;
pub const FRESH: u16 = 1;
pub const KEYED: u16 = 2;
pub const UNSAFE: u16 = 3;

pub fn settings() -> Settings {
    let safe = RequestClass {
        idempotence: Idempotence::Idempotent,
        latency_objective: 400.0,
        objective_stretch_ratio: 2.0,
        deadline: 5000.0,
        priority_weight: 2.0,
        ..RequestClass::default()
    };
    let fresh = RequestClass {
        freshness_lifetime: 10_000.0,
        stale_grace: 20_000.0,
        stale_weight_ratio: 0.7,
        ..safe.clone()
    };
    let keyed = Idempotence::WithKey { scope: DeduplicationScope::All, window: 3000.0 };
    let write = RequestClass {
        is_write: true,
        latency_objective: 800.0,
        deadline: 4000.0,
        ..RequestClass::default()
    };
    Settings {
        routers: 4,
        routers_by_zone: vec![0, 0, 0, 2],
        zone: ZONE,
        classes: vec![safe, fresh, RequestClass { idempotence: keyed, ..write.clone() }, write],
        clock_resolution: 2.0,
        max_attempts: 6,
        may_cancel: true,
        max_retry_after: 1000.0,
        drain_grace: 250.0,
        cache_slow_start: SlowStart {
            initial_ratio: 0.2,
            duration: 15_000.0,
            overload_multiple: 3.0,
            overload_window: 3000.0,
        },
        parent_slow_start: SlowStart {
            initial_ratio: 0.1,
            duration: 20_000.0,
            overload_multiple: 2.0,
            overload_window: 3000.0,
        },
        parent_role: Some(PARENT),
        origin_role: Some(ORIGIN),
        flow_kb_per_s: 1000.0,
        sibling_fill: SiblingFill::SameLocation,
        may_bypass_caches: true,
        outcome_detail: OutcomeDetail::Full,
        purge_grace: 1000.0,
        purge_completion: 6000.0,
        ..Settings::default()
    }
}

pub fn endpoint(id: EndpointId) -> Endpoint {
    let (kind, zone) = match id {
        id if CACHES.contains(&id) => (0, ZONE),
        id if PARENTS.contains(&id) => (PARENT, HUB),
        _ => (ORIGIN, HUB),
    };
    Endpoint { id, cell: 0, zone, role: kind, weight: 10.0, started_at: 0.0, phase: EndpointPhase::Ready }
}

pub fn everyone() -> Vec<Endpoint> {
    CACHES.into_iter().chain(PARENTS).chain([THE_ORIGIN]).map(endpoint).collect()
}

/// An attempt as the module ordered it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sent {
    pub attempt: AttemptId,
    pub cache: EndpointId,
    pub timeout: Ms,
    pub fill: Option<FillInstruction>,
}

/// The final answer to a request that may have been executed.
pub fn failed(sent: Sent, reason: RejectReason) -> Action {
    Action::Fail { request: sent.attempt.request, reason }
}

/// The module with a clock, its timers and a count of what it sent.
pub struct World {
    pub policy: Policy,
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

    pub fn with(settings: Settings, endpoints: Vec<Endpoint>) -> Self {
        Self::seeded(settings, endpoints, 7)
    }

    pub fn seeded(settings: Settings, endpoints: Vec<Endpoint>, seed: u64) -> Self {
        let mut world = Self {
            policy: Policy::new(settings, seed),
            now: 100_000.0,
            timers: Vec::new(),
            sent: Vec::new(),
            finals: Vec::new(),
            cancelled: Vec::new(),
            next: 1,
        };
        world.tell(Event::Endpoints { update: EndpointUpdate::Snapshot, endpoints });
        world
    }

    pub fn tell(&mut self, event: Event) {
        for action in self.policy.handle(self.now, &event) {
            match action {
                Action::Forward { request, endpoint: cache, timeout } => {
                    self.note(request, cache, timeout, None)
                }
                Action::ForwardWithFill { request, endpoint: cache, timeout, fill } => {
                    self.note(request, cache, timeout, Some(fill));
                }
                Action::Reject { .. } | Action::Fail { .. } => self.finals.push(action),
                Action::SetTimer { at, token } => self.timers.push((at, token)),
                Action::CancelAttempt(attempt) => self.cancelled.push(attempt),
                Action::HealthCheck(_) | Action::SubscribeEndpoints | Action::Log(_) => {}
            }
        }
    }

    fn note(&mut self, request: RequestId, cache: EndpointId, timeout: Ms, fill: Option<FillInstruction>) {
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

    pub fn list(&mut self, member: Endpoint) {
        self.tell(Event::Endpoints { update: EndpointUpdate::Incremental, endpoints: vec![member] });
    }

    pub fn request(&self, class: u16, object: u64) -> Request {
        Request {
            id: RequestId(self.next),
            object: ObjectId(object),
            part: 0,
            group: 5,
            class,
            size_kb: 100.0,
            client_retry: false,
            is_write: class >= KEYED,
            time_limit: 3000.0,
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
    pub fn end(&mut self, sent: Sent, status: AttemptStatus, note: Option<CacheStatus>) -> Option<Sent> {
        self.end_after(sent, status, note, 0.0)
    }

    pub fn end_after(
        &mut self,
        sent: Sent,
        status: AttemptStatus,
        note: Option<CacheStatus>,
        took: Ms,
    ) -> Option<Sent> {
        let before = self.sent.len();
        self.tell(Event::AttemptFinished(AttemptOutcome {
            attempt: sent.attempt,
            endpoint: sent.cache,
            status,
            request_finished: status == AttemptStatus::Ok,
            elapsed: took,
            source_wait: 0.0,
            cache_status: note,
            load_report: LoadReport::default(),
        }));
        self.sent.get(before).copied()
    }

    /// The objects below 400 that `owner` owns and that its filter shows.
    pub fn owned(&mut self, owner: EndpointId) -> Vec<u64> {
        (0..400)
            .filter(|&object| self.serve(SAFE, object, CacheStatus::FilledByParent).cache == owner)
            .collect()
    }

    /// Asks for one object after another, none of which ends, until one is not sent to `owner`.
    pub fn crowd(&mut self, owner: EndpointId, objects: &[u64]) -> Option<Sent> {
        objects.iter().find_map(|&object| self.ask(SAFE, object).filter(|sent| sent.cache != owner))
    }

    /// Asks and serves at once.
    pub fn serve(&mut self, class: u16, object: u64, note: CacheStatus) -> Sent {
        let sent = self.ask(class, object).expect("an attempt");
        self.end_after(sent, AttemptStatus::Ok, Some(note), 100.0);
        sent
    }
}
