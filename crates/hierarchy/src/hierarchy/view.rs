//! The state of a router's hierarchy as commands show it.

use linnethook::interface::Ms;
use serde::Serialize;

use super::Hierarchy;
use crate::origin_shield::ShieldCounters;
use crate::rollout::RolloutStage;

/// The state of a router's hierarchy, as commands show it.
#[derive(Debug, Clone, Serialize)]
pub struct HierarchyView {
    /// The timestamp of the newest batch.
    pub version: u64,
    /// The digest of the topology, in hexadecimal.
    pub digest: String,
    /// Number of nodes in the topology.
    pub nodes: usize,
    /// Number of edges suspended because they would close a cycle.
    #[serde(rename = "suspended")]
    pub suspended_edges: usize,
    /// Number of edges excluded after a detected loop.
    #[serde(rename = "held_back")]
    pub backed_off_edges: usize,
    /// Number of batches that are pending until another one is received.
    #[serde(rename = "waiting_batches")]
    pub pending_batches: usize,
    /// The migrations in the rollout; settled ones are dropped.
    #[serde(rename = "moves")]
    pub migrations: Vec<MigrationView>,
    /// The budgets of parents and origins.
    pub budgets: Vec<BudgetView>,
    /// Numbers of fills that the shield has admitted, queued and rejected.
    #[serde(rename = "counts")]
    pub counters: ShieldCounters,
}

/// A migration, as commands show it.
#[derive(Debug, Clone, Serialize)]
pub struct MigrationView {
    /// The id of the new source.
    #[serde(rename = "to")]
    pub target: u64,
    /// The author of its batch.
    pub author: u16,
    /// The number of its batch.
    pub number: u64,
    /// The current stage.
    pub stage: RolloutStage,
    /// The fraction of objects that the new source fills, from 0 to 1.
    #[serde(rename = "part")]
    pub fraction: f64,
    /// Number of rollbacks so far.
    #[serde(rename = "tries")]
    pub attempts: u32,
    /// The ratio of late or failed fills by the new source, from 0 to 1.
    #[serde(rename = "late_new")]
    pub new_failure_ratio: f64,
    /// The ratio of late or failed fills by the old sources, from 0 to 1.
    #[serde(rename = "late_old")]
    pub old_failure_ratio: f64,
}

/// The budget of a parent or origin, as commands show it.
#[derive(Debug, Clone, Serialize)]
pub struct BudgetView {
    /// The id of the parent or origin.
    pub target: u64,
    /// Fills per second that are sent to it.
    pub per_second: f64,
    /// The limit in fills per second; `None` if unlimited.
    pub limit: Option<f64>,
}

impl Hierarchy {
    /// The current state, as commands show it.
    pub fn view(&self, now: Ms) -> HierarchyView {
        let migrations = self.rollout.migrations().map(|(id, migration)| {
            let batch = id.position.batch_id();
            MigrationView {
                target: id.target.0,
                author: batch.author.0,
                number: batch.number,
                stage: migration.stage(),
                fraction: migration.fraction(now, self.rollout.config()),
                attempts: migration.rollbacks(),
                new_failure_ratio: migration.new_failure_ratio(),
                old_failure_ratio: migration.old_failure_ratio(),
            }
        });
        let budgets = self.shield.budgets(now).map(|budget| BudgetView {
            target: budget.target.0,
            per_second: budget.rate,
            limit: budget.limit.is_finite().then_some(budget.limit),
        });
        HierarchyView {
            version: self.version(),
            digest: format!("{:016x}", self.topology().digest()),
            nodes: self.topology().len(),
            suspended_edges: self.topology().suspended_edges().count(),
            backed_off_edges: self.edge_backoff.active_count(now),
            pending_batches: self.history.pending().count(),
            migrations: migrations.collect(),
            budgets: budgets.collect(),
            counters: self.shield.counters(),
        }
    }
}
