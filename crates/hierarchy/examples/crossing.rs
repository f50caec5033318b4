//! Concurrent batches in simulated time: three authors change the sources of ten parents. The parents and two
//! routers receive the batches with random delays, while each node forwards fills by its own version of the
//! topology. Prints how many edges were suspended and for how long, and how many loops were detected.
//!
//! `cargo run --release -p linnethook-hierarchy --example crossing [BATCHES] [SEED]`

use std::collections::{BTreeMap, BTreeSet};

use linnethook_hierarchy::loop_detection::{FillPath, PathRejection};
use linnethook_hierarchy::{
    AuthorId, Change, ChangeBatch, History, Node, NodeId, ReceiveOutcome, Role, Source,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const ORIGIN: NodeId = NodeId(1);
const PARENTS: std::ops::Range<u64> = 2..12;
const AUTHORS: u16 = 3;
const ROUTERS: usize = 2;

/// Milliseconds between two batches, and the longest delay of a batch.
const BATCH_INTERVAL_MS: u64 = 100;
const MAX_DELAY_MS: u64 = 2_000;

const FILLS_PER_BATCH: usize = 20;

/// The delivery of a batch: time in milliseconds, participant, number of the batch.
type Delivery = (u64, usize, usize);

/// Suspended edges at one router.
#[derive(Default)]
struct Suspensions {
    since: BTreeMap<(NodeId, NodeId), u64>,
    count: u64,
    durations: Vec<u64>,
}

impl Suspensions {
    fn observe(&mut self, now: u64, router: &History) {
        let suspended: Vec<(NodeId, NodeId)> =
            router.topology().suspended_edges().map(|edge| (edge.from, edge.source.node)).collect();
        for edge in &suspended {
            if !self.since.contains_key(edge) {
                self.count += 1;
                self.since.insert(*edge, now);
            }
        }
        let durations = &mut self.durations;
        self.since.retain(|edge, since| {
            let is_suspended = suspended.contains(edge);
            if !is_suspended {
                durations.push(now - *since);
            }
            is_suspended
        });
    }

    fn quantile(&self, fraction: f64) -> u64 {
        let last = self.durations.len().max(1) - 1;
        self.durations.get((last as f64 * fraction) as usize).copied().unwrap_or(0)
    }
}

#[derive(Default)]
struct FillCounts {
    fills: u64,
    loops_detected: u64,
    undetected_loops: u64,
    longest_path: usize,
}

struct Simulation {
    rng: Pcg64Mcg,
    /// One history for each parent, by its id, then for each author, then for each router.
    histories: Vec<History>,
    in_transit: BTreeMap<Delivery, ChangeBatch>,
    suspensions: Suspensions,
    counts: FillCounts,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let participants = PARENTS.end as usize + usize::from(AUTHORS) + ROUTERS;
        let mut histories: Vec<History> = vec![History::default(); participants];
        let first = histories[0].draft_batch(AuthorId(9), 0.0, initial_changes());
        histories.iter_mut().for_each(|history| drop(history.receive_batch(first.clone())));
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            histories,
            in_transit: BTreeMap::new(),
            suspensions: Suspensions::default(),
            counts: FillCounts::default(),
        }
    }

    fn step(&mut self, number: u64) {
        let now = number * BATCH_INTERVAL_MS;
        self.deliver(now);
        self.write_batch(now, number);
        self.suspensions.observe(now, &self.histories[self.histories.len() - 1]);
        for _ in 0..FILLS_PER_BATCH {
            self.fill();
        }
    }

    fn deliver(&mut self, now: u64) {
        while self.in_transit.first_key_value().is_some_and(|((at, ..), _)| *at <= now) {
            let Some(((_, participant, _), batch)) = self.in_transit.pop_first() else { break };
            let outcome = self.histories[participant].receive_batch(batch);
            assert!(!matches!(outcome, ReceiveOutcome::Invalid(_)), "{outcome:?}");
        }
    }

    /// A random author replaces the sources of a random parent.
    fn write_batch(&mut self, now: u64, number: u64) {
        let author = self.rng.random_range(0..AUTHORS);
        let writer = PARENTS.end as usize + usize::from(author);
        let (child, source) = (self.rng.random_range(PARENTS), self.rng.random_range(PARENTS));
        let mut sources = vec![Source::new(ORIGIN, 9)];
        if child != source {
            sources.push(Source::new(NodeId(source), 0));
        }
        let change = Change::Rerank { node: NodeId(child), sources };
        let batch = self.histories[writer].draft_batch(AuthorId(author), now as f64, vec![change]);
        self.histories[writer].receive_batch(batch.clone());
        for other in (0..self.histories.len()).filter(|other| *other != writer) {
            let at = now + self.rng.random_range(1..MAX_DELAY_MS);
            self.in_transit.insert((at, other, number as usize), batch.clone());
        }
    }

    /// Starts a fill at a random parent; each node forwards it by its own version of the topology.
    fn fill(&mut self) {
        self.counts.fills += 1;
        let mut at = NodeId(self.rng.random_range(PARENTS));
        let router = &self.histories[self.histories.len() - ROUTERS];
        let mut path = FillPath::new(router.version());
        loop {
            match path.clone().append_node(&at.0.to_string()) {
                Ok(longer) => path = longer,
                Err(PathRejection::Loop { .. }) => {
                    self.counts.loops_detected += 1;
                    break;
                }
                Err(PathRejection::HopLimit) => break,
            }
            if at == ORIGIN {
                break;
            }
            let Some(next) = self.histories[at.0 as usize].topology().sources(at).next() else { break };
            at = next.node;
        }
        let names: Vec<&str> = path.names().collect();
        let distinct = names.iter().collect::<BTreeSet<_>>().len();
        self.counts.undetected_loops += u64::from(distinct < names.len());
        self.counts.longest_path = self.counts.longest_path.max(names.len());
    }

    /// Delivers all batches, and returns the number of different topologies.
    fn finish(&mut self) -> usize {
        self.deliver(u64::MAX);
        self.suspensions.durations.sort_unstable();
        let digests: BTreeSet<u64> =
            self.histories.iter().map(|history| history.topology().digest()).collect();
        digests.len()
    }
}

fn initial_changes() -> Vec<Change> {
    let node = |id: NodeId, role| Node { id, role, site: 0, tier: 1, capacity: 1.0, retiring: false };
    let mut changes = vec![Change::Add { node: node(ORIGIN, Role::Origin), sources: Vec::new() }];
    changes.extend(PARENTS.map(|id| Change::Add {
        node: node(NodeId(id), Role::Parent),
        sources: vec![Source::new(ORIGIN, 9)],
    }));
    changes
}

fn main() {
    let mut arguments = std::env::args().skip(1).map(|argument| argument.parse::<u64>().unwrap_or(1));
    let (batches, seed) = (arguments.next().unwrap_or(10_000), arguments.next().unwrap_or(1));
    let mut simulation = Simulation::new(seed);
    (0..batches).for_each(|number| simulation.step(number));
    let topologies = simulation.finish();
    let Simulation { histories, suspensions, counts, .. } = &simulation;
    let router = &histories[histories.len() - 1];
    let retained = router.entries().count();
    let rejected = router.entries().filter(|(_, result)| result.is_err()).count();
    println!(
        "seed {seed}: {batches} batches by {AUTHORS} authors, one every {BATCH_INTERVAL_MS} ms, received within {} s by \
         {} participants",
        MAX_DELAY_MS / 1_000,
        histories.len()
    );
    println!("topologies at the end: {topologies} (expected 1); rejected of the last {retained}: {rejected}");
    println!(
        "edges suspended: {}; duration: median {} ms, 99th percentile {} ms, longest {} ms",
        suspensions.count,
        suspensions.quantile(0.5),
        suspensions.quantile(0.99),
        suspensions.quantile(1.0)
    );
    println!(
        "fills: {}, longest path {}; undetected loops: {}; loops detected and rejected: {}",
        counts.fills, counts.longest_path, counts.undetected_loops, counts.loops_detected
    );
    assert_eq!((topologies, counts.undetected_loops), (1, 0));
}
