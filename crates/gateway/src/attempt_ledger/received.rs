//! The receiver's side of the attempt ledger.

use std::collections::{BTreeMap, VecDeque};

use linnethook::interface::Ms;

use super::{AttemptOutcome, Token};

/// How much the receiver retains of attempts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptLedgerConfig {
    /// How long a token that has ended is retained, in milliseconds. Must be longer than any deadline, or
    /// else queries can't be answered.
    pub retention: Ms,
    /// Maximum number of retained tokens of one gateway.
    pub max_tokens: usize,
    /// Maximum number of retained bytes of answers. The oldest answers are dropped first; their tokens are
    /// retained.
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
    /// It was rejected, or reported as never run.
    Fenced,
}

/// How much is retained of the attempts of one gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetainedAttempts {
    /// The number of tokens.
    pub tokens: usize,
    /// The number of bytes of answers.
    pub answer_bytes: usize,
}

/// The decision about a token that arrives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// It is to run.
    Run,
    /// It has arrived before; with its outcome.
    Known(AttemptOutcome),
    /// It may not run: it is fenced, from an earlier start of its sender, or older than the retained tokens.
    Fenced,
    /// The limit of retained tokens is reached.
    AtCapacity,
}

/// Maximum number of starts of a sender that are distinguished.
const MAX_KNOWN_EPOCHS: usize = 16;

/// The tokens received from one other gateway.
#[derive(Debug, Clone)]
pub struct ReceivedAttempts {
    config: AttemptLedgerConfig,
    /// The latest known start of the sender.
    epoch: u64,
    states: BTreeMap<Token, TokenState>,
    /// Tokens that have ended, each with the time of its end, the oldest first.
    ended: VecDeque<(Ms, Token)>,
    /// Tokens with a retained answer, the oldest first.
    answers: VecDeque<Token>,
    answer_bytes: usize,
    /// For each epoch, the highest dropped number: nothing can be proven about tokens up to it.
    forgotten_up_to: BTreeMap<u64, u64>,
    /// Nothing can be proven about tokens of earlier epochs.
    first_known_epoch: u64,
}

impl ReceivedAttempts {
    /// Creates an empty ledger.
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

    /// How much is retained.
    pub fn retained(&self) -> RetainedAttempts {
        RetainedAttempts { tokens: self.states.len(), answer_bytes: self.answer_bytes }
    }

    /// Records the epoch of the sender's hello. Returns false if the epoch is earlier than a known one, which
    /// means that the hello is a replay.
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

    /// Decides whether a token that arrives may run, and records it as running if so.
    pub fn admit(&mut self, token: Token) -> Admission {
        match self.states.get(&token) {
            Some(TokenState::Fenced) => return Admission::Fenced,
            Some(state) => return Admission::Known(outcome_of(state)),
            None => {}
        }
        // A request from an earlier start of the sender may still be in transit; the sender has given it up
        // or queries its outcome.
        if token.epoch != self.epoch || self.is_forgotten(token) {
            return Admission::Fenced;
        }
        if self.states.len() >= self.config.max_tokens {
            return Admission::AtCapacity;
        }
        self.states.insert(token, TokenState::Running);
        Admission::Run
    }

    /// Records the answer of a token that has run.
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

    /// Records that a token was rejected before it ran.
    pub fn record_rejection(&mut self, now: Ms, token: Token) {
        if let Some(state) = self.states.get_mut(&token).filter(|state| **state == TokenState::Running) {
            *state = TokenState::Fenced;
            self.ended.push_back((now, token));
        }
    }

    /// The outcome of a token. A token that has not arrived is fenced: it will never run.
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

    /// Drops tokens that ended longer ago than the retention, and records up to which number they were
    /// dropped.
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
        // For older starts, nothing can be proven about tokens that are not in the table.
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
