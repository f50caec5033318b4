//! Crossing batches without end, in virtual time: three authors re-hang ten hub caches, which hear of it at times of
//! their own, as do two routers; fills go by what each node knows. Prints how many edges were suspended and for how
//! long, and how many fills came round. `cargo run --release -p linnethook-hierarchy --example crossing [BATCHES] [SEED]`

use std::collections::BTreeMap;

use linnethook_hierarchy::loop_detection::{FillPath, PathRejection};
use linnethook_hierarchy::{
    AuthorId, Change, ChangeBatch, History, Node, NodeId, ReceiveOutcome, Role, Source,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const ORIGIN: NodeId = NodeId(1);
const HUBS: std::ops::Range<u64> = 2..12;
const AUTHORS: u16 = 3;

fn main() {
    let mut words = std::env::args().skip(1).map(|word| word.parse::<u64>().unwrap_or(1));
    let (batches, seed) = (words.next().unwrap_or(10_000), words.next().unwrap_or(1));
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let node =
        |id: u64, role| Node { id: NodeId(id), role, site: 0, tier: 1, capacity: 1.0, retiring: false };
    let mut first = vec![Change::Add { node: node(1, Role::Origin), sources: Vec::new() }];
    first.extend(
        HUBS.map(|id| Change::Add { node: node(id, Role::Parent), sources: vec![Source::new(ORIGIN, 9)] }),
    );
    // One mind for each hub cache, for each author, and for two routers.
    let minds = HUBS.end as usize + usize::from(AUTHORS) + 2;
    let mut all: Vec<History> = vec![History::default(); minds];
    let begun = all[0].draft_batch(AuthorId(9), 0.0, first);
    all.iter_mut().for_each(|mind| drop(mind.receive_batch(begun.clone())));
    // By time, in milliseconds: who hears what then.
    let mut post = BTreeMap::<(u64, usize, usize), ChangeBatch>::new();
    let mut since = BTreeMap::<(NodeId, NodeId), u64>::new();
    let (mut spans, mut suspended) = (Vec::new(), 0u64);
    let (mut fills, mut round, mut twice, mut longest) = (0u64, 0u64, 0u64, 0usize);
    for n in 0..batches {
        let now = n * 100;
        while post.first_key_value().is_some_and(|((at, ..), _)| *at <= now) {
            let Some(((_, mind, _), batch)) = post.pop_first() else { break };
            let heard = all[mind].receive_batch(batch);
            assert!(!matches!(heard, ReceiveOutcome::Invalid(_)), "{heard:?}");
        }
        let author = chance.random_range(0..AUTHORS);
        let mind = HUBS.end as usize + usize::from(author);
        let (child, source) = (chance.random_range(HUBS), chance.random_range(HUBS));
        let mut sources = vec![Source::new(ORIGIN, 9)];
        if child != source {
            sources.push(Source::new(NodeId(source), 0));
        }
        let batch = all[mind].draft_batch(
            AuthorId(author),
            now as f64,
            vec![Change::Rerank { node: NodeId(child), sources }],
        );
        all[mind].receive_batch(batch.clone());
        for other in (0..minds).filter(|other| *other != mind) {
            post.insert((now + chance.random_range(1..2_000), other, n as usize), batch.clone());
        }
        // What one router has suspended, and for how long.
        let router = &all[minds - 1];
        let now_suspended: Vec<(NodeId, NodeId)> =
            router.topology().suspended_edges().map(|edge| (edge.from, edge.source.node)).collect();
        for edge in &now_suspended {
            since.entry(*edge).or_insert_with(|| {
                suspended += 1;
                now
            });
        }
        since.retain(|edge, at| {
            let still = now_suspended.contains(edge);
            if !still {
                spans.push(now - *at);
            }
            still
        });
        // Fills, each node by its own mind.
        for _ in 0..20 {
            fills += 1;
            let mut at = NodeId(chance.random_range(HUBS));
            let mut way = FillPath::new(all[minds - 2].version());
            loop {
                match way.clone().append_node(&at.0.to_string()) {
                    Ok(longer) => way = longer,
                    Err(PathRejection::Loop { .. }) => {
                        round += 1;
                        break;
                    }
                    Err(PathRejection::HopLimit) => break,
                }
                if at == ORIGIN {
                    break;
                }
                let Some(next) = all[at.0 as usize].topology().sources(at).next() else { break };
                at = next.node;
            }
            let names: Vec<&str> = way.names().collect();
            let distinct = names.iter().collect::<std::collections::BTreeSet<_>>().len();
            twice += u64::from(distinct < names.len());
            longest = longest.max(names.len());
        }
    }
    for ((_, mind, _), batch) in std::mem::take(&mut post) {
        all[mind].receive_batch(batch);
    }
    let digests: std::collections::BTreeSet<u64> = all.iter().map(|mind| mind.topology().digest()).collect();
    spans.sort_unstable();
    let at = |part: f64| spans.get(((spans.len().max(1) - 1) as f64 * part) as usize).copied().unwrap_or(0);
    println!("seed {seed}: {batches} batches of {AUTHORS} authors, one each 100 ms, heard within 2 s by {minds} minds");
    let kept = all[minds - 1].entries().count();
    let refused = all[minds - 1].entries().filter(|(_, verdict)| verdict.is_err()).count();
    println!("shapes at the end: {} (1 is wanted); overtaken, of the last {kept}: {refused}", digests.len());
    println!(
        "edges suspended: {suspended}; for how long: median {} ms, 99th percentile {} ms, longest {} ms",
        at(0.5),
        at(0.99),
        at(1.0)
    );
    println!("fills: {fills}, longest way {longest}; passed a node twice: {twice}; turned away where they came round: {round}");
    assert_eq!((digests.len(), twice), (1, 0));
}
