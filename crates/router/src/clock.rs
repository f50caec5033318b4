//! The clock of the process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::policy_adapter::Ms;

/// Milliseconds of a second.
const MS_PER_SECOND: Ms = 1_000.0;

/// Unix milliseconds at the start, continued by a monotonic clock: times compare with those of other processes and never
/// go back.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    start_unix: Ms,
}

impl Clock {
    /// A clock that starts at the time of the system.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), start_unix: unix.as_secs_f64() * MS_PER_SECOND }
    }

    /// The time, in Unix milliseconds.
    pub fn now(&self) -> Ms {
        self.start_unix + self.start.elapsed().as_secs_f64() * MS_PER_SECOND
    }
}
