//! Compares the topological order and the history with simple models, over seeded scripts.

use std::collections::{BTreeMap, BTreeSet};

use linnethook_hierarchy::topological_order::{NodeIndex, TopologicalOrder};
use linnethook_hierarchy::{
    AuthorId, BatchLimits, Change, ChangeBatch, History, HistoryLimits, Node, NodeId, ReceiveOutcome, Role,
    Source, Topology,
};
use petgraph::algo::{has_path_connecting, is_cyclic_directed};
use petgraph::graphmap::DiGraphMap;
use proptest::prelude::{any, prop, prop_assert, prop_assert_eq, proptest, ProptestConfig};
use proptest::test_runner::RngSeed;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// An edge is rejected if and only if a full search finds a cycle, and the returned path is a cycle.
    #[test]
    fn the_order_rejects_an_edge_exactly_when_a_full_search_finds_a_cycle(
        steps in prop::collection::vec((0u32..24, 0u32..24, 0u8..4), 1..200)
    ) {
        let (mut order, mut model) = (TopologicalOrder::default(), DiGraphMap::<NodeIndex, ()>::new());
        for _ in 0..24 {
            let index = order.add_node();
            model.add_node(index);
        }
        for (from, to, kind) in steps {
            if kind == 0 {
                order.remove_edge(from, to);
                model.remove_edge(from, to);
                continue;
            }
            let closes = from == to || has_path_connecting(&model, to, from, None);
            match order.insert_edge(from, to) {
                Ok(()) => {
                    prop_assert!(!closes, "{from} to {to} closes a cycle");
                    model.add_edge(from, to, ());
                }
                Err(found) => {
                    prop_assert!(closes, "{from} to {to} closes no cycle");
                    prop_assert_eq!((found.0.first(), found.0.last()), (Some(&to), Some(&from)));
                    prop_assert!(found.0.windows(2).all(|pair| model.contains_edge(pair[0], pair[1])));
                }
            }
            prop_assert!(!is_cyclic_directed(&model));
        }
    }

    /// All routers converge to the same topology, whatever the order in which they receive batches: the one
    /// that results from applying all batches in order. A router that restores another router's snapshot has
    /// the same topology.
    #[test]
    fn all_routers_converge_to_the_same_topology(seed in any::<u64>()) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let batches = concurrent_batches(&mut rng, 4, 40);
        let model = apply_in_order(&batches);
        let mut digests = BTreeSet::from([model.digest()]);
        for _ in 0..3 {
            let mut router = History::default();
            let mut order: Vec<&ChangeBatch> = batches.iter().chain(batches.iter().take(10)).collect();
            shuffle(&mut rng, &mut order);
            for batch in order {
                let outcome = router.receive_batch(batch.clone());
                prop_assert!(!matches!(outcome, ReceiveOutcome::Invalid(_)), "{outcome:?}");
            }
            prop_assert_eq!(router.pending().count(), 0);
            digests.insert(router.topology().digest());
            assert_consistent(router.topology_mut());
            let text = serde_json::to_string(&router.snapshot()).expect("serialised snapshot");
            let mut started = History::default();
            let snapshot = serde_json::from_str(&text).expect("parsed snapshot");
            started.restore_snapshot(snapshot).expect("valid snapshot");
            digests.insert(started.topology().digest());
            prop_assert_eq!(started.basis(), router.basis());
        }
        prop_assert_eq!(digests.len(), 1);
    }

    /// Undoing a batch restores the topology, and applying it again has the same result.
    #[test]
    fn undoing_a_batch_restores_the_topology(seed in any::<u64>()) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let batches = concurrent_batches(&mut rng, 2, 30);
        let mut topology = Topology::default();
        for batch in &batches {
            let before = topology_summary(&topology);
            if let Ok(undo_log) = batch.apply(&mut topology, &BatchLimits::default()) {
                let after = topology.digest();
                topology.undo(undo_log);
                prop_assert_eq!(topology_summary(&topology), before);
                batch.apply(&mut topology, &BatchLimits::default()).expect("applied before");
                prop_assert_eq!(topology.digest(), after);
            } else {
                prop_assert_eq!(topology_summary(&topology), before);
            }
        }
    }

    /// The inverse changes of the newest batch restore all source lists. Which edges are suspended may
    /// differ.
    #[test]
    fn inverse_changes_restore_the_source_lists(seed in any::<u64>()) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut history = History::default();
        for batch in concurrent_batches(&mut rng, 1, 20) {
            let before = source_lists(history.topology());
            let batch_id = batch.id;
            history.receive_batch(batch);
            if history.outcome(batch_id).is_none_or(|result| result.is_err()) {
                continue;
            }
            let changes = history.inverse_changes(batch_id).expect("applied batch");
            let revert = history.draft_batch(AuthorId(9), 0.0, changes);
            let mut copy = history.clone();
            let batch_id = revert.id;
            copy.receive_batch(revert);
            prop_assert_eq!(copy.outcome(batch_id), Some(Ok(())));
            prop_assert_eq!(source_lists(copy.topology()), before);
        }
    }
}

type SourceLists = BTreeMap<NodeId, (u32, bool, Vec<Source>)>;

fn source_lists(topology: &Topology) -> SourceLists {
    let sources_of = |id: NodeId| topology.edges(id).iter().map(|edge| edge.source).collect();
    let all = topology.records().into_iter().map(|record| record.node);
    all.map(|node| (node.id, (node.site, node.retiring, sources_of(node.id)))).collect()
}

/// The digest and the numbers of nodes and suspended edges.
fn topology_summary(topology: &Topology) -> (u64, usize, usize) {
    (topology.digest(), topology.len(), topology.suspended_edges().count())
}

/// Checks that the edges in use have no cycle, and that each suspended edge would close one.
fn assert_consistent(topology: &mut Topology) {
    let mut model = DiGraphMap::<u64, ()>::new();
    for record in topology.records() {
        for edge in record.edges.iter().filter(|edge| edge.in_use) {
            model.add_edge(record.node.id.0, edge.source.node.0, ());
        }
    }
    assert!(!is_cyclic_directed(&model));
    for edge in topology.suspended_edges().copied().collect::<Vec<_>>() {
        assert!(has_path_connecting(&model, edge.source.node.0, edge.from.0, None));
        let found =
            topology.cycle_closed_by(edge.from, edge.source.node).expect("a suspended edge closes a cycle");
        assert_eq!((found.first(), found.last()), (Some(&edge.source.node), Some(&edge.from)));
    }
}

/// The model: all batches sorted, and applied once to an empty topology.
fn apply_in_order(batches: &[ChangeBatch]) -> Topology {
    let mut sorted: Vec<&ChangeBatch> = batches.iter().collect();
    sorted.sort_by_key(|batch| batch.position());
    let mut topology = Topology::default();
    for batch in sorted {
        let _ = batch.apply(&mut topology, &BatchLimits::default());
    }
    topology
}

fn shuffle<T>(rng: &mut Pcg64Mcg, items: &mut [T]) {
    for n in (1..items.len()).rev() {
        items.swap(n, rng.random_range(0..=n));
    }
}

fn node(id: u64, role: Role, site: u32) -> Node {
    Node { id: NodeId(id), role, site, tier: u8::from(role != Role::Cache), capacity: 1.0, retiring: false }
}

/// Batches of several authors, each of which has received some of the others' batches.
fn concurrent_batches(rng: &mut Pcg64Mcg, authors: u16, count: usize) -> Vec<ChangeBatch> {
    let mut authors_views: Vec<History> = (0..authors).map(|_| History::default()).collect();
    let origin = Change::Add { node: node(1, Role::Origin, 0), sources: Vec::new() };
    let parents = (2..8).map(|id| Change::Add {
        node: node(id, Role::Parent, id as u32 % 3),
        sources: vec![Source::new(NodeId(1), 9)],
    });
    let first =
        authors_views[0].draft_batch(AuthorId(0), 0.0, std::iter::once(origin).chain(parents).collect());
    authors_views.iter_mut().for_each(|view| drop(view.receive_batch(first.clone())));
    let mut all = vec![first];
    for n in 1..count {
        let author = rng.random_range(0..authors);
        // The author receives all batches written so far with a probability of one third.
        if rng.random_range(0..3) == 0 {
            for batch in &all {
                authors_views[usize::from(author)].receive_batch(batch.clone());
            }
        }
        let changes = (0..rng.random_range(1..3)).map(|k| random_change(rng, (n * 4 + k) as u64)).collect();
        let view = &mut authors_views[usize::from(author)];
        let batch = view.draft_batch(AuthorId(author), n as f64, changes);
        view.receive_batch(batch.clone());
        all.push(batch);
    }
    all
}

fn random_change(rng: &mut Pcg64Mcg, unused_id: u64) -> Change {
    let random_node = |rng: &mut Pcg64Mcg| NodeId(rng.random_range(2..12));
    let target = random_node(rng);
    let mut sources = vec![Source::new(NodeId(1), 9)];
    for rank in 0..rng.random_range(1..3u16) {
        let source = random_node(rng);
        if source != target {
            sources.push(Source::new(source, rank));
        }
    }
    match rng.random_range(0..12) {
        0 | 1 => Change::Add { node: node(target.0, Role::Parent, 1), sources },
        2 => Change::Remove { node: target },
        3 | 4 => Change::Move { node: target, site: rng.random_range(0..3), sources },
        5 => Change::Replace { old: target, new: node(100 + unused_id, Role::Parent, 1) },
        6 => Change::Retire { node: target, retiring: rng.random_range(0..2) == 0 },
        _ => Change::Rerank { node: target, sources },
    }
}

/// The error for each kind of invalid batch, and the limits.
#[test]
fn invalid_batches_are_rejected_entirely_and_limits_apply() {
    let mut history = History::new(
        BatchLimits { max_authors: 2, ..BatchLimits::default() },
        HistoryLimits { retained_batches: 4, pending_batches: 2 },
    );
    let add = |id, sources: &[u64]| Change::Add {
        node: node(id, Role::Parent, 0),
        sources: sources.iter().map(|id| Source::new(NodeId(*id), 0)).collect(),
    };
    let origin = || Change::Add { node: node(1, Role::Origin, 0), sources: Vec::new() };
    let capacity = Change::Add { node: Node { capacity: -1.0, ..node(8, Role::Parent, 0) }, sources: vec![] };
    let table = [
        (vec![add(2, &[1])], "not in the topology"),
        (vec![origin(), origin()], "already in the topology"),
        (vec![origin(), add(2, &[])], "no source"),
        (vec![origin(), add(2, &[2])], "its own source"),
        (vec![origin(), add(2, &[1]), Change::Remove { node: NodeId(1) }], "still a source"),
        (
            vec![origin(), Change::Remove { node: NodeId(1) }, origin(), Change::Remove { node: NodeId(3) }],
            "not in the topology",
        ),
        (vec![origin(), capacity], "capacity"),
    ];
    let mut batch_ids = Vec::new();
    for (changes, reason) in table {
        let batch = history.draft_batch(AuthorId(0), 0.0, changes);
        batch_ids.push(batch.id);
        assert!(matches!(history.receive_batch(batch.clone()), ReceiveOutcome::Accepted(_)));
        let rejection = history.outcome(batch.id).expect("retained").expect_err("rejected").to_string();
        assert!(rejection.contains(reason), "{rejection}");
        assert!(history.topology().is_empty());
        assert_eq!(history.receive_batch(batch.clone()), ReceiveOutcome::Duplicate);
    }
    assert!(history.outcome(batch_ids[0]).is_none(), "only the newest batches are retained");
    let valid = history.draft_batch(AuthorId(0), 0.0, vec![origin(), add(2, &[1])]);
    assert!(matches!(history.receive_batch(valid.clone()), ReceiveOutcome::Accepted(_)));
    let conflicting = ChangeBatch { changes: vec![origin()], ..valid };
    assert!(
        matches!(history.receive_batch(conflicting), ReceiveOutcome::Invalid(_)),
        "the same id with different content"
    );
    for (number, n) in [(3, 0), (4, 1), (5, 2)] {
        let mut late = history.draft_batch(AuthorId(1), 0.0, vec![]);
        late.id.number = number;
        let outcome = history.receive_batch(late);
        assert_eq!(matches!(outcome, ReceiveOutcome::Pending(_)), n < 2, "{outcome:?}");
    }
    assert!(matches!(
        history.receive_batch(history.draft_batch(AuthorId(7), 0.0, vec![])),
        ReceiveOutcome::Accepted(_)
    ));
    assert!(matches!(
        history.receive_batch(history.draft_batch(AuthorId(8), 0.0, vec![])),
        ReceiveOutcome::Invalid(_)
    ));
    assert!(matches!(
        history.receive_batch(history.draft_batch(AuthorId(7), f64::NAN, vec![])),
        ReceiveOutcome::Invalid(_)
    ));
    assert!(history.topology().slot_count() <= 2, "rejected nodes release their slots");
    let mut old = history.draft_batch(AuthorId(7), 0.0, vec![]);
    old.stamp = 1;
    assert!(matches!(history.receive_batch(old), ReceiveOutcome::Invalid(_)));
}

/// Two changes are valid separately and close a cycle together. The edge of the later one is suspended,
/// whatever the order in which a router receives them, and is resumed when the cycle is broken. The same
/// holds for three changes of which any two are valid.
#[test]
fn of_concurrent_changes_that_close_a_cycle_the_last_one_is_suspended() {
    for count in [2u64, 3] {
        let mut base = History::default();
        let add =
            |id| Change::Add { node: node(id, Role::Parent, 0), sources: vec![Source::new(NodeId(1), 9)] };
        let origin = Change::Add { node: node(1, Role::Origin, 0), sources: Vec::new() };
        let parents = (2..2 + count).map(add);
        let first = base.draft_batch(AuthorId(0), 0.0, std::iter::once(origin).chain(parents).collect());
        base.receive_batch(first);
        let next_in_cycle = |k: u64| {
            let sources = vec![Source::new(NodeId(2 + (k + 1) % count), 0), Source::new(NodeId(1), 9)];
            vec![Change::Rerank { node: NodeId(2 + k), sources }]
        };
        let concurrent_batches: Vec<ChangeBatch> =
            (0..count).map(|k| base.draft_batch(AuthorId(1 + k as u16), 0.0, next_in_cycle(k))).collect();
        let (mut in_order, mut reversed) = (base.clone(), base.clone());
        concurrent_batches.iter().for_each(|batch| drop(in_order.receive_batch(batch.clone())));
        concurrent_batches.iter().rev().for_each(|batch| drop(reversed.receive_batch(batch.clone())));
        assert_eq!(in_order.topology().digest(), reversed.topology().digest());
        for router in [&mut in_order, &mut reversed] {
            let suspended: Vec<NodeId> = router.topology().suspended_edges().map(|edge| edge.from).collect();
            assert_eq!(suspended, [NodeId(1 + count)], "{count} changes");
            assert_consistent(router.topology_mut());
            let break_cycle = router.draft_batch(
                AuthorId(0),
                0.0,
                vec![Change::Rerank { node: NodeId(2), sources: vec![Source::new(NodeId(1), 9)] }],
            );
            router.receive_batch(break_cycle);
            assert_eq!(router.topology().suspended_edges().count(), 0);
            assert!(router.topology().allows(NodeId(1 + count), NodeId(2)));
        }
    }
}
