//! Clients that connect and stay idle.

use std::io::{ErrorKind, Read};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use linnethook_quickstart::Client;

/// Idle clients that use up all connections that the router allows: all connect at once, each asks whether
/// the router is ready and then stays idle, and one whose connection is closed reconnects.
pub struct IdleClients {
    stop: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl IdleClients {
    /// Connects this number of clients, and keeps them connected until the value is dropped.
    pub fn start(address: SocketAddr, count: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let connect = move || {
            let mut client = Client::connect(address).ok()?;
            client.ask_ready(1).ok()?;
            client.stream.set_nonblocking(true).ok()?;
            Some(client)
        };
        // All have connected once when this function returns.
        let mut clients: Vec<Option<Client>> = (0..count).map(|_| connect()).collect();
        let thread = thread::spawn(move || {
            let mut block = [0; 256];
            while !stopped.load(Ordering::Relaxed) {
                for client in &mut clients {
                    let is_closed =
                        client.as_mut().is_none_or(|client| match client.stream.read(&mut block) {
                            Ok(n) => n == 0,
                            Err(error) => error.kind() != ErrorKind::WouldBlock,
                        });
                    if is_closed {
                        *client = connect();
                    }
                }
                thread::sleep(Duration::from_millis(5));
            }
        });
        Self { stop, thread: Some(thread) }
    }
}

impl Drop for IdleClients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
