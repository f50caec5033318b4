//! Measures, in virtual time, what membership costs a router in fleets of growing size, without locations and
//! in a tree of locations: bytes sent and received, state, processor time, and how long a change takes until
//! all routers know it. Prints rows of JSON, and a linear fit of the rows of the tree.
//!
//! Usage: `summaries [flat|tree|largest|ways|all|kinds|way] [MAX_ROUTERS] [SECONDS] [eager]`; with `eager` no
//! link is pruned.
//!
//! Load: the journal of each router advances by `purges` positions a second, without the purges themselves,
//! and the hierarchy changes at all routers 24,000 times a day.
//!
//! Processor time is that of the entire simulation per router and second of virtual time: an upper bound of
//! the time that a cluster takes.

#[path = "../tests/net/mod.rs"]
mod net;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use linnethook_membership::aggregation::summary::{SummaryReport, VersionGroup};
use linnethook_membership::cluster::Cluster;
use linnethook_membership::config::MembershipConfig;
use linnethook_membership::gossip::entry::{EntryKey, GossipEntry};
use linnethook_membership::versions::{ActiveVersions, HierarchyVersion};
use net::{Delivery, LinkConfig, Network, Node, TreeShape};

/// The number of changes whose delay is measured in a tree; without locations one less.
const CHANGES_MEASURED: u64 = 4;
/// In fleets larger than this only one change is measured, because they take minutes.
const MAX_ROUTERS_WITH_ALL_CHANGES: usize = 5_000;
/// In fleets larger than this the other phases are shorter, too.
const MAX_ROUTERS_WITH_LONG_PHASES: usize = 10_000;
/// Seconds between two changes of the hierarchy: 24,000 a day.
const HIERARCHY_CHANGE_INTERVAL_SECONDS: f64 = 3.6;
const SETTINGS_DIGEST: u64 = 0x1234_5678_9abc_def0;
/// Purges a second of the load with purges.
const PURGES_PER_SECOND: f64 = 350.0;

/// The median, the 99th percentile and the maximum.
fn quantiles(mut values: Vec<f64>) -> (f64, f64, f64) {
    values.sort_by(f64::total_cmp);
    let at = |percent: usize| {
        values.get(values.len().saturating_sub(1) * percent / 100).copied().unwrap_or(f64::NAN)
    };
    (at(50), at(99), at(100))
}

fn bytes_sent_and_received(net: &Network) -> Vec<u64> {
    net.nodes.iter().map(|node| node.bytes_sent + node.bytes_received).collect()
}

struct Row {
    routers: usize,
    /// The number of locations and routers that a router knows of.
    parts: f64,
    bytes: f64,
}

struct Run<'a> {
    purges: f64,
    loss: f64,
    seconds: f64,
    /// `None` for a fleet without locations.
    shape: Option<&'a TreeShape>,
    config: MembershipConfig,
    /// Whether some routers crash right at each change.
    with_crashes: bool,
}

impl Run<'_> {
    /// The versions that a router acts on at a time. Routers lag behind each other by up to half a second.
    fn versions(&self, n: usize, now: f64) -> ActiveVersions {
        let seconds = (now / 1_000.0 - (n * 37 % 100) as f64 / 200.0).max(0.0);
        let version = (seconds / HIERARCHY_CHANGE_INTERVAL_SECONDS) as u64 + 1;
        ActiveVersions {
            build: "0.1.0".to_string(),
            settings_digest: SETTINGS_DIGEST,
            operator_digest: 0x0fed_cba9_8765_4321,
            hierarchy: HierarchyVersion { version, digest: version.wrapping_mul(0x9e37_79b9_7f4a_7c15) },
            journal_position: 1_000_000 + (seconds * self.purges) as u64,
            drains_applied: 1_000,
            purges_applied: 1_000_000 + (seconds * self.purges) as u64,
        }
    }

    /// Advances the time under load, with or without changes of the hierarchy.
    fn run_load(&self, net: &mut Network, end: f64, changes_hierarchy: bool) {
        while net.now < end {
            let now = net.now;
            for n in (0..net.nodes.len()).filter(|n| net.is_running(*n)).collect::<Vec<_>>() {
                let mut versions = self.versions(n, now);
                if !changes_hierarchy {
                    versions.hierarchy = HierarchyVersion { version: 1, digest: 1 };
                }
                net.cluster(n).set_versions(&versions);
            }
            net.run_until((now + 100.0).min(end));
        }
    }

    /// The router whose settings change: three arbitrary ones, and in a tree the last one, whose zone, region
    /// and area are aggregated in other sites.
    fn changed_router(&self, routers: usize, change: u64) -> usize {
        match change {
            CHANGES_MEASURED if self.shape.is_some() => routers - 1,
            _ => (change as usize * 7_919 + 3) % routers,
        }
    }

    /// The routers that crash right at a change: one in a hundred, none of which aggregates its site.
    fn crashing_routers(&self, net: &Network, changed: usize) -> BTreeSet<usize> {
        let size = self.shape.map_or(net.nodes.len(), |shape| shape.routers);
        let is_aggregator = |n: usize| {
            let site = n / size * size;
            (site..site + size).min_by_key(|n| net.nodes[*n].name.clone()) == Some(n)
        };
        let candidates = (50..net.nodes.len()).step_by(101).filter(|_| self.with_crashes);
        candidates.filter(|n| *n != changed && !is_aggregator(*n)).collect()
    }

    /// Changes the settings of one router, and returns the delay until each other router knows the change;
    /// infinite if it does not within ten seconds.
    fn change_delays(&self, net: &mut Network, change: u64) -> Vec<f64> {
        let routers = net.nodes.len();
        let changed = self.changed_router(routers, change);
        let at = net.now;
        let crashed = self.crashing_routers(net, changed);
        crashed.iter().for_each(|n| net.crash(*n));
        let mut delays = vec![f64::NAN; routers];
        let name = net.nodes[changed].name.clone();
        for _ in 0..200 {
            let now = net.now;
            for n in (0..routers).filter(|n| net.is_running(*n)).collect::<Vec<_>>() {
                let mut versions = self.versions(n, now);
                versions.hierarchy = HierarchyVersion { version: 1, digest: 1 };
                versions.settings_digest += if n == changed { change } else { 0 };
                net.cluster(n).set_versions(&versions);
            }
            net.run_until(now + 50.0);
            for (n, node) in net.nodes.iter().enumerate().filter(|(n, _)| *n != changed) {
                let Some(cluster) = node.cluster.as_ref().filter(|_| delays[n].is_nan()) else { continue };
                if self.knows_change(cluster, net.now, &name, change) {
                    delays[n] = net.now - at;
                }
            }
            let is_done = |(n, delay): (usize, &f64)| n == changed || crashed.contains(&n) || !delay.is_nan();
            if delays.iter().enumerate().all(is_done) {
                break;
            }
        }
        crashed.iter().for_each(|n| net.start(*n));
        let delays = delays.into_iter().enumerate().filter(|(n, _)| *n != changed && !crashed.contains(n));
        delays.map(|(_, delay)| if delay.is_nan() { f64::INFINITY } else { delay }).collect()
    }

    fn knows_change(&self, cluster: &Cluster, now: f64, changed: &str, change: u64) -> bool {
        if self.shape.is_some() {
            return cluster.fleet_summary(now).is_some_and(|total| total.groups.len() == 2);
        }
        let settings_digest = cluster.members().get(changed).map(|m| m.status.versions.settings_digest);
        settings_digest == Some(SETTINGS_DIGEST + change)
    }

    /// For each router the time since the oldest hierarchy that it knows of was last in use, in milliseconds.
    fn version_delays(&self, net: &Network) -> Vec<f64> {
        let oldest_version = |cluster: &Cluster| match self.shape {
            Some(_) => cluster.fleet_summary(net.now)?.oldest_hierarchy(),
            None => cluster.members().iter().map(|(_, m)| m.status.versions.hierarchy.version).min(),
        };
        let oldest = net.nodes.iter().filter_map(|node| oldest_version(node.cluster.as_ref()?));
        let interval = HIERARCHY_CHANGE_INTERVAL_SECONDS * 1_000.0;
        oldest.map(|version| (net.now - version as f64 * interval).max(0.0)).collect()
    }

    fn measure(&self, net: &mut Network) -> Row {
        let routers = net.nodes.len();
        let has_long_phases = routers <= MAX_ROUTERS_WITH_LONG_PHASES;
        let (warm_up, settle) = if has_long_phases { (30_000.0, 15_000.0) } else { (20_000.0, 10_000.0) };
        self.run_load(net, warm_up, true);
        let before = bytes_sent_and_received(net);
        let started = Instant::now();
        let end = net.now + self.seconds * 1_000.0;
        let mut version_delays = Vec::new();
        while net.now < end {
            self.run_load(net, net.now + 1_000.0, true);
            version_delays.extend(self.version_delays(net));
        }
        let processor_time = started.elapsed().as_secs_f64() / self.seconds / routers as f64;
        let load = LoadFigures::new(self, net, &before);
        let settled = net.now + settle;
        self.run_load(net, settled, false);
        let change_delays = self.measure_changes(net);
        let parts = self.shape.map_or(routers, |shape| shape.children.iter().sum::<usize>() + shape.routers);
        let (version_delays, change_delays) = (quantiles(version_delays), quantiles(change_delays));
        println!(
            "{{\"form\": \"{}\", \"routers\": {routers}, \"parts\": {parts}, \"purges\": {}, \"loss\": {}, \
             \"prunes\": {}, \"dies\": {}, {load}, \"core_share\": {processor_time:.6}, \
             \"known_ms\": [{:.0}, {:.0}, {:.0}], \"version_late_ms\": [{:.0}, {:.0}, {:.0}]}}",
            if self.shape.is_some() { "tree" } else { "flat" },
            self.purges,
            self.loss,
            self.config.plumtree.lazy_links,
            self.with_crashes,
            change_delays.0,
            change_delays.1,
            change_delays.2,
            version_delays.0,
            version_delays.1,
            version_delays.2
        );
        Row { routers, parts: parts as f64, bytes: load.mean_bytes }
    }

    fn measure_changes(&self, net: &mut Network) -> Vec<f64> {
        let changes = match self.shape {
            Some(_) if net.nodes.len() > MAX_ROUTERS_WITH_ALL_CHANGES => CHANGES_MEASURED..=CHANGES_MEASURED,
            Some(_) => 1..=CHANGES_MEASURED,
            None => 1..=CHANGES_MEASURED - 1,
        };
        let mut delays = Vec::new();
        for change in changes {
            delays.extend(self.change_delays(net, change));
            if change < CHANGES_MEASURED {
                let settled = net.now + 8_000.0;
                self.run_load(net, settled, false);
            }
        }
        delays
    }
}

/// What the load costs the routers: bytes a second, queued entries and messages, and the table.
struct LoadFigures {
    mean_bytes: f64,
    bytes: (f64, f64, f64),
    max_aggregator_bytes: f64,
    max_pending: f64,
    max_state_bytes: f64,
    max_entries: f64,
}

impl LoadFigures {
    fn new(run: &Run<'_>, net: &Network, before: &[u64]) -> Self {
        let rate = |(after, before): (u64, &u64)| (after - before) as f64 / run.seconds;
        let bytes: Vec<f64> = bytes_sent_and_received(net).into_iter().zip(before).map(rate).collect();
        // Locations are aggregated by the first routers of their sites.
        let size = run.shape.map_or(1, |shape| shape.routers);
        let aggregators: Vec<f64> = bytes.iter().step_by(size).copied().collect();
        let max = |value: &dyn Fn(&Cluster) -> f64| {
            let values = net.nodes.iter().filter_map(|node: &Node| Some(value(node.cluster.as_ref()?)));
            quantiles(values.collect()).2
        };
        Self {
            mean_bytes: bytes.iter().sum::<f64>() / net.nodes.len() as f64,
            bytes: quantiles(bytes),
            max_aggregator_bytes: quantiles(aggregators).2,
            max_pending: max(&|cluster| cluster.view(net.now).pending as f64),
            max_state_bytes: max(&|cluster| cluster.table().bytes() as f64),
            max_entries: max(&|cluster| cluster.table().len() as f64),
        }
    }
}

impl std::fmt::Display for LoadFigures {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (median, percentile_99, max) = self.bytes;
        write!(
            f,
            "\"bytes_mean\": {:.0}, \"bytes_median\": {median:.0}, \"bytes_99\": {percentile_99:.0}, \
             \"bytes_worst\": {max:.0}, \"bytes_speakers_worst\": {:.0}, \"waiting_worst\": {:.0}, \
             \"state_bytes\": {:.0}, \"facts\": {:.0}",
            self.mean_bytes,
            self.max_aggregator_bytes,
            self.max_pending,
            self.max_state_bytes,
            self.max_entries
        )
    }
}

/// Prints the least-squares line of bytes over the number of parts that a router knows of, and the largest
/// deviation of a row from it.
fn fit(rows: &[Row]) {
    let n = rows.len() as f64;
    let mean_x = rows.iter().map(|row| row.parts).sum::<f64>() / n;
    let mean_y = rows.iter().map(|row| row.bytes).sum::<f64>() / n;
    let covariance: f64 = rows.iter().map(|row| (row.parts - mean_x) * (row.bytes - mean_y)).sum();
    let slope = covariance / rows.iter().map(|row| (row.parts - mean_x).powi(2)).sum::<f64>();
    let line = |parts: f64| mean_y + slope * (parts - mean_x);
    let deviation = rows.iter().map(|row| (row.bytes - line(row.parts)).abs()).fold(0.0, f64::max);
    println!(
        "{{\"fit\": \"bytes a second over parts\", \"slope\": {slope:.1}, \"at_0\": {:.0}, \
         \"furthest_off\": {deviation:.0}, \"most_routers\": {}}}",
        line(0.0),
        rows.iter().map(|row| row.routers).max().unwrap_or(0)
    );
}

/// Prints for each change, level by level, when each location around the changed router published it, and
/// when all routers in the scope of the summary had received it, in milliseconds after the change.
fn measure_paths(shape: &TreeShape, config: MembershipConfig) {
    let mut net = Network::tree(7, shape, config, LinkConfig::default());
    let run = tree_run(shape, config, 20.0);
    run.run_load(&mut net, 50_000.0, true);
    let settled = net.now + 15_000.0;
    run.run_load(&mut net, settled, false);
    for change in 1..=CHANGES_MEASURED {
        net.deliveries = Some(Vec::new());
        let at = net.now;
        let (routers, changed) = (net.nodes.len(), run.changed_router(net.nodes.len(), change));
        let unsettled = (0..routers)
            .filter_map(|n| Some(net.nodes[n].cluster.as_ref()?.fleet_summary(at)?.groups.len()))
            .filter(|groups| *groups != 1)
            .count();
        let delays = quantiles(run.change_delays(&mut net, change));
        println!(
            "{{\"turn\": {change}, \"router\": {changed}, \"known_ms\": [{:.0}, {:.0}, {:.0}], \
             \"unsettled_before\": {unsettled}}}",
            delays.0, delays.1, delays.2
        );
        let build_digest = VersionGroup::from_versions(&ActiveVersions {
            settings_digest: SETTINGS_DIGEST + change,
            ..run.versions(changed, at)
        })
        .build_digest;
        print_path(&net, changed, at, build_digest);
        let settled = net.now + 8_000.0;
        run.run_load(&mut net, settled, false);
    }
}

fn print_path(net: &Network, changed: usize, at: f64, build_digest: u32) {
    let site = net.nodes[changed].location.clone().unwrap_or_default();
    for depth in (1..=site.depth()).rev() {
        let location = site.ancestor(depth);
        let key = EntryKey::Summary(location.clone()).encode();
        let mut received = BTreeMap::new();
        let mut published = BTreeMap::new();
        let deliveries = net.deliveries.iter().flatten().filter(|delivery| delivery.key == key);
        for Delivery { at: delivered_at, from, to, value, .. } in deliveries {
            let Ok(entry) = GossipEntry::decode(value) else { continue };
            let Ok(SummaryReport { reported_by, summary }) = entry.decode_body::<SummaryReport>() else {
                continue;
            };
            if net.nodes[*from].name == reported_by {
                let groups = summary.groups.iter();
                let groups = groups
                    .map(|(group, n)| (group.build_digest == build_digest, group.hierarchy_version, *n));
                let report = (*delivered_at - at, reported_by, groups.collect::<Vec<_>>());
                published.entry(entry.revision).or_insert(report);
            }
            if summary.groups.keys().any(|group| group.build_digest == build_digest) {
                received.entry(*to).or_insert(*delivered_at - at);
            }
        }
        let received = quantiles(received.into_values().collect());
        println!("  {location}: received after {:.0}, {:.0}, {:.0}", received.0, received.1, received.2);
        for (delay, aggregator, groups) in published.values() {
            println!(
                "    published after {delay:.0} by {aggregator}: (changed, version, routers) {groups:?}"
            );
        }
    }
}

/// Totals of the fleet: received entries that were new, and received entries that were known.
fn received_entries(net: &Network) -> (u64, u64) {
    let counters = net.nodes.iter().filter_map(|node| Some(node.cluster.as_ref()?.counters));
    counters
        .fold((0, 0), |(new, stale), counters| (new + counters.entries_new, stale + counters.entries_stale))
}

/// Prints the traffic on links by kind of entry or message: how many and how many bytes each router sends and
/// receives a second, on average and for the router with the most bytes.
fn measure_kinds(shape: &TreeShape, config: MembershipConfig) {
    const SECONDS: f64 = 18.0;
    let mut net = Network::tree(7, shape, config, LinkConfig::default());
    let run = tree_run(shape, config, SECONDS);
    run.run_load(&mut net, 30_000.0, true);
    net.deliveries = Some(Vec::new());
    let received_before = received_entries(&net);
    let bytes_before = bytes_sent_and_received(&net);
    let end = net.now + SECONDS * 1_000.0;
    run.run_load(&mut net, end, true);
    let received_after = received_entries(&net);
    let bytes = bytes_sent_and_received(&net).into_iter().zip(bytes_before);
    let bytes: Vec<u64> = bytes.map(|(after, before)| after - before).collect();
    let worst = (0..bytes.len()).max_by_key(|n| bytes[*n]).unwrap_or(0);
    let rate = |amount: u64, routers: usize| amount as f64 / SECONDS / routers as f64;
    for (whose, only) in [("all", None), ("the worst", Some(worst))] {
        let routers = if only.is_some() { 1 } else { net.nodes.len() };
        let total = only.map_or(bytes.iter().sum(), |n| bytes[n]);
        println!(
            "{{\"whose\": \"{whose}\", \"bytes_a_second\": {:.0}, \"links_of_the_worst\": {}}}",
            rate(total, routers),
            net.neighbors(worst).len()
        );
        for (kind, (count, bytes)) in traffic_by_kind(&net, only) {
            let (count, bytes) = (rate(count, routers), rate(bytes, routers));
            println!("{{\"kind\": \"{kind}\", \"a_second\": {count:.2}, \"bytes_a_second\": {bytes:.0}}}");
        }
    }
    println!(
        "{{\"new\": {}, \"old\": {}}}",
        received_after.0 - received_before.0,
        received_after.1 - received_before.1
    );
}

/// The number and the bytes of all recorded deliveries by kind, counted at both ends; or at one router only.
fn traffic_by_kind(net: &Network, only: Option<usize>) -> BTreeMap<String, (u64, u64)> {
    let mut kinds = BTreeMap::<String, (u64, u64)>::new();
    for Delivery { from, to, key, value, .. } in net.deliveries.iter().flatten() {
        let ends = only.map_or(2, |n| u64::from(*from == n) + u64::from(*to == n));
        if ends == 0 {
            continue;
        }
        let kind = match EntryKey::decode(key) {
            Some(EntryKey::Summary(location)) => format!("sum of depth {}", location.depth()),
            Some(key) => format!("{key:?}").split('(').next().unwrap_or_default().to_string(),
            None => format!("word {key:?}"),
        };
        let total = kinds.entry(kind).or_default();
        *total = (total.0 + ends, total.1 + ends * (key.len() + value.len() + 4) as u64);
    }
    kinds
}

/// A run in a tree of locations with purges, without loss and without crashes.
fn tree_run(shape: &TreeShape, config: MembershipConfig, seconds: f64) -> Run<'_> {
    Run { purges: PURGES_PER_SECOND, loss: 0.0, seconds, shape: Some(shape), config, with_crashes: false }
}

fn measure_flat(max_routers: usize, seconds: f64, config: MembershipConfig) {
    for purges in [0.0, 10.0, PURGES_PER_SECOND] {
        for routers in [10, 30, 100, 300].into_iter().filter(|routers| *routers <= max_routers) {
            let mut net = Network::new(7, routers, 3, config, LinkConfig::default());
            Run { purges, loss: 0.0, seconds, shape: None, config, with_crashes: false }.measure(&mut net);
        }
    }
}

fn measure_trees(shapes: &[TreeShape], seconds: f64, config: MembershipConfig) {
    let mut rows = Vec::new();
    for shape in shapes {
        let mut net = Network::tree(7, shape, config, LinkConfig::default());
        rows.push(tree_run(shape, config, seconds).measure(&mut net));
    }
    if rows.len() > 1 {
        fit(&rows);
    }
}

/// Measures variants of one fleet: loss with a slow router, crashes, no purges, and fewer levels of
/// locations.
fn measure_variants(seconds: f64, config: MembershipConfig) {
    let shape = TreeShape::new(&[1, 2, 4, 5], 22);
    // 1% of the messages are lost, and one router is slow.
    let link_config = LinkConfig { loss: 0.01, ..LinkConfig::default() };
    let mut net = Network::tree(8, &shape, config, link_config);
    net.set_extra_delay(40, 200.0);
    Run { loss: 0.01, ..tree_run(&shape, config, seconds) }.measure(&mut net);
    // One router in a hundred crashes right at each change.
    let mut net = Network::tree(7, &shape, config, LinkConfig::default());
    Run { with_crashes: true, ..tree_run(&shape, config, seconds) }.measure(&mut net);
    let mut net = Network::tree(7, &shape, config, LinkConfig::default());
    Run { purges: 0.0, ..tree_run(&shape, config, seconds) }.measure(&mut net);
    // The same number of routers with fewer levels of locations.
    for children in [&[2, 20][..], &[40]] {
        let shape = TreeShape::new(children, 22);
        let mut net = Network::tree(7, &shape, config, LinkConfig::default());
        tree_run(&shape, config, seconds).measure(&mut net);
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let form = arguments.next().unwrap_or_else(|| "all".to_string());
    let max_routers: usize = arguments.next().and_then(|text| text.parse().ok()).unwrap_or(1_000);
    let seconds: f64 = arguments.next().and_then(|text| text.parse().ok()).unwrap_or(36.0);
    let mut config = MembershipConfig::default();
    config.plumtree.lazy_links = arguments.next().as_deref() != Some("eager");
    // Sites have 22 routers. The last shape is close to the planned fleet: 42 regions in 7 areas.
    let children: [&[usize]; 8] = [
        &[1, 1, 1, 1],
        &[1, 1, 1, 5],
        &[1, 1, 4, 5],
        &[1, 2, 4, 5],
        &[2, 2, 4, 5],
        &[3, 4, 4, 4],
        &[6, 4, 4, 4],
        &[7, 6, 4, 4],
    ];
    let shapes = children.iter().map(|children| TreeShape::new(children, 22));
    let shapes: Vec<TreeShape> = shapes.filter(|shape| shape.all() <= max_routers).collect();
    match (form.as_str(), shapes.last()) {
        ("kinds", Some(shape)) => return measure_kinds(shape, config),
        ("way", Some(shape)) => return measure_paths(shape, config),
        _ => {}
    }
    if form == "flat" || form == "all" {
        measure_flat(max_routers, seconds, config);
    }
    // The largest tree alone takes minutes.
    if form == "largest" {
        measure_trees(&shapes[shapes.len().saturating_sub(1)..], seconds, config);
    } else if form == "tree" || form == "all" {
        measure_trees(&shapes, seconds, config);
    }
    if form == "ways" || form == "all" {
        measure_variants(seconds, config);
    }
}
