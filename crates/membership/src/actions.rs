//! Actions that a cluster requests from its owner: messages to send, received updates to apply, events to
//! log.

use serde::{Deserialize, Serialize};

use crate::aggregation::location::Location;
use crate::gossip::entry::{CacheStatus, EntryKey, Purge};
use crate::membership::MemberChange;
use crate::view::RouterView;

/// An entry or a message in the form in which it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EncodedEntry {
    /// The encoded key of an entry, or the tag of a message.
    pub key: Vec<u8>,
    /// The encoded entry, or the body of the message.
    pub value: Vec<u8>,
}

impl EncodedEntry {
    /// An entry with this key, or a message with this tag.
    pub fn new(key: Vec<u8>, value: Vec<u8>) -> Self {
        Self { key, value }
    }

    /// The number of bytes of the key and the value.
    pub fn byte_count(&self) -> usize {
        self.key.len() + self.value.len()
    }
}

/// An action for the owner of the cluster to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum ClusterAction {
    /// Send these entries to all peers, and to every peer that connects later.
    Broadcast(Vec<EncodedEntry>),
    /// Do not send the entry of this key to peers that connect from now on.
    Retract(Vec<u8>),
    /// Send these entries to one peer.
    SendTo(String, Vec<EncodedEntry>),
    /// Close all links with peers and open no more.
    CloseLinks,
    /// The state of a cache in the endpoint list, from another router's journal.
    CacheChanged {
        /// The cache.
        name: String,
        /// Its state.
        status: CacheStatus,
        /// The position in the journal.
        journal_position: u64,
    },
    /// A purge from another router's journal.
    Purged {
        /// The object or the group that is purged.
        key: EntryKey,
        /// Which copies are purged.
        purge: Purge,
    },
    /// A change batch of the hierarchy, as its author encoded it.
    BatchReceived(Vec<u8>),
    /// A message from a peer for another component of the router.
    Message {
        /// The peer.
        from: String,
        /// The tag of the message.
        kind: u8,
        /// Its body.
        bytes: Vec<u8>,
    },
    /// The answer of a site to a query of this router.
    Answer {
        /// The id of the query.
        id: u64,
        /// The site.
        location: Location,
        /// Its routers.
        routers: Vec<RouterView>,
    },
    /// An event to log.
    Event(ClusterEvent),
}

/// An event for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClusterEvent {
    /// The membership of a router changed.
    Member {
        /// The router.
        name: String,
        /// Its incarnation.
        incarnation: u64,
        /// What changed.
        change: MemberChange,
    },
    /// A later incarnation under this router's name was rejected.
    NameConflict {
        /// The rejected incarnation.
        incarnation: u64,
    },
    /// This process is the later incarnation of its name and was rejected.
    Refused {
        /// The incarnation that holds the name.
        holder: u64,
    },
    /// This process was frozen and yields its name to a later incarnation.
    Yielded {
        /// The incarnation that holds the name.
        holder: u64,
    },
    /// This process did not run for this many milliseconds.
    Frozen(u64),
}

/// Whether this router participates in the cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Participation {
    /// It participates.
    #[serde(rename = "Takes")]
    Active,
    /// It was rejected; carries the incarnation that holds the name.
    Refused(u64),
    /// It yielded; carries the incarnation that holds the name.
    Yielded(u64),
}
