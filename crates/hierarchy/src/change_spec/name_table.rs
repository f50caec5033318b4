//! Translates between the names of nodes and sites and their ids.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64;

use super::{
    BatchSpec, ChangeSpec, NodeSpec, OriginLoadSpec, PlanSpec, SourceChangeSpec, SourceLoadSpec, SourceSpec,
};
use crate::batch::{Change, ChangeBatch};
use crate::node::{Node, NodeId, Source};
use crate::plan::{ChangePlan, SourceChange, SourceLoad};
use crate::topology::{NodeRecord, Topology};
use crate::version::{AuthorId, BatchId};

/// The id of a node name. The decision module uses the same id for the cache, parent or origin with that uid.
pub fn node_id(name: &str) -> NodeId {
    NodeId(xxh3_64(name.as_bytes()))
}

/// The id of a site name, the same at all routers.
fn site_id(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// The names of nodes and sites. [`retain`](Self::retain) drops those that the topology does not contain.
#[derive(Debug, Clone, Default)]
pub struct NameTable {
    nodes: BTreeMap<NodeId, String>,
    sites: BTreeMap<u32, String>,
}

impl NameTable {
    /// The name of a node, or its id in hexadecimal if the name is unknown.
    pub fn node_name(&self, id: NodeId) -> String {
        self.nodes.get(&id).cloned().unwrap_or_else(|| format!("#{:016x}", id.0))
    }

    fn site_name(&self, site: u32) -> String {
        self.sites.get(&site).cloned().unwrap_or_else(|| format!("#{site:08x}"))
    }

    fn add_node(&mut self, name: &str) -> NodeId {
        let id = node_id(name);
        self.nodes.entry(id).or_insert_with(|| name.to_string());
        id
    }

    fn add_site(&mut self, name: &str) -> u32 {
        let id = site_id(name);
        self.sites.entry(id).or_insert_with(|| name.to_string());
        id
    }

    /// Adds names received from another router. The id is the hash of the name, and a name that is in the
    /// table already is not replaced.
    pub fn add_names(&mut self, nodes: &[String], sites: &[String]) {
        for name in nodes {
            self.add_node(name);
        }
        for name in sites {
            self.add_site(name);
        }
    }

    /// Drops the names that the topology does not contain.
    pub fn retain(&mut self, topology: &Topology) {
        self.nodes.retain(|id, _| topology.node(*id).is_some());
        let sites: BTreeSet<u32> = topology.records().into_iter().map(|record| record.node.site).collect();
        self.sites.retain(|site, _| sites.contains(site));
    }

    /// All node names, in the order of their ids.
    pub fn node_names(&self) -> Vec<String> {
        self.nodes.values().cloned().collect()
    }

    /// All site names, in the order of their ids.
    pub fn site_names(&self) -> Vec<String> {
        self.sites.values().cloned().collect()
    }

    /// Number of names of nodes and sites.
    pub fn len(&self) -> usize {
        self.nodes.len() + self.sites.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    // From names to ids. New names are added to the table.

    /// Translates a batch.
    pub fn resolve_batch(&mut self, spec: &BatchSpec) -> ChangeBatch {
        ChangeBatch {
            id: BatchId { author: AuthorId(spec.author), number: spec.number },
            stamp: spec.stamp,
            basis: spec.basis.iter().map(|(author, number)| (AuthorId(*author), *number)).collect(),
            effective_at: spec.effective_at,
            changes: self.resolve_changes(&spec.changes),
        }
    }

    /// Translates changes.
    pub fn resolve_changes(&mut self, specs: &[ChangeSpec]) -> Vec<Change> {
        specs.iter().map(|spec| self.resolve_change(spec)).collect()
    }

    /// Translates a change.
    pub fn resolve_change(&mut self, spec: &ChangeSpec) -> Change {
        match spec {
            ChangeSpec::Add(spec) => {
                Change::Add { node: self.resolve_node(spec), sources: self.resolve_sources(&spec.sources) }
            }
            ChangeSpec::Remove { node } => Change::Remove { node: self.add_node(node) },
            ChangeSpec::Move { node, site, sources } => Change::Move {
                node: self.add_node(node),
                site: self.add_site(site),
                sources: self.resolve_sources(sources),
            },
            ChangeSpec::Replace { old, new } => {
                Change::Replace { old: self.add_node(old), new: self.resolve_node(new) }
            }
            ChangeSpec::Rerank { node, sources } => {
                Change::Rerank { node: self.add_node(node), sources: self.resolve_sources(sources) }
            }
            ChangeSpec::Retire { node, retiring } => {
                Change::Retire { node: self.add_node(node), retiring: *retiring }
            }
        }
    }

    fn resolve_node(&mut self, spec: &NodeSpec) -> Node {
        Node {
            id: self.add_node(&spec.name),
            role: spec.role,
            site: self.add_site(&spec.site),
            tier: spec.tier,
            capacity: spec.capacity,
            retiring: spec.retiring,
        }
    }

    fn resolve_sources(&mut self, specs: &[SourceSpec]) -> Vec<Source> {
        specs.iter().map(|spec| Source::new(self.add_node(&spec.name), spec.rank)).collect()
    }

    /// The changes that turn a topology into the desired one. The result depends only on these two, so that
    /// it is the same at all routers.
    pub fn changes_to_reach(&mut self, topology: &Topology, desired: &[NodeSpec]) -> Vec<Change> {
        let mut changes = Vec::new();
        let mut desired_ids = BTreeSet::new();
        for spec in desired {
            let node = self.resolve_node(spec);
            let mut sources = self.resolve_sources(&spec.sources);
            sources.sort_unstable();
            desired_ids.insert(node.id);
            match topology.record(node.id) {
                Some(current) => add_node_changes(current, node, sources, &mut changes),
                None => changes.push(Change::Add { node, sources }),
            }
        }
        let removed = topology.records().into_iter().filter(|record| !desired_ids.contains(&record.node.id));
        changes.extend(removed.map(|record| Change::Remove { node: record.node.id }));
        changes
    }

    // From ids to names.

    /// Translates a batch.
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

    fn change_spec(&self, change: &Change) -> ChangeSpec {
        match change {
            Change::Add { node, sources } => ChangeSpec::Add(self.node_spec(node, sources)),
            Change::Remove { node } => ChangeSpec::Remove { node: self.node_name(*node) },
            Change::Move { node, site, sources } => ChangeSpec::Move {
                node: self.node_name(*node),
                site: self.site_name(*site),
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

    /// Translates all nodes of a topology, sorted by name.
    pub fn node_specs(&self, topology: &Topology) -> Vec<NodeSpec> {
        let spec = |record: &NodeRecord| self.node_spec(&record.node, &record.listed_sources());
        let mut specs: Vec<NodeSpec> = topology.records().into_iter().map(spec).collect();
        specs.sort_by(|a, b| a.name.cmp(&b.name));
        specs
    }

    fn node_spec(&self, node: &Node, sources: &[Source]) -> NodeSpec {
        NodeSpec {
            name: self.node_name(node.id),
            role: node.role,
            site: self.site_name(node.site),
            tier: node.tier,
            capacity: node.capacity,
            retiring: node.retiring,
            sources: self.source_specs(sources),
        }
    }

    fn source_specs(&self, sources: &[Source]) -> Vec<SourceSpec> {
        let spec = |source: &Source| SourceSpec { name: self.node_name(source.node), rank: source.rank };
        sources.iter().map(spec).collect()
    }

    /// Translates a plan.
    pub fn plan_spec(&self, plan: &ChangePlan) -> PlanSpec {
        let names = |ids: &[NodeId]| ids.iter().map(|id| self.node_name(*id)).collect::<Vec<String>>();
        PlanSpec {
            added: names(&plan.added),
            removed: names(&plan.removed),
            altered: names(&plan.altered),
            source_changes: plan
                .source_changes
                .iter()
                .map(|change| self.source_change_spec(change))
                .collect(),
            cycles: plan.cycles.iter().map(|cycle| names(cycle)).collect(),
            resumed_edges: plan.resumed_edges,
            source_loads: plan.source_loads.iter().map(|load| self.source_load_spec(load)).collect(),
            origin_load: OriginLoadSpec {
                current: plan.origin_load.current,
                immediate: plan.origin_load.immediate,
                staged: plan.origin_load.staged,
            },
        }
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
}

/// Adds the changes that turn an existing node into the desired one.
fn add_node_changes(current: &NodeRecord, desired: Node, sources: Vec<Source>, changes: &mut Vec<Change>) {
    let kind = |node: &Node| (node.role, node.tier, node.capacity.to_bits());
    let id = desired.id;
    if kind(&current.node) != kind(&desired) {
        // Another machine with the same name.
        changes.push(Change::Remove { node: id });
        changes.push(Change::Add { node: desired, sources });
        return;
    }
    if current.node.site != desired.site {
        changes.push(Change::Move { node: id, site: desired.site, sources });
    } else if current.listed_sources() != sources {
        changes.push(Change::Rerank { node: id, sources });
    }
    if current.node.retiring != desired.retiring {
        changes.push(Change::Retire { node: id, retiring: desired.retiring });
    }
}
