//! Parameters of `straggler()`.

use linnethook_membership::straggler::StragglerConfig;

use super::{Parameter, SECONDS};

/// The numeric parameters of `straggler()`.
pub const PARAMETERS: &[Parameter<StragglerConfig>] = &[
    real!(
        grace_period,
        "bound",
        SECONDS,
        0.1..=86_400.0,
        "time below the version floor after which a router is excluded"
    ),
    real!(
        isolation_timeout,
        "alone",
        SECONDS,
        0.1..=86_400.0,
        "time without a reachable peer and an up-to-date journal after which a router is excluded"
    ),
    real!(recovery_ramp, "back", SECONDS, 0.0..=3_600.0, "time over which an excluded router recovers"),
    real!(
        retry_after,
        "come_back",
        SECONDS,
        0.0..=60.0,
        "minimum time after which a client rejected by an excluded router may retry"
    ),
];
