//! Fleets that span several topology locations: the scope of entries, summaries of locations, and queries for
//! the routers of a remote site.

pub mod location;
pub mod query;
pub mod scope;
pub mod summary;
pub mod topology;
pub mod tree;
