//! Recovery of interrupted requests: retries, lost connections and timeouts.

use std::collections::BTreeSet;

use linnethook::interface::Ms;

use super::departure::cancel_stream;
use super::pending::{ForwardState, PendingRequest, UnconfirmedEnd};
use super::{answer_request, serve_locally, Forwarder};
use crate::actions::{ConnectionId, Reply};
use crate::attempt_ledger::{Resolution, Ticket};
use crate::codec::Message;
use crate::links::Links;
use crate::routing::Route;
use crate::transfer::{Resumption, Transfer};

/// A connection that was lost, or closed by either side.
#[derive(Debug)]
pub(crate) struct LostConnection {
    pub id: ConnectionId,
    /// The requests with streams on it.
    pub tickets: Vec<Ticket>,
    /// Identifies the process at its other end, if that is known.
    pub peer_start: Option<u64>,
    /// Set if the peer may still run these requests.
    pub unconfirmed_end: Option<UnconfirmedEnd>,
}

impl Forwarder {
    /// Retries a request that is idempotent or proven not to have run, if there is time and a site for it. A
    /// request whose attempt `was_interrupted` may wait for a connection instead.
    pub(super) fn retry_request(
        &mut self,
        links: &mut Links,
        now: Ms,
        ticket: Ticket,
        mut request: PendingRequest,
        was_interrupted: bool,
    ) {
        request.token = None;
        if !request.is_retried {
            return self.reject_request(links, ticket, &request);
        }
        if !self.config.resumes_bodies || !request.has_version {
            links.counts.discarded_body_bytes += request.body.len() as u64;
            request.discard_body();
        }
        if let Resumption::GiveUp = request.transfer.resume(now, self.config.min_retry_time) {
            return self.reject_request(links, ticket, &request);
        }
        if request.unconfirmed_end.is_some() {
            return self.await_end(links, now, ticket, request);
        }
        links.counts.retries += 1;
        match self.route_again(now, &request) {
            Route::Local => serve_locally(links, ticket),
            Route::Remote(site) if self.may_send(links, site, request.spec.priority) => {
                self.send_attempt(links, now, ticket, site, request);
            }
            _ if was_interrupted && self.may_wait(&request) => {
                // The site may reconnect in time; the received part of the body then need not be sent again.
                let latest = request.spec.deadline - self.config.min_retry_time;
                request.state = ForwardState::Waiting((now + self.config.max_wait).min(latest));
                self.pending.insert(ticket, request);
            }
            _ => self.reject_request(links, ticket, &request),
        }
    }

    pub(super) fn route_again(&mut self, now: Ms, request: &PendingRequest) -> Route {
        self.choose_route(now, &request.spec, &request.tried_sites, true, request.last_site)
    }

    fn may_wait(&self, request: &PendingRequest) -> bool {
        self.config.max_wait > 0.0 && self.has_room_to_wait(request)
    }

    pub(super) fn has_room_to_wait(&self, request: &PendingRequest) -> bool {
        self.pending.waiting().len() < self.config.max_waiting
            && self.pending.buffered_bytes() + request.body.len() < self.config.max_buffered_bytes
    }

    /// Handles the loss of a connection. It affects the requests with streams on it, and attempts whose outcome
    /// was reported on it as running.
    pub fn handle_lost_connection(&mut self, links: &mut Links, now: Ms, lost: LostConnection) {
        let mut affected: BTreeSet<Ticket> = self.pending.with_token_on(lost.id).collect();
        affected.extend(lost.tickets);
        let resolutions = self.sent_attempts.connection_lost(lost.id);
        self.owed_cancellations.connection_lost(lost.id);
        for ticket in affected {
            let Some(request) = self.pending.get_mut(ticket) else { continue };
            let ForwardState::InFlight(connection, site) = request.state else { continue };
            // It may have been sent again on another connection.
            if connection != lost.id {
                continue;
            }
            if request.token.is_none() {
                // The loss of the connection has no bearing on the capacity of the site.
                let Some(mut request) = self.pending.remove(ticket) else { continue };
                self.record_outcome(now, &request, None);
                if !request.has_response && !request.spec.parallel_attempts {
                    request.unconfirmed_end.clone_from(&lost.unconfirmed_end);
                }
                self.retry_request(links, now, ticket, request, true);
                continue;
            }
            request.state = ForwardState::Uncertain(site);
            // The complete answer will be received with the outcome.
            request.transfer = Transfer::new(request.spec.deadline, self.config.max_retries);
            self.pending.truncate_body(ticket, 0);
            self.handle_uncertain(links, now, ticket);
        }
        for resolution in resolutions {
            self.resolve_attempt(links, now, resolution);
        }
        if let Some(start) = lost.peer_start {
            self.send_cancellations(links, start);
        }
    }

    fn handle_uncertain(&mut self, links: &mut Links, now: Ms, ticket: Ticket) {
        if !self.sent_attempts.is_uncertain(ticket) {
            return;
        }
        links.counts.became_uncertain += 1;
        if !self.config.queries_outcomes {
            self.sent_attempts.abandon(ticket);
            self.resolve_attempt(links, now, Resolution::Failed(ticket));
        }
    }

    /// Queries the outcomes of uncertain attempts at a process after a connection to it was established;
    /// `start` identifies the process.
    pub fn query_outcomes(&mut self, links: &mut Links, connection: ConnectionId, start: u64) {
        for token in self.sent_attempts.tokens_to_query(start) {
            links.send(connection, &Message::OutcomeQuery(token));
        }
        links.request_write(connection);
    }

    /// Ends the requests whose deadline, or time to wait for a connection, has passed.
    pub fn expire_requests(&mut self, links: &mut Links, now: Ms) {
        for ticket in self.sent_attempts.overdue(now) {
            self.cancel_open_attempt(links, ticket);
        }
        for resolution in self.sent_attempts.expire(now) {
            self.resolve_attempt(links, now, resolution);
        }
        self.owed_cancellations.expire(now);
        while let Some((ticket, request)) = self.pending.pop_expired(now) {
            self.record_outcome(now, &request, Some(true));
            cancel_stream(links, request.state, ticket);
            answer_request(links, ticket, Reply::Failed);
        }
        for ticket in self.pending.expired_waiting(now) {
            if let Some(request) = self.pending.remove(ticket) {
                self.reject_request(links, ticket, &request);
            }
        }
    }
}
