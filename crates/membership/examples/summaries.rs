//! What a router spends as a member of the fleet, flat and in a tree of places, at sizes that grow: bytes in and out,
//! state, processor time, and how long a change takes to be known everywhere. In virtual time; rows of JSON, then a
//! straight line through the placed rows.
//!
//! `summaries [flat|tree|largest|ways|all|kinds|way] [MOST_ROUTERS] [SECONDS] [eager]`; with `eager` no link is pruned.
//! Load: each router's journal moves `purges` times a second (the number alone: purges themselves are not told here), and
//! the hierarchy changes at all routers 24,000 times a day.
//! Processor time is that of the whole simulation by router and second of virtual time: an upper bound of the core's.

#[path = "../tests/net/mod.rs"]
mod net;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use linnethook_membership::aggregation::summary::{SummaryReport, VersionGroup};
use linnethook_membership::cluster::Cluster;
use linnethook_membership::config::MembershipConfig;
use linnethook_membership::gossip::entry::{EntryKey, GossipEntry};
use linnethook_membership::versions::{ActiveVersions, HierarchyVersion};
use net::{Net, Shape, Wire};

/// Routers of which a change is measured, in a tree; elsewhere one less.
const TURNS: u64 = 4;
/// Of larger fleets only one change is measured; and of those that are larger still the rest is shorter too.
const MANY: usize = 5_000;
const MOST: usize = 10_000;
/// Seconds between two changes of the hierarchy: 24,000 a day.
const CHANGES: f64 = 3.6;

fn quantiles(mut all: Vec<f64>) -> (f64, f64, f64) {
    all.sort_by(f64::total_cmp);
    let at = |part: usize| all.get(all.len().saturating_sub(1) * part / 100).copied().unwrap_or(f64::NAN);
    (at(50), at(99), at(100))
}

struct Row {
    routers: usize,
    parts: f64,
    bytes: f64,
}

struct Run<'a> {
    purges: f64,
    loss: f64,
    seconds: f64,
    shape: Option<&'a Shape>,
    rules: MembershipConfig,
    /// Whether some die right at each change.
    dies: bool,
}

impl Run<'_> {
    /// What all act on at a time: each is a little behind another.
    fn versions(&self, n: usize, now: f64) -> ActiveVersions {
        let seconds = (now / 1_000.0 - (n * 37 % 100) as f64 / 200.0).max(0.0);
        let version = (seconds / CHANGES) as u64 + 1;
        ActiveVersions {
            build: "0.1.0".to_string(),
            settings_digest: 0x1234_5678_9abc_def0,
            operator_digest: 0x0fed_cba9_8765_4321,
            hierarchy: HierarchyVersion { version, digest: version.wrapping_mul(0x9e37_79b9_7f4a_7c15) },
            journal_position: 1_000_000 + (seconds * self.purges) as u64,
            drains_applied: 1_000,
            purges_applied: 1_000_000 + (seconds * self.purges) as u64,
        }
    }

    fn play(&self, net: &mut Net, until: f64, changes: bool) {
        while net.now < until {
            let now = net.now;
            for n in (0..net.nodes.len()).filter(|n| net.runs(*n)).collect::<Vec<_>>() {
                let mut active = self.versions(n, now);
                if !changes {
                    active.hierarchy = HierarchyVersion { version: 1, digest: 1 };
                }
                net.core(n).set_versions(&active);
            }
            net.run((now + 100.0).min(until));
        }
    }

    /// Three by chance, and in a tree the last one: none of those that speak for its zone, region and area is of its site.
    fn who(&self, routers: usize, turn: u64) -> usize {
        match turn {
            TURNS if self.shape.is_some() => routers - 1,
            _ => (turn as usize * 7_919 + 3) % routers,
        }
    }

    /// Those that die right at a change: one in a hundred, none of which speaks for its site.
    fn dead(&self, net: &Net, who: usize) -> BTreeSet<usize> {
        let size = self.shape.map_or(net.nodes.len(), |shape| shape.routers);
        let first = |n: usize| {
            let site = n / size * size;
            (site..site + size).min_by_key(|n| net.nodes[*n].name.clone()) == Some(n)
        };
        let some = (50..net.nodes.len()).step_by(101).filter(|_| self.dies);
        some.filter(|n| *n != who && !first(*n)).collect()
    }

    /// How long a change of one router's settings takes until all count it; the slowest samples of all routers.
    fn known(&self, net: &mut Net, turn: u64) -> Vec<f64> {
        let routers = net.nodes.len();
        let who = self.who(routers, turn);
        let at = net.now;
        let dead = self.dead(net, who);
        dead.iter().for_each(|n| net.crash(*n));
        let mut known = vec![f64::NAN; routers];
        let name = net.nodes[who].name.clone();
        let placed = self.shape.is_some();
        for _ in 0..200 {
            let now = net.now;
            for n in (0..routers).filter(|n| net.runs(*n)).collect::<Vec<_>>() {
                let mut active = self.versions(n, now);
                active.hierarchy = HierarchyVersion { version: 1, digest: 1 };
                active.settings_digest += if n == who { turn } else { 0 };
                net.core(n).set_versions(&active);
            }
            net.run(now + 50.0);
            for (n, node) in net.nodes.iter().enumerate().filter(|(n, _)| *n != who) {
                let Some(core) = node.core.as_ref().filter(|_| known[n].is_nan()) else { continue };
                let published = match placed {
                    true => core.fleet_summary(net.now).is_some_and(|total| total.groups.len() == 2),
                    false => {
                        let settings = core.members().get(&name).map(|m| m.status.versions.settings_digest);
                        settings == Some(0x1234_5678_9abc_def0 + turn)
                    }
                };
                if published {
                    known[n] = net.now - at;
                }
            }
            if known.iter().enumerate().all(|(n, at)| n == who || dead.contains(&n) || !at.is_nan()) {
                break;
            }
        }
        dead.iter().for_each(|n| net.start(*n));
        let known = known.into_iter().enumerate().filter(|(n, _)| *n != who && !dead.contains(n));
        // Not within ten seconds.
        known.map(|(_, at)| if at.is_nan() { f64::INFINITY } else { at }).collect()
    }

    fn measure(&self, net: &mut Net) -> Row {
        let routers = net.nodes.len();
        let (warm, calm) = if routers > MOST { (20_000.0, 10_000.0) } else { (30_000.0, 15_000.0) };
        self.play(net, warm, true);
        let before: Vec<u64> = net.nodes.iter().map(|node| node.bytes + node.bytes_received).collect();
        let begun = Instant::now();
        let end = net.now + self.seconds * 1_000.0;
        let mut late = Vec::new();
        while net.now < end {
            self.play(net, net.now + 1_000.0, true);
            // Since when the oldest version that a router is told of is not acted on any more.
            let oldest = |core: &Cluster| match self.shape {
                Some(_) => core.fleet_summary(net.now)?.oldest_hierarchy(),
                None => core.members().iter().map(|(_, m)| m.status.versions.hierarchy.version).min(),
            };
            let known = net.nodes.iter().filter_map(|node| oldest(node.core.as_ref()?));
            late.extend(known.map(|version| (net.now - version as f64 * CHANGES * 1_000.0).max(0.0)));
        }
        let late = quantiles(late);
        let processor = begun.elapsed().as_secs_f64() / self.seconds / routers as f64;
        let rate = |(node, before): (&net::Node, &u64)| {
            (node.bytes + node.bytes_received - before) as f64 / self.seconds
        };
        let bytes: Vec<f64> = net.nodes.iter().zip(&before).map(rate).collect();
        // Those that speak for places are the first of their sites.
        let size = self.shape.map_or(1, |shape| shape.routers);
        let speakers: Vec<f64> = bytes.iter().step_by(size).copied().collect();
        let mean = bytes.iter().sum::<f64>() / routers as f64;
        let waiting: Vec<f64> = net
            .nodes
            .iter()
            .filter_map(|node| Some(node.core.as_ref()?.view(net.now).pending as f64))
            .collect();
        let (median, most, worst) = quantiles(bytes);
        let state = |node: &net::Node| Some(node.core.as_ref()?.table().bytes() as f64);
        let facts = |node: &net::Node| Some(node.core.as_ref()?.table().len() as f64);
        let state = quantiles(net.nodes.iter().filter_map(state).collect()).2;
        let facts = quantiles(net.nodes.iter().filter_map(facts).collect()).2;
        let quiet = net.now + calm;
        self.play(net, quiet, false);
        let mut known = Vec::new();
        let turns = match self.shape {
            // The last one alone: a fleet of many takes minutes.
            Some(_) if routers > MANY => TURNS..=TURNS,
            Some(_) => 1..=TURNS,
            None => 1..=TURNS - 1,
        };
        for turn in turns {
            known.extend(self.known(net, turn));
            if turn < TURNS {
                let settled = net.now + 8_000.0;
                self.play(net, settled, false);
            }
        }
        let known = quantiles(known);
        let parts = self.shape.map_or(routers, |shape| shape.parts.iter().sum::<usize>() + shape.routers);
        println!(
            "{{\"form\": \"{}\", \"routers\": {routers}, \"parts\": {parts}, \"purges\": {}, \"loss\": {}, \"prunes\": {}, \"dies\": {}, \
             \"bytes_mean\": {mean:.0}, \"bytes_median\": {median:.0}, \"bytes_99\": {most:.0}, \"bytes_worst\": {worst:.0}, \
             \"bytes_speakers_worst\": {:.0}, \"waiting_worst\": {:.0}, \"state_bytes\": {state:.0}, \"facts\": {facts:.0}, \
             \"core_share\": {processor:.6}, \"known_ms\": [{:.0}, {:.0}, {:.0}], \"version_late_ms\": [{:.0}, {:.0}, {:.0}]}}",
            if self.shape.is_some() { "tree" } else { "flat" },
            self.purges,
            self.loss,
            self.rules.plumtree.lazy_links,
            self.dies,
            quantiles(speakers).2,
            quantiles(waiting).2,
            known.0,
            known.1,
            known.2,
            late.0,
            late.1,
            late.2
        );
        Row { routers, parts: parts as f64, bytes: mean }
    }
}

/// Least squares of bytes over the number of parts that a router knows of, and how far the rows are from it.
fn fit(rows: &[Row]) {
    let n = rows.len() as f64;
    let (x, y) =
        (rows.iter().map(|r| r.parts).sum::<f64>() / n, rows.iter().map(|r| r.bytes).sum::<f64>() / n);
    let over: f64 = rows.iter().map(|r| (r.parts - x) * (r.bytes - y)).sum();
    let slope = over / rows.iter().map(|r| (r.parts - x).powi(2)).sum::<f64>();
    let line = |parts: f64| y + slope * (parts - x);
    let off = rows.iter().map(|r| (r.bytes - line(r.parts)).abs()).fold(0.0, f64::max);
    println!(
        "{{\"fit\": \"bytes a second over parts\", \"slope\": {slope:.1}, \"at_0\": {:.0}, \"furthest_off\": {off:.0}, \"most_routers\": {}}}",
        line(0.0),
        rows.iter().map(|r| r.routers).max().unwrap_or(0)
    );
}

/// The way of one change, level by level: when each place around its router told it, and when all that the summary is
/// for had heard of it, in milliseconds after the change.
fn measure_paths(shape: &Shape, rules: MembershipConfig) {
    let mut net = Net::tree(7, shape, rules, Wire::default());
    let run = Run { purges: 350.0, loss: 0.0, seconds: 20.0, shape: Some(shape), rules, dies: false };
    run.play(&mut net, 50_000.0, true);
    let quiet = net.now + 15_000.0;
    run.play(&mut net, quiet, false);
    for turn in 1..=TURNS {
        net.record = Some(Vec::new());
        let at = net.now;
        let (routers, who) = (net.nodes.len(), run.who(net.nodes.len(), turn));
        let groups: usize = (0..routers)
            .filter_map(|n| Some(net.nodes[n].core.as_ref()?.fleet_summary(at)?.groups.len()))
            .filter(|groups| *groups != 1)
            .count();
        let known = quantiles(run.known(&mut net, turn));
        println!(
            "{{\"turn\": {turn}, \"router\": {who}, \"known_ms\": [{:.0}, {:.0}, {:.0}], \"unsettled_before\": {groups}}}",
            known.0, known.1, known.2
        );
        let own = net.nodes[who].place.clone().unwrap_or_default();
        let make = VersionGroup::from_versions(&ActiveVersions {
            settings_digest: 0x1234_5678_9abc_def0 + turn,
            ..run.versions(who, at)
        })
        .build_digest;
        for depth in (1..=own.depth()).rev() {
            let place = own.ancestor(depth);
            let key = EntryKey::Summary(place.clone()).encode();
            let mut received = BTreeMap::new();
            let mut published = BTreeMap::new();
            for (when, from, to, (_, entry)) in net.record.iter().flatten().filter(|(.., (k, _))| *k == key) {
                let Ok(entry) = GossipEntry::decode(entry) else { continue };
                let Ok(SummaryReport { reported_by: by, summary }) = entry.decode_body::<SummaryReport>()
                else {
                    continue;
                };
                if net.nodes[*from].name == by {
                    let groups = summary
                        .groups
                        .iter()
                        .map(|(group, n)| (group.build_digest == make, group.hierarchy_version, *n));
                    published.entry(entry.revision).or_insert((*when - at, by, groups.collect::<Vec<_>>()));
                }
                if summary.groups.keys().any(|group| group.build_digest == make) {
                    received.entry(*to).or_insert(*when - at);
                }
            }
            let received = quantiles(received.into_values().collect());
            println!(
                "  {place}: heard by others after {:.0}, {:.0}, {:.0}",
                received.0, received.1, received.2
            );
            for (when, by, groups) in published.values() {
                println!("    told after {when:.0} by {by}: (changed, version, routers) {groups:?}");
            }
        }
        let settled = net.now + 8_000.0;
        run.play(&mut net, settled, false);
    }
}

/// What crosses the links, by kind: bytes in and out by router and second, and facts by message.
fn kinds(shape: &Shape, rules: MembershipConfig) {
    let mut net = Net::tree(7, shape, rules, Wire::default());
    let run = Run { purges: 350.0, loss: 0.0, seconds: 18.0, shape: Some(shape), rules, dies: false };
    run.play(&mut net, 30_000.0, true);
    net.record = Some(Vec::new());
    let (from, counts) = (net.now, |net: &Net| {
        let counts = net.nodes.iter().filter_map(|node| node.core.as_ref()).map(|core| core.counters);
        counts.fold((0, 0), |(new, old), counts| (new + counts.entries_new, old + counts.entries_stale))
    });
    let before = counts(&net);
    let spent: Vec<u64> = net.nodes.iter().map(|node| node.bytes + node.bytes_received).collect();
    run.play(&mut net, from + 18_000.0, true);
    let after = counts(&net);
    let rate = |bytes: u64| bytes as f64 / 18.0;
    let spent: Vec<u64> =
        net.nodes.iter().zip(&spent).map(|(n, before)| n.bytes + n.bytes_received - before).collect();
    let worst = (0..spent.len()).max_by_key(|n| spent[*n]).unwrap_or(0);
    for (whose, routers) in [("all", net.nodes.len()), ("the worst", 1)] {
        let mut kinds = BTreeMap::<String, (u64, u64)>::new();
        for (_, from, to, (key, entry)) in net.record.iter().flatten() {
            let ends = if routers > 1 { 2 } else { u64::from(*from == worst) + u64::from(*to == worst) };
            if ends == 0 {
                continue;
            }
            let kind = match EntryKey::decode(key) {
                Some(EntryKey::Summary(place)) => format!("sum of depth {}", place.depth()),
                Some(key) => format!("{key:?}").split('(').next().unwrap_or_default().to_string(),
                None => format!("word {key:?}"),
            };
            let of = kinds.entry(kind).or_default();
            *of = (of.0 + ends, of.1 + ends * (key.len() + entry.len() + 4) as u64);
        }
        let links = net.linked(worst).len();
        let all = if routers > 1 { rate(spent.iter().sum()) / routers as f64 } else { rate(spent[worst]) };
        println!("{{\"whose\": \"{whose}\", \"bytes_a_second\": {all:.0}, \"links_of_the_worst\": {links}}}");
        for (kind, (count, bytes)) in kinds {
            let (count, bytes) = (rate(count) / routers as f64, rate(bytes) / routers as f64);
            println!("{{\"kind\": \"{kind}\", \"a_second\": {count:.2}, \"bytes_a_second\": {bytes:.0}}}");
        }
    }
    println!("{{\"new\": {}, \"old\": {}}}", after.0 - before.0, after.1 - before.1);
}

fn main() {
    let mut given = std::env::args().skip(1);
    let form = given.next().unwrap_or_else(|| "all".to_string());
    let most: usize = given.next().and_then(|most| most.parse().ok()).unwrap_or(1_000);
    let seconds: f64 = given.next().and_then(|seconds| seconds.parse().ok()).unwrap_or(36.0);
    let mut rules = MembershipConfig::default();
    rules.plumtree.lazy_links = given.next().as_deref() != Some("eager");
    // Sites of 22. The last is nearly the fleet planned: 42 regions in 7 areas.
    let parts: [&[usize]; 8] = [
        &[1, 1, 1, 1],
        &[1, 1, 1, 5],
        &[1, 1, 4, 5],
        &[1, 2, 4, 5],
        &[2, 2, 4, 5],
        &[3, 4, 4, 4],
        &[6, 4, 4, 4],
        &[7, 6, 4, 4],
    ];
    let shapes: Vec<Shape> = parts.iter().map(|parts| Shape::new(parts, 22)).collect();
    let shapes: Vec<Shape> = shapes.into_iter().filter(|shape| shape.all() <= most).collect();
    if let ("kinds" | "way", Some(shape)) = (form.as_str(), shapes.last()) {
        return if form == "kinds" { kinds(shape, rules) } else { measure_paths(shape, rules) };
    }
    if form == "flat" || form == "all" {
        for purges in [0.0, 10.0, 350.0] {
            for routers in [10, 30, 100, 300].into_iter().filter(|routers| *routers <= most) {
                let mut net = Net::new(7, routers, 3, rules, Wire::default());
                Run { purges, loss: 0.0, seconds, shape: None, rules, dies: false }.measure(&mut net);
            }
        }
    }
    if form == "tree" || form == "largest" || form == "all" {
        let mut rows = Vec::new();
        // The largest alone takes minutes.
        for shape in if form == "largest" { &shapes[shapes.len().saturating_sub(1)..] } else { &shapes[..] } {
            let mut net = Net::tree(7, shape, rules, Wire::default());
            rows.push(
                Run { purges: 350.0, loss: 0.0, seconds, shape: Some(shape), rules, dies: false }
                    .measure(&mut net),
            );
        }
        if rows.len() > 1 {
            fit(&rows);
        }
    }
    if form == "ways" || form == "all" {
        let shape = Shape::new(&[1, 2, 4, 5], 22);
        // One lost in a hundred, and one slow member.
        let wire = Wire { loss: 0.01, ..Wire::default() };
        let mut net = Net::tree(8, &shape, rules, wire);
        net.slow(40, 200.0);
        Run { purges: 350.0, loss: 0.01, seconds, shape: Some(&shape), rules, dies: false }.measure(&mut net);
        // One in a hundred dies right at each change.
        let mut net = Net::tree(7, &shape, rules, Wire::default());
        Run { purges: 350.0, loss: 0.0, seconds, shape: Some(&shape), rules, dies: true }.measure(&mut net);
        let mut net = Net::tree(7, &shape, rules, Wire::default());
        Run { purges: 0.0, loss: 0.0, seconds, shape: Some(&shape), rules, dies: false }.measure(&mut net);
        // The same routers with fewer levels around their sites.
        for parts in [&[2, 20][..], &[40]] {
            let shape = Shape::new(parts, 22);
            let mut net = Net::tree(7, &shape, rules, Wire::default());
            Run { purges: 350.0, loss: 0.0, seconds, shape: Some(&shape), rules, dies: false }
                .measure(&mut net);
        }
    }
}
