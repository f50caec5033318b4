//! The hierarchy of caches, parents and the origin, and how it changes while traffic runs.
//!
//! - [`shape`]: nodes, their sources, and which of these edges are in use;
//! - [`order`]: the order that keeps loops out, while edges come and go;
//! - [`batch`]: changes, who wrote them and on what they were planned;
//! - [`history`]: batches in the one order of all routers, whatever the order in which they are heard;
//! - [`passed`]: the way of a fill, and edges held back because one came round;
//! - [`stages`]: how children go over to a new source, and back where that does harm;
//! - [`budget`], [`lease`], [`recency`]: what fills may go, each once, and what is remembered of cold keys;
//! - [`shield`]: which fills go now, which wait, and which are over what the tiers above bear;
//! - [`hierarchy`]: all of it wired together, as one router sees it;
//! - [`plan`]: what a batch would do, told before it is applied;
//! - [`named`]: changes as they are written, sent and shown.
//!
//! No part reads a clock, a socket, a file or chance: times and seeds are arguments. `docs/hierarchy.md` weighs
//! the ways that were open and says what is promised.

pub mod batch;
pub mod budget;
pub mod hierarchy;
pub mod history;
pub mod lease;
pub mod named;
pub mod order;
pub mod passed;
pub mod plan;
pub mod recency;
pub mod shape;
pub mod shield;
pub mod stages;

pub use batch::{Author, Basis, Batch, Bounds, Change, Key, Refusal, Serial};
pub use linnethook::interface::EndpointPhase;

pub use hierarchy::{Brought, Feeds, Hierarchy, Hop, Picked, Rules, View};
pub use history::{Heard, History, Kept, Snapshot, Unusable};
pub use shape::{Edge, Node, NodeId, Role, Shape, Source};
