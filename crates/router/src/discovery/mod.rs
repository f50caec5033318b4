//! Discovery: the endpoint list, purges and hierarchy changes that the journal service publishes.
//!
//! - [`client`]: long polls to the service;
//! - [`connection`]: one connection to it;
//! - [`http`]: parsing its HTTP responses;
//! - [`event`]: its events, as they are written in responses and in the configuration.

pub mod client;
mod connection;
pub mod event;
mod http;

pub use client::DiscoveryClient;
