//! Determines which routers are alive: those that can be reached over links that both of their ends report.
//!
//! The links themselves are monitored by heartbeats. Routers gossip only that a link came up or went down, so
//! nothing is sent while nothing changes. A report is used only while its sender can be reached, and an
//! earlier incarnation never replaces a later one.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::versions::{RouterStatus, VersionUpdate};
use crate::Ms;

/// How long a router is unreachable before its state changes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MembershipTimeouts {
    /// Before it is suspect.
    pub suspect_after: Ms,
    /// Before it is considered dead.
    pub dead_after: Ms,
    /// Before a dead router, or one that has left, is forgotten.
    pub forget_after: Ms,
}

impl Default for MembershipTimeouts {
    fn default() -> Self {
        Self { suspect_after: 1_000.0, dead_after: 30_000.0, forget_after: 600_000.0 }
    }
}

/// The state of a router as the others see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// It can be reached.
    Alive,
    /// It cannot be reached: partitioned, frozen or dead.
    #[serde(rename = "Suspected")]
    Suspect,
    /// It could not be reached for longer than [`MembershipTimeouts::dead_after`].
    #[serde(rename = "Gone")]
    Dead,
    /// It announced a graceful shutdown and can no longer be reached.
    Left,
}

impl MemberState {
    /// The name that commands and the log print.
    pub fn name(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspected",
            Self::Dead => "gone",
            Self::Left => "left",
        }
    }
}

/// A change of a router's membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// Its first status arrived.
    Joined,
    /// It restarted; carries its previous incarnation.
    Restarted(u64),
    /// It entered this state.
    StateChanged(MemberState),
    /// It was removed after [`MembershipTimeouts::forget_after`].
    Forgotten,
}

/// A change of a router's membership, with the router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberEvent {
    /// The router.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// What changed.
    pub change: MemberChange,
}

/// Another router.
#[derive(Debug, Clone)]
pub struct Member {
    /// The time of its start, in microseconds.
    pub incarnation: u64,
    /// The status that it last reported.
    pub status: RouterStatus,
    /// Its state.
    pub state: MemberState,
    /// When it entered the state.
    pub state_since: Ms,
    unreachable_since: Option<Ms>,
}

impl Member {
    fn new(now: Ms, incarnation: u64, status: RouterStatus) -> Self {
        let state = MemberState::Alive;
        Self { incarnation, status, state, state_since: now, unreachable_since: None }
    }

    /// How long it has been unreachable.
    fn unreachable_for(&self, now: Ms) -> Ms {
        self.unreachable_since.map_or(0.0, |since| now - since)
    }

    fn next_state(&self, now: Ms, timeouts: &MembershipTimeouts) -> MemberState {
        let unreachable_for = self.unreachable_for(now);
        match self.unreachable_since {
            None => MemberState::Alive,
            Some(_) if self.status.leaving => MemberState::Left,
            Some(_) if unreachable_for >= timeouts.dead_after => MemberState::Dead,
            Some(_) if unreachable_for >= timeouts.suspect_after => MemberState::Suspect,
            Some(_) => self.state,
        }
    }

    /// When its state changes by time alone; `None` while it can be reached.
    fn deadline(&self, timeouts: &MembershipTimeouts) -> Option<Ms> {
        let unreachable_since = self.unreachable_since?;
        let after = match self.state {
            MemberState::Alive => timeouts.suspect_after,
            MemberState::Suspect => timeouts.dead_after,
            MemberState::Dead | MemberState::Left => timeouts.forget_after,
        };
        Some(unreachable_since + after)
    }
}

/// All other routers, and the links of this one.
#[derive(Debug, Clone)]
pub struct MemberList {
    timeouts: MembershipTimeouts,
    /// The name of this router.
    own_name: String,
    /// Peers and their incarnations.
    links: BTreeSet<(String, u64)>,
    members: BTreeMap<String, Member>,
    /// A link or a status changed, and with it possibly which routers can be reached.
    reachability_changed: bool,
    /// When a state changes by time alone.
    deadline: Ms,
}

impl MemberList {
    /// The list of the router with this name, without members.
    pub fn new(timeouts: MembershipTimeouts, name: &str) -> Self {
        Self {
            timeouts,
            own_name: name.to_string(),
            links: BTreeSet::new(),
            members: BTreeMap::new(),
            reachability_changed: true,
            deadline: f64::INFINITY,
        }
    }

    /// Applies other timeouts.
    pub fn set_timeouts(&mut self, timeouts: MembershipTimeouts) {
        self.timeouts = timeouts;
        self.reachability_changed = true;
    }

    /// A member by its name.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// All members by name, without this router.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Member)> {
        self.members.iter()
    }

    /// The links of this router: the peers' names and incarnations.
    pub fn links(&self) -> impl Iterator<Item = &(String, u64)> {
        self.links.iter()
    }

    /// Records that a link of this router came up, or that its last connection went down.
    pub fn set_link(&mut self, name: &str, incarnation: u64, is_up: bool) {
        let link = (name.to_string(), incarnation);
        let has_changed = if is_up { self.links.insert(link) } else { self.links.remove(&link) };
        self.reachability_changed |= has_changed;
    }

    /// Applies the newest known status of a router. Returns whether the router joined or restarted.
    pub fn update_status(
        &mut self,
        now: Ms,
        name: &str,
        incarnation: u64,
        status: RouterStatus,
    ) -> Option<MemberChange> {
        if name == self.own_name {
            return None;
        }
        self.reachability_changed = true;
        let Some(known) = self.members.get_mut(name) else {
            self.members.insert(name.to_string(), Member::new(now, incarnation, status));
            return Some(MemberChange::Joined);
        };
        if known.incarnation < incarnation {
            let before = std::mem::replace(known, Member::new(now, incarnation, status));
            return Some(MemberChange::Restarted(before.incarnation));
        }
        if known.incarnation == incarnation {
            known.status = status;
        }
        None
    }

    /// Applies an update to the status of a router, if it is known in this incarnation.
    pub fn apply_version_update(&mut self, name: &str, incarnation: u64, update: &VersionUpdate) {
        let member = self.members.get_mut(name);
        if let Some(member) = member.filter(|member| member.incarnation == incarnation) {
            update.apply_to(&mut member.status.versions);
        }
    }

    /// Removes a router, if it is known in this incarnation.
    pub fn remove_incarnation(&mut self, name: &str, incarnation: u64) {
        if self.members.get(name).is_some_and(|member| member.incarnation == incarnation) {
            self.members.remove(name);
            self.reachability_changed = true;
        }
    }

    /// The routers that can be reached: over a link of this router, or from another router that can be
    /// reached, over a link that both ends report.
    fn reachable(&self) -> BTreeSet<&str> {
        let is_current = |name: &String, incarnation: u64| {
            self.members.get(name).is_some_and(|m| m.incarnation == incarnation)
        };
        let peers = self.links.iter().filter(|(name, incarnation)| is_current(name, *incarnation));
        let mut reachable: BTreeSet<&str> = peers.map(|(name, _)| name.as_str()).collect();
        let mut unvisited: Vec<&str> = reachable.iter().copied().collect();
        while let Some(name) = unvisited.pop() {
            let Some(member) = self.members.get(name) else { continue };
            for (peer_name, peer_incarnation) in &member.status.links {
                let peer = self.members.get(peer_name);
                let Some(peer) = peer.filter(|peer| peer.incarnation == *peer_incarnation) else { continue };
                let reports_link =
                    |(end, incarnation): &(String, u64)| end == name && *incarnation == member.incarnation;
                if peer.status.links.iter().any(reports_link) && reachable.insert(peer_name) {
                    unvisited.push(peer_name);
                }
            }
        }
        reachable
    }

    fn update_reachability(&mut self, now: Ms) {
        let reachable: BTreeSet<String> = self.reachable().into_iter().map(str::to_string).collect();
        for (name, member) in &mut self.members {
            member.unreachable_since = match reachable.contains(name) {
                true => None,
                false => Some(member.unreachable_since.unwrap_or(now)),
            };
        }
    }

    /// Applies all changes that are due, and returns them.
    pub fn tick(&mut self, now: Ms) -> Vec<MemberEvent> {
        if !self.reachability_changed && now < self.deadline {
            return Vec::new();
        }
        if std::mem::take(&mut self.reachability_changed) {
            self.update_reachability(now);
        }
        let mut events = Vec::new();
        let timeouts = self.timeouts;
        self.members.retain(|name, member| {
            let mut report = |change| {
                events.push(MemberEvent { name: name.clone(), incarnation: member.incarnation, change });
            };
            let state = member.next_state(now, &timeouts);
            if state != member.state {
                (member.state, member.state_since) = (state, now);
                report(MemberChange::StateChanged(state));
            }
            let has_ended = matches!(state, MemberState::Dead | MemberState::Left);
            let is_forgotten = has_ended && member.unreachable_for(now) >= timeouts.forget_after;
            if is_forgotten {
                report(MemberChange::Forgotten);
            }
            !is_forgotten
        });
        let deadlines = self.members.values().filter_map(|member| member.deadline(&timeouts));
        self.deadline = deadlines.fold(f64::INFINITY, f64::min);
        events
    }

    /// When [`MemberList::tick`] is due; infinite if no state changes by time alone.
    pub fn next_deadline(&self, now: Ms) -> Ms {
        match self.reachability_changed {
            true => now,
            false => self.deadline,
        }
    }
}
