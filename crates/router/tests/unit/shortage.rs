//! Unit tests of `src/downstream/shortage.rs`, as a submodule of it.

use super::*;

#[test]
fn a_failure_of_a_moment_is_no_shortage() {
    let mut shortage = DescriptorShortage::default();
    shortage.record_failure(1_000.0);
    shortage.record_failure(1_010.0);
    assert!(!shortage.is_confirmed(1_019.0));
    assert!(shortage.is_confirmed(1_020.0));
}

#[test]
fn a_shortage_is_over_once_nothing_fails() {
    let mut shortage = DescriptorShortage::default();
    shortage.record_failure(1_000.0);
    shortage.record_failure(1_100.0);
    shortage.end_if_over(1_600.0);
    assert!(shortage.is_confirmed(1_600.0));
    shortage.end_if_over(1_601.0);
    assert!(!shortage.is_confirmed(1_601.0));
    shortage.record_failure(1_700.0);
    assert!(!shortage.is_confirmed(1_719.0));
}
