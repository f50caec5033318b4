//! This router as a member of the cluster of routers: what it publishes to its peers, and what it applies
//! from them.
//!
//! - [`effects`]: the actions of the membership, and their effects for the router;
//! - [`journal`]: drains and purges of this router's journal, and those of other routers' journals;
//! - [`endpoint_overrides`]: endpoints that only other routers report as drained;
//! - [`batches`], [`snapshot`]: changes of the hierarchy, and snapshots of it if this router is too far
//!   behind;
//! - [`audit`]: recording in the audit log;
//! - [`straggler`]: whether this router is a straggler, and the requests that it then rejects;
//! - [`commands`], [`queries`]: control socket requests, including queries to other sites;
//! - [`membership_log`]: log lines about membership events.
//!
//! Drains, purges and batches that other routers received first are applied here too. Drains and purges are
//! compared by their journal positions: this router's journal takes precedence up to the position that it has
//! reached. Gossip never makes an endpoint usable that is draining in this router's endpoint list.

mod audit;
mod batches;
mod commands;
mod effects;
mod endpoint_overrides;
mod journal;
mod membership_log;
mod queries;
mod snapshot;
mod straggler;

use std::collections::BTreeSet;
use std::fmt;

use linnethook_membership::cluster::Cluster;
use linnethook_membership::snapshot_transfer::SnapshotTransfer;
use linnethook_membership::versions::ActiveVersions;
use linnethook_operator_config::config::ClusterSection;

use crate::audit_log::AuditLogWriter;
use crate::discovery::event::EndpointEntry;
use crate::hierarchy_adapter::HierarchyAdapter;
use crate::log::log_line;
use crate::peer_message::PeerMessage;
use crate::policy_adapter::Ms;

use endpoint_overrides::EndpointOverrides;
use queries::SiteQueries;
use straggler::StragglerCheck;

pub use commands::reply;
pub use effects::ClusterEffect;

/// The interval of the checks of this router's versions and of stragglers, in milliseconds.
const CHECK_INTERVAL: Ms = 200.0;

/// The numbers of changes that were applied from gossip because other routers received them first.
#[derive(Debug, Clone, Copy, Default)]
struct GossipCounters {
    drains: u64,
    purges: u64,
    batches: u64,
    /// Snapshots of the hierarchy.
    snapshots: u64,
}

/// This router as a member of the cluster.
pub struct ClusterAdapter {
    membership: Cluster,
    /// The versions that this router acts on, as it publishes them.
    versions: ActiveVersions,
    last_check: Ms,
    endpoints: EndpointOverrides,
    applied_from_gossip: GossipCounters,
    audit_log: Option<AuditLogWriter>,
    straggler: Option<StragglerCheck>,
    /// Peers with a link to this router.
    linked_peers: BTreeSet<String>,
    snapshot_transfer: SnapshotTransfer,
    queries: SiteQueries,
}

/// The routers whose majority determines the version floor of the hierarchy.
fn straggler_voters(section: &ClusterSection) -> &[String] {
    section.straggler.as_ref().map_or(&[], |straggler| &straggler.voters)
}

impl ClusterAdapter {
    /// Creates the cluster adapter of a router that has just started; the digests are those of its settings
    /// and of its operator file.
    pub fn new(
        now: Ms,
        name: &str,
        section: &ClusterSection,
        settings_digest: u64,
        operator_digest: u64,
    ) -> Self {
        let versions = ActiveVersions {
            build: env!("CARGO_PKG_VERSION").to_string(),
            settings_digest,
            operator_digest,
            ..ActiveVersions::default()
        };
        // The start time in microseconds; the gateway uses the same incarnation.
        let incarnation = (now * 1_000.0) as u64;
        let membership = Cluster::new(now, section.parameters, name, incarnation, versions.clone());
        let mut membership = membership.with_location(now, section.location.clone());
        membership.set_voters(straggler_voters(section));
        let audit_log = section.audit.as_ref().map(|section| {
            let at = membership.clock.next_timestamp(now);
            AuditLogWriter::new(now, at, section, name, incarnation, versions.clone())
        });
        Self {
            membership,
            versions,
            last_check: now - CHECK_INTERVAL,
            endpoints: EndpointOverrides::default(),
            applied_from_gossip: GossipCounters::default(),
            audit_log,
            straggler: section.straggler.as_ref().map(|section| StragglerCheck::new(now, section)),
            linked_peers: BTreeSet::new(),
            snapshot_transfer: SnapshotTransfer::new(section.parameters.snapshot_transfer),
            queries: SiteQueries::default(),
        }
    }

    /// Applies a reloaded operator file. Adding or removing the audit log or the straggler check, and
    /// changing the location, take effect at the next start; until then a removed one stays active.
    pub fn reload(&mut self, section: &ClusterSection, operator_digest: u64) {
        self.versions.operator_digest = operator_digest;
        self.membership.set_config(section.parameters);
        self.membership.set_voters(straggler_voters(section));
        if self.membership.location() != section.location.as_ref() {
            log_line!(always "fellows: the changed location of this router takes effect at its next start");
        }
        self.snapshot_transfer.set_config(section.parameters.snapshot_transfer);
        self.membership.set_versions(&self.versions);
        if let (Some(audit_log), Some(section)) = (&mut self.audit_log, &section.audit) {
            audit_log.set_config(section.parameters);
        }
        if let (Some(straggler), Some(section)) = (&mut self.straggler, &section.straggler) {
            straggler.reload(section);
        }
    }

    /// When [`Self::on_timer`] is due.
    pub fn next_deadline(&self, now: Ms) -> Ms {
        let audit_log = self.audit_log.as_ref().map(AuditLogWriter::next_deadline);
        let deadline = audit_log
            .unwrap_or(f64::INFINITY)
            .min(self.membership.next_deadline(now))
            .min(self.last_check + CHECK_INTERVAL);
        deadline.max(now)
    }

    /// Runs the work that is due. Returns the entries of the endpoint list that other routers' reports no
    /// longer override.
    pub fn on_timer(
        &mut self,
        now: Ms,
        hierarchy: Option<&mut HierarchyAdapter>,
        journal_position: u64,
        journal_valid_until: Ms,
    ) -> Vec<EndpointEntry> {
        let check_due = now - self.last_check >= CHECK_INTERVAL;
        if let Some(hierarchy) = hierarchy {
            self.publish_batches(now, hierarchy);
            self.record_rollout_stages(now, hierarchy);
            if check_due {
                self.update_hierarchy_version(hierarchy);
                self.request_snapshot(now);
            }
        }
        let restored = self.on_journal_position(journal_position);
        self.membership.set_versions(&self.versions);
        if check_due {
            self.last_check = now;
            self.check_straggler(now, journal_valid_until);
        }
        self.run_audit_log(now);
        self.membership.tick(now);
        restored
    }

    /// Records that the link to a peer came up or went down.
    pub fn set_link(&mut self, name: &str, incarnation: u64, up: bool) {
        self.membership.set_link(name, incarnation, up);
        self.linked_peers = self.membership.members().links().map(|(name, _)| name.clone()).collect();
    }

    /// Handles an entry that a peer has gossiped.
    pub fn on_entry(&mut self, now: Ms, from: &str, key: &[u8], entry: &[u8]) {
        self.membership.receive(now, from, key, entry);
    }

    /// Announces to the peers that this router leaves the cluster.
    pub fn leave(&mut self, now: Ms) {
        self.membership.leave(now);
    }

    fn send_all(&mut self, messages: Vec<PeerMessage>) {
        for PeerMessage { to, kind, body } in messages {
            self.membership.send_message(&to, kind.wire_tag(), body);
        }
    }
}

impl fmt::Display for ClusterAdapter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counters = &self.membership.counters;
        let GossipCounters { drains, purges, batches, .. } = self.applied_from_gossip;
        write!(
            f,
            "fellows={} fellow_said={} fellow_bytes={} fellow_heard={} fellow_repaired={} \
             fellow_drains={drains} fellow_purges={purges} fellow_batches={batches}",
            self.membership.members().iter().count(),
            counters.messages_sent,
            counters.bytes_sent,
            counters.messages_received,
            counters.entries_repaired,
        )
    }
}
