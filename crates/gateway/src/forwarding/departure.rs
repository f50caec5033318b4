//! Requests that nobody waits for any more, or that may be so: attempts at other sites are cancelled there, and none
//! is begun.

use linnethook::interface::Ms;

use super::pending::ForwardState;
use super::Forwarder;
use crate::actions::ConnectionId;
use crate::attempt_ledger::{OpenAttempt, Ticket};
use crate::codec::Message;
use crate::links::Links;

impl Forwarder {
    /// Cancels a request whose reply is no longer needed. Returns whether another site may have executed it.
    pub fn cancel_request(&mut self, links: &mut Links, now: Ms, ticket: Ticket) -> bool {
        self.cancel_open_attempt(links, ticket);
        self.sent_attempts.abandon(ticket);
        let Some(request) = self.pending.remove(ticket) else { return false };
        self.record_outcome(now, &request, None);
        !matches!(request.state, ForwardState::Waiting(_))
    }

    /// Begins no further attempt of a request whose sender may not wait any more. An attempt at another site is
    /// cancelled there; its outcome is still awaited. Returns false if the request is not forwarded.
    pub fn stop_retries(&mut self, links: &mut Links, ticket: Ticket) -> bool {
        let Some(request) = self.pending.get_mut(ticket) else { return false };
        request.is_retried = false;
        if matches!(request.state, ForwardState::Waiting(_)) {
            if let Some(request) = self.pending.remove(ticket) {
                self.reject_request(links, ticket, &request);
            }
        } else {
            self.cancel_open_attempt(links, ticket);
        }
        true
    }

    /// Cancels the attempt of a request at another site, if there is one.
    pub(super) fn cancel_open_attempt(&mut self, links: &mut Links, ticket: Ticket) {
        let Some(request) = self.pending.get(ticket) else { return };
        let connection = cancel_stream(links, request.state, ticket);
        if let Some(attempt) = self.sent_attempts.open_attempt(ticket) {
            self.owe_cancellation(links, &attempt, connection);
        }
    }

    /// Records a cancellation that was sent on the stream of its attempt. If there was none, it is sent by the token:
    /// at once, or on the next connection.
    fn owe_cancellation(&mut self, links: &mut Links, attempt: &OpenAttempt, sent_on: Option<ConnectionId>) {
        self.owed_cancellations.insert(attempt, sent_on);
        if sent_on.is_none() {
            self.send_cancellations(links, attempt.receiver_start);
        }
    }

    /// Sends the owed cancellations to a process, if a connection to it is up.
    pub(super) fn send_cancellations(&mut self, links: &mut Links, receiver_start: u64) {
        if let Some(connection) = links.connection_to_start(receiver_start) {
            self.send_cancellations_on(links, connection, receiver_start);
        }
    }

    /// Sends the owed cancellations to a process on a connection to it.
    pub fn send_cancellations_on(
        &mut self,
        links: &mut Links,
        connection: ConnectionId,
        receiver_start: u64,
    ) {
        let Some(session) = links.session_mut(connection) else { return };
        if !session.supports_cancelled_tokens() {
            return;
        }
        for token in self.owed_cancellations.take_unsent(receiver_start, connection) {
            session.send(&Message::CancelToken(token));
        }
        links.request_write(connection);
    }
}

/// Cancels the stream of an attempt, and returns its connection; `None` if it has no stream.
pub(super) fn cancel_stream(links: &mut Links, state: ForwardState, ticket: Ticket) -> Option<ConnectionId> {
    let ForwardState::InFlight(connection, _) = state else { return None };
    links.cancel_request(connection, ticket).then_some(connection)
}
