//! Owns what is known of a place as a whole: counts of its routers, how far they are, and who is behind.
//!
//! Summaries of parts merge in any order to that of the whole. Must never count a router twice, lose one from the
//! totals, or name more than its bounds.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::membership::MemberState;
use crate::versions::ActiveVersions;

/// Groups that are told one by one, the largest first; and stragglers that are named.
pub const MAX_GROUPS: usize = 4;
pub const MAX_NAMED_STRAGGLERS: usize = 8;

/// What the routers of a group act on alike.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VersionGroup {
    /// A digest of build, settings and operator file.
    #[serde(rename = "make")]
    pub build_digest: u32,
    /// The hierarchy's version, and the upper half of its digest.
    #[serde(rename = "version")]
    pub hierarchy_version: u64,
    #[serde(rename = "shape")]
    pub hierarchy_digest: u32,
}

impl VersionGroup {
    pub fn from_versions(acts: &ActiveVersions) -> Self {
        let make =
            xxh3_64(format!("{}/{}/{}", acts.build, acts.settings_digest, acts.operator_digest).as_bytes());
        Self {
            build_digest: (make >> 32) as u32,
            hierarchy_version: acts.hierarchy.0,
            hierarchy_digest: (acts.hierarchy.1 >> 32) as u32,
        }
    }
}

/// A count that only grows, over several routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValueRange {
    pub min: u64,
    pub max: u64,
}

/// How far routers have come: all of it moves by itself while nothing goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Progress {
    /// Of the journal's number; `None` where no router counts.
    pub journal_position: Option<ValueRange>,
    /// Drains and purges heeded, by all together.
    pub drains_applied: u64,
    pub purges_applied: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Summary {
    pub alive: u64,
    pub suspect: u64,
    pub dead: u64,
    /// Alive and about to end, or ended as they said.
    pub leaving: u64,
    /// Routers of places of which nothing is heard any more.
    pub unreachable: u64,
    pub progress: Progress,
    /// Of those that are alive or leave, by what they act on.
    pub groups: BTreeMap<VersionGroup, u64>,
    pub other_routers: u64,
    /// Stragglers: the first by their names, and how many there are.
    pub stragglers: Vec<String>,
    pub straggler_count: u64,
}

impl Summary {
    /// Counts one router in.
    pub fn add_router(
        &mut self,
        name: &str,
        standing: MemberState,
        leaving: bool,
        acts: &ActiveVersions,
        straggler: bool,
    ) {
        let one = match standing {
            MemberState::Left => Self { leaving: 1, ..Self::default() },
            MemberState::Suspect => Self { suspect: 1, ..Self::default() },
            MemberState::Dead => Self { dead: 1, ..Self::default() },
            MemberState::Alive => Self {
                alive: u64::from(!leaving),
                leaving: u64::from(leaving),
                progress: Progress {
                    journal_position: Some(ValueRange {
                        min: acts.journal_position,
                        max: acts.journal_position,
                    }),
                    drains_applied: acts.drains_applied,
                    purges_applied: acts.purges_applied,
                },
                groups: BTreeMap::from([(VersionGroup::from_versions(acts), 1)]),
                ..Self::default()
            },
        };
        self.merge(&one);
        if straggler {
            self.straggler_count += 1;
            self.add_straggler_names(std::iter::once(name.to_string()));
        }
    }

    fn add_straggler_names(&mut self, names: impl Iterator<Item = String>) {
        self.stragglers.extend(names);
        self.stragglers.sort_unstable();
        self.stragglers.dedup();
        self.stragglers.truncate(MAX_NAMED_STRAGGLERS);
    }

    /// Another part that has no router in common with this one.
    pub fn merge(&mut self, other: &Self) {
        self.alive = self.alive.saturating_add(other.alive);
        self.suspect = self.suspect.saturating_add(other.suspect);
        self.dead = self.dead.saturating_add(other.dead);
        self.leaving = self.leaving.saturating_add(other.leaving);
        self.unreachable = self.unreachable.saturating_add(other.unreachable);
        self.other_routers = self.other_routers.saturating_add(other.other_routers);
        self.straggler_count = self.straggler_count.saturating_add(other.straggler_count);
        let (mine, theirs) = (&mut self.progress, &other.progress);
        mine.drains_applied = mine.drains_applied.saturating_add(theirs.drains_applied);
        mine.purges_applied = mine.purges_applied.saturating_add(theirs.purges_applied);
        mine.journal_position = match (mine.journal_position, theirs.journal_position) {
            (Some(a), Some(b)) => Some(ValueRange { min: a.min.min(b.min), max: a.max.max(b.max) }),
            (one, other) => one.or(other),
        };
        for (group, count) in &other.groups {
            let known = self.groups.entry(*group).or_default();
            *known = known.saturating_add(*count);
        }
        self.add_straggler_names(other.stragglers.iter().cloned());
    }

    /// A part of which nothing is heard any more: how many there were is known, and nothing else. Its stragglers stay
    /// named.
    pub fn merge_unreachable(&mut self, other: &Self) {
        self.unreachable = self.unreachable.saturating_add(other.routers());
        self.straggler_count = self.straggler_count.saturating_add(other.straggler_count);
        self.add_straggler_names(other.stragglers.iter().cloned());
    }

    /// All routers that it counts.
    pub fn routers(&self) -> u64 {
        [self.suspect, self.dead, self.leaving, self.unreachable]
            .iter()
            .fold(self.alive, |sum, count| sum.saturating_add(*count))
    }

    /// The least version of the hierarchy that a router of its groups acts on.
    pub fn oldest_hierarchy(&self) -> Option<u64> {
        self.groups.keys().map(|group| group.hierarchy_version).min()
    }

    /// As it is told: the largest groups one by one, and always the oldest; the rest together.
    pub fn truncated(mut self) -> Self {
        if self.groups.len() > MAX_GROUPS {
            let oldest = self.groups.keys().min_by_key(|group| (group.hierarchy_version, **group)).copied();
            let mut by_size: Vec<(VersionGroup, u64)> = self.groups.into_iter().collect();
            by_size.sort_unstable_by_key(|(group, count)| {
                (Some(*group) != oldest, std::cmp::Reverse(*count), *group)
            });
            let rest = by_size.split_off(MAX_GROUPS);
            self.other_routers =
                rest.iter().fold(self.other_routers, |sum, (_, count)| sum.saturating_add(*count));
            self.groups = by_size.into_iter().collect();
        }
        self
    }

    /// Whether another summary tells anything else but progress.
    pub fn differs_beyond_progress(&self, other: &Self) -> bool {
        let steady = |summary: &Self| Self { progress: Progress::default(), ..summary.clone() };
        steady(self) != steady(other)
    }

    /// Whether another summary tells only that all routers have gone over to another hierarchy together.
    pub fn is_hierarchy_transition(&self, other: &Self) -> bool {
        let one = |summary: &Self| match summary.groups.iter().collect::<Vec<_>>()[..] {
            [(group, _)] if summary.other_routers == 0 => Some(*group),
            _ => None,
        };
        let (Some(before), Some(after)) = (one(self), one(other)) else { return false };
        let alike = |summary: &Self| Self { groups: BTreeMap::new(), ..summary.clone() };
        before != after
            && before.build_digest == after.build_digest
            && !alike(self).differs_beyond_progress(&alike(other))
    }

    /// Whether a summary that was heard keeps to the bounds.
    pub fn is_valid(&self) -> bool {
        let named = self.stragglers.len() <= MAX_NAMED_STRAGGLERS
            && self.stragglers.len() as u64 <= self.straggler_count;
        named && self.groups.len() <= MAX_GROUPS && self.stragglers.is_sorted()
    }
}

/// A summary as it is told: by whom.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SummaryReport {
    pub reported_by: String,
    pub summary: Summary,
}
