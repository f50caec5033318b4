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

/// Whether each that runs sees so many others alive.
fn all_see(net: &Net, others: usize) -> bool {
    (0..net.nodes.len()).filter(|n| net.runs(*n)).all(|n| alive(net, n) == others)
}

fn standing(net: &Net, n: usize, name: &str) -> Option<MemberState> {
    Some(net.nodes[n].core.as_ref()?.members().get(name)?.state)
}

/// Those that run, in two groups without a word between them.
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
    let gone =
        |net: &Net, what| (0..20).filter(|n| net.runs(*n)).all(|n| standing(net, n, "r7") == Some(what));
    assert!(net.until(5_000.0, |net| gone(net, MemberState::Suspect)).is_some());
    assert!(net.until(40_000.0, |net| gone(net, MemberState::Dead)).is_some());
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
    // By a router of the larger half: those beyond the cut, and the one that crashed.
    let names: Vec<String> = net.nodes[12].notes.iter().filter_map(|(_, note)| suspected(note)).collect();
    assert!(names.iter().all(|name| name[1..].parse::<usize>().is_ok_and(|n| n < 8)), "{names:?}");
    assert!(net.until(30_000.0, digests_agree).is_some(), "all know the same in the end");
}

/// Fellows of one that is frozen find its links silent; it comes back by itself.
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

/// Two processes under one name: the later one is refused, both are told, and the fleet goes on with the earlier one.
/// The earlier one, frozen while the later one starts, leaves the name to it.
#[test]
fn later_incarnation_is_rejected_unless_earlier_one_was_frozen() {
    for slept in [false, true] {
        let mut net = fleet(6);
        let first = net.nodes[2].start;
        if slept {
            net.freeze(2);
            net.run(net.now + 3_000.0);
        }
        // Another node takes the name: all that counts is what is said under it.
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
        let told = net.nodes[2]
            .notes
            .iter()
            .any(|(_, note)| *note == ClusterEvent::NameConflict { incarnation: later });
        assert_eq!(told, !slept, "the earlier one is told of it");
        let start = if slept { later } else { first };
        let known =
            |net: &Net| net.nodes[0].core.as_ref().and_then(|c| c.members().get("r2").map(|m| m.incarnation));
        assert!(net.until(5_000.0, |net| known(net) == Some(start)).is_some(), "{slept}");
    }
}

/// News of the journal that one has reach all, once each, and an older word never comes after a newer one.
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
    // Cut off for a drain, and back.
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

/// What was lost on the way, by whatever fault, is found by digests and said again, and nothing else.
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
    // One does not get what two of them are about next, though its links are up.
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
    // Two parts of sixteen, from one or two fellows, not all.
    assert!((2..=80).contains(&sent), "{sent}");
}

/// What a straggler says of the world counts for nothing at others; once it has caught up it is told again, and counts.
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

/// Whatever goes wrong, no router says more than its pace.
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
        let said = node.core.as_ref().map_or(0, |core| core.counters.bytes_sent) - before;
        // Its rate, what was saved up, digests, and one bundle.
        assert!(said <= 4_000 * 6 + 6_000, "{}: {said}", node.name);
    }
}

/// Crashes, cuts, frozen processes and restarts by seed; once all is mended, all know the same of all, nobody is taken
/// for dead or alive wrongly, and what was told meanwhile is known everywhere.
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

/// All that crosses links in a fleet without places, byte by byte and at its time: that it is what it was before links
/// were pruned and had quiet times of their own, which are for places alone.
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
