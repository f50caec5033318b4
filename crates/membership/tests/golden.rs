//! The bytes that routers of a fleet exchange and the names that commands print: compared with fixtures that an
//! earlier build has written, read by this build and written again.

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
use net::{Net, Shape, Wire};
use serde::de::DeserializeOwned;
use serde::Serialize;
use support::{hex, unhex, Fixtures};

fn file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn place(text: &str) -> Location {
    Location::parse(text).expect("a place")
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

fn statement(place: Option<Location>) -> RouterStatus {
    let links = vec![("r1".to_string(), 9), ("r2".to_string(), 1 << 40)];
    RouterStatus { versions: active_versions(), links, leaving: true, location: place }
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
        ("summary", EntryKey::Summary(place("north/z1/s2"))),
    ]
}

fn entries() -> Vec<(&'static str, GossipEntry)> {
    let order = Revision::new(1 << 33, 300);
    let at = |text| Some(place(text));
    vec![
        ("status_version_1", statement(None).encode(order, 1)),
        ("status_version_2", statement(None).encode(order, 2)),
        ("status_version_3", statement(at("north/z1/s2")).encode(order, 2)),
        ("version_update", GossipEntry::new(order, 1, &VersionUpdate::from_versions(&active_versions()))),
        (
            "cache",
            GossipEntry::new(order, 1, &CacheStatus { ready: true, removed: false, started_at: 1_234.5 }),
        ),
        (
            "cache_removed",
            GossipEntry::new(order, 1, &CacheStatus { ready: false, removed: true, started_at: 0.0 }),
        ),
        ("purge", GossipEntry::new(order, 1, &Purge { issued_at: 1_234.5, journal_position: 70_000 })),
        ("name_conflict", GossipEntry::new(order, 1, &NameHolder { incarnation: 1 << 40 })),
        ("floor", GossipEntry::new(order, 1, &VersionFloor { version: 300, set_by: "r1".to_string() })),
        (
            "summary",
            GossipEntry::new(order, 1, &SummaryReport { reported_by: "r1".to_string(), summary: summary() }),
        ),
        ("unknown_version", GossipEntry { revision: order, body_version: 900, body: vec![1, 2, 3] }),
    ]
}

fn line(standing: MemberState, straggler: bool) -> RouterView {
    let name = "r1".to_string();
    RouterView {
        name,
        incarnation: 1 << 40,
        state: standing,
        state_age: 1_234.5,
        versions: active_versions(),
        links: 3,
        straggler,
    }
}

fn lines() -> Vec<RouterView> {
    let all = [MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left];
    all.into_iter().map(|standing| line(standing, standing == MemberState::Dead)).collect()
}

fn place_line() -> LocationView {
    let sum = summary();
    LocationView {
        location: "north/z1".to_string(),
        reported_by: "r1".to_string(),
        fresh: true,
        age: 1_234.5,
        alive: sum.alive,
        suspect: sum.suspect,
        dead: sum.dead,
        leaving: sum.leaving,
        unreachable: sum.unreachable,
        journal_range: Some((6, 700)),
        drains_applied: 8,
        purges_applied: 9,
        oldest_hierarchy: Some(299),
        groups: sum.groups.into_iter().collect(),
        other_routers: sum.other_routers,
        stragglers: sum.stragglers,
        straggler_count: sum.straggler_count,
    }
}

fn counts() -> ClusterCounters {
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

fn shown(part: Participation) -> ClusterView {
    ClusterView {
        me: line(MemberState::Alive, false),
        participation: part,
        others: lines(),
        entries: 1,
        bytes: 2,
        pending: 3,
        floor: 4,
        counters: counts(),
        location: Some("north/z1/s2".to_string()),
        remote_peers: vec![("r2".to_string(), "north/z1/s3".to_string())],
        locations: vec![place_line()],
    }
}

fn states() -> [StragglerState; 5] {
    let (behind, blind) = (
        StragglerState::Excluded(ExclusionReason::Behind),
        StragglerState::Excluded(ExclusionReason::Isolated),
    );
    [
        StragglerState::UpToDate,
        StragglerState::Lagging(1_234.5),
        behind,
        blind,
        StragglerState::Recovering(1_234.5),
    ]
}

/// Adds the bytes of a value, after it was read from the fixture's bytes and written again to the same.
fn add<T: Serialize + DeserializeOwned>(fixtures: &mut Fixtures, name: &str, value: &T) {
    let bytes = postcard::to_stdvec(value).expect("a value that postcard has");
    let read: T = postcard::from_bytes(&bytes).expect("its own bytes");
    assert_eq!(postcard::to_stdvec(&read).expect("a value that postcard has"), bytes, "{name}");
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
    for prunes in [false, true] {
        let greeting = LinkHandshake {
            location: place("north/z1/s2"),
            hierarchy: HierarchyVersion { version: 300, digest: 1 << 40 },
            supports_lazy_links: prunes,
        };
        fixtures.insert(format!("greeting.lazy_links_{prunes}"), hex(&greeting.encode()));
    }
    let asked = [
        ("router", QueryTarget::Router("r1".to_string())),
        ("site", QueryTarget::Site(place("north/z1/s2"))),
    ];
    for (name, asked) in asked {
        add(&mut fixtures, &format!("query.{name}"), &Query { id: 1 << 40, hops_left: 64, target: asked });
    }
    add(&mut fixtures, "answer", &(1u64 << 40, place("north/z1/s2"), lines()));
    add(&mut fixtures, "timestamp", &Timestamp { ms: 1 << 40, counter: 300 });
    let digests: PartitionDigests = std::array::from_fn(|part| (part as u64 + 1) << (part * 60 / PARTITIONS));
    add(&mut fixtures, "digests", &digests);
    let chunk = SnapshotChunk { request_id: 300, index: 1, total: 70_000, bytes: vec![1, 2, 3] };
    add(&mut fixtures, "snapshot_chunk", &chunk);
    fixtures
        .insert("plumtree.digests".to_string(), hex(&plumtree::encode_digests(&[1, 0x0102_0304, u32::MAX])));
    add(&mut fixtures, "view.active", &shown(Participation::Active));
    add(&mut fixtures, "view.refused", &shown(Participation::Refused(300)));
    add(&mut fixtures, "view.yielded", &shown(Participation::Yielded(300)));
    add(&mut fixtures, "straggler_states", &states());
    support::compare(&file("frames.txt"), &fixtures);
}

/// Fixtures of an earlier build are read, and written again to the same bytes.
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
    assert_eq!(RouterStatus::decode(&body("status_version_2")), Ok(statement(None)));
    let placed = statement(Some(place("north/z1/s2")));
    assert_eq!(RouterStatus::decode(&body("status_version_3")), Ok(placed));
    let first = RouterStatus::decode(&body("status_version_1")).expect("a statement");
    assert_eq!(first.versions, ActiveVersions { drains_applied: 0, purges_applied: 0, ..active_versions() });
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
    for prunes in [false, true] {
        let bytes = bytes(&format!("greeting.lazy_links_{prunes}"));
        let read = LinkHandshake::decode(&bytes).expect("a greeting");
        assert_eq!((read.supports_lazy_links, read.encode()), (prunes, bytes));
    }
    let (id, site, routers): (u64, Location, Vec<RouterView>) =
        postcard::from_bytes(&bytes("answer")).expect("an answer");
    assert_eq!((id, site, routers), (1 << 40, place("north/z1/s2"), lines()));
    assert_eq!(plumtree::decode_digests(&bytes("plumtree.digests")), Some(vec![1, 0x0102_0304, u32::MAX]));
    assert_eq!(postcard::from_bytes(&bytes("view.active")), Ok(shown(Participation::Active)));
    assert_eq!(postcard::from_bytes(&bytes("straggler_states")), Ok(states()));
}

#[test]
fn printed_json_keeps_its_names() {
    let mut fixtures = Fixtures::new();
    let mut add = |name: &str, text: String| fixtures.insert(name.to_string(), text);
    add("view.active", support::json::to_string(&shown(Participation::Active)));
    add("view.refused", support::json::to_string(&shown(Participation::Refused(300))));
    add("view.yielded", support::json::to_string(&shown(Participation::Yielded(300))));
    add("straggler_states", support::json::to_string(&states()));
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

/// The kind of a frame, by its key.
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

/// All messages between locations, with their bytes and times, under loss, partitions, crashes, restarts, a frozen
/// process, two processes of one name, queries, a floor, drains, purges and batches.
#[test]
fn between_locations_every_byte_is_sent_at_its_time() {
    let shape = Shape::new(&[2, 2], 4);
    let mut net = Net::tree(7, &shape, MembershipConfig::default(), Wire { loss: 0.02, ..Wire::default() });
    net.record = Some(Vec::new());
    let all = shape.all();
    for n in 0..400u64 {
        let (now, at) = (net.now, n as usize * 5 % all);
        for router in (0..all).filter(|router| net.runs(*router)).collect::<Vec<_>>() {
            let version = (n + router as u64) / 60;
            net.core(router).set_versions(&ActiveVersions {
                journal_position: n / 3,
                hierarchy: HierarchyVersion { version, digest: version << 40 },
                ..ActiveVersions::default()
            });
        }
        let runs = net.runs(at);
        match n % 50 {
            10 if runs => net.crash(at),
            20 if !net.runs((n as usize - 10) * 5 % all) => net.start((n as usize - 10) * 5 % all),
            25 if runs => net.freeze(at),
            35 if net.nodes[(n as usize - 10) * 5 % all].frozen => net.wake((n as usize - 10) * 5 % all),
            5 if runs => {
                _ = net.core(at).start_query(now, QueryTarget::Router(format!("r{}", (at + 7) % all)))
            }
            15 if runs => {
                _ = net.core(at).start_query(now, QueryTarget::Site(shape.place((at + 1) % shape.sites())))
            }
            30 if runs => net.core(at).set_floor(now, n / 60),
            40 if runs => {
                let (name, start) = (net.nodes[at].name.clone(), net.nodes[at].start + 5);
                let entry = RouterStatus::default().encode(Revision::new(start, 1), 2).encode();
                let from = net.nodes[net.linked(at)[0]].name.clone();
                net.core(at).receive(now, &from, &EntryKey::Router(name).encode(), &entry);
            }
            45 if runs => _ = net.core(at).publish_batch(now, at as u16, n, n, vec![n as u8; 9]),
            47 if runs => {
                let purge = Purge { issued_at: now, journal_position: n };
                net.core(at).publish_purge(now, &EntryKey::Group(at as u32), purge);
            }
            _ if runs && n % 3 == 0 => {
                let line = CacheStatus { ready: n % 2 == 0, removed: n % 7 == 0, started_at: 0.0 };
                net.core(at).publish_cache(now, &format!("c{}", n % 5), line, n);
            }
            _ => {}
        }
        for router in (0..all).filter(|router| net.runs(*router)).collect::<Vec<_>>() {
            let floor = net.core(router).floor(&[]);
            net.core(router).enforce_floor(now, floor, 2_000.0);
        }
        net.run(now + 70.0);
    }
    let record = net.record.take().expect("kept");
    let mut fixtures = Fixtures::new();
    let mut digest = xxhash_rust::xxh3::Xxh3::new();
    for (at, from, to, (key, value)) in &record {
        digest.update(format!("{at:.3} {from} {to} {key:?} {value:?}").as_bytes());
        let name = format!("first.{}", kind(key));
        let frame = || format!("{at:.3} {from} {to} {} {}", hex(key), hex(value));
        fixtures.entry(name).or_insert_with(frame);
    }
    let mut views = xxhash_rust::xxh3::Xxh3::new();
    for router in 0..all {
        let now = net.now;
        if net.runs(router) {
            let core = net.core(router);
            views.update(support::json::to_string(&core.view(now)).as_bytes());
        }
        let node = &net.nodes[router];
        views.update(format!("{} {} {}", node.notes.len(), node.done.len(), node.bytes).as_bytes());
    }
    fixtures.insert("frames".to_string(), record.len().to_string());
    fixtures.insert("digest".to_string(), format!("{:016x}", digest.digest()));
    fixtures.insert("views".to_string(), format!("{:016x}", views.digest()));
    let kinds = ["digests", "router", "name_conflict", "cache", "group", "batch", "floor"];
    let kinds = kinds.into_iter().chain(["version_update", "summary", "tag_f8", "tag_f9", "tag_fa"]);
    for kind in kinds.chain(["tag_fb", "tag_fc", "tag_fd", "tag_ff"]) {
        assert!(fixtures.contains_key(&format!("first.{kind}")), "no frame of {kind}");
    }
    support::compare(&file("exchange.txt"), &fixtures);
}
