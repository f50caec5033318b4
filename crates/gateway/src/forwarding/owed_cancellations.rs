//! Cancellations of attempts that the other site may not have received.
//!
//! A cancellation is lost with the connection that it was sent on, and none can be sent while the attempt's connection
//! is down. It is owed to the process that received the attempt until the deadline of the request is over.

use std::collections::BTreeMap;

use linnethook::interface::Ms;

use crate::actions::ConnectionId;
use crate::attempt_ledger::{OpenAttempt, Token};

/// How long a cancellation is owed after the deadline of its request, in milliseconds: the other site has the deadline
/// later by the time that the request took there.
const RETENTION_AFTER_DEADLINE: Ms = 1_000.0;

#[derive(Debug, Clone, Copy)]
struct OwedCancellation {
    /// Identifies the process that it is owed to.
    receiver_start: u64,
    /// The connection that it was sent on.
    sent_on: Option<ConnectionId>,
    expires_at: Ms,
}

/// The cancellations that are owed.
#[derive(Debug)]
pub(super) struct OwedCancellations {
    max: usize,
    by_token: BTreeMap<Token, OwedCancellation>,
}

impl OwedCancellations {
    /// Creates an empty table for at most `max` cancellations.
    pub fn new(max: usize) -> Self {
        Self { max, by_token: BTreeMap::new() }
    }

    /// Records the cancellation of an attempt that was sent on a connection, if there was one. The oldest one is
    /// dropped if there are too many.
    pub fn insert(&mut self, attempt: &OpenAttempt, sent_on: Option<ConnectionId>) {
        let expires_at = attempt.deadline + RETENTION_AFTER_DEADLINE;
        let owed = OwedCancellation { receiver_start: attempt.receiver_start, sent_on, expires_at };
        self.by_token.insert(attempt.token, owed);
        if self.by_token.len() > self.max {
            self.by_token.pop_first();
        }
    }

    /// Records the loss of a connection: what was sent on it may not have arrived.
    pub fn connection_lost(&mut self, connection: ConnectionId) {
        let sent = self.by_token.values_mut().filter(|owed| owed.sent_on == Some(connection));
        sent.for_each(|owed| owed.sent_on = None);
    }

    /// Takes the attempts to cancel at a process on a connection to it that is up.
    pub fn take_unsent(&mut self, receiver_start: u64, connection: ConnectionId) -> Vec<Token> {
        let is_unsent =
            |owed: &OwedCancellation| owed.receiver_start == receiver_start && owed.sent_on.is_none();
        let unsent = self.by_token.iter_mut().filter(|(_, owed)| is_unsent(owed));
        let sent = unsent.map(|(token, owed)| {
            owed.sent_on = Some(connection);
            *token
        });
        sent.collect()
    }

    /// Drops cancellations that no longer matter.
    pub fn expire(&mut self, now: Ms) {
        self.by_token.retain(|_, owed| now < owed.expires_at);
    }
}
