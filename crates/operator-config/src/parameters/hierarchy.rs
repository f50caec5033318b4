//! Parameters of `hierarchy()`.

use linnethook_hierarchy::HierarchyConfig;

use super::{Parameter, BYTES, FILLS, FILLS_PER_SECOND, NO_UNIT, SECONDS};

/// What `hierarchy()` sets beside its switches.
pub const PARAMETERS: &[Parameter<HierarchyConfig>] = &[
    real!(
        rollout.announcement,
        "announce",
        SECONDS,
        0.0..=600.0,
        "how long a change is told before it begins"
    ),
    real!(
        rollout.ramp_duration,
        "warm",
        SECONDS,
        0.1..=86_400.0,
        "how long children take to go over to a new source"
    ),
    real!(
        rollout.initial_fraction,
        "first",
        NO_UNIT,
        0.0..=1.0,
        "the part of the objects with which that begins"
    ),
    real!(
        rollout.settling_time,
        "settle",
        SECONDS,
        0.0..=86_400.0,
        "how long the old source is still asked for what it holds"
    ),
    real!(
        retirement_grace,
        "retire",
        SECONDS,
        1.0..=86_400.0,
        "how long a node that retires is still named for what it holds"
    ),
    real!(
        rollout.max_failure_ratio,
        "harm",
        NO_UNIT,
        0.01..=1.0,
        "share of late or failed fills by a new source that rolls a change back"
    ),
    real!(
        rollout.max_failure_multiple,
        "worse",
        NO_UNIT,
        1.0..=100.0,
        "and so many times the share by the old source"
    ),
    real!(
        rollout.retry_delay,
        "rest",
        SECONDS,
        0.1..=86_400.0,
        "pause before a change that was rolled back is tried again, doubled each time"
    ),
    integer!(rollout.max_attempts as u32, "tries", NO_UNIT, 1.0..=100.0, "how often a change is tried"),
    real!(
        rollout.max_pause,
        "held",
        SECONDS,
        0.0..=86_400.0,
        "how long in all a change stands still while the tiers above are short"
    ),
    real!(
        shield.budget.headroom,
        "headroom",
        NO_UNIT,
        1.0..=10.0,
        "so many times what went to a tier before a change may go while it is on"
    ),
    real!(
        shield.budget.max_late_ratio,
        "bear",
        NO_UNIT,
        0.01..=1.0,
        "share of late fills above which a tier gets less"
    ),
    real!(
        shield.budget.growth_per_second,
        "grow",
        NO_UNIT,
        0.001..=1.0,
        "part of itself by which a limit grows in a second without trouble"
    ),
    real!(shield.budget.min_rate, "least", FILLS_PER_SECOND, 0.1..=1e6, "what may go to a tier in any case"),
    real!(
        shield.budget.learning_time,
        "learn",
        SECONDS,
        0.1..=600.0,
        "how long something has to go to a tier before that is known as what goes there"
    ),
    real!(
        shield.lease_duration,
        "lease",
        SECONDS,
        0.01..=60.0,
        "how long one fill keeps others of the same object waiting at the most"
    ),
    real!(shield.max_wait, "wait", SECONDS, 0.0..=10.0, "how long a fill may wait for its turn"),
    integer!(shield.max_queued as usize, "waiting", FILLS, 0.0..=100_000.0, "how many may wait"),
    real!(shield.max_queued_bytes, "waiting_bytes", BYTES, 0.0..=1e9, "and what they may want together"),
    integer!(shield.max_leases as usize, "leases", NO_UNIT, 1.0..=1e6, "leases kept"),
    integer!(recent_keys as usize, "keys", NO_UNIT, 64.0..=1e8, "cold keys remembered, four bytes each"),
    real!(recent_keys_horizon, "horizon", SECONDS, 1.0..=86_400.0, "for how long"),
    integer!(batch_limits.max_nodes as usize, "nodes", NO_UNIT, 1.0..=1e6, "nodes of a shape"),
    integer!(batch_limits.max_changes as usize, "changes", NO_UNIT, 1.0..=1e6, "changes of a batch"),
    integer!(batch_limits.max_sources as usize, "sources", NO_UNIT, 1.0..=255.0, "sources of a node"),
    integer!(
        history_limits.retained_batches as usize,
        "batches",
        NO_UNIT,
        1.0..=1e6,
        "batches that can be taken back"
    ),
];
