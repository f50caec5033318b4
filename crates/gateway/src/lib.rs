//! A gateway between sites: requests cross a link that fails, with one final answer each, and no booking is ever
//! attempted twice at a time.
//!
//! - [`codec`]: the frames of the link, whole or an error, however their bytes come;
//! - [`ledger`]: who may run a request now, told by fencing tokens on both sides;
//! - [`pulse`]: whether the other side is still there, and when to try again;
//! - [`streams`]: who may send how much now, by credit and priority;
//! - [`transfer`]: a body that comes in pieces, whole and of one copy or cut off;
//! - [`site`]: what sites tell each other of themselves, by version;
//! - [`routes`]: which site serves a request.
//!
//! No part reads a clock, a socket, a file or chance: times are arguments. `docs/gateway.md` weighs the ways.

pub mod codec;
pub mod ledger;
pub mod pulse;
pub mod routes;
pub mod site;
pub mod streams;
pub mod transfer;
