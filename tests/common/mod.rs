//! Test harness of the decision module: one location with three caches, two parents and an origin.
#![allow(dead_code, reason = "each test file uses a part of this module")]

use linnethook::interface::*;
use linnethook::Policy;

/// Role numbers; caches have role 0.
pub const PARENT_ROLE: u16 = 1;
pub const ORIGIN_ROLE: u16 = 2;
pub const LOCAL_ZONE: u16 = 3;
pub const UPSTREAM_ZONE: u16 = 0;
pub const CACHES: [EndpointId; 3] = [EndpointId(11), EndpointId(12), EndpointId(13)];
pub const PARENTS: [EndpointId; 2] = [EndpointId(21), EndpointId(22)];
pub const ORIGIN: EndpointId = EndpointId(31);

/// Numbers of the request classes in [`settings`].
pub const IDEMPOTENT: u16 = 0;
pub const EXPIRING: u16 = 1;
pub const WITH_KEY: u16 = 2;
pub const NOT_IDEMPOTENT: u16 = 3;

pub fn settings() -> Settings {
    let idempotent = RequestClass {
        idempotence: Idempotence::Idempotent,
        latency_objective: 400.0,
        objective_stretch_ratio: 2.0,
        deadline: 5000.0,
        priority_weight: 2.0,
        ..RequestClass::default()
    };
    let expiring = RequestClass {
        freshness_lifetime: 10_000.0,
        stale_grace: 20_000.0,
        stale_weight_ratio: 0.7,
        ..idempotent.clone()
    };
    let with_key = Idempotence::WithKey { scope: DeduplicationScope::All, window: 3000.0 };
    let write = RequestClass {
        is_write: true,
        latency_objective: 800.0,
        deadline: 4000.0,
        ..RequestClass::default()
    };
    Settings {
        routers: 4,
        routers_by_zone: vec![0, 0, 0, 2],
        zone: LOCAL_ZONE,
        classes: vec![idempotent, expiring, RequestClass { idempotence: with_key, ..write.clone() }, write],
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
        parent_role: Some(PARENT_ROLE),
        origin_role: Some(ORIGIN_ROLE),
        flow_kb_per_s: 1000.0,
        sibling_fill: SiblingFill::SameLocation,
        may_bypass_caches: true,
        outcome_detail: OutcomeDetail::Full,
        purge_grace: 1000.0,
        purge_completion: 6000.0,
        ..Settings::default()
    }
}

/// The ready endpoint with that identifier, with a capacity of 10 transfers.
pub fn endpoint(id: EndpointId) -> Endpoint {
    let (role, zone) = match id {
        id if CACHES.contains(&id) => (0, LOCAL_ZONE),
        id if PARENTS.contains(&id) => (PARENT_ROLE, UPSTREAM_ZONE),
        _ => (ORIGIN_ROLE, UPSTREAM_ZONE),
    };
    Endpoint { id, cell: 0, zone, role, weight: 10.0, started_at: 0.0, phase: EndpointPhase::Ready }
}

pub fn all_endpoints() -> Vec<Endpoint> {
    CACHES.into_iter().chain(PARENTS).chain([ORIGIN]).map(endpoint).collect()
}

/// An attempt that the policy has sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SentAttempt {
    pub attempt: AttemptId,
    pub endpoint: EndpointId,
    pub timeout: Ms,
    pub send_by: Option<Ms>,
    pub fill: Option<FillInstruction>,
}

/// The final answer to a request that may have been executed.
pub fn failed(sent: SentAttempt, reason: RejectReason) -> Action {
    Action::Fail { request: sent.attempt.request, reason }
}

/// The policy with a virtual clock and its timers; records the attempts and final answers.
pub struct PolicyHarness {
    pub policy: Policy,
    pub now: Ms,
    timers: Vec<(Ms, u32)>,
    pub sent: Vec<SentAttempt>,
    pub final_answers: Vec<Action>,
    pub cancelled: Vec<AttemptId>,
    next_request_id: u64,
}

impl PolicyHarness {
    pub fn new(settings: Settings) -> Self {
        Self::with_endpoints(settings, all_endpoints())
    }

    pub fn with_endpoints(settings: Settings, endpoints: Vec<Endpoint>) -> Self {
        Self::with_seed(settings, endpoints, 7)
    }

    pub fn with_seed(settings: Settings, endpoints: Vec<Endpoint>, seed: u64) -> Self {
        let mut harness = Self {
            policy: Policy::new(settings, seed),
            now: 100_000.0,
            timers: Vec::new(),
            sent: Vec::new(),
            final_answers: Vec::new(),
            cancelled: Vec::new(),
            next_request_id: 1,
        };
        harness.notify(Event::Endpoints { update: EndpointUpdate::Snapshot, endpoints });
        harness
    }

    /// Passes an event to the policy and carries out its actions.
    pub fn notify(&mut self, event: Event) {
        for action in self.policy.handle(self.now, &event) {
            match action {
                Action::Forward { request, endpoint, timeout, send_by } => {
                    let attempt = self.next_attempt(request);
                    self.sent.push(SentAttempt { attempt, endpoint, timeout, send_by, fill: None });
                }
                Action::ForwardWithFill { request, endpoint, timeout, send_by, fill } => {
                    let attempt = self.next_attempt(request);
                    self.sent.push(SentAttempt { attempt, endpoint, timeout, send_by, fill: Some(fill) });
                }
                Action::Reject { .. } | Action::Fail { .. } => self.final_answers.push(action),
                Action::SetTimer { at, token } => self.timers.push((at, token)),
                Action::CancelAttempt(attempt) => self.cancelled.push(attempt),
                Action::HealthCheck(_) | Action::SubscribeEndpoints | Action::Log(_) => {}
            }
        }
    }

    fn next_attempt(&self, request: RequestId) -> AttemptId {
        let number = self.sent.iter().filter(|sent| sent.attempt.request == request).count() as u8;
        AttemptId { request, number }
    }

    /// Advances the clock by `length` and fires the timers that become due.
    pub fn advance(&mut self, length: Ms) {
        let end = self.now + length;
        loop {
            let due = self.timers.iter().enumerate().filter(|(_, timer)| timer.0 <= end);
            let Some((first, _)) = due.min_by(|a, b| a.1 .0.total_cmp(&b.1 .0)) else { break };
            let (at, token) = self.timers.swap_remove(first);
            self.now = self.now.max(at);
            self.notify(Event::Timer(token));
        }
        self.now = end;
    }

    /// Sends an incremental update of the endpoint list with one endpoint.
    pub fn update_endpoint(&mut self, endpoint: Endpoint) {
        self.notify(Event::Endpoints { update: EndpointUpdate::Incremental, endpoints: vec![endpoint] });
    }

    /// The next request of a class, without submitting it.
    pub fn build_request(&self, class: u16, object: u64) -> Request {
        Request {
            id: RequestId(self.next_request_id),
            object: ObjectId(object),
            part: 0,
            group: 5,
            class,
            size_kb: 100.0,
            client_retry: false,
            is_write: class >= WITH_KEY,
            time_limit: 3000.0,
        }
    }

    /// Builds and submits a request; returns the attempt that was sent for it, if any.
    pub fn request(&mut self, class: u16, object: u64) -> Option<SentAttempt> {
        let request = self.build_request(class, object);
        self.submit(request)
    }

    /// Submits a request; returns the attempt that was sent for it, if any.
    pub fn submit(&mut self, request: Request) -> Option<SentAttempt> {
        self.next_request_id += 1;
        let before = self.sent.len();
        self.notify(Event::Request(request));
        self.sent.get(before).copied()
    }

    /// Finishes an attempt at once; returns the next attempt of the same request, if any.
    pub fn finish(
        &mut self,
        sent: SentAttempt,
        status: AttemptStatus,
        cache_status: Option<CacheStatus>,
    ) -> Option<SentAttempt> {
        self.finish_after(sent, status, cache_status, 0.0)
    }

    /// Finishes an attempt with the given duration; returns the next attempt of the same request, if any.
    pub fn finish_after(
        &mut self,
        sent: SentAttempt,
        status: AttemptStatus,
        cache_status: Option<CacheStatus>,
        elapsed: Ms,
    ) -> Option<SentAttempt> {
        let before = self.sent.len();
        self.notify(Event::AttemptFinished(AttemptOutcome {
            attempt: sent.attempt,
            endpoint: sent.endpoint,
            status,
            request_finished: status == AttemptStatus::Ok,
            elapsed,
            source_wait: 0.0,
            cache_status,
            load_report: LoadReport::default(),
        }));
        self.sent.get(before).copied()
    }

    /// The objects below 400 that `owner` owns; requests each object once, so that its copy is known.
    pub fn objects_owned_by(&mut self, owner: EndpointId) -> Vec<u64> {
        (0..400)
            .filter(|&object| self.serve(IDEMPOTENT, object, CacheStatus::FilledByParent).endpoint == owner)
            .collect()
    }

    /// Submits requests without finishing them; returns the first one that is not sent to `owner`, if any.
    pub fn submit_until_overflow(&mut self, owner: EndpointId, objects: &[u64]) -> Option<SentAttempt> {
        objects
            .iter()
            .find_map(|&object| self.request(IDEMPOTENT, object).filter(|sent| sent.endpoint != owner))
    }

    /// Submits a request and finishes it successfully after 100 ms.
    pub fn serve(&mut self, class: u16, object: u64, cache_status: CacheStatus) -> SentAttempt {
        let sent = self.request(class, object).expect("an attempt");
        self.finish_after(sent, AttemptStatus::Ok, Some(cache_status), 100.0);
        sent
    }
}
