//! Fixes the encodings and texts that other processes, files and people read: JSON and postcard of every
//! serialised type, error texts, printed names and the digest of a shape. The fixtures under `tests/golden/`
//! are the reference: `LINNETHOOK_WRITE_GOLDEN=1` writes one that is missing, and never replaces one.

use std::fmt::{Debug, Write as _};
use std::path::Path;

use linnethook_hierarchy::batch::{Author, Batch, Change, Key, Refusal, Serial};
use linnethook_hierarchy::hierarchy::{BudgetView, MoveView, View};
use linnethook_hierarchy::named::{
    check, BadShape, BatchSpec, ChangeSpec, Names, NodeSpec, PlanSpec, SourceSpec,
};
use linnethook_hierarchy::passed::{Passed, TurnedAway, Unreadable, HOPS};
use linnethook_hierarchy::plan::{Flood, NoPlan};
use linnethook_hierarchy::shield::{Counts, Over};
use linnethook_hierarchy::stages::{Harm, Stage};
use linnethook_hierarchy::{
    Heard, Hierarchy, History, Node, NodeId, Role, Rules, Shape, Snapshot, Source, Unusable,
};
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Compares text with a fixture, line by line, so that a difference names its case.
fn assert_golden(file: &str, actual: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file);
    if !path.exists() && std::env::var_os("LINNETHOOK_WRITE_GOLDEN").is_some() {
        std::fs::write(&path, actual).expect("the fixture is written");
    }
    let expected = std::fs::read_to_string(&path).expect("the fixture is there");
    for (expected, actual) in expected.lines().zip(actual.lines()) {
        assert_eq!(actual, expected, "{file}");
    }
    assert_eq!(actual, expected, "{file}");
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// The encodings of values, one a line.
#[derive(Default)]
struct Encodings(String);

impl Encodings {
    fn add<T: Serialize>(&mut self, name: &str, value: &T) {
        let json = serde_json::to_string(value).expect("JSON is written");
        let postcard = postcard::to_stdvec(value).expect("postcard is written");
        let _ = writeln!(self.0, "{name} json {json}\n{name} postcard {}", hex(&postcard));
    }

    /// The same, read back and written again to the byte.
    fn add_both_ways<T: Serialize + DeserializeOwned + PartialEq + Debug>(&mut self, name: &str, value: &T) {
        self.add(name, value);
        let json = serde_json::to_string(value).expect("JSON is written");
        let read: T = serde_json::from_str(&json).expect("JSON is read");
        assert_eq!(&read, value, "{name}");
        assert_eq!(serde_json::to_string(&read).expect("JSON is written"), json, "{name}");
        let postcard = postcard::to_stdvec(value).expect("postcard is written");
        let read: T = postcard::from_bytes(&postcard).expect("postcard is read");
        assert_eq!(&read, value, "{name}");
        assert_eq!(postcard::to_stdvec(&read).expect("postcard is written"), postcard, "{name}");
    }
}

const ORIGIN: NodeId = NodeId(1);
const SOUTH: NodeId = NodeId(2);
const CENTRE: NodeId = NodeId(3);
const CACHE: NodeId = NodeId(10);

fn node(id: NodeId, role: Role, tier: u8) -> Node {
    Node { id, role, site: 7, tier, capacity: 30.5, retiring: false }
}

/// One change of each kind.
fn changes() -> Vec<Change> {
    let sources = || vec![Source::new(SOUTH, 0), Source::new(ORIGIN, 9)];
    vec![
        Change::Add { node: node(ORIGIN, Role::Origin, 9), sources: Vec::new() },
        Change::Add { node: node(SOUTH, Role::Parent, 1), sources: vec![Source::new(ORIGIN, 0)] },
        Change::Add { node: node(CENTRE, Role::Parent, 1), sources: vec![Source::new(ORIGIN, 300)] },
        Change::Add { node: node(CACHE, Role::Cache, 0), sources: sources() },
        Change::Remove { node: CENTRE },
        Change::Move { node: CACHE, site: 4_000_000_000, sources: sources() },
        Change::Replace { old: SOUTH, new: node(NodeId(u64::MAX), Role::Parent, 1) },
        Change::Rerank { node: CACHE, sources: sources() },
        Change::Retire { node: SOUTH, retiring: true },
    ]
}

fn source(name: &str, rank: u16) -> SourceSpec {
    SourceSpec { name: name.to_string(), rank }
}

fn node_spec(name: &str, role: Role, sources: Vec<SourceSpec>) -> NodeSpec {
    let (name, site) = (name.to_string(), "hub".to_string());
    NodeSpec { name, role, site, tier: 1, capacity: 30.5, retiring: true, sources }
}

fn change_specs() -> Vec<ChangeSpec> {
    let sources = || vec![source("south", 0), source("origin", 9)];
    let name = |name: &str| name.to_string();
    vec![
        ChangeSpec::Add(node_spec("south", Role::Parent, vec![source("origin", 300)])),
        ChangeSpec::Remove { node: name("centre") },
        ChangeSpec::Move { node: name("cache-1"), site: name("shop"), sources: sources() },
        ChangeSpec::Replace { old: name("south"), new: node_spec("south-2", Role::Parent, Vec::new()) },
        ChangeSpec::Rerank { node: name("cache-1"), sources: sources() },
        ChangeSpec::Retire { node: name("south"), retiring: true },
    ]
}

fn batch_spec() -> BatchSpec {
    BatchSpec {
        author: 7,
        number: 300,
        stamp: 70_000,
        basis: vec![(7, 299), (32_769, 2)],
        at: 1_700_000_000_000.5,
        changes: change_specs(),
    }
}

/// A history with a change of every kind, a suspended edge and a refused batch.
fn history() -> History {
    let mut history = History::default();
    let mut hear = |author: u16, changes: Vec<Change>| {
        let batch = history.draft(Author(author), 1_000.0 * f64::from(author), changes);
        assert!(matches!(history.hear(batch), Heard::Taken(_)));
    };
    hear(1, changes()[..4].to_vec());
    hear(
        2,
        vec![Change::Rerank { node: SOUTH, sources: vec![Source::new(CENTRE, 0), Source::new(ORIGIN, 9)] }],
    );
    hear(
        3,
        vec![Change::Rerank { node: CENTRE, sources: vec![Source::new(SOUTH, 0), Source::new(ORIGIN, 9)] }],
    );
    hear(1, vec![Change::Move { node: CACHE, site: 5, sources: vec![Source::new(CENTRE, 0)] }]);
    hear(1, vec![Change::Retire { node: SOUTH, retiring: true }]);
    hear(2, vec![Change::Replace { old: CENTRE, new: node(NodeId(4), Role::Parent, 1) }]);
    hear(2, vec![Change::Remove { node: NodeId(99) }]);
    history
}

fn view() -> View {
    let stages = [
        Stage::Planned,
        Stage::Announced,
        Stage::Warming,
        Stage::Settled,
        Stage::RolledBack(Harm::Late),
        Stage::RolledBack(Harm::Lost),
        Stage::RolledBack(Harm::Asked),
    ];
    let moves = stages.map(|stage| MoveView {
        to: 3,
        author: 7,
        number: 300,
        stage,
        part: 0.25,
        tries: 2,
        late_new: 0.125,
        late_old: 0.0,
    });
    View {
        version: 70_000,
        digest: "00000000000000ff".to_string(),
        nodes: 4,
        suspended: 1,
        held_back: 2,
        waiting_batches: 3,
        moves: moves.to_vec(),
        budgets: vec![
            BudgetView { target: 1, per_second: 2.5, limit: None },
            BudgetView { target: 2, per_second: 0.0, limit: Some(11.5) },
        ],
        counts: counts(),
    }
}

fn counts() -> Counts {
    Counts {
        gone: 1,
        joined: 2,
        waited: 3,
        over_fetched: 4,
        over_budget: 5,
        over_queue: 6,
        over_time: 7,
        leases_lost: 300,
    }
}

fn plan_spec() -> PlanSpec {
    let names = |names: &[&str]| names.iter().map(ToString::to_string).collect::<Vec<String>>();
    PlanSpec {
        added: names(&["a"]),
        removed: names(&["b", "c"]),
        altered: names(&["d"]),
        rerouted: vec![("e".to_string(), vec![source("f", 0)], vec![source("g", 1), source("h", 2)])],
        loops: vec![names(&["i", "j", "i"])],
        resumed: 2,
        pushes: vec![("k".to_string(), 0.5, 2.5, 1.25, true), ("l".to_string(), 0.0, 1.0, 1.0, false)],
        origin: (12.5, 100.0, 4.25),
    }
}

#[test]
fn encodings_of_batches_and_specs() {
    let mut encodings = Encodings::default();
    encodings.add_both_ways("Role", &[Role::Cache, Role::Parent, Role::Origin]);
    encodings.add_both_ways("Author", &Author(300));
    encodings.add_both_ways("Serial", &Serial { author: Author(300), number: 70_000 });
    encodings.add_both_ways("Node", &node(NodeId(u64::MAX), Role::Parent, 1));
    encodings.add_both_ways("Source", &Source::new(SOUTH, 300));
    for change in changes() {
        encodings.add_both_ways("Change", &change);
    }
    let mut names = Names::default();
    let batch: Batch = names.batch(&batch_spec());
    encodings.add_both_ways("Batch", &batch);
    encodings.add_both_ways("Key", &batch.key());
    encodings.add_both_ways("Key", &Key::default());
    encodings.add_both_ways("SourceSpec", &source("south", 300));
    encodings.add_both_ways("NodeSpec", &node_spec("cache-1", Role::Cache, vec![source("south", 0)]));
    for change in change_specs() {
        encodings.add_both_ways("ChangeSpec", &change);
    }
    encodings.add_both_ways("BatchSpec", &batch_spec());
    encodings.add_both_ways("BatchSpec", &names.spec(&batch));
    encodings.add_both_ways("PlanSpec", &plan_spec());
    let without_basis = r#"{"author":1,"number":2,"stamp":3,"at":4.5,"changes":[]}"#;
    let read: BatchSpec = serde_json::from_str(without_basis).expect("the basis may be left out");
    encodings.add_both_ways("BatchSpec without basis", &read);
    assert_golden("specs.txt", &encodings.0);
}

#[test]
fn encodings_of_history_and_snapshot() {
    let history = history();
    let mut encodings = Encodings::default();
    for (batch, verdict) in history.entries() {
        encodings.add_both_ways("Batch", batch);
        let verdict = verdict.map_or_else(|refusal| refusal.to_string(), |()| "applied".to_string());
        let _ = writeln!(encodings.0, "verdict {verdict}");
    }
    let snapshot = history.snapshot();
    encodings.add_both_ways("Snapshot", &snapshot);
    encodings.add_both_ways("Snapshot of nothing", &Snapshot::clone(&History::default().snapshot()));
    // As one router hands it to another.
    let names = (snapshot.clone(), vec!["south".to_string()], vec!["hub".to_string()]);
    encodings.add_both_ways("Snapshot with names", &names);
    let mut restored = History::default();
    restored.adopt(snapshot).expect("a good snapshot");
    encodings.add_both_ways("Snapshot again", &restored.snapshot());
    let digests = [history.shape(), restored.shape(), &Shape::default()].map(Shape::digest);
    let _ = writeln!(encodings.0, "digests {digests:016x?}");
    let _ = writeln!(encodings.0, "version {} next {}", history.version(), history.next_stamp());
    assert_golden("history.txt", &encodings.0);
}

#[test]
fn encodings_of_views() {
    let mut encodings = Encodings::default();
    encodings.add("View", &view());
    encodings.add("Counts", &counts());
    encodings.add("Over", &[Over::Fetched, Over::Budget, Over::Queue, Over::Time]);
    encodings.add("Harm", &[Harm::Late, Harm::Lost, Harm::Asked]);
    encodings.add("Flood", &Flood { now: 12.5, flip: 100.0, staged: 4.25 });
    let mut hierarchy = Hierarchy::new(Rules::default());
    let batch = hierarchy.draft(Author(1), 0.0, changes()[..4].to_vec());
    hierarchy.hear(0.0, batch);
    hierarchy.watch(0.0, CACHE);
    let sources = vec![Source::new(CENTRE, 0), Source::new(ORIGIN, 9)];
    let batch = hierarchy.draft(Author(1), 1_000.0, vec![Change::Rerank { node: CACHE, sources }]);
    hierarchy.hear(1_000.0, batch);
    hierarchy.tick(1_000.0);
    encodings.add("View of a hierarchy", &hierarchy.view(1_500.0));
    assert_golden("views.txt", &encodings.0);
}

#[test]
fn names_of_roles_and_stages() {
    let mut text = String::new();
    for role in [Role::Cache, Role::Parent, Role::Origin] {
        let _ = writeln!(text, "role {}", role.name());
    }
    for shown in view().moves {
        let _ = writeln!(text, "stage {}", shown.stage.name());
    }
    assert_golden("names.txt", &text);
}

#[test]
fn texts_of_errors() {
    let serial = Serial { author: Author(7), number: 300 };
    let refusals = [
        Refusal::Unknown(SOUTH),
        Refusal::Exists(SOUTH),
        Refusal::StillListed(SOUTH),
        Refusal::NoSource(SOUTH),
        Refusal::OriginFills(ORIGIN),
        Refusal::Itself(SOUTH),
        Refusal::NoOrigin,
        Refusal::Overtaken { node: SOUTH, by: serial },
        Refusal::Over(32, "sources of a node"),
        Refusal::Capacity(SOUTH),
    ];
    let unusable = [
        Unusable::Contradicts(serial),
        Unusable::Stamp(serial),
        Unusable::TooOld,
        Unusable::Full,
        Unusable::Figures,
    ];
    let name = |name: &str| name.to_string();
    let shapes = [
        BadShape::Twice(name("a")),
        BadShape::Unknown { node: name("a"), source_name: name("b") },
        BadShape::NoWay(name("a")),
        BadShape::Loop(vec![name("a"), name("b"), name("a")]),
        BadShape::NoOrigin,
    ];
    let plans = [
        NoPlan::Refused(Refusal::NoOrigin),
        NoPlan::Unusable(Unusable::TooOld),
        NoPlan::Early,
        NoPlan::Repeated,
    ];
    let paths = [TurnedAway::Loop { from: name("a"), to: name("b") }, TurnedAway::Hops];
    let mut text = String::new();
    refusals.iter().for_each(|error| _ = writeln!(text, "batch {error}"));
    unusable.iter().for_each(|error| _ = writeln!(text, "history {error}"));
    shapes.iter().for_each(|error| _ = writeln!(text, "shape {error} {:?}", error.node()));
    plans.iter().for_each(|error| _ = writeln!(text, "plan {error}"));
    paths.iter().for_each(|error| _ = writeln!(text, "path {error}"));
    [Unreadable::Long, Unreadable::Form].iter().for_each(|error| _ = writeln!(text, "field {error}"));
    [Harm::Late, Harm::Lost, Harm::Asked].iter().for_each(|harm| _ = writeln!(text, "harm {harm}"));
    let alone = check(&[node_spec("a", Role::Cache, Vec::new())]).expect_err("no origin");
    let _ = writeln!(text, "check {alone}");
    assert_golden("texts.txt", &text);
}

#[test]
fn token_of_a_fill_path() {
    let mut text = String::new();
    for written in ["0:", "7:", "7:a", "7:a+b", "18446744073709551615:cache-1+parent.south+#00ff"] {
        let path = Passed::parse(written).expect("a good token");
        assert_eq!(path.to_string(), written);
        let names: Vec<&str> = path.names().collect();
        let _ = writeln!(text, "{written} version {} names {names:?}", path.version);
    }
    let long = (0..HOPS).try_fold(Passed::new(70_000), |path, n| path.by(&format!("n{n}"))).expect("so many");
    let _ = writeln!(text, "{long}");
    for wrong in ["", "7", "x:a", "7:a++b", "7:a=b", "-1:a", "7:a b", "7:a>b", "7:a,b", "7:+"] {
        let _ = writeln!(text, "{wrong:?} {}", Passed::parse(wrong).expect_err("a bad token"));
    }
    assert_golden("fill_path.txt", &text);
}
