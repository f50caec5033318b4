//! Replicas of other routers' audit logs.
//!
//! A record is accepted if it follows the last one of its log; a later one shows which records are missing.
//! Two records never have the same position in a log, and a gap is closed only by the missing records
//! themselves.

use std::collections::{BTreeMap, VecDeque};

use crate::record::{ChainLink, RecordHash};

/// The outcome of an insertion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicaOutcome {
    /// The record was new.
    New,
    /// The record is known.
    Known,
    /// The records from that number on have to be requested first.
    Missing(u64),
    /// The record contradicts a stored one: another record has the same position, or another one precedes it.
    Forked,
}

/// The replica of the log of one incarnation of one router.
#[derive(Debug, Clone, Default)]
struct LogReplica {
    links: VecDeque<ChainLink>,
    bytes: usize,
    last_number: u64,
    head: RecordHash,
    /// The number of the first record that the owner still has.
    first_number: u64,
    /// The first records that contradict stored ones, at most [`MAX_FORKS`].
    forks: Vec<ChainLink>,
}

/// The sizes of all replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaSizes {
    /// The number of logs.
    pub logs: usize,
    /// The number of records of all logs.
    pub records: usize,
    /// Bytes of all records.
    pub bytes: usize,
}

/// The replicas that this router stores.
#[derive(Debug, Clone, Default)]
pub struct LogReplicas {
    max_bytes_per_log: usize,
    bytes: usize,
    /// By name and incarnation.
    logs: BTreeMap<(String, u64), LogReplica>,
}

/// The largest number of stored logs.
const MAX_LOGS: usize = 4_096;
/// The largest size of all logs together, in bytes.
const MAX_TOTAL_BYTES: usize = 32 << 20;
/// The largest number of contradicting records that are stored for each log.
const MAX_FORKS: usize = 4;

impl LogReplicas {
    /// Replicas of at most this many bytes each.
    pub fn new(max_bytes_per_log: usize) -> Self {
        Self { max_bytes_per_log, bytes: 0, logs: BTreeMap::new() }
    }

    /// Sets how many bytes of each log are retained.
    pub fn set_max_bytes(&mut self, max_bytes_per_log: usize) {
        self.max_bytes_per_log = max_bytes_per_log;
    }

    /// Inserts a record, and removes the oldest records of its log beyond the size limit.
    pub fn insert(&mut self, link: ChainLink) -> ReplicaOutcome {
        let key = (link.name.clone(), link.incarnation);
        if !self.logs.contains_key(&key) && self.logs.len() >= MAX_LOGS || self.bytes > MAX_TOTAL_BYTES {
            self.remove_oldest_log();
        }
        let log = self.logs.entry(key).or_default();
        if link.number <= log.last_number {
            return log.insert_known(link);
        }
        let is_first = log.links.is_empty();
        // A replica may begin with the first record that the owner still has.
        let is_first_of_owner = is_first && link.number == log.first_number;
        if link.number > log.last_number + 1 && !is_first_of_owner {
            return ReplicaOutcome::Missing(log.last_number + 1);
        }
        if !is_first && link.previous_hash != log.head {
            return log.record_fork(link);
        }
        self.bytes += link.size_estimate();
        log.append(link);
        self.bytes -= log.remove_oldest(self.max_bytes_per_log);
        ReplicaOutcome::New
    }

    /// Removes the log of the oldest incarnation.
    fn remove_oldest_log(&mut self) {
        let oldest = self.logs.keys().min_by_key(|(_, incarnation)| *incarnation).cloned();
        let removed = oldest.and_then(|oldest| self.logs.remove(&oldest));
        self.bytes -= removed.map_or(0, |log| log.bytes);
    }

    /// Records that the owner of a log no longer has the records before this number.
    pub fn set_first_number(&mut self, name: &str, incarnation: u64, number: u64) {
        self.logs.entry((name.to_string(), incarnation)).or_default().first_number = number;
    }

    /// The number of the next record that the replica of a log lacks.
    pub fn next_number(&self, name: &str, incarnation: u64) -> u64 {
        self.logs.get(&(name.to_string(), incarnation)).map_or(1, |log| log.last_number + 1)
    }

    /// All records, including those that contradict others.
    pub fn iter(&self) -> impl Iterator<Item = &ChainLink> {
        self.logs.values().flat_map(|log| log.links.iter().chain(&log.forks))
    }

    /// The sizes of all replicas.
    pub fn sizes(&self) -> ReplicaSizes {
        ReplicaSizes {
            logs: self.logs.len(),
            records: self.logs.values().map(|log| log.links.len()).sum(),
            bytes: self.logs.values().map(|log| log.bytes).sum(),
        }
    }
}

impl LogReplica {
    fn append(&mut self, link: ChainLink) {
        self.last_number = link.number;
        self.head = link.hash();
        self.bytes += link.size_estimate();
        self.links.push_back(link);
    }

    /// Removes the oldest records down to this size, except the newest one. Returns the number of removed
    /// bytes.
    fn remove_oldest(&mut self, max_bytes: usize) -> usize {
        let before = self.bytes;
        while self.bytes > max_bytes && self.links.len() > 1 {
            self.bytes -= self.links.pop_front().map_or(0, |link| link.size_estimate());
        }
        before - self.bytes
    }

    /// Handles a record whose number is not new.
    fn insert_known(&mut self, link: ChainLink) -> ReplicaOutcome {
        let known = self.links.iter().find(|known| known.number == link.number);
        match known {
            Some(known) if *known != link => self.record_fork(link),
            // A record that has been removed already cannot be compared.
            Some(_) | None => ReplicaOutcome::Known,
        }
    }

    fn record_fork(&mut self, link: ChainLink) -> ReplicaOutcome {
        if self.forks.len() < MAX_FORKS && !self.forks.contains(&link) {
            self.forks.push(link);
        }
        ReplicaOutcome::Forked
    }
}
