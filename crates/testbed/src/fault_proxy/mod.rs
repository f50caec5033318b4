//! A proxy on a link between two gateways: it forwards bytes, and can hold, delay or throttle them, or cut
//! connections.
//!
//! It decodes the frames that pass, and records what the rules need. It changes no byte, except that a test
//! can have a chunk dropped or repeated.

mod relay;
mod two_sites;

use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use crate::recording::Recording;
use relay::relay_connection;
use socket2::SockRef;

pub use two_sites::{TwoSites, NORTH, SOUTH};

/// The conditions of one direction.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LinkConditions {
    /// Nothing passes, without an error to either end.
    pub silent: bool,
    /// Minimum delay of each chunk.
    pub delay: Duration,
    /// Bytes per second; 0 means unlimited.
    pub rate: f64,
    /// All connections are reset after this many more bytes.
    pub cut_after: Option<usize>,
    /// Corrupts the next chunk that arrives, on whatever connection, and only that one.
    pub corruption: Option<Corruption>,
}

/// Corruption of a byte stream that TCP would prevent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Corruption {
    /// The chunk is dropped.
    Lost,
    /// The chunk is sent twice.
    Repeated,
}

/// What passed. Arrays are by direction: [`TO_ACCEPTOR`], then [`TO_DIALER`].
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Passed {
    /// All bytes.
    pub bytes: [u64; 2],
    /// Bytes of bodies.
    pub bodies: [u64; 2],
    /// Requests, with and without a token.
    pub opened: [u64; 2],
    /// Connections that were established.
    pub connections: u64,
    /// Bytes of bodies by connection, sum of both directions.
    pub by_connection: BTreeMap<u64, u64>,
    /// Times at which requests passed, in Unix milliseconds.
    pub at: Vec<f64>,
}

#[derive(Debug, Default)]
struct State {
    conditions: [LinkConditions; 2],
    /// Connections are reset, also new ones.
    cut: bool,
    target: Option<SocketAddr>,
    streams: BTreeMap<u64, [TcpStream; 2]>,
    /// Ends towards the acceptor of connections that the dialer has lost: open, and silent.
    half_open: BTreeMap<u64, TcpStream>,
    passed: Passed,
}

/// A proxy for one link; it is closed on drop.
pub struct FaultProxy {
    /// The address that dialers connect to.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    stopped: Arc<AtomicBool>,
}

/// The direction towards the end that is dialed.
pub const TO_ACCEPTOR: usize = 0;
/// The direction towards the end that dials.
pub const TO_DIALER: usize = 1;

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The ends of a link, for the recording.
#[derive(Debug, Clone)]
pub struct ProxyEnds {
    /// Names of the dialer and the acceptor.
    pub sites: [String; 2],
    /// Where requests and proofs that pass are recorded.
    pub record: Recording,
}

impl FaultProxy {
    /// Listens on a port that the system assigns; connections are closed until a target is set.
    ///
    /// # Errors
    /// A socket or a process that fails.
    pub fn start(ends: ProxyEnds) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let stopped = Arc::new(AtomicBool::new(false));
        let (shared, done) = (state.clone(), stopped.clone());
        thread::spawn(move || {
            for (n, stream) in listener.incoming().enumerate() {
                if done.load(Ordering::Acquire) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let (state, ends, done) = (shared.clone(), ends.clone(), done.clone());
                thread::spawn(move || _ = relay_connection(n as u64, stream, &state, &ends, &done));
            }
        });
        Ok(Self { address, state, stopped })
    }

    /// Sets the address that connections are forwarded to.
    pub fn set_target(&self, target: SocketAddr) {
        lock(&self.state).target = Some(target);
    }

    /// Removes the target after it has ended, as another process may reuse its port.
    pub fn clear_target(&self) {
        lock(&self.state).target = None;
    }

    /// Sets the conditions of a direction.
    pub fn conditions(&self, direction: usize, conditions: LinkConditions) {
        lock(&self.state).conditions[direction] = conditions;
    }

    /// Silences some directions.
    pub fn silence(&self, directions: &[usize]) {
        let mut state = lock(&self.state);
        directions.iter().for_each(|n| state.conditions[*n].silent = true);
    }

    /// Resets all connections, also new ones.
    pub fn cut(&self) {
        let mut state = lock(&self.state);
        state.cut = true;
        reset(&mut state);
    }

    /// Resets all connections at the dialer's end only: the acceptor's end stays open and silent. New connections
    /// are not affected.
    ///
    /// # Errors
    /// A socket that fails.
    pub fn reset_dialer_ends(&self) -> io::Result<()> {
        let mut state = lock(&self.state);
        for (n, [dialer, acceptor]) in std::mem::take(&mut state.streams) {
            // The system sends a reset once the relay has dropped its handles, too.
            SockRef::from(&dialer).set_linger(Some(Duration::ZERO))?;
            state.half_open.insert(n, acceptor);
        }
        Ok(())
    }

    /// Clears all faults.
    pub fn clear_faults(&self) {
        let mut state = lock(&self.state);
        (state.cut, state.conditions) = (false, [LinkConditions::default(); 2]);
    }

    /// What passed since the start.
    pub fn passed(&self) -> Passed {
        lock(&self.state).passed.clone()
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        lock(&self.state).streams.len()
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Release);
        reset(&mut lock(&self.state));
        drop(TcpStream::connect(self.address));
    }
}

fn reset(state: &mut State) {
    for streams in std::mem::take(&mut state.streams).into_values() {
        streams.iter().for_each(|stream| _ = stream.shutdown(Shutdown::Both));
    }
}
