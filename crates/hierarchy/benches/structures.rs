//! Benchmarks the data structures of this package against simple ones: the topological order against a full
//! search; look-ups, leases and recent keys against maps.
//!
//! `cargo bench -p linnethook-hierarchy` takes several minutes and is not part of CI.

use std::collections::{BTreeMap, HashMap};
use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use linnethook::hash_ring::hash_pair;
use linnethook_hierarchy::lease::{FetchKey, Grant, LeaseTable};
use linnethook_hierarchy::recent_keys::RecentKeys;
use linnethook_hierarchy::topological_order::TopologicalOrder;
use linnethook_hierarchy::{AuthorId, Change, History, Node, NodeId, Role, Source};
use petgraph::algo::{is_cyclic_directed, DfsSpace};
use petgraph::graphmap::DiGraphMap;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The edges of a hierarchy of that many nodes: one origin, parents of two tiers, caches with two parents
/// each.
fn edges(nodes: u32) -> Vec<(u32, u32)> {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let (upper, lower) = (nodes / 100 + 1, nodes / 10 + 2);
    let mut edges = Vec::new();
    for node in 1..nodes {
        let above = match node {
            n if n <= upper => 0..1,
            n if n <= lower => 1..upper + 1,
            _ => upper + 1..lower + 1,
        };
        for _ in 0..2 {
            let to = rng.random_range(above.clone());
            if !edges.contains(&(node, to)) || nodes > 20_000 {
                edges.push((node, to));
            }
        }
    }
    edges
}

/// Random new edges between parents, about half of which close a cycle.
fn random_edges(nodes: u32, count: usize) -> Vec<(u32, u32)> {
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    let parents = nodes / 10 + 2;
    (0..count).map(|_| (rng.random_range(1..parents), rng.random_range(1..parents))).collect()
}

fn quantiles(mut times: Vec<Duration>) -> (Duration, Duration) {
    times.sort_unstable();
    let at = |fraction: f64| times[((times.len() - 1) as f64 * fraction) as usize];
    (at(0.5), at(0.99))
}

fn edge_insertion(c: &mut Criterion) {
    let mut group = c.benchmark_group("insert an edge");
    for nodes in [1_000u32, 10_000, 100_000] {
        let mut order = TopologicalOrder::default();
        (0..nodes).for_each(|_| _ = order.add_node());
        let mut model = DiGraphMap::<u32, ()>::new();
        for (from, to) in edges(nodes) {
            order.insert_edge(from, to).expect("no cycle in a tree");
            model.add_edge(from, to, ());
        }
        let candidates = random_edges(nodes, 400);
        // Timed one by one for the quantiles: criterion reports only the mean.
        let mut durations = Vec::new();
        for (from, to) in &candidates {
            let started_at = Instant::now();
            let is_inserted = black_box(order.insert_edge(*from, *to)).is_ok();
            durations.push(started_at.elapsed());
            if is_inserted {
                order.remove_edge(*from, *to);
            }
        }
        let mut search_durations = Vec::new();
        for (from, to) in candidates.iter().take(if nodes > 20_000 { 40 } else { 200 }) {
            let started_at = Instant::now();
            model.add_edge(*from, *to, ());
            black_box(is_cyclic_directed(&model));
            model.remove_edge(*from, *to);
            search_durations.push(started_at.elapsed());
        }
        let (insertion, full_search) = (quantiles(durations), quantiles(search_durations));
        println!(
            "{nodes} nodes: median {:?}, 99th percentile {:?}; full search {:?}, {:?}; ratio {:.0}",
            insertion.0,
            insertion.1,
            full_search.0,
            full_search.1,
            full_search.0.as_secs_f64() / insertion.0.as_secs_f64()
        );
        let mut n = 0;
        group.bench_function(BenchmarkId::new("order", nodes), |b| {
            b.iter(|| {
                let (from, to) = candidates[n % candidates.len()];
                n += 1;
                if order.insert_edge(from, to).is_ok() {
                    order.remove_edge(from, to);
                }
            });
        });
        let mut space = DfsSpace::new(&model);
        let mut n = 0;
        group.bench_function(BenchmarkId::new("one search from the end of the new edge", nodes), |b| {
            b.iter(|| {
                let (from, to) = candidates[n % candidates.len()];
                n += 1;
                petgraph::algo::has_path_connecting(&model, to, from, Some(&mut space))
            });
        });
    }
    group.finish();
}

fn source_lookup(c: &mut Criterion) {
    let nodes = 100_000u32;
    let node = |id: u32, role| Node {
        id: NodeId(hash_pair(u64::from(id), 9)),
        role,
        site: id % 50,
        tier: u8::from(role != Role::Cache),
        capacity: 8.0,
        retiring: false,
    };
    let mut sources = BTreeMap::<u32, Vec<Source>>::new();
    for (from, to) in edges(nodes) {
        let list = sources.entry(from).or_default();
        let source = Source::new(node(to, Role::Parent).id, list.len() as u16);
        if list.iter().all(|other| other.node != source.node) {
            list.push(source);
        }
    }
    let role = |id: u32| if id == 0 { Role::Origin } else { Role::Parent };
    let add = |id: u32| Change::Add {
        node: node(id, role(id)),
        sources: sources.get(&id).cloned().unwrap_or_default(),
    };
    let before = resident_bytes();
    let mut history = History::default();
    let batch = history.draft_batch(AuthorId(1), 0.0, (0..nodes).map(add).collect());
    let started_at = Instant::now();
    history.receive_batch(batch);
    let (elapsed, after) = (started_at.elapsed(), resident_bytes());
    assert_eq!(history.topology().len(), nodes as usize);
    let bytes = (after.saturating_sub(before)) as f64 / f64::from(nodes);
    println!(
        "{nodes} nodes in one batch: {elapsed:?}, {bytes:.0} bytes a node with the batch and its undo log"
    );
    let mut model = BTreeMap::<NodeId, Vec<Source>>::new();
    for record in history.topology().records() {
        model.insert(record.node.id, history.topology().sources(record.node.id).collect());
    }
    let ids: Vec<NodeId> = (0..nodes).map(|id| node(id, Role::Parent).id).collect();
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let requested: Vec<NodeId> = (0..65_536).map(|_| ids[rng.random_range(0..ids.len())]).collect();
    let mut group = c.benchmark_group("sources of a node among 100,000");
    let mut n = 0;
    group.bench_function("topology", |b| {
        b.iter(|| {
            n += 1;
            history.topology().sources(requested[n % requested.len()]).next()
        });
    });
    group.bench_function("ordered map", |b| {
        b.iter(|| {
            n += 1;
            model.get(&requested[n % requested.len()]).and_then(|list| list.first().copied())
        });
    });
    group.finish();
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: usize = text.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0);
    pages * 4_096
}

fn tables(c: &mut Criterion) {
    let keys: Vec<u64> = (0..65_536u64).map(|n| hash_pair(n % 20_000, 4)).collect();
    let mut group = c.benchmark_group("recent keys");
    let (mut table, mut map) = (RecentKeys::new(65_536, 60_000.0), HashMap::<u64, f64>::new());
    println!("table of 65,536 recent keys: {} bytes", table.bytes());
    let (mut n, mut now) = (0, 1e12);
    group.bench_function("table", |b| {
        b.iter(|| {
            (n, now) = (n + 1, now + 0.1);
            let key = keys[n % keys.len()];
            table.record(now, key);
            table.age(now, key ^ 1)
        });
    });
    group.bench_function("plain map", |b| {
        b.iter(|| {
            (n, now) = (n + 1, now + 0.1);
            let key = keys[n % keys.len()];
            map.insert(key, now);
            map.get(&(key ^ 1)).copied()
        });
    });
    group.finish();
    let mut group = c.benchmark_group("leases");
    let mut leases = LeaseTable::new(16_384);
    group.bench_function("bounded", |b| {
        b.iter(|| {
            (n, now) = (n + 1, now + 0.1);
            let fetch = FetchKey { source: NodeId(1), key: keys[n % keys.len()] };
            if let Grant::Granted(id) = leases.acquire(now, fetch, 200.0) {
                if n % 3 == 0 {
                    leases.release(fetch, id);
                }
            }
        });
    });
    let mut model = HashMap::<u64, f64>::new();
    group.bench_function("plain map without bound or expiry", |b| {
        b.iter(|| {
            (n, now) = (n + 1, now + 0.1);
            let key = keys[n % keys.len()];
            if model.get(&key).is_none_or(|until| *until <= now) {
                model.insert(key, now + 200.0);
                if n % 3 == 0 {
                    model.remove(&key);
                }
            }
        });
    });
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20).measurement_time(Duration::from_secs(2)).without_plots();
    targets = edge_insertion, source_lookup, tables
}
criterion_main!(benches);
