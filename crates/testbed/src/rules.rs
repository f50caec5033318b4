//! The rules that a recording is checked against, their bounds, and how a breach is reported.

use std::fmt;

use crate::recording::Ms;

/// Bounds of the rules.
#[derive(Debug, Clone, Copy)]
pub struct RuleBounds {
    /// How long a router may continue to use an endpoint that drains.
    pub drain_grace: Ms,
    /// How long a router may continue to serve a copy that was purged.
    pub purge_grace: Ms,
    /// Tolerance that is added to every time bound, for sockets and thread scheduling.
    pub slack: Ms,
    /// How long a child that migrates to other sources may still use the old ones.
    pub migration_grace: Ms,
    /// Factor by which random bursts may exceed the number of requests that a node can take.
    pub overload_tolerance: f64,
    /// How stale the location summaries of routers may be.
    pub aggregates: AggregateBounds,
}

impl Default for RuleBounds {
    fn default() -> Self {
        Self {
            drain_grace: 250.0,
            purge_grace: 1_000.0,
            slack: 50.0,
            migration_grace: 0.0,
            overload_tolerance: 1.1,
            aggregates: AggregateBounds::default(),
        }
    }
}

/// A rule that was broken, and when.
#[derive(Debug, Clone, PartialEq)]
pub struct Breach {
    /// When it was broken.
    pub at: Ms,
    /// The rule.
    pub rule: Rule,
    /// What happened and which component caused it, for the report.
    pub what: String,
}

/// The rules. Their names are printed with breaches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request has exactly one final answer, within its deadline.
    OneAnswer,
    /// A request that is not idempotent runs at most once, and never after it was rejected.
    NoSecondEffect,
    /// An endpoint that drains gets no new requests after the grace period.
    Drains,
    /// A server that warms up is not sent more requests than it can take.
    NoPush,
    /// No copy from before a purge is served after the grace period.
    Purges,
    /// No fill passes through a node twice.
    NoLoop,
    /// No fill uses an edge that the hierarchy does not have at the fill's version.
    NoStrangeEdge,
    /// No request that is not idempotent has a second attempt across a link before the first one is proven
    /// not to have run.
    NoOverlap,
    /// No request is forwarded back to a site that it has already passed.
    NoReturn,
    /// No fill uses a version below the floor after the floor's bound.
    NoOldVersion,
    /// No attempt is sent for a client that has disconnected; see [`crate::checker::disconnected_clients`].
    NoneLeft,
    /// The summary that a router shows of a location agrees with the routers that ran there.
    Aggregates,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.0} {:?}: {}", self.at, self.rule, self.what)
    }
}

/// How stale the location summaries of a fleet may be, from its settings. All in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AggregateBounds {
    /// How long an unreachable router is still counted in its site.
    pub suspect: Ms,
    /// How long a summary that is not renewed remains valid: three times `renew`.
    pub summary_lifetime: Ms,
    /// Delay that each level of the location tree adds until a change in one part appears in the summary.
    pub level_delay: Ms,
    /// Shortest interval, at each level, between reports that a location has moved to another hierarchy
    /// version.
    pub moves: Ms,
    /// How long a link may take to reconnect, or to be detected as silent.
    pub links: Ms,
}

impl Default for AggregateBounds {
    fn default() -> Self {
        Self {
            suspect: 1_000.0,
            summary_lifetime: 30_000.0,
            level_delay: 1_400.0,
            moves: 5_000.0,
            links: 2_000.0,
        }
    }
}
