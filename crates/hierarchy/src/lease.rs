//! Leases on fetches: one request at a time fetches a key from a source while others are queued (Nishtala et
//! al. 2013, "Scaling Memcache at Facebook").
//!
//! A lease expires, so that a holder whose end is never reported does not block others for good. A full table
//! grants no lease, and fetches proceed without one.

use std::collections::{BTreeSet, HashMap};

use linnethook::interface::Ms;
use rustc_hash::FxBuildHasher;

use crate::node::NodeId;

/// A fetch: the key and the source.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FetchKey {
    /// The node it is fetched from.
    pub source: NodeId,
    /// The hash of the object's part.
    pub key: u64,
}

/// The id of a lease. It is never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(u64);

/// The response to a request for a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grant {
    /// The lease is granted: no other request is fetching the key.
    Granted(LeaseId),
    /// Another request holds this lease.
    AlreadyLeased(LeaseId),
    /// The table is full: the fetch may proceed without a lease.
    Untracked,
}

/// Microseconds of Unix time, so that expiries can be ordered.
type Micros = u64;

fn micros(at: Ms) -> Micros {
    (at * 1000.0) as Micros
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    id: LeaseId,
    expires_at: Micros,
}

/// The current leases, up to a maximum number.
#[derive(Debug, Clone)]
pub struct LeaseTable {
    max_leases: usize,
    last_id: u64,
    leases: HashMap<FetchKey, Lease, FxBuildHasher>,
    by_expiry: BTreeSet<(Micros, FetchKey)>,
}

impl LeaseTable {
    /// An empty table for at most `max_leases` leases.
    pub fn new(max_leases: usize) -> Self {
        Self { max_leases, last_id: 0, leases: HashMap::default(), by_expiry: BTreeSet::new() }
    }

    /// Number of leases in the table, including expired ones that were not removed yet.
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Whether the table has no lease.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// Requests the lease on a fetch, for at most `duration` milliseconds.
    pub fn acquire(&mut self, now: Ms, fetch: FetchKey, duration: Ms) -> Grant {
        let at = micros(now);
        match self.leases.get(&fetch).copied() {
            Some(lease) if lease.expires_at > at => return Grant::AlreadyLeased(lease.id),
            Some(lease) => {
                self.by_expiry.remove(&(lease.expires_at, fetch));
            }
            None if self.leases.len() >= self.max_leases && self.remove_first_expired(at).is_none() => {
                return Grant::Untracked;
            }
            None => {}
        }
        self.last_id += 1;
        let lease = Lease { id: LeaseId(self.last_id), expires_at: micros(now + duration) };
        self.leases.insert(fetch, lease);
        self.by_expiry.insert((lease.expires_at, fetch));
        Grant::Granted(lease.id)
    }

    /// Removes the lease that expired first, and returns its fetch; `None` if no lease has expired.
    fn remove_first_expired(&mut self, at: Micros) -> Option<FetchKey> {
        let &(expires_at, fetch) = self.by_expiry.first().filter(|(expires_at, _)| *expires_at <= at)?;
        self.by_expiry.remove(&(expires_at, fetch));
        self.leases.remove(&fetch);
        Some(fetch)
    }

    /// Releases a lease when its fetch has ended. Returns whether it was still the lease on that fetch.
    pub fn release(&mut self, fetch: FetchKey, id: LeaseId) -> bool {
        match self.leases.get(&fetch) {
            Some(lease) if lease.id == id => {
                self.by_expiry.remove(&(lease.expires_at, fetch));
                self.leases.remove(&fetch);
                true
            }
            _ => false,
        }
    }

    /// Whether a request holds the lease on a fetch now.
    pub fn is_leased(&self, now: Ms, fetch: FetchKey) -> bool {
        self.leases.get(&fetch).is_some_and(|lease| lease.expires_at > micros(now))
    }

    /// Removes all expired leases, and returns their fetches in order of expiry.
    pub fn remove_expired(&mut self, now: Ms) -> Vec<FetchKey> {
        let at = micros(now);
        std::iter::from_fn(|| self.remove_first_expired(at)).collect()
    }

    /// When the next lease expires, in milliseconds of Unix time.
    pub fn next_expiry(&self) -> Option<Ms> {
        self.by_expiry.first().map(|(expires_at, _)| *expires_at as f64 / 1000.0)
    }
}
