//! Unit tests of `src/turn/fair_queue.rs`, as a submodule of it.

use std::collections::BTreeMap;

use super::*;

/// The work of one turn at the queue.
const WORK: u64 = 10;

/// Serves a number of turns; all keys but those of `once` wait again at once. Returns the keys in their order.
fn serve(queue: &mut FairQueue<u32>, turns: usize, once: &[u32]) -> Vec<u32> {
    let mut served = Vec::new();
    for _ in 0..turns {
        let Some(key) = queue.pop() else { break };
        queue.charge(key, WORK);
        if !once.contains(&key) {
            queue.insert(key);
        }
        served.push(key);
    }
    served
}

#[test]
fn keys_that_always_wait_have_equal_numbers_of_turns() {
    let mut queue = FairQueue::new(WORK, 0);
    (0..7).for_each(|key| queue.insert(key));
    let mut turns = BTreeMap::new();
    for key in serve(&mut queue, 70, &[]) {
        *turns.entry(key).or_insert(0) += 1;
    }
    assert_eq!(turns, (0..7).map(|key| (key, 10)).collect());
}

#[test]
fn a_key_that_seldom_waits_goes_before_those_that_always_do() {
    let mut queue = FairQueue::new(0, 0);
    queue.insert(100);
    serve(&mut queue, 1, &[100]);
    (0..50).for_each(|key| queue.insert(key));
    serve(&mut queue, 500, &[]);
    queue.insert(100);
    let order = serve(&mut queue, 51, &[100]);
    let position = order.iter().position(|key| *key == 100);
    assert!(position.is_some_and(|position| position <= 1), "{order:?}");
}

/// Guards against a key that waits for all others, where all of them have received the same.
#[test]
fn a_key_that_has_rested_goes_before_its_equals() {
    let mut queue = FairQueue::new(0, 0);
    queue.insert(100);
    serve(&mut queue, 1, &[100]);
    (0..50).for_each(|key| queue.insert(key));
    // All have an equal number of turns but for the last half of a round.
    serve(&mut queue, 50 * 10 + 25, &[]);
    queue.insert(100);
    assert_eq!(queue.pop(), Some(100));
}

/// Guards against a key whose second wait is behind all others, where all of them have received the same.
#[test]
fn a_key_that_has_rested_is_served_again_within_its_credit() {
    let mut queue = FairQueue::new(0, 3 * WORK);
    (0..50).for_each(|key| queue.insert(key));
    serve(&mut queue, 50 * 10, &[]);
    queue.join(100);
    let mut turns = 0;
    loop {
        queue.insert(100);
        if queue.pop() != Some(100) {
            break;
        }
        queue.charge(100, WORK);
        turns += 1;
    }
    assert_eq!(turns, 4, "three by its credit, and one since the others have received one more");
}

#[test]
fn newcomers_without_end_do_not_keep_others_waiting() {
    let mut queue = FairQueue::new(WORK, 0);
    (0..3).for_each(|key| queue.insert(key));
    serve(&mut queue, 30, &[]);
    let mut turns_of_others = 0;
    for newcomer in 1_000..1_060 {
        queue.insert(newcomer);
        let served = serve(&mut queue, 1, &[newcomer]);
        turns_of_others += served.iter().filter(|key| **key < 3).count();
        queue.remove(newcomer.saturating_sub(10));
    }
    assert!(turns_of_others >= 3, "{turns_of_others} turns of others");
}

#[test]
fn a_rest_gives_no_claim_to_what_was_not_used() {
    let mut queue = FairQueue::new(WORK, 0);
    queue.insert(1);
    queue.insert(2);
    serve(&mut queue, 2, &[1]);
    serve(&mut queue, 100, &[]);
    queue.insert(1);
    let order = serve(&mut queue, 20, &[]);
    let turns = order.iter().filter(|key| **key == 1).count();
    assert!((9..=11).contains(&turns), "{order:?}");
}

#[test]
fn a_key_that_is_charged_while_it_waits_goes_later() {
    let mut queue = FairQueue::new(WORK, 0);
    (1..=3).for_each(|key| queue.insert(key));
    queue.charge(1, WORK);
    assert_eq!([queue.pop(), queue.pop(), queue.pop(), queue.pop()], [Some(2), Some(3), Some(1), None]);
}

#[test]
fn a_key_that_joins_begins_level_with_the_key_that_is_served() {
    let mut queue = FairQueue::new(WORK, 0);
    (0..50).for_each(|key| queue.insert(key));
    serve(&mut queue, 500, &[]);
    queue.join(100);
    assert!(!queue.contains(100));
    queue.insert(100);
    let order = serve(&mut queue, 2, &[100]);
    assert!(order.contains(&100), "{order:?}");
}

#[test]
fn a_key_that_was_withdrawn_or_removed_does_not_wait() {
    let mut queue = FairQueue::new(WORK, 0);
    (1..=3).for_each(|key| queue.insert(key));
    queue.withdraw(1);
    queue.remove(2);
    queue.charge(2, WORK);
    assert!(!queue.contains(1) && !queue.contains(2) && queue.contains(3));
    assert_eq!([queue.pop(), queue.pop()], [Some(3), None]);
    assert!(queue.is_empty());
}
