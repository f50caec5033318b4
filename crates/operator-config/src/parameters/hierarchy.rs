//! Parameters of `hierarchy()`.

use linnethook_hierarchy::Rules as HierarchyParameters;

use super::{Parameter, BYTES, FILLS, FILLS_PER_SECOND, NO_UNIT, SECONDS};

/// What `hierarchy()` sets beside its switches.
pub const PARAMETERS: &[Parameter<HierarchyParameters>] = &[
    real!(stages.announce, "announce", SECONDS, 0.0..=600.0, "how long a change is told before it begins"),
    real!(stages.warm, "warm", SECONDS, 0.1..=86_400.0, "how long children take to go over to a new source"),
    real!(stages.first, "first", NO_UNIT, 0.0..=1.0, "the part of the objects with which that begins"),
    real!(
        stages.settle,
        "settle",
        SECONDS,
        0.0..=86_400.0,
        "how long the old source is still asked for what it holds"
    ),
    real!(
        retire,
        "retire",
        SECONDS,
        1.0..=86_400.0,
        "how long a node that retires is still named for what it holds"
    ),
    real!(
        stages.harm,
        "harm",
        NO_UNIT,
        0.01..=1.0,
        "share of late or failed fills by a new source that rolls a change back"
    ),
    real!(stages.worse, "worse", NO_UNIT, 1.0..=100.0, "and so many times the share by the old source"),
    real!(
        stages.rest,
        "rest",
        SECONDS,
        0.1..=86_400.0,
        "pause before a change that was rolled back is tried again, doubled each time"
    ),
    integer!(stages.tries as u32, "tries", NO_UNIT, 1.0..=100.0, "how often a change is tried"),
    real!(
        stages.held,
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
        shield.budget.bear,
        "bear",
        NO_UNIT,
        0.01..=1.0,
        "share of late fills above which a tier gets less"
    ),
    real!(
        shield.budget.grow,
        "grow",
        NO_UNIT,
        0.001..=1.0,
        "part of itself by which a limit grows in a second without trouble"
    ),
    real!(shield.budget.least, "least", FILLS_PER_SECOND, 0.1..=1e6, "what may go to a tier in any case"),
    real!(
        shield.budget.learn,
        "learn",
        SECONDS,
        0.1..=600.0,
        "how long something has to go to a tier before that is known as what goes there"
    ),
    real!(
        shield.lease,
        "lease",
        SECONDS,
        0.01..=60.0,
        "how long one fill keeps others of the same object waiting at the most"
    ),
    real!(shield.wait, "wait", SECONDS, 0.0..=10.0, "how long a fill may wait for its turn"),
    integer!(shield.waiting as usize, "waiting", FILLS, 0.0..=100_000.0, "how many may wait"),
    real!(shield.waiting_bytes, "waiting_bytes", BYTES, 0.0..=1e9, "and what they may want together"),
    integer!(shield.leases as usize, "leases", NO_UNIT, 1.0..=1e6, "leases kept"),
    integer!(keys as usize, "keys", NO_UNIT, 64.0..=1e8, "cold keys remembered, four bytes each"),
    real!(horizon, "horizon", SECONDS, 1.0..=86_400.0, "for how long"),
    integer!(bounds.nodes as usize, "nodes", NO_UNIT, 1.0..=1e6, "nodes of a shape"),
    integer!(bounds.changes as usize, "changes", NO_UNIT, 1.0..=1e6, "changes of a batch"),
    integer!(bounds.sources as usize, "sources", NO_UNIT, 1.0..=255.0, "sources of a node"),
    integer!(kept.batches as usize, "batches", NO_UNIT, 1.0..=1e6, "batches that can be taken back"),
];
