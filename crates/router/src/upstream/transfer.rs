//! Reading from and writing to connections.

use std::io;

use crate::event_handler::EventHandler;
use crate::log::log_line;
use crate::permission::SendRefusal;
use crate::policy_adapter::{AttemptEnd, AttemptKey, Ms};
use crate::system_error::{is_interrupted, source_of_transfer_error, ErrorSource};
use crate::turn::{ConnectionKind, WorkBudget, READABLE};

use super::attempt_table::InFlightAttempt;
use super::codec::StringLimits;
use super::connection::{Connection, ConnectionId, WriteProgress};
use super::{EndpointKey, Upstreams};

impl<W: EventHandler> Upstreams<W> {
    /// Reads a connection, as far as its budget goes, and handles the complete replies.
    pub(super) fn read(&mut self, now: Ms, id: ConnectionId) {
        let mut budget = self.ready.connection_budget(ConnectionKind::Upstream);
        self.read_within(now, id, &mut budget);
        self.ready.charge(ConnectionKind::Upstream, id, &budget);
    }

    fn read_within(&mut self, now: Ms, id: ConnectionId, budget: &mut WorkBudget) {
        loop {
            // Complete replies may have been left from the last time.
            self.handle_replies(now, id, budget);
            if budget.is_spent() {
                return self.mark_ready(id, READABLE);
            }
            let Some(connection) = self.connections.get_mut(&id) else { return };
            match connection.read() {
                Ok(0) => return self.close(now, id, "closed by the endpoint"),
                Ok(read) => {
                    budget.spend_bytes(read);
                    self.note_activity(now, id);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return self.close_if_unsolicited_input(now, id);
                }
                Err(error) if is_interrupted(&error) => continue,
                Err(error) => return self.on_transfer_error(now, id, &error),
            }
        }
    }

    /// Handles the complete replies that were read, as far as the budget goes.
    fn handle_replies(&mut self, now: Ms, id: ConnectionId, budget: &mut WorkBudget) {
        while !budget.is_spent() {
            let limits = self.string_limits();
            let Some(connection) = self.connections.get_mut(&id) else { return };
            match connection.next_reply(limits) {
                Ok(Some(reply)) => {
                    budget.spend_message();
                    self.on_reply(now, id, reply);
                }
                Ok(None) => return,
                Err(error) => return self.close(now, id, &error.to_string()),
            }
        }
    }

    /// The limits of replies now: while buffers are exhausted, only bodies that fit into one block are kept.
    fn string_limits(&self) -> StringLimits {
        let max_bytes = self.limits.upstreams.max_string_bytes;
        let is_exhausted = self.buffers.is_exhausted();
        let max_body_bytes = if is_exhausted { self.limits.buffers.block_bytes } else { max_bytes };
        StringLimits { max_bytes, max_body_bytes }
    }

    /// Writes queued messages, except attempts whose clients have to be checked first.
    pub(super) fn flush(&mut self, now: Ms, id: ConnectionId) {
        self.write(now, id, now - self.limits.clients.check_interval_ms);
    }

    /// Writes queued messages, however long they have been queued.
    pub fn write_queued(&mut self, now: Ms, id: ConnectionId) {
        self.log_late_write(now, id);
        self.write(now, id, f64::NEG_INFINITY);
    }

    /// Logs how long the next attempt was queued.
    fn log_late_write(&self, now: Ms, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else { return };
        let Some(next) = connection.queue.front().filter(|next| next.attempt.is_some()) else { return };
        log_line!(
            upstream = %self.endpoint_label(connection.endpoint),
            request = %next.id.as_deref().unwrap_or_default(),
            attempt = next.attempt.map(|attempt| attempt.number),
            waited_ms = (now - next.queued_at).round(),
            queued = connection.queue.len(),
            "writing attempts that waited for their connection"
        );
    }

    /// Writes queued messages until the socket would block, but no attempt that was queued before `oldest`.
    fn write(&mut self, now: Ms, id: ConnectionId, oldest: Ms) {
        self.withdraw_unsendable(now);
        let Some(connection) = self.connections.get_mut(&id).filter(|connection| connection.is_up()) else {
            return;
        };
        let attempts = &self.attempts;
        let order_of = |attempt| attempts.get(attempt).map(InFlightAttempt::order);
        match connection.write(now, &self.buffers, oldest, order_of) {
            Ok(WriteProgress::Done) => {}
            Ok(WriteProgress::Refused(attempt, refusal)) => self.refuse(now, id, attempt, refusal),
            Ok(WriteProgress::Stalled) => _ = self.stalled.insert(id),
            Err(error) => self.on_transfer_error(now, id, &error),
        }
    }

    /// Ends a queued attempt that may not be sent, and goes on with the next one.
    fn refuse(&mut self, now: Ms, id: ConnectionId, attempt: AttemptKey, refusal: SendRefusal) {
        if refusal.is_violation() {
            self.violations += 1;
            log_line!(attempt = attempt.number, "an attempt was still queued though its request had ended");
        }
        if self.attempts.get(attempt).is_some() {
            // Its connection is written again.
            return self.abandon_all(now, vec![attempt], AttemptEnd::TimedOut);
        }
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.drop_queued(attempt);
            self.flush(now, id);
        }
    }

    /// Handles an error of a read or write: one of this machine is repeated later, any other ends the connection.
    fn on_transfer_error(&mut self, now: Ms, id: ConnectionId, error: &io::Error) {
        match source_of_transfer_error(error) {
            ErrorSource::Local => self.retries.insert(now, id),
            ErrorSource::Peer => self.close(now, id, &error.to_string()),
        }
    }

    fn endpoint_of(&self, id: ConnectionId) -> Option<EndpointKey> {
        self.connections.get(&id).map(|connection| connection.endpoint)
    }

    /// Closes a connection on which a reply has begun although no exchange is open: the reply to the next
    /// message would follow it, or never arrive.
    fn close_if_unsolicited_input(&mut self, now: Ms, id: ConnectionId) {
        if self.connections.get(&id).is_some_and(Connection::has_unexpected_input) {
            log_line!(
                upstream = %self.endpoint_of(id).map(|key| self.endpoint_label(key)).unwrap_or_default(),
                "closing a connection to an upstream that sent a reply without an open request"
            );
            self.close(now, id, "unsolicited reply");
        }
    }
}
