//! The version floor of the hierarchy, and the routers below it.

use std::collections::BTreeSet;

use super::Cluster;
use crate::gossip::entry::Revision;
use crate::gossip::entry::{EntryKey, GossipEntry};
use crate::membership::MemberState;
use crate::straggler::majority_version;
use crate::versions::{ActiveVersions, RouterStatus, VersionFloor, VersionUpdate};
use crate::Ms;

/// The version of the body of a floor entry.
const FLOOR_BODY_VERSION: u16 = 1;

impl Cluster {
    /// Sets the floor on behalf of an operator; 0 withdraws it.
    pub fn set_floor(&mut self, now: Ms, version: u64) {
        let at = self.clock.next_timestamp(now);
        let floor = VersionFloor { version, set_by: self.name.clone() };
        let entry = GossipEntry::new(Revision::new(at.ms, u64::from(at.counter)), FLOOR_BODY_VERSION, &floor);
        self.publish(now, &EntryKey::Floor, entry);
    }

    /// The floor that an operator has set.
    pub fn operator_floor(&self) -> Option<VersionFloor> {
        self.table.get(&EntryKey::Floor.encode())?.decode_body().ok()
    }

    /// The lowest version that routers may act on: the newest one that a majority of the voters acts on, or
    /// the one that an operator has set, whichever is higher.
    pub fn floor(&self, voters: &[String]) -> u64 {
        let hierarchy_version = |name: &String| match *name == self.name {
            true => Some(self.versions.hierarchy.version),
            false => Some(self.versions_of(name)?.hierarchy.version),
        };
        let versions: Vec<Option<u64>> = voters.iter().map(hierarchy_version).collect();
        majority_version(&versions).max(self.operator_floor().map_or(0, |floor| floor.version))
    }

    /// The versions that another router acts on. A voter of another site is no member here: its versions are
    /// read from its entries.
    fn versions_of(&self, name: &str) -> Option<ActiveVersions> {
        if let Some(member) = self.members.get(name) {
            return Some(member.status.versions.clone());
        }
        self.topology.as_ref().filter(|topology| topology.is_voter(name))?;
        let status = self.table.get(&EntryKey::Router(name.to_string()).encode())?;
        let mut versions = RouterStatus::decode(status).ok()?.versions;
        let update = self.table.get(&EntryKey::VersionUpdate(name.to_string()).encode());
        let update = update.filter(|update| {
            update.revision > status.revision && update.revision.epoch == status.revision.epoch
        });
        if let Some(update) = update.and_then(|update| update.decode_body::<VersionUpdate>().ok()) {
            update.apply_to(&mut versions);
        }
        Some(versions)
    }

    /// Enforces a floor: routers that stay below it for longer than the grace period are stragglers, whose
    /// entries are ignored.
    pub fn enforce_floor(&mut self, now: Ms, floor: u64, grace_period: Ms) {
        self.floor_monitor.set_floor(floor, grace_period);
        let behind = self.routers_below(floor);
        if let Some(topology) = &mut self.topology {
            // A router may become a straggler, or stop being one.
            if !behind.is_empty() || self.floor_monitor.is_any_behind() {
                topology.summaries.mark_changed(now);
            }
        }
        self.floor_monitor.update(now, behind);
    }

    fn routers_below(&self, floor: u64) -> BTreeSet<String> {
        let members = self.members.iter();
        let behind = members.filter(|(_, member)| member.status.versions.hierarchy.version < floor);
        let mut names: BTreeSet<String> = behind.map(|(name, _)| name.clone()).collect();
        // This router is included: if it aggregates the site, no other router reports it.
        if self.versions.hierarchy.version < floor {
            names.insert(self.name.clone());
        }
        if let Some(topology) = &self.topology {
            let remote_peers = topology.links.remote_peers();
            let behind = remote_peers.filter(|(_, handshake)| handshake.hierarchy.version < floor);
            names.extend(behind.map(|(name, _)| name.clone()));
        }
        names
    }

    /// Whether a router has acted below the floor for longer than the grace period.
    pub fn is_straggler(&self, now: Ms, name: &str) -> bool {
        self.floor_monitor.is_straggler(now, name)
    }

    /// Linked peers that act on a newer hierarchy than this router.
    pub fn peers_ahead(&self) -> Vec<&str> {
        let own_version = self.versions.hierarchy.version;
        let is_ahead = |name: &str, incarnation: u64| {
            let member = self.members.get(name);
            member.is_some_and(|member| {
                member.incarnation == incarnation && member.status.versions.hierarchy.version > own_version
            })
        };
        let of_site = self.members.links().filter(|(name, incarnation)| is_ahead(name, *incarnation));
        let remote = self.topology.iter().flat_map(|topology| topology.links.remote_peers());
        let remote = remote.filter(|(_, handshake)| handshake.hierarchy.version > own_version);
        let of_site = of_site.map(|(name, _)| name.as_str());
        of_site.chain(remote.map(|(name, _)| name.as_str())).collect()
    }

    /// Whether any other router can be reached.
    pub fn has_reachable_peer(&self) -> bool {
        let topology = self.topology.as_ref();
        let has_remote_peer = topology.is_some_and(|topology| topology.links.remote_peers().next().is_some());
        has_remote_peer || self.members.iter().any(|(_, member)| member.state == MemberState::Alive)
    }
}
