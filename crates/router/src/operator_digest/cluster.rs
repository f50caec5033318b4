//! The `fellows()`, `audit()` and `straggler()` sections, as the digest has them.

use linnethook_audit::audit_log::AuditLogConfig;
use linnethook_membership::config::MembershipConfig;
use linnethook_membership::straggler::StragglerConfig;
use linnethook_operator_config::config::StragglerSection;

use super::{record, Verbatim};

pub(super) fn membership_config(config: &MembershipConfig) -> Verbatim {
    let (members, fetch, storage, tree) =
        (&config.timeouts, &config.snapshot_transfer, &config.table_limits, &config.aggregation);
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
        &[("rate", &config.rate_limit.bytes_per_second), ("saved", &config.rate_limit.burst_seconds)],
    );
    let storage = record(
        "Kept",
        &[
            ("facts", &storage.entries),
            ("longest", &storage.entry_bytes),
            ("bytes", &storage.total_bytes),
            ("unknown", &storage.unknown_entries),
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
    let plumtree = &config.plumtree;
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
            ("kept", &storage),
            ("every", &config.flush_interval),
            ("bundle", &config.bundle_bytes),
            ("compare", &config.comparison_interval),
            ("purges", &config.purge_retention),
            ("batches", &config.max_batches),
            ("frozen", &config.freeze_threshold),
            ("yields", &config.yield_window),
            ("speaks", &config.status_version),
            ("tree", &tree),
            ("plumtree", &plumtree),
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
