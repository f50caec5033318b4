//! Requests from other sites that are served here.
//!
//! Each request is passed to the caller once and gets one reply. The reply is sent on the request's stream
//! or, if that has ended, retained with the request's token until the sender queries it. A token never runs
//! twice, and a token that ran is never reported as not run.
//!
//! A request without a token that a peer sends again on another connection replaces the earlier one: the peer has
//! lost that connection, which may not have been noticed here yet.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use linnethook::interface::Ms;
use xxhash_rust::xxh3::xxh3_64;

use crate::actions::{Action, ConnectionId, Departure, RemoteRequest, Reply, FIRST_REMOTE_TICKET};
use crate::attempt_ledger::{Admission, AttemptOutcome, Ticket, Token};
use crate::codec::{CachedReply, ForwardedRequest, Message, RejectReason, ResponseHead, ResumePoint};
use crate::config::GatewayConfig;
use crate::flow_control::Priority;
use crate::links::{Links, Peer, SiteConnection};

/// A stream that a peer opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct StreamId {
    pub connection: ConnectionId,
    pub stream: u32,
}

/// A request from another site that has no reply yet.
#[derive(Debug, Clone)]
struct ServedRequest {
    /// The stream for the reply; `None` once it has ended.
    reply_to: Option<StreamId>,
    /// Set once it is not certain any more that the sender waits.
    departure: Option<Departure>,
    /// The connection on which the sender has queried the outcome, after the stream has ended.
    awaited_on: Option<ConnectionId>,
    /// Until when the sender, whose connection was lost, may return, in milliseconds.
    lost_until: Option<u64>,
    peer: String,
    token: Option<Token>,
    /// Identifies its content, and its peer; `None` for a request with a token.
    content: Option<u64>,
    resume_from: Option<ResumePoint>,
    priority: Priority,
}

/// The rules for admitting requests from other sites.
#[derive(Debug, Clone, Copy)]
struct AdmissionRules {
    max_requests: usize,
    max_hops: usize,
    /// See [`PeerConfig::max_state_delay`](crate::config::PeerConfig::max_state_delay).
    max_state_delay: Ms,
}

/// All requests from other sites.
#[derive(Debug)]
pub(crate) struct RemoteRequests {
    rules: AdmissionRules,
    answer_write_timeout: Ms,
    /// How long a request whose connection was lost waits for its sender.
    max_sender_loss: Ms,
    local_site: String,
    last_number: Ticket,
    requests: BTreeMap<Ticket, ServedRequest>,
    by_stream: BTreeMap<StreamId, Ticket>,
    /// By the name of the peer and its token.
    by_token: BTreeMap<(String, Token), Ticket>,
    /// The latest request of each content.
    by_content: BTreeMap<u64, Ticket>,
    /// Streams whose answers are being written, with the deadline of each, in milliseconds.
    write_deadlines: BTreeSet<(u64, StreamId)>,
    /// Requests whose connection was lost, with the time until which their senders may return, in milliseconds.
    lost_senders: BTreeSet<(u64, Ticket)>,
}

fn priority_from_wire(number: u8) -> Priority {
    match number {
        0 => Priority::Booking,
        1 => Priority::FirstPart,
        _ => Priority::LaterPart,
    }
}

impl AdmissionRules {
    /// Whether the sender may know a drain that is not known here yet.
    fn is_state_too_old(&self, now: Ms, connection: &SiteConnection) -> bool {
        let received_until = connection.session.heartbeat.all_received_until();
        self.max_state_delay > 0.0 && received_until.is_none_or(|at| now - at > self.max_state_delay)
    }
}

impl RemoteRequests {
    pub fn new(config: &GatewayConfig, local_site: &str) -> Self {
        let rules = AdmissionRules {
            max_requests: config.forwarding.max_remote_requests,
            max_hops: config.routing.max_hops,
            max_state_delay: config.peers.max_state_delay,
        };
        Self {
            rules,
            answer_write_timeout: config.forwarding.answer_write_timeout,
            max_sender_loss: config.forwarding.max_wait,
            local_site: local_site.to_string(),
            last_number: 0,
            requests: BTreeMap::new(),
            by_stream: BTreeMap::new(),
            by_token: BTreeMap::new(),
            by_content: BTreeMap::new(),
            write_deadlines: BTreeSet::new(),
            lost_senders: BTreeSet::new(),
        }
    }

    /// See [`Gateway::departure_of`](crate::gateway::Gateway::departure_of).
    pub fn departure_of(&self, ticket: Ticket) -> Option<Departure> {
        self.requests.get(&ticket)?.departure
    }

    /// The number of requests without a reply.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// When [`Self::expire_writes`] or [`Self::expire_lost_senders`] is due.
    pub fn next_deadline(&self) -> Option<Ms> {
        let writes = self.write_deadlines.first().map(|(at, _)| *at as Ms);
        let lost_senders = self.lost_senders.first().map(|(at, _)| *at as Ms);
        writes.into_iter().chain(lost_senders).reduce(f64::min)
    }

    /// Handles a request from another site; `is_draining` means that this site accepts none.
    pub fn handle_request(
        &mut self,
        links: &mut Links,
        now: Ms,
        stream: StreamId,
        request: ForwardedRequest,
        is_draining: bool,
    ) {
        let Some(connection) = links.connections.get(&stream.connection) else { return };
        let Some(peer) = connection.peer.clone() else { return };
        let reason = self.reject_reason(links, now, connection, &request, is_draining);
        if let Some(reason) = reason {
            return reject_stream(links, stream, reason);
        }
        if let Some(token) = request.token {
            let Some(known) = links.peers.get_mut(&peer) else { return };
            match known.received_attempts.admit(token) {
                Admission::Run => {}
                Admission::AtCapacity => return reject_stream(links, stream, RejectReason::AtCapacity),
                Admission::Known(outcome) => return report_outcome(links, stream, token, outcome),
                Admission::Fenced => {
                    let outcome = known.received_attempts.query_outcome(now, token);
                    return report_outcome(links, stream, token, outcome);
                }
            }
        }
        self.serve(links, stream, peer, request);
    }

    fn reject_reason(
        &self,
        links: &Links,
        now: Ms,
        connection: &SiteConnection,
        request: &ForwardedRequest,
        is_draining: bool,
    ) -> Option<RejectReason> {
        let peer = connection.peer.as_ref().and_then(|name| links.peers.get(name));
        let passed = &request.passed_sites;
        // Routers of one site do not forward requests to each other.
        if peer.is_some_and(Peer::is_in_cluster) {
            Some(RejectReason::Unusable)
        } else if is_draining {
            Some(RejectReason::Draining)
        } else if self.rules.is_state_too_old(now, connection) {
            Some(RejectReason::StateTooOld)
        } else if passed.contains(&self.local_site) || passed.len() >= self.rules.max_hops {
            Some(RejectReason::HopLimit)
        } else if self.requests.len() >= self.rules.max_requests {
            Some(RejectReason::AtCapacity)
        } else {
            None
        }
    }

    fn serve(&mut self, links: &mut Links, stream: StreamId, peer: String, request: ForwardedRequest) {
        let content = request.token.is_none().then(|| content_id(&peer, &request));
        if let Some(content) = content {
            self.replace_earlier(links, stream, content);
        }
        self.last_number += 1;
        let ticket = FIRST_REMOTE_TICKET + self.last_number;
        let served = ServedRequest {
            reply_to: Some(stream),
            departure: None,
            awaited_on: None,
            lost_until: None,
            peer,
            token: request.token,
            content,
            resume_from: request.resume_from,
            priority: priority_from_wire(request.priority),
        };
        if let Some(token) = served.token {
            self.by_token.insert((served.peer.clone(), token), ticket);
        }
        self.requests.insert(ticket, served);
        self.by_stream.insert(stream, ticket);
        if let Some(content) = content {
            self.by_content.insert(content, ticket);
        }
        links.push(Action::ServeRemote(RemoteRequest {
            ticket,
            fields: request.fields,
            body: request.body,
            remaining: Ms::from(request.remaining_ms),
            passed_sites: request.passed_sites,
        }));
    }

    /// Cancels the request of the same content that is open on another connection.
    fn replace_earlier(&mut self, links: &mut Links, stream: StreamId, content: u64) {
        let Some(earlier) = self.by_content.get(&content) else { return };
        let reply_to = self.requests.get(earlier).and_then(|request| request.reply_to);
        if let Some(earlier) = reply_to.filter(|earlier| earlier.connection != stream.connection) {
            self.handle_cancellation(links, earlier);
            reject_stream(links, earlier, RejectReason::Unusable);
            links.request_write(earlier.connection);
        }
    }

    fn remove(&mut self, ticket: Ticket) -> Option<ServedRequest> {
        let request = self.requests.remove(&ticket)?;
        let content = request.content.filter(|content| self.by_content.get(content) == Some(&ticket));
        if let Some(content) = content {
            self.by_content.remove(&content);
        }
        if let Some(token) = request.token {
            self.by_token.remove(&(request.peer.clone(), token));
        }
        Some(request)
    }

    /// Completes a request with its only reply. A rejected request must not have run.
    pub fn complete(&mut self, links: &mut Links, now: Ms, ticket: Ticket, reply: Reply) {
        let Some(request) = self.remove(ticket) else { return };
        if let Some(stream) = request.reply_to {
            self.by_stream.remove(&stream);
        }
        if let Some(token) = request.token {
            record_reply(links, now, &request.peer, token, &reply);
        }
        let is_sent =
            request.reply_to.is_some_and(|stream| self.send_reply(links, now, stream, &request, reply));
        if is_sent {
            return;
        }
        // The stream has ended: the outcome is reported on another connection, or else the sender queries it.
        let Some(token) = request.token else { return };
        let Some(peer) = links.peers.get_mut(&request.peer) else { return };
        let Some(connection) = peer.connections.last().copied() else { return };
        let outcome = peer.received_attempts.query_outcome(now, token);
        links.send(connection, &Message::OutcomeReport(token, outcome));
        links.request_write(connection);
    }

    /// Sends a reply on its stream. Returns false if the stream has ended.
    fn send_reply(
        &mut self,
        links: &mut Links,
        now: Ms,
        to: StreamId,
        request: &ServedRequest,
        reply: Reply,
    ) -> bool {
        let Some(connection) = links.connections.get_mut(&to.connection) else { return false };
        let session = &mut connection.session;
        match reply {
            Reply::Rejected { retry_after } => {
                links.counts.remote_rejected += 1;
                session.reject_stream(to.stream, RejectReason::Refused, retry_after);
            }
            Reply::Failed => {
                let head = ResponseHead::failed();
                if !session.send_response(to.stream, request.priority, head, Bytes::new()) {
                    return false;
                }
            }
            Reply::Served { fields, body, version } => {
                links.counts.remote_served += 1;
                let body_length = body.len() as u64;
                // Only the rest of the body is sent if it belongs to the version that the sender has.
                let resume_from = request.resume_from.as_ref().filter(|from| {
                    version.as_ref() == Some(&from.version)
                        && from.offset <= body_length
                        && from.version.length == body_length
                });
                let offset = resume_from.map_or(0, |from| from.offset);
                let head = ResponseHead { served: true, fields, body_length, offset, version };
                if !session.send_response(to.stream, request.priority, head, body.slice(offset as usize..)) {
                    return false;
                }
            }
        }
        self.write_deadlines.insert(((now + self.answer_write_timeout) as u64, to));
        links.request_write(to.connection);
        true
    }

    /// Handles a cancellation by the sender: nobody waits for the request any more. The outcome of one with a token
    /// is still retained.
    pub fn handle_cancellation(&mut self, links: &mut Links, stream: StreamId) {
        let Some(ticket) = self.by_stream.remove(&stream) else { return };
        match self.requests.get(&ticket) {
            Some(request) if request.token.is_none() => _ = self.remove(ticket),
            Some(_) => self.detach(ticket, Some(Departure::Cancelled), None),
            None => return,
        }
        links.push(Action::CancelServe(ticket));
    }

    /// Handles a cancellation by the sender on another connection than that of the request. The token does not run
    /// if its request arrives later.
    pub fn handle_cancelled_token(
        &mut self,
        links: &mut Links,
        now: Ms,
        connection: ConnectionId,
        token: Token,
    ) {
        match self.ticket_of(links, connection, token) {
            Some(ticket) => {
                self.detach(ticket, Some(Departure::Cancelled), None);
                links.push(Action::CancelServe(ticket));
            }
            None => {
                let peer = links.peer_of_mut(connection);
                peer.map(|peer| peer.received_attempts.query_outcome(now, token));
            }
        }
    }

    /// Reports the outcome of a token to its sender, which has lost the connection of the request, and waits for the
    /// outcome on this one.
    pub fn handle_query(&mut self, links: &mut Links, now: Ms, connection: ConnectionId, token: Token) {
        if let Some(ticket) = self.ticket_of(links, connection, token) {
            self.detach(ticket, None, Some(connection));
        }
        let Some(peer) = links.peer_of_mut(connection) else { return };
        let outcome = peer.received_attempts.query_outcome(now, token);
        links.send(connection, &Message::OutcomeReport(token, outcome));
    }

    /// The open request with a token of the peer of a connection.
    fn ticket_of(&self, links: &Links, connection: ConnectionId, token: Token) -> Option<Ticket> {
        let peer = links.connections.get(&connection)?.peer.clone()?;
        self.by_token.get(&(peer, token)).copied()
    }

    /// Detaches a request from the stream that it came on. `awaited_on` is the connection on which its sender waits
    /// for the outcome now.
    fn detach(&mut self, ticket: Ticket, departure: Option<Departure>, awaited_on: Option<ConnectionId>) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        if let Some(stream) = request.reply_to.take() {
            self.by_stream.remove(&stream);
        }
        request.departure = departure;
        request.awaited_on = awaited_on;
        request.lost_until = None;
    }

    /// Handles the loss of the connection on which the sender of a request waits. For one with a token, no attempt is
    /// begun until the sender queries its outcome, since it may not wait any more.
    fn handle_lost_sender(&mut self, links: &mut Links, now: Ms, ticket: Ticket) {
        let Some(request) = self.requests.get(&ticket) else { return };
        if request.token.is_none() {
            self.remove(ticket);
            return links.push(Action::CancelServe(ticket));
        }
        self.detach(ticket, Some(Departure::ConnectionLost), None);
        let until = (now + self.max_sender_loss) as u64;
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.lost_until = Some(until);
        }
        self.lost_senders.insert((until, ticket));
        links.push(Action::SuspendServe(ticket));
    }

    /// Stops trying for requests whose senders were lost for too long.
    pub fn expire_lost_senders(&mut self, links: &mut Links, now: Ms) {
        while let Some((at, ticket)) = self.lost_senders.first().copied() {
            if at as Ms > now {
                break;
            }
            self.lost_senders.pop_first();
            // The sender may have returned, and been lost again.
            if self.requests.get(&ticket).is_some_and(|request| request.lost_until == Some(at)) {
                links.push(Action::StopRetries(ticket));
            }
        }
    }

    /// Handles the loss of a connection with all its streams.
    pub fn handle_lost_connection(&mut self, links: &mut Links, now: Ms, connection: ConnectionId) {
        let all = StreamId { connection, stream: 0 }..=StreamId { connection, stream: u32::MAX };
        let on_stream = self.by_stream.range(all).map(|(_, ticket)| *ticket);
        let queried = self.requests.iter().filter(|(_, request)| request.awaited_on == Some(connection));
        let lost: Vec<Ticket> = on_stream.chain(queried.map(|(ticket, _)| *ticket)).collect();
        for ticket in lost {
            self.handle_lost_sender(links, now, ticket);
        }
        self.by_stream.retain(|stream, _| stream.connection != connection);
        self.write_deadlines.retain(|(_, stream)| stream.connection != connection);
    }

    /// Drops answers that the sender of the request has not read in time.
    pub fn expire_writes(&mut self, links: &mut Links, now: Ms) {
        while let Some((at, stream)) = self.write_deadlines.first().copied() {
            if at as Ms > now {
                break;
            }
            self.write_deadlines.pop_first();
            if let Some(session) = links.session_mut(stream.connection) {
                session.drop_stream(stream.stream);
            }
        }
    }
}

/// Identifies the content of a request from a peer.
fn content_id(peer: &str, request: &ForwardedRequest) -> u64 {
    // Postcard can encode every request.
    let content = postcard::to_stdvec(&(peer, &request.fields, &request.body)).unwrap_or_default();
    xxh3_64(&content)
}

fn reject_stream(links: &mut Links, stream: StreamId, reason: RejectReason) {
    links.counts.remote_rejected += 1;
    links.counts.remote_rejected_for_old_state += u64::from(reason == RejectReason::StateTooOld);
    if let Some(session) = links.session_mut(stream.connection) {
        session.reject_stream(stream.stream, reason, 0.0);
    }
}

/// Reports the outcome of a token that may not run, in place of a response.
fn report_outcome(links: &mut Links, stream: StreamId, token: Token, outcome: AttemptOutcome) {
    links.counts.remote_rejected += 1;
    if let Some(session) = links.session_mut(stream.connection) {
        session.drop_stream(stream.stream);
        session.send(&Message::OutcomeReport(token, outcome));
    }
}

fn record_reply(links: &mut Links, now: Ms, peer: &str, token: Token, reply: &Reply) {
    let Some(peer) = links.peers.get_mut(peer) else { return };
    let cached = match reply {
        Reply::Rejected { .. } => return peer.received_attempts.record_rejection(now, token),
        Reply::Served { fields, body, .. } => {
            CachedReply { served: true, fields: fields.clone(), body: body.clone() }
        }
        Reply::Failed => CachedReply { served: false, fields: Vec::new(), body: Bytes::new() },
    };
    // Postcard can encode every reply.
    peer.received_attempts.record_answer(now, token, postcard::to_stdvec(&cached).unwrap_or_default());
}
