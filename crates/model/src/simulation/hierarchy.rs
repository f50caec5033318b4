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

use super::{micros, ms, Attempt, Event, Number, Simulation, Stage, ORIGIN, PARENT, TOP};
use crate::Micros;

/// The author of all hierarchy changes.
const AUTHOR: AuthorId = AuthorId(1);

/// The hierarchies of all routers.
#[derive(Default)]
pub(super) struct Hierarchies {
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

fn fill_result(status: AttemptStatus, cache_status: Option<CacheStatus>) -> FillResult {
    match (status, cache_status) {
        (AttemptStatus::Ok, Some(CacheStatus::FilledByParent)) => FillResult::ServedFromCache,
        (AttemptStatus::Ok, Some(CacheStatus::FilledByOrigin)) => FillResult::ServedFromOrigin,
        (AttemptStatus::Ok, Some(CacheStatus::Hit | CacheStatus::Stale)) => FillResult::AlreadyCached,
        (AttemptStatus::Ok, _) => FillResult::ServedFromUnknown,
        (AttemptStatus::Cancelled | AttemptStatus::NotExecuted, _) | (_, Some(CacheStatus::NoCapacity)) => {
            FillResult::Abandoned
        }
        (AttemptStatus::ConnectFailed | AttemptStatus::NotSent, _) | (AttemptStatus::Rejected, None) => {
            FillResult::Abandoned
        }
        _ => FillResult::Failed,
    }
}

impl Simulation {
    /// Creates the hierarchies with the initial topology: caches fill from the home parent of their location,
    /// then from the origin.
    pub(super) fn build_hierarchies(&mut self) {
        let Some(plan) = self.plan.hierarchy else { return };
        let id = |n: usize| self.servers[n].endpoint.id;
        let (origin, first) = (self.plan.origin(), self.plan.locations * self.plan.caches);
        let home_parents = plan.home_parents.clamp(1, self.plan.parents.max(1));
        let mut changes = Vec::new();
        // A source has to be added before its children.
        for n in (0..self.servers.len()).rev() {
            let endpoint = self.servers[n].endpoint;
            let (role, tier, sources) = match endpoint.role {
                ORIGIN => (Role::Origin, 3, Vec::new()),
                TOP => (Role::Parent, 2, vec![Source::new(id(origin), 0)]),
                PARENT => {
                    let tops = (origin - self.plan.top_parents..origin).map(|n| Source::new(id(n), 0));
                    let last = Source::new(id(origin), u16::from(self.plan.top_parents > 0));
                    (Role::Parent, 1, tops.chain(std::iter::once(last)).collect())
                }
                _ => {
                    let home = id(first + usize::from(endpoint.zone) % home_parents);
                    (Role::Cache, 0, vec![Source::new(home, 0), Source::new(id(origin), 1)])
                }
            };
            let site = u32::from(endpoint.zone);
            let node = Node { id: endpoint.id, role, site, tier, capacity: endpoint.weight, retiring: false };
            changes.push(Change::Add { node, sources });
        }
        let mut config = HierarchyConfig {
            rollout_enabled: plan.staged,
            shield_enabled: plan.shielded,
            ..HierarchyConfig::default()
        };
        config.rollout.announcement = plan.announcement;
        config.rollout.ramp_duration = plan.ramp_duration;
        config.rollout.settling_time = plan.settling_time;
        for router in 0..self.policies.len() {
            let mut hierarchy = Hierarchy::new(config);
            hierarchy.receive_batch(0.0, hierarchy.draft_batch(AUTHOR, 0.0, changes.clone()));
            let zone = router / self.plan.routers.max(1);
            for server in &self.servers {
                hierarchy.update_endpoint(
                    0.0,
                    server.endpoint.id,
                    server.endpoint.phase,
                    server.endpoint.started_at,
                );
                if server.endpoint.role == 0 && usize::from(server.endpoint.zone) == zone {
                    hierarchy.track_child(0.0, server.endpoint.id);
                }
            }
            self.hierarchies.routers.push(hierarchy);
            self.hierarchies.due.push(Micros::MAX);
        }
        self.record_topology(0);
        (0..self.policies.len()).for_each(|router| self.update_fill_sources(0, router));
    }

    fn record_topology(&mut self, now: Micros) {
        let Some(hierarchy) = self.hierarchies.routers.first() else { return };
        let topology = hierarchy.topology();
        let index = |id: NodeId| self.server_index(id);
        let edges = self.servers.iter().enumerate().flat_map(|(n, server)| {
            let sources = topology.sources(server.endpoint.id);
            sources.filter_map(move |source| Some((n, index(source.node)?)))
        });
        let edges: Vec<(usize, usize)> = edges.collect();
        self.recorder.record_topology(now, &self.plan, hierarchy.version(), &edges);
    }

    /// Migrates the locations that fill from one parent to another.
    pub(super) fn move_home(&mut self, now: Micros, from: usize, to: usize) {
        let Some(first) = self.hierarchies.routers.first() else { return };
        let caches = self.plan.locations * self.plan.caches;
        let parents = caches..caches + self.plan.parents;
        let id = |n: usize| parents.clone().nth(n).map(|n| self.servers[n].endpoint.id);
        let (Some(from), Some(to)) = (id(from), id(to)) else { return };
        let migrate = |id: NodeId| {
            let sources: Vec<Source> = first.topology().sources(id).collect();
            let changed = sources.iter().any(|source| source.node == from);
            let replace = |s: &Source| Source { node: if s.node == from { to } else { s.node }, ..*s };
            changed.then(|| Change::Rerank { node: id, sources: sources.iter().map(replace).collect() })
        };
        let caches = self.servers.iter().filter(|server| server.endpoint.role == 0);
        let changes: Vec<Change> = caches.filter_map(|server| migrate(server.endpoint.id)).collect();
        if changes.is_empty() {
            return;
        }
        self.hierarchies.batches.push(first.draft_batch(AUTHOR, ms(now), changes));
        let delay = micros(self.endpoint_update_delay);
        self.queue.add(now + delay, Event::HierarchyBatch(self.hierarchies.batches.len() - 1));
    }

    /// All routers receive a batch.
    pub(super) fn apply_batch(&mut self, now: Micros, n: usize) {
        let Some(batch) = self.hierarchies.batches.get(n).cloned() else { return };
        for router in 0..self.hierarchies.routers.len() {
            self.hierarchies.routers[router].receive_batch(ms(now), batch.clone());
            self.refresh_hierarchy(now, router);
        }
        self.record_topology(now);
    }

    /// Applies an endpoint update to a hierarchy. Queued fills of an endpoint that may not be used any more
    /// are rejected.
    pub(super) fn update_hierarchy_endpoint(&mut self, now: Micros, router: usize, server: usize) {
        let Some(hierarchy) = self.hierarchies.routers.get_mut(router) else { return };
        let endpoint = self.servers[server].endpoint;
        let cancelled =
            hierarchy.update_endpoint(ms(now), endpoint.id, endpoint.phase, endpoint.started_at).cancelled;
        let is_local = usize::from(endpoint.zone) == router / self.plan.routers.max(1);
        if endpoint.role == 0 && is_local && endpoint.phase != EndpointPhase::Removed {
            hierarchy.track_child(ms(now), endpoint.id);
        }
        for ticket in cancelled {
            self.reject_queued_fill(now, ticket);
        }
        self.refresh_hierarchy(now, router);
    }

    fn reject_queued_fill(&mut self, now: Micros, ticket: u64) {
        let Some(&number) = self.attempts_by_id.get(&(ticket >> 8, (ticket & 255) as u8)) else { return };
        if let Some(attempt) = self.attempts.get_mut(&number) {
            attempt.cache_status = Some(CacheStatus::NoCapacity);
        }
        self.end_attempt(now, number, AttemptStatus::Rejected);
    }

    /// Sends changed fill sources to the decision module, and schedules the next timer of the hierarchy.
    fn refresh_hierarchy(&mut self, now: Micros, router: usize) {
        self.update_fill_sources(now, router);
        let next = micros(self.hierarchies.routers[router].next_deadline(ms(now))).max(now + 1);
        if next < self.hierarchies.due[router] {
            self.hierarchies.due[router] = next;
            self.queue.add(next, Event::HierarchyTimer(router));
        }
    }

    fn update_fill_sources(&mut self, now: Micros, router: usize) {
        let changed = self.hierarchies.routers[router].changed_fill_sources(ms(now));
        let fill_sources_of = |sources: &[Source]| {
            sources.iter().map(|s| FillSource { endpoint: s.node, priority: s.rank }).collect()
        };
        for (cache, sources) in changed {
            let fill_sources = FillSources {
                current: fill_sources_of(&sources.current),
                previous: fill_sources_of(&sources.previous),
                migrated_ratio: sources.fraction,
                salt: sources.salt,
            };
            self.notify_policy(now, router, &PolicyEvent::FillSources { cache, sources: Some(fill_sources) });
        }
    }

    /// The timer of a router's hierarchy is due.
    pub(super) fn on_hierarchy_timer(&mut self, now: Micros, router: usize) {
        if now < self.hierarchies.due[router] {
            return;
        }
        self.hierarchies.due[router] = Micros::MAX;
        let released = self.hierarchies.routers[router].tick(ms(now)).decisions;
        self.apply_shield_decisions(now, released);
        self.refresh_hierarchy(now, router);
    }

    fn apply_shield_decisions(&mut self, now: Micros, released: Vec<QueuedDecision>) {
        for queued in released {
            let number = self.attempts_by_id.get(&(queued.ticket >> 8, (queued.ticket & 255) as u8)).copied();
            let Some(number) = number else { continue };
            match queued.decision {
                ShieldDecision::Admit => self.send_attempt(now, number),
                ShieldDecision::Reject { retry_after, .. } => {
                    self.send_for_cached_copy(now, number, retry_after)
                }
                ShieldDecision::Queue { .. } => {}
            }
        }
    }

    /// Asks the shield to admit the fill of an attempt. Without admission the attempt is queued, or sent for
    /// a cached copy only.
    pub(super) fn admit(&mut self, now: Micros, number: Number) {
        let Some(attempt) = self.attempts.get(&number).cloned() else { return };
        let hop = self.shielded_hop(attempt.server, attempt.fill.as_ref());
        let cached_only = attempt.fill.is_some_and(|fill| fill.only_if_cached);
        let (Some((child, source)), false) = (hop, cached_only) else {
            return self.send_attempt(now, number);
        };
        let Some(client) = self.clients.get(&attempt.request) else { return self.send_attempt(now, number) };
        let latency_objective = self.latency_objective(client.size);
        let remaining = ms(client.sent_at) + latency_objective - ms(now);
        let selected = SelectedFill {
            ticket: ticket(&attempt),
            child,
            source,
            object: hash_pair(client.object, 1),
            key: attempt.key,
            priority: if attempt.is_write { Priority::Write } else { Priority::Demand },
            bytes: client.size,
            may_join: attempt.fill.is_some_and(|fill| fill.coalesce),
            max_wait: (remaining / 2.0).max(0.0),
        };
        let hierarchy = &mut self.hierarchies.routers[attempt.router];
        let decision = hierarchy.request_fill(ms(now), &selected);
        let version = hierarchy.version();
        let hops = hierarchy.onward_path(ms(now), child, source, selected.object);
        let former_source =
            hops.iter().find(|hop| hop.cached_only).and_then(|hop| self.server_index(hop.node));
        if let Some(attempt) = self.attempts.get_mut(&number) {
            (attempt.tracked_by_shield, attempt.former_source, attempt.version) =
                (true, former_source, Some(version));
        }
        match decision {
            ShieldDecision::Admit => self.send_attempt(now, number),
            ShieldDecision::Queue { .. } => self.set_stage(number, Stage::Queued),
            ShieldDecision::Reject { retry_after, .. } => self.send_for_cached_copy(now, number, retry_after),
        }
        self.refresh_hierarchy(now, attempt.router);
    }

    /// The child and the source of a fill that the shield decides about; `None` if the attempt uses no tier
    /// above the caches.
    fn shielded_hop(
        &self,
        server: usize,
        fill: Option<&FillInstruction>,
    ) -> Option<(EndpointId, EndpointId)> {
        let at = self.servers[server].endpoint;
        let source = fill.map(|fill| fill.source).filter(|source| *source != at.id);
        match source.and_then(|source| self.server_index(source)) {
            Some(source) if self.servers[source].endpoint.role != 0 => {
                Some((at.id, self.servers[source].endpoint.id))
            }
            None if at.role != 0 => Some((at.id, at.id)),
            _ => None,
        }
    }

    fn send_for_cached_copy(&mut self, now: Micros, number: Number, retry_after: f64) {
        let Some(attempt) = self.attempts.get_mut(&number) else { return };
        attempt.tracked_by_shield = false;
        if let Some(fill) = &mut attempt.fill {
            fill.only_if_cached = true;
        }
        self.retry_after_by_request.insert(attempt.request, retry_after);
        self.send_attempt(now, number);
    }

    /// Cancels a fill that is queued in the shield.
    pub(super) fn cancel_queued_fill(&mut self, attempt: &Attempt) {
        if let Some(hierarchy) = self.hierarchies.routers.get_mut(attempt.router) {
            hierarchy.cancel_fill(ticket(attempt));
        }
    }

    /// Reports the end of an attempt that the shield has admitted.
    pub(super) fn report_fill_end(&mut self, now: Micros, attempt: &Attempt) {
        if !attempt.tracked_by_shield || self.hierarchies.routers.is_empty() {
            return;
        }
        let size =
            self.clients.get(&attempt.request).map_or(self.plan.demand.median_size, |client| client.size);
        let late = ms(now - attempt.sent_at) > self.latency_objective(size);
        let result = fill_result(attempt.status, attempt.cache_status);
        let hierarchy = &mut self.hierarchies.routers[attempt.router];
        let released = hierarchy.complete_fill(ms(now), ticket(attempt), result, late);
        self.apply_shield_decisions(now, released);
        self.refresh_hierarchy(now, attempt.router);
    }

    /// Looks up a miss of the source at the former source, while the child is migrating from there.
    pub(super) fn cached_at_former_source(
        &mut self,
        number: Number,
        max_age: f64,
        now: Micros,
    ) -> Option<Micros> {
        let attempt = self.attempts.get(&number)?;
        let (former_source, key) = (attempt.former_source?, attempt.key);
        let health = self.servers[former_source].health;
        let available = health.up && !health.silent && !health.stalled && !health.fails_fast;
        if available {
            self.cached_copy(now, former_source, key, max_age)
        } else {
            None
        }
    }
}
