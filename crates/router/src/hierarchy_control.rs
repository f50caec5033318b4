//! Questions of the control socket that concern the hierarchy. What a change does is judged by the hierarchy.

use crate::control::{Answer, BudgetLine, MoveLine, Question, Shown};
use crate::hierarchy_adapter::{Applied, HierarchyAdapter};
use crate::log::log_line;
use crate::policy_adapter::Ms;

/// Answers a question; `hierarchy` is `None` where the operator file has no `hierarchy()`.
pub fn reply(hierarchy: Option<&mut HierarchyAdapter>, now: Ms, question: Question) -> Answer {
    let Some(hierarchy) = hierarchy else {
        return Answer::No("the hierarchy is off: the operator file has no hierarchy()".to_string());
    };
    match question {
        Question::Show => Answer::Shown(Box::new(shown(hierarchy, now))),
        Question::Nodes => Answer::Nodes(hierarchy.node_specs()),
        Question::Plan(changes) => match hierarchy.plan(now, &changes) {
            Ok(plan) => Answer::Plan(Box::new(plan)),
            Err(reason) => Answer::No(reason),
        },
        Question::Apply(changes) => match hierarchy.apply(now, changes) {
            Applied::Done(batch) => {
                log_line!(author = batch.author, number = batch.number, "hierarchy: a batch was applied");
                Answer::Applied(batch)
            }
            Applied::No(reason) => Answer::No(reason),
        },
        Question::Hear(batch) => match hierarchy.apply_journal_batch(now, &batch) {
            Ok(()) => Answer::Done("heard".to_string()),
            Err(reason) => Answer::No(reason),
        },
        Question::RollBack { author, number } => match hierarchy.roll_back(now, author, number) {
            Ok(changes) => {
                log_line!(author, number, "hierarchy: a batch was rolled back");
                Answer::Done(format!("batch {author}/{number} rolled back: {changes} changes"))
            }
            Err(reason) => Answer::No(reason),
        },
        _ => Answer::No("a question of another part".to_string()),
    }
}

/// The hierarchy as commands print it.
fn shown(hierarchy: &HierarchyAdapter, now: Ms) -> Shown {
    let view = hierarchy.view(now);
    let fills = hierarchy.fill_counts();
    let moves = view.migrations.iter().map(|m| MoveLine {
        to: hierarchy.node_name(m.target),
        author: m.author,
        number: m.number,
        stage: m.stage.name().to_string(),
        part: m.fraction,
        tries: m.attempts,
        late_new: m.new_failure_ratio,
        late_old: m.old_failure_ratio,
    });
    let budgets = view.budgets.iter().map(|budget| BudgetLine {
        target: hierarchy.node_name(budget.target),
        per_second: budget.per_second,
        limit: budget.limit,
    });
    let counts = [
        ("gone", view.counters.admitted),
        ("joined", view.counters.joined),
        ("waited", view.counters.queued),
        ("over_fetched", view.counters.rejected_fetch_in_progress),
        ("over_budget", view.counters.rejected_budget),
        ("over_queue", view.counters.rejected_queue_full),
        ("over_time", view.counters.rejected_queue_timeout),
        ("leases_lost", view.counters.leases_expired),
    ];
    Shown {
        version: view.version,
        nodes: view.nodes,
        suspended: view.suspended_edges,
        held_back: view.backed_off_edges,
        waiting_batches: view.pending_batches,
        waiting_fills: fills.queued,
        out: fills.in_flight,
        moves: moves.collect(),
        budgets: budgets.collect(),
        counts: counts.into_iter().map(|(name, count)| (name.to_string(), count)).collect(),
        digest: view.digest,
    }
}
