//! Routers at topology locations: how far an entry goes, summaries of whole locations, and queries for details.

pub mod location;
pub mod query;
pub mod scope;
pub mod summary;
pub mod tree;
