//! The choice of the site that decides about an open request, and the replies to requests from other sites.

use linnethook_gateway::gateway::Reply;

use crate::event_handler::EventHandler;
use crate::policy_adapter::{FinalAnswer, Ms, RequestSpec, Ticket};
use crate::requests::OpenRequest;

use super::{is_remote, CrossSiteRequest, LocalOutcome, RemoteSites};

impl CrossSiteRequest {
    /// The specification of the request with the time that is left for its answer.
    pub fn spec_at(&self, now: Ms) -> RequestSpec {
        RequestSpec { budget: (self.deadline - now).max(0.0), ..self.spec.clone() }
    }
}

impl<W: EventHandler> RemoteSites<W> {
    /// Lets the gateway choose the site that decides about a request. Returns false if the request can't be
    /// forwarded.
    pub fn choose_site(&mut self, now: Ms, ticket: Ticket, open: &OpenRequest) -> bool {
        let Some(request) = &open.cross_site else { return false };
        let spec = self.forward_spec(request, &open.message);
        self.gateway.submit_request(now, ticket, spec);
        true
    }

    /// Forwards a client's request that was rejected here. Returns false if it is not forwarded.
    pub fn forward_rejected(&mut self, now: Ms, ticket: Ticket, open: &OpenRequest) -> bool {
        let Some(request) = open.cross_site.as_ref().filter(|_| !is_remote(ticket)) else { return false };
        if !self.gateway.is_locally_unavailable(request.kind()) {
            return false;
        }
        let spec = self.forward_spec(request, &open.message);
        self.gateway.forward_rejected_request(now, ticket, spec)
    }

    /// Records the answer of this site's policy to a request.
    pub fn record_local_answer(&mut self, now: Ms, ticket: Ticket, open: &OpenRequest, answer: FinalAnswer) {
        let Some(request) = &open.cross_site else { return };
        let rejected = matches!(answer, FinalAnswer::Rejected { .. });
        let failed = answer != FinalAnswer::Served;
        self.record_outcome(now, request, LocalOutcome { remote: is_remote(ticket), rejected, failed });
    }

    /// Completes a request from another site.
    pub fn reply(&mut self, now: Ms, ticket: Ticket, reply: Reply) {
        self.gateway.complete_remote_request(now, ticket, reply);
    }

    /// Rejects a request from another site. `retry_after` is in milliseconds; 0 if unknown.
    pub fn reject(&mut self, now: Ms, ticket: Ticket, retry_after: Ms) {
        self.gateway.complete_remote_request(now, ticket, Reply::Rejected { retry_after });
    }

    /// Cancels a request whose answer is no longer needed. Returns whether another site may have executed it.
    pub fn cancel(&mut self, now: Ms, ticket: Ticket) -> bool {
        self.gateway.cancel_request(now, ticket)
    }

    /// Begins no further attempt of a request at other sites. Returns false if no attempt is out there.
    pub fn stop_retries(&mut self, ticket: Ticket) -> bool {
        self.gateway.stop_retries(ticket)
    }

    /// Whether an attempt of a request may be begun now: the sender of one from another site still waits for it.
    pub fn may_begin_attempt(&self, now: Ms, ticket: Ticket) -> bool {
        !is_remote(ticket) || self.gateway.may_begin_attempt(now, ticket)
    }

    /// Notifies other sites that this router is shutting down; no more links are opened.
    pub fn stop(&mut self) {
        self.gateway.begin_shutdown();
    }
}
