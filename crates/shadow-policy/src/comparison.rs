//! Decisions about requests, and the kinds of difference between two decisions.

use std::fmt;

use linnethook::interface::{Action, EndpointId, FillInstruction, Ms, RequestId};

/// Times that differ by less are considered equal, because they are floating-point results.
const TIME_TOLERANCE: Ms = 0.001;

/// The number of compared decisions, and the number of differences of each kind. A difference is counted
/// once, under the first kind that applies, in the order of the fields after `compared`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DifferenceCounts {
    /// Compared decisions.
    pub compared: u64,
    /// Only one rejects or fails the request.
    pub rejection: u64,
    /// Only one decides about the request so far, or their times differ.
    pub timing: u64,
    /// The endpoints differ.
    pub endpoint: u64,
    /// The fill sources differ, or only one fills.
    pub source: u64,
    /// The fill instructions differ in another way.
    pub fill: u64,
    /// Only one cancels the attempt.
    pub cancellation: u64,
    /// 1 if the second instance has panicked, after which nothing is compared; otherwise 0.
    pub failed: u64,
}

impl DifferenceCounts {
    /// The number of decisions that differed.
    pub fn different(&self) -> u64 {
        self.rejection + self.timing + self.endpoint + self.source + self.fill + self.cancellation
    }

    /// Compares the decision that was carried out with the other one, and counts the difference. `None` means
    /// that the request is still waiting for a decision; at most one of the two may be `None`.
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
    /// Writes the counters under their names in the log.
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

/// A decision about a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// An attempt is sent.
    Forward {
        /// The endpoint that the attempt is sent to.
        endpoint: EndpointId,
        /// How a missing object is filled; `None` for no fill.
        fill: Option<FillInstruction>,
        /// The timeout of the attempt.
        timeout: Ms,
    },
    /// The request is rejected.
    Reject {
        /// The time after which the client should retry.
        retry_after: Ms,
    },
    /// The request fails.
    Fail,
}

impl Decision {
    /// The request that an action decides about, and the decision; `None` for other actions.
    pub fn from_action(action: &Action) -> Option<(RequestId, Self)> {
        match *action {
            Action::Forward { request, endpoint, timeout, .. } => {
                Some((request, Self::Forward { endpoint, fill: None, timeout }))
            }
            Action::ForwardWithFill { request, endpoint, timeout, fill, .. } => {
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

    /// Whether the decision is the final answer to the request.
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

/// The endpoint that `endpoint` fills from; `None` if it does not fill.
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
    /// No difference.
    None,
    /// The same attempt or answer, with another timeout or Retry-After.
    Timing,
    /// Only one has decided so far.
    OneWaits,
    /// Another endpoint.
    Endpoint,
    /// Another fill source.
    Source,
    /// Another fill instruction.
    Fill,
    /// Only one rejects or fails the request.
    Rejection,
}

impl Difference {
    /// Whether both decisions send the same attempt, or give the same answer.
    pub fn is_same_attempt(self) -> bool {
        matches!(self, Self::None | Self::Timing)
    }
}
