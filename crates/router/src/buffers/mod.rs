//! Buffers: a pool of reusable blocks of one size, and chains of blocks for longer messages.
//!
//! Bytes are copied into and out of the blocks of a chain. Complete blocks move between chains without being
//! copied.

mod chain;
mod cursor;
mod pool;

pub use chain::BufferChain;
pub use cursor::Cursor;
pub use pool::BufferPool;

#[cfg(test)]
#[path = "../../tests/unit/buffers.rs"]
mod tests;
