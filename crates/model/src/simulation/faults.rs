//! Faults, and what servers report to routers: updates of the endpoint list with their delay, purges, load.

use linnethook::interface::{
    AttemptStatus, EndpointPhase, EndpointUpdate, Event as PolicyEvent, LoadReport, ObjectId,
};
use rand::RngExt;

use super::{
    micros, ms, Event, Fault, Health, Number, Simulation, Stage, HEALTHY, ORIGIN, PARENT, PURGE_COMPLETION,
    SLOW_START, TOP,
};
use crate::copies::Copies;
use crate::Micros;

impl Simulation {
    pub(super) fn inject_fault(&mut self, now: Micros, fault: Fault) {
        let n = fault.server().unwrap_or(0);
        if n >= self.servers.len() {
            return;
        }
        let health = &mut self.servers[n].health;
        match fault {
            Fault::Crash(_) => self.crash_server(now, n),
            Fault::Start(_) => self.start_server(now, n),
            Fault::Silent(_, silent) => health.silent = silent,
            Fault::Stall(_, stalled) => health.stalled = stalled,
            Fault::FailFast(_, fails_fast) => health.fails_fast = fails_fast,
            Fault::Slow(_, factor) => {
                health.slow_factor = factor.max(0.01);
                if n == self.plan.origin() {
                    self.slow_origin(now, factor.max(0.01));
                }
            }
            Fault::Degrade(_, growth) => {
                // The slowdown so far stays until the server restarts.
                health.slow_factor = health.slowdown(now);
                health.degradation = (growth > 0.0).then_some((now, growth));
            }
            Fault::Drain(_) => {
                // The endpoint list never reports the origin as draining.
                if self.servers[n].endpoint.phase == EndpointPhase::Ready && n != self.plan.origin() {
                    self.servers[n].endpoint.phase = EndpointPhase::Draining;
                    self.schedule_endpoint_update(now, n);
                }
            }
            Fault::Partition(location, is_partitioned) => {
                if let Some(state) = self.partitioned.get_mut(location) {
                    *state = is_partitioned;
                }
            }
            Fault::Move(from, to) => self.move_home(now, from, to),
            Fault::Link(fault) => self.inject_link_fault(now, fault),
            Fault::EndpointUpdateDelay(delay) => self.endpoint_update_delay = delay,
            Fault::LoadReportInterval(interval) => self.load_report_interval = interval.max(1.0),
            Fault::Rate(factor) => self.rate_factor = factor.max(1e-6),
            Fault::Purge(count) => self.purge(now, count),
        }
    }

    fn schedule_endpoint_update(&mut self, now: Micros, n: usize) {
        self.queue.add(now + micros(self.endpoint_update_delay), Event::EndpointUpdate(n));
    }

    /// A server crashes under overload, and restarts after `restart_delay`.
    pub(super) fn crash_under_overload(&mut self, now: Micros, n: usize) {
        self.statistics.crashes += 1;
        self.recorder.record_server_crash(now, &self.plan, n);
        self.inject_fault(now, Fault::Crash(n));
        self.queue.add(now + micros(self.plan.restart_delay * 1_000.0), Event::Restart(n));
    }

    fn crash_server(&mut self, now: Micros, n: usize) {
        let server = &mut self.servers[n];
        if !server.health.up {
            return;
        }
        server.health.up = false;
        let role = server.endpoint.role;
        server.copies = Copies::new(match role {
            0 => self.plan.cache_copies,
            _ => self.plan.parent_copies,
        });
        let affected = self.attempts.iter().filter(|(_, a)| a.server == n && a.stage != Stage::ToEndpoint);
        let affected: Vec<Number> = affected.map(|(number, _)| *number).collect();
        affected.into_iter().for_each(|number| self.end_attempt(now, number, AttemptStatus::Reset));
        match role {
            PARENT | TOP => self.fail_waiters_of_parent(now, n),
            ORIGIN => return self.lose_origin_work(now),
            _ => {}
        }
        self.servers[n].endpoint.phase = EndpointPhase::Removed;
        self.schedule_endpoint_update(now, n);
    }

    fn start_server(&mut self, now: Micros, n: usize) {
        let server = &mut self.servers[n];
        let drained = server.health.up;
        server.endpoint.phase = EndpointPhase::Ready;
        if !drained {
            server.health = HEALTHY;
            (server.in_flight, server.requests, server.hits) = (0, 0, 0);
            server.recent_arrivals.clear();
            server.fills_in_progress.clear();
            server.revalidations.clear();
            let (throughput, slow_start) = match server.endpoint.role {
                0 => (self.plan.cache_throughput, SLOW_START[0]),
                PARENT | TOP => (self.plan.parent_throughput, SLOW_START[1]),
                _ => return,
            };
            server.endpoint.started_at = ms(now);
            if throughput > 0.0 {
                self.recorder.record_server_start(now, &self.plan, n, throughput, slow_start);
            }
        }
        self.schedule_endpoint_update(now, n);
    }

    /// Routers receive an update of the endpoint list with the current state of a server.
    pub(super) fn deliver_endpoint_update(&mut self, now: Micros, n: usize) {
        let Some(endpoint) = self.servers.get(n).map(|server| server.endpoint) else { return };
        // Routers do not have the parents of parents in their endpoint list, only in the hierarchy.
        if endpoint.role == TOP {
            return (0..self.policies.len())
                .for_each(|router| self.update_hierarchy_endpoint(now, router, n));
        }
        for router in 0..self.policies.len() {
            self.recorder.record_endpoint_update(now, &self.plan, router, n, &endpoint);
            self.update_hierarchy_endpoint(now, router, n);
            self.report_local_caches(now, router);
            self.notify_policy(
                now,
                router,
                &PolicyEvent::Endpoints { update: EndpointUpdate::Incremental, endpoints: vec![endpoint] },
            );
        }
    }

    /// Purges objects drawn by popularity: routers are notified at once, servers remove older copies after a
    /// random delay.
    fn purge(&mut self, now: Micros, count: u32) {
        for _ in 0..count {
            let object = self.demand.object(now, &mut self.rng);
            for router in 0..self.policies.len() {
                self.recorder.record_purge(now, router, object, now);
                let id = ObjectId(linnethook::hash_ring::hash_pair(object, 1));
                self.notify_policy(now, router, &PolicyEvent::Purge { object: Some(id), group: 0, age: 0.0 });
            }
            let delay = self.rng.random_range(0.0..PURGE_COMPLETION * 0.9);
            self.queue.add(now + micros(delay), Event::RemovePurgedCopies(object, now));
        }
    }

    /// Removes the copies of all parts of an object that were made before a purge.
    pub(super) fn remove_purged_copies(&mut self, object: u64, stamp: Micros) {
        for part in 0..self.plan.parts.max(1) {
            let key =
                if part == 0 { object } else { linnethook::hash_ring::hash_pair(object, u64::from(part)) };
            for server in &mut self.servers {
                if server.copies.get(key).is_some_and(|issued_at| issued_at < stamp) {
                    server.copies.remove(key);
                }
            }
        }
    }

    /// Updates the load that servers report with their responses.
    pub(super) fn update_reported_loads(&mut self, now: Micros) {
        let Self { servers, links, plan, load_report_interval, .. } = self;
        for server in servers {
            let Health { up, .. } = server.health;
            if !up {
                continue;
            }
            let zone = usize::from(server.endpoint.zone).min(plan.locations);
            let link = &links[if server.endpoint.role == 0 { zone } else { server.link }].transfers;
            let busy = server.in_flight as f64 / plan.max_requests_per_server.max(1) as f64;
            let hit_share =
                (server.requests > 0).then(|| f64::from(server.hits) / f64::from(server.requests));
            let bandwidth = [plan.location_link, plan.origin_link][usize::from(server.endpoint.role != 0)];
            let used = link.transfer_rate() * link.len() as f64 * 1e6 / bandwidth;
            server.reported_load = LoadReport {
                in_flight: Some(server.in_flight as f64),
                utilization: Some(busy),
                hit_ratio: hit_share,
                link_utilization: Some(if server.endpoint.role == 0 {
                    used.min(1.0)
                } else {
                    server.origin_fetches.len() as f64
                }),
            };
            (server.requests, server.hits) = (0, 0);
        }
        self.queue.add(now + micros(*load_report_interval), Event::LoadReports);
    }
}
