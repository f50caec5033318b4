//! Unit tests of `src/upstream/deadlines.rs`, included there as the module `tests`.

use super::*;

#[test]
fn deadlines_are_popped_in_order_of_time() {
    let mut deadlines = DeadlineQueue::default();
    deadlines.insert(20.0, "late");
    deadlines.insert(10.5, "early");
    assert_eq!(deadlines.next(), Some(10.5));
    assert_eq!(deadlines.pop_overdue(10.4), None);
    assert_eq!(deadlines.pop_overdue(10.5), Some("early"));
    assert_eq!(deadlines.pop_overdue(10.5), None);
    assert_eq!(deadlines.pop_overdue(30.0), Some("late"));
    assert_eq!(deadlines.next(), None);
}

#[test]
fn a_removed_deadline_is_not_popped() {
    let mut deadlines = DeadlineQueue::default();
    deadlines.insert(10.0, 1);
    deadlines.insert(10.0, 2);
    deadlines.remove(10.0, 1);
    deadlines.remove(11.0, 2);
    assert_eq!(deadlines.pop_overdue(10.0), Some(2));
    deadlines.remove(10.0, 2);
    assert_eq!(deadlines.pop_overdue(10.0), None);
}
