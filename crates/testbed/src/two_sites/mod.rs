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
struct PendingRequest {
    id: u64,
    object: u64,
    booking: bool,
    size: usize,
    since: Ms,
    deadline: Ms,
    passed: Vec<String>,
    /// Sent by a client of this side, not forwarded by the other site.
    from_local_client: bool,
    /// Served by this side, not forwarded.
    served_locally: bool,
}

struct Side {
    gateway: Gateway,
    epoch: u64,
    last: Ticket,
    pending_requests: BTreeMap<Ticket, PendingRequest>,
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

struct Connection {
    up: Ms,
    dialer: (usize, usize),
    /// Towards side 0 and side 1.
    pipes: [Pipe; 2],
    /// Fencing tokens by the side that opened the stream, and its number.
    tokens: BTreeMap<(usize, u32), (u64, u64)>,
    /// Whether the network has cut it; otherwise one of its ends has closed it.
    cut: bool,
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
const MAX_BYTES_IN_FLIGHT: usize = 256 << 10;
const NAMES: [&str; 2] = ["north", "south"];

/// The simulation of two sites.
pub struct Simulation {
    scenario: Scenario,
    now: Ms,
    random: Pcg64Mcg,
    sides: Vec<Side>,
    connections: BTreeMap<ConnectionId, Connection>,
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
    pub fn new(scenario: Scenario) -> Self {
        let random = Pcg64Mcg::seed_from_u64(scenario.seed);
        let mut simulation = Self {
            now: 0.0,
            random,
            sides: Vec::new(),
            connections: BTreeMap::new(),
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
            scenario,
        };
        simulation.sides = (0..2).map(|n| simulation.side(n, 1)).collect();
        for n in 0..simulation.scenario.script.len() {
            simulation.schedule(simulation.scenario.script[n].0, SimulationEvent::SiteFault(n));
        }
        for side in 0..2 {
            for booking in [false, true] {
                simulation.next_arrival(side, booking);
            }
        }
        simulation
    }

    fn side(&self, n: usize, epoch: u64) -> Side {
        let setup = GatewaySetup {
            site: NAMES[n].to_string(),
            other_sites: vec![NAMES[1 - n].to_string()],
            node: "g".to_string(),
            epoch,
            seed: self.scenario.seed * 10 + n as u64,
            // The north dials.
            dial_sites: if n == 0 { vec![NAMES[1].to_string()] } else { Vec::new() },
            accepts_cluster_peers: false,
            config: self.scenario.rules,
        };
        let mut gateway = Gateway::new(self.now, setup);
        gateway.report_local_load(self.now, 3, 0.2);
        Side { gateway, epoch, last: 0, pending_requests: BTreeMap::new(), store: true, caches: true }
    }

    fn schedule(&mut self, at: Ms, event: SimulationEvent) {
        self.count += 1;
        self.events.insert(((at.max(0.0) * 1_000.0) as u64, self.count), event);
    }

    fn next_arrival(&mut self, side: usize, booking: bool) {
        let rate = if booking { self.scenario.bookings } else { self.scenario.reads };
        let Ok(gap) = Exp::new(rate / 1_000.0) else { return };
        let at = self.now + gap.sample(&mut self.random);
        if rate > 0.0 && at < self.scenario.length {
            self.schedule(at, SimulationEvent::Arrival(side, booking));
        }
    }

    /// Runs to the end of the scenario, and then for the waiting time of clients plus 1 s, so that all
    /// requests are answered.
    pub fn run(mut self) -> Outcome {
        let end = self.scenario.length + self.scenario.wait + 1_000.0;
        while self.now < end {
            self.now += 1.0;
            while let Some(entry) =
                self.events.first_entry().filter(|e| e.key().0 as Ms / 1_000.0 <= self.now)
            {
                let event = entry.remove();
                self.handle_event(event);
            }
            for n in 0..2 {
                if self.sides[n].gateway.next_deadline(self.now) <= self.now {
                    self.sides[n].gateway.on_timer(self.now);
                    self.run_actions(n);
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
            let now = [self.connections.len() as u64, status.forwarded, status.remote_requests, remembered];
            for (most, now) in self.out.most.iter_mut().zip(now) {
                *most = (*most).max(now);
            }
        }
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrival(side, booking) => {
                self.next_arrival(side, booking);
                self.arrive(side, booking);
            }
            SimulationEvent::Done(n, epoch, ticket, attempt) => self.complete(n, epoch, ticket, attempt),
            SimulationEvent::SiteFault(n) => self.apply_fault(self.scenario.script[n].1),
        }
    }
}
