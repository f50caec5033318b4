//! Exponential decay of observations that were persisted by an earlier process.
//!
//! An observation never counts for more than it did when it was recorded.

use linnethook::interface::Ms;

/// How fast one kind of observation loses its weight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DecayPolicy {
    /// Age in milliseconds at which an observation counts for half.
    pub half_life: Ms,
    /// Age in milliseconds from which it counts for nothing.
    pub max_age: Ms,
}

const MINUTE_MS: Ms = 60_000.0;
const HOUR_MS: Ms = 60.0 * MINUTE_MS;
const DAY_MS: Ms = 24.0 * HOUR_MS;

impl DecayPolicy {
    /// Failure rates of a server: its health an hour ago says little about now.
    pub const HEALTH: Self = Self { half_life: 10.0 * MINUTE_MS, max_age: 2.0 * HOUR_MS };
    /// Speed of a server relative to its kind: set by its hardware and its neighbours, which seldom change.
    pub const RELATIVE_SPEED: Self = Self { half_life: HOUR_MS, max_age: DAY_MS };
    /// Concurrency limits of origin, links and crowds: they depend on the time of day.
    pub const CONCURRENCY_LIMITS: Self = Self { half_life: 5.0 * MINUTE_MS, max_age: HOUR_MS };
    /// Sizes of objects, which hardly ever change.
    pub const OBJECT_SIZES: Self = Self { half_life: DAY_MS, max_age: 7.0 * DAY_MS };

    /// The weight, from 0 to 1, at time `now` of what was recorded at `recorded_at`, both in Unix milliseconds.
    ///
    /// A time of recording in the future means that the clock was set back, so the age is unknown: the weight is 0.
    pub fn weight(&self, recorded_at: Ms, now: Ms) -> f64 {
        let age = now - recorded_at;
        if !age.is_finite() || age < 0.0 || age >= self.max_age {
            return 0.0;
        }
        0.5f64.powf(age / self.half_life.max(1.0))
    }

    /// Moves from the recorded `value` towards the `default` for an unknown server as the record ages.
    pub fn interpolate(&self, recorded_at: Ms, now: Ms, value: f64, default: f64) -> f64 {
        let weight = self.weight(recorded_at, now);
        default + (value - default) * weight
    }
}

/// Whether a record is about the running instance of a server: one that was listed after the record is a new instance.
pub fn is_same_instance(recorded_at: Ms, listed_since: Ms) -> bool {
    listed_since <= recorded_at
}

/// Whether a recorded content filter still describes its server: neither a restart nor a purge came after it.
pub fn is_filter_valid(recorded_at: Ms, listed_since: Ms, last_purge: Option<Ms>) -> bool {
    is_same_instance(recorded_at, listed_since) && last_purge.is_none_or(|purged_at| purged_at <= recorded_at)
}
