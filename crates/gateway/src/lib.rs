//! A gateway that forwards requests between sites over unreliable links. Each request gets exactly one final
//! reply, and a request that is not idempotent is never executed twice.
//!
//! - [`gateway`]: the facade that combines the other modules, with its [`actions`], [`config`] and
//!   [`status`];
//! - [`routing`]: the choice of the site that serves a request;
//! - [`forwarding`]: requests that are forwarded to other sites;
//! - `remote_requests`: requests from other sites that are served here;
//! - [`attempt_ledger`]: fencing tokens, which prevent a second execution;
//! - [`transfer`]: response bodies that are interrupted and resumed;
//! - [`concurrency_window`]: the limit on requests in flight to a site;
//! - [`local_capacity`]: what the local site can serve;
//! - [`site_state`]: the versioned state that sites publish about themselves;
//! - `links`, `dialers`: connections with other gateways, and when to dial again;
//! - [`session`]: the protocol of one connection;
//! - [`heartbeat`]: the failure detector of a connection;
//! - [`reconnect`]: the backoff between connection attempts;
//! - [`flow_control`]: credit-based flow control and scheduling by priority;
//! - [`codec`]: the frames of a link.
//!
//! No module reads a clock, a socket, a file or a random source: the caller passes in the time, and jitter is
//! drawn from a seeded generator.
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
