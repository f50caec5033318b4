//! Unit tests of `src/hierarchy_adapter`, a part of its module: the snapshot that one router gives
//! to another, and why changes are not applied.

use linnethook_hierarchy::change_spec::{BatchSpec, ChangeSpec};
use linnethook_operator_config::{EvaluationLimits, OperatorConfig};

use super::*;
use crate::golden::assert_golden;
use crate::hex::hex;

const FILE: &str = r#"
hierarchy(author = 7)
node("origin", role = "origin", site = "hub", capacity = 20)
node("parent", role = "parent", site = "hub", capacity = 30.5, sources = ["origin"])
node("cache-1", site = "shop", capacity = 8, sources = ["parent", ("origin", 9)])
"#;

fn adapter(text: &str) -> HierarchyAdapter {
    let operator =
        OperatorConfig::parse("operator.star", text, &EvaluationLimits::default()).expect("a good file");
    HierarchyAdapter::new(1_000.0, "n0", &operator.hierarchy.expect("a hierarchy")).expect("a shape")
}

#[test]
fn a_snapshot_is_the_same_bytes_and_is_restored_in_full() {
    let snapshot = adapter(FILE).encode_snapshot();
    assert_golden("hierarchy_snapshot.txt", &format!("{}\n", hex(&snapshot)));
    let mut late = adapter("hierarchy(author = 8)");
    late.restore_snapshot(2_000.0, &snapshot).expect("it is newer");
    assert_eq!(late.active_version(), adapter(FILE).active_version());
    assert_eq!(late.encode_snapshot(), snapshot);
}

/// Commands and scripts read these texts.
#[test]
fn each_reason_against_a_change_has_its_text() {
    let mut hierarchy = adapter(FILE);
    let mut reasons = Vec::new();
    let unknown = ChangeSpec::Remove { node: "nobody".to_string() };
    reasons
        .push(hierarchy.plan(2_000.0, std::slice::from_ref(&unknown)).expect_err("no such node").to_string());
    reasons.push(hierarchy.roll_back(2_000.0, 9, 9).expect_err("no such batch").to_string());
    let batch = |number: u64, stamp: u64, changes: &[ChangeSpec]| BatchSpec {
        author: 9,
        number,
        stamp,
        basis: Vec::new(),
        effective_at: 0.0,
        changes: changes.to_vec(),
    };
    let mut receive = |batch: BatchSpec| {
        hierarchy.apply_journal_batch(2_000.0, &batch).expect_err("it is not applied").to_string()
    };
    reasons.push(receive(batch(1, 5, &[unknown])));
    reasons.push(receive(batch(3, 7, &[])));
    reasons.push(receive(batch(2, 5, &[])));
    reasons.push(receive(batch(0, 0, &[])));
    let early = adapter("hierarchy(author = 8)").encode_snapshot();
    reasons.push(hierarchy.restore_snapshot(2_000.0, &early).expect_err("it is older").to_string());
    reasons.push(hierarchy.restore_snapshot(2_000.0, &[]).expect_err("no snapshot").to_string());
    let expected = [
        "node CacheId(17775146599398579598) is not in the topology",
        "no such batch is kept, or it was not applied",
        "node CacheId(17775146599398579598) is not in the topology",
        "it waits for batch 2 of author 9",
        "its timestamp is not above that of batch Serial { author: Author(9), number: 1 }, which it depends on",
        "the number and timestamp of a batch must be at least 1, its times and capacities finite",
        "it is at version 0, this router at 5",
        "Hit the end of buffer, expected more data",
    ];
    assert_eq!(reasons, expected);
}

/// Gossip keeps no order: a batch that waits for an earlier one is no error there, and it is one elsewhere.
#[test]
fn a_gossiped_batch_may_wait_for_an_earlier_one() {
    let later = BatchSpec {
        author: 9,
        number: 2,
        stamp: 6,
        basis: Vec::new(),
        effective_at: 0.0,
        changes: Vec::new(),
    };
    adapter(FILE).apply_gossip_batch(2_000.0, &later).expect("it waits");
    adapter(FILE).apply_journal_batch(2_000.0, &later).expect_err("it waits");
}
