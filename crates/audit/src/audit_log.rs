//! Owns one router's own account: what it does is counted, and written down span by span.
//!
//! A span ends where what is acted on changes, after a time, or once it is full. Must never change a record that was
//! written, nor keep more than its bounds.

use std::collections::{HashMap, VecDeque};

use linnethook_membership::hybrid_clock::Timestamp;
use linnethook_membership::versions::ActiveVersions;
use linnethook_membership::Ms;
use rustc_hash::FxBuildHasher;

use crate::record::{AuditedAction, ChainLink, Record, RecordHash, Span, Tally, WriteAttempt, WriteOutcome};

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AuditLogConfig {
    /// The longest span.
    pub max_span: Ms,
    /// Kinds of acts, and bookings, that one span tells apart.
    pub max_action_kinds: usize,
    pub max_write_attempts: usize,
    /// Bytes of the own account that are kept in memory, and of each fellow's.
    pub max_log_bytes: usize,
    pub max_replica_bytes: usize,
    /// How many fellows keep a copy.
    pub replica_count: usize,
}

impl Default for AuditLogConfig {
    fn default() -> Self {
        Self {
            max_span: 5_000.0,
            max_action_kinds: 4_096,
            max_write_attempts: 2_048,
            max_log_bytes: 4 << 20,
            max_replica_bytes: 2 << 20,
            replica_count: 2,
        }
    }
}

/// The span that is open.
#[derive(Debug, Default)]
struct OpenSpan {
    started_at: Timestamp,
    opened_at: Ms,
    counts: HashMap<AuditedAction, Tally, FxBuildHasher>,
    write_attempts: Vec<WriteAttempt>,
    write_outcomes: Vec<WriteOutcome>,
    omitted_writes: u64,
    omitted_actions: u64,
}

pub struct AuditLog {
    config: AuditLogConfig,
    name: String,
    incarnation: u64,
    versions: ActiveVersions,
    open_span: OpenSpan,
    last_timestamp: Timestamp,
    last_number: u64,
    head: RecordHash,
    links: VecDeque<ChainLink>,
    bytes: usize,
    is_closed: bool,
}

impl AuditLog {
    pub fn new(
        now: Ms,
        at: Timestamp,
        rules: AuditLogConfig,
        name: &str,
        start: u64,
        acts_on: ActiveVersions,
    ) -> Self {
        let mut account = Self {
            config: rules,
            name: name.to_string(),
            incarnation: start,
            versions: acts_on,
            open_span: OpenSpan { started_at: at, opened_at: now, ..OpenSpan::default() },
            last_timestamp: at,
            last_number: 0,
            head: [0; 32],
            links: VecDeque::new(),
            bytes: 0,
            is_closed: false,
        };
        account.append(&Record::Started { at, wall_clock: now });
        account
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The number of the newest link, and its hash.
    pub fn head(&self) -> (u64, RecordHash) {
        (self.last_number, self.head)
    }

    pub fn set_config(&mut self, rules: AuditLogConfig) {
        self.config = rules;
    }

    /// Something was done.
    pub fn record_action(&mut self, at: Timestamp, act: AuditedAction) {
        self.last_timestamp = at;
        let full = self.open_span.counts.len() >= self.config.max_action_kinds;
        match self.open_span.counts.get_mut(&act) {
            Some(tally) => {
                tally.count += 1;
                tally.last = at;
            }
            None if full => self.open_span.omitted_actions += 1,
            None => _ = self.open_span.counts.insert(act, Tally { count: 1, first: at, last: at }),
        }
    }

    /// An attempt of what must not run twice.
    pub fn record_write_attempt(&mut self, booking: WriteAttempt) {
        self.record_action(booking.at, AuditedAction::WriteAttempt { target: booking.target });
        match self.open_span.write_attempts.len() < self.config.max_write_attempts {
            true => self.open_span.write_attempts.push(booking),
            false => self.open_span.omitted_writes += 1,
        }
    }

    pub fn record_write_outcome(&mut self, end: WriteOutcome) {
        self.last_timestamp = end.at;
        match self.open_span.write_outcomes.len() < self.config.max_write_attempts {
            true => self.open_span.write_outcomes.push(end),
            false => self.open_span.omitted_writes += 1,
        }
    }

    fn is_empty(&self) -> bool {
        let open = &self.open_span;
        open.counts.is_empty() && open.write_attempts.is_empty() && open.write_outcomes.is_empty()
    }

    /// Whether what is acted on differs from what the open span tells. Counts of drains and purges are acts themselves.
    fn differs(&self, acts_on: &ActiveVersions) -> bool {
        let told =
            |a: &ActiveVersions| (a.settings_digest, a.operator_digest, a.hierarchy, a.journal_position);
        told(&self.versions) != told(acts_on) || self.versions.build != acts_on.build
    }

    /// Whether a span is to be written down now.
    pub fn is_due(&self, now: Ms, acts_on: &ActiveVersions) -> bool {
        let full = self.open_span.write_attempts.len() >= self.config.max_write_attempts
            || self.open_span.counts.len() >= self.config.max_action_kinds;
        full || now >= self.next_deadline() || self.differs(acts_on)
    }

    /// What is acted on from now on; what was done before is written down as done on what held then.
    pub fn set_versions(
        &mut self,
        now: Ms,
        at: Timestamp,
        acts_on: &ActiveVersions,
        names: impl Fn(u64) -> Option<String>,
    ) {
        if !self.differs(acts_on) {
            return;
        }
        self.close_span(now, at, names);
        self.versions.clone_from(acts_on);
    }

    /// Writes the open span down, where it is due.
    pub fn tick(&mut self, now: Ms, at: Timestamp, names: impl Fn(u64) -> Option<String>) {
        if self.is_due(now, &self.versions) {
            self.close_span(now, at, names);
        }
    }

    /// When `tick` is due.
    pub fn next_deadline(&self) -> Ms {
        self.open_span.opened_at + self.config.max_span
    }

    /// Ends the open span.
    pub fn close_span(&mut self, now: Ms, at: Timestamp, names: impl Fn(u64) -> Option<String>) {
        if self.is_closed {
            return;
        }
        let empty = self.is_empty();
        let open = std::mem::replace(
            &mut self.open_span,
            OpenSpan { started_at: at, opened_at: now, ..OpenSpan::default() },
        );
        // Nothing done for a whole span is worth a line, too: it tells that nothing is missing.
        if empty && now - open.opened_at < self.config.max_span {
            self.open_span.started_at = open.started_at;
            self.open_span.opened_at = open.opened_at;
            return;
        }
        let mut counts: Vec<(AuditedAction, Tally)> = open.counts.into_iter().collect();
        counts.sort_by_key(|(act, _)| *act);
        let mut ids: Vec<u64> = counts.iter().flat_map(|(act, _)| ids(act)).collect();
        ids.sort_unstable();
        ids.dedup();
        let names = ids.into_iter().filter_map(|id| Some((id, names(id)?))).collect();
        self.append(&Record::Span(Box::new(Span {
            from: open.started_at,
            to: at,
            wall_clock: (open.opened_at, now),
            versions: self.versions.clone(),
            counts,
            write_attempts: open.write_attempts,
            write_outcomes: open.write_outcomes,
            omitted_writes: open.omitted_writes,
            omitted_actions: open.omitted_actions,
            node_names: names,
        })));
    }

    /// It ends as it should.
    pub fn finish(&mut self, now: Ms, at: Timestamp, names: impl Fn(u64) -> Option<String>) {
        if !self.is_closed {
            self.close_span(now, at, names);
            self.append(&Record::Closed { at });
            self.is_closed = true;
        }
    }

    fn append(&mut self, record: &Record) {
        self.last_number += 1;
        let link = ChainLink::new(&self.name, self.incarnation, self.last_number, self.head, record);
        self.head = link.hash();
        self.bytes += link.size_estimate();
        self.links.push_back(link);
        while self.bytes > self.config.max_log_bytes && self.links.len() > 1 {
            let oldest = self.links.pop_front();
            self.bytes -= oldest.map_or(0, |link| link.size_estimate());
        }
    }

    /// The links from a number on, as far as they are kept.
    pub fn records_from(&self, number: u64) -> impl Iterator<Item = &ChainLink> {
        self.links.iter().filter(move |link| link.number >= number)
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

/// The nodes that an act names.
fn ids(act: &AuditedAction) -> Vec<u64> {
    match act {
        AuditedAction::Attempt { target: to }
        | AuditedAction::WriteAttempt { target: to }
        | AuditedAction::RolloutStage { target: to, .. } => vec![*to],
        AuditedAction::Fill { child, source } => vec![*child, *source],
        AuditedAction::Drain { cache, .. } | AuditedAction::CacheRestored { cache, .. } => vec![*cache],
        AuditedAction::Refused
        | AuditedAction::Failed
        | AuditedAction::Purge { .. }
        | AuditedAction::Batch { .. }
        | AuditedAction::RejectedAsStraggler => Vec::new(),
    }
}
