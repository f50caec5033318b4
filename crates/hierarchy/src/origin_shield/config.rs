//! Bounds of the origin shield.

use linnethook::interface::Ms;

use crate::rate_budget::RateBudgetConfig;

/// What the shield lets through and holds. Durations are in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct ShieldConfig {
    /// The budget of each target.
    pub budget: RateBudgetConfig,
    /// The longest time for which one fill makes others of the same key wait. A lost filler blocks no longer.
    pub lease_duration: Ms,
    /// Leases tracked.
    pub max_leases: usize,
    /// Fills that may be queued.
    pub max_queued: usize,
    /// Bytes that queued fills may ask for together.
    pub max_queued_bytes: f64,
    /// The longest time in the queue.
    pub max_wait: Ms,
    /// The shortest Retry-After of a rejection.
    pub min_retry_after: Ms,
    /// The longest Retry-After of a rejection.
    pub max_retry_after: Ms,
    /// Targets with a budget of their own; further ones have no limit.
    pub max_targets: usize,
}

impl Default for ShieldConfig {
    fn default() -> Self {
        Self {
            budget: RateBudgetConfig::default(),
            lease_duration: 1_500.0,
            max_leases: 16_384,
            max_queued: 256,
            max_queued_bytes: 16.0 * 1024.0 * 1024.0,
            max_wait: 150.0,
            min_retry_after: 50.0,
            max_retry_after: 2_000.0,
            max_targets: 1_024,
        }
    }
}
