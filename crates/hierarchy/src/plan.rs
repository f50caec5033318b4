//! Owns what a batch would do, told before it is applied: what changes, which loops and pushes it makes, and how
//! many more fills reach the origin.
//!
//! Works on a copy. Must never change the shape, nor call an estimate more than that.

use std::collections::BTreeMap;

use linnethook::interface::Ms;
use serde::Serialize;

use crate::batch::{BatchRejection, ChangeBatch};
use crate::hierarchy::Hierarchy;
use crate::history::{BatchError, ReceiveOutcome};
use crate::topology::{Node, NodeId, Role, Source, Topology};

/// What would change.
#[derive(Debug, Clone, PartialEq)]
pub struct ChangePlan {
    pub added: Vec<NodeId>,
    pub removed: Vec<NodeId>,
    /// Nodes whose own figures change: site, capacity, retiring.
    pub altered: Vec<NodeId>,
    /// Nodes whose sources change, with the lists before and after.
    pub source_changes: Vec<SourceChange>,
    /// Edges that would not be used, each with the loop that it would close.
    pub cycles: Vec<Vec<NodeId>>,
    pub source_loads: Vec<SourceLoad>,
    /// Edges suspended now that would come back.
    pub resumed_edges: usize,
    pub origin_load: OriginLoad,
}

#[derive(Debug, Clone, PartialEq)]
pub struct SourceChange {
    pub node: NodeId,
    pub before: Vec<Source>,
    pub after: Vec<Source>,
}

/// A source that gets more to carry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SourceLoad {
    pub source: NodeId,
    /// The capacity of the nodes below it for each of its own, before and after, and the mean over its tier.
    pub before: f64,
    pub after: f64,
    pub tier_mean: f64,
}

impl SourceLoad {
    /// Far more than others of its tier carry.
    pub fn is_heavy(&self) -> bool {
        self.after > self.before && self.after > 1.5 * self.tier_mean
    }
}

/// Fills a second that would reach the origin because of it, as this router sees its own.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct OriginLoad {
    /// What goes to the origin now.
    #[serde(rename = "now")]
    pub current: f64,
    /// At the worst with all at once, and by stages.
    #[serde(rename = "flip")]
    pub immediate: f64,
    pub staged: f64,
}

/// Why there is no plan.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum PlanError {
    #[error(transparent)]
    Rejected(BatchRejection),
    #[error(transparent)]
    Invalid(BatchError),
    #[error("it was planned on batches that have not been heard here")]
    UnknownBase,
    #[error("it was heard before")]
    Duplicate,
}

impl Hierarchy {
    /// What a batch would do here and now.
    pub fn plan_batch(&self, now: Ms, batch: &ChangeBatch) -> Result<ChangePlan, PlanError> {
        let mut copy = self.history().clone();
        match copy.receive_batch(batch.clone()) {
            ReceiveOutcome::Accepted(_) => {}
            ReceiveOutcome::Duplicate => return Err(PlanError::Duplicate),
            ReceiveOutcome::Pending(_) => return Err(PlanError::UnknownBase),
            ReceiveOutcome::Invalid(wrong) => return Err(PlanError::Invalid(wrong)),
        }
        if let Some(Err(refusal)) = copy.outcome(batch.id) {
            return Err(PlanError::Rejected(refusal.clone()));
        }
        let (before, after) = (self.topology(), copy.topology());
        let mut plan = differences(before, after);
        plan.source_loads = source_loads(before, after, &plan.source_changes);
        plan.origin_load = self.origin_load(now, &plan.source_changes);
        let was: Vec<(NodeId, NodeId)> =
            before.suspended_edges().map(|edge| (edge.from, edge.source.node)).collect();
        let is: Vec<(NodeId, NodeId)> =
            after.suspended_edges().map(|edge| (edge.from, edge.source.node)).collect();
        plan.resumed_edges = was.iter().filter(|(from, to)| after.allows(*from, *to)).count();
        let shape = copy.topology_mut();
        for (from, to) in is.into_iter().filter(|edge| !was.contains(edge)) {
            plan.cycles.extend(shape.would_loop(from, to));
        }
        Ok(plan)
    }

    /// The fills that go by the sources that children leave are all first ones at the new source.
    fn origin_load(&self, now: Ms, rerouted: &[SourceChange]) -> OriginLoad {
        let rate = |id: NodeId| self.shield().budget(id).map_or(0.0, |budget| budget.rate(now));
        let origins = self.topology().records().into_iter().filter(|r| r.node.role == Role::Origin);
        let now_there = origins.map(|record| rate(record.node.id)).sum();
        let best = |list: &[Source]| -> Vec<NodeId> {
            let first = list.iter().map(|source| source.rank).min();
            list.iter().filter(|source| Some(source.rank) == first).map(|source| source.node).collect()
        };
        // By the source that they leave: how many of its children do, and how many it has.
        let mut leaving = BTreeMap::<NodeId, f64>::new();
        for SourceChange { before, after, .. } in rerouted {
            let (old, new) = (best(before), best(after));
            for id in old.iter().filter(|id| !new.contains(id)) {
                *leaving.entry(*id).or_default() += 1.0 / old.len() as f64;
            }
        }
        let flip = leaving.into_iter().map(|(id, count)| {
            let children = self.topology().children(id).count().max(1);
            rate(id) * (count / children as f64).min(1.0)
        });
        let (flip, rule) = (flip.sum::<f64>(), self.rollout().config());
        // What rises evenly over the warming adds, at its worst, what comes new in the time that an object needs
        // to be asked for again: taken as a second.
        let staged = flip
            * (rule.initial_fraction
                + (1.0 - rule.initial_fraction) * (1_000.0 / rule.ramp_duration.max(1_000.0)));
        OriginLoad { current: now_there, immediate: flip, staged }
    }
}

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
        let sources =
            |shape: &Topology| shape.edges(id).iter().map(|edge| edge.source).collect::<Vec<Source>>();
        match before.node(id) {
            None => plan.added.push(id),
            Some(node) if *node != record.node => plan.altered.push(id),
            Some(_) => {}
        }
        let (was, is) = (sources(before), sources(after));
        if was != is && before.node(id).is_some() {
            plan.source_changes.push(SourceChange { node: id, before: was, after: is });
        }
    }
    plan
}

fn source_loads(before: &Topology, after: &Topology, rerouted: &[SourceChange]) -> Vec<SourceLoad> {
    let mut to: Vec<NodeId> = rerouted
        .iter()
        .flat_map(|r| r.after.iter().filter(|s| !r.before.contains(s)))
        .map(|s| s.node)
        .collect();
    to.sort_unstable();
    to.dedup();
    let carried = |shape: &Topology, node: &Node| {
        let first = |child: &NodeId| shape.sources(*child).next().is_some_and(|s| s.node == node.id);
        let below = shape.children(node.id).filter(first).filter_map(|child| shape.node(child));
        below.map(|child| child.capacity).sum::<f64>() / node.capacity
    };
    let parents: Vec<&Node> = after.records().into_iter().map(|record| &record.node).collect();
    let of_tier = |tier: u8| {
        let peers = parents.iter().filter(|n| n.role == Role::Parent && n.tier == tier && !n.retiring);
        let carried: Vec<f64> = peers.map(|node| carried(after, node)).collect();
        carried.iter().sum::<f64>() / carried.len().max(1) as f64
    };
    to.into_iter()
        .filter_map(|id| after.node(id).filter(|node| node.role == Role::Parent))
        .map(|node| SourceLoad {
            source: node.id,
            before: before.node(node.id).map_or(0.0, |known| carried(before, known)),
            after: carried(after, node),
            tier_mean: of_tier(node.tier),
        })
        .collect()
}
