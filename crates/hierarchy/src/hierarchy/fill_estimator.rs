//! Estimates the probability that a fill reaches the tiers above, from the time since the last fetch of its
//! key.
//!
//! A node that fetched a key recently most likely still has it cached. Keys are grouped into classes by the
//! time since their last fetch, and the observed outcomes of each class estimate those of the next fill.

use std::collections::BTreeMap;

use linnethook::estimators::Ewma;
use linnethook::hash_ring::hash_pair;
use linnethook::interface::Ms;

use super::{FillResult, HierarchyConfig, SelectedFill};
use crate::node::NodeId;
use crate::recent_keys::RecentKeys;

/// Number of classes of keys by time since the last fetch.
const AGE_CLASSES: usize = 6;

/// The class of keys whose last fetch time is not stored.
const UNKNOWN_AGE: usize = AGE_CLASSES - 1;

/// The upper bound of the first class, in milliseconds.
const FIRST_CLASS_END: Ms = 1_000.0;

/// The ratio between the upper bounds of two successive classes.
const CLASS_RATIO: f64 = 4.0;

/// Separates the fetch times of a key at a child from those at a source with the same id.
const CHILD_KEY_SALT: u64 = 0x6368_696c;

/// The class of a key whose last fetch was `age` milliseconds ago; `None` if unknown.
fn age_class(age: Option<Ms>) -> usize {
    let Some(age) = age else { return UNKNOWN_AGE };
    let class = (age / FIRST_CLASS_END).max(1.0).log(CLASS_RATIO).ceil() as usize;
    class.min(UNKNOWN_AGE - 1)
}

/// The observed outcomes at a node, by age class.
#[derive(Debug, Clone, Copy, Default)]
struct Observations {
    /// As a child: the fraction of requests that it had to fill.
    fills: [Ewma; AGE_CLASSES],
    /// As a source: the fraction of fills that it forwarded to the tiers above.
    forwarded: [Ewma; AGE_CLASSES],
}

/// An estimated probability, with the class of keys that it was estimated from.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    class: usize,
    probability: f64,
}

/// The estimated probabilities that a fill reaches its source and the tiers above.
#[derive(Debug, Clone, Copy)]
pub(super) struct FillEstimate {
    /// The probability that the child has to fill.
    pub reaches_source: f64,
    /// The probability that the source forwards a fill that has reached it.
    pub is_forwarded: f64,
    pub classes: EstimateClasses,
}

/// The classes that a fill's outcome is recorded in.
#[derive(Debug, Clone, Copy)]
pub(super) struct EstimateClasses {
    child: usize,
    source: usize,
}

/// Which tiers a fill reached; `None` where that is unknown.
#[derive(Debug, Clone, Copy)]
pub(super) struct FillReach {
    pub reached_source: Option<bool>,
    pub reached_upper_tiers: Option<bool>,
}

impl FillReach {
    pub fn of(result: FillResult) -> Self {
        let (reached_source, reached_upper_tiers) = match result {
            FillResult::AlreadyCached => (Some(false), Some(false)),
            FillResult::ServedFromCache => (Some(true), Some(false)),
            FillResult::ServedFromOrigin => (Some(true), Some(true)),
            FillResult::ServedFromUnknown | FillResult::Failed | FillResult::Abandoned => (None, None),
        };
        Self { reached_source, reached_upper_tiers }
    }
}

/// The data of a fill that the estimator needs to record its outcome.
#[derive(Debug, Clone, Copy)]
pub(super) struct EstimatedFill {
    pub child: NodeId,
    pub source: NodeId,
    pub key: u64,
    pub classes: EstimateClasses,
}

/// The estimator of one router.
#[derive(Debug, Clone)]
pub(super) struct FillEstimator {
    recent_keys: RecentKeys,
    last_sweep: Ms,
    /// The estimate for a key with a stored fetch time before any outcome was observed.
    initial_probability: f64,
    sample_weight: f64,
    observations: BTreeMap<NodeId, Observations>,
}

impl FillEstimator {
    pub fn new(config: &HierarchyConfig) -> Self {
        Self {
            recent_keys: RecentKeys::new(config.recent_keys, config.recent_keys_horizon),
            last_sweep: 0.0,
            initial_probability: config.initial_fill_probability,
            sample_weight: config.sample_weight,
            observations: BTreeMap::new(),
        }
    }

    /// Estimates which tiers a fill reaches.
    pub fn estimate(&self, now: Ms, fill: &SelectedFill) -> FillEstimate {
        let child = self.estimate_child(now, fill);
        let source = self.estimate_source(now, fill);
        FillEstimate {
            reaches_source: child.probability,
            is_forwarded: source.probability,
            classes: EstimateClasses { child: child.class, source: source.class },
        }
    }

    /// The probability that the child has to fill. A request that is sent directly to a source always reaches
    /// it.
    fn estimate_child(&self, now: Ms, fill: &SelectedFill) -> Estimate {
        if fill.child == fill.source {
            return Estimate { class: UNKNOWN_AGE, probability: 1.0 };
        }
        let age = self.recent_keys.age(now, child_key(fill.key, fill.child));
        self.estimate_by_age(age, self.observations.get(&fill.child).map(|observed| &observed.fills))
    }

    /// The probability that the source forwards the fill.
    fn estimate_source(&self, now: Ms, fill: &SelectedFill) -> Estimate {
        let age = self.recent_keys.age(now, source_key(fill.key, fill.source));
        self.estimate_by_age(age, self.observations.get(&fill.source).map(|observed| &observed.forwarded))
    }

    fn estimate_by_age(&self, age: Option<Ms>, observed: Option<&[Ewma; AGE_CLASSES]>) -> Estimate {
        let class = age_class(age);
        let initial = if age.is_some() { self.initial_probability } else { 1.0 };
        let mean = observed.map(|observed| observed[class]).filter(|mean| mean.samples > 0.0);
        Estimate { class, probability: mean.map_or(initial, |mean| mean.value) }
    }

    /// Records which tiers a fill reached, and the time at which its key was fetched.
    pub fn record(&mut self, now: Ms, fill: &EstimatedFill, result: FillResult) {
        let reach = FillReach::of(result);
        if let Some(reached_source) = reach.reached_source.filter(|_| fill.child != fill.source) {
            let observed = self.observations.entry(fill.child).or_default();
            let sample = f64::from(u8::from(reached_source));
            observed.fills[fill.classes.child].update_from_mean(sample, self.sample_weight);
        }
        if let (Some(true), Some(is_forwarded)) = (reach.reached_source, reach.reached_upper_tiers) {
            let observed = self.observations.entry(fill.source).or_default();
            let sample = f64::from(u8::from(is_forwarded));
            observed.forwarded[fill.classes.source].update_from_mean(sample, self.sample_weight);
        }
        if !matches!(result, FillResult::Failed | FillResult::Abandoned) {
            self.recent_keys.record(now, child_key(fill.key, fill.child));
        }
        if result.is_served() {
            self.recent_keys.record(now, source_key(fill.key, fill.source));
        }
    }

    /// Drops the observations of a node that has restarted with an empty cache.
    pub fn reset(&mut self, id: NodeId) {
        if let Some(observed) = self.observations.get_mut(&id) {
            *observed = Observations::default();
        }
    }

    /// Drops the observations of all nodes for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(NodeId) -> bool) {
        self.observations.retain(|id, _| keep(*id));
    }

    pub fn tick(&mut self, now: Ms) {
        if now - self.last_sweep >= self.recent_keys.sweep_interval() {
            self.last_sweep = now;
            self.recent_keys.sweep(now);
        }
    }
}

fn child_key(key: u64, child: NodeId) -> u64 {
    hash_pair(key, child.0 ^ CHILD_KEY_SALT)
}

fn source_key(key: u64, source: NodeId) -> u64 {
    hash_pair(key, source.0)
}
