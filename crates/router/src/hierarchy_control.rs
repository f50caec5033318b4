//! Questions of the control socket that concern the hierarchy. The hierarchy judges what a change does.

use std::collections::BTreeMap;

use linnethook_hierarchy::change_spec::ChangeSpec;
use linnethook_hierarchy::hierarchy::{BudgetView, MigrationView};
use linnethook_hierarchy::HierarchyView;

use crate::control::{Answer, BudgetLine, MoveLine, Question, Shown};
use crate::hierarchy_adapter::{FillCounts, HierarchyAdapter, HierarchyError};
use crate::log::log_line;
use crate::policy_adapter::Ms;

/// Answers a question; `hierarchy` is `None` where the operator file has no `hierarchy()`.
pub fn reply(hierarchy: Option<&mut HierarchyAdapter>, now: Ms, question: Question) -> Answer {
    let Some(hierarchy) = hierarchy else {
        return Answer::No("the hierarchy is off: the operator file has no hierarchy()".to_string());
    };
    match question {
        Question::Show => Answer::Shown(Box::new(hierarchy_status(hierarchy, now))),
        Question::Nodes => Answer::Nodes(hierarchy.node_specs()),
        Question::Plan(changes) => {
            let plan = hierarchy.plan(now, &changes);
            plan.map_or_else(error_answer, |plan| Answer::Plan(Box::new(plan)))
        }
        Question::Apply(changes) => apply_changes(hierarchy, now, &changes),
        Question::Hear(batch) => {
            let applied = hierarchy.apply_journal_batch(now, &batch);
            applied.map_or_else(error_answer, |()| Answer::Done("heard".to_string()))
        }
        Question::RollBack { author, number } => roll_back(hierarchy, now, author, number),
        _ => Answer::No("a question of another part".to_string()),
    }
}

fn error_answer(error: HierarchyError) -> Answer {
    Answer::No(error.to_string())
}

fn apply_changes(hierarchy: &mut HierarchyAdapter, now: Ms, changes: &[ChangeSpec]) -> Answer {
    match hierarchy.apply(now, changes) {
        Ok(batch) => {
            log_line!(author = batch.author, number = batch.number, "hierarchy: a batch was applied");
            Answer::Applied(batch)
        }
        Err(error) => error_answer(error),
    }
}

fn roll_back(hierarchy: &mut HierarchyAdapter, now: Ms, author: u16, number: u64) -> Answer {
    match hierarchy.roll_back(now, author, number) {
        Ok(changes) => {
            log_line!(author, number, "hierarchy: a batch was rolled back");
            Answer::Done(format!("batch {author}/{number} rolled back: {changes} changes"))
        }
        Err(error) => error_answer(error),
    }
}

/// The state of the hierarchy as commands print it.
fn hierarchy_status(hierarchy: &HierarchyAdapter, now: Ms) -> Shown {
    let view = hierarchy.view(now);
    let FillCounts { queued, in_flight } = hierarchy.fill_counts();
    Shown {
        version: view.version,
        nodes: view.nodes,
        suspended: view.suspended_edges,
        held_back: view.backed_off_edges,
        waiting_batches: view.pending_batches,
        waiting_fills: queued,
        out: in_flight,
        moves: view.migrations.iter().map(|migration| migration_line(hierarchy, migration)).collect(),
        budgets: view.budgets.iter().map(|budget| budget_line(hierarchy, budget)).collect(),
        counts: shield_counts(&view),
        digest: view.digest,
    }
}

fn migration_line(hierarchy: &HierarchyAdapter, migration: &MigrationView) -> MoveLine {
    MoveLine {
        to: hierarchy.node_name(migration.target),
        author: migration.author,
        number: migration.number,
        stage: migration.stage.name().to_string(),
        part: migration.fraction,
        tries: migration.attempts,
        late_new: migration.new_failure_ratio,
        late_old: migration.old_failure_ratio,
    }
}

fn budget_line(hierarchy: &HierarchyAdapter, budget: &BudgetView) -> BudgetLine {
    BudgetLine {
        target: hierarchy.node_name(budget.target),
        per_second: budget.per_second,
        limit: budget.limit,
    }
}

/// The counters of the origin shield, by the names that commands print.
fn shield_counts(view: &HierarchyView) -> BTreeMap<String, u64> {
    let counters = &view.counters;
    let counts = [
        ("gone", counters.admitted),
        ("joined", counters.joined),
        ("waited", counters.queued),
        ("over_fetched", counters.rejected_fetch_in_progress),
        ("over_budget", counters.rejected_budget),
        ("over_queue", counters.rejected_queue_full),
        ("over_time", counters.rejected_queue_timeout),
        ("leases_lost", counters.leases_expired),
    ];
    counts.into_iter().map(|(name, count)| (name.to_string(), count)).collect()
}
