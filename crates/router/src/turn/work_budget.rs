//! The work that a connection may cause before others have their turn.

use crate::config::PartLimits;

/// The rest of a connection's budget. Work is counted in bytes; a message counts as the transfer of as many bytes as
/// take the same time.
#[derive(Debug, Clone, Copy)]
pub struct WorkBudget {
    limits: PartLimits,
    spent_bytes: usize,
}

impl WorkBudget {
    /// The budget for one part.
    pub fn new(limits: PartLimits) -> Self {
        Self { limits, spent_bytes: 0 }
    }

    /// Counts bytes that were read, or looked through.
    pub fn spend_bytes(&mut self, bytes: usize) {
        self.spent_bytes += bytes;
    }

    /// Counts a message that was handled.
    pub fn spend_message(&mut self) {
        self.spent_bytes += self.limits.message_cost_bytes;
    }

    /// Whether nothing is left.
    pub fn is_spent(&self) -> bool {
        self.spent_bytes >= self.limits.max_bytes
    }

    /// All of it, in bytes.
    pub fn max_bytes(&self) -> u64 {
        self.limits.max_bytes as u64
    }

    /// What was spent, in bytes.
    pub fn spent(&self) -> u64 {
        self.spent_bytes as u64
    }
}
