//! The cluster as one router sees it, in the form that commands print.
//!
//! The serialized names are part of the output format of the commands and differ from the field names.

use serde::{Deserialize, Serialize};

use crate::actions::Participation;
use crate::aggregation::location::Location;
use crate::aggregation::summary::{Summary, VersionGroup};
use crate::membership::MemberState;
use crate::versions::ActiveVersions;
use crate::Ms;

/// Counts for people.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterCounters {
    #[serde(rename = "said")]
    pub messages_sent: u64,
    #[serde(rename = "said_bytes")]
    pub bytes_sent: u64,
    #[serde(rename = "heard")]
    pub messages_received: u64,
    #[serde(rename = "new")]
    pub entries_new: u64,
    #[serde(rename = "old")]
    pub entries_stale: u64,
    /// No room, or too long.
    #[serde(rename = "full")]
    pub entries_rejected: u64,
    pub unreadable: u64,
    /// Facts that were missing elsewhere, by digests.
    #[serde(rename = "repaired")]
    pub entries_repaired: u64,
    #[serde(rename = "twins")]
    pub name_conflicts: u64,
    #[serde(rename = "frozen")]
    pub freezes: u64,
    /// Facts of stragglers, which did not count.
    #[serde(rename = "shut_out")]
    pub straggler_entries_ignored: u64,
    /// Facts that are for other places only.
    pub out_of_scope: u64,
    /// Summaries that were told here of places as a whole.
    #[serde(rename = "summaries")]
    pub summaries_published: u64,
}

/// One router, as it is shown.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouterView {
    pub name: String,
    #[serde(rename = "start")]
    pub incarnation: u64,
    #[serde(rename = "standing")]
    pub state: MemberState,
    /// How long it has stood like that, in milliseconds.
    #[serde(rename = "since")]
    pub state_age: Ms,
    #[serde(rename = "acts")]
    pub versions: ActiveVersions,
    pub links: usize,
    /// It has been below the floor for too long: what it says does not count.
    pub straggler: bool,
}

/// A place as a whole, as it is shown.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LocationView {
    #[serde(rename = "place")]
    pub location: String,
    /// The router that speaks for it.
    #[serde(rename = "by")]
    pub reported_by: String,
    /// Whether it is still heard of, and how long ago it was last, in milliseconds.
    pub fresh: bool,
    #[serde(rename = "heard")]
    pub age: Ms,
    pub alive: u64,
    #[serde(rename = "suspected")]
    pub suspect: u64,
    #[serde(rename = "gone")]
    pub dead: u64,
    pub leaving: u64,
    #[serde(rename = "unheard")]
    pub unreachable: u64,
    /// The least and the greatest number of the journal.
    #[serde(rename = "journal")]
    pub journal_range: Option<(u64, u64)>,
    #[serde(rename = "drains")]
    pub drains_applied: u64,
    #[serde(rename = "purges")]
    pub purges_applied: u64,
    /// The least version of the hierarchy.
    #[serde(rename = "oldest")]
    pub oldest_hierarchy: Option<u64>,
    pub groups: Vec<(VersionGroup, u64)>,
    #[serde(rename = "others")]
    pub other_routers: u64,
    pub stragglers: Vec<String>,
    #[serde(rename = "behind")]
    pub straggler_count: u64,
}

impl LocationView {
    pub(crate) fn new(place: &Location, by: String, fresh: bool, heard: Ms, sum: Summary) -> Self {
        Self {
            location: place.to_string(),
            reported_by: by,
            fresh,
            age: heard,
            alive: sum.alive,
            suspect: sum.suspect,
            dead: sum.dead,
            leaving: sum.leaving,
            unreachable: sum.unreachable,
            journal_range: sum.progress.journal_position.map(|span| (span.min, span.max)),
            drains_applied: sum.progress.drains_applied,
            purges_applied: sum.progress.purges_applied,
            oldest_hierarchy: sum.oldest_hierarchy(),
            groups: sum.groups.into_iter().collect(),
            other_routers: sum.other_routers,
            stragglers: sum.stragglers,
            straggler_count: sum.straggler_count,
        }
    }
}

/// The fleet as one router sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClusterView {
    pub me: RouterView,
    #[serde(rename = "part")]
    pub participation: Participation,
    pub others: Vec<RouterView>,
    #[serde(rename = "facts")]
    pub entries: usize,
    pub bytes: usize,
    pub pending: usize,
    /// The version below which nobody is to act.
    pub floor: u64,
    #[serde(rename = "counts")]
    pub counters: ClusterCounters,
    /// Where this router stands; fellows of other sites with a link, and where they stand.
    #[serde(rename = "place")]
    pub location: Option<String>,
    #[serde(rename = "across")]
    pub remote_peers: Vec<(String, String)>,
    /// Places as a whole, the widest first.
    #[serde(rename = "places")]
    pub locations: Vec<LocationView>,
}
