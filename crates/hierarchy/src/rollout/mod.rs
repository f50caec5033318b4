//! Migrates children to a new source in stages: planned, announced, warming, settled, or rolled back.
//!
//! The fraction of objects that a new source fills depends only on the effective time of the batch, so that
//! all routers agree on it until the first pause, rollback or retry, which each router decides by its own
//! observations. Objects are selected by a hash that is the same at all routers, and the objects of a smaller
//! fraction are a subset of those of any larger one.

use std::collections::BTreeMap;

use linnethook::interface::Ms;

use crate::node::NodeId;
use crate::version::BatchId;

mod config;
mod migration;
mod stage;

pub use self::config::RolloutConfig;
use self::migration::Conditions;
pub use self::migration::{Migration, MigrationId};
pub use self::stage::{RollbackReason, RolloutStage};

/// A stage that a migration has entered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StageTransition {
    /// The migration.
    pub migration: MigrationId,
    /// The stage that it has entered.
    pub stage: RolloutStage,
    /// Whether it was rolled back and is not retried.
    pub is_final: bool,
}

/// The migrations in progress, planned, rolled back, or settled and not dropped yet.
#[derive(Debug, Clone, Default)]
pub struct Rollout {
    config: RolloutConfig,
    migrations: BTreeMap<MigrationId, Migration>,
}

impl Rollout {
    /// A rollout without migrations.
    pub fn new(config: RolloutConfig) -> Self {
        Self { config, migrations: BTreeMap::new() }
    }

    /// The settings of the rollout.
    pub fn config(&self) -> &RolloutConfig {
        &self.config
    }

    /// A migration; `None` if it is unknown or was dropped.
    pub fn migration(&self, id: MigrationId) -> Option<&Migration> {
        self.migrations.get(&id)
    }

    /// All migrations, in order of their targets.
    pub fn migrations(&self) -> impl Iterator<Item = (MigrationId, &Migration)> {
        self.migrations.iter().map(|(id, migration)| (*id, migration))
    }

    /// Whether a migration is announced or warming.
    pub fn is_in_progress(&self) -> bool {
        self.migrations.values().any(Migration::is_in_progress)
    }

    /// The fraction of objects that the target of a migration fills now; 1 if there is no such migration.
    pub fn fraction(&self, now: Ms, id: MigrationId) -> f64 {
        self.migrations.get(&id).map_or(1.0, |migration| migration.fraction(now, &self.config))
    }

    /// Starts a migration by a batch that takes effect at `effective_at`, to a target that started at
    /// `target_started` (0 if unknown). A migration that exists already is left unchanged.
    pub fn start(&mut self, now: Ms, id: MigrationId, effective_at: Ms, target_started: Ms) {
        let config = &self.config;
        self.migrations
            .entry(id)
            .or_insert_with(|| Migration::new(now, effective_at, target_started, config));
    }

    /// Drops all migrations for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(MigrationId) -> bool) {
        self.migrations.retain(|id, _| keep(*id));
    }

    /// Records whether children have no old source as a fallback. Without a fallback, failures cause no
    /// rollback, and after a rollback for another reason the new source still fills all objects.
    pub fn set_has_no_fallback(&mut self, id: MigrationId, has_no_fallback: bool) {
        if let Some(migration) = self.migrations.get_mut(&id) {
            migration.set_has_no_fallback(has_no_fallback);
        }
    }

    /// Records the end of a fill from `source`: as a fill by the new source if `id` names a migration of the
    /// child, and otherwise as a fill by an old source for all migrations to other targets.
    pub fn record_fill(&mut self, id: Option<MigrationId>, source: NodeId, is_failure: bool) {
        let failure = f64::from(u8::from(is_failure));
        if let Some(migration) = id.and_then(|id| self.migrations.get_mut(&id)) {
            migration.record_new(failure, &self.config);
            return;
        }
        for (_, migration) in self.migrations.iter_mut().filter(|(id, _)| id.target != source) {
            migration.record_old(failure, &self.config);
        }
    }

    /// Records that a node has restarted with an empty cache.
    pub fn source_restarted(&mut self, node: NodeId, at: Ms) {
        for (_, migration) in self.migrations.iter_mut().filter(|(id, _)| id.target == node) {
            migration.target_restarted(at);
        }
    }

    /// Rolls back all migrations to a node that is draining, was removed or has failed.
    pub fn source_lost(&mut self, now: Ms, node: NodeId) -> Vec<StageTransition> {
        self.roll_back_where(now, RollbackReason::SourceLost, |id| id.target == node)
    }

    /// Rolls back all migrations of a batch, without a retry.
    pub fn roll_back_batch(&mut self, now: Ms, batch: BatchId) -> Vec<StageTransition> {
        self.roll_back_where(now, RollbackReason::Requested, |id| id.position.batch_id() == batch)
    }

    fn roll_back_where(
        &mut self,
        now: Ms,
        reason: RollbackReason,
        is_affected: impl Fn(MigrationId) -> bool,
    ) -> Vec<StageTransition> {
        let config = &self.config;
        let mut transitions = Vec::new();
        for (id, migration) in self.migrations.iter_mut().filter(|(id, _)| is_affected(**id)) {
            if migration.roll_back(now, reason, config) {
                transitions.push(transition(*id, migration, config));
            }
        }
        transitions
    }

    /// Advances migrations to their next stages. Ramps pause while the tiers above are constrained.
    pub fn tick(
        &mut self,
        now: Ms,
        is_constrained: bool,
        is_ready: impl Fn(NodeId) -> bool,
    ) -> Vec<StageTransition> {
        let config = &self.config;
        let mut transitions = Vec::new();
        for (id, migration) in &mut self.migrations {
            let conditions = Conditions { is_constrained, is_target_ready: is_ready(id.target) };
            if migration.tick(now, conditions, config) {
                transitions.push(transition(*id, migration, config));
            }
        }
        transitions
    }

    /// When the next transition that depends only on time is due, in milliseconds of Unix time.
    pub fn next_deadline(&self) -> Option<Ms> {
        let deadlines =
            self.migrations.values().filter_map(|migration| migration.next_deadline(&self.config));
        deadlines.reduce(f64::min)
    }
}

fn transition(id: MigrationId, migration: &Migration, config: &RolloutConfig) -> StageTransition {
    StageTransition { migration: id, stage: migration.stage(), is_final: migration.is_abandoned(config) }
}
