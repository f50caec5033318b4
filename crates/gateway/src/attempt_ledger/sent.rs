//! The sender's side of the attempt ledger.

use std::collections::BTreeMap;

use linnethook::interface::Ms;

use super::{AttemptOutcome, Ticket, Token};

/// What the sender knows about an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptState {
    /// Not every byte was accepted by the operating system: the request can't have arrived.
    Unwritten,
    /// It was written completely and may be running.
    InFlight,
    /// Its connection was lost: it may have run.
    Uncertain,
}

#[derive(Debug, Clone)]
struct Attempt {
    ticket: Ticket,
    /// Identifies the process that it was sent to.
    receiver_start: u64,
    /// The connection that it was sent on, or on which it was reported as running.
    connection: u64,
    deadline: Ms,
    state: AttemptState,
}

/// The consequence of an outcome for the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Resolution {
    /// It ran; with its encoded answer.
    Answered(Ticket, Vec<u8>),
    /// It is proven not to have run: it is safe to retry or reject it.
    NeverRan(Ticket),
    /// Its deadline has passed or its result can't be determined: it has failed for good.
    Failed(Ticket),
}

/// Identifies an attempt at its receiver.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OpenAttempt {
    /// Its token.
    pub token: Token,
    /// Identifies the process that it was sent to.
    pub receiver_start: u64,
    /// The deadline of its request.
    pub deadline: Ms,
}

/// The open attempts with tokens that this process has sent.
#[derive(Debug, Clone)]
pub struct SentAttempts {
    epoch: u64,
    last_number: u64,
    attempts: BTreeMap<Token, Attempt>,
    by_ticket: BTreeMap<Ticket, Token>,
    max_attempts: usize,
}

impl SentAttempts {
    /// Creates an empty ledger. `epoch` is the start time of this process, in Unix microseconds; at most
    /// `max_attempts` may be open at a time.
    pub fn new(epoch: u64, max_attempts: usize) -> Self {
        Self { epoch, last_number: 0, attempts: BTreeMap::new(), by_ticket: BTreeMap::new(), max_attempts }
    }

    /// The number of open attempts.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether no attempt is open.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Begins an attempt and returns its token; `None` if another attempt of the request is open or the limit
    /// of open attempts is reached.
    ///
    /// `receiver_start` identifies the process that it is sent to, `connection` the connection.
    pub fn begin(
        &mut self,
        ticket: Ticket,
        receiver_start: u64,
        connection: u64,
        deadline: Ms,
    ) -> Option<Token> {
        if self.by_ticket.contains_key(&ticket) || self.attempts.len() >= self.max_attempts {
            return None;
        }
        self.last_number += 1;
        let token = Token { epoch: self.epoch, number: self.last_number };
        self.attempts.insert(
            token,
            Attempt { ticket, receiver_start, connection, deadline, state: AttemptState::Unwritten },
        );
        self.by_ticket.insert(ticket, token);
        Some(token)
    }

    /// The request that a token belongs to.
    pub fn ticket_of(&self, token: Token) -> Option<Ticket> {
        self.attempts.get(&token).map(|attempt| attempt.ticket)
    }

    /// Whether the open attempt of a request is uncertain.
    pub fn is_uncertain(&self, ticket: Ticket) -> bool {
        self.state_of(ticket) == Some(AttemptState::Uncertain)
    }

    /// The number of uncertain attempts.
    pub fn uncertain_count(&self) -> usize {
        self.attempts.values().filter(|attempt| attempt.state == AttemptState::Uncertain).count()
    }

    /// The state of the open attempt of a request.
    pub fn state_of(&self, ticket: Ticket) -> Option<AttemptState> {
        let token = self.by_ticket.get(&ticket)?;
        self.attempts.get(token).map(|attempt| attempt.state)
    }

    /// Records that the last byte of an attempt was accepted by the operating system.
    pub fn mark_written(&mut self, token: Token) {
        if let Some(attempt) = self.attempts.get_mut(&token).filter(|a| a.state == AttemptState::Unwritten) {
            attempt.state = AttemptState::InFlight;
        }
    }

    fn remove(&mut self, token: Token) -> Option<Attempt> {
        let attempt = self.attempts.remove(&token)?;
        self.by_ticket.remove(&attempt.ticket);
        Some(attempt)
    }

    /// Records the loss of a connection: attempts that were not written completely have not run; the others
    /// that were sent on it become uncertain.
    pub fn connection_lost(&mut self, connection: u64) -> Vec<Resolution> {
        let unwritten = |a: &Attempt| a.connection == connection && a.state == AttemptState::Unwritten;
        let never_ran: Vec<Token> =
            self.attempts.iter().filter(|(_, a)| unwritten(a)).map(|(t, _)| *t).collect();
        for attempt in self
            .attempts
            .values_mut()
            .filter(|a| a.connection == connection && a.state == AttemptState::InFlight)
        {
            attempt.state = AttemptState::Uncertain;
        }
        never_ran
            .into_iter()
            .filter_map(|token| self.remove(token))
            .map(|a| Resolution::NeverRan(a.ticket))
            .collect()
    }

    /// The uncertain attempts whose outcome a process may know, to be queried once a connection to it is up.
    ///
    /// Attempts in flight on another connection are not queried, since their answers may still arrive there.
    /// An attempt that was sent to an earlier start of the peer stays uncertain until its deadline: the new
    /// process knows nothing about it.
    pub fn tokens_to_query(&self, receiver_start: u64) -> Vec<Token> {
        let is_queried = |attempt: &&Attempt| {
            attempt.state == AttemptState::Uncertain && attempt.receiver_start == receiver_start
        };
        self.attempts.iter().filter(|(_, attempt)| is_queried(attempt)).map(|(token, _)| *token).collect()
    }

    /// Records the outcome of a token that the receiver has reported, or given with its answer, on a
    /// connection.
    pub fn record_outcome(
        &mut self,
        token: Token,
        outcome: AttemptOutcome,
        connection: u64,
    ) -> Option<Resolution> {
        match outcome {
            AttemptOutcome::Completed(Some(answer)) => {
                self.remove(token).map(|a| Resolution::Answered(a.ticket, answer))
            }
            // It ran, but its result is not available.
            AttemptOutcome::Completed(None) => self.remove(token).map(|a| Resolution::Failed(a.ticket)),
            AttemptOutcome::NeverRan => self.remove(token).map(|a| Resolution::NeverRan(a.ticket)),
            AttemptOutcome::Running => {
                let attempt = self.attempts.get_mut(&token)?;
                (attempt.state, attempt.connection) = (AttemptState::InFlight, connection);
                None
            }
            // This proves nothing: the attempt stays uncertain until its deadline.
            AttemptOutcome::Forgotten => None,
        }
    }

    /// The open attempt of a request, for a cancellation at its receiver.
    pub fn open_attempt(&self, ticket: Ticket) -> Option<OpenAttempt> {
        let token = *self.by_ticket.get(&ticket)?;
        let Attempt { receiver_start, deadline, .. } = *self.attempts.get(&token)?;
        Some(OpenAttempt { token, receiver_start, deadline })
    }

    /// Drops the attempt of a request that was cancelled, and returns it. The state of its token at the receiver does
    /// not change.
    pub fn abandon(&mut self, ticket: Ticket) -> Option<OpenAttempt> {
        let abandoned = self.open_attempt(ticket)?;
        self.remove(abandoned.token);
        Some(abandoned)
    }

    /// The requests with attempts whose deadline has passed.
    pub fn overdue(&self, now: Ms) -> Vec<Ticket> {
        self.attempts.values().filter(|a| now >= a.deadline).map(|a| a.ticket).collect()
    }

    /// Ends the attempts whose deadline has passed: they have failed for good.
    pub fn expire(&mut self, now: Ms) -> Vec<Resolution> {
        let expired = self.overdue(now);
        expired.iter().for_each(|ticket| _ = self.abandon(*ticket));
        expired.into_iter().map(Resolution::Failed).collect()
    }

    /// When [`Self::expire`] is due.
    pub fn next_deadline(&self) -> Option<Ms> {
        self.attempts.values().map(|attempt| attempt.deadline).reduce(f64::min)
    }
}
