//! Snapshots of the hierarchy, for routers that are too far behind for batches.

use linnethook_membership::snapshot_transfer::{split_snapshot, SnapshotRequest};
use linnethook_membership::versions::HierarchyVersion;

use crate::hierarchy_adapter::HierarchyAdapter;
use crate::log::log_line;
use crate::peer_message::PeerMessageKind;
use crate::policy_adapter::Ms;

use super::{ClusterAdapter, ClusterEffect};

impl ClusterAdapter {
    /// Requests a snapshot where it is time for that.
    pub(super) fn request_snapshot(&mut self, now: Ms) {
        // A router that is ahead though all entries are here has batches that are no longer gossiped.
        let request = self.snapshot_transfer.next_request(now, &self.membership.peers_ahead());
        if let Some(SnapshotRequest { peer, request_id }) = request {
            let body = postcard::to_stdvec(&request_id).unwrap_or_default();
            self.membership.send_message(&peer, PeerMessageKind::SnapshotRequest.wire_tag(), body);
        }
    }

    /// Sends the own hierarchy to a router that has requested it.
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

    /// Takes in a part of a snapshot, which is adopted once it is complete.
    pub(super) fn on_snapshot_chunk(
        &mut self,
        now: Ms,
        hierarchy: Option<&mut HierarchyAdapter>,
        from: &str,
        body: &[u8],
    ) -> Option<ClusterEffect> {
        let chunk = postcard::from_bytes(body).ok()?;
        let snapshot = self.snapshot_transfer.receive_chunk(now, from, &chunk)?;
        self.adopt_snapshot(now, hierarchy?, from, &snapshot);
        Some(ClusterEffect::HierarchyChanged)
    }

    fn adopt_snapshot(&mut self, now: Ms, hierarchy: &mut HierarchyAdapter, from: &str, snapshot: &[u8]) {
        match hierarchy.restore_snapshot(now, snapshot) {
            Ok(()) => {
                self.applied_from_gossip.snapshots += 1;
                self.versions.hierarchy = hierarchy.active_version();
                let HierarchyVersion { version, digest } = self.versions.hierarchy;
                log_line!(version, "fellows: the hierarchy of {from} was adopted, with digest {digest:016x}");
            }
            Err(reason) => log_line!(%reason, "fellows: the hierarchy of {from} was not adopted"),
        }
    }
}
