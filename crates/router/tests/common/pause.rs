//! Pauses of a test.

use std::thread;
use std::time::Duration;

/// Blocks the calling thread for a number of milliseconds.
pub fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}
