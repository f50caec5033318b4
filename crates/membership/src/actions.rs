//! What the cluster asks its owner to do: messages to send, news to apply, events to log.

use serde::{Deserialize, Serialize};

use crate::aggregation::location::Location;
use crate::gossip::entry::{CacheStatus, EntryKey, Purge};
use crate::membership::MemberChange;
use crate::view::RouterView;

/// A key and an entry, as bytes.
pub type EncodedEntry = (Vec<u8>, Vec<u8>);

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum ClusterAction {
    /// To all fellows that there is a link with; whoever comes later gets it too.
    Broadcast(Vec<EncodedEntry>),
    /// Need not be said to those that come later any more.
    Retract(Vec<u8>),
    /// To that fellow alone.
    SendTo(String, Vec<EncodedEntry>),
    /// No links with fellows any more.
    CloseLinks,
    /// News of the journal from elsewhere, with its number.
    CacheChanged {
        name: String,
        status: CacheStatus,
        journal_position: u64,
    },
    Purged {
        key: EntryKey,
        purge: Purge,
    },
    /// A batch of the hierarchy, as whoever told it has written it.
    BatchReceived(Vec<u8>),
    /// A word of another part, from one fellow alone.
    Message {
        from: String,
        kind: u8,
        bytes: Vec<u8>,
    },
    /// What a site answered to a question that was asked here.
    Answer {
        id: u64,
        location: Location,
        routers: Vec<RouterView>,
    },
    Event(ClusterEvent),
}

/// Something that people are told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClusterEvent {
    Member {
        name: String,
        incarnation: u64,
        change: MemberChange,
    },
    /// A process under this router's name that started later, at that time: it is refused.
    NameConflict {
        incarnation: u64,
    },
    /// This process is the later one: the name is held by that start.
    Refused {
        holder: u64,
    },
    /// This process was frozen, and a later one holds its name.
    Yielded {
        holder: u64,
    },
    /// It did nothing for so long, in milliseconds.
    Frozen(u64),
}

/// Whether this router takes part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Participation {
    #[serde(rename = "Takes")]
    Active,
    /// Another start of the name holds it.
    Refused(u64),
    Yielded(u64),
}
