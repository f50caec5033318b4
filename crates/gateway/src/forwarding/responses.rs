//! Responses of other sites to forwarded requests.

use linnethook::interface::Ms;

use super::departure::cancel_stream;
use super::pending::{ForwardState, PendingRequest};
use super::{answer_request, Forwarder};
use crate::actions::{ConnectionId, Reply};
use crate::attempt_ledger::{AttemptOutcome, Resolution, Ticket, Token};
use crate::codec::{CachedReply, RejectReason, ResponseHead};
use crate::links::Links;
use crate::session::CloseReason;
use crate::transfer::{ObjectVersion, ResponseFit};

impl Forwarder {
    /// Handles the beginning of a response.
    ///
    /// # Errors
    ///
    /// The response is inconsistent, or is not what was requested: the connection has to be closed.
    pub fn begin_response(
        &mut self,
        links: &mut Links,
        now: Ms,
        connection: ConnectionId,
        ticket: Ticket,
        head: ResponseHead,
    ) -> Result<(), CloseReason> {
        if head.body_length > self.config.max_answer_bytes {
            self.discard_oversized_answer(links, now, connection, ticket, head.body_length);
            return Ok(());
        }
        let Some(request) = self.pending.get_mut(ticket) else { return Ok(()) };
        request.has_response = true;
        request.served = head.served;
        request.fields = head.fields;
        request.has_version = head.version.is_some();
        let unknown = ObjectVersion { tag: String::new(), issued_at: 0.0, length: head.body_length };
        let version = head.version.unwrap_or(unknown);
        if version.length != head.body_length {
            return Err(CloseReason::UnexpectedResponse);
        }
        let fit = request.transfer.begin_response(version, head.offset);
        let received = request.transfer.received_bytes() as usize;
        links.counts.discarded_body_bytes += self.pending.truncate_body(ticket, received) as u64;
        match fit {
            ResponseFit::Continues | ResponseFit::Restarts => Ok(()),
            ResponseFit::Mismatch => Err(CloseReason::UnexpectedResponse),
        }
    }

    /// Cancels a response that is longer than `max_answer_bytes`. Other streams of the connection continue.
    fn discard_oversized_answer(
        &mut self,
        links: &mut Links,
        now: Ms,
        connection: ConnectionId,
        ticket: Ticket,
        length: u64,
    ) {
        let Some(token) = self.pending.get(ticket).map(|request| request.token) else { return };
        if let Some(token) = token {
            // The request ran, although its answer is discarded.
            let outcome = AttemptOutcome::Completed(None);
            if self.sent_attempts.record_outcome(token, outcome, connection).is_none() {
                return;
            }
        }
        let Some(mut request) = self.pending.remove(ticket) else { return };
        let longest = self.config.max_answer_bytes;
        links.log(format!(
            "gateway: response to request {} discarded: {length} bytes, expected at most {longest}",
            ticket
        ));
        self.record_outcome(now, &request, None);
        cancel_stream(links, request.state, ticket);
        if request.spec.not_idempotent {
            return answer_request(links, ticket, Reply::Failed);
        }
        request.exclude_current_site();
        self.retry_request(links, now, ticket, request, false);
    }

    /// Handles bytes of a response body.
    ///
    /// # Errors
    ///
    /// The body is longer than announced by the head of the response.
    pub fn receive_body(&mut self, ticket: Ticket, bytes: &[u8]) -> Result<(), CloseReason> {
        let Some(request) = self.pending.get_mut(ticket) else { return Ok(()) };
        if !request.transfer.receive(bytes.len() as u64) {
            return Err(CloseReason::UnexpectedResponse);
        }
        self.pending.append_body(ticket, bytes);
        Ok(())
    }

    /// Handles the end of a response.
    ///
    /// # Errors
    ///
    /// The body is shorter than announced by the head of the response.
    pub fn end_response(
        &mut self,
        links: &mut Links,
        now: Ms,
        connection: ConnectionId,
        ticket: Ticket,
    ) -> Result<(), CloseReason> {
        let Some(request) = self.pending.get(ticket) else { return Ok(()) };
        if request.served && !request.transfer.is_complete() {
            return Err(CloseReason::UnexpectedResponse);
        }
        let served = request.served;
        if let Some(token) = request.token {
            let outcome = AttemptOutcome::Completed(served.then(Vec::new));
            if self.sent_attempts.record_outcome(token, outcome, connection).is_none() {
                return Ok(());
            }
        }
        let Some(request) = self.pending.remove(ticket) else { return Ok(()) };
        self.record_outcome(now, &request, Some(!served));
        if served {
            let PendingRequest { fields, body, .. } = request;
            answer_request(links, ticket, Reply::Served { fields, body: body.freeze(), version: None });
        } else if request.spec.not_idempotent {
            answer_request(links, ticket, Reply::Failed);
        } else {
            self.retry_request(links, now, ticket, request, true);
        }
        Ok(())
    }

    /// Handles the rejection of a request by another site, where it has not run.
    pub fn handle_rejection(
        &mut self,
        links: &mut Links,
        now: Ms,
        connection: ConnectionId,
        ticket: Ticket,
        rejection: Rejection,
    ) {
        let Some(request) = self.pending.get(ticket) else { return };
        if let Some(token) = request.token {
            match self.sent_attempts.record_outcome(token, AttemptOutcome::NeverRan, connection) {
                Some(Resolution::NeverRan(_)) => links.counts.proven_not_run += 1,
                _ => return,
            }
        }
        let Some(mut request) = self.pending.remove(ticket) else { return };
        // Only these reasons indicate that the site lacks capacity; old state or a drain does not.
        let is_overloaded = matches!(rejection.reason, RejectReason::AtCapacity | RejectReason::Refused);
        self.record_outcome(now, &request, is_overloaded.then_some(true));
        request.retry_after = rejection.retry_after;
        request.exclude_current_site();
        self.retry_request(links, now, ticket, request, false);
    }

    /// Handles a report of the outcome of an attempt.
    pub fn handle_outcome(
        &mut self,
        links: &mut Links,
        now: Ms,
        connection: ConnectionId,
        token: Token,
        outcome: AttemptOutcome,
    ) {
        let is_running = outcome == AttemptOutcome::Running;
        let Some(ticket) = self.sent_attempts.ticket_of(token) else { return };
        let resolution = self.sent_attempts.record_outcome(token, outcome, connection);
        if is_running {
            if let Some(request) = self.pending.get_mut(ticket) {
                let site = match request.state {
                    ForwardState::InFlight(_, site) | ForwardState::Uncertain(site) => site,
                    ForwardState::Waiting(_) => return,
                };
                request.state = ForwardState::InFlight(connection, site);
            }
        }
        if let Some(resolution) = resolution {
            self.resolve_attempt(links, now, resolution);
        }
    }

    /// Applies the resolution of an attempt with a token.
    pub(super) fn resolve_attempt(&mut self, links: &mut Links, now: Ms, resolution: Resolution) {
        match resolution {
            Resolution::Answered(ticket, answer) => {
                let Some(request) = self.pending.remove(ticket) else { return };
                self.record_outcome(now, &request, Some(false));
                cancel_stream(links, request.state, ticket);
                let reply = match postcard::from_bytes::<CachedReply>(&answer) {
                    Ok(CachedReply { served: true, fields, body }) => {
                        Reply::Served { fields, body, version: None }
                    }
                    _ => Reply::Failed,
                };
                answer_request(links, ticket, reply);
            }
            Resolution::NeverRan(ticket) => {
                let Some(request) = self.pending.remove(ticket) else { return };
                links.counts.proven_not_run += 1;
                self.record_outcome(now, &request, None);
                cancel_stream(links, request.state, ticket);
                self.retry_request(links, now, ticket, request, true);
            }
            Resolution::Failed(ticket) => {
                let Some(request) = self.pending.remove(ticket) else { return };
                let failed = matches!(request.state, ForwardState::InFlight(..)).then_some(true);
                self.record_outcome(now, &request, failed);
                cancel_stream(links, request.state, ticket);
                answer_request(links, ticket, Reply::Failed);
            }
        }
    }
}

/// The rejection of a request by another site.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Rejection {
    pub reason: RejectReason,
    /// The time until it may be sent there again, in milliseconds; 0 if unknown.
    pub retry_after: Ms,
}
