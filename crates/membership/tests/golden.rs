//! The bytes that routers of a fleet exchange and the names that commands print: compared with fixtures that
//! an earlier build has written, read by this build and written again.

mod net;
mod support;

use std::path::{Path, PathBuf};

use linnethook_membership::actions::Participation;
use linnethook_membership::aggregation::location::Location;
use linnethook_membership::aggregation::query::{Query, QueryTarget};
use linnethook_membership::aggregation::scope::LinkHandshake;
use linnethook_membership::aggregation::summary::{
    Progress, Summary, SummaryReport, ValueRange, VersionGroup,
};
use linnethook_membership::config::MembershipConfig;
use linnethook_membership::gossip::entry::{CacheStatus, EntryKey, GossipEntry, Purge, Revision};
use linnethook_membership::gossip::entry_table::{PartitionDigests, PARTITIONS};
use linnethook_membership::gossip::plumtree;
use linnethook_membership::hybrid_clock::Timestamp;
use linnethook_membership::membership::MemberState;
use linnethook_membership::name_conflict::NameHolder;
use linnethook_membership::snapshot_transfer::SnapshotChunk;
use linnethook_membership::straggler::{ExclusionReason, StragglerState};
use linnethook_membership::versions::{
    ActiveVersions, HierarchyVersion, RouterStatus, VersionFloor, VersionUpdate,
};
use linnethook_membership::view::{ClusterCounters, ClusterView, LocationView, RouterView};
use net::{Delivery, LinkConfig, Network, TreeShape};
use serde::de::DeserializeOwned;
use serde::Serialize;
use support::{hex, unhex, Fixtures};

fn file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn location(text: &str) -> Location {
    Location::parse(text).expect("a location")
}

fn active_versions() -> ActiveVersions {
    ActiveVersions {
        build: "0.1.0".to_string(),
        settings_digest: 0x0102_0304_0506_0708,
        operator_digest: 0x1112_1314_1516_1718,
        hierarchy: HierarchyVersion { version: 300, digest: 0x2122_2324_2526_2728 },
        journal_position: 70_000,
        drains_applied: 3,
        purges_applied: 200,
    }
}

fn status(location: Option<Location>) -> RouterStatus {
    let links = vec![("r1".to_string(), 9), ("r2".to_string(), 1 << 40)];
    RouterStatus { versions: active_versions(), links, leaving: true, location }
}

fn summary() -> Summary {
    let group = VersionGroup { build_digest: 7, hierarchy_version: 300, hierarchy_digest: 0x2122_2324 };
    Summary {
        alive: 1,
        suspect: 2,
        dead: 3,
        leaving: 4,
        unreachable: 5,
        progress: Progress {
            journal_position: Some(ValueRange { min: 6, max: 700 }),
            drains_applied: 8,
            purges_applied: 9,
        },
        groups: [(group, 10), (VersionGroup { hierarchy_version: 299, ..group }, 11)].into(),
        other_routers: 12,
        stragglers: vec!["r1".to_string(), "r2".to_string()],
        straggler_count: 13,
    }
}

fn keys() -> Vec<(&'static str, EntryKey)> {
    vec![
        ("router", EntryKey::Router("r1".to_string())),
        ("name_conflict", EntryKey::NameConflict("r1".to_string())),
        ("cache", EntryKey::Cache("cache-1".to_string())),
        ("object", EntryKey::Object("00000000000000ff".to_string())),
        ("group", EntryKey::Group(300)),
        ("batch", EntryKey::Batch(500, 70_000)),
        ("floor", EntryKey::Floor),
        ("version_update", EntryKey::VersionUpdate("r1".to_string())),
        ("summary", EntryKey::Summary(location("north/z1/s2"))),
    ]
}

fn entries() -> Vec<(&'static str, GossipEntry)> {
    let revision = Revision::new(1 << 33, 300);
    let located = |text| status(Some(location(text)));
    vec![
        ("status_version_1", status(None).encode(revision, 1)),
        ("status_version_2", status(None).encode(revision, 2)),
        ("status_version_3", located("north/z1/s2").encode(revision, 2)),
        ("version_update", GossipEntry::new(revision, 1, &VersionUpdate::from_versions(&active_versions()))),
        (
            "cache",
            GossipEntry::new(revision, 1, &CacheStatus { ready: true, removed: false, started_at: 1_234.5 }),
        ),
        (
            "cache_removed",
            GossipEntry::new(revision, 1, &CacheStatus { ready: false, removed: true, started_at: 0.0 }),
        ),
        ("purge", GossipEntry::new(revision, 1, &Purge { issued_at: 1_234.5, journal_position: 70_000 })),
        ("name_conflict", GossipEntry::new(revision, 1, &NameHolder { incarnation: 1 << 40 })),
        ("floor", GossipEntry::new(revision, 1, &VersionFloor { version: 300, set_by: "r1".to_string() })),
        (
            "summary",
            GossipEntry::new(
                revision,
                1,
                &SummaryReport { reported_by: "r1".to_string(), summary: summary() },
            ),
        ),
        ("unknown_version", GossipEntry { revision, body_version: 900, body: vec![1, 2, 3] }),
    ]
}

fn router_view(state: MemberState, straggler: bool) -> RouterView {
    RouterView {
        name: "r1".to_string(),
        incarnation: 1 << 40,
        state,
        state_age: 1_234.5,
        versions: active_versions(),
        links: 3,
        straggler,
    }
}

fn router_views() -> Vec<RouterView> {
    let states = [MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left];
    states.into_iter().map(|state| router_view(state, state == MemberState::Dead)).collect()
}

fn location_view() -> LocationView {
    let summary = summary();
    LocationView {
        location: "north/z1".to_string(),
        reported_by: "r1".to_string(),
        fresh: true,
        age: 1_234.5,
        alive: summary.alive,
        suspect: summary.suspect,
        dead: summary.dead,
        leaving: summary.leaving,
        unreachable: summary.unreachable,
        journal_range: Some((6, 700)),
        drains_applied: 8,
        purges_applied: 9,
        oldest_hierarchy: Some(299),
        groups: summary.groups.into_iter().collect(),
        other_routers: summary.other_routers,
        stragglers: summary.stragglers,
        straggler_count: summary.straggler_count,
    }
}

fn cluster_counters() -> ClusterCounters {
    ClusterCounters {
        messages_sent: 1,
        bytes_sent: 2,
        messages_received: 3,
        entries_new: 4,
        entries_stale: 5,
        entries_rejected: 6,
        unreadable: 7,
        entries_repaired: 8,
        name_conflicts: 9,
        freezes: 10,
        straggler_entries_ignored: 11,
        out_of_scope: 12,
        summaries_published: 13,
    }
}

fn cluster_view(participation: Participation) -> ClusterView {
    ClusterView {
        me: router_view(MemberState::Alive, false),
        participation,
        others: router_views(),
        entries: 1,
        bytes: 2,
        pending: 3,
        floor: 4,
        counters: cluster_counters(),
        location: Some("north/z1/s2".to_string()),
        remote_peers: vec![("r2".to_string(), "north/z1/s3".to_string())],
        locations: vec![location_view()],
    }
}

fn straggler_states() -> [StragglerState; 5] {
    [
        StragglerState::UpToDate,
        StragglerState::Lagging(1_234.5),
        StragglerState::Excluded(ExclusionReason::Behind),
        StragglerState::Excluded(ExclusionReason::Isolated),
        StragglerState::Recovering(1_234.5),
    ]
}

/// Adds the bytes of a value as a fixture, after checking that decoding and encoding them again gives the
/// same bytes.
fn add<T: Serialize + DeserializeOwned>(fixtures: &mut Fixtures, name: &str, value: &T) {
    let bytes = postcard::to_stdvec(value).expect("an encodable value");
    let read: T = postcard::from_bytes(&bytes).expect("decodable bytes");
    assert_eq!(postcard::to_stdvec(&read).expect("an encodable value"), bytes, "{name}");
    fixtures.insert(name.to_string(), hex(&bytes));
}

#[test]
fn frames_and_stored_values_keep_their_bytes() {
    let mut fixtures = Fixtures::new();
    for (name, key) in keys() {
        fixtures.insert(format!("key.{name}"), hex(&key.encode()));
    }
    for (name, entry) in entries() {
        fixtures.insert(format!("entry.{name}"), hex(&entry.encode()));
    }
    for supports_lazy_links in [false, true] {
        let handshake = LinkHandshake {
            location: location("north/z1/s2"),
            hierarchy: HierarchyVersion { version: 300, digest: 1 << 40 },
            supports_lazy_links,
        };
        fixtures.insert(format!("greeting.lazy_links_{supports_lazy_links}"), hex(&handshake.encode()));
    }
    let targets = [
        ("router", QueryTarget::Router("r1".to_string())),
        ("site", QueryTarget::Site(location("north/z1/s2"))),
    ];
    for (name, target) in targets {
        add(&mut fixtures, &format!("query.{name}"), &Query { id: 1 << 40, hops_left: 64, target });
    }
    add(&mut fixtures, "answer", &(1u64 << 40, location("north/z1/s2"), router_views()));
    add(&mut fixtures, "timestamp", &Timestamp { ms: 1 << 40, counter: 300 });
    let digests: PartitionDigests = std::array::from_fn(|n| (n as u64 + 1) << (n * 60 / PARTITIONS));
    add(&mut fixtures, "digests", &digests);
    let chunk = SnapshotChunk { request_id: 300, index: 1, total: 70_000, bytes: vec![1, 2, 3] };
    add(&mut fixtures, "snapshot_chunk", &chunk);
    fixtures
        .insert("plumtree.digests".to_string(), hex(&plumtree::encode_digests(&[1, 0x0102_0304, u32::MAX])));
    add(&mut fixtures, "view.active", &cluster_view(Participation::Active));
    add(&mut fixtures, "view.refused", &cluster_view(Participation::Refused(300)));
    add(&mut fixtures, "view.yielded", &cluster_view(Participation::Yielded(300)));
    add(&mut fixtures, "straggler_states", &straggler_states());
    support::compare(&file("frames.txt"), &fixtures);
}

/// Fixtures of an earlier build are decoded, and encoded again to the same bytes.
#[test]
fn fixtures_are_read_and_written_again_to_the_same_bytes() {
    let fixtures = support::read(&file("frames.txt"));
    let bytes = |name: &str| unhex(&fixtures[name]);
    for (name, key) in keys() {
        let bytes = bytes(&format!("key.{name}"));
        assert_eq!(EntryKey::decode(&bytes), Some(key.clone()), "{name}");
    }
    for (name, entry) in entries() {
        let read = GossipEntry::decode(&bytes(&format!("entry.{name}"))).expect("an entry");
        assert_eq!((&read, read.encode()), (&entry, bytes(&format!("entry.{name}"))), "{name}");
    }
    let body = |name: &str| GossipEntry::decode(&bytes(&format!("entry.{name}"))).expect("an entry");
    assert_eq!(RouterStatus::decode(&body("status_version_2")), Ok(status(None)));
    let located = status(Some(location("north/z1/s2")));
    assert_eq!(RouterStatus::decode(&body("status_version_3")), Ok(located));
    let version_1 = RouterStatus::decode(&body("status_version_1")).expect("a status");
    assert_eq!(
        version_1.versions,
        ActiveVersions { drains_applied: 0, purges_applied: 0, ..active_versions() }
    );
    assert_eq!(body("version_update").decode_body(), Ok(VersionUpdate::from_versions(&active_versions())));
    assert_eq!(
        body("cache").decode_body(),
        Ok(CacheStatus { ready: true, removed: false, started_at: 1_234.5 })
    );
    assert_eq!(body("purge").decode_body(), Ok(Purge { issued_at: 1_234.5, journal_position: 70_000 }));
    assert_eq!(body("name_conflict").decode_body(), Ok(NameHolder { incarnation: 1 << 40 }));
    assert_eq!(body("floor").decode_body(), Ok(VersionFloor { version: 300, set_by: "r1".to_string() }));
    assert_eq!(
        body("summary").decode_body(),
        Ok(SummaryReport { reported_by: "r1".to_string(), summary: summary() })
    );
    for supports_lazy_links in [false, true] {
        let bytes = bytes(&format!("greeting.lazy_links_{supports_lazy_links}"));
        let read = LinkHandshake::decode(&bytes).expect("a handshake");
        assert_eq!((read.supports_lazy_links, read.encode()), (supports_lazy_links, bytes));
    }
    let (id, site, routers): (u64, Location, Vec<RouterView>) =
        postcard::from_bytes(&bytes("answer")).expect("an answer");
    assert_eq!((id, site, routers), (1 << 40, location("north/z1/s2"), router_views()));
    assert_eq!(plumtree::decode_digests(&bytes("plumtree.digests")), Some(vec![1, 0x0102_0304, u32::MAX]));
    assert_eq!(postcard::from_bytes(&bytes("view.active")), Ok(cluster_view(Participation::Active)));
    assert_eq!(postcard::from_bytes(&bytes("straggler_states")), Ok(straggler_states()));
}

#[test]
fn printed_json_keeps_its_names() {
    let mut fixtures = Fixtures::new();
    let mut add = |name: &str, text: String| fixtures.insert(name.to_string(), text);
    add("view.active", support::json::to_string(&cluster_view(Participation::Active)));
    add("view.refused", support::json::to_string(&cluster_view(Participation::Refused(300))));
    add("view.yielded", support::json::to_string(&cluster_view(Participation::Yielded(300))));
    add("straggler_states", support::json::to_string(&straggler_states()));
    add("timestamp", support::json::to_string(&Timestamp { ms: 1 << 40, counter: 300 }));
    let names = [MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left]
        .map(MemberState::name);
    add("member_state_names", names.join(" "));
    add(
        "exclusion_names",
        [ExclusionReason::Behind, ExclusionReason::Isolated].map(ExclusionReason::name).join(" "),
    );
    support::compare(&file("json.txt"), &fixtures);
}

/// The kind of a message, by its key.
fn kind(key: &[u8]) -> String {
    match (key, EntryKey::decode(key)) {
        ([], _) => "digests".to_string(),
        ([tag @ 0xf0..=0xff], _) => format!("tag_{tag:02x}"),
        (_, Some(key)) => {
            let name = keys()
                .into_iter()
                .find(|(_, known)| std::mem::discriminant(known) == std::mem::discriminant(&key));
            name.expect("a kind").0.to_string()
        }
        _ => "unknown".to_string(),
    }
}

/// Compares all messages of a fleet with locations, with their bytes and times, with those of an earlier
/// build, under loss, crashes, restarts, frozen processes, two processes of one name, queries, a floor,
/// drains, purges and batches.
#[test]
fn between_locations_messages_keep_bytes_and_times() {
    let shape = TreeShape::new(&[2, 2], 4);
    let mut net = Network::tree(
        7,
        &shape,
        MembershipConfig::default(),
        LinkConfig { loss: 0.02, ..LinkConfig::default() },
    );
    net.deliveries = Some(Vec::new());
    let all = shape.all();
    for n in 0..400u64 {
        let (now, at) = (net.now, n as usize * 5 % all);
        for router in (0..all).filter(|router| net.is_running(*router)).collect::<Vec<_>>() {
            let version = (n + router as u64) / 60;
            net.cluster(router).set_versions(&ActiveVersions {
                journal_position: n / 3,
                hierarchy: HierarchyVersion { version, digest: version << 40 },
                ..ActiveVersions::default()
            });
        }
        let is_running = net.is_running(at);
        match n % 50 {
            10 if is_running => net.crash(at),
            20 if !net.is_running((n as usize - 10) * 5 % all) => net.start((n as usize - 10) * 5 % all),
            25 if is_running => net.freeze(at),
            35 if net.nodes[(n as usize - 10) * 5 % all].is_frozen => net.resume((n as usize - 10) * 5 % all),
            5 if is_running => {
                _ = net.cluster(at).start_query(now, QueryTarget::Router(format!("r{}", (at + 7) % all)))
            }
            15 if is_running => {
                _ = net
                    .cluster(at)
                    .start_query(now, QueryTarget::Site(shape.location((at + 1) % shape.sites())))
            }
            30 if is_running => net.cluster(at).set_floor(now, n / 60),
            40 if is_running => {
                let (name, later) = (net.nodes[at].name.clone(), net.nodes[at].incarnation + 5);
                let entry = RouterStatus::default().encode(Revision::new(later, 1), 2).encode();
                let from = net.nodes[net.neighbors(at)[0]].name.clone();
                net.cluster(at).receive(now, &from, &EntryKey::Router(name).encode(), &entry);
            }
            45 if is_running => _ = net.cluster(at).publish_batch(now, at as u16, n, n, vec![n as u8; 9]),
            47 if is_running => {
                let purge = Purge { issued_at: now, journal_position: n };
                net.cluster(at).publish_purge(now, &EntryKey::Group(at as u32), purge);
            }
            _ if is_running && n % 3 == 0 => {
                let status = CacheStatus { ready: n % 2 == 0, removed: n % 7 == 0, started_at: 0.0 };
                net.cluster(at).publish_cache(now, &format!("c{}", n % 5), status, n);
            }
            _ => {}
        }
        for router in (0..all).filter(|router| net.is_running(*router)).collect::<Vec<_>>() {
            let floor = net.cluster(router).floor(&[]);
            net.cluster(router).enforce_floor(now, floor, 2_000.0);
        }
        net.run_until(now + 70.0);
    }
    let deliveries = net.deliveries.take().expect("recorded deliveries");
    let mut fixtures = Fixtures::new();
    let mut digest = xxhash_rust::xxh3::Xxh3::new();
    for Delivery { at, from, to, key, value } in &deliveries {
        digest.update(format!("{at:.3} {from} {to} {key:?} {value:?}").as_bytes());
        let name = format!("first.{}", kind(key));
        let message = || format!("{at:.3} {from} {to} {} {}", hex(key), hex(value));
        fixtures.entry(name).or_insert_with(message);
    }
    let mut views = xxhash_rust::xxh3::Xxh3::new();
    for router in 0..all {
        let now = net.now;
        if net.is_running(router) {
            let cluster = net.cluster(router);
            views.update(support::json::to_string(&cluster.view(now)).as_bytes());
        }
        let node = &net.nodes[router];
        views.update(format!("{} {} {}", node.events.len(), node.actions.len(), node.bytes_sent).as_bytes());
    }
    fixtures.insert("frames".to_string(), deliveries.len().to_string());
    fixtures.insert("digest".to_string(), format!("{:016x}", digest.digest()));
    fixtures.insert("views".to_string(), format!("{:016x}", views.digest()));
    let kinds = ["digests", "router", "name_conflict", "cache", "group", "batch", "floor"];
    let kinds = kinds.into_iter().chain(["version_update", "summary", "tag_f8", "tag_f9", "tag_fa"]);
    for kind in kinds.chain(["tag_fb", "tag_fc", "tag_fd", "tag_ff"]) {
        assert!(fixtures.contains_key(&format!("first.{kind}")), "no message of kind {kind}");
    }
    support::compare(&file("exchange.txt"), &fixtures);
}
