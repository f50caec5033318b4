//! Limits how many harnesses of a process run at a time.

use std::sync::{Condvar, Mutex, PoisonError};

/// The number of harnesses that run, and who waits for a turn.
pub(super) static RUNNING: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

/// A harness's turn; it ends with the harness.
pub(super) struct Turn;

impl Turn {
    pub(super) fn take(most: usize) -> Self {
        let (running, over) = &RUNNING;
        let running = running.lock().unwrap_or_else(PoisonError::into_inner);
        let full = |running: &mut usize| most > 0 && *running >= most;
        let running = over.wait_while(running, full);
        *running.unwrap_or_else(PoisonError::into_inner) += 1;
        Self
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        let (running, over) = &RUNNING;
        *running.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        over.notify_one();
    }
}
