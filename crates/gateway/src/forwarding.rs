//! Owns the requests of this gateway that are served at other sites, from the choice of the site to the one answer.
//!
//! Must never have two attempts of one request open, send one again that may have run and does harm, or keep an
//! answer back that is decided.

use std::collections::{BTreeMap, BTreeSet};

use bytes::{Bytes, BytesMut};
use linnethook::interface::Ms;

use crate::attempt_ledger::{AttemptOutcome, Resolution, Ticket, Token};
use crate::codec::{Fields, ForwardedRequest, RejectReason, ResponseHead};
use crate::flow_control::Priority;
use crate::gateway::{Action, ConnectionId, Gateway, Reply};
use crate::local_capacity::RequestKind;
use crate::remote_requests::CachedReply;
use crate::routing::{Route, RouteQuery, RouteRefusal, SiteId};
use crate::session::CloseReason;
use crate::transfer::{ObjectVersion, ResponseFit, Resumption, Transfer};

/// How requests cross.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ForwardingConfig {
    /// Attempts with tokens that may be open, and requests of other sites that may be here.
    pub max_attempts: usize,
    pub max_remote_requests: usize,
    /// A further try needs at least so much time.
    pub min_retry_time: Ms,
    /// So often a body that stopped is asked for again.
    pub max_retries: u32,
    /// For how long one that stopped may wait for a link, how many may, and the bytes that all may hold.
    pub max_wait: Ms,
    pub max_waiting: usize,
    pub max_buffered_bytes: usize,
    /// How many of these go on at each look once a link is back.
    pub max_resumed_per_check: usize,
    /// Whether a body that stopped goes on from where it stopped.
    pub resumes_bodies: bool,
    /// Whether what is uncertain is asked after; else it is failed at once, as a plain gateway does.
    pub queries_outcomes: bool,
    /// The longest answer, and how long its writing may take.
    pub max_answer_bytes: u64,
    pub answer_write_timeout: Ms,
    /// When a refused client may come again, where nothing better is known.
    pub retry_after: Ms,
}

impl Default for ForwardingConfig {
    fn default() -> Self {
        Self {
            max_attempts: 4_096,
            max_remote_requests: 1_024,
            min_retry_time: 100.0,
            max_retries: 4,
            max_wait: 1_000.0,
            max_waiting: 256,
            max_buffered_bytes: 32 << 20,
            max_resumed_per_check: 4,
            resumes_bodies: true,
            queries_outcomes: true,
            max_answer_bytes: 262_144,
            answer_write_timeout: 60_000.0,
            retry_after: 500.0,
        }
    }
}

/// A request that looks for a site.
#[derive(Debug, Clone, PartialEq)]
pub struct ForwardRequest {
    pub object: u64,
    /// It runs at the origin.
    pub write: bool,
    /// A second run would be harm.
    pub not_idempotent: bool,
    /// The site at which its class is at home; `None` for this one.
    pub home_site: Option<SiteId>,
    pub priority: Priority,
    /// Within what time it is wanted, and by when it must have its answer.
    pub latency_objective: Ms,
    pub deadline: Ms,
    /// The names of the sites that it has passed.
    pub passed_sites: Vec<String>,
    pub fields: Fields,
    pub body: Bytes,
}

impl ForwardRequest {
    pub fn kind(&self) -> RequestKind {
        if self.write {
            RequestKind::Write
        } else {
            RequestKind::Read
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum ForwardState {
    /// On a stream of that connection.
    InFlight(ConnectionId, SiteId),
    /// It has a token whose fate is to be told.
    Uncertain(SiteId),
    /// Its body stopped; it goes on by then, or not at all.
    Waiting(Ms),
}

#[derive(Debug)]
struct PendingRequest {
    spec: ForwardRequest,
    started_at: Ms,
    state: ForwardState,
    token: Option<Token>,
    transfer: Transfer,
    /// Whether two copies of it could be told apart.
    has_version: bool,
    served: bool,
    fields: Fields,
    body: BytesMut,
    tried_sites: Vec<SiteId>,
    /// The site at which it was last.
    last_site: Option<SiteId>,
    /// The time told by whoever turned it away.
    retry_after: Ms,
}

/// All of them.
#[derive(Debug, Default)]
pub(crate) struct PendingRequests {
    requests: BTreeMap<Ticket, PendingRequest>,
    /// By when each without a token has to have its answer, in microseconds.
    deadlines: BTreeSet<(u64, Ticket)>,
    waiting: BTreeSet<Ticket>,
    /// Bytes of bodies that are held.
    buffered_bytes: usize,
}

fn micros(at: Ms) -> u64 {
    (at.max(0.0) * 1_000.0) as u64
}

impl PendingRequests {
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    pub fn next_deadline(&self) -> Option<Ms> {
        let due = self.deadlines.first().map(|(at, _)| *at as Ms / 1_000.0);
        let waiting = self.waiting.iter().filter_map(|ticket| match self.requests.get(ticket)?.state {
            ForwardState::Waiting(until) => Some(until),
            _ => None,
        });
        waiting.chain(due).reduce(f64::min)
    }

    fn remove(&mut self, ticket: Ticket) -> Option<PendingRequest> {
        let request = self.requests.remove(&ticket)?;
        self.deadlines.remove(&(micros(request.spec.deadline), ticket));
        self.waiting.remove(&ticket);
        self.buffered_bytes -= request.body.len();
        Some(request)
    }

    fn clear_body(&mut self, ticket: Ticket) {
        if let Some(request) = self.requests.get_mut(&ticket) {
            self.buffered_bytes -= request.body.len();
            request.body.clear();
        }
    }
}

impl Gateway {
    /// A request of a client, or one that has come from another site: at home, across, or answered at once.
    pub fn submit_request(&mut self, now: Ms, ticket: Ticket, wanted: ForwardRequest) {
        self.dispatch_request(now, ticket, wanted, Vec::new(), false);
    }

    /// The home has refused a request, which so has never run, and is unable: whether it goes across instead. Where
    /// not, nothing was done and the refusal stands.
    pub fn forward_rejected_request(&mut self, now: Ms, ticket: Ticket, wanted: ForwardRequest) -> bool {
        if now + self.config.forwarding.min_retry_time > wanted.deadline {
            return false;
        }
        let tried = vec![self.own_site];
        match self.choose_route(now, &wanted, &tried, true, None) {
            Route::Remote(site) if self.has_room(site, wanted.priority) => {
                self.send_attempt(
                    now,
                    ticket,
                    site,
                    PendingRequest::new(now, wanted, tried, self.config.forwarding),
                );
                true
            }
            _ => false,
        }
    }

    fn choose_route(
        &mut self,
        now: Ms,
        wanted: &ForwardRequest,
        tried: &[SiteId],
        repeat: bool,
        admitted: Option<SiteId>,
    ) -> Route {
        if wanted.home_site.is_none_or(|home| home == self.own_site)
            && !tried.contains(&self.own_site)
            && self.local_capacity.take_probe(now, wanted.kind())
        {
            return Route::Local;
        }
        let wish = RouteQuery {
            object: wanted.object,
            write: wanted.write,
            home_site: wanted.home_site,
            passed_sites: self.site_ids(&wanted.passed_sites),
            tried_sites: tried.to_vec(),
            is_retry: repeat,
            admitted_site: admitted,
        };
        self.routing.route(now, &wish)
    }

    /// The connection for one more request to a site: the one with the least to be written.
    fn connection_to(&self, site: SiteId) -> Option<ConnectionId> {
        let fits = |conn: &ConnectionId| {
            self.connections.get(conn).is_some_and(|l| {
                l.session.may_open_stream() && l.session.heartbeat.all_received_until().is_some()
            })
        };
        let peers = self.peers.values().filter(|peer| peer.site == site);
        let conns = peers.flat_map(|peer| peer.sessions.iter().copied()).filter(fits);
        conns.min_by_key(|conn| self.connections.get(conn).map(|line| line.session.queued_bytes()))
    }

    fn has_room(&self, site: SiteId, priority: Priority) -> bool {
        self.windows.get(&site).is_some_and(|window| window.may_send(priority))
            && self.pending.buffered_bytes < self.config.forwarding.max_buffered_bytes
            && self.sent_attempts.len() < self.config.forwarding.max_attempts
            && self.connection_to(site).is_some()
    }

    fn dispatch_request(
        &mut self,
        now: Ms,
        ticket: Ticket,
        wanted: ForwardRequest,
        tried: Vec<SiteId>,
        repeat: bool,
    ) {
        let rule = self.config.forwarding;
        let full = |gateway: &Self| {
            let need = wanted.kind();
            let able = !tried.contains(&gateway.own_site)
                && !gateway.local_capacity.is_drained()
                && !gateway.is_locally_unable(need);
            if able {
                Route::Local
            } else {
                Route::Refused(RouteRefusal::NoCapacity)
            }
        };
        let route = match self.choose_route(now, &wanted, &tried, repeat, None) {
            Route::Remote(site) if !self.has_room(site, wanted.priority) => full(self),
            route => route,
        };
        // What can't cross either is left to whoever decides at home: the caches may hold it, and what they lack is
        // refused there.
        let own = wanted.passed_sites.is_empty() && wanted.home_site.is_none_or(|home| home == self.own_site);
        let left =
            own && !wanted.write && !tried.contains(&self.own_site) && self.local_capacity.may_have_cached();
        let route = match route {
            Route::Refused(_) if left => Route::Local,
            route => route,
        };
        match route {
            Route::Local => {
                self.counts.home += 1;
                self.actions.push_back(Action::ServeLocally(ticket));
            }
            Route::Remote(site) => {
                self.send_attempt(now, ticket, site, PendingRequest::new(now, wanted, tried, rule))
            }
            Route::Refused(_) => {
                self.counts.nowhere += 1;
                self.counts.refused += 1;
                self.actions
                    .push_back(Action::Answer(ticket, Reply::Rejected { retry_after: rule.retry_after }));
            }
        }
    }

    /// Sends a request across; there is room, and no other attempt of it is open.
    fn send_attempt(&mut self, now: Ms, ticket: Ticket, site: SiteId, mut request: PendingRequest) {
        let Some(conn) = self.connection_to(site) else { return self.reject_request(ticket, request) };
        let (name, deadline) = (self.site_name(self.own_site).to_string(), request.spec.deadline);
        let Some(line) = self.connections.get_mut(&conn) else { return self.reject_request(ticket, request) };
        if request.spec.not_idempotent {
            let Some(peer) =
                line.peer.as_ref().and_then(|name| self.peers.get(name).map(|p| (name, p.epoch)))
            else {
                return self.reject_request(ticket, request);
            };
            let start = Self::peer_start(peer.0, peer.1);
            let Some(token) = self.sent_attempts.begin(ticket, start, conn, deadline) else {
                return self.reject_request(ticket, request);
            };
            request.token = Some(token);
        }
        let rest = match request.transfer.version() {
            Some(copy) if !request.body.is_empty() => {
                self.counts.resumed += 1;
                Some((request.body.len() as u64, copy.clone()))
            }
            _ => None,
        };
        let mut passed = request.spec.passed_sites.clone();
        passed.push(name);
        line.session.send_request(
            ticket,
            ForwardedRequest {
                token: request.token,
                remaining_ms: (deadline - now).clamp(1.0, f64::from(u32::MAX)) as u32,
                priority: request.spec.priority as u8,
                passed_sites: passed,
                resume_from: rest,
                fields: request.spec.fields.clone(),
                body: request.spec.body.clone(),
            },
        );
        self.counts.across += 1;
        if let Some(window) = self.windows.get_mut(&site) {
            window.start_request();
        }
        request.state = ForwardState::InFlight(conn, site);
        request.last_site = Some(site);
        if request.token.is_none() {
            self.pending.deadlines.insert((micros(deadline), ticket));
        }
        self.pending.buffered_bytes += request.body.len();
        self.pending.requests.insert(ticket, request);
        self.request_write(conn);
    }

    /// It could not go after all; nothing of it ever did.
    fn reject_request(&mut self, ticket: Ticket, request: PendingRequest) {
        self.counts.refused += 1;
        let wait = request.retry_after.max(self.config.forwarding.retry_after);
        self.actions.push_back(Action::Answer(ticket, Reply::Rejected { retry_after: wait }));
    }

    /// An attempt is over at its site; `late` is nothing where that says nothing of the way there.
    fn record_remote_outcome(&mut self, now: Ms, request: &PendingRequest, bad: Option<bool>) {
        let site = match request.state {
            ForwardState::InFlight(_, site) | ForwardState::Uncertain(site) => site,
            ForwardState::Waiting(_) => return,
        };
        let late = bad.map(|bad| bad || now - request.started_at > request.spec.latency_objective);
        if let Some(window) = self.windows.get_mut(&site) {
            let length = (bad == Some(false)).then_some(request.body.len() as f64);
            window.finish_request(now, late, length);
        }
        if let Some(bad) = bad {
            self.routing.record_outcome(site, bad);
        }
    }

    fn answer_request(&mut self, ticket: Ticket, reply: Reply) {
        match reply {
            Reply::Served { .. } => self.counts.answered += 1,
            Reply::Rejected { .. } => self.counts.refused += 1,
            Reply::Failed => self.counts.failed += 1,
        }
        self.actions.push_back(Action::Answer(ticket, reply));
    }

    /// Nobody waits for the answer any more.
    pub fn cancel_request(&mut self, now: Ms, ticket: Ticket) {
        let Some(request) = self.pending.remove(ticket) else { return };
        self.record_remote_outcome(now, &request, None);
        if let ForwardState::InFlight(conn, _) = request.state {
            if let Some(line) = self.connections.get_mut(&conn) {
                line.session.cancel_request(ticket);
            }
            self.request_write(conn);
        }
        self.sent_attempts.abandon(ticket);
    }

    // ---- What the other side says of it.

    pub(crate) fn begin_response(
        &mut self,
        now: Ms,
        conn: ConnectionId,
        ticket: Ticket,
        begins: ResponseHead,
    ) -> Result<(), CloseReason> {
        let rule = self.config.forwarding;
        if begins.body_length > rule.max_answer_bytes {
            self.discard_long_answer(now, conn, ticket, begins.body_length);
            return Ok(());
        }
        let Some(request) = self.pending.requests.get_mut(&ticket) else { return Ok(()) };
        request.served = begins.served;
        request.fields = begins.fields;
        request.has_version = begins.version.is_some();
        let copy = begins.version.unwrap_or(ObjectVersion {
            tag: String::new(),
            issued_at: 0.0,
            length: begins.body_length,
        });
        if copy.length != begins.body_length {
            return Err(CloseReason::UnexpectedResponse);
        }
        let fit = request.transfer.begin_response(copy, begins.offset);
        let there = request.transfer.received_bytes() as usize;
        if there < request.body.len() {
            self.counts.bytes_again += (request.body.len() - there) as u64;
            self.pending.buffered_bytes -= request.body.len() - there;
            request.body.truncate(there);
        }
        match fit {
            ResponseFit::Continues | ResponseFit::Restarts => Ok(()),
            // It gives something else than was asked for.
            ResponseFit::Mismatch => Err(CloseReason::UnexpectedResponse),
        }
    }

    /// An answer is longer than is taken here. That is its own matter: its stream ends, and all others go on.
    fn discard_long_answer(&mut self, now: Ms, conn: ConnectionId, ticket: Ticket, length: u64) {
        let Some(token) = self.pending.requests.get(&ticket).map(|request| request.token) else { return };
        if let Some(token) = token {
            // It ran, whatever it answers.
            if self.sent_attempts.record_outcome(token, AttemptOutcome::Completed(None), conn).is_none() {
                return;
            }
        }
        let Some(mut request) = self.pending.remove(ticket) else { return };
        let most = self.config.forwarding.max_answer_bytes;
        self.actions.push_back(Action::Log(format!("an answer of {length} bytes is left: {most} are taken")));
        self.record_remote_outcome(now, &request, None);
        self.cancel_stream(&request, ticket);
        if request.spec.not_idempotent {
            return self.answer_request(ticket, Reply::Failed);
        }
        if let ForwardState::InFlight(_, site) = request.state {
            request.tried_sites.push(site);
        }
        self.retry_request(now, ticket, request, false);
    }

    pub(crate) fn receive_body(&mut self, ticket: Ticket, bytes: &[u8]) -> Result<(), CloseReason> {
        let Some(request) = self.pending.requests.get_mut(&ticket) else { return Ok(()) };
        if !request.transfer.receive(bytes.len() as u64) {
            return Err(CloseReason::UnexpectedResponse);
        }
        request.body.extend_from_slice(bytes);
        self.pending.buffered_bytes += bytes.len();
        Ok(())
    }

    pub(crate) fn end_response(
        &mut self,
        now: Ms,
        conn: ConnectionId,
        ticket: Ticket,
    ) -> Result<(), CloseReason> {
        let Some(request) = self.pending.requests.get(&ticket) else { return Ok(()) };
        if request.served && !request.transfer.is_complete() {
            return Err(CloseReason::UnexpectedResponse);
        }
        let served = request.served;
        if let Some(token) = request.token {
            let fate = AttemptOutcome::Completed(served.then(Vec::new));
            if self.sent_attempts.record_outcome(token, fate, conn).is_none() {
                return Ok(());
            }
        }
        let Some(request) = self.pending.remove(ticket) else { return Ok(()) };
        self.record_remote_outcome(now, &request, Some(!served));
        if served {
            let PendingRequest { fields: head, body: got, .. } = request;
            self.answer_request(ticket, Reply::Served { fields: head, body: got.freeze(), version: None });
        } else if request.spec.not_idempotent {
            self.answer_request(ticket, Reply::Failed);
        } else {
            self.retry_request(now, ticket, request, true);
        }
        Ok(())
    }

    pub(crate) fn handle_rejection(
        &mut self,
        now: Ms,
        conn: ConnectionId,
        ticket: Ticket,
        why: RejectReason,
        come_back: Ms,
    ) {
        let Some(request) = self.pending.requests.get(&ticket) else { return };
        if let Some(token) = request.token {
            match self.sent_attempts.record_outcome(token, AttemptOutcome::NeverRan, conn) {
                Some(Resolution::NeverRan(_)) => self.counts.freed += 1,
                _ => return,
            }
        }
        let Some(mut request) = self.pending.remove(ticket) else { return };
        // Being too old a state or a site's end says nothing of its room.
        let bad = matches!(why, RejectReason::AtCapacity | RejectReason::Refused).then_some(true);
        self.record_remote_outcome(now, &request, bad);
        request.retry_after = come_back;
        if let ForwardState::InFlight(_, site) = request.state {
            request.tried_sites.push(site);
        }
        self.retry_request(now, ticket, request, false);
    }

    pub(crate) fn handle_outcome(&mut self, now: Ms, conn: ConnectionId, token: Token, fate: AttemptOutcome) {
        let running = fate == AttemptOutcome::Running;
        let Some(ticket) = self.sent_attempts.ticket_of(token) else { return };
        let verdict = self.sent_attempts.record_outcome(token, fate, conn);
        if running {
            if let Some(request) = self.pending.requests.get_mut(&ticket) {
                let site = match request.state {
                    ForwardState::InFlight(_, site) | ForwardState::Uncertain(site) => site,
                    ForwardState::Waiting(_) => return,
                };
                request.state = ForwardState::InFlight(conn, site);
            }
        }
        if let Some(verdict) = verdict {
            self.resolve_attempt(now, verdict);
        }
    }

    fn resolve_attempt(&mut self, now: Ms, verdict: Resolution) {
        match verdict {
            Resolution::Answered(ticket, answer) => {
                let Some(request) = self.pending.remove(ticket) else { return };
                self.record_remote_outcome(now, &request, Some(false));
                let reply = match postcard::from_bytes::<CachedReply>(&answer) {
                    Ok(CachedReply { served: true, fields: head, body }) => {
                        Reply::Served { fields: head, body, version: None }
                    }
                    _ => Reply::Failed,
                };
                self.answer_request(ticket, reply);
            }
            Resolution::NeverRan(ticket) => {
                let Some(request) = self.pending.remove(ticket) else { return };
                self.counts.freed += 1;
                self.record_remote_outcome(now, &request, None);
                self.retry_request(now, ticket, request, true);
            }
            Resolution::Failed(ticket) => {
                let Some(request) = self.pending.remove(ticket) else { return };
                let bad = matches!(request.state, ForwardState::InFlight(..)).then_some(true);
                self.record_remote_outcome(now, &request, bad);
                self.cancel_stream(&request, ticket);
                self.answer_request(ticket, Reply::Failed);
            }
        }
    }

    fn cancel_stream(&mut self, request: &PendingRequest, ticket: Ticket) {
        let ForwardState::InFlight(conn, _) = request.state else { return };
        if let Some(line) = self.connections.get_mut(&conn) {
            line.session.cancel_request(ticket);
        }
        self.request_write(conn);
    }

    /// A connection is gone; these had streams on it, and others may have been told of there.
    pub(crate) fn fail_over_requests(&mut self, now: Ms, conn: ConnectionId, tickets: Vec<Ticket>) {
        let told = self.pending.requests.iter().filter(|(_, r)| r.token.is_some());
        let told = told
            .filter(|(_, r)| matches!(r.state, ForwardState::InFlight(c, _) if c == conn))
            .map(|(t, _)| *t);
        let mut all: BTreeSet<Ticket> = told.collect();
        all.extend(tickets);
        let verdicts = self.sent_attempts.connection_lost(conn);
        for ticket in all {
            let Some(request) = self.pending.requests.get_mut(&ticket) else { continue };
            let ForwardState::InFlight(_, site) = request.state else { continue };
            if request.token.is_none() {
                // That the link went says nothing of the site's room.
                let Some(request) = self.pending.remove(ticket) else { continue };
                self.record_remote_outcome(now, &request, None);
                self.retry_request(now, ticket, request, true);
                continue;
            }
            request.state = ForwardState::Uncertain(site);
            // What came of its answer comes again with its fate.
            request.transfer = Transfer::new(request.spec.deadline, self.config.forwarding.max_retries);
            self.pending.clear_body(ticket);
            if self.sent_attempts.is_uncertain(ticket) {
                self.counts.uncertain += 1;
                if !self.config.forwarding.queries_outcomes {
                    self.sent_attempts.abandon(ticket);
                    self.resolve_attempt(now, Resolution::Failed(ticket));
                }
            }
        }
        verdicts.into_iter().for_each(|verdict| self.resolve_attempt(now, verdict));
    }

    /// A connection is up: what is uncertain there is asked after.
    pub(crate) fn query_outcomes(&mut self, conn: ConnectionId, start: u64) {
        let tokens = self.sent_attempts.tokens_to_query(start);
        if let Some(line) = self.connections.get_mut(&conn) {
            tokens
                .into_iter()
                .for_each(|token| line.session.send(&crate::codec::Message::OutcomeQuery(token)));
        }
        self.request_write(conn);
    }

    /// One that is proven not to have run, or does no harm, has another try if there is time and a site for it.
    fn retry_request(&mut self, now: Ms, ticket: Ticket, mut request: PendingRequest, stopped: bool) {
        let rule = self.config.forwarding;
        request.token = None;
        if !rule.resumes_bodies || !request.has_version {
            self.counts.bytes_again += request.body.len() as u64;
            request.discard_body();
        }
        if let Resumption::GiveUp = request.transfer.resume(now, rule.min_retry_time) {
            return self.reject_request(ticket, request);
        }
        self.counts.again += 1;
        let (wanted, tried, last) = (request.spec.clone(), request.tried_sites.clone(), request.last_site);
        match self.choose_route(now, &wanted, &tried, true, last) {
            Route::Local => {
                self.counts.home += 1;
                self.actions.push_back(Action::ServeLocally(ticket));
            }
            Route::Remote(site) if self.has_room(site, wanted.priority) => {
                self.send_attempt(now, ticket, site, request);
            }
            _ if stopped && self.may_wait(&request) => {
                // Its link may be back in time, and then it need not cross anew.
                request.state =
                    ForwardState::Waiting((now + rule.max_wait).min(wanted.deadline - rule.min_retry_time));
                self.pending.deadlines.insert((micros(wanted.deadline), ticket));
                self.pending.waiting.insert(ticket);
                self.pending.buffered_bytes += request.body.len();
                self.pending.requests.insert(ticket, request);
            }
            _ => self.reject_request(ticket, request),
        }
    }

    fn may_wait(&self, request: &PendingRequest) -> bool {
        let rule = self.config.forwarding;
        rule.max_wait > 0.0
            && self.pending.waiting.len() < rule.max_waiting
            && self.pending.buffered_bytes + request.body.len() < rule.max_buffered_bytes
    }

    pub(crate) fn expire_requests(&mut self, now: Ms) {
        for verdict in self.sent_attempts.expire(now) {
            self.resolve_attempt(now, verdict);
        }
        while let Some((at, ticket)) =
            self.pending.deadlines.first().copied().filter(|(at, _)| *at <= micros(now))
        {
            self.pending.deadlines.remove(&(at, ticket));
            let Some(request) = self.pending.remove(ticket) else { continue };
            self.record_remote_outcome(now, &request, Some(true));
            self.cancel_stream(&request, ticket);
            self.answer_request(ticket, Reply::Failed);
        }
        let over = |ticket: &&Ticket| {
            let request = self.pending.requests.get(ticket);
            request.is_none_or(|r| matches!(r.state, ForwardState::Waiting(until) if now >= until))
        };
        let over: Vec<Ticket> = self.pending.waiting.iter().filter(over).copied().collect();
        for ticket in over {
            if let Some(request) = self.pending.remove(ticket) {
                self.reject_request(ticket, request);
            }
        }
    }

    /// What waits for a link goes on in small groups: not all that waited at once.
    pub(crate) fn resume_waiting(&mut self, now: Ms) {
        // A route that is asked for and not taken would cost one of the repeats.
        let room = |site: &SiteId| self.has_room(*site, Priority::LaterPart);
        if self.pending.waiting.is_empty() || !self.routing.reachable_sites().iter().any(room) {
            return;
        }
        let mut left = self.config.forwarding.max_resumed_per_check;
        for ticket in self.pending.waiting.iter().copied().collect::<Vec<_>>() {
            let Some(request) = self.pending.requests.get(&ticket).filter(|_| left > 0) else { continue };
            let (wanted, tried, last) =
                (request.spec.clone(), request.tried_sites.clone(), request.last_site);
            match self.choose_route(now, &wanted, &tried, true, last) {
                Route::Remote(site) if self.has_room(site, wanted.priority) => {
                    left -= 1;
                    if let Some(request) = self.pending.remove(ticket) {
                        self.send_attempt(now, ticket, site, request);
                    }
                }
                Route::Local => {
                    left -= 1;
                    self.pending.remove(ticket);
                    self.counts.home += 1;
                    self.actions.push_back(Action::ServeLocally(ticket));
                }
                _ => {}
            }
        }
    }
}

impl PendingRequest {
    fn new(now: Ms, wanted: ForwardRequest, tried: Vec<SiteId>, rule: ForwardingConfig) -> Self {
        Self {
            started_at: now,
            state: ForwardState::Waiting(now),
            token: None,
            transfer: Transfer::new(wanted.deadline, rule.max_retries),
            has_version: false,
            served: false,
            fields: Vec::new(),
            body: BytesMut::new(),
            tried_sites: tried,
            last_site: None,
            retry_after: 0.0,
            spec: wanted,
        }
    }

    /// What came of it can't be told from another copy.
    fn discard_body(&mut self) {
        self.body.clear();
        self.transfer.discard();
    }
}
