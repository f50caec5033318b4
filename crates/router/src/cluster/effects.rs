//! What the membership asks for: it is done here, but for what the router has to do.

use linnethook_audit::record::AuditedAction;
use linnethook_gateway::gateway::Gateway;
use linnethook_hierarchy::change_spec::BatchSpec;
use linnethook_membership::actions::{ClusterAction, ClusterEvent};
use linnethook_membership::gossip::entry::{CacheStatus, EntryKey, Purge};
use linnethook_membership::membership::MemberChange;
use linnethook_membership::snapshot_transfer::split_snapshot;
use linnethook_membership::versions::HierarchyVersion;

use crate::clock::Clock;
use crate::control::SiteDetail;
use crate::discovery::event::{EndpointEntry, PurgeEvent};
use crate::hierarchy_adapter::HierarchyAdapter;
use crate::log::log_line;
use crate::peer_message::PeerMessageKind;
use crate::policy_adapter::{EndpointKey, Ms};

use super::ClusterAdapter;

/// What is left to the router.
#[derive(Debug)]
pub enum ClusterEffect {
    /// A line of the endpoint list with what other routers report of it.
    EndpointChanged(EndpointEntry),
    Purge(PurgeEvent),
    /// The sources of fills may have changed.
    HierarchyChanged,
}

impl ClusterAdapter {
    /// The next thing that the router is to do; `None` once the membership asks for nothing more.
    pub fn next_effect(
        &mut self,
        clock: &Clock,
        gateway: &mut Gateway,
        mut hierarchy: Option<&mut HierarchyAdapter>,
    ) -> Option<ClusterEffect> {
        loop {
            let now = clock.now();
            let effect = match self.core.next_action()? {
                ClusterAction::Broadcast(entries) => {
                    gateway.broadcast_to_peers(now, entries);
                    None
                }
                ClusterAction::Retract(key) => {
                    gateway.remove_peer_entry(key);
                    None
                }
                ClusterAction::SendTo(name, entries) => {
                    gateway.send_to_peer(&name, entries);
                    None
                }
                ClusterAction::CloseLinks => {
                    gateway.disconnect_peers(now);
                    None
                }
                ClusterAction::CacheChanged { name, status, journal_position } => {
                    self.on_cache_changed(now, &name, status, journal_position)
                }
                ClusterAction::Purged { key, purge } => self.on_purged(now, key, &purge),
                ClusterAction::BatchReceived(body) => self.on_batch(now, hierarchy.as_deref_mut(), &body),
                ClusterAction::Message { from, kind, bytes } => {
                    self.on_message(now, hierarchy.as_deref_mut(), &from, kind, &bytes)
                }
                ClusterAction::Answer { id, location, routers } => {
                    if let Some(query) = self.queries.iter_mut().find(|query| query.id == id) {
                        query.answer = Some(SiteDetail { location: location.to_string(), routers });
                    }
                    None
                }
                ClusterAction::Event(event) => {
                    log_event(&event);
                    None
                }
            };
            if effect.is_some() {
                return effect;
            }
        }
    }

    fn on_cache_changed(
        &mut self,
        now: Ms,
        name: &str,
        status: CacheStatus,
        journal_position: u64,
    ) -> Option<ClusterEffect> {
        let entry = self.apply_cache_status(name, status, journal_position)?;
        let cache = EndpointKey::of(name).number();
        let action = match status.ready {
            true => AuditedAction::CacheRestored { cache, journal_position, from_gossip: true },
            false => AuditedAction::Drain { cache, journal_position, from_gossip: true },
        };
        self.record_action(now, action);
        let how = if status.ready { "back" } else { "drained" };
        log_line!(number = journal_position, "fellows: {name} is {how}, by the journal as fellows have it");
        Some(ClusterEffect::EndpointChanged(entry))
    }

    fn on_purged(&mut self, now: Ms, key: EntryKey, purge: &Purge) -> Option<ClusterEffect> {
        let journal_position = purge.journal_position;
        if journal_position <= self.versions.journal_position {
            return None;
        }
        self.purges += 1;
        self.versions.purges_applied += 1;
        self.record_action(now, AuditedAction::Purge { journal_position, from_gossip: true });
        let (object, group) = match key {
            EntryKey::Object(name) => (Some(name), 0),
            EntryKey::Group(group) => (None, group),
            _ => return None,
        };
        log_line!(number = journal_position, "fellows: a purge, by the journal as fellows have it");
        Some(ClusterEffect::Purge(PurgeEvent { object, group, stamp: purge.issued_at }))
    }

    /// Applies a batch of changes of the hierarchy.
    fn on_batch(
        &mut self,
        now: Ms,
        hierarchy: Option<&mut HierarchyAdapter>,
        body: &[u8],
    ) -> Option<ClusterEffect> {
        let hierarchy = hierarchy?;
        let batch = postcard::from_bytes::<BatchSpec>(body).ok()?;
        let before = hierarchy.active_version();
        if let Err(reason) = hierarchy.apply_gossip_batch(now, &batch) {
            log_line!("fellows: batch {}/{}: {reason}", batch.author, batch.number);
        }
        if hierarchy.active_version() != before {
            self.batches += 1;
            let (author, number) = (batch.author, batch.number);
            self.record_action(now, AuditedAction::Batch { author, number, from_gossip: true });
            log_line!(author, number, "fellows: a batch was heard from fellows first");
        }
        Some(ClusterEffect::HierarchyChanged)
    }

    fn on_message(
        &mut self,
        now: Ms,
        hierarchy: Option<&mut HierarchyAdapter>,
        from: &str,
        kind: u8,
        bytes: &[u8],
    ) -> Option<ClusterEffect> {
        match PeerMessageKind::from_wire_tag(kind)? {
            PeerMessageKind::SnapshotRequest => {
                let request_id = postcard::from_bytes::<u64>(bytes);
                if let (Ok(request_id), Some(hierarchy)) = (request_id, hierarchy) {
                    self.send_snapshot(from, request_id, hierarchy);
                }
                None
            }
            PeerMessageKind::SnapshotChunk => {
                let chunk = postcard::from_bytes(bytes).ok()?;
                let snapshot = self.fetch.receive_chunk(now, from, &chunk)?;
                self.adopt(now, hierarchy?, from, &snapshot)
            }
            kind => {
                let messages = self.audit.as_mut().map(|audit| audit.on_message(from, kind, bytes));
                self.send_all(messages.unwrap_or_default());
                None
            }
        }
    }

    fn send_snapshot(&mut self, to: &str, request_id: u64, hierarchy: &HierarchyAdapter) {
        for chunk in split_snapshot(request_id, &hierarchy.encode_snapshot(), self.fetch.config()) {
            let bytes = postcard::to_stdvec(&chunk).unwrap_or_default();
            self.core.send_message(to, PeerMessageKind::SnapshotChunk.wire_tag(), bytes);
        }
    }

    /// Adopts the hierarchy of another router: this one was too far behind for batches.
    fn adopt(
        &mut self,
        now: Ms,
        hierarchy: &mut HierarchyAdapter,
        from: &str,
        snapshot: &[u8],
    ) -> Option<ClusterEffect> {
        match hierarchy.restore_snapshot(now, snapshot) {
            Ok(()) => {
                self.adopted += 1;
                self.versions.hierarchy = hierarchy.active_version();
                let HierarchyVersion { version, digest } = self.versions.hierarchy;
                log_line!(version, "fellows: the hierarchy was taken over whole from {from}: version {version}, {digest:016x}");
            }
            Err(reason) => log_line!("fellows: the hierarchy of {from} was not taken over: {reason}"),
        }
        Some(ClusterEffect::HierarchyChanged)
    }
}

/// Writes a change of the membership to the log.
fn log_event(event: &ClusterEvent) {
    match event {
        ClusterEvent::Member { name, incarnation: start, change } => {
            let how = match change {
                MemberChange::Joined => "is there".to_string(),
                MemberChange::Restarted(before) => format!("has started again, after start {before}"),
                MemberChange::StateChanged(standing) => format!("is {}", standing.name()),
                MemberChange::Forgotten => "is forgotten".to_string(),
            };
            log_line!(fellow = name.as_str(), start = *start, "fellows: {name} {how}");
        }
        ClusterEvent::NameConflict { incarnation: start } => {
            log_line!(
                start = *start,
                "fellows: ANOTHER PROCESS HAS THIS ROUTER'S NAME; it started later, and is refused"
            );
        }
        ClusterEvent::Refused { holder } => {
            log_line!(
                holder = *holder,
                "fellows: THIS ROUTER'S NAME IS TAKEN by an earlier start; it takes no part"
            );
        }
        ClusterEvent::Yielded { holder } => {
            log_line!(
                holder = *holder,
                "fellows: this process was frozen, and a later start holds its name; it takes no part"
            );
        }
        ClusterEvent::Frozen(ms) => log_line!(ms = *ms, "fellows: this process did nothing for {ms} ms"),
    }
}
