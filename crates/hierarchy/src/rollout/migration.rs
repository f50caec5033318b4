//! The migration of children to one new source: the fraction of objects that it fills, and its stage
//! transitions.

use linnethook::estimators::Ewma;
use linnethook::interface::Ms;

use super::{RollbackReason, RolloutConfig, RolloutStage};
use crate::node::NodeId;
use crate::version::BatchPosition;

/// The largest exponent of the retry backoff.
const MAX_BACKOFF_EXPONENT: u32 = 30;

/// Identifies the migration of children to a new source by one batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MigrationId {
    /// The new source.
    pub target: NodeId,
    /// The position of the batch that made it a source.
    pub position: BatchPosition,
}

/// The external conditions of a stage transition.
#[derive(Debug, Clone, Copy)]
pub(super) struct Conditions {
    /// Whether the tiers above reject fills or are near their limits.
    pub is_constrained: bool,
    /// Whether the new source is ready.
    pub is_target_ready: bool,
}

/// The state of a migration, and the observed failure ratios.
#[derive(Debug, Clone)]
pub struct Migration {
    stage: RolloutStage,
    /// The start of the ramp, delayed by the total time of its pauses. After a rollback, the time of the next
    /// attempt.
    ramp_start: Ms,
    /// Total time for which the ramp has paused.
    paused: Ms,
    attempts: u32,
    new_failures: Ewma,
    old_failures: Ewma,
    /// When the new source last started; 0 if unknown.
    target_started: Ms,
    has_no_fallback: bool,
    last_tick: Ms,
}

impl Migration {
    /// A migration by a batch that takes effect at `effective_at`, to a source that started at
    /// `target_started`.
    pub(super) fn new(now: Ms, effective_at: Ms, target_started: Ms, config: &RolloutConfig) -> Self {
        let ramp_start = effective_at + config.announcement;
        // A router that receives the batch late, for instance after a restart, enters the ramp where the
        // others are.
        let stage = if now >= ramp_start { RolloutStage::Warming } else { RolloutStage::Planned };
        Self {
            stage,
            ramp_start,
            paused: 0.0,
            attempts: 0,
            new_failures: Ewma::new(0.0),
            old_failures: Ewma::new(0.0),
            target_started,
            has_no_fallback: false,
            last_tick: now,
        }
    }

    /// The current stage.
    pub fn stage(&self) -> RolloutStage {
        self.stage
    }

    /// Number of rollbacks so far.
    pub fn rollbacks(&self) -> u32 {
        self.attempts
    }

    /// The ratio of late or failed fills by the new source, from 0 to 1.
    pub fn new_failure_ratio(&self) -> f64 {
        self.new_failures.value
    }

    /// The ratio of late or failed fills by the old sources, from 0 to 1.
    pub fn old_failure_ratio(&self) -> f64 {
        self.old_failures.value
    }

    /// The fraction of objects that the new source fills now, from 0 to 1.
    ///
    /// It rises linearly over the ramp, which starts at a time given by the batch. All routers therefore
    /// agree on it unless they have paused, rolled back or retried because of their own observations. For a
    /// source that has just started, the slow start limits the fraction. Without a fallback the new source
    /// fills all objects: the remaining old source is the origin, which the shield protects, and the new
    /// source caches the objects that it fills.
    pub fn fraction(&self, now: Ms, config: &RolloutConfig) -> f64 {
        let ramp = match self.stage {
            _ if self.has_no_fallback => 1.0,
            RolloutStage::Settled => 1.0,
            RolloutStage::Planned | RolloutStage::Announced | RolloutStage::RolledBack(_) => 0.0,
            RolloutStage::Warming => {
                let progress = (now - self.ramp_start).max(0.0) / config.ramp_duration.max(1.0);
                (config.initial_fraction + (1.0 - config.initial_fraction) * progress).min(1.0)
            }
        };
        ramp.min(self.slow_start_fraction(now, config))
    }

    /// The upper bound that slow start sets on the fraction of a source that has just started; 1 for any
    /// other.
    fn slow_start_fraction(&self, now: Ms, config: &RolloutConfig) -> f64 {
        let slow_start = &config.slow_start;
        let age = now - self.target_started;
        if self.target_started <= 0.0 || slow_start.duration <= 0.0 || age >= slow_start.duration {
            return 1.0;
        }
        let capacity = slow_start.initial_ratio
            + (1.0 - slow_start.initial_ratio) * (age / slow_start.duration).max(0.0);
        (capacity * slow_start.overload_multiple * config.slow_start_fraction).min(1.0)
    }

    /// Whether it is announced or warming.
    pub(super) fn is_in_progress(&self) -> bool {
        matches!(self.stage, RolloutStage::Announced | RolloutStage::Warming)
    }

    /// Whether it was rolled back and has no retries left.
    pub(super) fn is_abandoned(&self, config: &RolloutConfig) -> bool {
        matches!(self.stage, RolloutStage::RolledBack(_)) && self.attempts >= config.max_attempts
    }

    /// Whether the failure ratio of the new source is too high: it is based on enough samples, above the
    /// maximum, and far above that of the old sources. The last condition excludes failures that affect old
    /// and new sources alike, which the change has not caused.
    fn has_high_failure_rate(&self, config: &RolloutConfig) -> bool {
        self.new_failures.samples >= config.min_samples
            && self.new_failures.value > config.max_failure_ratio
            && self.new_failures.value > self.old_failures.value * config.max_failure_multiple
    }

    /// Records the end of a fill by the new source.
    pub(super) fn record_new(&mut self, failure: f64, config: &RolloutConfig) {
        self.new_failures.update_from_mean(failure, config.sample_weight);
    }

    /// Records the end of a fill by an old source.
    pub(super) fn record_old(&mut self, failure: f64, config: &RolloutConfig) {
        self.old_failures.update_from_mean(failure, config.sample_weight);
    }

    /// Records that the new source has restarted with an empty cache.
    pub(super) fn target_restarted(&mut self, at: Ms) {
        self.target_started = self.target_started.max(at);
    }

    pub(super) fn set_has_no_fallback(&mut self, has_no_fallback: bool) {
        self.has_no_fallback = has_no_fallback;
    }

    /// Rolls back a migration that is planned, announced or warming. The next attempt follows after a delay
    /// that grows with each rollback; a requested rollback is final. Returns whether the migration was rolled
    /// back.
    pub(super) fn roll_back(&mut self, now: Ms, reason: RollbackReason, config: &RolloutConfig) -> bool {
        if !self.is_in_progress() && self.stage != RolloutStage::Planned {
            return false;
        }
        self.stage = RolloutStage::RolledBack(reason);
        let exponent = self.attempts.min(MAX_BACKOFF_EXPONENT) as i32;
        let delay = config.retry_delay * config.backoff_factor.powi(exponent);
        self.attempts = match reason {
            RollbackReason::Requested => config.max_attempts,
            _ => self.attempts + 1,
        };
        self.ramp_start = now + delay;
        self.new_failures = Ewma::new(0.0);
        true
    }

    /// Enters the next stage if it is due. All decisions to proceed, to pause or to roll back for a high
    /// failure rate are made here. Returns whether the stage has changed.
    pub(super) fn tick(&mut self, now: Ms, conditions: Conditions, config: &RolloutConfig) -> bool {
        let elapsed = (now - self.last_tick).max(0.0);
        self.last_tick = now;
        let before = self.stage;
        match self.stage {
            RolloutStage::Planned if now >= self.ramp_start - config.announcement => {
                self.stage = RolloutStage::Announced;
            }
            RolloutStage::Announced if now >= self.ramp_start => self.stage = RolloutStage::Warming,
            RolloutStage::Warming => self.tick_warming(now, elapsed, conditions, config),
            RolloutStage::RolledBack(_) if self.may_retry(now, conditions, config) => {
                self.ramp_start = now;
                self.stage = RolloutStage::Warming;
            }
            _ => {}
        }
        self.stage != before
    }

    fn tick_warming(&mut self, now: Ms, elapsed: Ms, conditions: Conditions, config: &RolloutConfig) {
        if self.has_high_failure_rate(config) && !self.has_no_fallback {
            self.roll_back(now, RollbackReason::HighFailureRate, config);
        } else if conditions.is_constrained && self.paused < config.max_pause {
            self.paused += elapsed;
            self.ramp_start += elapsed;
        } else {
            let is_ramp_complete = self.fraction(now, config) >= 1.0;
            if is_ramp_complete && now >= self.ramp_start + config.ramp_duration + config.settling_time {
                self.stage = RolloutStage::Settled;
            }
        }
    }

    /// Whether a rolled-back migration may be retried: its delay has passed and the new source is ready.
    fn may_retry(&self, now: Ms, conditions: Conditions, config: &RolloutConfig) -> bool {
        !self.is_abandoned(config) && now >= self.ramp_start && conditions.is_target_ready
    }

    /// When the next transition that depends only on time is due, in milliseconds of Unix time.
    pub(super) fn next_deadline(&self, config: &RolloutConfig) -> Option<Ms> {
        match self.stage {
            RolloutStage::Planned => Some(self.ramp_start - config.announcement),
            RolloutStage::Announced => Some(self.ramp_start),
            RolloutStage::RolledBack(_) if !self.is_abandoned(config) => Some(self.ramp_start),
            _ => None,
        }
    }
}
