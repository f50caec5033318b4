//! A plan as commands show it. Scripts parse its lists of tuples, so that the types here are serialised as
//! tuples.

use serde::{Deserialize, Serialize};

use super::SourceSpec;

/// The forecast effects of a batch, with the names of nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanSpec {
    /// Nodes that would be added.
    pub added: Vec<String>,
    /// Nodes that would be removed.
    pub removed: Vec<String>,
    /// Nodes whose attributes would change.
    pub altered: Vec<String>,
    /// Nodes whose sources would change.
    #[serde(rename = "rerouted")]
    pub source_changes: Vec<SourceChangeSpec>,
    /// The cycles that edges of the batch would close; these edges would be suspended.
    #[serde(rename = "loops")]
    pub cycles: Vec<Vec<String>>,
    /// Number of suspended edges that would be resumed.
    #[serde(rename = "resumed")]
    pub resumed_edges: usize,
    /// Parents that would get new children.
    #[serde(rename = "pushes")]
    pub source_loads: Vec<SourceLoadSpec>,
    /// The forecast load of the origin.
    #[serde(rename = "origin")]
    pub origin_load: OriginLoadSpec,
}

/// A node whose sources would change, with the lists before and after.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "SourceChangeTuple", into = "SourceChangeTuple")]
pub struct SourceChangeSpec {
    /// The name of the node.
    pub node: String,
    /// The current sources.
    pub before: Vec<SourceSpec>,
    /// The new sources.
    pub after: Vec<SourceSpec>,
}

type SourceChangeTuple = (String, Vec<SourceSpec>, Vec<SourceSpec>);

impl From<SourceChangeTuple> for SourceChangeSpec {
    fn from((node, before, after): SourceChangeTuple) -> Self {
        Self { node, before, after }
    }
}

impl From<SourceChangeSpec> for SourceChangeTuple {
    fn from(spec: SourceChangeSpec) -> Self {
        (spec.node, spec.before, spec.after)
    }
}

/// The load of a source: the total capacity of the nodes that prefer it, divided by its own capacity.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "SourceLoadTuple", into = "SourceLoadTuple")]
pub struct SourceLoadSpec {
    /// The name of the source.
    pub source: String,
    /// The current load.
    pub before: f64,
    /// The load after the change.
    pub after: f64,
    /// The mean load of its tier after the change.
    pub tier_mean: f64,
    /// Whether the load would grow to far above the mean of its tier.
    pub is_heavy: bool,
}

type SourceLoadTuple = (String, f64, f64, f64, bool);

impl From<SourceLoadTuple> for SourceLoadSpec {
    fn from((source, before, after, tier_mean, is_heavy): SourceLoadTuple) -> Self {
        Self { source, before, after, tier_mean, is_heavy }
    }
}

impl From<SourceLoadSpec> for SourceLoadTuple {
    fn from(spec: SourceLoadSpec) -> Self {
        (spec.source, spec.before, spec.after, spec.tier_mean, spec.is_heavy)
    }
}

/// Fills per second at the origin, from the traffic of one router.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(from = "OriginLoadTuple", into = "OriginLoadTuple")]
pub struct OriginLoadSpec {
    /// The current rate.
    pub current: f64,
    /// The largest increase if all children switch sources at once.
    pub immediate: f64,
    /// The largest increase if children migrate in stages.
    pub staged: f64,
}

type OriginLoadTuple = (f64, f64, f64);

impl From<OriginLoadTuple> for OriginLoadSpec {
    fn from((current, immediate, staged): OriginLoadTuple) -> Self {
        Self { current, immediate, staged }
    }
}

impl From<OriginLoadSpec> for OriginLoadTuple {
    fn from(spec: OriginLoadSpec) -> Self {
        (spec.current, spec.immediate, spec.staged)
    }
}
