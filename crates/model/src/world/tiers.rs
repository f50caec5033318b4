//! The hierarchy of each router, the one that is shipped, and its effect on the fills that the decision
//! module selects.
//!
//! This module selects no source: it carries out the decisions of the hierarchy and reports the results to
//! it.

use linnethook::hash_ring::hash_pair;
use linnethook::interface::{
    AttemptStatus, CacheStatus, EndpointId, EndpointPhase, Event as PolicyEvent, FillInstruction, FillSource,
    FillSources,
};
use linnethook_hierarchy::origin_shield::{Priority, QueuedDecision, ShieldDecision};
use linnethook_hierarchy::{
    AuthorId, Change, ChangeBatch, FillResult, Hierarchy, HierarchyConfig, Node, NodeId, Role, SelectedFill,
    Source,
};

use super::{micros, ms, Attempt, Event, Number, Stage, World, ORIGIN, PARENT, TOP};
use crate::Micros;

/// The author of all hierarchy changes.
const AUTHOR: AuthorId = AuthorId(1);

/// The hierarchies of all routers.
#[derive(Default)]
pub(super) struct Tiers {
    routers: Vec<Hierarchy>,
    /// When the next scheduled timer event of each hierarchy is due.
    due: Vec<Micros>,
    /// Batches of changes, by the number in their event.
    batches: Vec<ChangeBatch>,
}

/// The shield's ticket of a fill.
fn ticket(attempt: &Attempt) -> u64 {
    attempt.request << 8 | u64::from(attempt.number)
}

fn brought(status: AttemptStatus, note: Option<CacheStatus>) -> FillResult {
    match (status, note) {
        (AttemptStatus::Ok, Some(CacheStatus::FilledByParent)) => FillResult::ServedFromCache,
        (AttemptStatus::Ok, Some(CacheStatus::FilledByOrigin)) => FillResult::ServedFromOrigin,
        (AttemptStatus::Ok, Some(CacheStatus::Hit | CacheStatus::Stale)) => FillResult::AlreadyCached,
        (AttemptStatus::Ok, _) => FillResult::ServedFromUnknown,
        (AttemptStatus::Cancelled | AttemptStatus::NotExecuted, _) | (_, Some(CacheStatus::NoCapacity)) => {
            FillResult::Abandoned
        }
        (AttemptStatus::ConnectFailed, _) | (AttemptStatus::Rejected, None) => FillResult::Abandoned,
        _ => FillResult::Failed,
    }
}

impl World {
    /// Creates the hierarchies with the initial topology: caches fill from the home parent of their location,
    /// then from the origin.
    pub(super) fn build_tiers(&mut self) {
        let Some(rule) = self.plan.tiers else { return };
        let id = |n: usize| self.servers[n].member.id;
        let (origin, first) = (self.plan.origin(), self.plan.locations * self.plan.caches);
        let homes = rule.homes.clamp(1, self.plan.parents.max(1));
        let mut changes = Vec::new();
        // A source has to be added before its children.
        for n in (0..self.servers.len()).rev() {
            let member = self.servers[n].member;
            let (role, tier, sources) = match member.role {
                ORIGIN => (Role::Origin, 3, Vec::new()),
                TOP => (Role::Parent, 2, vec![Source::new(id(origin), 0)]),
                PARENT => {
                    let tops = (origin - self.plan.tops..origin).map(|n| Source::new(id(n), 0));
                    let last = Source::new(id(origin), u16::from(self.plan.tops > 0));
                    (Role::Parent, 1, tops.chain(std::iter::once(last)).collect())
                }
                _ => {
                    let home = id(first + usize::from(member.zone) % homes);
                    (Role::Cache, 0, vec![Source::new(home, 0), Source::new(id(origin), 1)])
                }
            };
            let site = u32::from(member.zone);
            let node = Node { id: member.id, role, site, tier, capacity: member.weight, retiring: false };
            changes.push(Change::Add { node, sources });
        }
        let mut rules = HierarchyConfig {
            rollout_enabled: rule.staged,
            shield_enabled: rule.shielded,
            ..HierarchyConfig::default()
        };
        rules.rollout.announcement = rule.announce;
        rules.rollout.ramp_duration = rule.warm;
        rules.rollout.settling_time = rule.settle;
        for router in 0..self.brains.len() {
            let mut hierarchy = Hierarchy::new(rules);
            hierarchy.receive_batch(0.0, hierarchy.draft_batch(AUTHOR, 0.0, changes.clone()));
            let zone = router / self.plan.routers.max(1);
            for server in &self.servers {
                hierarchy.update_endpoint(
                    0.0,
                    server.member.id,
                    server.member.phase,
                    server.member.started_at,
                );
                if server.member.role == 0 && usize::from(server.member.zone) == zone {
                    hierarchy.track_child(0.0, server.member.id);
                }
            }
            self.tiers.routers.push(hierarchy);
            self.tiers.due.push(Micros::MAX);
        }
        self.note_shape(0);
        (0..self.brains.len()).for_each(|router| self.tell_feeds(0, router));
    }

    fn note_shape(&mut self, now: Micros) {
        let Some(hierarchy) = self.tiers.routers.first() else { return };
        let shape = hierarchy.topology();
        let place = |id: NodeId| self.server(id);
        let edges = self.servers.iter().enumerate().flat_map(|(n, server)| {
            let sources = shape.sources(server.member.id);
            sources.filter_map(move |source| Some((n, place(source.node)?)))
        });
        let edges: Vec<(usize, usize)> = edges.collect();
        self.notes.shape(now, &self.plan, hierarchy.version(), &edges);
    }

    /// Migrates the locations that fill from one parent to another.
    pub(super) fn moves_home(&mut self, now: Micros, from: usize, to: usize) {
        let Some(first) = self.tiers.routers.first() else { return };
        let caches = self.plan.locations * self.plan.caches;
        let parents = caches..caches + self.plan.parents;
        let id = |n: usize| parents.clone().nth(n).map(|n| self.servers[n].member.id);
        let (Some(from), Some(to)) = (id(from), id(to)) else { return };
        let moved = |id: NodeId| {
            let sources: Vec<Source> = first.topology().sources(id).collect();
            let changed = sources.iter().any(|source| source.node == from);
            let swap = |s: &Source| Source { node: if s.node == from { to } else { s.node }, ..*s };
            changed.then(|| Change::Rerank { node: id, sources: sources.iter().map(swap).collect() })
        };
        let caches = self.servers.iter().filter(|server| server.member.role == 0);
        let changes: Vec<Change> = caches.filter_map(|server| moved(server.member.id)).collect();
        if changes.is_empty() {
            return;
        }
        self.tiers.batches.push(first.draft_batch(AUTHOR, ms(now), changes));
        let late = micros(self.list_late);
        self.queue.add(now + late, Event::Shape(self.tiers.batches.len() - 1));
    }

    /// All routers receive a batch.
    pub(super) fn reshape(&mut self, now: Micros, n: usize) {
        let Some(batch) = self.tiers.batches.get(n).cloned() else { return };
        for router in 0..self.tiers.routers.len() {
            self.tiers.routers[router].receive_batch(ms(now), batch.clone());
            self.tend(now, router);
        }
        self.note_shape(now);
    }

    /// Applies an endpoint update to a hierarchy. Queued fills of an endpoint that may not be used any more
    /// are rejected.
    pub(super) fn list_tiers(&mut self, now: Micros, router: usize, server: usize) {
        let Some(hierarchy) = self.tiers.routers.get_mut(router) else { return };
        let member = self.servers[server].member;
        let cancelled =
            hierarchy.update_endpoint(ms(now), member.id, member.phase, member.started_at).cancelled;
        let own = usize::from(member.zone) == router / self.plan.routers.max(1);
        if member.role == 0 && own && member.phase != EndpointPhase::Removed {
            hierarchy.track_child(ms(now), member.id);
        }
        for ticket in cancelled {
            self.turn_back(now, ticket);
        }
        self.tend(now, router);
    }

    fn turn_back(&mut self, now: Micros, ticket: u64) {
        let Some(&number) = self.by_id.get(&(ticket >> 8, (ticket & 255) as u8)) else { return };
        if let Some(attempt) = self.attempts.get_mut(&number) {
            attempt.note = Some(CacheStatus::NoCapacity);
        }
        self.end(now, number, AttemptStatus::Rejected);
    }

    /// Sends changed fill sources to the decision module, and schedules the next timer of the hierarchy.
    fn tend(&mut self, now: Micros, router: usize) {
        self.tell_feeds(now, router);
        let next = micros(self.tiers.routers[router].next_deadline(ms(now))).max(now + 1);
        if next < self.tiers.due[router] {
            self.tiers.due[router] = next;
            self.queue.add(next, Event::Tend(router));
        }
    }

    fn tell_feeds(&mut self, now: Micros, router: usize) {
        let changed = self.tiers.routers[router].changed_fill_sources(ms(now));
        let all = |list: &[Source]| {
            list.iter().map(|s| FillSource { endpoint: s.node, priority: s.rank }).collect()
        };
        for (cache, lists) in changed {
            let feeds = FillSources {
                current: all(&lists.current),
                previous: all(&lists.previous),
                migrated_ratio: lists.fraction,
                salt: lists.salt,
            };
            self.tell(now, router, &PolicyEvent::FillSources { cache, sources: Some(feeds) });
        }
    }

    /// The timer of a router's hierarchy is due.
    pub(super) fn tend_due(&mut self, now: Micros, router: usize) {
        if now < self.tiers.due[router] {
            return;
        }
        self.tiers.due[router] = Micros::MAX;
        let released = self.tiers.routers[router].tick(ms(now)).decisions;
        self.let_go(now, released);
        self.tend(now, router);
    }

    fn let_go(&mut self, now: Micros, released: Vec<QueuedDecision>) {
        for word in released {
            let number = self.by_id.get(&(word.ticket >> 8, (word.ticket & 255) as u8)).copied();
            let Some(number) = number else { continue };
            match word.decision {
                ShieldDecision::Admit => self.goes(now, number),
                ShieldDecision::Reject { retry_after, .. } => self.only_held(now, number, retry_after),
                ShieldDecision::Queue { .. } => {}
            }
        }
    }

    /// Asks the shield to admit the fill of an attempt. Without admission the attempt is queued, or sent for
    /// a cached copy only.
    pub(super) fn admit(&mut self, now: Micros, number: Number) {
        let Some(attempt) = self.attempts.get(&number).cloned() else { return };
        let ends = self.ends(attempt.server, attempt.fill.as_ref());
        let held = attempt.fill.is_some_and(|fill| fill.only_if_cached);
        let (Some((child, source)), false) = (ends, held) else { return self.goes(now, number) };
        let Some(client) = self.clients.get(&attempt.request) else { return self.goes(now, number) };
        let aim = self.aim(client.size);
        let left = ms(client.since) + aim - ms(now);
        let picked = SelectedFill {
            ticket: ticket(&attempt),
            child,
            source,
            object: hash_pair(client.object, 1),
            key: attempt.key,
            priority: if attempt.write { Priority::Write } else { Priority::Demand },
            bytes: client.size,
            may_join: attempt.fill.is_some_and(|fill| fill.coalesce),
            max_wait: (left / 2.0).max(0.0),
        };
        let hierarchy = &mut self.tiers.routers[attempt.router];
        let verdict = hierarchy.request_fill(ms(now), &picked);
        let version = hierarchy.version();
        let hops = hierarchy.onward_path(ms(now), child, source, picked.object);
        let beside = hops.iter().find(|hop| hop.cached_only).and_then(|hop| self.server(hop.node));
        if let Some(attempt) = self.attempts.get_mut(&number) {
            (attempt.tolled, attempt.beside, attempt.version) = (true, beside, Some(version));
        }
        match verdict {
            ShieldDecision::Admit => self.goes(now, number),
            ShieldDecision::Queue { .. } => self.set_stage(number, Stage::Held),
            ShieldDecision::Reject { retry_after, .. } => self.only_held(now, number, retry_after),
        }
        self.tend(now, attempt.router);
    }

    /// The child and the source of a fill that the shield decides about; `None` if the attempt uses no tier
    /// above the caches.
    fn ends(&self, server: usize, fill: Option<&FillInstruction>) -> Option<(EndpointId, EndpointId)> {
        let at = self.servers[server].member;
        let source = fill.map(|fill| fill.source).filter(|source| *source != at.id);
        match source.and_then(|source| self.server(source)) {
            Some(source) if self.servers[source].member.role != 0 => {
                Some((at.id, self.servers[source].member.id))
            }
            None if at.role != 0 => Some((at.id, at.id)),
            _ => None,
        }
    }

    fn only_held(&mut self, now: Micros, number: Number, come_back: f64) {
        let Some(attempt) = self.attempts.get_mut(&number) else { return };
        attempt.tolled = false;
        if let Some(fill) = &mut attempt.fill {
            fill.only_if_cached = true;
        }
        self.come_back.insert(attempt.request, come_back);
        self.goes(now, number);
    }

    /// Cancels a fill that is queued in the shield.
    pub(super) fn forget_held(&mut self, attempt: &Attempt) {
        if let Some(hierarchy) = self.tiers.routers.get_mut(attempt.router) {
            hierarchy.cancel_fill(ticket(attempt));
        }
    }

    /// Reports the end of an attempt that the shield has admitted.
    pub(super) fn toll(&mut self, now: Micros, attempt: &Attempt) {
        if !attempt.tolled || self.tiers.routers.is_empty() {
            return;
        }
        let size = self.clients.get(&attempt.request).map_or(self.plan.demand.size, |client| client.size);
        let late = ms(now - attempt.sent) > self.aim(size);
        let came = brought(attempt.status, attempt.note);
        let hierarchy = &mut self.tiers.routers[attempt.router];
        let released = hierarchy.complete_fill(ms(now), ticket(attempt), came, late);
        self.let_go(now, released);
        self.tend(now, attempt.router);
    }

    /// Looks up a miss of the source at the former source, while the child is migrating from there.
    pub(super) fn found_beside(&mut self, number: Number, max_age: f64, now: Micros) -> Option<Micros> {
        let attempt = self.attempts.get(&number)?;
        let (beside, key) = (attempt.beside?, attempt.key);
        let health = self.servers[beside].health;
        let there = health.up && !health.silent && !health.stalled && !health.fails;
        if there {
            self.held(now, beside, key, max_age)
        } else {
            None
        }
    }
}
