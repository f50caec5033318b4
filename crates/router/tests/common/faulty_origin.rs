//! An origin with faults that a test begins and ends. It records when requests arrived and were executed.

use std::collections::HashMap;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use linnethook_quickstart::cache::{array, encode};
use linnethook_quickstart::Answer;
use linnethook_testbed::recording::Ms;
use nix::sys::socket::setsockopt;
use nix::sys::socket::sockopt::ReceiveTimestampns;
use socket2::{SockRef, Socket};

use super::timestamped_server::TimestampedStream;

/// A fault of the origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OriginFault {
    /// Nothing is read.
    Pause,
    /// A little is read of each connection at a time.
    Slow,
    /// Connections are reset, each when its next request was executed.
    Reset,
    /// New connections don't come up.
    HoldConnections,
    /// Requests are executed and not answered.
    LoseAnswers,
}

const SLOW_READ_BYTES: usize = 8_000;
const READ_INTERVAL: Duration = Duration::from_millis(20);
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
const OPEN_BACKLOG: i32 = 1_024;
/// The longest time until an answer, in milliseconds.
const MAX_LATENCY_MS: u64 = 400;

/// Times by request id, in Unix milliseconds: when the last byte reached this machine.
pub type Times = HashMap<String, Vec<Ms>>;

#[derive(Default)]
struct OriginState {
    fault: Option<OriginFault>,
    arrivals: Times,
    executions: Times,
    /// The connection that fills the backlog while new ones are held.
    filler: Option<TcpStream>,
}

/// The origin; its threads end with the test process.
pub struct FaultyOrigin {
    pub address: SocketAddr,
    shared: Shared,
    listener: Arc<TcpListener>,
}

#[derive(Clone)]
struct Shared {
    state: Arc<Mutex<OriginState>>,
    /// How long a key is remembered; `None` without keys.
    window: Option<Ms>,
    /// Numbers the answers, from the seed on: the latency of each is derived from its number.
    answers: Arc<AtomicU64>,
}

/// The reading side of a connection.
struct FaultyReader {
    stream: TimestampedStream,
    shared: Shared,
}

impl Read for FaultyReader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        while self.shared.fault() == Some(OriginFault::Pause) {
            thread::sleep(READ_INTERVAL);
        }
        let mut limit = buffer.len();
        if self.shared.fault() == Some(OriginFault::Slow) {
            thread::sleep(READ_INTERVAL);
            limit = limit.min(SLOW_READ_BYTES);
        }
        self.stream.read(&mut buffer[..limit])
    }
}

impl FaultyOrigin {
    /// Starts an origin without a fault. With a window it drops repeats within it.
    pub fn start(window: Option<Ms>, seed: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("it listens");
        SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a small buffer");
        listener.set_nonblocking(true).expect("accepting doesn't block");
        setsockopt(&listener, ReceiveTimestampns, &true).expect("kernel time stamps are enabled");
        let address = listener.local_addr().expect("its address");
        let shared = Shared { state: Arc::default(), window, answers: Arc::new(AtomicU64::new(seed)) };
        let listener = Arc::new(listener);
        let (accepting, serving) = (listener.clone(), shared.clone());
        thread::spawn(move || accept_connections(&accepting, &serving));
        let origin = Self { address, shared, listener };
        origin.set_backlog(OPEN_BACKLOG);
        origin
    }

    fn set_backlog(&self, backlog: i32) {
        let socket = Socket::from(self.listener.try_clone().expect("another descriptor"));
        socket.listen(backlog).expect("it listens");
    }

    /// Begins a fault, which lasts until [`Self::end_fault`].
    pub fn begin(&self, fault: OriginFault) {
        if fault == OriginFault::HoldConnections {
            self.set_backlog(0);
        }
        let mut state = self.shared.state.lock().expect("the state");
        state.fault = Some(fault);
        if fault == OriginFault::HoldConnections {
            state.filler = TcpStream::connect(self.address).ok();
        }
    }

    /// Ends the fault.
    pub fn end_fault(&self) {
        self.set_backlog(OPEN_BACKLOG);
        let mut state = self.shared.state.lock().expect("the state");
        state.fault = None;
        state.filler = None;
    }

    /// When requests arrived completely, by id.
    pub fn arrivals(&self) -> Times {
        self.shared.state.lock().expect("the state").arrivals.clone()
    }

    /// When requests were executed, by id.
    pub fn executions(&self) -> Times {
        self.shared.state.lock().expect("the state").executions.clone()
    }
}

impl Shared {
    fn fault(&self) -> Option<OriginFault> {
        self.state.lock().expect("the state").fault
    }

    /// Executes a request, unless it is a repeat that is recognised.
    fn execute(&self, now: Ms, id: &str) {
        let mut state = self.state.lock().expect("the state");
        state.arrivals.entry(id.to_string()).or_default().push(now);
        let executions = state.executions.entry(id.to_string()).or_default();
        let is_recognised = |window| executions.last().is_some_and(|last| now - last < window);
        if !self.window.is_some_and(is_recognised) {
            executions.push(now);
        }
    }

    /// The latency of the next answer.
    fn latency(&self) -> Duration {
        let number = self.answers.fetch_add(1, SeqCst);
        // The multiplier of a linear congruential generator spreads consecutive numbers.
        Duration::from_millis((number.wrapping_mul(6_364_136_223_846_793_005) >> 40) % MAX_LATENCY_MS)
    }
}

fn accept_connections(listener: &TcpListener, shared: &Shared) {
    loop {
        if shared.fault() != Some(OriginFault::HoldConnections) {
            if let Ok((stream, _)) = listener.accept() {
                let shared = shared.clone();
                thread::spawn(move || serve(stream, &shared));
                continue;
            }
        }
        thread::sleep(ACCEPT_INTERVAL);
    }
}

/// Executes and answers the requests of a connection until it ends.
fn serve(stream: TcpStream, shared: &Shared) {
    let reader = stream.set_nonblocking(false).and_then(|()| stream.try_clone());
    let Ok(reader) = reader else { return };
    let output = Arc::new(Mutex::new(stream));
    let reader = FaultyReader { stream: TimestampedStream::new(reader), shared: shared.clone() };
    let mut input = BufReader::with_capacity(SLOW_READ_BYTES, reader);
    while let Ok(command) = array(&mut input) {
        if command[0] != b"ASK" {
            continue;
        }
        let id = String::from_utf8_lossy(&command[1]).into_owned();
        shared.execute(input.get_ref().stream.received_at(), &id);
        match shared.fault() {
            Some(OriginFault::LoseAnswers) => continue,
            Some(OriginFault::Reset) => {
                let stream = output.lock().expect("the connection");
                let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                let _ = stream.shutdown(std::net::Shutdown::Read);
                return;
            }
            _ => {}
        }
        let (output, latency) = (output.clone(), shared.latency());
        thread::spawn(move || {
            thread::sleep(latency);
            let _ = output.lock().expect("the connection").write_all(&encode(&id, &Answer::data("done")));
        });
    }
}
