//! Whether this process is short of descriptors: a failure of a moment closes nobody's connection.

use crate::policy_adapter::Ms;

/// A shortage is assumed once every call has failed for this time, where the system does not tell it at once.
const ASSUMED_AFTER_MS: Ms = 100.0;
/// A shortage is over once none was found for this time.
const OVER_AFTER_MS: Ms = 500.0;

/// A shortage of descriptors, as far as it is known.
#[derive(Debug, Default)]
pub(super) struct DescriptorShortage {
    /// Since when every call has failed.
    failing_since: Option<Ms>,
    /// Until when others are assumed to need descriptors.
    until: Ms,
}

impl DescriptorShortage {
    /// Records a call that has failed for lack of a descriptor; returns whether descriptors are short.
    /// `are_all_in_use` is what the system tells.
    pub fn record_failure(&mut self, now: Ms, are_all_in_use: bool) -> bool {
        let since = *self.failing_since.get_or_insert(now);
        let is_short = are_all_in_use || now - since >= ASSUMED_AFTER_MS;
        if is_short {
            self.until = now + OVER_AFTER_MS;
        }
        is_short
    }

    /// Records a call that has succeeded, or a connection that was closed, so that the next one may.
    pub fn record_success(&mut self) {
        self.failing_since = None;
    }

    /// Whether others need descriptors.
    pub fn is_present(&self, now: Ms) -> bool {
        now < self.until
    }
}

#[cfg(test)]
#[path = "../../tests/unit/shortage.rs"]
mod tests;
