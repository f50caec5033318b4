//! This router as a member of the cluster of routers: what it publishes to the others, and what it applies of theirs.
//!
//! - [`effects`]: what the membership asks for, and what is left of that for the router;
//! - [`commands`]: questions of the control socket.
//!
//! Drains, purges and batches that other routers know first are applied here too, by their positions in the journal. What
//! the own journal says is newer or as new wins, and gossip makes no endpoint usable that the own list has draining.

mod commands;
mod effects;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use linnethook_audit::record::{AuditedAction, WriteAttempt, WriteOutcome};
use linnethook_membership::cluster::Cluster;
use linnethook_membership::gossip::entry::{CacheStatus, EntryKey, Purge};
use linnethook_membership::snapshot_transfer::{SnapshotRequest, SnapshotTransfer};
use linnethook_membership::straggler::{
    ExclusionReason, StragglerDetector, StragglerObservation, StragglerState,
};
use linnethook_membership::versions::ActiveVersions;
use linnethook_operator_config::config::ClusterSection;
use xxhash_rust::xxh3::xxh3_64;

use crate::audit_log::AuditLogWriter;
use crate::control::SiteDetail;
use crate::discovery::event::{EndpointEntry, EndpointUpdate, PurgeEvent, WatchEvent};
use crate::hierarchy_adapter::{EnteredStage, HierarchyAdapter};
use crate::log::log_line;
use crate::peer_message::{PeerMessage, PeerMessageKind};
use crate::policy_adapter::{AttemptEnd, EndpointKey, FinalAnswer, Ms};
use crate::upstream::AttemptOrder;

pub use commands::reply;
pub use effects::ClusterEffect;

/// Milliseconds between two checks of the own versions and of stragglers.
const CHECK_INTERVAL: Ms = 200.0;

/// This router as a member of the cluster.
pub struct ClusterAdapter {
    core: Cluster,
    versions: ActiveVersions,
    last_check: Ms,
    /// The own endpoint list.
    endpoints: BTreeMap<String, EndpointEntry>,
    /// Endpoints that only other routers report as drained, with the journal's positions.
    drained: BTreeMap<String, u64>,
    drains: u64,
    purges: u64,
    batches: u64,
    audit: Option<AuditLogWriter>,
    straggler: Option<StragglerCheck>,
    /// Routers with a link.
    linked: BTreeSet<String>,
    fetch: SnapshotTransfer,
    /// Snapshots of the hierarchy that were adopted.
    adopted: u64,
    /// Questions to other sites, the newest last.
    queries: VecDeque<SiteQuery>,
}

/// A question to another site, with its answer once there is one.
struct SiteQuery {
    id: u64,
    answer: Option<SiteDetail>,
}

/// Questions that are remembered.
const MAX_QUERIES: usize = 16;

/// The check whether this router is a straggler.
struct StragglerCheck {
    voters: Vec<String>,
    core: StragglerDetector,
    /// Since when no other router is within reach.
    alone: Option<Ms>,
    /// Requests and fills that were refused for it.
    shut_out: u64,
}

fn voters(fellows: &ClusterSection) -> &[String] {
    fellows.straggler.as_ref().map_or(&[], |part| &part.voters)
}

impl ClusterAdapter {
    pub fn new(now: Ms, name: &str, fellows: &ClusterSection, settings: u64, operator: u64) -> Self {
        let build = env!("CARGO_PKG_VERSION").to_string();
        let versions = ActiveVersions {
            build,
            settings_digest: settings,
            operator_digest: operator,
            ..ActiveVersions::default()
        };
        // The same start as the gateway's.
        let start = (now * 1_000.0) as u64;
        let core = Cluster::new(now, fellows.parameters, name, start, versions.clone());
        let mut core = core.with_location(now, fellows.place.clone());
        core.set_voters(voters(fellows));
        let audit = fellows.audit.as_ref().map(|part| {
            let at = core.clock.next_timestamp(now);
            AuditLogWriter::new(now, at, part, name, start, versions.clone())
        });
        let straggler = fellows.straggler.as_ref().map(|part| StragglerCheck {
            voters: part.voters.clone(),
            core: StragglerDetector::new(part.parameters),
            alone: Some(now),
            shut_out: 0,
        });
        Self {
            core,
            versions,
            last_check: now - CHECK_INTERVAL,
            endpoints: BTreeMap::new(),
            drained: BTreeMap::new(),
            drains: 0,
            purges: 0,
            batches: 0,
            audit,
            straggler,
            linked: BTreeSet::new(),
            fetch: SnapshotTransfer::new(fellows.parameters.snapshot_transfer),
            adopted: 0,
            queries: VecDeque::new(),
        }
    }

    /// The operator file was read again. What was not there at the start begins with the next one.
    pub fn reload(&mut self, fellows: &ClusterSection, operator: u64) {
        self.versions.operator_digest = operator;
        self.core.set_config(fellows.parameters);
        self.core.set_voters(voters(fellows));
        if self.core.location() != fellows.place.as_ref() {
            log_line!(always "fellows: a place counts from the next start on");
        }
        self.fetch.set_config(fellows.parameters.snapshot_transfer);
        self.core.set_versions(&self.versions);
        if let (Some(audit), Some(part)) = (&mut self.audit, &fellows.audit) {
            audit.set_config(part.parameters);
        }
        if let (Some(behind), Some(part)) = (&mut self.straggler, &fellows.straggler) {
            behind.voters.clone_from(&part.voters);
            behind.core.set_config(part.parameters);
        }
    }

    pub fn next_deadline(&self, now: Ms) -> Ms {
        let audit = self.audit.as_ref().map(AuditLogWriter::next_deadline);
        let due = audit
            .unwrap_or(f64::INFINITY)
            .min(self.core.next_deadline(now))
            .min(self.last_check + CHECK_INTERVAL);
        due.max(now)
    }

    // ---- The account.

    fn record_action(&mut self, now: Ms, act: AuditedAction) {
        if let Some(audit) = &mut self.audit {
            audit.record_action(self.core.clock.next_timestamp(now), act);
        }
    }

    /// An attempt was sent, with the request's id.
    pub fn record_attempt(&mut self, now: Ms, ordered: &AttemptOrder, id: &str, write: bool) {
        let Some(audit) = &mut self.audit else { return };
        let at = self.core.clock.next_timestamp(now);
        let to = ordered.endpoint.number();
        match write {
            true => audit.record_write_attempt(WriteAttempt {
                request_id: id.to_string(),
                attempt: ordered.attempt.number,
                target: to,
                at,
            }),
            false => audit.record_action(at, AuditedAction::Attempt { target: to }),
        }
        if let Some(source) = ordered.fill.source.filter(|_| !ordered.fill.only_if_cached) {
            audit.record_action(at, AuditedAction::Fill { child: to, source: source.number() });
        }
    }

    /// How an attempt of what must not run twice ended.
    pub fn record_write_outcome(&mut self, now: Ms, id: &str, number: u8, end: AttemptEnd) {
        let Some(audit) = &mut self.audit else { return };
        let how = end.name().to_string();
        audit.record_write_outcome(WriteOutcome {
            request_id: id.to_string(),
            attempt: number,
            outcome: how,
            at: self.core.clock.next_timestamp(now),
        });
    }

    /// A client was answered so.
    pub fn record_answer(&mut self, now: Ms, answer: FinalAnswer) {
        match answer {
            FinalAnswer::Rejected { .. } => self.record_action(now, AuditedAction::Refused),
            FinalAnswer::Failed => self.record_action(now, AuditedAction::Failed),
            FinalAnswer::Served => {}
        }
    }

    fn run_audit_log(&mut self, now: Ms, ends: bool) {
        let Some(audit) = &mut self.audit else { return };
        if !ends && !audit.is_due(now, &self.versions, &self.linked) {
            return;
        }
        let at = self.core.clock.next_timestamp(now);
        let messages = match ends {
            true => audit.finish(now, at, &self.linked),
            false => audit.tick(now, at, &self.versions, &self.linked),
        };
        self.send_all(messages);
    }

    fn send_all(&mut self, messages: Vec<PeerMessage>) {
        for PeerMessage { to, kind, body } in messages {
            self.core.send_message(&to, kind.wire_tag(), body);
        }
    }

    // ---- Stragglers.

    /// Looks whether this router, or another one, is behind.
    fn check_straggler(&mut self, now: Ms, journal: Ms) {
        let Some(behind) = &mut self.straggler else { return };
        let floor = self.core.floor(&behind.voters);
        self.core.enforce_floor(now, floor, behind.core.config().grace_period);
        behind.alone = if self.core.has_reachable_peer() { None } else { Some(behind.alone.unwrap_or(now)) };
        let seen = StragglerObservation {
            own_version: self.versions.hierarchy.version,
            floor,
            isolated_since: behind.alone,
            journal_valid_until: journal,
        };
        if let Some(state) = behind.core.observe(now, &seen) {
            let (version, floor) = (seen.own_version, seen.floor);
            match state {
                StragglerState::UpToDate => {
                    log_line!(version, floor, "straggler: this router is level with the fleet")
                }
                StragglerState::Lagging(_) => {
                    log_line!(
                        version,
                        floor,
                        "straggler: this router is at version {version}, below {floor}"
                    );
                }
                StragglerState::Excluded(ExclusionReason::Behind) => {
                    log_line!(
                        version,
                        floor,
                        "straggler: THIS ROUTER IS SHUT OUT: it is at version {version}, below {floor}"
                    );
                }
                StragglerState::Excluded(ExclusionReason::Isolated) => {
                    log_line!(
                        version,
                        floor,
                        "straggler: THIS ROUTER IS SHUT OUT: it hears no fellow, and its journal is silent"
                    );
                }
                StragglerState::Recovering(_) => {
                    log_line!(version, floor, "straggler: this router comes back")
                }
            }
        }
    }

    /// When a client may come again whose request this router must not act on now; `None` where it may.
    pub fn exclusion(&mut self, now: Ms, object: u64) -> Option<Ms> {
        let behind = self.straggler.as_mut()?;
        let part = behind.core.admitted_ratio(now);
        // The same objects all the while that it comes back.
        if part >= 1.0 || (xxh3_64(&object.to_le_bytes()) >> 11) as f64 / ((1u64 << 53) as f64) < part {
            return None;
        }
        behind.shut_out += 1;
        let wait = behind.core.config().retry_after;
        self.record_action(now, AuditedAction::RejectedAsStraggler);
        Some(wait)
    }

    /// Lines of the own journal at a number: what fellows know of a later one still holds, and what of them is news
    /// is passed on.
    pub fn on_endpoint_update(&mut self, now: Ms, hosts: &mut EndpointUpdate, number: u64) {
        if hosts.all {
            let listed = |name: &String| hosts.targets.iter().any(|target| target.uid == *name);
            self.endpoints.retain(|name, _| listed(name));
        }
        for target in &mut hosts.targets {
            let name = target.uid.clone();
            let line =
                CacheStatus { ready: target.ready(), removed: target.gone(), started_at: target.started() };
            let before = self.endpoints.insert(name.clone(), target.clone());
            if target.gone() {
                self.endpoints.remove(&name);
            }
            let was_ready = before.is_none_or(|before| before.ready());
            self.versions.drains_applied += u64::from(was_ready && !line.ready);
            let cache = EndpointKey::of(&name).number();
            if let Some(audit) = &mut self.audit {
                audit.add_node_name(cache, &name);
            }
            if was_ready && !line.ready {
                self.record_action(
                    now,
                    AuditedAction::Drain { cache, journal_position: number, from_gossip: false },
                );
            } else if !was_ready && line.ready {
                self.record_action(
                    now,
                    AuditedAction::CacheRestored { cache, journal_position: number, from_gossip: false },
                );
            }
            // A cache is worth a word once it takes no new work, and once it does again.
            if !line.ready || !was_ready {
                self.core.publish_cache(now, &name, line, number);
            }
            if self.drained.get(&name).is_some_and(|by| *by <= number) {
                self.drained.remove(&name);
            }
            if target.ready() && self.drained.contains_key(&name) {
                target.bar();
            }
        }
    }

    /// The own journal has come that far: up to there it alone counts. The lines of caches that were barred by what
    /// lies before come back.
    fn on_journal_position(&mut self, number: u64) -> Vec<EndpointEntry> {
        self.versions.journal_position = number;
        let past = self.drained.extract_if(.., |_, by| *by <= number);
        let names: Vec<String> = past.map(|(name, _)| name).collect();
        names.iter().filter_map(|name| self.endpoints.get(name).cloned()).collect()
    }

    /// What a fellow says of a cache by a number of the journal: its line from now on, where that is news here.
    fn apply_cache_status(&mut self, name: &str, line: CacheStatus, number: u64) -> Option<EndpointEntry> {
        if number <= self.versions.journal_position {
            return None;
        }
        let target = self.endpoints.get(name)?;
        if !line.ready {
            let new = self.drained.insert(name.to_string(), number).is_none();
            let mut target = target.clone();
            let counts = new && target.ready();
            self.drains += u64::from(counts);
            self.versions.drains_applied += u64::from(counts);
            target.bar();
            return counts.then_some(target);
        }
        // It is back. One that has started anew is cold, and that is for the own journal to tell.
        if line.started_at != target.started() {
            return None;
        }
        self.drained.remove(name).map(|_| target.clone())
    }

    // ---- Events.

    /// Publishes a purge of the own journal to routers whose journal is silent.
    pub fn on_watch_event(&mut self, now: Ms, event: &WatchEvent) {
        let Some(purge) = &event.expire else { return };
        self.versions.purges_applied += 1;
        self.record_action(now, AuditedAction::Purge { journal_position: event.pos, from_gossip: false });
        let published = Purge { issued_at: purge.stamp, journal_position: event.pos };
        self.core.publish_purge(now, &to_purge_key(purge), published);
    }

    /// The link to another router came up, or went down.
    pub fn set_link(&mut self, name: &str, incarnation: u64, up: bool) {
        self.core.set_link(name, incarnation, up);
        self.linked = self.core.members().links().map(|(name, _)| name.clone()).collect();
    }

    /// Another router has gossiped an entry.
    pub fn on_entry(&mut self, now: Ms, from: &str, key: &[u8], entry: &[u8]) {
        self.core.receive(now, from, key, entry);
    }

    /// Tells the other routers that this one leaves.
    pub fn leave(&mut self, now: Ms) {
        self.core.leave(now);
    }

    /// Writes the last record of the audit log, and leaves.
    pub fn end_audit_log(&mut self, now: Ms) {
        self.run_audit_log(now, true);
        self.core.leave(now);
    }

    /// Does what is due. Lines of the endpoint list are returned that other routers' reports no longer override.
    pub fn on_timer(
        &mut self,
        now: Ms,
        hierarchy: Option<&mut HierarchyAdapter>,
        journal_position: u64,
        journal_silence_allowed_until: Ms,
    ) -> Vec<EndpointEntry> {
        let check_due = now - self.last_check >= CHECK_INTERVAL;
        if let Some(hierarchy) = hierarchy {
            self.publish_hierarchy(now, hierarchy, check_due);
        }
        let restored = self.on_journal_position(journal_position);
        self.core.set_versions(&self.versions);
        if check_due {
            self.last_check = now;
            self.check_straggler(now, journal_silence_allowed_until);
        }
        self.run_audit_log(now, false);
        self.core.tick(now);
        restored
    }

    /// Publishes new batches of the hierarchy, and requests a snapshot where this router is behind.
    fn publish_hierarchy(&mut self, now: Ms, hierarchy: &mut HierarchyAdapter, check_due: bool) {
        for batch in hierarchy.drain_outgoing_batches() {
            let body = postcard::to_stdvec(&batch).unwrap_or_default();
            if self.core.publish_batch(now, batch.author, batch.number, batch.stamp, body) {
                let (author, number) = (batch.author, batch.number);
                self.record_action(now, AuditedAction::Batch { author, number, from_gossip: false });
            }
        }
        for EnteredStage { target, stage } in hierarchy.drain_stage_transitions() {
            self.record_action(now, AuditedAction::RolloutStage { target, stage });
        }
        if !check_due {
            return;
        }
        self.versions.hierarchy = hierarchy.active_version();
        self.core.set_versions(&self.versions);
        // A router that is ahead though all entries are here has batches that are no longer gossiped.
        let request = self.fetch.next_request(now, &self.core.peers_ahead());
        if let Some(SnapshotRequest { peer, request_id }) = request {
            let bytes = postcard::to_stdvec(&request_id).unwrap_or_default();
            self.core.send_message(&peer, PeerMessageKind::SnapshotRequest.wire_tag(), bytes);
        }
    }
}

impl fmt::Display for ClusterAdapter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = &self.core.counters;
        write!(
            f,
            "fellows={} fellow_said={} fellow_bytes={} fellow_heard={} fellow_repaired={} fellow_drains={} fellow_purges={} fellow_batches={}",
            self.core.members().iter().count(),
            counts.messages_sent,
            counts.bytes_sent,
            counts.messages_received,
            counts.entries_repaired,
            self.drains,
            self.purges,
            self.batches
        )
    }
}

fn to_purge_key(purge: &PurgeEvent) -> EntryKey {
    match &purge.object {
        Some(name) => EntryKey::Object(name.clone()),
        None => EntryKey::Group(purge.group),
    }
}
