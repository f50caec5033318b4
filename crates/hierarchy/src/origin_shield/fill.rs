//! Requests to the origin shield and its answers.

use linnethook::interface::Ms;
use serde::Serialize;

use crate::lease::FetchKey;
use crate::node::NodeId;

/// The caller's name for a fill.
pub type Ticket = u64;

/// What goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Has to run at the origin. Never queued or rejected.
    Write,
    /// A client waits for it.
    Demand,
    /// Renews a copy that can still be served. Never queued.
    Revalidation,
}

/// What a fill is expected to cost a tier.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TierCost {
    /// The parent or origin.
    pub target: NodeId,
    /// The probability that the fill reaches it, from 0 to 1.
    pub expected_fills: f64,
}

/// A fill that asks to go.
#[derive(Debug, Clone, PartialEq)]
pub struct FillRequest {
    /// The caller's name for it.
    pub ticket: Ticket,
    /// What it fetches.
    pub fetch: FetchKey,
    /// Its priority.
    pub priority: Priority,
    /// Its size in bytes, as far as known.
    pub bytes: f64,
    /// Whether it may join a fetch of the same key that is in flight at its node.
    pub may_join: bool,
    /// Whether it will most likely take place. Requests for cached objects need no lease, as many of them come at once.
    pub needs_lease: bool,
    /// How long it may be queued and still be in time, in milliseconds.
    pub max_wait: Ms,
    /// What it is expected to cost each tier that it may reach, its source first.
    pub tier_costs: Vec<TierCost>,
}

/// Why a fill does not go now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ShieldRejection {
    /// Another fill fetches the same key, and this one can't wait for it.
    #[serde(rename = "fetched")]
    FetchInProgress,
    /// The rate budget of a tier is exhausted.
    #[serde(rename = "budget")]
    BudgetExhausted,
    /// The queue is full.
    #[serde(rename = "queue")]
    QueueFull,
    /// It was queued for as long as it may be.
    #[serde(rename = "time")]
    QueueTimeout,
}

/// The answer to a fill that asks to go.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ShieldDecision {
    /// It goes now.
    Admit,
    /// It is queued. A [`QueuedDecision`] follows by then.
    Queue {
        /// In milliseconds of Unix time.
        until: Ms,
    },
    /// It does not go: only a cached copy will do, or a rejection of the request.
    Reject {
        /// The rule that rejected it.
        reason: ShieldRejection,
        /// The Retry-After of the request's rejection, in milliseconds.
        retry_after: Ms,
    },
}

/// The final answer to a queued fill.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueuedDecision {
    /// The fill.
    pub ticket: Ticket,
    /// Never [`ShieldDecision::Queue`].
    pub decision: ShieldDecision,
}

/// How a fill ended. `None` where it is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FillOutcome {
    /// There is a copy now.
    pub has_copy: bool,
    /// It was late or failed.
    pub is_late: Option<bool>,
    /// It reached its source.
    pub reached_source: Option<bool>,
    /// It reached the tiers above its source.
    pub reached_upper_tiers: Option<bool>,
}
