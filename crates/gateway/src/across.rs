//! Owns the requests of this gateway that are served at other sites, from the choice of the site to the one answer.
//!
//! Must never have two attempts of one request open, send one again that may have run and does harm, or keep an
//! answer back that is decided.

use std::collections::{BTreeMap, BTreeSet};

use bytes::{Bytes, BytesMut};
use linnethook::interface::Ms;

use crate::codec::{Begins, Fields, Open, Turned};
use crate::gateway::{Action, Conn, Gateway, Reply};
use crate::home::Need;
use crate::ledger::{Fate, Ticket, Token, Verdict};
use crate::routes::{Route, Site, Why, Wish};
use crate::serving::Kept;
use crate::session::Ended;
use crate::streams::Priority;
use crate::transfer::{Copy, Fit, Next, Transfer};

/// How requests cross.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AcrossRule {
    /// Attempts with tokens that may be open, and requests of other sites that may be here.
    pub attempts: usize,
    pub guests: usize,
    /// A further try needs at least so much time.
    pub least: Ms,
    /// So often a body that stopped is asked for again.
    pub tries: u32,
    /// For how long one that stopped may wait for a link, how many may, and the bytes that all may hold.
    pub wait: Ms,
    pub waiting: usize,
    pub bytes: usize,
    /// How many of these go on at each look once a link is back.
    pub resumed: usize,
    /// Whether a body that stopped goes on from where it stopped.
    pub resumes: bool,
    /// Whether what is uncertain is asked after; else it is failed at once, as a plain gateway does.
    pub asks: bool,
    /// The longest answer, and how long its writing may take.
    pub answer: u64,
    pub writing: Ms,
    /// When a refused client may come again, where nothing better is known.
    pub come_back: Ms,
}

impl Default for AcrossRule {
    fn default() -> Self {
        Self {
            attempts: 4_096,
            guests: 1_024,
            least: 100.0,
            tries: 4,
            wait: 1_000.0,
            waiting: 256,
            bytes: 32 << 20,
            resumed: 4,
            resumes: true,
            asks: true,
            answer: 262_144,
            writing: 60_000.0,
            come_back: 500.0,
        }
    }
}

/// A request that looks for a site.
#[derive(Debug, Clone, PartialEq)]
pub struct Wanted {
    pub object: u64,
    /// It runs at the origin.
    pub write: bool,
    /// A second run would be harm.
    pub harmful: bool,
    /// The site at which its class is at home; `None` for this one.
    pub home: Option<Site>,
    pub priority: Priority,
    /// Within what time it is wanted, and by when it must have its answer.
    pub aim: Ms,
    pub deadline: Ms,
    /// The names of the sites that it has passed.
    pub passed: Vec<String>,
    pub head: Fields,
    pub body: Bytes,
}

impl Wanted {
    pub fn need(&self) -> Need {
        if self.write {
            Need::Write
        } else {
            Need::Read
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    /// On a stream of that connection.
    Out(Conn, Site),
    /// It has a token whose fate is to be told.
    Uncertain(Site),
    /// Its body stopped; it goes on by then, or not at all.
    Waiting(Ms),
}

#[derive(Debug)]
struct Request {
    wanted: Wanted,
    since: Ms,
    state: State,
    token: Option<Token>,
    transfer: Transfer,
    /// Whether two copies of it could be told apart.
    provable: bool,
    served: bool,
    head: Fields,
    got: BytesMut,
    tried: Vec<Site>,
    /// The site at which it was last.
    last: Option<Site>,
    /// The time told by whoever turned it away.
    come_back: Ms,
}

/// All of them.
#[derive(Debug, Default)]
pub(crate) struct Across {
    requests: BTreeMap<Ticket, Request>,
    /// By when each without a token has to have its answer, in microseconds.
    due: BTreeSet<(u64, Ticket)>,
    waiting: BTreeSet<Ticket>,
    /// Bytes of bodies that are held.
    held: usize,
}

fn micros(at: Ms) -> u64 {
    (at.max(0.0) * 1_000.0) as u64
}

impl Across {
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    pub fn next(&self) -> Option<Ms> {
        let due = self.due.first().map(|(at, _)| *at as Ms / 1_000.0);
        let waiting = self.waiting.iter().filter_map(|ticket| match self.requests.get(ticket)?.state {
            State::Waiting(until) => Some(until),
            _ => None,
        });
        waiting.chain(due).reduce(f64::min)
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Request> {
        let request = self.requests.remove(&ticket)?;
        self.due.remove(&(micros(request.wanted.deadline), ticket));
        self.waiting.remove(&ticket);
        self.held -= request.got.len();
        Some(request)
    }

    fn clear(&mut self, ticket: Ticket) {
        if let Some(request) = self.requests.get_mut(&ticket) {
            self.held -= request.got.len();
            request.got.clear();
        }
    }
}

impl Gateway {
    /// A request of a client, or one that has come from another site: at home, across, or answered at once.
    pub fn ask(&mut self, now: Ms, ticket: Ticket, wanted: Wanted) {
        self.place(now, ticket, wanted, Vec::new(), false);
    }

    /// The home has refused a request, which so has never run, and is unable: whether it goes across instead. Where
    /// not, nothing was done and the refusal stands.
    pub fn ask_beyond_home(&mut self, now: Ms, ticket: Ticket, wanted: Wanted) -> bool {
        if now + self.rules.across.least > wanted.deadline {
            return false;
        }
        let tried = vec![self.me];
        match self.route(now, &wanted, &tried, true, None) {
            Route::Across(site) if self.has_room(site, wanted.priority) => {
                self.send(now, ticket, site, Request::new(now, wanted, tried, self.rules.across));
                true
            }
            _ => false,
        }
    }

    fn route(
        &mut self,
        now: Ms,
        wanted: &Wanted,
        tried: &[Site],
        repeat: bool,
        admitted: Option<Site>,
    ) -> Route {
        if wanted.home.is_none_or(|home| home == self.me)
            && !tried.contains(&self.me)
            && self.home.tries(now, wanted.need())
        {
            return Route::Home;
        }
        let wish = Wish {
            object: wanted.object,
            write: wanted.write,
            home: wanted.home,
            passed: self.sites(&wanted.passed),
            tried: tried.to_vec(),
            repeat,
            admitted,
        };
        self.routes.route(now, &wish)
    }

    /// The connection for one more request to a site: the one with the least to be written.
    fn way(&self, site: Site) -> Option<Conn> {
        let fits = |conn: &Conn| {
            self.lines.get(conn).is_some_and(|l| l.session.takes() && l.session.pulse.proven().is_some())
        };
        let peers = self.peers.values().filter(|peer| peer.site == site);
        let conns = peers.flat_map(|peer| peer.sessions.iter().copied()).filter(fits);
        conns.min_by_key(|conn| self.lines.get(conn).map(|line| line.session.waiting()))
    }

    fn has_room(&self, site: Site, priority: Priority) -> bool {
        self.windows.get(&site).is_some_and(|window| window.takes(priority))
            && self.across.held < self.rules.across.bytes
            && self.sent.len() < self.rules.across.attempts
            && self.way(site).is_some()
    }

    fn place(&mut self, now: Ms, ticket: Ticket, wanted: Wanted, tried: Vec<Site>, repeat: bool) {
        let rule = self.rules.across;
        let full = |gateway: &Self| {
            let need = wanted.need();
            let able =
                !tried.contains(&gateway.me) && !gateway.home.is_drained() && !gateway.home_is_unable(need);
            if able {
                Route::Home
            } else {
                Route::Nowhere(Why::Full)
            }
        };
        let route = match self.route(now, &wanted, &tried, repeat, None) {
            Route::Across(site) if !self.has_room(site, wanted.priority) => full(self),
            route => route,
        };
        // What can't cross either is left to whoever decides at home: the caches may hold it, and what they lack is
        // refused there.
        let own = wanted.passed.is_empty() && wanted.home.is_none_or(|home| home == self.me);
        let left = own && !wanted.write && !tried.contains(&self.me) && self.home.may_hold();
        let route = match route {
            Route::Nowhere(_) if left => Route::Home,
            route => route,
        };
        match route {
            Route::Home => {
                self.counts.home += 1;
                self.actions.push_back(Action::Home(ticket));
            }
            Route::Across(site) => self.send(now, ticket, site, Request::new(now, wanted, tried, rule)),
            Route::Nowhere(_) => {
                self.counts.nowhere += 1;
                self.counts.refused += 1;
                self.actions.push_back(Action::Answer(ticket, Reply::Refused { wait: rule.come_back }));
            }
        }
    }

    /// Sends a request across; there is room, and no other attempt of it is open.
    fn send(&mut self, now: Ms, ticket: Ticket, site: Site, mut request: Request) {
        let Some(conn) = self.way(site) else { return self.give_up(ticket, request) };
        let (name, deadline) = (self.site_name(self.me).to_string(), request.wanted.deadline);
        let Some(line) = self.lines.get_mut(&conn) else { return self.give_up(ticket, request) };
        if request.wanted.harmful {
            let Some(peer) =
                line.peer.as_ref().and_then(|name| self.peers.get(name).map(|p| (name, p.epoch)))
            else {
                return self.give_up(ticket, request);
            };
            let start = Self::peer_start(peer.0, peer.1);
            let Some(token) = self.sent.begin(ticket, start, conn, deadline) else {
                return self.give_up(ticket, request);
            };
            request.token = Some(token);
        }
        let rest = match request.transfer.copy() {
            Some(copy) if !request.got.is_empty() => {
                self.counts.resumed += 1;
                Some((request.got.len() as u64, copy.clone()))
            }
            _ => None,
        };
        let mut passed = request.wanted.passed.clone();
        passed.push(name);
        line.session.open(
            ticket,
            Open {
                token: request.token,
                left_ms: (deadline - now).clamp(1.0, f64::from(u32::MAX)) as u32,
                priority: request.wanted.priority as u8,
                passed,
                rest,
                head: request.wanted.head.clone(),
                body: request.wanted.body.clone(),
            },
        );
        self.counts.across += 1;
        if let Some(window) = self.windows.get_mut(&site) {
            window.begin();
        }
        request.state = State::Out(conn, site);
        request.last = Some(site);
        if request.token.is_none() {
            self.across.due.insert((micros(deadline), ticket));
        }
        self.across.held += request.got.len();
        self.across.requests.insert(ticket, request);
        self.wants_write(conn);
    }

    /// It could not go after all; nothing of it ever did.
    fn give_up(&mut self, ticket: Ticket, request: Request) {
        self.counts.refused += 1;
        let wait = request.come_back.max(self.rules.across.come_back);
        self.actions.push_back(Action::Answer(ticket, Reply::Refused { wait }));
    }

    /// An attempt is over at its site; `late` is nothing where that says nothing of the way there.
    fn ended_there(&mut self, now: Ms, request: &Request, bad: Option<bool>) {
        let site = match request.state {
            State::Out(_, site) | State::Uncertain(site) => site,
            State::Waiting(_) => return,
        };
        let late = bad.map(|bad| bad || now - request.since > request.wanted.aim);
        if let Some(window) = self.windows.get_mut(&site) {
            let length = (bad == Some(false)).then_some(request.got.len() as f64);
            window.end(now, late, length);
        }
        if let Some(bad) = bad {
            self.routes.ended(site, bad);
        }
    }

    fn finish(&mut self, ticket: Ticket, reply: Reply) {
        match reply {
            Reply::Served { .. } => self.counts.answered += 1,
            Reply::Refused { .. } => self.counts.refused += 1,
            Reply::Failed => self.counts.failed += 1,
        }
        self.actions.push_back(Action::Answer(ticket, reply));
    }

    /// Nobody waits for the answer any more.
    pub fn gone(&mut self, now: Ms, ticket: Ticket) {
        let Some(request) = self.across.remove(ticket) else { return };
        self.ended_there(now, &request, None);
        if let State::Out(conn, _) = request.state {
            if let Some(line) = self.lines.get_mut(&conn) {
                line.session.cancel(ticket);
            }
            self.wants_write(conn);
        }
        self.sent.forget(ticket);
    }

    // ---- What the other side says of it.

    pub(crate) fn begins(
        &mut self,
        now: Ms,
        conn: Conn,
        ticket: Ticket,
        begins: Begins,
    ) -> Result<(), Ended> {
        let rule = self.rules.across;
        if begins.length > rule.answer {
            self.too_long(now, conn, ticket, begins.length);
            return Ok(());
        }
        let Some(request) = self.across.requests.get_mut(&ticket) else { return Ok(()) };
        request.served = begins.served;
        request.head = begins.head;
        request.provable = begins.copy.is_some();
        let copy = begins.copy.unwrap_or(Copy { tag: String::new(), dated: 0.0, length: begins.length });
        if copy.length != begins.length {
            return Err(Ended::Answer);
        }
        let fit = request.transfer.begin(copy, begins.from);
        let there = request.transfer.there() as usize;
        if there < request.got.len() {
            self.counts.bytes_again += (request.got.len() - there) as u64;
            self.across.held -= request.got.len() - there;
            request.got.truncate(there);
        }
        match fit {
            Fit::Goes | Fit::Anew => Ok(()),
            // It gives something else than was asked for.
            Fit::Strange => Err(Ended::Answer),
        }
    }

    /// An answer is longer than is taken here. That is its own matter: its stream ends, and all others go on.
    fn too_long(&mut self, now: Ms, conn: Conn, ticket: Ticket, length: u64) {
        let Some(token) = self.across.requests.get(&ticket).map(|request| request.token) else { return };
        if let Some(token) = token {
            // It ran, whatever it answers.
            if self.sent.told(token, Fate::Ran(None), conn).is_none() {
                return;
            }
        }
        let Some(mut request) = self.across.remove(ticket) else { return };
        let most = self.rules.across.answer;
        self.actions
            .push_back(Action::Note(format!("an answer of {length} bytes is left: {most} are taken")));
        self.ended_there(now, &request, None);
        self.cancel_stream(&request, ticket);
        if request.wanted.harmful {
            return self.finish(ticket, Reply::Failed);
        }
        if let State::Out(_, site) = request.state {
            request.tried.push(site);
        }
        self.again(now, ticket, request, false);
    }

    pub(crate) fn bytes_came(&mut self, ticket: Ticket, bytes: &[u8]) -> Result<(), Ended> {
        let Some(request) = self.across.requests.get_mut(&ticket) else { return Ok(()) };
        if !request.transfer.came(bytes.len() as u64) {
            return Err(Ended::Answer);
        }
        request.got.extend_from_slice(bytes);
        self.across.held += bytes.len();
        Ok(())
    }

    pub(crate) fn ends(&mut self, now: Ms, conn: Conn, ticket: Ticket) -> Result<(), Ended> {
        let Some(request) = self.across.requests.get(&ticket) else { return Ok(()) };
        if request.served && !request.transfer.is_whole() {
            return Err(Ended::Answer);
        }
        let served = request.served;
        if let Some(token) = request.token {
            let fate = Fate::Ran(served.then(Vec::new));
            if self.sent.told(token, fate, conn).is_none() {
                return Ok(());
            }
        }
        let Some(request) = self.across.remove(ticket) else { return Ok(()) };
        self.ended_there(now, &request, Some(!served));
        if served {
            let Request { head, got, .. } = request;
            self.finish(ticket, Reply::Served { head, body: got.freeze(), copy: None });
        } else if request.wanted.harmful {
            self.finish(ticket, Reply::Failed);
        } else {
            self.again(now, ticket, request, true);
        }
        Ok(())
    }

    pub(crate) fn never(&mut self, now: Ms, conn: Conn, ticket: Ticket, why: Turned, come_back: Ms) {
        let Some(request) = self.across.requests.get(&ticket) else { return };
        if let Some(token) = request.token {
            match self.sent.told(token, Fate::Never, conn) {
                Some(Verdict::Free(_)) => self.counts.freed += 1,
                _ => return,
            }
        }
        let Some(mut request) = self.across.remove(ticket) else { return };
        // Being too old a state or a site's end says nothing of its room.
        let bad = matches!(why, Turned::Full | Turned::Refused).then_some(true);
        self.ended_there(now, &request, bad);
        request.come_back = come_back;
        if let State::Out(_, site) = request.state {
            request.tried.push(site);
        }
        self.again(now, ticket, request, false);
    }

    pub(crate) fn told(&mut self, now: Ms, conn: Conn, token: Token, fate: Fate) {
        let running = fate == Fate::Running;
        let Some(ticket) = self.sent.ticket(token) else { return };
        let verdict = self.sent.told(token, fate, conn);
        if running {
            if let Some(request) = self.across.requests.get_mut(&ticket) {
                let site = match request.state {
                    State::Out(_, site) | State::Uncertain(site) => site,
                    State::Waiting(_) => return,
                };
                request.state = State::Out(conn, site);
            }
        }
        if let Some(verdict) = verdict {
            self.judged(now, verdict);
        }
    }

    fn judged(&mut self, now: Ms, verdict: Verdict) {
        match verdict {
            Verdict::Answered(ticket, answer) => {
                let Some(request) = self.across.remove(ticket) else { return };
                self.ended_there(now, &request, Some(false));
                let reply = match postcard::from_bytes::<Kept>(&answer) {
                    Ok(Kept { served: true, head, body }) => Reply::Served { head, body, copy: None },
                    _ => Reply::Failed,
                };
                self.finish(ticket, reply);
            }
            Verdict::Free(ticket) => {
                let Some(request) = self.across.remove(ticket) else { return };
                self.counts.freed += 1;
                self.ended_there(now, &request, None);
                self.again(now, ticket, request, true);
            }
            Verdict::Failed(ticket) => {
                let Some(request) = self.across.remove(ticket) else { return };
                let bad = matches!(request.state, State::Out(..)).then_some(true);
                self.ended_there(now, &request, bad);
                self.cancel_stream(&request, ticket);
                self.finish(ticket, Reply::Failed);
            }
        }
    }

    fn cancel_stream(&mut self, request: &Request, ticket: Ticket) {
        let State::Out(conn, _) = request.state else { return };
        if let Some(line) = self.lines.get_mut(&conn) {
            line.session.cancel(ticket);
        }
        self.wants_write(conn);
    }

    /// A connection is gone; these had streams on it, and others may have been told of there.
    pub(crate) fn lost_across(&mut self, now: Ms, conn: Conn, tickets: Vec<Ticket>) {
        let told = self.across.requests.iter().filter(|(_, r)| r.token.is_some());
        let told = told.filter(|(_, r)| matches!(r.state, State::Out(c, _) if c == conn)).map(|(t, _)| *t);
        let mut all: BTreeSet<Ticket> = told.collect();
        all.extend(tickets);
        let verdicts = self.sent.lost(conn);
        for ticket in all {
            let Some(request) = self.across.requests.get_mut(&ticket) else { continue };
            let State::Out(_, site) = request.state else { continue };
            if request.token.is_none() {
                // That the link went says nothing of the site's room.
                let Some(request) = self.across.remove(ticket) else { continue };
                self.ended_there(now, &request, None);
                self.again(now, ticket, request, true);
                continue;
            }
            request.state = State::Uncertain(site);
            // What came of its answer comes again with its fate.
            request.transfer = Transfer::new(request.wanted.deadline, self.rules.across.tries);
            self.across.clear(ticket);
            if self.sent.is_uncertain(ticket) {
                self.counts.uncertain += 1;
                if !self.rules.across.asks {
                    self.sent.forget(ticket);
                    self.judged(now, Verdict::Failed(ticket));
                }
            }
        }
        verdicts.into_iter().for_each(|verdict| self.judged(now, verdict));
    }

    /// A connection is up: what is uncertain there is asked after.
    pub(crate) fn found(&mut self, conn: Conn, start: u64) {
        let tokens = self.sent.found(start);
        if let Some(line) = self.lines.get_mut(&conn) {
            tokens.into_iter().for_each(|token| line.session.say(&crate::codec::Word::Ask(token)));
        }
        self.wants_write(conn);
    }

    /// One that is proven not to have run, or does no harm, has another try if there is time and a site for it.
    fn again(&mut self, now: Ms, ticket: Ticket, mut request: Request, stopped: bool) {
        let rule = self.rules.across;
        request.token = None;
        if !rule.resumes || !request.provable {
            self.counts.bytes_again += request.got.len() as u64;
            request.forget();
        }
        if let Next::CutOff = request.transfer.stopped(now, rule.least) {
            return self.give_up(ticket, request);
        }
        self.counts.again += 1;
        let (wanted, tried, last) = (request.wanted.clone(), request.tried.clone(), request.last);
        match self.route(now, &wanted, &tried, true, last) {
            Route::Home => {
                self.counts.home += 1;
                self.actions.push_back(Action::Home(ticket));
            }
            Route::Across(site) if self.has_room(site, wanted.priority) => {
                self.send(now, ticket, site, request);
            }
            _ if stopped && self.may_wait(&request) => {
                // Its link may be back in time, and then it need not cross anew.
                request.state = State::Waiting((now + rule.wait).min(wanted.deadline - rule.least));
                self.across.due.insert((micros(wanted.deadline), ticket));
                self.across.waiting.insert(ticket);
                self.across.held += request.got.len();
                self.across.requests.insert(ticket, request);
            }
            _ => self.give_up(ticket, request),
        }
    }

    fn may_wait(&self, request: &Request) -> bool {
        let rule = self.rules.across;
        rule.wait > 0.0
            && self.across.waiting.len() < rule.waiting
            && self.across.held + request.got.len() < rule.bytes
    }

    pub(crate) fn tick_across(&mut self, now: Ms) {
        for verdict in self.sent.expire(now) {
            self.judged(now, verdict);
        }
        while let Some((at, ticket)) = self.across.due.first().copied().filter(|(at, _)| *at <= micros(now)) {
            self.across.due.remove(&(at, ticket));
            let Some(request) = self.across.remove(ticket) else { continue };
            self.ended_there(now, &request, Some(true));
            self.cancel_stream(&request, ticket);
            self.finish(ticket, Reply::Failed);
        }
        let over = |ticket: &&Ticket| {
            let request = self.across.requests.get(ticket);
            request.is_none_or(|r| matches!(r.state, State::Waiting(until) if now >= until))
        };
        let over: Vec<Ticket> = self.across.waiting.iter().filter(over).copied().collect();
        for ticket in over {
            if let Some(request) = self.across.remove(ticket) {
                self.give_up(ticket, request);
            }
        }
    }

    /// What waits for a link goes on in small groups: not all that waited at once.
    pub(crate) fn resume(&mut self, now: Ms) {
        // A route that is asked for and not taken would cost one of the repeats.
        let room = |site: &Site| self.has_room(*site, Priority::Rest);
        if self.across.waiting.is_empty() || !self.routes.reachable().iter().any(room) {
            return;
        }
        let mut left = self.rules.across.resumed;
        for ticket in self.across.waiting.iter().copied().collect::<Vec<_>>() {
            let Some(request) = self.across.requests.get(&ticket).filter(|_| left > 0) else { continue };
            let (wanted, tried, last) = (request.wanted.clone(), request.tried.clone(), request.last);
            match self.route(now, &wanted, &tried, true, last) {
                Route::Across(site) if self.has_room(site, wanted.priority) => {
                    left -= 1;
                    if let Some(request) = self.across.remove(ticket) {
                        self.send(now, ticket, site, request);
                    }
                }
                Route::Home => {
                    left -= 1;
                    self.across.remove(ticket);
                    self.counts.home += 1;
                    self.actions.push_back(Action::Home(ticket));
                }
                _ => {}
            }
        }
    }
}

impl Request {
    fn new(now: Ms, wanted: Wanted, tried: Vec<Site>, rule: AcrossRule) -> Self {
        Self {
            since: now,
            state: State::Waiting(now),
            token: None,
            transfer: Transfer::new(wanted.deadline, rule.tries),
            provable: false,
            served: false,
            head: Vec::new(),
            got: BytesMut::new(),
            tried,
            last: None,
            come_back: 0.0,
            wanted,
        }
    }

    /// What came of it can't be told from another copy.
    fn forget(&mut self) {
        self.got.clear();
        self.transfer.forget();
    }
}
