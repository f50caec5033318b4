//! A hybrid logical clock (Kulkarni et al. 2014) that orders events of several routers.
//!
//! It follows the system clock while that is ahead of all timestamps, and counts on from the newest received
//! timestamp while the system clock is behind it. Its timestamps never decrease.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Ms;

/// A time in whole milliseconds, and a counter that orders events of the same millisecond.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Timestamp {
    /// Unix time in milliseconds.
    pub ms: u64,
    /// Orders events within the millisecond.
    #[serde(rename = "count")]
    pub counter: u32,
}

impl Timestamp {
    /// The smallest timestamp that is later than this one.
    fn successor(self) -> Self {
        match self.counter.checked_add(1) {
            Some(counter) => Self { ms: self.ms, counter },
            None => Self { ms: self.ms + 1, counter: 0 },
        }
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.ms, self.counter)
    }
}

/// The clock of one router.
#[derive(Debug, Clone, Copy, Default)]
pub struct HybridClock {
    last: Timestamp,
}

impl HybridClock {
    /// The timestamp of a local event: later than all timestamps issued or observed before.
    pub fn next_timestamp(&mut self, now: Ms) -> Timestamp {
        let ms = now.max(0.0) as u64;
        let is_system_clock_ahead = ms > self.last.ms;
        self.last = if is_system_clock_ahead { Timestamp { ms, counter: 0 } } else { self.last.successor() };
        self.last
    }

    /// Records a timestamp received from another router: all later timestamps are greater.
    pub fn observe(&mut self, now: Ms, received: Timestamp) {
        self.last = self.last.max(received);
        self.next_timestamp(now);
    }

    /// The newest timestamp issued or observed.
    pub fn last(&self) -> Timestamp {
        self.last
    }
}

#[cfg(test)]
#[path = "../tests/unit/hybrid_clock.rs"]
mod tests;
