//! A proxy on a link between two gateways: it passes bytes, and holds, delays, throttles or cuts them by script.
//!
//! It reads along by the published frames, and notes what concerns the rules; it never changes a byte.

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
use relay::join;

pub use two_sites::{TwoSites, NORTH, SOUTH};

/// What befalls one direction.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LinkConditions {
    /// Nothing passes, and nothing is said of it.
    pub silent: bool,
    /// What each chunk waits for at the least.
    pub delay: Duration,
    /// Bytes a second; 0 is as many as come.
    pub rate: f64,
    /// After so many more bytes all connections are reset.
    pub cut_after: Option<usize>,
    /// What comes next is lost, or comes twice: once, and on the connection on which it comes.
    pub corruption: Option<Corruption>,
}

/// What befalls the bytes of a connection that no wire would do to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Corruption {
    /// The chunk is dropped.
    Lost,
    /// The chunk is sent twice.
    Repeated,
}

/// What passed, in each direction: towards the server first.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Passed {
    /// All bytes.
    pub bytes: [u64; 2],
    /// Bytes of bodies, and requests with and without a token.
    pub bodies: [u64; 2],
    /// Requests.
    pub opened: [u64; 2],
    /// Connections that came up, both directions together.
    pub connections: u64,
    /// Bytes of bodies by connection, both directions together.
    pub by_connection: BTreeMap<u64, u64>,
    /// Times at which requests passed, in Unix milliseconds.
    pub at: Vec<f64>,
}

#[derive(Debug, Default)]
struct State {
    conditions: [LinkConditions; 2],
    /// Connections are reset, and new ones too.
    cut: bool,
    target: Option<SocketAddr>,
    streams: BTreeMap<u64, [TcpStream; 2]>,
    passed: Passed,
}

/// One link; dropped, it is gone.
pub struct FaultProxy {
    /// Where dialers connect.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    over: Arc<AtomicBool>,
}

/// Towards the one that is dialled, and towards the one that dials.
pub const TO_ACCEPTOR: usize = 0;
/// The direction towards the end that dials.
pub const TO_DIALER: usize = 1;

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Who is at the ends, for the record: the site that dials and the one that is dialled.
#[derive(Debug, Clone)]
pub struct ProxyEnds {
    /// Names of the dialer and the acceptor.
    pub sites: [String; 2],
    /// Where requests and proofs that pass are recorded.
    pub record: Recording,
}

impl FaultProxy {
    /// Listens on a port that the system gives; nothing passes before a target is set.
    ///
    /// # Errors
    /// A socket or a process that fails.
    pub fn start(ends: ProxyEnds) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let over = Arc::new(AtomicBool::new(false));
        let (shared, done) = (state.clone(), over.clone());
        thread::spawn(move || {
            for (n, stream) in listener.incoming().enumerate() {
                if done.load(Ordering::Acquire) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let (state, ends, done) = (shared.clone(), ends.clone(), done.clone());
                thread::spawn(move || _ = join(n as u64, stream, &state, &ends, &done));
            }
        });
        Ok(Self { address, state, over })
    }

    /// Where those that connect are passed on to.
    pub fn set_target(&self, target: SocketAddr) {
        lock(&self.state).target = Some(target);
    }

    /// Whoever was there has gone: its port may be another's by now.
    pub fn clear_target(&self) {
        lock(&self.state).target = None;
    }

    /// Sets the conditions of a direction.
    pub fn conditions(&self, direction: usize, conditions: LinkConditions) {
        lock(&self.state).conditions[direction] = conditions;
    }

    /// Nothing passes in some directions any more.
    pub fn silence(&self, directions: &[usize]) {
        let mut state = lock(&self.state);
        directions.iter().for_each(|n| state.conditions[*n].silent = true);
    }

    /// All connections are reset, and so are new ones.
    pub fn cut(&self) {
        let mut state = lock(&self.state);
        state.cut = true;
        reset(&mut state);
    }

    /// All passes as it should.
    pub fn mend(&self) {
        let mut state = lock(&self.state);
        (state.cut, state.conditions) = (false, [LinkConditions::default(); 2]);
    }

    /// What has passed since the start.
    pub fn passed(&self) -> Passed {
        lock(&self.state).passed.clone()
    }

    /// Connections that are up.
    pub fn connections(&self) -> usize {
        lock(&self.state).streams.len()
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Release);
        reset(&mut lock(&self.state));
        drop(TcpStream::connect(self.address));
    }
}

fn reset(state: &mut State) {
    for streams in std::mem::take(&mut state.streams).into_values() {
        streams.iter().for_each(|stream| _ = stream.shutdown(Shutdown::Both));
    }
}
