//! One router's state in the cluster: the facade that combines membership, gossip, aggregation and name
//! conflicts.
//!
//! The owner reports links, received bytes and the time by calls, and carries out the resulting
//! [`ClusterAction`]s in order. Nothing is sent beyond the rate limit, and no entry is forwarded that is
//! older than the known one.
//!
//! - `receive`: entries and messages received from peers;
//! - `publish`: entries published by this router;
//! - `send`: what is sent to peers, and when;
//! - `floor`: the version floor and stragglers;
//! - `queries`: queries for the routers of other sites;
//! - `expiry`: removal of expired entries;
//! - `report`: the view that commands print.

mod expiry;
mod floor;
mod publish;
mod queries;
mod receive;
mod report;
mod send;

use std::collections::VecDeque;

use crate::actions::{ClusterAction, ClusterEvent, EncodedEntry, Participation};
use crate::aggregation::location::{Location, MAX_DEPTH};
use crate::aggregation::topology::Topology;
use crate::config::MembershipConfig;
use crate::gossip::anti_entropy::AntiEntropy;
use crate::gossip::entry::EntryKey;
use crate::gossip::entry_table::EntryTable;
use crate::gossip::outbox::Outbox;
use crate::gossip::rate_limit::TokenBucket;
use crate::gossip::wire::FIRST_MESSAGE_TAG;
use crate::hybrid_clock::HybridClock;
use crate::membership::{MemberChange, MemberEvent, MemberList};
use crate::name_conflict::NameConflicts;
use crate::straggler::FloorMonitor;
use crate::versions::ActiveVersions;
use crate::view::ClusterCounters;
use crate::Ms;

/// The tick interval of a router that does not participate.
const INACTIVE_TICK_MS: Ms = 1_000.0;
/// A router is ticked at least this many times within the freeze threshold.
const TICKS_PER_FREEZE_THRESHOLD: f64 = 4.0;

/// One router's state in the cluster.
pub struct Cluster {
    config: MembershipConfig,
    name: String,
    incarnation: u64,
    versions: ActiveVersions,
    leaving: bool,
    /// Orders the statuses and version updates of this incarnation.
    status_number: u64,
    /// The status changed and is to be published with the next flush.
    status_changed: bool,
    table: EntryTable,
    members: MemberList,
    outbox: Outbox,
    rate_limiter: TokenBucket,
    anti_entropy: AntiEntropy,
    name_conflicts: NameConflicts,
    floor_monitor: FloorMonitor,
    participation: Participation,
    last_tick: Ms,
    last_flush: Ms,
    actions: VecDeque<ClusterAction>,
    /// `None` for a router without a location.
    topology: Option<Box<Topology>>,
    /// The clock that orders everything that this router publishes.
    pub clock: HybridClock,
    /// Counters since the start.
    pub counters: ClusterCounters,
}

impl Cluster {
    /// A router that starts with this name; the incarnation is the time of its start in microseconds.
    pub fn new(
        now: Ms,
        config: MembershipConfig,
        name: &str,
        incarnation: u64,
        versions: ActiveVersions,
    ) -> Self {
        Self {
            name: name.to_string(),
            incarnation,
            versions,
            leaving: false,
            status_number: 0,
            status_changed: true,
            table: EntryTable::new(config.table_limits),
            members: MemberList::new(config.timeouts, name),
            outbox: Outbox::default(),
            rate_limiter: TokenBucket::new(now, config.rate_limit),
            anti_entropy: AntiEntropy::new(now + config.comparison_interval),
            name_conflicts: NameConflicts::default(),
            floor_monitor: FloorMonitor::default(),
            participation: Participation::Active,
            last_tick: now,
            last_flush: now - config.flush_interval,
            actions: VecDeque::new(),
            topology: None,
            clock: HybridClock::default(),
            counters: ClusterCounters::default(),
            config,
        }
    }

    /// The same router at a topology location: its status goes to its own site only, and other sites get
    /// summaries.
    pub fn with_location(mut self, now: Ms, location: Option<Location>) -> Self {
        self.topology = location
            .map(|location| Box::new(Topology::new(now, &self.config, &self.name, location, &self.versions)));
        self
    }

    /// Applies other settings.
    pub fn set_config(&mut self, config: MembershipConfig) {
        self.members.set_timeouts(config.timeouts);
        self.rate_limiter.set_config(config.rate_limit);
        self.table.set_limits(config.table_limits);
        let has_status_version_changed = config.status_version != self.config.status_version;
        self.status_changed |= has_status_version_changed;
        if let Some(topology) = &mut self.topology {
            if has_status_version_changed {
                topology.republish_status();
            }
            topology.summaries.set_config(config.aggregation);
            topology.plumtree.set_config(config.plumtree);
        }
        self.config = config;
    }

    /// The location of this router, if it has one.
    pub fn location(&self) -> Option<&Location> {
        self.topology.as_ref().map(|topology| topology.location())
    }

    /// Sets the voters of the version floor. Their statuses are sent to all locations.
    pub fn set_voters(&mut self, names: &[String]) {
        if let Some(topology) = &mut self.topology {
            self.status_changed |= topology.set_voters(names);
        }
    }

    /// The next action to carry out.
    pub fn next_action(&mut self) -> Option<ClusterAction> {
        self.actions.pop_front()
    }

    /// Whether this router participates.
    pub fn participation(&self) -> Participation {
        self.participation
    }

    /// All other routers.
    pub fn members(&self) -> &MemberList {
        &self.members
    }

    /// All known entries.
    pub fn table(&self) -> &EntryTable {
        &self.table
    }

    /// Sets the versions that this router acts on.
    pub fn set_versions(&mut self, versions: &ActiveVersions) {
        if self.versions == *versions {
            return;
        }
        let is_same_build = self.versions.build == versions.build
            && self.versions.settings_digest == versions.settings_digest
            && self.versions.operator_digest == versions.operator_digest;
        self.versions.clone_from(versions);
        // A router with a location publishes all other changes as a version update.
        self.status_changed |= self.topology.is_none() || !is_same_build;
    }

    /// Records that a link with a peer came up, or that its last connection went down.
    pub fn set_link(&mut self, peer: &str, incarnation: u64, is_up: bool) {
        self.members.set_link(peer, incarnation, is_up);
        if !is_up {
            self.anti_entropy.forget_peer(peer);
            self.outbox.remove_peer(peer);
        }
        self.status_changed = true;
        if let Some(topology) = &mut self.topology {
            topology.set_link(peer, is_up);
        }
        if is_up {
            self.send_handshake(peer);
        }
    }

    /// Begins a graceful shutdown: the peers are notified at once.
    pub fn leave(&mut self, now: Ms) {
        self.leaving = true;
        self.status_changed = true;
        self.last_flush = now - self.config.flush_interval;
        self.tick(now);
    }

    /// Sends a message of another component of the router to one peer, as soon as the rate limit allows.
    /// Returns false if the queue is full or this router does not participate.
    pub fn send_message(&mut self, peer: &str, kind: u8, bytes: Vec<u8>) -> bool {
        let is_accepted = self.participation == Participation::Active && self.outbox.has_capacity_for(1);
        if is_accepted {
            self.outbox.queue_direct(peer, EncodedEntry::new(vec![kind.max(FIRST_MESSAGE_TAG)], bytes));
        }
        is_accepted
    }

    /// Carries out everything that is due.
    pub fn tick(&mut self, now: Ms) {
        self.detect_freeze(now);
        if self.participation != Participation::Active {
            return;
        }
        for event in self.members.tick(now) {
            self.handle_member_event(now, event);
        }
        if now - self.last_flush >= self.config.flush_interval {
            self.last_flush = now;
            self.publish_status(now);
            self.publish_version_update(now);
            self.publish_summaries(now);
            self.flush(now);
        } else if self.is_link_flush_due(now) {
            self.flush_links_early(now);
        }
        if now >= self.anti_entropy.next_comparison() {
            self.anti_entropy.schedule(now + self.config.comparison_interval);
            self.expire(now);
            self.send_digests();
        }
    }

    fn detect_freeze(&mut self, now: Ms) {
        let gap = now - self.last_tick;
        self.last_tick = now;
        if gap < self.config.freeze_threshold {
            return;
        }
        self.name_conflicts.record_freeze(now);
        self.counters.freezes += 1;
        self.emit(ClusterEvent::Frozen(gap as u64));
        if let Some(topology) = &mut self.topology {
            topology.summaries.stay_silent_until(now + self.config.timeouts.suspect_after);
        }
    }

    fn handle_member_event(&mut self, now: Ms, event: MemberEvent) {
        let MemberEvent { name, incarnation, change } = event;
        if change == MemberChange::Forgotten {
            self.remove_entry(&EntryKey::Router(name.clone()).encode());
            self.remove_entry(&EntryKey::VersionUpdate(name.clone()).encode());
        }
        self.mark_site_changed(now);
        self.emit(ClusterEvent::Member { name, incarnation, change });
    }

    /// When [`Cluster::tick`] is due.
    pub fn next_deadline(&self, now: Ms) -> Ms {
        if self.participation != Participation::Active {
            return now + INACTIVE_TICK_MS;
        }
        let due = self.flush_deadline().unwrap_or(f64::INFINITY);
        let due = due.min(self.members.next_deadline(now)).min(self.anti_entropy.next_comparison());
        due.clamp(now, now + self.config.freeze_threshold / TICKS_PER_FREEZE_THRESHOLD)
    }

    fn emit(&mut self, event: ClusterEvent) {
        self.actions.push_back(ClusterAction::Event(event));
    }

    fn mark_site_changed(&mut self, now: Ms) {
        if let Some(topology) = &mut self.topology {
            topology.summaries.mark_changed(now);
        }
    }

    /// How many names the location of a linked peer shares with this router's; `None` while it is unknown.
    fn common_depth(&self, peer: &str) -> Option<usize> {
        match &self.topology {
            Some(topology) => topology.links.common_depth(peer),
            None => Some(MAX_DEPTH),
        }
    }

    /// Stops participating, because another incarnation holds the name.
    fn stop_participating(&mut self, participation: Participation, event: ClusterEvent) {
        self.participation = participation;
        self.outbox.clear();
        self.emit(event);
        self.actions.push_back(ClusterAction::CloseLinks);
    }
}
