//! A ledger of attempts that must not be executed twice.
//!
//! A request that is not idempotent is sent with a fencing token. The sender ([`SentAttempts`]) neither sends
//! it again nor rejects it before the token is proven not to have run. The receiver ([`ReceivedAttempts`])
//! retains the outcome of each token, and never runs a token that it has reported as not run. A token that is
//! no longer retained is reported as forgotten, which proves nothing.

mod received;
mod sent;

use serde::{Deserialize, Serialize};

pub use received::{Admission, AttemptLedgerConfig, ReceivedAttempts, RetainedAttempts};
pub use sent::{AttemptState, OpenAttempt, Resolution, SentAttempts};

/// A fencing token. A sender never uses a token twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Token {
    /// The start time of the sender's process, in Unix microseconds: greater with each start.
    pub epoch: u64,
    /// The number of the token, unique within the epoch.
    pub number: u64,
}

/// Identifies a request at the gateway that it was submitted to.
pub type Ticket = u64;

/// The outcome of a token, as reported by the receiver.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// It ran; with its encoded answer if that is still retained.
    Completed(Option<Vec<u8>>),
    /// It has arrived and has no answer yet.
    Running,
    /// It never ran: it was rejected, or it had not arrived and is fenced from now on.
    NeverRan,
    /// It is older than the retained tokens: it may have run.
    Forgotten,
}
