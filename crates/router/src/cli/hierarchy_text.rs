//! Text output of the commands that show or change the hierarchy. Capitals mark what needs attention.

use linnethook_hierarchy::change_spec::{
    BatchSpec, NodeSpec, OriginLoadSpec, PlanSpec, SourceChangeSpec, SourceLoadSpec, SourceSpec,
};

use super::output::counters_text;
use crate::control::HierarchyView;

/// The state of the hierarchy.
pub fn hierarchy_text(view: &HierarchyView) -> String {
    let mut out = format!(
        "version {}, digest {}: {} nodes, {} edges suspended, {} in backoff, {} batches pending\n",
        view.version,
        view.digest,
        view.nodes,
        view.suspended_edges,
        view.backed_off_edges,
        view.pending_batches
    );
    out += &format!("fills: {} in flight, {} queued\n", view.fills_in_flight, view.queued_fills);
    for migration in &view.migrations {
        out += &format!(
            "migration to {} by batch {}/{}: {}, {:.0}% of the objects, \
             attempts {}, failure ratio {:.2} (old source {:.2})\n",
            migration.target,
            migration.author,
            migration.number,
            migration.stage,
            migration.fraction * 100.0,
            migration.attempts,
            migration.new_failure_ratio,
            migration.old_failure_ratio
        );
    }
    for budget in &view.budgets {
        let limit = budget.limit.map_or("no limit".to_string(), |limit| format!("limit {limit:.1}"));
        out += &format!("{}: {:.1} fills per second, {limit}\n", budget.target, budget.per_second);
    }
    out + &counters_text(&view.counters) + "\n"
}

/// One line for each node.
pub fn nodes_text(nodes: &[NodeSpec]) -> String {
    nodes.iter().map(node_line).collect()
}

fn node_line(node: &NodeSpec) -> String {
    let retiring = if node.retiring { " retiring" } else { "" };
    format!(
        "{} {} tier {} at {}{retiring}: {}\n",
        node.name,
        node.role.name(),
        node.tier,
        node.site,
        sources_text(&node.sources)
    )
}

fn sources_text(sources: &[SourceSpec]) -> String {
    if sources.is_empty() {
        return "-".to_string();
    }
    let sources = sources.iter().map(|source| format!("{}({})", source.name, source.rank));
    sources.collect::<Vec<_>>().join(" ")
}

/// The effect that changes would have.
pub fn plan_text(plan: &PlanSpec) -> String {
    let mut out = String::new();
    for (change, names) in [("add", &plan.added), ("remove", &plan.removed), ("alter", &plan.altered)] {
        out.extend(names.iter().map(|name| format!("{change} {name}\n")));
    }
    for SourceChangeSpec { node, before, after } in &plan.source_changes {
        out += &format!("reroute {node}: {} -> {}\n", sources_text(before), sources_text(after));
    }
    for cycle in &plan.cycles {
        out += &format!("CYCLE, the edge would be suspended: {}\n", cycle.join(" -> "));
    }
    if plan.resumed_edges > 0 {
        out += &format!("{} suspended edges would be resumed\n", plan.resumed_edges);
    }
    out.extend(plan.source_loads.iter().map(source_load_line));
    out + &origin_load_line(&plan.origin_load)
}

fn source_load_line(load: &SourceLoadSpec) -> String {
    let SourceLoadSpec { source, before, after, tier_mean, is_heavy } = load;
    let heavy = if *is_heavy { "HEAVY, " } else { "" };
    format!(
        "load {source}: {heavy}{before:.2} -> {after:.2} units of capacity below it per unit of its own \
         (tier mean {tier_mean:.2})\n"
    )
}

fn origin_load_line(load: &OriginLoadSpec) -> String {
    let OriginLoadSpec { current, immediate, staged } = load;
    format!(
        "origin: {current:.1} fills per second now; \
         worst-case increase {immediate:.1} if all children change at once, {staged:.1} in stages\n"
    )
}

/// A batch, and the number of routers that have applied it.
pub fn batch_text(batch: &BatchSpec, routers: usize) -> String {
    let (author, number, changes) = (batch.author, batch.number, batch.changes.len());
    let routers = if routers == 1 { String::new() } else { format!(" at {routers} routers") };
    format!(
        "batch {author}/{number}: {changes} changes applied{routers}; \
         to undo it: rollback {author} {number}\n"
    )
}
