//! Parameters of `audit()`.

use linnethook_audit::audit_log::AuditLogConfig;

use super::{Parameter, BYTES, NO_UNIT, SECONDS};

/// What `audit()` sets beside its directory.
pub const PARAMETERS: &[Parameter<AuditLogConfig>] = &[
    real!(max_span, "span", SECONDS, 0.1..=3_600.0, "the longest span of an account"),
    integer!(
        max_action_kinds as usize,
        "kinds",
        NO_UNIT,
        16.0..=1e6,
        "kinds of acts that a span tells apart"
    ),
    integer!(
        max_write_attempts as usize,
        "bookings",
        NO_UNIT,
        0.0..=1e6,
        "bookings that a span names singly"
    ),
    integer!(
        max_log_bytes as usize,
        "bytes",
        BYTES,
        65_536.0..=1e9,
        "of the own account that are kept in memory"
    ),
    integer!(
        max_replica_bytes as usize,
        "copy_bytes",
        BYTES,
        65_536.0..=1e9,
        "of each fellow's account that are kept here"
    ),
    integer!(replica_count as usize, "copies", NO_UNIT, 0.0..=16.0, "fellows that keep a copy"),
];
