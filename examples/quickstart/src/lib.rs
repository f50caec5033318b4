//! Small servers for the services that a router uses (caches, the journal service), and a client.
//!
//! They use plain threads and blocking sockets, so that the code is short. The example programs of this
//! package and the router's tests use them; they are not meant for measurements of speed.

pub mod cache;
pub mod client;
pub mod journal;

pub use cache::{Answer, Cache, CacheEvent};
pub use client::{Client, Frame};
pub use journal::Journal;
