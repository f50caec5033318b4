//! Owns whether a router is behind what the fleet has settled, or knows too little to vouch for what it does, and what
//! follows: it is given time to catch up, then shuts itself out, and comes back by stages.
//!
//! Must never shut out a router whose own journal speaks for what it does and that knows of nothing newer: a cut alone
//! is no reason.

use serde::{Deserialize, Serialize};

use crate::Ms;

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StragglerConfig {
    /// Behind for so long, and it is shut out.
    pub grace_period: Ms,
    /// Without a fellow and without a word of its journal for so long, likewise.
    pub isolation_timeout: Ms,
    /// How long it takes to come back, and when clients may ask again.
    pub recovery_ramp: Ms,
    pub retry_after: Ms,
}

impl Default for StragglerConfig {
    fn default() -> Self {
        Self {
            grace_period: 10_000.0,
            isolation_timeout: 30_000.0,
            recovery_ramp: 5_000.0,
            retry_after: 1_000.0,
        }
    }
}

/// Why a router is shut out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExclusionReason {
    /// It acts on an older hierarchy than the floor.
    Behind,
    /// It hears nobody, and its journal is silent too.
    #[serde(rename = "Blind")]
    Isolated,
}

impl ExclusionReason {
    /// The name that commands print.
    pub fn name(self) -> &'static str {
        match self {
            Self::Behind => "behind",
            Self::Isolated => "blind",
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum StragglerState {
    #[serde(rename = "Well")]
    UpToDate,
    /// Behind since then; it still has time.
    #[serde(rename = "Late")]
    Lagging(Ms),
    #[serde(rename = "Out")]
    Excluded(ExclusionReason),
    /// Since when it comes back.
    #[serde(rename = "Returning")]
    Recovering(Ms),
}

/// What is known at a time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StragglerObservation {
    /// The version acted on here, and the one below which nobody is to act.
    pub own_version: u64,
    pub floor: u64,
    /// Since when there is no fellow within reach, and since when the journal has been silent for longer than it may be.
    pub isolated_since: Option<Ms>,
    pub journal_valid_until: Ms,
}

#[derive(Debug, Clone, Copy)]
pub struct StragglerDetector {
    config: StragglerConfig,
    state: StragglerState,
}

impl StragglerDetector {
    pub fn new(rule: StragglerConfig) -> Self {
        Self { config: rule, state: StragglerState::UpToDate }
    }

    pub fn set_config(&mut self, rule: StragglerConfig) {
        self.config = rule;
    }

    pub fn config(&self) -> StragglerConfig {
        self.config
    }

    pub fn state(&self) -> StragglerState {
        self.state
    }

    /// Looks at what is known; the state that is entered, if it is another one.
    pub fn observe(&mut self, now: Ms, seen: &StragglerObservation) -> Option<StragglerState> {
        let behind = seen.own_version < seen.floor;
        let silent = seen.isolated_since.map_or(0.0, |since| now - since.max(seen.journal_valid_until));
        let blind = silent >= self.config.isolation_timeout;
        let before = self.state;
        self.state = match before {
            _ if blind => StragglerState::Excluded(ExclusionReason::Isolated),
            StragglerState::Lagging(since) if behind && now - since >= self.config.grace_period => {
                StragglerState::Excluded(ExclusionReason::Behind)
            }
            StragglerState::Lagging(since) if behind => StragglerState::Lagging(since),
            StragglerState::Excluded(_) if behind => StragglerState::Excluded(ExclusionReason::Behind),
            _ if behind => StragglerState::Lagging(now),
            StragglerState::Excluded(_) => StragglerState::Recovering(now),
            StragglerState::Recovering(since) if now - since < self.config.recovery_ramp => {
                StragglerState::Recovering(since)
            }
            _ => StragglerState::UpToDate,
        };
        (self.state != before).then_some(self.state)
    }

    /// The part of what it must vouch for that it may do: all, none, or a part that rises.
    pub fn admitted_ratio(&self, now: Ms) -> f64 {
        match self.state {
            StragglerState::UpToDate | StragglerState::Lagging(_) => 1.0,
            StragglerState::Excluded(_) => 0.0,
            StragglerState::Recovering(since) => {
                ((now - since) / self.config.recovery_ramp.max(1.0)).clamp(0.0, 1.0)
            }
        }
    }
}

/// The version that a majority of a roll of voters acts on, or a newer one; those that were never heard act on none.
pub fn majority_version(versions: &[Option<u64>]) -> u64 {
    let mut known: Vec<u64> = versions.iter().map(|version| version.unwrap_or(0)).collect();
    known.sort_unstable_by(|a, b| b.cmp(a));
    known.get(versions.len() / 2).copied().unwrap_or(0)
}

#[cfg(test)]
#[path = "../tests/unit/straggler.rs"]
mod tests;
