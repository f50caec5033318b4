//! Owns the form in which changes are written, sent and shown: with the names of nodes instead of their ids.
//!
//! The same name is the same id at every router, as for the caches of the list. Must never take a name for more
//! than a name: what a change does is judged when it is applied.

use std::collections::{BTreeMap, BTreeSet};

use linnethook::interface::Ms;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::batch::{AuthorId, BatchId, Change, ChangeBatch};
use crate::plan::{ChangePlan, OriginLoad, SourceChange, SourceLoad};
use crate::topology::{Node, NodeId, Role, Source, Topology};

/// The id of a name: the one by which the router knows the cache, parent or origin of that uid.
pub fn node_id(name: &str) -> NodeId {
    NodeId(xxh3_64(name.as_bytes()))
}

/// A node with its names, and its sources in the order of their ranks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeSpec {
    pub name: String,
    pub role: Role,
    pub site: String,
    pub tier: u8,
    pub capacity: f64,
    pub retiring: bool,
    pub sources: Vec<SourceSpec>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceSpec {
    pub name: String,
    pub rank: u16,
}

/// A change as it is written.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeSpec {
    Add(NodeSpec),
    Remove { node: String },
    Move { node: String, site: String, sources: Vec<SourceSpec> },
    Replace { old: String, new: NodeSpec },
    Rerank { node: String, sources: Vec<SourceSpec> },
    Retire { node: String, retiring: bool },
}

/// A batch as it is sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BatchSpec {
    pub author: u16,
    pub number: u64,
    pub stamp: u64,
    /// The newest batch of each author that it was planned on.
    #[serde(default)]
    pub basis: Vec<(u16, u64)>,
    #[serde(rename = "at")]
    pub effective_at: Ms,
    pub changes: Vec<ChangeSpec>,
}

/// A plan as commands show it. Its lists of tuples are the form that scripts read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanSpec {
    pub added: Vec<String>,
    pub removed: Vec<String>,
    pub altered: Vec<String>,
    #[serde(rename = "rerouted")]
    pub source_changes: Vec<SourceChangeSpec>,
    #[serde(rename = "loops")]
    pub cycles: Vec<Vec<String>>,
    #[serde(rename = "resumed")]
    pub resumed_edges: usize,
    #[serde(rename = "pushes")]
    pub source_loads: Vec<SourceLoadSpec>,
    #[serde(rename = "origin")]
    pub origin_load: OriginLoadSpec,
}

/// A node whose sources change, with the lists before and after.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "SourceChangeTuple", into = "SourceChangeTuple")]
pub struct SourceChangeSpec {
    pub node: String,
    pub before: Vec<SourceSpec>,
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

/// A source that gets more to carry: child capacity per own capacity before, after, and on average over its tier.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "SourceLoadTuple", into = "SourceLoadTuple")]
pub struct SourceLoadSpec {
    pub source: String,
    pub before: f64,
    pub after: f64,
    pub tier_mean: f64,
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

/// Fills per second at the origin: now, and added at worst by an immediate and by a staged change.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(from = "OriginLoadTuple", into = "OriginLoadTuple")]
pub struct OriginLoadSpec {
    pub current: f64,
    pub immediate: f64,
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

/// The names of nodes and sites that were ever read, for as long as the shape has them.
#[derive(Debug, Clone, Default)]
pub struct NameTable {
    nodes: BTreeMap<NodeId, String>,
    sites: BTreeMap<u32, String>,
}

impl NameTable {
    pub fn node_name(&self, id: NodeId) -> String {
        self.nodes.get(&id).cloned().unwrap_or_else(|| format!("#{:016x}", id.0))
    }

    fn site(&self, site: u32) -> String {
        self.sites.get(&site).cloned().unwrap_or_else(|| format!("#{site:08x}"))
    }

    fn id(&mut self, name: &str) -> NodeId {
        let id = node_id(name);
        self.nodes.entry(id).or_insert_with(|| name.to_string());
        id
    }

    fn site_id(&mut self, name: &str) -> u32 {
        // The same at every router, as for nodes.
        let id = xxh3_64(name.as_bytes()) as u32;
        self.sites.entry(id).or_insert_with(|| name.to_string());
        id
    }

    fn sources(&mut self, specs: &[SourceSpec]) -> Vec<Source> {
        specs.iter().map(|spec| Source::new(self.id(&spec.name), spec.rank)).collect()
    }

    fn node(&mut self, spec: &NodeSpec) -> Node {
        Node {
            id: self.id(&spec.name),
            role: spec.role,
            site: self.site_id(&spec.site),
            tier: spec.tier,
            capacity: spec.capacity,
            retiring: spec.retiring,
        }
    }

    /// Reads a change.
    pub fn resolve_change(&mut self, spec: &ChangeSpec) -> Change {
        match spec {
            ChangeSpec::Add(spec) => {
                Change::Add { node: self.node(spec), sources: self.sources(&spec.sources) }
            }
            ChangeSpec::Remove { node } => Change::Remove { node: self.id(node) },
            ChangeSpec::Move { node, site, sources } => {
                let (node, site) = (self.id(node), self.site_id(site));
                Change::Move { node, site, sources: self.sources(sources) }
            }
            ChangeSpec::Replace { old, new } => Change::Replace { old: self.id(old), new: self.node(new) },
            ChangeSpec::Rerank { node, sources } => {
                Change::Rerank { node: self.id(node), sources: self.sources(sources) }
            }
            ChangeSpec::Retire { node, retiring } => {
                Change::Retire { node: self.id(node), retiring: *retiring }
            }
        }
    }

    pub fn resolve_changes(&mut self, specs: &[ChangeSpec]) -> Vec<Change> {
        specs.iter().map(|spec| self.resolve_change(spec)).collect()
    }

    /// Reads a batch.
    pub fn resolve_batch(&mut self, spec: &BatchSpec) -> ChangeBatch {
        ChangeBatch {
            id: BatchId { author: AuthorId(spec.author), number: spec.number },
            stamp: spec.stamp,
            basis: spec.basis.iter().map(|(author, number)| (AuthorId(*author), *number)).collect(),
            effective_at: spec.effective_at,
            changes: self.resolve_changes(&spec.changes),
        }
    }

    fn node_spec(&self, node: &Node, sources: &[Source]) -> NodeSpec {
        NodeSpec {
            name: self.node_name(node.id),
            role: node.role,
            site: self.site(node.site),
            tier: node.tier,
            capacity: node.capacity,
            retiring: node.retiring,
            sources: self.source_specs(sources),
        }
    }

    fn change_spec(&self, change: &Change) -> ChangeSpec {
        match change {
            Change::Add { node, sources } => ChangeSpec::Add(self.node_spec(node, sources)),
            Change::Remove { node } => ChangeSpec::Remove { node: self.node_name(*node) },
            Change::Move { node, site, sources } => ChangeSpec::Move {
                node: self.node_name(*node),
                site: self.site(*site),
                sources: self.source_specs(sources),
            },
            Change::Replace { old, new } => {
                ChangeSpec::Replace { old: self.node_name(*old), new: self.node_spec(new, &[]) }
            }
            Change::Rerank { node, sources } => {
                ChangeSpec::Rerank { node: self.node_name(*node), sources: self.source_specs(sources) }
            }
            Change::Retire { node, retiring } => {
                ChangeSpec::Retire { node: self.node_name(*node), retiring: *retiring }
            }
        }
    }

    /// Writes a batch.
    pub fn batch_spec(&self, batch: &ChangeBatch) -> BatchSpec {
        BatchSpec {
            author: batch.id.author.0,
            number: batch.id.number,
            stamp: batch.stamp,
            basis: batch.basis.iter().map(|(author, number)| (author.0, *number)).collect(),
            effective_at: batch.effective_at,
            changes: batch.changes.iter().map(|change| self.change_spec(change)).collect(),
        }
    }

    fn source_specs(&self, sources: &[Source]) -> Vec<SourceSpec> {
        sources.iter().map(|s| SourceSpec { name: self.node_name(s.node), rank: s.rank }).collect()
    }

    fn source_change_spec(&self, change: &SourceChange) -> SourceChangeSpec {
        SourceChangeSpec {
            node: self.node_name(change.node),
            before: self.source_specs(&change.before),
            after: self.source_specs(&change.after),
        }
    }

    fn source_load_spec(&self, load: &SourceLoad) -> SourceLoadSpec {
        SourceLoadSpec {
            source: self.node_name(load.source),
            before: load.before,
            after: load.after,
            tier_mean: load.tier_mean,
            is_heavy: load.is_heavy(),
        }
    }

    /// Writes a plan.
    pub fn plan_spec(&self, plan: &ChangePlan) -> PlanSpec {
        let all = |ids: &[NodeId]| ids.iter().map(|id| self.node_name(*id)).collect::<Vec<_>>();

        let OriginLoad { current, immediate, staged } = plan.origin_load;
        PlanSpec {
            added: all(&plan.added),
            removed: all(&plan.removed),
            altered: all(&plan.altered),
            source_changes: (plan.source_changes.iter())
                .map(|change| self.source_change_spec(change))
                .collect(),
            cycles: plan.cycles.iter().map(|cycle| all(cycle)).collect(),
            resumed_edges: plan.resumed_edges,
            source_loads: plan.source_loads.iter().map(|load| self.source_load_spec(load)).collect(),
            origin_load: OriginLoadSpec { current, immediate, staged },
        }
    }

    /// All nodes of a shape, by name.
    pub fn node_specs(&self, shape: &Topology) -> Vec<NodeSpec> {
        let spec = |record: &crate::topology::NodeRecord| {
            let sources: Vec<Source> = record.edges.iter().map(|edge| edge.source).collect();
            self.node_spec(&record.node, &sources)
        };
        let mut all: Vec<NodeSpec> = shape.records().into_iter().map(spec).collect();
        all.sort_by(|a, b| a.name.cmp(&b.name));
        all
    }

    /// All node names, in the order of their ids.
    pub fn node_names(&self) -> Vec<String> {
        self.nodes.values().cloned().collect()
    }

    /// All site names, in the order of their ids.
    pub fn site_names(&self) -> Vec<String> {
        self.sites.values().cloned().collect()
    }

    /// Names that another router knows. An id follows from its name, so that none can be given to another.
    pub fn add_names(&mut self, nodes: &[String], sites: &[String]) {
        nodes.iter().for_each(|name| _ = self.id(name));
        sites.iter().for_each(|name| _ = self.site_id(name));
    }

    /// Forgets the names of what the shape has not got.
    pub fn retain(&mut self, shape: &Topology) {
        self.nodes.retain(|id, _| shape.node(*id).is_some());
        let sites: BTreeSet<u32> = shape.records().into_iter().map(|record| record.node.site).collect();
        self.sites.retain(|site, _| sites.contains(site));
    }

    pub fn len(&self) -> usize {
        self.nodes.len() + self.sites.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The changes that make a shape the wanted one, the same whenever both are the same.
    pub fn changes_to_reach(&mut self, shape: &Topology, wanted: &[NodeSpec]) -> Vec<Change> {
        let (mut changes, mut removed) = (Vec::new(), Vec::new());
        let mut kept = BTreeSet::new();
        for spec in wanted {
            let node = self.node(spec);
            let mut sources = self.sources(&spec.sources);
            sources.sort_unstable();
            kept.insert(node.id);
            let Some(now) = shape.record(node.id) else {
                changes.push(Change::Add { node, sources });
                continue;
            };
            let listed: Vec<Source> = now.edges.iter().map(|edge| edge.source).collect();
            let same_kind = (now.node.role, now.node.tier, now.node.capacity.to_bits())
                == (node.role, node.tier, node.capacity.to_bits());
            if !same_kind {
                // Another machine under the same name.
                changes.push(Change::Remove { node: node.id });
                changes.push(Change::Add { node, sources });
            } else if now.node.site != node.site {
                changes.push(Change::Move { node: node.id, site: node.site, sources });
            } else if listed != sources {
                changes.push(Change::Rerank { node: node.id, sources });
            }
            if same_kind && now.node.retiring != node.retiring {
                changes.push(Change::Retire { node: node.id, retiring: node.retiring });
            }
        }
        for record in shape.records() {
            if !kept.contains(&record.node.id) {
                removed.push(Change::Remove { node: record.node.id });
            }
        }
        changes.append(&mut removed);
        changes
    }
}

/// What is wrong with a list of nodes before any of it is used.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum TopologyError {
    #[error("two nodes are named {0:?}")]
    DuplicateName(String),
    #[error("{node:?} names {source_name:?} as a source, which is no node")]
    UnknownSource { node: String, source_name: String },
    #[error("{0:?} has no way to the origin")]
    NoPathToOrigin(String),
    #[error("fills would go round: {}", .0.join(" -> "))]
    Cycle(Vec<String>),
    #[error("there is no origin")]
    NoOrigin,
}

impl TopologyError {
    /// The node that it is said of, where there is one.
    pub fn node(&self) -> Option<&str> {
        match self {
            Self::DuplicateName(node) | Self::NoPathToOrigin(node) | Self::UnknownSource { node, .. } => {
                Some(node)
            }
            Self::Cycle(way) => way.first().map(String::as_str),
            Self::NoOrigin => None,
        }
    }
}

/// Checks a whole shape as it is written: one name each, known sources, no loop, a way to the origin for all.
pub fn validate(nodes: &[NodeSpec]) -> Result<(), TopologyError> {
    let mut by_name = BTreeMap::new();
    for (n, node) in nodes.iter().enumerate() {
        if by_name.insert(node.name.as_str(), n).is_some() {
            return Err(TopologyError::DuplicateName(node.name.clone()));
        }
    }
    let index = |name: &str| by_name.get(name).copied();
    for node in nodes {
        if let Some(source) = node.sources.iter().find(|source| index(&source.name).is_none()) {
            let source_name = source.name.clone();
            return Err(TopologyError::UnknownSource { node: node.name.clone(), source_name });
        }
    }
    let mut order = crate::topological_order::TopologicalOrder::default();
    nodes.iter().for_each(|_| _ = order.add());
    for (n, node) in nodes.iter().enumerate() {
        for to in node.sources.iter().filter_map(|source| index(&source.name)) {
            if let Err(found) = order.link(n as u32, to as u32) {
                // As a fill goes: from the node on, and back to it.
                let way = std::iter::once(n).chain(found.0.into_iter().map(|index| index as usize));
                return Err(TopologyError::Cycle(way.map(|index| nodes[index].name.clone()).collect()));
            }
        }
    }
    if nodes.iter().all(|node| node.role != Role::Origin) {
        return Err(TopologyError::NoOrigin);
    }
    // Down from the origins: whoever is not met has no way up.
    let mut met = vec![false; nodes.len()];
    let mut next: Vec<usize> = (0..nodes.len()).filter(|n| nodes[*n].role == Role::Origin).collect();
    while let Some(n) = next.pop() {
        if !std::mem::replace(&mut met[n], true) {
            next.extend(order.below(n as u32).iter().map(|below| *below as usize));
        }
    }
    match met.iter().position(|met| !met) {
        Some(n) => Err(TopologyError::NoPathToOrigin(nodes[n].name.clone())),
        None => Ok(()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::history::{History, ReceiveOutcome};

    fn node(name: &str, role: Role, sources: &[&str]) -> NodeSpec {
        let rank = |(n, name): (usize, &&str)| SourceSpec { name: name.to_string(), rank: n as u16 };
        NodeSpec {
            name: name.to_string(),
            role,
            site: "hub".to_string(),
            tier: u8::from(role == Role::Parent),
            capacity: 4.0,
            retiring: false,
            sources: sources.iter().enumerate().map(rank).collect(),
        }
    }

    fn wanted() -> Vec<NodeSpec> {
        vec![
            node("origin", Role::Origin, &[]),
            node("south", Role::Parent, &["origin"]),
            node("centre", Role::Parent, &["origin"]),
            node("a", Role::Cache, &["south", "origin"]),
        ]
    }

    #[test]
    fn the_difference_makes_the_shape_the_wanted_one_and_is_then_nothing() {
        let (mut names, mut history) = (NameTable::default(), History::default());
        let mut other = wanted();
        other[1].site = "elsewhere".to_string();
        other[2].capacity = 9.0;
        other[3] = node("a", Role::Cache, &["centre", "origin"]);
        other.push(node("b", Role::Cache, &["south"]));
        let mut retired = wanted();
        retired[1].retiring = true;
        for shape in [wanted(), other, retired, wanted()[..3].to_vec(), wanted()] {
            let changes = names.changes_to_reach(history.topology(), &shape);
            let batch = history.draft_batch(AuthorId(1), 0.0, changes);
            let batch_id = batch.id;
            assert!(matches!(history.receive_batch(batch), ReceiveOutcome::Accepted(_)));
            assert_eq!(history.outcome(batch_id), Some(Ok(())));
            let mut sorted = shape.clone();
            sorted.sort_by(|a, b| a.name.cmp(&b.name));
            assert_eq!(names.node_specs(history.topology()), sorted);
            assert_eq!(names.changes_to_reach(history.topology(), &shape), []);
        }
        names.retain(history.topology());
        assert_eq!(names.len(), 4 + 1);
    }

    #[test]
    fn a_shape_that_could_not_work_is_told_from_one_that_could() {
        assert_eq!(validate(&wanted()), Ok(()));
        let with = |change: fn(&mut Vec<NodeSpec>)| {
            let mut nodes = wanted();
            change(&mut nodes);
            validate(&nodes).expect_err("a bad shape").to_string()
        };
        let table = [
            (with(|n| n.push(n[3].clone())), "two nodes are named \"a\""),
            (with(|n| n[3].sources[0].name = "north".to_string()), "\"a\" names \"north\" as a source"),
            (with(|n| n[1] = node("south", Role::Parent, &["a"])), "a -> south -> a"),
            (with(|n| n[3].sources.clear()), "\"a\" has no way to the origin"),
            (with(|n| drop(n.remove(0))), "as a source, which is no node"),
            (with(|n| n[0].role = Role::Parent), "there is no origin"),
        ];
        for (found, expected) in table {
            assert!(found.contains(expected), "{found}");
        }
    }
}
