//! Two sites in virtual time: the production gateway core at each, stores that count runs, and a link between
//! them that can delay, throttle, go silent in one or both directions, be cut, and deliver bytes late.
//!
//! A seed determines a run to the byte. Simulated are sockets, caches, stores and clients; all decisions of
//! the gateways are real. The recording has what crossed the link and reached the stores; the gateways write
//! none of it.

mod link;
mod requests;
mod scenario;

use std::collections::{BTreeMap, VecDeque};

use linnethook_gateway::attempt_ledger::Ticket;
use linnethook_gateway::codec::FrameDecoder;
use linnethook_gateway::gateway::{ConnectionId, Gateway, GatewaySetup};
use rand::SeedableRng;
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;

use crate::recording::{Ms, Recording};

pub use scenario::{bad_day, Outcome, Scenario, Script, SiteFault, Tally};

#[derive(Debug, Clone)]
struct Asker {
    id: u64,
    object: u64,
    booking: bool,
    size: usize,
    since: Ms,
    deadline: Ms,
    passed: Vec<String>,
    /// Sent by a client of this side, not forwarded by the other site.
    own: bool,
    /// Served by this side, not forwarded.
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
    /// Chunks in flight, each with its time of arrival.
    in_flight: VecDeque<(Ms, Vec<u8>)>,
    bytes: usize,
    /// When the last byte will have been sent.
    busy: Ms,
    /// Decodes the frames that arrive, for the recording.
    decoder: FrameDecoder,
    ended: bool,
}

struct Wire {
    up: Ms,
    dialer: (usize, usize),
    /// Towards side 0 and side 1.
    pipes: [Pipe; 2],
    /// Fencing tokens by the side that opened the stream, and its number.
    tokens: BTreeMap<(usize, u32), (u64, u64)>,
    /// Whether each end still has the connection open.
    open: [bool; 2],
    /// Whether each end has been notified that it is open.
    announced: [bool; 2],
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Arrival(usize, bool),
    /// A local run ends: side, epoch of its gateway, ticket, and attempt (0 if the site's servers were
    /// unreachable).
    Done(usize, u64, Ticket, u64),
    SiteFault(usize),
}

/// Most bytes in flight in one direction of a connection.
const IN_PIPE: usize = 256 << 10;
const NAMES: [&str; 2] = ["north", "south"];

/// The simulation of two sites.
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
    /// Bytes of bodies that crossed the link and reached a client.
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
    /// Sets up both sites, and schedules the faults of the script.
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

    /// Runs to the end of the scenario, and then for the waiting time of clients plus 1 s, so that all
    /// requests are answered.
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
            let remembered = status.sites.iter().flat_map(|s| &s.gateways).map(|g| g.remembered_tokens).sum();
            let now = [self.wires.len() as u64, status.forwarded, status.remote_requests, remembered];
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
}
