//! Which links carry complete entries and which only digests: single routers, and fleets at topology locations whose
//! routers die, receive nothing or are slow; judged by what crossed the links.

mod net;

use std::collections::BTreeSet;

use linnethook_membership::aggregation::location::Location;
use linnethook_membership::aggregation::scope::LinkHandshake;
use linnethook_membership::config::MembershipConfig;
use linnethook_membership::gossip::entry::EntryKey;
use linnethook_membership::gossip::entry::Revision;
use linnethook_membership::gossip::plumtree::{
    decode_digests, encode_digests, Plumtree, PlumtreeConfig, PlumtreeMessages,
};
use linnethook_membership::versions::{ActiveVersions, HierarchyVersion};
use linnethook_membership::view::ClusterCounters;
use linnethook_membership::Ms;
use net::{Net, Shape, Wire};

const KEY: &[u8] = b"key";
const OTHER: &[u8] = b"other";

/// A router with links to `a`, `b` and `c`, all of which support lazy links.
fn three() -> Plumtree {
    let mut tree = Plumtree::new(PlumtreeConfig::default());
    for name in ["a", "b", "c"] {
        tree.add_link(name);
        tree.set_lazy_support(name, true);
    }
    tree
}

fn take_messages(tree: &mut Plumtree, name: &str) -> PlumtreeMessages {
    let messages = tree.pending_messages(name);
    assert_eq!(messages.is_empty(), messages.bytes() == 0);
    tree.mark_sent(name);
    messages
}

#[test]
fn duplicate_prunes_link_for_its_key_and_first_link_stays_eager() {
    let mut tree = three();
    tree.record_new(0.0, KEY, Revision::new(1, 1), Some("a"));
    tree.record_duplicate("b", KEY, Revision::new(1, 1));
    tree.record_duplicate("a", KEY, Revision::new(1, 1));
    assert_eq!(
        [tree.is_lazy("a", KEY), tree.is_lazy("b", KEY), tree.is_lazy("c", KEY)],
        [false, true, false]
    );
    assert!(!tree.is_lazy("b", OTHER), "by key");
    let pruned = take_messages(&mut tree, "b").prune;
    assert_eq!(pruned.len(), 1);
    assert!(take_messages(&mut tree, "b").is_empty(), "told once");
    // The other end receives the prune and makes its end lazy.
    let mut there = three();
    there.handle_prune("a", &pruned);
    assert!(there.is_lazy("a", KEY) && !there.is_lazy("a", OTHER));
    // The next entry arrives over the pruned link first, sent before the prune: the eager link stays.
    tree.record_new(1.0, KEY, Revision::new(1, 2), Some("b"));
    assert!(!tree.is_lazy("b", KEY), "what a fact comes over first is eager");
    // The eager link fails: a duplicate over another link does not prune the only one left.
    tree.record_new(2.0, KEY, Revision::new(1, 3), Some("a"));
    tree.remove_link("a");
    tree.record_duplicate("c", KEY, Revision::new(1, 3));
    assert!(!tree.is_lazy("c", KEY));
}

#[test]
fn link_without_lazy_support_is_never_pruned() {
    let mut tree = three();
    tree.set_lazy_support("b", false);
    tree.record_new(0.0, KEY, Revision::new(1, 1), Some("a"));
    tree.record_duplicate("b", KEY, Revision::new(1, 1));
    tree.handle_prune("b", &[1, 2, 3]);
    tree.handle_ihave(0.0, "b", &[7]);
    tree.tick(10_000.0);
    assert!(!tree.is_lazy("b", KEY) && take_messages(&mut tree, "b").is_empty());
    assert!(tree.handle_graft("b", &[7]).is_empty());
}

/// A digest arrived of an entry that does not: it is requested from the first peer that announced it, then from the
/// next one, and the link is eager again at the end that has it.
#[test]
fn announced_entry_is_grafted_from_one_peer_after_another() {
    let rule = PlumtreeConfig::default();
    let (mut here, mut there) = (three(), three());
    there.record_new(0.0, KEY, Revision::new(1, 1), Some("c"));
    there.record_duplicate("a", KEY, Revision::new(1, 1));
    there.record_new(10.0, KEY, Revision::new(1, 2), Some("c"));
    there.queue_ihave("a", KEY, Revision::new(1, 2));
    assert_eq!(there.links_with_messages(10.0), ["a"]);
    let have = take_messages(&mut there, "a").ihave;
    assert_eq!(have.len(), 1);
    here.handle_ihave(20.0, "b", &have);
    here.handle_ihave(25.0, "c", &have);
    here.tick(20.0 + rule.graft_timeout - 1.0);
    assert!(take_messages(&mut here, "b").is_empty(), "it may be on its way");
    assert_eq!(here.next_deadline(), 20.0 + rule.graft_timeout);
    here.tick(20.0 + rule.graft_timeout);
    let graft = take_messages(&mut here, "b").graft;
    assert_eq!(graft, have);
    here.tick(20.0 + 2.0 * rule.graft_timeout);
    assert_eq!(take_messages(&mut here, "c").graft, have, "the first one did not answer");
    here.tick(20.0 + 3.0 * rule.graft_timeout);
    assert_eq!(here.next_deadline(), f64::INFINITY, "nobody is left who has it");
    assert_eq!(there.handle_graft("a", &graft), [KEY.to_vec()]);
    assert!(!there.is_lazy("a", KEY));
    // An entry that is present is not requested, nor announced to a peer that has it.
    here.record_new(1_000.0, KEY, Revision::new(1, 2), Some("b"));
    here.queue_ihave("a", KEY, Revision::new(1, 2));
    here.handle_ihave(1_001.0, "a", &have);
    here.tick(5_000.0);
    assert!(take_messages(&mut here, "a").is_empty());
}

#[test]
fn digests_round_trip_and_invalid_ones_are_rejected() {
    assert_eq!(decode_digests(&encode_digests(&[1, u32::MAX, 7])), Some(vec![1, u32::MAX, 7]));
    assert_eq!(decode_digests(&encode_digests(&[1])[..3]), None);
    assert_eq!(decode_digests(&vec![0; 4 * 5_000]), None);
}

/// The state that entries leave behind is bounded, whatever is received.
#[test]
fn remembered_digests_are_bounded_and_expire() {
    let mut tree = three();
    for n in 0..20_000u32 {
        tree.record_new(f64::from(n) / 1_000.0, &n.to_le_bytes(), Revision::new(1, 1), Some("a"));
        tree.handle_ihave(0.0, "b", &[n.wrapping_mul(0x9e37_79b9)]);
        tree.handle_prune("c", &[n]);
    }
    let retained = tree.sizes();
    assert!(retained.seen <= 8_192 && retained.missing <= 4_096 && retained.lazy <= 4_096, "{retained:?}");
    tree.record_new(1_000_000.0, KEY, Revision::new(1, 1), None);
    // A removed entry leaves no state, and the request for an entry that no peer has is given up.
    tree.record_new(1_000_000.0, OTHER, Revision::new(1, 1), Some("a"));
    tree.remove_link("c");
    tree.add_link("c");
    tree.set_lazy_support("c", true);
    tree.record_duplicate("c", OTHER, Revision::new(1, 1));
    assert!(tree.is_lazy("c", OTHER));
    tree.forget(OTHER);
    assert!(!tree.is_lazy("c", OTHER));
    (0..8).for_each(|n| tree.tick(1_000_000.0 + f64::from(n) * 1_000.0));
    let retained = tree.sizes();
    assert_eq!((retained.seen, retained.missing), (2, 0));
}

/// An older build reads the handshake, and the handshake of an older build does not support lazy links.
#[test]
fn handshake_is_compatible_with_older_build() {
    let place = Location::parse("a/b").expect("a place");
    let greeting = LinkHandshake {
        location: place.clone(),
        hierarchy: HierarchyVersion { version: 3, digest: 4 },
        supports_lazy_links: true,
    };
    let bytes = greeting.encode();
    // An older build reads the location and the hierarchy, and ignores what follows.
    let older: (Location, (u64, u64)) = postcard::from_bytes(&bytes).expect("readable");
    assert_eq!(older, (place.clone(), (3, 4)));
    assert_eq!(LinkHandshake::decode(&bytes), Ok(greeting));
    let older = postcard::to_stdvec(&older).expect("written");
    assert_eq!(
        LinkHandshake::decode(&older),
        Ok(LinkHandshake {
            location: place,
            hierarchy: HierarchyVersion { version: 3, digest: 4 },
            supports_lazy_links: false
        })
    );
}

// ---- Fleets.

fn shape() -> Shape {
    Shape::new(&[2, 2, 3], 5)
}

fn counted(net: &Net, n: usize, all: u64, changed: usize) -> bool {
    let total = net.nodes[n].core.as_ref().and_then(|core| core.fleet_summary(net.now));
    total.is_some_and(|total| total.alive == all && total.groups.len() == 1 + changed)
}

fn every(net: &Net, changed: usize) -> bool {
    let running: Vec<usize> = (0..net.nodes.len()).filter(|n| net.runs(*n)).collect();
    running.iter().all(|n| counted(net, *n, running.len() as u64, changed))
}

/// Advances the time in a fleet whose journal positions change all the time.
fn play(net: &mut Net, until: Ms) {
    while net.now < until {
        let now = net.now;
        for n in (0..net.nodes.len()).filter(|n| net.runs(*n)).collect::<Vec<_>>() {
            net.core(n)
                .set_versions(&ActiveVersions { journal_position: now as u64, ..ActiveVersions::default() });
        }
        net.run(now + 100.0);
    }
}

fn fleet(seed: u64, rules: MembershipConfig, wire: Wire) -> Net {
    let mut net = Net::tree(seed, &shape(), rules, wire);
    assert!(net.until(20_000.0, |net| every(net, 0)).is_some(), "all are counted");
    let settled = net.now + 45_000.0;
    play(&mut net, settled);
    net
}

fn counts(net: &Net) -> (u64, u64, u64) {
    let all: Vec<ClusterCounters> =
        net.nodes.iter().filter_map(|node| Some(node.core.as_ref()?.counters)).collect();
    let bytes = net.nodes.iter().map(|node| node.bytes).sum();
    (all.iter().map(|c| c.entries_new).sum(), all.iter().map(|c| c.entries_stale).sum(), bytes)
}

/// Once links are pruned there are few duplicates, and at least a quarter less is sent.
#[test]
fn pruned_links_carry_few_duplicates_and_lose_no_entry() {
    let measure = |prunes: bool| {
        let mut rules = MembershipConfig::default();
        rules.plumtree.lazy_links = prunes;
        let mut net = fleet(1, rules, Wire::default());
        let before = counts(&net);
        let until = net.now + 40_000.0;
        play(&mut net, until);
        let after = counts(&net);
        // Version updates and summaries are up to date everywhere.
        assert!(every(&net, 0));
        (after.0 - before.0, after.1 - before.1, after.2 - before.2)
    };
    let (eager, pruned) = (measure(false), measure(true));
    assert!(eager.1 * 3 > eager.0, "{eager:?}");
    assert!(pruned.1 * 20 < pruned.0, "{pruned:?}");
    assert!(pruned.0 * 100 > eager.0 * 80, "as much that is new comes: {pruned:?} {eager:?}");
    assert!(pruned.2 * 4 < eager.2 * 3, "{pruned:?} {eager:?}");
}

/// The time until all routers have counted a change of the last router's settings.
fn change_known(net: &mut Net) -> Option<Ms> {
    let (at, last) = (net.now, net.nodes.len() - 1);
    net.core(last).set_versions(&ActiveVersions { settings_digest: 7, ..ActiveVersions::default() });
    let known = net.until(5_000.0, |net| every(net, 1))?;
    Some(known - at)
}

/// Right before a change one router of each site that forwards for others crashes, or receives nothing without being
/// detected; and one is slow by seconds.
#[test]
fn change_spreads_in_time_past_dead_deaf_or_slow_routers() {
    for seed in [2, 3] {
        let mut net = fleet(seed, MembershipConfig::default(), Wire { loss: 0.01, ..Wire::default() });
        net.crash(22);
        net.crash(47);
        net.core(59).set_versions(&ActiveVersions { settings_digest: 7, ..ActiveVersions::default() });
        assert!(net.until(5_000.0, |net| every(net, 1)).is_some(), "seed {seed}: two died");

        let mut net = fleet(seed, MembershipConfig::default(), Wire { loss: 0.01, ..Wire::default() });
        // It receives nothing; all others learn of the change, though its tree edges have to be replaced.
        let deaf = [6, 22, 41];
        deaf.iter().for_each(|n| net.deaf(*n, true));
        net.core(59).set_versions(&ActiveVersions { settings_digest: 7, ..ActiveVersions::default() });
        let others = |net: &Net| {
            let all = net.nodes.len() as u64;
            (0..net.nodes.len()).filter(|n| !deaf.contains(n)).all(|n| counted(net, n, all, 1))
        };
        assert!(net.until(5_000.0, others).is_some(), "seed {seed}: some are deaf");

        let mut net = fleet(seed, MembershipConfig::default(), Wire { loss: 0.01, ..Wire::default() });
        net.slow(22, 2_000.0);
        let settled = net.now + 20_000.0;
        play(&mut net, settled);
        net.core(59).set_versions(&ActiveVersions { settings_digest: 7, ..ActiveVersions::default() });
        let others = |net: &Net| (0..60).filter(|n| *n != 22).all(|n| counted(net, n, 60, 1));
        assert!(net.until(5_000.0, others).is_some(), "seed {seed}: one is slow");
    }
}

/// The tree repairs itself: after a forwarding router has crashed and links are pruned again, there are few duplicates.
#[test]
fn links_are_pruned_again_after_router_on_path_died() {
    let mut net = fleet(4, MembershipConfig::default(), Wire::default());
    net.crash(22);
    net.crash(0);
    let settled = net.now + 45_000.0;
    play(&mut net, settled);
    let before = counts(&net);
    play(&mut net, settled + 30_000.0);
    let after = counts(&net);
    assert!((after.1 - before.1) * 20 < after.0 - before.0, "{before:?} {after:?}");
    assert!(every(&net, 0));
    assert!(change_known(&mut net).is_some());
}

/// Routers of a build without lazy links: no digest is sent to them, and all routers have the same totals in time.
#[test]
fn links_with_older_build_stay_eager() {
    let mut net = Net::tree(5, &shape(), MembershipConfig::default(), Wire::default());
    let mut rules = MembershipConfig::default();
    rules.plumtree.lazy_links = false;
    let older: BTreeSet<usize> = [0, 7, 8, 31, 59].into();
    older.iter().for_each(|n| net.start_by(*n, rules));
    net.record = Some(Vec::new());
    assert!(net.until(20_000.0, |net| every(net, 0)).is_some());
    let settled = net.now + 45_000.0;
    play(&mut net, settled);
    let of_links = |key: &[u8]| matches!(key, [0xfb..=0xfd]);
    let (mut among, mut twice) = (0, 0);
    for (_, from, to, (key, _)) in net.record.iter().flatten().filter(|(.., (key, _))| of_links(key)) {
        assert!(!older.contains(from) && !older.contains(to), "{key:?} from r{from} to r{to}");
        among += 1;
    }
    for (at, from, to, (key, _)) in net.record.iter().flatten() {
        let pruned = matches!(EntryKey::decode(key), Some(EntryKey::VersionUpdate(_) | EntryKey::Summary(_)));
        twice +=
            usize::from(pruned && *at > settled - 20_000.0 && older.contains(from) && older.contains(to));
    }
    assert!(among > 100 && twice > 10, "{among} {twice}");
    assert!(change_known(&mut net).is_some());
}
