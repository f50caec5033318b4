//! Limits the rate of fills that are sent to one parent or origin.
//!
//! The lower of two limits applies:
//!
//! - the adaptive limit is decreased while fills of the target are late, and then grows exponentially;
//! - the change ceiling limits the rate to about its level from before a change of the topology, so that the
//!   change can't overload the target. It applies only once that level is known.
//!
//! Without late fills and without a change there is no limit. No limit depends on the size of a deployment.

use linnethook::estimators::{ConcurrencyLimit, ConcurrencyLimitConfig, TokenBucket};
use linnethook::interface::Ms;

use crate::event_rate::EventRate;

/// The settings of a budget.
#[derive(Debug, Clone, Copy)]
pub struct RateBudgetConfig {
    /// Window over which the rate of fills is averaged, in milliseconds.
    pub rate_window: Ms,
    /// Weight of one fill in the fraction of late fills.
    pub sample_weight: f64,
    /// Fraction of late fills above which the adaptive limit is decreased.
    pub max_late_ratio: f64,
    /// Factor by which one decrease multiplies the limit.
    pub decrease_factor: f64,
    /// Shortest time between two decreases, in milliseconds.
    pub decrease_interval: Ms,
    /// Growth of a limit per second, relative to the limit.
    pub growth_per_second: f64,
    /// A limit is removed when it exceeds the rate of fills by this factor.
    pub unlimited_multiple: f64,
    /// The change ceiling, as a multiple of the rate before the change.
    pub headroom: f64,
    /// Burst size, in seconds at the limit. Random arrivals are clustered, relatively more at low rates.
    pub burst_seconds: f64,
    /// The lowest value of a limit, in fills per second.
    pub min_rate: f64,
    /// Time since the first fill after which the rate counts as known, in milliseconds.
    pub learning_time: Ms,
}

impl Default for RateBudgetConfig {
    fn default() -> Self {
        Self {
            rate_window: 10_000.0,
            sample_weight: 0.05,
            max_late_ratio: 0.25,
            decrease_factor: 0.8,
            decrease_interval: 500.0,
            growth_per_second: 0.1,
            unlimited_multiple: 4.0,
            headroom: 1.15,
            burst_seconds: 1.0,
            min_rate: 2.0,
            learning_time: 5_000.0,
        }
    }
}

/// The limit that is derived from the rate before a change.
#[derive(Debug, Clone, Copy)]
struct ChangeCeiling {
    /// Fills per second.
    limit: f64,
    /// When the change ended; the ceiling grows from then on.
    ended_at: Option<Ms>,
}

/// The parameters of the token bucket for a limit.
struct BucketParameters {
    /// Fills per millisecond.
    rate: f64,
    /// Fills that may be sent at the same time.
    burst: f64,
}

/// The budget of one target.
#[derive(Debug, Clone, Copy)]
pub struct RateBudget {
    config: RateBudgetConfig,
    rate: EventRate,
    adaptive_limit: ConcurrencyLimit,
    adapted_at: Ms,
    ceiling: Option<ChangeCeiling>,
    /// Whether a change is in progress and the rate before it is not known yet.
    is_learning: bool,
    allowance: TokenBucket,
}

impl RateBudget {
    /// A budget without a limit.
    pub fn new(now: Ms, config: RateBudgetConfig) -> Self {
        let mut allowance = TokenBucket::empty(now);
        allowance.spend(now, 0.0, 0.0, 0.0);
        Self {
            config,
            rate: EventRate::default(),
            adaptive_limit: ConcurrencyLimit::new(f64::INFINITY),
            adapted_at: now,
            ceiling: None,
            is_learning: false,
            allowance,
        }
    }

    /// Fills per second that are sent to the target.
    pub fn rate(&self, now: Ms) -> f64 {
        self.rate.per_second(now, self.config.rate_window)
    }

    /// The limit in fills per second; infinite if there is none.
    pub fn limit(&self, now: Ms) -> f64 {
        let ceiling = self.ceiling.map_or(f64::INFINITY, |ceiling| self.ceiling_at(now, &ceiling));
        self.adaptive_limit.limit.min(ceiling).max(self.config.min_rate)
    }

    fn ceiling_at(&self, now: Ms, ceiling: &ChangeCeiling) -> f64 {
        let seconds = ceiling.ended_at.map_or(0.0, |ended_at| (now - ended_at).max(0.0) / 1000.0);
        ceiling.limit * (1.0 + self.config.growth_per_second).powf(seconds)
    }

    /// The parameters of the token bucket; `None` without a limit.
    fn bucket_parameters(&self, now: Ms) -> Option<BucketParameters> {
        let limit = self.limit(now);
        let burst = (limit * self.config.burst_seconds).max(1.0);
        limit.is_finite().then(|| BucketParameters { rate: limit / 1000.0, burst })
    }

    /// Whether fills of the expected number `cost` may be sent now.
    pub fn admits(&self, now: Ms, cost: f64) -> bool {
        self.bucket_parameters(now).is_none_or(|bucket| {
            self.allowance.available(now, bucket.rate, bucket.burst) >= cost.min(bucket.burst)
        })
    }

    /// Milliseconds until fills of the expected number `cost` may be sent, if no others are.
    pub fn delay(&self, now: Ms, cost: f64) -> Ms {
        self.bucket_parameters(now).map_or(0.0, |bucket| {
            let missing = cost.min(bucket.burst) - self.allowance.available(now, bucket.rate, bucket.burst);
            (missing / bucket.rate).max(0.0)
        })
    }

    /// Whether the rate is so near the change ceiling that a rollout should pause.
    pub fn is_near_ceiling(&self, now: Ms) -> bool {
        // Halfway between the rate before the change and the ceiling.
        let near_ratio = (1.0 + 1.0 / self.config.headroom) / 2.0;
        self.ceiling
            .is_some_and(|ceiling| ceiling.ended_at.is_none() && self.rate(now) > ceiling.limit * near_ratio)
    }

    /// Records fills that are sent, whether the budget admitted them or not. A negative cost refunds earlier
    /// ones.
    pub fn spend(&mut self, now: Ms, cost: f64) {
        self.rate.add(now, cost, self.config.rate_window);
        if let Some(bucket) = self.bucket_parameters(now) {
            self.allowance.spend(now, bucket.rate, bucket.burst, cost);
        }
    }

    /// Records whether a fill of the target was late.
    pub fn report(&mut self, now: Ms, is_late: bool) {
        let rule = ConcurrencyLimitConfig {
            observation_weight: self.config.sample_weight,
            time_constant: self.config.rate_window,
            max_late_ratio: self.config.max_late_ratio,
            decrease_factor: self.config.decrease_factor,
            decrease_interval: self.config.decrease_interval,
            increase: 0.0,
            min_limit: self.config.min_rate,
            max_limit: f64::INFINITY,
        };
        self.adaptive_limit.record(now, is_late, self.rate(now), &rule);
    }

    /// Increases limits over time, and removes those that are far above the rate.
    pub fn tick(&mut self, now: Ms) {
        let used = self.rate(now).max(self.config.min_rate);
        let removed_above = used * self.config.unlimited_multiple;
        let was_unlimited = self.grow_adaptive_limit(now, removed_above);
        let is_removable = |ceiling: &ChangeCeiling| {
            ceiling.ended_at.is_some() && self.ceiling_at(now, ceiling) > removed_above
        };
        if self.ceiling.as_ref().is_some_and(is_removable) {
            self.ceiling = None;
        }
        if self.is_learning && self.is_rate_known(now) {
            self.set_ceiling(now);
        }
        if was_unlimited && self.limit(now).is_finite() {
            self.allowance = TokenBucket::empty(now);
        }
    }

    /// Increases the adaptive limit over time. Returns whether there was no limit before.
    fn grow_adaptive_limit(&mut self, now: Ms, removed_above: f64) -> bool {
        let seconds = ((now - self.adapted_at) / 1000.0).max(0.0);
        self.adapted_at = now;
        let was_unlimited = self.limit(now).is_infinite();
        if self.adaptive_limit.limit.is_finite() {
            self.adaptive_limit.limit *= (1.0 + self.config.growth_per_second).powf(seconds);
            if self.adaptive_limit.limit > removed_above {
                self.adaptive_limit.limit = f64::INFINITY;
            }
        }
        was_unlimited
    }

    /// Applies the change ceiling from the start of a topology change until its end.
    pub fn begin_change(&mut self, now: Ms) {
        let is_known = self.is_rate_known(now);
        match &mut self.ceiling {
            // A further change must not raise the ceiling by the fills that the earlier one caused.
            Some(ceiling) => ceiling.ended_at = None,
            None if is_known => self.set_ceiling(now),
            // A ceiling from the rate of a very short time would reject fills that the target can serve.
            None => self.is_learning = true,
        }
    }

    /// Whether fills were sent to the target for long enough that their rate is known.
    fn is_rate_known(&self, now: Ms) -> bool {
        self.rate.age(now) >= self.config.learning_time
    }

    fn set_ceiling(&mut self, now: Ms) {
        let limit = (self.rate(now) * self.config.headroom).max(self.config.min_rate);
        self.ceiling = Some(ChangeCeiling { limit, ended_at: None });
        self.is_learning = false;
        self.allowance = TokenBucket::empty(now);
    }

    /// Whether a change is in progress and the rate before it is not known yet.
    pub fn is_learning(&self) -> bool {
        self.is_learning
    }

    /// Ends the change: the ceiling grows until it is removed.
    pub fn end_change(&mut self, now: Ms) {
        self.is_learning = false;
        if let Some(ceiling) = self.ceiling.as_mut().filter(|ceiling| ceiling.ended_at.is_none()) {
            ceiling.ended_at = Some(now);
        }
    }

    /// Whether the change ceiling applies, during a change or after it.
    pub fn has_ceiling(&self) -> bool {
        self.ceiling.is_some()
    }
}
