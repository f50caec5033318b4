//! The versions a router acts on, and the status in which it reports them to other routers.

use serde::{Deserialize, Serialize};

use crate::aggregation::location::Location;
use crate::gossip::entry::{GossipEntry, Revision};

/// The versions of [`RouterStatus`] that this build writes and reads.
pub const NEWEST_STATUS_VERSION: u16 = 2;

/// The version that says where the router stands; told where it has a place.
pub const LOCATED_STATUS_VERSION: u16 = 3;

/// What a router acts on. Digests are told where the whole is too long.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ActiveVersions {
    pub build: String,
    #[serde(rename = "settings")]
    pub settings_digest: u64,
    #[serde(rename = "operator")]
    pub operator_digest: u64,
    /// The version and the digest of the hierarchy; 0 where it is off.
    #[serde(rename = "shape")]
    pub hierarchy: (u64, u64),
    /// The last number taken of the journal.
    #[serde(rename = "journal")]
    pub journal_position: u64,
    /// Since version 2: drains and purges heeded in this start, from the journal and from fellows.
    #[serde(rename = "drains")]
    pub drains_applied: u64,
    #[serde(rename = "purges")]
    pub purges_applied: u64,
}

/// What a router says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RouterStatus {
    pub versions: ActiveVersions,
    /// Fellows that it has a link with, and their starts.
    pub links: Vec<(String, u64)>,
    /// It ends, and has said so.
    pub leaving: bool,
    /// Since version 3: where it stands.
    pub location: Option<Location>,
}

/// What of [`ActiveVersions`] changes all the time, told alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct VersionUpdate {
    pub hierarchy: (u64, u64),
    pub journal_position: u64,
    pub drains_applied: u64,
    pub purges_applied: u64,
}

impl VersionUpdate {
    pub fn from_versions(acts: &ActiveVersions) -> Self {
        Self {
            hierarchy: acts.hierarchy,
            journal_position: acts.journal_position,
            drains_applied: acts.drains_applied,
            purges_applied: acts.purges_applied,
        }
    }

    pub fn apply_to(&self, acts: &mut ActiveVersions) {
        (acts.hierarchy, acts.journal_position) = (self.hierarchy, self.journal_position);
        (acts.drains_applied, acts.purges_applied) = (self.drains_applied, self.purges_applied);
    }
}

/// Version 1, and what version 2 has behind it.
#[derive(Debug, Serialize, Deserialize)]
struct StatusV1 {
    build: String,
    settings_digest: u64,
    operator_digest: u64,
    hierarchy: (u64, u64),
    journal_position: u64,
    links: Vec<(String, u64)>,
    leaving: bool,
}

#[derive(Debug, Serialize, Deserialize)]
struct StatusV2 {
    v1: StatusV1,
    drains_applied: u64,
    purges_applied: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct StatusV3 {
    v2: StatusV2,
    location: Location,
}

impl RouterStatus {
    /// As an entry of that version, which is at most [`NEWEST_STATUS_VERSION`]; of the next one where it has a place.
    pub fn encode(&self, order: Revision, version: u16) -> GossipEntry {
        let ActiveVersions {
            build,
            settings_digest: settings,
            operator_digest: operator,
            hierarchy: shape,
            journal_position: journal,
            drains_applied: drains,
            purges_applied: purges,
        } = self.versions.clone();
        let links = self.links.clone();
        let first = StatusV1 {
            build,
            settings_digest: settings,
            operator_digest: operator,
            hierarchy: shape,
            journal_position: journal,
            links,
            leaving: self.leaving,
        };
        let second = |first| StatusV2 { v1: first, drains_applied: drains, purges_applied: purges };
        match (version, &self.location) {
            (0 | 1, _) => GossipEntry::new(order, 1, &first),
            (_, None) => GossipEntry::new(order, NEWEST_STATUS_VERSION, &second(first)),
            (_, Some(place)) => GossipEntry::new(
                order,
                LOCATED_STATUS_VERSION,
                &StatusV3 { v2: second(first), location: place.clone() },
            ),
        }
    }

    pub fn decode(entry: &GossipEntry) -> Option<Self> {
        let (first, drains, purges, place) = match entry.body_version {
            0 => return None,
            1 => (entry.decode_body::<StatusV1>()?, 0, 0, None),
            2 => {
                let StatusV2 { v1: first, drains_applied: drains, purges_applied: purges } =
                    entry.decode_body()?;
                (first, drains, purges, None)
            }
            _ => {
                let StatusV3 {
                    v2: StatusV2 { v1: first, drains_applied: drains, purges_applied: purges },
                    location: place,
                } = entry.decode_body()?;
                (first, drains, purges, Some(place))
            }
        };
        let StatusV1 {
            build,
            settings_digest: settings,
            operator_digest: operator,
            hierarchy: shape,
            journal_position: journal,
            links,
            leaving,
        } = first;
        let acts = ActiveVersions {
            build,
            settings_digest: settings,
            operator_digest: operator,
            hierarchy: shape,
            journal_position: journal,
            drains_applied: drains,
            purges_applied: purges,
        };
        Some(Self { versions: acts, links, leaving, location: place })
    }
}

/// The floor that people have set; 0 where they have taken it back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionFloor {
    pub version: u64,
    /// The router at which it was set.
    pub set_by: String,
}
