//! A gateway between sites: requests cross links that fail, each with one final reply, and one that is not idempotent
//! never runs twice.
//!
//! - [`gateway`]: the facade that ties the parts together, with its [`actions`], [`config`] and [`status`];
//! - [`routing`]: which site serves a request;
//! - [`forwarding`]: requests that other sites serve;
//! - `remote_requests`: requests of other sites that are served here;
//! - [`attempt_ledger`]: who may run a request now, by fencing tokens;
//! - [`transfer`]: a body that stops and resumes;
//! - [`concurrency_window`]: how many requests may be in flight to a site;
//! - [`local_capacity`]: what the own site can serve;
//! - [`site_state`]: what sites publish of themselves, by version;
//! - `links`, `dialers`: connections with other gateways, and when they are tried again;
//! - [`session`]: one connection;
//! - [`heartbeat`]: whether the other side is still there;
//! - [`reconnect`]: the pauses between attempts to connect;
//! - [`flow_control`]: how much may be sent now, by credit and priority;
//! - [`codec`]: the frames of a link.
//!
//! No part reads a clock, a socket, a file or a random source: times are arguments, and jitter has a seed.
//! `docs/gateway.md` describes the design.

#![warn(missing_docs, clippy::missing_errors_doc, clippy::too_many_arguments, clippy::too_many_lines)]
#![warn(clippy::unwrap_used, clippy::wildcard_imports)]

pub mod actions;
pub mod attempt_ledger;
pub mod codec;
pub mod concurrency_window;
pub mod config;
mod dialers;
pub mod flow_control;
pub mod forwarding;
pub mod gateway;
pub mod heartbeat;
mod links;
pub mod local_capacity;
pub mod reconnect;
mod remote_requests;
pub mod routing;
pub mod session;
mod site_names;
pub mod site_state;
pub mod status;
pub mod transfer;
