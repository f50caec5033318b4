//! Owns what follows from accounts alone: whether they hold together, what is missing, and who acted on what.
//!
//! Must never fill a gap by guess: what no link tells is a gap, with its bounds.

use std::collections::{BTreeMap, BTreeSet};

use linnethook_membership::hybrid_clock::Timestamp;
use linnethook_membership::Ms;
use serde::Serialize;

use crate::record::{AuditedAction, ChainLink, Record, RecordHash, Span, WriteAttempt, WriteOutcome};

/// Something that is wrong or missing.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Finding {
    /// Nothing is known of what it did from there on, up to there: to its next start, or not known up to when.
    Gap { name: String, start: u64, after: u64, from: Option<Timestamp>, to: Option<Timestamp> },
    /// Two links for one place: two accounts for one start, or one that was rewritten.
    Fork { name: String, start: u64, number: u64 },
    /// It does not hang on the one before it.
    Broken { name: String, start: u64, number: u64 },
    /// It is of a version that can't be read here.
    Unreadable { name: String, start: u64, number: u64 },
}

/// One start of one router, as far as it is known.
#[derive(Debug, Clone, Default)]
pub struct VerifiedLog {
    /// By number; of two for one place the one on which more hangs.
    links: BTreeMap<u64, (RecordHash, Record)>,
    pub is_closed: bool,
    /// Up to when something is known.
    pub known_until: Timestamp,
    pub started: Option<(Timestamp, Ms)>,
}

/// All accounts that some routers had.
#[derive(Debug, Clone, Default)]
pub struct VerifiedLogs {
    logs: BTreeMap<(String, u64), VerifiedLog>,
    pub findings: Vec<Finding>,
}

/// A span with whose it is.
#[derive(Debug, Clone, Serialize)]
pub struct AttributedSpan {
    pub name: String,
    #[serde(rename = "start")]
    pub incarnation: u64,
    pub number: u64,
    #[serde(flatten)]
    pub span: Span,
}

/// What a booking's attempts came to, by one router.
#[derive(Debug, Clone, Serialize)]
pub struct AttemptTrace {
    pub name: String,
    #[serde(rename = "start")]
    pub incarnation: u64,
    #[serde(rename = "to")]
    pub target: Option<String>,
    pub attempt: Option<WriteAttempt>,
    #[serde(rename = "end")]
    pub outcome: Option<WriteOutcome>,
    /// The hierarchy's version that it was sent on.
    #[serde(rename = "shape")]
    pub hierarchy_version: u64,
    #[serde(rename = "journal")]
    pub journal_position: u64,
}

impl VerifiedLogs {
    /// Puts links together, from wherever they come and in any order.
    pub fn new(links: impl IntoIterator<Item = ChainLink>) -> Self {
        let mut places = BTreeMap::<(String, u64), BTreeMap<u64, Vec<ChainLink>>>::new();
        for link in links {
            let account = places.entry((link.name.clone(), link.incarnation)).or_default();
            let place = account.entry(link.number).or_default();
            if !place.contains(&link) {
                place.push(link);
            }
        }
        let mut accounts = Self::default();
        for ((name, start), account) in places {
            let known = accounts.verify_chain(&name, start, &account);
            accounts.logs.insert((name, start), known);
        }
        accounts.find_gaps();
        accounts.findings.sort();
        accounts.findings.dedup();
        accounts
    }

    fn verify_chain(
        &mut self,
        name: &str,
        start: u64,
        account: &BTreeMap<u64, Vec<ChainLink>>,
    ) -> VerifiedLog {
        let mut known = VerifiedLog::default();
        let named = || (name.to_string(), start);
        for (number, place) in account {
            if place.len() > 1 {
                let (name, start) = named();
                self.findings.push(Finding::Fork { name, start, number: *number });
            }
            let before = known.links.get(&(number - 1)).map(|(hash, _)| *hash);
            let next: BTreeSet<RecordHash> =
                account.get(&(number + 1)).into_iter().flatten().map(|l| l.previous_hash).collect();
            // What hangs on the one before, and has something hanging on it.
            let fits = |link: &&ChainLink| before.is_none_or(|before| link.previous_hash == before);
            let mut fitting: Vec<&ChainLink> = place.iter().filter(fits).collect();
            fitting.sort_by_key(|link| (!next.contains(&link.hash()), link.hash()));
            let Some(link) = fitting.first() else {
                let (name, start) = named();
                self.findings.push(Finding::Broken { name, start, number: *number });
                continue;
            };
            let Some(record) = link.decode_record() else {
                let (name, start) = named();
                self.findings.push(Finding::Unreadable { name, start, number: *number });
                continue;
            };
            match &record {
                Record::Started { at, wall_clock: clock } => known.started = Some((*at, *clock)),
                Record::Closed { .. } => known.is_closed = true,
                Record::Span(_) => {}
            }
            known.known_until = known.known_until.max(record.covered_until());
            known.links.insert(*number, (link.hash(), record));
        }
        known
    }

    /// What is missing: within each account, before it, and behind it where it did not end.
    fn find_gaps(&mut self) {
        let mut gaps = Vec::new();
        let mut starts = self.logs.iter().peekable();
        while let Some(((name, start), known)) = starts.next() {
            let mut gap = |after, from, to| {
                gaps.push(Finding::Gap { name: name.clone(), start: *start, after, from, to });
            };
            let mut last = 0;
            let mut until = None;
            for (number, (_, record)) in &known.links {
                if *number != last + 1 {
                    let from = if let Record::Span(span) = record { Some(span.from) } else { None };
                    gap(last, until, from);
                }
                (last, until) = (*number, Some(record.covered_until()));
            }
            if !known.is_closed {
                let next = starts.peek().filter(|((next, _), _)| next == name);
                let to = next.and_then(|(_, known)| known.started).map(|(at, _)| at);
                gap(last, until, to);
            }
        }
        self.findings.extend(gaps);
    }

    /// From when on anything is known of each router: of what it did before nothing is said, and nothing is denied.
    pub fn earliest_known(&self) -> BTreeMap<&str, Timestamp> {
        let mut from = BTreeMap::new();
        for ((name, _), known) in &self.logs {
            let first = known.links.values().next().map(|(_, record)| match record {
                Record::Started { at, .. } | Record::Closed { at } => *at,
                Record::Span(span) => span.from,
            });
            if let Some(first) = first {
                let earliest = from.entry(name.as_str()).or_insert(first);
                *earliest = first.min(*earliest);
            }
        }
        from
    }

    pub fn incarnations(&self) -> impl Iterator<Item = (&(String, u64), &VerifiedLog)> {
        self.logs.iter()
    }

    /// All spans, by router, start and number.
    pub fn spans(&self) -> impl Iterator<Item = (&str, u64, u64, &Span)> {
        self.logs.iter().flat_map(|((name, start), known)| {
            known.links.iter().filter_map(move |(number, (_, record))| match record {
                Record::Span(span) => Some((name.as_str(), *start, *number, &**span)),
                _ => None,
            })
        })
    }

    fn matching_spans<'a>(
        &'a self,
        fits: impl Fn(&Span) -> bool + 'a,
    ) -> impl Iterator<Item = AttributedSpan> + 'a {
        let fitting = self.spans().filter(move |(.., span)| fits(span));
        fitting.map(|(name, start, number, span)| AttributedSpan {
            name: name.to_string(),
            incarnation: start,
            number,
            span: span.clone(),
        })
    }

    /// Who acted on a version, and when: a number or a digest of the hierarchy, a build, or `journal:` with a number.
    pub fn spans_on_version<'a>(&'a self, version: &'a str) -> impl Iterator<Item = AttributedSpan> + 'a {
        self.matching_spans(move |span| is_on(span, version))
    }

    /// What each acted on at a time, in Unix milliseconds by its own clock.
    pub fn spans_at(&self, time: Ms) -> impl Iterator<Item = AttributedSpan> + '_ {
        self.matching_spans(move |span| {
            (span.wall_clock.0..span.wall_clock.1.max(span.wall_clock.0 + 1e-3)).contains(&time)
        })
    }

    /// All that is known of a request's attempts.
    pub fn attempts_of_request(&self, id: &str) -> Vec<AttemptTrace> {
        let mut traces = Vec::<AttemptTrace>::new();
        for (name, start, _, span) in self.spans() {
            let named =
                |to: u64| span.node_names.iter().find(|(id, _)| *id == to).map(|(_, name)| name.clone());
            let trace = |to, attempt, end| AttemptTrace {
                name: name.to_string(),
                incarnation: start,
                target: to,
                attempt,
                outcome: end,
                hierarchy_version: span.versions.hierarchy.0,
                journal_position: span.versions.journal_position,
            };
            for booking in span.write_attempts.iter().filter(|booking| booking.request_id == id) {
                traces.push(trace(named(booking.target), Some(booking.clone()), None));
            }
            for end in span.write_outcomes.iter().filter(|end| end.request_id == id) {
                let mine = |t: &&mut AttemptTrace| {
                    t.name == name
                        && t.incarnation == start
                        && t.attempt.as_ref().is_some_and(|a| a.attempt == end.attempt)
                };
                match traces.iter_mut().find(mine) {
                    Some(trace) => trace.outcome = Some(end.clone()),
                    None => traces.push(trace(None, None, Some(end.clone()))),
                }
            }
        }
        traces.sort_by_key(|trace| {
            trace.attempt.as_ref().map(|a| a.at).or(trace.outcome.as_ref().map(|e| e.at))
        });
        traces
    }

    /// When each router first acted on a version: by the time that orders them, and by its own clock.
    pub fn first_spans_on_version(&self, version: &str) -> Vec<(String, u64, Timestamp, Ms)> {
        let mut first = BTreeMap::<(String, u64), (Timestamp, Ms)>::new();
        for line in self.spans_on_version(version) {
            let at = (line.span.from, line.span.wall_clock.0);
            let known = first.entry((line.name, line.incarnation)).or_insert(at);
            if at.0 < known.0 {
                *known = at;
            }
        }
        let mut all: Vec<_> =
            first.into_iter().map(|((name, start), (at, clock))| (name, start, at, clock)).collect();
        all.sort_by_key(|(.., at, _)| *at);
        all
    }

    /// Who acted on another hierarchy than that after it was settled at that time.
    pub fn spans_on_other_hierarchy(&self, digest: u64, since: Timestamp) -> Vec<AttributedSpan> {
        self.matching_spans(move |span| {
            span.versions.hierarchy.1 != digest && span.from > since && !span.counts.is_empty()
        })
        .collect()
    }

    /// Who heeded the drain or purge of a number of the journal, and when first.
    pub fn journal_event_applied(&self, wanted: u64) -> Vec<(String, u64, Timestamp, bool)> {
        let mut all = Vec::new();
        for (name, start, _, span) in self.spans() {
            for (act, tally) in &span.counts {
                let by = match act {
                    AuditedAction::Drain { journal_position: number, from_gossip: fellows, .. }
                    | AuditedAction::Purge { journal_position: number, from_gossip: fellows }
                        if *number == wanted =>
                    {
                        *fellows
                    }
                    _ => continue,
                };
                all.push((name.to_string(), start, tally.first, by));
            }
        }
        all.sort_by_key(|(.., at, _)| *at);
        all
    }

    /// Pairs of routers that filled by two shapes at once, by the time that orders them: the names and from when to when.
    pub fn conflicting_hierarchies(&self) -> Vec<(String, String, Timestamp, Timestamp)> {
        let fills =
            |span: &Span| span.counts.iter().any(|(act, _)| matches!(act, AuditedAction::Fill { .. }));
        let spans: Vec<_> = self.spans().filter(|(.., span)| fills(span)).collect();
        let mut found = BTreeMap::<(String, String), (Timestamp, Timestamp)>::new();
        for (n, (a, _, _, one)) in spans.iter().enumerate() {
            for (b, _, _, other) in &spans[n + 1..] {
                let (from, to) = (one.from.max(other.from), one.to.min(other.to));
                if a != b && one.versions.hierarchy.1 != other.versions.hierarchy.1 && from < to {
                    let key =
                        if a < b { (a.to_string(), b.to_string()) } else { (b.to_string(), a.to_string()) };
                    let known = found.entry(key).or_insert((from, to));
                    *known = (known.0.min(from), known.1.max(to));
                }
            }
        }
        found.into_iter().map(|((a, b), (from, to))| (a, b, from, to)).collect()
    }
}

fn is_on(span: &Span, version: &str) -> bool {
    let acts = &span.versions;
    match version.split_once(':') {
        Some(("journal", number)) => number.parse() == Ok(acts.journal_position),
        Some(("build", build)) => acts.build == build,
        Some(("operator", digest)) => format!("{:016x}", acts.operator_digest).starts_with(digest),
        Some(("settings", digest)) => format!("{:016x}", acts.settings_digest).starts_with(digest),
        Some(_) => false,
        None => version.parse() == Ok(acts.hierarchy.0) || format!("{:016x}", acts.hierarchy.1) == version,
    }
}
