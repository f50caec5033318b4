//! The audit log of a fleet: which router, in which incarnation, acted on which versions, and what it did.
//!
//! - [`record`]: what is recorded: spans with counts of actions, non-idempotent attempts one by one;
//! - [`audit_log`]: one router's own log, a chain of hashes that grows;
//! - [`replicas`]: logs of other routers, record by record, with what is missing;
//! - [`verification`]: what follows from logs alone, whoever kept them;
//! - [`error`]: why bytes are not a part of a log.
//!
//! No part reads a clock, a socket, a file or a random source: times are arguments. `docs/audit.md` describes the design.

#![warn(missing_docs, clippy::missing_errors_doc, clippy::too_many_arguments, clippy::too_many_lines)]
#![warn(clippy::unwrap_used, clippy::wildcard_imports)]

pub mod audit_log;
pub mod error;
pub mod record;
pub mod replicas;
pub mod verification;
