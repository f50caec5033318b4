//! What can fail in a run, beside the system: the rules, and the agreement of audit logs with the recording.

use std::error::Error;
use std::fmt;
use std::io;

use linnethook_audit::verification::Finding;

use super::Step;
use crate::rules::Breach;

/// How many breaches are told one by one.
const BREACHES_SHOWN: usize = 8;

/// Why a run or its judgement failed.
#[derive(Debug)]
pub enum HarnessError {
    /// A process, a control socket or a file failed, or a wait ran out.
    Io(io::Error),
    /// A step of a script could not be done.
    Step {
        /// The step.
        step: Step,
        /// Why not.
        source: io::Error,
    },
    /// Rules were broken, or requests that are not idempotent ran twice.
    RulesBroken {
        /// The breaches by time.
        breaches: Vec<Breach>,
        /// Requests that ran more than once at the origin.
        ran_twice: usize,
    },
    /// A booking reached a server, and no audit log or gap has it.
    NotAudited {
        /// The router that sent it.
        router: String,
        /// The booking.
        id: String,
        /// When it reached the server, in Unix milliseconds.
        at: f64,
    },
    /// An audit log has a booking that no server received.
    NotReceived {
        /// The router whose log has it.
        router: String,
        /// The booking.
        id: String,
    },
    /// Audit logs contradict each other or lack records.
    AuditLogs(Box<Finding>),
}

impl fmt::Display for HarnessError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => error.fmt(f),
            Self::Step { step, source } => write!(f, "{step:?}: {source}"),
            Self::RulesBroken { breaches, ran_twice } => {
                writeln!(f, "{} breaches, {ran_twice} ran twice", breaches.len())?;
                breaches.iter().take(BREACHES_SHOWN).try_for_each(|breach| writeln!(f, "{breach}"))
            }
            Self::NotAudited { router, id, at } => {
                write!(f, "{router}'s booking {id} at {at:.0} is in no account and no gap")
            }
            Self::NotReceived { router, id } => {
                write!(f, "{router}'s account has booking {id}, which no node saw")
            }
            Self::AuditLogs(finding) => write!(f, "the accounts do not hold together: {finding:?}"),
        }
    }
}

impl Error for HarnessError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Io(source) | Self::Step { source, .. } => Some(source),
            _ => None,
        }
    }
}

impl From<io::Error> for HarnessError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}
