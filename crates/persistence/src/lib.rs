//! State of a router that outlives a restart.
//!
//! - [`record_log`]: records that are on disk before anyone relies on them; a torn tail is truncated at the next start;
//! - [`snapshot`]: hints for a quicker start, replaced atomically, with the previous generation kept as a fallback;
//! - [`snapshot_codec`]: the bytes of a snapshot: sections with kind, time, length and checksums;
//! - [`decay`]: how much an old observation still counts;
//! - [`file_store`]: the file operations that the others are built on, one system call step each, so that tests can make
//!   any of them fail.
//!
//! Nothing here reads a clock or a random generator. A snapshot holds hints, which may be stale or missing; only the
//! record log makes a durability guarantee.

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
