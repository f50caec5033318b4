//! Two sites: each router runs the gateway that is shipped, and the link between the sites has a delay and a
//! bandwidth, and can stop delivering or be cut.
//!
//! The first half of the locations is one site, the rest the other. Each router has a connection to its
//! counterpart, and all connections share the link. Bodies are transferred as bytes. All serving, rejecting
//! and retrying is decided by the gateways; this module only carries out their actions.

use std::collections::{BTreeMap, VecDeque};

use bytes::{Bytes, BytesMut};
use linnethook::interface::{Event as PolicyEvent, RequestId};
use linnethook_gateway::attempt_ledger::{AttemptOutcome, Ticket, Token};
use linnethook_gateway::codec::{FrameDecoder, Message};
use linnethook_gateway::flow_control::Priority;
use linnethook_gateway::forwarding::ForwardRequest;
use linnethook_gateway::gateway::{
    Action, ConnectionId, Gateway, GatewayConfig, GatewaySetup, RemoteRequest, Reply, FIRST_REMOTE_TICKET,
};
use linnethook_gateway::local_capacity::RequestKind;
use linnethook_gateway::transfer::ObjectVersion;

use super::{micros, ms, Client, EndpointPhase, Event, Number, Simulation};
use crate::plan::LinkFault;
use crate::Micros;

/// Maximum number of bytes in flight in each direction of a connection.
const MAX_BYTES_IN_FLIGHT: usize = 256 << 10;
const SITE_NAMES: [&str; 2] = ["one", "other"];
/// The part of a client's time limit that is reserved for the response to it, in milliseconds.
const RESPONSE_TIME_RESERVE: f64 = 10.0;

/// One direction of a connection.
#[derive(Default)]
struct Pipe {
    /// Bytes in flight, each with the time when they may arrive.
    in_flight: VecDeque<(Micros, Bytes)>,
    in_flight_bytes: usize,
    /// Decodes the bytes for the recording.
    decoder: FrameDecoder,
    closed: bool,
}

/// A connection between two gateways: their routers (the dialer first), and the bytes towards each.
struct Connection {
    ends: [usize; 2],
    pipes: [Pipe; 2],
    /// Fencing tokens by the end that opened a stream, and the stream.
    tokens: BTreeMap<(usize, u32), (u64, u64)>,
    open: [bool; 2],
    established: bool,
}

/// The gateways of all routers, and the link.
#[derive(Default)]
pub(super) struct Sites {
    gateways: Vec<Gateway>,
    due: Vec<Micros>,
    connections: BTreeMap<ConnectionId, Connection>,
    last_connection: ConnectionId,
    /// When the last byte of each direction has been sent; all connections share the bandwidth.
    busy_until: [Micros; 2],
    cut: bool,
    silent: bool,
    delay_factor: f64,
    /// Requests from the other site, by router and ticket.
    remote_requests: BTreeMap<(usize, Ticket), Number>,
}

impl Simulation {
    fn site(&self, router: usize) -> usize {
        let locations = self.plan.locations;
        let location = router / self.plan.routers.max(1);
        usize::from(location >= locations.div_ceil(2))
    }

    /// The router of the other site that a router is connected to.
    fn counterpart(&self, router: usize) -> Option<usize> {
        let first = self.plan.locations.div_ceil(2) * self.plan.routers;
        let (one, other) = (first, self.policies.len().saturating_sub(first));
        match self.site(router) {
            0 => (other > 0).then(|| first + router % other),
            _ => (one > 0).then(|| (router - first) % one),
        }
    }

    pub(super) fn build_sites(&mut self) {
        let Some(plan) = self.plan.sites else { return };
        self.sites.delay_factor = 1.0;
        for router in 0..self.policies.len() {
            let site = self.site(router);
            let mut config = GatewayConfig::default();
            config.peers.max_state_delay = plan.max_state_delay;
            let setup = GatewaySetup {
                site: SITE_NAMES[site].to_string(),
                other_sites: vec![SITE_NAMES[1 - site].to_string()],
                node: format!("g{router}"),
                epoch: 1,
                seed: self.plan.seed ^ router as u64,
                dial_sites: if site == 0 { vec![SITE_NAMES[1].to_string()] } else { Vec::new() },
                accepts_cluster_peers: false,
                config,
            };
            self.sites.gateways.push(Gateway::new(0.0, setup));
            self.sites.due.push(Micros::MAX);
            self.report_local_caches(0, router);
            self.run_gateway_actions(0, router);
        }
    }

    /// Reports the number and the load of the local caches to a gateway.
    pub(super) fn report_local_caches(&mut self, now: Micros, router: usize) {
        let zone = router / self.plan.routers.max(1);
        let slots = self.plan.max_requests_per_server.max(1) as f64;
        let local_caches =
            self.servers.iter().filter(|s| s.endpoint.role == 0 && usize::from(s.endpoint.zone) == zone);
        let (mut caches, mut used) = (0, 0.0);
        for server in local_caches.filter(|server| server.endpoint.phase == EndpointPhase::Ready) {
            caches += 1;
            used += server.in_flight as f64 / slots;
        }
        if let Some(gateway) = self.sites.gateways.get_mut(router) {
            gateway.report_local_load(ms(now), caches, (used / f64::from(caches.max(1))).min(1.0));
        }
    }

    // ---- Requests.

    /// Submits a client's request to its router's gateway, which decides where it is served. Returns false if
    /// there is no gateway.
    pub(super) fn submit_to_gateway(&mut self, now: Micros, number: Number) -> bool {
        let Some(client) = self.clients.get(&number) else { return false };
        if self.sites.gateways.is_empty() {
            return false;
        }
        let router = client.router;
        let request = self.build_forward_request(number, client, Vec::new());
        self.sites.gateways[router].submit_request(ms(now), number, request);
        self.run_gateway_actions(now, router);
        true
    }

    fn build_forward_request(&self, number: Number, client: &Client, passed: Vec<String>) -> ForwardRequest {
        let priority = match (client.is_booking, client.part) {
            (true, _) => Priority::Booking,
            (false, 0) => Priority::FirstPart,
            _ => Priority::LaterPart,
        };
        let fields = [
            ("c", u64::from(client.is_booking)),
            ("i", client.remote_number.unwrap_or(number)),
            ("o", client.object),
            ("chunk", u64::from(client.part)),
            ("m", client.size as u64),
        ];
        ForwardRequest {
            object: client.object,
            write: client.is_booking,
            not_idempotent: client.is_booking,
            parallel_attempts: false,
            home_site: None,
            priority,
            latency_objective: self.latency_objective(client.size),
            deadline: ms(client.sent_at) + client.timeout - RESPONSE_TIME_RESERVE,
            passed_sites: passed,
            fields: fields.into_iter().map(|(name, value)| (name.to_string(), value.to_string())).collect(),
            body: Bytes::new(),
        }
    }

    /// Accepts a request of the other site.
    fn serve_remote(&mut self, now: Micros, router: usize, remote: RemoteRequest) {
        let field = |name: &str| {
            let value =
                remote.fields.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str());
            value.and_then(|value| value.parse::<u64>().ok()).unwrap_or(0)
        };
        let client = Client {
            router,
            object: field("o"),
            part: field("chunk") as u32,
            is_booking: field("c") == 1,
            size: (field("m") as f64).max(1.0),
            first_sent_at: now,
            sent_at: now,
            timeout: remote.remaining,
            retries: 0,
            attempts: 0,
            remote_ticket: Some(remote.ticket),
            remote_number: Some(field("i")),
        };
        self.last_number += 1;
        let number = self.last_number;
        let request = self.build_forward_request(number, &client, remote.passed_sites);
        self.clients.insert(number, client);
        self.sites.remote_requests.insert((router, remote.ticket), number);
        self.sites.gateways[router].submit_request(ms(now), remote.ticket, request);
    }

    fn request_number(&self, router: usize, ticket: Ticket) -> Option<Number> {
        match ticket >= FIRST_REMOTE_TICKET {
            true => self.sites.remote_requests.get(&(router, ticket)).copied(),
            false => Some(ticket),
        }
    }

    /// Reports the local outcome of a request to the gateway. Returns true if the gateway forwards the
    /// request.
    pub(super) fn report_local_outcome(
        &mut self,
        now: Micros,
        number: Number,
        served: bool,
        rejected: bool,
    ) -> bool {
        let Some(client) = self.clients.get(&number).filter(|_| !self.sites.gateways.is_empty()) else {
            return false;
        };
        if client.remote_ticket.is_some() {
            return false;
        }
        let (router, kind) =
            (client.router, if client.is_booking { RequestKind::Write } else { RequestKind::Read });
        let gateway = &mut self.sites.gateways[router];
        gateway.record_local_outcome(ms(now), kind, !served);
        if !rejected || !gateway.is_locally_unavailable(kind) {
            return false;
        }
        let Some(client) = self.clients.get(&number) else { return false };
        let request = self.build_forward_request(number, client, Vec::new());
        let forwarded = self.sites.gateways[router].forward_rejected_request(ms(now), number, request);
        self.run_gateway_actions(now, router);
        forwarded
    }

    /// Answers a request of the other site. Returns false if the request is a local one.
    pub(super) fn answer_remote(
        &mut self,
        now: Micros,
        number: Number,
        reply: impl Fn(&Client) -> Reply,
    ) -> bool {
        let Some(client) = self.clients.get(&number) else { return false };
        let (Some(ticket), router) = (client.remote_ticket, client.router) else { return false };
        let reply = reply(client);
        self.clients.remove(&number);
        self.sites.remote_requests.remove(&(router, ticket));
        self.sites.gateways[router].complete_remote_request(ms(now), ticket, reply);
        self.run_gateway_actions(now, router);
        true
    }

    /// The reply to a served request, with a body of its size.
    pub(super) fn served_reply(client: &Client, issued_at: Option<Micros>) -> Reply {
        let length = if client.is_booking { 400 } else { client.size as usize };
        let copy = issued_at.map(|at| ObjectVersion {
            tag: client.key().to_string(),
            issued_at: ms(at),
            length: length as u64,
        });
        Reply::Served { fields: Vec::new(), body: Bytes::from(vec![0; length]), version: copy }
    }

    // ---- Actions of gateways.

    /// Carries out the actions of a gateway, and schedules its next timer.
    pub(super) fn run_gateway_actions(&mut self, now: Micros, router: usize) {
        while let Some(action) = self.sites.gateways[router].next_action() {
            match action {
                Action::Dial(_) => self.dial(now, router),
                Action::Close(connection_id, _) => self.close_connection(now, router, connection_id),
                Action::Write(connection_id) => self.write_output(now, router, connection_id),
                Action::ServeLocally(ticket) => {
                    if let Some(number) = self.request_number(router, ticket) {
                        self.serve_locally(now, number);
                    }
                }
                Action::Answer(ticket, reply) => self.on_gateway_answer(now, router, ticket, reply),
                Action::ServeRemote(remote) => self.serve_remote(now, router, remote),
                Action::CancelServe(ticket) => self.cancel_remote(now, router, ticket),
                // The clients of the model do not leave: the sender queries the outcome.
                Action::SuspendServe(_) | Action::StopRetries(_) => {}
                Action::RemoteFact(..)
                | Action::PeerLink { .. }
                | Action::PeerEntry { .. }
                | Action::Log(_) => {}
            }
        }
        let next = micros(self.sites.gateways[router].next_deadline(ms(now))).max(now + 1_000);
        if next < self.sites.due[router] {
            self.sites.due[router] = next;
            self.queue.add(next, Event::GatewayTimer(router));
        }
    }

    /// Ends a request that the other site has cancelled. One of its attempts may have been executed.
    fn cancel_remote(&mut self, now: Micros, router: usize, ticket: Ticket) {
        let Some(number) = self.sites.remote_requests.remove(&(router, ticket)) else { return };
        self.clients.remove(&number);
        self.notify_policy(now, router, &PolicyEvent::ClientDisconnected(RequestId(number)));
        self.sites.gateways[router].complete_remote_request(ms(now), ticket, Reply::Failed);
    }

    pub(super) fn on_gateway_timer(&mut self, now: Micros, router: usize) {
        if now < self.sites.due[router] {
            return;
        }
        self.sites.due[router] = Micros::MAX;
        self.report_local_caches(now, router);
        self.sites.gateways[router].on_timer(ms(now));
        self.run_gateway_actions(now, router);
    }

    fn on_gateway_answer(&mut self, now: Micros, router: usize, ticket: Ticket, reply: Reply) {
        let Some(number) = self.request_number(router, ticket) else { return };
        match reply {
            _ if ticket >= FIRST_REMOTE_TICKET => _ = self.answer_remote(now, number, |_| reply.clone()),
            Reply::Served { version: copy, .. } => {
                self.statistics.remotely_served += 1;
                let issued_at = copy.map(|copy| micros(copy.issued_at));
                self.complete_client(now, number, issued_at);
            }
            Reply::Rejected { retry_after } => self.reject_client(now, number, retry_after),
            Reply::Failed => self.fail_client(now, number),
        }
    }

    // ---- The link.

    fn delay(&self) -> Micros {
        let plan = self.plan.sites.unwrap_or_default();
        micros(plan.delay * self.sites.delay_factor)
    }

    fn dial(&mut self, now: Micros, router: usize) {
        let Some(other) = self.counterpart(router) else { return };
        self.sites.last_connection += 1;
        let connection_id = self.sites.last_connection;
        let connection = Connection {
            ends: [router, other],
            pipes: Default::default(),
            tokens: BTreeMap::new(),
            open: [true; 2],
            established: false,
        };
        self.sites.connections.insert(connection_id, connection);
        self.queue.add(now + self.delay() * 2, Event::ConnectionOpened(connection_id));
    }

    /// A connection has opened, or could not be established.
    pub(super) fn on_connection_opened(&mut self, now: Micros, connection_id: ConnectionId) {
        let Some(connection) = self.sites.connections.get_mut(&connection_id) else { return };
        let [dialer, other] = connection.ends;
        if self.sites.cut || self.sites.silent {
            self.sites.connections.remove(&connection_id);
            self.sites.gateways[dialer].dial_failed(ms(now), 0);
            return self.run_gateway_actions(now, dialer);
        }
        connection.established = true;
        self.sites.gateways[dialer].connection_opened(ms(now), connection_id, Some(0));
        self.sites.gateways[other].connection_opened(ms(now), connection_id, None);
        self.run_gateway_actions(now, dialer);
        self.run_gateway_actions(now, other);
    }

    fn close_connection(&mut self, now: Micros, router: usize, connection_id: ConnectionId) {
        let delay = self.delay();
        let Some(connection) = self.sites.connections.get_mut(&connection_id) else { return };
        let end = usize::from(connection.ends[0] != router);
        connection.open[end] = false;
        connection.pipes[end].in_flight.clear();
        connection.pipes[1 - end].closed = true;
        if !connection.established {
            self.sites.connections.remove(&connection_id);
            return;
        }
        self.queue.add(now + delay, Event::BytesArrival(connection_id, 1 - end));
    }

    fn write_output(&mut self, now: Micros, router: usize, connection_id: ConnectionId) {
        let (delay, bandwidth) = (self.delay(), self.plan.sites.unwrap_or_default().bandwidth / 1e6);
        let Some(connection) = self.sites.connections.get_mut(&connection_id) else { return };
        let end = usize::from(connection.ends[0] != router);
        let towards = 1 - end;
        let pipe = &mut connection.pipes[towards];
        while connection.established && connection.open[end] && pipe.in_flight_bytes < MAX_BYTES_IN_FLIGHT {
            let mut bytes = BytesMut::new();
            self.sites.gateways[router].take_output(connection_id, 32 << 10, &mut bytes);
            if bytes.is_empty() {
                break;
            }
            self.sites.gateways[router].mark_written(connection_id, bytes.len());
            pipe.in_flight_bytes += bytes.len();
            let busy_until = &mut self.sites.busy_until[towards];
            *busy_until = (*busy_until).max(now) + (bytes.len() as f64 / bandwidth).ceil() as Micros;
            let arrival = *busy_until + delay;
            // Bytes arrive in order, even if the delay has become shorter.
            let arrival = pipe.in_flight.back().map_or(arrival, |(at, _)| arrival.max(*at));
            pipe.in_flight.push_back((arrival, bytes.freeze()));
            self.queue.add(arrival, Event::BytesArrival(connection_id, towards));
        }
    }

    /// Delivers the bytes that have arrived at an end of a connection by now.
    pub(super) fn deliver_bytes(&mut self, now: Micros, connection_id: ConnectionId, to: usize) {
        while !self.sites.silent {
            let Some(connection) = self.sites.connections.get_mut(&connection_id) else { return };
            let [one, other] = connection.ends;
            let (near_end, far_end) = if to == 0 { (one, other) } else { (other, one) };
            let pipe = &mut connection.pipes[to];
            if pipe.in_flight.front().is_some_and(|(at, _)| *at <= now) {
                let Some((_, bytes)) = pipe.in_flight.pop_front() else { return };
                pipe.in_flight_bytes -= bytes.len();
                let open = connection.open[to];
                self.record_frames(now, connection_id, to, &bytes);
                if open {
                    self.sites.gateways[near_end].receive(ms(now), connection_id, &bytes);
                    self.run_gateway_actions(now, near_end);
                }
                // The other end may write again.
                self.write_output(now, far_end, connection_id);
                continue;
            }
            if pipe.closed && pipe.in_flight.is_empty() && connection.open[to] {
                connection.open[to] = false;
                self.sites.gateways[near_end].connection_closed(ms(now), connection_id);
                self.run_gateway_actions(now, near_end);
            }
            if self
                .sites
                .connections
                .get(&connection_id)
                .is_some_and(|connection| connection.open == [false; 2])
            {
                self.sites.connections.remove(&connection_id);
            }
            return;
        }
    }

    /// Decodes the delivered bytes, and records the messages that the rules are about.
    fn record_frames(&mut self, now: Micros, connection_id: ConnectionId, to: usize, bytes: &[u8]) {
        if !self.recorder.is_enabled() {
            return;
        }
        let Some(Connection { ends, pipes, tokens, .. }) = self.sites.connections.get_mut(&connection_id)
        else {
            return;
        };
        let name = |end: usize| SITE_NAMES[end].to_string();
        let number = |token: Token, end: usize| (token.epoch * 1_000_000 + ends[end] as u64, token.number);
        let decoder = &mut pipes[to].decoder;
        decoder.push_bytes(bytes);
        while let Ok(Some(frame)) = decoder.next_frame(1 << 20) {
            match frame.message {
                Message::Request(request) => {
                    let id = request.fields.iter().find(|(name, _)| name == "i").map(|(_, id)| id.clone());
                    let token = request.token.map(|token| number(token, 1 - to));
                    token.into_iter().for_each(|token| _ = tokens.insert((1 - to, frame.stream), token));
                    self.recorder.record_forwarded_request(
                        now,
                        name(to),
                        id.unwrap_or_default(),
                        token,
                        request.passed_sites,
                    );
                }
                // The token was issued by the receiver of the message.
                Message::OutcomeReport(token, AttemptOutcome::NeverRan) => {
                    self.recorder.record_proof_of_no_execution(now, number(token, to))
                }
                Message::Reject { .. } => {
                    if let Some(token) = tokens.remove(&(to, frame.stream)) {
                        self.recorder.record_proof_of_no_execution(now, token);
                    }
                }
                _ => {}
            }
        }
    }

    pub(super) fn inject_link_fault(&mut self, now: Micros, fault: LinkFault) {
        let connection_ids: Vec<ConnectionId> = self.sites.connections.keys().copied().collect();
        match fault {
            LinkFault::Cut => {
                self.sites.cut = true;
                for connection_id in connection_ids {
                    let Some(connection) = self
                        .sites
                        .connections
                        .get_mut(&connection_id)
                        .filter(|connection| connection.established)
                    else {
                        continue;
                    };
                    for pipe in &mut connection.pipes {
                        pipe.closed = true;
                        pipe.in_flight.clear();
                    }
                    (0..2).for_each(|to| self.queue.add(now, Event::BytesArrival(connection_id, to)));
                }
            }
            LinkFault::Silent => self.sites.silent = true,
            LinkFault::Slow(times) => self.sites.delay_factor = times.max(0.01),
            LinkFault::Restore => {
                (self.sites.cut, self.sites.silent, self.sites.delay_factor) = (false, false, 1.0);
                for connection_id in connection_ids {
                    (0..2).for_each(|to| self.queue.add(now, Event::BytesArrival(connection_id, to)));
                }
            }
        }
    }
}
