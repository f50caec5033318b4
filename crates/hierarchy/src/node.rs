//! The nodes of a hierarchy and the sources that they may fill from.

use serde::{Deserialize, Serialize};

/// A cache, a parent of any tier, or the origin, by the id that the decision module uses as well.
pub use linnethook::interface::EndpointId as NodeId;

/// What a node is in the hierarchy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Serves clients and fills from parents or the origin.
    Cache,
    /// Serves fills and fills from other parents or the origin.
    Parent,
    /// Has no sources; every fill path may end here.
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

/// One node.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// The hash of its name.
    #[serde(with = "id_as_number")]
    pub id: NodeId,
    /// What it is in the hierarchy.
    pub role: Role,
    /// The site or hub it belongs to, as the hash of the site's name.
    pub site: u32,
    /// Distance from the clients: 0 for caches, one more for each tier of parents.
    pub tier: u8,
    /// What it can serve, in any unit that is the same for all nodes of a tier.
    pub capacity: f64,
    /// Receives no new children. Its children migrate away in stages, and it serves cached objects until its
    /// retirement grace ends.
    pub retiring: bool,
}

/// A node to fill from. Lower ranks are tried first; sources of equal rank share objects by hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Source {
    /// The order of preference.
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
