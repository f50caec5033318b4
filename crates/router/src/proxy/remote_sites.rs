//! Requests forwarded to other sites, and requests received from them.

use std::net::TcpListener;

use calloop::Readiness;
use linnethook_gateway::gateway::{RemoteRequest, Reply};

use crate::control::{ControlRequest, ControlResponse};
use crate::downstream::ClientRequest;
use crate::event_handler::EventHandler;
use crate::log::log_line;
use crate::policy_adapter::{FinalAnswer, Ms, Ticket};
use crate::remote_sites::{self, answer_of, is_remote, parse_remote_request, SiteEffect};
use crate::requests::OpenRequest;
use crate::upstream::ResponsePayload;

use super::Proxy;

impl<W: EventHandler> Proxy<W> {
    /// Accepts links; returns false if no more can be accepted for now.
    pub fn accept_links(&mut self, listener: &TcpListener) -> bool {
        let now = self.clock.now();
        let remote_sites = self.parts.remote_sites.as_mut();
        let accepts_more = remote_sites.is_none_or(|remote_sites| remote_sites.accept(now, listener));
        self.run_remote_sites();
        accepts_more
    }

    /// Marks a link as ready.
    pub fn mark_link_ready(&mut self, id: u64, readiness: Readiness) {
        if let Some(remote_sites) = &mut self.parts.remote_sites {
            remote_sites.mark_link_ready(id, readiness);
        }
    }

    /// Reads and writes a link that is ready.
    pub fn serve_link(&mut self, id: u64, readiness: Readiness) {
        let now = self.clock.now();
        if let Some(remote_sites) = &mut self.parts.remote_sites {
            remote_sites.serve_link(now, id, readiness);
        }
        self.run_remote_sites();
        self.send_deferred_attempts();
        self.process_outcomes();
    }

    /// Handles the deadlines of links; returns false without a gateway.
    pub fn on_remote_sites_timer(&mut self) -> bool {
        let (now, open_ratio) = (self.clock.now(), self.requests.open_ratio());
        let Some(remote_sites) = &mut self.parts.remote_sites else { return false };
        remote_sites.on_timer(now, open_ratio);
        self.run_remote_sites();
        true
    }

    /// Responds to a request of the control socket that concerns other sites.
    pub fn respond_for_remote_sites(&mut self, request: ControlRequest) -> ControlResponse {
        let now = self.clock.now();
        let outcome = remote_sites::respond(self.parts.remote_sites.as_mut(), now, request);
        if outcome.has_effects {
            self.run_remote_sites();
        }
        outcome.response
    }

    /// Stops the gateway and notifies the other sites.
    pub fn stop_remote_sites(&mut self) {
        if let Some(remote_sites) = &mut self.parts.remote_sites {
            remote_sites.stop();
            self.run_remote_sites();
        }
    }

    /// Executes the gateway's effects until none is pending.
    pub fn run_remote_sites(&mut self) {
        loop {
            let Some(remote_sites) = &mut self.parts.remote_sites else { return };
            let Some(effect) = remote_sites.next_effect(&self.clock) else { return };
            match effect {
                SiteEffect::Decide(ticket) => self.decide_locally(ticket),
                SiteEffect::Answer(ticket, reply) => self.answer_from_site(ticket, reply),
                SiteEffect::Serve(request) => self.on_remote_request(&request),
                SiteEffect::Cancel(ticket) => self.on_remote_cancelled(ticket),
                SiteEffect::Suspend(ticket) => self.suspend_remote(ticket),
                SiteEffect::StopRetries(ticket) => self.stop_retries(ticket),
                SiteEffect::EndpointChanged(name) => self.on_remote_endpoint(&name),
                SiteEffect::Purge(purge) => self.apply_announced_purge(&purge),
                SiteEffect::PeerLink { name, start, up } => {
                    if let Some(cluster) = &mut self.parts.cluster {
                        cluster.set_link(&name, start, up);
                    }
                }
                SiteEffect::PeerEntry { name, key, entry } => {
                    if let Some(cluster) = &mut self.parts.cluster {
                        cluster.on_entry(self.clock.now(), &name, &key, &entry);
                    }
                }
            }
        }
    }

    /// Lets the gateway choose the site that handles a request.
    pub(super) fn choose_site(&mut self, ticket: Ticket) {
        let now = self.clock.now();
        let (Some(remote_sites), Some(open)) = (&mut self.parts.remote_sites, self.requests.get(ticket))
        else {
            return;
        };
        if remote_sites.choose_site(now, ticket, open) {
            self.run_remote_sites();
        }
    }

    /// Forwards a request that this site rejected; returns false if the gateway has no other site for it.
    pub(super) fn forward_rejected(&mut self, ticket: Ticket) -> bool {
        let now = self.clock.now();
        let (Some(remote_sites), Some(open)) = (&mut self.parts.remote_sites, self.requests.get(ticket))
        else {
            return false;
        };
        remote_sites.forward_rejected(now, ticket, open)
    }

    pub(super) fn record_local_answer(&mut self, ticket: Ticket, answer: FinalAnswer) {
        let now = self.clock.now();
        if let (Some(remote_sites), Some(open)) = (&mut self.parts.remote_sites, self.requests.get(ticket)) {
            remote_sites.record_local_answer(now, ticket, open, answer);
        }
    }

    pub(super) fn reply_to_site(&mut self, ticket: Ticket, reply: Reply) {
        let now = self.clock.now();
        if let Some(remote_sites) = &mut self.parts.remote_sites {
            remote_sites.reply(now, ticket, reply);
        }
    }

    /// Passes a request to this site's policy.
    fn decide_locally(&mut self, ticket: Ticket) {
        let now = self.clock.now();
        let open = self.requests.get(ticket);
        let Some(request) = open.and_then(|open| open.cross_site.as_ref()) else { return };
        let spec = request.spec_at(now);
        let commands = self.policy.on_request(now, ticket, &spec);
        self.execute(commands, ResponsePayload::Empty);
    }

    /// Sends the final answer that the gateway has for a request.
    fn answer_from_site(&mut self, ticket: Ticket, reply: Reply) {
        if is_remote(ticket) {
            // The request came from another site and was forwarded to a third one.
            self.requests.remove(ticket);
            return self.reply_to_site(ticket, reply);
        }
        let open = self.requests.get(ticket);
        let holds_copy = open.is_some_and(|open| open.message.client_copy.is_some());
        let (answer, payload) = answer_of(reply, holds_copy, &self.buffers, self.policy.max_retry_after());
        self.finish(ticket, answer, payload);
    }

    /// Handles a request from another site: the gateway chooses this site or one that the request has not
    /// passed.
    fn on_remote_request(&mut self, remote: &RemoteRequest) {
        let now = self.clock.now();
        let ticket = remote.ticket;
        let request = parse_remote_request(remote, &self.buffers, &self.limits);
        let request = request.filter(|request| self.is_valid(request));
        let lacks_buffers = request.as_ref().is_some_and(|request| self.lacks_buffers(request));
        let is_overloaded = self.requests.is_full() || lacks_buffers;
        let Some(request) = request.filter(|_| !is_overloaded) else {
            self.counters.invalid_requests += u64::from(!is_overloaded);
            return self.reject_remote(now, ticket, 0.0);
        };
        if let Some(retry_after) = self.reject_as_straggler(now, &request.spec) {
            return self.reject_remote(now, ticket, retry_after);
        }
        self.counters.record_request(request.message.body.len());
        let ClientRequest { stream, spec, message, .. } = request;
        let open = OpenRequest::new(now, &self.policy, stream, &spec, message);
        let open = open.allow_forwarding(now, &self.policy, spec, remote.passed_sites.clone());
        self.requests.insert(ticket, open);
        self.choose_site(ticket);
    }

    /// Rejects a request from another site that is not open here. `retry_after` is in milliseconds, 0 for
    /// none.
    fn reject_remote(&mut self, now: Ms, ticket: Ticket, retry_after: Ms) {
        if let Some(remote_sites) = &mut self.parts.remote_sites {
            remote_sites.reject(now, ticket, retry_after);
        }
    }

    fn on_remote_cancelled(&mut self, ticket: Ticket) {
        self.counters.cancelled_requests += 1;
        self.cancel_remote(self.clock.now(), ticket);
    }

    /// Applies a drain, or the end of one, that another site has announced for an endpoint.
    fn on_remote_endpoint(&mut self, name: &str) {
        let now = self.clock.now();
        let remote_sites = self.parts.remote_sites.as_ref();
        if let Some(update) = remote_sites.and_then(|remote_sites| remote_sites.current_entry(name)) {
            let state = if update.entries[0].is_ready() { "back" } else { "drained" };
            log_line!(upstream = name, state, "gateway: another site has announced the state of an endpoint");
            self.apply_endpoint_update(&update);
        }
        let open_ratio = self.requests.open_ratio();
        if let Some(remote_sites) = &mut self.parts.remote_sites {
            remote_sites.report_load(now, open_ratio);
        }
    }
}
