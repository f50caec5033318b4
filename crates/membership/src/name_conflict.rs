//! Conflicts between two processes that run with the same router name.
//!
//! The earlier incarnation keeps the name and rejects the later one. A process that was frozen until recently
//! yields instead, because it has probably been replaced on purpose.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::Ms;

/// The incarnation that holds a name: the body of the entry that rejects another incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct NameHolder {
    /// The time of the holder's start, in microseconds.
    pub incarnation: u64,
}

/// How a process responds to a later incarnation of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConflictDecision {
    /// It keeps the name and rejects the later incarnation.
    Reject,
    /// It yields the name to the later incarnation.
    Yield,
}

/// The largest number of rejected incarnations that are remembered.
const MAX_REJECTED: usize = 256;

/// The rejected incarnations of all names.
#[derive(Debug, Clone, Default)]
pub struct NameConflicts {
    rejected: BTreeSet<(String, u64)>,
    /// When this process last resumed after a freeze.
    resumed_at: Option<Ms>,
}

impl NameConflicts {
    /// Records that this process has been frozen until now.
    pub fn record_freeze(&mut self, now: Ms) {
        self.resumed_at = Some(now);
    }

    /// How this process responds to a later incarnation of its name.
    pub fn decide(&self, now: Ms, yield_window: Ms) -> ConflictDecision {
        match self.resumed_at {
            Some(resumed_at) if now - resumed_at < yield_window => ConflictDecision::Yield,
            _ => ConflictDecision::Reject,
        }
    }

    /// Records that an incarnation is rejected.
    pub fn reject(&mut self, name: &str, incarnation: u64) {
        if self.rejected.len() >= MAX_REJECTED {
            self.rejected.pop_first();
        }
        self.rejected.insert((name.to_string(), incarnation));
    }

    /// Whether an incarnation was rejected.
    pub fn is_rejected(&self, name: &str, incarnation: u64) -> bool {
        self.rejected.contains(&(name.to_string(), incarnation))
    }
}
