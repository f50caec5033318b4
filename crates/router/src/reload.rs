//! A reload that is tried again, since a file could not be read for a moment.

use crate::policy_adapter::Ms;

/// The time until the next try.
const RETRY_PAUSE_MS: Ms = 50.0;
/// A file that can't be read for this time is not read any more.
const GIVE_UP_AFTER_MS: Ms = 30_000.0;

/// What is still to be read again.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PendingReload {
    since: Ms,
    next_try: Ms,
    /// Whether the configuration is still to be read.
    pub reads_config: bool,
    /// Whether the evaluation of the operator file is still to be started.
    pub reads_operator_file: bool,
}

impl PendingReload {
    /// A reload that was requested now.
    pub fn new(now: Ms, reads_operator_file: bool) -> Self {
        Self { since: now, next_try: now, reads_config: true, reads_operator_file }
    }

    /// When the next try is due, in milliseconds.
    pub fn next_try(&self) -> Ms {
        self.next_try
    }

    /// Whether a try is due.
    pub fn is_due(&self, now: Ms) -> bool {
        now >= self.next_try
    }

    /// Whether nothing was tried yet.
    pub fn is_first_try(&self) -> bool {
        self.next_try <= self.since
    }

    /// What remains after a try; `None` if all is read, or for too long can't be.
    pub fn after_try(self, now: Ms) -> Option<Self> {
        let is_complete = !self.reads_config && !self.reads_operator_file;
        let is_given_up = now - self.since > GIVE_UP_AFTER_MS;
        (!is_complete && !is_given_up).then_some(Self { next_try: now + RETRY_PAUSE_MS, ..self })
    }
}

#[cfg(test)]
#[path = "../tests/unit/reload.rs"]
mod tests;
