//! Queries of verified logs: which routers acted on a version, how the attempts of a write ended, and which
//! routers applied a journal event.

use std::collections::BTreeMap;

use linnethook_membership::hybrid_clock::Timestamp;
use linnethook_membership::versions::HierarchyVersion;
use linnethook_membership::Ms;
use serde::Serialize;

use super::{SpanRecord, VerifiedLogs};
use crate::record::{AuditedAction, Span, Tally, WriteAttempt, WriteOutcome};

/// A copy of a span with its router, incarnation and number.
#[derive(Debug, Clone, Serialize)]
pub struct AttributedSpan {
    /// The router.
    pub name: String,
    /// Its incarnation.
    #[serde(rename = "start")]
    pub incarnation: u64,
    /// The number of the record.
    pub number: u64,
    /// The span.
    #[serde(flatten)]
    pub span: Span,
}

/// What one router recorded of an attempt of a write.
#[derive(Debug, Clone, Serialize)]
pub struct AttemptTrace {
    /// The router.
    pub name: String,
    /// Its incarnation.
    #[serde(rename = "start")]
    pub incarnation: u64,
    /// The name of the node to which it was sent; `None` if it is unknown.
    #[serde(rename = "to")]
    pub target: Option<String>,
    /// The attempt; `None` if only its outcome is known.
    pub attempt: Option<WriteAttempt>,
    /// The outcome; `None` if it is unknown.
    #[serde(rename = "end")]
    pub outcome: Option<WriteOutcome>,
    /// The version of the hierarchy that the router acted on.
    #[serde(rename = "shape")]
    pub hierarchy_version: u64,
    /// The router's position in the journal.
    #[serde(rename = "journal")]
    pub journal_position: u64,
}

impl AttemptTrace {
    fn new(name: &str, incarnation: u64, span: &Span) -> Self {
        Self {
            name: name.to_string(),
            incarnation,
            target: None,
            attempt: None,
            outcome: None,
            hierarchy_version: span.versions.hierarchy.version,
            journal_position: span.versions.journal_position,
        }
    }

    /// When the attempt was sent; if that is unknown, when it ended.
    fn at(&self) -> Option<Timestamp> {
        let sent_at = self.attempt.as_ref().map(|attempt| attempt.at);
        sent_at.or(self.outcome.as_ref().map(|outcome| outcome.at))
    }

    fn is_of(&self, name: &str, incarnation: u64, attempt: u8) -> bool {
        let is_same_attempt = self.attempt.as_ref().is_some_and(|own| own.attempt == attempt);
        self.name == name && self.incarnation == incarnation && is_same_attempt
    }
}

/// When an incarnation first acted on a version. Serialized as an array.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(into = "(String, u64, Timestamp, Ms)")]
pub struct FirstSpan {
    /// The router.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// The hybrid clock's timestamp.
    pub at: Timestamp,
    /// The same by the router's own clock, in Unix milliseconds.
    pub wall_clock: Ms,
}

impl From<FirstSpan> for (String, u64, Timestamp, Ms) {
    fn from(first: FirstSpan) -> Self {
        (first.name, first.incarnation, first.at, first.wall_clock)
    }
}

/// A router that applied a drain or a purge of the journal. Serialized as an array.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(into = "(String, u64, Timestamp, bool)")]
pub struct JournalEventApplication {
    /// The router.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// When it first applied the event.
    pub at: Timestamp,
    /// Whether the event was received by gossip and not from the router's own journal.
    pub from_gossip: bool,
}

impl From<JournalEventApplication> for (String, u64, Timestamp, bool) {
    fn from(application: JournalEventApplication) -> Self {
        (application.name, application.incarnation, application.at, application.from_gossip)
    }
}

/// Two routers that filled by different hierarchies at the same time. Serialized as an array.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(into = "(String, String, Timestamp, Timestamp)")]
pub struct HierarchyConflict {
    /// The router with the smaller name.
    pub first: String,
    /// The other router.
    pub second: String,
    /// When the conflict began.
    pub from: Timestamp,
    /// When it ended.
    pub to: Timestamp,
}

impl From<HierarchyConflict> for (String, String, Timestamp, Timestamp) {
    fn from(conflict: HierarchyConflict) -> Self {
        (conflict.first, conflict.second, conflict.from, conflict.to)
    }
}

/// The shortest duration of a span in queries: a span without duration still covers its begin.
const SHORTEST_SPAN_MS: Ms = 1e-3;

impl VerifiedLogs {
    fn matching_spans<'a>(
        &'a self,
        matches: impl Fn(&Span) -> bool + 'a,
    ) -> impl Iterator<Item = AttributedSpan> + 'a {
        let matching = self.spans().filter(move |record| matches(record.span));
        matching.map(|SpanRecord { name, incarnation, number, span }| AttributedSpan {
            name: name.to_string(),
            incarnation,
            number,
            span: span.clone(),
        })
    }

    /// The spans in which a router acted on a version: a version or a digest of the hierarchy, or `journal:`,
    /// `build:`, `operator:` or `settings:` followed by the position, the build or a prefix of the digest.
    pub fn spans_on_version<'a>(&'a self, version: &'a str) -> impl Iterator<Item = AttributedSpan> + 'a {
        self.matching_spans(move |span| is_on_version(span, version))
    }

    /// The spans that cover a time, in Unix milliseconds by the clock of each router.
    pub fn spans_at(&self, time: Ms) -> impl Iterator<Item = AttributedSpan> + '_ {
        self.matching_spans(move |span| {
            let (from, to) = span.wall_clock;
            (from..to.max(from + SHORTEST_SPAN_MS)).contains(&time)
        })
    }

    /// The recorded attempts of a write, by time.
    pub fn attempts_of_request(&self, request_id: &str) -> Vec<AttemptTrace> {
        let mut traces = Vec::<AttemptTrace>::new();
        for SpanRecord { name, incarnation, span, .. } in self.spans() {
            let attempts = span.write_attempts.iter().filter(|attempt| attempt.request_id == request_id);
            traces.extend(attempts.map(|attempt| AttemptTrace {
                target: node_name(span, attempt.target),
                attempt: Some(attempt.clone()),
                ..AttemptTrace::new(name, incarnation, span)
            }));
            let outcomes = span.write_outcomes.iter().filter(|outcome| outcome.request_id == request_id);
            for outcome in outcomes {
                let trace = traces.iter_mut().find(|trace| trace.is_of(name, incarnation, outcome.attempt));
                let outcome = Some(outcome.clone());
                match trace {
                    Some(trace) => trace.outcome = outcome,
                    None => {
                        traces.push(AttemptTrace { outcome, ..AttemptTrace::new(name, incarnation, span) });
                    }
                }
            }
        }
        traces.sort_by_key(AttemptTrace::at);
        traces
    }

    /// When each incarnation first acted on a version, by time.
    pub fn first_spans_on_version(&self, version: &str) -> Vec<FirstSpan> {
        let mut first_spans = BTreeMap::<(String, u64), FirstSpan>::new();
        for AttributedSpan { name, incarnation, span, .. } in self.spans_on_version(version) {
            let (at, wall_clock) = (span.from, span.wall_clock.0);
            let candidate = FirstSpan { name: name.clone(), incarnation, at, wall_clock };
            let known = first_spans.entry((name, incarnation)).or_insert_with(|| candidate.clone());
            if candidate.at < known.at {
                *known = candidate;
            }
        }
        let mut first_spans: Vec<FirstSpan> = first_spans.into_values().collect();
        first_spans.sort_by_key(|first| first.at);
        first_spans
    }

    /// The spans after a time in which a router performed actions on a hierarchy with another digest.
    pub fn spans_on_other_hierarchy(&self, digest: u64, since: Timestamp) -> Vec<AttributedSpan> {
        let is_on_other = move |span: &Span| {
            span.versions.hierarchy.digest != digest && span.from > since && !span.counts.is_empty()
        };
        self.matching_spans(is_on_other).collect()
    }

    /// Which routers applied the drain or the purge at a position of the journal, by time.
    pub fn journal_event_applied(&self, position: u64) -> Vec<JournalEventApplication> {
        let mut all = Vec::new();
        for SpanRecord { name, incarnation, span, .. } in self.spans() {
            let applied = span.counts.iter().filter_map(|(action, Tally { first, .. })| {
                let from_gossip = applies_journal_event(action, position)?;
                Some(JournalEventApplication { name: name.to_string(), incarnation, at: *first, from_gossip })
            });
            all.extend(applied);
        }
        all.sort_by_key(|application| application.at);
        all
    }

    /// Pairs of routers that filled by different hierarchies at the same time, by name.
    pub fn conflicting_hierarchies(&self) -> Vec<HierarchyConflict> {
        let fills =
            |span: &Span| span.counts.iter().any(|(action, _)| matches!(action, AuditedAction::Fill { .. }));
        let spans: Vec<_> = self.spans().filter(|record| fills(record.span)).collect();
        let mut found = BTreeMap::<(String, String), (Timestamp, Timestamp)>::new();
        for (n, SpanRecord { name, span, .. }) in spans.iter().enumerate() {
            for SpanRecord { name: other_name, span: other, .. } in &spans[n + 1..] {
                let (from, to) = (span.from.max(other.from), span.to.min(other.to));
                let is_conflict =
                    span.versions.hierarchy.digest != other.versions.hierarchy.digest && from < to;
                if name == other_name || !is_conflict {
                    continue;
                }
                let pair = (name.min(other_name).to_string(), name.max(other_name).to_string());
                let known = found.entry(pair).or_insert((from, to));
                *known = (known.0.min(from), known.1.max(to));
            }
        }
        let conflict = |((first, second), (from, to))| HierarchyConflict { first, second, from, to };
        found.into_iter().map(conflict).collect()
    }
}

fn node_name(span: &Span, id: u64) -> Option<String> {
    let known = span.node_names.iter().find(|(known, _)| *known == id);
    known.map(|(_, name)| name.clone())
}

/// For an action that applies the drain or the purge at this position of the journal, whether the event was
/// received by gossip; `None` for all other actions.
fn applies_journal_event(action: &AuditedAction, position: u64) -> Option<bool> {
    match action {
        AuditedAction::Drain { journal_position, from_gossip, .. }
        | AuditedAction::Purge { journal_position, from_gossip } => {
            (*journal_position == position).then_some(*from_gossip)
        }
        _ => None,
    }
}

fn is_on_version(span: &Span, version: &str) -> bool {
    let versions = &span.versions;
    let has_prefix = |value: u64, prefix: &str| format!("{value:016x}").starts_with(prefix);
    match version.split_once(':') {
        Some(("journal", position)) => position.parse() == Ok(versions.journal_position),
        Some(("build", build)) => versions.build == build,
        Some(("operator", digest)) => has_prefix(versions.operator_digest, digest),
        Some(("settings", digest)) => has_prefix(versions.settings_digest, digest),
        Some(_) => false,
        None => {
            let HierarchyVersion { version: number, digest } = versions.hierarchy;
            version.parse() == Ok(number) || format!("{digest:016x}") == version
        }
    }
}
