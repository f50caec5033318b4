//! The life cycle of connections, and the messages received on them.

use linnethook::interface::Ms;

use super::{Action, ConnectionId, Gateway};
use crate::attempt_ledger::ReceivedAttempts;
use crate::codec::{Hello, Message, SUPPORTED_VERSIONS};
use crate::forwarding::{LostConnection, Rejection, UnconfirmedEnd};
use crate::links::{peer_start_id, Peer, SiteConnection};
use crate::remote_requests::StreamId;
use crate::session::{CloseReason, Session, SessionEvent};
use crate::site_names::LOCAL_SITE;
use crate::site_state::{ReceivedState, StatePosition};

/// Maximum tolerated difference between the clocks of two sites, in microseconds, the unit of process start
/// times.
const MAX_CLOCK_DIFFERENCE_US: f64 = 86_400e6;

impl Gateway {
    /// Handles a new connection: one that was dialled for the entry `dialer`, or one that was accepted if
    /// that is `None`.
    pub fn connection_opened(&mut self, now: Ms, connection: ConnectionId, dialer: Option<usize>) {
        let accepted = self
            .links
            .connections
            .values()
            .filter(|site_connection| site_connection.dialer.is_none())
            .count();
        if dialer.is_none() && accepted >= self.config.peers.max_accepted {
            let reason = CloseReason::TooManyGateways {
                items: "accepted connections",
                limit: self.config.peers.max_accepted,
            };
            return self.links.push(Action::Close(connection, reason));
        }
        if let Some(entry) = dialer {
            self.dialers.record_connected(entry);
        }
        let mut session = Session::new(now, self.config.session);
        session.send(&Message::Hello(Hello {
            versions: SUPPORTED_VERSIONS,
            site: self.sites.local().to_string(),
            node: self.node.clone(),
            epoch: self.epoch,
            known_state: self.known_state_of(dialer),
            proof: Vec::new(),
        }));
        if self.is_stopping {
            session.send(&Message::GoAway);
        }
        let opened = SiteConnection { session, peer: None, dialer, sends_peer_state: false };
        self.links.connections.insert(connection, opened);
        self.links.push(Action::Write(connection));
    }

    /// The position up to which the state of a dialled site is known. For an accepted connection the peer is
    /// not known yet, so it is the default position.
    fn known_state_of(&self, dialer: Option<usize>) -> StatePosition {
        let name = dialer.and_then(|entry| self.dialers.site(entry));
        let Some(site) = name.and_then(|name| self.sites.id(name)) else { return StatePosition::default() };
        let peer = self.links.peers.values().find(|peer| peer.site == site);
        peer.map_or(StatePosition::default(), |peer| peer.state.position())
    }

    /// Handles a connection that could not be established.
    pub fn dial_failed(&mut self, now: Ms, dialer: usize) {
        let abandoned_site = self.peer_entries.is_none().then(|| self.sites.local());
        self.dialers.record_down(now, dialer, abandoned_site);
    }

    /// Handles a connection that was not closed by this side.
    pub fn connection_closed(&mut self, now: Ms, connection: ConnectionId) {
        self.remove_connection(now, connection, CloseReason::Closed);
    }

    /// Records that the network has lost a connection: the peer may still consider it open.
    pub fn connection_lost(&mut self, now: Ms, connection: ConnectionId) {
        self.remove_connection(now, connection, CloseReason::Lost);
    }

    /// Closes a connection from this side.
    pub(super) fn close_connection(&mut self, now: Ms, connection: ConnectionId, reason: CloseReason) {
        if self.links.connections.contains_key(&connection) {
            self.links.discard_writes(connection);
            self.links.push(Action::Close(connection, reason.clone()));
            self.remove_connection(now, connection, reason);
        }
    }

    fn remove_connection(&mut self, now: Ms, connection: ConnectionId, reason: CloseReason) {
        let Some(removed) = self.links.connections.remove(&connection) else { return };
        self.links.counts.received_body_bytes += removed.session.received_body_bytes;
        if let Some(entry) = removed.dialer {
            self.dial_failed(now, entry);
        }
        let was_last = match &removed.peer {
            Some(peer) => self.remove_from_peer(connection, peer),
            None => false,
        };
        // A peer that has closed its connection has cancelled the requests that it received on it.
        let may_still_run = reason != CloseReason::Closed;
        self.log_closed(&removed, reason, was_last);
        self.refresh_site_views(now);
        self.remote_requests.handle_lost_connection(&mut self.links, now, connection);
        let peer = removed.peer.as_ref().and_then(|name| Some((name, self.links.peers.get(name)?)));
        let lost = LostConnection {
            id: connection,
            peer_start: peer.map(|(name, peer)| peer_start_id(name, peer.epoch)),
            tickets: removed.session.open_tickets(),
            unconfirmed_end: removed
                .peer
                .filter(|_| may_still_run)
                .and_then(|peer| self.unconfirmed_end(now, peer)),
        };
        self.forwarder.handle_lost_connection(&mut self.links, now, lost);
    }

    /// Until when a peer may still run requests of a connection that has just been lost.
    fn unconfirmed_end(&self, now: Ms, peer: String) -> Option<UnconfirmedEnd> {
        let epoch = self.links.peers.get(&peer)?.epoch;
        let latest = now + self.config.session.heartbeat.max_detection_time();
        Some(UnconfirmedEnd { peer, epoch, latest })
    }

    /// Removes a connection from its peer. Returns whether it was the last connection to that peer.
    fn remove_from_peer(&mut self, connection: ConnectionId, name: &str) -> bool {
        let Some(peer) = self.links.peers.get_mut(name) else { return false };
        peer.connections.retain(|other| *other != connection);
        let (site, node, start) = (peer.site, peer.node.clone(), peer.epoch);
        let next = peer.connections.first().copied();
        if next.is_none() {
            if site == LOCAL_SITE {
                self.links.push(Action::PeerLink { name: node, start, up: false });
            }
            self.forwarder.reset_window(site);
        }
        if let Some(next) = next.filter(|_| site == LOCAL_SITE) {
            self.request_peer_state(next);
        }
        next.is_none()
    }

    fn log_closed(&mut self, removed: &SiteConnection, reason: CloseReason, was_last: bool) {
        let Some(peer) = &removed.peer else {
            if !matches!(reason, CloseReason::Closed | CloseReason::Lost) {
                self.links.log(format!("gateway: connection with an unidentified peer closed: {reason}"));
            }
            return;
        };
        self.links.counts.connections_down += 1;
        let streams = removed.session.open_streams();
        self.links.log(format!(
            "gateway: connection with {peer} down, {} outgoing and {} incoming requests open: {reason}{}",
            streams.outgoing,
            streams.incoming,
            if was_last { "; no connection left" } else { "" }
        ));
    }

    /// Processes bytes received on a connection.
    pub fn receive(&mut self, now: Ms, connection: ConnectionId, bytes: &[u8]) {
        let Some(session) = self.links.session_mut(connection) else { return };
        let mut events = Vec::new();
        let outcome = session.receive(now, bytes, &mut events);
        if let Some(peer) = self.links.peer_of_mut(connection) {
            peer.last_received = now;
            peer.state.record_activity(now);
        }
        for event in events {
            if let Err(reason) = self.handle_event(now, connection, event) {
                return self.close_connection(now, connection, reason);
            }
        }
        match outcome {
            Ok(()) => self.links.request_write(connection),
            Err(reason) => self.close_connection(now, connection, reason),
        }
    }

    fn handle_event(
        &mut self,
        now: Ms,
        connection: ConnectionId,
        event: SessionEvent,
    ) -> Result<(), CloseReason> {
        let Self { links, forwarder, remote_requests, .. } = self;
        match event {
            SessionEvent::Hello(hello) => return self.handle_hello(now, connection, hello),
            SessionEvent::Request(stream, request) => {
                let is_draining = self.is_stopping || forwarder.local_capacity.is_drained();
                let stream = StreamId { connection, stream };
                remote_requests.handle_request(links, now, stream, *request, is_draining);
            }
            SessionEvent::Cancelled(stream) => {
                remote_requests.handle_cancellation(links, now, StreamId { connection, stream });
            }
            SessionEvent::TokenCancelled(token) => {
                remote_requests.handle_cancelled_token(links, now, connection, token);
            }
            SessionEvent::OutcomeQuery(token) => {
                remote_requests.handle_query(links, now, connection, token);
            }
            SessionEvent::OutcomeReport(token, outcome) => {
                forwarder.handle_outcome(links, now, connection, token, outcome);
            }
            SessionEvent::ResponseHead(ticket, head) => {
                return forwarder.begin_response(links, now, connection, ticket, *head);
            }
            SessionEvent::Data(ticket, bytes) => return forwarder.receive_body(ticket, &bytes),
            SessionEvent::ResponseEnd(ticket) => {
                return forwarder.end_response(links, now, connection, ticket);
            }
            SessionEvent::Rejected { ticket, reason, retry_after } => {
                let rejection = Rejection { reason, retry_after };
                forwarder.handle_rejection(links, now, connection, ticket, rejection);
            }
            SessionEvent::StateUpdate(update) => return self.handle_state_update(now, connection, update),
            SessionEvent::StateRequest(position) => self.handle_state_request(connection, position),
            SessionEvent::DirectFacts(facts) => self.handle_peer_entries(connection, facts),
            SessionEvent::GoAway => self.refresh_site_views(now),
        }
        Ok(())
    }

    /// Handles the hello of a peer.
    fn handle_hello(&mut self, now: Ms, connection: ConnectionId, hello: Hello) -> Result<(), CloseReason> {
        let site = self.sites.id(&hello.site).ok_or_else(|| CloseReason::UnknownSite(hello.site.clone()))?;
        let is_in_cluster = site == LOCAL_SITE;
        let is_itself = hello.epoch == self.epoch && hello.node == self.node;
        if is_in_cluster && (self.peer_entries.is_none() || is_itself) {
            return Err(CloseReason::OwnIdentity);
        }
        // An accepted start time in the future would make all later starts of the peer look outdated.
        if hello.epoch as f64 > now * 1_000.0 + MAX_CLOCK_DIFFERENCE_US {
            return Err(CloseReason::InvalidEpoch(hello.epoch));
        }
        // Within a cluster, two processes with the same name are distinguished by their start: the cluster
        // decides which of them keeps the name.
        let start = if is_in_cluster { format!("#{}", hello.epoch) } else { String::new() };
        let name = format!("{}/{}{start}", hello.site, hello.node);
        if is_in_cluster {
            self.links.peers.retain(|other, peer| {
                let is_idle = peer.connections.is_empty();
                *other == name || !(peer.site == site && peer.node == hello.node && is_idle)
            });
        }
        if !self.links.peers.contains_key(&name) {
            self.evict_idle_peer(now)?;
            let peer = Peer {
                site,
                node: hello.node.clone(),
                epoch: hello.epoch,
                received_attempts: ReceivedAttempts::new(self.config.attempt_ledger),
                state: ReceivedState::default(),
                connections: Vec::new(),
                last_received: now,
            };
            self.links.peers.insert(name.clone(), peer);
        }
        for replaced in self.add_to_peer(now, connection, &name, hello.epoch)? {
            self.close_connection(now, replaced, CloseReason::Replaced);
        }
        self.handle_identified_peer(now, connection, &name, &hello);
        Ok(())
    }

    /// Adds a connection to a known peer and returns the connections that it replaces.
    fn add_to_peer(
        &mut self,
        now: Ms,
        connection: ConnectionId,
        name: &str,
        epoch: u64,
    ) -> Result<Vec<ConnectionId>, CloseReason> {
        let Some(peer) = self.links.peers.get_mut(name) else { return Ok(Vec::new()) };
        if !peer.received_attempts.accept_epoch(epoch) {
            return Err(CloseReason::InvalidEpoch(epoch));
        }
        peer.last_received = now;
        let mut replaced = Vec::new();
        if epoch > peer.epoch {
            // The peer has restarted: connections to its earlier start are dead.
            replaced.append(&mut peer.connections);
            peer.epoch = epoch;
        }
        peer.connections.push(connection);
        let excess = peer.connections.len().saturating_sub(self.config.peers.max_connections);
        replaced.extend(peer.connections.drain(..excess));
        self.links.counts.connections_up += 1;
        if let Some(site_connection) = self.links.connections.get_mut(&connection) {
            site_connection.peer = Some(name.to_string());
            if let Some(entry) = site_connection.dialer {
                self.dialers.record_up(now, entry);
            }
        }
        Ok(replaced)
    }

    /// Starts the exchange with the peer of a connection once its hello has been accepted.
    fn handle_identified_peer(&mut self, now: Ms, connection: ConnectionId, name: &str, hello: &Hello) {
        let Some(peer) = self.links.peers.get(name) else { return };
        let (is_first, is_in_cluster) = (peer.connections.len() == 1, peer.is_in_cluster());
        if is_first {
            self.links.log(format!("gateway: connection with {name} up"));
        }
        if is_in_cluster {
            if is_first {
                let (name, start) = (hello.node.clone(), hello.epoch);
                self.links.push(Action::PeerLink { name, start, up: true });
                self.request_peer_state(connection);
            }
            return;
        }
        self.send_state(connection, hello.known_state);
        self.refresh_site_views(now);
        let start = peer_start_id(name, hello.epoch);
        self.forwarder.query_outcomes(&mut self.links, connection, start);
        self.forwarder.send_cancellations_on(&mut self.links, connection, start);
    }

    /// Frees a place for another gateway at the limit of known gateways: evicts the one that has been silent
    /// for the longest time, if that is longer than tokens are retained.
    fn evict_idle_peer(&mut self, now: Ms) -> Result<(), CloseReason> {
        let peers = &mut self.links.peers;
        if peers.len() < self.config.peers.max_gateways {
            return Ok(());
        }
        let retention = self.config.attempt_ledger.retention;
        let is_idle = |peer: &Peer| peer.connections.is_empty() && now - peer.last_received > retention;
        let idle = peers.iter().filter(|(_, peer)| is_idle(peer));
        let oldest = idle.min_by(|(_, a), (_, b)| a.last_received.total_cmp(&b.last_received));
        let limit = self.config.peers.max_gateways;
        let too_many = CloseReason::TooManyGateways { items: "known gateways", limit };
        let oldest = oldest.map(|(name, _)| name.clone()).ok_or(too_many)?;
        peers.remove(&oldest);
        Ok(())
    }
}
