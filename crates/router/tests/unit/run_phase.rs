//! Unit tests of `src/run_phase.rs`, included there as the module `tests`.

use super::*;

const TIMES: ShutdownTimes = ShutdownTimes { min_drain: 100.0, max_drain: 500.0, close: 50.0 };

fn draining_since(since: Ms) -> RunPhase {
    let mut phase = RunPhase::serving(TIMES);
    phase.begin_drain(since);
    phase
}

#[test]
fn a_serving_router_has_no_deadline_and_is_not_drained() {
    let phase = RunPhase::serving(TIMES);
    assert!(phase.is_serving() && !phase.is_draining() && !phase.is_closing());
    assert_eq!(phase.next_deadline(1_000.0), None);
    assert!(!phase.is_drained(1e9, OpenWork::Nothing));
    assert!(!phase.is_close_over(1e9));
}

#[test]
fn a_drain_without_open_work_takes_the_minimum_duration() {
    let phase = draining_since(1_000.0);
    assert!(phase.is_draining());
    assert!(!phase.is_drained(1_099.0, OpenWork::Nothing));
    assert!(phase.is_drained(1_100.0, OpenWork::Nothing));
}

#[test]
fn a_drain_waits_for_open_work_up_to_the_maximum_duration() {
    for open in [OpenWork::Requests, OpenWork::Clients] {
        let phase = draining_since(1_000.0);
        assert!(!phase.is_drained(1_499.0, open), "{open:?}");
        assert!(phase.is_drained(1_500.0, open), "{open:?}");
    }
}

#[test]
fn the_deadlines_of_a_drain_are_its_minimum_and_maximum_duration() {
    let phase = draining_since(1_000.0);
    assert_eq!(phase.next_deadline(1_000.0), Some(1_100.0));
    assert_eq!(phase.next_deadline(1_100.0), Some(1_500.0));
    assert_eq!(phase.next_deadline(1_600.0), Some(1_500.0));
}

#[test]
fn the_closing_phase_has_its_own_deadline_and_is_not_a_drain() {
    let mut phase = draining_since(1_000.0);
    phase.begin_close(1_500.0);
    assert!(phase.is_closing() && !phase.is_draining() && !phase.is_serving());
    assert_eq!(phase.next_deadline(1_500.0), Some(1_550.0));
    assert!(!phase.is_close_over(1_549.0));
    assert!(phase.is_close_over(1_550.0));
    assert!(!phase.is_drained(1e9, OpenWork::Nothing));
}
