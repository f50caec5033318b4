//! The facade of the gateway: the only module that knows both the requests it forwards and those it serves
//! for other sites.
//!
//! The caller passes in received bytes, the time and requests, and carries out the returned [`Action`]s in
//! order. A gateway chooses sites, never servers: a request for the local site is passed to the caller, whose
//! policy decides about it.
//!
//! - this file: requests, output and timers;
//! - `connections`: the life cycle of connections and the messages received on them;
//! - `state`: the facts that sites publish about themselves;
//! - `cluster`: links with routers of the local site;
//! - `report`: the status that commands print.

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
use crate::site_names::{SiteNames, LOCAL_SITE};
use crate::site_state::PublishedState;

pub use self::cluster::PeerEntry;
pub use crate::actions::{Action, ConnectionId, Departure, RemoteRequest, Reply, FIRST_REMOTE_TICKET};
pub use crate::config::{GatewayConfig, GatewaySetup, PeerConfig};
pub use crate::status::{
    ConnectionView, GatewayCounts, GatewayStatusView, PeerGatewayView, RemoteSiteView, RouteView, SiteShare,
};

/// The interval at which the views of other sites are refreshed, in milliseconds.
const VIEW_REFRESH_INTERVAL: Ms = 50.0;

/// [`Gateway::next_deadline`] is at most this far in the future, in milliseconds.
const MAX_TIMER_INTERVAL: Ms = 1_000.0;

/// A gateway.
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
    /// The gossip entries for routers of the local site; `None` if they form no cluster.
    peer_entries: Option<PublishedState>,
    /// Other sites that the operators of this one have drained.
    drained_sites: BTreeSet<SiteId>,
    is_stopping: bool,
    views_refreshed_at: Ms,
}

impl Gateway {
    /// Creates a gateway. Its first actions dial the configured sites.
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
                RoutingTable::new(LOCAL_SITE, config.routing),
                LocalCapacity::new(config.local_capacity),
                &ConcurrencyWindow::new(config.concurrency_window),
                SentAttempts::new(epoch, config.forwarding.max_attempts),
            ),
            remote_requests: RemoteRequests::new(&config, sites.local()),
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

    /// Takes the next action to carry out.
    pub fn next_action(&mut self) -> Option<Action> {
        self.links.actions.pop_front()
    }

    /// The id of a site; `None` if it is not in the setup.
    pub fn site_id(&self, name: &str) -> Option<SiteId> {
        self.sites.id(name)
    }

    /// The name of a site; `?` if it is not in the setup.
    pub fn site_name(&self, site: SiteId) -> &str {
        self.sites.name(site).unwrap_or("?")
    }

    /// Whether there are other sites to forward requests to.
    pub fn forwards_requests(&self) -> bool {
        self.sites.others().next().is_some()
    }

    // ---- Requests.

    /// Submits a request of a client or from another site. The decision about it follows as an action.
    pub fn submit_request(&mut self, now: Ms, ticket: Ticket, request: ForwardRequest) {
        self.forwarder.submit_request(&mut self.links, now, ticket, request);
    }

    /// Tries to forward a request that the local site, which the caller knows to be unavailable, has rejected
    /// without running it. Returns whether it is forwarded. If not, the rejection stands, but a retry of the
    /// chosen site's budget may have been used.
    pub fn forward_rejected_request(&mut self, now: Ms, ticket: Ticket, request: ForwardRequest) -> bool {
        self.forwarder.forward_rejected_request(&mut self.links, now, ticket, request)
    }

    /// Cancels a request whose reply is no longer needed. Returns whether another site may have executed it.
    pub fn cancel_request(&mut self, now: Ms, ticket: Ticket) -> bool {
        self.forwarder.cancel_request(&mut self.links, now, ticket)
    }

    /// Begins no further attempt of a request at other sites, as its sender may not wait any more. The outcome of an
    /// attempt that is out is still awaited. Returns false if the request is not forwarded.
    pub fn stop_retries(&mut self, ticket: Ticket) -> bool {
        self.forwarder.stop_retries(&mut self.links, ticket)
    }

    /// Completes a request from another site with its only reply. A rejected request must not have run.
    pub fn complete_remote_request(&mut self, now: Ms, ticket: Ticket, reply: Reply) {
        self.remote_requests.complete(&mut self.links, now, ticket, reply);
    }

    /// Whether an attempt of a request may be begun now: the sender of one from another site still waits for it, as
    /// far as known. Attempts that may not be begun are checked again after each call that passes in bytes.
    pub fn may_begin_attempt(&self, now: Ms, ticket: Ticket) -> bool {
        self.remote_requests.may_begin_attempt(&self.links, now, ticket)
    }

    /// Why the sender of a request from another site may no longer wait for its reply; `None` while it waits.
    pub fn departure_of(&self, ticket: Ticket) -> Option<Departure> {
        self.remote_requests.departure_of(ticket)
    }

    /// Records the outcome of a request that was served here for a client of this site.
    pub fn record_local_outcome(&mut self, now: Ms, kind: RequestKind, failed: bool) {
        self.forwarder.local_capacity.record_outcome(now, kind, failed);
        self.publish_load(now);
    }

    /// Whether this site is unavailable for such requests, so that one that was rejected here may be
    /// forwarded.
    pub fn is_locally_unavailable(&self, kind: RequestKind) -> bool {
        self.forwarder.is_locally_unavailable(kind)
    }

    // ---- Output.

    /// Moves the output to be written on a connection next to `into`, about `max_bytes` of it.
    pub fn take_output(&mut self, connection: ConnectionId, max_bytes: usize, into: &mut BytesMut) {
        if let Some(session) = self.links.session_mut(connection) {
            session.take_output(max_bytes, into);
        }
    }

    /// Records that the operating system has accepted this many bytes of the output taken for a connection.
    pub fn mark_written(&mut self, connection: ConnectionId, bytes: usize) {
        let Some(session) = self.links.session_mut(connection) else { return };
        for token in session.mark_written(bytes) {
            self.forwarder.mark_written(token);
        }
    }

    // ---- Time.

    /// Runs all timers that are due.
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
        self.remote_requests.expire_lost_senders(&mut self.links, now);
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
        let sessions =
            self.links.connections.values().map(|site_connection| site_connection.session.next_deadline(now));
        let dials = self.dialers.next_deadline().filter(|_| !self.is_stopping);
        let requests = self.forwarder.next_deadline().into_iter().chain(self.remote_requests.next_deadline());
        let has_connections = !self.links.connections.is_empty();
        let refresh = has_connections.then_some(self.views_refreshed_at + VIEW_REFRESH_INTERVAL);
        let deadlines = sessions.chain(dials).chain(requests).chain(refresh);
        deadlines.fold(now + MAX_TIMER_INTERVAL, f64::min).max(now)
    }

    /// Notifies all peers that no new requests are accepted. Open requests continue.
    pub fn begin_shutdown(&mut self) {
        self.is_stopping = true;
        let connections: Vec<ConnectionId> = self.links.connections.keys().copied().collect();
        for connection in connections {
            self.links.send(connection, &Message::GoAway);
            self.links.request_write(connection);
        }
    }
}
