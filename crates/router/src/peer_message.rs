//! Messages between routers that the membership delivers without decoding them.

/// The kind of a message. Only [`Self::wire_tag`] determines its tag on the wire, not the order of the
/// variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerMessageKind {
    /// A record of the sender's audit log.
    AuditRecord,
    /// A request for the records of the receiver's audit log from a position on.
    AuditRecordsRequest,
    /// The first position from which the sender still has the records of its audit log.
    AuditLogStart,
    /// A request for a snapshot of the hierarchy.
    SnapshotRequest,
    /// A chunk of a snapshot of the hierarchy.
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

    /// The tag of this kind on the wire.
    pub fn wire_tag(self) -> u8 {
        match self {
            Self::AuditRecord => 0xf1,
            Self::AuditRecordsRequest => 0xf2,
            Self::AuditLogStart => 0xf3,
            Self::SnapshotRequest => 0xf4,
            Self::SnapshotChunk => 0xf5,
        }
    }

    /// The kind with that tag; `None` if this build does not know the tag.
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
    /// The encoded content, whose type depends on the kind.
    pub body: Vec<u8>,
}

#[cfg(test)]
#[path = "../tests/unit/peer_message.rs"]
mod tests;
