//! The input of the digest for the `hierarchy()` section and its nodes.

use linnethook_hierarchy::change_spec::{NodeSpec, SourceSpec};
use linnethook_hierarchy::origin_shield::ShieldConfig;
use linnethook_hierarchy::rate_budget::RateBudgetConfig;
use linnethook_hierarchy::rollout::RolloutConfig;
use linnethook_hierarchy::{HierarchyConfig, Role};
use linnethook_operator_config::config::HierarchySection;

use super::{record, Verbatim};

pub(super) fn node_spec(node: &NodeSpec) -> Verbatim {
    let role = match node.role {
        Role::Cache => "Cache",
        Role::Parent => "Parent",
        Role::Origin => "Origin",
    };
    let sources: Vec<Verbatim> = node.sources.iter().map(source_spec).collect();
    record(
        "NodeSpec",
        &[
            ("name", &node.name),
            ("role", &Verbatim(role.to_string())),
            ("site", &node.site),
            ("tier", &node.tier),
            ("capacity", &node.capacity),
            ("retiring", &node.retiring),
            ("sources", &sources),
        ],
    )
}

pub(super) fn source_spec(source: &SourceSpec) -> Verbatim {
    record("SourceSpec", &[("name", &source.name), ("rank", &source.rank)])
}

pub(super) fn hierarchy_section(section: &HierarchySection) -> Verbatim {
    record(
        "HierarchyPart",
        &[
            ("author", &section.author),
            ("extended", &section.extended),
            ("rules", &hierarchy_config(&section.parameters)),
        ],
    )
}

pub(super) fn hierarchy_config(config: &HierarchyConfig) -> Verbatim {
    let bounds = &config.batch_limits;
    let bounds = record(
        "Bounds",
        &[
            ("changes", &bounds.max_changes),
            ("sources", &bounds.max_sources),
            ("nodes", &bounds.max_nodes),
            ("authors", &bounds.max_authors),
        ],
    );
    let storage = record(
        "Kept",
        &[
            ("batches", &config.history_limits.retained_batches),
            ("waiting", &config.history_limits.pending_batches),
        ],
    );
    let hold = &config.edge_backoff;
    let hold = record(
        "HoldRule",
        &[
            ("first", &hold.initial),
            ("longer", &hold.factor),
            ("longest", &hold.max),
            ("most", &hold.max_edges),
        ],
    );
    record(
        "Rules",
        &[
            ("bounds", &bounds),
            ("kept", &storage),
            ("hold", &hold),
            ("stages", &rollout_config(&config.rollout)),
            ("shield", &shield_config(&config.shield)),
            ("staged", &config.rollout_enabled),
            ("shielded", &config.shield_enabled),
            ("retire", &config.retirement_grace),
            ("keys", &config.recent_keys),
            ("horizon", &config.recent_keys_horizon),
            ("likely_seen", &config.initial_fill_probability),
            ("weight", &config.sample_weight),
            ("children", &config.max_children),
            ("grain", &config.publish_step),
            ("short", &config.constrained_hold),
        ],
    )
}

pub(super) fn rollout_config(config: &RolloutConfig) -> Verbatim {
    let cold = &config.slow_start;
    let cold = record(
        "ColdStart",
        &[
            ("from", &cold.initial_ratio),
            ("warm_in", &cold.duration),
            ("fall_multiple", &cold.overload_multiple),
            ("window", &cold.overload_window),
        ],
    );
    record(
        "StageRule",
        &[
            ("announce", &config.announcement),
            ("warm", &config.ramp_duration),
            ("first", &config.initial_fraction),
            ("settle", &config.settling_time),
            ("cold", &cold),
            ("cold_part", &config.slow_start_fraction),
            ("weight", &config.sample_weight),
            ("seen", &config.min_samples),
            ("harm", &config.max_failure_ratio),
            ("worse", &config.max_failure_multiple),
            ("rest", &config.retry_delay),
            ("longer", &config.backoff_factor),
            ("tries", &config.max_attempts),
            ("held", &config.max_pause),
        ],
    )
}

pub(super) fn shield_config(config: &ShieldConfig) -> Verbatim {
    record(
        "ShieldRule",
        &[
            ("budget", &rate_budget_config(&config.budget)),
            ("lease", &config.lease_duration),
            ("leases", &config.max_leases),
            ("waiting", &config.max_queued),
            ("waiting_bytes", &config.max_queued_bytes),
            ("wait", &config.max_wait),
            ("come_back", &(config.min_retry_after, config.max_retry_after)),
            ("targets", &config.max_targets),
        ],
    )
}

pub(super) fn rate_budget_config(config: &RateBudgetConfig) -> Verbatim {
    record(
        "BudgetRule",
        &[
            ("span", &config.rate_window),
            ("weight", &config.sample_weight),
            ("bear", &config.max_late_ratio),
            ("cut", &config.decrease_factor),
            ("gap", &config.decrease_interval),
            ("grow", &config.growth_per_second),
            ("open", &config.unlimited_multiple),
            ("headroom", &config.headroom),
            ("burst", &config.burst_seconds),
            ("least", &config.min_rate),
            ("learn", &config.learning_time),
        ],
    )
}
