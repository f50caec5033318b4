//! The work that a connection may cause before others have their turn.

use crate::config::TurnLimits;

/// The rest of a connection's budget. Work is counted in bytes; a message counts as the transfer of as many bytes as
/// take the same time.
#[derive(Debug, Clone, Copy)]
pub struct WorkBudget {
    max_bytes: usize,
    message_cost_bytes: usize,
    spent_bytes: usize,
}

impl WorkBudget {
    /// A budget of `max_bytes`.
    pub fn new(limits: &TurnLimits, max_bytes: usize) -> Self {
        Self { max_bytes, message_cost_bytes: limits.message_cost_bytes, spent_bytes: 0 }
    }

    /// Counts bytes that were read, or looked through.
    pub fn spend_bytes(&mut self, bytes: usize) {
        self.spent_bytes += bytes;
    }

    /// Counts a message that was handled.
    pub fn spend_message(&mut self) {
        self.spent_bytes += self.message_cost_bytes;
    }

    /// Whether nothing is left.
    pub fn is_spent(&self) -> bool {
        self.spent_bytes >= self.max_bytes
    }

    /// All of it, in bytes.
    pub fn max_bytes(&self) -> u64 {
        self.max_bytes as u64
    }

    /// What was spent, in bytes.
    pub fn spent(&self) -> u64 {
        self.spent_bytes as u64
    }
}
