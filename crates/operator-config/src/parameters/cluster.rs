//! Parameters of `fellows()`.

use linnethook_membership::config::MembershipConfig;

use super::{Parameter, BYTES, BYTES_PER_SECOND, NO_UNIT, SECONDS, SECONDS_UNSCALED};

/// What `fellows()` sets beside its place.
pub const PARAMETERS: &[Parameter<MembershipConfig>] = &[
    real!(snapshot_transfer.start_after, "snapshot", SECONDS, 0.1..=3_600.0, "behind a fellow's hierarchy for so long, a router takes a snapshot of it"),
    integer!(max_batches as usize, "batches", NO_UNIT, 16.0..=1e6, "batches of the hierarchy that are passed on; who is further behind takes a snapshot"),
    real!(timeouts.suspect_after, "suspect", SECONDS, 0.1..=600.0, "out of reach for so long, a router is suspected"),
    real!(timeouts.dead_after, "gone", SECONDS, 1.0..=86_400.0, "and gone"),
    real!(timeouts.forget_after, "forget", SECONDS, 1.0..=604_800.0, "and forgotten"),
    real!(rate_limit.bytes_per_second, "rate", BYTES_PER_SECOND, 1_024.0..=1e8, "what is said to all fellows together"),
    real!(rate_limit.burst_seconds, "saved", SECONDS_UNSCALED, 0.1..=60.0, "so many seconds' bytes may be saved up"),
    real!(flush_interval, "every", SECONDS, 0.01..=10.0, "what has changed is said so often at the most"),
    integer!(bundle_bytes as usize, "bundle", BYTES, 1_024.0..=131_072.0, "of it in one go"),
    real!(comparison_interval, "compare", SECONDS, 0.1..=3_600.0, "how often tables are compared by digests"),
    real!(purge_retention, "purges", SECONDS, 10.0..=86_400.0, "how long purges are passed on, and caches that are back or gone"),
    real!(freeze_threshold, "frozen", SECONDS, 0.1..=600.0, "a process that did nothing for so long was frozen"),
    real!(yield_window, "yields", SECONDS, 0.0..=600.0, "and for so long leaves its name to one that started later"),
    integer!(table_limits.entries as usize, "facts", NO_UNIT, 64.0..=1e6, "facts that are kept"),
    integer!(table_limits.total_bytes as usize, "fact_bytes", BYTES, 65_536.0..=1e9, "bytes of all of them"),
    real!(aggregation.progress_interval, "progress", SECONDS, 0.1..=3_600.0, "with a place: how often this router says how far its journal is; a change of the hierarchy is said at once"),
    real!(aggregation.gather_delay, "gather", SECONDS, 0.01..=60.0, "with a place: news of a place is gathered for so long before its summary is told"),
    real!(aggregation.renew_interval, "renew", SECONDS, 0.1..=3_600.0, "with a place: a summary is told again after so long, and not relied on after three times as long"),
    real!(aggregation.transition_interval, "moves", SECONDS, 0.0..=3_600.0, "with a place: that one has gone over to another hierarchy as a whole is told so often at the most"),
    integer!(status_version as u16, "speaks", NO_UNIT, 1.0..=2.0, "the version in which this router tells of itself; an older one while not all read the newest"),
];
