//! What a router has learned, kept over a restart: whole, or ignored.
//!
//! - [`format`]: sections with kind, time, length and checksum; one that is broken costs only itself;
//! - [`snapshot`]: hints, written beside and put in place; two generations;
//! - [`log`]: promises, which are on disk before anybody acts on them; a torn tail is cut off;
//! - [`ageing`]: how much what was learned so long ago still counts;
//! - [`files`]: the few things that are done with files, so that each of them can be made to fail.
//!
//! No part reads a clock or chance. What is read is a hint and never a reason to break a rule; what the log has is a promise.

pub mod ageing;
pub mod files;
pub mod format;
pub mod log;
pub mod snapshot;
