//! The settings of the origin shield.

use linnethook::interface::Ms;

use crate::rate_budget::RateBudgetConfig;

/// Limits on admitted and queued fills. Durations are in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct ShieldConfig {
    /// The budget of each target.
    pub budget: RateBudgetConfig,
    /// The longest time for which one fill blocks others of the same key, so that a fill whose end is never
    /// reported does not block them for good.
    pub lease_duration: Ms,
    /// Maximum number of leases.
    pub max_leases: usize,
    /// Maximum number of queued fills.
    pub max_queued: usize,
    /// Maximum total size of queued fills, in bytes.
    pub max_queued_bytes: f64,
    /// The longest time that a fill is queued.
    pub max_wait: Ms,
    /// The shortest Retry-After of a rejection.
    pub min_retry_after: Ms,
    /// The longest Retry-After of a rejection.
    pub max_retry_after: Ms,
    /// Maximum number of targets with a rate budget; the rate of further targets is not limited.
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
