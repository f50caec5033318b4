//! linnethook decides which cache answers a request, and where a missing copy is filled from.
//!
//! This package is the decision module. It does no input or output and reads no clock.
//!
//! - [`interface`]: settings and events in, actions out;
//! - [`policy`]: every rule that places, admits, retries, rejects or ejects; its table says which file
//!   holds which rule;
//! - [`records`]: what a router remembers of endpoints, requests and attempts;
//! - [`hash_ring`], [`bloom_filter`], [`estimators`], [`endpoint_health`], [`purge_log`]: data structures
//!   without a tuned value; the policy passes every parameter in.

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
