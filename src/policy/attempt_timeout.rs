//! Time-outs: how long an attempt may take, when it is overdue, and its cancellation.

use super::Policy;
use crate::interface::{Action, AttemptId, Idempotence, Ms};
use crate::records::{AttemptRecord, RequestRecord};

/// Share of the time left that an attempt may take when there is time for another one.
const FIRST_ATTEMPT_RATIO: f64 = 0.6;

/// An attempt is overdue this long after ...
const OVERDUE_AFTER: Ms = 300.0;
/// ... this multiple of its transfer time.
const OVERDUE_WORK_RATIO: f64 = 2.5;

impl Policy {
    /// The time-out of the request's next attempt. `time_left` is the time until its deadline.
    ///
    /// A request that may not be repeated, and the last attempt of any, may take all the time left. An
    /// idempotent one gets at least its latency objective and transfer time, as a retry would need as much.
    pub(super) fn attempt_timeout(&self, request: &RequestRecord, time_left: Ms) -> Ms {
        let class = self.settings.class(request.request.class);
        let is_last = request.attempts_sent + 1 >= self.settings.max_attempts.max(1);
        let first_share = time_left * FIRST_ATTEMPT_RATIO;
        match class.idempotence {
            Idempotence::NotIdempotent => time_left,
            _ if is_last => time_left,
            Idempotence::WithKey { .. } => first_share,
            Idempotence::Idempotent => {
                let expected = class.objective_for(request.work) + request.work;
                time_left.min(expected.max(first_share))
            }
        }
    }

    /// Whether the attempt should have ended long ago, by its transfer time.
    pub(super) fn is_overdue(&self, attempt: &AttemptRecord) -> bool {
        self.now - attempt.sent_at > OVERDUE_AFTER + OVERDUE_WORK_RATIO * attempt.work
    }

    /// Cancels an attempt in flight, once, where the settings allow it.
    pub(super) fn cancel_attempt(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        if !attempt.cancelled && self.settings.may_cancel {
            attempt.cancelled = true;
            self.actions.push(Action::CancelAttempt(id));
        }
    }

    /// Whether an attempt may be cancelled so that its request is retried elsewhere.
    pub(super) fn may_cancel_for_retry(&self, id: AttemptId) -> bool {
        self.requests.get(&id.request).is_some_and(|request| {
            let idempotence = self.settings.class(request.request.class).idempotence;
            !request.response_started && idempotence == Idempotence::Idempotent
        })
    }

    /// Counts fills as late as soon as they have missed their latency objective, before they end. What
    /// waits for a slow origin does not use the fill link meanwhile.
    pub(super) fn count_late_fills(&mut self) {
        let (now, origin_is_slow) = (self.now, self.origin_admission.is_slow());
        let mut newly_late = Vec::new();
        for attempt in self.attempts.values_mut() {
            let may_fill = attempt.fills_from_above || attempt.may_revalidate;
            let is_late = now - attempt.sent_at > attempt.latency_objective;
            if !may_fill || attempt.counted_late || !is_late {
                continue;
            }
            attempt.counted_late = true;
            newly_late.push(*attempt);
            if origin_is_slow {
                self.fill_link.remove(now, attempt.filling);
                attempt.filling = 0.0;
            }
        }
        for attempt in newly_late {
            self.attribute_fill(&attempt, true);
        }
    }
}
