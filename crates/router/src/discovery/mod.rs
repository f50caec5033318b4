//! Discovery: the endpoint list, purges and hierarchy changes that the journal service publishes.
//!
//! - [`client`]: long polls to the service;
//! - [`connection`]: one connection to it;
//! - [`http`]: parsing its HTTP responses;
//! - [`stamp_offset`]: the offset between the wall clocks of this machine and of the service;
//! - [`event`]: its events, as they are written in responses and in the configuration.

pub mod client;
mod connection;
pub mod event;
mod http;
mod stamp_offset;

pub use client::DiscoveryClient;
