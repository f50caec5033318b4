//! Messages from router to router that the membership delivers without reading them.

/// What a message is; the number on the wire is given by [`Self::wire_tag`] alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerMessageKind {
    /// A record of the sender's audit log.
    AuditRecord,
    /// The records of the receiver's audit log from a position on are wanted.
    AuditRecordsRequest,
    /// The sender has no record of its audit log before a position any more.
    AuditLogStart,
    /// A snapshot of the hierarchy is wanted.
    SnapshotRequest,
    /// A part of such a snapshot.
    SnapshotChunk,
}

impl PeerMessageKind {
    const ALL: [Self; 5] = [
        Self::AuditRecord,
        Self::AuditRecordsRequest,
        Self::AuditLogStart,
        Self::SnapshotRequest,
        Self::SnapshotChunk,
    ];

    /// The number of this kind on the wire.
    pub fn wire_tag(self) -> u8 {
        match self {
            Self::AuditRecord => 0xf1,
            Self::AuditRecordsRequest => 0xf2,
            Self::AuditLogStart => 0xf3,
            Self::SnapshotRequest => 0xf4,
            Self::SnapshotChunk => 0xf5,
        }
    }

    /// The kind with that number; `None` for one that this build does not know.
    pub fn from_wire_tag(tag: u8) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.wire_tag() == tag)
    }
}

/// A message to another router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerMessage {
    /// The receiver's name.
    pub to: String,
    pub kind: PeerMessageKind,
    /// The encoded content, by the kind.
    pub body: Vec<u8>,
}

#[cfg(test)]
#[path = "../tests/unit/peer_message.rs"]
mod tests;
