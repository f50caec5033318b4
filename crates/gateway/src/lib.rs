//! A gateway between sites: requests cross a link that fails, with one final answer each, and no booking is ever
//! attempted twice at a time.
//!
//! - [`gateway`]: the whole, with `forwarding` for requests that leave and `remote_requests` for those that come;
//! - [`session`]: one connection, its words, turns and pulse;
//! - [`codec`]: the frames of the link, whole or an error, however their bytes come;
//! - [`attempt_ledger`]: who may run a request now, told by fencing tokens on both sides;
//! - [`heartbeat`]: whether the other side is still there, and when to try again;
//! - [`flow_control`]: who may send how much now, by credit and priority;
//! - [`concurrency_window`]: how much may be under way to a site;
//! - [`transfer`]: a body that comes in pieces, whole and of one copy or cut off;
//! - [`site_state`]: what sites tell each other of themselves, by version;
//! - [`local_capacity`]: what the own site can do;
//! - [`routing`]: which site serves a request.
//!
//! No part reads a clock, a socket, a file or chance of its own: times are arguments, and chance has a seed.
//! `docs/gateway.md` weighs the ways.

pub mod attempt_ledger;
pub mod codec;
pub mod concurrency_window;
pub mod flow_control;
pub mod forwarding;
pub mod gateway;
pub mod heartbeat;
pub mod local_capacity;
pub mod remote_requests;
pub mod routing;
pub mod session;
pub mod site_state;
pub mod transfer;
