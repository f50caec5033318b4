//! Connections on which a call failed by an error of this machine: it is repeated after a short pause, since the
//! event loop reports no readiness for it again.

use std::collections::BTreeSet;

use crate::policy_adapter::Ms;

/// The time until a failed call is repeated.
pub const RETRY_PAUSE_MS: Ms = 5.0;

/// The connections that wait for the next try, which is the same for all.
#[derive(Debug)]
pub struct RetryQueue<Id> {
    waiting: BTreeSet<Id>,
    due: Option<Ms>,
    /// How many calls have failed.
    failed_calls: u64,
}

impl<Id> Default for RetryQueue<Id> {
    fn default() -> Self {
        Self { waiting: BTreeSet::new(), due: None, failed_calls: 0 }
    }
}

impl<Id: Ord + Copy> RetryQueue<Id> {
    /// Adds a connection.
    pub fn insert(&mut self, now: Ms, id: Id) {
        self.failed_calls += 1;
        self.waiting.insert(id);
        self.due.get_or_insert(now + RETRY_PAUSE_MS);
    }

    /// How many calls have failed since the start.
    pub fn failed_calls(&self) -> u64 {
        self.failed_calls
    }

    /// Removes a connection.
    pub fn remove(&mut self, id: Id) {
        self.waiting.remove(&id);
    }

    /// Whether a connection waits.
    pub fn contains(&self, id: Id) -> bool {
        self.waiting.contains(&id)
    }

    /// Whether no connection waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// When [`Self::take_due`] returns connections, in milliseconds.
    pub fn next_deadline(&self) -> Option<Ms> {
        self.due
    }

    /// Takes all connections once the pause is over.
    pub fn take_due(&mut self, now: Ms) -> BTreeSet<Id> {
        if self.due.take_if(|due| now >= *due).is_none() {
            return BTreeSet::new();
        }
        std::mem::take(&mut self.waiting)
    }
}

#[cfg(test)]
#[path = "../tests/unit/retry_queue.rs"]
mod tests;
