//! Which sources a child's fills may use, and where a source forwards a fill.

use std::collections::BTreeSet;

use linnethook::hash_ring::{hash_pair, unit_fraction};
use linnethook::interface::Ms;
use linnethook::policy::parent_rank_hash;

use super::Hierarchy;
use crate::loop_detection::MAX_HOPS;
use crate::node::{preferred_sources, NodeId, Role, Source};

/// Makes the hash that selects migrating objects independent of all other hashes.
const MIGRATION_SALT: u64 = 0x676f_6f76;

/// The sources that the decision module may choose from for a cache's fills. Lower ranks are preferred; among
/// equal ranks the hash of the object selects the source.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FillSources {
    /// For the objects whose hash with `salt` is below `fraction`.
    pub current: Vec<Source>,
    /// For all other objects: the sources from before the change that is being rolled out.
    pub previous: Vec<Source>,
    /// The fraction of objects that use `current`, from 0 to 1.
    pub fraction: f64,
    /// Differs for each batch, so that successive changes start with different objects.
    pub salt: u64,
}

impl FillSources {
    /// The sources for an object.
    pub fn of(&self, object: u64) -> &[Source] {
        if unit_fraction(hash_pair(object, self.salt)) < self.fraction {
            &self.current
        } else {
            &self.previous
        }
    }

    /// Whether a change from `published` is too small to be published.
    fn is_close_to(&self, published: &Self, publish_step: f64) -> bool {
        let is_fraction_close = (self.fraction - published.fraction).abs() < publish_step
            && (self.fraction < 1.0) == (published.fraction < 1.0);
        is_fraction_close
            && self.current == published.current
            && self.previous == published.previous
            && self.salt == published.salt
    }
}

/// A node to which a fill is forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hop {
    /// The node that the fill is forwarded to.
    pub node: NodeId,
    /// Whether the node may only serve a cached copy, and must not fetch one.
    pub cached_only: bool,
}

impl Hierarchy {
    /// The sources that the decision module may choose from for a child's fills now.
    ///
    /// The current list is the one that the topology has for the child. While a migration is in progress, the
    /// objects outside its fraction use the settled list from before it, without nodes that were removed or
    /// whose retirement grace period has ended. Neither list contains edges on which a loop was detected.
    pub fn fill_sources(&self, now: Ms, id: NodeId) -> FillSources {
        let Some(child) = self.children.get(&id) else { return FillSources::default() };
        let version = self.version();
        let is_usable = |source: &&Source| !self.edge_backoff.is_backed_off(now, id, source.node, version);
        let may_serve_cached = |source: &&Source| {
            self.topology().node(source.node).is_some() && self.is_within_grace(now, source.node)
        };
        let fractions = child.migrations().map(|migration| self.rollout.fraction(now, migration));
        let fraction = fractions.fold(1.0, f64::min);
        let previous = if fraction < 1.0 { &child.settled[..] } else { &[] };
        FillSources {
            current: child.desired.iter().filter(is_usable).copied().collect(),
            previous: previous.iter().filter(is_usable).filter(may_serve_cached).copied().collect(),
            fraction,
            salt: child.written_by.stamp ^ MIGRATION_SALT,
        }
    }

    /// The children whose fill sources have changed since they were last published, by id. Marks them as
    /// published.
    pub fn changed_fill_sources(&mut self, now: Ms) -> Vec<(NodeId, FillSources)> {
        let ids: Vec<NodeId> = self.children.keys().copied().collect();
        let mut changed = Vec::new();
        for id in ids {
            let sources = self.fill_sources(now, id);
            let Some(child) = self.children.get_mut(&id) else { continue };
            if !sources.is_close_to(&child.published, self.config.publish_step) {
                child.published.clone_from(&sources);
                changed.push((id, sources));
            }
        }
        changed
    }

    /// The path along which `source` forwards a fill of `child` that it can't serve.
    ///
    /// While the child migrates to the source, the first hop is the old source, for a cached copy only. The
    /// path then leads up to the origin; at each node the next hop is selected by rank and hash. It skips
    /// nodes that are not ready or retire, edges on which a loop was detected and nodes already on the path.
    pub fn onward_path(&self, now: Ms, child: NodeId, source: NodeId, object: u64) -> Vec<Hop> {
        let mut path = Vec::new();
        let mut passed = vec![child, source];
        if let Some(old_source) = self.old_source(now, child, source, object) {
            path.push(Hop { node: old_source, cached_only: true });
            passed.push(old_source);
        }
        let version = self.version();
        let mut at = source;
        while passed.len() < MAX_HOPS {
            let is_usable = |next: &Source| {
                !passed.contains(&next.node)
                    && self.endpoints.is_ready(next.node)
                    && !self.is_retiring(next.node)
                    && !self.edge_backoff.is_backed_off(now, at, next.node, version)
            };
            let candidates = self.topology().sources(at).filter(is_usable);
            let preference = |next: &Source| (next.rank, parent_rank_hash(object, next.node.0));
            let Some(next) = candidates.min_by_key(preference) else { break };
            path.push(Hop { node: next.node, cached_only: false });
            passed.push(next.node);
            at = next.node;
        }
        path
    }

    /// The parent that filled an object before `child` began to migrate to `source`, selected by the same
    /// hash.
    fn old_source(&self, now: Ms, child: NodeId, source: NodeId, object: u64) -> Option<NodeId> {
        let child = self.children.get(&child)?;
        if !child.migrations().any(|migration| migration.target == source) {
            return None;
        }
        preferred_sources(&child.settled)
            .filter(|id| *id != source && self.is_usable_parent(now, *id))
            .min_by_key(|id| parent_rank_hash(object, id.0))
    }

    /// Whether a node is a ready parent that still serves requests for cached objects.
    pub(super) fn is_usable_parent(&self, now: Ms, id: NodeId) -> bool {
        let is_parent = self.topology().node(id).is_some_and(|node| node.role == Role::Parent);
        is_parent && self.endpoints.is_ready(id) && self.is_within_grace(now, id)
    }

    /// The given nodes and all nodes that they may fill from, directly or through others.
    pub(super) fn with_nodes_above(&self, nodes: BTreeSet<NodeId>) -> BTreeSet<NodeId> {
        let mut unvisited: Vec<NodeId> = nodes.iter().copied().collect();
        let mut found = nodes;
        while let Some(id) = unvisited.pop() {
            let sources = self.topology().sources(id).map(|source| source.node);
            unvisited.extend(sources.filter(|id| found.insert(*id)));
        }
        found
    }

    fn is_within_grace(&self, now: Ms, id: NodeId) -> bool {
        self.endpoints.is_within_grace(now, id, self.config.retirement_grace)
    }

    fn is_retiring(&self, id: NodeId) -> bool {
        self.topology().node(id).is_some_and(|node| node.retiring)
    }
}
