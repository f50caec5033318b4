//! Whether this process is short of descriptors: an error of a moment closes nobody's connection.

use crate::policy_adapter::Ms;

/// Descriptors are short once opening one has failed for this time.
const CONFIRMED_AFTER_MS: Ms = 20.0;
/// A shortage is over once nothing has failed for this time.
const OVER_AFTER_MS: Ms = 500.0;

/// The times of the first and of the latest failure of the present shortage.
#[derive(Debug, Clone, Copy)]
struct Failures {
    first: Ms,
    latest: Ms,
}

/// A shortage of descriptors, as far as it is known.
#[derive(Debug, Default)]
pub(super) struct DescriptorShortage(Option<Failures>);

impl DescriptorShortage {
    /// Records a failure.
    pub fn record_failure(&mut self, now: Ms) {
        self.end_if_over(now);
        let failures = self.0.get_or_insert(Failures { first: now, latest: now });
        failures.latest = now;
    }

    /// Forgets a shortage in which nothing has failed for some time.
    pub fn end_if_over(&mut self, now: Ms) {
        self.0.take_if(|failures| now - failures.latest > OVER_AFTER_MS);
    }

    /// Whether descriptors have been short for longer than a moment, so that idle connections are closed for
    /// others.
    pub fn is_confirmed(&self, now: Ms) -> bool {
        self.0.is_some_and(|failures| now - failures.first >= CONFIRMED_AFTER_MS)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/shortage.rs"]
mod tests;
