//! Owns the time by which acts of several routers are ordered: a hybrid logical clock (Kulkarni and others 2014).
//!
//! It follows the system's clock where that is ahead, and counts on where a message proves that it is behind. Must
//! never go back, nor give a message that was heard a later time than what follows from it.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Ms;

/// Milliseconds, and a count within them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Timestamp {
    pub ms: u64,
    #[serde(rename = "count")]
    pub counter: u32,
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.ms, self.counter)
    }
}

#[derive(Debug, Clone, Copy, Default)]
pub struct HybridClock {
    last: Timestamp,
}

impl HybridClock {
    /// The time of something that happens here: later than all before.
    pub fn next_timestamp(&mut self, now: Ms) -> Timestamp {
        let ms = now.max(0.0) as u64;
        self.last = if ms > self.last.ms { Timestamp { ms, counter: 0 } } else { self.successor(self.last) };
        self.last
    }

    fn successor(&self, stamp: Timestamp) -> Timestamp {
        match stamp.counter.checked_add(1) {
            Some(count) => Timestamp { ms: stamp.ms, counter: count },
            None => Timestamp { ms: stamp.ms + 1, counter: 0 },
        }
    }

    /// A message with that time was heard: what follows is later.
    pub fn observe(&mut self, now: Ms, other: Timestamp) {
        self.last = self.last.max(other);
        self.next_timestamp(now);
    }

    pub fn last(&self) -> Timestamp {
        self.last
    }
}

#[cfg(test)]
#[path = "../tests/unit/hybrid_clock.rs"]
mod tests;
