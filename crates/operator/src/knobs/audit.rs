//! Owns the tables of `audit(...)` and `straggler(...)`.

use linnethook_audit::audit_log::AuditLogConfig as Rules;

use super::{Knob, SECONDS};

/// What `audit(...)` sets beside its folder.
pub const AUDIT: &[Knob<Rules>] = &[
    knob!("span", "seconds", (0.1, 3_600.0), SECONDS, max_span, "the longest span of an account"),
    knob!(whole "kinds", "", (16.0, 1e6), usize, max_action_kinds, "kinds of acts that a span tells apart"),
    knob!(whole "bookings", "", (0.0, 1e6), usize, max_write_attempts, "bookings that a span names singly"),
    knob!(whole "bytes", "bytes", (65_536.0, 1e9), usize, max_log_bytes, "of the own account that are kept in memory"),
    knob!(whole "copy_bytes", "bytes", (65_536.0, 1e9), usize, max_replica_bytes, "of each fellow's account that are kept here"),
    knob!(whole "copies", "", (0.0, 16.0), usize, replica_count, "fellows that keep a copy"),
];

pub mod straggler {
    use linnethook_membership::straggler::StragglerConfig as Rules;

    use super::{Knob, SECONDS};

    /// What `straggler(...)` sets beside its voters.
    pub const STRAGGLER: &[Knob<Rules>] = &[
        knob!(
            "bound",
            "seconds",
            (0.1, 86_400.0),
            SECONDS,
            grace_period,
            "below the floor for so long, a router is shut out"
        ),
        knob!(
            "alone",
            "seconds",
            (0.1, 86_400.0),
            SECONDS,
            isolation_timeout,
            "without a fellow and without its journal for so long, likewise"
        ),
        knob!("back", "seconds", (0.0, 3_600.0), SECONDS, recovery_ramp, "how long it takes to come back"),
        knob!(
            "come_back",
            "seconds",
            (0.0, 60.0),
            SECONDS,
            retry_after,
            "when clients that are turned away for it may come again"
        ),
    ];
}
