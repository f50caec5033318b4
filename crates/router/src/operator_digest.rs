//! A digest of the operator file, by which routers of a fleet tell whether they run with the same settings.
//!
//! Other builds compare it with theirs, so its input is a format: the names written here are those of the format
//! and stay as they are when a field of the program is renamed. Where a router listens and connects, and the
//! folder of its audit log, are left out: they differ from router to router.

use std::fmt::{self, Debug};

use linnethook_audit::audit_log::AuditLogConfig;
use linnethook_gateway::gateway::GatewayConfig as GatewayRules;
use linnethook_gateway::heartbeat::HeartbeatConfig;
use linnethook_hierarchy::change_spec::{NodeSpec, SourceSpec};
use linnethook_hierarchy::origin_shield::ShieldConfig;
use linnethook_hierarchy::rate_budget::RateBudgetConfig;
use linnethook_hierarchy::rollout::RolloutConfig;
use linnethook_hierarchy::{HierarchyConfig, Role};
use linnethook_membership::config::MembershipConfig;
use linnethook_membership::straggler::StragglerConfig;
use linnethook_operator_config::config::{
    HierarchySection, LogSection, ShadowPolicySection, SiteConfig, StragglerSection,
};
use linnethook_operator_config::OperatorConfig;
use xxhash_rust::xxh3::xxh3_64;

/// The digest of all settings that routers of a fleet have in common.
pub fn digest(operator: &OperatorConfig) -> u64 {
    xxh3_64(format!("{:?}", common_settings(operator)).as_bytes())
}

/// A value that is written as it stands.
struct Verbatim(String);

impl Debug for Verbatim {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// `Name { field: value, ... }`.
fn record(name: &str, fields: &[(&str, &dyn Debug)]) -> Verbatim {
    let fields: Vec<String> = fields.iter().map(|(field, value)| format!("{field}: {value:?}")).collect();
    Verbatim(format!("{name} {{ {} }}", fields.join(", ")))
}

fn common_settings(operator: &OperatorConfig) -> impl Debug {
    let hierarchy = operator.hierarchy.as_ref().map(|hierarchy| {
        let nodes: Vec<Verbatim> = hierarchy.nodes.iter().map(node).collect();
        (hierarchy_part(hierarchy), nodes)
    });
    let gateway = operator.gateway.as_ref().map(|gateway| {
        let fellows = gateway.cluster.as_ref().map(|fellows| {
            let audit = fellows.audit.as_ref().map(|audit| audit_rules(&audit.parameters));
            (fellow_rules(&fellows.parameters), audit, fellows.straggler.as_ref().map(straggler_part))
        });
        let sites: Vec<Verbatim> = gateway.sites.iter().map(site).collect();
        (gateway.site.clone(), gateway_rules(&gateway.parameters), sites, fellows)
    });
    (hierarchy, gateway, operator.shadow_policy.as_ref().map(watch), operator.log.as_ref().map(log))
}

fn log(log: &LogSection) -> Verbatim {
    record("Log", &[("json", &log.json), ("lines_per_second", &log.lines_per_second)])
}

fn watch(watch: &ShadowPolicySection) -> Verbatim {
    record(
        "WatchPart",
        &[
            ("weight_source", &watch.weight_source),
            ("tells", &watch.tells),
            ("peers_fill", &watch.peers_fill),
            ("merges_fills", &watch.merges_fills),
            ("bypass_allowed", &watch.bypass_allowed),
            ("max_attempts", &watch.max_attempts),
            ("every", &watch.log_interval_seconds),
        ],
    )
}

fn node(node: &NodeSpec) -> Verbatim {
    let role = match node.role {
        Role::Cache => "Cache",
        Role::Parent => "Parent",
        Role::Origin => "Origin",
    };
    let sources: Vec<Verbatim> = node.sources.iter().map(source).collect();
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

fn source(source: &SourceSpec) -> Verbatim {
    record("SourceSpec", &[("name", &source.name), ("rank", &source.rank)])
}

fn site(site: &SiteConfig) -> Verbatim {
    record("SiteSpec", &[("name", &site.name), ("classes", &site.classes)])
}

fn hierarchy_part(part: &HierarchySection) -> Verbatim {
    record(
        "HierarchyPart",
        &[
            ("author", &part.author),
            ("extended", &part.extended),
            ("rules", &hierarchy_rules(&part.parameters)),
        ],
    )
}

fn hierarchy_rules(rules: &HierarchyConfig) -> Verbatim {
    let bounds = &rules.batch_limits;
    let bounds = record(
        "Bounds",
        &[
            ("changes", &bounds.max_changes),
            ("sources", &bounds.max_sources),
            ("nodes", &bounds.max_nodes),
            ("authors", &bounds.max_authors),
        ],
    );
    let kept = record(
        "Kept",
        &[
            ("batches", &rules.history_limits.retained_batches),
            ("waiting", &rules.history_limits.pending_batches),
        ],
    );
    let hold = &rules.edge_backoff;
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
            ("kept", &kept),
            ("hold", &hold),
            ("stages", &stage_rule(&rules.rollout)),
            ("shield", &shield_rule(&rules.shield)),
            ("staged", &rules.rollout_enabled),
            ("shielded", &rules.shield_enabled),
            ("retire", &rules.retirement_grace),
            ("keys", &rules.recent_keys),
            ("horizon", &rules.recent_keys_horizon),
            ("likely_seen", &rules.initial_fill_probability),
            ("weight", &rules.sample_weight),
            ("children", &rules.max_children),
            ("grain", &rules.publish_step),
            ("short", &rules.constrained_hold),
        ],
    )
}

fn stage_rule(rule: &RolloutConfig) -> Verbatim {
    let cold = &rule.slow_start;
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
            ("announce", &rule.announcement),
            ("warm", &rule.ramp_duration),
            ("first", &rule.initial_fraction),
            ("settle", &rule.settling_time),
            ("cold", &cold),
            ("cold_part", &rule.slow_start_fraction),
            ("weight", &rule.sample_weight),
            ("seen", &rule.min_samples),
            ("harm", &rule.max_failure_ratio),
            ("worse", &rule.max_failure_multiple),
            ("rest", &rule.retry_delay),
            ("longer", &rule.backoff_factor),
            ("tries", &rule.max_attempts),
            ("held", &rule.max_pause),
        ],
    )
}

fn shield_rule(rule: &ShieldConfig) -> Verbatim {
    record(
        "ShieldRule",
        &[
            ("budget", &budget_rule(&rule.budget)),
            ("lease", &rule.lease_duration),
            ("leases", &rule.max_leases),
            ("waiting", &rule.max_queued),
            ("waiting_bytes", &rule.max_queued_bytes),
            ("wait", &rule.max_wait),
            ("come_back", &(rule.min_retry_after, rule.max_retry_after)),
            ("targets", &rule.max_targets),
        ],
    )
}

fn budget_rule(rule: &RateBudgetConfig) -> Verbatim {
    record(
        "BudgetRule",
        &[
            ("span", &rule.rate_window),
            ("weight", &rule.sample_weight),
            ("bear", &rule.max_late_ratio),
            ("cut", &rule.decrease_factor),
            ("gap", &rule.decrease_interval),
            ("grow", &rule.growth_per_second),
            ("open", &rule.unlimited_multiple),
            ("headroom", &rule.headroom),
            ("burst", &rule.burst_seconds),
            ("least", &rule.min_rate),
            ("learn", &rule.learning_time),
        ],
    )
}

fn gateway_rules(rules: &GatewayRules) -> Verbatim {
    record(
        "Rules",
        &[
            ("session", &session_rule(rules)),
            ("retry", &retry_rule(rules)),
            ("routes", &route_rule(rules)),
            ("window", &window_rule(rules)),
            ("home", &home_rule(rules)),
            ("across", &across_rule(rules)),
            ("horizon", &horizon(rules)),
            ("peers", &peer_rule(rules)),
        ],
    )
}

fn session_rule(rules: &GatewayRules) -> Verbatim {
    let rule = &rules.session;
    let streams = &rule.flow_control;
    let streams = record(
        "Bounds",
        &[
            ("streams", &streams.max_streams),
            ("stream_window", &streams.stream_window_bytes),
            ("link_window", &streams.link_window_bytes),
            ("turn", &streams.max_turn_bytes),
            ("patience", &streams.max_skipped_turns),
        ],
    );
    record(
        "SessionRule",
        &[
            ("streams", &streams),
            ("pulse", &pulse_rule(&rule.heartbeat)),
            ("frame", &rule.max_frame_bytes),
            ("crowded", &rule.crowded_output_bytes),
            ("backlog", &rule.max_output_bytes),
            ("greeting", &rule.hello_timeout),
            ("called_off", &rule.max_cancelled_streams),
        ],
    )
}

fn pulse_rule(rule: &HeartbeatConfig) -> Verbatim {
    record(
        "PulseRule",
        &[
            ("every", &rule.interval),
            ("gaps", &rule.max_samples),
            ("least_spread", &rule.min_deviation),
            ("phi", &rule.phi_threshold),
            ("least", &rule.min_silence),
            ("most", &rule.max_silence),
            ("slow", &rule.slow_ratio),
            ("flaps", &rule.flap_threshold),
            ("flap_span", &rule.flap_window),
        ],
    )
}

fn retry_rule(rules: &GatewayRules) -> Verbatim {
    let rule = &rules.reconnect;
    record(
        "RetryRule",
        &[
            ("first", &rule.initial_delay),
            ("longer", &rule.delay_multiplier),
            ("longest", &rule.max_delay),
            ("well", &rule.reset_after),
        ],
    )
}

fn route_rule(rules: &GatewayRules) -> Verbatim {
    let rule = &rules.routing;
    record(
        "RouteRule",
        &[
            ("first", &rule.initial_share),
            ("rise", &rule.ramp_duration),
            ("rise_writes", &rule.write_ramp_duration),
            ("half", &rule.share_half_life),
            ("flapping", &rule.flapping_share),
            ("full", &rule.full_utilization),
            ("room", &rule.reopen_utilization),
            ("bad", &rule.max_failure_ratio),
            ("good", &rule.reopen_failure_ratio),
            ("weight", &rule.sample_weight),
            ("seen", &rule.min_samples),
            ("repeats", &rule.retries_per_request),
            ("saved", &rule.max_saved_retries),
            ("hops", &rule.max_hops),
        ],
    )
}

fn window_rule(rules: &GatewayRules) -> Verbatim {
    let rule = &rules.concurrency_window;
    record(
        "WindowRule",
        &[
            ("first", &rule.initial),
            ("least", &rule.min),
            ("most", &rule.max),
            ("bear", &rule.max_late_ratio),
            ("weight", &rule.sample_weight),
            ("cut", &rule.decrease_factor),
            ("pause", &rule.decrease_interval),
            ("shares", &rule.priority_shares),
            ("bytes", &rule.max_expected_bytes),
        ],
    )
}

fn home_rule(rules: &GatewayRules) -> Verbatim {
    let rule = &rules.local_capacity;
    record(
        "HomeRule",
        &[
            ("bad", &rule.max_failure_ratio),
            ("weight", &rule.sample_weight),
            ("seen", &rule.min_samples),
            ("good", &rule.recovery_successes),
            ("every", &rule.probe_interval),
            ("span", &rule.sample_lifetime),
        ],
    )
}

fn across_rule(rules: &GatewayRules) -> Verbatim {
    let rule = &rules.forwarding;
    record(
        "AcrossRule",
        &[
            ("attempts", &rule.max_attempts),
            ("guests", &rule.max_remote_requests),
            ("least", &rule.min_retry_time),
            ("tries", &rule.max_retries),
            ("wait", &rule.max_wait),
            ("waiting", &rule.max_waiting),
            ("bytes", &rule.max_buffered_bytes),
            ("resumed", &rule.max_resumed_per_check),
            ("resumes", &rule.resumes_bodies),
            ("asks", &rule.queries_outcomes),
            ("answer", &rule.max_answer_bytes),
            ("writing", &rule.answer_write_timeout),
            ("come_back", &rule.retry_after),
        ],
    )
}

fn horizon(rules: &GatewayRules) -> Verbatim {
    let horizon = &rules.attempt_ledger;
    record(
        "Horizon",
        &[
            ("span", &horizon.retention),
            ("tokens", &horizon.max_tokens),
            ("bytes", &horizon.max_answer_bytes),
        ],
    )
}

fn peer_rule(rules: &GatewayRules) -> Verbatim {
    let rule = &rules.peers;
    record(
        "PeerRule",
        &[
            ("fresh", &rule.max_state_delay),
            ("bound", &rule.state_lifetime),
            ("facts", &rule.max_facts),
            ("purges", &rule.purge_retention),
            ("gateways", &rule.max_gateways),
            ("connections", &rule.max_connections),
            ("accepted", &rule.max_accepted),
        ],
    )
}

fn fellow_rules(rules: &MembershipConfig) -> Verbatim {
    let (members, fetch, kept, tree) =
        (&rules.timeouts, &rules.snapshot_transfer, &rules.table_limits, &rules.aggregation);
    let members = record(
        "MemberRule",
        &[
            ("suspect", &members.suspect_after),
            ("gone", &members.dead_after),
            ("forget", &members.forget_after),
        ],
    );
    let fetch = record(
        "FetchRule",
        &[
            ("behind", &fetch.start_after),
            ("quiet", &fetch.peer_timeout),
            ("most", &fetch.max_bytes),
            ("piece", &fetch.chunk_bytes),
        ],
    );
    let pace = record(
        "PaceRule",
        &[("rate", &rules.rate_limit.bytes_per_second), ("saved", &rules.rate_limit.burst_seconds)],
    );
    let kept = record(
        "Kept",
        &[
            ("facts", &kept.entries),
            ("longest", &kept.entry_bytes),
            ("bytes", &kept.total_bytes),
            ("unknown", &kept.unknown_entries),
        ],
    );
    let tree = record(
        "TreeRule",
        &[
            ("progress", &tree.progress_interval),
            ("gather", &tree.gather_delay),
            ("renew", &tree.renew_interval),
            ("moves", &tree.transition_interval),
        ],
    );
    let plumtree = &rules.plumtree;
    let plumtree = record(
        "PlumtreeRule",
        &[
            ("prunes", &plumtree.lazy_links),
            ("announce", &plumtree.announce_interval),
            ("graft", &plumtree.graft_timeout),
        ],
    );
    record(
        "Rules",
        &[
            ("members", &members),
            ("fetch", &fetch),
            ("pace", &pace),
            ("kept", &kept),
            ("every", &rules.flush_interval),
            ("bundle", &rules.bundle_bytes),
            ("compare", &rules.comparison_interval),
            ("purges", &rules.purge_retention),
            ("batches", &rules.max_batches),
            ("frozen", &rules.freeze_threshold),
            ("yields", &rules.yield_window),
            ("speaks", &rules.status_version),
            ("tree", &tree),
            ("plumtree", &plumtree),
        ],
    )
}

fn audit_rules(rules: &AuditLogConfig) -> Verbatim {
    record(
        "Rules",
        &[
            ("span", &rules.max_span),
            ("kinds", &rules.max_action_kinds),
            ("bookings", &rules.max_write_attempts),
            ("bytes", &rules.max_log_bytes),
            ("copy_bytes", &rules.max_replica_bytes),
            ("copies", &rules.replica_count),
        ],
    )
}

fn straggler_part(part: &StragglerSection) -> Verbatim {
    record("StragglerPart", &[("voters", &part.voters), ("rule", &straggler_rule(&part.parameters))])
}

fn straggler_rule(rule: &StragglerConfig) -> Verbatim {
    record(
        "StragglerRule",
        &[
            ("bound", &rule.grace_period),
            ("alone", &rule.isolation_timeout),
            ("back", &rule.recovery_ramp),
            ("come_back", &rule.retry_after),
        ],
    )
}

#[cfg(test)]
#[path = "../tests/unit/operator_digest.rs"]
mod tests;
