//! The events that the event loop reports: which part of the router can accept, read or write.
//!
//! Parts that own sockets know the router by this trait only.

use std::net::TcpListener;
use std::os::unix::net::UnixListener;

use calloop::Readiness;

/// Handles readiness of the router's sockets. The `accept_` methods return false where nothing more can be accepted for
/// now: their listener is then disabled.
pub trait EventHandler: 'static {
    fn accept_clients(&mut self, listener: &TcpListener) -> bool;
    fn on_client_ready(&mut self, id: u64, readiness: Readiness);
    fn on_upstream_ready(&mut self, id: u64, readiness: Readiness);
    fn on_discovery_ready(&mut self, readiness: Readiness);
    fn accept_commands(&mut self, listener: &UnixListener) -> bool;
    fn on_command_ready(&mut self, id: u64);
    /// Links of gateways at other sites.
    fn accept_links(&mut self, listener: &TcpListener) -> bool;
    fn on_link_ready(&mut self, id: u64, readiness: Readiness);
}
