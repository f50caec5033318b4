//! One router's own audit log: the router's actions are counted and recorded in spans.
//!
//! A span ends when the versions that the router acts on change, when it reaches its maximum length, or when
//! it is full. Written records never change, and the size of the log in memory is bounded.

use std::collections::{HashMap, VecDeque};

use linnethook_membership::hybrid_clock::Timestamp;
use linnethook_membership::versions::ActiveVersions;
use linnethook_membership::Ms;
use rustc_hash::FxBuildHasher;

use crate::record::{AuditedAction, ChainLink, Record, RecordHash, Span, Tally, WriteAttempt, WriteOutcome};

/// The limits of audit logs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AuditLogConfig {
    /// The maximum length of a span.
    pub max_span: Ms,
    /// How many kinds of actions a span counts separately.
    pub max_action_kinds: usize,
    /// How many attempts of writes a span lists, and how many outcomes.
    pub max_write_attempts: usize,
    /// Bytes of this router's own log that are retained in memory.
    pub max_log_bytes: usize,
    /// Bytes of the log of each other router that are retained.
    pub max_replica_bytes: usize,
    /// How many peers store a replica of this router's log.
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

/// The number and the hash of the newest record of a log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogHead {
    /// The number of the record.
    pub number: u64,
    /// The hash of the record.
    pub hash: RecordHash,
}

/// The span that has not been recorded yet.
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

impl OpenSpan {
    fn new(now: Ms, at: Timestamp) -> Self {
        Self { started_at: at, opened_at: now, ..Self::default() }
    }

    fn is_empty(&self) -> bool {
        self.counts.is_empty() && self.write_attempts.is_empty() && self.write_outcomes.is_empty()
    }
}

/// The audit log of this incarnation of a router.
pub struct AuditLog {
    config: AuditLogConfig,
    name: String,
    incarnation: u64,
    versions: ActiveVersions,
    open_span: OpenSpan,
    head: LogHead,
    links: VecDeque<ChainLink>,
    bytes: usize,
    is_closed: bool,
}

impl AuditLog {
    /// The log of a router that starts now.
    pub fn new(
        now: Ms,
        at: Timestamp,
        config: AuditLogConfig,
        name: &str,
        incarnation: u64,
        versions: ActiveVersions,
    ) -> Self {
        let mut log = Self {
            config,
            name: name.to_string(),
            incarnation,
            versions,
            open_span: OpenSpan::new(now, at),
            head: LogHead { number: 0, hash: [0; 32] },
            links: VecDeque::new(),
            bytes: 0,
            is_closed: false,
        };
        log.append(&Record::Started { at, wall_clock: now });
        log
    }

    /// The router.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The newest record.
    pub fn head(&self) -> LogHead {
        self.head
    }

    /// Applies other limits.
    pub fn set_config(&mut self, config: AuditLogConfig) {
        self.config = config;
    }

    /// Counts an action.
    pub fn record_action(&mut self, at: Timestamp, action: AuditedAction) {
        let is_full = self.open_span.counts.len() >= self.config.max_action_kinds;
        match self.open_span.counts.get_mut(&action) {
            Some(tally) => {
                tally.count += 1;
                tally.last = at;
            }
            None if is_full => self.open_span.omitted_actions += 1,
            None => {
                self.open_span.counts.insert(action, Tally { count: 1, first: at, last: at });
            }
        }
    }

    /// Records an attempt of a write.
    pub fn record_write_attempt(&mut self, attempt: WriteAttempt) {
        self.record_action(attempt.at, AuditedAction::WriteAttempt { target: attempt.target });
        match self.open_span.write_attempts.len() < self.config.max_write_attempts {
            true => self.open_span.write_attempts.push(attempt),
            false => self.open_span.omitted_writes += 1,
        }
    }

    /// Records the outcome of an attempt of a write.
    pub fn record_write_outcome(&mut self, outcome: WriteOutcome) {
        match self.open_span.write_outcomes.len() < self.config.max_write_attempts {
            true => self.open_span.write_outcomes.push(outcome),
            false => self.open_span.omitted_writes += 1,
        }
    }

    /// Whether the versions differ from those of the open span. The counts of applied drains and purges are
    /// ignored: drains and purges are recorded as actions.
    fn differs(&self, versions: &ActiveVersions) -> bool {
        let own = &self.versions;
        own.settings_digest != versions.settings_digest
            || own.operator_digest != versions.operator_digest
            || own.hierarchy != versions.hierarchy
            || own.journal_position != versions.journal_position
            || own.build != versions.build
    }

    /// Whether the open span is due to be recorded.
    pub fn is_due(&self, now: Ms, versions: &ActiveVersions) -> bool {
        let is_full = self.open_span.write_attempts.len() >= self.config.max_write_attempts
            || self.open_span.counts.len() >= self.config.max_action_kinds;
        is_full || now >= self.next_deadline() || self.differs(versions)
    }

    /// Sets the versions that the router acts on. The open span is recorded with the previous versions.
    pub fn set_versions(
        &mut self,
        now: Ms,
        at: Timestamp,
        versions: &ActiveVersions,
        node_name: impl Fn(u64) -> Option<String>,
    ) {
        if self.differs(versions) {
            self.close_span(now, at, node_name);
            self.versions.clone_from(versions);
        }
    }

    /// Records the open span, if it is due.
    pub fn tick(&mut self, now: Ms, at: Timestamp, node_name: impl Fn(u64) -> Option<String>) {
        if self.is_due(now, &self.versions) {
            self.close_span(now, at, node_name);
        }
    }

    /// When [`AuditLog::tick`] is due.
    pub fn next_deadline(&self) -> Ms {
        self.open_span.opened_at + self.config.max_span
    }

    /// Records the open span and opens another one. An empty span is continued instead, unless it has reached
    /// the maximum length: then its record shows that nothing is missing.
    pub fn close_span(&mut self, now: Ms, at: Timestamp, node_name: impl Fn(u64) -> Option<String>) {
        if self.is_closed {
            return;
        }
        let OpenSpan { started_at, opened_at, .. } = self.open_span;
        if self.open_span.is_empty() && now - opened_at < self.config.max_span {
            self.open_span = OpenSpan::new(opened_at, started_at);
            return;
        }
        let span = std::mem::replace(&mut self.open_span, OpenSpan::new(now, at));
        let mut counts: Vec<(AuditedAction, Tally)> = span.counts.into_iter().collect();
        counts.sort_by_key(|(action, _)| *action);
        let node_names = node_names(&counts, node_name);
        self.append(&Record::Span(Box::new(Span {
            from: span.started_at,
            to: at,
            wall_clock: (span.opened_at, now),
            versions: self.versions.clone(),
            counts,
            write_attempts: span.write_attempts,
            write_outcomes: span.write_outcomes,
            omitted_writes: span.omitted_writes,
            omitted_actions: span.omitted_actions,
            node_names,
        })));
    }

    /// Closes the log: the router shuts down gracefully.
    pub fn finish(&mut self, now: Ms, at: Timestamp, node_name: impl Fn(u64) -> Option<String>) {
        if !self.is_closed {
            self.close_span(now, at, node_name);
            self.append(&Record::Closed { at });
            self.is_closed = true;
        }
    }

    /// Appends a record, and removes the oldest ones beyond the size limit.
    fn append(&mut self, record: &Record) {
        let number = self.head.number + 1;
        let link = ChainLink::new(&self.name, self.incarnation, number, self.head.hash, record);
        self.head = LogHead { number, hash: link.hash() };
        self.bytes += link.size_estimate();
        self.links.push_back(link);
        while self.bytes > self.config.max_log_bytes && self.links.len() > 1 {
            let oldest = self.links.pop_front();
            self.bytes -= oldest.map_or(0, |link| link.size_estimate());
        }
    }

    /// The records from this number on, as far as they are retained.
    pub fn records_from(&self, number: u64) -> impl Iterator<Item = &ChainLink> {
        self.links.iter().filter(move |link| link.number >= number)
    }

    /// The size of the log in memory.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

/// The known names of all nodes of these actions, by id.
fn node_names(
    counts: &[(AuditedAction, Tally)],
    node_name: impl Fn(u64) -> Option<String>,
) -> Vec<(u64, String)> {
    let mut ids: Vec<u64> = counts.iter().flat_map(|(action, _)| node_ids(action)).collect();
    ids.sort_unstable();
    ids.dedup();
    ids.into_iter().filter_map(|id| Some((id, node_name(id)?))).collect()
}

/// The nodes of an action.
fn node_ids(action: &AuditedAction) -> Vec<u64> {
    match action {
        AuditedAction::Attempt { target }
        | AuditedAction::WriteAttempt { target }
        | AuditedAction::RolloutStage { target, .. } => vec![*target],
        AuditedAction::Fill { child, source } => vec![*child, *source],
        AuditedAction::Drain { cache, .. } | AuditedAction::CacheRestored { cache, .. } => vec![*cache],
        AuditedAction::Refused
        | AuditedAction::Failed
        | AuditedAction::Purge { .. }
        | AuditedAction::Batch { .. }
        | AuditedAction::RejectedAsStraggler => Vec::new(),
    }
}
