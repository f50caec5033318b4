//! The external format of nodes, changes and batches: in files, between routers and in the output of
//! commands. It has the names of nodes instead of their ids.
//!
//! The names of fields and variants and their order define the format. A change is validated only when it is
//! applied.

use linnethook::interface::Ms;
use serde::{Deserialize, Serialize};

use crate::node::Role;

mod name_table;
mod plan_spec;
mod validation;

pub use self::name_table::{node_id, NameTable};
pub use self::plan_spec::{OriginLoadSpec, PlanSpec, SourceChangeSpec, SourceLoadSpec};
pub use self::validation::{validate, TopologyError};

/// A node with its sources.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeSpec {
    /// Its name, which is the same at all routers.
    pub name: String,
    /// Its role in the hierarchy.
    pub role: Role,
    /// The name of its site or hub.
    pub site: String,
    /// Distance from the clients: 0 for caches, 1 more for each tier of parents.
    pub tier: u8,
    /// The load that it can serve, in any unit that is the same for all nodes of a tier.
    pub capacity: f64,
    /// Whether it retires.
    pub retiring: bool,
    /// Its sources with their ranks.
    pub sources: Vec<SourceSpec>,
}

/// A source of a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceSpec {
    /// The name of the node to fill from.
    pub name: String,
    /// The order of preference; lower ranks are preferred.
    pub rank: u16,
}

/// A change. The variants correspond to those of [`Change`](crate::batch::Change).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeSpec {
    /// Adds a node.
    Add(NodeSpec),
    /// Removes a node.
    Remove {
        /// Its name.
        node: String,
    },
    /// Moves a node to another site.
    Move {
        /// Its name.
        node: String,
        /// The name of the new site.
        site: String,
        /// Its sources at the new site.
        sources: Vec<SourceSpec>,
    },
    /// Replaces a node by a new one.
    Replace {
        /// The name of the node that retires.
        old: String,
        /// The new node, which takes over the sources of the old one; those in the specification are ignored.
        new: NodeSpec,
    },
    /// Replaces the sources of a node, or changes their ranks.
    Rerank {
        /// Its name.
        node: String,
        /// Its new sources.
        sources: Vec<SourceSpec>,
    },
    /// Starts or ends the retirement of a node.
    Retire {
        /// Its name.
        node: String,
        /// Whether it retires from now on.
        retiring: bool,
    },
}

/// A batch. The fields correspond to those of [`ChangeBatch`](crate::batch::ChangeBatch).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BatchSpec {
    /// The author.
    pub author: u16,
    /// Its number among the author's batches.
    pub number: u64,
    /// The Lamport timestamp.
    pub stamp: u64,
    /// The newest batch of each author that its author had received, as pairs of author and number.
    #[serde(default)]
    pub basis: Vec<(u16, u64)>,
    /// When it takes effect, in milliseconds of Unix time.
    #[serde(rename = "at")]
    pub effective_at: Ms,
    /// The changes, in the order in which they are applied.
    pub changes: Vec<ChangeSpec>,
}
