//! Executes the actions of the membership, and returns the effects that the router has to apply.

use linnethook_gateway::gateway::{Gateway, PeerEntry};
use linnethook_membership::actions::{ClusterAction, EncodedEntry};

use crate::clock::Clock;
use crate::control::SiteDetail;
use crate::discovery::event::{EndpointEntry, PurgeEvent};
use crate::hierarchy_adapter::HierarchyAdapter;
use crate::peer_message::PeerMessageKind;
use crate::policy_adapter::Ms;

use super::membership_log::log_event;
use super::ClusterAdapter;

/// An effect that the router has to apply.
#[derive(Debug)]
pub enum ClusterEffect {
    /// The entry of an endpoint, including the state that other routers report.
    EndpointChanged(EndpointEntry),
    Purge(PurgeEvent),
    /// The fill sources may have changed.
    HierarchyChanged,
}

impl ClusterAdapter {
    /// Executes the actions of the membership up to the next one that has an effect for the router; `None` if
    /// there is none.
    pub fn next_effect(
        &mut self,
        clock: &Clock,
        gateway: &mut Gateway,
        mut hierarchy: Option<&mut HierarchyAdapter>,
    ) -> Option<ClusterEffect> {
        loop {
            let action = self.membership.next_action()?;
            let effect = self.execute(clock.now(), action, gateway, hierarchy.as_deref_mut());
            if effect.is_some() {
                return effect;
            }
        }
    }

    fn execute(
        &mut self,
        now: Ms,
        action: ClusterAction,
        gateway: &mut Gateway,
        hierarchy: Option<&mut HierarchyAdapter>,
    ) -> Option<ClusterEffect> {
        match action {
            ClusterAction::CacheChanged { name, status, journal_position } => {
                return self.on_cache_changed(now, &name, status, journal_position);
            }
            ClusterAction::Purged { key, purge } => return self.on_purged(now, key, &purge),
            ClusterAction::BatchReceived(body) => return self.on_batch(now, hierarchy, &body),
            ClusterAction::Message { from, kind, bytes } => {
                let kind = PeerMessageKind::from_wire_tag(kind)?;
                return self.on_message(now, hierarchy, &from, kind, &bytes);
            }
            ClusterAction::Broadcast(entries) => gateway.broadcast_to_peers(now, peer_entries(entries)),
            ClusterAction::Retract(key) => gateway.remove_peer_entry(key),
            ClusterAction::SendTo(name, entries) => gateway.send_to_peer(&name, peer_entries(entries)),
            ClusterAction::CloseLinks => gateway.disconnect_peers(now),
            ClusterAction::Answer { id, location, routers } => {
                self.queries.set_answer(id, SiteDetail { location: location.to_string(), routers });
            }
            ClusterAction::Event(event) => log_event(&event),
        }
        None
    }

    fn on_message(
        &mut self,
        now: Ms,
        hierarchy: Option<&mut HierarchyAdapter>,
        from: &str,
        kind: PeerMessageKind,
        body: &[u8],
    ) -> Option<ClusterEffect> {
        match kind {
            PeerMessageKind::SnapshotChunk => self.on_snapshot_chunk(now, hierarchy, from, body),
            PeerMessageKind::SnapshotRequest => {
                self.on_snapshot_request(hierarchy, from, body);
                None
            }
            PeerMessageKind::AuditRecord
            | PeerMessageKind::AuditRecordsRequest
            | PeerMessageKind::AuditLogStart => {
                let audit_log = self.audit_log.as_mut();
                let replies = audit_log.map(|audit_log| audit_log.on_message(from, kind, body));
                self.send_all(replies.unwrap_or_default());
                None
            }
        }
    }
}

/// Converts entries of the membership to entries of the gateway.
fn peer_entries(entries: Vec<EncodedEntry>) -> Vec<PeerEntry> {
    entries.into_iter().map(|EncodedEntry { key, value }| PeerEntry { key, value }).collect()
}
