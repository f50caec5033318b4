//! The router as a gateway between sites; nothing of it is reached without a `gateway()` in the operator file.
//!
//! - [`sockets`]: the connections of links, bytes in and bytes out;
//! - [`beyond`]: requests, drains and purges between the gateway's terms and the router's;
//! - [`wiring`]: what the gateway says is carried out.

pub mod beyond;
pub mod sockets;
mod wiring;

pub use wiring::is_foreign;
