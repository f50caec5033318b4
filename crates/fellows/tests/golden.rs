//! The bytes that routers of a fleet exchange and the names that commands print: compared with fixtures that an
//! earlier build has written, read by this build and written again.

mod net;
mod support;

use std::path::{Path, PathBuf};

use linnethook_fellows::fact::{Acts, CacheLine, Entry, Floor, Holder, Key, Purge, Statement, Step};
use linnethook_fellows::fellows::{Counts, Line, Part, PlaceLine, Rules, Shown};
use linnethook_fellows::fetch::Piece;
use linnethook_fellows::hlc::Stamp;
use linnethook_fellows::members::Standing;
use linnethook_fellows::place::Place;
use linnethook_fellows::plumtree;
use linnethook_fellows::query::{Asked, Query};
use linnethook_fellows::scope::Greeting;
use linnethook_fellows::straggler::{State, Why};
use linnethook_fellows::summary::{Group, Progress, Span, Summary, Told};
use linnethook_fellows::table::{Digests, PARTS};
use net::{Net, Shape, Wire};
use serde::de::DeserializeOwned;
use serde::Serialize;
use support::{hex, unhex, Fixtures};

fn file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn place(text: &str) -> Place {
    Place::read(text).expect("a place")
}

fn acts() -> Acts {
    Acts {
        build: "0.1.0".to_string(),
        settings: 0x0102_0304_0506_0708,
        operator: 0x1112_1314_1516_1718,
        shape: (300, 0x2122_2324_2526_2728),
        journal: 70_000,
        drains: 3,
        purges: 200,
    }
}

fn statement(place: Option<Place>) -> Statement {
    let links = vec![("r1".to_string(), 9), ("r2".to_string(), 1 << 40)];
    Statement { acts: acts(), links, leaving: true, place }
}

fn summary() -> Summary {
    let group = Group { make: 7, version: 300, shape: 0x2122_2324 };
    Summary {
        alive: 1,
        suspected: 2,
        gone: 3,
        leaving: 4,
        unheard: 5,
        progress: Progress { journal: Some(Span { least: 6, most: 700 }), drains: 8, purges: 9 },
        groups: [(group, 10), (Group { version: 299, ..group }, 11)].into(),
        others: 12,
        stragglers: vec!["r1".to_string(), "r2".to_string()],
        behind: 13,
    }
}

fn keys() -> Vec<(&'static str, Key)> {
    vec![
        ("router", Key::Router("r1".to_string())),
        ("name_conflict", Key::Twins("r1".to_string())),
        ("cache", Key::Cache("cache-1".to_string())),
        ("object", Key::Object("00000000000000ff".to_string())),
        ("group", Key::Group(300)),
        ("batch", Key::Batch(500, 70_000)),
        ("floor", Key::Floor),
        ("version_update", Key::Step("r1".to_string())),
        ("summary", Key::Sum(place("north/z1/s2"))),
    ]
}

fn entries() -> Vec<(&'static str, Entry)> {
    let order = (1 << 33, 300);
    let at = |text| Some(place(text));
    vec![
        ("status_version_1", statement(None).entry(order, 1)),
        ("status_version_2", statement(None).entry(order, 2)),
        ("status_version_3", statement(at("north/z1/s2")).entry(order, 2)),
        ("version_update", Entry::new(order, 1, &Step::of(&acts()))),
        ("cache", Entry::new(order, 1, &CacheLine { ready: true, gone: false, started: 1_234.5 })),
        ("cache_removed", Entry::new(order, 1, &CacheLine { ready: false, gone: true, started: 0.0 })),
        ("purge", Entry::new(order, 1, &Purge { stamp: 1_234.5, number: 70_000 })),
        ("name_conflict", Entry::new(order, 1, &Holder { start: 1 << 40 })),
        ("floor", Entry::new(order, 1, &Floor { version: 300, by: "r1".to_string() })),
        ("summary", Entry::new(order, 1, &Told { by: "r1".to_string(), summary: summary() })),
        ("unknown_version", Entry { order, version: 900, body: vec![1, 2, 3] }),
    ]
}

fn line(standing: Standing, straggler: bool) -> Line {
    let name = "r1".to_string();
    Line { name, start: 1 << 40, standing, since: 1_234.5, acts: acts(), links: 3, straggler }
}

fn lines() -> Vec<Line> {
    let all = [Standing::Alive, Standing::Suspected, Standing::Gone, Standing::Left];
    all.into_iter().map(|standing| line(standing, standing == Standing::Gone)).collect()
}

fn place_line() -> PlaceLine {
    let sum = summary();
    PlaceLine {
        place: "north/z1".to_string(),
        by: "r1".to_string(),
        fresh: true,
        heard: 1_234.5,
        alive: sum.alive,
        suspected: sum.suspected,
        gone: sum.gone,
        leaving: sum.leaving,
        unheard: sum.unheard,
        journal: Some((6, 700)),
        drains: 8,
        purges: 9,
        oldest: Some(299),
        groups: sum.groups.into_iter().collect(),
        others: sum.others,
        stragglers: sum.stragglers,
        behind: sum.behind,
    }
}

fn counts() -> Counts {
    Counts {
        said: 1,
        said_bytes: 2,
        heard: 3,
        new: 4,
        old: 5,
        full: 6,
        unreadable: 7,
        repaired: 8,
        twins: 9,
        frozen: 10,
        shut_out: 11,
        out_of_scope: 12,
        summaries: 13,
    }
}

fn shown(part: Part) -> Shown {
    Shown {
        me: line(Standing::Alive, false),
        part,
        others: lines(),
        facts: 1,
        bytes: 2,
        pending: 3,
        floor: 4,
        counts: counts(),
        place: Some("north/z1/s2".to_string()),
        across: vec![("r2".to_string(), "north/z1/s3".to_string())],
        places: vec![place_line()],
    }
}

fn states() -> [State; 5] {
    let (behind, blind) = (State::Out(Why::Behind), State::Out(Why::Blind));
    [State::Well, State::Late(1_234.5), behind, blind, State::Returning(1_234.5)]
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
        let greeting = Greeting { place: place("north/z1/s2"), shape: (300, 1 << 40), prunes };
        fixtures.insert(format!("greeting.lazy_links_{prunes}"), hex(&greeting.encode()));
    }
    let asked = [("router", Asked::Router("r1".to_string())), ("site", Asked::Site(place("north/z1/s2")))];
    for (name, asked) in asked {
        add(&mut fixtures, &format!("query.{name}"), &Query { id: 1 << 40, hops: 64, asked });
    }
    add(&mut fixtures, "answer", &(1u64 << 40, place("north/z1/s2"), lines()));
    add(&mut fixtures, "timestamp", &Stamp { ms: 1 << 40, count: 300 });
    let digests: Digests = std::array::from_fn(|part| (part as u64 + 1) << (part * 60 / PARTS));
    add(&mut fixtures, "digests", &digests);
    let piece = Piece { asking: 300, number: 1, of: 70_000, bytes: vec![1, 2, 3] };
    add(&mut fixtures, "snapshot_chunk", &piece);
    fixtures.insert("plumtree.digests".to_string(), hex(&plumtree::encode(&[1, 0x0102_0304, u32::MAX])));
    add(&mut fixtures, "view.active", &shown(Part::Takes));
    add(&mut fixtures, "view.refused", &shown(Part::Refused(300)));
    add(&mut fixtures, "view.yielded", &shown(Part::Yielded(300)));
    add(&mut fixtures, "straggler_states", &states());
    support::compare(&file("frames.txt"), &fixtures);
}

/// What an earlier build has written is read, and written again to the same bytes.
#[test]
fn fixtures_are_read_and_written_again_to_the_same_bytes() {
    let fixtures = support::read(&file("frames.txt"));
    let bytes = |name: &str| unhex(&fixtures[name]);
    for (name, key) in keys() {
        let bytes = bytes(&format!("key.{name}"));
        assert_eq!(Key::decode(&bytes), Some(key.clone()), "{name}");
    }
    for (name, entry) in entries() {
        let read = Entry::decode(&bytes(&format!("entry.{name}"))).expect("an entry");
        assert_eq!((&read, read.encode()), (&entry, bytes(&format!("entry.{name}"))), "{name}");
    }
    let body = |name: &str| Entry::decode(&bytes(&format!("entry.{name}"))).expect("an entry");
    assert_eq!(Statement::read(&body("status_version_2")), Some(statement(None)));
    let placed = statement(Some(place("north/z1/s2")));
    assert_eq!(Statement::read(&body("status_version_3")), Some(placed));
    let first = Statement::read(&body("status_version_1")).expect("a statement");
    assert_eq!(first.acts, Acts { drains: 0, purges: 0, ..acts() });
    assert_eq!(body("version_update").read(), Some(Step::of(&acts())));
    assert_eq!(body("cache").read(), Some(CacheLine { ready: true, gone: false, started: 1_234.5 }));
    assert_eq!(body("purge").read(), Some(Purge { stamp: 1_234.5, number: 70_000 }));
    assert_eq!(body("name_conflict").read(), Some(Holder { start: 1 << 40 }));
    assert_eq!(body("floor").read(), Some(Floor { version: 300, by: "r1".to_string() }));
    assert_eq!(body("summary").read(), Some(Told { by: "r1".to_string(), summary: summary() }));
    for prunes in [false, true] {
        let bytes = bytes(&format!("greeting.lazy_links_{prunes}"));
        let read = Greeting::decode(&bytes).expect("a greeting");
        assert_eq!((read.prunes, read.encode()), (prunes, bytes));
    }
    let (id, site, routers): (u64, Place, Vec<Line>) =
        postcard::from_bytes(&bytes("answer")).expect("an answer");
    assert_eq!((id, site, routers), (1 << 40, place("north/z1/s2"), lines()));
    assert_eq!(plumtree::decode(&bytes("plumtree.digests")), Some(vec![1, 0x0102_0304, u32::MAX]));
    assert_eq!(postcard::from_bytes(&bytes("view.active")), Ok(shown(Part::Takes)));
    assert_eq!(postcard::from_bytes(&bytes("straggler_states")), Ok(states()));
}

#[test]
fn printed_json_keeps_its_names() {
    let mut fixtures = Fixtures::new();
    let mut add = |name: &str, text: String| fixtures.insert(name.to_string(), text);
    add("view.active", support::json::to_string(&shown(Part::Takes)));
    add("view.refused", support::json::to_string(&shown(Part::Refused(300))));
    add("view.yielded", support::json::to_string(&shown(Part::Yielded(300))));
    add("straggler_states", support::json::to_string(&states()));
    add("timestamp", support::json::to_string(&Stamp { ms: 1 << 40, count: 300 }));
    let names = [Standing::Alive, Standing::Suspected, Standing::Gone, Standing::Left].map(Standing::name);
    add("member_state_names", names.join(" "));
    add("exclusion_names", [Why::Behind, Why::Blind].map(Why::name).join(" "));
    support::compare(&file("json.txt"), &fixtures);
}

/// What a frame is, by its key.
fn kind(key: &[u8]) -> String {
    match (key, Key::decode(key)) {
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

/// All that crosses links between places, byte by byte and at its time, with loss, cuts, crashes, restarts, a frozen
/// process, two processes of one name, queries, a floor, drains, purges and batches.
#[test]
fn between_places_every_byte_is_sent_at_its_time() {
    let shape = Shape::new(&[2, 2], 4);
    let mut net = Net::tree(7, &shape, Rules::default(), Wire { loss: 0.02, ..Wire::default() });
    net.record = Some(Vec::new());
    let all = shape.all();
    for n in 0..400u64 {
        let (now, at) = (net.now, n as usize * 5 % all);
        for router in (0..all).filter(|router| net.runs(*router)).collect::<Vec<_>>() {
            let version = (n + router as u64) / 60;
            net.core(router).acts(&Acts {
                journal: n / 3,
                shape: (version, version << 40),
                ..Acts::default()
            });
        }
        let runs = net.runs(at);
        match n % 50 {
            10 if runs => net.crash(at),
            20 if !net.runs((n as usize - 10) * 5 % all) => net.start((n as usize - 10) * 5 % all),
            25 if runs => net.freeze(at),
            35 if net.nodes[(n as usize - 10) * 5 % all].frozen => net.wake((n as usize - 10) * 5 % all),
            5 if runs => _ = net.core(at).ask(now, Asked::Router(format!("r{}", (at + 7) % all))),
            15 if runs => _ = net.core(at).ask(now, Asked::Site(shape.place((at + 1) % shape.sites()))),
            30 if runs => net.core(at).set_floor(now, n / 60),
            40 if runs => {
                let (name, start) = (net.nodes[at].name.clone(), net.nodes[at].start + 5);
                let entry = Statement::default().entry((start, 1), 2).encode();
                let from = net.nodes[net.linked(at)[0]].name.clone();
                net.core(at).heard(now, &from, &Key::Router(name).encode(), &entry);
            }
            45 if runs => _ = net.core(at).tell_batch(now, at as u16, n, n, vec![n as u8; 9]),
            47 if runs => {
                let purge = Purge { stamp: now, number: n };
                net.core(at).tell_purge(now, &Key::Group(at as u32), purge);
            }
            _ if runs && n % 3 == 0 => {
                let line = CacheLine { ready: n % 2 == 0, gone: n % 7 == 0, started: 0.0 };
                net.core(at).tell_cache(now, &format!("c{}", n % 5), line, n);
            }
            _ => {}
        }
        for router in (0..all).filter(|router| net.runs(*router)).collect::<Vec<_>>() {
            let floor = net.core(router).floor(&[]);
            net.core(router).hold(now, floor, 2_000.0);
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
            views.update(support::json::to_string(&core.shown(now)).as_bytes());
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
