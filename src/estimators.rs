//! Estimators of observed quantities. All parameters are passed in by the caller.

use crate::interface::Ms;

/// An exponentially weighted moving average.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Ewma {
    /// The average at present.
    pub value: f64,
    /// Number of observations.
    pub samples: f64,
}

impl Ewma {
    /// An average that starts at `value`, without any observation.
    pub fn new(value: f64) -> Self {
        Self { value, samples: 0.0 }
    }

    /// Adds an observation with that weight. The first `1 / weight` observations are averaged with equal
    /// weights instead, so that the initial value has no influence.
    pub fn update_from_mean(&mut self, observed: f64, weight: f64) {
        self.samples += 1.0;
        self.value += (observed - self.value) * weight.max(1.0 / self.samples);
    }

    /// Adds an observation with that weight; the initial value is treated like an earlier observation.
    pub fn update(&mut self, observed: f64, weight: f64) {
        self.samples += 1.0;
        self.value += (observed - self.value) * weight;
    }
}

/// The time-weighted mean of a level that changes in steps, with exponential decay of older values.
#[derive(Debug, Clone, Copy, Default)]
pub struct TimeWeightedMean {
    /// The mean up to the last call.
    pub mean: f64,
    updated_at: Ms,
}

impl TimeWeightedMean {
    /// A mean of 0 at the time `now`.
    pub fn new(now: Ms) -> Self {
        Self { mean: 0.0, updated_at: now }
    }

    /// Updates the mean up to `now`. The level was `level` since the last call.
    pub fn advance(&mut self, now: Ms, level: f64, time_constant: Ms) {
        self.mean += (level - self.mean) * (1.0 - (-(now - self.updated_at) / time_constant).exp());
        self.updated_at = now;
    }
}

/// A token bucket whose balance may become negative.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    tokens: f64,
    updated_at: Ms,
}

impl TokenBucket {
    /// An empty bucket at the time `now`.
    pub fn empty(now: Ms) -> Self {
        Self { tokens: 0.0, updated_at: now }
    }

    /// The tokens at the time `now`, with `rate` tokens added per millisecond up to `burst`. May be negative.
    pub fn available(&self, now: Ms, rate: f64, burst: f64) -> f64 {
        (self.tokens + rate * (now - self.updated_at)).min(burst)
    }

    /// Removes `amount` tokens, even if fewer are available.
    pub fn spend(&mut self, now: Ms, rate: f64, burst: f64, amount: f64) {
        self.tokens = self.available(now, rate, burst) - amount;
        self.updated_at = now;
    }
}

/// Parameters of a [`ConcurrencyLimit`].
#[derive(Debug, Clone, Copy)]
pub struct ConcurrencyLimitConfig {
    /// Minimum weight of an observation in the late ratio, from 0 to 1.
    pub observation_weight: f64,
    /// Time constant of the late ratio. Rare observations have a higher weight, so that older ones decay
    /// within about this time.
    pub time_constant: Ms,
    /// Late ratio above which the limit is decreased.
    pub max_late_ratio: f64,
    /// Factor that a decrease multiplies the limit by.
    pub decrease_factor: f64,
    /// Minimum time between two decreases.
    pub decrease_interval: Ms,
    /// Amount that each observation in time adds to the limit.
    pub increase: f64,
    /// Lower bound of the limit.
    pub min_limit: f64,
    /// Upper bound of the limit.
    pub max_limit: f64,
}

/// An adaptive limit with additive increase and multiplicative decrease (AIMD): it increases with results in
/// time and decreases with late ones.
#[derive(Debug, Clone, Copy)]
pub struct ConcurrencyLimit {
    /// The limit at present.
    pub limit: f64,
    late_ratio: f64,
    updated_at: Ms,
    decreased_at: Ms,
}

impl ConcurrencyLimit {
    /// A limit without any observation.
    pub fn new(limit: f64) -> Self {
        Self { limit, late_ratio: 0.0, updated_at: f64::INFINITY, decreased_at: f64::NEG_INFINITY }
    }

    /// Adds an observation. A decrease is relative to `in_use` if that is below the limit.
    pub fn record(&mut self, now: Ms, late: bool, in_use: f64, config: &ConcurrencyLimitConfig) {
        let idle = (now - self.updated_at).max(0.0);
        let weight = config.observation_weight.max(1.0 - (-idle / config.time_constant).exp());
        self.updated_at = now;
        self.late_ratio += (f64::from(u8::from(late)) - self.late_ratio) * weight;
        let may_decrease = now - self.decreased_at >= config.decrease_interval;
        if !late {
            self.limit += config.increase;
        } else if self.late_ratio > config.max_late_ratio && may_decrease {
            self.limit = self.limit.min(in_use) * config.decrease_factor;
            self.decreased_at = now;
        }
        self.limit = self.limit.clamp(config.min_limit, config.max_limit);
    }
}
