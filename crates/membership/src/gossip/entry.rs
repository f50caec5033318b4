//! The envelope of everything that routers gossip: a key, a revision that orders entries of one key, and a body.
//!
//! A fleet runs two builds at a time during an upgrade. The revision is therefore kept outside the body, a newer body
//! version starts with all fields of the older one, and an entry that this build cannot read is forwarded unchanged.

use serde::{Deserialize, Serialize};

use crate::aggregation::location::Location;
use crate::Ms;

/// What a fact is about. A later fact of the same key takes the place of an earlier one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EntryKey {
    /// What a router says of itself.
    Router(String),
    /// Two processes under one name.
    NameConflict(String),
    /// A line of the list of caches, as the journal had it at a number.
    Cache(String),
    /// A purge.
    Object(String),
    Group(u32),
    /// A batch of the hierarchy, by author and number.
    Batch(u16, u64),
    /// The version below which nobody is to act, by people.
    Floor,
    /// How far a router of a site has come; what else it says of itself is as it was.
    VersionUpdate(String),
    /// A place as a whole.
    Summary(Location),
}

impl EntryKey {
    pub fn encode(&self) -> Vec<u8> {
        // Keys hold nothing that postcard can't write.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// `None` for a kind that a newer build has.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        match postcard::take_from_bytes(bytes) {
            Ok((key, [])) => Some(key),
            _ => None,
        }
    }
}

/// How new a fact is: a start or a number of the journal first.
pub type Revision = (u64, u64);

/// A fact as it travels.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipEntry {
    pub revision: Revision,
    pub body_version: u16,
    pub body: Vec<u8>,
}

impl GossipEntry {
    pub fn new<T: Serialize>(order: Revision, version: u16, body: &T) -> Self {
        Self { revision: order, body_version: version, body: postcard::to_stdvec(body).unwrap_or_default() }
    }

    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    /// The body, whatever a newer version has behind it.
    pub fn decode_body<'a, T: Deserialize<'a>>(&'a self) -> Option<T> {
        postcard::take_from_bytes(&self.body).ok().map(|(body, _)| body)
    }
}

/// How a cache stands by the journal.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct CacheStatus {
    pub ready: bool,
    pub removed: bool,
    pub started_at: Ms,
}

/// A purge by the journal.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Purge {
    pub issued_at: Ms,
    /// The journal's number.
    pub journal_position: u64,
}

/// Stamps are ordered by their microseconds.
pub fn micros(stamp: Ms) -> u64 {
    (stamp.max(0.0) * 1_000.0) as u64
}
