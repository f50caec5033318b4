//! What the decision module orders.

use std::fmt;

use super::{AttemptId, EndpointId, Ms, RequestId};

/// What a cache does when it has no copy that qualifies.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FillInstruction {
    /// Where it fills from; the cache itself for no fill.
    pub source: EndpointId,
    /// 0 passes the answer through; 1 to 3 cache it with that priority of retention.
    pub retention: u8,
    /// Maximum age of a copy; 0 means as old as its class allows.
    pub max_age: Ms,
    /// Maximum age of a copy where the router itself suppresses the fill.
    pub max_stale_age: Ms,
    /// Wait for a fill of the same copy that is already under way.
    pub coalesce: bool,
    /// The source answers only from its cache.
    pub only_if_cached: bool,
    /// Serve a stale copy and revalidate it in the background.
    pub revalidate: bool,
}

/// The rule that ended a request without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RejectReason {
    /// The client's time limit has passed, or is too close for any answer.
    DeadlineExceeded,
    /// As many attempts as the settings allow have been sent.
    AttemptsExhausted,
    /// The time that is left is shorter than the transfer that a retry would need.
    DeadlineTooClose,
    /// No cache that may serve a cached copy has one, and a fill is not admitted.
    NothingCached,
    /// The attempt may have been executed, and a repetition is not idempotent.
    RepeatNotAllowed,
    /// The router's retry budget is spent.
    RetryBudgetExhausted,
    /// No endpoint is ready, healthy and warm enough.
    NoUsableEndpoint,
    /// The origin answers late or fails; this share of misses is shed.
    OriginOverloaded,
    /// The location's fill link has no capacity for another fill of that size.
    FillLinkOverloaded,
    /// The cache that would serve the request is too busy to meet the latency objective.
    EndpointTooCrowded,
    /// A write found its only endpoint unusable and no time is left for a pause.
    NoTimeForBackoff,
    /// The endpoint dropped the request without executing it, since its time was over.
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
            Self::EndpointTooCrowded => "endpoint too crowded",
            Self::NoTimeForBackoff => "no time left for a backoff",
            Self::AttemptNotExecuted => "attempt not executed",
        })
    }
}

/// One order to the program that carries the decisions out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Forward the request for a fresh cached copy; the endpoint fills nothing.
    Forward {
        /// The request.
        request: RequestId,
        /// Where it is sent.
        endpoint: EndpointId,
        /// Time after which the attempt ends as timed out.
        timeout: Ms,
    },
    /// Forward the request; the endpoint fills a missing copy as instructed.
    ForwardWithFill {
        /// The request.
        request: RequestId,
        /// Where it is sent.
        endpoint: EndpointId,
        /// Time after which the attempt ends as timed out.
        timeout: Ms,
        /// What the endpoint does without a copy that qualifies.
        fill: FillInstruction,
    },
    /// Stop waiting for the attempt, which still ends with an event.
    CancelAttempt(AttemptId),
    /// Final answer: the client may safely retry, after `retry_after` (0 means unspecified).
    Reject {
        /// The request.
        request: RequestId,
        /// Time after which the client should retry.
        retry_after: Ms,
        /// The rule that ended the request.
        reason: RejectReason,
    },
    /// Final answer: the request may have been executed, so that a retry is not safe.
    Fail {
        /// The request.
        request: RequestId,
        /// The rule that ended the request.
        reason: RejectReason,
    },
    /// Send an [`Event::Timer`](super::Event::Timer); timers cannot be cancelled.
    SetTimer {
        /// When it is due.
        at: Ms,
        /// What the event carries.
        token: u32,
    },
    /// Check the health of the endpoint.
    HealthCheck(EndpointId),
    /// Have changes of the endpoint list sent from now on.
    SubscribeEndpoints,
    /// Write a line to the log.
    Log(String),
}
