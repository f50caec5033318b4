//! Owns two sites in virtual time: the shipped gateway core at each, stores that count each run, and a link between
//! them that delays, throttles, goes silent in one or both directions, is cut, and lets late bytes through.
//!
//! One seed, one run, to the byte. What is simulated: sockets, caches, stores and clients; what is real: every
//! decision of the gateways. The record is what crossed the link and reached the stores; the gateways write none of it.

use std::collections::{BTreeMap, VecDeque};

use bytes::{Bytes, BytesMut};
use linnethook_gateway::attempt_ledger::{AttemptOutcome, Ticket, Token};
use linnethook_gateway::codec::{FrameDecoder, Message};
use linnethook_gateway::flow_control::Priority;
use linnethook_gateway::forwarding::ForwardRequest;
use linnethook_gateway::gateway::{
    Action, ConnectionId, Gateway, GatewayConfig, GatewaySetup, Reply, FIRST_REMOTE_TICKET,
};
use linnethook_gateway::local_capacity::RequestKind;
use linnethook_gateway::transfer::ObjectVersion;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;

use crate::recording::{Asked, Ms, RecordEntry, RecordedEvent, Recording};

/// What befalls the link or a site, from a time on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SiteFault {
    /// Connections are reset; new ones fail until it is mended.
    Cut,
    /// Nothing passes towards these sides any more, and nothing is said of it.
    Silent {
        to: [bool; 2],
    },
    /// So many times the delay.
    Slow(f64),
    Mend,
    /// The gateway of a side dies and starts again; its clients are gone with it.
    Restart(usize),
    /// The store of a side can't be reached, or can again.
    Store(usize, bool),
    /// The caches of a side are gone, or back.
    Caches(usize, bool),
}

/// A script: blows by their times.
pub type Script = Vec<(Ms, SiteFault)>;

/// What is played.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub seed: u64,
    pub length: Ms,
    /// Bookings and parts of videos a second, at each side.
    pub bookings: f64,
    pub reads: f64,
    /// Bytes of a part, at the least and the most.
    pub sizes: (usize, usize),
    /// One way, and how much it varies.
    pub delay: Ms,
    pub jitter: Ms,
    /// Bytes a millisecond, in each direction.
    pub carries: f64,
    /// How long a client waits, and within what it wants its answer.
    pub wait: Ms,
    pub aim: Ms,
    pub rules: GatewayConfig,
    pub script: Script,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            seed: 1,
            length: 60_000.0,
            bookings: 10.0,
            reads: 20.0,
            sizes: (20_000, 200_000),
            delay: 10.0,
            jitter: 5.0,
            carries: 20_000.0,
            wait: 2_000.0,
            aim: 600.0,
            rules: GatewayConfig::default(),
            script: Vec::new(),
        }
    }
}

/// How requests ended.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tally {
    pub asked: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    /// Their gateway died.
    pub released: u64,
}

/// What came of a play.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub bookings: Tally,
    pub reads: Tally,
    pub lines: Vec<RecordEntry>,
    /// Runs of each booking that ran more than once.
    pub ran_twice: Vec<(u64, u32)>,
    /// Bytes that crossed, and those of bodies that crossed more than once or for nothing.
    pub crossed: u64,
    pub bodies: u64,
    pub bodies_again: u64,
    /// Requests that crossed, by 100 ms, from each side; those served, by the 100 ms in which they were asked.
    pub opened: [Vec<u32>; 2],
    pub asked: Vec<u32>,
    pub served: Vec<u32>,
    /// When a gateway said that its last connection is down, and that one is up.
    pub downs: Vec<Ms>,
    pub ups: Vec<Ms>,
    pub notes: u64,
    /// The most that was kept at a time: connections, requests across and from there, tokens remembered.
    pub most: [u64; 4],
}

#[derive(Debug, Clone)]
struct Asker {
    id: u64,
    object: u64,
    booking: bool,
    size: usize,
    since: Ms,
    deadline: Ms,
    passed: Vec<String>,
    /// Asked of this side by its own client.
    own: bool,
    /// Served where it was asked, in the end.
    home: bool,
}

struct Side {
    gateway: Gateway,
    epoch: u64,
    last: Ticket,
    askers: BTreeMap<Ticket, Asker>,
    store: bool,
    caches: bool,
}

/// One direction of a connection.
#[derive(Debug, Default)]
struct Pipe {
    /// Bytes under way: when they may arrive.
    in_flight: VecDeque<(Ms, Vec<u8>)>,
    bytes: usize,
    /// When the last byte will have left.
    busy: Ms,
    /// What the middle has understood.
    decoder: FrameDecoder,
    ended: bool,
}

struct Wire {
    up: Ms,
    dialer: (usize, usize),
    /// Towards side 0 and side 1.
    pipes: [Pipe; 2],
    /// Tokens by the stream and the side that opened it.
    tokens: BTreeMap<(usize, u32), (u64, u64)>,
    /// Whether each end still has it, and has been told that it is up.
    open: [bool; 2],
    announced: [bool; 2],
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Arrival(usize, bool),
    /// A run at a site ends: side, its start, ticket, and the attempt at the store.
    Done(usize, u64, Ticket, u64),
    SiteFault(usize),
}

/// What fits between the ends of a connection.
const IN_PIPE: usize = 256 << 10;
const NAMES: [&str; 2] = ["north", "south"];

/// Two sites.
pub struct Simulation {
    play: Scenario,
    now: Ms,
    chance: Pcg64Mcg,
    sides: Vec<Side>,
    wires: BTreeMap<ConnectionId, Wire>,
    last_conn: ConnectionId,
    cut: bool,
    silent: [bool; 2],
    slow: f64,
    events: BTreeMap<(u64, u64), SimulationEvent>,
    count: u64,
    record: Recording,
    runs: BTreeMap<u64, u32>,
    attempts: u64,
    next_id: u64,
    out: Outcome,
    /// Bytes of bodies that crossed and reached a client.
    useful: u64,
}

fn count(list: &mut Vec<u32>, at: Ms) {
    let n = (at / 100.0).max(0.0) as usize;
    if list.len() <= n {
        list.resize(n + 1, 0);
    }
    list[n] += 1;
}

impl Simulation {
    pub fn new(play: Scenario) -> Self {
        let chance = Pcg64Mcg::seed_from_u64(play.seed);
        let mut world = Self {
            now: 0.0,
            chance,
            sides: Vec::new(),
            wires: BTreeMap::new(),
            last_conn: 0,
            cut: false,
            silent: [false; 2],
            slow: 1.0,
            events: BTreeMap::new(),
            count: 0,
            record: Recording::default(),
            runs: BTreeMap::new(),
            attempts: 0,
            next_id: 0,
            out: Outcome::default(),
            useful: 0,
            play,
        };
        world.sides = (0..2).map(|n| world.side(n, 1)).collect();
        for n in 0..world.play.script.len() {
            world.plan(world.play.script[n].0, SimulationEvent::SiteFault(n));
        }
        for side in 0..2 {
            for booking in [false, true] {
                world.next_arrival(side, booking);
            }
        }
        world
    }

    fn side(&self, n: usize, epoch: u64) -> Side {
        let setup = GatewaySetup {
            site: NAMES[n].to_string(),
            other_sites: vec![NAMES[1 - n].to_string()],
            node: "g".to_string(),
            epoch,
            seed: self.play.seed * 10 + n as u64,
            // The north dials.
            dial_sites: if n == 0 { vec![NAMES[1].to_string()] } else { Vec::new() },
            accepts_cluster_peers: false,
            config: self.play.rules,
        };
        let mut gateway = Gateway::new(self.now, setup);
        gateway.report_local_load(self.now, 3, 0.2);
        Side { gateway, epoch, last: 0, askers: BTreeMap::new(), store: true, caches: true }
    }

    fn plan(&mut self, at: Ms, event: SimulationEvent) {
        self.count += 1;
        self.events.insert(((at.max(0.0) * 1_000.0) as u64, self.count), event);
    }

    fn next_arrival(&mut self, side: usize, booking: bool) {
        let rate = if booking { self.play.bookings } else { self.play.reads };
        let Ok(gap) = Exp::new(rate / 1_000.0) else { return };
        let at = self.now + gap.sample(&mut self.chance);
        if rate > 0.0 && at < self.play.length {
            self.plan(at, SimulationEvent::Arrival(side, booking));
        }
    }

    /// Plays it to its end, and some seconds on, so that all that is owed is answered.
    pub fn run(mut self) -> Outcome {
        let end = self.play.length + self.play.wait + 1_000.0;
        while self.now < end {
            self.now += 1.0;
            while let Some(entry) =
                self.events.first_entry().filter(|e| e.key().0 as Ms / 1_000.0 <= self.now)
            {
                let event = entry.remove();
                self.happen(event);
            }
            for n in 0..2 {
                if self.sides[n].gateway.next_deadline(self.now) <= self.now {
                    self.sides[n].gateway.on_timer(self.now);
                    self.carry_out(n);
                }
            }
            self.deliver();
            if (self.now as u64).is_multiple_of(100) {
                self.measure();
            }
        }
        let mut out = std::mem::take(&mut self.out);
        out.ran_twice =
            self.runs.iter().filter(|(_, runs)| **runs > 1).map(|(id, runs)| (*id, *runs)).collect();
        out.bodies_again = out.bodies.saturating_sub(self.useful);
        out.lines = self.record.lines();
        out
    }

    fn measure(&mut self) {
        for n in 0..2 {
            let status = self.sides[n].gateway.status(self.now);
            let remembered = status.sites.iter().flat_map(|s| &s.gateways).map(|g| g.remembered).sum();
            let now = [self.wires.len() as u64, status.out, status.serving, remembered];
            for (most, now) in self.out.most.iter_mut().zip(now) {
                *most = (*most).max(now);
            }
        }
    }

    fn happen(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrival(side, booking) => {
                self.next_arrival(side, booking);
                self.arrive(side, booking);
            }
            SimulationEvent::Done(n, epoch, ticket, attempt) => self.done(n, epoch, ticket, attempt),
            SimulationEvent::SiteFault(n) => self.apply_fault(self.play.script[n].1),
        }
    }

    fn arrive(&mut self, n: usize, booking: bool) {
        self.next_id += 1;
        let (now, id) = (self.now, self.next_id);
        let (least, most) = self.play.sizes;
        let size = if booking { 400 } else { self.chance.random_range(least..=most) };
        let (object, deadline) = (self.chance.random::<u64>(), now + self.play.wait);
        let asker = Asker {
            id,
            object,
            booking,
            size,
            since: now,
            deadline,
            passed: Vec::new(),
            own: true,
            home: false,
        };
        self.record.note_at(
            now,
            RecordedEvent::Requested {
                request: id,
                id: id.to_string(),
                object: object.to_string(),
                group: 0,
                deadline,
                harmful: booking,
                router: NAMES[n].to_string(),
            },
        );
        self.tally(booking).asked += 1;
        count(&mut self.out.asked, now);
        let side = &mut self.sides[n];
        side.last += 1;
        let ticket = side.last;
        let wanted = wanted(&asker, self.play.aim);
        side.askers.insert(ticket, asker);
        side.gateway.submit_request(now, ticket, wanted);
        self.carry_out(n);
    }

    fn tally(&mut self, booking: bool) -> &mut Tally {
        if booking {
            &mut self.out.bookings
        } else {
            &mut self.out.reads
        }
    }

    fn carry_out(&mut self, n: usize) {
        while let Some(action) = self.sides[n].gateway.next_action() {
            match action {
                Action::Dial(dialer) => self.dial(n, dialer),
                Action::Close(conn, _) => self.hang_up(n, conn),
                Action::Write(conn) => self.write(n, conn),
                Action::ServeLocally(ticket) => self.serve(n, ticket),
                Action::Answer(ticket, reply) => self.answer(n, ticket, reply),
                Action::ServeRemote(arrivals) => {
                    let text = |name: &str| {
                        arrivals
                            .fields
                            .iter()
                            .find(|(known, _)| known == name)
                            .map(|(_, v)| v.clone())
                            .unwrap_or_default()
                    };
                    let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
                    let asker = Asker {
                        id: number("i"),
                        object: number("o"),
                        booking: text("c") == "booking",
                        size: number("m") as usize,
                        since: self.now,
                        deadline: self.now + arrivals.remaining,
                        passed: arrivals.passed_sites,
                        own: false,
                        home: false,
                    };
                    let wanted = wanted(&asker, self.play.aim);
                    self.sides[n].askers.insert(arrivals.ticket, asker);
                    self.sides[n].gateway.submit_request(self.now, arrivals.ticket, wanted);
                }
                Action::CancelServe(ticket) => {
                    self.sides[n].askers.remove(&ticket);
                }
                Action::RemoteFact(..) | Action::PeerLink { .. } | Action::PeerEntry { .. } => {}
                Action::Log(text) => {
                    self.out.notes += 1;
                    if text.contains("it was the last one") {
                        self.out.downs.push(self.now);
                    } else if text.ends_with("is up") {
                        self.out.ups.push(self.now);
                    }
                }
            }
        }
    }

    /// A site serves a request, or its store runs it.
    fn serve(&mut self, n: usize, ticket: Ticket) {
        let Some(asker) = self.sides[n].askers.get_mut(&ticket) else { return };
        asker.home = true;
        let asker = asker.clone();
        let capacity_at = if asker.booking { self.sides[n].store } else { self.sides[n].caches };
        self.attempts += 1;
        let attempt = self.attempts;
        let took = match (capacity_at, asker.booking) {
            (true, true) => self.chance.random_range(20.0..120.0),
            (true, false) => self.chance.random_range(5.0..60.0),
            // It could not be reached, which is soon known.
            (false, _) => 30.0,
        };
        if capacity_at && asker.booking {
            let asked = Asked {
                at: format!("store-{}", NAMES[n]),
                id: asker.id.to_string(),
                class: "booking".to_string(),
                router: Some(NAMES[n].to_string()),
                ..Asked::default()
            };
            self.record.note_at(self.now, RecordedEvent::Asked { attempt, asked });
            *self.runs.entry(asker.id).or_default() += 1;
        }
        let epoch = self.sides[n].epoch;
        self.plan(
            self.now + took,
            SimulationEvent::Done(n, epoch, ticket, if capacity_at { attempt } else { 0 }),
        );
    }

    fn done(&mut self, n: usize, epoch: u64, ticket: Ticket, attempt: u64) {
        if attempt > 0 {
            let (status, res) = ("data".to_string(), String::new());
            self.record.note_at(self.now, RecordedEvent::Ended { attempt, status, res, ran: true });
        }
        if self.sides[n].epoch != epoch {
            return;
        }
        let Some(asker) = self.sides[n].askers.get(&ticket).cloned() else { return };
        let need = if asker.booking { RequestKind::Write } else { RequestKind::Read };
        let now = self.now;
        let gateway = &mut self.sides[n].gateway;
        if asker.own {
            gateway.record_local_outcome(now, need, attempt == 0);
        }
        let reply = match attempt {
            0 => Reply::Rejected { retry_after: 100.0 },
            _ => {
                let copy = (!asker.booking).then(|| ObjectVersion {
                    tag: asker.object.to_string(),
                    issued_at: 1.0,
                    length: asker.size as u64,
                });
                Reply::Served { fields: Vec::new(), body: Bytes::from(vec![7; asker.size]), version: copy }
            }
        };
        if now > asker.deadline {
            return self.answer(n, ticket, Reply::Failed);
        }
        if attempt == 0 && asker.own && gateway.is_locally_unable(need) {
            let wanted = wanted(&asker, self.play.aim);
            if gateway.forward_rejected_request(now, ticket, wanted) {
                if let Some(asker) = self.sides[n].askers.get_mut(&ticket) {
                    asker.home = false;
                }
                return self.carry_out(n);
            }
        }
        self.answer(n, ticket, reply);
    }

    fn answer(&mut self, n: usize, ticket: Ticket, reply: Reply) {
        let Some(asker) = self.sides[n].askers.remove(&ticket) else { return };
        if ticket >= FIRST_REMOTE_TICKET {
            self.sides[n].gateway.complete_remote_request(self.now, ticket, reply);
            return self.carry_out(n);
        }
        let code = match reply {
            Reply::Served { body, .. } => {
                assert_eq!(body.len(), asker.size, "a body that is not whole");
                if !asker.home {
                    self.useful += asker.size as u64;
                }
                1
            }
            Reply::Rejected { .. } => 2,
            Reply::Failed => 3,
        };
        self.record.note_at(self.now, RecordedEvent::Final { request: asker.id, code, dated: None });
        let tally = self.tally(asker.booking);
        *match code {
            1 => &mut tally.served,
            2 => &mut tally.refused,
            _ => &mut tally.failed,
        } += 1;
        if code == 1 {
            count(&mut self.out.served, asker.since);
        }
    }

    // ---- The link.

    fn dial(&mut self, n: usize, dialer: usize) {
        self.last_conn += 1;
        let up = self.now + self.delay() * 2.0;
        let wire = Wire {
            up,
            dialer: (n, dialer),
            pipes: Default::default(),
            tokens: BTreeMap::new(),
            open: [true; 2],
            announced: [false; 2],
        };
        self.wires.insert(self.last_conn, wire);
    }

    fn delay(&mut self) -> Ms {
        (self.play.delay + self.chance.random_range(0.0..=self.play.jitter.max(0.001))) * self.slow
    }

    fn hang_up(&mut self, n: usize, conn: ConnectionId) {
        let late = self.chance.random_range(0..2) == 0;
        let Some(wire) = self.wires.get_mut(&conn) else { return };
        wire.open[n] = false;
        wire.pipes[1 - n].ended = true;
        wire.pipes[n].in_flight.clear();
        // What is on its way may still arrive, or is lost with the connection.
        if !late {
            wire.pipes[1 - n].in_flight.clear();
        }
        if !wire.announced[1 - n] {
            wire.open[1 - n] = false;
        }
    }

    fn write(&mut self, n: usize, conn: ConnectionId) {
        let delay = self.delay();
        let Some(wire) = self.wires.get_mut(&conn).filter(|wire| wire.open[n] && wire.announced[n]) else {
            return;
        };
        let pipe = &mut wire.pipes[1 - n];
        while pipe.bytes < IN_PIPE {
            let mut bytes = BytesMut::new();
            self.sides[n].gateway.take_output(conn, 32 << 10, &mut bytes);
            if bytes.is_empty() {
                break;
            }
            self.sides[n].gateway.mark_written(conn, bytes.len());
            pipe.bytes += bytes.len();
            pipe.busy = pipe.busy.max(self.now) + bytes.len() as Ms / self.play.carries;
            let arrives = pipe.busy + delay;
            // In their order, whatever the jitter.
            let arrives = pipe.in_flight.back().map_or(arrives, |(at, _)| arrives.max(*at));
            pipe.in_flight.push_back((arrives, bytes.to_vec()));
        }
    }

    fn deliver(&mut self) {
        let conns: Vec<ConnectionId> = self.wires.keys().copied().collect();
        for conn in conns {
            self.bring_up(conn);
            for to in 0..2 {
                if self.silent[to] {
                    continue;
                }
                while let Some(bytes) = self.arrived(conn, to) {
                    self.watch(conn, to, &bytes);
                    let now = self.now;
                    if self.wires.get(&conn).is_some_and(|wire| wire.open[to]) {
                        self.sides[to].gateway.receive(now, conn, &bytes);
                        self.carry_out(to);
                    }
                    // There is room again for the other end.
                    self.write(1 - to, conn);
                }
                let over = self.wires.get(&conn).is_some_and(|wire| {
                    wire.pipes[to].ended && wire.pipes[to].in_flight.is_empty() && wire.open[to]
                });
                if over {
                    if let Some(wire) = self.wires.get_mut(&conn) {
                        wire.open[to] = false;
                    }
                    self.sides[to].gateway.connection_closed(self.now, conn);
                    self.carry_out(to);
                }
            }
            if self.wires.get(&conn).is_some_and(|wire| wire.open == [false; 2]) {
                self.wires.remove(&conn);
            }
        }
    }

    fn bring_up(&mut self, conn: ConnectionId) {
        let Some(wire) = self.wires.get_mut(&conn) else { return };
        if wire.announced[wire.dialer.0] || self.now < wire.up {
            return;
        }
        let (n, dialer) = wire.dialer;
        let barred = self.silent[0] || self.silent[1];
        if self.cut || barred && self.now > wire.up + 400.0 {
            self.wires.remove(&conn);
            self.sides[n].gateway.dial_failed(self.now, dialer);
            return;
        }
        if barred {
            return;
        }
        wire.announced = [true; 2];
        self.sides[n].gateway.connection_opened(self.now, conn, Some(dialer));
        self.sides[1 - n].gateway.connection_opened(self.now, conn, None);
        self.carry_out(0);
        self.carry_out(1);
    }

    fn arrived(&mut self, conn: ConnectionId, to: usize) -> Option<Vec<u8>> {
        let pipe = &mut self.wires.get_mut(&conn)?.pipes[to];
        let (at, _) = pipe.in_flight.front()?;
        if *at > self.now {
            return None;
        }
        let (_, bytes) = pipe.in_flight.pop_front()?;
        pipe.bytes -= bytes.len();
        Some(bytes)
    }

    /// The middle reads along, and notes what concerns the rules.
    fn watch(&mut self, conn: ConnectionId, to: usize, bytes: &[u8]) {
        self.out.crossed += bytes.len() as u64;
        let Some(wire) = self.wires.get_mut(&conn) else { return };
        let Wire { pipes, tokens, .. } = wire;
        let decoder = &mut pipes[to].decoder;
        decoder.push_bytes(bytes);
        while let Ok(Some(frame)) = decoder.next_frame(1 << 20) {
            let number = |token: Token| (token.epoch * 10 + (1 - to) as u64, token.number);
            match frame.message {
                Message::Request(open) => {
                    let id = open.fields.iter().find(|(name, _)| name == "i").map(|(_, id)| id.clone());
                    let (token, passed) = (open.token.map(number), open.passed_sites);
                    token.into_iter().for_each(|token| _ = tokens.insert((1 - to, frame.stream), token));
                    let what = RecordedEvent::Crossed {
                        to: NAMES[to].to_string(),
                        id: id.unwrap_or_default(),
                        token,
                        passed,
                    };
                    self.record.note_at(self.now, what);
                    count(&mut self.out.opened[1 - to], self.now);
                }
                Message::OutcomeReport(token, AttemptOutcome::NeverRan) => {
                    // Told to the sender of the token, which is at the end that it goes to.
                    let token = (token.epoch * 10 + to as u64, token.number);
                    self.record.note_at(self.now, RecordedEvent::Proven { token });
                }
                Message::Reject { .. } => {
                    if let Some(token) = tokens.remove(&(to, frame.stream)) {
                        self.record.note_at(self.now, RecordedEvent::Proven { token });
                    }
                }
                Message::Data(bytes) => self.out.bodies += bytes.len() as u64,
                _ => {}
            }
        }
    }

    fn apply_fault(&mut self, apply_fault: SiteFault) {
        match apply_fault {
            SiteFault::Cut => {
                self.cut = true;
                let conns: Vec<ConnectionId> = self.wires.keys().copied().collect();
                for conn in conns {
                    let late = self.chance.random_range(0..2) == 0;
                    let Some(wire) = self.wires.get_mut(&conn) else { continue };
                    if !wire.announced[0] {
                        continue;
                    }
                    for pipe in &mut wire.pipes {
                        pipe.ended = true;
                        if !late {
                            pipe.in_flight.clear();
                        }
                    }
                }
            }
            SiteFault::Silent { to } => self.silent = to,
            SiteFault::Slow(times) => self.slow = times,
            SiteFault::Mend => (self.cut, self.silent, self.slow) = (false, [false; 2], 1.0),
            SiteFault::Store(n, capacity_at) => self.sides[n].store = capacity_at,
            SiteFault::Caches(n, capacity_at) => {
                self.sides[n].caches = capacity_at;
                let now = self.now;
                self.sides[n].gateway.report_local_load(now, if capacity_at { 3 } else { 0 }, 0.2);
                self.carry_out(n);
            }
            SiteFault::Restart(n) => {
                for asker in std::mem::take(&mut self.sides[n].askers).into_values().filter(|a| a.own) {
                    self.record.note_at(self.now, RecordedEvent::Released { request: asker.id });
                    self.tally(asker.booking).released += 1;
                }
                let conns: Vec<ConnectionId> = self.wires.keys().copied().collect();
                for conn in conns {
                    if self.wires.get(&conn).is_some_and(|wire| !wire.announced[0]) {
                        self.wires.remove(&conn);
                    } else {
                        self.hang_up(n, conn);
                    }
                }
                let (store, caches) = (self.sides[n].store, self.sides[n].caches);
                let side = self.side(n, self.sides[n].epoch + 1);
                self.sides[n] = Side { store, caches, ..side };
                let now = self.now;
                self.sides[n].gateway.report_local_load(now, if caches { 3 } else { 0 }, 0.2);
            }
        }
    }
}

fn wanted(asker: &Asker, aim: Ms) -> ForwardRequest {
    let class = if asker.booking { "booking" } else { "video" };
    let head = [
        ("c", class.to_string()),
        ("i", asker.id.to_string()),
        ("o", asker.object.to_string()),
        ("m", asker.size.to_string()),
    ];
    ForwardRequest {
        object: asker.object,
        write: asker.booking,
        not_idempotent: asker.booking,
        home_site: None,
        priority: if asker.booking { Priority::Booking } else { Priority::LaterPart },
        latency_objective: aim,
        deadline: asker.deadline - 30.0,
        passed_sites: asker.passed.clone(),
        fields: head.into_iter().map(|(name, value)| (name.to_string(), value)).collect(),
        body: Bytes::from_static(b"a booking"),
    }
}

/// A script of so many cuts and silences, with stores and caches that go and come back and gateways that restart, so
/// that there always is something that has to cross.
pub fn bad_day(seed: u64, length: Ms, cuts: usize) -> Script {
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let mut script: Script = Vec::new();
    let every = length / cuts.max(1) as Ms;
    for n in 0..cuts {
        let from = n as Ms * every + chance.random_range(0.0..every * 0.3);
        let lasts = chance.random_range(0.02..0.5) * every;
        let apply_fault = match chance.random_range(0..6) {
            0 | 1 => SiteFault::Cut,
            2 => SiteFault::Silent { to: [true, true] },
            3 => SiteFault::Silent { to: [true, false] },
            4 => SiteFault::Silent { to: [false, true] },
            _ => SiteFault::Slow(chance.random_range(2.0..30.0)),
        };
        script.push((from, apply_fault));
        script.push((from + lasts, SiteFault::Mend));
        if chance.random_range(0..12) == 0 {
            script.push((
                from + chance.random_range(0.0..lasts * 1.5),
                SiteFault::Restart(chance.random_range(0..2)),
            ));
        }
    }
    // One side's store, then the other's; its caches at times.
    let (mut at, mut side) = (500.0, 0);
    while at < length {
        let lasts = chance.random_range(0.1..0.3) * length.min(20_000.0);
        script.push((at, SiteFault::Store(side, false)));
        script.push((at + lasts, SiteFault::Store(side, true)));
        let caches = chance.random_range(0.0..lasts);
        script.push((at + caches * 0.5, SiteFault::Caches(side, false)));
        script.push((at + caches, SiteFault::Caches(side, true)));
        at += lasts + chance.random_range(0.0..1_000.0);
        side = 1 - side;
    }
    script.sort_by(|a, b| a.0.total_cmp(&b.0));
    script
}
