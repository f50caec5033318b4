//! The stages of a migration, with the names that commands and logs print.

use std::fmt;

use serde::Serialize;

/// Why a migration was rolled back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RollbackReason {
    /// Fills by the new source were late or failed far more often than by the old ones.
    #[serde(rename = "late")]
    HighFailureRate,
    /// The new source is draining, was removed or has failed.
    #[serde(rename = "lost")]
    SourceLost,
    /// A rollback was requested.
    #[serde(rename = "asked")]
    Requested,
}

impl fmt::Display for RollbackReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::HighFailureRate => "fills by the new source were late or failed",
            Self::SourceLost => "the new source is draining, was removed or has failed",
            Self::Requested => "a rollback was requested",
        })
    }
}

/// The stage of a migration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutStage {
    /// Its batch has not taken effect yet.
    Planned,
    /// Its batch has taken effect; all routers receive it, and fills use the old sources.
    Announced,
    /// An increasing fraction of objects is filled from the new source.
    Warming,
    /// All objects are filled from the new source, and the old source list is dropped.
    Settled,
    /// Fills use the old sources; the migration is retried later unless its attempts are used up. Without a
    /// fallback the new source still fills all objects.
    RolledBack(RollbackReason),
}

impl RolloutStage {
    /// The name that commands print.
    pub fn name(self) -> &'static str {
        match self {
            Self::Planned => "planned",
            Self::Announced => "announced",
            Self::Warming => "warming",
            Self::Settled => "settled",
            Self::RolledBack(RollbackReason::HighFailureRate) => "rolledback(late)",
            Self::RolledBack(RollbackReason::SourceLost) => "rolledback(lost)",
            Self::RolledBack(RollbackReason::Requested) => "rolledback(asked)",
        }
    }
}

/// The form in log lines. It does not depend on the names of variants.
impl fmt::Display for RolloutStage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Planned => "Planned",
            Self::Announced => "Announced",
            Self::Warming => "Warming",
            Self::Settled => "Settled",
            Self::RolledBack(RollbackReason::HighFailureRate) => "RolledBack(Late)",
            Self::RolledBack(RollbackReason::SourceLost) => "RolledBack(Lost)",
            Self::RolledBack(RollbackReason::Requested) => "RolledBack(Asked)",
        })
    }
}
