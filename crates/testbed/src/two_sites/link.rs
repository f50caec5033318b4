//! The simulated link: connections, bytes in flight, and the faults that change them.

use std::collections::BTreeMap;

use bytes::BytesMut;
use linnethook_gateway::attempt_ledger::{AttemptOutcome, Token};
use linnethook_gateway::codec::Message;
use linnethook_gateway::gateway::ConnectionId;
use rand::RngExt;

use super::{count, Side, Simulation, SiteFault, Wire, IN_PIPE, NAMES};
use crate::recording::{Ms, RecordedEvent};

impl Simulation {
    pub(super) fn dial(&mut self, n: usize, dialer: usize) {
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

    pub(super) fn delay(&mut self) -> Ms {
        (self.play.delay + self.chance.random_range(0.0..=self.play.jitter.max(0.001))) * self.slow
    }

    pub(super) fn hang_up(&mut self, n: usize, conn: ConnectionId) {
        let late = self.chance.random_range(0..2) == 0;
        let Some(wire) = self.wires.get_mut(&conn) else { return };
        wire.open[n] = false;
        wire.pipes[1 - n].ended = true;
        wire.pipes[n].in_flight.clear();
        // Bytes in flight may still arrive, or are lost with the connection.
        if !late {
            wire.pipes[1 - n].in_flight.clear();
        }
        if !wire.announced[1 - n] {
            wire.open[1 - n] = false;
        }
    }

    pub(super) fn write(&mut self, n: usize, conn: ConnectionId) {
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
            // Jitter must not reorder bytes.
            let arrives = pipe.in_flight.back().map_or(arrives, |(at, _)| arrives.max(*at));
            pipe.in_flight.push_back((arrives, bytes.to_vec()));
        }
    }

    pub(super) fn deliver(&mut self) {
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
                    // The sender has free capacity in the pipe again.
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

    pub(super) fn bring_up(&mut self, conn: ConnectionId) {
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

    pub(super) fn arrived(&mut self, conn: ConnectionId, to: usize) -> Option<Vec<u8>> {
        let pipe = &mut self.wires.get_mut(&conn)?.pipes[to];
        let (at, _) = pipe.in_flight.front()?;
        if *at > self.now {
            return None;
        }
        let (_, bytes) = pipe.in_flight.pop_front()?;
        pipe.bytes -= bytes.len();
        Some(bytes)
    }

    /// Decodes the frames that arrive, and records what the rules need.
    pub(super) fn watch(&mut self, conn: ConnectionId, to: usize, bytes: &[u8]) {
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
                    // The report goes to the issuer of the token, which is the receiving side.
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

    pub(super) fn apply_fault(&mut self, apply_fault: SiteFault) {
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
