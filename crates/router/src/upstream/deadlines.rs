//! A queue of deadlines, ordered by time.

use std::collections::BTreeSet;

use crate::policy_adapter::{micros, Ms};

/// A deadline in integer microseconds, which unlike floats are totally ordered.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Deadline<K> {
    at_us: u64,
    key: K,
}

/// Deadlines with their keys.
#[derive(Debug)]
pub(super) struct DeadlineQueue<K>(BTreeSet<Deadline<K>>);

impl<K> Default for DeadlineQueue<K> {
    fn default() -> Self {
        Self(BTreeSet::new())
    }
}

impl<K: Ord> DeadlineQueue<K> {
    /// Adds a deadline.
    pub fn insert(&mut self, at: Ms, key: K) {
        self.0.insert(Deadline { at_us: micros(at), key });
    }

    /// Removes a deadline; does nothing if it is not in the queue.
    pub fn remove(&mut self, at: Ms, key: K) {
        self.0.remove(&Deadline { at_us: micros(at), key });
    }

    /// The earliest deadline, in milliseconds.
    pub fn next(&self) -> Option<Ms> {
        self.0.first().map(|deadline| deadline.at_us as Ms / 1000.0)
    }

    /// Removes the earliest deadline if it has passed, and returns its key.
    pub fn pop_overdue(&mut self, now: Ms) -> Option<K> {
        let is_overdue = self.0.first().is_some_and(|deadline| deadline.at_us <= micros(now));
        if !is_overdue {
            return None;
        }
        self.0.pop_first().map(|deadline| deadline.key)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/deadlines.rs"]
mod tests;
