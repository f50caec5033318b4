//! Starts and ends migrations when the topology changes, and advances them over time.

use std::collections::{BTreeMap, BTreeSet};

use linnethook::interface::Ms;

use super::{Child, Hierarchy};
use crate::node::{preferred_sources, NodeId, Source};
use crate::rollout::{MigrationId, RolloutStage, StageTransition};
use crate::version::BatchPosition;

impl Hierarchy {
    /// Applies a change of the topology: updates the source lists of children, and starts or ends migrations.
    pub(super) fn topology_changed(&mut self, now: Ms) {
        let children: Vec<NodeId> = self.children.keys().copied().collect();
        for child in children {
            self.refresh_child(now, child);
        }
        let topology = self.history.topology();
        self.endpoints.topology_changed(now, topology);
        self.estimator.retain(|id| topology.node(id).is_some());
        self.shield.retain(|id| topology.node(id).is_some());
        self.drop_unused_migrations();
    }

    /// Sets a child's desired sources to those in the topology, and starts the migrations to them.
    pub(super) fn refresh_child(&mut self, now: Ms, id: NodeId) {
        let topology = self.history.topology();
        let Some(record) = topology.record(id) else { return };
        let Some(child) = self.children.get_mut(&id) else { return };
        // Children migrate away from a retiring source in the same stages as from one that was removed from
        // the list.
        let is_staying = |source: &Source| topology.node(source.node).is_some_and(|node| !node.retiring);
        let desired: Vec<Source> = topology.sources(id).filter(is_staying).collect();
        if child.desired == desired {
            return;
        }
        if child.settled.is_empty() || !self.config.rollout_enabled {
            child.settled.clone_from(&desired);
        }
        let source_records = topology.sources(id).filter_map(|source| topology.record(source.node));
        let written_by = source_records
            .map(|source| source.node_written_by)
            .fold(record.edges_written_by, BatchPosition::max);
        child.desired = desired;
        child.written_by = written_by;
        let effective_at = self.history.effective_at(written_by).unwrap_or(now);
        for migration in child.migrations() {
            let target_started = self.endpoints.started(migration.target);
            self.rollout.start(now, migration, effective_at, target_started);
        }
    }

    /// Drops the migrations that no child is part of.
    pub(super) fn drop_unused_migrations(&mut self) {
        let used: BTreeSet<MigrationId> = self.children.values().flat_map(Child::migrations).collect();
        self.rollout.retain(|id| used.contains(&id));
    }

    /// Advances migrations to their next stages.
    pub(super) fn tick_rollout(&mut self, now: Ms) -> Vec<StageTransition> {
        self.update_fallbacks(now);
        // Ramps also pause until the rates from before the change are known: fills added earlier would be
        // included in these rates.
        let is_constrained = self.is_constrained(now) || self.shield.is_learning();
        let endpoints = &self.endpoints;
        let transitions = self.rollout.tick(now, is_constrained, |id| endpoints.is_ready(id));
        if transitions.iter().any(|transition| transition.stage == RolloutStage::Settled) {
            self.settle_children();
        }
        let is_in_progress = self.rollout.is_in_progress();
        if is_in_progress {
            self.limit_tiers_above(now);
        } else if self.was_in_progress {
            self.shield.end_change(now);
        }
        self.was_in_progress = is_in_progress;
        transitions
    }

    /// Records which migrations have a fallback: a preferred parent in the settled list that can still serve.
    fn update_fallbacks(&mut self, now: Ms) {
        let mut has_no_fallback = BTreeMap::<MigrationId, bool>::new();
        for child in self.children.values() {
            let has_fallback = preferred_sources(&child.settled).any(|id| self.is_usable_parent(now, id));
            for id in child.migrations() {
                *has_no_fallback.entry(id).or_insert(true) &= !has_fallback;
            }
        }
        for (id, has_no_fallback) in has_no_fallback {
            self.rollout.set_has_no_fallback(id, has_no_fallback);
        }
    }

    /// Drops the old source lists of children whose migrations have all settled.
    fn settle_children(&mut self) {
        for child in self.children.values_mut() {
            let is_open = |id: MigrationId| {
                let migration = self.rollout.migration(id);
                migration.is_some_and(|migration| migration.stage() != RolloutStage::Settled)
            };
            if !child.migrations().any(is_open) {
                child.settled.clone_from(&child.desired);
            }
        }
        self.drop_unused_migrations();
    }

    /// Limits the fill rates of all tiers above the targets of migrations to their level from before the
    /// change. A tier that no fill reached before has no such level; only the staged rollout protects it.
    fn limit_tiers_above(&mut self, now: Ms) {
        let targets: BTreeSet<NodeId> = self.rollout.migrations().map(|(id, _)| id.target).collect();
        let settled_sources = self.children.values().flat_map(|child| &child.settled);
        let reached_before = self.with_nodes_above(settled_sources.map(|source| source.node).collect());
        let reached_by_targets = self.with_nodes_above(targets.clone());
        for id in reached_by_targets.difference(&targets).filter(|id| reached_before.contains(id)) {
            self.shield.begin_change(now, *id);
        }
    }
}
