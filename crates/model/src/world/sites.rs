//! Owns two sites: each router's gateway, the shipped one, and the link between the sites, which delays, throttles, falls
//! silent and is cut.
//!
//! The first half of the locations is one site, the rest the other; a router has a connection with its counterpart, and all share
//! the link. Bodies cross as bytes. Must never serve, refuse or repeat anything by itself: what gateways say is carried out.

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

use super::{micros, ms, Client, EndpointPhase, Event, Number, World};
use crate::plan::Blow;
use crate::Micros;

/// What fits between the ends of a connection.
const IN_PIPE: usize = 256 << 10;
const NAMES: [&str; 2] = ["one", "other"];
/// What is left of a client's time for the way back, in milliseconds.
const WAY_BACK: f64 = 10.0;

/// One direction of a connection.
#[derive(Default)]
struct Pipe {
    /// Bytes under way: when they may arrive.
    under_way: VecDeque<(Micros, Bytes)>,
    bytes: usize,
    /// What the middle has understood.
    decoder: FrameDecoder,
    ended: bool,
}

/// A connection of two gateways: which routers, the dialer first, and what passes towards each.
struct Wire {
    ends: [usize; 2],
    pipes: [Pipe; 2],
    /// Tokens by the stream and the end that opened it.
    tokens: BTreeMap<(usize, u32), (u64, u64)>,
    open: [bool; 2],
    told: bool,
}

/// The gateways of all routers, and the link.
#[derive(Default)]
pub(super) struct Sites {
    gateways: Vec<Gateway>,
    due: Vec<Micros>,
    wires: BTreeMap<ConnectionId, Wire>,
    last: ConnectionId,
    /// When the last byte of each direction will have left: the link is one for all.
    busy: [Micros; 2],
    cut: bool,
    silent: bool,
    slow: f64,
    /// Requests from the other site, by router and ticket.
    foreign: BTreeMap<(usize, Ticket), Number>,
}

impl World {
    fn site(&self, router: usize) -> usize {
        let locations = self.plan.locations;
        let location = router / self.plan.routers.max(1);
        usize::from(location >= locations.div_ceil(2))
    }

    /// The router of the other site that it has a connection with.
    fn counterpart(&self, router: usize) -> Option<usize> {
        let first = self.plan.locations.div_ceil(2) * self.plan.routers;
        let (one, other) = (first, self.brains.len().saturating_sub(first));
        match self.site(router) {
            0 => (other > 0).then(|| first + router % other),
            _ => (one > 0).then(|| (router - first) % one),
        }
    }

    pub(super) fn build_sites(&mut self) {
        let Some(rule) = self.plan.sites else { return };
        self.sites.slow = 1.0;
        for router in 0..self.brains.len() {
            let site = self.site(router);
            let mut rules = GatewayConfig::default();
            rules.peers.max_state_delay = rule.fresh;
            let setup = GatewaySetup {
                site: NAMES[site].to_string(),
                other_sites: vec![NAMES[1 - site].to_string()],
                node: format!("g{router}"),
                epoch: 1,
                seed: self.plan.seed ^ router as u64,
                dial_sites: if site == 0 { vec![NAMES[1].to_string()] } else { Vec::new() },
                accepts_cluster_peers: false,
                config: rules,
            };
            self.sites.gateways.push(Gateway::new(0.0, setup));
            self.sites.due.push(Micros::MAX);
            self.own_caches(0, router);
            self.tend_gateway(0, router);
        }
    }

    /// A gateway is told of its own caches, and how loaded they are.
    pub(super) fn own_caches(&mut self, now: Micros, router: usize) {
        let zone = router / self.plan.routers.max(1);
        let slots = self.plan.slots.max(1) as f64;
        let own = self.servers.iter().filter(|s| s.member.role == 0 && usize::from(s.member.zone) == zone);
        let (mut caches, mut used) = (0, 0.0);
        for server in own.filter(|server| server.member.phase == EndpointPhase::Ready) {
            caches += 1;
            used += server.in_hand as f64 / slots;
        }
        if let Some(gateway) = self.sites.gateways.get_mut(router) {
            gateway.report_local_load(ms(now), caches, (used / f64::from(caches.max(1))).min(1.0));
        }
    }

    // ---- Requests.

    /// Whether a client's request goes by its router's gateway, which then says what becomes of it.
    pub(super) fn asks_gateway(&mut self, now: Micros, number: Number) -> bool {
        let Some(client) = self.clients.get(&number) else { return false };
        if self.sites.gateways.is_empty() {
            return false;
        }
        let router = client.router;
        let wanted = self.wanted(number, client, Vec::new());
        self.sites.gateways[router].submit_request(ms(now), number, wanted);
        self.tend_gateway(now, router);
        true
    }

    fn wanted(&self, number: Number, client: &Client, passed: Vec<String>) -> ForwardRequest {
        let priority = match (client.books, client.part) {
            (true, _) => Priority::Booking,
            (false, 0) => Priority::FirstPart,
            _ => Priority::LaterPart,
        };
        let head = [
            ("c", u64::from(client.books)),
            ("i", client.id.unwrap_or(number)),
            ("o", client.object),
            ("chunk", u64::from(client.part)),
            ("m", client.size as u64),
        ];
        ForwardRequest {
            object: client.object,
            write: client.books,
            not_idempotent: client.books,
            home_site: None,
            priority,
            latency_objective: self.aim(client.size),
            deadline: ms(client.since) + client.wait - WAY_BACK,
            passed_sites: passed,
            fields: head.into_iter().map(|(name, value)| (name.to_string(), value.to_string())).collect(),
            body: Bytes::new(),
        }
    }

    /// A request of the other site comes in.
    fn serve_foreign(&mut self, now: Micros, router: usize, came: RemoteRequest) {
        let field = |name: &str| {
            let value = came.fields.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str());
            value.and_then(|value| value.parse::<u64>().ok()).unwrap_or(0)
        };
        let client = Client {
            router,
            object: field("o"),
            part: field("chunk") as u32,
            books: field("c") == 1,
            size: (field("m") as f64).max(1.0),
            first: now,
            since: now,
            wait: came.remaining,
            tries: 0,
            attempts: 0,
            foreign: Some(came.ticket),
            id: Some(field("i")),
        };
        self.last += 1;
        let number = self.last;
        let wanted = self.wanted(number, &client, came.passed_sites);
        self.clients.insert(number, client);
        self.sites.foreign.insert((router, came.ticket), number);
        self.sites.gateways[router].submit_request(ms(now), came.ticket, wanted);
    }

    fn number_of(&self, router: usize, ticket: Ticket) -> Option<Number> {
        match ticket >= FIRST_REMOTE_TICKET {
            true => self.sites.foreign.get(&(router, ticket)).copied(),
            false => Some(ticket),
        }
    }

    /// How a request ended that its own router served: true where the gateway goes on with it.
    pub(super) fn ended_at_home(&mut self, now: Micros, number: Number, served: bool, refused: bool) -> bool {
        let Some(client) = self.clients.get(&number).filter(|_| !self.sites.gateways.is_empty()) else {
            return false;
        };
        if client.foreign.is_some() {
            return false;
        }
        let (router, need) =
            (client.router, if client.books { RequestKind::Write } else { RequestKind::Read });
        let gateway = &mut self.sites.gateways[router];
        gateway.record_local_outcome(ms(now), need, !served);
        if !refused || !gateway.is_locally_unavailable(need) {
            return false;
        }
        let Some(client) = self.clients.get(&number) else { return false };
        let wanted = self.wanted(number, client, Vec::new());
        let goes = self.sites.gateways[router].forward_rejected_request(ms(now), number, wanted);
        self.tend_gateway(now, router);
        goes
    }

    /// The answer to a request of the other site goes back there; true where it was one.
    pub(super) fn replies(&mut self, now: Micros, number: Number, reply: impl Fn(&Client) -> Reply) -> bool {
        let Some(client) = self.clients.get(&number) else { return false };
        let (Some(ticket), router) = (client.foreign, client.router) else { return false };
        let reply = reply(client);
        self.clients.remove(&number);
        self.sites.foreign.remove(&(router, ticket));
        self.sites.gateways[router].complete_remote_request(ms(now), ticket, reply);
        self.tend_gateway(now, router);
        true
    }

    /// What a served request brings back, as bytes of its size.
    pub(super) fn body(client: &Client, dated: Option<Micros>) -> Reply {
        let length = if client.books { 400 } else { client.size as usize };
        let copy = dated.map(|at| ObjectVersion {
            tag: client.key().to_string(),
            issued_at: ms(at),
            length: length as u64,
        });
        Reply::Served { fields: Vec::new(), body: Bytes::from(vec![0; length]), version: copy }
    }

    // ---- What gateways say.

    /// Carries out what a gateway says, and sees when it is due again.
    pub(super) fn tend_gateway(&mut self, now: Micros, router: usize) {
        while let Some(action) = self.sites.gateways[router].next_action() {
            match action {
                Action::Dial(_) => self.dial(now, router),
                Action::Close(conn, _) => self.hang_up(now, router, conn),
                Action::Write(conn) => self.write(now, router, conn),
                Action::ServeLocally(ticket) => {
                    if let Some(number) = self.number_of(router, ticket) {
                        self.ask_home(now, number);
                    }
                }
                Action::Answer(ticket, reply) => self.answered_beyond(now, router, ticket, reply),
                Action::ServeRemote(came) => self.serve_foreign(now, router, came),
                Action::CancelServe(ticket) => {
                    if let Some(number) = self.sites.foreign.remove(&(router, ticket)) {
                        self.clients.remove(&number);
                        self.tell(now, router, &PolicyEvent::ClientDisconnected(RequestId(number)));
                    }
                }
                Action::RemoteFact(..)
                | Action::PeerLink { .. }
                | Action::PeerEntry { .. }
                | Action::Log(_) => {}
            }
        }
        let next = micros(self.sites.gateways[router].next_deadline(ms(now))).max(now + 1_000);
        if next < self.sites.due[router] {
            self.sites.due[router] = next;
            self.queue.add(next, Event::Gateway(router));
        }
    }

    pub(super) fn gateway_due(&mut self, now: Micros, router: usize) {
        if now < self.sites.due[router] {
            return;
        }
        self.sites.due[router] = Micros::MAX;
        self.own_caches(now, router);
        self.sites.gateways[router].on_timer(ms(now));
        self.tend_gateway(now, router);
    }

    fn answered_beyond(&mut self, now: Micros, router: usize, ticket: Ticket, reply: Reply) {
        let Some(number) = self.number_of(router, ticket) else { return };
        match reply {
            _ if ticket >= FIRST_REMOTE_TICKET => _ = self.replies(now, number, |_| reply.clone()),
            Reply::Served { version: copy, .. } => {
                self.seen.across += 1;
                let dated = copy.map(|copy| micros(copy.issued_at));
                self.client_served(now, number, dated);
            }
            Reply::Rejected { retry_after: wait } => self.client_refused(now, number, wait),
            Reply::Failed => self.client_failed(now, number),
        }
    }

    // ---- The link.

    fn delay(&self) -> Micros {
        let rule = self.plan.sites.unwrap_or_default();
        micros(rule.delay * self.sites.slow)
    }

    fn dial(&mut self, now: Micros, router: usize) {
        let Some(other) = self.counterpart(router) else { return };
        self.sites.last += 1;
        let conn = self.sites.last;
        let wire = Wire {
            ends: [router, other],
            pipes: Default::default(),
            tokens: BTreeMap::new(),
            open: [true; 2],
            told: false,
        };
        self.sites.wires.insert(conn, wire);
        self.queue.add(now + self.delay() * 2, Event::Up(conn));
    }

    /// A connection is up, or could not be had.
    pub(super) fn bring_up(&mut self, now: Micros, conn: ConnectionId) {
        let Some(wire) = self.sites.wires.get_mut(&conn) else { return };
        let [dialer, other] = wire.ends;
        if self.sites.cut || self.sites.silent {
            self.sites.wires.remove(&conn);
            self.sites.gateways[dialer].dial_failed(ms(now), 0);
            return self.tend_gateway(now, dialer);
        }
        wire.told = true;
        self.sites.gateways[dialer].connection_opened(ms(now), conn, Some(0));
        self.sites.gateways[other].connection_opened(ms(now), conn, None);
        self.tend_gateway(now, dialer);
        self.tend_gateway(now, other);
    }

    fn hang_up(&mut self, now: Micros, router: usize, conn: ConnectionId) {
        let delay = self.delay();
        let Some(wire) = self.sites.wires.get_mut(&conn) else { return };
        let end = usize::from(wire.ends[0] != router);
        wire.open[end] = false;
        wire.pipes[end].under_way.clear();
        wire.pipes[1 - end].ended = true;
        if !wire.told {
            self.sites.wires.remove(&conn);
            return;
        }
        self.queue.add(now + delay, Event::Bytes(conn, 1 - end));
    }

    fn write(&mut self, now: Micros, router: usize, conn: ConnectionId) {
        let (delay, carries) = (self.delay(), self.plan.sites.unwrap_or_default().carries / 1e6);
        let Some(wire) = self.sites.wires.get_mut(&conn) else { return };
        let end = usize::from(wire.ends[0] != router);
        let towards = 1 - end;
        let pipe = &mut wire.pipes[towards];
        while wire.told && wire.open[end] && pipe.bytes < IN_PIPE {
            let mut bytes = BytesMut::new();
            self.sites.gateways[router].take_output(conn, 32 << 10, &mut bytes);
            if bytes.is_empty() {
                break;
            }
            self.sites.gateways[router].mark_written(conn, bytes.len());
            pipe.bytes += bytes.len();
            let busy = &mut self.sites.busy[towards];
            *busy = (*busy).max(now) + (bytes.len() as f64 / carries).ceil() as Micros;
            let arrives = *busy + delay;
            // In their order, however the delay has changed.
            let arrives = pipe.under_way.back().map_or(arrives, |(at, _)| arrives.max(*at));
            pipe.under_way.push_back((arrives, bytes.freeze()));
            self.queue.add(arrives, Event::Bytes(conn, towards));
        }
    }

    /// Whatever has arrived at an end by now.
    pub(super) fn arrives(&mut self, now: Micros, conn: ConnectionId, to: usize) {
        while !self.sites.silent {
            let Some(wire) = self.sites.wires.get_mut(&conn) else { return };
            let [one, other] = wire.ends;
            let (here, there) = if to == 0 { (one, other) } else { (other, one) };
            let pipe = &mut wire.pipes[to];
            if pipe.under_way.front().is_some_and(|(at, _)| *at <= now) {
                let Some((_, bytes)) = pipe.under_way.pop_front() else { return };
                pipe.bytes -= bytes.len();
                let open = wire.open[to];
                self.watch(now, conn, to, &bytes);
                if open {
                    self.sites.gateways[here].receive(ms(now), conn, &bytes);
                    self.tend_gateway(now, here);
                }
                // There is room again for the other end.
                self.write(now, there, conn);
                continue;
            }
            if pipe.ended && pipe.under_way.is_empty() && wire.open[to] {
                wire.open[to] = false;
                self.sites.gateways[here].connection_closed(ms(now), conn);
                self.tend_gateway(now, here);
            }
            if self.sites.wires.get(&conn).is_some_and(|wire| wire.open == [false; 2]) {
                self.sites.wires.remove(&conn);
            }
            return;
        }
    }

    /// The middle reads along, and notes what concerns the rules.
    fn watch(&mut self, now: Micros, conn: ConnectionId, to: usize, bytes: &[u8]) {
        if !self.notes.are_wanted() {
            return;
        }
        let Some(Wire { ends, pipes, tokens, .. }) = self.sites.wires.get_mut(&conn) else { return };
        let name = |end: usize| NAMES[end].to_string();
        let number = |token: Token, end: usize| (token.epoch * 1_000_000 + ends[end] as u64, token.number);
        let decoder = &mut pipes[to].decoder;
        decoder.push_bytes(bytes);
        while let Ok(Some(frame)) = decoder.next_frame(1 << 20) {
            match frame.message {
                Message::Request(open) => {
                    let id = open.fields.iter().find(|(name, _)| name == "i").map(|(_, id)| id.clone());
                    let token = open.token.map(|token| number(token, 1 - to));
                    token.into_iter().for_each(|token| _ = tokens.insert((1 - to, frame.stream), token));
                    self.notes.crossed(now, name(to), id.unwrap_or_default(), token, open.passed_sites);
                }
                // PolicyEvent to the sender of the token, which is at the end that it goes to.
                Message::OutcomeReport(token, AttemptOutcome::NeverRan) => {
                    self.notes.proven(now, number(token, to))
                }
                Message::Reject { .. } => {
                    if let Some(token) = tokens.remove(&(to, frame.stream)) {
                        self.notes.proven(now, token);
                    }
                }
                _ => {}
            }
        }
    }

    pub(super) fn blow(&mut self, now: Micros, blow: Blow) {
        let conns: Vec<ConnectionId> = self.sites.wires.keys().copied().collect();
        match blow {
            Blow::Cut => {
                self.sites.cut = true;
                for conn in conns {
                    let Some(wire) = self.sites.wires.get_mut(&conn).filter(|wire| wire.told) else {
                        continue;
                    };
                    for pipe in &mut wire.pipes {
                        pipe.ended = true;
                        pipe.under_way.clear();
                    }
                    (0..2).for_each(|to| self.queue.add(now, Event::Bytes(conn, to)));
                }
            }
            Blow::Silent => self.sites.silent = true,
            Blow::Slow(times) => self.sites.slow = times.max(0.01),
            Blow::Mend => {
                (self.sites.cut, self.sites.silent, self.sites.slow) = (false, false, 1.0);
                for conn in conns {
                    (0..2).for_each(|to| self.queue.add(now, Event::Bytes(conn, to)));
                }
            }
        }
    }
}
