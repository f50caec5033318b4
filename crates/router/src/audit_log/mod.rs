//! The audit log of this router: its actions are recorded, replicated to peers, written to disk if a
//! directory is configured, and returned on request. Replicas of other routers' logs are stored beside it.
//!
//! - [`disk`]: the log on disk, and the thread that writes it.
//!
//! Nothing here blocks the event loop: records for the disk go through a bounded queue. Those that do not fit are
//! queued later, as long as they are kept in memory, and are counted as dropped otherwise.

mod disk;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::path::Path;

use linnethook_audit::audit_log::{AuditLog, AuditLogConfig};
use linnethook_audit::record::{AuditedAction, ChainLink, WriteAttempt, WriteOutcome};
use linnethook_audit::replicas::{LogReplicas, ReplicaOutcome, ReplicaSizes};
use linnethook_membership::hybrid_clock::Timestamp;
use linnethook_membership::versions::ActiveVersions;
use linnethook_operator_config::config::AuditSection;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::log::log_line;
use crate::peer_message::{PeerMessage, PeerMessageKind};
use crate::policy_adapter::Ms;
use crate::start_retry;

use disk::{DiskError, DiskLog, DiskWriter};

/// The number of records that are sent to a peer at a time.
const MAX_RECORDS_PER_REPLY: usize = 64;
/// The number of endpoint names that are stored.
const MAX_NODE_NAMES: usize = 65_536;

/// A position in the audit log of a router, as sent in messages.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct LogPosition {
    incarnation: u64,
    number: u64,
}

impl LogPosition {
    fn decode(body: &[u8]) -> Option<Self> {
        postcard::from_bytes(body).ok()
    }

    fn message(self, to: &str, kind: PeerMessageKind) -> PeerMessage {
        let body = postcard::to_stdvec(&self).unwrap_or_default();
        PeerMessage { to: to.to_string(), kind, body }
    }
}

/// The sizes of the audit log and of the stored replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AuditLogSizes {
    /// Records of this router's log.
    pub own_records: u64,
    pub replicas: ReplicaSizes,
    /// Records of this router's log that were not stored, as the disk failed for too long.
    pub dropped_records: u64,
}

/// This router's audit log with its replication, and the replicas of other routers' logs.
pub struct AuditLogWriter {
    log: AuditLog,
    config: AuditLogConfig,
    replicas: LogReplicas,
    /// The names of endpoints, by their keys.
    node_names: HashMap<u64, String>,
    linked_peers: BTreeSet<String>,
    /// The peers that store replicas of this log, with the number of the last record that was sent to each.
    replica_holders: BTreeMap<String, u64>,
    disk: Option<DiskWriter>,
    /// The number of the last record that was queued for the disk.
    last_queued: u64,
    dropped_records: u64,
}

impl AuditLogWriter {
    /// Creates the log of a router that has started with these versions. If the directory can't be used, the
    /// error is logged and the audit log is stored in memory only.
    pub fn new(
        now: Ms,
        at: Timestamp,
        section: &AuditSection,
        name: &str,
        incarnation: u64,
        versions: ActiveVersions,
    ) -> Self {
        let config = section.parameters;
        let mut replicas = LogReplicas::new(config.max_replica_bytes);
        let directory = section.directory.as_deref().map(Path::new);
        let disk =
            directory.and_then(|directory| match start_disk_writer_with_retry(directory, &mut replicas) {
                Ok(disk) => Some(disk),
                Err(error) => {
                    log_line!(
                        always "audit: {}: {error}; the audit log is stored in memory only",
                        directory.display()
                    );
                    None
                }
            });
        Self {
            log: AuditLog::new(now, at, config, name, incarnation, versions),
            config,
            replicas,
            node_names: HashMap::new(),
            linked_peers: BTreeSet::new(),
            replica_holders: BTreeMap::new(),
            disk,
            last_queued: 0,
            dropped_records: 0,
        }
    }

    /// Applies a reloaded configuration.
    pub fn set_config(&mut self, config: AuditLogConfig) {
        self.config = config;
        self.log.set_config(config);
        self.replicas.set_max_bytes(config.max_replica_bytes);
    }

    /// Stores the name of an endpoint, for the records that refer to its key.
    pub fn add_node_name(&mut self, key: u64, name: &str) {
        if self.node_names.len() < MAX_NODE_NAMES {
            self.node_names.entry(key).or_insert_with(|| name.to_string());
        }
    }

    /// Counts an action in the current span.
    pub fn record_action(&mut self, at: Timestamp, action: AuditedAction) {
        self.log.record_action(at, action);
    }

    /// Records the start of an attempt of a write.
    pub fn record_write_attempt(&mut self, attempt: WriteAttempt) {
        self.log.record_write_attempt(attempt);
    }

    /// Records the outcome of an attempt of a write.
    pub fn record_write_outcome(&mut self, outcome: WriteOutcome) {
        self.log.record_write_outcome(outcome);
    }

    /// When [`Self::tick`] is due.
    pub fn next_deadline(&self) -> Ms {
        self.log.next_deadline()
    }

    /// Whether a span is due to be closed, or the links with peers, and so the replica holders, have changed.
    pub fn is_due(&self, now: Ms, versions: &ActiveVersions, linked_peers: &BTreeSet<String>) -> bool {
        self.log.is_due(now, versions) || self.linked_peers != *linked_peers
    }

    /// Closes the spans that are due. The new records are queued for the disk, and returned as messages to
    /// the replica holders.
    pub fn tick(
        &mut self,
        now: Ms,
        at: Timestamp,
        versions: &ActiveVersions,
        linked_peers: &BTreeSet<String>,
    ) -> Vec<PeerMessage> {
        let node_name = |key: u64| self.node_names.get(&key).cloned();
        self.log.set_versions(now, at, versions, node_name);
        self.log.tick(now, at, node_name);
        self.store_new_records(linked_peers)
    }

    /// Closes the log; nothing may be recorded afterwards. Blocks until all records are on disk. Returns the
    /// last messages to the replica holders.
    pub fn finish(&mut self, now: Ms, at: Timestamp, linked_peers: &BTreeSet<String>) -> Vec<PeerMessage> {
        self.log.finish(now, at, |key| self.node_names.get(&key).cloned());
        let messages = self.store_new_records(linked_peers);
        if let Some(disk) = self.disk.take() {
            disk.finish(self.log.records_from(self.last_queued + 1).map(ChainLink::encode));
        }
        messages
    }

    fn store_new_records(&mut self, linked_peers: &BTreeSet<String>) -> Vec<PeerMessage> {
        self.linked_peers.clone_from(linked_peers);
        self.queue_for_disk();
        self.replicate()
    }

    fn queue_for_disk(&mut self) {
        let head = self.log.head().number;
        if head <= self.last_queued {
            return;
        }
        let Some(disk) = &self.disk else {
            self.last_queued = head;
            return;
        };
        for record in self.log.records_from(self.last_queued + 1) {
            if disk.enqueue(record.encode()).is_err() {
                return;
            }
            // Records that are no longer kept in memory can't be stored any more.
            self.dropped_records += record.number - self.last_queued - 1;
            self.last_queued = record.number;
        }
    }

    /// Messages with the records that the replica holders do not have yet.
    fn replicate(&mut self) -> Vec<PeerMessage> {
        let head = self.log.head().number;
        let holders = self.choose_replica_holders();
        self.replica_holders.retain(|name, _| holders.contains(name));
        let mut messages = Vec::new();
        for holder in holders {
            let last_sent = self.replica_holders.get(&holder).copied();
            if last_sent.is_some_and(|last_sent| last_sent >= head) {
                continue;
            }
            // A new holder is sent only the newest record, and requests the earlier ones that it does not
            // have.
            let first = last_sent.map_or(head, |last_sent| last_sent + 1);
            messages.extend(self.record_messages(&holder, first));
            self.replica_holders.insert(holder, head);
        }
        messages
    }

    /// The peers that store replicas, by a hash of both names: a holder stays the same while its link is up
    /// and no better ranked peer connects.
    fn choose_replica_holders(&self) -> Vec<String> {
        let own_name = self.log.name();
        let mut holders: Vec<String> = self.linked_peers.iter().cloned().collect();
        holders.sort_by_key(|name| xxh3_64(format!("{own_name} {name}").as_bytes()));
        holders.truncate(self.config.replica_count);
        holders
    }

    /// Messages with the records of this log from the number `first` on, [`MAX_RECORDS_PER_REPLY`] at most.
    fn record_messages<'a>(&'a self, to: &'a str, first: u64) -> impl Iterator<Item = PeerMessage> + 'a {
        let records = self.log.records_from(first).take(MAX_RECORDS_PER_REPLY);
        records.map(move |record| PeerMessage {
            to: to.to_string(),
            kind: PeerMessageKind::AuditRecord,
            body: record.encode(),
        })
    }

    /// Handles a message of a peer about its log or this one. Returns the replies.
    pub fn on_message(&mut self, from: &str, kind: PeerMessageKind, body: &[u8]) -> Vec<PeerMessage> {
        match kind {
            PeerMessageKind::AuditRecord => self.on_record(from, body).into_iter().collect(),
            PeerMessageKind::AuditRecordsRequest => self.on_records_request(from, body),
            PeerMessageKind::AuditLogStart => {
                if let Some(start) = LogPosition::decode(body) {
                    self.replicas.set_first_number(from, start.incarnation, start.number);
                }
                Vec::new()
            }
            PeerMessageKind::SnapshotRequest | PeerMessageKind::SnapshotChunk => Vec::new(),
        }
    }

    /// Stores a record of a peer's log. Returns a request for the earlier records if some are missing.
    fn on_record(&mut self, from: &str, body: &[u8]) -> Option<PeerMessage> {
        // A record is accepted only from the owner of its log.
        let record = ChainLink::decode(body).ok().filter(|record| record.name == from)?;
        let (incarnation, number) = (record.incarnation, record.number);
        match self.replicas.insert(record) {
            ReplicaOutcome::Missing(number) => {
                let first_missing = LogPosition { incarnation, number };
                Some(first_missing.message(from, PeerMessageKind::AuditRecordsRequest))
            }
            ReplicaOutcome::Forked => {
                log_line!(
                    peer = %from,
                    incarnation,
                    number,
                    "audit: a peer's record contradicts an earlier one with the same number"
                );
                None
            }
            ReplicaOutcome::New | ReplicaOutcome::Known => None,
        }
    }

    fn on_records_request(&self, from: &str, body: &[u8]) -> Vec<PeerMessage> {
        let own = self.log.incarnation();
        let Some(wanted) = LogPosition::decode(body).filter(|wanted| wanted.incarnation == own) else {
            return Vec::new();
        };
        let first_stored = self.log.records_from(wanted.number).next().map(|record| record.number);
        let mut messages = Vec::new();
        if let Some(number) = first_stored.filter(|number| *number > wanted.number) {
            let start = LogPosition { number, ..wanted };
            messages.push(start.message(from, PeerMessageKind::AuditLogStart));
        }
        messages.extend(self.record_messages(from, wanted.number));
        messages
    }

    /// Closes the current span and returns all stored records: those of this router's log, including earlier
    /// incarnations, and the replicas.
    pub fn all_records(&mut self, now: Ms, at: Timestamp) -> Vec<ChainLink> {
        self.log.close_span(now, at, |key| self.node_names.get(&key).cloned());
        self.log.records_from(1).chain(self.replicas.iter()).cloned().collect()
    }

    /// The current sizes.
    pub fn sizes(&self) -> AuditLogSizes {
        AuditLogSizes {
            own_records: self.log.head().number,
            replicas: self.replicas.sizes(),
            dropped_records: self.dropped_records,
        }
    }
}

/// Like [`start_disk_writer`], again where the disk fails for a moment.
fn start_disk_writer_with_retry(
    directory: &Path,
    replicas: &mut LogReplicas,
) -> Result<DiskWriter, DiskError> {
    start_retry::retry(|| start_disk_writer(directory, replicas), DiskError::may_be_momentary)
}

/// Opens the log on disk and starts its writer. The records of earlier incarnations are stored with the
/// replicas.
fn start_disk_writer(directory: &Path, replicas: &mut LogReplicas) -> Result<DiskWriter, DiskError> {
    let log = DiskLog::open(directory)?;
    let mut count = 0;
    for record in log.records().filter_map(|record| ChainLink::decode(record).ok()) {
        if replicas.next_number(&record.name, record.incarnation) == 1 {
            replicas.set_first_number(&record.name, record.incarnation, record.number);
        }
        replicas.insert(record);
        count += 1;
    }
    log_line!(
        always "audit: {}: {count} records read, {} bytes of an incomplete record removed",
        directory.display(), log.truncated_bytes()
    );
    DiskWriter::start(log)
}

#[cfg(test)]
#[path = "../../tests/unit/audit_log.rs"]
mod tests;
