//! The table of attempts in flight.

use std::collections::BTreeMap;

use crate::permission::SendOrder;
use crate::policy_adapter::{AttemptKey, EndpointKey, Ms, Ticket};

use super::connection::ConnectionId;
use super::deadlines::DeadlineQueue;

/// An attempt that is queued on, or was sent over, a connection.
#[derive(Debug)]
pub(super) struct InFlightAttempt {
    pub connection: ConnectionId,
    pub endpoint: EndpointKey,
    /// The id of its request, which the reply repeats.
    pub request_id: String,
    pub sent_at: Ms,
    pub deadline: Ms,
    /// The time by which it has to be sent completely, if there is one.
    pub send_by: Option<Ms>,
    /// The tag of the client's own copy, if it has one.
    pub client_copy: Option<String>,
}

impl InFlightAttempt {
    /// What decides whether it may be sent.
    pub fn order(&self) -> SendOrder {
        SendOrder { deadline: self.deadline, send_by: self.send_by }
    }
}

/// The attempts in flight, and their deadlines.
#[derive(Debug, Default)]
pub(super) struct AttemptTable {
    in_flight: BTreeMap<AttemptKey, InFlightAttempt>,
    deadlines: DeadlineQueue<AttemptKey>,
    /// The times by which attempts have to be sent; they stay in the queue after that.
    send_deadlines: DeadlineQueue<AttemptKey>,
}

impl AttemptTable {
    /// The number of attempts in flight.
    pub fn len(&self) -> usize {
        self.in_flight.len()
    }

    /// Adds an attempt with its deadline.
    pub fn insert(&mut self, attempt: AttemptKey, in_flight: InFlightAttempt) {
        self.deadlines.insert(in_flight.deadline, attempt);
        if let Some(send_by) = in_flight.send_by {
            self.send_deadlines.insert(send_by, attempt);
        }
        self.in_flight.insert(attempt, in_flight);
    }

    /// The attempt, if it is in flight.
    pub fn get(&self, attempt: AttemptKey) -> Option<&InFlightAttempt> {
        self.in_flight.get(&attempt)
    }

    /// Removes an attempt with its deadline.
    pub fn remove(&mut self, attempt: AttemptKey) -> Option<InFlightAttempt> {
        let in_flight = self.in_flight.remove(&attempt)?;
        self.deadlines.remove(in_flight.deadline, attempt);
        if let Some(send_by) = in_flight.send_by {
            self.send_deadlines.remove(send_by, attempt);
        }
        Some(in_flight)
    }

    /// The attempts of a request in the order in which they were sent.
    pub fn of_request(&self, ticket: Ticket) -> impl Iterator<Item = (AttemptKey, &InFlightAttempt)> {
        let range = AttemptKey { ticket, number: 0 }..=AttemptKey { ticket, number: u8::MAX };
        self.in_flight.range(range).map(|(attempt, in_flight)| (*attempt, in_flight))
    }

    /// The earliest deadline, in milliseconds.
    pub fn next_deadline(&self) -> Option<Ms> {
        self.deadlines.next().into_iter().chain(self.send_deadlines.next()).reduce(Ms::min)
    }

    /// The next attempt that had to be sent by now, whether or not it was.
    pub fn pop_send_overdue(&mut self, now: Ms) -> Option<AttemptKey> {
        self.send_deadlines.pop_overdue(now)
    }

    /// The next attempt whose deadline has passed. The deadline is removed, the attempt stays in the table.
    pub fn pop_overdue(&mut self, now: Ms) -> Option<AttemptKey> {
        self.deadlines.pop_overdue(now)
    }
}
