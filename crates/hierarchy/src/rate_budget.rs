//! The rate of fills that may go to one parent or origin.
//!
//! Two limits apply, and the lower one counts:
//!
//! - the adaptive limit is cut while fills of the target end late, and grows back in proportion to itself;
//! - the change ceiling holds the rate near its level from before a change of the topology, so that the change
//!   alone can't flood the target. It applies only once that level is known.
//!
//! Without lateness and without a change there is no limit. No limit depends on the size of a deployment.

use linnethook::estimators::{ConcurrencyLimit, ConcurrencyLimitConfig, TokenBucket};
use linnethook::interface::Ms;

use crate::event_rate::EventRate;

/// How a budget adapts.
#[derive(Debug, Clone, Copy)]
pub struct RateBudgetConfig {
    /// Window over which the rate of fills is averaged, in milliseconds.
    pub rate_window: Ms,
    /// Weight of one fill in the ratio of late fills.
    pub sample_weight: f64,
    /// Ratio of late fills above which the adaptive limit is cut.
    pub max_late_ratio: f64,
    /// Factor of one cut.
    pub decrease_factor: f64,
    /// Shortest time between two cuts, in milliseconds.
    pub decrease_interval: Ms,
    /// Growth of a limit per second, as a ratio of itself.
    pub growth_per_second: f64,
    /// A limit is lifted when it exceeds the rate of fills by this factor.
    pub unlimited_multiple: f64,
    /// The change ceiling, as a multiple of the rate before the change.
    pub headroom: f64,
    /// Burst size, as seconds of the limit. Arrivals at random come in clusters, the more so at low rates.
    pub burst_seconds: f64,
    /// The least value of a limit, in fills per second.
    pub min_rate: f64,
    /// For how long fills have to be seen before their rate counts as known, in milliseconds.
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

/// The limit that holds the rate near its level from before a change.
#[derive(Debug, Clone, Copy)]
struct ChangeCeiling {
    /// Fills per second.
    limit: f64,
    /// When the change ended; the ceiling grows from then on.
    ended_at: Option<Ms>,
}

/// The flow that a limit allows.
struct Flow {
    /// Fills per millisecond.
    rate: f64,
    /// Fills that may go at once.
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
    /// A change is in progress, and the rate before it is not known yet.
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

    /// Fills per second that go to the target.
    pub fn rate(&self, now: Ms) -> f64 {
        self.rate.per_second(now, self.config.rate_window)
    }

    /// Fills per second that may go to the target; infinite without a limit.
    pub fn limit(&self, now: Ms) -> f64 {
        let ceiling = self.ceiling.map_or(f64::INFINITY, |ceiling| self.ceiling_at(now, &ceiling));
        self.adaptive_limit.limit.min(ceiling).max(self.config.min_rate)
    }

    fn ceiling_at(&self, now: Ms, ceiling: &ChangeCeiling) -> f64 {
        let seconds = ceiling.ended_at.map_or(0.0, |ended_at| (now - ended_at).max(0.0) / 1000.0);
        ceiling.limit * (1.0 + self.config.growth_per_second).powf(seconds)
    }

    fn flow(&self, now: Ms) -> Option<Flow> {
        let limit = self.limit(now);
        let burst = (limit * self.config.burst_seconds).max(1.0);
        limit.is_finite().then(|| Flow { rate: limit / 1000.0, burst })
    }

    /// Whether fills of that expected number may go now.
    pub fn admits(&self, now: Ms, cost: f64) -> bool {
        self.flow(now)
            .is_none_or(|flow| self.allowance.available(now, flow.rate, flow.burst) >= cost.min(flow.burst))
    }

    /// Milliseconds until fills of that expected number may go, if no others do.
    pub fn delay(&self, now: Ms, cost: f64) -> Ms {
        self.flow(now).map_or(0.0, |flow| {
            let missing = cost.min(flow.burst) - self.allowance.available(now, flow.rate, flow.burst);
            (missing / flow.rate).max(0.0)
        })
    }

    /// Whether the rate is so near the change ceiling that a rollout had better pause.
    pub fn is_near_ceiling(&self, now: Ms) -> bool {
        // Half way between the rate before the change and the ceiling.
        let near_ratio = (1.0 + 1.0 / self.config.headroom) / 2.0;
        self.ceiling
            .is_some_and(|ceiling| ceiling.ended_at.is_none() && self.rate(now) > ceiling.limit * near_ratio)
    }

    /// Records fills that go, admitted or not. A negative cost is given back.
    pub fn spend(&mut self, now: Ms, cost: f64) {
        self.rate.add(now, cost, self.config.rate_window);
        if let Some(flow) = self.flow(now) {
            self.allowance.spend(now, flow.rate, flow.burst, cost);
        }
    }

    /// Records whether a fill of the target ended late.
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

    /// Lets limits grow, and lifts those that limit nothing any more.
    pub fn tick(&mut self, now: Ms) {
        let used = self.rate(now).max(self.config.min_rate);
        let lifted_above = used * self.config.unlimited_multiple;
        let was_unlimited = self.grow_adaptive_limit(now, lifted_above);
        let is_lifted = |ceiling: &ChangeCeiling| {
            ceiling.ended_at.is_some() && self.ceiling_at(now, ceiling) > lifted_above
        };
        if self.ceiling.as_ref().is_some_and(is_lifted) {
            self.ceiling = None;
        }
        if self.is_learning && self.is_rate_known(now) {
            self.set_ceiling(now);
        }
        if was_unlimited && self.limit(now).is_finite() {
            self.allowance = TokenBucket::empty(now);
        }
    }

    /// Lets the adaptive limit grow. Returns whether there was no limit before.
    fn grow_adaptive_limit(&mut self, now: Ms, lifted_above: f64) -> bool {
        let seconds = ((now - self.adapted_at) / 1000.0).max(0.0);
        self.adapted_at = now;
        let was_unlimited = self.limit(now).is_infinite();
        if self.adaptive_limit.limit.is_finite() {
            self.adaptive_limit.limit *= (1.0 + self.config.growth_per_second).powf(seconds);
            if self.adaptive_limit.limit > lifted_above {
                self.adaptive_limit.limit = f64::INFINITY;
            }
        }
        was_unlimited
    }

    /// A change of the topology begins: the change ceiling applies until it ends.
    pub fn begin_change(&mut self, now: Ms) {
        let is_known = self.is_rate_known(now);
        match &mut self.ceiling {
            // A further change must not raise the ceiling by the fills that this one caused.
            Some(ceiling) => ceiling.ended_at = None,
            None if is_known => self.set_ceiling(now),
            // A ceiling by the rate of a moment would refuse what the target can serve.
            None => self.is_learning = true,
        }
    }

    /// Whether fills went to the target for long enough to know their rate.
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

    /// The change has ended: the ceiling grows until it is lifted.
    pub fn end_change(&mut self, now: Ms) {
        self.is_learning = false;
        if let Some(ceiling) = self.ceiling.as_mut().filter(|ceiling| ceiling.ended_at.is_none()) {
            ceiling.ended_at = Some(now);
        }
    }

    /// Whether the change ceiling applies, in a change or after it.
    pub fn has_ceiling(&self) -> bool {
        self.ceiling.is_some()
    }
}
