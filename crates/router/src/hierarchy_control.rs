//! Questions of the control socket that concern the hierarchy. What a change does is judged by the hierarchy.

use crate::control::{BudgetView, ControlRequest, ControlResponse, HierarchyView, MigrationView};
use crate::hierarchy_adapter::{Applied, HierarchyAdapter};
use crate::log::log_line;
use crate::policy_adapter::Ms;

/// Answers a question; `hierarchy` is `None` where the operator file has no `hierarchy()`.
pub fn reply(hierarchy: Option<&mut HierarchyAdapter>, now: Ms, question: ControlRequest) -> ControlResponse {
    let Some(hierarchy) = hierarchy else {
        return ControlResponse::Refused(
            "the hierarchy is off: the operator file has no hierarchy()".to_string(),
        );
    };
    match question {
        ControlRequest::ShowHierarchy => ControlResponse::Hierarchy(Box::new(shown(hierarchy, now))),
        ControlRequest::ListNodes => ControlResponse::Nodes(hierarchy.node_specs()),
        ControlRequest::PlanChanges(changes) => match hierarchy.plan(now, &changes) {
            Ok(plan) => ControlResponse::Plan(Box::new(plan)),
            Err(reason) => ControlResponse::Refused(reason),
        },
        ControlRequest::ApplyChanges(changes) => match hierarchy.apply(now, changes) {
            Applied::Done(batch) => {
                log_line!(author = batch.author, number = batch.number, "hierarchy: a batch was applied");
                ControlResponse::Applied(batch)
            }
            Applied::No(reason) => ControlResponse::Refused(reason),
        },
        ControlRequest::ReceiveBatch(batch) => match hierarchy.apply_journal_batch(now, &batch) {
            Ok(()) => ControlResponse::Done("heard".to_string()),
            Err(reason) => ControlResponse::Refused(reason),
        },
        ControlRequest::RollBack { author, number } => match hierarchy.roll_back(now, author, number) {
            Ok(changes) => {
                log_line!(author, number, "hierarchy: a batch was rolled back");
                ControlResponse::Done(format!("batch {author}/{number} rolled back: {changes} changes"))
            }
            Err(reason) => ControlResponse::Refused(reason),
        },
        _ => ControlResponse::Refused("a question of another part".to_string()),
    }
}

/// The hierarchy as commands print it.
fn shown(hierarchy: &HierarchyAdapter, now: Ms) -> HierarchyView {
    let view = hierarchy.view(now);
    let fills = hierarchy.fill_counts();
    let migrations = view.migrations.iter().map(|m| MigrationView {
        target: hierarchy.node_name(m.target),
        author: m.author,
        number: m.number,
        stage: m.stage.name().to_string(),
        fraction: m.fraction,
        attempts: m.attempts,
        new_failure_ratio: m.new_failure_ratio,
        old_failure_ratio: m.old_failure_ratio,
    });
    let budgets = view.budgets.iter().map(|budget| BudgetView {
        target: hierarchy.node_name(budget.target),
        per_second: budget.per_second,
        limit: budget.limit,
    });
    let counters = [
        ("gone", view.counters.admitted),
        ("joined", view.counters.joined),
        ("waited", view.counters.queued),
        ("over_fetched", view.counters.rejected_fetch_in_progress),
        ("over_budget", view.counters.rejected_budget),
        ("over_queue", view.counters.rejected_queue_full),
        ("over_time", view.counters.rejected_queue_timeout),
        ("leases_lost", view.counters.leases_expired),
    ];
    HierarchyView {
        version: view.version,
        nodes: view.nodes,
        suspended_edges: view.suspended_edges,
        backed_off_edges: view.backed_off_edges,
        pending_batches: view.pending_batches,
        queued_fills: fills.queued,
        fills_in_flight: fills.in_flight,
        migrations: migrations.collect(),
        budgets: budgets.collect(),
        counters: counters.into_iter().map(|(name, count)| (name.to_string(), count)).collect(),
        digest: view.digest,
    }
}
