//! The audit log of a fleet: which router, in which incarnation, acted on which versions, and which actions
//! it performed.
//!
//! - [`record`]: the records: spans with counts of actions, and a list of the attempts of writes;
//! - [`audit_log`]: one router's own log, an append-only hash chain;
//! - [`replicas`]: replicas of the logs of other routers;
//! - [`verification`]: verification and queries of logs from any sources;
//! - [`error`]: errors of decoding parts of a log.
//!
//! No module reads a clock, a socket, a file or a random source: times are passed as arguments.
//! `docs/audit.md` describes the design.

#![warn(missing_docs, clippy::missing_errors_doc, clippy::too_many_arguments, clippy::too_many_lines)]
#![warn(clippy::unwrap_used, clippy::wildcard_imports)]

pub mod audit_log;
pub mod error;
pub mod record;
pub mod replicas;
pub mod verification;
