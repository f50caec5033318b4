//! Discovery: the endpoint list, purges and changes of the hierarchy, as the journal service publishes them.
//!
//! - [`client`]: long polls to the service;
//! - [`http`]: its HTTP responses;
//! - [`event`]: its events, in responses and in the configuration.

pub mod client;
pub mod event;
mod http;

pub use client::DiscoveryClient;
