//! Parameters of `fellows()`.

use linnethook_membership::config::MembershipConfig;

use super::{Parameter, BYTES, BYTES_PER_SECOND, NO_UNIT, SECONDS, SECONDS_UNSCALED};

/// The numeric parameters of `fellows()`.
pub const PARAMETERS: &[Parameter<MembershipConfig>] = &[
    real!(
        snapshot_transfer.start_after,
        "snapshot",
        SECONDS,
        0.1..=3_600.0,
        "how long a router is behind the hierarchy of a peer before it requests a snapshot"
    ),
    integer!(
        max_batches as usize,
        "batches",
        NO_UNIT,
        16.0..=1e6,
        "hierarchy batches retained for peers; a router further behind requests a snapshot"
    ),
    real!(
        timeouts.suspect_after,
        "suspect",
        SECONDS,
        0.1..=600.0,
        "time out of reach after which a router is suspected"
    ),
    real!(
        timeouts.dead_after,
        "gone",
        SECONDS,
        1.0..=86_400.0,
        "time out of reach after which a router is considered dead"
    ),
    real!(
        timeouts.forget_after,
        "forget",
        SECONDS,
        1.0..=604_800.0,
        "time after which a dead or departed router is forgotten"
    ),
    real!(
        rate_limit.bytes_per_second,
        "rate",
        BYTES_PER_SECOND,
        1_024.0..=1e8,
        "rate limit of messages to all peers together"
    ),
    real!(
        rate_limit.burst_seconds,
        "saved",
        SECONDS_UNSCALED,
        0.1..=60.0,
        "burst size, as seconds of that rate"
    ),
    real!(flush_interval, "every", SECONDS, 0.01..=10.0, "interval in which changed entries are sent"),
    integer!(
        bundle_bytes as usize,
        "bundle",
        BYTES,
        1_024.0..=131_072.0,
        "maximum number of bytes of entries that are sent together"
    ),
    real!(
        comparison_interval,
        "compare",
        SECONDS,
        0.1..=3_600.0,
        "interval in which peers compare their tables by digests"
    ),
    real!(
        purge_retention,
        "purges",
        SECONDS,
        10.0..=86_400.0,
        "how long entries of purges, and of caches that are ready again or removed, are retained"
    ),
    real!(
        freeze_threshold,
        "frozen",
        SECONDS,
        0.1..=600.0,
        "a process that did not run for this long counts as frozen"
    ),
    real!(
        yield_window,
        "yields",
        SECONDS,
        0.0..=600.0,
        "how long after a freeze a process still yields its name to a later incarnation"
    ),
    integer!(table_limits.entries as usize, "facts", NO_UNIT, 64.0..=1e6, "maximum number of entries"),
    integer!(
        table_limits.total_bytes as usize,
        "fact_bytes",
        BYTES,
        65_536.0..=1e9,
        "maximum number of bytes of all entries"
    ),
    real!(
        aggregation.progress_interval,
        "progress",
        SECONDS,
        0.1..=3_600.0,
        "with `place`: interval of reports of the journal position; hierarchy changes are reported at once"
    ),
    real!(
        aggregation.gather_delay,
        "gather",
        SECONDS,
        0.01..=60.0,
        "with `place`: a changed summary is published once nothing has changed for this long"
    ),
    real!(
        aggregation.renew_interval,
        "renew",
        SECONDS,
        0.1..=3_600.0,
        "with `place`: interval in which a summary is published again; it is valid for three times as long"
    ),
    real!(
        aggregation.transition_interval,
        "moves",
        SECONDS,
        0.0..=3_600.0,
        "with `place`: minimum interval between reports of complete moves to another hierarchy"
    ),
    integer!(
        status_version as u16,
        "speaks",
        NO_UNIT,
        1.0..=2.0,
        "version in which this router writes its status; an older one until all routers read the newest"
    ),
];
