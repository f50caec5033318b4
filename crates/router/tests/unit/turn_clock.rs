//! Unit tests of `src/turn/clock.rs`, as a submodule of it.

use super::*;

#[test]
fn what_is_read_after_a_wait_that_blocked_has_just_arrived() {
    let mut turn = TurnClock::new(1_000.0);
    turn.begin_wait(1_000.0);
    turn.note_event(1_050.0);
    turn.note_event(1_060.0);
    assert_eq!(turn.earliest_arrival(), 1_050.0);
}

#[test]
fn what_is_read_after_a_long_turn_may_have_arrived_in_it() {
    let mut turn = TurnClock::new(1_000.0);
    turn.begin_wait(1_000.0);
    turn.note_event(1_050.0);
    turn.begin_wait(1_350.0);
    turn.note_event(1_350.1);
    assert_eq!(turn.earliest_arrival(), 1_050.0);
    turn.begin_wait(1_351.0);
    turn.note_event(1_352.5);
    assert_eq!(turn.earliest_arrival(), 1_352.5);
}
