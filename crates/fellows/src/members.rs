//! Owns who is there: a router is alive while it can be reached over links that both of their ends tell of.
//!
//! Links are watched by their own pulse; what is passed on is only that one came up or went down, so that nothing is
//! said while nothing changes. Must never take a router for alive by the word of one that can't be reached itself, nor
//! an earlier start for a later one.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::fact::{Statement, Step};
use crate::Ms;

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MemberRule {
    /// Out of reach for so long: suspected, then gone, then forgotten.
    pub suspect: Ms,
    pub gone: Ms,
    pub forget: Ms,
}

impl Default for MemberRule {
    fn default() -> Self {
        Self { suspect: 1_000.0, gone: 30_000.0, forget: 600_000.0 }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    Alive,
    /// Out of reach: cut off, frozen or dead.
    Suspected,
    Gone,
    /// It has said that it ends.
    Left,
}

impl Standing {
    /// The name that commands and the log print.
    pub fn name(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspected => "suspected",
            Self::Gone => "gone",
            Self::Left => "left",
        }
    }
}

/// What has become of a router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    Joined,
    /// Under the same name, after that start.
    Restarted(u64),
    /// It stands otherwise from now on.
    Now(Standing),
    Forgotten,
}

#[derive(Debug, Clone)]
pub struct Member {
    pub start: u64,
    pub statement: Statement,
    pub standing: Standing,
    pub since: Ms,
    /// Out of reach since then.
    unreached: Option<Ms>,
}

#[derive(Debug, Clone)]
pub struct Members {
    rule: MemberRule,
    me: (String, u64),
    links: BTreeSet<(String, u64)>,
    all: BTreeMap<String, Member>,
    /// Something changed by which others may be within reach or out of it.
    changed: bool,
    /// When somebody who is out of reach stands otherwise by the time alone.
    due: Ms,
}

impl Members {
    pub fn new(rule: MemberRule, name: &str, start: u64) -> Self {
        let (links, all) = (BTreeSet::new(), BTreeMap::new());
        Self { rule, me: (name.to_string(), start), links, all, changed: true, due: f64::INFINITY }
    }

    pub fn set(&mut self, rule: MemberRule) {
        self.rule = rule;
        self.changed = true;
    }

    pub fn get(&self, name: &str) -> Option<&Member> {
        self.all.get(name)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&String, &Member)> {
        self.all.iter()
    }

    /// The own links, with the starts at their other ends.
    pub fn links(&self) -> impl Iterator<Item = &(String, u64)> {
        self.links.iter()
    }

    /// An own link came up, or its last connection went down.
    pub fn link(&mut self, name: &str, start: u64, up: bool) {
        let link = (name.to_string(), start);
        self.changed |= if up { self.links.insert(link) } else { self.links.remove(&link) };
    }

    /// What a router says of itself; the newest that is known.
    pub fn state(&mut self, now: Ms, name: &str, start: u64, statement: Statement) -> Option<Change> {
        if name == self.me.0 {
            return None;
        }
        self.changed = true;
        let fresh = Member { start, statement, standing: Standing::Alive, since: now, unreached: None };
        let Some(known) = self.all.get_mut(name) else {
            self.all.insert(name.to_string(), fresh);
            return Some(Change::Joined);
        };
        if known.start < start {
            let before = std::mem::replace(known, fresh);
            return Some(Change::Restarted(before.start));
        }
        if known.start == start {
            known.statement = fresh.statement;
        }
        None
    }

    /// How far a router has come since it last said all of itself.
    pub fn step(&mut self, name: &str, start: u64, step: &Step) {
        if let Some(member) = self.all.get_mut(name).filter(|member| member.start == start) {
            step.apply(&mut member.statement.acts);
        }
    }

    /// A start that does not count any more.
    pub fn drop_start(&mut self, name: &str, start: u64) {
        if self.all.get(name).is_some_and(|member| member.start == start) {
            self.all.remove(name);
            self.changed = true;
        }
    }

    /// Those that can be reached: by an own link, or by one that both ends tell of, from one that can be.
    fn reached(&self) -> BTreeSet<&str> {
        let own = self
            .links
            .iter()
            .filter(|(name, start)| self.all.get(name).is_some_and(|member| member.start == *start));
        let mut reached: BTreeSet<&str> = own.map(|(name, _)| name.as_str()).collect();
        let mut open: Vec<&str> = reached.iter().copied().collect();
        while let Some(at) = open.pop() {
            let Some(here) = self.all.get(at) else { continue };
            for (name, start) in &here.statement.links {
                let Some(there) = self.all.get(name).filter(|there| there.start == *start) else { continue };
                let back = there.statement.links.iter().any(|(n, s)| n == at && *s == here.start);
                if back && reached.insert(name) {
                    open.push(name);
                }
            }
        }
        reached
    }

    /// Lets time pass; what has become of whom.
    pub fn tick(&mut self, now: Ms) -> Vec<(String, u64, Change)> {
        if !self.changed && now < self.due {
            return Vec::new();
        }
        if std::mem::take(&mut self.changed) {
            let reached: BTreeSet<String> = self.reached().into_iter().map(str::to_string).collect();
            for (name, member) in &mut self.all {
                member.unreached = match (reached.contains(name), member.unreached) {
                    (true, _) => None,
                    (false, since) => Some(since.unwrap_or(now)),
                };
            }
        }
        let mut changes = Vec::new();
        let rule = self.rule;
        self.all.retain(|name, member| {
            let out = member.unreached.map_or(0.0, |since| now - since);
            let standing = match member.unreached {
                None => Standing::Alive,
                Some(_) if member.statement.leaving => Standing::Left,
                Some(_) if out >= rule.gone => Standing::Gone,
                Some(_) if out >= rule.suspect => Standing::Suspected,
                Some(_) => member.standing,
            };
            if standing != member.standing {
                (member.standing, member.since) = (standing, now);
                changes.push((name.clone(), member.start, Change::Now(standing)));
            }
            let ended = matches!(standing, Standing::Gone | Standing::Left) && out >= rule.forget;
            if ended {
                changes.push((name.clone(), member.start, Change::Forgotten));
            }
            !ended
        });
        let due = |member: &Member| {
            let since = member.unreached?;
            let after = match member.standing {
                Standing::Alive => self.rule.suspect,
                Standing::Suspected => self.rule.gone,
                Standing::Gone | Standing::Left => self.rule.forget,
            };
            Some(since + after)
        };
        self.due = self.all.values().filter_map(due).fold(f64::INFINITY, f64::min);
        changes
    }

    /// When `tick` has something to do; never, where nothing follows from the time.
    pub fn next(&self, now: Ms) -> Ms {
        match self.changed {
            true => now,
            false => self.due,
        }
    }
}
