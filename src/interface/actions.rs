//! The actions that the policy returns.

use std::fmt;

use super::{AttemptId, EndpointId, Ms, RequestId};

/// How a cache handles a request for which it has no usable copy.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FillInstruction {
    /// The endpoint to fill from; the cache itself if it must not fill.
    pub source: EndpointId,
    /// 0 to pass the response through without caching it; 1 to 3 to cache it with that retention priority.
    pub retention: u8,
    /// Maximum age of a usable copy; 0 means as old as its class allows.
    pub max_age: Ms,
    /// Maximum age of a usable copy if the router itself suppresses the fill.
    pub max_stale_age: Ms,
    /// Whether to wait for a fill of the same copy that is already in progress.
    pub coalesce: bool,
    /// Whether the source may respond only from its cache.
    pub only_if_cached: bool,
    /// Whether to serve a stale copy and revalidate it in the background.
    pub revalidate: bool,
}

/// The reason for which a request was rejected or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RejectReason {
    /// The client's time limit has passed, or is too close for an answer in time.
    DeadlineExceeded,
    /// The maximum number of attempts has been sent.
    AttemptsExhausted,
    /// The remaining time is shorter than the transfer time of a retry.
    DeadlineTooClose,
    /// The endpoint had no usable copy and did not fill one.
    NothingCached,
    /// An attempt may have been executed, and idempotence does not allow another one.
    RepeatNotAllowed,
    /// The router's retry budget is exhausted.
    RetryBudgetExhausted,
    /// No endpoint is ready, healthy and sufficiently warmed up.
    NoUsableEndpoint,
    /// The origin responds late or fails, and the miss is in the share that is shed.
    OriginOverloaded,
    /// The location's fill link has no free capacity for a fill of that size.
    FillLinkOverloaded,
    /// The cache that would serve the request has too much load to meet the latency objective.
    EndpointOverloaded,
    /// The only endpoint of a write is unusable, and the deadline leaves no time for a backoff.
    NoTimeForBackoff,
    /// The endpoint dropped the request without executing it, as its time limit had passed.
    AttemptNotExecuted,
}

impl fmt::Display for RejectReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::DeadlineExceeded => "deadline exceeded",
            Self::AttemptsExhausted => "attempts exhausted",
            Self::DeadlineTooClose => "deadline too close for a retry",
            Self::NothingCached => "nothing cached and no fill admitted",
            Self::RepeatNotAllowed => "repeat not allowed",
            Self::RetryBudgetExhausted => "retry budget exhausted",
            Self::NoUsableEndpoint => "no usable endpoint",
            Self::OriginOverloaded => "origin overloaded",
            Self::FillLinkOverloaded => "fill link overloaded",
            Self::EndpointOverloaded => "endpoint overloaded",
            Self::NoTimeForBackoff => "no time left for a backoff",
            Self::AttemptNotExecuted => "attempt not executed",
        })
    }
}

/// Where it is safe to retry a rejected request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryScope {
    /// Everywhere: the request is idempotent, or no endpoint can have executed it.
    Anywhere,
    /// Only at the endpoints of this list: one of them may have executed the request, and they recognise its
    /// key. A retry at another site could execute it again.
    SameEndpoints,
}

/// An instruction to the program that carries out the decisions.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Forward the request without fill instructions: the endpoint does not fill a missing copy.
    Forward {
        /// The request.
        request: RequestId,
        /// The endpoint that it is sent to.
        endpoint: EndpointId,
        /// Time after which the attempt ends as timed out.
        timeout: Ms,
        /// Time at which the attempt may no longer be sent: one that is not sent completely by then ends as
        /// not sent. `None` if it may be sent at any time.
        send_by: Option<Ms>,
    },
    /// Forward the request; the endpoint fills a missing copy as instructed.
    ForwardWithFill {
        /// The request.
        request: RequestId,
        /// The endpoint that it is sent to.
        endpoint: EndpointId,
        /// Time after which the attempt ends as timed out.
        timeout: Ms,
        /// As in [`Action::Forward`].
        send_by: Option<Ms>,
        /// How the endpoint fills a missing copy.
        fill: FillInstruction,
    },
    /// Cancel the attempt. Its end is still reported with
    /// [`Event::AttemptFinished`](super::Event::AttemptFinished).
    CancelAttempt(AttemptId),
    /// Final answer: the request was not served, and the client may safely retry.
    Reject {
        /// The request.
        request: RequestId,
        /// Time after which the client should retry; 0 means unspecified.
        retry_after: Ms,
        /// Where a retry is safe.
        retry_scope: RetryScope,
        /// Why the request was not served.
        reason: RejectReason,
    },
    /// Final answer: the request failed but may have been executed, so that a retry is not safe.
    Fail {
        /// The request.
        request: RequestId,
        /// Why the request was not served.
        reason: RejectReason,
    },
    /// Deliver an [`Event::Timer`](super::Event::Timer) at the given time; timers cannot be cancelled.
    SetTimer {
        /// Time at which the timer is due.
        at: Ms,
        /// Token that the event carries.
        token: u32,
    },
    /// Check the health of the endpoint.
    HealthCheck(EndpointId),
    /// Subscribe to changes of the endpoint list.
    SubscribeEndpoints,
    /// Write a line to the log.
    Log(String),
}
