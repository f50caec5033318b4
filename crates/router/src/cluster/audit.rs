//! Recording of this router's actions in its audit log.

use linnethook_audit::record::{AuditedAction, WriteAttempt, WriteOutcome};

use crate::policy_adapter::{AttemptEnd, FinalAnswer, Ms};
use crate::upstream::AttemptOrder;

use super::ClusterAdapter;

impl ClusterAdapter {
    /// Records an action if the audit log is enabled.
    pub(super) fn record_action(&mut self, now: Ms, action: AuditedAction) {
        if let Some(audit_log) = &mut self.audit_log {
            audit_log.record_action(self.membership.clock.next_timestamp(now), action);
        }
    }

    /// Records that an attempt was sent, and its fill if it has one. `request_id` is recorded for writes
    /// only.
    pub fn record_attempt(&mut self, now: Ms, order: &AttemptOrder, request_id: &str, is_write: bool) {
        let Some(audit_log) = &mut self.audit_log else { return };
        let at = self.membership.clock.next_timestamp(now);
        let target = order.endpoint.number();
        match is_write {
            true => audit_log.record_write_attempt(WriteAttempt {
                request_id: request_id.to_string(),
                attempt: order.attempt.number,
                target,
                at,
            }),
            false => audit_log.record_action(at, AuditedAction::Attempt { target }),
        }
        if let Some(source) = order.fill.source.filter(|_| !order.fill.only_if_cached) {
            let source = source.number();
            audit_log.record_action(at, AuditedAction::Fill { child: target, source });
        }
    }

    /// Records the outcome of an attempt of a write.
    pub fn record_write_outcome(&mut self, now: Ms, request_id: &str, attempt: u8, end: AttemptEnd) {
        let Some(audit_log) = &mut self.audit_log else { return };
        audit_log.record_write_outcome(WriteOutcome {
            request_id: request_id.to_string(),
            attempt,
            outcome: end.name().to_string(),
            at: self.membership.clock.next_timestamp(now),
        });
    }

    /// Records the final answer of a request that was rejected or has failed.
    pub fn record_answer(&mut self, now: Ms, answer: FinalAnswer) {
        match answer {
            FinalAnswer::Rejected { .. } => self.record_action(now, AuditedAction::Refused),
            FinalAnswer::Failed => self.record_action(now, AuditedAction::Failed),
            FinalAnswer::Served => {}
        }
    }

    /// Closes the spans that are due, and sends them to the replica holders.
    pub(super) fn run_audit_log(&mut self, now: Ms) {
        let Some(audit_log) = &mut self.audit_log else { return };
        if !audit_log.is_due(now, &self.versions, &self.linked_peers) {
            return;
        }
        let at = self.membership.clock.next_timestamp(now);
        let messages = audit_log.tick(now, at, &self.versions, &self.linked_peers);
        self.send_all(messages);
    }

    /// Writes the last record of the audit log, and publishes the router's status once more; the departure
    /// itself was announced at the start of the drain.
    pub fn end_audit_log(&mut self, now: Ms) {
        if let Some(audit_log) = &mut self.audit_log {
            let at = self.membership.clock.next_timestamp(now);
            let messages = audit_log.finish(now, at, &self.linked_peers);
            self.send_all(messages);
        }
        self.membership.leave(now);
    }
}
