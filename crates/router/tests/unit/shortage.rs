//! Unit tests of `src/downstream/shortage.rs`, as a submodule of it.

use super::*;

#[test]
fn failures_of_a_moment_are_no_shortage() {
    let mut shortage = DescriptorShortage::default();
    assert!(!shortage.record_failure(1_000.0, false));
    assert!(!shortage.record_failure(1_099.0, false));
    shortage.record_success();
    assert!(!shortage.record_failure(1_101.0, false));
    assert!(!shortage.record_failure(1_200.0, false), "a call has succeeded between");
    assert!(!shortage.is_present(1_200.0));
    assert!(shortage.record_failure(1_201.0, false));
}

#[test]
fn a_shortage_that_the_system_tells_is_known_at_once_until_none_is_found() {
    let mut shortage = DescriptorShortage::default();
    assert!(shortage.record_failure(1_000.0, true));
    shortage.record_success();
    assert!(shortage.is_present(1_499.0) && !shortage.is_present(1_500.0));
}

#[test]
fn without_the_system_one_connection_at_a_time_is_closed() {
    let mut shortage = DescriptorShortage::default();
    shortage.record_failure(1_000.0, false);
    assert!(shortage.record_failure(1_100.0, false));
    shortage.record_success();
    assert!(!shortage.record_failure(1_100.0, false));
    assert!(shortage.record_failure(1_200.0, false));
}
