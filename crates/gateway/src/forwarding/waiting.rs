//! Interrupted requests that wait: for a connection, or for the end of their last attempt at another site.
//!
//! A request whose connection was lost before its response began may still run at the other site. Until that
//! has ended it is sent to no other site and not served here. The gateway that may run it is an exception: it
//! cancels the earlier attempt when it receives the request again.

use linnethook::interface::Ms;

use super::pending::{ForwardState, PendingRequest};
use super::{serve_locally, Forwarder};
use crate::actions::ConnectionId;
use crate::attempt_ledger::Ticket;
use crate::flow_control::Priority;
use crate::links::Links;
use crate::routing::{Route, SiteId};

/// The minimum time to resume a request after its last attempt has ended, in milliseconds: waiting requests are
/// checked more often than that.
const MIN_RESUME_WINDOW: Ms = 100.0;

/// Where a waiting request may go now.
enum NextAttempt {
    /// Nowhere yet.
    None,
    /// To the gateway that may still run it, on this connection.
    SamePeer(ConnectionId, SiteId),
    /// Wherever the routing table sends it.
    Any,
}

impl Forwarder {
    /// Lets a request wait until its last attempt has ended at the other site, or until that site can be asked
    /// again.
    pub(super) fn await_end(
        &mut self,
        links: &mut Links,
        now: Ms,
        ticket: Ticket,
        mut request: PendingRequest,
    ) {
        let latest = request.spec.deadline - self.config.min_retry_time;
        let end = request.unconfirmed_end.as_ref().map_or(now, |end| end.latest);
        // If the end is too late for another site, only a new connection with the same one can help.
        let from = if end <= latest { end } else { now };
        let until = (from + self.config.max_wait.max(MIN_RESUME_WINDOW)).min(latest);
        if until <= now || !self.has_room_to_wait(&request) {
            return self.reject_request(links, ticket, &request);
        }
        request.state = ForwardState::Waiting(until);
        self.pending.insert(ticket, request);
    }

    /// Resumes requests that wait, a few at a time.
    pub fn resume_waiting(&mut self, links: &mut Links, now: Ms) {
        let mut remaining = self.config.max_resumed_per_check;
        let waiting: Vec<Ticket> = self.pending.waiting().iter().copied().collect();
        for ticket in waiting {
            if remaining == 0 {
                return;
            }
            let is_resumed = match self.next_attempt(links, now, ticket) {
                NextAttempt::None => false,
                NextAttempt::SamePeer(connection, site) => {
                    self.resume_at_same_peer(links, now, ticket, (connection, site))
                }
                NextAttempt::Any => self.resume_request(links, now, ticket),
            };
            remaining -= usize::from(is_resumed);
        }
    }

    fn next_attempt(&self, links: &Links, now: Ms, ticket: Ticket) -> NextAttempt {
        let Some(request) = self.pending.get(ticket) else { return NextAttempt::None };
        let Some(end) = &request.unconfirmed_end else {
            // Choosing a route that is then not used would waste a retry of the budget.
            let may_send = |site: &SiteId| self.may_send(links, *site, Priority::LaterPart);
            let is_any_usable = self.routing.reachable_sites().iter().any(may_send);
            return if is_any_usable { NextAttempt::Any } else { NextAttempt::None };
        };
        let Some(peer) = links.peers.get(&end.peer) else { return NextAttempt::Any };
        if now >= end.latest || peer.epoch > end.epoch {
            return NextAttempt::Any;
        }
        match links.connection_to_peer(&end.peer) {
            Some(connection) if self.may_send(links, peer.site, request.spec.priority) => {
                NextAttempt::SamePeer(connection, peer.site)
            }
            _ => NextAttempt::None,
        }
    }

    /// Tries to send a waiting request again to the gateway that may still run it. Returns whether that
    /// succeeded.
    fn resume_at_same_peer(
        &mut self,
        links: &mut Links,
        now: Ms,
        ticket: Ticket,
        to: (ConnectionId, SiteId),
    ) -> bool {
        if !self.routing.take_retry(to.1) {
            return false;
        }
        if let Some(request) = self.pending.remove(ticket) {
            links.counts.retries += 1;
            self.send_attempt_on(links, now, ticket, to, request);
        }
        true
    }

    /// Tries to resume a waiting request, here or at another site. Returns whether that succeeded.
    fn resume_request(&mut self, links: &mut Links, now: Ms, ticket: Ticket) -> bool {
        let Some(request) = self.pending.get(ticket) else { return false };
        let (spec, tried_sites) = (request.spec.clone(), request.tried_sites.clone());
        let last_site = request.last_site;
        match self.choose_route(now, &spec, &tried_sites, true, last_site) {
            Route::Remote(site) if self.may_send(links, site, spec.priority) => {
                if let Some(request) = self.pending.remove(ticket) {
                    self.send_attempt(links, now, ticket, site, request);
                }
                true
            }
            Route::Local => {
                self.pending.remove(ticket);
                serve_locally(links, ticket);
                true
            }
            _ => false,
        }
    }
}
