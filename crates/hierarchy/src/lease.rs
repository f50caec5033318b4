//! Owns the leases on fills: one under way for a key and source, the others wait for it (Nishtala et al. 2013).
//!
//! A lease ends by itself, so that a lost filler does not block. Must never let a lease outlive its time, keep
//! more than its bound, or hold a fill back because the table is full.

use std::collections::{BTreeSet, HashMap};

use linnethook::interface::Ms;
use rustc_hash::FxBuildHasher;

use crate::topology::NodeId;

/// What is being fetched, and from where.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FetchKey {
    pub source: NodeId,
    /// The object's part, by hash.
    pub key: u64,
}

/// A lease's name; never used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(u64);

/// What comes of asking for a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grant {
    /// Nobody else fetches it.
    Granted(LeaseId),
    /// Somebody does, since then.
    AlreadyLeased(LeaseId),
    /// There is no room to keep track of it: it goes without.
    Untracked,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    id: LeaseId,
    until: u64,
}

#[derive(Debug, Clone)]
pub struct LeaseTable {
    most: usize,
    last: u64,
    held: HashMap<FetchKey, Lease, FxBuildHasher>,
    by_end: BTreeSet<(u64, FetchKey)>,
}

fn micros(at: Ms) -> u64 {
    (at * 1000.0) as u64
}

impl LeaseTable {
    pub fn new(most: usize) -> Self {
        Self { most, last: 0, held: HashMap::default(), by_end: BTreeSet::new() }
    }

    pub fn len(&self) -> usize {
        self.held.len()
    }

    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Asks for the lease on a fetch, for that long at the most.
    pub fn ask(&mut self, now: Ms, fetch: FetchKey, span: Ms) -> Grant {
        let at = micros(now);
        match self.held.get(&fetch).copied() {
            Some(lease) if lease.until > at => return Grant::AlreadyLeased(lease.id),
            Some(lease) => {
                self.by_end.remove(&(lease.until, fetch));
            }
            None if self.held.len() >= self.most && !self.make_room(at) => return Grant::Untracked,
            None => {}
        }
        self.last += 1;
        let lease = Lease { id: LeaseId(self.last), until: micros(now + span) };
        self.held.insert(fetch, lease);
        self.by_end.insert((lease.until, fetch));
        Grant::Granted(lease.id)
    }

    /// Lets go of the one that ended first, if it has ended.
    fn make_room(&mut self, at: u64) -> bool {
        let Some(&(until, fetch)) = self.by_end.first().filter(|(until, _)| *until <= at) else {
            return false;
        };
        self.by_end.remove(&(until, fetch));
        self.held.remove(&fetch);
        true
    }

    /// The fetch is over; a lease that has passed on to another by now stays with that one.
    pub fn release(&mut self, fetch: FetchKey, id: LeaseId) -> bool {
        match self.held.get(&fetch) {
            Some(lease) if lease.id == id => {
                self.by_end.remove(&(lease.until, fetch));
                self.held.remove(&fetch);
                true
            }
            _ => false,
        }
    }

    /// Whether somebody has the lease now.
    pub fn is_taken(&self, now: Ms, fetch: FetchKey) -> bool {
        self.held.get(&fetch).is_some_and(|lease| lease.until > micros(now))
    }

    /// The fetches whose leases have ended by themselves; each comes once.
    pub fn expired(&mut self, now: Ms) -> Vec<FetchKey> {
        let at = micros(now);
        let mut over = Vec::new();
        while let Some(&(until, fetch)) = self.by_end.first().filter(|(until, _)| *until <= at) {
            self.by_end.remove(&(until, fetch));
            self.held.remove(&fetch);
            over.push(fetch);
        }
        over
    }

    /// When the next one ends by itself.
    pub fn next(&self) -> Option<Ms> {
        self.by_end.first().map(|(until, _)| *until as f64 / 1000.0)
    }
}
