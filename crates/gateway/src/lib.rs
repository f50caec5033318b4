//! A gateway between sites: requests cross a link that fails, with one final answer each, and no booking is ever
//! attempted twice at a time.
//!
//! - [`codec`]: the frames of the link, whole or an error, however their bytes come;
//! - [`ledger`]: who may run a request now, told by fencing tokens on both sides;
//! - [`pulse`]: whether the other side is still there, and when to try again.
//!
//! No part reads a clock, a socket, a file or chance: times are arguments. `docs/gateway.md` weighs the ways.

pub mod codec;
pub mod ledger;
pub mod pulse;
