//! The format of gossip entries: a key, a revision that orders the entries of one key, and a body.
//!
//! A fleet runs two builds at a time during an upgrade. The revision is therefore not part of the body, a
//! newer body version starts with all fields of the older one, and an entry that this build cannot decode is
//! forwarded unchanged.

use serde::{Deserialize, Serialize};

use crate::aggregation::location::Location;
use crate::decode_error::DecodeError;
use crate::Ms;

/// The subject of an entry. A newer entry replaces an older one of the same key.
///
/// The order of the variants is part of the wire format.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EntryKey {
    /// The status of a router, by its name.
    Router(String),
    /// A router name that two processes use.
    NameConflict(String),
    /// The state of a cache in the endpoint list, by the cache's name.
    Cache(String),
    /// A purge of one object.
    Object(String),
    /// A purge of a group of objects.
    Group(u32),
    /// A change batch of the hierarchy, by author and number.
    Batch(u16, u64),
    /// The version floor that an operator has set.
    Floor,
    /// An update of the frequently changing versions in a router's status, by its name.
    VersionUpdate(String),
    /// The summary of a location.
    Summary(Location),
}

impl EntryKey {
    /// The key as bytes.
    pub fn encode(&self) -> Vec<u8> {
        // Postcard can encode every key.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a key; `None` for a kind that only a newer build knows.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        match postcard::take_from_bytes(bytes) {
            Ok((key, [])) => Some(key),
            _ => None,
        }
    }

    /// The urgency of an entry of this key; entries of urgency 0 are sent first. `None` is a kind that only a
    /// newer build knows.
    pub fn urgency(key: Option<&Self>) -> u8 {
        match key {
            Some(Self::NameConflict(_) | Self::Floor) => 0,
            Some(Self::Cache(_) | Self::Object(_) | Self::Group(_)) => 1,
            Some(Self::Router(_) | Self::VersionUpdate(_) | Self::Summary(_)) => 2,
            Some(Self::Batch(..)) => 3,
            None => 4,
        }
    }
}

/// The urgency of an entry of this encoded key; entries of urgency 0 are sent first.
pub fn urgency(key: &[u8]) -> u8 {
    EntryKey::urgency(EntryKey::decode(key).as_ref())
}

/// Orders the entries of a key, by epoch and then by sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Revision {
    /// By the key's kind: the incarnation for a router's status and its version updates; the rejected
    /// incarnation for a name conflict; the position in the journal for a cache; the time of issue in
    /// microseconds for a purge; the Lamport timestamp for a change batch; the hybrid clock's milliseconds
    /// for a version floor and for a summary.
    pub epoch: u64,
    /// Orders entries of the same epoch.
    pub sequence: u64,
}

impl Revision {
    /// The revision of this epoch and sequence.
    pub const fn new(epoch: u64, sequence: u64) -> Self {
        Self { epoch, sequence }
    }

    /// The revision as the bytes over which digests are computed.
    pub(crate) fn to_bytes(self) -> Vec<u8> {
        [self.epoch.to_le_bytes(), self.sequence.to_le_bytes()].concat()
    }
}

/// An entry in the form in which it is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipEntry {
    /// Orders the entries of the key.
    pub revision: Revision,
    /// The version of the body's format.
    pub body_version: u16,
    /// The body, by the key's kind.
    pub body: Vec<u8>,
}

impl GossipEntry {
    /// An entry with this body.
    pub fn new<T: Serialize>(revision: Revision, body_version: u16, body: &T) -> Self {
        Self { revision, body_version, body: postcard::to_stdvec(body).unwrap_or_default() }
    }

    /// The entry as bytes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes an entry.
    ///
    /// # Errors
    ///
    /// The bytes are not an entry.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        Ok(postcard::from_bytes(bytes)?)
    }

    /// Decodes the body, ignoring the fields that a newer version has appended to it.
    ///
    /// # Errors
    ///
    /// The body does not begin with a `T`.
    pub fn decode_body<'a, T: Deserialize<'a>>(&'a self) -> Result<T, DecodeError> {
        let (body, _) = postcard::take_from_bytes(&self.body)?;
        Ok(body)
    }
}

/// The state of a cache in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct CacheStatus {
    /// Whether the cache accepts new work.
    pub ready: bool,
    /// Whether the cache was removed from the list.
    pub removed: bool,
    /// When the cache was started.
    pub started_at: Ms,
}

/// A purge in the journal.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Purge {
    /// Copies older than this are purged.
    pub issued_at: Ms,
    /// The position of the purge in the journal.
    pub journal_position: u64,
}

const MICROS_PER_MS: f64 = 1_000.0;

/// A time in whole microseconds, by which purges are ordered.
pub fn micros(time: Ms) -> u64 {
    (time.max(0.0) * MICROS_PER_MS) as u64
}
