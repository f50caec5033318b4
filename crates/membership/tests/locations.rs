//! Fleets at topology locations in virtual time: what each router knows of the whole fleet, how soon, and through which
//! faults; judged by what crossed the links and by a plain count of the routers.

mod net;

use std::collections::{BTreeMap, BTreeSet};

use linnethook_membership::actions::ClusterAction;
use linnethook_membership::aggregation::location::Location;
use linnethook_membership::aggregation::query::QueryTarget;
use linnethook_membership::aggregation::summary::{Summary, SummaryReport, VersionGroup};
use linnethook_membership::config::MembershipConfig;
use linnethook_membership::gossip::entry::Revision;
use linnethook_membership::gossip::entry::{CacheStatus, EntryKey, GossipEntry};
use linnethook_membership::membership::MemberState;
use linnethook_membership::versions::{ActiveVersions, HierarchyVersion};
use linnethook_membership::Ms;
use net::{Net, Shape, Wire};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Two regions of two zones of three sites of five routers.
fn shape() -> Shape {
    Shape::new(&[2, 2, 3], 5)
}

fn fleet(seed: u64, wire: Wire) -> (Net, Shape) {
    let shape = shape();
    let mut net = Net::tree(seed, &shape, MembershipConfig::default(), wire);
    let all = shape.all() as u64;
    assert!(net.until(20_000.0, |net| every(net, |total| total.alive == all)).is_some(), "all are counted");
    (net, shape)
}

fn fleet_summary(net: &Net, n: usize) -> Summary {
    let core = net.nodes[n].core.as_ref();
    core.and_then(|core| core.fleet_summary(net.now)).unwrap_or_default()
}

fn every(net: &Net, holds: impl Fn(&Summary) -> bool) -> bool {
    (0..net.nodes.len()).filter(|n| net.runs(*n)).all(|n| holds(&fleet_summary(net, n)))
}

/// A count of the processes themselves: how many run, and on which versions they act.
fn plain(net: &Net, active: impl Fn(usize) -> ActiveVersions) -> (u64, BTreeMap<VersionGroup, u64>) {
    let mut groups = BTreeMap::new();
    let running: Vec<usize> = (0..net.nodes.len()).filter(|n| net.runs(*n)).collect();
    running.iter().for_each(|n| *groups.entry(VersionGroup::from_versions(&active(*n))).or_default() += 1);
    (running.len() as u64, groups)
}

/// The totals that every router has are those of the count of processes.
fn agrees(net: &Net, active: impl Fn(usize) -> ActiveVersions + Copy) -> bool {
    let (alive, groups) = plain(net, active);
    every(net, |total| total.alive == alive && total.groups == groups && total.unreachable == 0)
}

fn on(version: u64) -> ActiveVersions {
    ActiveVersions {
        hierarchy: HierarchyVersion { version, digest: version << 40 },
        ..ActiveVersions::default()
    }
}

// ---- The checker of the messages on links.

/// Statuses and version updates that reached another site, and summaries that left the location around their own.
fn leaks(net: &Net) -> Vec<String> {
    let places: BTreeMap<&str, &Location> =
        net.nodes.iter().filter_map(|node| Some((node.name.as_str(), node.place.as_ref()?))).collect();
    let mut leaks = Vec::new();
    for (at, _, to, (key, _)) in net.record.iter().flatten() {
        let Some(there) = &net.nodes[*to].place else { continue };
        let leak = match EntryKey::decode(key) {
            Some(EntryKey::Router(name) | EntryKey::VersionUpdate(name)) => places
                .get(name.as_str())
                .filter(|place| **place != there)
                .map(|place| format!("{name} of {place}")),
            Some(EntryKey::Summary(place)) => {
                let around = place.ancestor(place.depth().saturating_sub(1));
                (!around.contains(there)).then(|| format!("the sum of {place}"))
            }
            _ => None,
        };
        leaks.extend(leak.map(|what| format!("{at:.0}: {what} at {there}")));
    }
    leaks
}

/// The routers that aggregated a location since that time, by the messages on links.
fn speakers(net: &Net, of: &Location, since: Ms) -> BTreeSet<String> {
    let sent = net.record.iter().flatten().filter(|(at, ..)| *at >= since);
    let published = sent.filter_map(|(_, from, _, (key, entry))| {
        let sum = EntryKey::decode(key) == Some(EntryKey::Summary(of.clone()));
        let published =
            GossipEntry::decode(entry).ok().filter(|_| sum)?.decode_body::<SummaryReport>().ok()?;
        // Other routers forward the summary; only its author counts.
        (net.nodes[*from].name == published.reported_by).then_some(published.reported_by)
    });
    published.collect()
}

// ---- What routers know of the fleet.

#[test]
fn router_knows_its_site_and_one_summary_per_sibling_location() {
    let (mut net, shape) = fleet(1, Wire::default());
    net.record = Some(Vec::new());
    for n in 0..shape.all() {
        net.core(n).set_versions(&ActiveVersions {
            journal_position: 100 + n as u64,
            drains_applied: 1,
            purges_applied: n as u64,
            ..on(3)
        });
    }
    net.run(net.now + 60_000.0);
    let routers = shape.all() as u64;
    let (alive, groups) = plain(&net, |_| on(3));
    for n in 0..shape.all() {
        let total = fleet_summary(&net, n);
        assert_eq!((total.alive, &total.groups), (alive, &groups), "r{n}");
        let journal = total.progress.journal_position.map(|span| (span.min, span.max));
        assert_eq!(journal, Some((100, 99 + routers)));
        assert_eq!(
            (total.progress.drains_applied, total.progress.purges_applied),
            (routers, routers * (routers - 1) / 2)
        );
        let core = net.nodes[n].core.as_ref().expect("it runs");
        let members: BTreeSet<&str> = core.members().iter().map(|(name, _)| name.as_str()).collect();
        let site = n / 5 * 5;
        let expected: Vec<String> = (site..site + 5).filter(|m| *m != n).map(|m| format!("r{m}")).collect();
        assert_eq!(members, expected.iter().map(String::as_str).collect(), "r{n}");
        assert!(core.members().iter().all(|(_, member)| member.state == MemberState::Alive));
        assert!(core.members().iter().all(|(_, member)| member.status.versions.journal_position >= 100));
        // Statuses and version updates of five routers; summaries of three sites, two zones and two regions.
        assert_eq!(core.table().len(), 5 + 5 + 3 + 2 + 2, "r{n}");
        assert_eq!(core.counters.out_of_scope, 0, "r{n}: nothing came that is for others");
    }
    assert_eq!(leaks(&net), [""; 0]);
    // The children of the site's zone: exactly the three sites, each aggregated by its first router alone.
    for site in 0..shape.sites() {
        let first = format!("r{}", [site * 5].iter().min().expect("one"));
        let names: BTreeSet<String> = (site * 5..site * 5 + 5).map(|n| format!("r{n}")).collect();
        let least = names.first().cloned().unwrap_or(first);
        assert_eq!(speakers(&net, &shape.place(site), 0.0), BTreeSet::from([least]));
    }
}

/// While nothing changes, summaries are renewed and tables compared; nothing else is sent.
#[test]
fn without_location_no_topology_message_is_sent() {
    let mut net = Net::new(4, 8, 2, MembershipConfig::default(), Wire::default());
    net.record = Some(Vec::new());
    net.run(20_000.0);
    let of_places = |key: &[u8]| match EntryKey::decode(key) {
        Some(EntryKey::VersionUpdate(_) | EntryKey::Summary(_)) => true,
        Some(EntryKey::Router(_)) | Some(_) => false,
        None => matches!(key, [kind] if *kind != 0xff),
    };
    let record = net.record.as_ref().expect("kept");
    assert!(record.len() > 50);
    assert!(record.iter().all(|(.., (key, _))| !of_places(key)));
    let versions =
        record.iter().filter(|(.., (key, _))| matches!(EntryKey::decode(key), Some(EntryKey::Router(_))));
    assert!(versions
        .filter_map(|(.., (_, entry))| GossipEntry::decode(entry).ok())
        .all(|entry| entry.body_version == 2));
    assert!(net
        .nodes
        .iter()
        .filter_map(|node| node.core.as_ref())
        .all(|core| core.fleet_summary(20_000.0).is_none()));
}

/// One router changes its settings, then all change the hierarchy: all summaries show it within 5 s, also with 1% loss
/// and one slow router.
#[test]
fn change_is_in_all_summaries_within_five_seconds() {
    for (seed, loss, slow) in [(2, 0.0, None), (3, 0.01, None), (4, 0.01, Some(17))] {
        let (mut net, shape) = fleet(seed, Wire { loss, ..Wire::default() });
        if let Some(slow) = slow {
            net.slow(slow, 200.0);
        }
        net.run(net.now + 12_000.0);
        let other = ActiveVersions { settings_digest: 7, ..ActiveVersions::default() };
        net.core(31).set_versions(&other);
        let active = |n: usize| if n == 31 { other.clone() } else { ActiveVersions::default() };
        assert!(
            net.until(5_000.0, |net| agrees(net, active)).is_some(),
            "seed {seed}: one router's settings"
        );
        for n in 0..shape.all() {
            net.core(n)
                .set_versions(&ActiveVersions { settings_digest: if n == 31 { 7 } else { 0 }, ..on(9) });
        }
        let active = |n: usize| ActiveVersions { settings_digest: if n == 31 { 7 } else { 0 }, ..on(9) };
        assert!(net.until(5_000.0, |net| agrees(net, active)).is_some(), "seed {seed}: a hierarchy");
    }
}

/// The hierarchy changes repeatedly at all routers, as often as in a fleet: a site publishes one summary for a change, at
/// a bounded rate, and none that shows a part of its routers before the change and a part behind it.
#[test]
fn repeated_hierarchy_transitions_are_published_at_interval() {
    let (mut net, shape) = fleet(16, Wire::default());
    net.record = Some(Vec::new());
    let (from, rule) = (net.now, MembershipConfig::default().aggregation);
    let version = |n: usize, now: Ms| ((now - from - (n % 5) as Ms * 100.0).max(0.0) / 3_600.0) as u64 + 1;
    let mut late: Ms = 0.0;
    while net.now < from + 60_000.0 {
        let now = net.now;
        (0..shape.all()).for_each(|n| net.core(n).set_versions(&on(version(n, now))));
        net.run(now + 100.0);
        if now > from + 20_000.0 {
            let oldest = (0..shape.all())
                .filter_map(|n| fleet_summary(&net, n).oldest_hierarchy())
                .min()
                .expect("known");
            // How long ago the oldest version that any summary reports was last in use.
            late = late.max(now - from - oldest as Ms * 3_600.0);
        }
    }
    let mut published = BTreeMap::new();
    for (at, _, _, (key, entry)) in net.record.iter().flatten().filter(|(at, ..)| *at > from + 5_000.0) {
        if let (Some(EntryKey::Summary(place)), Ok(entry)) =
            (EntryKey::decode(key), GossipEntry::decode(entry))
        {
            if place.depth() == 3 {
                let sum = entry.decode_body::<SummaryReport>().expect("readable").summary;
                assert_eq!(sum.groups.len(), 1, "{at}: {place} {sum:?}");
                published.insert((place, entry.revision), ());
            }
        }
    }
    let by_site = published.len() as Ms / shape.sites() as Ms;
    assert!(by_site <= 55_000.0 / rule.transition_interval + 1.0, "{by_site} by site");
    // Each level waits for that time at most, and collects changes meanwhile.
    assert!(late < 3.0 * (rule.transition_interval + 1_000.0), "{late}");
}

// ---- Faults.

/// The aggregator of a site, its zone and its region is killed, then its successor too; then all are restarted.
#[test]
fn next_aggregator_takes_over_from_suspect_one_and_hands_back() {
    let (mut net, shape) = fleet(5, Wire::default());
    net.record = Some(Vec::new());
    for dead in [vec![0], vec![0, 1], vec![0, 5]] {
        dead.iter().for_each(|n| net.crash(*n));
        let left = (shape.all() - dead.len()) as u64;
        let counted = net.until(8_000.0, |net| every(net, |total| total.alive == left));
        assert!(counted.is_some(), "{dead:?}: {:?}", fleet_summary(&net, 40));
        net.run(net.now + 3_000.0);
        let since = net.now;
        net.run(net.now + 25_000.0);
        let at: BTreeSet<String> = speakers(&net, &shape.place(0), since);
        assert_eq!(at.len(), 1, "{dead:?}: {at:?}");
        dead.iter().for_each(|n| net.start(*n));
        assert!(
            net.until(8_000.0, |net| agrees(net, |_| ActiveVersions::default())).is_some(),
            "{dead:?} are back"
        );
        net.run(net.now + 15_000.0);
        let since = net.now;
        net.run(net.now + 25_000.0);
        assert_eq!(speakers(&net, &shape.place(0), since), BTreeSet::from(["r0".to_string()]));
        assert!(agrees(&net, |_| ActiveVersions::default()));
    }
    assert_eq!(leaks(&net), [""; 0]);
}

#[test]
fn frozen_aggregator_is_replaced_and_resumes_without_stale_summary() {
    let (mut net, shape) = fleet(6, Wire::default());
    let left = shape.all() as u64 - 1;
    net.freeze(0);
    assert!(net.until(8_000.0, |net| every(net, |total| total.alive == left)).is_some());
    // Meanwhile all routers change to another hierarchy.
    (1..shape.all()).for_each(|n| net.core(n).set_versions(&on(4)));
    net.run(net.now + 20_000.0);
    net.wake(0);
    net.core(0).set_versions(&on(4));
    let (from, all) = (net.now, shape.all() as u64);
    assert!(net.until(8_000.0, |net| agrees(net, |_| on(4))).is_some());
    // From then on no router falls back to the state before it was frozen.
    while net.now < from + 40_000.0 {
        net.run(net.now + 50.0);
        assert!(
            net.now < from + 8_000.0
                || every(&net, |total| total.alive == all && total.oldest_hierarchy() == Some(4))
        );
    }
}

/// The links between its site and all others fail, then those between it and its site: both sides count what they can
/// reach, and the fleet recovers by itself.
#[test]
fn partitioned_site_is_counted_as_unreachable_on_both_sides() {
    let (mut net, shape) = fleet(7, Wire::default());
    let across = |a: usize, b: usize| (a < 5) != (b < 5);
    let links: Vec<(usize, usize)> = net.links().into_iter().filter(|(a, b)| across(*a, *b)).collect();
    links.iter().for_each(|(a, b)| net.cut(*a, *b));
    let all = shape.all() as u64;
    let apart = |net: &Net| {
        (0..shape.all()).all(|n| {
            let total = fleet_summary(net, n);
            let there = if n < 5 { 5 } else { all - 5 };
            (total.alive, total.unreachable, total.routers()) == (there, all - there, all)
        })
    };
    assert!(
        net.until(50_000.0, apart).is_some(),
        "{:?} {:?}",
        fleet_summary(&net, 0),
        fleet_summary(&net, 40)
    );
    net.mend_all();
    assert!(
        net.until(15_000.0, |net| agrees(net, |_| ActiveVersions::default())).is_some(),
        "{:?}",
        fleet_summary(&net, 0)
    );
}

/// Two regions are partitioned for ten minutes, both change meanwhile, and catching up stays within the rate limit.
#[test]
fn region_partitioned_for_ten_minutes_catches_up_within_budget() {
    let mut rules = MembershipConfig::default();
    rules.rate_limit.bytes_per_second = 4_096.0;
    let shape = shape();
    let mut net = Net::tree(8, &shape, rules, Wire::default());
    let all = shape.all() as u64;
    assert!(net.until(60_000.0, |net| every(net, |total| total.alive == all)).is_some());
    let half = shape.all() / 2;
    for (a, b) in net.links() {
        if (a < half) != (b < half) {
            net.cut(a, b);
        }
    }
    (0..half).for_each(|n| net.core(n).set_versions(&on(2)));
    (half..shape.all()).for_each(|n| net.core(n).set_versions(&on(3)));
    net.run(net.now + 600_000.0);
    let apart = |net: &Net| every(net, |total| total.alive == all / 2 && total.unreachable == all / 2);
    assert!(apart(&net), "{:?}", fleet_summary(&net, 0));
    net.record = Some(Vec::new());
    let before: Vec<u64> = net.nodes.iter().map(|node| node.bytes + node.bytes_received).collect();
    net.mend_all();
    let active = |n: usize| on(if n < half { 2 } else { 3 });
    assert!(net.until(15_000.0, |net| agrees(net, active)).is_some(), "{:?}", fleet_summary(&net, 0));
    net.run(net.now + 10_000.0);
    let most =
        net.nodes.iter().zip(before).map(|(node, before)| node.bytes + node.bytes_received - before).max();
    assert!(most < Some(10 * 4_096), "{most:?} bytes in and out within the time that it took");
    assert_eq!(leaks(&net), [""; 0]);
}

#[test]
fn zone_starting_at_once_is_counted_within_rate_limit() {
    let (mut net, shape) = fleet(9, Wire::default());
    (0..15).for_each(|n| net.crash(n));
    net.run(net.now + 60_000.0);
    let all = shape.all() as u64;
    assert!(every(&net, |total| total.alive == all - 15));
    (0..15).for_each(|n| net.start(n));
    assert!(
        net.until(10_000.0, |net| agrees(net, |_| ActiveVersions::default())).is_some(),
        "{:?}",
        fleet_summary(&net, 40)
    );
}

/// Random crashes, partitions, frozen processes and restarts: after recovery all routers have the totals of the count
/// of processes, and no message left its scope.
#[test]
fn totals_equal_plain_count_after_random_faults() {
    for seed in 0..16 {
        let shape = Shape::new(&[2, 2], 4);
        let routers = shape.all();
        let loss = [0.0, 0.05][seed as usize % 2];
        let mut net = Net::tree(seed, &shape, MembershipConfig::default(), Wire { loss, ..Wire::default() });
        net.record = Some(Vec::new());
        net.run(3_000.0);
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let links = net.links();
        for _ in 0..40 {
            let n = chance.random_range(0..routers);
            match chance.random_range(0..6) {
                0 if net.runs(n) => net.crash(n),
                1 if net.nodes[n].core.is_none() => net.start(n),
                2 if net.runs(n) => net.freeze(n),
                3 if net.nodes[n].frozen => net.wake(n),
                4 => {
                    let (a, b) = links[chance.random_range(0..links.len())];
                    net.cut(a, b);
                }
                5 => net.mend_all(),
                _ => {}
            }
            let pause = chance.random_range(10.0..3_000.0);
            net.run(net.now + pause);
        }
        net.mend_all();
        for n in 0..routers {
            if net.nodes[n].frozen {
                net.wake(n);
            }
            if net.nodes[n].core.is_none() {
                net.start(n);
            }
        }
        let well = net.until(40_000.0, |net| agrees(net, |_| ActiveVersions::default()));
        assert!(well.is_some(), "seed {seed}: {:?}", fleet_summary(&net, 0));
        net.run(net.now + 40_000.0);
        assert!(agrees(&net, |_| ActiveVersions::default()), "seed {seed}: and so it stays");
        assert_eq!(leaks(&net), [""; 0], "seed {seed}");
    }
}

// ---- A build without locations.

/// A fleet in which some routers have no location.
fn mixed(seed: u64, without: &[usize], more: &[(usize, usize)]) -> (Net, Shape) {
    let shape = shape();
    let net = Net::tree(seed, &shape, MembershipConfig::default(), Wire::default());
    let links: BTreeSet<(usize, usize)> = net.links().into_iter().collect();
    let places = (0..shape.all()).map(|n| (!without.contains(&n)).then(|| shape.place(n / 5))).collect();
    // A router without a location has links within its site only.
    let in_site = |(a, b): &(usize, usize)| a / 5 == b / 5;
    let plain = |(a, b): &(usize, usize)| !without.contains(a) && !without.contains(b);
    let links = links.into_iter().filter(|link| in_site(link) || plain(link)).chain(more.iter().copied());
    let chance = Pcg64Mcg::seed_from_u64(seed);
    (Net::with(chance, places, links.collect(), MembershipConfig::default(), Wire::default()), shape)
}

#[test]
fn router_without_location_counts_in_site_of_its_links() {
    let (mut net, shape) = mixed(10, &[7], &[]);
    net.record = Some(Vec::new());
    let all = shape.all() as u64;
    let placed = |net: &Net| {
        (0..shape.all())
            .filter(|n| *n != 7)
            .all(|n| fleet_summary(net, n).alive == all && fleet_summary(net, n).unreachable == 0)
    };
    assert!(net.until(40_000.0, placed).is_some(), "{:?}", fleet_summary(&net, 0));
    // It sees the routers of its site as it saw all routers before.
    let core = net.nodes[7].core.as_ref().expect("it runs");
    assert_eq!(core.members().iter().filter(|(_, member)| member.state == MemberState::Alive).count(), 4);
    // Entries for the whole fleet are forwarded by it.
    let now = net.now;
    net.core(7).publish_cache(now, "c1", CacheStatus { ready: false, removed: false, started_at: 0.0 }, 9);
    net.run(now + 5_000.0);
    assert!((0..shape.all()).all(|n| {
        n == 7
            || net.nodes[n]
                .done
                .iter()
                .any(|(_, action)| matches!(action, ClusterAction::CacheChanged { journal_position: 9, .. }))
    }));
    net.run(net.now + 30_000.0);
    assert!(placed(&net));
    assert_eq!(leaks(&net), [""; 0]);
}

// ---- Queries for the routers of a site.

/// A query is answered by the site that knows the router, also after the aggregator of that site was killed.
#[test]
fn query_is_answered_by_the_site_it_asks_for() {
    let (mut net, shape) = fleet(11, Wire::default());
    let answer = |net: &Net, n: usize, asked: u64| {
        net.nodes[n].done.iter().find_map(|(_, action)| match action {
            ClusterAction::Answer { id, location: place, routers: lines } if *id == asked => {
                Some((place.clone(), lines.clone()))
            }
            _ => None,
        })
    };
    net.core(57).set_versions(&ActiveVersions {
        build: "9.9.9".to_string(),
        journal_position: 5,
        ..ActiveVersions::default()
    });
    net.run(net.now + 1_000.0);
    let now = net.now;
    let asked = net.core(2).start_query(now, QueryTarget::Router("r57".to_string())).expect("there is room");
    assert!(net.until(3_000.0, |net| answer(net, 2, asked).is_some()).is_some());
    let (place, lines) = answer(&net, 2, asked).expect("there");
    assert_eq!(place, shape.place(11));
    let line = lines.iter().find(|line| line.name == "r57").expect("named");
    assert_eq!((line.versions.build.as_str(), line.state, lines.len()), ("9.9.9", MemberState::Alive, 5));
    net.crash(55);
    net.run(net.now + 3_000.0);
    let now = net.now;
    let asked = net.core(40).start_query(now, QueryTarget::Site(shape.place(11))).expect("there is room");
    assert!(net.until(3_000.0, |net| answer(net, 40, asked).is_some()).is_some());
    let (_, lines) = answer(&net, 40, asked).expect("there");
    let dead = lines.iter().find(|line| line.name == "r55").expect("named");
    assert_eq!(dead.state, MemberState::Suspect);
    // No router forwards a query twice, and queries above the limit are rejected.
    let now = net.now;
    let asked =
        |net: &mut Net| net.core(40).start_query(now, QueryTarget::Router("nobody".to_string())).is_some();
    let accepted = (0..400).filter(|_| asked(&mut net)).count();
    // The two earlier queries are remembered as well.
    assert_eq!(accepted, 254);
}

/// Voters in several sites settle a version for all; stragglers are named everywhere up to the limit, and counted above
/// it.
#[test]
fn remote_voters_decide_floor_and_summaries_name_stragglers() {
    let (mut net, shape) = fleet(12, Wire::default());
    let voters: Vec<String> = ["r3", "r21", "r50"].map(str::to_string).to_vec();
    (0..shape.all()).for_each(|n| net.core(n).set_voters(&voters));
    let hold = |net: &mut Net| {
        for n in 0..net.nodes.len() {
            let (now, floor) = (net.now, net.core(n).floor(&voters));
            net.core(n).enforce_floor(now, floor, 1_000.0);
        }
    };
    (0..shape.all()).for_each(|n| net.core(n).set_versions(&on(4)));
    net.run(net.now + 3_000.0);
    assert!((0..shape.all()).all(|n| net.core(n).floor(&voters) == 4));
    // One router of each site and two more of one site stay behind; one of them aggregates its site.
    let stays = |n: usize| n % 5 == 2 || n == 40 || n == 41;
    (0..shape.all()).filter(|n| !stays(*n)).for_each(|n| net.core(n).set_versions(&on(5)));
    net.run(net.now + 2_000.0);
    assert!((0..shape.all()).all(|n| net.core(n).floor(&voters) == 5));
    for _ in 0..20 {
        hold(&mut net);
        net.run(net.now + 500.0);
    }
    let names: BTreeSet<String> = (0..shape.all()).filter(|n| stays(*n)).map(|n| format!("r{n}")).collect();
    let named = |total: &Summary| {
        total.straggler_count == names.len() as u64 && total.stragglers.iter().eq(names.iter().take(8))
    };
    assert!(every(&net, named), "{:?}", fleet_summary(&net, 0));
    // Stragglers above the limit are named by routers that are nearer to them.
    let mut all = BTreeSet::new();
    for node in &net.nodes {
        let shown = node.core.as_ref().expect("it runs").view(net.now);
        all.extend(shown.locations.into_iter().flat_map(|line| line.stragglers));
    }
    assert_eq!(all, names);
    // Also at a straggler itself.
    let own = |n: usize| net.nodes[n].core.as_ref().expect("it runs").view(net.now).me.straggler;
    assert!((0..shape.all()).all(|n| own(n) == stays(n)));
    (0..shape.all()).for_each(|n| net.core(n).set_versions(&on(5)));
    for _ in 0..10 {
        net.run(net.now + 500.0);
        hold(&mut net);
    }
    net.run(net.now + 5_000.0);
    assert!(every(&net, |total| total.straggler_count == 0 && total.stragglers.is_empty()));
}

/// Entries for the whole fleet are as fast as without locations, in the same fleet with the same links.
#[test]
fn drains_spread_no_later_than_without_locations() {
    let shape = shape();
    let known = |places: bool| {
        let with = Net::tree(13, &shape, MembershipConfig::default(), Wire::default());
        let links: BTreeSet<(usize, usize)> = with.links().into_iter().collect();
        let place = |n: usize| places.then(|| shape.place(n / 5));
        let all = (0..shape.all()).map(place).collect();
        let chance = Pcg64Mcg::seed_from_u64(13);
        let mut net = Net::with(chance, all, links, MembershipConfig::default(), Wire::default());
        net.run(20_000.0);
        let mut times = Vec::new();
        for number in 1..40 {
            let from = (number as usize * 7) % shape.all();
            let at = net.now;
            let line = CacheStatus { ready: false, removed: false, started_at: 0.0 };
            net.core(from).publish_cache(at, &format!("c{number}"), line, number);
            net.run(at + 1_000.0);
            for (n, node) in net.nodes.iter().enumerate().filter(|(n, _)| *n != from) {
                let received = node.done.iter().find(
                    |(_, action)| matches!(action, ClusterAction::CacheChanged { journal_position: received, .. } if *received == number),
                );
                times.push(received.map_or(f64::INFINITY, |(when, _)| when - at));
                assert!(times.last().is_some_and(|time| time.is_finite()), "r{n}, drain {number}");
            }
        }
        times.sort_by(f64::total_cmp);
        (times[times.len() / 2], times[times.len() - 1])
    };
    let (without, with) = (known(false), known(true));
    // Bundles leave every 100 ms; the phase depends on what was sent before.
    assert!(with.0 <= without.0 + 100.0 && with.1 <= without.1 + 200.0, "{without:?} {with:?}");
}

// ---- Injected faults, each with the check that detects it.

/// A router goes on aggregating a site after it was replaced: summaries of a dead router arrive again and again, always
/// as the newest. The record shows two aggregators; the valid one supersedes it, and the totals are right again.
#[test]
fn persistent_rival_aggregator_is_detected_and_superseded() {
    let (mut net, shape) = fleet(14, Wire::default());
    net.record = Some(Vec::new());
    net.crash(0);
    let left = shape.all() as u64 - 1;
    assert!(net.until(8_000.0, |net| every(net, |total| total.alive == left)).is_some());
    let place = shape.place(0);
    let published =
        SummaryReport { reported_by: "r0".to_string(), summary: Summary { alive: 5, ..Summary::default() } };
    for _ in 0..5 {
        let (now, key) = (net.now, EntryKey::Summary(place.clone()).encode());
        let entry = GossipEntry::new(Revision::new(now as u64 + 200, 0), 1, &published);
        // As if over its earlier link.
        let at = net.linked(0).into_iter().find(|n| *n < 5).expect("a fellow");
        let name = net.nodes[at].name.clone();
        net.nodes[at].name = "r0".to_string();
        net.core(at).receive(now, "r0", &key, &entry.encode());
        net.nodes[at].name = name;
        net.run(now + 1_000.0);
    }
    let since = net.now - 5_000.0;
    let received = net.record.iter().flatten().filter(|(at, ..)| *at >= since);
    let by: BTreeSet<String> = received
        .filter(|(.., (key, _))| EntryKey::decode(key) == Some(EntryKey::Summary(place.clone())))
        .filter_map(|(.., (_, entry))| {
            Some(GossipEntry::decode(entry).ok()?.decode_body::<SummaryReport>().ok()?.reported_by)
        })
        .collect();
    assert_eq!(by, BTreeSet::from(["r0".to_string(), "r1".to_string()]), "the record names both");
    assert!(
        net.until(30_000.0, |net| every(net, |total| total.alive == left)).is_some(),
        "{:?}",
        fleet_summary(&net, 40)
    );
    net.run(net.now + 30_000.0);
    assert!(every(&net, |total| total.alive == left));
}

/// All summaries from before the crash of a router arrive again after it, as over a link with a long delay: they are
/// older than the known ones and change no count.
#[test]
fn stale_summary_changes_no_count() {
    let (mut net, shape) = fleet(17, Wire::default());
    net.record = Some(Vec::new());
    net.run(net.now + 25_000.0);
    let sums: Vec<_> = net.record.iter().flatten().cloned().collect();
    let sums: Vec<_> = sums
        .into_iter()
        .filter(|(.., (key, _))| matches!(EntryKey::decode(key), Some(EntryKey::Summary(_))))
        .collect();
    let reached: BTreeSet<usize> = sums.iter().map(|(_, _, to, _)| *to).collect();
    assert_eq!(reached.len(), shape.all(), "each has heard of some place");
    net.crash(31);
    let left = shape.all() as u64 - 1;
    assert!(net.until(8_000.0, |net| every(net, |total| total.alive == left)).is_some());
    let now = net.now;
    for (_, from, to, (key, entry)) in sums.iter().filter(|(_, _, to, _)| *to != 31) {
        let from = net.nodes[*from].name.clone();
        net.core(*to).receive(now, &from, key, entry);
        let total = fleet_summary(&net, *to);
        assert_eq!((total.alive, total.unreachable), (left, 0), "r{to}, told by {from}");
    }
    net.run(now + 5_000.0);
    assert!(every(&net, |total| total.alive == left), "{:?}", fleet_summary(&net, 0));
}

/// A router without a location has links with two sites, against the documentation: it is counted in both, and entries
/// of one reach the other. The count of processes and the checker of the messages on links detect both.
#[test]
fn checks_detect_double_count_and_status_leak() {
    let (mut net, shape) = mixed(15, &[7], &[(7, 41)]);
    net.record = Some(Vec::new());
    net.run(30_000.0);
    let all = shape.all() as u64;
    assert_eq!(fleet_summary(&net, 0).alive, all + 1, "counted twice");
    assert!(!agrees(&net, |_| ActiveVersions::default()));
    let leaks = leaks(&net);
    assert!(leaks.iter().any(|leak| leak.contains("r6 of")), "{:?}", leaks.first());
    // Entries that reached the wrong site are ignored there.
    let core = net.nodes[41].core.as_ref().expect("it runs");
    assert!(core.members().get("r6").is_none() && core.counters.out_of_scope > 0);
}

/// A change of the last router, no location of which is aggregated within its own site, in a busy fleet: it is forwarded
/// hop by hop over quiet links, and no location delays it by more than its own collecting.
#[test]
fn change_crosses_tree_without_waiting_at_each_hop() {
    let rules = MembershipConfig::default();
    for (seed, loss) in [(17, 0.0), (18, 0.01)] {
        let shape = Shape::new(&[2, 2, 2, 3], 8);
        let mut net = Net::tree(seed, &shape, rules, Wire { loss, ..Wire::default() });
        let (routers, last) = (shape.all(), shape.all() - 1);
        let active = |n: usize, now: Ms, settings: u64| ActiveVersions {
            journal_position: now as u64 / 10,
            settings_digest: if n == last { settings } else { 0 },
            ..ActiveVersions::default()
        };
        let play = |net: &mut Net, settings: u64, until: Ms, holds: &dyn Fn(&Net) -> bool| {
            while net.now < until && !holds(net) {
                let now = net.now;
                (0..routers).for_each(|n| net.core(n).set_versions(&active(n, now, settings)));
                net.run(now + 50.0);
            }
            net.now
        };
        play(&mut net, 0, 30_000.0, &|_| false);
        let counted = |net: &Net, groups: usize| {
            every(net, |total| total.alive == routers as u64 && total.groups.len() == groups)
        };
        assert!(counted(&net, 1), "seed {seed}: all are counted");
        let at = net.now;
        let known = play(&mut net, 7, at + 10_000.0, &|net| counted(net, 2)) - at;
        // Each of the four levels collects changes, and its hops take little longer than one bundle together.
        let most = 4.0 * (rules.aggregation.gather_delay + rules.flush_interval) + 500.0;
        assert!(known <= most, "seed {seed}: {known} of {most}");
    }
}
