//! How long a fact takes to reach all, how long a loss takes to be seen, what is said while nothing and while something
//! happens, and who is suspected wrongly; in virtual time, for fleets of some sizes and links that lose.
//!
//! `spread [MOST_ROUTERS]`.

#[path = "../tests/net/mod.rs"]
mod net;

use linnethook_membership::actions::ClusterEvent;
use linnethook_membership::config::MembershipConfig;
use linnethook_membership::gossip::entry::{CacheStatus, EntryKey};
use linnethook_membership::membership::{MemberChange, MemberState};
use net::{Net, Wire};

fn quantiles(mut times: Vec<f64>) -> String {
    times.sort_by(f64::total_cmp);
    let at = |part: usize| times.get(times.len().saturating_sub(1) * part / 100).copied().unwrap_or(f64::NAN);
    format!("{:.0} {:.0} {:.0}", at(50), at(99), at(100))
}

fn bytes_by_router(net: &Net) -> f64 {
    net.nodes.iter().map(|node| node.bytes as f64).sum::<f64>() / net.nodes.len() as f64
}

fn measure(routers: usize, loss: f64) {
    let mut net = Net::new(7, routers, 3, MembershipConfig::default(), Wire { loss, ..Wire::default() });
    let alive = |net: &Net| {
        net.nodes.iter().filter_map(|node| node.core.as_ref()).all(|core| {
            core.members().iter().filter(|(_, m)| m.state == MemberState::Alive).count() >= routers - 1
        })
    };
    let joined = net.until(120_000.0, alive).unwrap_or(f64::NAN);
    net.run(net.now + 30_000.0);
    let (before, from) = (bytes_by_router(&net), net.now);
    net.run(net.now + 20_000.0);
    let quiet = (bytes_by_router(&net) - before) / 20.0;
    // One fact.
    let (at, before) = (net.now, bytes_by_router(&net));
    net.core(0).publish_cache(at, "c", CacheStatus { ready: false, removed: false, started_at: 0.0 }, 9);
    let key = EntryKey::Cache("c".to_string()).encode();
    let mut known = vec![f64::NAN; routers];
    for _ in 0..1_000 {
        net.run(net.now + 10.0);
        for (n, node) in net.nodes.iter().enumerate() {
            let has = node.core.as_ref().is_some_and(|core| core.table().get(&key).is_some());
            if has && known[n].is_nan() {
                known[n] = net.now - at;
            }
        }
        if known.iter().all(|at| !at.is_nan()) {
            break;
        }
    }
    let fact = bytes_by_router(&net) - before;
    // One crash.
    net.run(net.now + 10_000.0);
    let mistaken = |net: &Net, name: &str| {
        let suspected = |note: &ClusterEvent| matches!(note, ClusterEvent::Member { name: who, change: MemberChange::StateChanged(MemberState::Suspect), .. } if who != name);
        net.nodes.iter().flat_map(|n| &n.notes).filter(|(at, note)| *at > from && suspected(note)).count()
    };
    let at = net.now;
    let name = format!("r{}", routers / 2);
    net.crash(routers / 2);
    let mut seen = Vec::new();
    net.run(net.now + 10_000.0);
    for node in &net.nodes {
        let when = node.notes.iter().find(|(when, note)| {
            *when > at && matches!(note, ClusterEvent::Member { name: who, change: MemberChange::StateChanged(MemberState::Suspect), .. } if *who == name)
        });
        seen.extend(when.map(|(when, _)| when - at));
    }
    // One whose links are all slow.
    net.slow(1, 400.0);
    net.run(net.now + 20_000.0);
    println!(
        "| {routers} | {:.0}% | {joined:.0} | {} | {fact:.0} | {quiet:.0} | {} of {} seen: {} | {} |",
        loss * 100.0,
        quantiles(known),
        seen.len(),
        routers - 1,
        quantiles(seen.clone()),
        mistaken(&net, &name)
    );
}

fn main() {
    let most: usize = std::env::args().nth(1).and_then(|most| most.parse().ok()).unwrap_or(1_000);
    println!("| routers | loss | all joined, ms | a fact known: median 99% last, ms | bytes for it, by router | bytes a second while quiet, by router | a crash: median 99% last, ms | suspected wrongly |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for routers in [10, 30, 100, 300, 1_000].into_iter().filter(|routers| *routers <= most) {
        for loss in [0.0, 0.01, 0.1] {
            measure(routers, loss);
        }
    }
}
