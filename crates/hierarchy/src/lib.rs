//! The hierarchy of caches, parents and the origin, and how it changes while traffic runs.
//!
//! What the hierarchy is:
//!
//! - [`node`]: nodes and their sources;
//! - [`topology`]: which node may fill from which, without cycles; [`topological_order`] finds these;
//! - [`batch`], [`version`]: batches of changes, their names, their order, and why one is rejected;
//! - [`history`]: the batches received, in the order that all routers share;
//! - [`change_spec`]: nodes, changes and batches as they are written, sent and shown.
//!
//! How a change takes effect, and how fills are protected meanwhile:
//!
//! - [`rollout`]: children migrate to a new source in stages, and back if it does harm;
//! - [`origin_shield`]: which fills go, wait or are rejected, by [`rate_budget`] and [`lease`];
//! - [`loop_detection`], [`edge_backoff`]: a fill that returns to a node, and the edge that is excluded for it;
//! - [`plan`]: what a batch would do, before it is applied;
//! - [`hierarchy`]: all of it together, as one router sees it.
//!
//! [`recent_keys`] and [`event_rate`] are small structures that these use.
//!
//! Where each rule is:
//!
//! | question | rule |
//! | --- | --- |
//! | which sources may a cache's fill use? | [`Hierarchy::fill_sources`] |
//! | where does a source forward a fill? | [`Hierarchy::onward_path`] |
//! | why was a fill queued or rejected? | [`origin_shield`], [`origin_shield::ShieldRejection`] |
//! | how many fills may a parent or the origin get? | [`rate_budget`] |
//! | when does a migration go on, pause or roll back? | [`rollout`], [`rollout::RollbackReason`] |
//! | why is an edge not used? | [`topology`] for a cycle, [`edge_backoff`] for a detected loop |
//! | why was a batch rejected? | [`BatchRejection`]; [`BatchError`] if it has no place in the history |
//!
//! No module reads a clock, a socket or a file or draws random numbers: times and seeds are arguments. Times are in
//! milliseconds, `now` in milliseconds of Unix time. `docs/hierarchy.md` gives the design and what it guarantees.

#![warn(missing_docs)]
#![warn(clippy::missing_errors_doc, clippy::too_many_lines, clippy::unwrap_used, clippy::wildcard_imports)]

pub mod batch;
pub mod change_spec;
pub mod edge_backoff;
pub mod event_rate;
pub mod hierarchy;
pub mod history;
pub mod lease;
pub mod loop_detection;
pub mod node;
pub mod origin_shield;
pub mod plan;
pub mod rate_budget;
pub mod recent_keys;
pub mod rollout;
pub mod topological_order;
pub mod topology;
pub mod version;

pub use linnethook::interface::EndpointPhase;

pub use batch::{BatchLimits, BatchRejection, Change, ChangeBatch};
pub use hierarchy::{
    EndpointUpdateOutcome, FillResult, FillSources, Hierarchy, HierarchyConfig, HierarchyView, Hop,
    SelectedFill, TickOutcome,
};
pub use history::{BatchError, History, HistoryLimits, ReceiveOutcome, Snapshot};
pub use node::{Node, NodeId, Role, Source};
pub use topology::{Edge, Topology};
pub use version::{AuthorId, BatchId, BatchPosition, VersionVector};
