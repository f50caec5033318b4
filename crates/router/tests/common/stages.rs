//! Settings of the hierarchy's rollout stages, and the command that shows their progress.

/// Stages of a few seconds at the most, so that a test passes all of them.
pub const SHORT_STAGES: &str =
    "extended = True, announce = 0.3, warm = 2, settle = 1, rest = 0.5, retire = 3, least = 20, held = 3";

/// The arguments of `hierarchy show`.
pub const SHOW: [&str; 2] = ["hierarchy", "show"];
