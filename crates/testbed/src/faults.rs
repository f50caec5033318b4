//! What befalls a server: faults by time or by count, in the order of a script.

use std::sync::{Arc, Mutex, PoisonError};

use crate::recording::{now, Ms};

/// What a fault does to a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Turned away as full.
    Refuse,
    /// Answered as failed, after it ran.
    Fail,
    /// The connection is reset without an answer.
    Reset,
    /// Nothing is ever said.
    Silent,
    /// The answer comes that much later.
    Slow(Ms),
    /// The answer is cut in the middle, then the connection is reset.
    Cut,
}

/// When a fault is on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum When {
    /// From one time to another, in Unix milliseconds.
    Between(Ms, Ms),
    /// For so many requests, after so many.
    Count {
        /// Requests that pass before the fault is on.
        after: u64,
        /// Requests that it befalls.
        most: u64,
    },
}

#[derive(Debug, Clone, Copy)]
struct Scheduled {
    fault: Fault,
    when: When,
    seen: u64,
}

/// The script of one node. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct Script(Arc<Mutex<Vec<Scheduled>>>);

impl Script {
    /// Adds a fault; where several are on the one that was added first counts.
    pub fn add(&self, fault: Fault, when: When) {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.push(Scheduled { fault, when, seen: 0 });
    }

    /// Ends all faults.
    pub fn clear(&self) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// The fault that befalls a request which comes in now: the first that is on.
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
