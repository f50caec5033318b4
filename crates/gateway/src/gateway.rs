//! Owns a whole gateway: the sessions with other sites, what is known of them, and who does what next.
//!
//! Bytes, times and requests come in by calls; what is to be done comes out as [`Action`]s, in their order. Requests
//! that cross are in `across`, those that come from other sites in `serving`. Must never pick a server: what is to be
//! served here is handed to whoever decides that.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::{Bytes, BytesMut};
use linnethook::interface::Ms;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::attempt_ledger::{AttemptLedgerConfig, ReceivedAttempts, SentAttempts, Ticket};
use crate::codec::{Fields, Hello, Message, RejectReason, SUPPORTED_VERSIONS};
use crate::concurrency_window::{ConcurrencyWindow, ConcurrencyWindowConfig};
use crate::forwarding::{ForwardingConfig, PendingRequests};
use crate::heartbeat::{LinkHealth, ReconnectBackoff, ReconnectConfig};
use crate::local_capacity::{LocalCapacity, LocalCapacityConfig, RequestKind};
use crate::remote_requests::ServedRequests;
use crate::routing::{RoutingConfig, RoutingTable, SiteId, SiteView};
use crate::session::{CloseReason, Session, SessionConfig, SessionEvent};
use crate::site_state::{
    FactKey, FactValue, PublishedState, ReceivedState, StateUpdate, UpdateResult as News,
};
use crate::transfer::ObjectVersion;

/// A connection, by whoever owns the sockets.
pub type ConnectionId = u64;

/// All that can be set of a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct GatewayConfig {
    pub session: SessionConfig,
    pub reconnect: ReconnectConfig,
    pub routing: RoutingConfig,
    pub concurrency_window: ConcurrencyWindowConfig,
    pub local_capacity: LocalCapacityConfig,
    pub forwarding: ForwardingConfig,
    pub attempt_ledger: AttemptLedgerConfig,
    pub peers: PeerConfig,
}

/// How other sites are known.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeerConfig {
    /// Requests from another site are let in only while all that was known there so long ago is known here: its
    /// drains. 0 lets all in.
    pub max_state_delay: Ms,
    /// What a site said longer ago counts for nothing.
    pub state_lifetime: Ms,
    /// Facts kept of the own site, and how long purges are told to those that come back.
    pub max_facts: usize,
    pub purge_retention: Ms,
    /// Gateways of other sites, connections with one of them, and those that were taken in.
    pub max_gateways: usize,
    pub max_connections: usize,
    pub max_accepted: usize,
}

impl Default for PeerConfig {
    fn default() -> Self {
        Self {
            max_state_delay: 200.0,
            state_lifetime: 3_000.0,
            max_facts: 8_192,
            purge_retention: 600_000.0,
            max_gateways: 64,
            max_connections: 4,
            max_accepted: 32,
        }
    }
}

/// A gateway at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySetup {
    pub site: String,
    /// The names of the other sites.
    pub other_sites: Vec<String>,
    /// Its own name among the gateways of its site.
    pub node: String,
    /// When its process started, in Unix microseconds: greater with each start.
    pub epoch: u64,
    pub seed: u64,
    /// The sites that connections are kept up to, one entry for each.
    pub dial_sites: Vec<String>,
    /// Whether routers of the own site are fellows, and may connect.
    pub accepts_cluster_peers: bool,
    pub config: GatewayConfig,
}

/// An answer that somebody gave.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    Served {
        fields: Fields,
        body: Bytes,
        version: Option<ObjectVersion>,
    },
    /// It never ran, and may come again after that long (0 = not told).
    Rejected {
        retry_after: Ms,
    },
    /// Nothing is promised.
    Failed,
}

/// A request from another site.
#[derive(Debug, Clone, PartialEq)]
pub struct RemoteRequest {
    pub ticket: Ticket,
    pub fields: Fields,
    pub body: Bytes,
    /// How long its answer may take.
    pub remaining: Ms,
    pub passed_sites: Vec<String>,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// A connection is to be made, for that entry of the dials.
    Dial(usize),
    Close(ConnectionId, CloseReason),
    /// Something may be pulled for it.
    Write(ConnectionId),
    /// A request of this site is to be served at home.
    ServeLocally(Ticket),
    /// Its one final answer.
    Answer(Ticket, Reply),
    /// A request from another site is to be served; it is owed one `reply`.
    ServeRemote(RemoteRequest),
    /// Nobody waits for it any more.
    CancelServe(Ticket),
    /// Another site says something that counts here too.
    RemoteFact(FactKey, FactValue),
    /// The first connection with a fellow of that start is up, or the last one is down.
    PeerLink {
        name: String,
        start: u64,
        up: bool,
    },
    /// A fellow says something: key and entry.
    PeerEntry {
        name: String,
        key: Vec<u8>,
        entry: Vec<u8>,
    },
    Log(String),
}

/// The first ticket of requests from other sites: whoever names requests of its own stays below.
pub const FIRST_REMOTE_TICKET: Ticket = 1 << 54;

/// Another gateway.
#[derive(Debug)]
pub(crate) struct Peer {
    pub site: SiteId,
    pub epoch: u64,
    pub received_attempts: ReceivedAttempts,
    pub state: ReceivedState,
    pub sessions: Vec<ConnectionId>,
    /// Its name within its site.
    node: String,
    last_received: Ms,
}

#[derive(Debug)]
struct Dialer {
    site: String,
    backoff: ReconnectBackoff,
    state: Dialing,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Dialing {
    At(Ms),
    Pending,
    Up(ConnectionId),
}

#[derive(Debug)]
pub(crate) struct SiteConnection {
    pub session: Session,
    /// The other gateway, once it has said who it is.
    pub peer: Option<String>,
    dialer: Option<usize>,
    /// A fellow wants to be told here what is said: on one connection of several.
    sends_peer_state: bool,
}

/// Counts for people.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct GatewayCounts {
    pub home: u64,
    pub across: u64,
    pub nowhere: u64,
    pub again: u64,
    pub resumed: u64,
    pub answered: u64,
    pub refused: u64,
    pub failed: u64,
    pub uncertain: u64,
    pub freed: u64,
    pub served: u64,
    pub turned_away: u64,
    pub stale: u64,
    pub ups: u64,
    pub downs: u64,
    pub body_bytes: u64,
    pub bytes_again: u64,
}

/// One gateway.
#[derive(Debug)]
pub struct Gateway {
    pub(crate) config: GatewayConfig,
    pub(crate) own_site: SiteId,
    site_names: Vec<String>,
    node: String,
    pub(crate) epoch: u64,
    random: Pcg64Mcg,
    dialers: Vec<Dialer>,
    pub(crate) connections: BTreeMap<ConnectionId, SiteConnection>,
    pub(crate) peers: BTreeMap<String, Peer>,
    published: PublishedState,
    /// What is said to fellows; nothing where there are none.
    peer_entries: Option<PublishedState>,
    pub(crate) local_capacity: LocalCapacity,
    pub(crate) routing: RoutingTable,
    pub(crate) windows: BTreeMap<SiteId, ConcurrencyWindow>,
    pub(crate) sent_attempts: SentAttempts,
    pub(crate) pending: PendingRequests,
    pub(crate) served: ServedRequests,
    /// Sites that the operators of this one want left alone.
    drained_sites: BTreeSet<SiteId>,
    pub(crate) is_stopping: bool,
    views_refreshed_at: Ms,
    pub(crate) actions: VecDeque<Action>,
    pub counts: GatewayCounts,
}

/// By how much the clocks of two sites may differ at the most, in microseconds, as starts are told in.
const MAX_CLOCK_DIFFERENCE_US: f64 = 86_400e6;

/// Bytes of what is told to a fellow in one frame.
const MAX_UPDATE_BYTES: usize = 128 << 10;

/// How often the views of other sites are looked over.
const VIEW_REFRESH_INTERVAL: Ms = 50.0;

impl Gateway {
    pub fn new(now: Ms, setup: GatewaySetup) -> Self {
        let rules = setup.config;
        let mut names = vec![setup.site];
        names.extend(setup.other_sites);
        let retry = || ReconnectBackoff::new(rules.reconnect, rules.session.heartbeat);
        let dialers = setup.dial_sites.into_iter();
        let dialers =
            dialers.map(|site| Dialer { site, backoff: retry(), state: Dialing::At(now) }).collect();
        let me = SiteId(0);
        let sites = (1..names.len()).map(|n| SiteId(n as u16));
        Self {
            config: rules,
            own_site: me,
            windows: sites.map(|site| (site, ConcurrencyWindow::new(rules.concurrency_window))).collect(),
            site_names: names,
            node: setup.node,
            epoch: setup.epoch,
            random: Pcg64Mcg::seed_from_u64(setup.seed),
            dialers,
            connections: BTreeMap::new(),
            peers: BTreeMap::new(),
            published: PublishedState::new(setup.epoch, rules.peers.max_facts),
            peer_entries: setup.accepts_cluster_peers.then(|| PublishedState::new(setup.epoch, usize::MAX)),
            local_capacity: LocalCapacity::new(rules.local_capacity),
            routing: RoutingTable::new(me, rules.routing),
            sent_attempts: SentAttempts::new(setup.epoch, rules.forwarding.max_attempts),
            pending: PendingRequests::default(),
            served: ServedRequests::default(),
            drained_sites: BTreeSet::new(),
            is_stopping: false,
            views_refreshed_at: now,
            actions: VecDeque::new(),
            counts: GatewayCounts::default(),
        }
    }

    /// What is to be done next.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// The number of a site that the setup names.
    pub fn site_id(&self, name: &str) -> Option<SiteId> {
        self.site_names.iter().position(|known| known == name).map(|n| SiteId(n as u16))
    }

    pub fn site_name(&self, site: SiteId) -> &str {
        self.site_names.get(usize::from(site.0)).map_or("?", String::as_str)
    }

    /// Sites by name; one that is not known still counts as passed.
    pub(crate) fn site_ids(&self, names: &[String]) -> Vec<SiteId> {
        names.iter().map(|name| self.site_id(name).unwrap_or(SiteId(u16::MAX))).collect()
    }

    /// Names one start of another gateway.
    pub(crate) fn peer_start(name: &str, epoch: u64) -> u64 {
        xxh3_64_with_seed(name.as_bytes(), epoch)
    }

    // ---- Connections.

    /// A connection is up: one that was dialled for that entry, or one that was taken in.
    pub fn connection_opened(&mut self, now: Ms, conn: ConnectionId, dialer: Option<usize>) {
        let accepted = self.connections.values().filter(|line| line.dialer.is_none()).count();
        if dialer.is_none() && accepted >= self.config.peers.max_accepted {
            return self.actions.push_back(Action::Close(conn, CloseReason::TooManyGateways));
        }
        if let Some(dialer) = dialer.and_then(|n| self.dialers.get_mut(n)) {
            dialer.state = Dialing::Up(conn);
        }
        let mut session = Session::new(now, self.config.session);
        // Whoever dials says what it knows of the other's state; who was dialled learns who it is first.
        let site = dialer.and_then(|n| self.dialers.get(n)).map(|dialer| dialer.site.clone());
        let site = site.and_then(|name| self.site_id(&name));
        let known = self.peers.values().find(|peer| Some(peer.site) == site);
        session.send(&Message::Hello(Hello {
            versions: SUPPORTED_VERSIONS,
            site: self.site_names[0].clone(),
            node: self.node.clone(),
            epoch: self.epoch,
            known_state: known.map_or((0, 0), |peer| peer.state.position()),
            proof: Vec::new(),
        }));
        if self.is_stopping {
            session.send(&Message::GoAway);
        }
        self.connections
            .insert(conn, SiteConnection { session, peer: None, dialer, sends_peer_state: false });
        self.actions.push_back(Action::Write(conn));
    }

    /// A connection could not be made.
    pub fn dial_failed(&mut self, now: Ms, dialer: usize) {
        let draw = self.random.random::<f64>();
        let alone = self.peer_entries.is_none();
        if let Some(dialer) = self.dialers.get_mut(dialer) {
            let never = alone && dialer.site == self.site_names[0];
            let at = dialer.backoff.record_down(now, draw);
            dialer.state = Dialing::At(if never { f64::INFINITY } else { at });
        }
    }

    /// A connection has ended by itself.
    pub fn connection_closed(&mut self, now: Ms, conn: ConnectionId) {
        self.remove_connection(now, conn, CloseReason::Closed);
    }

    /// Ends a connection from this side.
    pub(crate) fn close_connection(&mut self, now: Ms, conn: ConnectionId, why: CloseReason) {
        if self.connections.contains_key(&conn) {
            self.actions.push_back(Action::Close(conn, why));
            self.remove_connection(now, conn, why);
        }
    }

    fn remove_connection(&mut self, now: Ms, conn: ConnectionId, why: CloseReason) {
        let Some(line) = self.connections.remove(&conn) else { return };
        self.counts.body_bytes += line.session.received_body_bytes;
        let greeted = line.peer.is_some();
        if let Some(n) = line.dialer {
            self.dial_failed(now, n);
        }
        let (mut last, mut asks) = (false, None);
        let me = self.own_site;
        if let Some(peer) = line.peer.as_ref().and_then(|name| self.peers.get_mut(name)) {
            peer.sessions.retain(|other| *other != conn);
            last = peer.sessions.is_empty();
            let other = peer.sessions.first().copied().filter(|_| peer.site == me);
            if last && peer.site == me {
                let (name, start) = (peer.node.clone(), peer.epoch);
                self.actions.push_back(Action::PeerLink { name, start, up: false });
            }
            if let Some(window) = self.windows.get_mut(&peer.site).filter(|_| last) {
                window.reset();
            }
            asks = other;
        }
        asks.into_iter().for_each(|other| self.request_peer_state(other));
        if greeted {
            self.counts.downs += 1;
            let peer = line.peer.as_deref().unwrap_or_default();
            let open = line.session.open_streams();
            self.actions.push_back(Action::Log(format!(
                "gateway: a connection with {peer} is down, {} requests out and {} from there: {why}{}",
                open.0,
                open.1,
                if last { "; it was the last one" } else { "" }
            )));
        } else if why != CloseReason::Closed {
            self.actions.push_back(Action::Log(format!("gateway: a connection is closed: {why}")));
        }
        self.refresh_site_views(now);
        self.drop_served_streams(conn);
        self.fail_over_requests(now, conn, line.session.open_tickets());
    }

    /// Takes in bytes of a connection.
    pub fn receive(&mut self, now: Ms, conn: ConnectionId, bytes: &[u8]) {
        let Some(line) = self.connections.get_mut(&conn) else { return };
        let mut heard = Vec::new();
        let outcome = line.session.receive(now, bytes, &mut heard);
        if let Some(peer) = line.peer.as_ref().and_then(|name| self.peers.get_mut(name)) {
            peer.last_received = now;
            peer.state.record_activity(now);
        }
        for word in heard {
            if let Err(why) = self.handle_event(now, conn, word) {
                return self.close_connection(now, conn, why);
            }
        }
        match outcome {
            Ok(()) => self.request_write(conn),
            Err(why) => self.close_connection(now, conn, why),
        }
    }

    pub(crate) fn request_write(&mut self, conn: ConnectionId) {
        if self.connections.get(&conn).is_some_and(|line| line.session.has_output()) {
            self.actions.push_back(Action::Write(conn));
        }
    }

    /// What is to be written on a connection next, up to about that much.
    pub fn take_output(&mut self, conn: ConnectionId, room: usize, into: &mut BytesMut) {
        if let Some(line) = self.connections.get_mut(&conn) {
            line.session.take_output(room, into);
        }
    }

    /// So many bytes of what was pulled were handed to the system.
    pub fn mark_written(&mut self, conn: ConnectionId, bytes: usize) {
        let whole =
            self.connections.get_mut(&conn).map(|line| line.session.mark_written(bytes)).unwrap_or_default();
        whole.into_iter().for_each(|token| self.sent_attempts.mark_written(token));
    }

    fn handle_event(&mut self, now: Ms, conn: ConnectionId, word: SessionEvent) -> Result<(), CloseReason> {
        match word {
            SessionEvent::Hello(hello) => return self.handle_hello(now, conn, hello),
            SessionEvent::Request(stream, open) => self.handle_request(now, conn, stream, *open),
            SessionEvent::Cancelled(stream) => self.handle_cancellation(conn, stream),
            SessionEvent::OutcomeQuery(token) => {
                let Some(peer) = self.peer_of_mut(conn) else { return Ok(()) };
                let fate = peer.received_attempts.query_outcome(now, token);
                if let Some(line) = self.connections.get_mut(&conn) {
                    line.session.send(&Message::OutcomeReport(token, fate));
                }
            }
            SessionEvent::OutcomeReport(token, fate) => self.handle_outcome(now, conn, token, fate),
            SessionEvent::ResponseHead(ticket, begins) => {
                return self.begin_response(now, conn, ticket, *begins)
            }
            SessionEvent::Data(ticket, bytes) => return self.receive_body(ticket, &bytes),
            SessionEvent::ResponseEnd(ticket) => return self.end_response(now, conn, ticket),
            SessionEvent::Rejected(ticket, why, come_back) => {
                self.handle_rejection(now, conn, ticket, why, come_back)
            }
            SessionEvent::StateUpdate(state) => return self.handle_state_update(now, conn, state),
            SessionEvent::StateRequest(epoch, version) if self.is_cluster_peer(conn) => {
                self.send_peer_state(conn, epoch, version)
            }
            SessionEvent::StateRequest(epoch, version) => self.send_state(conn, epoch, version),
            SessionEvent::DirectFacts(facts) => self.handle_peer_entries(conn, facts),
            SessionEvent::GoAway => self.refresh_site_views(now),
        }
        Ok(())
    }

    pub(crate) fn peer_of_mut(&mut self, conn: ConnectionId) -> Option<&mut Peer> {
        let name = self.connections.get(&conn)?.peer.as_ref()?;
        self.peers.get_mut(name)
    }

    /// The other side has said who it is.
    fn handle_hello(&mut self, now: Ms, conn: ConnectionId, hello: Hello) -> Result<(), CloseReason> {
        let site = self.site_id(&hello.site).ok_or(CloseReason::UnknownSite)?;
        let fellow = site == self.own_site;
        if fellow && (self.peer_entries.is_none() || hello.epoch == self.epoch && hello.node == self.node) {
            return Err(CloseReason::OwnIdentity);
        }
        // A start that is yet to come would keep out all that follow.
        if hello.epoch as f64 > now * 1_000.0 + MAX_CLOCK_DIFFERENCE_US {
            return Err(CloseReason::InvalidEpoch);
        }
        // Two processes under one name are told apart among fellows: who holds the name is theirs to settle.
        let start = if fellow { format!("#{}", hello.epoch) } else { String::new() };
        let name = format!("{}/{}{start}", hello.site, hello.node);
        if fellow {
            let idle = |peer: &Peer| peer.site == site && peer.node == hello.node && peer.sessions.is_empty();
            self.peers.retain(|other, peer| *other == name || !idle(peer));
        }
        if !self.peers.contains_key(&name) {
            self.make_room_for_peer(now)?;
        }
        let horizon = self.config.attempt_ledger;
        let peer = self.peers.entry(name.clone()).or_insert_with(|| Peer {
            site,
            epoch: hello.epoch,
            received_attempts: ReceivedAttempts::new(horizon),
            state: ReceivedState::default(),
            sessions: Vec::new(),
            node: hello.node.clone(),
            last_received: now,
        });
        if !peer.received_attempts.accept_epoch(hello.epoch) {
            return Err(CloseReason::InvalidEpoch);
        }
        peer.last_received = now;
        let mut replaced = Vec::new();
        if hello.epoch > peer.epoch {
            // It has started again: what is still open to its start before leads nowhere.
            replaced.append(&mut peer.sessions);
            peer.epoch = hello.epoch;
        }
        peer.sessions.push(conn);
        let over = peer.sessions.len().saturating_sub(self.config.peers.max_connections);
        replaced.extend(peer.sessions.drain(..over));
        self.counts.ups += 1;
        if let Some(line) = self.connections.get_mut(&conn) {
            line.peer = Some(name.clone());
            if let Some(dialer) = line.dialer.and_then(|n| self.dialers.get_mut(n)) {
                dialer.backoff.record_up(now);
            }
        }
        for old in replaced {
            self.close_connection(now, old, CloseReason::Replaced);
        }
        let first = self.peers.get(&name).is_some_and(|peer| peer.sessions.len() == 1);
        if first {
            self.actions.push_back(Action::Log(format!("gateway: a connection with {name} is up")));
        }
        if fellow {
            let (name, start) = (hello.node, hello.epoch);
            if first {
                self.actions.push_back(Action::PeerLink { name, start, up: true });
            }
            // Only now it is known who it is, and what is known of it.
            if first {
                self.request_peer_state(conn);
            }
            return Ok(());
        }
        self.send_state(conn, hello.known_state.0, hello.known_state.1);
        self.refresh_site_views(now);
        self.query_outcomes(conn, Self::peer_start(&name, hello.epoch));
        Ok(())
    }

    /// Room for another gateway: of those that have not been heard of for longer than tokens are remembered, the one
    /// heard of longest ago is forgotten.
    fn make_room_for_peer(&mut self, now: Ms) -> Result<(), CloseReason> {
        if self.peers.len() < self.config.peers.max_gateways {
            return Ok(());
        }
        let span = self.config.attempt_ledger.retention;
        let idle = self.peers.iter().filter(|(_, p)| p.sessions.is_empty() && now - p.last_received > span);
        let oldest = idle
            .min_by(|(_, a), (_, b)| a.last_received.total_cmp(&b.last_received))
            .map(|(name, _)| name.clone());
        let oldest = oldest.ok_or(CloseReason::TooManyGateways)?;
        self.peers.remove(&oldest);
        Ok(())
    }

    // ---- What sites say of themselves.

    fn send_state(&mut self, conn: ConnectionId, epoch: u64, version: u64) {
        let Some(line) = self.connections.get_mut(&conn) else { return };
        let state = self.published.changes_since(epoch, version);
        line.session.sent_version = state.version;
        line.session.send(&Message::StateUpdate(state));
        self.request_write(conn);
    }

    /// Something holds at this site from now on.
    pub fn publish_fact(&mut self, now: Ms, about: FactKey, fact: FactValue) {
        if !self.published.publish(now, about, fact) {
            return;
        }
        let told = |(conn, line): (&ConnectionId, &SiteConnection)| (*conn, line.session.sent_version);
        let mut behind: Vec<(ConnectionId, u64)> =
            self.connections.iter().filter(|(_, line)| line.peer.is_some()).map(told).collect();
        behind.retain(|(conn, _)| !self.is_cluster_peer(*conn));
        for (conn, told) in behind {
            self.send_state(conn, self.epoch, told);
        }
    }

    fn handle_state_update(
        &mut self,
        now: Ms,
        conn: ConnectionId,
        state: StateUpdate,
    ) -> Result<(), CloseReason> {
        let most = self.config.peers.max_facts * 2;
        let fellow = self.is_cluster_peer(conn);
        let Some(peer) = self.peer_of_mut(conn) else { return Ok(()) };
        match peer.state.apply_update(now, state, most) {
            News::TooManyFacts => return Err(CloseReason::TooManyFacts),
            News::Applied(facts) if fellow => self.handle_peer_entries(conn, facts),
            News::Applied(facts) => {
                for (about, fact) in facts {
                    match about {
                        FactKey::Cache(_) | FactKey::Object(_) | FactKey::Group(_) => {
                            self.actions.push_back(Action::RemoteFact(about, fact));
                        }
                        FactKey::Site | FactKey::Operators | FactKey::PeerEntry(_) => {}
                    }
                }
                self.refresh_site_views(now);
            }
            News::Outdated => {}
            News::Missing(version) => {
                let epoch = peer.state.position().0;
                if let Some(line) = self.connections.get_mut(&conn) {
                    line.session.send(&Message::StateRequest(epoch, version));
                }
            }
        }
        Ok(())
    }

    // ---- Fellows.

    /// Whether requests can go to other sites at all.
    pub fn forwards_requests(&self) -> bool {
        self.site_names.len() > 1
    }

    fn is_cluster_peer(&self, conn: ConnectionId) -> bool {
        let name = self.connections.get(&conn).and_then(|line| line.peer.as_ref());
        name.and_then(|name| self.peers.get(name)).is_some_and(|peer| peer.site == self.own_site)
    }

    /// Has a fellow tell on that connection what is not known of it yet, and all that follows.
    fn request_peer_state(&mut self, conn: ConnectionId) {
        let (epoch, version) = self.peer_of_mut(conn).map_or((0, 0), |peer| peer.state.position());
        if let Some(line) = self.connections.get_mut(&conn) {
            line.session.send(&Message::StateRequest(epoch, version));
        }
        self.request_write(conn);
    }

    fn handle_peer_entries(&mut self, conn: ConnectionId, facts: Vec<(FactKey, FactValue)>) {
        let fellow = self.is_cluster_peer(conn);
        let Some(name) = self.peer_of_mut(conn).filter(|_| fellow).map(|peer| peer.node.clone()) else {
            return;
        };
        for (about, fact) in facts {
            if let (FactKey::PeerEntry(key), FactValue::PeerEntry(entry)) = (about, fact) {
                self.actions.push_back(Action::PeerEntry { name: name.clone(), key, entry });
            }
        }
    }

    /// Something is said to all fellows, and to those that come later.
    pub fn broadcast_to_peers(&mut self, now: Ms, said: Vec<(Vec<u8>, Vec<u8>)>) {
        let Some(own) = &mut self.peer_entries else { return };
        for (key, entry) in said {
            own.publish(now, FactKey::PeerEntry(key), FactValue::PeerEntry(entry));
        }
        let conns: Vec<ConnectionId> =
            self.connections.keys().copied().filter(|conn| self.is_cluster_peer(*conn)).collect();
        for conn in conns {
            // Who has not said yet what it knows is told once it does.
            let told = self
                .connections
                .get(&conn)
                .filter(|line| line.sends_peer_state)
                .map(|line| line.session.sent_version);
            if let Some(told) = told {
                self.send_peer_state(conn, self.epoch, told);
            }
        }
    }

    /// What fellows that come later need not be told any more.
    pub fn remove_peer_entry(&mut self, key: Vec<u8>) {
        if let Some(own) = &mut self.peer_entries {
            own.remove(&FactKey::PeerEntry(key));
        }
    }

    fn send_peer_state(&mut self, conn: ConnectionId, epoch: u64, version: u64) {
        let (Some(own), Some(line)) = (&self.peer_entries, self.connections.get_mut(&conn)) else { return };
        line.sends_peer_state = true;
        for piece in own.update_chunks(epoch, version, MAX_UPDATE_BYTES) {
            line.session.sent_version = piece.version;
            line.session.send(&Message::StateUpdate(piece));
        }
        self.request_write(conn);
    }

    /// Something is said to one fellow alone.
    pub fn send_to_peer(&mut self, name: &str, said: Vec<(Vec<u8>, Vec<u8>)>) {
        let peer = self.peers.values().filter(|peer| peer.site == self.own_site && peer.node == name);
        let Some(conn) = peer.filter_map(|peer| peer.sessions.first()).next().copied() else { return };
        let fact = |(key, entry)| (FactKey::PeerEntry(key), FactValue::PeerEntry(entry));
        if let Some(line) = self.connections.get_mut(&conn) {
            line.session.send(&Message::DirectFacts(said.into_iter().map(fact).collect()));
        }
        self.request_write(conn);
    }

    /// No links with fellows any more, neither dialled nor taken in.
    pub fn disconnect_peers(&mut self, now: Ms) {
        self.peer_entries = None;
        let conns: Vec<ConnectionId> =
            self.connections.keys().copied().filter(|conn| self.is_cluster_peer(*conn)).collect();
        conns.into_iter().for_each(|conn| self.close_connection(now, conn, CloseReason::Stopped));
        let own = &self.site_names[0];
        let waits = |dialer: &&mut Dialer| dialer.site == *own && matches!(dialer.state, Dialing::At(_));
        self.dialers.iter_mut().filter(waits).for_each(|dialer| dialer.state = Dialing::At(f64::INFINITY));
    }

    /// Whether another site says of a cache that it takes no new work.
    pub fn is_cache_barred(&self, cache: &str) -> bool {
        self.peers.values().any(|peer| peer.state.has_barred_cache(cache))
    }

    /// Looks over what is known of other sites now.
    pub(crate) fn refresh_site_views(&mut self, now: Ms) {
        let bound = self.config.peers.state_lifetime;
        for n in 1..self.site_names.len() {
            let site = SiteId(n as u16);
            let flaps =
                |dialer: &Dialer| dialer.site == self.site_names[n] && dialer.backoff.is_flapping(now);
            let flapping = self.dialers.iter().any(flaps);
            let mut view = SiteView {
                reachable: false,
                has_caches: false,
                has_origin: false,
                utilization: 1.0,
                drained: false,
                flapping,
            };
            for peer in self.peers.values().filter(|peer| peer.site == site) {
                let up = peer.sessions.iter().filter_map(|conn| self.connections.get(conn));
                let up = up.filter(|line| {
                    !line.session.is_leaving && line.session.heartbeat.all_received_until().is_some()
                });
                let up =
                    up.filter(|line| line.session.heartbeat.health(now) != LinkHealth::HalfOpen).count() > 0;
                if let Some(FactValue::Drained(true)) = peer.state.get(now, bound, &FactKey::Operators) {
                    view.drained = true;
                }
                let Some(FactValue::Load { utilization: used, caches, origin_reachable: origin }) =
                    peer.state.get(now, bound, &FactKey::Site)
                else {
                    continue;
                };
                if up {
                    view.reachable = true;
                    view.has_caches |= *caches > 0;
                    view.has_origin |= *origin;
                    view.utilization = view.utilization.min(*used);
                }
            }
            view.drained |= self.drained_sites.contains(&site);
            self.routing.update_site(now, site, view);
        }
        self.views_refreshed_at = now;
    }

    // ---- What the own site is told.

    /// How many caches of this site take new work, and the part of what it can carry that is in use.
    pub fn report_local_load(&mut self, now: Ms, caches: u32, used: f64) {
        self.local_capacity.set_listed_caches(caches);
        // Small moves are not worth a word to all.
        self.local_capacity.set_utilization((used * 20.0).round() / 20.0);
        self.publish_load(now);
    }

    fn publish_load(&mut self, now: Ms) {
        let view = self.local_capacity.view();
        let fact = FactValue::Load {
            utilization: view.utilization,
            caches: self.local_capacity.usable_caches(),
            origin_reachable: view.has_origin,
        };
        self.publish_fact(now, FactKey::Site, fact);
        self.routing.set_own_view(view);
    }

    /// How a request ended that was served at home, for a client of this site.
    pub fn record_local_outcome(&mut self, now: Ms, need: RequestKind, bad: bool) {
        self.local_capacity.record_outcome(now, need, bad);
        self.publish_load(now);
    }

    /// Whether the home is too far down for that now: then one that was refused there may go across.
    pub fn is_locally_unable(&self, need: RequestKind) -> bool {
        let view = self.local_capacity.view();
        match need {
            RequestKind::Read => !view.has_caches,
            RequestKind::Write => !view.has_origin,
        }
    }

    /// A site is to be left alone, or is back; false where there is none of that name.
    pub fn set_drained(&mut self, now: Ms, name: &str, drained: bool) -> bool {
        let Some(site) = self.site_id(name) else { return false };
        if site == self.own_site {
            self.local_capacity.set_drained(drained);
            self.publish_fact(now, FactKey::Operators, FactValue::Drained(drained));
            self.publish_load(now);
        } else if drained {
            self.drained_sites.insert(site);
        } else {
            self.drained_sites.remove(&site);
        }
        self.refresh_site_views(now);
        true
    }

    /// Nothing new is wanted from other sites; what is open goes on.
    pub fn begin_shutdown(&mut self) {
        self.is_stopping = true;
        let conns: Vec<ConnectionId> = self.connections.keys().copied().collect();
        for conn in conns {
            if let Some(line) = self.connections.get_mut(&conn) {
                line.session.send(&Message::GoAway);
            }
            self.request_write(conn);
        }
    }

    // ---- Time.

    /// All that is due by now.
    pub fn on_timer(&mut self, now: Ms) {
        let conns: Vec<ConnectionId> = self.connections.keys().copied().collect();
        for conn in conns {
            let Some(line) =
                self.connections.get_mut(&conn).filter(|line| line.session.next_deadline(now) <= now)
            else {
                continue;
            };
            match line.session.on_timer(now) {
                Ok(()) => self.request_write(conn),
                Err(why) => self.close_connection(now, conn, why),
            }
        }
        for n in 0..self.dialers.len() {
            if matches!(self.dialers[n].state, Dialing::At(at) if at <= now) && !self.is_stopping {
                self.dialers[n].state = Dialing::Pending;
                self.actions.push_back(Action::Dial(n));
            }
        }
        if now - self.views_refreshed_at >= VIEW_REFRESH_INTERVAL {
            self.refresh_site_views(now);
            let before = now - self.config.peers.purge_retention;
            self.published.expire(before);
            for peer in self.peers.values_mut() {
                peer.received_attempts.expire(now);
                peer.state.expire(before);
            }
            self.resume_waiting(now);
        }
        self.expire_requests(now);
        self.expire_writes(now);
    }

    /// When `tick` is due.
    pub fn next_deadline(&self, now: Ms) -> Ms {
        let sessions = self.connections.values().map(|line| line.session.next_deadline(now));
        let dials = self.dialers.iter().filter_map(|dialer| match dialer.state {
            Dialing::At(at) if !self.is_stopping => Some(at),
            _ => None,
        });
        let due = self
            .pending
            .next_deadline()
            .into_iter()
            .chain(self.sent_attempts.next_deadline())
            .chain(self.served.next_deadline());
        let look = (!self.connections.is_empty()).then_some(self.views_refreshed_at + VIEW_REFRESH_INTERVAL);
        sessions.chain(dials).chain(due).chain(look).fold(now + 1_000.0, f64::min).max(now)
    }

    // ---- For people.

    /// Where reads and writes go now.
    pub fn route_lines(&self, now: Ms) -> Vec<RouteLine> {
        let line = |need: RequestKind| {
            let write = need == RequestKind::Write;
            let able = |view: &SiteView| if write { view.has_origin } else { view.has_caches };
            let usable = |site: SiteId| {
                self.routing
                    .site_status(site)
                    .filter(|(v, ..)| v.reachable && !v.drained && able(v))
                    .is_some()
            };
            let sites = (1..self.site_names.len() as u16).map(SiteId).filter(|site| usable(*site));
            RouteLine {
                what: if write { "writes" } else { "reads" }.to_string(),
                home: !self.local_capacity.is_drained() && able(&self.local_capacity.view()),
                across: sites
                    .map(|site| {
                        (self.site_name(site).to_string(), self.routing.admitted_share(now, site, write))
                    })
                    .collect(),
            }
        };
        vec![line(RequestKind::Read), line(RequestKind::Write)]
    }

    /// How it stands with each other site.
    pub fn status(&self, now: Ms) -> Status {
        let site = |n: usize| {
            let site = SiteId(n as u16);
            let (view, shut, bad) =
                self.routing.site_status(site).unwrap_or((SiteView::default(), false, 0.0));
            let peers = self.peers.iter().filter(|(_, peer)| peer.site == site);
            let gateways = peers.map(|(name, peer)| GatewayLine {
                name: name.clone(),
                connections: peer
                    .sessions
                    .iter()
                    .filter_map(|c| self.connections.get(c))
                    .map(|l| l.shown(now))
                    .collect(),
                remembered: peer.received_attempts.retained().0 as u64,
            });
            let window = self.windows.get(&site);
            SiteLine {
                name: self.site_names[n].clone(),
                reachable: view.reachable,
                caches: view.has_caches,
                origin: view.has_origin,
                used: view.utilization,
                drained: view.drained,
                shut,
                flapping: view.flapping,
                bad,
                part: self.routing.admitted_share(now, site, false),
                part_writes: self.routing.admitted_share(now, site, true),
                window: window.map_or(0.0, ConcurrencyWindow::limit),
                out: window.map_or(0, ConcurrencyWindow::in_flight),
                gateways: gateways.collect(),
            }
        };
        let own = self.local_capacity.view();
        Status {
            site: self.site_names[0].clone(),
            node: self.node.clone(),
            epoch: self.epoch,
            caches: self.local_capacity.usable_caches(),
            origin: own.has_origin,
            used: own.utilization,
            drained: own.drained,
            sites: (1..self.site_names.len()).map(site).collect(),
            out: self.pending.len() as u64,
            uncertain: self.sent_attempts.uncertain_count() as u64,
            serving: self.served.len() as u64,
            counts: self.counts,
        }
    }
}

impl SiteConnection {
    fn shown(&self, now: Ms) -> ConnLine {
        let (out, serving) = self.session.open_streams();
        ConnLine {
            health: self.session.heartbeat.health(now).name().to_string(),
            trip: self.session.heartbeat.round_trip(),
            phi: self.session.heartbeat.phi(now),
            out: out as u64,
            serving: serving as u64,
            waiting: self.session.queued_bytes(),
        }
    }
}

/// A connection, as it is shown.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConnLine {
    #[serde(rename = "feel")]
    pub health: String,
    /// How long an answer to a ping takes, in milliseconds.
    pub trip: Ms,
    pub phi: f64,
    pub out: u64,
    pub serving: u64,
    /// Bytes that wait to be written.
    pub waiting: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GatewayLine {
    pub name: String,
    pub connections: Vec<ConnLine>,
    /// Tokens from there that are remembered.
    pub remembered: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SiteLine {
    pub name: String,
    pub reachable: bool,
    pub caches: bool,
    pub origin: bool,
    pub used: f64,
    pub drained: bool,
    pub shut: bool,
    pub flapping: bool,
    /// The share of what went there that ended badly.
    pub bad: f64,
    /// The part of the objects that may go there now, and that of writes.
    pub part: f64,
    pub part_writes: f64,
    /// Requests that may be under way there, and those that are.
    pub window: f64,
    pub out: u32,
    pub gateways: Vec<GatewayLine>,
}

/// Where a kind of requests goes: at home while home can, and else to those sites, with the part that each may get.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteLine {
    pub what: String,
    pub home: bool,
    pub across: Vec<(String, f64)>,
}

/// A gateway as it is shown.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub site: String,
    pub node: String,
    pub epoch: u64,
    pub caches: u32,
    pub origin: bool,
    pub used: f64,
    pub drained: bool,
    pub sites: Vec<SiteLine>,
    /// Requests that are across, those of them whose fate is open, and those of other sites that are here.
    pub out: u64,
    pub uncertain: u64,
    pub serving: u64,
    pub counts: GatewayCounts,
}

/// Why something that came was turned away, as a word for the log.
pub(crate) fn is_stale(why: RejectReason) -> bool {
    why == RejectReason::StateTooOld
}
