//! What follows from audit logs alone: whether their chains hold, what is missing, and who acted on what.
//!
//! Nothing is guessed: what no record covers is a gap, with its bounds.

use std::collections::{BTreeMap, BTreeSet};

use linnethook_membership::hybrid_clock::Timestamp;
use linnethook_membership::versions::HierarchyVersion;
use linnethook_membership::Ms;
use serde::Serialize;

use crate::record::{AuditedAction, ChainLink, Record, RecordHash, Span, Tally, WriteAttempt, WriteOutcome};

/// Something that is missing from a log or contradicts it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Finding {
    /// No record covers what the router did after a record.
    Gap {
        /// The router.
        name: String,
        /// Its incarnation.
        #[serde(rename = "start")]
        incarnation: u64,
        /// The last record before the gap; 0 where the log lacks its begin.
        after: u64,
        /// From when on; `None` where that is unknown.
        from: Option<Timestamp>,
        /// Up to when, at the latest up to the next incarnation; `None` where that is unknown.
        to: Option<Timestamp>,
    },
    /// Two records have one place: two logs of one incarnation, or one that was rewritten.
    Fork {
        /// The router.
        name: String,
        /// Its incarnation.
        #[serde(rename = "start")]
        incarnation: u64,
        /// The place.
        number: u64,
    },
    /// A record does not follow from the one before it.
    Broken {
        /// The router.
        name: String,
        /// Its incarnation.
        #[serde(rename = "start")]
        incarnation: u64,
        /// The record.
        number: u64,
    },
    /// A record is of a version that this build cannot read.
    Unreadable {
        /// The router.
        name: String,
        /// Its incarnation.
        #[serde(rename = "start")]
        incarnation: u64,
        /// The record.
        number: u64,
    },
}

/// The log of one incarnation of one router, as far as it is known.
#[derive(Debug, Clone, Default)]
pub struct VerifiedLog {
    /// By number; of two records at one place the one that the next record follows.
    links: BTreeMap<u64, (RecordHash, Record)>,
    /// Whether the router shut down gracefully.
    pub is_closed: bool,
    /// Up to when records cover what the router did.
    pub known_until: Timestamp,
    /// When the router started, also by its own clock; `None` where that record is missing.
    pub started: Option<(Timestamp, Ms)>,
}

impl VerifiedLog {
    fn insert(&mut self, number: u64, hash: RecordHash, record: Record) {
        match &record {
            Record::Started { at, wall_clock } => self.started = Some((*at, *wall_clock)),
            Record::Closed { .. } => self.is_closed = true,
            Record::Span(_) => {}
        }
        self.known_until = self.known_until.max(record.covered_until());
        self.links.insert(number, (hash, record));
    }

    /// From when on the log covers what the router did.
    fn known_from(&self) -> Option<Timestamp> {
        let (_, first) = self.links.values().next()?;
        Some(match first {
            Record::Started { at, .. } | Record::Closed { at } => *at,
            Record::Span(span) => span.from,
        })
    }

    /// The gaps of the log, given the begin of the router's next incarnation.
    fn gaps(&self, next_incarnation: Option<Timestamp>) -> Vec<GapBounds> {
        let mut gaps = Vec::new();
        let mut last_number = 0;
        let mut known_until = None;
        for (number, (_, record)) in &self.links {
            if *number != last_number + 1 {
                let to = if let Record::Span(span) = record { Some(span.from) } else { None };
                gaps.push(GapBounds { after: last_number, from: known_until, to });
            }
            last_number = *number;
            known_until = Some(record.covered_until());
        }
        if !self.is_closed {
            gaps.push(GapBounds { after: last_number, from: known_until, to: next_incarnation });
        }
        gaps
    }
}

struct GapBounds {
    after: u64,
    from: Option<Timestamp>,
    to: Option<Timestamp>,
}

/// All logs that some routers kept, with what was found in them.
#[derive(Debug, Clone, Default)]
pub struct VerifiedLogs {
    /// By name and incarnation.
    logs: BTreeMap<(String, u64), VerifiedLog>,
    /// What is missing or contradictory, in order.
    pub findings: Vec<Finding>,
}

/// A span with its place.
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

/// What one router recorded of an attempt of a non-idempotent request.
#[derive(Debug, Clone, Serialize)]
pub struct AttemptTrace {
    /// The router.
    pub name: String,
    /// Its incarnation.
    #[serde(rename = "start")]
    pub incarnation: u64,
    /// The name of the node that it was sent to, where it is known.
    #[serde(rename = "to")]
    pub target: Option<String>,
    /// The attempt; `None` where only its outcome is known.
    pub attempt: Option<WriteAttempt>,
    /// The outcome; `None` where it is not known.
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

    /// When the attempt was sent, or else when it ended.
    fn at(&self) -> Option<Timestamp> {
        let sent_at = self.attempt.as_ref().map(|attempt| attempt.at);
        sent_at.or(self.outcome.as_ref().map(|outcome| outcome.at))
    }

    fn is_of(&self, name: &str, incarnation: u64, attempt: u8) -> bool {
        let is_same_attempt = self.attempt.as_ref().is_some_and(|own| own.attempt == attempt);
        self.name == name && self.incarnation == incarnation && is_same_attempt
    }
}

impl VerifiedLogs {
    /// Verifies links, from whatever sources and in any order.
    pub fn new(links: impl IntoIterator<Item = ChainLink>) -> Self {
        let mut by_log = BTreeMap::<(String, u64), BTreeMap<u64, Vec<ChainLink>>>::new();
        for link in links {
            let log = by_log.entry((link.name.clone(), link.incarnation)).or_default();
            let candidates = log.entry(link.number).or_default();
            if !candidates.contains(&link) {
                candidates.push(link);
            }
        }
        let mut verified = Self::default();
        for ((name, incarnation), links) in by_log {
            let log = verified.verify_chain(&name, incarnation, &links);
            verified.logs.insert((name, incarnation), log);
        }
        verified.find_gaps();
        verified.findings.sort();
        verified.findings.dedup();
        verified
    }

    /// Verifies the chain of one log, given the candidates for each place.
    fn verify_chain(
        &mut self,
        name: &str,
        incarnation: u64,
        links: &BTreeMap<u64, Vec<ChainLink>>,
    ) -> VerifiedLog {
        let mut log = VerifiedLog::default();
        for (number, candidates) in links {
            let (name, number) = (name.to_string(), *number);
            if candidates.len() > 1 {
                self.findings.push(Finding::Fork { name: name.clone(), incarnation, number });
            }
            let previous_hash = log.links.get(&(number - 1)).map(|(hash, _)| *hash);
            let following = links.get(&(number + 1));
            let Some(link) = select_link(candidates, previous_hash, following) else {
                self.findings.push(Finding::Broken { name, incarnation, number });
                continue;
            };
            let Some(record) = link.decode_record() else {
                self.findings.push(Finding::Unreadable { name, incarnation, number });
                continue;
            };
            log.insert(number, link.hash(), record);
        }
        log
    }

    /// Finds what is missing: within each log, before it, and after it where the router did not shut down gracefully.
    fn find_gaps(&mut self) {
        let mut logs = self.logs.iter().peekable();
        while let Some(((name, incarnation), log)) = logs.next() {
            let next = logs.peek().filter(|((next_name, _), _)| next_name == name);
            let next_incarnation = next.and_then(|(_, log)| log.started).map(|(at, _)| at);
            let gaps = log.gaps(next_incarnation).into_iter().map(|GapBounds { after, from, to }| {
                Finding::Gap { name: name.clone(), incarnation: *incarnation, after, from, to }
            });
            self.findings.extend(gaps);
        }
    }

    /// From when on anything is known of each router. Of what it did before, nothing follows.
    pub fn earliest_known(&self) -> BTreeMap<&str, Timestamp> {
        let mut earliest = BTreeMap::new();
        for ((name, _), log) in &self.logs {
            if let Some(known_from) = log.known_from() {
                let known = earliest.entry(name.as_str()).or_insert(known_from);
                *known = known_from.min(*known);
            }
        }
        earliest
    }

    /// All logs, by name and incarnation.
    pub fn incarnations(&self) -> impl Iterator<Item = (&(String, u64), &VerifiedLog)> {
        self.logs.iter()
    }

    /// All spans: the router, its incarnation, the number of the record, and the span.
    pub fn spans(&self) -> impl Iterator<Item = (&str, u64, u64, &Span)> {
        self.logs.iter().flat_map(|((name, incarnation), log)| {
            log.links.iter().filter_map(move |(number, (_, record))| match record {
                Record::Span(span) => Some((name.as_str(), *incarnation, *number, &**span)),
                _ => None,
            })
        })
    }

    fn matching_spans<'a>(
        &'a self,
        matches: impl Fn(&Span) -> bool + 'a,
    ) -> impl Iterator<Item = AttributedSpan> + 'a {
        let matching = self.spans().filter(move |(.., span)| matches(span));
        matching.map(|(name, incarnation, number, span)| AttributedSpan {
            name: name.to_string(),
            incarnation,
            number,
            span: span.clone(),
        })
    }

    /// The spans in which a router acted on a version: a version or a digest of the hierarchy, or `journal:`, `build:`,
    /// `operator:` or `settings:` followed by the position, the build or the begin of the digest.
    pub fn spans_on_version<'a>(&'a self, version: &'a str) -> impl Iterator<Item = AttributedSpan> + 'a {
        self.matching_spans(move |span| is_on_version(span, version))
    }

    /// The spans at a time, in Unix milliseconds by the clock of each router.
    pub fn spans_at(&self, time: Ms) -> impl Iterator<Item = AttributedSpan> + '_ {
        self.matching_spans(move |span| {
            let (from, to) = span.wall_clock;
            (from..to.max(from + SHORTEST_SPAN_MS)).contains(&time)
        })
    }

    /// All that is known of the attempts of a non-idempotent request, by time.
    pub fn attempts_of_request(&self, request_id: &str) -> Vec<AttemptTrace> {
        let mut traces = Vec::<AttemptTrace>::new();
        for (name, incarnation, _, span) in self.spans() {
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

    /// When each incarnation first acted on a version: its name and number, the time that orders events, and its own
    /// clock.
    pub fn first_spans_on_version(&self, version: &str) -> Vec<(String, u64, Timestamp, Ms)> {
        let mut first = BTreeMap::<(String, u64), (Timestamp, Ms)>::new();
        for AttributedSpan { name, incarnation, span, .. } in self.spans_on_version(version) {
            let at = (span.from, span.wall_clock.0);
            let known = first.entry((name, incarnation)).or_insert(at);
            if at.0 < known.0 {
                *known = at;
            }
        }
        let flatten = |((name, incarnation), (at, clock))| (name, incarnation, at, clock);
        let mut all: Vec<(String, u64, Timestamp, Ms)> = first.into_iter().map(flatten).collect();
        all.sort_by_key(|(.., at, _)| *at);
        all
    }

    /// The spans after that time in which a router did something on a hierarchy of another digest.
    pub fn spans_on_other_hierarchy(&self, digest: u64, since: Timestamp) -> Vec<AttributedSpan> {
        let is_behind = move |span: &Span| {
            span.versions.hierarchy.digest != digest && span.from > since && !span.counts.is_empty()
        };
        self.matching_spans(is_behind).collect()
    }

    /// Which routers applied the drain or the purge at a position of the journal: the router, its incarnation, when
    /// first, and whether the news came from gossip.
    pub fn journal_event_applied(&self, position: u64) -> Vec<(String, u64, Timestamp, bool)> {
        let mut all = Vec::new();
        for (name, incarnation, _, span) in self.spans() {
            let applied = span.counts.iter().filter_map(|(action, Tally { first, .. })| {
                let from_gossip = applies_journal_event(action, position)?;
                Some((name.to_string(), incarnation, *first, from_gossip))
            });
            all.extend(applied);
        }
        all.sort_by_key(|(.., at, _)| *at);
        all
    }

    /// Pairs of routers that filled by two hierarchies at once: their names, and from when to when.
    pub fn conflicting_hierarchies(&self) -> Vec<(String, String, Timestamp, Timestamp)> {
        let fills =
            |span: &Span| span.counts.iter().any(|(action, _)| matches!(action, AuditedAction::Fill { .. }));
        let spans: Vec<_> = self.spans().filter(|(.., span)| fills(span)).collect();
        let mut found = BTreeMap::<(String, String), (Timestamp, Timestamp)>::new();
        for (n, (name, _, _, span)) in spans.iter().enumerate() {
            for (other_name, _, _, other) in &spans[n + 1..] {
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
        found.into_iter().map(|((a, b), (from, to))| (a, b, from, to)).collect()
    }
}

/// A span without duration still covers its begin.
const SHORTEST_SPAN_MS: Ms = 1e-3;

/// Of the candidates for a place that follow from the record before it, the one that a following record follows; of
/// several the one with the smallest hash.
fn select_link<'a>(
    candidates: &'a [ChainLink],
    previous_hash: Option<RecordHash>,
    following: Option<&Vec<ChainLink>>,
) -> Option<&'a ChainLink> {
    let referenced: BTreeSet<RecordHash> =
        following.into_iter().flatten().map(|link| link.previous_hash).collect();
    let follows = |link: &&ChainLink| previous_hash.is_none_or(|hash| link.previous_hash == hash);
    let rank = |link: &&ChainLink| {
        let hash = link.hash();
        (!referenced.contains(&hash), hash)
    };
    candidates.iter().filter(follows).min_by_key(rank)
}

fn node_name(span: &Span, id: u64) -> Option<String> {
    let known = span.node_names.iter().find(|(known, _)| *known == id);
    known.map(|(_, name)| name.clone())
}

/// Whether an action applies the drain or the purge at that position of the journal: then whether it came from gossip.
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
    let is_digest = |value: u64, begin: &str| format!("{value:016x}").starts_with(begin);
    match version.split_once(':') {
        Some(("journal", position)) => position.parse() == Ok(versions.journal_position),
        Some(("build", build)) => versions.build == build,
        Some(("operator", digest)) => is_digest(versions.operator_digest, digest),
        Some(("settings", digest)) => is_digest(versions.settings_digest, digest),
        Some(_) => false,
        None => {
            let HierarchyVersion { version: number, digest } = versions.hierarchy;
            version.parse() == Ok(number) || format!("{digest:016x}") == version
        }
    }
}
