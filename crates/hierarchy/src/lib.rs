//! The hierarchy of caches, parents and the origin, and how it changes while traffic runs.
//!
//! - [`topology`]: nodes, their sources, and which of these edges are in use;
//! - [`topological_order`]: the order that keeps loops out, while edges come and go;
//! - [`batch`]: changes, who wrote them and on what they were planned;
//! - [`history`]: batches in the one order of all routers, whatever the order in which they are heard;
//! - [`loop_detection`]: the way of a fill, and edges held back because one came round;
//! - [`rollout`]: how children go over to a new source, and back where that does harm;
//! - [`rate_budget`], [`lease`], [`recent_keys`]: what fills may go, each once, and what is remembered of cold keys;
//! - [`origin_shield`]: which fills go now, which wait, and which are over what the tiers above bear;
//! - [`hierarchy`]: all of it wired together, as one router sees it;
//! - [`plan`]: what a batch would do, told before it is applied;
//! - [`change_spec`]: changes as they are written, sent and shown.
//!
//! No part reads a clock, a socket, a file or chance: times and seeds are arguments. `docs/hierarchy.md` weighs
//! the ways that were open and says what is promised.

pub mod batch;
pub mod change_spec;
pub mod hierarchy;
pub mod history;
pub mod lease;
pub mod loop_detection;
pub mod origin_shield;
pub mod plan;
pub mod rate_budget;
pub mod recent_keys;
pub mod rollout;
pub mod topological_order;
pub mod topology;

pub use batch::{
    AuthorId, BatchId, BatchLimits, BatchPosition, BatchRejection, Change, ChangeBatch, VersionVector,
};
pub use linnethook::interface::EndpointPhase;

pub use hierarchy::{FillResult, FillSources, Hierarchy, HierarchyConfig, HierarchyView, Hop, SelectedFill};
pub use history::{BatchError, History, HistoryLimits, ReceiveOutcome, Snapshot};
pub use topology::{Edge, Node, NodeId, Role, Source, Topology};
