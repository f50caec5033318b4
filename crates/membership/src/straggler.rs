//! Stragglers: routers that act on a hierarchy below the version floor, or that are isolated without an
//! up-to-date journal.
//!
//! [`StragglerDetector`] decides whether this router is one: it first has a grace period to catch up, then
//! excludes itself, and recovers over a ramp. A network partition alone never excludes a router whose journal
//! is up to date. [`FloorMonitor`] determines which other routers are stragglers, whose entries are ignored.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::Ms;

/// When a router excludes itself, and how it recovers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StragglerConfig {
    /// How long a router may act below the version floor before it is excluded.
    pub grace_period: Ms,
    /// How long a router may be without a reachable peer and without an up-to-date journal before it is
    /// excluded.
    pub isolation_timeout: Ms,
    /// The time over which a router recovers.
    pub recovery_ramp: Ms,
    /// The Retry-After of requests that an excluded router rejects.
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

/// Why a router is excluded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExclusionReason {
    /// It acts on a hierarchy below the version floor.
    Behind,
    /// It can reach no peer, and its journal is not up to date.
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

/// The state of this router.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum StragglerState {
    /// It acts on the version floor or above.
    #[serde(rename = "Well")]
    UpToDate,
    /// It has acted below the floor since this time, within the grace period.
    #[serde(rename = "Late")]
    Lagging(Ms),
    /// It is excluded.
    #[serde(rename = "Out")]
    Excluded(ExclusionReason),
    /// It has been recovering since this time.
    #[serde(rename = "Returning")]
    Recovering(Ms),
}

/// The state of this router that decides whether it is a straggler.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StragglerObservation {
    /// The version of the hierarchy that it acts on.
    pub own_version: u64,
    /// The lowest version that routers may act on.
    pub floor: u64,
    /// Since when no peer can be reached; `None` while one can be.
    pub isolated_since: Option<Ms>,
    /// Until when the journal is considered up to date.
    pub journal_valid_until: Ms,
}

/// Decides whether this router is a straggler.
#[derive(Debug, Clone, Copy)]
pub struct StragglerDetector {
    config: StragglerConfig,
    state: StragglerState,
}

impl StragglerDetector {
    /// A router that is up to date.
    pub fn new(config: StragglerConfig) -> Self {
        Self { config, state: StragglerState::UpToDate }
    }

    /// Applies other settings.
    pub fn set_config(&mut self, config: StragglerConfig) {
        self.config = config;
    }

    /// The settings.
    pub fn config(&self) -> StragglerConfig {
        self.config
    }

    /// The state as of the last observation.
    pub fn state(&self) -> StragglerState {
        self.state
    }

    /// Updates the state by an observation. Returns the new state if it changed.
    pub fn observe(&mut self, now: Ms, observation: &StragglerObservation) -> Option<StragglerState> {
        let before = self.state;
        self.state = self.next_state(now, observation);
        (self.state != before).then_some(self.state)
    }

    fn next_state(&self, now: Ms, observation: &StragglerObservation) -> StragglerState {
        let StragglerConfig { grace_period, isolation_timeout, recovery_ramp, .. } = self.config;
        let isolated_for = |since: Ms| now - since.max(observation.journal_valid_until);
        let is_isolated = observation.isolated_since.map_or(0.0, isolated_for) >= isolation_timeout;
        if is_isolated {
            return StragglerState::Excluded(ExclusionReason::Isolated);
        }
        let is_behind = observation.own_version < observation.floor;
        match self.state {
            StragglerState::Lagging(since) if is_behind && now - since >= grace_period => {
                StragglerState::Excluded(ExclusionReason::Behind)
            }
            StragglerState::Lagging(since) if is_behind => StragglerState::Lagging(since),
            StragglerState::Excluded(_) if is_behind => StragglerState::Excluded(ExclusionReason::Behind),
            _ if is_behind => StragglerState::Lagging(now),
            StragglerState::Excluded(_) => StragglerState::Recovering(now),
            StragglerState::Recovering(since) if now - since < recovery_ramp => {
                StragglerState::Recovering(since)
            }
            _ => StragglerState::UpToDate,
        }
    }

    /// The share of its work that the router may do: 1, 0, or a share that rises along the recovery ramp.
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

/// The newest version that a majority of the voters acts on. A voter whose version is unknown counts with
/// version 0.
pub fn majority_version(versions: &[Option<u64>]) -> u64 {
    let mut known: Vec<u64> = versions.iter().map(|version| version.unwrap_or(0)).collect();
    known.sort_unstable_by(|a, b| b.cmp(a));
    known.get(versions.len() / 2).copied().unwrap_or(0)
}

/// Which routers of the fleet act below the version floor, and for how long.
#[derive(Debug, Clone)]
pub struct FloorMonitor {
    floor: u64,
    grace_period: Ms,
    behind_since: BTreeMap<String, Ms>,
}

impl Default for FloorMonitor {
    fn default() -> Self {
        Self { floor: 0, grace_period: f64::INFINITY, behind_since: BTreeMap::new() }
    }
}

impl FloorMonitor {
    /// The lowest version that routers may act on.
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// Sets the floor, and how long a router may act below it before it is a straggler. If the floor changes,
    /// the grace period of all routers starts again.
    pub fn set_floor(&mut self, floor: u64, grace_period: Ms) {
        self.grace_period = grace_period;
        if self.floor != floor {
            self.floor = floor;
            self.behind_since.clear();
        }
    }

    /// Whether any router was below the floor at the last update.
    pub fn is_any_behind(&self) -> bool {
        !self.behind_since.is_empty()
    }

    /// Records all routers that act below the floor now.
    pub fn update(&mut self, now: Ms, behind: BTreeSet<String>) {
        self.behind_since.retain(|name, _| behind.contains(name));
        for name in behind {
            self.behind_since.entry(name).or_insert(now);
        }
    }

    /// Whether a router has acted below the floor for longer than the grace period.
    pub fn is_straggler(&self, now: Ms, name: &str) -> bool {
        self.behind_since.get(name).is_some_and(|since| now - since >= self.grace_period)
    }
}

#[cfg(test)]
#[path = "../tests/unit/straggler.rs"]
mod tests;
