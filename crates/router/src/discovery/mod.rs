//! Discovery: the endpoint list, purges and hierarchy changes that the journal service publishes.
//!
//! - [`client`]: long polls to the service;
//! - [`http`]: parsing its HTTP responses;
//! - [`event`]: its events, as they are written in responses and in the configuration.

pub mod client;
pub mod event;
mod http;

pub use client::DiscoveryClient;
