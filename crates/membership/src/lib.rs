//! Cluster membership of a fleet of routers: which routers are members, which versions each of them acts on,
//! and the gossip that keeps the entries of all routers in agreement.
//!
//! - [`cluster`]: the facade that combines the other modules;
//! - [`config`]: all settings;
//! - [`actions`]: the actions that a [`cluster::Cluster`] requests from its owner;
//! - [`view`]: the state of the cluster in the form that commands print;
//! - [`membership`]: which routers are alive, suspect, dead or have left, derived from links that both ends
//!   report;
//! - [`versions`]: the versions a router acts on, and the status that reports them;
//! - [`gossip`]: entries, the table that holds them, broadcast trees and the rate limit;
//! - [`aggregation`]: topology locations, scopes, summaries and queries between sites;
//! - [`name_conflict`]: two processes under one router name;
//! - [`straggler`]: detection and exclusion of routers below the version floor;
//! - [`snapshot_transfer`]: a complete snapshot from a peer, for a router that gossip alone cannot bring up
//!   to date;
//! - [`hybrid_clock`]: the hybrid logical clock that orders events of several routers;
//! - [`decode_error`]: errors of decoding bytes from another router.
//!
//! No module reads a clock, a socket, a file or a random source: times are passed as arguments.
//! `docs/membership.md` and `docs/summaries.md` describe the design.

#![warn(missing_docs, clippy::missing_errors_doc, clippy::too_many_arguments, clippy::too_many_lines)]
#![warn(clippy::unwrap_used, clippy::wildcard_imports)]

pub mod actions;
pub mod aggregation;
pub mod cluster;
pub mod config;
pub mod decode_error;
pub mod gossip;
pub mod hybrid_clock;
pub mod membership;
pub mod name_conflict;
pub mod snapshot_transfer;
pub mod straggler;
pub mod versions;
pub mod view;

/// A time or a duration in milliseconds.
pub type Ms = f64;
