//! A gateway between sites: requests cross a link that fails, with one final answer each, and no booking is ever
//! attempted twice at a time.
//!
//! - [`gateway`]: the whole, with `across` for requests that leave and `serving` for those that come;
//! - [`session`]: one connection, its words, turns and pulse;
//! - [`codec`]: the frames of the link, whole or an error, however their bytes come;
//! - [`ledger`]: who may run a request now, told by fencing tokens on both sides;
//! - [`pulse`]: whether the other side is still there, and when to try again;
//! - [`streams`]: who may send how much now, by credit and priority;
//! - [`window`]: how much may be under way to a site;
//! - [`transfer`]: a body that comes in pieces, whole and of one copy or cut off;
//! - [`site`]: what sites tell each other of themselves, by version;
//! - [`home`]: what the own site can do;
//! - [`routes`]: which site serves a request.
//!
//! No part reads a clock, a socket, a file or chance of its own: times are arguments, and chance has a seed.
//! `docs/gateway.md` weighs the ways.

pub mod across;
pub mod codec;
pub mod gateway;
pub mod home;
pub mod ledger;
pub mod pulse;
pub mod routes;
pub mod serving;
pub mod session;
pub mod site;
pub mod streams;
pub mod transfer;
pub mod window;
