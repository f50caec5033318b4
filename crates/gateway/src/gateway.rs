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

use crate::across::{Across, AcrossRule};
use crate::codec::{Fields, Hello, Turned, Word, VERSIONS};
use crate::home::{Home, HomeRule, Need};
use crate::ledger::{Horizon, Sent, Taken, Ticket};
use crate::pulse::{Feel, Retry, RetryRule};
use crate::routes::{RouteRule, Routes, Site, View};
use crate::serving::Serving;
use crate::session::{Ended, Heard, Session, SessionRule};
use crate::site::{About, Fact, Heard as News, Other, Own, State};
use crate::transfer::Copy;
use crate::window::{Window, WindowRule};

/// A connection, by whoever owns the sockets.
pub type Conn = u64;

/// All that can be set of a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Rules {
    pub session: SessionRule,
    pub retry: RetryRule,
    pub routes: RouteRule,
    pub window: WindowRule,
    pub home: HomeRule,
    pub across: AcrossRule,
    pub horizon: Horizon,
    pub peers: PeerRule,
}

/// How other sites are known.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeerRule {
    /// Requests from another site are let in only while all that was known there so long ago is known here: its
    /// drains. 0 lets all in.
    pub fresh: Ms,
    /// What a site said longer ago counts for nothing.
    pub bound: Ms,
    /// Facts kept of the own site, and how long purges are told to those that come back.
    pub facts: usize,
    pub purges: Ms,
    /// Gateways of other sites, connections with one of them, and those that were taken in.
    pub gateways: usize,
    pub connections: usize,
    pub accepted: usize,
}

impl Default for PeerRule {
    fn default() -> Self {
        Self {
            fresh: 200.0,
            bound: 3_000.0,
            facts: 8_192,
            purges: 600_000.0,
            gateways: 64,
            connections: 4,
            accepted: 32,
        }
    }
}

/// A gateway at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Setup {
    pub site: String,
    /// The names of the other sites.
    pub others: Vec<String>,
    /// Its own name among the gateways of its site.
    pub node: String,
    /// When its process started, in Unix microseconds: greater with each start.
    pub epoch: u64,
    pub seed: u64,
    /// The sites that connections are kept up to, one entry for each.
    pub dials: Vec<String>,
    /// Whether routers of the own site are fellows, and may connect.
    pub fellows: bool,
    pub rules: Rules,
}

/// An answer that somebody gave.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    Served {
        head: Fields,
        body: Bytes,
        copy: Option<Copy>,
    },
    /// It never ran, and may come again after that long (0 = not told).
    Refused {
        wait: Ms,
    },
    /// Nothing is promised.
    Failed,
}

/// A request from another site.
#[derive(Debug, Clone, PartialEq)]
pub struct Came {
    pub ticket: Ticket,
    pub head: Fields,
    pub body: Bytes,
    /// How long its answer may take.
    pub left: Ms,
    pub passed: Vec<String>,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// A connection is to be made, for that entry of the dials.
    Dial(usize),
    Close(Conn, Ended),
    /// Something may be pulled for it.
    Write(Conn),
    /// A request of this site is to be served at home.
    Home(Ticket),
    /// Its one final answer.
    Answer(Ticket, Reply),
    /// A request from another site is to be served; it is owed one `reply`.
    Serve(Came),
    /// Nobody waits for it any more.
    CallOff(Ticket),
    /// Another site says something that counts here too.
    Heard(About, Fact),
    /// The first connection with a fellow of that start is up, or the last one is down.
    Fellow {
        name: String,
        start: u64,
        up: bool,
    },
    /// A fellow says something: key and entry.
    Said {
        name: String,
        key: Vec<u8>,
        entry: Vec<u8>,
    },
    Note(String),
}

/// The first ticket of requests from other sites: whoever names requests of its own stays below.
pub const FOREIGN: Ticket = 1 << 54;

/// Another gateway.
#[derive(Debug)]
pub(crate) struct Peer {
    pub site: Site,
    pub epoch: u64,
    pub taken: Taken,
    pub known: Other,
    pub sessions: Vec<Conn>,
    /// Its name within its site.
    node: String,
    seen: Ms,
}

#[derive(Debug)]
struct Dialer {
    site: String,
    retry: Retry,
    state: Dialing,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Dialing {
    At(Ms),
    Pending,
    Up(Conn),
}

#[derive(Debug)]
pub(crate) struct Line {
    pub session: Session,
    /// The other gateway, once it has said who it is.
    pub peer: Option<String>,
    dialer: Option<usize>,
    /// A fellow wants to be told here what is said: on one connection of several.
    tells: bool,
}

/// Counts for people.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
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
    pub(crate) rules: Rules,
    pub(crate) me: Site,
    names: Vec<String>,
    node: String,
    pub(crate) epoch: u64,
    chance: Pcg64Mcg,
    dialers: Vec<Dialer>,
    pub(crate) lines: BTreeMap<Conn, Line>,
    pub(crate) peers: BTreeMap<String, Peer>,
    own: Own,
    /// What is said to fellows; nothing where there are none.
    fellows: Option<Own>,
    pub(crate) home: Home,
    pub(crate) routes: Routes,
    pub(crate) windows: BTreeMap<Site, Window>,
    pub(crate) sent: Sent,
    pub(crate) across: Across,
    pub(crate) serving: Serving,
    /// Sites that the operators of this one want left alone.
    left_alone: BTreeSet<Site>,
    pub(crate) stopping: bool,
    looked: Ms,
    pub(crate) actions: VecDeque<Action>,
    pub counts: Counts,
}

/// By how much the clocks of two sites may differ at the most, in microseconds, as starts are told in.
const DAY: f64 = 86_400e6;

/// Bytes of what is told to a fellow in one frame.
const PIECE: usize = 128 << 10;

/// How often the views of other sites are looked over.
const LOOK: Ms = 50.0;

impl Gateway {
    pub fn new(now: Ms, setup: Setup) -> Self {
        let rules = setup.rules;
        let mut names = vec![setup.site];
        names.extend(setup.others);
        let retry = || Retry::new(rules.retry, rules.session.pulse);
        let dialers = setup.dials.into_iter();
        let dialers = dialers.map(|site| Dialer { site, retry: retry(), state: Dialing::At(now) }).collect();
        let me = Site(0);
        let sites = (1..names.len()).map(|n| Site(n as u16));
        Self {
            rules,
            me,
            windows: sites.map(|site| (site, Window::new(rules.window))).collect(),
            names,
            node: setup.node,
            epoch: setup.epoch,
            chance: Pcg64Mcg::seed_from_u64(setup.seed),
            dialers,
            lines: BTreeMap::new(),
            peers: BTreeMap::new(),
            own: Own::new(setup.epoch, rules.peers.facts),
            fellows: setup.fellows.then(|| Own::new(setup.epoch, usize::MAX)),
            home: Home::new(rules.home),
            routes: Routes::new(me, rules.routes),
            sent: Sent::new(setup.epoch, rules.across.attempts),
            across: Across::default(),
            serving: Serving::default(),
            left_alone: BTreeSet::new(),
            stopping: false,
            looked: now,
            actions: VecDeque::new(),
            counts: Counts::default(),
        }
    }

    /// What is to be done next.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// The number of a site that the setup names.
    pub fn site(&self, name: &str) -> Option<Site> {
        self.names.iter().position(|known| known == name).map(|n| Site(n as u16))
    }

    pub fn site_name(&self, site: Site) -> &str {
        self.names.get(usize::from(site.0)).map_or("?", String::as_str)
    }

    /// Sites by name; one that is not known still counts as passed.
    pub(crate) fn sites(&self, names: &[String]) -> Vec<Site> {
        names.iter().map(|name| self.site(name).unwrap_or(Site(u16::MAX))).collect()
    }

    /// Names one start of another gateway.
    pub(crate) fn peer_start(name: &str, epoch: u64) -> u64 {
        xxh3_64_with_seed(name.as_bytes(), epoch)
    }

    // ---- Connections.

    /// A connection is up: one that was dialled for that entry, or one that was taken in.
    pub fn opened(&mut self, now: Ms, conn: Conn, dialer: Option<usize>) {
        let accepted = self.lines.values().filter(|line| line.dialer.is_none()).count();
        if dialer.is_none() && accepted >= self.rules.peers.accepted {
            return self.actions.push_back(Action::Close(conn, Ended::Peers));
        }
        if let Some(dialer) = dialer.and_then(|n| self.dialers.get_mut(n)) {
            dialer.state = Dialing::Up(conn);
        }
        let mut session = Session::new(now, self.rules.session);
        // Whoever dials says what it knows of the other's state; who was dialled learns who it is first.
        let site = dialer.and_then(|n| self.dialers.get(n)).map(|dialer| dialer.site.clone());
        let site = site.and_then(|name| self.site(&name));
        let known = self.peers.values().find(|peer| Some(peer.site) == site);
        session.say(&Word::Hello(Hello {
            versions: VERSIONS,
            site: self.names[0].clone(),
            node: self.node.clone(),
            epoch: self.epoch,
            known: known.map_or((0, 0), |peer| peer.known.known()),
            proof: Vec::new(),
        }));
        if self.stopping {
            session.say(&Word::Leave);
        }
        self.lines.insert(conn, Line { session, peer: None, dialer, tells: false });
        self.actions.push_back(Action::Write(conn));
    }

    /// A connection could not be made.
    pub fn dial_failed(&mut self, now: Ms, dialer: usize) {
        let draw = self.chance.random::<f64>();
        let alone = self.fellows.is_none();
        if let Some(dialer) = self.dialers.get_mut(dialer) {
            let never = alone && dialer.site == self.names[0];
            let at = dialer.retry.down(now, draw);
            dialer.state = Dialing::At(if never { f64::INFINITY } else { at });
        }
    }

    /// A connection has ended by itself.
    pub fn closed(&mut self, now: Ms, conn: Conn) {
        self.drop_line(now, conn, Ended::Closed);
    }

    /// Ends a connection from this side.
    pub(crate) fn close(&mut self, now: Ms, conn: Conn, why: Ended) {
        if self.lines.contains_key(&conn) {
            self.actions.push_back(Action::Close(conn, why));
            self.drop_line(now, conn, why);
        }
    }

    fn drop_line(&mut self, now: Ms, conn: Conn, why: Ended) {
        let Some(line) = self.lines.remove(&conn) else { return };
        self.counts.body_bytes += line.session.body_bytes;
        let greeted = line.peer.is_some();
        if let Some(n) = line.dialer {
            self.dial_failed(now, n);
        }
        let (mut last, mut asks) = (false, None);
        let me = self.me;
        if let Some(peer) = line.peer.as_ref().and_then(|name| self.peers.get_mut(name)) {
            peer.sessions.retain(|other| *other != conn);
            last = peer.sessions.is_empty();
            let other = peer.sessions.first().copied().filter(|_| peer.site == me);
            if last && peer.site == me {
                let (name, start) = (peer.node.clone(), peer.epoch);
                self.actions.push_back(Action::Fellow { name, start, up: false });
            }
            if let Some(window) = self.windows.get_mut(&peer.site).filter(|_| last) {
                window.reset();
            }
            asks = other;
        }
        asks.into_iter().for_each(|other| self.ask_fellow(other));
        if greeted {
            self.counts.downs += 1;
            let peer = line.peer.as_deref().unwrap_or_default();
            let open = line.session.open_streams();
            self.actions.push_back(Action::Note(format!(
                "gateway: a connection with {peer} is down, {} requests out and {} from there: {why}{}",
                open.0,
                open.1,
                if last { "; it was the last one" } else { "" }
            )));
        } else if why != Ended::Closed {
            self.actions.push_back(Action::Note(format!("gateway: a connection is closed: {why}")));
        }
        self.look(now);
        self.lost_serving(conn);
        self.lost_across(now, conn, line.session.tickets());
    }

    /// Takes in bytes of a connection.
    pub fn came(&mut self, now: Ms, conn: Conn, bytes: &[u8]) {
        let Some(line) = self.lines.get_mut(&conn) else { return };
        let mut heard = Vec::new();
        let outcome = line.session.came(now, bytes, &mut heard);
        if let Some(peer) = line.peer.as_ref().and_then(|name| self.peers.get_mut(name)) {
            peer.seen = now;
            peer.known.alive(now);
        }
        for word in heard {
            if let Err(why) = self.hear(now, conn, word) {
                return self.close(now, conn, why);
            }
        }
        match outcome {
            Ok(()) => self.wants_write(conn),
            Err(why) => self.close(now, conn, why),
        }
    }

    pub(crate) fn wants_write(&mut self, conn: Conn) {
        if self.lines.get(&conn).is_some_and(|line| line.session.has_output()) {
            self.actions.push_back(Action::Write(conn));
        }
    }

    /// What is to be written on a connection next, up to about that much.
    pub fn pull(&mut self, conn: Conn, room: usize, into: &mut BytesMut) {
        if let Some(line) = self.lines.get_mut(&conn) {
            line.session.pull(room, into);
        }
    }

    /// So many bytes of what was pulled were handed to the system.
    pub fn wrote(&mut self, conn: Conn, bytes: usize) {
        let whole = self.lines.get_mut(&conn).map(|line| line.session.wrote(bytes)).unwrap_or_default();
        whole.into_iter().for_each(|token| self.sent.written(token));
    }

    fn hear(&mut self, now: Ms, conn: Conn, word: Heard) -> Result<(), Ended> {
        match word {
            Heard::Hello(hello) => return self.greet(now, conn, hello),
            Heard::Open(stream, open) => self.open_came(now, conn, stream, *open),
            Heard::Cancelled(stream) => self.cancelled(conn, stream),
            Heard::Ask(token) => {
                let Some(peer) = self.peer_of(conn) else { return Ok(()) };
                let fate = peer.taken.ask(now, token);
                if let Some(line) = self.lines.get_mut(&conn) {
                    line.session.say(&Word::Told(token, fate));
                }
            }
            Heard::Told(token, fate) => self.told(now, conn, token, fate),
            Heard::Begins(ticket, begins) => return self.begins(now, conn, ticket, *begins),
            Heard::Bytes(ticket, bytes) => return self.bytes_came(ticket, &bytes),
            Heard::End(ticket) => return self.ends(now, conn, ticket),
            Heard::Never(ticket, why, come_back) => self.never(now, conn, ticket, why, come_back),
            Heard::State(state) => return self.state_came(now, conn, state),
            Heard::Behind(epoch, version) if self.is_fellow(conn) => self.tell_fellow(conn, epoch, version),
            Heard::Behind(epoch, version) => self.tell_state(conn, epoch, version),
            Heard::Direct(facts) => self.fellow_says(conn, facts),
            Heard::Leave => self.look(now),
        }
        Ok(())
    }

    pub(crate) fn peer_of(&mut self, conn: Conn) -> Option<&mut Peer> {
        let name = self.lines.get(&conn)?.peer.as_ref()?;
        self.peers.get_mut(name)
    }

    /// The other side has said who it is.
    fn greet(&mut self, now: Ms, conn: Conn, hello: Hello) -> Result<(), Ended> {
        let site = self.site(&hello.site).ok_or(Ended::Stranger)?;
        let fellow = site == self.me;
        if fellow && (self.fellows.is_none() || hello.epoch == self.epoch && hello.node == self.node) {
            return Err(Ended::Itself);
        }
        // A start that is yet to come would keep out all that follow.
        if hello.epoch as f64 > now * 1_000.0 + DAY {
            return Err(Ended::Epoch);
        }
        // Two processes under one name are told apart among fellows: who holds the name is theirs to settle.
        let start = if fellow { format!("#{}", hello.epoch) } else { String::new() };
        let name = format!("{}/{}{start}", hello.site, hello.node);
        if fellow {
            let idle = |peer: &Peer| peer.site == site && peer.node == hello.node && peer.sessions.is_empty();
            self.peers.retain(|other, peer| *other == name || !idle(peer));
        }
        if !self.peers.contains_key(&name) {
            self.make_place(now)?;
        }
        let horizon = self.rules.horizon;
        let peer = self.peers.entry(name.clone()).or_insert_with(|| Peer {
            site,
            epoch: hello.epoch,
            taken: Taken::new(horizon),
            known: Other::default(),
            sessions: Vec::new(),
            node: hello.node.clone(),
            seen: now,
        });
        if !peer.taken.hello(hello.epoch) {
            return Err(Ended::Epoch);
        }
        peer.seen = now;
        let mut replaced = Vec::new();
        if hello.epoch > peer.epoch {
            // It has started again: what is still open to its start before leads nowhere.
            replaced.append(&mut peer.sessions);
            peer.epoch = hello.epoch;
        }
        peer.sessions.push(conn);
        let over = peer.sessions.len().saturating_sub(self.rules.peers.connections);
        replaced.extend(peer.sessions.drain(..over));
        self.counts.ups += 1;
        if let Some(line) = self.lines.get_mut(&conn) {
            line.peer = Some(name.clone());
            if let Some(dialer) = line.dialer.and_then(|n| self.dialers.get_mut(n)) {
                dialer.retry.up(now);
            }
        }
        for old in replaced {
            self.close(now, old, Ended::Replaced);
        }
        let first = self.peers.get(&name).is_some_and(|peer| peer.sessions.len() == 1);
        if first {
            self.actions.push_back(Action::Note(format!("gateway: a connection with {name} is up")));
        }
        if fellow {
            let (name, start) = (hello.node, hello.epoch);
            if first {
                self.actions.push_back(Action::Fellow { name, start, up: true });
            }
            // Only now it is known who it is, and what is known of it.
            if first {
                self.ask_fellow(conn);
            }
            return Ok(());
        }
        self.tell_state(conn, hello.known.0, hello.known.1);
        self.look(now);
        self.found(conn, Self::peer_start(&name, hello.epoch));
        Ok(())
    }

    /// Room for another gateway: of those that have not been heard of for longer than tokens are remembered, the one
    /// heard of longest ago is forgotten.
    fn make_place(&mut self, now: Ms) -> Result<(), Ended> {
        if self.peers.len() < self.rules.peers.gateways {
            return Ok(());
        }
        let span = self.rules.horizon.span;
        let idle = self.peers.iter().filter(|(_, p)| p.sessions.is_empty() && now - p.seen > span);
        let oldest = idle.min_by(|(_, a), (_, b)| a.seen.total_cmp(&b.seen)).map(|(name, _)| name.clone());
        let oldest = oldest.ok_or(Ended::Peers)?;
        self.peers.remove(&oldest);
        Ok(())
    }

    // ---- What sites say of themselves.

    fn tell_state(&mut self, conn: Conn, epoch: u64, version: u64) {
        let Some(line) = self.lines.get_mut(&conn) else { return };
        let state = self.own.since(epoch, version);
        line.session.told = state.version;
        line.session.say(&Word::State(state));
        self.wants_write(conn);
    }

    /// Something holds at this site from now on.
    pub fn say(&mut self, now: Ms, about: About, fact: Fact) {
        if !self.own.say(now, about, fact) {
            return;
        }
        let told = |(conn, line): (&Conn, &Line)| (*conn, line.session.told);
        let mut behind: Vec<(Conn, u64)> =
            self.lines.iter().filter(|(_, line)| line.peer.is_some()).map(told).collect();
        behind.retain(|(conn, _)| !self.is_fellow(*conn));
        for (conn, told) in behind {
            self.tell_state(conn, self.epoch, told);
        }
    }

    fn state_came(&mut self, now: Ms, conn: Conn, state: State) -> Result<(), Ended> {
        let most = self.rules.peers.facts * 2;
        let fellow = self.is_fellow(conn);
        let Some(peer) = self.peer_of(conn) else { return Ok(()) };
        match peer.known.hear(now, state, most) {
            News::TooMuch => return Err(Ended::State),
            News::New(facts) if fellow => self.fellow_says(conn, facts),
            News::New(facts) => {
                for (about, fact) in facts {
                    match about {
                        About::Cache(_) | About::Object(_) | About::Group(_) => {
                            self.actions.push_back(Action::Heard(about, fact));
                        }
                        About::Site | About::Operators | About::Fellow(_) => {}
                    }
                }
                self.look(now);
            }
            News::Old => {}
            News::Gap(version) => {
                let epoch = peer.known.known().0;
                if let Some(line) = self.lines.get_mut(&conn) {
                    line.session.say(&Word::Behind(epoch, version));
                }
            }
        }
        Ok(())
    }

    // ---- Fellows.

    /// Whether requests can go to other sites at all.
    pub fn crosses(&self) -> bool {
        self.names.len() > 1
    }

    fn is_fellow(&self, conn: Conn) -> bool {
        let name = self.lines.get(&conn).and_then(|line| line.peer.as_ref());
        name.and_then(|name| self.peers.get(name)).is_some_and(|peer| peer.site == self.me)
    }

    /// Has a fellow tell on that connection what is not known of it yet, and all that follows.
    fn ask_fellow(&mut self, conn: Conn) {
        let (epoch, version) = self.peer_of(conn).map_or((0, 0), |peer| peer.known.known());
        if let Some(line) = self.lines.get_mut(&conn) {
            line.session.say(&Word::Behind(epoch, version));
        }
        self.wants_write(conn);
    }

    fn fellow_says(&mut self, conn: Conn, facts: Vec<(About, Fact)>) {
        let fellow = self.is_fellow(conn);
        let Some(name) = self.peer_of(conn).filter(|_| fellow).map(|peer| peer.node.clone()) else { return };
        for (about, fact) in facts {
            if let (About::Fellow(key), Fact::Fellow(entry)) = (about, fact) {
                self.actions.push_back(Action::Said { name: name.clone(), key, entry });
            }
        }
    }

    /// Something is said to all fellows, and to those that come later.
    pub fn tell_fellows(&mut self, now: Ms, said: Vec<(Vec<u8>, Vec<u8>)>) {
        let Some(own) = &mut self.fellows else { return };
        for (key, entry) in said {
            own.say(now, About::Fellow(key), Fact::Fellow(entry));
        }
        let conns: Vec<Conn> = self.lines.keys().copied().filter(|conn| self.is_fellow(*conn)).collect();
        for conn in conns {
            // Who has not said yet what it knows is told once it does.
            let told = self.lines.get(&conn).filter(|line| line.tells).map(|line| line.session.told);
            if let Some(told) = told {
                self.tell_fellow(conn, self.epoch, told);
            }
        }
    }

    /// What fellows that come later need not be told any more.
    pub fn drop_fellows(&mut self, key: Vec<u8>) {
        if let Some(own) = &mut self.fellows {
            own.remove(&About::Fellow(key));
        }
    }

    fn tell_fellow(&mut self, conn: Conn, epoch: u64, version: u64) {
        let (Some(own), Some(line)) = (&self.fellows, self.lines.get_mut(&conn)) else { return };
        line.tells = true;
        for piece in own.pieces(epoch, version, PIECE) {
            line.session.told = piece.version;
            line.session.say(&Word::State(piece));
        }
        self.wants_write(conn);
    }

    /// Something is said to one fellow alone.
    pub fn tell_fellow_alone(&mut self, name: &str, said: Vec<(Vec<u8>, Vec<u8>)>) {
        let peer = self.peers.values().filter(|peer| peer.site == self.me && peer.node == name);
        let Some(conn) = peer.filter_map(|peer| peer.sessions.first()).next().copied() else { return };
        let fact = |(key, entry)| (About::Fellow(key), Fact::Fellow(entry));
        if let Some(line) = self.lines.get_mut(&conn) {
            line.session.say(&Word::Direct(said.into_iter().map(fact).collect()));
        }
        self.wants_write(conn);
    }

    /// No links with fellows any more, neither dialled nor taken in.
    pub fn leave_fellows(&mut self, now: Ms) {
        self.fellows = None;
        let conns: Vec<Conn> = self.lines.keys().copied().filter(|conn| self.is_fellow(*conn)).collect();
        conns.into_iter().for_each(|conn| self.close(now, conn, Ended::Stopped));
        let own = &self.names[0];
        let waits = |dialer: &&mut Dialer| dialer.site == *own && matches!(dialer.state, Dialing::At(_));
        self.dialers.iter_mut().filter(waits).for_each(|dialer| dialer.state = Dialing::At(f64::INFINITY));
    }

    /// Whether another site says of a cache that it takes no new work.
    pub fn bars(&self, cache: &str) -> bool {
        self.peers.values().any(|peer| peer.known.bars(cache))
    }

    /// Looks over what is known of other sites now.
    pub(crate) fn look(&mut self, now: Ms) {
        let bound = self.rules.peers.bound;
        for n in 1..self.names.len() {
            let site = Site(n as u16);
            let flaps = |dialer: &Dialer| dialer.site == self.names[n] && dialer.retry.flaps(now);
            let flapping = self.dialers.iter().any(flaps);
            let mut view = View {
                reachable: false,
                caches: false,
                origin: false,
                used: 1.0,
                drained: false,
                flaps: flapping,
            };
            for peer in self.peers.values().filter(|peer| peer.site == site) {
                let up = peer.sessions.iter().filter_map(|conn| self.lines.get(conn));
                let up = up.filter(|line| !line.session.leaving && line.session.pulse.proven().is_some());
                let up = up.filter(|line| line.session.pulse.feel(now) != Feel::HalfOpen).count() > 0;
                if let Some(Fact::Drained(true)) = peer.known.get(now, bound, &About::Operators) {
                    view.drained = true;
                }
                let Some(Fact::Load { used, caches, origin }) = peer.known.get(now, bound, &About::Site)
                else {
                    continue;
                };
                if up {
                    view.reachable = true;
                    view.caches |= *caches > 0;
                    view.origin |= *origin;
                    view.used = view.used.min(*used);
                }
            }
            view.drained |= self.left_alone.contains(&site);
            self.routes.see(now, site, view);
        }
        self.looked = now;
    }

    // ---- What the own site is told.

    /// How many caches of this site take new work, and the part of what it can carry that is in use.
    pub fn own(&mut self, now: Ms, caches: u32, used: f64) {
        self.home.listed(caches);
        // Small moves are not worth a word to all.
        self.home.loaded((used * 20.0).round() / 20.0);
        self.tell_own(now);
    }

    fn tell_own(&mut self, now: Ms) {
        let view = self.home.view();
        let fact = Fact::Load { used: view.used, caches: self.home.caches(), origin: view.origin };
        self.say(now, About::Site, fact);
        self.routes.own(view);
    }

    /// How a request ended that was served at home, for a client of this site.
    pub fn ended_at_home(&mut self, now: Ms, need: Need, bad: bool) {
        self.home.ended(now, need, bad);
        self.tell_own(now);
    }

    /// Whether the home is too far down for that now: then one that was refused there may go across.
    pub fn home_is_unable(&self, need: Need) -> bool {
        let view = self.home.view();
        match need {
            Need::Read => !view.caches,
            Need::Write => !view.origin,
        }
    }

    /// A site is to be left alone, or is back; false where there is none of that name.
    pub fn drain(&mut self, now: Ms, name: &str, drained: bool) -> bool {
        let Some(site) = self.site(name) else { return false };
        if site == self.me {
            self.home.drain(drained);
            self.say(now, About::Operators, Fact::Drained(drained));
            self.tell_own(now);
        } else if drained {
            self.left_alone.insert(site);
        } else {
            self.left_alone.remove(&site);
        }
        self.look(now);
        true
    }

    /// Nothing new is wanted from other sites; what is open goes on.
    pub fn stop(&mut self) {
        self.stopping = true;
        let conns: Vec<Conn> = self.lines.keys().copied().collect();
        for conn in conns {
            if let Some(line) = self.lines.get_mut(&conn) {
                line.session.say(&Word::Leave);
            }
            self.wants_write(conn);
        }
    }

    // ---- Time.

    /// All that is due by now.
    pub fn tick(&mut self, now: Ms) {
        let conns: Vec<Conn> = self.lines.keys().copied().collect();
        for conn in conns {
            let Some(line) = self.lines.get_mut(&conn).filter(|line| line.session.next(now) <= now) else {
                continue;
            };
            match line.session.tick(now) {
                Ok(()) => self.wants_write(conn),
                Err(why) => self.close(now, conn, why),
            }
        }
        for n in 0..self.dialers.len() {
            if matches!(self.dialers[n].state, Dialing::At(at) if at <= now) && !self.stopping {
                self.dialers[n].state = Dialing::Pending;
                self.actions.push_back(Action::Dial(n));
            }
        }
        if now - self.looked >= LOOK {
            self.look(now);
            let before = now - self.rules.peers.purges;
            self.own.forget(before);
            for peer in self.peers.values_mut() {
                peer.taken.expire(now);
                peer.known.forget(before);
            }
            self.resume(now);
        }
        self.tick_across(now);
        self.tick_serving(now);
    }

    /// When `tick` is due.
    pub fn next(&self, now: Ms) -> Ms {
        let sessions = self.lines.values().map(|line| line.session.next(now));
        let dials = self.dialers.iter().filter_map(|dialer| match dialer.state {
            Dialing::At(at) if !self.stopping => Some(at),
            _ => None,
        });
        let due = self.across.next().into_iter().chain(self.sent.next()).chain(self.serving.next());
        let look = (!self.lines.is_empty()).then_some(self.looked + LOOK);
        sessions.chain(dials).chain(due).chain(look).fold(now + 1_000.0, f64::min).max(now)
    }

    // ---- For people.

    /// Where reads and writes go now.
    pub fn shown_routes(&self, now: Ms) -> Vec<RouteLine> {
        let line = |need: Need| {
            let write = need == Need::Write;
            let able = |view: &View| if write { view.origin } else { view.caches };
            let usable = |site: Site| {
                self.routes.known(site).filter(|(v, ..)| v.reachable && !v.drained && able(v)).is_some()
            };
            let sites = (1..self.names.len() as u16).map(Site).filter(|site| usable(*site));
            RouteLine {
                what: if write { "writes" } else { "reads" }.to_string(),
                home: !self.home.is_drained() && able(&self.home.view()),
                across: sites
                    .map(|site| (self.site_name(site).to_string(), self.routes.part(now, site, write)))
                    .collect(),
            }
        };
        vec![line(Need::Read), line(Need::Write)]
    }

    /// How it stands with each other site.
    pub fn status(&self, now: Ms) -> Status {
        let site = |n: usize| {
            let site = Site(n as u16);
            let (view, shut, bad) = self.routes.known(site).unwrap_or((View::default(), false, 0.0));
            let peers = self.peers.iter().filter(|(_, peer)| peer.site == site);
            let gateways = peers.map(|(name, peer)| GatewayLine {
                name: name.clone(),
                connections: peer
                    .sessions
                    .iter()
                    .filter_map(|c| self.lines.get(c))
                    .map(|l| l.shown(now))
                    .collect(),
                remembered: peer.taken.kept().0 as u64,
            });
            let window = self.windows.get(&site);
            SiteLine {
                name: self.names[n].clone(),
                reachable: view.reachable,
                caches: view.caches,
                origin: view.origin,
                used: view.used,
                drained: view.drained,
                shut,
                flapping: view.flaps,
                bad,
                part: self.routes.part(now, site, false),
                part_writes: self.routes.part(now, site, true),
                window: window.map_or(0.0, Window::limit),
                out: window.map_or(0, Window::out),
                gateways: gateways.collect(),
            }
        };
        let own = self.home.view();
        Status {
            site: self.names[0].clone(),
            node: self.node.clone(),
            epoch: self.epoch,
            caches: self.home.caches(),
            origin: own.origin,
            used: own.used,
            drained: own.drained,
            sites: (1..self.names.len()).map(site).collect(),
            out: self.across.len() as u64,
            uncertain: self.sent.uncertain() as u64,
            serving: self.serving.len() as u64,
            counts: self.counts,
        }
    }
}

impl Line {
    fn shown(&self, now: Ms) -> ConnLine {
        let (out, serving) = self.session.open_streams();
        ConnLine {
            feel: self.session.pulse.feel(now).name().to_string(),
            trip: self.session.pulse.trip(),
            phi: self.session.pulse.phi(now),
            out: out as u64,
            serving: serving as u64,
            waiting: self.session.waiting(),
        }
    }
}

/// A connection, as it is shown.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConnLine {
    pub feel: String,
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
    pub counts: Counts,
}

/// Why something that came was turned away, as a word for the log.
pub(crate) fn is_stale(why: Turned) -> bool {
    why == Turned::Stale
}
