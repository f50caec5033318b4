//! Unit tests of `src/hierarchy_adapter.rs`, a part of its module: the snapshot that one router gives to another.

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
fn a_snapshot_is_the_same_bytes_and_is_adopted_whole() {
    let snapshot = adapter(FILE).encode_snapshot();
    assert_golden("hierarchy_snapshot.txt", &format!("{}\n", hex(&snapshot)));
    let mut late = adapter("hierarchy(author = 8)");
    late.restore_snapshot(2_000.0, &snapshot).expect("it is newer");
    assert_eq!(late.active_version(), adapter(FILE).active_version());
    assert_eq!(late.encode_snapshot(), snapshot);
}
