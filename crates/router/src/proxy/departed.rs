//! Requests of other sites that are no longer tried for, since their senders have cancelled them, but may have been
//! executed.
//!
//! The gateway is told the outcome of each once it is known: that it was not executed only if that is proven.

use std::collections::BTreeMap;

use linnethook_gateway::gateway::Reply;

use crate::event_handler::EventHandler;
use crate::policy_adapter::{AttemptEnd, AttemptKey, FinalAnswer, Ms, PolicyInput, Ticket};
use crate::remote_sites::reply_of;
use crate::upstream::{CompletedAttempt, ResponsePayload};

use super::Proxy;

/// The departed requests whose outcomes are not known yet.
#[derive(Debug, Default)]
pub(super) struct DepartedRequests {
    /// Whether an attempt that has ended may have been executed, by request.
    may_have_run: BTreeMap<Ticket, bool>,
}

impl DepartedRequests {
    /// Records the outcome of an attempt. Returns whether its request is one of these.
    pub fn record_attempt(&mut self, completed: &CompletedAttempt) -> bool {
        let may_have_run = self.may_have_run.get_mut(&completed.report.attempt.ticket);
        may_have_run.is_some_and(|may_have_run| {
            *may_have_run |= completed.may_have_run;
            true
        })
    }
}

impl<W: EventHandler> Proxy<W> {
    /// Ends a request of another site for which nobody waits any more: no further attempt begins for it.
    pub(super) fn cancel_remote(&mut self, now: Ms, ticket: Ticket) {
        let remote_sites = self.parts.remote_sites.as_mut();
        let may_run_elsewhere = remote_sites.is_some_and(|remote_sites| remote_sites.cancel(now, ticket));
        let Some(request) = self.requests.remove(ticket) else { return };
        self.departed.may_have_run.insert(ticket, request.may_have_run || may_run_elsewhere);
        self.withdraw_unsent(now, ticket);
        self.parts.take_retry_after(ticket);
        self.report_to_policy(now, PolicyInput::RequestCancelled(ticket));
        self.report_departed_if_known(ticket, None);
    }

    /// Begins no attempt for a request until its sender is heard again, whose connection was lost. An attempt that was
    /// sent goes on, and its outcome is reported.
    pub(super) fn suspend_remote(&mut self, ticket: Ticket) {
        let now = self.clock.now();
        let remote_sites = self.parts.remote_sites.as_mut();
        if !remote_sites.is_some_and(|remote_sites| remote_sites.stop_retries(ticket)) {
            self.upstreams.withdraw_suspended(now, ticket);
        }
    }

    /// Begins no further attempt for a request whose sender was not heard in time.
    pub(super) fn stop_retries(&mut self, ticket: Ticket) {
        let now = self.clock.now();
        self.requests.mark_lost_sender(ticket);
        if !self.upstreams.has_sent_attempt(ticket) {
            self.cancel_remote(now, ticket);
        }
    }

    /// Ends a request whose sender was lost once its last attempt has ended without an answer.
    pub(super) fn end_if_sender_lost(&mut self, now: Ms, ticket: Ticket) {
        if self.requests.has_lost_sender(ticket) && !self.upstreams.has_unreported_attempt(ticket) {
            self.cancel_remote(now, ticket);
        }
    }

    /// Handles an outcome that was reported to the policy, if it is that of a departed request.
    pub(super) fn on_departed_attempt(
        &mut self,
        attempt: AttemptKey,
        end: AttemptEnd,
        payload: ResponsePayload,
    ) {
        let reply = (end == AttemptEnd::Answered).then(|| reply_of(FinalAnswer::Served, payload));
        self.report_departed_if_known(attempt.ticket, reply);
    }

    /// Tells the gateway the outcome of a departed request, unless one of its attempts has no outcome yet.
    fn report_departed_if_known(&mut self, ticket: Ticket, answer: Option<Reply>) {
        if answer.is_none() && self.upstreams.has_unreported_attempt(ticket) {
            return;
        }
        let Some(may_have_run) = self.departed.may_have_run.remove(&ticket) else { return };
        let unanswered = if may_have_run { Reply::Failed } else { Reply::Rejected { retry_after: 0.0 } };
        self.reply_to_site(ticket, answer.unwrap_or(unanswered));
    }
}
