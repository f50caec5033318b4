//! Owns the form in which changes are written, sent and shown: with the names of nodes instead of their ids.
//!
//! The same name is the same id at every router, as for the caches of the list. Must never take a name for more
//! than a name: what a change does is judged when it is applied.

use std::collections::{BTreeMap, BTreeSet};

use linnethook::interface::Ms;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::batch::{Author, Batch, Change, Serial};
use crate::plan::{Flood, Plan};
use crate::shape::{Node, NodeId, Role, Shape, Source};

/// The id of a name: the one by which the router knows the cache, parent or origin of that uid.
pub fn id_of(name: &str) -> NodeId {
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
    pub at: Ms,
    pub changes: Vec<ChangeSpec>,
}

/// A plan as it is shown.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanSpec {
    pub added: Vec<String>,
    pub removed: Vec<String>,
    pub altered: Vec<String>,
    pub rerouted: Vec<(String, Vec<SourceSpec>, Vec<SourceSpec>)>,
    pub loops: Vec<Vec<String>>,
    pub resumed: usize,
    /// Sources that get more to carry: before, after, the mean of the tier, and whether that is heavy.
    pub pushes: Vec<(String, f64, f64, f64, bool)>,
    /// Fills a second at the origin: now, and on top of that at the worst by a flip and by stages.
    pub origin: (f64, f64, f64),
}

/// The names of nodes and sites that were ever read, for as long as the shape has them.
#[derive(Debug, Clone, Default)]
pub struct Names {
    nodes: BTreeMap<NodeId, String>,
    sites: BTreeMap<u32, String>,
}

impl Names {
    pub fn of(&self, id: NodeId) -> String {
        self.nodes.get(&id).cloned().unwrap_or_else(|| format!("#{:016x}", id.0))
    }

    fn site(&self, site: u32) -> String {
        self.sites.get(&site).cloned().unwrap_or_else(|| format!("#{site:08x}"))
    }

    fn id(&mut self, name: &str) -> NodeId {
        let id = id_of(name);
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
    pub fn change(&mut self, spec: &ChangeSpec) -> Change {
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

    pub fn changes(&mut self, specs: &[ChangeSpec]) -> Vec<Change> {
        specs.iter().map(|spec| self.change(spec)).collect()
    }

    /// Reads a batch.
    pub fn batch(&mut self, spec: &BatchSpec) -> Batch {
        Batch {
            serial: Serial { author: Author(spec.author), number: spec.number },
            stamp: spec.stamp,
            basis: spec.basis.iter().map(|(author, number)| (Author(*author), *number)).collect(),
            at: spec.at,
            changes: self.changes(&spec.changes),
        }
    }

    fn node_spec(&self, node: &Node, sources: &[Source]) -> NodeSpec {
        NodeSpec {
            name: self.of(node.id),
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
            Change::Remove { node } => ChangeSpec::Remove { node: self.of(*node) },
            Change::Move { node, site, sources } => ChangeSpec::Move {
                node: self.of(*node),
                site: self.site(*site),
                sources: self.source_specs(sources),
            },
            Change::Replace { old, new } => {
                ChangeSpec::Replace { old: self.of(*old), new: self.node_spec(new, &[]) }
            }
            Change::Rerank { node, sources } => {
                ChangeSpec::Rerank { node: self.of(*node), sources: self.source_specs(sources) }
            }
            Change::Retire { node, retiring } => {
                ChangeSpec::Retire { node: self.of(*node), retiring: *retiring }
            }
        }
    }

    /// Writes a batch.
    pub fn spec(&self, batch: &Batch) -> BatchSpec {
        BatchSpec {
            author: batch.serial.author.0,
            number: batch.serial.number,
            stamp: batch.stamp,
            basis: batch.basis.iter().map(|(author, number)| (author.0, *number)).collect(),
            at: batch.at,
            changes: batch.changes.iter().map(|change| self.change_spec(change)).collect(),
        }
    }

    fn source_specs(&self, sources: &[Source]) -> Vec<SourceSpec> {
        sources.iter().map(|s| SourceSpec { name: self.of(s.node), rank: s.rank }).collect()
    }

    /// Writes a plan.
    pub fn plan(&self, plan: &Plan) -> PlanSpec {
        let all = |ids: &[NodeId]| ids.iter().map(|id| self.of(*id)).collect::<Vec<_>>();
        let Flood { now, flip, staged } = plan.origin;
        let pushes = plan.pushes.iter();
        PlanSpec {
            added: all(&plan.added),
            removed: all(&plan.removed),
            altered: all(&plan.altered),
            rerouted: (plan.rerouted.iter())
                .map(|r| (self.of(r.node), self.source_specs(&r.before), self.source_specs(&r.after)))
                .collect(),
            loops: plan.loops.iter().map(|way| all(way)).collect(),
            resumed: plan.resumed,
            pushes: pushes.map(|p| (self.of(p.to), p.before, p.after, p.tier, p.is_heavy())).collect(),
            origin: (now, flip, staged),
        }
    }

    /// All nodes of a shape, by name.
    pub fn nodes(&self, shape: &Shape) -> Vec<NodeSpec> {
        let spec = |record: &crate::shape::Record| {
            let sources: Vec<Source> = record.edges.iter().map(|edge| edge.source).collect();
            self.node_spec(&record.node, &sources)
        };
        let mut all: Vec<NodeSpec> = shape.records().into_iter().map(spec).collect();
        all.sort_by(|a, b| a.name.cmp(&b.name));
        all
    }

    /// All names that are known: of nodes and of sites.
    pub fn all(&self) -> (Vec<String>, Vec<String>) {
        (self.nodes.values().cloned().collect(), self.sites.values().cloned().collect())
    }

    /// Names that another router knows. An id follows from its name, so that none can be given to another.
    pub fn learn(&mut self, nodes: &[String], sites: &[String]) {
        nodes.iter().for_each(|name| _ = self.id(name));
        sites.iter().for_each(|name| _ = self.site_id(name));
    }

    /// Forgets the names of what the shape has not got.
    pub fn retain(&mut self, shape: &Shape) {
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
    pub fn difference(&mut self, shape: &Shape, wanted: &[NodeSpec]) -> Vec<Change> {
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
pub enum BadShape {
    #[error("two nodes are named {0:?}")]
    Twice(String),
    #[error("{node:?} names {source_name:?} as a source, which is no node")]
    Unknown { node: String, source_name: String },
    #[error("{0:?} has no way to the origin")]
    NoWay(String),
    #[error("fills would go round: {}", .0.join(" -> "))]
    Loop(Vec<String>),
    #[error("there is no origin")]
    NoOrigin,
}

impl BadShape {
    /// The node that it is said of, where there is one.
    pub fn node(&self) -> Option<&str> {
        match self {
            Self::Twice(node) | Self::NoWay(node) | Self::Unknown { node, .. } => Some(node),
            Self::Loop(way) => way.first().map(String::as_str),
            Self::NoOrigin => None,
        }
    }
}

/// Checks a whole shape as it is written: one name each, known sources, no loop, a way to the origin for all.
pub fn check(nodes: &[NodeSpec]) -> Result<(), BadShape> {
    let mut by_name = BTreeMap::new();
    for (n, node) in nodes.iter().enumerate() {
        if by_name.insert(node.name.as_str(), n).is_some() {
            return Err(BadShape::Twice(node.name.clone()));
        }
    }
    let index = |name: &str| by_name.get(name).copied();
    for node in nodes {
        if let Some(source) = node.sources.iter().find(|source| index(&source.name).is_none()) {
            let source_name = source.name.clone();
            return Err(BadShape::Unknown { node: node.name.clone(), source_name });
        }
    }
    let mut order = crate::order::Order::default();
    nodes.iter().for_each(|_| _ = order.add());
    for (n, node) in nodes.iter().enumerate() {
        for to in node.sources.iter().filter_map(|source| index(&source.name)) {
            if let Err(found) = order.link(n as u32, to as u32) {
                // As a fill goes: from the node on, and back to it.
                let way = std::iter::once(n).chain(found.0.into_iter().map(|index| index as usize));
                return Err(BadShape::Loop(way.map(|index| nodes[index].name.clone()).collect()));
            }
        }
    }
    if nodes.iter().all(|node| node.role != Role::Origin) {
        return Err(BadShape::NoOrigin);
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
        Some(n) => Err(BadShape::NoWay(nodes[n].name.clone())),
        None => Ok(()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::history::{Heard, History};

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
        let (mut names, mut history) = (Names::default(), History::default());
        let mut other = wanted();
        other[1].site = "elsewhere".to_string();
        other[2].capacity = 9.0;
        other[3] = node("a", Role::Cache, &["centre", "origin"]);
        other.push(node("b", Role::Cache, &["south"]));
        let mut retired = wanted();
        retired[1].retiring = true;
        for shape in [wanted(), other, retired, wanted()[..3].to_vec(), wanted()] {
            let changes = names.difference(history.shape(), &shape);
            let batch = history.draft(Author(1), 0.0, changes);
            let serial = batch.serial;
            assert!(matches!(history.hear(batch), Heard::Taken(_)));
            assert_eq!(history.verdict(serial), Some(Ok(())));
            let mut sorted = shape.clone();
            sorted.sort_by(|a, b| a.name.cmp(&b.name));
            assert_eq!(names.nodes(history.shape()), sorted);
            assert_eq!(names.difference(history.shape(), &shape), []);
        }
        names.retain(history.shape());
        assert_eq!(names.len(), 4 + 1);
    }

    #[test]
    fn a_shape_that_could_not_work_is_told_from_one_that_could() {
        assert_eq!(check(&wanted()), Ok(()));
        let with = |change: fn(&mut Vec<NodeSpec>)| {
            let mut nodes = wanted();
            change(&mut nodes);
            check(&nodes).expect_err("a bad shape").to_string()
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
