//! The requests that were forwarded and have no reply yet.

use std::collections::{BTreeMap, BTreeSet};

use bytes::BytesMut;
use linnethook::interface::Ms;

use super::ForwardRequest;
use crate::actions::ConnectionId;
use crate::attempt_ledger::{Ticket, Token};
use crate::codec::Fields;
use crate::routing::SiteId;
use crate::transfer::Transfer;

/// The state of a forwarded request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum ForwardState {
    /// An attempt is open on this connection, at this site.
    InFlight(ConnectionId, SiteId),
    /// The connection to this site was lost, and the outcome of the token is unknown.
    Uncertain(SiteId),
    /// It was interrupted and waits for a connection until this time; then it is rejected.
    Waiting(Ms),
}

/// The end of an attempt at another gateway that is not confirmed: the network has lost its connection before
/// the response began.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct UnconfirmedEnd {
    /// The name of the gateway.
    pub peer: String,
    /// The start time of its process, in Unix microseconds.
    pub epoch: u64,
    /// By then the gateway has noticed the loss, and has cancelled the attempt.
    pub latest: Ms,
}

#[derive(Debug)]
pub(super) struct PendingRequest {
    pub spec: ForwardRequest,
    pub started_at: Ms,
    pub state: ForwardState,
    pub token: Option<Token>,
    pub transfer: Transfer,
    /// Whether the response of the current attempt has begun: the attempt has ended at the other site.
    pub has_response: bool,
    /// Set while the last attempt may still run at another site.
    pub unconfirmed_end: Option<UnconfirmedEnd>,
    /// Whether the response names the version of the object.
    pub has_version: bool,
    /// Whether the response head announces that the request was served.
    pub served: bool,
    pub fields: Fields,
    /// The received part of the body.
    pub body: BytesMut,
    pub tried_sites: Vec<SiteId>,
    /// Whether another attempt is begun if the current one did not run.
    pub is_retried: bool,
    /// The site of the last attempt.
    pub last_site: Option<SiteId>,
    /// The retry delay requested by the last site that rejected the request, in milliseconds.
    pub retry_after: Ms,
}

impl PendingRequest {
    pub fn new(now: Ms, spec: ForwardRequest, tried_sites: Vec<SiteId>, max_retries: u32) -> Self {
        Self {
            started_at: now,
            state: ForwardState::Waiting(now),
            token: None,
            transfer: Transfer::new(spec.deadline, max_retries),
            has_response: false,
            unconfirmed_end: None,
            has_version: false,
            served: false,
            fields: Vec::new(),
            body: BytesMut::new(),
            tried_sites,
            is_retried: true,
            last_site: None,
            retry_after: 0.0,
            spec,
        }
    }

    /// Discards the received part of the body, for example because its version is unknown.
    pub fn discard_body(&mut self) {
        self.body.clear();
        self.transfer.discard();
    }

    /// Excludes the site of the current attempt from further attempts.
    pub fn exclude_current_site(&mut self) {
        if let ForwardState::InFlight(_, site) = self.state {
            self.tried_sites.push(site);
        }
    }
}

/// All forwarded requests without a reply.
#[derive(Debug, Default)]
pub(super) struct PendingRequests {
    requests: BTreeMap<Ticket, PendingRequest>,
    /// The deadlines of requests without a token, in microseconds.
    deadlines: BTreeSet<(u64, Ticket)>,
    waiting: BTreeSet<Ticket>,
    /// The number of buffered bytes of response bodies.
    buffered_bytes: usize,
}

fn to_micros(at: Ms) -> u64 {
    (at.max(0.0) * 1_000.0) as u64
}

impl PendingRequests {
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// The number of buffered bytes of response bodies.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    pub fn get(&self, ticket: Ticket) -> Option<&PendingRequest> {
        self.requests.get(&ticket)
    }

    /// Callers must not change the body, as its length is counted: use [`Self::append_body`] and
    /// [`Self::truncate_body`].
    pub fn get_mut(&mut self, ticket: Ticket) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&ticket)
    }

    /// Adds a request. Only the deadlines of requests without a token are tracked here; the attempt ledger
    /// tracks the others.
    pub fn insert(&mut self, ticket: Ticket, request: PendingRequest) {
        if request.token.is_none() {
            self.deadlines.insert((to_micros(request.spec.deadline), ticket));
        }
        if matches!(request.state, ForwardState::Waiting(_)) {
            self.waiting.insert(ticket);
        }
        self.buffered_bytes += request.body.len();
        self.requests.insert(ticket, request);
    }

    pub fn remove(&mut self, ticket: Ticket) -> Option<PendingRequest> {
        let request = self.requests.remove(&ticket)?;
        self.deadlines.remove(&(to_micros(request.spec.deadline), ticket));
        self.waiting.remove(&ticket);
        self.buffered_bytes -= request.body.len();
        Some(request)
    }

    /// Adds bytes to the body of a request.
    pub fn append_body(&mut self, ticket: Ticket, bytes: &[u8]) {
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.body.extend_from_slice(bytes);
            self.buffered_bytes += bytes.len();
        }
    }

    /// Truncates the body of a request and returns the number of dropped bytes.
    pub fn truncate_body(&mut self, ticket: Ticket, length: usize) -> usize {
        let Some(request) = self.requests.get_mut(&ticket) else { return 0 };
        let dropped = request.body.len().saturating_sub(length);
        request.body.truncate(length);
        self.buffered_bytes -= dropped;
        dropped
    }

    /// Requests with a token that are in flight on a connection.
    pub fn with_token_on(&self, connection: ConnectionId) -> impl Iterator<Item = Ticket> + '_ {
        let is_on_connection = move |request: &PendingRequest| {
            request.token.is_some()
                && matches!(request.state, ForwardState::InFlight(known, _) if known == connection)
        };
        self.requests.iter().filter(move |(_, request)| is_on_connection(request)).map(|(ticket, _)| *ticket)
    }

    /// Requests that wait for a connection.
    pub fn waiting(&self) -> &BTreeSet<Ticket> {
        &self.waiting
    }

    /// The requests whose time to wait for a connection has passed.
    pub fn expired_waiting(&self, now: Ms) -> Vec<Ticket> {
        let is_expired = |ticket: &&Ticket| {
            let request = self.requests.get(ticket);
            request.is_none_or(|r| matches!(r.state, ForwardState::Waiting(until) if now >= until))
        };
        self.waiting.iter().filter(is_expired).copied().collect()
    }

    /// Removes a request without a token whose deadline has passed.
    pub fn pop_expired(&mut self, now: Ms) -> Option<(Ticket, PendingRequest)> {
        while let Some((at, ticket)) = self.deadlines.first().copied() {
            if at > to_micros(now) {
                return None;
            }
            self.deadlines.remove(&(at, ticket));
            if let Some(request) = self.remove(ticket) {
                return Some((ticket, request));
            }
        }
        None
    }

    /// When the next request is due.
    pub fn next_deadline(&self) -> Option<Ms> {
        let due = self.deadlines.first().map(|(at, _)| *at as Ms / 1_000.0);
        let waiting = self.waiting.iter().filter_map(|ticket| match self.requests.get(ticket)?.state {
            ForwardState::Waiting(until) => Some(until),
            ForwardState::InFlight(..) | ForwardState::Uncertain(_) => None,
        });
        waiting.chain(due).reduce(f64::min)
    }
}
