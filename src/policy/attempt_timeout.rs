//! Attempt time-outs, detection of overdue attempts, and cancellation.

use super::Policy;
use crate::interface::{Action, AttemptId, Idempotence, Ms};
use crate::records::{AttemptRecord, RequestRecord};

/// Share of the remaining time that an attempt may take if a retry may follow.
const FIRST_ATTEMPT_RATIO: f64 = 0.6;

/// An attempt is overdue when it has taken longer than this plus [`OVERDUE_WORK_RATIO`] times its transfer
/// time.
const OVERDUE_AFTER: Ms = 300.0;
/// See [`OVERDUE_AFTER`].
const OVERDUE_WORK_RATIO: f64 = 2.5;

impl Policy {
    /// The time-out of the request's next attempt. `time_left` is the time until its deadline.
    ///
    /// An attempt of a request that is not idempotent, and the last attempt of any request, may use all of
    /// the remaining time. An attempt of an idempotent request gets at least its latency objective plus its
    /// transfer time, as far as time is left, as a retry would need as much.
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

    /// Whether the attempt has taken far longer than its transfer time.
    pub(super) fn is_overdue(&self, attempt: &AttemptRecord) -> bool {
        self.now - attempt.sent_at > OVERDUE_AFTER + OVERDUE_WORK_RATIO * attempt.work
    }

    /// Cancels an attempt in flight if the settings allow it; has no effect if it is cancelled already.
    pub(super) fn cancel_attempt(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        if !attempt.cancelled && self.settings.may_cancel {
            attempt.cancelled = true;
            self.actions.push(Action::CancelAttempt(id));
        }
    }

    /// Whether an attempt may be cancelled in order to retry its request at another endpoint.
    pub(super) fn may_cancel_for_retry(&self, id: AttemptId) -> bool {
        self.requests.get(&id.request).is_some_and(|request| {
            let idempotence = self.settings.class(request.request.class).idempotence;
            !request.response_started && idempotence == Idempotence::Idempotent
        })
    }

    /// Counts fills as late as soon as they have missed their latency objective, before they end. While the
    /// origin is slow, late fills are assumed to be waiting for it and no longer count as load of the fill
    /// link.
    pub(super) fn count_late_fills(&mut self) {
        let (now, origin_is_slow) = (self.now, self.origin_admission.is_slow());
        let mut newly_late = Vec::new();
        for attempt in self.attempts.values_mut() {
            let may_fill = attempt.fills_from_upstream || attempt.may_revalidate;
            let is_late = now - attempt.sent_at > attempt.latency_objective;
            if !may_fill || attempt.counted_late || !is_late {
                continue;
            }
            attempt.counted_late = true;
            newly_late.push(*attempt);
            if origin_is_slow {
                self.fill_link.remove(now, attempt.fill_link_work);
                attempt.fill_link_work = 0.0;
            }
        }
        for attempt in newly_late {
            self.attribute_fill(&attempt, true);
        }
    }
}
