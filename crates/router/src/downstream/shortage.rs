//! Whether this process is short of descriptors, as far as its failing calls tell: a failure of a moment closes
//! nobody's connection.

use crate::policy_adapter::Ms;

/// A shortage is suspected once every call has failed for this time.
const SUSPECTED_AFTER_MS: Ms = 100.0;
/// The time until the next connection is closed, if closing one has not helped: a descriptor limit that was
/// lowered below the descriptors in use takes several.
const NEXT_EVICTION_AFTER_MS: Ms = 20.0;
/// A shortage is over once nothing has failed for this time.
const OVER_AFTER_MS: Ms = 500.0;

/// What is known of a shortage. Times are those of failed calls.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Knowledge {
    /// All calls have failed from the first on.
    Failing { first: Ms, latest: Ms },
    /// A connection was closed, and it is not known yet whether that helps.
    Evicted,
    /// Closing a connection has helped.
    Confirmed { latest: Ms },
}

/// A shortage of descriptors, as far as it is known.
#[derive(Debug, Default)]
pub(super) struct DescriptorShortage(Option<Knowledge>);

impl DescriptorShortage {
    /// Records a call that has failed for lack of a descriptor.
    pub fn record_failure(&mut self, now: Ms) {
        self.end_if_over(now);
        self.0 = Some(match self.0 {
            Some(Knowledge::Failing { first, .. }) => Knowledge::Failing { first, latest: now },
            Some(Knowledge::Confirmed { .. }) => Knowledge::Confirmed { latest: now },
            Some(Knowledge::Evicted) => {
                Knowledge::Failing { first: now + NEXT_EVICTION_AFTER_MS - SUSPECTED_AFTER_MS, latest: now }
            }
            None => Knowledge::Failing { first: now, latest: now },
        });
    }

    /// Records a call that has succeeded.
    pub fn record_success(&mut self, now: Ms) {
        self.end_if_over(now);
        self.0 = match self.0 {
            Some(Knowledge::Evicted) => Some(Knowledge::Confirmed { latest: now }),
            Some(Knowledge::Confirmed { .. }) => self.0,
            Some(Knowledge::Failing { .. }) | None => None,
        };
    }

    /// Forgets a shortage in which nothing has failed for some time.
    pub fn end_if_over(&mut self, now: Ms) {
        self.0.take_if(|known| match known {
            Knowledge::Failing { latest, .. } | Knowledge::Confirmed { latest } => {
                now - *latest > OVER_AFTER_MS
            }
            Knowledge::Evicted => false,
        });
    }

    /// Records that a connection was closed for others.
    pub fn record_eviction(&mut self) {
        if !matches!(self.0, Some(Knowledge::Confirmed { .. })) {
            self.0 = Some(Knowledge::Evicted);
        }
    }

    /// Whether a connection may be closed, so that others get its descriptor.
    pub fn may_evict(&self, now: Ms) -> bool {
        match self.0 {
            Some(Knowledge::Failing { first, .. }) => now - first >= SUSPECTED_AFTER_MS,
            Some(Knowledge::Confirmed { .. }) => true,
            Some(Knowledge::Evicted) | None => false,
        }
    }

    /// Whether it is known that others need descriptors.
    pub fn is_confirmed(&self) -> bool {
        matches!(self.0, Some(Knowledge::Confirmed { .. }))
    }
}

#[cfg(test)]
#[path = "../../tests/unit/shortage.rs"]
mod tests;
