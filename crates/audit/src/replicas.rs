//! Owns the accounts of fellows that are kept here, link by link.
//!
//! A link is taken where it hangs on the one before it; one further on says what is missing. Must never take two links
//! for one place, nor close a gap by anything but the links that belong there.

use std::collections::{BTreeMap, VecDeque};

use crate::record::{ChainLink, RecordHash};

/// What came of a link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicaOutcome {
    New,
    Known,
    /// Those from that number on are to be asked for first.
    Missing(u64),
    /// Another link has this place, or what hangs before it is another one.
    Forked,
}

#[derive(Debug, Clone, Default)]
struct LogReplica {
    links: VecDeque<ChainLink>,
    bytes: usize,
    head: (u64, RecordHash),
    /// The first link that there is to be had.
    first_number: u64,
    /// Links that contradict what is kept: the first few.
    forks: Vec<ChainLink>,
}

#[derive(Debug, Clone, Default)]
pub struct LogReplicas {
    max_bytes_per_log: usize,
    bytes: usize,
    logs: BTreeMap<(String, u64), LogReplica>,
}

/// Starts of which copies are kept, bytes of all of them, contradicting links of each.
const MAX_LOGS: usize = 4_096;
const MAX_TOTAL_BYTES: usize = 32 << 20;
const MAX_FORKS: usize = 4;

impl LogReplicas {
    /// So many bytes of each account.
    pub fn new(bytes: usize) -> Self {
        Self { max_bytes_per_log: bytes, bytes: 0, logs: BTreeMap::new() }
    }

    pub fn set_max_bytes(&mut self, bytes: usize) {
        self.max_bytes_per_log = bytes;
    }

    /// Takes in a link. The oldest of an account makes room.
    pub fn insert(&mut self, link: ChainLink) -> ReplicaOutcome {
        let key = (link.name.clone(), link.incarnation);
        if !self.logs.contains_key(&key) && self.logs.len() >= MAX_LOGS || self.bytes > MAX_TOTAL_BYTES {
            // The oldest start of all makes room.
            let oldest = self.logs.keys().min_by_key(|(_, start)| *start).cloned();
            let dropped = oldest.and_then(|oldest| self.logs.remove(&oldest));
            self.bytes -= dropped.map_or(0, |copy| copy.bytes);
        }
        let copy = self.logs.entry(key).or_default();
        let (number, hash) = copy.head;
        if link.number <= number {
            let known = copy.links.iter().find(|known| known.number == link.number);
            return match known {
                Some(known) if *known == link => ReplicaOutcome::Known,
                Some(_) => copy.record_fork(link),
                // It made room long ago: nothing can be said of it.
                None => ReplicaOutcome::Known,
            };
        }
        let begins = copy.links.is_empty();
        // Whoever begins to keep an account late begins where the owner's own memory begins: `begin` says where.
        if link.number > number + 1 && !(begins && link.number == copy.first_number) {
            return ReplicaOutcome::Missing(number + 1);
        }
        if !begins && link.previous_hash != hash {
            return copy.record_fork(link);
        }
        copy.head = (link.number, link.hash());
        copy.bytes += link.size_estimate();
        self.bytes += link.size_estimate();
        copy.links.push_back(link);
        while copy.bytes > self.max_bytes_per_log && copy.links.len() > 1 {
            let oldest = copy.links.pop_front().map_or(0, |link| link.size_estimate());
            copy.bytes -= oldest;
            self.bytes -= oldest;
        }
        ReplicaOutcome::New
    }

    /// An account's owner has nothing before that link any more.
    pub fn set_first_number(&mut self, name: &str, start: u64, number: u64) {
        self.logs.entry((name.to_string(), start)).or_default().first_number = number;
    }

    /// The next number that is wanted of an account.
    pub fn next_number(&self, name: &str, start: u64) -> u64 {
        self.logs.get(&(name.to_string(), start)).map_or(1, |copy| copy.head.0 + 1)
    }

    pub fn iter(&self) -> impl Iterator<Item = &ChainLink> {
        self.logs.values().flat_map(|copy| copy.links.iter().chain(&copy.forks))
    }

    /// Accounts, links and bytes that are kept.
    pub fn sizes(&self) -> (usize, usize, usize) {
        let links = self.logs.values().map(|copy| copy.links.len()).sum();
        (self.logs.len(), links, self.logs.values().map(|copy| copy.bytes).sum())
    }
}

impl LogReplica {
    fn record_fork(&mut self, link: ChainLink) -> ReplicaOutcome {
        if self.forks.len() < MAX_FORKS && !self.forks.contains(&link) {
            self.forks.push(link);
        }
        ReplicaOutcome::Forked
    }
}
