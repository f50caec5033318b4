//! The account of a fleet: which router, in which start, acted on which versions, and what it did.
//!
//! - [`record`]: what is written down: spans with counts of acts, bookings singly;
//! - [`account`]: one router's own account, as a chain of hashes that grows;
//! - [`copies`]: the accounts of fellows, link by link, with what is missing;
//! - [`judge`]: what follows from accounts alone, whoever kept them.
//!
//! No part reads a clock, a socket, a file or chance: times are arguments. `docs/audit.md` weighs the ways.

pub mod account;
pub mod copies;
pub mod judge;
pub mod record;
