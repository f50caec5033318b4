//! Ending attempts without a reply: cancelled, withdrawn from a queue, or timed out.
//!
//! An attempt counts as not sent only if its message can never become complete at the endpoint. So an
//! abandoned message of which a part was written is not finished: nothing follows it on its connection, and
//! the connection is closed once the exchanges before it have ended.

use std::collections::BTreeSet;

use crate::event_handler::EventHandler;
use crate::log::log_line;
use crate::policy_adapter::{AttemptEnd, AttemptKey, EndpointKey, Ms, Ticket};

use super::attempt_table::InFlightAttempt;
use super::codec;
use super::connection::{Connection, ConnectionId, QueuedMessage, RequestedObject, SendProgress};
use super::Upstreams;

/// A writable connection whose next attempt has been queued for longer than the client check interval.
#[derive(Debug)]
pub struct StalledConnection {
    pub id: ConnectionId,
    /// The requests of the queued attempts.
    pub tickets: Vec<Ticket>,
}

impl<W: EventHandler> Upstreams<W> {
    /// Cancels an attempt.
    pub fn cancel(&mut self, now: Ms, attempt: AttemptKey) {
        self.abandon_all(now, vec![attempt], AttemptEnd::Cancelled);
    }

    /// Withdraws queued attempts for a purged object or group: their age limit predates the purge.
    ///
    /// A connect may take longer than the grace period of a purge.
    pub fn withdraw_purged(&mut self, now: Ms, object: Option<u64>, group: u32) {
        let is_purged = |requested: RequestedObject| match object {
            Some(object) => requested.object == object,
            None => requested.group == group,
        };
        self.revision += 1;
        self.withdraw(now, AttemptEnd::TimedOut, |_, queued| queued.object.is_some_and(is_purged));
    }

    /// Withdraws the queued attempts of a request that its client has cancelled.
    ///
    /// This is not a cancellation at an endpoint, which the settings may forbid: nothing was sent to a cache
    /// yet.
    pub fn withdraw_request(&mut self, now: Ms, ticket: Ticket) {
        self.abandon_all(now, self.queued_attempts(ticket), AttemptEnd::Cancelled);
    }

    /// Withdraws the queued attempts of a request that is suspended. This says nothing about their endpoints.
    pub fn withdraw_suspended(&mut self, now: Ms, ticket: Ticket) {
        self.abandon_all(now, self.queued_attempts(ticket), AttemptEnd::NotSentLocally);
    }

    /// The attempts of a request of which no byte was written.
    fn queued_attempts(&self, ticket: Ticket) -> Vec<AttemptKey> {
        let of_request = self.attempts.of_request(ticket);
        let queued = of_request.filter(|(attempt, in_flight)| self.is_queued(*attempt, in_flight));
        queued.map(|(attempt, _)| attempt).collect()
    }

    /// Whether no byte of an attempt was written.
    pub(super) fn is_queued(&self, attempt: AttemptKey, in_flight: &InFlightAttempt) -> bool {
        let connection = self.connections.get(&in_flight.connection);
        connection.is_some_and(|connection| connection.has_queued(attempt))
    }

    /// Ends the attempts that had to be sent completely by now and were not.
    pub(super) fn withdraw_unsendable(&mut self, now: Ms) {
        let due: Vec<AttemptKey> = std::iter::from_fn(|| self.attempts.pop_send_overdue(now)).collect();
        let unsent: Vec<AttemptKey> =
            due.into_iter().filter(|attempt| !self.is_fully_sent(*attempt)).collect();
        for attempt in &unsent {
            let Some(in_flight) = self.attempts.get(*attempt) else { continue };
            log_line!(
                upstream = %self.endpoint_label(in_flight.endpoint),
                request = %in_flight.request_id,
                attempt = attempt.number,
                waited_ms = (now - in_flight.sent_at).round(),
                "a repeat was not sent before the window of its key ended"
            );
        }
        self.abandon_all(now, unsent, AttemptEnd::TimedOut);
    }

    /// Whether the last byte of an attempt was written.
    fn is_fully_sent(&self, attempt: AttemptKey) -> bool {
        let in_flight = self.attempts.get(attempt);
        let exchange = in_flight.and_then(|in_flight| {
            self.connections.get(&in_flight.connection)?.open.get(&in_flight.request_id)
        });
        exchange.is_some_and(|exchange| exchange.fully_sent)
    }

    /// Withdraws queued attempts of which no byte was written.
    pub(super) fn withdraw(
        &mut self,
        now: Ms,
        end: AttemptEnd,
        matches: impl Fn(EndpointKey, &QueuedMessage) -> bool,
    ) {
        let mut withdrawn = Vec::new();
        for connection in self.connections.values().filter(|connection| !connection.queue.is_empty()) {
            let matching = connection.queue.iter().filter(|queued| matches(connection.endpoint, queued));
            withdrawn.extend(matching.filter_map(|queued| queued.attempt));
        }
        withdrawn.sort_unstable();
        self.abandon_all(now, withdrawn, end);
    }

    /// The next stalled connection. The caller checks the clients of its requests before it has the queue
    /// written.
    pub fn next_stalled(&mut self) -> Option<StalledConnection> {
        let id = self.stalled.pop_first()?;
        let queue = self.connections.get(&id).map(|connection| &connection.queue);
        let attempts = queue.into_iter().flatten().filter_map(|queued| queued.attempt);
        Some(StalledConnection { id, tickets: attempts.map(|attempt| attempt.ticket).collect() })
    }

    /// Ends attempts in flight without a reply, and cancels those at their endpoints that were sent.
    ///
    /// Queued ones are taken off first: none of them is written behind the cancellation of another one.
    pub(super) fn abandon_all(&mut self, now: Ms, attempts: Vec<AttemptKey>, end: AttemptEnd) {
        let is_queued = |attempt: &AttemptKey| {
            self.attempts.get(*attempt).is_some_and(|in_flight| self.is_queued(*attempt, in_flight))
        };
        let (queued, written): (Vec<_>, Vec<_>) = attempts.into_iter().partition(is_queued);
        let mut connections = BTreeSet::new();
        for attempt in queued.into_iter().chain(written) {
            connections.extend(self.end_without_reply(now, attempt, end));
        }
        for id in connections {
            self.flush(now, id);
        }
    }

    /// Ends an attempt in flight, and returns its connection; `None` if the attempt is not in flight.
    fn end_without_reply(&mut self, now: Ms, attempt: AttemptKey, end: AttemptEnd) -> Option<ConnectionId> {
        let in_flight = self.attempts.remove(attempt)?;
        let connection = self.connections.get(&in_flight.connection);
        let unsent_end = connection.map_or(AttemptEnd::NotSent, Connection::unsent_end);
        let progress = self.take_off(now, attempt, &in_flight);
        let end = match end {
            AttemptEnd::TimedOut if progress != SendProgress::Sent => unsent_end,
            end => end,
        };
        if let SendProgress::Partial { unwritten_bytes } = progress {
            self.log_ended_while_written(attempt, &in_flight, unwritten_bytes, end);
        }
        let InFlightAttempt { endpoint, sent_at, .. } = in_flight;
        match progress {
            SendProgress::Sent => self.complete(now, attempt, endpoint, sent_at, end),
            _ => self.complete_unsent(now, attempt, endpoint, sent_at, end),
        }
        self.close_idle_if_silent(in_flight.endpoint, in_flight.sent_at);
        Some(in_flight.connection)
    }

    fn log_ended_while_written(
        &self,
        attempt: AttemptKey,
        in_flight: &InFlightAttempt,
        unwritten_bytes: usize,
        end: AttemptEnd,
    ) {
        log_line!(
            upstream = %self.endpoint_label(in_flight.endpoint),
            request = %in_flight.request_id,
            attempt = attempt.number,
            end = %end.name(),
            unwritten_bytes,
            "attempt ended while its message was being written"
        );
    }

    /// Takes an attempt off its connection, and cancels it at the endpoint if it was sent. Returns how much
    /// of it was written: no more of it is written afterwards.
    fn take_off(&mut self, now: Ms, attempt: AttemptKey, in_flight: &InFlightAttempt) -> SendProgress {
        let endpoint = self.endpoints.get(&in_flight.endpoint);
        let is_silent = endpoint.is_none_or(|endpoint| endpoint.last_activity < in_flight.sent_at);
        let id = in_flight.connection;
        // Without its connection, it is not known how much of the attempt was written.
        let Some(connection) = self.connections.get_mut(&id) else { return SendProgress::Sent };
        let progress = connection.take_off(attempt, &in_flight.request_id);
        match progress {
            SendProgress::Queued => {}
            _ if connection.open.is_empty() => _ = self.remove(id),
            // An endpoint from which nothing was received since the attempt was sent would not read a
            // cancellation either: the connection is closed, with all that is open on it.
            _ if is_silent => self.close(now, id, "endpoint is silent"),
            SendProgress::Partial { .. } => self.withdraw_unwritable(now, id),
            SendProgress::Sent => self.cancel_at_endpoint(now, id, &in_flight.request_id),
        }
        progress
    }

    /// Cancels a request at its endpoint. Its connection is closed if the cancellation can't be written at
    /// once.
    fn cancel_at_endpoint(&mut self, now: Ms, id: ConnectionId, request_id: &str) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.draining = true;
        let bytes = codec::encode_cancellation(&self.buffers, request_id);
        connection.queue.push_front(QueuedMessage::control(None, now, bytes));
        self.flush(now, id);
        self.close_if_cancellation_unsent(now, id);
    }

    /// Ends the messages that were queued behind an abandoned one of which a part was written.
    fn withdraw_unwritable(&mut self, now: Ms, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let endpoint = connection.endpoint;
        for exchange in connection.take_unwritable() {
            self.end_exchange(now, endpoint, &exchange, AttemptEnd::NotSent);
        }
        self.close_if_drained(id);
    }
}
