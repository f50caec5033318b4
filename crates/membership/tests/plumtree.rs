//! Which links carry complete entries and which only digests: single routers, and fleets at topology
//! locations with routers that crash, receive nothing or are slow. The checks use the messages on links.

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
use net::{Delivery, LinkConfig, Network, TreeShape};

const KEY: &[u8] = b"key";
const OTHER: &[u8] = b"other";

/// A router with links to `a`, `b` and `c`, all of which support lazy links.
fn tree_with_three_links() -> Plumtree {
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
    let mut tree = tree_with_three_links();
    tree.record_new(0.0, KEY, Revision::new(1, 1), Some("a"));
    tree.record_duplicate("b", KEY, Revision::new(1, 1));
    tree.record_duplicate("a", KEY, Revision::new(1, 1));
    assert_eq!(
        [tree.is_lazy("a", KEY), tree.is_lazy("b", KEY), tree.is_lazy("c", KEY)],
        [false, true, false]
    );
    assert!(!tree.is_lazy("b", OTHER), "other keys stay eager");
    let pruned = take_messages(&mut tree, "b").prune;
    assert_eq!(pruned.len(), 1);
    assert!(take_messages(&mut tree, "b").is_empty(), "the prune is sent once");
    // The other end receives the prune and makes its end of the link lazy.
    let mut other_end = tree_with_three_links();
    other_end.handle_prune("a", &pruned);
    assert!(other_end.is_lazy("a", KEY) && !other_end.is_lazy("a", OTHER));
    // The next entry arrives first over the pruned link, because it was sent before the prune.
    tree.record_new(1.0, KEY, Revision::new(1, 2), Some("b"));
    assert!(!tree.is_lazy("b", KEY), "the link over which an entry arrives first is eager");
    // The eager link fails: a duplicate over another link does not prune that link, which may be the only one
    // left.
    tree.record_new(2.0, KEY, Revision::new(1, 3), Some("a"));
    tree.remove_link("a");
    tree.record_duplicate("c", KEY, Revision::new(1, 3));
    assert!(!tree.is_lazy("c", KEY));
}

#[test]
fn link_without_lazy_support_is_never_pruned() {
    let mut tree = tree_with_three_links();
    tree.set_lazy_support("b", false);
    tree.record_new(0.0, KEY, Revision::new(1, 1), Some("a"));
    tree.record_duplicate("b", KEY, Revision::new(1, 1));
    tree.handle_prune("b", &[1, 2, 3]);
    tree.handle_ihave(0.0, "b", &[7]);
    tree.tick(10_000.0);
    assert!(!tree.is_lazy("b", KEY) && take_messages(&mut tree, "b").is_empty());
    assert!(tree.handle_graft("b", &[7]).is_empty());
}

/// An announced entry that does not arrive is requested from the first peer that announced it, then from the
/// next one. The peer that receives the request makes its link eager again.
#[test]
fn announced_entry_is_grafted_from_one_peer_after_another() {
    let config = PlumtreeConfig::default();
    let (mut requester, mut announcer) = (tree_with_three_links(), tree_with_three_links());
    announcer.record_new(0.0, KEY, Revision::new(1, 1), Some("c"));
    announcer.record_duplicate("a", KEY, Revision::new(1, 1));
    announcer.record_new(10.0, KEY, Revision::new(1, 2), Some("c"));
    announcer.queue_ihave("a", KEY, Revision::new(1, 2));
    assert_eq!(announcer.links_with_messages(10.0), ["a"]);
    let announced = take_messages(&mut announcer, "a").ihave;
    assert_eq!(announced.len(), 1);
    requester.handle_ihave(20.0, "b", &announced);
    requester.handle_ihave(25.0, "c", &announced);
    requester.tick(20.0 + config.graft_timeout - 1.0);
    assert!(take_messages(&mut requester, "b").is_empty(), "the entry may be in transit");
    assert_eq!(requester.next_deadline(), 20.0 + config.graft_timeout);
    requester.tick(20.0 + config.graft_timeout);
    let graft = take_messages(&mut requester, "b").graft;
    assert_eq!(graft, announced);
    requester.tick(20.0 + 2.0 * config.graft_timeout);
    assert_eq!(take_messages(&mut requester, "c").graft, announced, "the first peer did not send the entry");
    requester.tick(20.0 + 3.0 * config.graft_timeout);
    assert_eq!(requester.next_deadline(), f64::INFINITY, "no announcing peer is left");
    assert_eq!(announcer.handle_graft("a", &graft), [KEY.to_vec()]);
    assert!(!announcer.is_lazy("a", KEY));
    // An entry that the router has is neither requested nor announced to a peer that has announced it.
    requester.record_new(1_000.0, KEY, Revision::new(1, 2), Some("b"));
    requester.queue_ihave("a", KEY, Revision::new(1, 2));
    requester.handle_ihave(1_001.0, "a", &announced);
    requester.tick(5_000.0);
    assert!(take_messages(&mut requester, "a").is_empty());
}

#[test]
fn digests_round_trip_and_invalid_ones_are_rejected() {
    assert_eq!(decode_digests(&encode_digests(&[1, u32::MAX, 7])), Some(vec![1, u32::MAX, 7]));
    assert_eq!(decode_digests(&encode_digests(&[1])[..3]), None);
    assert_eq!(decode_digests(&vec![0; 4 * 5_000]), None);
}

/// The state of the broadcast trees is bounded, whatever is received.
#[test]
fn remembered_digests_are_bounded_and_expire() {
    let mut tree = tree_with_three_links();
    for n in 0..20_000u32 {
        tree.record_new(f64::from(n) / 1_000.0, &n.to_le_bytes(), Revision::new(1, 1), Some("a"));
        tree.handle_ihave(0.0, "b", &[n.wrapping_mul(0x9e37_79b9)]);
        tree.handle_prune("c", &[n]);
    }
    let retained = tree.sizes();
    assert!(retained.seen <= 8_192 && retained.missing <= 4_096 && retained.lazy <= 4_096, "{retained:?}");
    tree.record_new(1_000_000.0, KEY, Revision::new(1, 1), None);
    // A removed entry leaves no state, and an entry that no peer sends is no longer requested.
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

/// An older build can decode the handshake, and the handshake of an older build does not support lazy links.
#[test]
fn handshake_is_compatible_with_older_build() {
    let location = Location::parse("a/b").expect("a location");
    let handshake = LinkHandshake {
        location: location.clone(),
        hierarchy: HierarchyVersion { version: 3, digest: 4 },
        supports_lazy_links: true,
    };
    let bytes = handshake.encode();
    // An older build decodes the location and the hierarchy, and ignores the rest.
    let older_fields: (Location, (u64, u64)) = postcard::from_bytes(&bytes).expect("the older fields");
    assert_eq!(older_fields, (location.clone(), (3, 4)));
    assert_eq!(LinkHandshake::decode(&bytes), Ok(handshake));
    let older_bytes = postcard::to_stdvec(&older_fields).expect("encodable fields");
    assert_eq!(
        LinkHandshake::decode(&older_bytes),
        Ok(LinkHandshake {
            location,
            hierarchy: HierarchyVersion { version: 3, digest: 4 },
            supports_lazy_links: false
        })
    );
}

// ---- Fleets.

fn shape() -> TreeShape {
    TreeShape::new(&[2, 2, 3], 5)
}

/// Whether a router counts `all` routers alive, in one group more than changes are known.
fn has_counted(net: &Network, n: usize, all: u64, changes: usize) -> bool {
    let total = net.nodes[n].cluster.as_ref().and_then(|cluster| cluster.fleet_summary(net.now));
    total.is_some_and(|total| total.alive == all && total.groups.len() == 1 + changes)
}

/// Whether every running router has counted all running routers and that many changes.
fn all_have_counted(net: &Network, changes: usize) -> bool {
    let running: Vec<usize> = (0..net.nodes.len()).filter(|n| net.is_running(*n)).collect();
    running.iter().all(|n| has_counted(net, *n, running.len() as u64, changes))
}

/// Advances the time in a fleet whose journal positions change continually.
fn run_with_progress(net: &mut Network, end: Ms) {
    while net.now < end {
        let now = net.now;
        for n in (0..net.nodes.len()).filter(|n| net.is_running(*n)).collect::<Vec<_>>() {
            net.cluster(n)
                .set_versions(&ActiveVersions { journal_position: now as u64, ..ActiveVersions::default() });
        }
        net.run_until(now + 100.0);
    }
}

fn fleet(seed: u64, config: MembershipConfig, link_config: LinkConfig) -> Network {
    let mut net = Network::tree(seed, &shape(), config, link_config);
    assert!(net.wait_for(20_000.0, |net| all_have_counted(net, 0)).is_some(), "all routers are counted");
    let settled = net.now + 45_000.0;
    run_with_progress(&mut net, settled);
    net
}

/// Totals of the fleet: received entries that were new, received entries that were known, and bytes sent.
fn totals(net: &Network) -> (u64, u64, u64) {
    let counters: Vec<ClusterCounters> =
        net.nodes.iter().filter_map(|node| Some(node.cluster.as_ref()?.counters)).collect();
    let bytes = net.nodes.iter().map(|node| node.bytes_sent).sum();
    (counters.iter().map(|c| c.entries_new).sum(), counters.iter().map(|c| c.entries_stale).sum(), bytes)
}

/// Once links are pruned there are few duplicates, and at least a quarter fewer bytes are sent.
#[test]
fn pruned_links_carry_few_duplicates_and_lose_no_entry() {
    let measure = |lazy_links: bool| {
        let mut config = MembershipConfig::default();
        config.plumtree.lazy_links = lazy_links;
        let mut net = fleet(1, config, LinkConfig::default());
        let before = totals(&net);
        let end = net.now + 40_000.0;
        run_with_progress(&mut net, end);
        let after = totals(&net);
        // The summaries of all routers are complete.
        assert!(all_have_counted(&net, 0));
        (after.0 - before.0, after.1 - before.1, after.2 - before.2)
    };
    let (eager, pruned) = (measure(false), measure(true));
    assert!(eager.1 * 3 > eager.0, "{eager:?}");
    assert!(pruned.1 * 20 < pruned.0, "{pruned:?}");
    assert!(pruned.0 * 100 > eager.0 * 80, "new entries are not lost: {pruned:?} {eager:?}");
    assert!(pruned.2 * 4 < eager.2 * 3, "{pruned:?} {eager:?}");
}

/// Changes the settings of the last router, and returns the time until all routers have counted the change.
fn change_delay(net: &mut Network) -> Option<Ms> {
    let (at, last) = (net.now, net.nodes.len() - 1);
    net.cluster(last).set_versions(&ActiveVersions { settings_digest: 7, ..ActiveVersions::default() });
    let counted_at = net.wait_for(5_000.0, |net| all_have_counted(net, 1))?;
    Some(counted_at - at)
}

/// A change is counted in time although, right before it, routers that forward entries crash or stop
/// receiving without being detected, and although one router is slow by seconds.
#[test]
fn change_spreads_in_time_past_crashed_unreceptive_or_slow_routers() {
    for seed in [2, 3] {
        let mut net =
            fleet(seed, MembershipConfig::default(), LinkConfig { loss: 0.01, ..LinkConfig::default() });
        net.crash(22);
        net.crash(47);
        net.cluster(59).set_versions(&ActiveVersions { settings_digest: 7, ..ActiveVersions::default() });
        assert!(
            net.wait_for(5_000.0, |net| all_have_counted(net, 1)).is_some(),
            "seed {seed}: two routers crashed"
        );

        let mut net =
            fleet(seed, MembershipConfig::default(), LinkConfig { loss: 0.01, ..LinkConfig::default() });
        // Three routers receive nothing; all others count the change, although edges of the tree have to be
        // replaced.
        let not_receiving = [6, 22, 41];
        not_receiving.iter().for_each(|n| net.set_receiving(*n, false));
        net.cluster(59).set_versions(&ActiveVersions { settings_digest: 7, ..ActiveVersions::default() });
        let others = |net: &Network| {
            let all = net.nodes.len() as u64;
            (0..net.nodes.len()).filter(|n| !not_receiving.contains(n)).all(|n| has_counted(net, n, all, 1))
        };
        assert!(net.wait_for(5_000.0, others).is_some(), "seed {seed}: three routers receive nothing");

        let mut net =
            fleet(seed, MembershipConfig::default(), LinkConfig { loss: 0.01, ..LinkConfig::default() });
        net.set_extra_delay(22, 2_000.0);
        let settled = net.now + 20_000.0;
        run_with_progress(&mut net, settled);
        net.cluster(59).set_versions(&ActiveVersions { settings_digest: 7, ..ActiveVersions::default() });
        let others = |net: &Network| (0..60).filter(|n| *n != 22).all(|n| has_counted(net, n, 60, 1));
        assert!(net.wait_for(5_000.0, others).is_some(), "seed {seed}: one router is slow");
    }
}

/// The tree repairs itself: after routers that forward entries have crashed, links are pruned again and there
/// are few duplicates.
#[test]
fn links_are_pruned_again_after_router_on_path_crashed() {
    let mut net = fleet(4, MembershipConfig::default(), LinkConfig::default());
    net.crash(22);
    net.crash(0);
    let settled = net.now + 45_000.0;
    run_with_progress(&mut net, settled);
    let before = totals(&net);
    run_with_progress(&mut net, settled + 30_000.0);
    let after = totals(&net);
    assert!((after.1 - before.1) * 20 < after.0 - before.0, "{before:?} {after:?}");
    assert!(all_have_counted(&net, 0));
    assert!(change_delay(&mut net).is_some());
}

/// No digests are exchanged with routers of a build without lazy links, and all routers have the same totals
/// in time.
#[test]
fn links_with_older_build_stay_eager() {
    let mut net = Network::tree(5, &shape(), MembershipConfig::default(), LinkConfig::default());
    let mut config = MembershipConfig::default();
    config.plumtree.lazy_links = false;
    let older: BTreeSet<usize> = [0, 7, 8, 31, 59].into();
    older.iter().for_each(|n| net.start_with_config(*n, config));
    net.deliveries = Some(Vec::new());
    assert!(net.wait_for(20_000.0, |net| all_have_counted(net, 0)).is_some());
    let settled = net.now + 45_000.0;
    run_with_progress(&mut net, settled);
    let is_plumtree_message = |key: &[u8]| matches!(key, [0xfb..=0xfd]);
    let (mut plumtree_messages, mut entries_between_older) = (0, 0);
    for Delivery { from, to, key, .. } in
        net.deliveries.iter().flatten().filter(|delivery| is_plumtree_message(&delivery.key))
    {
        assert!(!older.contains(from) && !older.contains(to), "{key:?} from r{from} to r{to}");
        plumtree_messages += 1;
    }
    for Delivery { at, from, to, key, .. } in net.deliveries.iter().flatten() {
        let uses_lazy_links =
            matches!(EntryKey::decode(key), Some(EntryKey::VersionUpdate(_) | EntryKey::Summary(_)));
        entries_between_older += usize::from(
            uses_lazy_links && *at > settled - 20_000.0 && older.contains(from) && older.contains(to),
        );
    }
    assert!(plumtree_messages > 100, "{plumtree_messages}");
    assert!(entries_between_older > 10, "{entries_between_older}");
    assert!(change_delay(&mut net).is_some());
}
