//! The nodes of a hierarchy and the sources that they may fill from.

use serde::{Deserialize, Serialize};

/// The id of a cache, a parent of any tier, or the origin; the decision module uses the same ids.
pub use linnethook::interface::EndpointId as NodeId;

/// The role of a node in the hierarchy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Serves clients; fills from parents or the origin.
    Cache,
    /// Serves fills of other nodes; fills from other parents or the origin.
    Parent,
    /// Has no sources; the end of every fill path.
    Origin,
}

impl Role {
    /// The name that commands print.
    pub fn name(self) -> &'static str {
        match self {
            Self::Cache => "cache",
            Self::Parent => "parent",
            Self::Origin => "origin",
        }
    }
}

/// A node of the hierarchy.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// The hash of its name.
    #[serde(with = "id_as_number")]
    pub id: NodeId,
    /// Its role in the hierarchy.
    pub role: Role,
    /// The site or hub it belongs to, as the hash of the site's name.
    pub site: u32,
    /// Distance from the clients: 0 for caches, 1 more for each tier of parents.
    pub tier: u8,
    /// The load that it can serve, in any unit that is the same for all nodes of a tier.
    pub capacity: f64,
    /// Whether it retires: it receives no new children, its children migrate away in stages, and it serves
    /// cached objects until its retirement grace period ends.
    pub retiring: bool,
}

/// A node to fill from. Lower ranks are preferred; among sources of equal rank the hash of the object selects
/// one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Source {
    /// The order of preference; lower ranks are preferred.
    pub rank: u16,
    /// The node to fill from.
    #[serde(with = "id_as_number")]
    pub node: NodeId,
}

impl Source {
    /// A source of that rank.
    pub fn new(node: NodeId, rank: u16) -> Self {
        Self { rank, node }
    }
}

/// The sources of the lowest rank in a list.
pub(crate) fn preferred_sources(sources: &[Source]) -> impl Iterator<Item = NodeId> + '_ {
    let lowest_rank = sources.iter().map(|source| source.rank).min();
    sources.iter().filter(move |source| Some(source.rank) == lowest_rank).map(|source| source.node)
}

/// Serialises node ids as plain numbers.
pub(crate) mod id_as_number {
    use serde::{Deserialize, Deserializer, Serializer};

    use super::NodeId;

    pub fn serialize<S: Serializer>(id: &NodeId, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(id.0)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<NodeId, D::Error> {
        u64::deserialize(deserializer).map(NodeId)
    }
}
