//! The receiver's side of the ledger.

use std::collections::{BTreeMap, VecDeque};

use linnethook::interface::Ms;

use super::{AttemptOutcome, Token};

/// What the receiver remembers of attempts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptLedgerConfig {
    /// How long a token that has ended is remembered, in milliseconds; longer than any deadline, or queries are of no
    /// use.
    pub retention: Ms,
    /// Tokens of one gateway that are remembered.
    pub max_tokens: usize,
    /// Bytes of their answers. The oldest answers are dropped first; their tokens stay.
    pub max_answer_bytes: usize,
}

impl Default for AttemptLedgerConfig {
    fn default() -> Self {
        Self { retention: 60_000.0, max_tokens: 65_536, max_answer_bytes: 8 << 20 }
    }
}

#[derive(Debug, Clone, PartialEq)]
enum TokenState {
    Running,
    Completed(Option<Vec<u8>>),
    /// It was reported as never run, or was rejected.
    Fenced,
}

/// How much is remembered of the attempts of one gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetainedAttempts {
    /// Tokens.
    pub tokens: usize,
    /// Bytes of answers.
    pub answer_bytes: usize,
}

/// Whether a token that arrives may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// It runs.
    Run,
    /// It has arrived before; what became of it.
    Known(AttemptOutcome),
    /// It may not run: fenced, of an earlier start of its sender, or older than what is remembered.
    Fenced,
    /// Too many are remembered.
    AtCapacity,
}

/// Starts of a sender that are distinguished.
const MAX_KNOWN_EPOCHS: usize = 16;

/// The tokens that one other gateway has sent.
#[derive(Debug, Clone)]
pub struct ReceivedAttempts {
    config: AttemptLedgerConfig,
    /// The latest start of the sender that is known.
    epoch: u64,
    states: BTreeMap<Token, TokenState>,
    /// Tokens that have ended, the oldest first, each with its time.
    ended: VecDeque<(Ms, Token)>,
    /// Tokens with a retained answer, the oldest first.
    answers: VecDeque<Token>,
    answer_bytes: usize,
    /// By epoch, the highest number that was forgotten: for those up to it there is no proof any more.
    forgotten_up_to: BTreeMap<u64, u64>,
    /// For earlier epochs there is no proof at all.
    first_known_epoch: u64,
}

impl ReceivedAttempts {
    /// Nothing is remembered yet.
    pub fn new(config: AttemptLedgerConfig) -> Self {
        Self {
            config,
            epoch: 0,
            states: BTreeMap::new(),
            ended: VecDeque::new(),
            answers: VecDeque::new(),
            answer_bytes: 0,
            forgotten_up_to: BTreeMap::new(),
            first_known_epoch: 0,
        }
    }

    /// How much is remembered.
    pub fn retained(&self) -> RetainedAttempts {
        RetainedAttempts { tokens: self.states.len(), answer_bytes: self.answer_bytes }
    }

    /// The sender has introduced itself. False if its start is earlier than one that is known: a replay.
    pub fn accept_epoch(&mut self, epoch: u64) -> bool {
        if epoch < self.epoch {
            return false;
        }
        self.epoch = epoch;
        true
    }

    fn is_forgotten(&self, token: Token) -> bool {
        token.epoch < self.first_known_epoch
            || self.forgotten_up_to.get(&token.epoch).is_some_and(|highest| token.number <= *highest)
    }

    /// A token arrives.
    pub fn admit(&mut self, token: Token) -> Admission {
        match self.states.get(&token) {
            Some(TokenState::Fenced) => return Admission::Fenced,
            Some(state) => return Admission::Known(outcome_of(state)),
            None => {}
        }
        // What an earlier start has sent may still be on its way; its sender has given it up, or queries it.
        if token.epoch != self.epoch || self.is_forgotten(token) {
            return Admission::Fenced;
        }
        if self.states.len() >= self.config.max_tokens {
            return Admission::AtCapacity;
        }
        self.states.insert(token, TokenState::Running);
        Admission::Run
    }

    /// A token has run.
    pub fn record_answer(&mut self, now: Ms, token: Token, answer: Vec<u8>) {
        let Some(state) = self.states.get_mut(&token).filter(|state| **state == TokenState::Running) else {
            return;
        };
        self.answer_bytes += answer.len();
        *state = TokenState::Completed(Some(answer));
        self.answers.push_back(token);
        self.ended.push_back((now, token));
        while self.answer_bytes > self.config.max_answer_bytes {
            let Some(oldest) = self.answers.pop_front() else { break };
            if let Some(TokenState::Completed(answer)) = self.states.get_mut(&oldest) {
                self.answer_bytes -= answer.take().map_or(0, |answer| answer.len());
            }
        }
    }

    /// A token was rejected before it ran.
    pub fn record_rejection(&mut self, now: Ms, token: Token) {
        if let Some(state) = self.states.get_mut(&token).filter(|state| **state == TokenState::Running) {
            *state = TokenState::Fenced;
            self.ended.push_back((now, token));
        }
    }

    /// What became of a token. One that has not arrived is fenced: from here on it never runs.
    pub fn query_outcome(&mut self, now: Ms, token: Token) -> AttemptOutcome {
        if let Some(state) = self.states.get(&token) {
            return outcome_of(state);
        }
        if self.is_forgotten(token) || self.states.len() >= self.config.max_tokens {
            return AttemptOutcome::Forgotten;
        }
        self.states.insert(token, TokenState::Fenced);
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
            if let Some(TokenState::Completed(Some(answer))) = self.states.remove(&token) {
                self.answer_bytes -= answer.len();
                self.answers.retain(|other| *other != token);
            }
            let highest = self.forgotten_up_to.entry(token.epoch).or_default();
            *highest = (*highest).max(token.number);
        }
        // Of older starts nothing that is not in the table is proven any more.
        while self.forgotten_up_to.len() > MAX_KNOWN_EPOCHS {
            let Some((epoch, _)) = self.forgotten_up_to.pop_first() else { break };
            self.first_known_epoch = self.first_known_epoch.max(epoch + 1);
        }
    }
}

fn outcome_of(state: &TokenState) -> AttemptOutcome {
    match state {
        TokenState::Running => AttemptOutcome::Running,
        TokenState::Completed(answer) => AttemptOutcome::Completed(answer.clone()),
        TokenState::Fenced => AttemptOutcome::NeverRan,
    }
}
