//! Unit tests of `src/downstream/shortage.rs`, as a submodule of it.

use super::*;

#[test]
fn failures_of_a_moment_are_no_shortage() {
    let mut shortage = DescriptorShortage::default();
    shortage.record_failure(1_000.0);
    shortage.record_failure(1_099.0);
    assert!(!shortage.may_evict(1_099.0));
    assert!(shortage.may_evict(1_100.0));
    shortage.record_success(1_099.0);
    shortage.record_failure(1_101.0);
    assert!(!shortage.may_evict(1_200.0), "a call has succeeded between");
    assert!(shortage.may_evict(1_201.0));
}

#[test]
fn an_eviction_that_helps_confirms_a_shortage_until_nothing_fails() {
    let mut shortage = DescriptorShortage::default();
    shortage.record_failure(1_000.0);
    shortage.record_eviction();
    assert!(!shortage.may_evict(1_100.0), "it is not known yet whether that helps");
    shortage.record_success(1_100.0);
    assert!(shortage.is_confirmed() && shortage.may_evict(1_100.0));
    shortage.record_failure(1_200.0);
    shortage.record_eviction();
    shortage.record_success(1_700.0);
    assert!(shortage.is_confirmed());
    shortage.record_success(1_701.0);
    assert!(!shortage.is_confirmed());
}

#[test]
fn an_eviction_that_does_not_help_is_not_repeated_at_once() {
    let mut shortage = DescriptorShortage::default();
    shortage.record_failure(1_000.0);
    shortage.record_eviction();
    shortage.record_failure(1_100.0);
    assert!(!shortage.may_evict(1_119.0));
    assert!(shortage.may_evict(1_120.0));
}
