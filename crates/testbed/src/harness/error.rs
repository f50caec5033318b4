//! Errors of a run: system errors, broken rules, and audit logs that disagree with the recording.

use std::error::Error;
use std::fmt;
use std::io;

use linnethook_audit::verification::Finding;

use super::Step;
use crate::rules::Breach;

/// Number of breaches that an error text lists.
const BREACHES_SHOWN: usize = 8;

/// Why a run or the check of its recording failed.
#[derive(Debug)]
pub enum HarnessError {
    /// A process, a control socket or a file failed, or a wait timed out.
    Io(io::Error),
    /// A step of a script failed.
    Step {
        /// The step.
        step: Step,
        /// The cause.
        source: io::Error,
    },
    /// Rules were broken, or requests that are not idempotent ran more than once.
    RulesBroken {
        /// The breaches by time.
        breaches: Vec<Breach>,
        /// Requests that ran more than once at the origin.
        ran_twice: usize,
    },
    /// A booking reached a server, and neither an audit log nor a gap of one covers it.
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
                writeln!(
                    f,
                    "{} breaches of rules; {ran_twice} non-idempotent requests ran more than once",
                    breaches.len()
                )?;
                breaches.iter().take(BREACHES_SHOWN).try_for_each(|breach| writeln!(f, "{breach}"))
            }
            Self::NotAudited { router, id, at } => {
                write!(
                    f,
                    "booking {id} of {router}, received at {at:.0}, is in no audit log and no known gap"
                )
            }
            Self::NotReceived { router, id } => {
                write!(f, "the audit log of {router} has booking {id}, which no server received")
            }
            Self::AuditLogs(finding) => write!(f, "audit logs are inconsistent: {finding:?}"),
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
