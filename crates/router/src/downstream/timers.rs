//! Timeouts of clients' connections, checked in a periodic sweep.

use crate::event_handler::EventHandler;
use crate::permission::CloseReason;
use crate::policy_adapter::Ms;

use super::connection::{ClientConnection, ConnectionPhase};
use super::protocol_error::ProtocolError;
use super::{ClientEvent, ClientId, Downstreams};

/// The action of a sweep on a connection.
enum SweepAction {
    Keep,
    Remove(CloseReason),
    /// The client is sent the error first.
    CloseWithError(ProtocolError),
}

impl<W: EventHandler> Downstreams<W> {
    /// When [`Self::on_timer`] has work, in milliseconds.
    pub fn next_deadline(&self) -> Ms {
        let retries = [self.retries.next_deadline(), self.accept_again_at];
        retries.into_iter().flatten().fold(self.next_sweep, Ms::min)
    }

    /// Closes connections that exceeded a timeout: for the rest of a message, for the first request, for idle
    /// connections, for unread answers, and for lingering.
    pub fn on_timer(&mut self, now: Ms, events: &mut Vec<ClientEvent>) {
        self.discard_partial_messages();
        self.retry_transfers(now);
        self.resume_accepting(now);
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + self.limits.clients.sweep_interval_ms;
        let due: Vec<ClientId> = self
            .clients
            .iter()
            .filter(|(id, client)| self.is_due(now, **id, client))
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            // What arrived in this turn may be a request, or the rest of one.
            self.read(now, id, events);
            self.sweep(now, id, events);
        }
        self.refill_reserve(now, events);
    }

    fn is_due(&self, now: Ms, id: ClientId, client: &ClientConnection) -> bool {
        !matches!(self.sweep_action(now, id, client), SweepAction::Keep)
    }

    fn sweep(&mut self, now: Ms, id: ClientId, events: &mut Vec<ClientEvent>) {
        let Some(client) = self.clients.get(&id) else { return };
        match self.sweep_action(now, id, client) {
            SweepAction::Keep => {}
            SweepAction::Remove(reason) => self.remove(id, reason, events),
            SweepAction::CloseWithError(error) => {
                self.counts.timed_out += 1;
                self.close_with_error(now, id, error, events);
            }
        }
    }

    fn sweep_action(&self, now: Ms, id: ClientId, client: &ClientConnection) -> SweepAction {
        let limits = &self.limits;
        if client.is_open() && self.retries.contains(id) {
            return SweepAction::Keep;
        }
        let passed = |since: Ms, span: Ms| now - since > span;
        let is_awaited = now < client.answers_awaited_until && !self.lacks_resources(now);
        let stalled = !client.output.is_empty()
            && passed(client.last_used, limits.clients.write_stall_timeout_ms)
            && !is_awaited;
        let idle = client.is_idle() && passed(client.last_used, limits.clients.idle_timeout_ms);
        let ended = matches!(client.phase, ConnectionPhase::Lingering { until, .. } if now >= until);
        let reasons =
            [(stalled, CloseReason::Unread), (idle, CloseReason::Idle), (ended, CloseReason::Finished)];
        if let Some((_, reason)) = reasons.into_iter().find(|(applies, _)| *applies) {
            return SweepAction::Remove(reason);
        }
        // A client whose input is unread is not at fault.
        if self.has_unread_input(id) || !client.is_open() {
            return SweepAction::Keep;
        }
        if client.partial_since.is_some_and(|since| passed(since, limits.clients.message_timeout_ms)) {
            return SweepAction::CloseWithError(ProtocolError::MessageTimeout);
        }
        let never_answered = !client.has_been_answered && client.open.is_empty();
        if never_answered && passed(client.accepted_at, limits.clients.first_request_timeout_ms) {
            return SweepAction::CloseWithError(ProtocolError::NoRequest);
        }
        SweepAction::Keep
    }

    /// Whether other clients need the buffers or the place of a client that reads none of its answers.
    fn lacks_resources(&self, now: Ms) -> bool {
        let is_full = self.clients.len() >= self.limits.clients.max_connections;
        self.buffers.is_short() || is_full || self.shortage.is_present(now)
    }
}
