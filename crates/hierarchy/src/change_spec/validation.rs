//! Validates a complete topology as it is written in a file, before any of it is used.

use std::collections::BTreeMap;

use super::NodeSpec;
use crate::node::Role;
use crate::topological_order::{NodeIndex, TopologicalOrder};

/// Why a list of nodes is not a valid topology.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum TopologyError {
    /// Two nodes have this name.
    #[error("two nodes are named {0:?}")]
    DuplicateName(String),
    /// A source is not in the list.
    #[error("node {node:?} lists {source_name:?} as a source, which is not a node")]
    UnknownSource {
        /// The name of the node.
        node: String,
        /// The name of the source.
        source_name: String,
    },
    /// No path leads from this node to an origin.
    #[error("node {0:?} has no path to the origin")]
    NoPathToOrigin(String),
    /// The sources of these nodes form a cycle, in which fills would loop.
    #[error("fills would loop between the nodes {}", .0.join(" -> "))]
    Cycle(Vec<String>),
    /// No node is an origin.
    #[error("no node is an origin, expected at least one")]
    NoOrigin,
}

impl TopologyError {
    /// The node that the error refers to, or the first node of a cycle; `None` for the entire list.
    pub fn node(&self) -> Option<&str> {
        match self {
            Self::DuplicateName(node) | Self::NoPathToOrigin(node) | Self::UnknownSource { node, .. } => {
                Some(node)
            }
            Self::Cycle(nodes) => nodes.first().map(String::as_str),
            Self::NoOrigin => None,
        }
    }
}

/// Checks that names are unique, that sources are known, that there is no cycle, and that a path leads from
/// each node to an origin.
///
/// # Errors
///
/// The first check that fails, in this order.
pub fn validate(nodes: &[NodeSpec]) -> Result<(), TopologyError> {
    let indices = indices_by_name(nodes)?;
    check_sources(nodes, &indices)?;
    let order = acyclic_order(nodes, &indices)?;
    check_paths_to_origin(nodes, &order)
}

/// The index of each node in the list.
fn indices_by_name(nodes: &[NodeSpec]) -> Result<BTreeMap<&str, NodeIndex>, TopologyError> {
    let mut indices = BTreeMap::new();
    for (index, node) in nodes.iter().enumerate() {
        if indices.insert(node.name.as_str(), index as NodeIndex).is_some() {
            return Err(TopologyError::DuplicateName(node.name.clone()));
        }
    }
    Ok(indices)
}

fn check_sources(nodes: &[NodeSpec], indices: &BTreeMap<&str, NodeIndex>) -> Result<(), TopologyError> {
    for node in nodes {
        let unknown = node.sources.iter().find(|source| !indices.contains_key(source.name.as_str()));
        if let Some(source) = unknown {
            let (node, source_name) = (node.name.clone(), source.name.clone());
            return Err(TopologyError::UnknownSource { node, source_name });
        }
    }
    Ok(())
}

fn acyclic_order(
    nodes: &[NodeSpec],
    indices: &BTreeMap<&str, NodeIndex>,
) -> Result<TopologicalOrder, TopologyError> {
    let mut order = TopologicalOrder::default();
    for _ in nodes {
        order.add_node();
    }
    for (from, node) in nodes.iter().enumerate() {
        let sources = node.sources.iter().filter_map(|source| indices.get(source.name.as_str()));
        for to in sources {
            if let Err(cycle) = order.insert_edge(from as NodeIndex, *to) {
                // The cycle in the direction of fills, starting and ending at the node.
                let path = std::iter::once(from as NodeIndex).chain(cycle.0);
                let names = path.map(|index| nodes[index as usize].name.clone());
                return Err(TopologyError::Cycle(names.collect()));
            }
        }
    }
    Ok(order)
}

/// Follows the edges from the origins to their children: a node that is not visited has no path to an origin.
fn check_paths_to_origin(nodes: &[NodeSpec], order: &TopologicalOrder) -> Result<(), TopologyError> {
    let is_origin = |index: &usize| nodes[*index].role == Role::Origin;
    let mut unvisited: Vec<usize> = (0..nodes.len()).filter(is_origin).collect();
    if unvisited.is_empty() {
        return Err(TopologyError::NoOrigin);
    }
    let mut visited = vec![false; nodes.len()];
    while let Some(index) = unvisited.pop() {
        if !visited[index] {
            visited[index] = true;
            let children = order.predecessors(index as NodeIndex);
            unvisited.extend(children.iter().map(|child| *child as usize));
        }
    }
    match visited.iter().position(|is_visited| !is_visited) {
        Some(index) => Err(TopologyError::NoPathToOrigin(nodes[index].name.clone())),
        None => Ok(()),
    }
}
