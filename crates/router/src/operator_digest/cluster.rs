//! The input of the digest for the `fellows()`, `audit()` and `straggler()` sections.

use linnethook_audit::audit_log::AuditLogConfig;
use linnethook_membership::aggregation::tree::AggregationConfig;
use linnethook_membership::config::MembershipConfig;
use linnethook_membership::gossip::entry_table::TableLimits;
use linnethook_membership::gossip::plumtree::PlumtreeConfig;
use linnethook_membership::gossip::rate_limit::RateLimitConfig;
use linnethook_membership::membership::MembershipTimeouts;
use linnethook_membership::snapshot_transfer::SnapshotTransferConfig;
use linnethook_membership::straggler::StragglerConfig;
use linnethook_operator_config::config::StragglerSection;

use super::{record, Verbatim};

pub(super) fn membership_config(config: &MembershipConfig) -> Verbatim {
    record(
        "Rules",
        &[
            ("members", &membership_timeouts(&config.timeouts)),
            ("fetch", &snapshot_transfer_config(&config.snapshot_transfer)),
            ("pace", &rate_limit_config(&config.rate_limit)),
            ("kept", &table_limits(&config.table_limits)),
            ("every", &config.flush_interval),
            ("bundle", &config.bundle_bytes),
            ("compare", &config.comparison_interval),
            ("purges", &config.purge_retention),
            ("batches", &config.max_batches),
            ("frozen", &config.freeze_threshold),
            ("yields", &config.yield_window),
            ("speaks", &config.status_version),
            ("tree", &aggregation_config(&config.aggregation)),
            ("plumtree", &plumtree_config(&config.plumtree)),
        ],
    )
}

fn membership_timeouts(config: &MembershipTimeouts) -> Verbatim {
    record(
        "MemberRule",
        &[("suspect", &config.suspect_after), ("gone", &config.dead_after), ("forget", &config.forget_after)],
    )
}

fn snapshot_transfer_config(config: &SnapshotTransferConfig) -> Verbatim {
    record(
        "FetchRule",
        &[
            ("behind", &config.start_after),
            ("quiet", &config.peer_timeout),
            ("most", &config.max_bytes),
            ("piece", &config.chunk_bytes),
        ],
    )
}

fn rate_limit_config(config: &RateLimitConfig) -> Verbatim {
    record("PaceRule", &[("rate", &config.bytes_per_second), ("saved", &config.burst_seconds)])
}

fn table_limits(limits: &TableLimits) -> Verbatim {
    record(
        "Kept",
        &[
            ("facts", &limits.entries),
            ("longest", &limits.entry_bytes),
            ("bytes", &limits.total_bytes),
            ("unknown", &limits.unknown_entries),
        ],
    )
}

fn aggregation_config(config: &AggregationConfig) -> Verbatim {
    record(
        "TreeRule",
        &[
            ("progress", &config.progress_interval),
            ("gather", &config.gather_delay),
            ("renew", &config.renew_interval),
            ("moves", &config.transition_interval),
        ],
    )
}

fn plumtree_config(config: &PlumtreeConfig) -> Verbatim {
    record(
        "PlumtreeRule",
        &[
            ("prunes", &config.lazy_links),
            ("announce", &config.announce_interval),
            ("graft", &config.graft_timeout),
        ],
    )
}

pub(super) fn audit_config(config: &AuditLogConfig) -> Verbatim {
    record(
        "Rules",
        &[
            ("span", &config.max_span),
            ("kinds", &config.max_action_kinds),
            ("bookings", &config.max_write_attempts),
            ("bytes", &config.max_log_bytes),
            ("copy_bytes", &config.max_replica_bytes),
            ("copies", &config.replica_count),
        ],
    )
}

pub(super) fn straggler_section(section: &StragglerSection) -> Verbatim {
    record("StragglerPart", &[("voters", &section.voters), ("rule", &straggler_config(&section.parameters))])
}

pub(super) fn straggler_config(config: &StragglerConfig) -> Verbatim {
    record(
        "StragglerRule",
        &[
            ("bound", &config.grace_period),
            ("alone", &config.isolation_timeout),
            ("back", &config.recovery_ramp),
            ("come_back", &config.retry_after),
        ],
    )
}
