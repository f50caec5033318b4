//! The decision module of linnethook, a request router in front of caches of large objects.
//!
//! It decides which cache serves a request and where a missing copy is filled from. It performs no I/O and
//! reads no clock: decisions depend only on the settings, the seed and the events.
//!
//! - [`interface`]: settings and events in, actions out;
//! - [`policy`]: the rules for placement, admission, retries, rejections and ejections, with a table of the
//!   files that contain them;
//! - [`records`]: the state that a router holds on endpoints, requests and attempts;
//! - [`hash_ring`], [`bloom_filter`], [`estimators`], [`endpoint_health`], [`purge_log`]: data structures
//!   that receive all parameters from the policy.

#![warn(missing_docs)]
#![warn(clippy::missing_errors_doc, clippy::too_many_lines, clippy::unwrap_used, clippy::wildcard_imports)]

pub mod bloom_filter;
pub mod endpoint_health;
pub mod estimators;
pub mod hash_ring;
pub mod interface;
pub mod policy;
pub mod purge_log;
pub mod records;

pub use policy::Policy;
