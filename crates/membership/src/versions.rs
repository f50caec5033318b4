//! The versions that a router acts on, and the status by which it reports them to other routers.

use serde::{Deserialize, Serialize};

use crate::aggregation::location::Location;
use crate::decode_error::DecodeError;
use crate::gossip::entry::{GossipEntry, Revision};

/// The newest version of [`RouterStatus`] that a router without a location writes.
pub const NEWEST_STATUS_VERSION: u16 = 2;
/// The version of [`RouterStatus`] that a router with a location writes.
pub const LOCATED_STATUS_VERSION: u16 = 3;

/// A version of the hierarchy. Different hierarchies with the same version differ in their digests.
///
/// Serialized as a pair.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct HierarchyVersion {
    /// The version; 0 if there is no hierarchy.
    pub version: u64,
    /// A digest of the hierarchy's content.
    pub digest: u64,
}

impl From<(u64, u64)> for HierarchyVersion {
    fn from((version, digest): (u64, u64)) -> Self {
        Self { version, digest }
    }
}

impl From<HierarchyVersion> for (u64, u64) {
    fn from(hierarchy: HierarchyVersion) -> Self {
        (hierarchy.version, hierarchy.digest)
    }
}

/// The versions that a router acts on. Settings, operator file and hierarchy are represented by digests.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ActiveVersions {
    /// The version of the program.
    pub build: String,
    /// A digest of the settings.
    #[serde(rename = "settings")]
    pub settings_digest: u64,
    /// A digest of the operator file.
    #[serde(rename = "operator")]
    pub operator_digest: u64,
    /// The hierarchy.
    #[serde(rename = "shape")]
    pub hierarchy: HierarchyVersion,
    /// The last position of the journal that was applied.
    #[serde(rename = "journal")]
    pub journal_position: u64,
    /// Drains applied in this incarnation, from the journal or from gossip. Since status version 2.
    #[serde(rename = "drains")]
    pub drains_applied: u64,
    /// Purges applied in this incarnation, from the journal or from gossip. Since status version 2.
    #[serde(rename = "purges")]
    pub purges_applied: u64,
}

/// The status that a router reports of itself.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RouterStatus {
    /// The versions that it acts on.
    pub versions: ActiveVersions,
    /// The peers it has links with, and their incarnations.
    pub links: Vec<(String, u64)>,
    /// Whether it is shutting down gracefully.
    pub leaving: bool,
    /// Its location. Since status version 3.
    pub location: Option<Location>,
}

/// The frequently changing parts of [`ActiveVersions`], reported without the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct VersionUpdate {
    /// The hierarchy.
    pub hierarchy: HierarchyVersion,
    /// The last position of the journal that was applied.
    pub journal_position: u64,
    /// Drains applied in this incarnation.
    pub drains_applied: u64,
    /// Purges applied in this incarnation.
    pub purges_applied: u64,
}

impl VersionUpdate {
    /// The frequently changing parts of these versions.
    pub fn from_versions(versions: &ActiveVersions) -> Self {
        Self {
            hierarchy: versions.hierarchy,
            journal_position: versions.journal_position,
            drains_applied: versions.drains_applied,
            purges_applied: versions.purges_applied,
        }
    }

    /// Replaces the frequently changing parts of these versions.
    pub fn apply_to(&self, versions: &mut ActiveVersions) {
        versions.hierarchy = self.hierarchy;
        versions.journal_position = self.journal_position;
        versions.drains_applied = self.drains_applied;
        versions.purges_applied = self.purges_applied;
    }
}

/// The body of status version 1, with which all later ones begin.
#[derive(Debug, Serialize, Deserialize)]
struct StatusV1 {
    build: String,
    settings_digest: u64,
    operator_digest: u64,
    hierarchy: HierarchyVersion,
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
    /// The status as an entry of this version, which is at most [`NEWEST_STATUS_VERSION`]. A status with a
    /// location is written as [`LOCATED_STATUS_VERSION`] instead of the newest version.
    pub fn encode(&self, revision: Revision, version: u16) -> GossipEntry {
        if version <= 1 {
            return GossipEntry::new(revision, 1, &self.to_v1());
        }
        match &self.location {
            None => GossipEntry::new(revision, NEWEST_STATUS_VERSION, &self.to_v2()),
            Some(location) => {
                let body = StatusV3 { v2: self.to_v2(), location: location.clone() };
                GossipEntry::new(revision, LOCATED_STATUS_VERSION, &body)
            }
        }
    }

    /// Decodes a status of any version, as far as this build knows its fields.
    ///
    /// # Errors
    ///
    /// The body is incomplete, or its version is 0.
    pub fn decode(entry: &GossipEntry) -> Result<Self, DecodeError> {
        match entry.body_version {
            0 => Err(DecodeError::UnknownVersion(0)),
            1 => Ok(Self::from_v1(entry.decode_body()?)),
            2 => Ok(Self::from_v2(entry.decode_body()?)),
            _ => {
                let StatusV3 { v2, location } = entry.decode_body()?;
                Ok(Self { location: Some(location), ..Self::from_v2(v2) })
            }
        }
    }

    fn to_v1(&self) -> StatusV1 {
        let ActiveVersions { build, settings_digest, operator_digest, hierarchy, journal_position, .. } =
            self.versions.clone();
        let (links, leaving) = (self.links.clone(), self.leaving);
        StatusV1 { build, settings_digest, operator_digest, hierarchy, journal_position, links, leaving }
    }

    fn to_v2(&self) -> StatusV2 {
        let ActiveVersions { drains_applied, purges_applied, .. } = self.versions;
        StatusV2 { v1: self.to_v1(), drains_applied, purges_applied }
    }

    fn from_v1(v1: StatusV1) -> Self {
        let versions = ActiveVersions {
            build: v1.build,
            settings_digest: v1.settings_digest,
            operator_digest: v1.operator_digest,
            hierarchy: v1.hierarchy,
            journal_position: v1.journal_position,
            drains_applied: 0,
            purges_applied: 0,
        };
        Self { versions, links: v1.links, leaving: v1.leaving, location: None }
    }

    fn from_v2(v2: StatusV2) -> Self {
        let mut status = Self::from_v1(v2.v1);
        status.versions.drains_applied = v2.drains_applied;
        status.versions.purges_applied = v2.purges_applied;
        status
    }
}

/// The lowest version of the hierarchy that routers may act on, as set by an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionFloor {
    /// The version; 0 if the operator has withdrawn the floor.
    pub version: u64,
    /// The router at which it was set.
    pub set_by: String,
}
