//! Membership of a fleet of routers: who belongs to it, which versions each router acts on, and what other routers know
//! that this one does not.
//!
//! - [`cluster`]: the facade that ties the parts together;
//! - [`config`]: all settings;
//! - [`actions`]: what the owner of a [`cluster::Cluster`] is asked to do;
//! - [`view`]: the cluster as commands print it;
//! - [`membership`]: which routers are alive, suspect, dead or have left, judged by links that both ends report;
//! - [`versions`]: the versions a router acts on, and the status that reports them;
//! - [`gossip`]: entries, the table that holds them, broadcast trees and the rate limit;
//! - [`aggregation`]: topology locations, scopes, summaries and queries between sites;
//! - [`name_conflict`]: two processes under one router name;
//! - [`straggler`]: routers behind the version floor, and what follows for them;
//! - [`snapshot_transfer`]: a complete snapshot from a peer, for a router that gossip alone cannot bring up to date;
//! - [`hybrid_clock`]: the time by which actions of several routers are ordered;
//! - [`decode_error`]: why bytes from another router can't be read.
//!
//! No part reads a clock, a socket, a file or a random source: times are arguments. `docs/membership.md` and
//! `docs/summaries.md` describe the design.

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
