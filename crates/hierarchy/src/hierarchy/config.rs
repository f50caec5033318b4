//! The settings of the hierarchy.

use linnethook::interface::Ms;

use crate::batch::BatchLimits;
use crate::edge_backoff::EdgeBackoffConfig;
use crate::history::HistoryLimits;
use crate::origin_shield::ShieldConfig;
use crate::rollout::RolloutConfig;

/// All settings of the hierarchy. Durations are in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct HierarchyConfig {
    /// Bounds on batches and on the topology.
    pub batch_limits: BatchLimits,
    /// Bounds on the size of the history.
    pub history_limits: HistoryLimits,
    /// How long edges are excluded after a detected loop.
    pub edge_backoff: EdgeBackoffConfig,
    /// How children migrate to new sources.
    pub rollout: RolloutConfig,
    /// The limits of the origin shield.
    pub shield: ShieldConfig,
    /// Whether children migrate in stages; otherwise they switch sources at once.
    pub rollout_enabled: bool,
    /// Whether the shield limits fills; otherwise all are admitted.
    pub shield_enabled: bool,
    /// For how long a retiring node still serves requests for cached objects.
    pub retirement_grace: Ms,
    /// Number of keys whose last fetch time is stored.
    pub recent_keys: usize,
    /// For how long a fetch time is stored.
    pub recent_keys_horizon: Ms,
    /// The initial estimate of the probability that a node has to fetch a recently fetched key again.
    pub initial_fill_probability: f64,
    /// Weight of one fill in an estimated probability.
    pub sample_weight: f64,
    /// Maximum number of caches whose fill sources this router selects.
    pub max_children: usize,
    /// The smallest change of a fraction of objects that is published.
    pub publish_step: f64,
    /// For how long the tiers above count as constrained after a rate budget rejected a fill.
    pub constrained_hold: Ms,
}

impl Default for HierarchyConfig {
    fn default() -> Self {
        Self {
            batch_limits: BatchLimits::default(),
            history_limits: HistoryLimits::default(),
            edge_backoff: EdgeBackoffConfig::default(),
            rollout: RolloutConfig::default(),
            shield: ShieldConfig::default(),
            rollout_enabled: true,
            shield_enabled: true,
            retirement_grace: 120_000.0,
            recent_keys: 65_536,
            recent_keys_horizon: 120_000.0,
            initial_fill_probability: 0.1,
            sample_weight: 0.05,
            max_children: 4_096,
            publish_step: 1.0 / 128.0,
            constrained_hold: 500.0,
        }
    }
}
