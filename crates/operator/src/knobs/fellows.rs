//! Owns the table of `fellows(...)`.

use linnethook_membership::config::MembershipConfig as Rules;

use super::{Knob, SECONDS};

/// What `fellows(...)` sets.
pub const FELLOWS: &[Knob<Rules>] = &[
    knob!(
        "snapshot",
        "seconds",
        (0.1, 3_600.0),
        SECONDS,
        snapshot_transfer.start_after,
        "behind a fellow's hierarchy for so long, a router takes a snapshot of it"
    ),
    knob!(whole "batches", "", (16.0, 1e6), usize, max_batches, "batches of the hierarchy that are passed on; who is further behind takes a snapshot"),
    knob!(
        "suspect",
        "seconds",
        (0.1, 600.0),
        SECONDS,
        timeouts.suspect_after,
        "out of reach for so long, a router is suspected"
    ),
    knob!("gone", "seconds", (1.0, 86_400.0), SECONDS, timeouts.dead_after, "and gone"),
    knob!("forget", "seconds", (1.0, 604_800.0), SECONDS, timeouts.forget_after, "and forgotten"),
    knob!("rate", "bytes a second", (1_024.0, 1e8), 1.0, rate_limit.bytes_per_second, "what is said to all fellows together"),
    knob!("saved", "seconds", (0.1, 60.0), 1.0, rate_limit.burst_seconds, "so many seconds' bytes may be saved up"),
    knob!("every", "seconds", (0.01, 10.0), SECONDS, flush_interval, "what has changed is said so often at the most"),
    knob!(whole "bundle", "bytes", (1_024.0, 131_072.0), usize, bundle_bytes, "of it in one go"),
    knob!("compare", "seconds", (0.1, 3_600.0), SECONDS, comparison_interval, "how often tables are compared by digests"),
    knob!(
        "purges",
        "seconds",
        (10.0, 86_400.0),
        SECONDS,
        purge_retention,
        "how long purges are passed on, and caches that are back or gone"
    ),
    knob!(
        "frozen",
        "seconds",
        (0.1, 600.0),
        SECONDS,
        freeze_threshold,
        "a process that did nothing for so long was frozen"
    ),
    knob!(
        "yields",
        "seconds",
        (0.0, 600.0),
        SECONDS,
        yield_window,
        "and for so long leaves its name to one that started later"
    ),
    knob!(whole "facts", "", (64.0, 1e6), usize, table_limits.entries, "facts that are kept"),
    knob!(whole "fact_bytes", "bytes", (65_536.0, 1e9), usize, table_limits.total_bytes, "bytes of all of them"),
    knob!(
        "progress",
        "seconds",
        (0.1, 3_600.0),
        SECONDS,
        aggregation.progress_interval,
        "with a place: how often this router says how far its journal is; a change of the hierarchy is said at once"
    ),
    knob!(
        "gather",
        "seconds",
        (0.01, 60.0),
        SECONDS,
        aggregation.gather_delay,
        "with a place: news of a place is gathered for so long before its summary is told"
    ),
    knob!(
        "renew",
        "seconds",
        (0.1, 3_600.0),
        SECONDS,
        aggregation.renew_interval,
        "with a place: a summary is told again after so long, and not relied on after three times as long"
    ),
    knob!(
        "moves",
        "seconds",
        (0.0, 3_600.0),
        SECONDS,
        aggregation.transition_interval,
        "with a place: that one has gone over to another hierarchy as a whole is told so often at the most"
    ),
    knob!(whole "speaks", "", (1.0, 2.0), u16, status_version, "the version in which this router tells of itself; an older one while not all read the newest"),
];
