//! Fleets of clusters in virtual time: crashes, partitions, restarts, frozen processes and name conflicts.

mod net;

use linnethook_membership::actions::{ClusterAction, ClusterEvent, Participation};
use linnethook_membership::config::MembershipConfig;
use linnethook_membership::gossip::entry::{CacheStatus, EntryKey, Purge};
use linnethook_membership::membership::{MemberChange, MemberState};
use linnethook_membership::versions::{ActiveVersions, HierarchyVersion};
use net::{Delivery, LinkConfig, Network};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn fleet(routers: usize) -> Network {
    let mut net = Network::new(1, routers, 2, MembershipConfig::default(), LinkConfig::default());
    assert!(net.wait_for(10_000.0, |net| all_see(net, routers - 1)).is_some(), "all see each other alive");
    net
}

fn alive_members(net: &Network, n: usize) -> usize {
    let members = net.nodes[n].cluster.as_ref().map(|cluster| cluster.members());
    members.map_or(0, |members| members.iter().filter(|(_, m)| m.state == MemberState::Alive).count())
}

/// Whether each running router sees `others` other routers alive.
fn all_see(net: &Network, others: usize) -> bool {
    (0..net.nodes.len()).filter(|n| net.is_running(*n)).all(|n| alive_members(net, n) == others)
}

fn member_state(net: &Network, n: usize, name: &str) -> Option<MemberState> {
    Some(net.nodes[n].cluster.as_ref()?.members().get(name)?.state)
}

/// Partitions the first `count` routers from all others.
fn partition(net: &mut Network, count: usize) {
    for (a, b) in net.links() {
        if (a < count) != (b < count) {
            net.cut_link(a, b);
        }
    }
}

fn digests_agree(net: &Network) -> bool {
    let clusters = net.nodes.iter().filter(|node| !node.is_frozen).filter_map(|node| node.cluster.as_ref());
    let mut digests = clusters.map(|cluster| cluster.table().digests());
    let first = digests.next();
    digests.all(|digest| Some(digest) == first)
}

#[test]
fn crash_partition_and_restart_are_detected_without_false_suspicion() {
    let mut net = fleet(20);
    net.crash(7);
    let all_see_crashed_as = |net: &Network, state| {
        (0..20).filter(|n| net.is_running(*n)).all(|n| member_state(net, n, "r7") == Some(state))
    };
    assert!(net.wait_for(5_000.0, |net| all_see_crashed_as(net, MemberState::Suspect)).is_some());
    assert!(net.wait_for(40_000.0, |net| all_see_crashed_as(net, MemberState::Dead)).is_some());
    net.start(7);
    assert!(net.wait_for(5_000.0, |net| all_see(net, 19)).is_some(), "the router has restarted");
    partition(&mut net, 8);
    assert!(net.wait_for(5_000.0, |net| (0..8).all(|n| alive_members(net, n) == 7)).is_some());
    assert!((8..20).all(|n| alive_members(&net, n) == 11));
    net.restore_all_links();
    assert!(net.wait_for(5_000.0, |net| all_see(net, 19)).is_some());
    let suspected_name = |event: &ClusterEvent| match event {
        ClusterEvent::Member { name, change: MemberChange::StateChanged(MemberState::Suspect), .. } => {
            Some(name.clone())
        }
        _ => None,
    };
    // A router of the larger part suspects only the routers behind the partition and the crashed one.
    let events = &net.nodes[12].events;
    let names: Vec<String> = events.iter().filter_map(|(_, event)| suspected_name(event)).collect();
    assert!(names.iter().all(|name| name[1..].parse::<usize>().is_ok_and(|n| n < 8)), "{names:?}");
    assert!(net.wait_for(30_000.0, digests_agree).is_some(), "all tables become equal");
}

/// The peers of a frozen router close its silent links; once it resumes it rejoins in the same incarnation.
#[test]
fn frozen_router_is_suspect_and_returns_with_its_incarnation() {
    let mut net = fleet(6);
    net.freeze(2);
    assert!(net.wait_for(5_000.0, |net| member_state(net, 0, "r2") == Some(MemberState::Suspect)).is_some());
    net.run_until(net.now + 8_000.0);
    net.resume(2);
    assert!(net.wait_for(5_000.0, |net| all_see(net, 5)).is_some());
    let has_detected_freeze =
        net.nodes[2].events.iter().any(|(_, event)| matches!(event, ClusterEvent::Frozen(ms) if *ms > 8_000));
    assert!(has_detected_freeze);
    assert_eq!(
        net.nodes[2].cluster.as_ref().map(|cluster| cluster.participation()),
        Some(Participation::Active)
    );
}

/// Of two processes with the same name the later one is rejected, both are notified, and the fleet retains
/// the earlier one. If the earlier one is frozen while the later one starts, it yields the name.
#[test]
fn later_incarnation_is_rejected_unless_earlier_one_was_frozen() {
    for is_earlier_frozen in [false, true] {
        let mut net = fleet(6);
        let earlier = net.nodes[2].incarnation;
        if is_earlier_frozen {
            net.freeze(2);
            net.run_until(net.now + 3_000.0);
        }
        // Another node starts with the same name: peers identify a router by its name only.
        net.nodes[5].name = "r2".to_string();
        net.crash(5);
        net.run_until(net.now + 100.0);
        net.nodes[5].incarnation = net.nodes[2].incarnation;
        net.start(5);
        let later = net.nodes[5].incarnation;
        if is_earlier_frozen {
            assert!(net
                .wait_for(5_000.0, |net| member_state(net, 0, "r2") == Some(MemberState::Alive))
                .is_some());
            net.resume(2);
        }
        let (loser, holder) = if is_earlier_frozen { (2, 5) } else { (5, 2) };
        let participation =
            |net: &Network, n: usize| net.nodes[n].cluster.as_ref().map(|cluster| cluster.participation());
        let expected =
            if is_earlier_frozen { Participation::Yielded(later) } else { Participation::Refused(earlier) };
        assert!(
            net.wait_for(5_000.0, |net| participation(net, loser) == Some(expected)).is_some(),
            "{is_earlier_frozen}"
        );
        assert_eq!(participation(&net, holder), Some(Participation::Active));
        let is_conflict_reported = net.nodes[2]
            .events
            .iter()
            .any(|(_, event)| *event == ClusterEvent::NameConflict { incarnation: later });
        assert_eq!(is_conflict_reported, !is_earlier_frozen, "the earlier process reports the conflict");
        let expected = if is_earlier_frozen { later } else { earlier };
        let known_incarnation = |net: &Network| {
            net.nodes[0].cluster.as_ref().and_then(|c| c.members().get("r2").map(|m| m.incarnation))
        };
        let is_known = |net: &Network| known_incarnation(net) == Some(expected);
        assert!(net.wait_for(5_000.0, is_known).is_some(), "{is_earlier_frozen}");
    }
}

/// Journal events of one router reach all others, once each, and never an older one after a newer one.
#[test]
fn journal_events_reach_all_and_stale_ones_are_ignored() {
    let mut net = fleet(12);
    let now = net.now;
    let status = |ready| CacheStatus { ready, removed: false, started_at: 0.0 };
    net.cluster(3).publish_cache(now, "c1", status(false), 7);
    net.cluster(9).publish_cache(now, "c1", status(true), 5);
    let purge = Purge { issued_at: 100.0, journal_position: 8 };
    net.cluster(3).publish_purge(now, &EntryKey::Object("ab".to_string()), purge);
    net.run_until(now + 3_000.0);
    for (n, node) in net.nodes.iter().enumerate() {
        let changes = node.actions.iter().filter_map(|(_, action)| match action {
            ClusterAction::CacheChanged { journal_position, .. } => Some(*journal_position),
            _ => None,
        });
        let positions: Vec<u64> = changes.collect();
        assert!(positions.is_sorted() && (n == 3 || positions.last() == Some(&7)), "r{n}: {positions:?}");
        let purges =
            node.actions.iter().filter(|(_, action)| matches!(action, ClusterAction::Purged { .. })).count();
        assert_eq!(purges, usize::from(n != 3));
    }
    // A router is partitioned during a drain and reconnected afterwards.
    for other in 0..12 {
        net.cut_link(0, other);
    }
    let now = net.now;
    net.cluster(5).publish_cache(now, "c2", status(false), 9);
    net.run_until(now + 3_000.0);
    let has_drain = |net: &Network| {
        net.nodes[0]
            .actions
            .iter()
            .any(|(_, a)| matches!(a, ClusterAction::CacheChanged { journal_position: 9, .. }))
    };
    assert!(!has_drain(&net));
    net.restore_all_links();
    assert!(net.wait_for(3_000.0, has_drain).is_some());
}

/// Entries that were lost by any fault are found by digests and sent again, but not the entire table.
#[test]
fn gap_is_found_by_digests_and_only_missing_entries_are_sent() {
    let mut net = fleet(3);
    let now = net.now;
    for group in 0..200 {
        net.cluster(0).publish_purge(
            now,
            &EntryKey::Group(group),
            Purge { issued_at: 5.0, journal_position: 1 },
        );
    }
    net.run_until(now + 20_000.0);
    assert!(digests_agree(&net));
    // One router does not receive the next two purges, although its links are up.
    let before = net.nodes[0].cluster.as_ref().map(|cluster| cluster.counters.entries_repaired);
    net.set_receiving(1, false);
    let now = net.now;
    for group in [3, 50] {
        net.cluster(0).publish_purge(
            now,
            &EntryKey::Group(group),
            Purge { issued_at: 6.0, journal_position: 2 },
        );
    }
    net.run_until(now + 1_000.0);
    net.set_receiving(1, true);
    assert!(!digests_agree(&net));
    assert!(net.wait_for(30_000.0, digests_agree).is_some());
    let repaired = net.nodes[0].cluster.as_ref().map(|cluster| cluster.counters.entries_repaired);
    let sent = repaired.unwrap_or(0) - before.unwrap_or(0);
    // The entries of two of sixteen partitions, sent by one or two peers and not by all.
    assert!((2..=80).contains(&sent), "{sent}");
}

/// Entries from a straggler are ignored by others; once it has caught up they are sent again and applied.
#[test]
fn entries_of_straggler_are_applied_after_catching_up() {
    let mut net = fleet(3);
    let versions = |version: u64| ActiveVersions {
        hierarchy: HierarchyVersion { version, digest: version },
        ..ActiveVersions::default()
    };
    for n in 0..3 {
        net.cluster(n).set_versions(&versions(if n == 2 { 4 } else { 5 }));
    }
    let now = net.now;
    net.cluster(0).set_floor(now, 5);
    net.run_until(now + 500.0);
    let enforce_floors = |net: &mut Network| {
        for n in 0..3 {
            let now = net.now;
            let floor = net.cluster(n).floor(&[]);
            net.cluster(n).enforce_floor(now, floor, 1_000.0);
        }
    };
    enforce_floors(&mut net);
    net.run_until(now + 2_000.0);
    enforce_floors(&mut net);
    let at = net.now;
    assert!(net.cluster(0).is_straggler(at, "r2") && !net.cluster(0).is_straggler(at, "r1"));
    net.cluster(2).publish_cache(at, "c1", CacheStatus { ready: false, removed: false, started_at: 0.0 }, 9);
    net.run_until(at + 2_000.0);
    let has_applied = |net: &Network, n: usize| {
        net.nodes[n].actions.iter().any(|(_, a)| matches!(a, ClusterAction::CacheChanged { .. }))
    };
    assert!(!has_applied(&net, 0) && !has_applied(&net, 1), "the straggler's entry is ignored");
    assert!(net.cluster(0).counters.straggler_entries_ignored > 0);
    net.cluster(2).set_versions(&versions(5));
    net.run_until(at + 3_000.0);
    enforce_floors(&mut net);
    net.run_until(at + 30_000.0);
    assert!(has_applied(&net, 0) && has_applied(&net, 1), "the entry is sent again and applied");
}

/// When one router publishes 2,000 entries at once, no router sends more than its rate limit allows.
#[test]
fn rate_limit_bounds_sent_bytes() {
    let mut config = MembershipConfig::default();
    (config.rate_limit.bytes_per_second, config.rate_limit.burst_seconds) = (4_000.0, 1.0);
    let mut net = Network::new(3, 5, 2, config, LinkConfig::default());
    net.run_until(2_000.0);
    let before: Vec<u64> = net
        .nodes
        .iter()
        .filter_map(|n| n.cluster.as_ref())
        .map(|cluster| cluster.counters.bytes_sent)
        .collect();
    let now = net.now;
    for n in 0..2_000 {
        net.cluster(0).publish_purge(
            now,
            &EntryKey::Object(format!("{n:016x}")),
            Purge { issued_at: 9.0, journal_position: n },
        );
    }
    net.run_until(now + 5_000.0);
    for (node, before) in net.nodes.iter().zip(before) {
        let sent = node.cluster.as_ref().map_or(0, |cluster| cluster.counters.bytes_sent) - before;
        // The rate, the burst of the token bucket, digests, and one bundle.
        assert!(sent <= 4_000 * 6 + 6_000, "{}: {sent}", node.name);
    }
}

/// After random crashes, partitions, freezes and restarts, once all are over, every router sees all others
/// alive, and all tables are equal, with what was published meanwhile.
#[test]
fn all_routers_agree_after_random_faults() {
    for seed in 0..60 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let routers = rng.random_range(3..12);
        let link_config = LinkConfig { loss: [0.0, 0.1][seed as usize % 2], ..LinkConfig::default() };
        let mut net = Network::new(seed, routers, 2, MembershipConfig::default(), link_config);
        net.run_until(1_000.0);
        let links = net.links();
        let mut number = 0;
        for _ in 0..40 {
            let n = rng.random_range(0..routers);
            match rng.random_range(0..7) {
                0 if net.is_running(n) => net.crash(n),
                1 if net.nodes[n].cluster.is_none() => net.start(n),
                2 if net.is_running(n) => net.freeze(n),
                3 if net.nodes[n].is_frozen => net.resume(n),
                4 => {
                    let (a, b) = links[rng.random_range(0..links.len())];
                    net.cut_link(a, b);
                }
                5 => net.restore_all_links(),
                _ if net.is_running(n) => {
                    number += 1;
                    let (now, name) = (net.now, format!("c{}", rng.random_range(0..4)));
                    let status = CacheStatus { ready: number % 2 == 0, removed: false, started_at: 0.0 };
                    net.cluster(n).publish_cache(now, &name, status, number);
                }
                _ => {}
            }
            let pause = rng.random_range(10.0..1_500.0);
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
        let has_recovered = |net: &Network| all_see(net, routers - 1) && digests_agree(net);
        assert!(net.wait_for(60_000.0, has_recovered).is_some(), "seed {seed}, {routers} routers");
    }
}

/// Compares all messages of a fleet without locations, with their bytes and times, with those of an earlier
/// build. Lazy links and early flushes, which are only for routers with locations, must not change them.
#[test]
fn without_locations_messages_keep_bytes_and_times() {
    let mut net = Network::new(
        21,
        12,
        3,
        MembershipConfig::default(),
        LinkConfig { loss: 0.02, ..LinkConfig::default() },
    );
    net.deliveries = Some(Vec::new());
    for n in 0..300u64 {
        let (now, at) = (net.now, n as usize * 5 % 12);
        for router in (0..12).filter(|router| net.is_running(*router)).collect::<Vec<_>>() {
            net.cluster(router).set_versions(&ActiveVersions {
                journal_position: n / 7,
                hierarchy: HierarchyVersion { version: n / 50, digest: (n / 50) << 40 },
                ..ActiveVersions::default()
            });
        }
        match n % 60 {
            20 => net.crash(at),
            40 if !net.is_running((n as usize - 20) * 5 % 12) => net.start((n as usize - 20) * 5 % 12),
            _ if net.is_running(at) && n % 3 == 0 => {
                let status = CacheStatus { ready: n % 2 == 0, removed: false, started_at: 0.0 };
                net.cluster(at).publish_cache(now, &format!("c{}", n % 5), status, n);
            }
            _ => {}
        }
        net.run_until(now + 70.0);
    }
    let deliveries = net.deliveries.take().expect("recorded deliveries");
    let mut digest = xxhash_rust::xxh3::Xxh3::new();
    for Delivery { at, from, to, key, value } in &deliveries {
        digest.update(format!("{at:.3} {from} {to} {key:?} {value:?}").as_bytes());
    }
    assert_eq!((deliveries.len(), digest.digest()), (47_301, 5_369_769_045_580_680_548));
}
