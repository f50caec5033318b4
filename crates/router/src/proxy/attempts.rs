//! Sending and cancelling attempts at caches, parents and the origin, and reporting their outcomes.

use crate::event_handler::EventHandler;
use crate::hierarchy_adapter::FillDecision;
use crate::policy_adapter::{AttemptKey, Ms, PolicyInput};
use crate::upstream::{AttemptOrder, CompletedAttempt, FillPath, HealthCheckResult, ResponsePayload};

use super::Proxy;

impl<W: EventHandler> Proxy<W> {
    /// Sends an attempt, unless its fill is queued or not admitted.
    pub(super) fn send(&mut self, now: Ms, order: AttemptOrder) {
        let Some(request) = self.requests.get(order.attempt.ticket) else {
            // The client disconnected while commands were executed. An attempt that is never reported as
            // ended would count as in flight at its endpoint forever.
            return self.upstreams.cancel_unsent(now, order.attempt, order.endpoint);
        };
        if request.has_lost_sender {
            self.upstreams.cancel_unsent(now, order.attempt, order.endpoint);
            return self.cancel_remote(now, order.attempt.ticket);
        }
        let decision = self.parts.admit(now, order, request.profile);
        self.execute_fill_decisions(decision);
    }

    /// Cancels an attempt, whether its fill is queued or it is in flight.
    pub(super) fn cancel(&mut self, now: Ms, attempt: AttemptKey) {
        if let Some(order) = self.deferred_attempts.remove(attempt) {
            return self.upstreams.cancel_unsent(now, attempt, order.endpoint);
        }
        let hierarchy = self.parts.hierarchy.as_mut();
        match hierarchy.and_then(|hierarchy| hierarchy.cancel_attempt(attempt)) {
            Some(FillDecision::Reject { order, .. }) => {
                self.upstreams.cancel_unsent(now, attempt, order.endpoint);
            }
            _ => self.upstreams.cancel(now, attempt),
        }
    }

    /// Sends or rejects attempts according to the hierarchy's decisions.
    pub(super) fn execute_fill_decisions(&mut self, decisions: impl IntoIterator<Item = FillDecision>) {
        let now = self.clock.now();
        for decision in decisions {
            match decision {
                FillDecision::Send { order, fill_path } => {
                    self.send_upstream(now, &order, fill_path.as_ref());
                }
                FillDecision::Reject { order, queued_at } => {
                    self.upstreams.reject_unsent(now, order.attempt, order.endpoint, queued_at);
                }
            }
        }
    }

    /// Sends an attempt, unless its client has cancelled the request or disconnected, or the site that has sent the
    /// request is not heard at the moment.
    pub(super) fn send_upstream(&mut self, now: Ms, order: &AttemptOrder, fill_path: Option<&FillPath>) {
        self.check_client(order.attempt.ticket);
        let Some(request) = self.requests.get(order.attempt.ticket) else {
            return self.upstreams.cancel_unsent(now, order.attempt, order.endpoint);
        };
        if !self.may_begin_attempt(now, order.attempt.ticket) {
            return self.defer_attempt(now, order, fill_path);
        }
        let remote_sites = self.parts.remote_sites.as_ref();
        let departure = remote_sites.and_then(|sites| sites.gateway.departure_of(order.attempt.ticket));
        self.counters.record_attempt(departure);
        if let Some(cluster) = &mut self.parts.cluster {
            cluster.record_attempt(now, order, &request.message.id, request.profile.is_write);
        }
        self.upstreams.send(now, order, &request.message, fill_path);
    }

    /// Reports outcomes of attempts and health checks to the policy until none is pending. For a stalled
    /// connection, it first checks the clients of the queued attempts for disconnects and cancellations, or the sites
    /// that have sent their requests for silence, and then writes what is still queued.
    pub fn process_outcomes(&mut self) {
        loop {
            let now = self.clock.now();
            if let Some(completed) = self.upstreams.next_completed() {
                self.on_completed(now, completed);
            } else if let Some(check) = self.upstreams.next_health_check() {
                self.on_health_check(now, check);
            } else if let Some(stalled) = self.upstreams.next_stalled() {
                for ticket in stalled.tickets {
                    self.check_client(ticket);
                    self.check_sender(ticket);
                }
                self.upstreams.write_queued(self.clock.now(), stalled.id);
            } else {
                return;
            }
        }
    }

    fn on_health_check(&mut self, now: Ms, check: HealthCheckResult) {
        let HealthCheckResult { endpoint, healthy, gauges } = check;
        self.report_to_policy(now, PolicyInput::HealthChecked { endpoint, healthy, gauges });
    }

    fn on_completed(&mut self, now: Ms, completed: CompletedAttempt) {
        let end = completed.report.end;
        self.counters.record_outcome(end, &completed.payload);
        let attempt = completed.report.attempt;
        let write = self.requests.get(attempt.ticket).filter(|request| request.profile.is_write);
        if let (Some(cluster), Some(request)) = (&mut self.parts.cluster, write) {
            cluster.record_write_outcome(now, &request.message.id, attempt.number, end);
        }
        let has_departed = self.departed.record_attempt(&completed);
        self.requests.record_attempt(&completed);
        if let Some(hierarchy) = &mut self.parts.hierarchy {
            let decisions = hierarchy.complete_attempt(now, &completed);
            self.execute_fill_decisions(decisions);
        }
        let commands = self.policy.handle(now, PolicyInput::AttemptEnded(completed.report));
        if has_departed {
            self.execute(commands, ResponsePayload::Empty);
            return self.on_departed_attempt(attempt, end, completed.payload);
        }
        self.execute(commands, completed.payload);
        self.end_if_sender_lost(now, attempt.ticket);
    }

    /// Sends or rejects queued fills that are due.
    pub fn on_hierarchy_timer(&mut self, now: Ms) {
        if let Some(hierarchy) = self.parts.hierarchy.as_mut().filter(|hierarchy| hierarchy.is_due(now)) {
            let decisions = hierarchy.tick(now);
            self.execute_fill_decisions(decisions);
            self.report_fill_sources();
            self.process_outcomes();
        }
    }
}
