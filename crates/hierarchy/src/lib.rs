//! The hierarchy of caches, parents and the origin, and how it is changed under live traffic.
//!
//! Modules that define the hierarchy:
//!
//! - [`node`]: nodes and their sources;
//! - [`topology`]: which node may fill from which, without cycles; [`topological_order`] detects the cycles;
//! - [`batch`], [`version`]: batches of changes, their ids, their order, and the reasons for a rejection;
//! - [`history`]: the batches received, in a total order that is the same at all routers;
//! - [`change_spec`]: the external format of nodes, changes and batches: in files, on the wire and in
//!   commands.
//!
//! Modules that roll out a change and limit fills during the rollout:
//!
//! - [`rollout`]: children migrate to a new source in stages, and are rolled back if its fills fail or are
//!   late;
//! - [`origin_shield`]: admits, queues or rejects fills, using [`rate_budget`] and [`lease`];
//! - [`loop_detection`], [`edge_backoff`]: detects a fill that returns to a node, and excludes the edge it
//!   took;
//! - [`plan`]: forecasts the effects of a batch before it is applied;
//! - [`hierarchy`]: combines these modules into one router's view of the hierarchy.
//!
//! [`recent_keys`] and [`event_rate`] are data structures that these modules use.
//!
//! Where to find each rule:
//!
//! | question | rule |
//! | --- | --- |
//! | which sources may a cache's fill use? | [`Hierarchy::fill_sources`] |
//! | where does a source forward a fill? | [`Hierarchy::onward_path`] |
//! | why was a fill queued or rejected? | [`origin_shield`], [`origin_shield::ShieldRejection`] |
//! | what limits the fills of a parent or the origin? | [`rate_budget`] |
//! | when does a migration proceed, pause or roll back? | [`rollout`], [`rollout::RollbackReason`] |
//! | why is an edge not used? | [`topology`] for a cycle, [`edge_backoff`] for a detected loop |
//! | why was a batch rejected? | [`BatchRejection`]; [`BatchError`] if it can't be inserted |
//!
//! No module reads a clock, a socket or a file or draws random numbers: times and seeds are arguments. Times
//! are in milliseconds, `now` in milliseconds of Unix time. `docs/hierarchy.md` describes the design and its
//! guarantees.

#![warn(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::too_many_arguments,
    clippy::too_many_lines,
    clippy::unwrap_used,
    clippy::wildcard_imports
)]

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
