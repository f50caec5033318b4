//! Snapshots of the hierarchy, for routers that are too far behind to catch up by batches.

use linnethook_membership::snapshot_transfer::{split_snapshot, SnapshotRequest};
use linnethook_membership::versions::HierarchyVersion;

use crate::hierarchy_adapter::HierarchyAdapter;
use crate::log::log_line;
use crate::peer_message::PeerMessageKind;
use crate::policy_adapter::Ms;

use super::{ClusterAdapter, ClusterEffect};

impl ClusterAdapter {
    /// Requests a snapshot if one is due.
    pub(super) fn request_snapshot(&mut self, now: Ms) {
        // If a peer is ahead for longer than gossip takes, it has batches that are no longer gossiped.
        let request = self.snapshot_transfer.next_request(now, &self.membership.peers_ahead());
        if let Some(SnapshotRequest { peer, request_id }) = request {
            let body = postcard::to_stdvec(&request_id).unwrap_or_default();
            self.membership.send_message(&peer, PeerMessageKind::SnapshotRequest.wire_tag(), body);
        }
    }

    /// Sends this router's hierarchy to a peer that has requested it.
    pub(super) fn on_snapshot_request(
        &mut self,
        hierarchy: Option<&mut HierarchyAdapter>,
        from: &str,
        body: &[u8],
    ) {
        let Ok(request_id) = postcard::from_bytes::<u64>(body) else { return };
        let Some(hierarchy) = hierarchy else { return };
        for chunk in split_snapshot(request_id, &hierarchy.encode_snapshot(), self.snapshot_transfer.config())
        {
            let body = postcard::to_stdvec(&chunk).unwrap_or_default();
            self.membership.send_message(from, PeerMessageKind::SnapshotChunk.wire_tag(), body);
        }
    }

    /// Accepts a chunk of a snapshot, which is restored once it is complete.
    pub(super) fn on_snapshot_chunk(
        &mut self,
        now: Ms,
        hierarchy: Option<&mut HierarchyAdapter>,
        from: &str,
        body: &[u8],
    ) -> Option<ClusterEffect> {
        let chunk = postcard::from_bytes(body).ok()?;
        let snapshot = self.snapshot_transfer.receive_chunk(now, from, &chunk)?;
        self.restore_snapshot(now, hierarchy?, from, &snapshot);
        Some(ClusterEffect::HierarchyChanged)
    }

    fn restore_snapshot(&mut self, now: Ms, hierarchy: &mut HierarchyAdapter, from: &str, snapshot: &[u8]) {
        match hierarchy.restore_snapshot(now, snapshot) {
            Ok(()) => {
                self.applied_from_gossip.snapshots += 1;
                self.versions.hierarchy = hierarchy.active_version();
                let HierarchyVersion { version, digest } = self.versions.hierarchy;
                log_line!(
                    version,
                    "fellows: restored the hierarchy from a snapshot of {from}, digest {digest:016x}"
                );
            }
            Err(reason) => log_line!(%reason, "fellows: the snapshot of {from} was not restored"),
        }
    }
}
