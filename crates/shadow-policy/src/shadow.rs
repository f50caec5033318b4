//! The second instance of the decision module, its timers, and the requests that both instances agree on.
//!
//! The actions of the second instance are never carried out, and its panics never reach the caller.

use std::collections::{BTreeMap, BTreeSet};
use std::panic::{catch_unwind, AssertUnwindSafe};

use linnethook::interface::{
    Action, AttemptId, AttemptOutcome, AttemptStatus, EndpointId, Event, LoadReport, Ms, RequestId, Settings,
};
use linnethook::Policy;

use crate::comparison::{Decision, DifferenceCounts};
use crate::visibility::EventVisibility;

/// A timer with the time at which it is due. Timers fire in the order of this type.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct DueTimer {
    /// The due time in microseconds, on the clock of the router.
    pub at_us: u64,
    /// The token of the [`Event::Timer`].
    pub token: u32,
}

impl DueTimer {
    /// A timer set by [`Action::SetTimer`].
    pub fn new(at: Ms, token: u32) -> Self {
        Self { at_us: (at * 1000.0) as u64, token }
    }
}

/// The decision module, or a test double of it.
pub trait DecisionModule {
    /// Handles one event; see [`Policy::handle`].
    fn handle(&mut self, now: Ms, event: &Event) -> Vec<Action>;
}

impl DecisionModule for Policy {
    fn handle(&mut self, now: Ms, event: &Event) -> Vec<Action> {
        Policy::handle(self, now, event)
    }
}

/// The sizes of the tables of a [`ShadowPolicy`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RecordCounts {
    /// Open requests that both instances agree on.
    pub requests: usize,
    /// Attempts in flight that both instances have sent.
    pub attempts: usize,
    /// Timers of the second instance.
    pub timers: usize,
}

/// The second instance, which runs next to the one whose decisions are carried out.
#[derive(Debug)]
pub struct ShadowPolicy<M = Policy> {
    /// `None` after a panic.
    policy: Option<M>,
    visibility: EventVisibility,
    timers: BTreeSet<DueTimer>,
    /// Open requests that both instances agree on, with the number of attempts that both have sent.
    agreed: BTreeMap<RequestId, u8>,
    /// Attempts in flight that both instances have sent, with their endpoints.
    in_flight: BTreeMap<AttemptId, EndpointId>,
    counts: DifferenceCounts,
}

impl ShadowPolicy {
    /// A second instance with other settings. `seed` is the seed of the instance whose decisions are carried
    /// out.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let visibility = EventVisibility::new(&settings);
        Self::with_module(Policy::new(settings, seed), visibility)
    }
}

impl<M: DecisionModule> ShadowPolicy<M> {
    /// A second instance that decides with `policy`.
    pub fn with_module(policy: M, visibility: EventVisibility) -> Self {
        Self {
            policy: Some(policy),
            visibility,
            timers: BTreeSet::new(),
            agreed: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            counts: DifferenceCounts::default(),
        }
    }

    /// The comparisons so far.
    pub fn counts(&self) -> DifferenceCounts {
        self.counts
    }

    /// The present sizes of the tables.
    pub fn record_counts(&self) -> RecordCounts {
        RecordCounts {
            requests: self.agreed.len(),
            attempts: self.in_flight.len(),
            timers: self.timers.len(),
        }
    }

    /// Passes an event to the second instance and compares its actions with those that were carried out.
    /// `due` is the timer of an [`Event::Timer`].
    pub fn observe(&mut self, now: Ms, event: &Event, due: Option<DueTimer>, carried_out: &[Action]) {
        let Some(mut policy) = self.policy.take() else { return };
        let observed =
            catch_unwind(AssertUnwindSafe(|| self.observe_with(&mut policy, now, event, due, carried_out)));
        match observed {
            Ok(()) => self.policy = Some(policy),
            Err(_) => {
                self.counts.failed = 1;
                self.timers.clear();
                self.agreed.clear();
                self.in_flight.clear();
            }
        }
    }

    fn observe_with(
        &mut self,
        policy: &mut M,
        now: Ms,
        event: &Event,
        due: Option<DueTimer>,
        carried_out: &[Action],
    ) {
        let actions = self.decide(policy, now, event, due);
        self.compare_decisions(policy, now, carried_out, &actions);
        self.compare_cancellations(carried_out, &actions);
        match event {
            Event::AttemptFinished(outcome) if outcome.request_finished => {
                self.agreed.remove(&outcome.attempt.request);
            }
            Event::ClientDisconnected(id) => {
                self.agreed.remove(id);
            }
            _ => {}
        }
    }

    /// Returns the actions of the second instance, which is not notified of attempts that it has not sent.
    fn decide(&mut self, policy: &mut M, now: Ms, event: &Event, due: Option<DueTimer>) -> Vec<Action> {
        let actions = match event {
            Event::Timer(_) => {
                let Some(due) = due else { return Vec::new() };
                self.fire_timers(policy, now, due)
            }
            Event::AttemptFinished(outcome) => {
                if self.in_flight.remove(&outcome.attempt).is_none() {
                    return Vec::new();
                }
                policy.handle(now, &self.visibility.restrict(event))
            }
            Event::ResponseStarted(attempt) if !self.in_flight.contains_key(attempt) => Vec::new(),
            Event::Request(request) => {
                self.agreed.insert(request.id, 0);
                policy.handle(now, event)
            }
            _ => policy.handle(now, &self.visibility.restrict(event)),
        };
        for action in &actions {
            if let Action::SetTimer { at, token } = action {
                self.timers.insert(DueTimer::new(*at, *token));
            }
        }
        actions
    }

    /// Fires the timers of the second instance up to `due`, in their order.
    fn fire_timers(&mut self, policy: &mut M, now: Ms, due: DueTimer) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(&first) = self.timers.first().filter(|first| **first <= due) {
            self.timers.remove(&first);
            actions.extend(policy.handle(now, &Event::Timer(first.token)));
        }
        actions
    }

    fn compare_decisions(&mut self, policy: &mut M, now: Ms, carried_out: &[Action], actions: &[Action]) {
        let (carried_out, others) = (decisions_by_request(carried_out), decisions_by_request(actions));
        let ids: BTreeSet<RequestId> = carried_out.keys().chain(others.keys()).copied().collect();
        for id in ids {
            let Some(attempts_sent) = self.agreed.get(&id).copied() else { continue };
            let (decision, other) = (carried_out.get(&id), others.get(&id));
            if !self.counts.compare(decision, other).is_same_attempt() {
                self.withdraw(policy, now, id, attempts_sent, other);
                continue;
            }
            match decision {
                Some(Decision::Forward { endpoint, .. }) => {
                    self.in_flight.insert(AttemptId { request: id, number: attempts_sent }, *endpoint);
                    self.agreed.insert(id, attempts_sent + 1);
                }
                Some(_) => {
                    self.agreed.remove(&id);
                }
                None => {}
            }
        }
    }

    /// Withdraws a request from the second instance, and the attempt that it would have sent.
    fn withdraw(
        &mut self,
        policy: &mut M,
        now: Ms,
        id: RequestId,
        attempts_sent: u8,
        other: Option<&Decision>,
    ) {
        self.agreed.remove(&id);
        policy.handle(now, &Event::ClientDisconnected(id));
        if let Some(Decision::Forward { endpoint, .. }) = other {
            let never_sent = AttemptOutcome {
                attempt: AttemptId { request: id, number: attempts_sent },
                endpoint: *endpoint,
                status: AttemptStatus::NotExecuted,
                request_finished: true,
                elapsed: 0.0,
                source_wait: 0.0,
                cache_status: None,
                load_report: LoadReport::default(),
            };
            policy.handle(now, &Event::AttemptFinished(never_sent));
        }
    }

    fn compare_cancellations(&mut self, carried_out: &[Action], actions: &[Action]) {
        let cancelled = self.cancelled_attempts(carried_out);
        let others = self.cancelled_attempts(actions);
        let different = cancelled.symmetric_difference(&others).count() as u64;
        self.counts.cancellation += different;
        self.counts.compared += different;
    }

    fn cancelled_attempts(&self, actions: &[Action]) -> BTreeSet<AttemptId> {
        let cancelled = actions.iter().filter_map(|action| match action {
            Action::CancelAttempt(id) => Some(*id),
            _ => None,
        });
        cancelled.filter(|id| self.in_flight.contains_key(id)).collect()
    }
}

fn decisions_by_request(actions: &[Action]) -> BTreeMap<RequestId, Decision> {
    actions.iter().filter_map(Decision::from_action).collect()
}
