//! How entries spread between routers: their form, the table of known entries, broadcast trees, the repair of gaps, and
//! the queues and the rate limit of what is sent.

pub mod anti_entropy;
pub mod entry;
pub mod entry_table;
pub mod outbox;
pub mod plumtree;
pub mod rate_limit;
pub mod wire;
