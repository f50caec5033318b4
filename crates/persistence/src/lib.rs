//! State of a router that survives a restart.
//!
//! - [`record_log`]: a write-ahead log of durable records; a torn tail is truncated at the next start;
//! - [`snapshot`]: hints for a faster start, replaced atomically, with the previous generation as a fallback;
//! - [`snapshot_codec`]: the encoding of a snapshot: sections with kind, time, length and checksums;
//! - [`decay`]: the weight of an old observation;
//! - [`file_store`]: the file operations that the other modules use, each a single step, so that tests can
//!   make any of them fail.
//!
//! No module reads a clock or a random number generator. A snapshot contains hints, which may be stale or
//! missing; only the record log guarantees durability.

#![warn(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::too_many_arguments,
    clippy::too_many_lines,
    clippy::unwrap_used,
    clippy::wildcard_imports
)]

pub mod decay;
pub mod file_store;
pub mod record_log;
pub mod snapshot;
pub mod snapshot_codec;
