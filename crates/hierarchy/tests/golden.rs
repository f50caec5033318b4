//! Compares the external formats with golden files under `tests/golden/`: JSON and postcard of every
//! serialised type, error texts, printed names and the digest of a topology. `LINNETHOOK_WRITE_GOLDEN=1`
//! writes a golden file that is missing; it never replaces one.

use std::fmt::{Debug, Write as _};
use std::path::Path;

use linnethook_hierarchy::batch::{AuthorId, BatchId, BatchPosition, BatchRejection, Change, ChangeBatch};
use linnethook_hierarchy::change_spec::{
    validate, BatchSpec, ChangeSpec, NameTable, NodeSpec, OriginLoadSpec, PlanSpec, SourceChangeSpec,
    SourceLoadSpec, SourceSpec, TopologyError,
};
use linnethook_hierarchy::hierarchy::{BudgetView, HierarchyView, MigrationView};
use linnethook_hierarchy::loop_detection::{FillPath, FillPathError, PathRejection, MAX_HOPS};
use linnethook_hierarchy::origin_shield::{ShieldCounters, ShieldRejection};
use linnethook_hierarchy::plan::{OriginLoad, PlanError};
use linnethook_hierarchy::rollout::{RollbackReason, RolloutStage};
use linnethook_hierarchy::{
    BatchError, Hierarchy, HierarchyConfig, History, Node, NodeId, ReceiveOutcome, Role, Snapshot, Source,
    Topology,
};
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Compares text with a golden file line by line, so that a failure shows the line that differs.
fn assert_golden(file: &str, actual: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file);
    if !path.exists() && std::env::var_os("LINNETHOOK_WRITE_GOLDEN").is_some() {
        std::fs::write(&path, actual).expect("golden file written");
    }
    let expected = std::fs::read_to_string(&path).expect("golden file");
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

/// The encodings of values, one per line.
#[derive(Default)]
struct Encodings(String);

impl Encodings {
    fn add<T: Serialize>(&mut self, name: &str, value: &T) {
        let json = serde_json::to_string(value).expect("JSON encoding");
        let postcard = postcard::to_stdvec(value).expect("postcard encoding");
        let _ = writeln!(self.0, "{name} json {json}\n{name} postcard {}", hex(&postcard));
    }

    /// Adds a value, and checks that it is decoded and encoded again to the same bytes.
    fn add_round_trip<T: Serialize + DeserializeOwned + PartialEq + Debug>(&mut self, name: &str, value: &T) {
        self.add(name, value);
        let json = serde_json::to_string(value).expect("JSON encoding");
        let decoded: T = serde_json::from_str(&json).expect("JSON decoding");
        assert_eq!(&decoded, value, "{name}");
        assert_eq!(serde_json::to_string(&decoded).expect("JSON encoding"), json, "{name}");
        let postcard = postcard::to_stdvec(value).expect("postcard encoding");
        let decoded: T = postcard::from_bytes(&postcard).expect("postcard decoding");
        assert_eq!(&decoded, value, "{name}");
        assert_eq!(postcard::to_stdvec(&decoded).expect("postcard encoding"), postcard, "{name}");
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
        effective_at: 1_700_000_000_000.5,
        changes: change_specs(),
    }
}

/// A history with a change of every kind, a suspended edge and a rejected batch.
fn history() -> History {
    let mut history = History::default();
    let mut receive = |author: u16, changes: Vec<Change>| {
        let batch = history.draft_batch(AuthorId(author), 1_000.0 * f64::from(author), changes);
        assert!(matches!(history.receive_batch(batch), ReceiveOutcome::Accepted(_)));
    };
    receive(1, changes()[..4].to_vec());
    receive(
        2,
        vec![Change::Rerank { node: SOUTH, sources: vec![Source::new(CENTRE, 0), Source::new(ORIGIN, 9)] }],
    );
    receive(
        3,
        vec![Change::Rerank { node: CENTRE, sources: vec![Source::new(SOUTH, 0), Source::new(ORIGIN, 9)] }],
    );
    receive(1, vec![Change::Move { node: CACHE, site: 5, sources: vec![Source::new(CENTRE, 0)] }]);
    receive(1, vec![Change::Retire { node: SOUTH, retiring: true }]);
    receive(2, vec![Change::Replace { old: CENTRE, new: node(NodeId(4), Role::Parent, 1) }]);
    receive(2, vec![Change::Remove { node: NodeId(99) }]);
    history
}

fn view() -> HierarchyView {
    let stages = [
        RolloutStage::Planned,
        RolloutStage::Announced,
        RolloutStage::Warming,
        RolloutStage::Settled,
        RolloutStage::RolledBack(RollbackReason::HighFailureRate),
        RolloutStage::RolledBack(RollbackReason::SourceLost),
        RolloutStage::RolledBack(RollbackReason::Requested),
    ];
    let migrations = stages.map(|stage| MigrationView {
        target: 3,
        author: 7,
        number: 300,
        stage,
        fraction: 0.25,
        attempts: 2,
        new_failure_ratio: 0.125,
        old_failure_ratio: 0.0,
    });
    HierarchyView {
        version: 70_000,
        digest: "00000000000000ff".to_string(),
        nodes: 4,
        suspended_edges: 1,
        backed_off_edges: 2,
        pending_batches: 3,
        migrations: migrations.to_vec(),
        budgets: vec![
            BudgetView { target: 1, per_second: 2.5, limit: None },
            BudgetView { target: 2, per_second: 0.0, limit: Some(11.5) },
        ],
        counters: counters(),
    }
}

fn counters() -> ShieldCounters {
    ShieldCounters {
        admitted: 1,
        joined: 2,
        queued: 3,
        rejected_fetch_in_progress: 4,
        rejected_budget: 5,
        rejected_queue_full: 6,
        rejected_queue_timeout: 7,
        leases_expired: 300,
    }
}

fn source_load(source: &str, before: f64, after: f64, tier_mean: f64, is_heavy: bool) -> SourceLoadSpec {
    SourceLoadSpec { source: source.to_string(), before, after, tier_mean, is_heavy }
}

fn plan_spec() -> PlanSpec {
    let names = |names: &[&str]| names.iter().map(ToString::to_string).collect::<Vec<String>>();
    PlanSpec {
        added: names(&["a"]),
        removed: names(&["b", "c"]),
        altered: names(&["d"]),
        source_changes: vec![SourceChangeSpec {
            node: "e".to_string(),
            before: vec![source("f", 0)],
            after: vec![source("g", 1), source("h", 2)],
        }],
        cycles: vec![names(&["i", "j", "i"])],
        resumed_edges: 2,
        source_loads: vec![source_load("k", 0.5, 2.5, 1.25, true), source_load("l", 0.0, 1.0, 1.0, false)],
        origin_load: OriginLoadSpec { current: 12.5, immediate: 100.0, staged: 4.25 },
    }
}

#[test]
fn encodings_of_batches_and_specs() {
    let mut encodings = Encodings::default();
    encodings.add_round_trip("Role", &[Role::Cache, Role::Parent, Role::Origin]);
    encodings.add_round_trip("Author", &AuthorId(300));
    encodings.add_round_trip("Serial", &BatchId { author: AuthorId(300), number: 70_000 });
    encodings.add_round_trip("Node", &node(NodeId(u64::MAX), Role::Parent, 1));
    encodings.add_round_trip("Source", &Source::new(SOUTH, 300));
    for change in changes() {
        encodings.add_round_trip("Change", &change);
    }
    let mut names = NameTable::default();
    let batch: ChangeBatch = names.resolve_batch(&batch_spec());
    encodings.add_round_trip("Batch", &batch);
    encodings.add_round_trip("Key", &batch.position());
    encodings.add_round_trip("Key", &BatchPosition::default());
    encodings.add_round_trip("SourceSpec", &source("south", 300));
    encodings.add_round_trip("NodeSpec", &node_spec("cache-1", Role::Cache, vec![source("south", 0)]));
    for change in change_specs() {
        encodings.add_round_trip("ChangeSpec", &change);
    }
    encodings.add_round_trip("BatchSpec", &batch_spec());
    encodings.add_round_trip("BatchSpec", &names.batch_spec(&batch));
    encodings.add_round_trip("PlanSpec", &plan_spec());
    let without_basis = r#"{"author":1,"number":2,"stamp":3,"at":4.5,"changes":[]}"#;
    let decoded: BatchSpec = serde_json::from_str(without_basis).expect("batch without a basis");
    encodings.add_round_trip("BatchSpec without basis", &decoded);
    assert_golden("specs.txt", &encodings.0);
}

#[test]
fn encodings_of_history_and_snapshot() {
    let history = history();
    let mut encodings = Encodings::default();
    for (batch, result) in history.entries() {
        encodings.add_round_trip("Batch", batch);
        let result = result.map_or_else(|rejection| rejection.to_string(), |()| "applied".to_string());
        let _ = writeln!(encodings.0, "verdict {result}");
    }
    let snapshot = history.snapshot();
    encodings.add_round_trip("Snapshot", &snapshot);
    encodings.add_round_trip("Snapshot of nothing", &Snapshot::clone(&History::default().snapshot()));
    // The form in which one router sends it to another.
    let names = (snapshot.clone(), vec!["south".to_string()], vec!["hub".to_string()]);
    encodings.add_round_trip("Snapshot with names", &names);
    let mut restored = History::default();
    restored.restore_snapshot(snapshot).expect("valid snapshot");
    encodings.add_round_trip("Snapshot again", &restored.snapshot());
    let digests = [history.topology(), restored.topology(), &Topology::default()].map(Topology::digest);
    let _ = writeln!(encodings.0, "digests {digests:016x?}");
    let _ = writeln!(encodings.0, "version {} next {}", history.version(), history.next_stamp());
    assert_golden("history.txt", &encodings.0);
}

#[test]
fn encodings_of_views() {
    let mut encodings = Encodings::default();
    encodings.add("View", &view());
    encodings.add("Counts", &counters());
    encodings.add(
        "Over",
        &[
            ShieldRejection::FetchInProgress,
            ShieldRejection::BudgetExhausted,
            ShieldRejection::QueueFull,
            ShieldRejection::QueueTimeout,
        ],
    );
    encodings.add(
        "Harm",
        &[RollbackReason::HighFailureRate, RollbackReason::SourceLost, RollbackReason::Requested],
    );
    encodings.add("Flood", &OriginLoad { current: 12.5, immediate: 100.0, staged: 4.25 });
    let mut hierarchy = Hierarchy::new(HierarchyConfig::default());
    let batch = hierarchy.draft_batch(AuthorId(1), 0.0, changes()[..4].to_vec());
    hierarchy.receive_batch(0.0, batch);
    hierarchy.track_child(0.0, CACHE);
    let sources = vec![Source::new(CENTRE, 0), Source::new(ORIGIN, 9)];
    let batch = hierarchy.draft_batch(AuthorId(1), 1_000.0, vec![Change::Rerank { node: CACHE, sources }]);
    hierarchy.receive_batch(1_000.0, batch);
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
    for migration in view().migrations {
        let _ = writeln!(text, "stage {}", migration.stage.name());
    }
    assert_golden("names.txt", &text);
}

#[test]
fn texts_of_errors() {
    let batch_id = BatchId { author: AuthorId(7), number: 300 };
    let rejections = [
        BatchRejection::UnknownNode(SOUTH),
        BatchRejection::NodeExists(SOUTH),
        BatchRejection::StillReferenced(SOUTH),
        BatchRejection::NoSource(SOUTH),
        BatchRejection::OriginWithSource(ORIGIN),
        BatchRejection::SelfReference(SOUTH),
        BatchRejection::NoOrigin,
        BatchRejection::Conflict { node: SOUTH, by: batch_id },
        BatchRejection::LimitExceeded { items: "sources of a node", got: 40, limit: 32 },
        BatchRejection::InvalidCapacity { node: SOUTH, capacity: -1.5 },
    ];
    let other_id = BatchId { author: AuthorId(9), number: 12 };
    let too_old = BatchError::TooOld { batch: batch_id, stamp: 5, truncated_stamp: 17 };
    let batch_errors = [
        BatchError::ConflictingContent(batch_id),
        BatchError::StampTooLow { batch: batch_id, stamp: 5, dependency: other_id, dependency_stamp: 6 },
        too_old.clone(),
        BatchError::LimitReached { batch: batch_id, limit: 256, items: "pending batches" },
        BatchError::ZeroNumber(batch_id),
        BatchError::ZeroStamp(batch_id),
        BatchError::NonFiniteValue(batch_id),
    ];
    let name = |name: &str| name.to_string();
    let topology_errors = [
        TopologyError::DuplicateName(name("a")),
        TopologyError::UnknownSource { node: name("a"), source_name: name("b") },
        TopologyError::NoPathToOrigin(name("a")),
        TopologyError::Cycle(vec![name("a"), name("b"), name("a")]),
        TopologyError::NoOrigin,
    ];
    let plan_errors = [
        PlanError::Rejected(BatchRejection::NoOrigin),
        PlanError::Invalid(too_old),
        PlanError::UnknownBase { batch: batch_id, missing: other_id },
        PlanError::Duplicate(batch_id),
    ];
    let path_rejections = [PathRejection::Loop { from: name("a"), to: name("b") }, PathRejection::HopLimit];
    let mut text = String::new();
    rejections.iter().for_each(|error| _ = writeln!(text, "batch {error}"));
    batch_errors.iter().for_each(|error| _ = writeln!(text, "history {error}"));
    topology_errors.iter().for_each(|error| _ = writeln!(text, "topology {error} {:?}", error.node()));
    plan_errors.iter().for_each(|error| _ = writeln!(text, "plan {error}"));
    path_rejections.iter().for_each(|error| _ = writeln!(text, "path {error}"));
    let malformed = FillPathError::Malformed(name("7"));
    [FillPathError::TooManyBytes(600), FillPathError::TooManyNodes(17), malformed]
        .iter()
        .for_each(|error| _ = writeln!(text, "field {error}"));
    [RollbackReason::HighFailureRate, RollbackReason::SourceLost, RollbackReason::Requested]
        .iter()
        .for_each(|reason| _ = writeln!(text, "rollback {reason}"));
    let no_origin = validate(&[node_spec("a", Role::Cache, Vec::new())]).expect_err("no origin");
    let _ = writeln!(text, "check {no_origin}");
    assert_golden("texts.txt", &text);
}

#[test]
fn text_format_of_a_fill_path() {
    let mut text = String::new();
    for field in ["0:", "7:", "7:a", "7:a+b", "18446744073709551615:cache-1+parent.south+#00ff"] {
        let path = FillPath::parse(field).expect("valid path");
        assert_eq!(path.to_string(), field);
        let names: Vec<&str> = path.names().collect();
        let _ = writeln!(text, "{field} version {} names {names:?}", path.version);
    }
    let longest = (0..MAX_HOPS)
        .try_fold(FillPath::new(70_000), |path, n| path.append_node(&format!("n{n}")))
        .expect("the maximum number of nodes");
    let _ = writeln!(text, "{longest}");
    for malformed in ["", "7", "x:a", "7:a++b", "7:a=b", "-1:a", "7:a b", "7:a>b", "7:a,b", "7:+"] {
        let _ = writeln!(text, "{malformed:?} {}", FillPath::parse(malformed).expect_err("malformed path"));
    }
    assert_golden("fill_path.txt", &text);
}
