//! Estimators of observed quantities. They hold no tuned value: every parameter is passed in.

use crate::interface::Ms;

/// An exponentially weighted moving average.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Ewma {
    /// The average.
    pub value: f64,
    /// Number of observations so far.
    pub samples: f64,
}

impl Ewma {
    /// An average that starts at `value`, without any observation.
    pub fn new(value: f64) -> Self {
        Self { value, samples: 0.0 }
    }

    /// Adds an observation with that weight, or as a plain mean while there are fewer than `1 / weight`.
    pub fn update_from_mean(&mut self, observed: f64, weight: f64) {
        self.samples += 1.0;
        self.value += (observed - self.value) * weight.max(1.0 / self.samples);
    }

    /// Adds an observation with that weight, which the first one has too.
    pub fn update(&mut self, observed: f64, weight: f64) {
        self.samples += 1.0;
        self.value += (observed - self.value) * weight;
    }
}

/// The average over time of a level that changes in steps, with exponential decay of the past.
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

    /// Accounts for the time since the last call, during which the level was `level`.
    pub fn advance(&mut self, now: Ms, level: f64, time_constant: Ms) {
        self.mean += (level - self.mean) * (1.0 - (-(now - self.updated_at) / time_constant).exp());
        self.updated_at = now;
    }
}

/// A token bucket that may be overdrawn.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    tokens: f64,
    updated_at: Ms,
}

impl TokenBucket {
    /// A bucket without tokens at the time `now`.
    pub fn empty(now: Ms) -> Self {
        Self { tokens: 0.0, updated_at: now }
    }

    /// The tokens now, with `rate` of them added per millisecond up to `burst`; negative when overdrawn.
    pub fn available(&self, now: Ms, rate: f64, burst: f64) -> f64 {
        (self.tokens + rate * (now - self.updated_at)).min(burst)
    }

    /// Takes `amount` tokens out, whether or not there are as many.
    pub fn spend(&mut self, now: Ms, rate: f64, burst: f64, amount: f64) {
        self.tokens = self.available(now, rate, burst) - amount;
        self.updated_at = now;
    }
}

/// Parameters of a [`ConcurrencyLimit`].
#[derive(Debug, Clone, Copy)]
pub struct ConcurrencyLimitConfig {
    /// Weight of an observation in the ratio of late ones, from 0 to 1.
    pub observation_weight: f64,
    /// Time constant of that ratio: rare observations weigh more, so that it reaches back no further.
    pub memory: Ms,
    /// Ratio of late observations above which the limit is decreased.
    pub max_late_ratio: f64,
    /// Factor of a decrease.
    pub decrease_factor: f64,
    /// Minimum time between two decreases.
    pub decrease_interval: Ms,
    /// Added to the limit by each observation that is in time.
    pub increase: f64,
    /// The limit never falls below this.
    pub min_limit: f64,
    /// The limit never rises above this.
    pub max_limit: f64,
}

/// A limit with additive increase and multiplicative decrease (AIMD), driven by late and timely results.
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

    /// Adds an observation. A decrease starts from `in_use` where that is less than the limit.
    pub fn record(&mut self, now: Ms, late: bool, in_use: f64, config: &ConcurrencyLimitConfig) {
        let idle = (now - self.updated_at).max(0.0);
        let weight = config.observation_weight.max(1.0 - (-idle / config.memory).exp());
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
