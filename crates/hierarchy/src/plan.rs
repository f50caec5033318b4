//! Forecasts the effects of a batch before it is applied: the changed nodes, the suspended edges, and the
//! load of sources and of the origin. The forecast uses a copy of the history.

use std::collections::BTreeMap;

use linnethook::interface::Ms;
use serde::Serialize;

use crate::batch::{BatchId, BatchRejection, ChangeBatch};
use crate::hierarchy::Hierarchy;
use crate::history::{BatchError, ReceiveOutcome};
use crate::node::{preferred_sources, Node, NodeId, Role, Source};
use crate::topology::Topology;

/// The load of a source is heavy above this multiple of the mean of its tier.
const HEAVY_LOAD_RATIO: f64 = 1.5;

/// The time within which a popular object is requested again, in milliseconds. The fills that a ramp adds
/// within this time count as reaching the origin at the same time.
const REREQUEST_INTERVAL: Ms = 1_000.0;

/// The forecast effects of a batch.
#[derive(Debug, Clone, PartialEq)]
pub struct ChangePlan {
    /// Nodes that would be added.
    pub added: Vec<NodeId>,
    /// Nodes that would be removed.
    pub removed: Vec<NodeId>,
    /// Nodes whose attributes would change: site, capacity, retirement.
    pub altered: Vec<NodeId>,
    /// Nodes whose sources would change.
    pub source_changes: Vec<SourceChange>,
    /// The cycles that edges of the batch would close; these edges would be suspended.
    pub cycles: Vec<Vec<NodeId>>,
    /// Parents that would get new children.
    pub source_loads: Vec<SourceLoad>,
    /// Number of suspended edges that would be resumed.
    pub resumed_edges: usize,
    /// The forecast load of the origin.
    pub origin_load: OriginLoad,
}

/// A node whose sources would change, with the lists before and after.
#[derive(Debug, Clone, PartialEq)]
pub struct SourceChange {
    /// The node.
    pub node: NodeId,
    /// The current sources.
    pub before: Vec<Source>,
    /// The new sources.
    pub after: Vec<Source>,
}

/// The load of a source: the total capacity of the nodes that prefer it, divided by its own capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SourceLoad {
    /// The source.
    pub source: NodeId,
    /// The current load.
    pub before: f64,
    /// The load after the change.
    pub after: f64,
    /// The mean load of its tier after the change.
    pub tier_mean: f64,
}

impl SourceLoad {
    /// Whether the load would grow to far above the mean of its tier.
    pub fn is_heavy(&self) -> bool {
        self.after > self.before && self.after > HEAVY_LOAD_RATIO * self.tier_mean
    }
}

/// Fills per second at the origin, from this router's own traffic.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct OriginLoad {
    /// The current rate.
    #[serde(rename = "now")]
    pub current: f64,
    /// The largest increase if all children switch sources at once.
    #[serde(rename = "flip")]
    pub immediate: f64,
    /// The largest increase if children migrate in stages.
    pub staged: f64,
}

/// Why a batch can't be planned.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum PlanError {
    /// The batch would be rejected.
    #[error(transparent)]
    Rejected(BatchRejection),
    /// The batch can't be inserted into the history.
    #[error(transparent)]
    Invalid(BatchError),
    /// The batch is based on batches that this router has not received.
    #[error("batch {batch} depends on batch {missing}, which this router has not received")]
    UnknownBase {
        /// The batch to plan.
        batch: BatchId,
        /// The first batch that has to be received before it.
        missing: BatchId,
    },
    /// The batch was received before.
    #[error("batch {0} was received before")]
    Duplicate(BatchId),
}

/// An edge, from the node that fills to the source.
type EdgeEnds = (NodeId, NodeId);

impl Hierarchy {
    /// Forecasts the effects of a batch on the current topology. Changes nothing.
    ///
    /// # Errors
    ///
    /// The reason why the batch would not be applied.
    pub fn plan_batch(&self, now: Ms, batch: &ChangeBatch) -> Result<ChangePlan, PlanError> {
        let mut history = self.history().clone();
        match history.receive_batch(batch.clone()) {
            ReceiveOutcome::Accepted(_) => {}
            ReceiveOutcome::Duplicate => return Err(PlanError::Duplicate(batch.id)),
            ReceiveOutcome::Pending(missing) => {
                return Err(PlanError::UnknownBase { batch: batch.id, missing });
            }
            ReceiveOutcome::Invalid(error) => return Err(PlanError::Invalid(error)),
        }
        if let Some(Err(rejection)) = history.outcome(batch.id) {
            return Err(PlanError::Rejected(rejection.clone()));
        }
        let (before, after) = (self.topology(), history.topology());
        let mut plan = differences(before, after);
        plan.source_loads = source_loads(before, after, &plan.source_changes);
        plan.origin_load = self.origin_load(now, &plan.source_changes);
        let suspended_before = suspended_edges(before);
        let suspended_after = suspended_edges(after);
        let resumed = suspended_before.iter().filter(|(from, to)| after.allows(*from, *to));
        plan.resumed_edges = resumed.count();
        let topology = history.topology_mut();
        for (from, to) in suspended_after.into_iter().filter(|edge| !suspended_before.contains(edge)) {
            plan.cycles.extend(topology.cycle_closed_by(from, to));
        }
        Ok(plan)
    }

    /// Forecasts the load of the origin. In the worst case, all fills that children move away from their old
    /// sources miss at the new ones.
    fn origin_load(&self, now: Ms, changes: &[SourceChange]) -> OriginLoad {
        let rate = |id: NodeId| self.shield().budget(id).map_or(0.0, |budget| budget.rate(now));
        let records = self.topology().records().into_iter();
        let origins = records.filter(|record| record.node.role == Role::Origin);
        let current = origins.map(|record| rate(record.node.id)).sum();
        let moved_rates = departing_children(changes).into_iter().map(|(source, departing)| {
            let children = self.topology().children(source).count().max(1);
            rate(source) * (departing / children as f64).min(1.0)
        });
        let immediate = moved_rates.sum::<f64>();
        let config = self.rollout().config();
        let ramp_step = REREQUEST_INTERVAL / config.ramp_duration.max(REREQUEST_INTERVAL);
        let staged = immediate * (config.initial_fraction + (1.0 - config.initial_fraction) * ramp_step);
        OriginLoad { current, immediate, staged }
    }
}

/// The number of children that would no longer prefer a source, by source. A child with several preferred
/// sources counts as an equal fraction for each.
fn departing_children(changes: &[SourceChange]) -> BTreeMap<NodeId, f64> {
    let mut departing = BTreeMap::<NodeId, f64>::new();
    for SourceChange { before, after, .. } in changes {
        let old: Vec<NodeId> = preferred_sources(before).collect();
        let new: Vec<NodeId> = preferred_sources(after).collect();
        for id in old.iter().filter(|id| !new.contains(id)) {
            *departing.entry(*id).or_default() += 1.0 / old.len() as f64;
        }
    }
    departing
}

fn suspended_edges(topology: &Topology) -> Vec<EdgeEnds> {
    topology.suspended_edges().map(|edge| (edge.from, edge.source.node)).collect()
}

/// A plan that contains only the differences between nodes; cycles and loads are empty.
fn differences(before: &Topology, after: &Topology) -> ChangePlan {
    let mut plan = ChangePlan {
        added: Vec::new(),
        removed: Vec::new(),
        altered: Vec::new(),
        source_changes: Vec::new(),
        cycles: Vec::new(),
        source_loads: Vec::new(),
        resumed_edges: 0,
        origin_load: OriginLoad { current: 0.0, immediate: 0.0, staged: 0.0 },
    };
    for record in before.records() {
        if after.record(record.node.id).is_none() {
            plan.removed.push(record.node.id);
        }
    }
    for record in after.records() {
        let id = record.node.id;
        let Some(old) = before.record(id) else {
            plan.added.push(id);
            continue;
        };
        if old.node != record.node {
            plan.altered.push(id);
        }
        let (before, after) = (old.listed_sources(), record.listed_sources());
        if before != after {
            plan.source_changes.push(SourceChange { node: id, before, after });
        }
    }
    plan
}

/// The loads of all parents that get new children.
fn source_loads(before: &Topology, after: &Topology, changes: &[SourceChange]) -> Vec<SourceLoad> {
    let new_sources = changes.iter().flat_map(|change| {
        let is_new = |source: &&Source| !change.before.contains(source);
        change.after.iter().filter(is_new).map(|source| source.node)
    });
    let mut ids: Vec<NodeId> = new_sources.collect();
    ids.sort_unstable();
    ids.dedup();
    let parents = ids.into_iter().filter_map(|id| after.node(id)).filter(|node| node.role == Role::Parent);
    parents
        .map(|node| SourceLoad {
            source: node.id,
            before: before.node(node.id).map_or(0.0, |current| load(before, current)),
            after: load(after, node),
            tier_mean: mean_load_of_tier(after, node.tier),
        })
        .collect()
}

/// The total capacity of the nodes that prefer a node, divided by its own capacity.
fn load(topology: &Topology, node: &Node) -> f64 {
    let prefers_node =
        |child: &NodeId| topology.sources(*child).next().is_some_and(|source| source.node == node.id);
    let children = topology.children(node.id).filter(prefers_node);
    let capacities = children.filter_map(|child| topology.node(child)).map(|child| child.capacity);
    capacities.sum::<f64>() / node.capacity
}

fn mean_load_of_tier(topology: &Topology, tier: u8) -> f64 {
    let nodes = topology.records().into_iter().map(|record| &record.node);
    let peers = nodes.filter(|node| node.role == Role::Parent && node.tier == tier && !node.retiring);
    let loads: Vec<f64> = peers.map(|node| load(topology, node)).collect();
    loads.iter().sum::<f64>() / loads.len().max(1) as f64
}
