//! Commands from the policy to the router, in the router's terms.

use linnethook::interface::{EndpointId, FillInstruction};

use super::{AttemptKey, EndpointKey, Ms, Ticket};

/// Where and how an endpoint fills a miss. Times are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FillSpec {
    /// The endpoint that it is filled from; `None` for no fill.
    pub source: Option<EndpointKey>,
    /// Retention priority of the cached copy, 1 to 3; 0 does not cache it.
    pub retention: u8,
    /// The age limit of a cached copy; 0 for no limit beyond the freshness lifetime of its class.
    pub max_age: Ms,
    /// The age limit if no fill is possible.
    pub max_stale_age: Ms,
    /// Whether the request may wait for a fill in progress.
    pub coalesce: bool,
    /// Whether the source may answer only from its cache.
    pub only_if_cached: bool,
    /// Whether a stale copy is served and revalidated in the background.
    pub revalidate: bool,
}

impl FillSpec {
    /// No fill: the endpoint serves a cached copy or reports a miss.
    pub(super) const NO_FILL: Self = Self {
        source: None,
        retention: 0,
        max_age: 0.0,
        max_stale_age: 0.0,
        coalesce: false,
        only_if_cached: false,
        revalidate: false,
    };

    /// The fill of an attempt at `endpoint`. An endpoint that is its own source does not fill.
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

    /// Excludes a fill: the endpoint and its source serve cached copies only, including stale ones.
    pub fn restrict_to_cached_copies(&mut self) {
        self.only_if_cached = true;
        self.revalidate = false;
        if self.max_stale_age > 0.0 {
            self.max_age = self.max_stale_age;
        }
    }
}

/// The final answer to a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FinalAnswer {
    /// Served with the payload of the attempt that was just reported.
    Served,
    /// Rejected: not executed, and the client may retry.
    Rejected {
        /// The Retry-After in milliseconds; 0 for none.
        retry_after: Ms,
        /// Whether another site may execute the request: no endpoint of this one can have done so, or it is
        /// idempotent.
        may_run_elsewhere: bool,
    },
    /// Failed, and possibly executed.
    Failed,
}

/// A command that the router has to execute.
#[derive(Debug, Clone, PartialEq)]
pub enum PolicyCommand {
    /// Send an attempt.
    Send {
        /// The attempt.
        attempt: AttemptKey,
        /// The endpoint that it is sent to.
        endpoint: EndpointKey,
        /// The timeout, in milliseconds.
        timeout: Ms,
        /// The time at which it may no longer be sent; `None` for no such limit.
        send_by: Option<Ms>,
        /// How the endpoint fills a miss.
        fill: FillSpec,
    },
    /// Cancel an attempt. Its end must still be reported.
    Cancel(AttemptKey),
    /// Send the final answer of a request.
    Answer {
        /// The request.
        ticket: Ticket,
        /// The answer.
        answer: FinalAnswer,
    },
    /// Call [`on_timer`](super::PolicyAdapter::on_timer) at this time; an earlier time that was set remains
    /// in force.
    SetTimer(Ms),
    /// Check the health of an endpoint.
    HealthCheck(EndpointKey),
    /// Write a line to the log.
    Log(String),
}
