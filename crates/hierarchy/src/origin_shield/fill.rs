//! Requests to the origin shield and its decisions.

use linnethook::interface::Ms;
use serde::Serialize;

use crate::lease::FetchKey;
use crate::node::NodeId;

/// The caller's identifier for a fill.
pub type Ticket = u64;

/// The priority of a fill; lower variants are admitted first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// A write, which has to be executed at the origin. Never queued or rejected.
    Write,
    /// A fill for the request of a client.
    Demand,
    /// Revalidates a copy that can still be served. Never queued.
    Revalidation,
}

/// The expected cost of a fill at one tier.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TierCost {
    /// The parent or origin.
    pub target: NodeId,
    /// The probability that the fill reaches it, from 0 to 1.
    pub expected_fills: f64,
}

/// A request to admit a fill.
#[derive(Debug, Clone, PartialEq)]
pub struct FillRequest {
    /// The caller's identifier for the fill.
    pub ticket: Ticket,
    /// The fetch that it makes.
    pub fetch: FetchKey,
    /// Its priority.
    pub priority: Priority,
    /// The expected size in bytes.
    pub bytes: f64,
    /// Whether it may join a fetch of the same key that is in flight at its source.
    pub may_join: bool,
    /// Whether it needs the lease on its fetch, because it will most likely take place. Requests for cached
    /// objects need none: many of them arrive at the same time.
    pub needs_lease: bool,
    /// The longest time that it may be queued, in milliseconds.
    pub max_wait: Ms,
    /// The expected cost at each tier that it may reach, its source first.
    pub tier_costs: Vec<TierCost>,
}

/// Why a fill is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ShieldRejection {
    /// Another fill is fetching the same key, and this one can't be queued until it ends.
    #[serde(rename = "fetched")]
    FetchInProgress,
    /// The rate budget of a tier is exhausted.
    #[serde(rename = "budget")]
    BudgetExhausted,
    /// The queue is full.
    #[serde(rename = "queue")]
    QueueFull,
    /// It was queued for the longest time allowed.
    #[serde(rename = "time")]
    QueueTimeout,
}

/// The shield's decision on a fill.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ShieldDecision {
    /// The fill may be sent now.
    Admit,
    /// The fill is queued. A [`QueuedDecision`] follows.
    Queue {
        /// When its queueing time expires, in milliseconds of Unix time.
        until: Ms,
    },
    /// The fill must not be sent. The request may still be served by a cached copy; otherwise it is rejected.
    Reject {
        /// The rule that rejected it.
        reason: ShieldRejection,
        /// The Retry-After of the request's rejection, in milliseconds.
        retry_after: Ms,
    },
}

/// The final decision on a queued fill.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueuedDecision {
    /// The fill.
    pub ticket: Ticket,
    /// Never [`ShieldDecision::Queue`].
    pub decision: ShieldDecision,
}

/// The outcome of a fill; `None` where a property is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FillOutcome {
    /// Whether the fill stored a copy.
    pub has_copy: bool,
    /// Whether it was late or failed.
    pub is_late: Option<bool>,
    /// Whether it reached its source.
    pub reached_source: Option<bool>,
    /// Whether it reached the tiers above its source.
    pub reached_upper_tiers: Option<bool>,
}
