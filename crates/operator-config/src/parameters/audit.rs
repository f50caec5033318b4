//! Parameters of `audit()`.

use linnethook_audit::audit_log::AuditLogConfig;

use super::{Parameter, BYTES, NO_UNIT, SECONDS};

/// The numeric parameters of `audit()`.
pub const PARAMETERS: &[Parameter<AuditLogConfig>] = &[
    real!(max_span, "span", SECONDS, 0.1..=3_600.0, "maximum length of a span"),
    integer!(
        max_action_kinds as usize,
        "kinds",
        NO_UNIT,
        16.0..=1e6,
        "kinds of actions that a span counts separately"
    ),
    integer!(
        max_write_attempts as usize,
        "bookings",
        NO_UNIT,
        0.0..=1e6,
        "attempts of writes that a span lists individually"
    ),
    integer!(
        max_log_bytes as usize,
        "bytes",
        BYTES,
        65_536.0..=1e9,
        "bytes of this router's own log that are retained in memory"
    ),
    integer!(
        max_replica_bytes as usize,
        "copy_bytes",
        BYTES,
        65_536.0..=1e9,
        "bytes of the log of each peer that are retained"
    ),
    integer!(
        replica_count as usize,
        "copies",
        NO_UNIT,
        0.0..=16.0,
        "peers that store a replica of this router's log"
    ),
];
