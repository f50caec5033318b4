//! Gossip between routers: the format of entries, the table of known entries, broadcast trees, anti-entropy,
//! and the send queues with their rate limit.

pub mod anti_entropy;
pub mod entry;
pub mod entry_table;
pub mod outbox;
pub mod plumtree;
pub mod rate_limit;
pub mod wire;
