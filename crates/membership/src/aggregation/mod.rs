//! Fleets spread over topology locations: how far an entry travels, summaries of whole locations, and queries for the
//! details behind a summary.

pub mod location;
pub mod query;
pub mod scope;
pub mod summary;
pub mod topology;
pub mod tree;
