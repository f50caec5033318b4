//! How entries spread between routers: their form, the table of known entries, broadcast trees and the send budget.

pub mod entry;
pub mod entry_table;
pub mod plumtree;
pub mod rate_limit;
