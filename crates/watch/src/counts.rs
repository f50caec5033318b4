//! Owns the kinds of difference, and what makes two decisions about a request differ.

use std::fmt;

use linnethook::interface::{Action, EndpointId, FillInstruction, Ms, RequestId};

/// Times that differ by less are the same: they come from other figures than whole milliseconds.
const SAME: Ms = 0.001;

/// How many decisions were compared, and how many differed, by kind: each counts once, under the first that fits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    pub compared: u64,
    /// One sends it on, the other refuses it or gives it up.
    pub refusal: u64,
    /// One sends it on or answers it, the other waits; or times are not the same.
    pub wait: u64,
    /// To another cache.
    pub owner: u64,
    /// Filled from elsewhere, or one fills and the other does not.
    pub source: u64,
    /// Another rank, age or way of filling.
    pub fill: u64,
    /// One takes an attempt back, the other leaves it.
    pub cancellation: u64,
    /// The watching instance failed and has ended.
    pub ended: u64,
}

impl Counts {
    pub fn different(&self) -> u64 {
        self.refusal + self.wait + self.owner + self.source + self.fill + self.cancellation
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "watch_compared={} watch_owner={} watch_source={} watch_fill={} watch_refusal={} watch_cancellation={} \
             watch_wait={} watch_ended={}",
            self.compared,
            self.owner,
            self.source,
            self.fill,
            self.refusal,
            self.cancellation,
            self.wait,
            self.ended
        )
    }
}

/// What is decided about a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Said {
    Sends { cache: EndpointId, fill: Option<FillInstruction>, timeout: Ms },
    Refuses { retry_after: Ms },
    Fails,
}

impl Said {
    /// The request that an action decides about, and what.
    pub fn by(action: &Action) -> Option<(RequestId, Self)> {
        match *action {
            Action::Forward { request, endpoint: cache, timeout } => {
                Some((request, Self::Sends { cache, fill: None, timeout }))
            }
            Action::ForwardWithFill { request, endpoint: cache, timeout, fill } => {
                Some((request, Self::Sends { cache, fill: Some(fill), timeout }))
            }
            Action::Reject { request, retry_after, .. } => Some((request, Self::Refuses { retry_after })),
            Action::Fail { request, .. } => Some((request, Self::Fails)),
            Action::CancelAttempt(_)
            | Action::SetTimer { .. }
            | Action::HealthCheck(_)
            | Action::SubscribeEndpoints
            | Action::Log(_) => None,
        }
    }

    pub fn is_final(&self) -> bool {
        !matches!(self, Self::Sends { .. })
    }
}

/// How far two decisions are apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Apart {
    Alike,
    /// The same but for its times: the same attempt.
    Times,
    /// Another attempt, or none.
    Different,
}

impl Counts {
    /// Compares what was done with what would have been; at least one of the two decides something.
    pub fn compare(&mut self, done: Option<&Said>, would: Option<&Said>) -> Apart {
        self.compared += 1;
        let (Some(done), Some(would)) = (done, would) else {
            self.wait += 1;
            return Apart::Different;
        };
        let near = |a: Ms, b: Ms| (a - b).abs() < SAME;
        let (counter, apart) = match (*done, *would) {
            (
                Said::Sends { cache, fill, timeout },
                Said::Sends { cache: other, fill: otherwise, timeout: longer },
            ) => {
                let source = |cache: EndpointId, fill: Option<FillInstruction>| {
                    fill.map(|f| f.source).filter(|s| *s != cache)
                };
                if cache != other {
                    (&mut self.owner, Apart::Different)
                } else if source(cache, fill) != source(other, otherwise) {
                    (&mut self.source, Apart::Different)
                } else if fill != otherwise {
                    (&mut self.fill, Apart::Different)
                } else if !near(timeout, longer) {
                    (&mut self.wait, Apart::Times)
                } else {
                    return Apart::Alike;
                }
            }
            (Said::Refuses { retry_after: a }, Said::Refuses { retry_after: b }) if !near(a, b) => {
                (&mut self.wait, Apart::Times)
            }
            (Said::Refuses { .. }, Said::Refuses { .. }) | (Said::Fails, Said::Fails) => return Apart::Alike,
            _ => (&mut self.refusal, Apart::Different),
        };
        *counter += 1;
        apart
    }
}
