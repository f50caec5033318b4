//! The order and the history against plain models, over seeded scripts.

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
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// An edge is refused when, and only when, a full search finds a loop, and the loop named is one.
    #[test]
    fn the_order_refuses_an_edge_when_a_full_search_finds_a_cycle(
        steps in prop::collection::vec((0u32..24, 0u32..24, 0u8..4), 1..200)
    ) {
        let (mut order, mut plain) = (TopologicalOrder::default(), DiGraphMap::<NodeIndex, ()>::new());
        for _ in 0..24 {
            let index = order.add_node();
            plain.add_node(index);
        }
        for (from, to, kind) in steps {
            if kind == 0 {
                order.remove_edge(from, to);
                plain.remove_edge(from, to);
                continue;
            }
            let closes = from == to || has_path_connecting(&plain, to, from, None);
            match order.insert_edge(from, to) {
                Ok(()) => {
                    prop_assert!(!closes, "{from} to {to} closes a loop");
                    plain.add_edge(from, to, ());
                }
                Err(found) => {
                    prop_assert!(closes, "{from} to {to} closes no loop");
                    prop_assert_eq!((found.0.first(), found.0.last()), (Some(&to), Some(&from)));
                    prop_assert!(found.0.windows(2).all(|pair| plain.contains_edge(pair[0], pair[1])));
                }
            }
            prop_assert!(!is_cyclic_directed(&plain));
        }
    }

    /// All routers end at the same shape, whatever the order in which they hear, and it is the shape of a plain
    /// replay; a router that starts from another's snapshot has it too.
    #[test]
    fn all_routers_converge_to_the_same_topology(seed in any::<u64>()) {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let batches = crossing(&mut chance, 4, 40);
        let plain = replay(&batches);
        let mut digests = BTreeSet::from([plain.digest()]);
        for _ in 0..3 {
            let mut router = History::default();
            let mut order: Vec<&ChangeBatch> = batches.iter().chain(batches.iter().take(10)).collect();
            shuffle(&mut chance, &mut order);
            for batch in order {
                let heard = router.receive_batch(batch.clone());
                prop_assert!(!matches!(heard, ReceiveOutcome::Invalid(_)), "{heard:?}");
            }
            prop_assert_eq!(router.pending().count(), 0);
            digests.insert(router.topology().digest());
            sound(router.topology_mut());
            let text = serde_json::to_string(&router.snapshot()).expect("a snapshot is written");
            let mut started = History::default();
            started.restore_snapshot(serde_json::from_str(&text).expect("and read")).expect("a shape");
            digests.insert(started.topology().digest());
            prop_assert_eq!(started.basis(), router.basis());
        }
        prop_assert_eq!(digests.len(), 1);
    }

    /// What is taken back leaves nothing behind.
    #[test]
    fn undoing_a_batch_restores_the_topology(seed in any::<u64>()) {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let batches = crossing(&mut chance, 2, 30);
        let mut shape = Topology::default();
        for batch in &batches {
            let before = (shape.digest(), shape.len(), shape.suspended_edges().count());
            if let Ok(steps) = batch.apply(&mut shape, &BatchLimits::default()) {
                let after = shape.digest();
                shape.undo(steps);
                prop_assert_eq!((shape.digest(), shape.len(), shape.suspended_edges().count()), before);
                batch.apply(&mut shape, &BatchLimits::default()).expect("as before");
                prop_assert_eq!(shape.digest(), after);
            } else {
                prop_assert_eq!((shape.digest(), shape.len(), shape.suspended_edges().count()), before);
            }
        }
    }

    /// The inverse of the newest batch brings the shape from before it back, but for edges that the loop it
    /// made or freed has exchanged.
    #[test]
    fn inverse_changes_restore_the_source_lists(seed in any::<u64>()) {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let mut history = History::default();
        for batch in crossing(&mut chance, 1, 20) {
            let before = lists(history.topology());
            let batch_id = batch.id;
            history.receive_batch(batch);
            if history.outcome(batch_id).is_none_or(|verdict| verdict.is_err()) {
                continue;
            }
            let changes = history.inverse_changes(batch_id).expect("it was applied");
            let back = history.draft_batch(AuthorId(9), 0.0, changes);
            let mut copy = history.clone();
            let batch_id = back.id;
            copy.receive_batch(back);
            prop_assert_eq!(copy.outcome(batch_id), Some(Ok(())));
            prop_assert_eq!(lists(copy.topology()), before);
        }
    }
}

type Lists = BTreeMap<NodeId, (u32, bool, Vec<Source>)>;

fn lists(shape: &Topology) -> Lists {
    let line = |id: NodeId| shape.edges(id).iter().map(|edge| edge.source).collect();
    let all = shape.records().into_iter().map(|record| record.node);
    all.map(|node| (node.id, (node.site, node.retiring, line(node.id)))).collect()
}

/// No loop among the edges in use, and none suspended that would close none.
fn sound(shape: &mut Topology) {
    let mut plain = DiGraphMap::<u64, ()>::new();
    for record in shape.records() {
        for edge in record.edges.iter().filter(|edge| edge.in_use) {
            plain.add_edge(record.node.id.0, edge.source.node.0, ());
        }
    }
    assert!(!is_cyclic_directed(&plain));
    for edge in shape.suspended_edges().copied().collect::<Vec<_>>() {
        assert!(has_path_connecting(&plain, edge.source.node.0, edge.from.0, None));
        let found = shape.cycle_closed_by(edge.from, edge.source.node).expect("the loop it waits for");
        assert_eq!((found.first(), found.last()), (Some(&edge.source.node), Some(&edge.from)));
    }
}

/// The plain model: all batches sorted, applied once from nothing.
fn replay(batches: &[ChangeBatch]) -> Topology {
    let mut sorted: Vec<&ChangeBatch> = batches.iter().collect();
    sorted.sort_by_key(|batch| batch.position());
    let mut shape = Topology::default();
    for batch in sorted {
        let _ = batch.apply(&mut shape, &BatchLimits::default());
    }
    shape
}

fn shuffle<T>(chance: &mut Pcg64Mcg, items: &mut [T]) {
    for n in (1..items.len()).rev() {
        items.swap(n, chance.random_range(0..=n));
    }
}

fn node(id: u64, role: Role, site: u32) -> Node {
    Node { id: NodeId(id), role, site, tier: u8::from(role != Role::Cache), capacity: 1.0, retiring: false }
}

/// Batches of several authors, each of whom knows a part of what the others have written.
fn crossing(chance: &mut Pcg64Mcg, authors: u16, count: usize) -> Vec<ChangeBatch> {
    let mut minds: Vec<History> = (0..authors).map(|_| History::default()).collect();
    let origin = Change::Add { node: node(1, Role::Origin, 0), sources: Vec::new() };
    let parents = (2..8).map(|id| Change::Add {
        node: node(id, Role::Parent, id as u32 % 3),
        sources: vec![Source::new(NodeId(1), 9)],
    });
    let first = minds[0].draft_batch(AuthorId(0), 0.0, std::iter::once(origin).chain(parents).collect());
    minds.iter_mut().for_each(|mind| drop(mind.receive_batch(first.clone())));
    let mut all = vec![first];
    for n in 1..count {
        let author = chance.random_range(0..authors);
        // Now and then it hears what the others have written so far.
        if chance.random_range(0..3) == 0 {
            for batch in &all {
                minds[usize::from(author)].receive_batch(batch.clone());
            }
        }
        let changes = (0..chance.random_range(1..3)).map(|k| change(chance, (n * 4 + k) as u64)).collect();
        let mind = &mut minds[usize::from(author)];
        let batch = mind.draft_batch(AuthorId(author), n as f64, changes);
        mind.receive_batch(batch.clone());
        all.push(batch);
    }
    all
}

fn change(chance: &mut Pcg64Mcg, fresh: u64) -> Change {
    let any = |chance: &mut Pcg64Mcg| NodeId(chance.random_range(2..12));
    let target = any(chance);
    let mut sources = vec![Source::new(NodeId(1), 9)];
    for rank in 0..chance.random_range(1..3u16) {
        let source = any(chance);
        if source != target {
            sources.push(Source::new(source, rank));
        }
    }
    match chance.random_range(0..12) {
        0 | 1 => Change::Add { node: node(target.0, Role::Parent, 1), sources },
        2 => Change::Remove { node: target },
        3 | 4 => Change::Move { node: target, site: chance.random_range(0..3), sources },
        5 => Change::Replace { old: target, new: node(100 + fresh, Role::Parent, 1) },
        6 => Change::Retire { node: target, retiring: chance.random_range(0..2) == 0 },
        _ => Change::Rerank { node: target, sources },
    }
}

/// What each kind of bad batch is answered, and that bounds hold.
#[test]
fn invalid_batches_are_rejected_whole_and_limits_hold() {
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
        (vec![add(2, &[1])], "not in the shape"),
        (vec![origin(), origin()], "in the shape already"),
        (vec![origin(), add(2, &[])], "no source"),
        (vec![origin(), add(2, &[2])], "its own source"),
        (vec![origin(), add(2, &[1]), Change::Remove { node: NodeId(1) }], "still a source"),
        (
            vec![origin(), Change::Remove { node: NodeId(1) }, origin(), Change::Remove { node: NodeId(3) }],
            "not in",
        ),
        (vec![origin(), capacity], "capacity"),
    ];
    let mut batch_ids = Vec::new();
    for (changes, reason) in table {
        let batch = history.draft_batch(AuthorId(0), 0.0, changes);
        batch_ids.push(batch.id);
        assert!(matches!(history.receive_batch(batch.clone()), ReceiveOutcome::Accepted(_)));
        let verdict = history.outcome(batch.id).expect("kept").expect_err("refused").to_string();
        assert!(verdict.contains(reason), "{verdict}");
        assert!(history.topology().is_empty());
        assert_eq!(history.receive_batch(batch.clone()), ReceiveOutcome::Duplicate);
    }
    assert!(history.outcome(batch_ids[0]).is_none(), "only the newest are kept");
    let good = history.draft_batch(AuthorId(0), 0.0, vec![origin(), add(2, &[1])]);
    assert!(matches!(history.receive_batch(good.clone()), ReceiveOutcome::Accepted(_)));
    let other = ChangeBatch { changes: vec![origin()], ..good };
    assert!(
        matches!(history.receive_batch(other), ReceiveOutcome::Invalid(_)),
        "the same name with other content"
    );
    for (number, n) in [(3, 0), (4, 1), (5, 2)] {
        let mut late = history.draft_batch(AuthorId(1), 0.0, vec![]);
        late.id.number = number;
        let heard = history.receive_batch(late);
        assert_eq!(matches!(heard, ReceiveOutcome::Pending(_)), n < 2, "{heard:?}");
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
    assert!(history.topology().slot_count() <= 2, "what was refused keeps no place");
    let mut old = history.draft_batch(AuthorId(7), 0.0, vec![]);
    old.stamp = 1;
    assert!(matches!(history.receive_batch(old), ReceiveOutcome::Invalid(_)));
}

/// Two changes that are fine alone and close a loop together: the later one is suspended, at routers that hear of
/// them in either order, and it comes back by itself. The same with three of which any two are fine.
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
        let around = |k: u64| {
            let sources = vec![Source::new(NodeId(2 + (k + 1) % count), 0), Source::new(NodeId(1), 9)];
            vec![Change::Rerank { node: NodeId(2 + k), sources }]
        };
        let crossing: Vec<ChangeBatch> =
            (0..count).map(|k| base.draft_batch(AuthorId(1 + k as u16), 0.0, around(k))).collect();
        let (mut one, mut other) = (base.clone(), base.clone());
        crossing.iter().for_each(|batch| drop(one.receive_batch(batch.clone())));
        crossing.iter().rev().for_each(|batch| drop(other.receive_batch(batch.clone())));
        assert_eq!(one.topology().digest(), other.topology().digest());
        for router in [&mut one, &mut other] {
            let waits: Vec<NodeId> = router.topology().suspended_edges().map(|edge| edge.from).collect();
            assert_eq!(waits, [NodeId(1 + count)], "of {count}");
            sound(router.topology_mut());
            let back = router.draft_batch(
                AuthorId(0),
                0.0,
                vec![Change::Rerank { node: NodeId(2), sources: vec![Source::new(NodeId(1), 9)] }],
            );
            router.receive_batch(back);
            assert_eq!(router.topology().suspended_edges().count(), 0);
            assert!(router.topology().allows(NodeId(1 + count), NodeId(2)));
        }
    }
}
