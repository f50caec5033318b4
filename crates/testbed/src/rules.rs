//! The rules that a recording is judged by, their bounds, and how a breach is told.

use std::fmt;

use crate::recording::Ms;

/// The figures of the rules.
#[derive(Debug, Clone, Copy)]
pub struct RuleBounds {
    /// How long a router may go on using an endpoint that drains.
    pub drain_grace: Ms,
    /// How long a router may go on serving what was purged.
    pub purge_grace: Ms,
    /// What sockets and threads may add to any time.
    pub slack: Ms,
    /// For how long a child that goes over to other sources may still use the old ones.
    pub going_over: Ms,
    /// By how much a node's own count of what it bears may be passed by chance.
    pub push_slack: f64,
    /// How late counts of places may be.
    pub aggregates: AggregateBounds,
}

impl Default for RuleBounds {
    fn default() -> Self {
        Self {
            drain_grace: 250.0,
            purge_grace: 1_000.0,
            slack: 50.0,
            going_over: 0.0,
            push_slack: 1.1,
            aggregates: AggregateBounds::default(),
        }
    }
}

/// A rule that was broken, by whom and when.
#[derive(Debug, Clone, PartialEq)]
pub struct Breach {
    /// When it was broken.
    pub at: Ms,
    /// The rule.
    pub rule: Rule,
    /// What happened, for the report.
    pub what: String,
}

/// The rules. Their names are printed with breaches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request has one final answer, in time.
    OneAnswer,
    /// No request that is not idempotent may run twice, or after it was rejected.
    NoSecondEffect,
    /// An endpoint that drains gets nothing new after the grace.
    Drains,
    /// A server that warms up is not asked for more than it can do.
    NoPush,
    /// No copy from before a purge is served after the grace.
    Purges,
    /// No fill passes a node twice.
    NoLoop,
    /// No fill uses an edge that the shape has not got at its version.
    NoStrangeEdge,
    /// No harmful request has a second attempt across a link before the first is proven not to have run.
    NoOverlap,
    /// No request crosses back to a site that it has passed.
    NoReturn,
    /// No fill on a version below the floor, after its bound.
    NoOldVersion,
    /// No request is sent on for a client that has left (`leavers`).
    NoneLeft,
    /// What is shown of a place as a whole agrees with what ran in it.
    Aggregates,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.0} {:?}: {}", self.at, self.rule, self.what)
    }
}

/// How late a fleet with places may be, by its settings. All in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AggregateBounds {
    /// How long a router that can't be reached counts in its site.
    pub suspect: Ms,
    /// How long a summary that nobody renews is relied on: three times `renew`.
    pub relied_on: Ms,
    /// What each level adds until news of a part is told of the whole.
    pub by_level: Ms,
    /// That a place went over to another hierarchy as a whole is told so often at the most, by level.
    pub moves: Ms,
    /// How long a link may take to come up again, or to be found silent.
    pub links: Ms,
}

impl Default for AggregateBounds {
    fn default() -> Self {
        Self { suspect: 1_000.0, relied_on: 30_000.0, by_level: 1_400.0, moves: 5_000.0, links: 2_000.0 }
    }
}
