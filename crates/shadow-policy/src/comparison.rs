//! Decisions about requests, and the kinds of difference between two of them.

use std::fmt;

use linnethook::interface::{Action, EndpointId, FillInstruction, Ms, RequestId};

/// Times that differ by less are equal: they are computed in milliseconds with fractions.
const TIME_TOLERANCE: Ms = 0.001;

/// How many decisions were compared, and how many differed. Each counts once, under the first kind that
/// applies, in the order of the fields after `compared`, rejection first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DifferenceCounts {
    pub compared: u64,
    /// One forwards the request, the other rejects or fails it.
    pub rejection: u64,
    /// One forwards or answers the request, the other waits; or their times differ.
    pub timing: u64,
    /// Forwarded to another endpoint.
    pub endpoint: u64,
    /// Filled from another source, or only one fills.
    pub source: u64,
    /// Another fill instruction.
    pub fill: u64,
    /// Only one cancels an attempt.
    pub cancellation: u64,
    /// The second instance has panicked and is no longer compared: 0 or 1.
    pub failed: u64,
}

impl DifferenceCounts {
    /// The number of decisions that differed.
    pub fn different(&self) -> u64 {
        self.rejection + self.timing + self.endpoint + self.source + self.fill + self.cancellation
    }

    /// Compares the decision that was carried out with the other one, and counts the difference. At least one
    /// of the two exists; a request without a decision waits.
    pub fn compare(&mut self, carried_out: Option<&Decision>, other: Option<&Decision>) -> Difference {
        self.compared += 1;
        let difference = match (carried_out, other) {
            (Some(carried_out), Some(other)) => carried_out.difference(other),
            _ => Difference::OneWaits,
        };
        if let Some(counter) = self.counter(difference) {
            *counter += 1;
        }
        difference
    }

    fn counter(&mut self, difference: Difference) -> Option<&mut u64> {
        match difference {
            Difference::None => None,
            Difference::Timing | Difference::OneWaits => Some(&mut self.timing),
            Difference::Endpoint => Some(&mut self.endpoint),
            Difference::Source => Some(&mut self.source),
            Difference::Fill => Some(&mut self.fill),
            Difference::Rejection => Some(&mut self.rejection),
        }
    }
}

impl fmt::Display for DifferenceCounts {
    /// The names of the counters in the log.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "watch_compared={} watch_owner={} watch_source={} watch_fill={} watch_refusal={} watch_cancellation={} \
             watch_wait={} watch_ended={}",
            self.compared,
            self.endpoint,
            self.source,
            self.fill,
            self.rejection,
            self.cancellation,
            self.timing,
            self.failed
        )
    }
}

/// What is decided about a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    Forward { endpoint: EndpointId, fill: Option<FillInstruction>, timeout: Ms },
    Reject { retry_after: Ms },
    Fail,
}

impl Decision {
    /// The request that an action decides about, and the decision; `None` for other actions.
    pub fn from_action(action: &Action) -> Option<(RequestId, Self)> {
        match *action {
            Action::Forward { request, endpoint, timeout } => {
                Some((request, Self::Forward { endpoint, fill: None, timeout }))
            }
            Action::ForwardWithFill { request, endpoint, timeout, fill } => {
                Some((request, Self::Forward { endpoint, fill: Some(fill), timeout }))
            }
            Action::Reject { request, retry_after, .. } => Some((request, Self::Reject { retry_after })),
            Action::Fail { request, .. } => Some((request, Self::Fail)),
            Action::CancelAttempt(_)
            | Action::SetTimer { .. }
            | Action::HealthCheck(_)
            | Action::SubscribeEndpoints
            | Action::Log(_) => None,
        }
    }

    /// Whether the request has its final answer.
    pub fn is_final(&self) -> bool {
        !matches!(self, Self::Forward { .. })
    }

    fn difference(&self, other: &Self) -> Difference {
        match (*self, *other) {
            (
                Self::Forward { endpoint, fill, timeout },
                Self::Forward { endpoint: other_endpoint, fill: other_fill, timeout: other_timeout },
            ) => {
                if endpoint != other_endpoint {
                    Difference::Endpoint
                } else if fill_source(endpoint, fill) != fill_source(endpoint, other_fill) {
                    Difference::Source
                } else if fill != other_fill {
                    Difference::Fill
                } else {
                    timing_difference(timeout, other_timeout)
                }
            }
            (Self::Reject { retry_after }, Self::Reject { retry_after: other_retry_after }) => {
                timing_difference(retry_after, other_retry_after)
            }
            (Self::Fail, Self::Fail) => Difference::None,
            _ => Difference::Rejection,
        }
    }
}

/// Where the endpoint fills from; `None` if it does not.
fn fill_source(endpoint: EndpointId, fill: Option<FillInstruction>) -> Option<EndpointId> {
    fill.map(|fill| fill.source).filter(|&source| source != endpoint)
}

fn timing_difference(time: Ms, other: Ms) -> Difference {
    if (time - other).abs() < TIME_TOLERANCE {
        Difference::None
    } else {
        Difference::Timing
    }
}

/// How two decisions about a request differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Difference {
    None,
    /// The same attempt or answer, with another time-out or Retry-After.
    Timing,
    /// One decides nothing yet.
    OneWaits,
    Endpoint,
    Source,
    Fill,
    Rejection,
}

impl Difference {
    /// Whether both decisions send the same attempt, or give the same answer.
    pub fn is_same_attempt(self) -> bool {
        matches!(self, Self::None | Self::Timing)
    }
}
