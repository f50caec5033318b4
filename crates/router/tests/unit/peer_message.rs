//! Unit tests of `src/peer_message.rs`, as a submodule of it.

use super::*;

#[test]
fn the_tags_of_audit_messages_are_stable() {
    let tags =
        [PeerMessageKind::AuditRecord, PeerMessageKind::AuditRecordsRequest, PeerMessageKind::AuditLogStart];
    assert_eq!(tags.map(PeerMessageKind::wire_tag), [0xf1, 0xf2, 0xf3]);
}

#[test]
fn the_tags_of_snapshot_messages_are_stable() {
    let tags = [PeerMessageKind::SnapshotRequest, PeerMessageKind::SnapshotChunk];
    assert_eq!(tags.map(PeerMessageKind::wire_tag), [0xf4, 0xf5]);
}

#[test]
fn a_tag_decodes_to_its_kind_and_an_unknown_tag_to_none() {
    for kind in PeerMessageKind::ALL {
        assert_eq!(PeerMessageKind::from_wire_tag(kind.wire_tag()), Some(kind));
    }
    assert_eq!(PeerMessageKind::from_wire_tag(0xf0), None);
    assert_eq!(PeerMessageKind::from_wire_tag(0xf6), None);
}
