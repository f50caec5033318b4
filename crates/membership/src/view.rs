//! The state of the cluster as known to one router, in the form that commands print.
//!
//! The serialized names are the output format of the commands; some differ from the field names.

use serde::{Deserialize, Serialize};

use crate::actions::Participation;
use crate::aggregation::location::Location;
use crate::aggregation::summary::{Summary, VersionGroup};
use crate::membership::MemberState;
use crate::versions::ActiveVersions;
use crate::Ms;

/// Counters since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterCounters {
    /// Messages sent.
    #[serde(rename = "said")]
    pub messages_sent: u64,
    /// Bytes of their entries, summed over all peers.
    #[serde(rename = "said_bytes")]
    pub bytes_sent: u64,
    /// Entries and messages received.
    #[serde(rename = "heard")]
    pub messages_received: u64,
    /// Received entries that were new.
    #[serde(rename = "new")]
    pub entries_new: u64,
    /// Received entries that were known, or older than the known one.
    #[serde(rename = "old")]
    pub entries_stale: u64,
    /// Entries that exceeded a limit.
    #[serde(rename = "full")]
    pub entries_rejected: u64,
    /// Received entries and messages that could not be decoded.
    pub unreadable: u64,
    /// Entries sent because a peer's digests showed that it lacks them.
    #[serde(rename = "repaired")]
    pub entries_repaired: u64,
    /// Later incarnations of this router's name that were rejected.
    #[serde(rename = "twins")]
    pub name_conflicts: u64,
    /// How many times this process was frozen.
    #[serde(rename = "frozen")]
    pub freezes: u64,
    /// Received entries that were ignored because a straggler sent them.
    #[serde(rename = "shut_out")]
    pub straggler_entries_ignored: u64,
    /// Received entries that are for other locations only.
    pub out_of_scope: u64,
    /// Summaries of locations that this router published.
    #[serde(rename = "summaries")]
    pub summaries_published: u64,
}

/// A router.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouterView {
    /// Its name.
    pub name: String,
    /// The time of its start, in microseconds.
    #[serde(rename = "start")]
    pub incarnation: u64,
    /// Its state.
    #[serde(rename = "standing")]
    pub state: MemberState,
    /// How long it has been in the state.
    #[serde(rename = "since")]
    pub state_age: Ms,
    /// The versions that it acts on.
    #[serde(rename = "acts")]
    pub versions: ActiveVersions,
    /// The number of its links.
    pub links: usize,
    /// Whether it has been below the version floor for longer than the grace period: its entries are ignored.
    pub straggler: bool,
}

/// A location and the summary of its routers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LocationView {
    /// The location.
    #[serde(rename = "place")]
    pub location: String,
    /// The router that aggregates it.
    #[serde(rename = "by")]
    pub reported_by: String,
    /// Whether the summary is fresh.
    pub fresh: bool,
    /// How long ago the summary was received.
    #[serde(rename = "heard")]
    pub age: Ms,
    /// Routers that are alive.
    pub alive: u64,
    /// Routers that are suspect.
    #[serde(rename = "suspected")]
    pub suspect: u64,
    /// Routers that are considered dead.
    #[serde(rename = "gone")]
    pub dead: u64,
    /// Routers that are shutting down or have left.
    pub leaving: u64,
    /// Routers of locations that no fresh summary covers.
    #[serde(rename = "unheard")]
    pub unreachable: u64,
    /// The smallest and the largest position in the journal.
    #[serde(rename = "journal")]
    pub journal_range: Option<(u64, u64)>,
    /// Drains applied by all routers together.
    #[serde(rename = "drains")]
    pub drains_applied: u64,
    /// Purges applied by all routers together.
    #[serde(rename = "purges")]
    pub purges_applied: u64,
    /// The oldest version of the hierarchy.
    #[serde(rename = "oldest")]
    pub oldest_hierarchy: Option<u64>,
    /// Routers by the versions they act on.
    pub groups: Vec<(VersionGroup, u64)>,
    /// Routers of groups that are not listed.
    #[serde(rename = "others")]
    pub other_routers: u64,
    /// The first stragglers by name.
    pub stragglers: Vec<String>,
    /// The number of all stragglers.
    #[serde(rename = "behind")]
    pub straggler_count: u64,
}

impl LocationView {
    /// The view of a summary.
    pub(crate) fn new(
        location: &Location,
        reported_by: String,
        fresh: bool,
        age: Ms,
        summary: Summary,
    ) -> Self {
        let progress = summary.progress;
        Self {
            location: location.to_string(),
            reported_by,
            fresh,
            age,
            alive: summary.alive,
            suspect: summary.suspect,
            dead: summary.dead,
            leaving: summary.leaving,
            unreachable: summary.unreachable,
            journal_range: progress.journal_position.map(|range| (range.min, range.max)),
            drains_applied: progress.drains_applied,
            purges_applied: progress.purges_applied,
            oldest_hierarchy: summary.oldest_hierarchy(),
            groups: summary.groups.into_iter().collect(),
            other_routers: summary.other_routers,
            stragglers: summary.stragglers,
            straggler_count: summary.straggler_count,
        }
    }
}

/// The state of the cluster as known to one router.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClusterView {
    /// This router.
    pub me: RouterView,
    /// Whether it participates.
    #[serde(rename = "part")]
    pub participation: Participation,
    /// All other routers of the site, or of the fleet if this router has no location.
    pub others: Vec<RouterView>,
    /// The number of known entries.
    #[serde(rename = "facts")]
    pub entries: usize,
    /// Bytes of the known entries.
    pub bytes: usize,
    /// Entries and messages that are queued for sending.
    pub pending: usize,
    /// The lowest version of the hierarchy that routers may act on.
    pub floor: u64,
    /// Counters since the start.
    #[serde(rename = "counts")]
    pub counters: ClusterCounters,
    /// The location of this router.
    #[serde(rename = "place")]
    pub location: Option<String>,
    /// Linked peers of other sites, with their locations.
    #[serde(rename = "across")]
    pub remote_peers: Vec<(String, String)>,
    /// Summaries of locations, the outermost first.
    #[serde(rename = "places")]
    pub locations: Vec<LocationView>,
}
