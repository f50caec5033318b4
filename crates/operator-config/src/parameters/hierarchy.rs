//! Parameters of `hierarchy()`.

use linnethook_hierarchy::HierarchyConfig;

use super::{Parameter, BYTES, FILLS, FILLS_PER_SECOND, NO_UNIT, SECONDS};

/// The numeric parameters of `hierarchy()`.
pub const PARAMETERS: &[Parameter<HierarchyConfig>] = &[
    real!(
        rollout.announcement,
        "announce",
        SECONDS,
        0.0..=600.0,
        "time from the effective time of a change to the start of its ramp"
    ),
    real!(
        rollout.ramp_duration,
        "warm",
        SECONDS,
        0.1..=86_400.0,
        "duration of the ramp over which children move to a new source"
    ),
    real!(
        rollout.initial_fraction,
        "first",
        NO_UNIT,
        0.0..=1.0,
        "fraction of the objects with which the ramp starts"
    ),
    real!(
        rollout.settling_time,
        "settle",
        SECONDS,
        0.0..=86_400.0,
        "time after the ramp during which the old source is still queried for cached objects"
    ),
    real!(
        retirement_grace,
        "retire",
        SECONDS,
        1.0..=86_400.0,
        "how long a retiring node still serves requests for cached objects"
    ),
    real!(
        rollout.max_failure_ratio,
        "harm",
        NO_UNIT,
        0.01..=1.0,
        "ratio of late or failed fills by a new source above which a change is rolled back"
    ),
    real!(
        rollout.max_failure_multiple,
        "worse",
        NO_UNIT,
        1.0..=100.0,
        "a change is rolled back only if that ratio also exceeds the ratio of the old sources by this factor"
    ),
    real!(
        rollout.retry_delay,
        "rest",
        SECONDS,
        0.1..=86_400.0,
        "delay before a change that was rolled back is retried, doubled each time"
    ),
    integer!(
        rollout.max_attempts as u32,
        "tries",
        NO_UNIT,
        1.0..=100.0,
        "number of rollbacks after which a change is not retried"
    ),
    real!(
        rollout.max_pause,
        "held",
        SECONDS,
        0.0..=86_400.0,
        "longest total time for which a change pauses while the tiers above are short of capacity"
    ),
    real!(
        shield.budget.headroom,
        "headroom",
        NO_UNIT,
        1.0..=10.0,
        "limit on the fills of a tier during a change, as a multiple of their rate before it"
    ),
    real!(
        shield.budget.max_late_ratio,
        "bear",
        NO_UNIT,
        0.01..=1.0,
        "ratio of late fills above which the limit of a tier is decreased"
    ),
    real!(
        shield.budget.growth_per_second,
        "grow",
        NO_UNIT,
        0.001..=1.0,
        "growth of a limit per second, relative to the limit"
    ),
    real!(shield.budget.min_rate, "least", FILLS_PER_SECOND, 0.1..=1e6, "lowest limit of a tier"),
    real!(
        shield.budget.learning_time,
        "learn",
        SECONDS,
        0.1..=600.0,
        "time since the first fill from a tier after which its rate counts as known"
    ),
    real!(
        shield.lease_duration,
        "lease",
        SECONDS,
        0.01..=60.0,
        "longest time for which one fill blocks others of the same object"
    ),
    real!(shield.max_wait, "wait", SECONDS, 0.0..=10.0, "longest time that a fill is queued"),
    integer!(shield.max_queued as usize, "waiting", FILLS, 0.0..=100_000.0, "maximum number of queued fills"),
    real!(shield.max_queued_bytes, "waiting_bytes", BYTES, 0.0..=1e9, "maximum total size of queued fills"),
    integer!(shield.max_leases as usize, "leases", NO_UNIT, 1.0..=1e6, "maximum number of leases"),
    integer!(
        recent_keys as usize,
        "keys",
        NO_UNIT,
        64.0..=1e8,
        "cold keys whose last fetch time is stored, four bytes each"
    ),
    real!(recent_keys_horizon, "horizon", SECONDS, 1.0..=86_400.0, "how long a fetch time is stored"),
    integer!(
        batch_limits.max_nodes as usize,
        "nodes",
        NO_UNIT,
        1.0..=1e6,
        "maximum number of nodes of a topology"
    ),
    integer!(
        batch_limits.max_changes as usize,
        "changes",
        NO_UNIT,
        1.0..=1e6,
        "maximum number of changes of a batch"
    ),
    integer!(
        batch_limits.max_sources as usize,
        "sources",
        NO_UNIT,
        1.0..=255.0,
        "maximum number of sources of a node"
    ),
    integer!(
        history_limits.retained_batches as usize,
        "batches",
        NO_UNIT,
        1.0..=1e6,
        "batches that can still be undone to insert a late one before them"
    ),
];
