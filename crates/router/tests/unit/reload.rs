//! Unit tests of `src/reload.rs`, as a submodule of it.

use super::*;

#[test]
fn a_reload_is_tried_until_all_is_read() {
    let reload = PendingReload::new(1_000.0, true);
    assert!(reload.is_due(1_000.0) && reload.is_first_try());
    let reload =
        PendingReload { reads_operator_file: false, ..reload }.after_try(1_000.0).expect("more to read");
    assert!(!reload.is_due(1_049.0) && reload.is_due(reload.next_try()) && !reload.is_first_try());
    assert_eq!(PendingReload { reads_config: false, ..reload }.after_try(1_050.0), None);
}

#[test]
fn a_file_that_can_t_be_read_for_long_is_given_up() {
    let reload = PendingReload::new(1_000.0, false);
    assert!(reload.after_try(31_000.0).is_some());
    assert_eq!(reload.after_try(31_001.0), None);
}
