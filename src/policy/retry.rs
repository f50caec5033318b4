//! Retries: idempotence, retry limits, retry budget and backoff, and the answer when no retry is possible.

use super::Policy;
use crate::interface::{
    Action, DeduplicationScope, Endpoint, EndpointId, Idempotence, Ms, RejectReason, RequestId, RetryScope,
};
use crate::records::RequestRecord;

/// Retries that each request adds to the budget. If a fault affects a larger share of the requests, retrying
/// all of them would only make it worse.
const RETRIES_PER_REQUEST: f64 = 0.15;
/// Capacity of the retry budget.
const MAX_RETRY_BUDGET: f64 = 20.0;

/// Step of the backoff of a write: the mean backoff is this, multiplied by one more than the number of
/// attempts sent.
const BACKOFF_STEP: Ms = 40.0;
/// `Retry-After` of a rejection.
const RETRY_AFTER: Ms = 50.0;
/// Clock ticks that may pass between the decision to send an attempt and the time at which it counts as sent.
const SENT_SLACK_TICKS: f64 = 2.0;

/// The retries that this router may still send: a token bucket that new requests refill.
#[derive(Debug)]
pub(super) struct RetryBudget {
    retries: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { retries: MAX_RETRY_BUDGET }
    }
}

impl RetryBudget {
    /// Adds the retries that one new request contributes.
    pub(super) fn deposit(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_RETRY_BUDGET);
    }

    /// Takes one retry from the budget; returns `false` if it is exhausted.
    pub(super) fn withdraw(&mut self) -> bool {
        if self.retries < 1.0 {
            return false;
        }
        self.retries -= 1.0;
        true
    }
}

/// Whether a request without a usable route is retried after a backoff.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum RetryDecision {
    After(Ms),
    /// The backoff would end after the request's deadline.
    NoTime,
    Never,
}

impl Policy {
    /// The reason for which no further attempt may be sent to any endpoint, if there is one.
    pub(super) fn attempt_rejection(&self, request: &RequestRecord, time_left: Ms) -> Option<RejectReason> {
        let is_retry = request.attempts_sent > 0;
        let first_endpoint = request.may_have_executed.map(|(_, endpoint)| endpoint);
        if time_left <= 0.0 {
            return Some(RejectReason::DeadlineExceeded);
        }
        if request.attempts_sent >= self.settings.max_attempts.max(1) {
            return Some(RejectReason::AttemptsExhausted);
        }
        if is_retry && time_left < request.work {
            return Some(RejectReason::DeadlineTooClose);
        }
        if request.nothing_cached {
            return Some(request.fill_denied.unwrap_or(RejectReason::NothingCached));
        }
        if first_endpoint.is_some_and(|endpoint| !self.may_repeat_at(request, endpoint)) {
            return Some(RejectReason::RepeatNotAllowed);
        }
        None
    }

    /// Whether idempotence allows another attempt at `endpoint`.
    ///
    /// An idempotent request may always be repeated. One with an idempotency key may be repeated within the
    /// scope and window of the key. Any other request may be repeated only if no attempt can have been
    /// executed.
    ///
    /// Requests are not hedged: they are dispatched only while they have no attempt in flight, so that the
    /// setting `parallel_attempts` has no effect at present.
    pub(super) fn may_repeat_at(&self, request: &RequestRecord, endpoint: EndpointId) -> bool {
        let idempotence = self.settings.class(request.request.class).idempotence;
        let is_idempotent = idempotence == Idempotence::Idempotent;
        let may_run_parallel = is_idempotent && self.settings.parallel_attempts;
        if request.attempts_in_flight > 0 && !may_run_parallel {
            return false;
        }
        let Some((_, first)) = request.may_have_executed else { return true };
        match idempotence {
            Idempotence::Idempotent => true,
            Idempotence::NotIdempotent => false,
            Idempotence::WithKey { scope, .. } => {
                let is_in_window = self.repeat_deadline(request).is_some_and(|deadline| self.now < deadline);
                self.recognise_same_keys(scope, first, endpoint) && is_in_window
            }
        }
    }

    /// The time at which the next attempt of a request may no longer be sent, as the endpoints may have
    /// forgotten its key; `None` if it may be sent at any time.
    ///
    /// An attempt may wait for a connection or for its turn after it was ordered: the order carries this
    /// time.
    pub(super) fn repeat_deadline(&self, request: &RequestRecord) -> Option<Ms> {
        let (sent_at, _) = request.may_have_executed?;
        match self.settings.class(request.request.class).idempotence {
            Idempotence::WithKey { window, .. } => {
                Some(sent_at + window - SENT_SLACK_TICKS * self.settings.clock_resolution)
            }
            Idempotence::Idempotent | Idempotence::NotIdempotent => None,
        }
    }

    fn recognise_same_keys(&self, scope: DeduplicationScope, first: EndpointId, second: EndpointId) -> bool {
        let (Some(first), Some(second)) = (self.endpoints.get(&first), self.endpoints.get(&second)) else {
            return false;
        };
        is_in_scope(scope, &first.endpoint, &second.endpoint)
    }

    /// Decides whether a request without a usable route is retried later. A write that has been sent before
    /// is retried after a randomised, linearly growing backoff, as no other endpoint can execute it. Reads,
    /// and requests of which no attempt has been sent, are not retried.
    pub(super) fn decide_backoff(
        &mut self,
        is_write: bool,
        attempts_sent: u32,
        time_left: Ms,
    ) -> RetryDecision {
        let pause = BACKOFF_STEP * f64::from(1 + attempts_sent) * (0.5 + self.draw());
        if !is_write || attempts_sent == 0 {
            RetryDecision::Never
        } else if pause >= time_left {
            RetryDecision::NoTime
        } else {
            RetryDecision::After(pause)
        }
    }

    /// Sets a timer for the next attempt, which may use all endpoints again.
    pub(super) fn start_backoff(&mut self, id: RequestId, pause: Ms) {
        self.last_timer_token = self.last_timer_token.wrapping_add(1).max(1);
        self.backoffs.insert(self.last_timer_token, id);
        self.actions.push(Action::SetTimer { at: self.now + pause, token: self.last_timer_token });
        if let Some(request) = self.requests.get_mut(&id) {
            request.avoid.clear();
        }
    }

    /// Sends the next attempt after a backoff; unknown tokens are ignored.
    pub(super) fn end_backoff(&mut self, token: u32) {
        if let Some(id) = self.backoffs.remove(&token) {
            self.dispatch_request(id);
        }
    }

    /// Ends the request with its final answer: a rejection if the client may safely retry, otherwise a
    /// failure.
    pub(super) fn give_up(&mut self, id: RequestId, reason: RejectReason) {
        let Some(request) = self.requests.get(&id) else { return };
        let final_answer = match self.client_retry_scope(request) {
            Some(retry_scope) => {
                Action::Reject { request: id, retry_after: self.retry_after(), retry_scope, reason }
            }
            None => Action::Fail { request: id, reason },
        };
        self.actions.push(final_answer);
        self.close_request(id);
    }

    /// Where a retry by the client is safe, whichever endpoint executes it; `None` if it is not. It is safe
    /// for idempotent requests, for those of which no attempt can have been executed, and for those whose key
    /// all endpoints recognise: their clients retry within its window only.
    fn client_retry_scope(&self, request: &RequestRecord) -> Option<RetryScope> {
        let never_executed = request.may_have_executed.is_none() && request.attempts_in_flight == 0;
        match self.settings.class(request.request.class).idempotence {
            Idempotence::Idempotent => Some(RetryScope::Anywhere),
            _ if never_executed => Some(RetryScope::Anywhere),
            Idempotence::WithKey { scope: DeduplicationScope::All, .. } => Some(RetryScope::SameEndpoints),
            Idempotence::WithKey { .. } | Idempotence::NotIdempotent => None,
        }
    }

    /// The `Retry-After` of a rejection, in milliseconds; 0 where it is not supported.
    pub fn retry_after(&self) -> Ms {
        if self.settings.supports_retry_after {
            RETRY_AFTER.min(self.settings.max_retry_after)
        } else {
            0.0
        }
    }
}

fn is_in_scope(scope: DeduplicationScope, first: &Endpoint, second: &Endpoint) -> bool {
    match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => first.zone == second.zone,
        DeduplicationScope::Cell => first.zone == second.zone && first.cell == second.cell,
    }
}
