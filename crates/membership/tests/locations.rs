//! Fleets at topology locations in virtual time: which totals of the entire fleet each router has, how soon,
//! and under which faults. The checks use the messages on links and a direct count of the processes.

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
use net::{Delivery, LinkConfig, Network, TreeShape};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Two regions of two zones of three sites of five routers.
fn shape() -> TreeShape {
    TreeShape::new(&[2, 2, 3], 5)
}

fn fleet(seed: u64, link_config: LinkConfig) -> (Network, TreeShape) {
    let shape = shape();
    let mut net = Network::tree(seed, &shape, MembershipConfig::default(), link_config);
    let all = shape.all() as u64;
    assert!(
        net.wait_for(20_000.0, |net| all_summaries(net, |total| total.alive == all)).is_some(),
        "all routers are counted"
    );
    (net, shape)
}

fn fleet_summary(net: &Network, n: usize) -> Summary {
    let cluster = net.nodes[n].cluster.as_ref();
    cluster.and_then(|cluster| cluster.fleet_summary(net.now)).unwrap_or_default()
}

/// Whether the fleet summary of each running router fulfills a condition.
fn all_summaries(net: &Network, condition: impl Fn(&Summary) -> bool) -> bool {
    (0..net.nodes.len()).filter(|n| net.is_running(*n)).all(|n| condition(&fleet_summary(net, n)))
}

/// Counts the processes themselves: how many run, and how many act on each group of versions.
fn count_processes(
    net: &Network,
    versions: impl Fn(usize) -> ActiveVersions,
) -> (u64, BTreeMap<VersionGroup, u64>) {
    let mut groups = BTreeMap::new();
    let running: Vec<usize> = (0..net.nodes.len()).filter(|n| net.is_running(*n)).collect();
    running.iter().for_each(|n| *groups.entry(VersionGroup::from_versions(&versions(*n))).or_default() += 1);
    (running.len() as u64, groups)
}

/// Whether the totals of every router equal the count of processes.
fn matches_process_count(net: &Network, versions: impl Fn(usize) -> ActiveVersions + Copy) -> bool {
    let (alive, groups) = count_processes(net, versions);
    all_summaries(net, |total| total.alive == alive && total.groups == groups && total.unreachable == 0)
}

fn versions_with_hierarchy(version: u64) -> ActiveVersions {
    ActiveVersions {
        hierarchy: HierarchyVersion { version, digest: version << 40 },
        ..ActiveVersions::default()
    }
}

/// Whether an action applies the cache event at a position of the journal.
fn changes_cache_at(action: &ClusterAction, position: u64) -> bool {
    matches!(action, ClusterAction::CacheChanged { journal_position, .. } if *journal_position == position)
}

// ---- Checks of the messages on links.

/// The entries that were delivered out of scope: statuses and version updates at another site, and summaries
/// outside the parent of their location.
fn leaks(net: &Network) -> Vec<String> {
    let locations: BTreeMap<&str, &Location> =
        net.nodes.iter().filter_map(|node| Some((node.name.as_str(), node.location.as_ref()?))).collect();
    let mut leaks = Vec::new();
    for Delivery { at, to, key, .. } in net.deliveries.iter().flatten() {
        let Some(receiver) = &net.nodes[*to].location else { continue };
        let leak = match EntryKey::decode(key) {
            Some(EntryKey::Router(name) | EntryKey::VersionUpdate(name)) => locations
                .get(name.as_str())
                .filter(|location| **location != receiver)
                .map(|location| format!("{name} of {location}")),
            Some(EntryKey::Summary(location)) => {
                let parent = location.ancestor(location.depth().saturating_sub(1));
                (!parent.contains(receiver)).then(|| format!("the summary of {location}"))
            }
            _ => None,
        };
        leaks.extend(leak.map(|entry| format!("{at:.0}: {entry} at {receiver}")));
    }
    leaks
}

/// The routers that have published summaries of a location since a time, according to the messages on links.
fn aggregators(net: &Network, location: &Location, since: Ms) -> BTreeSet<String> {
    let sent = net.deliveries.iter().flatten().filter(|delivery| delivery.at >= since);
    let published = sent.filter_map(|Delivery { from, key, value, .. }| {
        let is_summary = EntryKey::decode(key) == Some(EntryKey::Summary(location.clone()));
        let report =
            GossipEntry::decode(value).ok().filter(|_| is_summary)?.decode_body::<SummaryReport>().ok()?;
        // Other routers forward the summary; only deliveries by its author are considered.
        (net.nodes[*from].name == report.reported_by).then_some(report.reported_by)
    });
    published.collect()
}

// ---- Summaries without faults.

#[test]
fn router_knows_its_site_and_one_summary_per_sibling_location() {
    let (mut net, shape) = fleet(1, LinkConfig::default());
    net.deliveries = Some(Vec::new());
    for n in 0..shape.all() {
        net.cluster(n).set_versions(&ActiveVersions {
            journal_position: 100 + n as u64,
            drains_applied: 1,
            purges_applied: n as u64,
            ..versions_with_hierarchy(3)
        });
    }
    net.run_until(net.now + 60_000.0);
    let routers = shape.all() as u64;
    let (alive, groups) = count_processes(&net, |_| versions_with_hierarchy(3));
    for n in 0..shape.all() {
        let total = fleet_summary(&net, n);
        assert_eq!((total.alive, &total.groups), (alive, &groups), "r{n}");
        let journal_range = total.progress.journal_position.map(|range| (range.min, range.max));
        assert_eq!(journal_range, Some((100, 99 + routers)));
        assert_eq!(
            (total.progress.drains_applied, total.progress.purges_applied),
            (routers, routers * (routers - 1) / 2)
        );
        let cluster = net.nodes[n].cluster.as_ref().expect("a running router");
        let members: BTreeSet<&str> = cluster.members().iter().map(|(name, _)| name.as_str()).collect();
        let site = n / 5 * 5;
        let expected: Vec<String> = (site..site + 5).filter(|m| *m != n).map(|m| format!("r{m}")).collect();
        assert_eq!(members, expected.iter().map(String::as_str).collect(), "r{n}");
        assert!(cluster.members().iter().all(|(_, member)| member.state == MemberState::Alive));
        assert!(cluster.members().iter().all(|(_, member)| member.status.versions.journal_position >= 100));
        // Statuses and version updates of five routers; summaries of three sites, two zones and two regions.
        assert_eq!(cluster.table().len(), 5 + 5 + 3 + 2 + 2, "r{n}");
        assert_eq!(cluster.counters.out_of_scope, 0, "r{n}: received an entry that is out of scope");
    }
    assert_eq!(leaks(&net), [""; 0]);
    // Each site is aggregated by its first router alone.
    for site in 0..shape.sites() {
        let names: BTreeSet<String> = (site * 5..site * 5 + 5).map(|n| format!("r{n}")).collect();
        let first = names.first().cloned().expect("a name");
        assert_eq!(aggregators(&net, &shape.location(site), 0.0), BTreeSet::from([first]));
    }
}

/// A fleet without locations sends neither summaries, version updates nor messages between locations.
#[test]
fn without_location_no_topology_message_is_sent() {
    let mut net = Network::new(4, 8, 2, MembershipConfig::default(), LinkConfig::default());
    net.deliveries = Some(Vec::new());
    net.run_until(20_000.0);
    let needs_locations = |key: &[u8]| match EntryKey::decode(key) {
        Some(EntryKey::VersionUpdate(_) | EntryKey::Summary(_)) => true,
        Some(EntryKey::Router(_)) | Some(_) => false,
        None => matches!(key, [kind] if *kind != 0xff),
    };
    let deliveries = net.deliveries.as_ref().expect("recorded deliveries");
    assert!(deliveries.len() > 50);
    assert!(deliveries.iter().all(|delivery| !needs_locations(&delivery.key)));
    let is_status =
        |delivery: &&Delivery| matches!(EntryKey::decode(&delivery.key), Some(EntryKey::Router(_)));
    let statuses = deliveries.iter().filter(is_status);
    assert!(statuses
        .filter_map(|delivery| GossipEntry::decode(&delivery.value).ok())
        .all(|entry| entry.body_version == 2));
    assert!(net
        .nodes
        .iter()
        .filter_map(|node| node.cluster.as_ref())
        .all(|cluster| cluster.fleet_summary(20_000.0).is_none()));
}

/// One router changes its settings, then all routers change the hierarchy: all summaries show each change
/// within 5 s, also with 1% loss and one slow router.
#[test]
fn change_is_in_all_summaries_within_five_seconds() {
    for (seed, loss, slow) in [(2, 0.0, None), (3, 0.01, None), (4, 0.01, Some(17))] {
        let (mut net, shape) = fleet(seed, LinkConfig { loss, ..LinkConfig::default() });
        if let Some(slow) = slow {
            net.set_extra_delay(slow, 200.0);
        }
        net.run_until(net.now + 12_000.0);
        let changed = ActiveVersions { settings_digest: 7, ..ActiveVersions::default() };
        net.cluster(31).set_versions(&changed);
        let versions = |n: usize| if n == 31 { changed.clone() } else { ActiveVersions::default() };
        assert!(
            net.wait_for(5_000.0, |net| matches_process_count(net, versions)).is_some(),
            "seed {seed}: the settings of one router"
        );
        for n in 0..shape.all() {
            net.cluster(n).set_versions(&ActiveVersions {
                settings_digest: if n == 31 { 7 } else { 0 },
                ..versions_with_hierarchy(9)
            });
        }
        let versions = |n: usize| ActiveVersions {
            settings_digest: if n == 31 { 7 } else { 0 },
            ..versions_with_hierarchy(9)
        };
        assert!(
            net.wait_for(5_000.0, |net| matches_process_count(net, versions)).is_some(),
            "seed {seed}: the hierarchy of all routers"
        );
    }
}

/// The hierarchy changes at all routers every 3.6 s, 24,000 times a day. A site publishes summaries at a
/// bounded rate, and none of them shows some routers before a change and others after it.
#[test]
fn repeated_hierarchy_transitions_are_published_at_interval() {
    let (mut net, shape) = fleet(16, LinkConfig::default());
    net.deliveries = Some(Vec::new());
    let (from, config) = (net.now, MembershipConfig::default().aggregation);
    let version = |n: usize, now: Ms| ((now - from - (n % 5) as Ms * 100.0).max(0.0) / 3_600.0) as u64 + 1;
    let mut max_delay: Ms = 0.0;
    while net.now < from + 60_000.0 {
        let now = net.now;
        (0..shape.all()).for_each(|n| net.cluster(n).set_versions(&versions_with_hierarchy(version(n, now))));
        net.run_until(now + 100.0);
        if now > from + 20_000.0 {
            let oldest = (0..shape.all())
                .filter_map(|n| fleet_summary(&net, n).oldest_hierarchy())
                .min()
                .expect("a version");
            // The time since the oldest version that any summary reports was last in use.
            max_delay = max_delay.max(now - from - oldest as Ms * 3_600.0);
        }
    }
    let mut published = BTreeMap::new();
    let settled = net.deliveries.iter().flatten().filter(|delivery| delivery.at > from + 5_000.0);
    for Delivery { at, key, value, .. } in settled {
        if let (Some(EntryKey::Summary(location)), Ok(entry)) =
            (EntryKey::decode(key), GossipEntry::decode(value))
        {
            if location.depth() == 3 {
                let summary = entry.decode_body::<SummaryReport>().expect("a report").summary;
                assert_eq!(summary.groups.len(), 1, "{at}: {location} {summary:?}");
                published.insert((location, entry.revision), ());
            }
        }
    }
    let reports_per_site = published.len() as Ms / shape.sites() as Ms;
    let max_reports = 55_000.0 / config.transition_interval + 1.0;
    assert!(reports_per_site <= max_reports, "{reports_per_site} of {max_reports}");
    // Each of the three levels delays a summary by the transition interval at most, and gathers changes
    // meanwhile.
    assert!(max_delay < 3.0 * (config.transition_interval + 1_000.0), "{max_delay}");
}

// ---- Faults.

/// The router that aggregates its site, zone and region crashes, alone, together with its successor in the
/// site, or together with the aggregator of the next site. After the restart it is the only aggregator again.
#[test]
fn next_aggregator_takes_over_from_suspect_one_and_hands_back() {
    let (mut net, shape) = fleet(5, LinkConfig::default());
    net.deliveries = Some(Vec::new());
    for crashed in [vec![0], vec![0, 1], vec![0, 5]] {
        crashed.iter().for_each(|n| net.crash(*n));
        let running = (shape.all() - crashed.len()) as u64;
        let is_counted = net.wait_for(8_000.0, |net| all_summaries(net, |total| total.alive == running));
        assert!(is_counted.is_some(), "{crashed:?}: {:?}", fleet_summary(&net, 40));
        net.run_until(net.now + 3_000.0);
        let since = net.now;
        net.run_until(net.now + 25_000.0);
        let names = aggregators(&net, &shape.location(0), since);
        assert_eq!(names.len(), 1, "{crashed:?}: {names:?}");
        crashed.iter().for_each(|n| net.start(*n));
        assert!(
            net.wait_for(8_000.0, |net| matches_process_count(net, |_| ActiveVersions::default())).is_some(),
            "{crashed:?} have restarted"
        );
        net.run_until(net.now + 15_000.0);
        let since = net.now;
        net.run_until(net.now + 25_000.0);
        assert_eq!(aggregators(&net, &shape.location(0), since), BTreeSet::from(["r0".to_string()]));
        assert!(matches_process_count(&net, |_| ActiveVersions::default()));
    }
    assert_eq!(leaks(&net), [""; 0]);
}

#[test]
fn frozen_aggregator_is_replaced_and_resumes_without_stale_summary() {
    let (mut net, shape) = fleet(6, LinkConfig::default());
    let running = shape.all() as u64 - 1;
    net.freeze(0);
    assert!(net.wait_for(8_000.0, |net| all_summaries(net, |total| total.alive == running)).is_some());
    // Meanwhile all routers change to another hierarchy.
    (1..shape.all()).for_each(|n| net.cluster(n).set_versions(&versions_with_hierarchy(4)));
    net.run_until(net.now + 20_000.0);
    net.resume(0);
    net.cluster(0).set_versions(&versions_with_hierarchy(4));
    let (from, all) = (net.now, shape.all() as u64);
    assert!(net
        .wait_for(8_000.0, |net| matches_process_count(net, |_| versions_with_hierarchy(4)))
        .is_some());
    // Once this has been reached, no total of any router returns to the state before the freeze.
    while net.now < from + 40_000.0 {
        net.run_until(net.now + 50.0);
        assert!(
            net.now < from + 8_000.0
                || all_summaries(&net, |total| total.alive == all && total.oldest_hierarchy() == Some(4))
        );
    }
}

/// All links between a site and the others fail: both sides count the routers of the other one as
/// unreachable, and the totals recover without intervention.
#[test]
fn partitioned_site_is_counted_as_unreachable_on_both_sides() {
    let (mut net, shape) = fleet(7, LinkConfig::default());
    let is_between_sides = |a: usize, b: usize| (a < 5) != (b < 5);
    let links: Vec<(usize, usize)> =
        net.links().into_iter().filter(|(a, b)| is_between_sides(*a, *b)).collect();
    links.iter().for_each(|(a, b)| net.cut_link(*a, *b));
    let all = shape.all() as u64;
    let is_partitioned = |net: &Network| {
        (0..shape.all()).all(|n| {
            let total = fleet_summary(net, n);
            let reachable = if n < 5 { 5 } else { all - 5 };
            (total.alive, total.unreachable, total.routers()) == (reachable, all - reachable, all)
        })
    };
    assert!(
        net.wait_for(50_000.0, is_partitioned).is_some(),
        "{:?} {:?}",
        fleet_summary(&net, 0),
        fleet_summary(&net, 40)
    );
    net.restore_all_links();
    assert!(
        net.wait_for(15_000.0, |net| matches_process_count(net, |_| ActiveVersions::default())).is_some(),
        "{:?}",
        fleet_summary(&net, 0)
    );
}

/// Two regions are partitioned for ten minutes and both change meanwhile: they catch up within the rate
/// limit.
#[test]
fn region_partitioned_for_ten_minutes_catches_up_within_budget() {
    let mut config = MembershipConfig::default();
    config.rate_limit.bytes_per_second = 4_096.0;
    let shape = shape();
    let mut net = Network::tree(8, &shape, config, LinkConfig::default());
    let all = shape.all() as u64;
    assert!(net.wait_for(60_000.0, |net| all_summaries(net, |total| total.alive == all)).is_some());
    let half = shape.all() / 2;
    for (a, b) in net.links() {
        if (a < half) != (b < half) {
            net.cut_link(a, b);
        }
    }
    (0..half).for_each(|n| net.cluster(n).set_versions(&versions_with_hierarchy(2)));
    (half..shape.all()).for_each(|n| net.cluster(n).set_versions(&versions_with_hierarchy(3)));
    net.run_until(net.now + 600_000.0);
    let is_partitioned =
        |net: &Network| all_summaries(net, |total| total.alive == all / 2 && total.unreachable == all / 2);
    assert!(is_partitioned(&net), "{:?}", fleet_summary(&net, 0));
    net.deliveries = Some(Vec::new());
    let before: Vec<u64> = net.nodes.iter().map(|node| node.bytes_sent + node.bytes_received).collect();
    net.restore_all_links();
    let versions = |n: usize| versions_with_hierarchy(if n < half { 2 } else { 3 });
    assert!(
        net.wait_for(15_000.0, |net| matches_process_count(net, versions)).is_some(),
        "{:?}",
        fleet_summary(&net, 0)
    );
    net.run_until(net.now + 10_000.0);
    let max_bytes = net
        .nodes
        .iter()
        .zip(before)
        .map(|(node, before)| node.bytes_sent + node.bytes_received - before)
        .max();
    assert!(max_bytes < Some(10 * 4_096), "{max_bytes:?} bytes sent and received while catching up");
    assert_eq!(leaks(&net), [""; 0]);
}

#[test]
fn zone_starting_at_once_is_counted_within_rate_limit() {
    let (mut net, shape) = fleet(9, LinkConfig::default());
    (0..15).for_each(|n| net.crash(n));
    net.run_until(net.now + 60_000.0);
    let all = shape.all() as u64;
    assert!(all_summaries(&net, |total| total.alive == all - 15));
    (0..15).for_each(|n| net.start(n));
    assert!(
        net.wait_for(10_000.0, |net| matches_process_count(net, |_| ActiveVersions::default())).is_some(),
        "{:?}",
        fleet_summary(&net, 40)
    );
}

/// After random crashes, partitions, freezes and restarts, once all are over, the totals of all routers equal
/// the count of processes, and no entry was delivered out of scope.
#[test]
fn totals_equal_process_count_after_random_faults() {
    for seed in 0..16 {
        let shape = TreeShape::new(&[2, 2], 4);
        let routers = shape.all();
        let loss = [0.0, 0.05][seed as usize % 2];
        let mut net = Network::tree(
            seed,
            &shape,
            MembershipConfig::default(),
            LinkConfig { loss, ..LinkConfig::default() },
        );
        net.deliveries = Some(Vec::new());
        net.run_until(3_000.0);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let links = net.links();
        for _ in 0..40 {
            let n = rng.random_range(0..routers);
            match rng.random_range(0..6) {
                0 if net.is_running(n) => net.crash(n),
                1 if net.nodes[n].cluster.is_none() => net.start(n),
                2 if net.is_running(n) => net.freeze(n),
                3 if net.nodes[n].is_frozen => net.resume(n),
                4 => {
                    let (a, b) = links[rng.random_range(0..links.len())];
                    net.cut_link(a, b);
                }
                5 => net.restore_all_links(),
                _ => {}
            }
            let pause = rng.random_range(10.0..3_000.0);
            net.run_until(net.now + pause);
        }
        net.restore_all_links();
        for n in 0..routers {
            if net.nodes[n].is_frozen {
                net.resume(n);
            }
            if net.nodes[n].cluster.is_none() {
                net.start(n);
            }
        }
        let recovered =
            net.wait_for(40_000.0, |net| matches_process_count(net, |_| ActiveVersions::default()));
        assert!(recovered.is_some(), "seed {seed}: {:?}", fleet_summary(&net, 0));
        net.run_until(net.now + 40_000.0);
        assert!(matches_process_count(&net, |_| ActiveVersions::default()), "seed {seed}: the totals remain");
        assert_eq!(leaks(&net), [""; 0], "seed {seed}");
    }
}

// ---- Routers without locations.

/// A fleet in which the routers `without` have no location, with additional links.
fn mixed_fleet(seed: u64, without: &[usize], additional_links: &[(usize, usize)]) -> (Network, TreeShape) {
    let shape = shape();
    let net = Network::tree(seed, &shape, MembershipConfig::default(), LinkConfig::default());
    let links: BTreeSet<(usize, usize)> = net.links().into_iter().collect();
    let locations =
        (0..shape.all()).map(|n| (!without.contains(&n)).then(|| shape.location(n / 5))).collect();
    // A router without a location has links within its site only.
    let is_within_site = |(a, b): &(usize, usize)| a / 5 == b / 5;
    let have_locations = |(a, b): &(usize, usize)| !without.contains(a) && !without.contains(b);
    let links = links.into_iter().filter(|link| is_within_site(link) || have_locations(link));
    let links = links.chain(additional_links.iter().copied());
    let rng = Pcg64Mcg::seed_from_u64(seed);
    (
        Network::with(rng, locations, links.collect(), MembershipConfig::default(), LinkConfig::default()),
        shape,
    )
}

#[test]
fn router_without_location_counts_in_site_of_its_links() {
    let (mut net, shape) = mixed_fleet(10, &[7], &[]);
    net.deliveries = Some(Vec::new());
    let all = shape.all() as u64;
    let are_all_counted = |net: &Network| {
        (0..shape.all())
            .filter(|n| *n != 7)
            .all(|n| fleet_summary(net, n).alive == all && fleet_summary(net, n).unreachable == 0)
    };
    assert!(net.wait_for(40_000.0, are_all_counted).is_some(), "{:?}", fleet_summary(&net, 0));
    // The router without a location has the routers of its site as its members.
    let cluster = net.nodes[7].cluster.as_ref().expect("a running router");
    assert_eq!(cluster.members().iter().filter(|(_, member)| member.state == MemberState::Alive).count(), 4);
    // The router forwards entries for the entire fleet.
    let now = net.now;
    net.cluster(7).publish_cache(now, "c1", CacheStatus { ready: false, removed: false, started_at: 0.0 }, 9);
    net.run_until(now + 5_000.0);
    assert!((0..shape.all())
        .all(|n| { n == 7 || net.nodes[n].actions.iter().any(|(_, action)| changes_cache_at(action, 9)) }));
    net.run_until(net.now + 30_000.0);
    assert!(are_all_counted(&net));
    assert_eq!(leaks(&net), [""; 0]);
}

// ---- Queries for the routers of a site.

/// A query is answered by the site of the queried router, also after the aggregator of that site crashed.
#[test]
fn query_is_answered_by_the_queried_site() {
    let (mut net, shape) = fleet(11, LinkConfig::default());
    let answer = |net: &Network, n: usize, query: u64| {
        net.nodes[n].actions.iter().find_map(|(_, action)| match action {
            ClusterAction::Answer { id, location, routers } if *id == query => {
                Some((location.clone(), routers.clone()))
            }
            _ => None,
        })
    };
    net.cluster(57).set_versions(&ActiveVersions {
        build: "9.9.9".to_string(),
        journal_position: 5,
        ..ActiveVersions::default()
    });
    net.run_until(net.now + 1_000.0);
    let now = net.now;
    let query =
        net.cluster(2).start_query(now, QueryTarget::Router("r57".to_string())).expect("an accepted query");
    assert!(net.wait_for(3_000.0, |net| answer(net, 2, query).is_some()).is_some());
    let (location, routers) = answer(&net, 2, query).expect("an answer");
    assert_eq!(location, shape.location(11));
    let queried = routers.iter().find(|router| router.name == "r57").expect("the queried router");
    assert_eq!(
        (queried.versions.build.as_str(), queried.state, routers.len()),
        ("9.9.9", MemberState::Alive, 5)
    );
    net.crash(55);
    net.run_until(net.now + 3_000.0);
    let now = net.now;
    let query =
        net.cluster(40).start_query(now, QueryTarget::Site(shape.location(11))).expect("an accepted query");
    assert!(net.wait_for(3_000.0, |net| answer(net, 40, query).is_some()).is_some());
    let (_, routers) = answer(&net, 40, query).expect("an answer");
    let crashed = routers.iter().find(|router| router.name == "r55").expect("the crashed router");
    assert_eq!(crashed.state, MemberState::Suspect);
    // Queries above the limit are rejected.
    let now = net.now;
    let start_query = |net: &mut Network| {
        net.cluster(40).start_query(now, QueryTarget::Router("nobody".to_string())).is_some()
    };
    let accepted = (0..400).filter(|_| start_query(&mut net)).count();
    // The two earlier queries are remembered as well.
    assert_eq!(accepted, 254);
}

/// Voters of several sites decide the floor at all routers. All summaries count the stragglers, and name them
/// up to the limit.
#[test]
fn remote_voters_decide_floor_and_summaries_name_stragglers() {
    let (mut net, shape) = fleet(12, LinkConfig::default());
    let voters: Vec<String> = ["r3", "r21", "r50"].map(str::to_string).to_vec();
    (0..shape.all()).for_each(|n| net.cluster(n).set_voters(&voters));
    let enforce_floors = |net: &mut Network| {
        for n in 0..net.nodes.len() {
            let (now, floor) = (net.now, net.cluster(n).floor(&voters));
            net.cluster(n).enforce_floor(now, floor, 1_000.0);
        }
    };
    (0..shape.all()).for_each(|n| net.cluster(n).set_versions(&versions_with_hierarchy(4)));
    net.run_until(net.now + 3_000.0);
    assert!((0..shape.all()).all(|n| net.cluster(n).floor(&voters) == 4));
    // One router of each site and two more of one site stay below the floor; one of them aggregates its site.
    let is_behind = |n: usize| n % 5 == 2 || n == 40 || n == 41;
    (0..shape.all())
        .filter(|n| !is_behind(*n))
        .for_each(|n| net.cluster(n).set_versions(&versions_with_hierarchy(5)));
    net.run_until(net.now + 2_000.0);
    assert!((0..shape.all()).all(|n| net.cluster(n).floor(&voters) == 5));
    for _ in 0..20 {
        enforce_floors(&mut net);
        net.run_until(net.now + 500.0);
    }
    let names: BTreeSet<String> =
        (0..shape.all()).filter(|n| is_behind(*n)).map(|n| format!("r{n}")).collect();
    let reports_stragglers = |total: &Summary| {
        total.straggler_count == names.len() as u64 && total.stragglers.iter().eq(names.iter().take(8))
    };
    assert!(all_summaries(&net, reports_stragglers), "{:?}", fleet_summary(&net, 0));
    // Stragglers above the limit are named by the summaries of inner locations.
    let mut all = BTreeSet::new();
    for node in &net.nodes {
        let view = node.cluster.as_ref().expect("a running router").view(net.now);
        all.extend(view.locations.into_iter().flat_map(|location| location.stragglers));
    }
    assert_eq!(all, names);
    // Each straggler reports itself as one.
    let is_own_straggler =
        |n: usize| net.nodes[n].cluster.as_ref().expect("a running router").view(net.now).me.straggler;
    assert!((0..shape.all()).all(|n| is_own_straggler(n) == is_behind(n)));
    (0..shape.all()).for_each(|n| net.cluster(n).set_versions(&versions_with_hierarchy(5)));
    for _ in 0..10 {
        net.run_until(net.now + 500.0);
        enforce_floors(&mut net);
    }
    net.run_until(net.now + 5_000.0);
    assert!(all_summaries(&net, |total| total.straggler_count == 0 && total.stragglers.is_empty()));
}

/// Entries for the entire fleet arrive as soon as in the same fleet with the same links but without
/// locations.
#[test]
fn drains_spread_no_later_than_without_locations() {
    let shape = shape();
    let delays = |has_locations: bool| {
        let with_locations = Network::tree(13, &shape, MembershipConfig::default(), LinkConfig::default());
        let links: BTreeSet<(usize, usize)> = with_locations.links().into_iter().collect();
        let location = |n: usize| has_locations.then(|| shape.location(n / 5));
        let locations = (0..shape.all()).map(location).collect();
        let rng = Pcg64Mcg::seed_from_u64(13);
        let mut net =
            Network::with(rng, locations, links, MembershipConfig::default(), LinkConfig::default());
        net.run_until(20_000.0);
        let mut times = Vec::new();
        for number in 1..40 {
            let from = (number as usize * 7) % shape.all();
            let at = net.now;
            let status = CacheStatus { ready: false, removed: false, started_at: 0.0 };
            net.cluster(from).publish_cache(at, &format!("c{number}"), status, number);
            net.run_until(at + 1_000.0);
            for (n, node) in net.nodes.iter().enumerate().filter(|(n, _)| *n != from) {
                let received = node.actions.iter().find(|(_, action)| changes_cache_at(action, number));
                times.push(received.map_or(f64::INFINITY, |(when, _)| when - at));
                assert!(times.last().is_some_and(|time| time.is_finite()), "r{n}, drain {number}");
            }
        }
        times.sort_by(f64::total_cmp);
        (times[times.len() / 2], times[times.len() - 1])
    };
    let (without, with) = (delays(false), delays(true));
    // Entries are sent every 100 ms, at a phase that depends on the earlier messages.
    assert!(with.0 <= without.0 + 100.0 && with.1 <= without.1 + 200.0, "{without:?} {with:?}");
}

// ---- Faults injected to show that the checks detect them.

/// Summaries by a crashed router arrive repeatedly, each as the newest one, as if it still aggregated its
/// site. The record of deliveries shows two aggregators; the valid one supersedes the other, and the totals
/// become right again.
#[test]
fn persistent_rival_aggregator_is_detected_and_superseded() {
    let (mut net, shape) = fleet(14, LinkConfig::default());
    net.deliveries = Some(Vec::new());
    net.crash(0);
    let running = shape.all() as u64 - 1;
    assert!(net.wait_for(8_000.0, |net| all_summaries(net, |total| total.alive == running)).is_some());
    let location = shape.location(0);
    let report =
        SummaryReport { reported_by: "r0".to_string(), summary: Summary { alive: 5, ..Summary::default() } };
    for _ in 0..5 {
        let (now, key) = (net.now, EntryKey::Summary(location.clone()).encode());
        let entry = GossipEntry::new(Revision::new(now as u64 + 200, 0), 1, &report);
        // The summary arrives as if over the earlier link of the crashed router.
        let at = net.neighbors(0).into_iter().find(|n| *n < 5).expect("a peer of the site");
        let name = net.nodes[at].name.clone();
        net.nodes[at].name = "r0".to_string();
        net.cluster(at).receive(now, "r0", &key, &entry.encode());
        net.nodes[at].name = name;
        net.run_until(now + 1_000.0);
    }
    let since = net.now - 5_000.0;
    let delivered = net.deliveries.iter().flatten().filter(|delivery| delivery.at >= since);
    let aggregators: BTreeSet<String> = delivered
        .filter(|delivery| EntryKey::decode(&delivery.key) == Some(EntryKey::Summary(location.clone())))
        .filter_map(|delivery| {
            Some(GossipEntry::decode(&delivery.value).ok()?.decode_body::<SummaryReport>().ok()?.reported_by)
        })
        .collect();
    assert_eq!(aggregators, BTreeSet::from(["r0".to_string(), "r1".to_string()]), "both are recorded");
    assert!(
        net.wait_for(30_000.0, |net| all_summaries(net, |total| total.alive == running)).is_some(),
        "{:?}",
        fleet_summary(&net, 40)
    );
    net.run_until(net.now + 30_000.0);
    assert!(all_summaries(&net, |total| total.alive == running));
}

/// All summaries from before the crash of a router arrive again after it, as over a link with a long delay.
/// They are older than the known ones, and change no total.
#[test]
fn stale_summary_changes_no_count() {
    let (mut net, shape) = fleet(17, LinkConfig::default());
    net.deliveries = Some(Vec::new());
    net.run_until(net.now + 25_000.0);
    let summaries: Vec<_> = net.deliveries.iter().flatten().cloned().collect();
    let summaries: Vec<_> = summaries
        .into_iter()
        .filter(|delivery| matches!(EntryKey::decode(&delivery.key), Some(EntryKey::Summary(_))))
        .collect();
    let receivers: BTreeSet<usize> = summaries.iter().map(|delivery| delivery.to).collect();
    assert_eq!(receivers.len(), shape.all(), "each router has received a summary");
    net.crash(31);
    let running = shape.all() as u64 - 1;
    assert!(net.wait_for(8_000.0, |net| all_summaries(net, |total| total.alive == running)).is_some());
    let now = net.now;
    for Delivery { from, to, key, value, .. } in summaries.iter().filter(|delivery| delivery.to != 31) {
        let from = net.nodes[*from].name.clone();
        net.cluster(*to).receive(now, &from, key, value);
        let total = fleet_summary(&net, *to);
        assert_eq!((total.alive, total.unreachable), (running, 0), "r{to}, from {from}");
    }
    net.run_until(now + 5_000.0);
    assert!(all_summaries(&net, |total| total.alive == running), "{:?}", fleet_summary(&net, 0));
}

/// A router without a location has links with two sites, which the documentation forbids: it is counted in
/// both, and statuses of one reach the other. The count of processes detects the former, the check of the
/// deliveries the latter.
#[test]
fn checks_detect_double_count_and_status_leak() {
    let (mut net, shape) = mixed_fleet(15, &[7], &[(7, 41)]);
    net.deliveries = Some(Vec::new());
    net.run_until(30_000.0);
    let all = shape.all() as u64;
    assert_eq!(fleet_summary(&net, 0).alive, all + 1, "counted twice");
    assert!(!matches_process_count(&net, |_| ActiveVersions::default()));
    let leaks = leaks(&net);
    assert!(leaks.iter().any(|leak| leak.contains("r6 of")), "{:?}", leaks.first());
    // Entries that reached the wrong site are ignored there.
    let cluster = net.nodes[41].cluster.as_ref().expect("a running router");
    assert!(cluster.members().get("r6").is_none() && cluster.counters.out_of_scope > 0);
}

/// The last router, whose zone and region are aggregated in other sites, changes its settings in a fleet with
/// frequent version updates. The change is forwarded over idle links without waiting for the next flush, and
/// each location delays it by no more than its gather delay and a flush.
#[test]
fn change_crosses_tree_without_waiting_at_each_hop() {
    let config = MembershipConfig::default();
    for (seed, loss) in [(17, 0.0), (18, 0.01)] {
        let shape = TreeShape::new(&[2, 2, 2, 3], 8);
        let mut net = Network::tree(seed, &shape, config, LinkConfig { loss, ..LinkConfig::default() });
        let (routers, last) = (shape.all(), shape.all() - 1);
        let versions = |n: usize, now: Ms, settings: u64| ActiveVersions {
            journal_position: now as u64 / 10,
            settings_digest: if n == last { settings } else { 0 },
            ..ActiveVersions::default()
        };
        let run_with_updates =
            |net: &mut Network, settings: u64, end: Ms, condition: &dyn Fn(&Network) -> bool| {
                while net.now < end && !condition(net) {
                    let now = net.now;
                    (0..routers).for_each(|n| net.cluster(n).set_versions(&versions(n, now, settings)));
                    net.run_until(now + 50.0);
                }
                net.now
            };
        run_with_updates(&mut net, 0, 30_000.0, &|_| false);
        let is_counted = |net: &Network, groups: usize| {
            all_summaries(net, |total| total.alive == routers as u64 && total.groups.len() == groups)
        };
        assert!(is_counted(&net, 1), "seed {seed}: all routers are counted");
        let at = net.now;
        let delay = run_with_updates(&mut net, 7, at + 10_000.0, &|net| is_counted(net, 2)) - at;
        // Each of the four levels gathers changes and waits for a flush; 500 ms are for the hops of all
        // levels together.
        let max_delay = 4.0 * (config.aggregation.gather_delay + config.flush_interval) + 500.0;
        assert!(delay <= max_delay, "seed {seed}: {delay} of {max_delay}");
    }
}
