//! The one place that decides whether an attempt may be sent now, and whether a client's connection may be closed
//! now. Both are asked at the last moment, where the first byte is written and where the socket is closed; what
//! earlier checks should have prevented is counted as a violation.

use std::fmt;

use crate::policy_adapter::Ms;

/// An attempt whose first byte is about to be written.
#[derive(Debug, Clone, Copy)]
pub struct SendOrder {
    /// When the attempt is given up.
    pub deadline: Ms,
    /// When the attempt may no longer be sent, as its key may be forgotten.
    pub send_by: Option<Ms>,
}

/// Why an attempt is not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendRefusal {
    /// Its request has ended, or it was taken back.
    Ended,
    /// Its time is over.
    DeadlinePassed,
    /// Its endpoint may have forgotten the key of the request.
    WindowOver,
}

impl SendRefusal {
    /// Whether the attempt should not have been queued any more. Times may pass between two turns.
    pub fn is_violation(self) -> bool {
        self == Self::Ended
    }
}

/// Whether an attempt may be sent now; `order` is `None` if it is not in flight any more.
///
/// # Errors
///
/// Why it may not.
pub fn may_send(now: Ms, order: Option<SendOrder>) -> Result<(), SendRefusal> {
    let Some(SendOrder { deadline, send_by }) = order else { return Err(SendRefusal::Ended) };
    if now >= deadline {
        return Err(SendRefusal::DeadlinePassed);
    }
    if send_by.is_some_and(|send_by| now >= send_by) {
        return Err(SendRefusal::WindowOver);
    }
    Ok(())
}

/// Why a client's connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The client has closed it.
    ClosedByClient,
    /// The connection is broken.
    Broken,
    /// The client reads none of its answers, and waits for none any more or takes resources that others need.
    Unread,
    /// Nothing has happened on it for long.
    Idle,
    /// It was shut down, and what the client still sent was discarded.
    Finished,
    /// Another client needs its descriptor.
    Evicted,
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ClosedByClient => "closed by the client",
            Self::Broken => "broken",
            Self::Unread => "answers are not read",
            Self::Idle => "idle",
            Self::Finished => "finished",
            Self::Evicted => "evicted",
        })
    }
}

/// Whether a connection may be closed for a reason. While answers are owed on it, only its client may end it.
pub fn may_close(reason: CloseReason, owes_answers: bool) -> bool {
    match reason {
        CloseReason::ClosedByClient | CloseReason::Broken | CloseReason::Unread => true,
        CloseReason::Idle | CloseReason::Finished | CloseReason::Evicted => !owes_answers,
    }
}

#[cfg(test)]
#[path = "../tests/unit/permission.rs"]
mod tests;
