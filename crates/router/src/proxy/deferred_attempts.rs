//! Attempts that wait until the sender of their request, another site, is heard again: its client may have left.
//!
//! They are sent as the policy has ordered them, unless the endpoint list has changed or objects were purged in the
//! meantime. The policy then decides anew.

use std::collections::BTreeMap;

use crate::event_handler::EventHandler;
use crate::policy_adapter::{AttemptKey, Ms, Ticket};
use crate::upstream::{AttemptOrder, FillPath};

use super::Proxy;

/// An attempt that waits.
#[derive(Debug)]
struct DeferredAttempt {
    order: AttemptOrder,
    fill_path: Option<FillPath>,
    deferred_at: Ms,
    /// The state of the endpoint list and purges when it was ordered.
    revision: u64,
}

/// The attempts that wait.
#[derive(Debug, Default)]
pub(super) struct DeferredAttempts {
    by_attempt: BTreeMap<AttemptKey, DeferredAttempt>,
}

impl DeferredAttempts {
    /// Removes an attempt and returns its order; `None` if it does not wait.
    pub fn remove(&mut self, attempt: AttemptKey) -> Option<AttemptOrder> {
        self.by_attempt.remove(&attempt).map(|deferred| deferred.order)
    }

    /// Removes the attempts of a request.
    pub fn take_request(&mut self, ticket: Ticket) -> Vec<AttemptOrder> {
        let of_request = self.by_attempt.keys().copied().filter(|attempt| attempt.ticket == ticket);
        let of_request: Vec<AttemptKey> = of_request.collect();
        of_request.into_iter().filter_map(|attempt| self.remove(attempt)).collect()
    }
}

impl<W: EventHandler> Proxy<W> {
    /// Whether an attempt of a request may be begun now: the sender of one from another site still waits for it.
    pub(super) fn may_begin_attempt(&self, now: Ms, ticket: Ticket) -> bool {
        let remote_sites = self.parts.remote_sites.as_ref();
        remote_sites.is_none_or(|remote_sites| remote_sites.may_begin_attempt(now, ticket))
    }

    /// Withdraws the queued attempts of a request if the site that has sent it is not heard at the moment.
    pub(super) fn check_sender(&mut self, ticket: Ticket) {
        let now = self.clock.now();
        if !self.may_begin_attempt(now, ticket) {
            self.upstreams.withdraw_suspended(now, ticket);
        }
    }

    /// Defers an attempt until the sender of its request is heard again.
    pub(super) fn defer_attempt(&mut self, now: Ms, order: &AttemptOrder, fill_path: Option<&FillPath>) {
        let deferred = DeferredAttempt {
            order: order.clone(),
            fill_path: fill_path.cloned(),
            deferred_at: now,
            revision: self.upstreams.revision(),
        };
        self.counters.attempts_deferred += 1;
        self.deferred_attempts.by_attempt.insert(order.attempt, deferred);
    }

    /// Sends the attempts whose senders were heard again.
    pub(super) fn send_deferred_attempts(&mut self) {
        let now = self.clock.now();
        let deferred = self.deferred_attempts.by_attempt.keys().copied();
        let ready: Vec<AttemptKey> =
            deferred.filter(|attempt| self.may_begin_attempt(now, attempt.ticket)).collect();
        if ready.is_empty() {
            return;
        }
        for attempt in ready {
            if let Some(deferred) = self.deferred_attempts.by_attempt.remove(&attempt) {
                self.send_deferred(now, deferred);
            }
        }
        self.process_outcomes();
    }

    fn send_deferred(&mut self, now: Ms, deferred: DeferredAttempt) {
        let DeferredAttempt { mut order, fill_path, deferred_at, revision } = deferred;
        order.timeout -= now - deferred_at;
        if order.timeout > 0.0 && revision == self.upstreams.revision() {
            self.send_upstream(now, &order, fill_path.as_ref());
        } else {
            self.upstreams.give_back_unsent(now, order.attempt, order.endpoint, deferred_at);
        }
    }
}
