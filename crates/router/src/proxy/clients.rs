//! Requests and cancellations of clients, and their final answers.

use std::io;
use std::net::{SocketAddr, TcpListener};

use calloop::Readiness;

use crate::answers::{with_hierarchy_retry_after, ClientAnswer};
use crate::downstream::{ClientEvent, ClientId, ClientRequest, ClientStream, Downstreams};
use crate::event_handler::EventHandler;
use crate::policy_adapter::{FinalAnswer, Ms, PolicyInput, RequestSpec, Ticket};
use crate::remote_sites::{is_remote, reply_of};
use crate::requests::OpenRequest;
use crate::upstream::ResponsePayload;

use super::Proxy;

impl<W: EventHandler> Proxy<W> {
    // ---- Connections.

    /// Listens for clients; returns the bound address.
    ///
    /// # Errors
    ///
    /// Errors of the system, for example an address in use.
    pub fn listen(&mut self, address: SocketAddr) -> io::Result<SocketAddr> {
        self.downstreams.listen(address)
    }

    /// Accepts clients; returns false if no more can be accepted for now.
    pub fn accept_clients(&mut self, listener: &TcpListener) -> bool {
        let now = self.clock.now();
        let mut accepts_more = false;
        self.run_downstreams(|downstreams, events| accepts_more = downstreams.accept(now, listener, events));
        self.process_outcomes();
        accepts_more
    }

    /// Marks a client's connection as ready.
    pub fn mark_client_ready(&mut self, id: ClientId, readiness: Readiness) {
        self.downstreams.mark_ready(self.clock.now(), id, readiness);
    }

    /// Reads and writes a client's connection that is ready.
    pub fn serve_client(&mut self, id: ClientId, readiness: Readiness) {
        let now = self.clock.now();
        self.run_downstreams(|downstreams, events| {
            if readiness.writable {
                downstreams.flush(now, id, events);
            }
            if readiness.readable || readiness.error {
                downstreams.read_input(now, id, events);
            }
        });
        self.run_downstreams(|downstreams, events| downstreams.flush(now, id, events));
        self.process_outcomes();
    }

    /// Sets the earliest time at which requests that are read from here on can have arrived.
    pub fn set_earliest_arrival(&mut self, at: Ms) {
        self.downstreams.set_earliest_arrival(at);
    }

    /// Handles the deadlines of clients' connections.
    pub fn on_client_timer(&mut self, now: Ms) {
        self.log_buffer_shortage(now);
        self.run_downstreams(|downstreams, events| downstreams.on_timer(now, events));
        self.process_outcomes();
    }

    /// Runs a step on the clients' connections, and handles the events that it produced.
    fn run_downstreams(&mut self, step: impl FnOnce(&mut Downstreams<W>, &mut Vec<ClientEvent>)) {
        let mut events = Vec::new();
        step(&mut self.downstreams, &mut events);
        self.on_client_events(events);
    }

    /// Handles events received from clients.
    pub fn on_client_events(&mut self, events: Vec<ClientEvent>) {
        for event in events {
            match event {
                ClientEvent::Request(ticket, request) => self.on_request(ticket, *request),
                ClientEvent::Cancelled(ticket) => self.on_cancelled(ticket),
                ClientEvent::Discarded(ticket, stream) => self.on_discarded(ticket, stream),
                ClientEvent::Invalid(stream) => {
                    self.counters.record_request(0);
                    self.reject_invalid(stream);
                }
            }
        }
    }

    /// Rejects a request that was not kept, since buffers were short.
    fn on_discarded(&mut self, ticket: Ticket, stream: ClientStream) {
        self.counters.record_request(0);
        // An earlier event of the same batch may have closed the connection.
        if !self.downstreams.is_open(stream, ticket) {
            return;
        }
        self.rejections_without_buffers += 1;
        let retry_after = self.policy.retry_after();
        let answer = FinalAnswer::Rejected { retry_after, may_run_elsewhere: true };
        self.send_answer(stream, answer, ResponsePayload::Empty);
    }

    /// Whether the buffers that are left are too few for the request. Requests without a body take none until
    /// their answer arrives.
    pub(super) fn lacks_buffers(&self, request: &ClientRequest) -> bool {
        self.buffers.is_exhausted() || (self.buffers.is_short() && !request.message.body.is_empty())
    }

    fn on_request(&mut self, ticket: Ticket, mut request: ClientRequest) {
        let now = self.clock.now();
        request.deduct_unread_time(now);
        self.counters.record_request(request.message.body.len());
        // An earlier event of the same batch may have closed the connection.
        if !self.downstreams.is_open(request.stream, ticket) {
            return;
        }
        if !self.is_valid(&request) {
            return self.reject_invalid(request.stream);
        }
        let lacks_buffers = self.lacks_buffers(&request);
        self.rejections_without_buffers += u64::from(lacks_buffers);
        let ClientRequest { stream, spec, message, .. } = request;
        let is_full = self.is_closing || self.requests.is_full();
        let overload = is_full.then_some(0.0).or(lacks_buffers.then(|| self.policy.retry_after()));
        let rejection = self.reject_as_straggler(now, &spec).or(overload);
        let open = OpenRequest::new(now, &self.policy, stream, &spec, message);
        if self.parts.forwards_requests() {
            self.requests.insert(ticket, open.allow_forwarding(now, &self.policy, spec, Vec::new()));
            return match rejection {
                Some(retry_after) => self.reject(ticket, retry_after),
                None => self.choose_site(ticket),
            };
        }
        self.requests.insert(ticket, open);
        if let Some(retry_after) = rejection {
            return self.reject(ticket, retry_after);
        }
        let commands = self.policy.on_request(now, ticket, &spec);
        self.execute(commands, ResponsePayload::Empty);
    }

    /// Whether a request's class is known, and its id is not in use for another object.
    pub(super) fn is_valid(&self, request: &ClientRequest) -> bool {
        self.policy.knows_class(&request.spec) && !self.requests.id_conflicts(&request.message)
    }

    fn on_cancelled(&mut self, ticket: Ticket) {
        let now = self.clock.now();
        self.counters.cancelled_requests += 1;
        self.requests.remove(ticket);
        self.withdraw_unsent(now, ticket);
        self.parts.take_retry_after(ticket);
        if let Some(remote_sites) = self.parts.remote_sites.as_mut().filter(|sites| sites.forwards_requests())
        {
            remote_sites.cancel(now, ticket);
            self.run_remote_sites();
        }
        self.report_to_policy(now, PolicyInput::RequestCancelled(ticket));
    }

    /// Withdraws the attempts of a request that has ended, as far as they were not sent, whether or not the
    /// settings allow to cancel attempts.
    pub(super) fn withdraw_unsent(&mut self, now: Ms, ticket: Ticket) {
        self.upstreams.withdraw_request(now, ticket);
        for order in self.deferred_attempts.take_request(ticket) {
            self.upstreams.cancel_unsent(now, order.attempt, order.endpoint);
        }
        for order in self.parts.cancel_queued_fills(ticket) {
            self.upstreams.cancel_unsent(now, order.attempt, order.endpoint);
        }
    }

    /// Checks for a disconnect or cancellations of a client before sending anything for it: they may have
    /// arrived during this turn of the event loop.
    pub(super) fn check_client(&mut self, ticket: Ticket) {
        let Some(client) = self.requests.get(ticket).map(|request| request.stream.client) else { return };
        let now = self.clock.now();
        self.run_downstreams(|downstreams, events| downstreams.check(now, client, events));
    }

    /// The Retry-After, in milliseconds, with which a straggler rejects a request that is not idempotent;
    /// `None` if the request may start.
    pub(super) fn reject_as_straggler(&mut self, now: Ms, spec: &RequestSpec) -> Option<Ms> {
        let cluster = self.parts.cluster.as_mut().filter(|_| self.policy.needs_repeat_protection(spec))?;
        let retry_after = cluster.reject_as_straggler(now, spec.object)?;
        Some(retry_after.min(self.policy.max_retry_after()))
    }

    /// Answers an invalid request as failed without reporting it to the policy.
    fn reject_invalid(&mut self, stream: ClientStream) {
        self.counters.invalid_requests += 1;
        let now = self.clock.now();
        self.run_downstreams(|downstreams, events| {
            downstreams.reject_invalid(now, stream, events);
            downstreams.flush(now, stream.client, events);
        });
    }

    /// Handles the answer that this site's policy gives to a request; a rejected request may be forwarded to
    /// another site.
    pub(super) fn on_policy_answer(&mut self, ticket: Ticket, answer: FinalAnswer, payload: ResponsePayload) {
        if self.parts.forwards_requests() {
            self.record_local_answer(ticket, answer);
            let may_run_elsewhere = matches!(answer, FinalAnswer::Rejected { may_run_elsewhere: true, .. });
            if may_run_elsewhere && self.forward_rejected(ticket) {
                return self.run_remote_sites();
            }
        }
        self.finish(ticket, answer, payload);
    }

    /// Sends the one final answer of a request to its client, or to the site that forwarded it.
    pub(super) fn finish(&mut self, ticket: Ticket, answer: FinalAnswer, payload: ResponsePayload) {
        let retry_after = self.parts.take_retry_after(ticket);
        let Some(request) = self.requests.remove(ticket) else { return };
        let (answer, payload) = self.fit_into_buffers(&request, answer, payload);
        if is_remote(ticket) {
            self.reply_to_site(ticket, reply_of(answer, payload));
            return self.run_remote_sites();
        }
        let answer = with_hierarchy_retry_after(answer, retry_after, self.policy.max_retry_after());
        self.send_answer(request.stream, answer, payload);
    }

    /// Replaces a served answer whose body was not kept, or is not to be kept, by one without a body. While
    /// buffers are short, a client that does not read its answers gets no further large ones; while they are
    /// exhausted, nobody does.
    fn fit_into_buffers(
        &mut self,
        request: &OpenRequest,
        answer: FinalAnswer,
        payload: ResponsePayload,
    ) -> (FinalAnswer, ResponsePayload) {
        let is_discarded = match &payload {
            ResponsePayload::Discarded => true,
            ResponsePayload::Body(body, _) => {
                let is_large = body.len() > self.limits.buffers.block_bytes;
                let is_behind = self.downstreams.has_unwritten_output(request.stream.client);
                let lacks_buffers = self.buffers.is_exhausted() || (self.buffers.is_short() && is_behind);
                request.is_idempotent && is_large && lacks_buffers
            }
            ResponsePayload::Empty | ResponsePayload::NotModified => false,
        };
        if answer != FinalAnswer::Served || !is_discarded {
            return (answer, payload);
        }
        self.rejections_without_buffers += 1;
        let answer = if request.is_idempotent {
            FinalAnswer::Rejected { retry_after: self.policy.retry_after(), may_run_elsewhere: true }
        } else {
            FinalAnswer::Failed
        };
        (answer, ResponsePayload::Empty)
    }

    /// Sends the final answer of a request to its client.
    fn send_answer(&mut self, stream: ClientStream, answer: FinalAnswer, payload: ResponsePayload) {
        let now = self.clock.now();
        if let Some(cluster) = &mut self.parts.cluster {
            cluster.record_answer(now, answer);
        }
        self.answer_client(stream, ClientAnswer::new(&self.buffers, answer, payload));
        self.run_downstreams(|downstreams, events| downstreams.flush(now, stream.client, events));
    }

    /// Rejects a request that was not sent anywhere. `retry_after` is in milliseconds, 0 for none.
    fn reject(&mut self, ticket: Ticket, retry_after: Ms) {
        let answer = FinalAnswer::Rejected { retry_after, may_run_elsewhere: true };
        self.finish(ticket, answer, ResponsePayload::Empty);
    }

    fn answer_client(&mut self, stream: ClientStream, answer: ClientAnswer) {
        let ClientAnswer { code, field, body } = answer;
        self.counters.record_answer(code, body.len());
        let field = field.as_ref().map(|field| (field.name, field.value.as_str()));
        self.downstreams.answer(stream, code, field.as_slice(), body);
    }

    // ---- Shutdown.

    /// Notifies all clients to send no new requests; returns the events received from them.
    pub fn begin_client_drain(&mut self, now: Ms) -> Vec<ClientEvent> {
        let mut events = Vec::new();
        self.downstreams.begin_drain(now, &mut events);
        events
    }

    /// Starts to close the clients' connections once their answers are written. New requests are rejected
    /// from here on.
    pub fn begin_close(&mut self, now: Ms) {
        self.is_closing = true;
        // Requests that have already arrived must still be answered.
        self.run_downstreams(|downstreams, events| downstreams.read_all(now, events));
        self.process_outcomes();
        self.close_finished_clients(now);
    }

    /// Closes the connections of clients without open requests; returns whether no client is left.
    pub fn close_finished_clients(&mut self, now: Ms) -> bool {
        self.run_downstreams(|downstreams, events| downstreams.close_finished(now, events));
        self.downstreams.len() == 0
    }

    /// Closes the remaining connections of clients, and answers their open requests as failed.
    pub fn close_clients(&mut self) {
        let now = self.clock.now();
        self.run_downstreams(|downstreams, events| downstreams.close_all(now, events));
        self.fail_open_requests();
    }

    /// Answers all open requests as failed: the platform would kill the process before their outcomes are
    /// known.
    pub fn fail_open_requests(&mut self) {
        let open: Vec<Ticket> = self.requests.tickets().collect();
        for ticket in open {
            let now = self.clock.now();
            self.finish(ticket, FinalAnswer::Failed, ResponsePayload::Empty);
            self.withdraw_unsent(now, ticket);
            if let Some(remote_sites) = &mut self.parts.remote_sites {
                remote_sites.cancel(now, ticket);
            }
            self.report_to_policy(now, PolicyInput::RequestCancelled(ticket));
        }
    }
}
