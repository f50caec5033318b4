//! The crash and the cold start of servers, and the endpoint updates that report them.

use linnethook::interface::{AttemptStatus, Endpoint, EndpointPhase, EndpointUpdate, Event as PolicyEvent};
use rand::RngExt;

use super::fleet::{Event, Fleet, LOCAL_DELAY};
use super::trial::UpdateDelay;

impl Fleet<'_> {
    pub(super) fn crash(&mut self) {
        for n in self.trial.cold_server_indices() {
            let server = &mut self.servers[n];
            (server.up, server.in_flight, server.crashes, server.has_all_objects) =
                (false, 0, server.crashes + 1, false);
            server.copies.clear();
            let affected: Vec<u64> =
                self.attempts.iter().filter(|(_, a)| a.server == n).map(|(number, _)| *number).collect();
            affected
                .into_iter()
                .for_each(|number| self.respond(number, AttemptStatus::Reset, None, LOCAL_DELAY));
            self.announce(n, EndpointPhase::Removed);
        }
    }

    pub(super) fn start(&mut self) {
        for n in self.trial.cold_server_indices() {
            let now = self.now;
            let server = &mut self.servers[n];
            (server.up, server.endpoint.started_at) = (true, now);
            self.announce(n, EndpointPhase::Ready);
        }
    }

    fn announce(&mut self, server: usize, phase: EndpointPhase) {
        let max_delay = match self.trial.update_delay {
            UpdateDelay::Soon => 500.0,
            UpdateDelay::Late => 4_500.0,
        };
        for router in 0..self.trial.routers {
            let delay = self.rng.random_range(20.0..max_delay);
            self.add(self.now + delay, Event::EndpointUpdate(router, server, phase));
        }
    }

    pub(super) fn deliver_endpoint_update(&mut self, router: usize, server: usize, phase: EndpointPhase) {
        // An update that is older than the last one is dropped.
        if phase == EndpointPhase::Ready {
            self.notified_at[router].insert(server, self.now);
        } else if self.notified_at[router].contains_key(&server) {
            return;
        }
        let started_at =
            if phase == EndpointPhase::Ready { self.servers[server].endpoint.started_at } else { 0.0 };
        let endpoint = Endpoint { phase, started_at, ..self.servers[server].endpoint };
        self.notify_policy(
            router,
            &PolicyEvent::Endpoints { update: EndpointUpdate::Incremental, endpoints: vec![endpoint] },
        );
    }
}
