//! Exponential decay of observations that an earlier process persisted.
//!
//! The weight of an observation never exceeds its weight at the time of recording.

use linnethook::interface::Ms;

/// The decay of the weight of one kind of observation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DecayPolicy {
    /// Age in milliseconds at which the weight is 0.5.
    pub half_life: Ms,
    /// Age in milliseconds from which the weight is 0.
    pub max_age: Ms,
}

const MINUTE_MS: Ms = 60_000.0;
const HOUR_MS: Ms = 60.0 * MINUTE_MS;
const DAY_MS: Ms = 24.0 * HOUR_MS;

impl DecayPolicy {
    /// Failure rates of a server: its health of an hour ago is hardly related to its present health.
    pub const HEALTH: Self = Self { half_life: 10.0 * MINUTE_MS, max_age: 2.0 * HOUR_MS };
    /// Speed of a server relative to others of its role: it depends on the hardware and on the other tenants
    /// of the machine, which seldom change.
    pub const RELATIVE_SPEED: Self = Self { half_life: HOUR_MS, max_age: DAY_MS };
    /// Limits on misses at the origin, on fills over links and on the load of caches: they depend on the time of
    /// day.
    pub const CONCURRENCY_LIMITS: Self = Self { half_life: 5.0 * MINUTE_MS, max_age: HOUR_MS };
    /// Sizes of objects, which hardly ever change.
    pub const OBJECT_SIZES: Self = Self { half_life: DAY_MS, max_age: 7.0 * DAY_MS };

    /// The weight, from 0 to 1, at time `now` of an observation that was recorded at `recorded_at`, both in
    /// Unix milliseconds.
    ///
    /// If `recorded_at` is in the future, the clock was set back and the age is unknown: the weight is 0.
    pub fn weight(&self, recorded_at: Ms, now: Ms) -> f64 {
        let age = now - recorded_at;
        if !age.is_finite() || age < 0.0 || age >= self.max_age {
            return 0.0;
        }
        0.5f64.powf(age / self.half_life.max(1.0))
    }

    /// Interpolates between the recorded `value` and the `default` for an unknown server, by the weight of
    /// the record.
    pub fn interpolate(&self, recorded_at: Ms, now: Ms, value: f64, default: f64) -> f64 {
        let weight = self.weight(recorded_at, now);
        default + (value - default) * weight
    }
}

/// Whether a record describes the running instance of a server. An instance that was added to the endpoint
/// list after the record is a new one.
pub fn is_same_instance(recorded_at: Ms, listed_since: Ms) -> bool {
    listed_since <= recorded_at
}

/// Whether a recorded content filter still describes its server: neither restarted nor purged since the
/// record.
pub fn is_filter_valid(recorded_at: Ms, listed_since: Ms, last_purge: Option<Ms>) -> bool {
    is_same_instance(recorded_at, listed_since) && last_purge.is_none_or(|purged_at| purged_at <= recorded_at)
}
