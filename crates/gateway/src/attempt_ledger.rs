//! Owns the ledger of attempts: who may run a request now.
//!
//! A request whose second run would be harm crosses with a token (the sender's epoch, a number). The sender's side
//! ([`SentAttempts`]) neither sends it again nor refuses it before it is proven that the token never ran; the receiver's side
//! ([`ReceivedAttempts`]) knows what became of each token, and once it has said that one never came it refuses that one for good.
//! Must never call an attempt not run without proof, nor forget one without knowing that it has forgotten.

use std::collections::{BTreeMap, VecDeque};

use linnethook::interface::Ms;
use serde::{Deserialize, Serialize};

/// A fencing token: never given out twice by one sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Token {
    /// When the sender's process started; greater with each start.
    pub epoch: u64,
    pub number: u64,
}

/// A request's name with whoever asks.
pub type Ticket = u64;

/// What became of a token, by the side that it was sent to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// It ran; with the answer, where that is still kept.
    Completed(Option<Vec<u8>>),
    /// It is there, and has no answer yet.
    Running,
    /// It never came, and is refused from now on; or it was turned away. It never ran.
    NeverRan,
    /// It may have come: it is older than what is remembered. No proof.
    Forgotten,
}

// ---- The sender's side.

/// How an attempt stands that was sent across.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptState {
    /// Not every byte was handed to the system: nothing can have come whole.
    Unwritten,
    /// It may run.
    InFlight,
    /// The link went silent or was cut: it may have run.
    Uncertain,
    /// Proven never to have run.
    NeverRan,
}

#[derive(Debug, Clone)]
struct Attempt {
    ticket: Ticket,
    /// The start of the receiver to which it was sent.
    receiver_start: u64,
    /// The connection on which it is out.
    connection: u64,
    deadline: Ms,
    state: AttemptState,
}

/// What the sender does about a request now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Resolution {
    /// Its answer has come.
    Answered(Ticket, Vec<u8>),
    /// Proven not to have run: another attempt, or a refusal, does no harm.
    NeverRan(Ticket),
    /// Its time is over, or its fate can't be known in time: failed, and nothing after.
    Failed(Ticket),
}

/// Attempts that were sent across one link.
#[derive(Debug, Clone)]
pub struct SentAttempts {
    epoch: u64,
    last_number: u64,
    attempts: BTreeMap<Token, Attempt>,
    by_ticket: BTreeMap<Ticket, Token>,
    max_attempts: usize,
}

impl SentAttempts {
    /// `epoch` is this process's start; `most` attempts may be open.
    pub fn new(epoch: u64, most: usize) -> Self {
        Self {
            epoch,
            last_number: 0,
            attempts: BTreeMap::new(),
            by_ticket: BTreeMap::new(),
            max_attempts: most,
        }
    }

    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// A token for a request; `None` while another attempt of it is open, or too many are.
    ///
    /// `peer` is the start of the receiver, `via` the connection.
    pub fn begin(&mut self, ticket: Ticket, peer: u64, via: u64, deadline: Ms) -> Option<Token> {
        if self.by_ticket.contains_key(&ticket) || self.attempts.len() >= self.max_attempts {
            return None;
        }
        self.last_number += 1;
        let token = Token { epoch: self.epoch, number: self.last_number };
        self.attempts.insert(
            token,
            Attempt {
                ticket,
                receiver_start: peer,
                connection: via,
                deadline,
                state: AttemptState::Unwritten,
            },
        );
        self.by_ticket.insert(ticket, token);
        Some(token)
    }

    /// Whose request a token is for.
    pub fn ticket_of(&self, token: Token) -> Option<Ticket> {
        self.attempts.get(&token).map(|attempt| attempt.ticket)
    }

    pub fn is_uncertain(&self, ticket: Ticket) -> bool {
        self.state_of(ticket) == Some(AttemptState::Uncertain)
    }

    /// Attempts whose fate is open.
    pub fn uncertain_count(&self) -> usize {
        self.attempts.values().filter(|attempt| attempt.state == AttemptState::Uncertain).count()
    }

    pub fn state_of(&self, ticket: Ticket) -> Option<AttemptState> {
        let token = self.by_ticket.get(&ticket)?;
        self.attempts.get(token).map(|attempt| attempt.state)
    }

    /// Its last byte was handed to the system.
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

    /// A connection is down, or silent: what was not written whole there is free, all else on it is uncertain.
    pub fn connection_lost(&mut self, via: u64) -> Vec<Resolution> {
        let unwritten = |a: &Attempt| a.connection == via && a.state == AttemptState::Unwritten;
        let free: Vec<Token> = self.attempts.iter().filter(|(_, a)| unwritten(a)).map(|(t, _)| *t).collect();
        for attempt in
            self.attempts.values_mut().filter(|a| a.connection == via && a.state == AttemptState::InFlight)
        {
            attempt.state = AttemptState::Uncertain;
        }
        free.into_iter()
            .filter_map(|token| self.remove(token))
            .map(|a| Resolution::NeverRan(a.ticket))
            .collect()
    }

    /// The link is up again, to that start of the other side: what has to be asked there.
    ///
    /// A connection that is not known to be down yet may still bring an answer: what is out there is not asked after.
    ///
    /// One that went to an earlier start of the other side can't be asked after: the new one knows nothing of it. It
    /// stays uncertain until its time is over.
    pub fn tokens_to_query(&self, peer: u64) -> Vec<Token> {
        let ask =
            |attempt: &&Attempt| attempt.state == AttemptState::Uncertain && attempt.receiver_start == peer;
        self.attempts.iter().filter(|(_, attempt)| ask(attempt)).map(|(token, _)| *token).collect()
    }

    /// The other side tells on a connection what became of a token. An answer in the course of things is told the
    /// same way.
    pub fn record_outcome(&mut self, token: Token, fate: AttemptOutcome, via: u64) -> Option<Resolution> {
        match fate {
            AttemptOutcome::Completed(Some(answer)) => {
                self.remove(token).map(|a| Resolution::Answered(a.ticket, answer))
            }
            // It ran, and nobody knows with what result.
            AttemptOutcome::Completed(None) => self.remove(token).map(|a| Resolution::Failed(a.ticket)),
            AttemptOutcome::NeverRan => self.remove(token).map(|a| Resolution::NeverRan(a.ticket)),
            AttemptOutcome::Running => {
                let attempt = self.attempts.get_mut(&token)?;
                (attempt.state, attempt.connection) = (AttemptState::InFlight, via);
                None
            }
            // No proof: it waits for its time, as one does that can't be asked after.
            AttemptOutcome::Forgotten => None,
        }
    }

    /// Nobody waits for it any more; the token stays as it is at the other side.
    pub fn abandon(&mut self, ticket: Ticket) {
        if let Some(token) = self.by_ticket.get(&ticket).copied() {
            self.remove(token);
        }
    }

    /// Those whose time is over: failed, in time, and nothing after. One of which not every byte was written is
    /// called off with it.
    pub fn expire(&mut self, now: Ms) -> Vec<Resolution> {
        let over: Vec<Token> =
            self.attempts.iter().filter(|(_, a)| now >= a.deadline).map(|(t, _)| *t).collect();
        over.into_iter()
            .filter_map(|token| self.remove(token))
            .map(|a| Resolution::Failed(a.ticket))
            .collect()
    }

    /// When `expire` is due.
    pub fn next_deadline(&self) -> Option<Ms> {
        self.attempts.values().map(|attempt| attempt.deadline).reduce(f64::min)
    }
}

// ---- The receiver's side.

/// What the receiver remembers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptLedgerConfig {
    /// How long a token that has ended is remembered; beyond the longest deadline, or asking is of no use.
    pub retention: Ms,
    pub max_tokens: usize,
    /// Bytes of answers kept; the oldest go first, and their tokens stay.
    pub max_answer_bytes: usize,
}

impl Default for AttemptLedgerConfig {
    fn default() -> Self {
        Self { retention: 60_000.0, max_tokens: 65_536, max_answer_bytes: 8 << 20 }
    }
}

#[derive(Debug, Clone, PartialEq)]
enum ReceivedState {
    Running,
    Completed(Option<Vec<u8>>),
    /// It was said of it that it never came, or it was turned away.
    Fenced,
}

/// Whether a token that comes in may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    Run,
    /// It is here already: what became of it.
    Known(AttemptOutcome),
    /// It may not run: fenced off, of an earlier start of its sender, or older than what is remembered.
    Fenced,
    /// Too many are remembered.
    AtCapacity,
}

/// Starts of a sender that are told apart.
const MAX_KNOWN_EPOCHS: usize = 16;

/// Tokens that came in over one link, from one other site.
#[derive(Debug, Clone)]
pub struct ReceivedAttempts {
    config: AttemptLedgerConfig,
    /// The latest start of the sender that was heard of.
    epoch: u64,
    states: BTreeMap<Token, ReceivedState>,
    /// Those that have ended, by when.
    ended: VecDeque<(Ms, Token)>,
    answers: VecDeque<Token>,
    answer_bytes: usize,
    /// By epoch: the highest number that was forgotten. All up to it have no proof any more.
    forgotten_up_to: BTreeMap<u64, u64>,
    /// Starts of which nothing at all is remembered: below it there is no proof.
    first_known_epoch: u64,
}

impl ReceivedAttempts {
    pub fn new(horizon: AttemptLedgerConfig) -> Self {
        Self {
            config: horizon,
            epoch: 0,
            states: BTreeMap::new(),
            ended: VecDeque::new(),
            answers: VecDeque::new(),
            answer_bytes: 0,
            forgotten_up_to: BTreeMap::new(),
            first_known_epoch: 0,
        }
    }

    /// Tokens, and bytes of answers, that are remembered.
    pub fn retained(&self) -> (usize, usize) {
        (self.states.len(), self.answer_bytes)
    }

    /// The sender's hello: an older start than one heard of is a replay, and is refused.
    pub fn accept_epoch(&mut self, epoch: u64) -> bool {
        if epoch < self.epoch {
            return false;
        }
        self.epoch = epoch;
        true
    }

    fn is_forgotten(&self, token: Token) -> bool {
        token.epoch < self.first_known_epoch
            || self.forgotten_up_to.get(&token.epoch).is_some_and(|floor| token.number <= *floor)
    }

    /// A token comes in.
    pub fn admit(&mut self, token: Token) -> Admission {
        match self.states.get(&token) {
            Some(ReceivedState::Fenced) => return Admission::Fenced,
            Some(state) => return Admission::Known(fate(state)),
            None => {}
        }
        // What an earlier start has sent may still be on its way; its sender has given it up or asks for it.
        if token.epoch != self.epoch || self.is_forgotten(token) {
            return Admission::Fenced;
        }
        if self.states.len() >= self.config.max_tokens {
            return Admission::AtCapacity;
        }
        self.states.insert(token, ReceivedState::Running);
        Admission::Run
    }

    /// A token that ran has its answer.
    pub fn record_answer(&mut self, now: Ms, token: Token, answer: Vec<u8>) {
        let Some(state) = self.states.get_mut(&token).filter(|state| **state == ReceivedState::Running)
        else {
            return;
        };
        self.answer_bytes += answer.len();
        *state = ReceivedState::Completed(Some(answer));
        self.answers.push_back(token);
        self.ended.push_back((now, token));
        while self.answer_bytes > self.config.max_answer_bytes {
            let Some(oldest) = self.answers.pop_front() else { break };
            if let Some(ReceivedState::Completed(answer)) = self.states.get_mut(&oldest) {
                self.answer_bytes -= answer.take().map_or(0, |answer| answer.len());
            }
        }
    }

    /// A token was turned away before it ran, at this site.
    pub fn record_rejection(&mut self, now: Ms, token: Token) {
        if let Some(state) = self.states.get_mut(&token).filter(|state| **state == ReceivedState::Running) {
            *state = ReceivedState::Fenced;
            self.ended.push_back((now, token));
        }
    }

    /// What became of a token. One that never came is fenced off: from here on it is refused for good.
    pub fn query_outcome(&mut self, now: Ms, token: Token) -> AttemptOutcome {
        if let Some(state) = self.states.get(&token) {
            return fate(state);
        }
        if self.is_forgotten(token) || self.states.len() >= self.config.max_tokens {
            return AttemptOutcome::Forgotten;
        }
        self.states.insert(token, ReceivedState::Fenced);
        self.ended.push_back((now, token));
        AttemptOutcome::NeverRan
    }

    /// Forgets what ended too long ago, and remembers that it has.
    pub fn expire(&mut self, now: Ms) {
        while let Some(&(at, token)) = self.ended.front() {
            if now - at < self.config.retention {
                break;
            }
            self.ended.pop_front();
            if let Some(ReceivedState::Completed(Some(answer))) = self.states.remove(&token) {
                self.answer_bytes -= answer.len();
                self.answers.retain(|other| *other != token);
            }
            let floor = self.forgotten_up_to.entry(token.epoch).or_default();
            *floor = (*floor).max(token.number);
        }
        // Few starts are told apart; of older ones nothing that is not in the table is proven any more.
        while self.forgotten_up_to.len() > MAX_KNOWN_EPOCHS {
            let Some((epoch, _)) = self.forgotten_up_to.pop_first() else { break };
            self.first_known_epoch = self.first_known_epoch.max(epoch + 1);
        }
    }
}

fn fate(state: &ReceivedState) -> AttemptOutcome {
    match state {
        ReceivedState::Running => AttemptOutcome::Running,
        ReceivedState::Completed(answer) => AttemptOutcome::Completed(answer.clone()),
        ReceivedState::Fenced => AttemptOutcome::NeverRan,
    }
}
