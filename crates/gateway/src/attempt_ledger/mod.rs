//! The ledger of attempts that must not run twice.
//!
//! A request that is not idempotent crosses a link with a fencing token. The sender's side ([`SentAttempts`]) neither
//! sends it again nor rejects it before it is proven that the token never ran. The receiver's side
//! ([`ReceivedAttempts`]) remembers what became of each token, and never runs one that it has reported as not run. What
//! it has forgotten it reports as forgotten, which proves nothing.

mod received;
mod sent;

use serde::{Deserialize, Serialize};

pub use received::{Admission, AttemptLedgerConfig, ReceivedAttempts, RetainedAttempts};
pub use sent::{AttemptState, Resolution, SentAttempts};

/// A fencing token: a sender never uses one twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Token {
    /// When the sender's process started, in Unix microseconds: greater with each start.
    pub epoch: u64,
    /// Its number within that start.
    pub number: u64,
}

/// Names a request at the gateway that it was submitted to.
pub type Ticket = u64;

/// What became of a token, as the receiver reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// It ran; with its encoded answer, where that is still retained.
    Completed(Option<Vec<u8>>),
    /// It has arrived, and has no answer yet.
    Running,
    /// It has not arrived and will not run from now on, or it was rejected: it never ran.
    NeverRan,
    /// It is older than what is remembered: it may have run.
    Forgotten,
}
