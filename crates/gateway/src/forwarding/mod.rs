//! Requests that are forwarded to other sites, from the choice of the site to the final reply.
//!
//! - this file: the choice of a site, and attempts;
//! - `pending`: the requests that have no reply yet;
//! - `responses`: the handling of responses;
//! - `recovery`: retries, lost connections and timeouts;
//! - `waiting`: interrupted requests that wait;
//! - `departure`: requests that nobody waits for any more;
//! - `owed_cancellations`: cancellations that may not have arrived.
//!
//! A request never has two open attempts, unless it allows that: a further one is sent only after the previous
//! one has ended at the other site. A request that is not idempotent is sent again only after its previous
//! attempt is proven not to have run.

mod config;
mod departure;
mod owed_cancellations;
mod pending;
mod recovery;
mod responses;
mod waiting;

use std::collections::BTreeMap;

use bytes::Bytes;
use linnethook::interface::Ms;

use crate::actions::{Action, ConnectionId, Reply};
use crate::attempt_ledger::{SentAttempts, Ticket, Token};
use crate::codec::{Fields, ForwardedRequest, ResumePoint};
use crate::concurrency_window::ConcurrencyWindow;
use crate::flow_control::Priority;
use crate::links::Links;
use crate::local_capacity::{LocalCapacity, RequestKind};
use crate::routing::{Route, RouteQuery, RouteRejection, RoutingTable, SiteId};
use crate::site_names::{SiteNames, LOCAL_SITE};

use owed_cancellations::OwedCancellations;
use pending::{ForwardState, PendingRequest, PendingRequests};

pub use config::ForwardingConfig;
pub(crate) use pending::UnconfirmedEnd;
pub(crate) use recovery::LostConnection;
pub(crate) use responses::Rejection;

/// A request for which a site has to be chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct ForwardRequest {
    /// The hash of the object.
    pub object: u64,
    /// Whether it is a write, which runs at the origin.
    pub write: bool,
    /// Whether it must not be executed twice.
    pub not_idempotent: bool,
    /// Whether it may have two attempts at the same time.
    pub parallel_attempts: bool,
    /// The site that its class is bound to; `None` for the local site.
    pub home_site: Option<SiteId>,
    /// Its priority on a link.
    pub priority: Priority,
    /// The latency objective, in milliseconds.
    pub latency_objective: Ms,
    /// The time by which it must have its reply.
    pub deadline: Ms,
    /// The names of the sites that it has passed.
    pub passed_sites: Vec<String>,
    /// Names and values, as sent by the client.
    pub fields: Fields,
    /// The body of the request.
    pub body: Bytes,
}

impl ForwardRequest {
    /// What it requires of the site that serves it.
    pub fn kind(&self) -> RequestKind {
        if self.write {
            RequestKind::Write
        } else {
            RequestKind::Read
        }
    }

    fn is_bound_to_local_site(&self) -> bool {
        self.home_site.is_none_or(|home| home == LOCAL_SITE)
    }
}

/// Chooses the site of each request and owns the requests that were forwarded.
#[derive(Debug)]
pub(crate) struct Forwarder {
    config: ForwardingConfig,
    sites: SiteNames,
    pub routing: RoutingTable,
    pub local_capacity: LocalCapacity,
    windows: BTreeMap<SiteId, ConcurrencyWindow>,
    sent_attempts: SentAttempts,
    owed_cancellations: OwedCancellations,
    pending: PendingRequests,
}

impl Forwarder {
    /// Creates a forwarder. Each other site starts with a copy of `window`; `sent_attempts` is the empty
    /// ledger of this process.
    pub fn new(
        config: ForwardingConfig,
        sites: SiteNames,
        routing: RoutingTable,
        local_capacity: LocalCapacity,
        window: &ConcurrencyWindow,
        sent_attempts: SentAttempts,
    ) -> Self {
        Self {
            config,
            routing,
            local_capacity,
            windows: sites.others().map(|site| (site, window.clone())).collect(),
            sent_attempts,
            owed_cancellations: OwedCancellations::new(config.max_attempts),
            pending: PendingRequests::default(),
            sites,
        }
    }

    pub fn window(&self, site: SiteId) -> Option<&ConcurrencyWindow> {
        self.windows.get(&site)
    }

    /// Resets the window of a site after the last connection to one of its gateways went down.
    pub fn reset_window(&mut self, site: SiteId) {
        if let Some(window) = self.windows.get_mut(&site) {
            window.reset();
        }
    }

    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    pub fn uncertain_count(&self) -> usize {
        self.sent_attempts.uncertain_count()
    }

    /// Records that the last byte of a request with a token was written.
    pub fn mark_written(&mut self, token: Token) {
        self.sent_attempts.mark_written(token);
    }

    /// When [`Self::expire_requests`] is due.
    pub fn next_deadline(&self) -> Option<Ms> {
        let deadlines = self.pending.next_deadline().into_iter().chain(self.sent_attempts.next_deadline());
        deadlines.reduce(f64::min)
    }

    /// Whether the local site is unavailable for such requests, so that one that was rejected here may be
    /// forwarded.
    pub fn is_locally_unavailable(&self, kind: RequestKind) -> bool {
        let view = self.local_capacity.view();
        match kind {
            RequestKind::Read => !view.has_caches,
            RequestKind::Write => !view.has_origin,
        }
    }

    /// Serves a request of a client or from another site here, forwards it, or rejects it at once.
    pub fn submit_request(&mut self, links: &mut Links, now: Ms, ticket: Ticket, spec: ForwardRequest) {
        let route = self.first_route(links, now, &spec);
        match route {
            Route::Local => serve_locally(links, ticket),
            Route::Remote(site) => {
                let request = PendingRequest::new(now, spec, Vec::new(), self.config.max_retries);
                self.send_attempt(links, now, ticket, site, request);
            }
            Route::Rejected(_) => {
                links.counts.without_site += 1;
                links.counts.rejected += 1;
                let retry_after = self.config.retry_after;
                links.push(Action::Answer(ticket, Reply::Rejected { retry_after }));
            }
        }
    }

    /// Tries to forward a request that the local site, which the caller knows to be unavailable, has rejected
    /// without running it. Returns whether it is forwarded. If not, the caller has to answer with the
    /// rejection; a retry of the chosen site's budget may have been used nevertheless.
    pub fn forward_rejected_request(
        &mut self,
        links: &mut Links,
        now: Ms,
        ticket: Ticket,
        spec: ForwardRequest,
    ) -> bool {
        if now + self.config.min_retry_time > spec.deadline {
            return false;
        }
        let tried_sites = vec![LOCAL_SITE];
        match self.choose_route(now, &spec, &tried_sites, true, None) {
            Route::Remote(site) if self.may_send(links, site, spec.priority) => {
                let request = PendingRequest::new(now, spec, tried_sites, self.config.max_retries);
                self.send_attempt(links, now, ticket, site, request);
                true
            }
            _ => false,
        }
    }

    /// Chooses the route of a request without an earlier attempt.
    fn first_route(&mut self, links: &Links, now: Ms, spec: &ForwardRequest) -> Route {
        let route = match self.choose_route(now, spec, &[], false, None) {
            Route::Remote(site) if !self.may_send(links, site, spec.priority) => {
                let may_serve =
                    !self.local_capacity.is_drained() && !self.is_locally_unavailable(spec.kind());
                if may_serve {
                    Route::Local
                } else {
                    Route::Rejected(RouteRejection::NoCapacity)
                }
            }
            route => route,
        };
        // A read that can't be forwarded either is passed to the local site: its caches may have the object,
        // and otherwise it is rejected there.
        let is_local_read = spec.passed_sites.is_empty() && spec.is_bound_to_local_site() && !spec.write;
        match route {
            Route::Rejected(_) if is_local_read && self.local_capacity.may_have_cached() => Route::Local,
            route => route,
        }
    }

    fn choose_route(
        &mut self,
        now: Ms,
        spec: &ForwardRequest,
        tried_sites: &[SiteId],
        is_retry: bool,
        admitted_site: Option<SiteId>,
    ) -> Route {
        if spec.is_bound_to_local_site()
            && !tried_sites.contains(&LOCAL_SITE)
            && self.local_capacity.take_probe(now, spec.kind())
        {
            return Route::Local;
        }
        let query = RouteQuery {
            object: spec.object,
            write: spec.write,
            home_site: spec.home_site,
            passed_sites: self.sites.ids(&spec.passed_sites),
            tried_sites: tried_sites.to_vec(),
            is_retry,
            admitted_site,
        };
        self.routing.route(now, &query)
    }

    /// Whether one more request may be sent to a site now.
    fn may_send(&self, links: &Links, site: SiteId, priority: Priority) -> bool {
        self.windows.get(&site).is_some_and(|window| window.may_send(priority))
            && self.pending.buffered_bytes() < self.config.max_buffered_bytes
            && self.sent_attempts.len() < self.config.max_attempts
            && links.connection_to(site).is_some()
    }

    /// Sends an attempt. The caller has checked [`Self::may_send`], and no other attempt of the request is
    /// open.
    fn send_attempt(
        &mut self,
        links: &mut Links,
        now: Ms,
        ticket: Ticket,
        site: SiteId,
        request: PendingRequest,
    ) {
        match links.connection_to(site) {
            Some(connection) => self.send_attempt_on(links, now, ticket, (connection, site), request),
            None => self.reject_request(links, ticket, &request),
        }
    }

    /// Sends an attempt on a connection to a site, under the same conditions.
    fn send_attempt_on(
        &mut self,
        links: &mut Links,
        now: Ms,
        ticket: Ticket,
        (connection, site): (ConnectionId, SiteId),
        mut request: PendingRequest,
    ) {
        let deadline = request.spec.deadline;
        if request.spec.not_idempotent {
            let start = links.start_of_peer(connection);
            let token = start.and_then(|start| self.sent_attempts.begin(ticket, start, connection, deadline));
            if token.is_none() {
                return self.reject_request(links, ticket, &request);
            }
            request.token = token;
        }
        let message = self.attempt_message(now, &request);
        links.counts.resumed_bodies += u64::from(message.resume_from.is_some());
        if let Some(session) = links.session_mut(connection) {
            session.send_request(ticket, message);
        }
        links.counts.attempts_sent += 1;
        if let Some(window) = self.windows.get_mut(&site) {
            window.start_request();
        }
        request.state = ForwardState::InFlight(connection, site);
        request.last_site = Some(site);
        request.has_response = false;
        request.unconfirmed_end = None;
        self.pending.insert(ticket, request);
        links.request_write(connection);
    }

    /// The message of an attempt. If a part of the body was received, only the rest is requested.
    fn attempt_message(&self, now: Ms, request: &PendingRequest) -> ForwardedRequest {
        let version = request.transfer.version().filter(|_| !request.body.is_empty());
        let resume_from = version
            .map(|version| ResumePoint { offset: request.body.len() as u64, version: version.clone() });
        let spec = &request.spec;
        let mut passed_sites = spec.passed_sites.clone();
        passed_sites.push(self.sites.local().to_string());
        ForwardedRequest {
            token: request.token,
            remaining_ms: (spec.deadline - now).clamp(1.0, f64::from(u32::MAX)) as u32,
            priority: spec.priority as u8,
            passed_sites,
            resume_from,
            fields: spec.fields.clone(),
            body: spec.body.clone(),
        }
    }

    /// Answers a request that has not run with a rejection.
    fn reject_request(&self, links: &mut Links, ticket: Ticket, request: &PendingRequest) {
        links.counts.rejected += 1;
        let retry_after = request.retry_after.max(self.config.retry_after);
        links.push(Action::Answer(ticket, Reply::Rejected { retry_after }));
    }

    /// Records the end of an attempt. `failed` is `None` if it has no bearing on the path to the site.
    fn record_outcome(&mut self, now: Ms, request: &PendingRequest, failed: Option<bool>) {
        let site = match request.state {
            ForwardState::InFlight(_, site) | ForwardState::Uncertain(site) => site,
            ForwardState::Waiting(_) => return,
        };
        let is_late =
            failed.map(|failed| failed || now - request.started_at > request.spec.latency_objective);
        if let Some(window) = self.windows.get_mut(&site) {
            let length = (failed == Some(false)).then_some(request.body.len() as f64);
            window.finish_request(now, is_late, length);
        }
        if let Some(failed) = failed {
            self.routing.record_outcome(site, failed);
        }
    }
}

fn serve_locally(links: &mut Links, ticket: Ticket) {
    links.counts.served_locally += 1;
    links.push(Action::ServeLocally(ticket));
}

fn answer_request(links: &mut Links, ticket: Ticket, reply: Reply) {
    match reply {
        Reply::Served { .. } => links.counts.answered += 1,
        Reply::Rejected { .. } => links.counts.rejected += 1,
        Reply::Failed => links.counts.failed += 1,
    }
    links.push(Action::Answer(ticket, reply));
}
