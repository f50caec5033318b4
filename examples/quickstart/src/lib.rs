//! Small servers for what a router talks to (caches, the journal service) and a client.
//!
//! They are plain threads on blocking sockets, small enough to be read in one go. They serve the example
//! programs beside this file and the router's tests, and are no yardstick for speed.

pub mod cache;
pub mod client;
pub mod journal;

pub use cache::{Answer, Cache, CacheEvent};
pub use client::{Client, Frame};
pub use journal::Journal;
