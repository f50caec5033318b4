//! Text output of the commands that query audit logs. Capitals mark what needs attention.

use linnethook_audit::record::{AuditedAction, Span};
use linnethook_audit::verification::{
    AttemptTrace, AttributedSpan, Finding, FirstSpan, HierarchyConflict, JournalEventApplication,
    VerifiedLogs,
};
use linnethook_membership::hybrid_clock::Timestamp;

/// The names of the rollout stages, in the order of their numbers.
const STAGE_NAMES: [&str; 5] = ["planned", "announced", "warming", "settled", "rolled back"];

/// A span, with the actions of the router.
pub fn span_line(attributed: &AttributedSpan) -> String {
    let span = &attributed.span;
    let actions =
        span.counts.iter().map(|(action, tally)| format!("{} {}", tally.count, action_text(span, action)));
    let actions = actions.collect::<Vec<_>>().join(", ");
    let actions = if actions.is_empty() { "nothing" } else { &actions };
    format!(
        "{} (incarnation {}) {} to {}, local clock {:.0} to {:.0}: \
         hierarchy {} ({:016x}), journal {}, build {}: {actions}\n",
        attributed.name,
        attributed.incarnation,
        span.from,
        span.to,
        span.wall_clock.0,
        span.wall_clock.1,
        span.versions.hierarchy.version,
        span.versions.hierarchy.digest,
        span.versions.journal_position,
        span.versions.build
    )
}

fn action_text(span: &Span, action: &AuditedAction) -> String {
    let name = |id: &u64| node_name(span, *id);
    match action {
        AuditedAction::Attempt { target } => format!("attempts to {}", name(target)),
        AuditedAction::Fill { child, source } => format!("fills {} from {}", name(child), name(source)),
        AuditedAction::WriteAttempt { target } => format!("writes to {}", name(target)),
        AuditedAction::Refused => "rejections".to_string(),
        AuditedAction::Failed => "failures".to_string(),
        AuditedAction::RolloutStage { target, stage } => {
            let stage = STAGE_NAMES.get(usize::from(*stage)).unwrap_or(&"?");
            format!("to {}: {stage}", name(target))
        }
        AuditedAction::Drain { cache, journal_position, from_gossip } => {
            format!("{} drained ({journal_position}{})", name(cache), gossip_suffix(*from_gossip))
        }
        AuditedAction::CacheRestored { cache, journal_position, from_gossip } => {
            format!("{} restored ({journal_position}{})", name(cache), gossip_suffix(*from_gossip))
        }
        AuditedAction::Purge { journal_position, from_gossip } => {
            format!("purge ({journal_position}{})", gossip_suffix(*from_gossip))
        }
        AuditedAction::Batch { author, number, from_gossip } => {
            format!("batch {author}/{number}{}", if *from_gossip { " (from peers)" } else { "" })
        }
        AuditedAction::RejectedAsStraggler => "not executed as a straggler".to_string(),
    }
}

fn gossip_suffix(from_gossip: bool) -> &'static str {
    if from_gossip {
        ", from peers"
    } else {
        ""
    }
}

fn node_name(span: &Span, id: u64) -> String {
    let known = span.node_names.iter().find(|(known, _)| *known == id);
    known.map_or_else(|| unnamed_node(id), |(_, name)| name.clone())
}

fn unnamed_node(id: u64) -> String {
    format!("#{id:016x}")
}

/// An attempt of a request, with its outcome.
pub fn attempt_line(trace: &AttemptTrace) -> String {
    let sent = trace.attempt.as_ref().map_or("attempt unknown".to_string(), |attempt| {
        let target = trace.target.clone().unwrap_or_else(|| unnamed_node(attempt.target));
        format!("attempt {} to {target} at {}", attempt.attempt, attempt.at)
    });
    let outcome = trace.outcome.as_ref();
    let outcome = outcome
        .map_or("outcome unknown".to_string(), |outcome| format!("{} at {}", outcome.outcome, outcome.at));
    format!(
        "{} (incarnation {}), hierarchy {}, journal {}: {sent}; {outcome}\n",
        trace.name, trace.incarnation, trace.hierarchy_version, trace.journal_position
    )
}

/// When each router first acted on a version.
pub fn first_span_lines(first_spans: &[FirstSpan]) -> String {
    let first_ms = first_spans.first().map_or(0, |first| first.at.ms);
    let line = |FirstSpan { name, incarnation, at, wall_clock }: &FirstSpan| {
        let delay_ms = at.ms - first_ms;
        format!(
            "{name} (incarnation {incarnation}) from {at}, {delay_ms} ms after the first; \
             local clock {wall_clock:.0}\n"
        )
    };
    first_spans.iter().map(line).collect()
}

/// A span on another version, after all routers had acted on the expected one.
pub fn later_span_line(attributed: &AttributedSpan) -> String {
    let span = &attributed.span;
    let version = span.versions.hierarchy.version;
    format!("{} acted on version {version} from {} to {}\n", attributed.name, span.from, span.to)
}

/// When a router applied an event of the journal.
pub fn applied_line(application: &JournalEventApplication) -> String {
    let JournalEventApplication { name, incarnation, at, from_gossip } = application;
    let source = if *from_gossip { "reported by peers" } else { "from its journal" };
    format!("{name} (incarnation {incarnation}) at {at}, {source}\n")
}

/// Two routers that filled with different hierarchies at the same time.
pub fn conflict_line(conflict: &HierarchyConflict) -> String {
    let HierarchyConflict { first, second, from, to } = conflict;
    format!("{first} and {second} filled with different hierarchies between {from} and {to}\n")
}

/// The result of the verification, and since when each router is covered by the logs.
pub fn verification_text(logs: &VerifiedLogs, count: usize) -> String {
    let mut text = match logs.findings.is_empty() {
        true => format!("{count} logs, complete and consistent\n"),
        false => finding_lines(logs),
    };
    let earliest = logs.earliest_known();
    text.extend(earliest.iter().map(|(name, at)| format!("{name}: known from {at} on\n")));
    text
}

/// The findings of the verification, one line each.
pub fn finding_lines(logs: &VerifiedLogs) -> String {
    logs.findings.iter().map(finding_line).collect()
}

fn finding_line(finding: &Finding) -> String {
    match finding {
        Finding::Gap { name, incarnation, after, from, to } => format!(
            "{name} (incarnation {incarnation}): MISSING after record {after}, from {} to {}\n",
            time_text(*from),
            time_text(*to)
        ),
        Finding::Fork { name, incarnation, number } => {
            format!("{name} (incarnation {incarnation}): TWO LOGS from record {number} on\n")
        }
        Finding::Broken { name, incarnation, number } => {
            format!(
                "{name} (incarnation {incarnation}): record {number} DOES NOT FOLLOW from the one \
                 before it\n"
            )
        }
        Finding::Unreadable { name, incarnation, number } => {
            format!("{name} (incarnation {incarnation}): record {number} can't be read by this build\n")
        }
    }
}

fn time_text(time: Option<Timestamp>) -> String {
    time.map_or("an unknown time".to_string(), |time| time.to_string())
}
