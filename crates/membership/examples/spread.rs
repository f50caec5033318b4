//! Measures, in virtual time, for fleets of several sizes and links with several loss rates: how long an
//! entry takes to reach all routers, how long a crash takes to be detected, the bytes sent while nothing
//! changes and for one entry, and the number of false suspicions.
//!
//! Usage: `spread [MAX_ROUTERS]`.

#[path = "../tests/net/mod.rs"]
mod net;

use linnethook_membership::actions::ClusterEvent;
use linnethook_membership::config::MembershipConfig;
use linnethook_membership::gossip::entry::{CacheStatus, EntryKey};
use linnethook_membership::membership::{MemberChange, MemberState};
use net::{LinkConfig, Network};

/// The median, the 99th percentile and the maximum.
fn quantiles(mut times: Vec<f64>) -> String {
    times.sort_by(f64::total_cmp);
    let at = |percent: usize| {
        times.get(times.len().saturating_sub(1) * percent / 100).copied().unwrap_or(f64::NAN)
    };
    format!("{:.0} {:.0} {:.0}", at(50), at(99), at(100))
}

/// The mean of the bytes that the routers have sent.
fn mean_bytes_sent(net: &Network) -> f64 {
    net.nodes.iter().map(|node| node.bytes_sent as f64).sum::<f64>() / net.nodes.len() as f64
}

/// The router that an event reports as suspect.
fn suspected_router(event: &ClusterEvent) -> Option<&str> {
    match event {
        ClusterEvent::Member { name, change: MemberChange::StateChanged(MemberState::Suspect), .. } => {
            Some(name)
        }
        _ => None,
    }
}

fn measure(routers: usize, loss: f64) {
    let mut net = Network::new(
        7,
        routers,
        3,
        MembershipConfig::default(),
        LinkConfig { loss, ..LinkConfig::default() },
    );
    let all_see_each_other = |net: &Network| {
        net.nodes.iter().filter_map(|node| node.cluster.as_ref()).all(|cluster| {
            cluster.members().iter().filter(|(_, m)| m.state == MemberState::Alive).count() >= routers - 1
        })
    };
    let joined_at = net.wait_for(120_000.0, all_see_each_other).unwrap_or(f64::NAN);
    net.run_until(net.now + 30_000.0);
    let (before, from) = (mean_bytes_sent(&net), net.now);
    net.run_until(net.now + 20_000.0);
    let idle_bytes_per_second = (mean_bytes_sent(&net) - before) / 20.0;
    // One entry.
    let (at, before) = (net.now, mean_bytes_sent(&net));
    net.cluster(0).publish_cache(at, "c", CacheStatus { ready: false, removed: false, started_at: 0.0 }, 9);
    let key = EntryKey::Cache("c".to_string()).encode();
    let mut delays = vec![f64::NAN; routers];
    for _ in 0..1_000 {
        net.run_until(net.now + 10.0);
        for (n, node) in net.nodes.iter().enumerate() {
            let has_entry = node.cluster.as_ref().is_some_and(|cluster| cluster.table().get(&key).is_some());
            if has_entry && delays[n].is_nan() {
                delays[n] = net.now - at;
            }
        }
        if delays.iter().all(|delay| !delay.is_nan()) {
            break;
        }
    }
    let entry_bytes = mean_bytes_sent(&net) - before;
    // One crash.
    net.run_until(net.now + 10_000.0);
    let false_suspicions = |net: &Network, crashed: &str| {
        let is_false = |event: &ClusterEvent| suspected_router(event).is_some_and(|name| name != crashed);
        net.nodes.iter().flat_map(|n| &n.events).filter(|(at, event)| *at > from && is_false(event)).count()
    };
    let at = net.now;
    let name = format!("r{}", routers / 2);
    net.crash(routers / 2);
    let mut detection_delays = Vec::new();
    net.run_until(net.now + 10_000.0);
    for node in &net.nodes {
        let detection = node
            .events
            .iter()
            .find(|(detected_at, event)| *detected_at > at && suspected_router(event) == Some(name.as_str()));
        detection_delays.extend(detection.map(|(detected_at, _)| detected_at - at));
    }
    // One router with an additional delay on all of its links.
    net.set_extra_delay(1, 400.0);
    net.run_until(net.now + 20_000.0);
    println!(
        "| {routers} | {:.0}% | {joined_at:.0} | {} | {entry_bytes:.0} | {idle_bytes_per_second:.0} | \
         {} of {} detected: {} | {} |",
        loss * 100.0,
        quantiles(delays),
        detection_delays.len(),
        routers - 1,
        quantiles(detection_delays.clone()),
        false_suspicions(&net, &name)
    );
}

fn main() {
    let max_routers: usize = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(1_000);
    println!(
        "| routers | loss | all joined, ms | delay of an entry: median 99% max, ms | \
         bytes for it per router | idle bytes/s per router | detection of a crash: median 99% max, ms | false suspicions |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for routers in [10, 30, 100, 300, 1_000].into_iter().filter(|routers| *routers <= max_routers) {
        for loss in [0.0, 0.01, 0.1] {
            measure(routers, loss);
        }
    }
}
