//! The sender's side of the ledger.

use std::collections::BTreeMap;

use linnethook::interface::Ms;

use super::{AttemptOutcome, Ticket, Token};

/// What the sender knows of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptState {
    /// Not every byte was accepted by the system: the request can't have arrived.
    Unwritten,
    /// It may run.
    InFlight,
    /// Its connection was lost: it may have run.
    Uncertain,
}

#[derive(Debug, Clone)]
struct Attempt {
    ticket: Ticket,
    /// Names the process that it was sent to.
    receiver_start: u64,
    /// The connection that it was sent on, or reported on as running.
    connection: u64,
    deadline: Ms,
    state: AttemptState,
}

/// What the sender does about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Resolution {
    /// It ran; with its answer.
    Answered(Ticket, Vec<u8>),
    /// Proven not to have run: another attempt, or a rejection, does no harm.
    NeverRan(Ticket),
    /// Its time is over, or its result can't be known: it has failed, and nothing follows.
    Failed(Ticket),
}

/// The attempts with tokens that this process has sent.
#[derive(Debug, Clone)]
pub struct SentAttempts {
    epoch: u64,
    last_number: u64,
    attempts: BTreeMap<Token, Attempt>,
    by_ticket: BTreeMap<Ticket, Token>,
    max_attempts: usize,
}

impl SentAttempts {
    /// `epoch` is the start of this process, in Unix microseconds; at most `max_attempts` may be open.
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

    /// A token for a request; `None` while another attempt of it is open, or too many are.
    ///
    /// `receiver_start` names the process that it is sent to, `connection` the connection.
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

    /// The request that a token is for.
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

    /// What is known of the open attempt of a request.
    pub fn state_of(&self, ticket: Ticket) -> Option<AttemptState> {
        let token = self.by_ticket.get(&ticket)?;
        self.attempts.get(token).map(|attempt| attempt.state)
    }

    /// The last byte of an attempt was accepted by the system.
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

    /// A connection is down: what was not written completely has not run, all else that was sent there is uncertain.
    pub fn connection_lost(&mut self, connection: u64) -> Vec<Resolution> {
        let unwritten = |a: &Attempt| a.connection == connection && a.state == AttemptState::Unwritten;
        let free: Vec<Token> = self.attempts.iter().filter(|(_, a)| unwritten(a)).map(|(t, _)| *t).collect();
        for attempt in self
            .attempts
            .values_mut()
            .filter(|a| a.connection == connection && a.state == AttemptState::InFlight)
        {
            attempt.state = AttemptState::Uncertain;
        }
        free.into_iter()
            .filter_map(|token| self.remove(token))
            .map(|a| Resolution::NeverRan(a.ticket))
            .collect()
    }

    /// A connection to that process is up: the uncertain attempts whose outcome it may know.
    ///
    /// What is in flight on another connection is not queried, since its answer may still arrive there. An attempt that
    /// went to an earlier start of the other side stays uncertain until its time is over: the new one knows nothing of
    /// it.
    pub fn tokens_to_query(&self, receiver_start: u64) -> Vec<Token> {
        let ask = |attempt: &&Attempt| {
            attempt.state == AttemptState::Uncertain && attempt.receiver_start == receiver_start
        };
        self.attempts.iter().filter(|(_, attempt)| ask(attempt)).map(|(token, _)| *token).collect()
    }

    /// The other side reports on a connection what became of a token, or answers it.
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
            // It ran, and its result is not known.
            AttemptOutcome::Completed(None) => self.remove(token).map(|a| Resolution::Failed(a.ticket)),
            AttemptOutcome::NeverRan => self.remove(token).map(|a| Resolution::NeverRan(a.ticket)),
            AttemptOutcome::Running => {
                let attempt = self.attempts.get_mut(&token)?;
                (attempt.state, attempt.connection) = (AttemptState::InFlight, connection);
                None
            }
            // No proof: it stays uncertain until its time is over.
            AttemptOutcome::Forgotten => None,
        }
    }

    /// Nobody waits for a request any more; its token stays as it is at the other side.
    pub fn abandon(&mut self, ticket: Ticket) {
        if let Some(token) = self.by_ticket.get(&ticket).copied() {
            self.remove(token);
        }
    }

    /// Ends the attempts whose deadline has passed: they have failed, and nothing follows.
    pub fn expire(&mut self, now: Ms) -> Vec<Resolution> {
        let over: Vec<Token> =
            self.attempts.iter().filter(|(_, a)| now >= a.deadline).map(|(t, _)| *t).collect();
        over.into_iter()
            .filter_map(|token| self.remove(token))
            .map(|a| Resolution::Failed(a.ticket))
            .collect()
    }

    /// When [`Self::expire`] is due.
    pub fn next_deadline(&self) -> Option<Ms> {
        self.attempts.values().map(|attempt| attempt.deadline).reduce(f64::min)
    }
}
