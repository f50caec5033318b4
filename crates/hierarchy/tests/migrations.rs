//! One router's view of the hierarchy while a parent is replaced under load, in a simulation of six caches
//! with expiring copies, two parents and the origin. It simulates the nodes without sockets, so its figures
//! are not measurements.

use std::collections::{BTreeMap, HashMap};

use linnethook::hash_ring::hash_pair;
use linnethook::interface::{EndpointPhase, Ms};
use linnethook_hierarchy::hierarchy::{HierarchyConfig, SelectedFill};
use linnethook_hierarchy::origin_shield::{Priority, ShieldDecision};
use linnethook_hierarchy::plan::PlanError;
use linnethook_hierarchy::rollout::{RollbackReason, RolloutStage};
use linnethook_hierarchy::{
    AuthorId, Change, FillResult, Hierarchy, Hop, Node, NodeId, ReceiveOutcome, Role, Source,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const ORIGIN: NodeId = NodeId(1);
const SOUTH: NodeId = NodeId(2);
const CENTRE: NodeId = NodeId(3);
const CACHES: [NodeId; 6] = [NodeId(10), NodeId(11), NodeId(12), NodeId(13), NodeId(14), NodeId(15)];

fn node(id: NodeId, role: Role, tier: u8, capacity: f64) -> Node {
    Node { id, role, site: 0, tier, capacity, retiring: false }
}

fn via(parent: NodeId) -> Vec<Source> {
    vec![Source::new(parent, 0), Source::new(ORIGIN, 9)]
}

fn hierarchy_via_south(config: HierarchyConfig) -> Hierarchy {
    let mut hierarchy = Hierarchy::new(config);
    let mut changes = vec![Change::Add { node: node(ORIGIN, Role::Origin, 9, 50.0), sources: vec![] }];
    for id in [SOUTH, CENTRE] {
        let sources = vec![Source::new(ORIGIN, 0)];
        changes.push(Change::Add { node: node(id, Role::Parent, 1, 30.0), sources });
    }
    changes.extend(CACHES.map(|id| Change::Add { node: node(id, Role::Cache, 0, 8.0), sources: via(SOUTH) }));
    let first = hierarchy.draft_batch(AuthorId(1), 0.0, changes);
    assert!(matches!(hierarchy.receive_batch(0.0, first), ReceiveOutcome::Accepted(_)));
    CACHES.into_iter().for_each(|id| assert!(hierarchy.track_child(0.0, id)));
    hierarchy
}

fn replace_parent(hierarchy: &mut Hierarchy, now: Ms, to: NodeId) -> linnethook_hierarchy::BatchId {
    let changes = CACHES.map(|node| Change::Rerank { node, sources: via(to) }).to_vec();
    let batch = hierarchy.draft_batch(AuthorId(1), now, changes);
    assert!(matches!(hierarchy.receive_batch(now, batch.clone()), ReceiveOutcome::Accepted(_)));
    batch.id
}

/// Fills at the origin, requests served and requests made, in each second.
#[derive(Default)]
struct CountsPerSecond {
    origin: Vec<u32>,
    served: Vec<u32>,
    requested: Vec<u32>,
}

/// When copies expire, by node and object.
type Copies = HashMap<(NodeId, u64), Ms>;

struct Simulation {
    hierarchy: Hierarchy,
    copies: Copies,
    rng: Pcg64Mcg,
    /// Whether nodes forward a fill along the path that is sent with it.
    follows_paths: bool,
    now: Ms,
    ticket: u64,
    counts: CountsPerSecond,
    failed_nodes: Vec<NodeId>,
}

impl Simulation {
    fn new(config: HierarchyConfig, follows_paths: bool) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(7);
        let hierarchy = hierarchy_via_south(config);
        let (copies, counts) = (Copies::new(), CountsPerSecond::default());
        Self { hierarchy, copies, rng, follows_paths, now: 0.0, ticket: 0, counts, failed_nodes: Vec::new() }
    }

    /// Makes 200 requests per second, mostly for a few of 2,000 objects. Copies last 20 s in caches, 60 s in
    /// parents.
    fn run(&mut self, seconds: u32) {
        for _ in 0..seconds {
            [&mut self.counts.origin, &mut self.counts.served, &mut self.counts.requested]
                .into_iter()
                .for_each(|count| count.push(0));
            for _ in 0..200 {
                self.now += 5.0;
                self.hierarchy.tick(self.now);
                let popular = self.rng.random_range(0.0..1.0f64).powi(3);
                self.request((popular * 2_000.0) as u64);
            }
        }
    }

    fn has_copy(&self, node: NodeId, object: u64) -> bool {
        !self.failed_nodes.contains(&node)
            && self.copies.get(&(node, object)).is_some_and(|until| self.now < *until)
    }

    /// Stores a copy with an exponentially distributed lifetime: with equal lifetimes, copies would expire
    /// and be fetched in bursts.
    fn store_copy(&mut self, node: NodeId, object: u64, mean_lifetime: Ms) {
        let lifetime = -mean_lifetime * (1.0 - self.rng.random_range(0.0..1.0f64)).ln();
        self.copies.insert((node, object), self.now + lifetime);
    }

    fn request(&mut self, object: u64) {
        let second = self.counts.requested.len() - 1;
        self.counts.requested[second] += 1;
        let cache = CACHES[(hash_pair(object, 5) % 6) as usize];
        if self.has_copy(cache, object) {
            self.counts.served[second] += 1;
            return;
        }
        let sources = self.hierarchy.fill_sources(self.now, cache);
        let is_up = |source: &&Source| !self.failed_nodes.contains(&source.node);
        let Some(source) = sources.of(object).iter().filter(is_up).min_by_key(|s| s.rank).map(|s| s.node)
        else {
            return;
        };
        self.ticket += 1;
        let fill = SelectedFill {
            ticket: self.ticket,
            child: cache,
            source,
            object,
            key: object,
            priority: Priority::Demand,
            bytes: 1e4,
            may_join: false,
            max_wait: 0.0,
        };
        let path = self.hierarchy.onward_path(self.now, cache, source, object);
        let serves_copy =
            |hop: &Hop| self.follows_paths && hop.cached_only && self.has_copy(hop.node, object);
        let is_at_old_source = path.first().is_some_and(serves_copy);
        match self.hierarchy.request_fill(self.now, &fill) {
            ShieldDecision::Admit => {}
            // Only a cached copy may be served, by the source or by the old source.
            ShieldDecision::Reject { .. } => {
                if self.has_copy(source, object) || is_at_old_source {
                    self.counts.served[second] += 1;
                    self.store_copy(cache, object, 20_000.0);
                }
                return;
            }
            ShieldDecision::Queue { .. } => panic!("queued with a max_wait of 0"),
        }
        let is_cached = self.has_copy(source, object);
        let result = if is_cached || (is_at_old_source && source != ORIGIN) {
            FillResult::ServedFromCache
        } else {
            FillResult::ServedFromOrigin
        };
        self.counts.origin[second] += u32::from(result == FillResult::ServedFromOrigin);
        if source != ORIGIN && !is_cached {
            self.store_copy(source, object, 60_000.0);
        }
        self.store_copy(cache, object, 20_000.0);
        self.counts.served[second] += 1;
        self.hierarchy.complete_fill(self.now, self.ticket, result, false);
    }

    /// The peak rate of origin fills after a change, relative to the mean rate in the 20 s before it.
    fn peak_ratio(&self, change: usize) -> f64 {
        let steady = self.counts.origin[change - 20..change].iter().sum::<u32>() as f64 / 20.0;
        // Averaged over 10 s, as the counts of single seconds vary at random.
        let peak = self.counts.origin[change..].windows(10).map(|w| w.iter().sum::<u32>()).max();
        f64::from(peak.unwrap_or(0)) / 10.0 / steady
    }

    /// The fraction of requests that were served, from a second on.
    fn served_ratio(&self, from: usize) -> f64 {
        let sum = |count: &[u32]| f64::from(count[from..].iter().sum::<u32>());
        sum(&self.counts.served) / sum(&self.counts.requested)
    }
}

#[test]
fn replacing_a_parent_does_not_overload_the_origin() {
    let unprotected =
        HierarchyConfig { rollout_enabled: false, shield_enabled: false, ..HierarchyConfig::default() };
    let run = |config: HierarchyConfig, follows_paths: bool| {
        let mut simulation = Simulation::new(config, follows_paths);
        simulation.run(120);
        let now = simulation.now;
        replace_parent(&mut simulation.hierarchy, now, CENTRE);
        simulation.run(180);
        let migrations = simulation.hierarchy.migrations().count();
        (simulation.peak_ratio(120), simulation.served_ratio(120), migrations)
    };
    let (immediate, _, _) = run(unprotected, false);
    let (staged, staged_served, _) = run(HierarchyConfig::default(), false);
    let (with_paths, with_paths_served, migrations) = run(HierarchyConfig::default(), true);
    println!("peak ratio: immediate {immediate:.2}, staged {staged:.2}, with onward paths {with_paths:.2}");
    println!("served: staged {staged_served:.3}, with onward paths {with_paths_served:.3}");
    assert_eq!(migrations, 0, "settled and dropped");
    assert!(immediate > 2.0, "{immediate}");
    assert!(staged < 1.3 && with_paths < 1.25, "{staged} {with_paths}");
    assert!(staged_served > 0.95 && with_paths_served > 0.99, "{staged_served} {with_paths_served}");
}

/// The old parent fails during the ramp: there is no fallback, and the shield protects the origin.
#[test]
fn the_old_parent_fails_during_the_ramp() {
    let mut simulation = Simulation::new(HierarchyConfig::default(), true);
    simulation.run(120);
    let now = simulation.now;
    replace_parent(&mut simulation.hierarchy, now, CENTRE);
    simulation.run(10);
    simulation.failed_nodes.push(SOUTH);
    simulation.hierarchy.update_endpoint(simulation.now, SOUTH, EndpointPhase::Removed, 0.0);
    simulation.run(60);
    assert!(simulation.peak_ratio(120) < 1.6, "{}", simulation.peak_ratio(120));
    let sources = simulation.hierarchy.fill_sources(simulation.now, CACHES[0]);
    assert_eq!((sources.current[0].node, sources.fraction), (CENTRE, 1.0));
}

#[test]
fn a_migration_to_a_draining_parent_is_rolled_back_to_the_old_one() {
    let mut hierarchy = hierarchy_via_south(HierarchyConfig::default());
    let batch_id = replace_parent(&mut hierarchy, 0.0, CENTRE);
    let mut now = 0.0;
    let tick_until = |hierarchy: &mut Hierarchy, now: &mut Ms, until: Ms| {
        let mut transitions = Vec::new();
        while *now < until {
            *now += 100.0;
            transitions
                .extend(hierarchy.tick(*now).transitions.into_iter().map(|transition| transition.stage));
        }
        transitions
    };
    assert_eq!(
        tick_until(&mut hierarchy, &mut now, 10_000.0),
        [RolloutStage::Announced, RolloutStage::Warming]
    );
    let fraction = hierarchy.fill_sources(now, CACHES[0]).fraction;
    assert!((0.2..0.3).contains(&fraction), "{fraction}");
    let transitions = hierarchy.update_endpoint(now, CENTRE, EndpointPhase::Draining, 0.0).transitions;
    assert_eq!(
        transitions.first().map(|transition| transition.stage),
        Some(RolloutStage::RolledBack(RollbackReason::SourceLost))
    );
    let sources = hierarchy.fill_sources(now, CACHES[0]);
    assert_eq!((sources.fraction, sources.of(7)[0].node), (0.0, SOUTH));
    assert!(hierarchy.onward_path(now, CACHES[0], SOUTH, 7).iter().all(|hop| hop.node != CENTRE));
    // The new parent restarts with an empty cache: the ramp starts again after the retry delay.
    hierarchy.update_endpoint(now, CENTRE, EndpointPhase::Ready, now);
    assert_eq!(tick_until(&mut hierarchy, &mut now, 25_000.0), [RolloutStage::Warming]);
    // The batch is rolled back: its migrations at once, and its changes by another batch.
    let changes = hierarchy.roll_back_batch(now, batch_id).expect("applied batch");
    assert_eq!(hierarchy.fill_sources(now, CACHES[0]).fraction, 0.0);
    let revert = hierarchy.draft_batch(AuthorId(2), now, changes);
    assert!(matches!(hierarchy.receive_batch(now, revert), ReceiveOutcome::Accepted(_)));
    let sources = hierarchy.fill_sources(now, CACHES[0]);
    assert_eq!((sources.fraction, sources.of(7)[0].node, hierarchy.migrations().count()), (1.0, SOUTH, 0));
}

/// Children migrate away from a retiring parent, which serves cached objects until its grace period ends.
#[test]
fn a_retiring_parent_serves_cached_objects_until_its_grace_ends() {
    let config = HierarchyConfig { retirement_grace: 20_000.0, ..HierarchyConfig::default() };
    let mut hierarchy = hierarchy_via_south(config);
    let new = NodeId(4);
    let replace = Change::Replace { old: SOUTH, new: node(new, Role::Parent, 1, 30.0) };
    let batch = hierarchy.draft_batch(AuthorId(1), 0.0, vec![replace]);
    assert!(matches!(hierarchy.receive_batch(0.0, batch), ReceiveOutcome::Accepted(_)));
    (0..100).for_each(|n| drop(hierarchy.tick(f64::from(n) * 100.0)));
    let sources = hierarchy.fill_sources(10_000.0, CACHES[0]);
    assert_eq!((sources.current[0].node, sources.previous[0].node), (new, SOUTH));
    let path = hierarchy.onward_path(10_000.0, CACHES[0], new, 7);
    let old_source = Hop { node: SOUTH, cached_only: true };
    assert_eq!(path, [old_source, Hop { node: ORIGIN, cached_only: false }]);
    (100..210).for_each(|n| drop(hierarchy.tick(f64::from(n) * 100.0)));
    assert_eq!(
        hierarchy.onward_path(21_000.0, CACHES[0], new, 7),
        [Hop { node: ORIGIN, cached_only: false }]
    );
    assert!(hierarchy.fill_sources(21_000.0, CACHES[0]).previous.iter().all(|source| source.node != SOUTH));
}

/// An edge on which a loop was detected is excluded for one second, from fill sources and from onward paths.
#[test]
fn an_edge_with_a_detected_loop_is_excluded_temporarily() {
    let mut hierarchy = hierarchy_via_south(HierarchyConfig::default());
    hierarchy.report_loop(0.0, CACHES[0], SOUTH, hierarchy.version());
    assert_eq!(hierarchy.fill_sources(10.0, CACHES[0]).current, [Source::new(ORIGIN, 9)]);
    assert_eq!(hierarchy.fill_sources(1_100.0, CACHES[0]).current, via(SOUTH));
    hierarchy.report_loop(2_000.0, SOUTH, ORIGIN, 0);
    assert_eq!(hierarchy.onward_path(2_010.0, CACHES[0], SOUTH, 7), []);
}

#[test]
fn a_plan_forecasts_changes_and_changes_nothing() {
    let mut simulation = Simulation::new(HierarchyConfig::default(), false);
    simulation.run(20);
    let (now, before) = (simulation.now, simulation.hierarchy.topology().digest());
    let hierarchy = &mut simulation.hierarchy;
    let mut changes: Vec<Change> = CACHES.map(|node| Change::Rerank { node, sources: via(CENTRE) }).to_vec();
    changes.push(Change::Rerank { node: SOUTH, sources: via(CENTRE) });
    changes.push(Change::Rerank { node: CENTRE, sources: via(SOUTH) });
    let batch = hierarchy.draft_batch(AuthorId(1), now, changes);
    let plan = hierarchy.plan_batch(now, &batch).expect("valid batch");
    assert_eq!((plan.source_changes.len(), plan.cycles.len()), (8, 1));
    assert_eq!(plan.cycles[0].first(), plan.cycles[0].iter().find(|id| [SOUTH, CENTRE].contains(id)));
    let load = plan.source_loads.iter().find(|load| load.source == CENTRE).expect("a load with new children");
    assert!(load.is_heavy() && load.before == 0.0 && load.after > 1.0, "{load:?}");
    assert!(
        plan.origin_load.immediate > 10.0 * plan.origin_load.staged && plan.origin_load.staged > 0.0,
        "{:?}",
        plan.origin_load
    );
    assert_eq!(hierarchy.topology().digest(), before);
    let invalid = hierarchy.draft_batch(AuthorId(1), now, vec![Change::Remove { node: NodeId(99) }]);
    assert!(matches!(hierarchy.plan_batch(now, &invalid), Err(PlanError::Rejected(_))));
    assert!(matches!(hierarchy.receive_batch(now, batch.clone()), ReceiveOutcome::Accepted(_)));
    assert_eq!(hierarchy.plan_batch(now, &batch), Err(PlanError::Duplicate(batch.id)));
    let view = serde_json::to_value(hierarchy.view(now)).expect("serialised view");
    assert_eq!((view["suspended"].as_u64(), view["nodes"].as_u64()), (Some(1), Some(9)));
    assert!(!view["moves"].as_array().is_none_or(Vec::is_empty));
}

/// Two routers that receive a batch at different times choose the same source for each object.
#[test]
fn routers_agree_on_the_fractions() {
    let (mut early, mut late) =
        (hierarchy_via_south(HierarchyConfig::default()), hierarchy_via_south(HierarchyConfig::default()));
    let changes: Vec<Change> = CACHES.map(|node| Change::Rerank { node, sources: via(CENTRE) }).to_vec();
    let batch = early.draft_batch(AuthorId(1), 0.0, changes);
    early.receive_batch(0.0, batch.clone());
    let mut disagreements = BTreeMap::new();
    for n in 0..400u32 {
        let now = f64::from(n) * 100.0;
        early.tick(now);
        late.tick(now);
        if n == 15 {
            late.receive_batch(now, batch.clone());
        }
        let source =
            |h: &Hierarchy, object| h.fill_sources(now, CACHES[0]).of(object).first().map(|s| s.node);
        let differing = (0..500).filter(|object| source(&early, *object) != source(&late, *object)).count();
        disagreements.insert(n, differing);
    }
    assert!(
        disagreements.values().all(|differing| *differing == 0),
        "the announcement covers the delay: {disagreements:?}"
    );
}
