//! The steps of a turn of the event loop: ready connections are served within a bound of time.

use calloop::Readiness;

use crate::log::log_line;
use crate::policy_adapter::Ms;
use crate::turn::{ConnectionKind, ReadyConnection, Side, TurnWork, READABLE};

use super::Router;

impl Router {
    /// Begins a turn of the event loop.
    pub fn begin_wait(&mut self) {
        self.turn.begin_wait(self.clock.now());
    }

    /// Ends the wait of a turn that had no event either: what is read from here on has just arrived.
    pub fn end_wait(&mut self) {
        self.note_event();
    }

    /// Ends a turn. One that took longer than the bound is logged.
    pub fn end_turn(&mut self) {
        let duration = self.turn.duration(self.clock.now());
        let Some(times) = self.turn_durations.end_turn(duration) else { return };
        log_line!(
            duration_ms = duration.round(),
            accepts_ms = times.get(TurnWork::Accepts).round(),
            clients_ms = times.get(TurnWork::Clients).round(),
            caches_ms = times.get(TurnWork::Upstreams).round(),
            journal_ms = times.get(TurnWork::Discovery).round(),
            links_ms = times.get(TurnWork::Links).round(),
            commands_ms = times.get(TurnWork::Commands).round(),
            timers_ms = times.get(TurnWork::Timers).round(),
            clients = self.proxy.gauges().clients,
            "a turn of the event loop took longer than its bound"
        );
    }

    /// Does a part of this turn's work, and records how long it takes.
    pub(super) fn measure<T>(&mut self, work: TurnWork, step: impl FnOnce(&mut Self) -> T) -> T {
        let begin = self.clock.now();
        let outcome = step(self);
        self.turn_durations.add(work, self.clock.now() - begin);
        outcome
    }

    /// Records that an event of this turn is handled.
    pub(super) fn note_event(&mut self) {
        self.turn.note_event(self.clock.now());
        self.proxy.set_earliest_arrival(self.turn.earliest_arrival());
    }

    /// Accepts nobody, but marks all connections as ready, whether or not they were reported.
    pub fn mark_all_ready(&mut self) {
        for id in self.discovery.connection_ids() {
            self.ready.insert(ConnectionKind::Discovery, id, READABLE);
        }
        self.proxy.mark_all_ready();
    }

    /// Serves connections that are ready until none is left, or the time of their side is over. The others are served
    /// in later turns.
    pub fn serve_ready(&mut self) {
        self.serve_side(Side::Upstream, self.limits.turn.upstream_ms);
        self.serve_side(Side::Downstream, self.limits.turn.downstream_ms);
    }

    fn serve_side(&mut self, side: Side, max_duration: Ms) {
        let until = self.clock.now() + max_duration;
        while let Some((connection, readiness)) = self.ready.pop(side) {
            let work = match connection.kind {
                ConnectionKind::Discovery => TurnWork::Discovery,
                ConnectionKind::Upstream => TurnWork::Upstreams,
                ConnectionKind::Link => TurnWork::Links,
                ConnectionKind::NewClient | ConnectionKind::Client => TurnWork::Clients,
            };
            self.measure(work, |router| router.serve(connection, readiness));
            if self.clock.now() >= until {
                return;
            }
        }
    }

    /// Reads and writes one connection.
    fn serve(&mut self, connection: ReadyConnection, readiness: Readiness) {
        let ReadyConnection { kind, id } = connection;
        match kind {
            ConnectionKind::Discovery => self.serve_discovery(id, readiness),
            ConnectionKind::Upstream => self.proxy.serve_upstream(id, readiness),
            ConnectionKind::Link => self.proxy.serve_link(id, readiness),
            ConnectionKind::NewClient | ConnectionKind::Client => self.proxy.serve_client(id, readiness),
        }
    }

    fn serve_discovery(&mut self, id: u64, readiness: Readiness) {
        self.ready.remove(ConnectionKind::Discovery, id);
        let events = self.discovery.serve(self.clock.now(), id, readiness);
        self.on_watch_events(events);
        self.proxy.process_outcomes();
    }
}
