//! The simulated link: connections, bytes in flight, and the faults that change them.

use std::collections::BTreeMap;

use bytes::BytesMut;
use linnethook_gateway::attempt_ledger::{AttemptOutcome, Token};
use linnethook_gateway::codec::Message;
use linnethook_gateway::gateway::ConnectionId;
use rand::RngExt;

use super::{count, Connection, Side, Simulation, SiteFault, MAX_BYTES_IN_FLIGHT, NAMES};
use crate::recording::{Ms, RecordedEvent};

impl Simulation {
    pub(super) fn dial(&mut self, n: usize, dialer: usize) {
        self.last_conn += 1;
        let up = self.now + self.delay() * 2.0;
        let connection = Connection {
            up,
            dialer: (n, dialer),
            pipes: Default::default(),
            tokens: BTreeMap::new(),
            cut: false,
            open: [true; 2],
            announced: [false; 2],
        };
        self.connections.insert(self.last_conn, connection);
    }

    pub(super) fn delay(&mut self) -> Ms {
        (self.scenario.delay + self.random.random_range(0.0..=self.scenario.jitter.max(0.001))) * self.slow
    }

    pub(super) fn close_connection(&mut self, n: usize, conn: ConnectionId) {
        let late = self.random.random_range(0..2) == 0;
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        connection.open[n] = false;
        connection.pipes[1 - n].ended = true;
        connection.pipes[n].in_flight.clear();
        // Bytes in flight may still arrive, or are lost with the connection.
        if !late {
            connection.pipes[1 - n].in_flight.clear();
        }
        if !connection.announced[1 - n] {
            connection.open[1 - n] = false;
        }
    }

    pub(super) fn write(&mut self, n: usize, conn: ConnectionId) {
        let delay = self.delay();
        let Some(connection) = self
            .connections
            .get_mut(&conn)
            .filter(|connection| connection.open[n] && connection.announced[n])
        else {
            return;
        };
        let pipe = &mut connection.pipes[1 - n];
        while pipe.bytes < MAX_BYTES_IN_FLIGHT {
            let mut bytes = BytesMut::new();
            self.sides[n].gateway.take_output(conn, 32 << 10, &mut bytes);
            if bytes.is_empty() {
                break;
            }
            self.sides[n].gateway.mark_written(conn, bytes.len());
            pipe.bytes += bytes.len();
            pipe.busy = pipe.busy.max(self.now) + bytes.len() as Ms / self.scenario.carries;
            let arrives = pipe.busy + delay;
            // Jitter must not reorder bytes.
            let arrives = pipe.in_flight.back().map_or(arrives, |(at, _)| arrives.max(*at));
            pipe.in_flight.push_back((arrives, bytes.to_vec()));
        }
    }

    pub(super) fn deliver(&mut self) {
        let conns: Vec<ConnectionId> = self.connections.keys().copied().collect();
        for conn in conns {
            self.bring_up(conn);
            for to in 0..2 {
                if self.silent[to] {
                    continue;
                }
                while let Some(bytes) = self.arrived(conn, to) {
                    self.watch(conn, to, &bytes);
                    let now = self.now;
                    if self.connections.get(&conn).is_some_and(|connection| connection.open[to]) {
                        self.sides[to].gateway.receive(now, conn, &bytes);
                        self.run_actions(to);
                    }
                    // The sender has free capacity in the pipe again.
                    self.write(1 - to, conn);
                }
                let over = self.connections.get(&conn).is_some_and(|connection| {
                    connection.pipes[to].ended
                        && connection.pipes[to].in_flight.is_empty()
                        && connection.open[to]
                });
                if over {
                    self.end_connection(to, conn);
                    self.run_actions(to);
                }
            }
            if self.connections.get(&conn).is_some_and(|connection| connection.open == [false; 2]) {
                self.connections.remove(&conn);
            }
        }
    }

    /// Notifies the gateway of a side of the end of a connection.
    fn end_connection(&mut self, side: usize, conn: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        connection.open[side] = false;
        let gateway = &mut self.sides[side].gateway;
        if connection.cut {
            gateway.connection_lost(self.now, conn);
        } else {
            gateway.connection_closed(self.now, conn);
        }
    }

    pub(super) fn bring_up(&mut self, conn: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        if connection.announced[connection.dialer.0] || self.now < connection.up {
            return;
        }
        let (n, dialer) = connection.dialer;
        let barred = self.silent[0] || self.silent[1];
        if self.cut || barred && self.now > connection.up + 400.0 {
            self.connections.remove(&conn);
            self.sides[n].gateway.dial_failed(self.now, dialer);
            return;
        }
        if barred {
            return;
        }
        connection.announced = [true; 2];
        self.sides[n].gateway.connection_opened(self.now, conn, Some(dialer));
        self.sides[1 - n].gateway.connection_opened(self.now, conn, None);
        self.run_actions(0);
        self.run_actions(1);
    }

    pub(super) fn arrived(&mut self, conn: ConnectionId, to: usize) -> Option<Vec<u8>> {
        let pipe = &mut self.connections.get_mut(&conn)?.pipes[to];
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
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        let Connection { pipes, tokens, .. } = connection;
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

    pub(super) fn apply_fault(&mut self, fault: SiteFault) {
        match fault {
            SiteFault::Cut => {
                self.cut = true;
                let conns: Vec<ConnectionId> = self.connections.keys().copied().collect();
                for conn in conns {
                    let late = self.random.random_range(0..2) == 0;
                    let Some(connection) = self.connections.get_mut(&conn) else { continue };
                    if !connection.announced[0] {
                        continue;
                    }
                    connection.cut = true;
                    for pipe in &mut connection.pipes {
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
            SiteFault::Store(n, available) => self.sides[n].store = available,
            SiteFault::Caches(n, available) => {
                self.sides[n].caches = available;
                let now = self.now;
                self.sides[n].gateway.report_local_load(now, if available { 3 } else { 0 }, 0.2);
                self.run_actions(n);
            }
            SiteFault::Restart(n) => {
                for pending in std::mem::take(&mut self.sides[n].pending_requests)
                    .into_values()
                    .filter(|a| a.from_local_client)
                {
                    self.record.note_at(self.now, RecordedEvent::Released { request: pending.id });
                    self.tally(pending.booking).released += 1;
                }
                let conns: Vec<ConnectionId> = self.connections.keys().copied().collect();
                for conn in conns {
                    if self.connections.get(&conn).is_some_and(|connection| !connection.announced[0]) {
                        self.connections.remove(&conn);
                    } else {
                        self.close_connection(n, conn);
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
