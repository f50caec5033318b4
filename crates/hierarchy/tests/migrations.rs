//! One router's view while a parent is replaced under load, in a small simulation: six caches with expiring copies, two
//! parents and the origin. The simulation stands for sockets; its figures are no measurements.

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

/// Fills at the origin, requests served and requests made, by second.
#[derive(Default)]
struct Seconds {
    origin: Vec<u32>,
    served: Vec<u32>,
    requested: Vec<u32>,
}

/// When copies expire, by node and object.
type Copies = HashMap<(NodeId, u64), Ms>;

struct World {
    hierarchy: Hierarchy,
    copies: Copies,
    rng: Pcg64Mcg,
    /// Whether nodes follow the path that goes with a fill.
    has_paths: bool,
    now: Ms,
    ticket: u64,
    seconds: Seconds,
    /// Nodes that are down.
    down: Vec<NodeId>,
}

impl World {
    fn new(config: HierarchyConfig, has_paths: bool) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(7);
        let hierarchy = hierarchy_via_south(config);
        let (copies, seconds) = (Copies::new(), Seconds::default());
        Self { hierarchy, copies, rng, has_paths, now: 0.0, ticket: 0, seconds, down: Vec::new() }
    }

    /// Makes 200 requests per second, mostly for a few of 2,000 objects. Copies last 20 s in caches, 60 s in parents.
    fn run(&mut self, seconds: u32) {
        for _ in 0..seconds {
            [&mut self.seconds.origin, &mut self.seconds.served, &mut self.seconds.requested]
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
        !self.down.contains(&node) && self.copies.get(&(node, object)).is_some_and(|until| self.now < *until)
    }

    /// Stores a copy for a random time with that mean: equal times would make fetches come in waves.
    fn store_copy(&mut self, node: NodeId, object: u64, span: Ms) {
        let span = -span * (1.0 - self.rng.random_range(0.0..1.0f64)).ln();
        self.copies.insert((node, object), self.now + span);
    }

    fn request(&mut self, object: u64) {
        let second = self.seconds.requested.len() - 1;
        self.seconds.requested[second] += 1;
        let cache = CACHES[(hash_pair(object, 5) % 6) as usize];
        if self.has_copy(cache, object) {
            self.seconds.served[second] += 1;
            return;
        }
        let sources = self.hierarchy.fill_sources(self.now, cache);
        let up = |source: &&Source| !self.down.contains(&source.node);
        let Some(source) = sources.of(object).iter().filter(up).min_by_key(|s| s.rank).map(|s| s.node) else {
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
        let with_paths = |hop: &Hop| self.has_paths && hop.cached_only && self.has_copy(hop.node, object);
        let is_beside = path.first().is_some_and(with_paths);
        match self.hierarchy.request_fill(self.now, &fill) {
            ShieldDecision::Admit => {}
            // A cached copy alone, at the source or at the old source.
            ShieldDecision::Reject { .. } => {
                if self.has_copy(source, object) || is_beside {
                    self.seconds.served[second] += 1;
                    self.store_copy(cache, object, 20_000.0);
                }
                return;
            }
            ShieldDecision::Queue { .. } => panic!("it has no max_wait"),
        }
        let is_cached = self.has_copy(source, object);
        let result = if is_cached || (is_beside && source != ORIGIN) {
            FillResult::ServedFromCache
        } else {
            FillResult::ServedFromOrigin
        };
        self.seconds.origin[second] += u32::from(result == FillResult::ServedFromOrigin);
        if source != ORIGIN && !is_cached {
            self.store_copy(source, object, 60_000.0);
        }
        self.store_copy(cache, object, 20_000.0);
        self.seconds.served[second] += 1;
        self.hierarchy.complete_fill(self.now, self.ticket, result, false);
    }

    fn worst_over_steady(&self, change: usize) -> f64 {
        let steady = self.seconds.origin[change - 20..change].iter().sum::<u32>() as f64 / 20.0;
        // Over ten seconds, as single seconds vary at random.
        let worst = self.seconds.origin[change..].windows(10).map(|w| w.iter().sum::<u32>()).max();
        f64::from(worst.unwrap_or(0)) / 10.0 / steady
    }

    fn served(&self, from: usize) -> f64 {
        let sum = |count: &[u32]| f64::from(count[from..].iter().sum::<u32>());
        sum(&self.seconds.served) / sum(&self.seconds.requested)
    }
}

#[test]
fn replacing_a_parent_does_not_flood_the_origin() {
    let plain =
        HierarchyConfig { rollout_enabled: false, shield_enabled: false, ..HierarchyConfig::default() };
    let run = |config: HierarchyConfig, has_paths: bool| {
        let mut world = World::new(config, has_paths);
        world.run(120);
        let now = world.now;
        replace_parent(&mut world.hierarchy, now, CENTRE);
        world.run(180);
        let moves = world.hierarchy.migrations().count();
        (world.worst_over_steady(120), world.served(120), moves)
    };
    let (flip, _, _) = run(plain, false);
    let (platform, platform_served, _) = run(HierarchyConfig::default(), false);
    let (with_paths, with_paths_served, moves) = run(HierarchyConfig::default(), true);
    println!("worst over steady: flip {flip:.2}, staged {platform:.2}, with the way on {with_paths:.2}");
    println!("served: staged {platform_served:.3}, with the way on {with_paths_served:.3}");
    assert_eq!(moves, 0, "settled and forgotten");
    assert!(flip > 2.0, "{flip}");
    assert!(platform < 1.3 && with_paths < 1.25, "{platform} {with_paths}");
    assert!(platform_served > 0.95 && with_paths_served > 0.99, "{platform_served} {with_paths_served}");
}

/// The old parent fails during the ramp: there is no fallback, and the shield protects the origin.
#[test]
fn the_old_parent_fails_during_the_ramp() {
    let mut world = World::new(HierarchyConfig::default(), true);
    world.run(120);
    let now = world.now;
    replace_parent(&mut world.hierarchy, now, CENTRE);
    world.run(10);
    world.down.push(SOUTH);
    world.hierarchy.update_endpoint(world.now, SOUTH, EndpointPhase::Removed, 0.0);
    world.run(60);
    assert!(world.worst_over_steady(120) < 1.6, "{}", world.worst_over_steady(120));
    let sources = world.hierarchy.fill_sources(world.now, CACHES[0]);
    assert_eq!((sources.current[0].node, sources.fraction), (CENTRE, 1.0));
}

#[test]
fn a_draining_new_parent_is_rolled_back_and_the_old_one_used_again() {
    let mut hierarchy = hierarchy_via_south(HierarchyConfig::default());
    let batch_id = replace_parent(&mut hierarchy, 0.0, CENTRE);
    let mut now = 0.0;
    let tick_until = |hierarchy: &mut Hierarchy, now: &mut Ms, until: Ms| {
        let mut transitions = Vec::new();
        while *now < until {
            *now += 100.0;
            transitions.extend(hierarchy.tick(*now).transitions.into_iter().map(|e| e.stage));
        }
        transitions
    };
    assert_eq!(
        tick_until(&mut hierarchy, &mut now, 10_000.0),
        [RolloutStage::Announced, RolloutStage::Warming]
    );
    let part = hierarchy.fill_sources(now, CACHES[0]).fraction;
    assert!((0.2..0.3).contains(&part), "{part}");
    let transitions = hierarchy.update_endpoint(now, CENTRE, EndpointPhase::Draining, 0.0).transitions;
    assert_eq!(
        transitions.first().map(|e| e.stage),
        Some(RolloutStage::RolledBack(RollbackReason::SourceLost))
    );
    let sources = hierarchy.fill_sources(now, CACHES[0]);
    assert_eq!((sources.fraction, sources.of(7)[0].node), (0.0, SOUTH));
    assert!(hierarchy.onward_path(now, CACHES[0], SOUTH, 7).iter().all(|hop| hop.node != CENTRE));
    // It restarts with an empty cache: the ramp starts again after the retry delay.
    hierarchy.update_endpoint(now, CENTRE, EndpointPhase::Ready, now);
    assert_eq!(tick_until(&mut hierarchy, &mut now, 25_000.0), [RolloutStage::Warming]);
    // The batch is rolled back: its migrations at once, then its changes by another batch.
    let changes = hierarchy.roll_back_batch(now, batch_id).expect("it was applied");
    assert_eq!(hierarchy.fill_sources(now, CACHES[0]).fraction, 0.0);
    let back = hierarchy.draft_batch(AuthorId(2), now, changes);
    assert!(matches!(hierarchy.receive_batch(now, back), ReceiveOutcome::Accepted(_)));
    let sources = hierarchy.fill_sources(now, CACHES[0]);
    assert_eq!((sources.fraction, sources.of(7)[0].node, hierarchy.migrations().count()), (1.0, SOUTH, 0));
}

/// Children migrate away from a retiring parent, which serves cached objects until its grace ends.
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

/// An edge on which a loop was detected is excluded for a while.
#[test]
fn an_edge_with_a_detected_loop_is_excluded_for_a_while() {
    let mut hierarchy = hierarchy_via_south(HierarchyConfig::default());
    hierarchy.report_loop(0.0, CACHES[0], SOUTH, hierarchy.version());
    assert_eq!(hierarchy.fill_sources(10.0, CACHES[0]).current, [Source::new(ORIGIN, 9)]);
    assert_eq!(hierarchy.fill_sources(1_100.0, CACHES[0]).current, via(SOUTH));
    hierarchy.report_loop(2_000.0, SOUTH, ORIGIN, 0);
    assert_eq!(hierarchy.onward_path(2_010.0, CACHES[0], SOUTH, 7), []);
}

#[test]
fn a_plan_forecasts_changes_and_changes_nothing() {
    let mut world = World::new(HierarchyConfig::default(), false);
    world.run(20);
    let (now, before) = (world.now, world.hierarchy.topology().digest());
    let hierarchy = &mut world.hierarchy;
    let mut changes: Vec<Change> = CACHES.map(|node| Change::Rerank { node, sources: via(CENTRE) }).to_vec();
    changes.push(Change::Rerank { node: SOUTH, sources: via(CENTRE) });
    changes.push(Change::Rerank { node: CENTRE, sources: via(SOUTH) });
    let batch = hierarchy.draft_batch(AuthorId(1), now, changes);
    let plan = hierarchy.plan_batch(now, &batch).expect("a plan");
    assert_eq!((plan.source_changes.len(), plan.cycles.len()), (8, 1));
    assert_eq!(plan.cycles[0].first(), plan.cycles[0].iter().find(|id| [SOUTH, CENTRE].contains(id)));
    let push = plan.source_loads.iter().find(|push| push.source == CENTRE).expect("it gets more");
    assert!(push.is_heavy() && push.before == 0.0 && push.after > 1.0, "{push:?}");
    assert!(
        plan.origin_load.immediate > 10.0 * plan.origin_load.staged && plan.origin_load.staged > 0.0,
        "{:?}",
        plan.origin_load
    );
    assert_eq!(hierarchy.topology().digest(), before);
    let bad = hierarchy.draft_batch(AuthorId(1), now, vec![Change::Remove { node: NodeId(99) }]);
    assert!(matches!(hierarchy.plan_batch(now, &bad), Err(PlanError::Rejected(_))));
    assert!(matches!(hierarchy.receive_batch(now, batch.clone()), ReceiveOutcome::Accepted(_)));
    assert_eq!(hierarchy.plan_batch(now, &batch), Err(PlanError::Duplicate));
    let view = serde_json::to_value(hierarchy.view(now)).expect("a view");
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
    let mut differing = BTreeMap::new();
    for n in 0..400u32 {
        let now = f64::from(n) * 100.0;
        early.tick(now);
        late.tick(now);
        if n == 15 {
            late.receive_batch(now, batch.clone());
        }
        let path = |h: &Hierarchy, object| h.fill_sources(now, CACHES[0]).of(object).first().map(|s| s.node);
        let others = (0..500).filter(|object| path(&early, *object) != path(&late, *object)).count();
        differing.insert(n, others);
    }
    assert!(
        differing.values().all(|others| *others == 0),
        "the announcement covers the delay: {differing:?}"
    );
}
