//! Control socket requests about the hierarchy, which itself validates the changes.

use std::collections::BTreeMap;

use linnethook_hierarchy::change_spec::ChangeSpec;
use linnethook_hierarchy::hierarchy;

use crate::control::{BudgetView, ControlRequest, ControlResponse, HierarchyView, MigrationView};
use crate::hierarchy_adapter::{FillCounts, HierarchyAdapter, HierarchyError};
use crate::log::log_line;
use crate::policy_adapter::Ms;

/// Handles a request; `hierarchy` is `None` if the operator file has no `hierarchy()`.
pub fn reply(hierarchy: Option<&mut HierarchyAdapter>, now: Ms, request: ControlRequest) -> ControlResponse {
    let Some(hierarchy) = hierarchy else {
        return ControlResponse::Refused(
            "the hierarchy is not enabled: the operator file has no hierarchy()".to_string(),
        );
    };
    match request {
        ControlRequest::ShowHierarchy => ControlResponse::Hierarchy(Box::new(hierarchy_view(hierarchy, now))),
        ControlRequest::ListNodes => ControlResponse::Nodes(hierarchy.node_specs()),
        ControlRequest::PlanChanges(changes) => {
            let plan = hierarchy.plan(now, &changes);
            plan.map_or_else(rejection, |plan| ControlResponse::Plan(Box::new(plan)))
        }
        ControlRequest::ApplyChanges(changes) => apply_changes(hierarchy, now, &changes),
        ControlRequest::ReceiveBatch(batch) => {
            let applied = hierarchy.apply_journal_batch(now, &batch);
            applied.map_or_else(rejection, |()| ControlResponse::Done("batch received".to_string()))
        }
        ControlRequest::RollBack { author, number } => roll_back(hierarchy, now, author, number),
        _ => ControlResponse::Refused("not a request about the hierarchy".to_string()),
    }
}

fn rejection(error: HierarchyError) -> ControlResponse {
    ControlResponse::Refused(error.to_string())
}

fn apply_changes(hierarchy: &mut HierarchyAdapter, now: Ms, changes: &[ChangeSpec]) -> ControlResponse {
    match hierarchy.apply(now, changes) {
        Ok(batch) => {
            log_line!(author = batch.author, number = batch.number, "hierarchy: a batch was applied");
            ControlResponse::Applied(batch)
        }
        Err(error) => rejection(error),
    }
}

fn roll_back(hierarchy: &mut HierarchyAdapter, now: Ms, author: u16, number: u64) -> ControlResponse {
    match hierarchy.roll_back(now, author, number) {
        Ok(changes) => {
            log_line!(author, number, "hierarchy: a batch was rolled back");
            ControlResponse::Done(format!("batch {author}/{number} rolled back: {changes} changes"))
        }
        Err(error) => rejection(error),
    }
}

/// The state of the hierarchy, as commands print it.
fn hierarchy_view(hierarchy: &HierarchyAdapter, now: Ms) -> HierarchyView {
    let view = hierarchy.view(now);
    let FillCounts { queued, in_flight } = hierarchy.fill_counts();
    let migrations = view.migrations.iter().map(|migration| migration_view(hierarchy, migration));
    let budgets = view.budgets.iter().map(|budget| budget_view(hierarchy, budget));
    HierarchyView {
        version: view.version,
        nodes: view.nodes,
        suspended_edges: view.suspended_edges,
        backed_off_edges: view.backed_off_edges,
        pending_batches: view.pending_batches,
        queued_fills: queued,
        fills_in_flight: in_flight,
        migrations: migrations.collect(),
        budgets: budgets.collect(),
        counters: shield_counters(&view),
        digest: view.digest,
    }
}

fn migration_view(hierarchy: &HierarchyAdapter, migration: &hierarchy::MigrationView) -> MigrationView {
    MigrationView {
        target: hierarchy.node_name(migration.target),
        author: migration.author,
        number: migration.number,
        stage: migration.stage.name().to_string(),
        fraction: migration.fraction,
        attempts: migration.attempts,
        new_failure_ratio: migration.new_failure_ratio,
        old_failure_ratio: migration.old_failure_ratio,
    }
}

fn budget_view(hierarchy: &HierarchyAdapter, budget: &hierarchy::BudgetView) -> BudgetView {
    BudgetView {
        target: hierarchy.node_name(budget.target),
        per_second: budget.per_second,
        limit: budget.limit,
    }
}

/// The counters of the origin shield, under the names that commands print.
fn shield_counters(view: &hierarchy::HierarchyView) -> BTreeMap<String, u64> {
    let counters = &view.counters;
    let named = [
        ("gone", counters.admitted),
        ("joined", counters.joined),
        ("waited", counters.queued),
        ("over_fetched", counters.rejected_fetch_in_progress),
        ("over_budget", counters.rejected_budget),
        ("over_queue", counters.rejected_queue_full),
        ("over_time", counters.rejected_queue_timeout),
        ("leases_lost", counters.leases_expired),
    ];
    named.into_iter().map(|(name, count)| (name.to_string(), count)).collect()
}
