//! Limits how many harnesses of a process run concurrently.

use std::sync::{Condvar, Mutex, PoisonError};

/// The number of running harnesses, and the condition variable for those that wait.
pub(super) static RUNNING: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

/// A permit for one running harness, returned on drop.
pub(super) struct HarnessPermit;

impl HarnessPermit {
    pub(super) fn acquire(most: usize) -> Self {
        let (running, over) = &RUNNING;
        let running = running.lock().unwrap_or_else(PoisonError::into_inner);
        let full = |running: &mut usize| most > 0 && *running >= most;
        let running = over.wait_while(running, full);
        *running.unwrap_or_else(PoisonError::into_inner) += 1;
        Self
    }
}

impl Drop for HarnessPermit {
    fn drop(&mut self) {
        let (running, over) = &RUNNING;
        *running.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        over.notify_one();
    }
}
