//! Requests from other sites that are served here.
//!
//! Each request is passed to the caller once and gets one reply. The reply is sent on the request's stream
//! or, if that has ended, retained with the request's token until the sender queries it. A token never runs
//! twice, and a token that ran is never reported as not run.
//!
//! A request without a token that a peer sends again on another connection replaces the earlier one: the peer has
//! lost that connection, which may not have been noticed here yet.
//!
//! - this file: admission;
//! - [`replies`]: the one reply of each request;
//! - [`senders`]: senders that leave while their requests are served.

mod replies;
mod senders;

use std::collections::{BTreeMap, BTreeSet};

use linnethook::interface::Ms;
use xxhash_rust::xxh3::xxh3_64;

use crate::actions::{Action, ConnectionId, Departure, RemoteRequest, FIRST_REMOTE_TICKET};
use crate::attempt_ledger::{Admission, AttemptOutcome, Ticket, Token};
use crate::codec::{ForwardedRequest, Message, RejectReason, ResumePoint};
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
        self.serve(links, now, stream, peer, request);
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

    fn serve(
        &mut self,
        links: &mut Links,
        now: Ms,
        stream: StreamId,
        peer: String,
        request: ForwardedRequest,
    ) {
        let content = request.token.is_none().then(|| content_id(&peer, &request));
        if let Some(content) = content {
            self.replace_earlier(links, now, stream, content);
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
    fn replace_earlier(&mut self, links: &mut Links, now: Ms, stream: StreamId, content: u64) {
        let Some(earlier) = self.by_content.get(&content) else { return };
        let reply_to = self.requests.get(earlier).and_then(|request| request.reply_to);
        if let Some(earlier) = reply_to.filter(|earlier| earlier.connection != stream.connection) {
            self.handle_cancellation(links, now, earlier);
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
