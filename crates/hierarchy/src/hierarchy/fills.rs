//! Submits selected fills to the shield, and records their outcomes.

use linnethook::interface::Ms;

use super::fill_estimator::{EstimateClasses, EstimatedFill, FillReach};
use super::{Hierarchy, Hop};
use crate::lease::FetchKey;
use crate::node::NodeId;
use crate::origin_shield::{
    FillOutcome, FillRequest, Priority, QueuedDecision, ShieldDecision, ShieldRejection, Ticket, TierCost,
};
use crate::rollout::MigrationId;

/// A fill needs the lease on its key if the probability that it takes place is at least this.
const MIN_LEASE_PROBABILITY: f64 = 0.5;

/// A fill whose source the decision module has selected.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SelectedFill {
    /// The caller's identifier for the fill.
    pub ticket: Ticket,
    /// The cache that fills; equal to `source` for a request that is sent directly to a parent or the origin.
    pub child: NodeId,
    /// The node it fills from.
    pub source: NodeId,
    /// The hash of the object.
    pub object: u64,
    /// The hash of the object's part.
    pub key: u64,
    /// Its priority.
    pub priority: Priority,
    /// The expected size in bytes.
    pub bytes: f64,
    /// Whether it may join a fetch of the same key that is in flight at its source.
    pub may_join: bool,
    /// The longest time that it may be queued, in milliseconds.
    pub max_wait: Ms,
}

/// How a fill ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FillResult {
    /// The source served it from its cache, or from that of the old source that it forwarded the fill to.
    ServedFromCache,
    /// The source forwarded it to the origin, or is the origin.
    ServedFromOrigin,
    /// It was served from an unknown tier.
    ServedFromUnknown,
    /// The child had it cached: no fill took place.
    AlreadyCached,
    /// The source rejected it, failed or could not be reached.
    Failed,
    /// It ended without being an observation of the source, for instance because its client disconnected.
    Abandoned,
}

impl FillResult {
    /// Whether the source served it.
    pub(super) fn is_served(self) -> bool {
        matches!(self, Self::ServedFromCache | Self::ServedFromOrigin | Self::ServedFromUnknown)
    }

    /// Whether the result is an observation of the source's health.
    fn is_observation(self) -> bool {
        self.is_served() || self == Self::Failed
    }
}

/// A fill that was admitted or queued and whose end was not reported yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingFill {
    child: NodeId,
    source: NodeId,
    key: u64,
    classes: EstimateClasses,
}

impl Hierarchy {
    /// Requests admission of a selected fill. Its expected costs follow from its path and from past fills.
    pub fn request_fill(&mut self, now: Ms, fill: &SelectedFill) -> ShieldDecision {
        let estimate = self.estimator.estimate(now, fill);
        let decision = if self.config.shield_enabled {
            let path = self.onward_path(now, fill.child, fill.source, fill.object);
            let is_forwarded = estimate.reaches_source * estimate.is_forwarded;
            let request = FillRequest {
                ticket: fill.ticket,
                fetch: FetchKey { source: fill.source, key: fill.key },
                priority: fill.priority,
                bytes: fill.bytes,
                may_join: fill.may_join,
                max_wait: fill.max_wait,
                tier_costs: tier_costs(fill.source, &path, estimate.reaches_source, is_forwarded),
                needs_lease: estimate.reaches_source >= MIN_LEASE_PROBABILITY,
            };
            self.shield.request_fill(now, request)
        } else {
            ShieldDecision::Admit
        };
        match decision {
            ShieldDecision::Reject { reason, .. } => {
                if matches!(reason, ShieldRejection::BudgetExhausted | ShieldRejection::QueueTimeout) {
                    self.mark_constrained(now);
                }
            }
            ShieldDecision::Admit | ShieldDecision::Queue { .. } => {
                let SelectedFill { child, source, key, .. } = *fill;
                let pending = PendingFill { child, source, key, classes: estimate.classes };
                self.pending_fills.insert(fill.ticket, pending);
            }
        }
        decision
    }

    /// Records the result of an admitted fill, and returns the decisions on queued fills that follow.
    /// `is_late` means that the fill took longer than its latency objective.
    pub fn complete_fill(
        &mut self,
        now: Ms,
        ticket: Ticket,
        result: FillResult,
        is_late: bool,
    ) -> Vec<QueuedDecision> {
        let Some(fill) = self.pending_fills.remove(&ticket) else { return Vec::new() };
        let is_failure = is_late || result == FillResult::Failed;
        if result.is_observation() {
            self.record_rollout_fill(&fill, is_failure);
        }
        let PendingFill { child, source, key, classes } = fill;
        self.estimator.record(now, &EstimatedFill { child, source, key, classes }, result);
        let reach = FillReach::of(result);
        let outcome = FillOutcome {
            has_copy: result != FillResult::Failed,
            is_late: result.is_observation().then_some(is_failure),
            reached_source: reach.reached_source,
            reached_upper_tiers: reach.reached_upper_tiers,
        };
        let decisions = self.shield.complete_fill(now, ticket, outcome);
        self.apply_rejections(now, &decisions);
        decisions
    }

    fn record_rollout_fill(&mut self, fill: &PendingFill, is_failure: bool) {
        let child = self.children.get(&fill.child);
        let migration = child.map(|child| MigrationId { target: fill.source, position: child.written_by });
        let migration = migration.filter(|id| self.rollout.migration(*id).is_some());
        self.rollout.record_fill(migration, fill.source, is_failure);
    }

    /// Cancels a fill that was not sent. Does nothing if the ticket is unknown.
    pub fn cancel_fill(&mut self, ticket: Ticket) {
        self.shield.cancel_fill(ticket);
        self.pending_fills.remove(&ticket);
    }

    /// Whether the tiers above have little free capacity: a tier above a change is near its limit, or fills
    /// were rejected recently. Objects that can be served stale should not be revalidated now, and ramps
    /// pause.
    pub fn is_constrained(&self, now: Ms) -> bool {
        now < self.constrained_until || self.shield.is_near_ceiling(now)
    }

    /// Excludes the edge from `from` to `to` for a limited time: a fill that was forwarded along it at
    /// `version` of the topology has returned to a node on its path.
    pub fn report_loop(&mut self, now: Ms, from: NodeId, to: NodeId, version: u64) {
        self.edge_backoff.back_off(now, from, to, version.max(self.version()));
    }

    /// Drops queued fills that were rejected, and marks the tiers above as constrained.
    pub(super) fn apply_rejections(&mut self, now: Ms, decisions: &[QueuedDecision]) {
        for decision in decisions {
            if let ShieldDecision::Reject { .. } = decision.decision {
                self.pending_fills.remove(&decision.ticket);
                self.mark_constrained(now);
            }
        }
    }

    fn mark_constrained(&mut self, now: Ms) {
        self.constrained_until = now + self.config.constrained_hold;
    }
}

/// The expected costs of a fill at its source and at the tiers above. Requests for cached copies have no
/// cost.
fn tier_costs(source: NodeId, path: &[Hop], reaches_source: f64, is_forwarded: f64) -> Vec<TierCost> {
    let mut costs = vec![TierCost { target: source, expected_fills: reaches_source }];
    let above = path.iter().filter(|hop| !hop.cached_only);
    costs.extend(above.map(|hop| TierCost { target: hop.node, expected_fills: is_forwarded }));
    costs
}
