//! Unit tests of `src/peer_message.rs`, a part of its module.

use super::*;

#[test]
fn the_kinds_of_audit_frames_stay() {
    let tags =
        [PeerMessageKind::AuditRecord, PeerMessageKind::AuditRecordsRequest, PeerMessageKind::AuditLogStart];
    assert_eq!(tags.map(PeerMessageKind::wire_tag), [0xf1, 0xf2, 0xf3]);
}

#[test]
fn the_kinds_of_frames_between_routers_stay() {
    let tags = [PeerMessageKind::SnapshotRequest, PeerMessageKind::SnapshotChunk];
    assert_eq!(tags.map(PeerMessageKind::wire_tag), [0xf4, 0xf5]);
}

#[test]
fn a_tag_is_read_as_the_kind_that_has_it() {
    for kind in PeerMessageKind::ALL {
        assert_eq!(PeerMessageKind::from_wire_tag(kind.wire_tag()), Some(kind));
    }
    assert_eq!(PeerMessageKind::from_wire_tag(0xf0), None);
    assert_eq!(PeerMessageKind::from_wire_tag(0xf6), None);
}
