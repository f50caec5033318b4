//! Faults of a server, by time or by request count, in the order of a script.

use std::sync::{Arc, Mutex, PoisonError};

use crate::recording::{now, Ms};

/// What a fault does to a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// The request is rejected with status `full`.
    Reject,
    /// The request runs and is then answered with status `failed`.
    Fail,
    /// The connection is reset without a response.
    Reset,
    /// No response is ever sent.
    Silent,
    /// The response is delayed by this many milliseconds.
    Slow(Ms),
    /// Half of the response is sent, then the connection is reset.
    Cut,
}

/// When a fault is active.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum When {
    /// From one time to another, in Unix milliseconds.
    Between(Ms, Ms),
    /// For a number of requests, after a number of others.
    Count {
        /// Requests that pass before the fault becomes active.
        after: u64,
        /// Requests that the fault affects.
        most: u64,
    },
}

#[derive(Debug, Clone, Copy)]
struct Scheduled {
    fault: Fault,
    when: When,
    seen: u64,
}

/// The fault script of one server. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct Script(Arc<Mutex<Vec<Scheduled>>>);

impl Script {
    /// Adds a fault. Where several are active, the one that was added first takes effect.
    pub fn add(&self, fault: Fault, when: When) {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.push(Scheduled { fault, when, seen: 0 });
    }

    /// Removes all faults.
    pub fn clear(&self) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// The fault for a request that arrives now: the first active one. Counts the request.
    pub fn next(&self) -> Option<Fault> {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let at = now();
        let mut found = None;
        for scheduled in all.iter_mut() {
            let on = match scheduled.when {
                When::Between(from, to) => (from..to).contains(&at),
                When::Count { after, most } => {
                    scheduled.seen += 1;
                    scheduled.seen > after && scheduled.seen <= after + most
                }
            };
            found = found.or(on.then_some(scheduled.fault));
        }
        found
    }
}
