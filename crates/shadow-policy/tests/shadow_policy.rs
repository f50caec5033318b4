//! The shadow policy: counted differences, equal settings, bounded state, and panics.

use linnethook::hash_ring::hash_pair;
use linnethook::interface::*;
use linnethook::Policy;
use linnethook_shadow_policy::shadow::{DecisionModule, RecordCounts};
use linnethook_shadow_policy::visibility::EventVisibility;
use linnethook_shadow_policy::{DifferenceCounts, DueTimer, ShadowPolicy};
use proptest::prelude::*;

const CACHES: [EndpointId; 3] = [EndpointId(11), EndpointId(12), EndpointId(13)];
const PARENT: EndpointId = EndpointId(21);
const ORIGIN: EndpointId = EndpointId(31);

fn settings() -> Settings {
    let class = RequestClass {
        idempotence: Idempotence::Idempotent,
        latency_objective: 400.0,
        objective_stretch_ratio: 2.0,
        deadline: 5_000.0,
        ..RequestClass::default()
    };
    Settings {
        routers: 2,
        routers_by_zone: vec![0, 2],
        zone: 1,
        classes: vec![class],
        clock_resolution: 2.0,
        max_attempts: 6,
        may_cancel: true,
        supports_retry_after: true,
        max_retry_after: 1_000.0,
        parent_role: Some(1),
        origin_role: Some(2),
        flow_kb_per_s: 1_000.0,
        sibling_fill: SiblingFill::SameLocation,
        may_bypass_caches: true,
        outcome_detail: OutcomeDetail::Full,
        purge_completion: 6_000.0,
        ..Settings::default()
    }
}

fn ready_endpoint(id: EndpointId) -> Endpoint {
    let (role, zone) = match id {
        PARENT => (1, 0),
        ORIGIN => (2, 0),
        _ => (0, 1),
    };
    Endpoint { id, cell: 0, zone, role, weight: 8.0, started_at: 0.0, phase: EndpointPhase::Ready }
}

/// A minimal router: a decision module, its timers and attempts, and optionally a shadow policy.
struct Router {
    policy: Policy,
    shadow: Option<ShadowPolicy>,
    now: Ms,
    timers: Vec<DueTimer>,
    in_flight: Vec<(AttemptId, EndpointId)>,
    attempts_sent: std::collections::BTreeMap<RequestId, u8>,
    actions: Vec<Action>,
    last_request: u64,
}

impl Router {
    fn new(shadow: Option<Settings>) -> Self {
        let mut router = Self {
            policy: Policy::new(settings(), 7),
            shadow: shadow.map(|settings| ShadowPolicy::new(settings, 7)),
            now: 100_000.0,
            timers: Vec::new(),
            in_flight: Vec::new(),
            attempts_sent: Default::default(),
            actions: Vec::new(),
            last_request: 0,
        };
        let endpoints = CACHES.into_iter().chain([PARENT, ORIGIN]).map(ready_endpoint).collect();
        router.handle(&Event::Endpoints { update: EndpointUpdate::Snapshot, endpoints }, None);
        router
    }

    fn handle(&mut self, event: &Event, due: Option<DueTimer>) {
        let actions = self.policy.handle(self.now, event);
        if let Some(shadow) = &mut self.shadow {
            shadow.observe(self.now, event, due, &actions);
        }
        for action in &actions {
            match action {
                Action::Forward { request, endpoint: cache, .. }
                | Action::ForwardWithFill { request, endpoint: cache, .. } => {
                    let number = self.attempts_sent.entry(*request).or_default();
                    self.in_flight.push((AttemptId { request: *request, number: *number }, *cache));
                    *number += 1;
                }
                Action::SetTimer { at, token } => self.timers.push(DueTimer::new(*at, *token)),
                _ => {}
            }
        }
        self.actions.extend(actions);
    }

    fn advance(&mut self, duration: Ms) {
        self.now += duration;
        let now = (self.now * 1000.0) as u64;
        while let Some(&due) = self.timers.iter().min().filter(|due| due.at_us <= now) {
            self.timers.retain(|other| *other != due);
            self.handle(&Event::Timer(due.token), Some(due));
        }
    }

    fn request(&mut self, object: u64) {
        self.last_request += 1;
        let request = Request {
            id: RequestId(self.last_request),
            object: ObjectId(object),
            part: 0,
            group: 0,
            class: 0,
            size_kb: 100.0,
            client_retry: false,
            is_write: false,
            time_limit: 3_000.0,
        };
        self.handle(&Event::Request(request), None);
    }

    /// Finishes the oldest attempt in flight.
    fn finish(&mut self, status: AttemptStatus, cache_status: Option<CacheStatus>) {
        if self.in_flight.is_empty() {
            return;
        }
        let (attempt, endpoint) = self.in_flight.remove(0);
        let outcome = AttemptOutcome {
            attempt,
            endpoint,
            status,
            request_finished: status == AttemptStatus::Ok,
            elapsed: 100.0,
            source_wait: 0.0,
            cache_status,
            load_report: LoadReport::default(),
        };
        self.handle(&Event::AttemptFinished(outcome), None);
    }

    fn counts(&self) -> DifferenceCounts {
        self.shadow.as_ref().expect("a shadow policy").counts()
    }
}

/// Ten requests succeed, two fail once and succeed in a retry, and three arrive after all endpoints were
/// removed.
fn scripted(shadow: Settings) -> Router {
    let mut router = Router::new(Some(shadow));
    for object in 0..10 {
        router.request(object);
        router.finish(AttemptStatus::Ok, Some(CacheStatus::FilledByParent));
    }
    for object in 100..102 {
        router.request(object);
        router.finish(AttemptStatus::Error, None);
        router.finish(AttemptStatus::Ok, Some(CacheStatus::FilledByParent));
    }
    let removed = CACHES
        .into_iter()
        .chain([PARENT, ORIGIN])
        .map(|id| Endpoint { phase: EndpointPhase::Removed, ..ready_endpoint(id) });
    router.handle(
        &Event::Endpoints { update: EndpointUpdate::Incremental, endpoints: removed.collect() },
        None,
    );
    (200..203).for_each(|object| router.request(object));
    router
}

#[test]
fn equal_settings_count_no_difference() {
    let counts = scripted(settings()).counts();
    assert_eq!(counts, DifferenceCounts { compared: 17, ..DifferenceCounts::default() });
}

/// The fill instructions of all twelve first attempts differ; the retries of these requests are not compared.
#[test]
fn another_fill_instruction_is_counted_once_per_request() {
    let counts = scripted(Settings { coalesces_fills: true, ..settings() }).counts();
    assert_eq!(counts, DifferenceCounts { compared: 15, fill: 12, ..DifferenceCounts::default() });
}

/// With a single attempt, the two failed requests would have been rejected.
#[test]
fn a_rejection_in_place_of_a_retry_is_counted() {
    let counts = scripted(Settings { max_attempts: 1, ..settings() }).counts();
    // Not checked: timing differences, as a first attempt that is also the last one gets all the remaining
    // time.
    assert_eq!((counts.compared, counts.rejection), (17, 2));
    assert_eq!(counts.endpoint + counts.source + counts.fill + counts.cancellation, 0);
}

/// The three rejected requests would have had no Retry-After.
#[test]
fn another_retry_after_is_counted() {
    let counts = scripted(Settings { supports_retry_after: false, ..settings() }).counts();
    assert_eq!(counts, DifferenceCounts { compared: 17, timing: 3, ..DifferenceCounts::default() });
}

#[test]
fn without_weights_only_endpoints_differ() {
    let mut router = Router::new(Some(Settings {
        weights_unknown: true,
        outcome_detail: OutcomeDetail::HitsOnly,
        ..settings()
    }));
    (0..60).for_each(|object| {
        router.request(object);
        router.finish(AttemptStatus::Ok, Some(CacheStatus::FilledByOrigin));
    });
    let counts = router.counts();
    assert_eq!(counts.compared, 60);
    assert!((10..60).contains(&counts.endpoint), "{counts}");
    assert_eq!(counts.different(), counts.endpoint);
}

#[test]
fn shadow_policy_changes_no_action_and_forgets_finished_requests() {
    let run = |shadow: Option<Settings>| {
        let mut router = Router::new(shadow);
        for step in 0..600 {
            router.advance(15.0);
            router.request(hash_pair(step, 5) % 90);
            if step % 5 > 0 {
                let is_rejected = hash_pair(step, 6).is_multiple_of(9);
                router.finish(
                    if is_rejected { AttemptStatus::Rejected } else { AttemptStatus::Ok },
                    (!is_rejected).then_some(CacheStatus::Hit),
                );
            }
        }
        while !router.in_flight.is_empty() {
            router.finish(AttemptStatus::Ok, Some(CacheStatus::Hit));
        }
        router
    };
    let without_shadow = run(None);
    let with_shadow =
        run(Some(Settings { weights_unknown: true, outcome_detail: OutcomeDetail::None, ..settings() }));
    assert_eq!(without_shadow.actions, with_shadow.actions);
    let RecordCounts { requests, attempts, timers } =
        with_shadow.shadow.as_ref().expect("a shadow policy").record_counts();
    assert_eq!((requests, attempts), (0, 0));
    assert!(timers < 10, "{timers} timers");
    assert!(
        with_shadow.counts().compared > 600 && with_shadow.counts().endpoint > 100,
        "{}",
        with_shadow.counts()
    );
}

/// Decides nothing, and panics at the third request.
struct PanickingModule(u32);

impl DecisionModule for PanickingModule {
    fn handle(&mut self, _: Ms, event: &Event) -> Vec<Action> {
        self.0 += u32::from(matches!(event, Event::Request(_)));
        assert!(self.0 < 3, "the third request");
        Vec::new()
    }
}

#[test]
fn a_panic_ends_only_the_comparison() {
    let mut shadow = ShadowPolicy::with_module(PanickingModule(0), EventVisibility::new(&settings()));
    let mut policy = Policy::new(settings(), 7);
    let mut router = Router::new(None);
    for object in 0..6 {
        router.request(object);
        let event = Event::Request(Request {
            id: RequestId(object),
            object: ObjectId(object),
            part: 0,
            group: 0,
            class: 0,
            size_kb: 1.0,
            client_retry: false,
            is_write: false,
            time_limit: 1_000.0,
        });
        let carried_out = policy.handle(1_000.0, &event);
        shadow.observe(1_000.0, &event, None, &carried_out);
    }
    // Two decisions were compared; for both, the second instance waits.
    assert_eq!(
        shadow.counts(),
        DifferenceCounts { compared: 2, timing: 2, failed: 1, ..DifferenceCounts::default() }
    );
    assert_eq!(shadow.record_counts(), RecordCounts::default());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    /// Instances with the same settings and seed make the same decisions for any sequence of events.
    #[test]
    fn equal_settings_decide_the_same(steps in proptest::collection::vec((0u8..8, 0u64..40), 1..300)) {
        let mut router = Router::new(Some(settings()));
        for (kind, n) in steps {
            match kind {
                0..=2 => router.request(n),
                3 | 4 => router.finish(AttemptStatus::Ok, Some(CacheStatus::Hit)),
                5 => router.finish([AttemptStatus::Error, AttemptStatus::Rejected, AttemptStatus::TimedOut][n as usize % 3], None),
                6 => {
                    let id = CACHES[n as usize % 3];
                    let phase = [EndpointPhase::Ready, EndpointPhase::Removed][n as usize / 3 % 2];
                    let endpoints = vec![Endpoint { phase, ..ready_endpoint(id) }];
                    router.handle(&Event::Endpoints { update: EndpointUpdate::Incremental, endpoints }, None);
                }
                _ => router.advance(n as f64 * 10.0),
            }
        }
        prop_assert_eq!(router.counts().different(), 0);
    }
}
