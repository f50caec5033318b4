//! The readiness events that the event loop reports to the router.
//!
//! Components that own sockets depend on this trait only, not on the router.

use std::fs::File;
use std::net::TcpListener;
use std::os::unix::net::UnixListener;

use calloop::Readiness;

/// Handles readiness of the router's sockets. The `accept_` methods return false if no more can be accepted
/// for now; the event loop then disables their listener.
pub trait EventHandler: 'static {
    /// Clients are waiting to be accepted.
    fn accept_clients(&mut self, listener: &TcpListener) -> bool;
    /// A client's connection can be read or written.
    fn on_client_ready(&mut self, id: u64, readiness: Readiness);
    /// A connection to an endpoint can be read or written.
    fn on_upstream_ready(&mut self, id: u64, readiness: Readiness);
    /// A connection to the journal service can be read or written.
    fn on_discovery_ready(&mut self, id: u64, readiness: Readiness);
    /// The evaluation of the operator file has written output or has ended; returns false if there is nothing
    /// more to read.
    fn on_evaluation_ready(&mut self, output: &File) -> bool;
    /// Commands are waiting to be accepted on the control socket.
    fn accept_commands(&mut self, listener: &UnixListener) -> bool;
    /// The connection of a command can be read or written.
    fn on_command_ready(&mut self, id: u64);
    /// Links of gateways at other sites are waiting to be accepted.
    fn accept_links(&mut self, listener: &TcpListener) -> bool;
    /// A link can be read or written.
    fn on_link_ready(&mut self, id: u64, readiness: Readiness);
}
