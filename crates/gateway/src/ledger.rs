//! Owns the ledger of attempts: who may run a request now.
//!
//! A request whose second run would be harm crosses with a token (the sender's epoch, a number). The sender's side
//! ([`Sent`]) neither sends it again nor refuses it before it is proven that the token never ran; the receiver's side
//! ([`Taken`]) knows what became of each token, and once it has said that one never came it refuses that one for good.
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
pub enum Fate {
    /// It ran; with the answer, where that is still kept.
    Ran(Option<Vec<u8>>),
    /// It is there, and has no answer yet.
    Running,
    /// It never came, and is refused from now on; or it was turned away. It never ran.
    Never,
    /// It may have come: it is older than what is remembered. No proof.
    Forgotten,
}

// ---- The sender's side.

/// How an attempt stands that was sent across.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Not every byte was handed to the system: nothing can have come whole.
    Unwritten,
    /// It may run.
    Out,
    /// The link went silent or was cut: it may have run.
    Uncertain,
    /// Proven never to have run.
    Never,
}

#[derive(Debug, Clone)]
struct Attempt {
    ticket: Ticket,
    /// The start of the receiver to which it was sent.
    peer: u64,
    /// The connection on which it is out.
    via: u64,
    deadline: Ms,
    standing: Standing,
}

/// What the sender does about a request now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Its answer has come.
    Answered(Ticket, Vec<u8>),
    /// Proven not to have run: another attempt, or a refusal, does no harm.
    Free(Ticket),
    /// Its time is over, or its fate can't be known in time: failed, and nothing after.
    Failed(Ticket),
}

/// Attempts that were sent across one link.
#[derive(Debug, Clone)]
pub struct Sent {
    epoch: u64,
    last: u64,
    open: BTreeMap<Token, Attempt>,
    by_ticket: BTreeMap<Ticket, Token>,
    most: usize,
}

impl Sent {
    /// `epoch` is this process's start; `most` attempts may be open.
    pub fn new(epoch: u64, most: usize) -> Self {
        Self { epoch, last: 0, open: BTreeMap::new(), by_ticket: BTreeMap::new(), most }
    }

    pub fn len(&self) -> usize {
        self.open.len()
    }

    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// A token for a request; `None` while another attempt of it is open, or too many are.
    ///
    /// `peer` is the start of the receiver, `via` the connection.
    pub fn begin(&mut self, ticket: Ticket, peer: u64, via: u64, deadline: Ms) -> Option<Token> {
        if self.by_ticket.contains_key(&ticket) || self.open.len() >= self.most {
            return None;
        }
        self.last += 1;
        let token = Token { epoch: self.epoch, number: self.last };
        self.open.insert(token, Attempt { ticket, peer, via, deadline, standing: Standing::Unwritten });
        self.by_ticket.insert(ticket, token);
        Some(token)
    }

    /// Whose request a token is for.
    pub fn ticket(&self, token: Token) -> Option<Ticket> {
        self.open.get(&token).map(|attempt| attempt.ticket)
    }

    pub fn is_uncertain(&self, ticket: Ticket) -> bool {
        self.standing(ticket) == Some(Standing::Uncertain)
    }

    /// Attempts whose fate is open.
    pub fn uncertain(&self) -> usize {
        self.open.values().filter(|attempt| attempt.standing == Standing::Uncertain).count()
    }

    pub fn standing(&self, ticket: Ticket) -> Option<Standing> {
        let token = self.by_ticket.get(&ticket)?;
        self.open.get(token).map(|attempt| attempt.standing)
    }

    /// Its last byte was handed to the system.
    pub fn written(&mut self, token: Token) {
        if let Some(attempt) = self.open.get_mut(&token).filter(|a| a.standing == Standing::Unwritten) {
            attempt.standing = Standing::Out;
        }
    }

    fn close(&mut self, token: Token) -> Option<Attempt> {
        let attempt = self.open.remove(&token)?;
        self.by_ticket.remove(&attempt.ticket);
        Some(attempt)
    }

    /// A connection is down, or silent: what was not written whole there is free, all else on it is uncertain.
    pub fn lost(&mut self, via: u64) -> Vec<Verdict> {
        let unwritten = |a: &Attempt| a.via == via && a.standing == Standing::Unwritten;
        let free: Vec<Token> = self.open.iter().filter(|(_, a)| unwritten(a)).map(|(t, _)| *t).collect();
        for attempt in self.open.values_mut().filter(|a| a.via == via && a.standing == Standing::Out) {
            attempt.standing = Standing::Uncertain;
        }
        free.into_iter().filter_map(|token| self.close(token)).map(|a| Verdict::Free(a.ticket)).collect()
    }

    /// The link is up again, to that start of the other side: what has to be asked there.
    ///
    /// A connection that is not known to be down yet may still bring an answer: what is out there is not asked after.
    ///
    /// One that went to an earlier start of the other side can't be asked after: the new one knows nothing of it. It
    /// stays uncertain until its time is over.
    pub fn found(&self, peer: u64) -> Vec<Token> {
        let ask = |attempt: &&Attempt| attempt.standing == Standing::Uncertain && attempt.peer == peer;
        self.open.iter().filter(|(_, attempt)| ask(attempt)).map(|(token, _)| *token).collect()
    }

    /// The other side tells on a connection what became of a token. An answer in the course of things is told the
    /// same way.
    pub fn told(&mut self, token: Token, fate: Fate, via: u64) -> Option<Verdict> {
        match fate {
            Fate::Ran(Some(answer)) => self.close(token).map(|a| Verdict::Answered(a.ticket, answer)),
            // It ran, and nobody knows with what result.
            Fate::Ran(None) => self.close(token).map(|a| Verdict::Failed(a.ticket)),
            Fate::Never => self.close(token).map(|a| Verdict::Free(a.ticket)),
            Fate::Running => {
                let attempt = self.open.get_mut(&token)?;
                (attempt.standing, attempt.via) = (Standing::Out, via);
                None
            }
            // No proof: it waits for its time, as one does that can't be asked after.
            Fate::Forgotten => None,
        }
    }

    /// Nobody waits for it any more; the token stays as it is at the other side.
    pub fn forget(&mut self, ticket: Ticket) {
        if let Some(token) = self.by_ticket.get(&ticket).copied() {
            self.close(token);
        }
    }

    /// Those whose time is over: failed, in time, and nothing after. One of which not every byte was written is
    /// called off with it.
    pub fn expire(&mut self, now: Ms) -> Vec<Verdict> {
        let over: Vec<Token> = self.open.iter().filter(|(_, a)| now >= a.deadline).map(|(t, _)| *t).collect();
        over.into_iter().filter_map(|token| self.close(token)).map(|a| Verdict::Failed(a.ticket)).collect()
    }

    /// When `expire` is due.
    pub fn next(&self) -> Option<Ms> {
        self.open.values().map(|attempt| attempt.deadline).reduce(f64::min)
    }
}

// ---- The receiver's side.

/// What the receiver remembers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Horizon {
    /// How long a token that has ended is remembered; beyond the longest deadline, or asking is of no use.
    pub span: Ms,
    pub tokens: usize,
    /// Bytes of answers kept; the oldest go first, and their tokens stay.
    pub bytes: usize,
}

impl Default for Horizon {
    fn default() -> Self {
        Self { span: 60_000.0, tokens: 65_536, bytes: 8 << 20 }
    }
}

#[derive(Debug, Clone, PartialEq)]
enum State {
    Running,
    Ran(Option<Vec<u8>>),
    /// It was said of it that it never came, or it was turned away.
    Fenced,
}

/// Whether a token that comes in may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    Run,
    /// It is here already: what became of it.
    Known(Fate),
    /// It may not run: fenced off, of an earlier start of its sender, or older than what is remembered.
    Barred,
    /// Too many are remembered.
    Full,
}

/// Starts of a sender that are told apart.
const STARTS: usize = 16;

/// Tokens that came in over one link, from one other site.
#[derive(Debug, Clone)]
pub struct Taken {
    horizon: Horizon,
    /// The latest start of the sender that was heard of.
    epoch: u64,
    tokens: BTreeMap<Token, State>,
    /// Those that have ended, by when.
    ended: VecDeque<(Ms, Token)>,
    answers: VecDeque<Token>,
    bytes: usize,
    /// By epoch: the highest number that was forgotten. All up to it have no proof any more.
    floor: BTreeMap<u64, u64>,
    /// Starts of which nothing at all is remembered: below it there is no proof.
    before: u64,
}

impl Taken {
    pub fn new(horizon: Horizon) -> Self {
        Self {
            horizon,
            epoch: 0,
            tokens: BTreeMap::new(),
            ended: VecDeque::new(),
            answers: VecDeque::new(),
            bytes: 0,
            floor: BTreeMap::new(),
            before: 0,
        }
    }

    /// Tokens, and bytes of answers, that are remembered.
    pub fn kept(&self) -> (usize, usize) {
        (self.tokens.len(), self.bytes)
    }

    /// The sender's hello: an older start than one heard of is a replay, and is refused.
    pub fn hello(&mut self, epoch: u64) -> bool {
        if epoch < self.epoch {
            return false;
        }
        self.epoch = epoch;
        true
    }

    fn is_forgotten(&self, token: Token) -> bool {
        token.epoch < self.before || self.floor.get(&token.epoch).is_some_and(|floor| token.number <= *floor)
    }

    /// A token comes in.
    pub fn offer(&mut self, token: Token) -> Admission {
        match self.tokens.get(&token) {
            Some(State::Fenced) => return Admission::Barred,
            Some(state) => return Admission::Known(fate(state)),
            None => {}
        }
        // What an earlier start has sent may still be on its way; its sender has given it up or asks for it.
        if token.epoch != self.epoch || self.is_forgotten(token) {
            return Admission::Barred;
        }
        if self.tokens.len() >= self.horizon.tokens {
            return Admission::Full;
        }
        self.tokens.insert(token, State::Running);
        Admission::Run
    }

    /// A token that ran has its answer.
    pub fn ran(&mut self, now: Ms, token: Token, answer: Vec<u8>) {
        let Some(state) = self.tokens.get_mut(&token).filter(|state| **state == State::Running) else {
            return;
        };
        self.bytes += answer.len();
        *state = State::Ran(Some(answer));
        self.answers.push_back(token);
        self.ended.push_back((now, token));
        while self.bytes > self.horizon.bytes {
            let Some(oldest) = self.answers.pop_front() else { break };
            if let Some(State::Ran(answer)) = self.tokens.get_mut(&oldest) {
                self.bytes -= answer.take().map_or(0, |answer| answer.len());
            }
        }
    }

    /// A token was turned away before it ran, at this site.
    pub fn never_ran(&mut self, now: Ms, token: Token) {
        if let Some(state) = self.tokens.get_mut(&token).filter(|state| **state == State::Running) {
            *state = State::Fenced;
            self.ended.push_back((now, token));
        }
    }

    /// What became of a token. One that never came is fenced off: from here on it is refused for good.
    pub fn ask(&mut self, now: Ms, token: Token) -> Fate {
        if let Some(state) = self.tokens.get(&token) {
            return fate(state);
        }
        if self.is_forgotten(token) || self.tokens.len() >= self.horizon.tokens {
            return Fate::Forgotten;
        }
        self.tokens.insert(token, State::Fenced);
        self.ended.push_back((now, token));
        Fate::Never
    }

    /// Forgets what ended too long ago, and remembers that it has.
    pub fn expire(&mut self, now: Ms) {
        while let Some(&(at, token)) = self.ended.front() {
            if now - at < self.horizon.span {
                break;
            }
            self.ended.pop_front();
            if let Some(State::Ran(Some(answer))) = self.tokens.remove(&token) {
                self.bytes -= answer.len();
                self.answers.retain(|other| *other != token);
            }
            let floor = self.floor.entry(token.epoch).or_default();
            *floor = (*floor).max(token.number);
        }
        // Few starts are told apart; of older ones nothing that is not in the table is proven any more.
        while self.floor.len() > STARTS {
            let Some((epoch, _)) = self.floor.pop_first() else { break };
            self.before = self.before.max(epoch + 1);
        }
    }
}

fn fate(state: &State) -> Fate {
    match state {
        State::Running => Fate::Running,
        State::Ran(answer) => Fate::Ran(answer.clone()),
        State::Fenced => Fate::Never,
    }
}
