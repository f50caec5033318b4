//! Summaries of locations: the number of their routers by state and version, the routers' progress, and the
//! stragglers.
//!
//! Summaries of disjoint locations merge, in any order, into the summary of all of them. The totals count
//! each router exactly once, while the lists of groups and of stragglers are bounded.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::membership::MemberState;
use crate::versions::{ActiveVersions, HierarchyVersion};

/// The largest number of version groups in a published summary.
pub const MAX_GROUPS: usize = 4;
/// The largest number of stragglers that a summary names.
pub const MAX_NAMED_STRAGGLERS: usize = 8;

/// The versions that all routers of a group act on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VersionGroup {
    /// A digest of the build, the settings and the operator file.
    #[serde(rename = "make")]
    pub build_digest: u32,
    /// The version of the hierarchy.
    #[serde(rename = "version")]
    pub hierarchy_version: u64,
    /// The upper half of the hierarchy's digest.
    #[serde(rename = "shape")]
    pub hierarchy_digest: u32,
}

impl VersionGroup {
    /// The group of a router that acts on these versions.
    pub fn from_versions(versions: &ActiveVersions) -> Self {
        let ActiveVersions { build, settings_digest, operator_digest, .. } = versions;
        let build_digest = xxh3_64(format!("{build}/{settings_digest}/{operator_digest}").as_bytes());
        let HierarchyVersion { version, digest } = versions.hierarchy;
        Self {
            build_digest: (build_digest >> 32) as u32,
            hierarchy_version: version,
            hierarchy_digest: (digest >> 32) as u32,
        }
    }
}

/// The smallest and the largest value of a counter over several routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValueRange {
    /// The smallest value.
    pub min: u64,
    /// The largest value.
    pub max: u64,
}

/// The progress of routers. All of it changes continually in normal operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Progress {
    /// The routers' positions in the journal; `None` if no router is alive.
    pub journal_position: Option<ValueRange>,
    /// Drains that all routers together have applied.
    pub drains_applied: u64,
    /// Purges that all routers together have applied.
    pub purges_applied: u64,
}

/// The routers of a location.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Summary {
    /// Routers that are alive and not shutting down.
    pub alive: u64,
    /// Routers that cannot be reached and may be dead.
    pub suspect: u64,
    /// Routers that are considered dead.
    pub dead: u64,
    /// Routers that are shutting down or have left.
    pub leaving: u64,
    /// Routers of locations that no fresh summary covers.
    pub unreachable: u64,
    /// The progress of the routers that are alive.
    pub progress: Progress,
    /// Routers that are alive, by the versions they act on.
    pub groups: BTreeMap<VersionGroup, u64>,
    /// Routers of groups that are not listed.
    pub other_routers: u64,
    /// The first stragglers by name.
    pub stragglers: Vec<String>,
    /// The number of all stragglers.
    pub straggler_count: u64,
}

impl Summary {
    /// Counts one more router.
    pub fn add_router(
        &mut self,
        name: &str,
        state: MemberState,
        leaving: bool,
        versions: &ActiveVersions,
        straggler: bool,
    ) {
        self.merge(&Self::of_one_router(state, leaving, versions));
        if straggler {
            self.straggler_count += 1;
            self.add_straggler_names(std::iter::once(name.to_string()));
        }
    }

    fn of_one_router(state: MemberState, leaving: bool, versions: &ActiveVersions) -> Self {
        match state {
            MemberState::Left => Self { leaving: 1, ..Self::default() },
            MemberState::Suspect => Self { suspect: 1, ..Self::default() },
            MemberState::Dead => Self { dead: 1, ..Self::default() },
            MemberState::Alive => {
                let position = versions.journal_position;
                let progress = Progress {
                    journal_position: Some(ValueRange { min: position, max: position }),
                    drains_applied: versions.drains_applied,
                    purges_applied: versions.purges_applied,
                };
                Self {
                    alive: u64::from(!leaving),
                    leaving: u64::from(leaving),
                    progress,
                    groups: BTreeMap::from([(VersionGroup::from_versions(versions), 1)]),
                    ..Self::default()
                }
            }
        }
    }

    fn add_straggler_names(&mut self, names: impl Iterator<Item = String>) {
        self.stragglers.extend(names);
        self.stragglers.sort_unstable();
        self.stragglers.dedup();
        self.stragglers.truncate(MAX_NAMED_STRAGGLERS);
    }

    /// Adds a summary that has no router in common with this one.
    pub fn merge(&mut self, other: &Self) {
        self.alive = self.alive.saturating_add(other.alive);
        self.suspect = self.suspect.saturating_add(other.suspect);
        self.dead = self.dead.saturating_add(other.dead);
        self.leaving = self.leaving.saturating_add(other.leaving);
        self.unreachable = self.unreachable.saturating_add(other.unreachable);
        self.other_routers = self.other_routers.saturating_add(other.other_routers);
        self.straggler_count = self.straggler_count.saturating_add(other.straggler_count);
        self.progress.merge(&other.progress);
        for (group, count) in &other.groups {
            let known = self.groups.entry(*group).or_default();
            *known = known.saturating_add(*count);
        }
        self.add_straggler_names(other.stragglers.iter().cloned());
    }

    /// Adds a summary that is no longer fresh: only the number of its routers and its stragglers are used.
    pub fn merge_unreachable(&mut self, other: &Self) {
        self.unreachable = self.unreachable.saturating_add(other.routers());
        self.straggler_count = self.straggler_count.saturating_add(other.straggler_count);
        self.add_straggler_names(other.stragglers.iter().cloned());
    }

    /// The number of all routers, whatever their state.
    pub fn routers(&self) -> u64 {
        [self.suspect, self.dead, self.leaving, self.unreachable]
            .iter()
            .fold(self.alive, |sum, count| sum.saturating_add(*count))
    }

    /// The oldest version of the hierarchy that a listed group acts on.
    pub fn oldest_hierarchy(&self) -> Option<u64> {
        self.groups.keys().map(|group| group.hierarchy_version).min()
    }

    /// The summary in the form in which it is published: it lists the oldest group and the largest ones, and
    /// counts the routers of all others together.
    pub fn truncated(mut self) -> Self {
        if self.groups.len() <= MAX_GROUPS {
            return self;
        }
        let oldest = self.groups.keys().min_by_key(|group| (group.hierarchy_version, **group)).copied();
        let mut by_size: Vec<(VersionGroup, u64)> = self.groups.into_iter().collect();
        by_size.sort_unstable_by_key(|(group, count)| (Some(*group) != oldest, Reverse(*count), *group));
        let rest = by_size.split_off(MAX_GROUPS);
        self.other_routers =
            rest.iter().fold(self.other_routers, |sum, (_, count)| sum.saturating_add(*count));
        self.groups = by_size.into_iter().collect();
        self
    }

    /// Whether the other summary differs in anything except progress.
    pub fn differs_apart_from_progress(&self, other: &Self) -> bool {
        let without_progress = |summary: &Self| Self { progress: Progress::default(), ..summary.clone() };
        without_progress(self) != without_progress(other)
    }

    /// Whether the summaries differ only in the hierarchy, and in each all routers act on the same one.
    pub fn is_hierarchy_transition(&self, other: &Self) -> bool {
        let (Some(before), Some(after)) = (self.only_group(), other.only_group()) else { return false };
        let without_groups = |summary: &Self| Self { groups: BTreeMap::new(), ..summary.clone() };
        let differs_otherwise = without_groups(self).differs_apart_from_progress(&without_groups(other));
        before != after && before.build_digest == after.build_digest && !differs_otherwise
    }

    /// The group of all routers, if there is only one group.
    fn only_group(&self) -> Option<VersionGroup> {
        let mut groups = self.groups.keys();
        let group = groups.next()?;
        let is_only_one = groups.next().is_none() && self.other_routers == 0;
        is_only_one.then_some(*group)
    }

    /// Whether a received summary is within the bounds.
    pub fn is_valid(&self) -> bool {
        let named = self.stragglers.len();
        let are_names_valid = named <= MAX_NAMED_STRAGGLERS && named as u64 <= self.straggler_count;
        are_names_valid && self.groups.len() <= MAX_GROUPS && self.stragglers.is_sorted()
    }
}

impl Progress {
    fn merge(&mut self, other: &Self) {
        self.drains_applied = self.drains_applied.saturating_add(other.drains_applied);
        self.purges_applied = self.purges_applied.saturating_add(other.purges_applied);
        self.journal_position = match (self.journal_position, other.journal_position) {
            (Some(own), Some(theirs)) => {
                Some(ValueRange { min: own.min.min(theirs.min), max: own.max.max(theirs.max) })
            }
            (own, theirs) => own.or(theirs),
        };
    }
}

/// A summary with the router that published it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SummaryReport {
    /// The name of the router.
    pub reported_by: String,
    /// The summary.
    pub summary: Summary,
}
