//! The settings of a rollout.

use linnethook::interface::{Ms, SlowStart};

/// Durations and bounds of a rollout. Durations are in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct RolloutConfig {
    /// Time between a batch's effective time and the start of the ramp. All routers receive the batch within
    /// it.
    pub announcement: Ms,
    /// Duration of the ramp from the initial fraction to all objects.
    pub ramp_duration: Ms,
    /// The fraction of objects with which the ramp starts.
    pub initial_fraction: f64,
    /// Time between the end of the ramp and the settled stage. Until then the old source is queried for
    /// cached objects.
    pub settling_time: Ms,
    /// The slow start of a source that has just started.
    pub slow_start: SlowStart,
    /// The fraction of the load allowed by the slow start that migrating children may use.
    pub slow_start_fraction: f64,
    /// Weight of one fill in a failure ratio. Late fills count as failures.
    pub sample_weight: f64,
    /// Minimum number of fills before a failure ratio is considered.
    pub min_samples: f64,
    /// Failure ratio of the new source above which a migration is rolled back, subject to
    /// `max_failure_multiple`.
    pub max_failure_ratio: f64,
    /// A migration is rolled back only if the failure ratio of the new source also exceeds that of the old
    /// sources by this factor.
    pub max_failure_multiple: f64,
    /// Delay between a rollback and the next attempt.
    pub retry_delay: Ms,
    /// Factor by which the retry delay grows with each attempt.
    pub backoff_factor: f64,
    /// Number of rollbacks after which a migration is not retried.
    pub max_attempts: u32,
    /// The longest total time for which a ramp pauses while the tiers above are constrained.
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
