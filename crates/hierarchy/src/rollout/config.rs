//! Durations and bounds of a rollout.

use linnethook::interface::{Ms, SlowStart};

/// How a rollout proceeds. Durations are in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct RolloutConfig {
    /// From the time at which a batch takes effect to the first fills: all routers receive the batch in that time.
    pub announcement: Ms,
    /// From the first objects to all of them.
    pub ramp_duration: Ms,
    /// The fraction of objects with which the ramp starts.
    pub initial_fraction: f64,
    /// From the end of the ramp to the settled stage. Until then the old source is asked for cached objects.
    pub settling_time: Ms,
    /// How a source that has itself just started may be loaded.
    pub slow_start: SlowStart,
    /// The part of that load that migrating children may use.
    pub slow_start_fraction: f64,
    /// Weight of one fill in a failure ratio. Late fills count as failed.
    pub sample_weight: f64,
    /// Fills needed before a failure ratio counts.
    pub min_samples: f64,
    /// Failure ratio of the new source above which a migration is rolled back...
    pub max_failure_ratio: f64,
    /// ... if it is also above the failure ratio of the old sources by this factor.
    pub max_failure_multiple: f64,
    /// From a rollback to the next attempt.
    pub retry_delay: Ms,
    /// Factor by which the delay grows with each attempt.
    pub backoff_factor: f64,
    /// Rollbacks after which a migration is not tried again.
    pub max_attempts: u32,
    /// For how long in all a ramp may pause while the tiers above are constrained.
    pub max_pause: Ms,
}

impl Default for RolloutConfig {
    fn default() -> Self {
        Self {
            announcement: 2_000.0,
            ramp_duration: 30_000.0,
            initial_fraction: 0.02,
            settling_time: 45_000.0,
            slow_start: SlowStart::default(),
            slow_start_fraction: 0.6,
            sample_weight: 0.05,
            min_samples: 20.0,
            max_failure_ratio: 0.3,
            max_failure_multiple: 2.0,
            retry_delay: 10_000.0,
            backoff_factor: 2.0,
            max_attempts: 3,
            max_pause: 600_000.0,
        }
    }
}
