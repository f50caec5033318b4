//! The links with other gateways: connections and peers, with the queue of actions and the counters that all
//! modules of the gateway share.

use std::collections::{BTreeMap, VecDeque};

use linnethook::interface::Ms;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::actions::{Action, ConnectionId};
use crate::attempt_ledger::{ReceivedAttempts, Ticket};
use crate::codec::Message;
use crate::heartbeat::LinkHealth;
use crate::routing::{SiteId, SiteView};
use crate::session::Session;
use crate::site_names::LOCAL_SITE;
use crate::site_state::{FactKey, FactValue, ReceivedState};
use crate::status::{ConnectionView, GatewayCounts};

/// A connection with its session and peer.
#[derive(Debug)]
pub(crate) struct SiteConnection {
    pub session: Session,
    /// The name of the peer gateway, once its hello was received.
    pub peer: Option<String>,
    /// The dialer entry that opened the connection; `None` for accepted connections.
    pub dialer: Option<usize>,
    /// Whether a cluster peer has requested gossip entries on this connection, which it does on one of
    /// several.
    pub sends_peer_state: bool,
}

impl SiteConnection {
    pub fn status(&self, now: Ms) -> ConnectionView {
        let streams = self.session.open_streams();
        ConnectionView {
            health: self.session.heartbeat.health(now).name().to_string(),
            round_trip: self.session.heartbeat.round_trip(),
            phi: self.session.heartbeat.phi(now),
            outgoing: streams.outgoing as u64,
            incoming: streams.incoming as u64,
            queued_bytes: self.session.queued_bytes(),
        }
    }

    fn is_usable(&self, now: Ms) -> bool {
        !self.session.received_go_away
            && self.session.heartbeat.all_received_until().is_some()
            && self.session.heartbeat.health(now) != LinkHealth::HalfOpen
    }

    fn may_carry_request(&self) -> bool {
        self.session.may_open_stream() && self.session.heartbeat.all_received_until().is_some()
    }
}

/// A peer: another gateway, or a router of the local site (a cluster peer).
#[derive(Debug)]
pub(crate) struct Peer {
    pub site: SiteId,
    /// Its name within its site.
    pub node: String,
    /// The start time of its process, in Unix microseconds.
    pub epoch: u64,
    /// The fencing tokens that it has sent.
    pub received_attempts: ReceivedAttempts,
    /// The facts that it has published.
    pub state: ReceivedState,
    /// The connections to it, the oldest first.
    pub connections: Vec<ConnectionId>,
    /// The time of the latest receipt from it.
    pub last_received: Ms,
}

impl Peer {
    pub fn is_in_cluster(&self) -> bool {
        self.site == LOCAL_SITE
    }
}

/// Identifies one start of another gateway.
pub(crate) fn peer_start_id(name: &str, epoch: u64) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), epoch)
}

/// All links with other gateways.
#[derive(Debug, Default)]
pub(crate) struct Links {
    pub connections: BTreeMap<ConnectionId, SiteConnection>,
    /// By site and node name; for cluster peers also by the start of the process.
    pub peers: BTreeMap<String, Peer>,
    /// The actions that the caller has to carry out, in order.
    pub actions: VecDeque<Action>,
    pub counts: GatewayCounts,
}

impl Links {
    /// Queues an action.
    pub fn push(&mut self, action: Action) {
        self.actions.push_back(action);
    }

    /// Removes the action to serve a request if the caller has not taken it yet. Returns whether it was there.
    pub fn take_back_serve(&mut self, ticket: Ticket) -> bool {
        let queued = self.actions.len();
        self.actions
            .retain(|action| !matches!(action, Action::ServeRemote(request) if request.ticket == ticket));
        self.actions.len() < queued
    }

    pub fn log(&mut self, line: String) {
        self.push(Action::Log(line));
    }

    pub fn session_mut(&mut self, connection: ConnectionId) -> Option<&mut Session> {
        self.connections.get_mut(&connection).map(|connection| &mut connection.session)
    }

    /// Queues a message that belongs to no stream. The caller also has to request a write.
    pub fn send(&mut self, connection: ConnectionId, message: &Message) {
        if let Some(session) = self.session_mut(connection) {
            session.send(message);
        }
    }

    /// Requests a write if the connection has output.
    pub fn request_write(&mut self, connection: ConnectionId) {
        if self
            .connections
            .get(&connection)
            .is_some_and(|site_connection| site_connection.session.has_output())
        {
            self.push(Action::Write(connection));
        }
    }

    /// Takes back the queued writes to a connection that is about to be closed: what is not written by then
    /// counts as never sent.
    pub fn discard_writes(&mut self, connection: ConnectionId) {
        self.actions.retain(|action| *action != Action::Write(connection));
    }

    /// Cancels a request that was sent on a connection. Returns false if it has no stream there.
    pub fn cancel_request(&mut self, connection: ConnectionId, ticket: u64) -> bool {
        let is_cancelled = self.session_mut(connection).is_some_and(|session| session.cancel_request(ticket));
        self.request_write(connection);
        is_cancelled
    }

    pub fn peer_of(&self, connection: ConnectionId) -> Option<&Peer> {
        self.peers.get(self.connections.get(&connection)?.peer.as_ref()?)
    }

    pub fn peer_of_mut(&mut self, connection: ConnectionId) -> Option<&mut Peer> {
        self.peers.get_mut(self.connections.get(&connection)?.peer.as_ref()?)
    }

    /// Whether the peer of a connection is a router of the local site.
    pub fn is_cluster_peer(&self, connection: ConnectionId) -> bool {
        self.peer_of(connection).is_some_and(Peer::is_in_cluster)
    }

    /// The connections to routers of the local site.
    pub fn cluster_connections(&self) -> Vec<ConnectionId> {
        self.connections.keys().copied().filter(|connection| self.is_cluster_peer(*connection)).collect()
    }

    /// The connection for the next request to a site: the one with the fewest queued bytes.
    pub fn connection_to(&self, site: SiteId) -> Option<ConnectionId> {
        let peers = self.peers.values().filter(|peer| peer.site == site);
        self.least_queued(peers.flat_map(|peer| peer.connections.iter().copied()))
    }

    /// The connection for the next request to one gateway: the one with the fewest queued bytes.
    pub fn connection_to_peer(&self, name: &str) -> Option<ConnectionId> {
        self.least_queued(self.peers.get(name)?.connections.iter().copied())
    }

    /// A connection to one start of another gateway, whether or not it may carry requests.
    pub fn connection_to_start(&self, start: u64) -> Option<ConnectionId> {
        let mut peers = self.peers.iter();
        let (_, peer) = peers.find(|(name, peer)| peer_start_id(name, peer.epoch) == start)?;
        peer.connections.last().copied()
    }

    fn least_queued(&self, connections: impl Iterator<Item = ConnectionId>) -> Option<ConnectionId> {
        let usable = connections.filter(|connection| {
            self.connections.get(connection).is_some_and(SiteConnection::may_carry_request)
        });
        usable.min_by_key(|connection| {
            self.connections.get(connection).map(|site_connection| site_connection.session.queued_bytes())
        })
    }

    /// Identifies the process at the other end of a connection.
    pub fn start_of_peer(&self, connection: ConnectionId) -> Option<u64> {
        let name = self.connections.get(&connection)?.peer.as_ref()?;
        self.peers.get(name).map(|peer| peer_start_id(name, peer.epoch))
    }

    /// The view of another site, combined from all of its gateways. A load or drain is ignored if the gateway
    /// that published it has been silent for longer than `state_lifetime` milliseconds.
    pub fn site_view(&self, now: Ms, site: SiteId, state_lifetime: Ms) -> SiteView {
        let mut view = SiteView { utilization: 1.0, ..SiteView::default() };
        for peer in self.peers.values().filter(|peer| peer.site == site) {
            if let Some(FactValue::Drained(true)) = peer.state.get(now, state_lifetime, &FactKey::Operators) {
                view.drained = true;
            }
            let load = peer.state.get(now, state_lifetime, &FactKey::Site);
            let Some(FactValue::Load { utilization, caches, origin_reachable }) = load else { continue };
            let mut connections = peer.connections.iter().filter_map(|id| self.connections.get(id));
            if connections.any(|connection| connection.is_usable(now)) {
                view.reachable = true;
                view.has_caches |= *caches > 0;
                view.has_origin |= *origin_reachable;
                view.utilization = view.utilization.min(*utilization);
            }
        }
        view
    }
}
