//! Owns who is there: a router is alive while it can be reached over links that both of their ends tell of.
//!
//! Links are watched by their own pulse; what is passed on is only that one came up or went down, so that nothing is
//! said while nothing changes. Must never take a router for alive by the word of one that can't be reached itself, nor
//! an earlier start for a later one.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::versions::{RouterStatus, VersionUpdate};
use crate::Ms;

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MembershipTimeouts {
    /// Out of reach for so long: suspected, then gone, then forgotten.
    pub suspect_after: Ms,
    pub dead_after: Ms,
    pub forget_after: Ms,
}

impl Default for MembershipTimeouts {
    fn default() -> Self {
        Self { suspect_after: 1_000.0, dead_after: 30_000.0, forget_after: 600_000.0 }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    Alive,
    /// Out of reach: cut off, frozen or dead.
    #[serde(rename = "Suspected")]
    Suspect,
    #[serde(rename = "Gone")]
    Dead,
    /// It has said that it ends.
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

/// What has become of a router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    Joined,
    /// Under the same name, after that start.
    Restarted(u64),
    /// It stands otherwise from now on.
    StateChanged(MemberState),
    Forgotten,
}

#[derive(Debug, Clone)]
pub struct Member {
    pub incarnation: u64,
    pub status: RouterStatus,
    pub state: MemberState,
    pub state_since: Ms,
    /// Out of reach since then.
    unreachable_since: Option<Ms>,
}

#[derive(Debug, Clone)]
pub struct MemberList {
    timeouts: MembershipTimeouts,
    own: (String, u64),
    links: BTreeSet<(String, u64)>,
    members: BTreeMap<String, Member>,
    /// Something changed by which others may be within reach or out of it.
    reachability_changed: bool,
    /// When somebody who is out of reach stands otherwise by the time alone.
    deadline: Ms,
}

impl MemberList {
    pub fn new(rule: MembershipTimeouts, name: &str, start: u64) -> Self {
        let (links, all) = (BTreeSet::new(), BTreeMap::new());
        Self {
            timeouts: rule,
            own: (name.to_string(), start),
            links,
            members: all,
            reachability_changed: true,
            deadline: f64::INFINITY,
        }
    }

    pub fn set_timeouts(&mut self, rule: MembershipTimeouts) {
        self.timeouts = rule;
        self.reachability_changed = true;
    }

    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&String, &Member)> {
        self.members.iter()
    }

    /// The own links, with the starts at their other ends.
    pub fn links(&self) -> impl Iterator<Item = &(String, u64)> {
        self.links.iter()
    }

    /// An own link came up, or its last connection went down.
    pub fn set_link(&mut self, name: &str, start: u64, up: bool) {
        let link = (name.to_string(), start);
        self.reachability_changed |= if up { self.links.insert(link) } else { self.links.remove(&link) };
    }

    /// What a router says of itself; the newest that is known.
    pub fn update_status(
        &mut self,
        now: Ms,
        name: &str,
        start: u64,
        statement: RouterStatus,
    ) -> Option<MemberChange> {
        if name == self.own.0 {
            return None;
        }
        self.reachability_changed = true;
        let fresh = Member {
            incarnation: start,
            status: statement,
            state: MemberState::Alive,
            state_since: now,
            unreachable_since: None,
        };
        let Some(known) = self.members.get_mut(name) else {
            self.members.insert(name.to_string(), fresh);
            return Some(MemberChange::Joined);
        };
        if known.incarnation < start {
            let before = std::mem::replace(known, fresh);
            return Some(MemberChange::Restarted(before.incarnation));
        }
        if known.incarnation == start {
            known.status = fresh.status;
        }
        None
    }

    /// How far a router has come since it last said all of itself.
    pub fn apply_version_update(&mut self, name: &str, start: u64, step: &VersionUpdate) {
        if let Some(member) = self.members.get_mut(name).filter(|member| member.incarnation == start) {
            step.apply_to(&mut member.status.versions);
        }
    }

    /// A start that does not count any more.
    pub fn remove_incarnation(&mut self, name: &str, start: u64) {
        if self.members.get(name).is_some_and(|member| member.incarnation == start) {
            self.members.remove(name);
            self.reachability_changed = true;
        }
    }

    /// Those that can be reached: by an own link, or by one that both ends tell of, from one that can be.
    fn reachable(&self) -> BTreeSet<&str> {
        let own = self.links.iter().filter(|(name, start)| {
            self.members.get(name).is_some_and(|member| member.incarnation == *start)
        });
        let mut reached: BTreeSet<&str> = own.map(|(name, _)| name.as_str()).collect();
        let mut open: Vec<&str> = reached.iter().copied().collect();
        while let Some(at) = open.pop() {
            let Some(here) = self.members.get(at) else { continue };
            for (name, start) in &here.status.links {
                let Some(there) = self.members.get(name).filter(|there| there.incarnation == *start) else {
                    continue;
                };
                let back = there.status.links.iter().any(|(n, s)| n == at && *s == here.incarnation);
                if back && reached.insert(name) {
                    open.push(name);
                }
            }
        }
        reached
    }

    /// Lets time pass; what has become of whom.
    pub fn tick(&mut self, now: Ms) -> Vec<(String, u64, MemberChange)> {
        if !self.reachability_changed && now < self.deadline {
            return Vec::new();
        }
        if std::mem::take(&mut self.reachability_changed) {
            let reached: BTreeSet<String> = self.reachable().into_iter().map(str::to_string).collect();
            for (name, member) in &mut self.members {
                member.unreachable_since = match (reached.contains(name), member.unreachable_since) {
                    (true, _) => None,
                    (false, since) => Some(since.unwrap_or(now)),
                };
            }
        }
        let mut changes = Vec::new();
        let rule = self.timeouts;
        self.members.retain(|name, member| {
            let out = member.unreachable_since.map_or(0.0, |since| now - since);
            let standing = match member.unreachable_since {
                None => MemberState::Alive,
                Some(_) if member.status.leaving => MemberState::Left,
                Some(_) if out >= rule.dead_after => MemberState::Dead,
                Some(_) if out >= rule.suspect_after => MemberState::Suspect,
                Some(_) => member.state,
            };
            if standing != member.state {
                (member.state, member.state_since) = (standing, now);
                changes.push((name.clone(), member.incarnation, MemberChange::StateChanged(standing)));
            }
            let ended = matches!(standing, MemberState::Dead | MemberState::Left) && out >= rule.forget_after;
            if ended {
                changes.push((name.clone(), member.incarnation, MemberChange::Forgotten));
            }
            !ended
        });
        let due = |member: &Member| {
            let since = member.unreachable_since?;
            let after = match member.state {
                MemberState::Alive => self.timeouts.suspect_after,
                MemberState::Suspect => self.timeouts.dead_after,
                MemberState::Dead | MemberState::Left => self.timeouts.forget_after,
            };
            Some(since + after)
        };
        self.deadline = self.members.values().filter_map(due).fold(f64::INFINITY, f64::min);
        changes
    }

    /// When `tick` has something to do; never, where nothing follows from the time.
    pub fn next_deadline(&self, now: Ms) -> Ms {
        match self.reachability_changed {
            true => now,
            false => self.deadline,
        }
    }
}
