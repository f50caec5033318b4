//! Parameters of `straggler()`.

use linnethook_membership::straggler::StragglerConfig;

use super::{Parameter, SECONDS};

/// What `straggler()` sets beside its voters.
pub const PARAMETERS: &[Parameter<StragglerConfig>] = &[
    real!(
        grace_period,
        "bound",
        SECONDS,
        0.1..=86_400.0,
        "below the floor for so long, a router is shut out"
    ),
    real!(
        isolation_timeout,
        "alone",
        SECONDS,
        0.1..=86_400.0,
        "without a fellow and without its journal for so long, likewise"
    ),
    real!(recovery_ramp, "back", SECONDS, 0.0..=3_600.0, "how long it takes to come back"),
    real!(
        retry_after,
        "come_back",
        SECONDS,
        0.0..=60.0,
        "when clients that are turned away for it may come again"
    ),
];
