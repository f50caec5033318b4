//! The clock of the process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::policy_adapter::Ms;

/// Milliseconds per second.
const MS_PER_SECOND: Ms = 1_000.0;

/// A clock that starts at the system time and continues monotonically: its times are comparable with those of
/// other processes, and never go back.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    start_unix: Ms,
}

impl Clock {
    /// Creates a clock that starts at the current system time.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), start_unix: unix.as_secs_f64() * MS_PER_SECOND }
    }

    /// The current time, in Unix milliseconds.
    pub fn now(&self) -> Ms {
        self.start_unix + self.start.elapsed().as_secs_f64() * MS_PER_SECOND
    }
}
