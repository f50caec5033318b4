//! From the policy to the router: what the router is to do, in its own terms.

use linnethook::interface::{EndpointId, FillInstruction};

use super::{AttemptKey, EndpointKey, Ms, Ticket};

/// Where a miss is filled from, and how. Times are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FillSpec {
    /// `None` for no fill.
    pub source: Option<EndpointKey>,
    /// 0 passes the answer through; 1 to 3 cache it with that priority of retention.
    pub retention: u8,
    /// The age limit of a copy; 0 = none beyond the freshness that its class has.
    pub max_age: Ms,
    /// The age limit where no fill is possible.
    pub max_stale_age: Ms,
    /// Whether it may wait for a fill in progress.
    pub coalesce: bool,
    /// The source answers only from its cache.
    pub only_if_cached: bool,
    /// A stale copy is served, and revalidated in the background.
    pub revalidate: bool,
}

impl FillSpec {
    /// A cached copy, or none.
    pub(super) const NO_FILL: Self = Self {
        source: None,
        retention: 0,
        max_age: 0.0,
        max_stale_age: 0.0,
        coalesce: false,
        only_if_cached: false,
        revalidate: false,
    };

    /// A fill at `endpoint`, which is no fill where that is its own source.
    pub(super) fn new(endpoint: EndpointId, fill: &FillInstruction) -> Self {
        Self {
            source: (fill.source != endpoint).then(|| fill.source.into()),
            retention: fill.retention,
            max_age: fill.max_age,
            max_stale_age: fill.max_stale_age,
            coalesce: fill.coalesce,
            only_if_cached: fill.only_if_cached,
            revalidate: fill.revalidate,
        }
    }
}

/// The final answer to a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FinalAnswer {
    /// The payload of the attempt that was just reported.
    Served,
    /// It was not executed and may be retried.
    Rejected {
        /// In milliseconds; 0 = none.
        retry_after: Ms,
    },
    /// It failed, and may have been executed.
    Failed,
}

/// What the router is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum PolicyCommand {
    /// Send an attempt.
    Send {
        /// The attempt.
        attempt: AttemptKey,
        /// Where it is sent.
        endpoint: EndpointKey,
        /// Time after which it ends as timed out, in milliseconds.
        timeout: Ms,
        /// What the endpoint does where it has no copy.
        fill: FillSpec,
    },
    /// Cancel an attempt, which is still reported as ended.
    Cancel(AttemptKey),
    /// Give a request its final answer.
    Answer {
        /// The request.
        ticket: Ticket,
        /// The answer.
        answer: FinalAnswer,
    },
    /// Call [`on_timer`](super::PolicyAdapter::on_timer) then; an earlier time that was set stays.
    SetTimer(Ms),
    /// Check the health of an endpoint.
    HealthCheck(EndpointKey),
    /// Write a line to the log.
    Log(String),
}
