//! Faults, and what servers report to routers: updates of the endpoint list with their delay, purges, load.

use linnethook::interface::{
    AttemptStatus, EndpointPhase, EndpointUpdate, Event as PolicyEvent, LoadReport, ObjectId,
};
use rand::RngExt;

use super::{
    micros, ms, Event, Fault, Health, Number, Stage, World, COLD, ORIGIN, PARENT, PURGE_DONE, TOP, WELL,
};
use crate::copies::Copies;
use crate::Micros;

impl World {
    pub(super) fn strike(&mut self, now: Micros, fault: Fault) {
        let n = fault.server().unwrap_or(0);
        if n >= self.servers.len() {
            return;
        }
        let health = &mut self.servers[n].health;
        match fault {
            Fault::Die(_) => self.dies(now, n),
            Fault::Start(_) => self.starts(now, n),
            Fault::Silent(_, silent) => health.silent = silent,
            Fault::Stall(_, stalled) => health.stalled = stalled,
            Fault::FailFast(_, fails) => health.fails = fails,
            Fault::Slow(_, times) => {
                health.slow = times.max(0.01);
                if n == self.plan.origin() {
                    self.origin_slows(now, times.max(0.01));
                }
            }
            Fault::Age(_, by) => {
                // The slowdown so far stays until the server restarts.
                health.slow = health.slowness(now);
                health.ages = (by > 0.0).then_some((now, by));
            }
            Fault::Drain(_) => {
                // The endpoint list never reports the origin as draining.
                if self.servers[n].member.phase == EndpointPhase::Ready && n != self.plan.origin() {
                    self.servers[n].member.phase = EndpointPhase::Draining;
                    self.tell_late(now, n);
                }
            }
            Fault::Cut(location, cut) => {
                if let Some(known) = self.cut.get_mut(location) {
                    *known = cut;
                }
            }
            Fault::Move(from, to) => self.moves_home(now, from, to),
            Fault::Link(blow) => self.blow(now, blow),
            Fault::ListLate(late) => self.list_late = late,
            Fault::ReportsLate(every) => self.report_every = every.max(1.0),
            Fault::Rate(times) => self.busy = times.max(1e-6),
            Fault::Purge(count) => self.purge(now, count),
        }
    }

    fn tell_late(&mut self, now: Micros, n: usize) {
        self.queue.add(now + micros(self.list_late), Event::List(n));
    }

    /// A server crashes under overload, and restarts after `restart_delay`.
    pub(super) fn falls(&mut self, now: Micros, n: usize) {
        self.seen.fell += 1;
        self.notes.fell(now, &self.plan, n);
        self.strike(now, Fault::Die(n));
        self.queue.add(now + micros(self.plan.away * 1_000.0), Event::Back(n));
    }

    fn dies(&mut self, now: Micros, n: usize) {
        let server = &mut self.servers[n];
        if !server.health.up {
            return;
        }
        server.health.up = false;
        let kind = server.member.role;
        server.copies = Copies::new(match kind {
            0 => self.plan.cache_copies,
            _ => self.plan.parent_copies,
        });
        let there = self.attempts.iter().filter(|(_, a)| a.server == n && a.stage != Stage::ToCache);
        let there: Vec<Number> = there.map(|(number, _)| *number).collect();
        there.into_iter().for_each(|number| self.end(now, number, AttemptStatus::Reset));
        match kind {
            PARENT | TOP => self.parent_lost(now, n),
            ORIGIN => return self.origin_lost(now),
            _ => {}
        }
        self.servers[n].member.phase = EndpointPhase::Removed;
        self.tell_late(now, n);
    }

    fn starts(&mut self, now: Micros, n: usize) {
        let server = &mut self.servers[n];
        let drained = server.health.up;
        server.member.phase = EndpointPhase::Ready;
        if !drained {
            server.health = WELL;
            (server.in_hand, server.asked, server.hits) = (0, 0, 0);
            server.came.clear();
            server.filling.clear();
            server.renewing.clear();
            let (able, cold) = match server.member.role {
                0 => (self.plan.cache_able, COLD[0]),
                PARENT | TOP => (self.plan.parent_able, COLD[1]),
                _ => return,
            };
            server.member.started_at = ms(now);
            if able > 0.0 {
                self.notes.started(now, &self.plan, n, able, cold);
            }
        }
        self.tell_late(now, n);
    }

    /// Routers receive an update of the endpoint list with the current state of a server.
    pub(super) fn list(&mut self, now: Micros, n: usize) {
        let Some(member) = self.servers.get(n).map(|server| server.member) else { return };
        // Routers do not have the parents of parents in their endpoint list, only in the hierarchy.
        if member.role == TOP {
            return (0..self.brains.len()).for_each(|router| self.list_tiers(now, router, n));
        }
        for router in 0..self.brains.len() {
            self.notes.listed(now, &self.plan, router, n, &member);
            self.list_tiers(now, router, n);
            self.own_caches(now, router);
            self.tell(
                now,
                router,
                &PolicyEvent::Endpoints { update: EndpointUpdate::Incremental, endpoints: vec![member] },
            );
        }
    }

    /// Purges objects drawn by popularity: routers are notified at once, servers remove older copies after a
    /// random delay.
    fn purge(&mut self, now: Micros, count: u32) {
        for _ in 0..count {
            let object = self.demand.object(now, &mut self.chance);
            for router in 0..self.brains.len() {
                self.notes.purged(now, router, object, now);
                let id = ObjectId(linnethook::hash_ring::hash_pair(object, 1));
                self.tell(now, router, &PolicyEvent::Purge { object: Some(id), group: 0, age: 0.0 });
            }
            let late = self.chance.random_range(0.0..PURGE_DONE * 0.9);
            self.queue.add(now + micros(late), Event::Drop(object, now));
        }
    }

    /// Removes the copies of all parts of an object that were made before a purge.
    pub(super) fn drop_copies(&mut self, object: u64, stamp: Micros) {
        for part in 0..self.plan.parts.max(1) {
            let key =
                if part == 0 { object } else { linnethook::hash_ring::hash_pair(object, u64::from(part)) };
            for server in &mut self.servers {
                if server.copies.get(key).is_some_and(|made| made < stamp) {
                    server.copies.drop_copy(key);
                }
            }
        }
    }

    /// Updates the load that servers report with their responses.
    pub(super) fn stock(&mut self, now: Micros) {
        let Self { servers, wires, plan, report_every, .. } = self;
        for server in servers {
            let Health { up, .. } = server.health;
            if !up {
                continue;
            }
            let zone = usize::from(server.member.zone).min(plan.locations);
            let link = &wires[if server.member.role == 0 { zone } else { server.link }].fair;
            let busy = server.in_hand as f64 / plan.slots.max(1) as f64;
            let hit_share = (server.asked > 0).then(|| f64::from(server.hits) / f64::from(server.asked));
            let carries = [plan.location_link, plan.origin_link][usize::from(server.member.role != 0)];
            let used = link.pace() * link.len() as f64 * 1e6 / carries;
            server.reported = LoadReport {
                in_flight: Some(server.in_hand as f64),
                utilization: Some(busy),
                hit_ratio: hit_share,
                link_utilization: Some(if server.member.role == 0 {
                    used.min(1.0)
                } else {
                    server.fetching.len() as f64
                }),
            };
            (server.asked, server.hits) = (0, 0);
        }
        self.queue.add(now + micros(*report_every), Event::Stock);
    }
}
