//! Unit tests of `src/retry_queue.rs`, as a submodule of it.

use super::*;

#[test]
fn connections_wait_for_one_pause_and_are_returned_once() {
    let mut queue = RetryQueue::default();
    assert_eq!(queue.next_deadline(), None);
    queue.insert(100.0, 1);
    queue.insert(103.0, 2);
    assert_eq!(queue.next_deadline(), Some(100.0 + RETRY_PAUSE_MS));
    assert!(queue.take_due(104.9).is_empty());
    queue.remove(2);
    assert!(queue.contains(1) && !queue.contains(2));
    assert_eq!(queue.take_due(105.0), BTreeSet::from([1]));
    assert!(queue.is_empty());
    assert_eq!(queue.next_deadline(), None);
}
