//! Verification of audit logs: whether their hash chains are valid, which records are missing, and which
//! router acted on which versions.
//!
//! The results follow from the records alone: a time that no record covers is reported as a gap with its
//! bounds.

mod queries;

use std::collections::{BTreeMap, BTreeSet};

use linnethook_membership::hybrid_clock::Timestamp;
use linnethook_membership::Ms;
use serde::Serialize;

pub use queries::{AttemptTrace, AttributedSpan, FirstSpan, HierarchyConflict, JournalEventApplication};

use crate::record::{ChainLink, Record, RecordHash, Span};

/// A missing, contradictory or unreadable part of a log.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Finding {
    /// No record covers the router's actions after a record.
    Gap {
        /// The router.
        name: String,
        /// Its incarnation.
        #[serde(rename = "start")]
        incarnation: u64,
        /// The number of the last record before the gap; 0 if the first record is missing.
        after: u64,
        /// The begin of the gap; `None` if it is unknown.
        from: Option<Timestamp>,
        /// The end of the gap, which is at the latest the start of the next incarnation; `None` if it is
        /// unknown.
        to: Option<Timestamp>,
    },
    /// Two records have the same position: there are two logs of one incarnation, or a log was rewritten.
    Fork {
        /// The router.
        name: String,
        /// Its incarnation.
        #[serde(rename = "start")]
        incarnation: u64,
        /// The number of the records.
        number: u64,
    },
    /// A record does not follow the hash of the previous one.
    Broken {
        /// The router.
        name: String,
        /// Its incarnation.
        #[serde(rename = "start")]
        incarnation: u64,
        /// The number of the record.
        number: u64,
    },
    /// A record cannot be decoded, for instance because this build does not know its version.
    Unreadable {
        /// The router.
        name: String,
        /// Its incarnation.
        #[serde(rename = "start")]
        incarnation: u64,
        /// The number of the record.
        number: u64,
    },
}

/// When a router started.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StartTime {
    /// The hybrid clock's timestamp.
    pub at: Timestamp,
    /// The same by the router's own clock, in Unix milliseconds.
    pub wall_clock: Ms,
}

/// A record that was accepted into a log, with its hash.
#[derive(Debug, Clone)]
struct VerifiedRecord {
    hash: RecordHash,
    record: Record,
}

/// The log of one incarnation of one router, as far as it is known.
#[derive(Debug, Clone, Default)]
pub struct VerifiedLog {
    /// By number; of two records with the same number the one that the next record follows.
    records: BTreeMap<u64, VerifiedRecord>,
    /// Whether the router shut down gracefully.
    pub is_closed: bool,
    /// Up to when records cover the router's actions.
    pub known_until: Timestamp,
    /// When the router started; `None` if that record is missing.
    pub started: Option<StartTime>,
}

impl VerifiedLog {
    fn insert(&mut self, number: u64, hash: RecordHash, record: Record) {
        match &record {
            Record::Started { at, wall_clock } => {
                self.started = Some(StartTime { at: *at, wall_clock: *wall_clock });
            }
            Record::Closed { .. } => self.is_closed = true,
            Record::Span(_) => {}
        }
        self.known_until = self.known_until.max(record.covered_until());
        self.records.insert(number, VerifiedRecord { hash, record });
    }

    /// From when on the log covers the router's actions.
    fn known_from(&self) -> Option<Timestamp> {
        let first = self.records.values().next()?;
        Some(match &first.record {
            Record::Started { at, .. } | Record::Closed { at } => *at,
            Record::Span(span) => span.from,
        })
    }

    /// The gaps of the log, given the start of the router's next incarnation.
    fn gaps(&self, next_incarnation: Option<Timestamp>) -> Vec<GapBounds> {
        let mut gaps = Vec::new();
        let mut last_number = 0;
        let mut known_until = None;
        for (number, VerifiedRecord { record, .. }) in &self.records {
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

/// A log with its router and incarnation.
#[derive(Debug, Clone, Copy)]
pub struct IncarnationLog<'a> {
    /// The router.
    pub name: &'a str,
    /// Its incarnation.
    pub incarnation: u64,
    /// The log of the incarnation.
    pub log: &'a VerifiedLog,
}

/// A span with its router, incarnation and number.
#[derive(Debug, Clone, Copy)]
pub struct SpanRecord<'a> {
    /// The router.
    pub name: &'a str,
    /// Its incarnation.
    pub incarnation: u64,
    /// The number of the record.
    pub number: u64,
    /// The span.
    pub span: &'a Span,
}

/// The logs of several routers, with the findings of their verification.
#[derive(Debug, Clone, Default)]
pub struct VerifiedLogs {
    /// By name and incarnation.
    logs: BTreeMap<(String, u64), VerifiedLog>,
    /// The findings, sorted.
    pub findings: Vec<Finding>,
}

impl VerifiedLogs {
    /// Verifies links, from any sources and in any order.
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

    /// Verifies the chain of one log, given the candidates for each number.
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
            let previous_hash = log.records.get(&(number - 1)).map(|previous| previous.hash);
            let following = links.get(&(number + 1));
            let Some(link) = select_link(candidates, previous_hash, following) else {
                self.findings.push(Finding::Broken { name, incarnation, number });
                continue;
            };
            let Ok(record) = link.decode_record() else {
                self.findings.push(Finding::Unreadable { name, incarnation, number });
                continue;
            };
            log.insert(number, link.hash(), record);
        }
        log
    }

    /// Finds the gaps: within each log, before it, and after it if the router did not shut down gracefully.
    fn find_gaps(&mut self) {
        let mut logs = self.logs.iter().peekable();
        while let Some(((name, incarnation), log)) = logs.next() {
            let next = logs.peek().filter(|((next_name, _), _)| next_name == name);
            let next_incarnation = next.and_then(|(_, log)| log.started).map(|started| started.at);
            let gaps = log.gaps(next_incarnation).into_iter().map(|GapBounds { after, from, to }| {
                Finding::Gap { name: name.clone(), incarnation: *incarnation, after, from, to }
            });
            self.findings.extend(gaps);
        }
    }

    /// The begin of the earliest record of each router. Nothing is known of the router's actions before.
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
    pub fn incarnations(&self) -> impl Iterator<Item = IncarnationLog<'_>> {
        self.logs.iter().map(|((name, incarnation), log)| IncarnationLog {
            name,
            incarnation: *incarnation,
            log,
        })
    }

    /// All spans, by name, incarnation and number.
    pub fn spans(&self) -> impl Iterator<Item = SpanRecord<'_>> {
        self.incarnations().flat_map(|IncarnationLog { name, incarnation, log }| {
            log.records.iter().filter_map(move |(number, verified)| match &verified.record {
                Record::Span(span) => Some(SpanRecord { name, incarnation, number: *number, span }),
                Record::Started { .. } | Record::Closed { .. } => None,
            })
        })
    }
}

/// Of the candidates for a number that follow the hash of the previous record, the one that the next record
/// follows; of several ones the one with the smallest hash.
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
