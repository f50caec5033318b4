//! Unit tests of `src/permission.rs`, as a submodule of it.

use super::*;

#[test]
fn an_attempt_is_sent_only_while_its_request_is_open_and_in_time() {
    let order = SendOrder { deadline: 1_000.0, send_by: Some(900.0) };
    assert_eq!(may_send(899.0, Some(order)), Ok(()));
    assert_eq!(may_send(900.0, Some(order)), Err(SendRefusal::WindowOver));
    assert_eq!(may_send(1_000.0, Some(order)), Err(SendRefusal::DeadlinePassed));
    assert_eq!(may_send(0.0, None), Err(SendRefusal::Ended));
    assert!(SendRefusal::Ended.is_violation() && !SendRefusal::WindowOver.is_violation());
}

#[test]
fn only_the_client_ends_a_connection_on_which_answers_are_owed() {
    for reason in [CloseReason::Idle, CloseReason::Finished, CloseReason::Evicted] {
        assert!(may_close(reason, false) && !may_close(reason, true), "{reason}");
    }
    for reason in [CloseReason::ClosedByClient, CloseReason::Broken, CloseReason::Unread] {
        assert!(may_close(reason, true), "{reason}");
    }
}
