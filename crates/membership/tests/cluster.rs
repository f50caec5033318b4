//! Fleets of clusters in virtual time: crashes, partitions, restarts, frozen processes and name conflicts.

mod net;

use linnethook_membership::actions::{ClusterAction, ClusterEvent, Participation};
use linnethook_membership::config::MembershipConfig;
use linnethook_membership::gossip::entry::{CacheStatus, EntryKey, Purge};
use linnethook_membership::membership::{MemberChange, MemberState};
use linnethook_membership::versions::{ActiveVersions, HierarchyVersion};
use net::{Net, Wire};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn fleet(routers: usize) -> Net {
    let mut net = Net::new(1, routers, 2, MembershipConfig::default(), Wire::default());
    assert!(net.until(10_000.0, |net| all_see(net, routers - 1)).is_some(), "all know of each other");
    net
}

fn alive(net: &Net, n: usize) -> usize {
    let members = net.nodes[n].core.as_ref().map(|core| core.members());
    members.map_or(0, |members| members.iter().filter(|(_, m)| m.state == MemberState::Alive).count())
}

/// Whether each running router sees that many others alive.
fn all_see(net: &Net, others: usize) -> bool {
    (0..net.nodes.len()).filter(|n| net.runs(*n)).all(|n| alive(net, n) == others)
}

fn standing(net: &Net, n: usize, name: &str) -> Option<MemberState> {
    Some(net.nodes[n].core.as_ref()?.members().get(name)?.state)
}

/// The running routers, in two groups that exchange no messages.
fn split(net: &mut Net, left: usize) {
    for (a, b) in net.links() {
        if (a < left) != (b < left) {
            net.cut(a, b);
        }
    }
}

fn digests_agree(net: &Net) -> bool {
    let all = net.nodes.iter().filter(|node| !node.frozen).filter_map(|node| node.core.as_ref());
    let mut digests = all.map(|core| core.table().digests());
    let first = digests.next();
    digests.all(|digest| Some(digest) == first)
}

#[test]
fn crash_partition_and_restart_are_detected_without_false_suspicion() {
    let mut net = fleet(20);
    net.crash(7);
    let dead =
        |net: &Net, what| (0..20).filter(|n| net.runs(*n)).all(|n| standing(net, n, "r7") == Some(what));
    assert!(net.until(5_000.0, |net| dead(net, MemberState::Suspect)).is_some());
    assert!(net.until(40_000.0, |net| dead(net, MemberState::Dead)).is_some());
    net.start(7);
    assert!(net.until(5_000.0, |net| all_see(net, 19)).is_some(), "it is back");
    split(&mut net, 8);
    assert!(net.until(5_000.0, |net| (0..8).all(|n| alive(net, n) == 7)).is_some());
    assert!((8..20).all(|n| alive(&net, n) == 11));
    net.mend_all();
    assert!(net.until(5_000.0, |net| all_see(net, 19)).is_some());
    let suspected = |note: &ClusterEvent| match note {
        ClusterEvent::Member { name, change: MemberChange::StateChanged(MemberState::Suspect), .. } => {
            Some(name.clone())
        }
        _ => None,
    };
    // As a router of the larger half sees them: the routers behind the partition, and the crashed one.
    let names: Vec<String> = net.nodes[12].notes.iter().filter_map(|(_, note)| suspected(note)).collect();
    assert!(names.iter().all(|name| name[1..].parse::<usize>().is_ok_and(|n| n < 8)), "{names:?}");
    assert!(net.until(30_000.0, digests_agree).is_some(), "all know the same in the end");
}

/// The peers of a frozen router find its links silent; it recovers by itself.
#[test]
fn frozen_router_is_suspect_and_returns_with_its_incarnation() {
    let mut net = fleet(6);
    net.freeze(2);
    assert!(net.until(5_000.0, |net| standing(net, 0, "r2") == Some(MemberState::Suspect)).is_some());
    net.run(net.now + 8_000.0);
    net.wake(2);
    assert!(net.until(5_000.0, |net| all_see(net, 5)).is_some());
    let frozen =
        net.nodes[2].notes.iter().any(|(_, note)| matches!(note, ClusterEvent::Frozen(ms) if *ms > 8_000));
    assert!(frozen, "it knows that it was");
    assert_eq!(net.nodes[2].core.as_ref().map(|core| core.participation()), Some(Participation::Active));
}

/// Two processes of one name: the later one is rejected, both are notified, and the fleet keeps the earlier one. An
/// earlier one that is frozen while the later one starts yields the name to it.
#[test]
fn later_incarnation_is_rejected_unless_earlier_one_was_frozen() {
    for slept in [false, true] {
        let mut net = fleet(6);
        let first = net.nodes[2].start;
        if slept {
            net.freeze(2);
            net.run(net.now + 3_000.0);
        }
        // Another node uses the name: only the messages under that name matter.
        net.nodes[5].name = "r2".to_string();
        net.crash(5);
        net.run(net.now + 100.0);
        net.nodes[5].start = net.nodes[2].start;
        net.start(5);
        let later = net.nodes[5].start;
        if slept {
            assert!(net.until(5_000.0, |net| standing(net, 0, "r2") == Some(MemberState::Alive)).is_some());
            net.wake(2);
        }
        let (out, holds) = if slept { (2, 5) } else { (5, 2) };
        let part = |net: &Net, n: usize| net.nodes[n].core.as_ref().map(|core| core.participation());
        let expected = if slept { Participation::Yielded(later) } else { Participation::Refused(first) };
        assert!(net.until(5_000.0, |net| part(net, out) == Some(expected)).is_some(), "{slept}");
        assert_eq!(part(&net, holds), Some(Participation::Active));
        let published = net.nodes[2]
            .notes
            .iter()
            .any(|(_, note)| *note == ClusterEvent::NameConflict { incarnation: later });
        assert_eq!(published, !slept, "the earlier one is told of it");
        let start = if slept { later } else { first };
        let known =
            |net: &Net| net.nodes[0].core.as_ref().and_then(|c| c.members().get("r2").map(|m| m.incarnation));
        assert!(net.until(5_000.0, |net| known(net) == Some(start)).is_some(), "{slept}");
    }
}

/// Journal events that one router has reach all others, once each, and never an older one after a newer one.
#[test]
fn journal_news_reaches_all_and_stale_news_is_ignored() {
    let mut net = fleet(12);
    let now = net.now;
    let line = |ready| CacheStatus { ready, removed: false, started_at: 0.0 };
    net.core(3).publish_cache(now, "c1", line(false), 7);
    net.core(9).publish_cache(now, "c1", line(true), 5);
    let purge = Purge { issued_at: 100.0, journal_position: 8 };
    net.core(3).publish_purge(now, &EntryKey::Object("ab".to_string()), purge);
    net.run(now + 3_000.0);
    for (n, node) in net.nodes.iter().enumerate() {
        let lines = node.done.iter().filter_map(|(_, action)| match action {
            ClusterAction::CacheChanged { journal_position: number, .. } => Some(*number),
            _ => None,
        });
        let numbers: Vec<u64> = lines.collect();
        assert!(numbers.is_sorted() && (n == 3 || numbers.last() == Some(&7)), "r{n}: {numbers:?}");
        let purges =
            node.done.iter().filter(|(_, action)| matches!(action, ClusterAction::Purged { .. })).count();
        assert_eq!(purges, usize::from(n != 3));
    }
    // The router is partitioned during a drain, and reconnected.
    for other in 0..12 {
        net.cut(0, other);
    }
    let now = net.now;
    net.core(5).publish_cache(now, "c2", line(false), 9);
    net.run(now + 3_000.0);
    let knows = |net: &Net| {
        net.nodes[0]
            .done
            .iter()
            .any(|(_, a)| matches!(a, ClusterAction::CacheChanged { journal_position: 9, .. }))
    };
    assert!(!knows(&net));
    net.mend_all();
    assert!(net.until(3_000.0, knows).is_some());
}

/// Entries that were lost, by whatever fault, are found by digests and sent again; no other entry is.
#[test]
fn gap_is_found_by_digests_and_only_missing_entries_are_sent() {
    let mut net = fleet(3);
    let now = net.now;
    for group in 0..200 {
        net.core(0).publish_purge(
            now,
            &EntryKey::Group(group),
            Purge { issued_at: 5.0, journal_position: 1 },
        );
    }
    net.run(now + 20_000.0);
    assert!(digests_agree(&net));
    // One router does not receive the next two purges, though its links are up.
    let before = net.nodes[0].core.as_ref().map(|core| core.counters.entries_repaired);
    net.deaf(1, true);
    let now = net.now;
    for group in [3, 50] {
        net.core(0).publish_purge(
            now,
            &EntryKey::Group(group),
            Purge { issued_at: 6.0, journal_position: 2 },
        );
    }
    net.run(now + 1_000.0);
    net.deaf(1, false);
    assert!(!digests_agree(&net));
    assert!(net.until(30_000.0, digests_agree).is_some());
    let repaired = net.nodes[0].core.as_ref().map(|core| core.counters.entries_repaired);
    let sent = repaired.unwrap_or(0) - before.unwrap_or(0);
    // Two of sixteen partitions, from one or two peers and not from all.
    assert!((2..=80).contains(&sent), "{sent}");
}

/// Entries from a straggler are ignored by others; once it has caught up they are sent again, and count.
#[test]
fn news_of_straggler_counts_after_catching_up() {
    let mut net = fleet(3);
    let on = |version: u64| ActiveVersions {
        hierarchy: HierarchyVersion { version, digest: version },
        ..ActiveVersions::default()
    };
    for n in 0..3 {
        net.core(n).set_versions(&on(if n == 2 { 4 } else { 5 }));
    }
    let now = net.now;
    net.core(0).set_floor(now, 5);
    net.run(now + 500.0);
    let hold = |net: &mut Net| {
        for n in 0..3 {
            let now = net.now;
            let floor = net.core(n).floor(&[]);
            net.core(n).enforce_floor(now, floor, 1_000.0);
        }
    };
    hold(&mut net);
    net.run(now + 2_000.0);
    hold(&mut net);
    let at = net.now;
    assert!(net.core(0).is_straggler(at, "r2") && !net.core(0).is_straggler(at, "r1"));
    net.core(2).publish_cache(at, "c1", CacheStatus { ready: false, removed: false, started_at: 0.0 }, 9);
    net.run(at + 2_000.0);
    let heeds = |net: &Net, n: usize| {
        net.nodes[n].done.iter().any(|(_, a)| matches!(a, ClusterAction::CacheChanged { .. }))
    };
    assert!(!heeds(&net, 0) && !heeds(&net, 1), "a straggler's word");
    assert!(net.core(0).counters.straggler_entries_ignored > 0);
    net.core(2).set_versions(&on(5));
    net.run(at + 3_000.0);
    hold(&mut net);
    net.run(at + 30_000.0);
    assert!(heeds(&net, 0) && heeds(&net, 1), "told again, and heeded");
}

/// Under any fault, no router sends more than its rate limit allows.
#[test]
fn rate_limit_bounds_sent_bytes() {
    let mut rules = MembershipConfig::default();
    (rules.rate_limit.bytes_per_second, rules.rate_limit.burst_seconds) = (4_000.0, 1.0);
    let mut net = Net::new(3, 5, 2, rules, Wire::default());
    net.run(2_000.0);
    let before: Vec<u64> =
        net.nodes.iter().filter_map(|n| n.core.as_ref()).map(|core| core.counters.bytes_sent).collect();
    let now = net.now;
    for n in 0..2_000 {
        net.core(0).publish_purge(
            now,
            &EntryKey::Object(format!("{n:016x}")),
            Purge { issued_at: 9.0, journal_position: n },
        );
    }
    net.run(now + 5_000.0);
    for (node, before) in net.nodes.iter().zip(before) {
        let messages = node.core.as_ref().map_or(0, |core| core.counters.bytes_sent) - before;
        // The rate, the burst of the token bucket, digests, and one bundle.
        assert!(messages <= 4_000 * 6 + 6_000, "{}: {messages}", node.name);
    }
}

/// Random crashes, partitions, frozen processes and restarts; after recovery all routers agree on the state of all, no
/// state is wrong, and what was published meanwhile is known everywhere.
#[test]
fn all_routers_agree_after_random_faults() {
    for seed in 0..60 {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let routers = chance.random_range(3..12);
        let wire = Wire { loss: [0.0, 0.1][seed as usize % 2], ..Wire::default() };
        let mut net = Net::new(seed, routers, 2, MembershipConfig::default(), wire);
        net.run(1_000.0);
        let links = net.links();
        let mut number = 0;
        for _ in 0..40 {
            let n = chance.random_range(0..routers);
            match chance.random_range(0..7) {
                0 if net.runs(n) => net.crash(n),
                1 if net.nodes[n].core.is_none() => net.start(n),
                2 if net.runs(n) => net.freeze(n),
                3 if net.nodes[n].frozen => net.wake(n),
                4 => {
                    let (a, b) = links[chance.random_range(0..links.len())];
                    net.cut(a, b);
                }
                5 => net.mend_all(),
                _ if net.runs(n) => {
                    number += 1;
                    let (now, name) = (net.now, format!("c{}", chance.random_range(0..4)));
                    let line = CacheStatus { ready: number % 2 == 0, removed: false, started_at: 0.0 };
                    net.core(n).publish_cache(now, &name, line, number);
                }
                _ => {}
            }
            let pause = chance.random_range(10.0..1_500.0);
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
        let well = |net: &Net| all_see(net, routers - 1) && digests_agree(net);
        assert!(net.until(60_000.0, well).is_some(), "seed {seed}, {routers} routers");
    }
}

/// All messages of a fleet without locations, with their bytes and times: pruned links and quiet times, which are for
/// locations alone, do not change them.
#[test]
fn without_locations_every_byte_is_sent_at_its_time() {
    let mut net = Net::new(21, 12, 3, MembershipConfig::default(), Wire { loss: 0.02, ..Wire::default() });
    net.record = Some(Vec::new());
    for n in 0..300u64 {
        let (now, at) = (net.now, n as usize * 5 % 12);
        for router in (0..12).filter(|router| net.runs(*router)).collect::<Vec<_>>() {
            net.core(router).set_versions(&ActiveVersions {
                journal_position: n / 7,
                hierarchy: HierarchyVersion { version: n / 50, digest: (n / 50) << 40 },
                ..ActiveVersions::default()
            });
        }
        match n % 60 {
            20 => net.crash(at),
            40 if !net.runs((n as usize - 20) * 5 % 12) => net.start((n as usize - 20) * 5 % 12),
            _ if net.runs(at) && n % 3 == 0 => {
                let line = CacheStatus { ready: n % 2 == 0, removed: false, started_at: 0.0 };
                net.core(at).publish_cache(now, &format!("c{}", n % 5), line, n);
            }
            _ => {}
        }
        net.run(now + 70.0);
    }
    let record = net.record.take().expect("kept");
    let mut all = xxhash_rust::xxh3::Xxh3::new();
    for (at, from, to, (key, entry)) in &record {
        all.update(format!("{at:.3} {from} {to} {key:?} {entry:?}").as_bytes());
    }
    assert_eq!((record.len(), all.digest()), (47_301, 5_369_769_045_580_680_548));
}
