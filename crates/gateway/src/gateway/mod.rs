//! A gateway: the only module that knows both the requests it forwards and those it serves for other sites.
//!
//! Bytes, times and requests come in by calls; what is to be done comes out as [`Action`]s, in their order. A gateway
//! chooses sites and never servers: what is to be served at its site is handed to whoever decides that.
//!
//! - this file: requests, output and timers;
//! - `connections`: connections that come up and go down, and what is received on them;
//! - `state`: what this site publishes and what others have published;
//! - `cluster`: routers of the own site;
//! - `report`: the gateway as commands show it.

mod cluster;
mod connections;
mod report;
mod state;

use std::collections::BTreeSet;

use bytes::BytesMut;
use linnethook::interface::Ms;

use crate::attempt_ledger::{SentAttempts, Ticket};
use crate::codec::Message;
use crate::concurrency_window::ConcurrencyWindow;
use crate::dialers::Dialers;
use crate::forwarding::{ForwardRequest, Forwarder};
use crate::links::Links;
use crate::local_capacity::{LocalCapacity, RequestKind};
use crate::reconnect::ReconnectBackoff;
use crate::remote_requests::RemoteRequests;
use crate::routing::{RoutingTable, SiteId};
use crate::site_names::{SiteNames, OWN_SITE};
use crate::site_state::PublishedState;

pub use self::cluster::PeerEntry;
pub use crate::actions::{Action, ConnectionId, RemoteRequest, Reply, FIRST_REMOTE_TICKET};
pub use crate::config::{GatewayConfig, GatewaySetup, PeerConfig};
pub use crate::status::{
    ConnectionView, GatewayCounts, GatewayStatusView, PeerGatewayView, RemoteSiteView, RouteView, SiteShare,
};

/// How often the views of other sites are refreshed, in milliseconds.
const VIEW_REFRESH_INTERVAL: Ms = 50.0;

/// [`Gateway::next_deadline`] is at most so far in the future, in milliseconds.
const MAX_TIMER_INTERVAL: Ms = 1_000.0;

/// One gateway.
#[derive(Debug)]
pub struct Gateway {
    config: GatewayConfig,
    sites: SiteNames,
    node: String,
    epoch: u64,
    dialers: Dialers,
    links: Links,
    forwarder: Forwarder,
    remote_requests: RemoteRequests,
    published: PublishedState,
    /// What routers of the own site are sent; `None` where they form no cluster.
    peer_entries: Option<PublishedState>,
    /// Other sites that the operators of this one have drained.
    drained_sites: BTreeSet<SiteId>,
    is_stopping: bool,
    views_refreshed_at: Ms,
}

impl Gateway {
    /// A gateway that has just started; its first actions dial.
    pub fn new(now: Ms, setup: GatewaySetup) -> Self {
        let GatewaySetup { config, epoch, .. } = setup;
        let backoff = ReconnectBackoff::new(config.reconnect, config.session.heartbeat);
        let sites = SiteNames::new(setup.site, setup.other_sites);
        Self {
            dialers: Dialers::new(now, setup.dial_sites, &backoff, setup.seed),
            links: Links::default(),
            forwarder: Forwarder::new(
                config.forwarding,
                sites.clone(),
                RoutingTable::new(OWN_SITE, config.routing),
                LocalCapacity::new(config.local_capacity),
                &ConcurrencyWindow::new(config.concurrency_window),
                SentAttempts::new(epoch, config.forwarding.max_attempts),
            ),
            remote_requests: RemoteRequests::new(&config, sites.own()),
            published: PublishedState::new(epoch, config.peers.max_facts),
            peer_entries: setup.accepts_cluster_peers.then(|| PublishedState::new(epoch, usize::MAX)),
            drained_sites: BTreeSet::new(),
            is_stopping: false,
            views_refreshed_at: now,
            node: setup.node,
            sites,
            epoch,
            config,
        }
    }

    /// What is to be done next.
    pub fn next_action(&mut self) -> Option<Action> {
        self.links.actions.pop_front()
    }

    /// The number of a site that the setup names.
    pub fn site_id(&self, name: &str) -> Option<SiteId> {
        self.sites.id(name)
    }

    /// The name of a site; `?` if the setup does not name it.
    pub fn site_name(&self, site: SiteId) -> &str {
        self.sites.name(site).unwrap_or("?")
    }

    /// Whether requests can go to other sites at all.
    pub fn forwards_requests(&self) -> bool {
        self.sites.others().next().is_some()
    }

    // ---- Requests.

    /// A request of a client, or one from another site: what becomes of it follows as an action.
    pub fn submit_request(&mut self, now: Ms, ticket: Ticket, request: ForwardRequest) {
        self.forwarder.submit_request(&mut self.links, now, ticket, request);
    }

    /// The own site, which the caller knows to be unable, has rejected a request, so that it never ran: whether it is
    /// forwarded instead. If not, the rejection stands; a retry of the site's budget may have been used.
    pub fn forward_rejected_request(&mut self, now: Ms, ticket: Ticket, request: ForwardRequest) -> bool {
        self.forwarder.forward_rejected_request(&mut self.links, now, ticket, request)
    }

    /// Nobody waits for the reply to a request any more.
    pub fn cancel_request(&mut self, now: Ms, ticket: Ticket) {
        self.forwarder.cancel_request(&mut self.links, now, ticket);
    }

    /// The one reply to a request from another site. One that was rejected has never run.
    pub fn complete_remote_request(&mut self, now: Ms, ticket: Ticket, reply: Reply) {
        self.remote_requests.complete(&mut self.links, now, ticket, reply);
    }

    /// How a request of a client of this site ended that was served here.
    pub fn record_local_outcome(&mut self, now: Ms, kind: RequestKind, failed: bool) {
        self.forwarder.local_capacity.record_outcome(now, kind, failed);
        self.publish_load(now);
    }

    /// Whether this site is too unable for such requests: then one that was rejected here may be forwarded.
    pub fn is_locally_unable(&self, kind: RequestKind) -> bool {
        self.forwarder.is_locally_unable(kind)
    }

    // ---- Output.

    /// Appends what is to be written on a connection next, about `max_bytes`.
    pub fn take_output(&mut self, connection: ConnectionId, max_bytes: usize, into: &mut BytesMut) {
        if let Some(session) = self.links.session_mut(connection) {
            session.take_output(max_bytes, into);
        }
    }

    /// The system has accepted so many bytes of the output that was taken for a connection.
    pub fn mark_written(&mut self, connection: ConnectionId, bytes: usize) {
        let Some(session) = self.links.session_mut(connection) else { return };
        for token in session.mark_written(bytes) {
            self.forwarder.mark_written(token);
        }
    }

    // ---- Time.

    /// Does what is due.
    pub fn on_timer(&mut self, now: Ms) {
        self.run_session_timers(now);
        if !self.is_stopping {
            for entry in self.dialers.take_due(now) {
                self.links.push(Action::Dial(entry));
            }
        }
        if now - self.views_refreshed_at >= VIEW_REFRESH_INTERVAL {
            self.refresh_site_views(now);
            self.expire_state(now);
            self.forwarder.resume_waiting(&mut self.links, now);
        }
        self.forwarder.expire_requests(&mut self.links, now);
        self.remote_requests.expire_writes(&mut self.links, now);
    }

    fn run_session_timers(&mut self, now: Ms) {
        let connections: Vec<ConnectionId> = self.links.connections.keys().copied().collect();
        for connection in connections {
            let Some(session) = self.links.session_mut(connection) else { continue };
            if session.next_deadline(now) > now {
                continue;
            }
            match session.on_timer(now) {
                Ok(()) => self.links.request_write(connection),
                Err(reason) => self.close_connection(now, connection, reason),
            }
        }
    }

    fn expire_state(&mut self, now: Ms) {
        let before = now - self.config.peers.purge_retention;
        self.published.expire(before);
        for peer in self.links.peers.values_mut() {
            peer.received_attempts.expire(now);
            peer.state.expire(before);
        }
    }

    /// When [`Self::on_timer`] is due.
    pub fn next_deadline(&self, now: Ms) -> Ms {
        let sessions = self.links.connections.values().map(|known| known.session.next_deadline(now));
        let dials = self.dialers.next_deadline().filter(|_| !self.is_stopping);
        let requests = self.forwarder.next_deadline().into_iter().chain(self.remote_requests.next_deadline());
        let has_connections = !self.links.connections.is_empty();
        let refresh = has_connections.then_some(self.views_refreshed_at + VIEW_REFRESH_INTERVAL);
        let deadlines = sessions.chain(dials).chain(requests).chain(refresh);
        deadlines.fold(now + MAX_TIMER_INTERVAL, f64::min).max(now)
    }

    /// Has the other sites send nothing new; what is open goes on.
    pub fn begin_shutdown(&mut self) {
        self.is_stopping = true;
        let connections: Vec<ConnectionId> = self.links.connections.keys().copied().collect();
        for connection in connections {
            self.links.send(connection, &Message::GoAway);
            self.links.request_write(connection);
        }
    }
}
