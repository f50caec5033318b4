//! Unit tests of `src/hierarchy_adapter`, as a submodule of it: snapshots between routers, and the errors of
//! changes that are not applied.

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
    let operator = OperatorConfig::parse("operator.star", text, &EvaluationLimits::default())
        .expect("valid operator file");
    HierarchyAdapter::new(1_000.0, "n0", &operator.hierarchy.expect("hierarchy section"))
        .expect("valid hierarchy")
}

#[test]
fn snapshot_format_is_stable_and_a_snapshot_is_restored_completely() {
    let snapshot = adapter(FILE).encode_snapshot();
    assert_golden("hierarchy_snapshot.txt", &format!("{}\n", hex(&snapshot)));
    let mut outdated = adapter("hierarchy(author = 8)");
    outdated.restore_snapshot(2_000.0, &snapshot).expect("newer snapshot");
    assert_eq!(outdated.active_version(), adapter(FILE).active_version());
    assert_eq!(outdated.encode_snapshot(), snapshot);
}

/// Commands print these texts, and scripts match them.
#[test]
fn each_error_of_a_change_or_snapshot_has_its_text() {
    let mut hierarchy = adapter(FILE);
    let mut texts = Vec::new();
    let unknown = ChangeSpec::Remove { node: "nobody".to_string() };
    let plan = hierarchy.plan(2_000.0, std::slice::from_ref(&unknown));
    texts.push(plan.expect_err("unknown node").to_string());
    texts.push(hierarchy.roll_back(2_000.0, 9, 9).expect_err("unknown batch").to_string());
    let batch = |number: u64, stamp: u64, changes: &[ChangeSpec]| BatchSpec {
        author: 9,
        number,
        stamp,
        basis: Vec::new(),
        effective_at: 0.0,
        changes: changes.to_vec(),
    };
    let mut receive = |batch: BatchSpec| {
        hierarchy.apply_journal_batch(2_000.0, &batch).expect_err("not applied").to_string()
    };
    texts.push(receive(batch(1, 5, &[unknown])));
    texts.push(receive(batch(3, 7, &[])));
    texts.push(receive(batch(2, 5, &[])));
    texts.push(receive(batch(0, 0, &[])));
    let older = adapter("hierarchy(author = 8)").encode_snapshot();
    texts.push(hierarchy.restore_snapshot(2_000.0, &older).expect_err("older snapshot").to_string());
    texts.push(hierarchy.restore_snapshot(2_000.0, &[]).expect_err("empty snapshot").to_string());
    let expected = [
        "node CacheId(17775146599398579598) is not in the topology",
        "no such batch: 9/9 is not retained, or was not applied",
        "node CacheId(17775146599398579598) is not in the topology",
        "the batch is pending until batch 2 of author 9 is received",
        "batch Serial { author: Author(9), number: 2 } has timestamp 5, expected more than 5, the timestamp of \
         batch Serial { author: Author(9), number: 1 } on which it depends",
        "batch Serial { author: Author(9), number: 0 } has number 0, expected at least 1",
        "hierarchy snapshot is at version 0, expected at least 5 as at this router",
        "hierarchy snapshot can't be decoded: Hit the end of buffer, expected more data",
    ];
    assert_eq!(texts, expected);
}

/// Gossip does not preserve order: a batch that is pending until an earlier one is received is an error only
/// if it was not gossiped.
#[test]
fn a_gossiped_batch_may_arrive_before_an_earlier_one() {
    let later = BatchSpec {
        author: 9,
        number: 2,
        stamp: 6,
        basis: Vec::new(),
        effective_at: 0.0,
        changes: Vec::new(),
    };
    adapter(FILE).apply_gossip_batch(2_000.0, &later).expect("pending");
    adapter(FILE).apply_journal_batch(2_000.0, &later).expect_err("pending");
}
