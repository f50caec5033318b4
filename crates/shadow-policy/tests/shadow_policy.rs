//! The second instance beside the one that decides: expected counts, equal settings, bounds, panics.

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

fn member(id: EndpointId) -> Endpoint {
    let (kind, zone) = match id {
        PARENT => (1, 0),
        ORIGIN => (2, 0),
        _ => (0, 1),
    };
    Endpoint { id, cell: 0, zone, role: kind, weight: 8.0, started_at: 0.0, phase: EndpointPhase::Ready }
}

/// A small router: the instance that decides, its timers, and the shadow policy beside it.
struct Router {
    policy: Policy,
    shadow: Option<ShadowPolicy>,
    now: Ms,
    timers: Vec<DueTimer>,
    out: Vec<(AttemptId, EndpointId)>,
    sent: std::collections::BTreeMap<RequestId, u8>,
    actions: Vec<Action>,
    next: u64,
}

impl Router {
    fn new(shadow: Option<Settings>) -> Self {
        let mut router = Self {
            policy: Policy::new(settings(), 7),
            shadow: shadow.map(|settings| ShadowPolicy::new(settings, 7)),
            now: 100_000.0,
            timers: Vec::new(),
            out: Vec::new(),
            sent: Default::default(),
            actions: Vec::new(),
            next: 0,
        };
        let members = CACHES.into_iter().chain([PARENT, ORIGIN]).map(member).collect();
        router.tell(&Event::Endpoints { update: EndpointUpdate::Snapshot, endpoints: members }, None);
        router
    }

    fn tell(&mut self, event: &Event, due: Option<DueTimer>) {
        let actions = self.policy.handle(self.now, event);
        if let Some(shadow) = &mut self.shadow {
            shadow.observe(self.now, event, due, &actions);
        }
        for action in &actions {
            match action {
                Action::Forward { request, endpoint: cache, .. }
                | Action::ForwardWithFill { request, endpoint: cache, .. } => {
                    let number = self.sent.entry(*request).or_default();
                    self.out.push((AttemptId { request: *request, number: *number }, *cache));
                    *number += 1;
                }
                Action::SetTimer { at, token } => self.timers.push(DueTimer::new(*at, *token)),
                _ => {}
            }
        }
        self.actions.extend(actions);
    }

    fn pass(&mut self, length: Ms) {
        self.now += length;
        let now = (self.now * 1000.0) as u64;
        while let Some(&due) = self.timers.iter().min().filter(|due| due.at_us <= now) {
            self.timers.retain(|other| *other != due);
            self.tell(&Event::Timer(due.token), Some(due));
        }
    }

    fn ask(&mut self, object: u64) {
        self.next += 1;
        let request = Request {
            id: RequestId(self.next),
            object: ObjectId(object),
            part: 0,
            group: 0,
            class: 0,
            size_kb: 100.0,
            client_retry: false,
            is_write: false,
            time_limit: 3_000.0,
        };
        self.tell(&Event::Request(request), None);
    }

    /// The first attempt that is out ends.
    fn end(&mut self, status: AttemptStatus, note: Option<CacheStatus>) {
        if self.out.is_empty() {
            return;
        }
        let (attempt, cache) = self.out.remove(0);
        let outcome = AttemptOutcome {
            attempt,
            endpoint: cache,
            status,
            request_finished: status == AttemptStatus::Ok,
            elapsed: 100.0,
            source_wait: 0.0,
            cache_status: note,
            load_report: LoadReport::default(),
        };
        self.tell(&Event::AttemptFinished(outcome), None);
    }

    fn counts(&self) -> DifferenceCounts {
        self.shadow.as_ref().expect("a shadow policy").counts()
    }
}

/// Ten requests are served, two fail once and are served then, and three are asked for with no cache left.
fn scripted(shadow: Settings) -> Router {
    let mut router = Router::new(Some(shadow));
    for object in 0..10 {
        router.ask(object);
        router.end(AttemptStatus::Ok, Some(CacheStatus::FilledByParent));
    }
    for object in 100..102 {
        router.ask(object);
        router.end(AttemptStatus::Error, None);
        router.end(AttemptStatus::Ok, Some(CacheStatus::FilledByParent));
    }
    let gone = CACHES
        .into_iter()
        .chain([PARENT, ORIGIN])
        .map(|id| Endpoint { phase: EndpointPhase::Removed, ..member(id) });
    router.tell(&Event::Endpoints { update: EndpointUpdate::Incremental, endpoints: gone.collect() }, None);
    (200..203).for_each(|object| router.ask(object));
    router
}

#[test]
fn equal_settings_count_no_difference() {
    let counts = scripted(settings()).counts();
    assert_eq!(counts, DifferenceCounts { compared: 17, ..DifferenceCounts::default() });
}

/// Each of the twelve first attempts joins fills here and would not there; what comes after is no longer compared.
#[test]
fn another_fill_instruction_is_counted_once_per_request() {
    let counts = scripted(Settings { coalesces_fills: true, ..settings() }).counts();
    assert_eq!(counts, DifferenceCounts { compared: 15, fill: 12, ..DifferenceCounts::default() });
}

/// Without a second attempt the two that failed would have been refused.
#[test]
fn a_rejection_in_place_of_a_retry_is_counted() {
    let counts = scripted(Settings { max_attempts: 1, ..settings() }).counts();
    // A first attempt that is the last one also gets all the time there is.
    assert_eq!((counts.compared, counts.rejection), (17, 2));
    assert_eq!(counts.endpoint + counts.source + counts.fill + counts.cancellation, 0);
}

/// The three that are refused would have been told no time.
#[test]
fn another_retry_after_is_counted() {
    let counts = scripted(Settings { supports_retry_after: false, ..settings() }).counts();
    assert_eq!(counts, DifferenceCounts { compared: 17, timing: 3, ..DifferenceCounts::default() });
}

#[test]
fn settings_without_weights_have_other_owners_and_no_other_difference() {
    let mut router = Router::new(Some(Settings {
        weights_unknown: true,
        outcome_detail: OutcomeDetail::HitsOnly,
        ..settings()
    }));
    (0..60).for_each(|object| {
        router.ask(object);
        router.end(AttemptStatus::Ok, Some(CacheStatus::FilledByOrigin));
    });
    let counts = router.counts();
    assert_eq!(counts.compared, 60);
    assert!((10..60).contains(&counts.endpoint), "{counts}");
    assert_eq!(counts.different(), counts.endpoint);
}

#[test]
fn a_shadow_policy_changes_no_action_and_keeps_no_finished_request() {
    let play = |shadow: Option<Settings>| {
        let mut router = Router::new(shadow);
        for step in 0..600 {
            router.pass(15.0);
            router.ask(hash_pair(step, 5) % 90);
            if step % 5 > 0 {
                let bad = hash_pair(step, 6).is_multiple_of(9);
                router.end(
                    if bad { AttemptStatus::Rejected } else { AttemptStatus::Ok },
                    (!bad).then_some(CacheStatus::Hit),
                );
            }
        }
        while !router.out.is_empty() {
            router.end(AttemptStatus::Ok, Some(CacheStatus::Hit));
        }
        router
    };
    let alone = play(None);
    let beside =
        play(Some(Settings { weights_unknown: true, outcome_detail: OutcomeDetail::None, ..settings() }));
    assert_eq!(alone.actions, beside.actions);
    let RecordCounts { requests, attempts, timers } =
        beside.shadow.as_ref().expect("a shadow policy").record_counts();
    assert_eq!((requests, attempts), (0, 0));
    assert!(timers < 10, "{timers} timers");
    assert!(beside.counts().compared > 600 && beside.counts().endpoint > 100, "{}", beside.counts());
}

/// Decides nothing, and fails at the third request.
struct Failing(u32);

impl DecisionModule for Failing {
    fn handle(&mut self, _: Ms, event: &Event) -> Vec<Action> {
        self.0 += u32::from(matches!(event, Event::Request(_)));
        assert!(self.0 < 3, "the third request");
        Vec::new()
    }
}

#[test]
fn a_panic_ends_the_comparison_and_nothing_else() {
    let mut shadow = ShadowPolicy::with_module(Failing(0), EventVisibility::new(&settings()));
    let mut policy = Policy::new(settings(), 7);
    let mut router = Router::new(None);
    for object in 0..6 {
        router.ask(object);
        let events = Event::Request(Request {
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
        let done = policy.handle(1_000.0, &events);
        shadow.observe(1_000.0, &events, None, &done);
    }
    // Two were compared, both of which would have waited.
    assert_eq!(
        shadow.counts(),
        DifferenceCounts { compared: 2, timing: 2, failed: 1, ..DifferenceCounts::default() }
    );
    assert_eq!(shadow.record_counts(), RecordCounts::default());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    /// Whatever happens in whatever order, an instance with the same settings and seed stays in step.
    #[test]
    fn equal_settings_decide_the_same(steps in proptest::collection::vec((0u8..8, 0u64..40), 1..300)) {
        let mut router = Router::new(Some(settings()));
        for (kind, n) in steps {
            match kind {
                0..=2 => router.ask(n),
                3 | 4 => router.end(AttemptStatus::Ok, Some(CacheStatus::Hit)),
                5 => router.end([AttemptStatus::Error, AttemptStatus::Rejected, AttemptStatus::TimedOut][n as usize % 3], None),
                6 => {
                    let id = CACHES[n as usize % 3];
                    let phase = [EndpointPhase::Ready, EndpointPhase::Removed][n as usize / 3 % 2];
                    let members = vec![Endpoint { phase, ..member(id) }];
                    router.tell(&Event::Endpoints { update: EndpointUpdate::Incremental, endpoints: members }, None);
                }
                _ => router.pass(n as f64 * 10.0),
            }
        }
        prop_assert_eq!(router.counts().different(), 0);
    }
}
