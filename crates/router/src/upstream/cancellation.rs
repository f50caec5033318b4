//! Ending attempts without a reply: cancelled, withdrawn from a queue, or timed out.

use crate::event_handler::EventHandler;
use crate::log::log_line;
use crate::policy_adapter::{AttemptEnd, AttemptKey, EndpointKey, Ms, Ticket};

use super::attempt_table::InFlightAttempt;
use super::codec;
use super::connection::{ConnectionId, QueuedMessage, RequestedObject};
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
        self.abandon(now, attempt, AttemptEnd::Cancelled);
    }

    /// Withdraws queued attempts for a purged object or group: their age limit predates the purge.
    ///
    /// A connect may take longer than the grace period of a purge.
    pub fn withdraw_purged(&mut self, now: Ms, object: Option<u64>, group: u32) {
        let is_purged = |requested: RequestedObject| match object {
            Some(object) => requested.object == object,
            None => requested.group == group,
        };
        self.withdraw(now, AttemptEnd::TimedOut, |_, queued| queued.object.is_some_and(is_purged));
    }

    /// Withdraws the queued attempts of a request that its client has cancelled.
    ///
    /// This is not a cancellation at an endpoint, which the settings may forbid: nothing was sent to a cache
    /// yet.
    pub fn withdraw_request(&mut self, now: Ms, ticket: Ticket) {
        let is_queued = |attempt: AttemptKey, in_flight: &InFlightAttempt| {
            let connection = self.connections.get(&in_flight.connection);
            connection.is_some_and(|connection| connection.has_queued(attempt))
        };
        let of_request = self.attempts.of_request(ticket);
        let queued = of_request.filter(|(attempt, in_flight)| is_queued(*attempt, in_flight));
        let queued: Vec<AttemptKey> = queued.map(|(attempt, _)| attempt).collect();
        for attempt in queued {
            self.abandon(now, attempt, AttemptEnd::Cancelled);
        }
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
        for attempt in withdrawn {
            self.abandon(now, attempt, end);
        }
    }

    /// The next stalled connection. The caller checks the clients of its requests before it has the queue
    /// written.
    pub fn next_stalled(&mut self) -> Option<StalledConnection> {
        let id = self.stalled.pop_first()?;
        let queue = self.connections.get(&id).map(|connection| &connection.queue);
        let attempts = queue.into_iter().flatten().filter_map(|queued| queued.attempt);
        Some(StalledConnection { id, tickets: attempts.map(|attempt| attempt.ticket).collect() })
    }

    /// Ends an attempt in flight without a reply, and cancels it at its endpoint if it may have been sent.
    pub(super) fn abandon(&mut self, now: Ms, attempt: AttemptKey, end: AttemptEnd) {
        let Some(in_flight) = self.attempts.remove(attempt) else { return };
        let unwritten_bytes = self.partially_unwritten_bytes(&in_flight);
        let was_fully_sent = self.cancel_at_endpoint(now, attempt, &in_flight);
        let end = match end {
            AttemptEnd::TimedOut if was_fully_sent == Some(false) => AttemptEnd::NotSent,
            end => end,
        };
        if let Some(unwritten_bytes) = unwritten_bytes {
            self.log_ended_while_written(attempt, &in_flight, unwritten_bytes, end);
        }
        self.complete(now, attempt, in_flight.endpoint, in_flight.sent_at, end);
        self.close_idle_if_silent(in_flight.endpoint, in_flight.sent_at);
        self.flush(now, in_flight.connection);
    }

    /// The number of unwritten bytes of an attempt's message, if a part of it was written.
    fn partially_unwritten_bytes(&self, in_flight: &InFlightAttempt) -> Option<usize> {
        let connection = self.connections.get(&in_flight.connection)?;
        connection.partially_unwritten_bytes(&in_flight.request_id)
    }

    /// Logs the end of an attempt whose message was written in part. `unwritten_bytes` is the size of the
    /// other part when the attempt ended.
    fn log_ended_while_written(
        &self,
        attempt: AttemptKey,
        in_flight: &InFlightAttempt,
        unwritten_bytes: usize,
        end: AttemptEnd,
    ) {
        let is_open = self.connections.contains_key(&in_flight.connection);
        let still_unwritten = self.partially_unwritten_bytes(in_flight);
        log_line!(
            upstream = %self.endpoint_label(in_flight.endpoint),
            request = %in_flight.request_id,
            attempt = attempt.number,
            end = %end.name(),
            unwritten_bytes,
            written_since = is_open && still_unwritten.is_none(),
            "attempt ended while its message was being written"
        );
    }

    /// Removes an attempt from its connection, or cancels it at the endpoint. Returns whether its last byte
    /// was written; `None` if its connection is already closed.
    fn cancel_at_endpoint(
        &mut self,
        now: Ms,
        attempt: AttemptKey,
        in_flight: &InFlightAttempt,
    ) -> Option<bool> {
        let endpoint = self.endpoints.get(&in_flight.endpoint);
        let is_silent = endpoint.is_none_or(|endpoint| endpoint.last_activity < in_flight.sent_at);
        let connection = self.connections.get_mut(&in_flight.connection)?;
        let exchange = connection.open.remove(&in_flight.request_id);
        let was_fully_sent = exchange.is_some_and(|exchange| exchange.fully_sent);
        if connection.remove_queued(attempt) {
            // No byte of it was written: there is nothing to cancel.
        } else if connection.open.is_empty() {
            self.remove(in_flight.connection);
        } else if is_silent {
            // An endpoint from which nothing was received since the attempt was sent would not read a
            // cancellation either: the connection is closed, with all that is open on it.
            self.close(now, in_flight.connection, "endpoint is silent");
        } else {
            connection.draining = true;
            let bytes = codec::encode_cancellation(&self.buffers, &in_flight.request_id);
            connection.queue.push_front(QueuedMessage::control(None, now, bytes));
            self.flush(now, in_flight.connection);
            self.close_if_cancellation_unsent(now, in_flight.connection);
        }
        Some(was_fully_sent)
    }
}
