//! Owns the second instance of the module: its timers, and the requests in which it keeps step.
//!
//! Must never hand on an action, nor let a failure of its own through.

use std::collections::{BTreeMap, BTreeSet};
use std::panic::{catch_unwind, AssertUnwindSafe};

use linnethook::interface::{
    Action, AttemptId, AttemptOutcome, AttemptStatus, EndpointId, Event, LoadReport, Ms, RequestId, Settings,
};
use linnethook::Policy;

use crate::counts::{Apart, Counts, Said};
use crate::hearing::Hearing;

/// When a timer is due, in whole microseconds, and its token: the order in which timers ring.
pub type Due = (u64, u32);

/// What decides: the module, or a stand-in for it in a test.
pub trait Decides {
    fn handle(&mut self, now: Ms, event: &Event) -> Vec<Action>;
}

impl Decides for Policy {
    fn handle(&mut self, now: Ms, event: &Event) -> Vec<Action> {
        Policy::handle(self, now, event)
    }
}

#[derive(Debug)]
pub struct Watch<M = Policy> {
    /// `None` once it has failed.
    policy: Option<M>,
    hearing: Hearing,
    timers: BTreeSet<Due>,
    /// Open requests in step, and how many attempts both have sent.
    in_step: BTreeMap<RequestId, u8>,
    /// Attempts that both have sent and that are out, and where.
    out: BTreeMap<AttemptId, EndpointId>,
    counts: Counts,
}

impl Watch {
    /// Begins with the settings of the other shape and the seed of the instance that decides.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let hearing = Hearing::new(&settings);
        Self::with(Policy::new(settings, seed), hearing)
    }
}

impl<M: Decides> Watch<M> {
    pub fn with(policy: M, hearing: Hearing) -> Self {
        Self {
            hearing,
            policy: Some(policy),
            timers: BTreeSet::new(),
            in_step: BTreeMap::new(),
            out: BTreeMap::new(),
            counts: Counts::default(),
        }
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// How much is kept: requests in step, attempts out, timers.
    pub fn kept(&self) -> (usize, usize, usize) {
        (self.in_step.len(), self.out.len(), self.timers.len())
    }

    /// Takes in an event that was decided about, and what was decided. A timer comes with when it was due.
    pub fn see(&mut self, now: Ms, event: &Event, due: Option<Due>, done: &[Action]) {
        let Some(mut policy) = self.policy.take() else { return };
        // A failure here must not reach the instance that decides.
        let seen = catch_unwind(AssertUnwindSafe(|| self.follow(&mut policy, now, event, due, done)));
        match seen {
            Ok(()) => self.policy = Some(policy),
            Err(_) => {
                self.counts.ended = 1;
                self.timers.clear();
                self.in_step.clear();
                self.out.clear();
            }
        }
    }

    fn follow(&mut self, policy: &mut M, now: Ms, event: &Event, due: Option<Due>, done: &[Action]) {
        let would = self.tell(policy, now, event, due);
        self.compare(policy, now, done, &would);
        match event {
            Event::AttemptFinished(outcome) if outcome.request_finished => {
                self.in_step.remove(&outcome.attempt.request);
            }
            Event::ClientDisconnected(id) => drop(self.in_step.remove(id)),
            _ => {}
        }
    }

    /// What the second instance does about it, where it has heard of the attempt at all.
    fn tell(&mut self, policy: &mut M, now: Ms, event: &Event, due: Option<Due>) -> Vec<Action> {
        let mut would = Vec::new();
        match event {
            Event::Timer(_) => {
                let Some(due) = due else { return would };
                // Its own timers, in their order; those of the other instance are not its business.
                while let Some(&first) = self.timers.first().filter(|first| **first <= due) {
                    self.timers.remove(&first);
                    would.extend(policy.handle(now, &Event::Timer(first.1)));
                }
            }
            Event::AttemptFinished(outcome) => {
                if self.out.remove(&outcome.attempt).is_some() {
                    would = policy.handle(now, &self.hearing.hear(event));
                }
            }
            Event::ResponseStarted(attempt) if !self.out.contains_key(attempt) => {}
            Event::Request(request) => {
                self.in_step.insert(request.id, 0);
                would = policy.handle(now, event);
            }
            _ => would = policy.handle(now, &self.hearing.hear(event)),
        }
        for action in &would {
            if let Action::SetTimer { at, token } = action {
                self.timers.insert(((at * 1000.0) as u64, *token));
            }
        }
        would
    }

    fn compare(&mut self, policy: &mut M, now: Ms, done: &[Action], would: &[Action]) {
        let decided = |actions: &[Action]| actions.iter().filter_map(Said::by).collect::<BTreeMap<_, _>>();
        let (done_by, would_by) = (decided(done), decided(would));
        let ids: BTreeSet<RequestId> = done_by.keys().chain(would_by.keys()).copied().collect();
        for id in ids {
            let Some(sent) = self.in_step.get(&id).copied() else { continue };
            let (done, would) = (done_by.get(&id), would_by.get(&id));
            let apart = self.counts.compare(done, would);
            match done {
                Some(Said::Sends { cache, .. }) if apart != Apart::Different => {
                    self.out.insert(AttemptId { request: id, number: sent }, *cache);
                    self.in_step.insert(id, sent + 1);
                }
                _ if apart == Apart::Different => self.part(policy, now, id, sent, would),
                Some(said) if said.is_final() => drop(self.in_step.remove(&id)),
                _ => {}
            }
        }
        let taken_back = |actions: &[Action]| -> BTreeSet<AttemptId> {
            let cancelled = actions.iter().filter_map(|action| match action {
                Action::CancelAttempt(id) => Some(*id),
                _ => None,
            });
            cancelled.filter(|id| self.out.contains_key(id)).collect()
        };
        let apart = taken_back(done).symmetric_difference(&taken_back(would)).count() as u64;
        self.counts.cancellation += apart;
        self.counts.compared += apart;
    }

    /// Takes a request from the second instance, and what it would have sent, as if that had never been.
    fn part(&mut self, policy: &mut M, now: Ms, id: RequestId, sent: u8, would: Option<&Said>) {
        self.in_step.remove(&id);
        policy.handle(now, &Event::ClientDisconnected(id));
        if let Some(Said::Sends { cache, .. }) = would {
            let never = AttemptOutcome {
                attempt: AttemptId { request: id, number: sent },
                endpoint: *cache,
                status: AttemptStatus::NeverSent,
                request_finished: true,
                elapsed: 0.0,
                source_wait: 0.0,
                cache_status: None,
                load_report: LoadReport::default(),
            };
            policy.handle(now, &Event::AttemptFinished(never));
        }
    }
}
