//! An origin that reads its connections at the pace that the test sets, and executes each request that it has
//! read completely.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use linnethook_quickstart::cache::{array, encode};
use linnethook_quickstart::Answer;
use socket2::SockRef;

/// How the origin reads its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ReadPace {
    /// As fast as bytes arrive.
    Unlimited,
    /// [`SLOW_READ_BYTES`] of each connection every [`READ_INTERVAL`].
    Slow,
    /// Nothing.
    Paused,
}

const SLOW_READ_BYTES: usize = 8_000;
const READ_INTERVAL: Duration = Duration::from_millis(50);
/// A small receive buffer, so that most unread bytes stay in the sender's buffers.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;

/// The origin; its threads end with the test process.
pub struct SlowOrigin {
    pub address: SocketAddr,
    pace: Arc<AtomicU8>,
    executed: Arc<Mutex<Vec<String>>>,
}

/// The reading side of a connection.
struct PacedReader {
    stream: TcpStream,
    pace: Arc<AtomicU8>,
}

impl Read for PacedReader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        while self.pace.load(Ordering::SeqCst) == ReadPace::Paused as u8 {
            thread::sleep(READ_INTERVAL);
        }
        let mut limit = buffer.len();
        if self.pace.load(Ordering::SeqCst) == ReadPace::Slow as u8 {
            thread::sleep(READ_INTERVAL);
            limit = limit.min(SLOW_READ_BYTES);
        }
        self.stream.read(&mut buffer[..limit])
    }
}

impl SlowOrigin {
    /// Starts an origin that reads without a limit.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("it listens");
        SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a small buffer");
        let address = listener.local_addr().expect("its address");
        let origin = Self { address, pace: Arc::default(), executed: Arc::default() };
        let (pace, executed) = (origin.pace.clone(), origin.executed.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (pace, executed) = (pace.clone(), executed.clone());
                thread::spawn(move || serve(stream, pace, &executed));
            }
        });
        origin
    }

    /// Changes the pace for all connections.
    pub fn set_pace(&self, pace: ReadPace) {
        self.pace.store(pace as u8, Ordering::SeqCst);
    }

    /// The ids of the executed requests, in their order.
    pub fn executed(&self) -> Vec<String> {
        self.executed.lock().expect("no thread panics with the lock").clone()
    }
}

/// Executes and answers the requests of a connection until it ends.
fn serve(stream: TcpStream, pace: Arc<AtomicU8>, executed: &Mutex<Vec<String>>) {
    let Ok(mut output) = stream.try_clone() else { return };
    let mut input = BufReader::with_capacity(SLOW_READ_BYTES, PacedReader { stream, pace });
    while let Ok(command) = array(&mut input) {
        if command[0] != b"ASK" {
            continue;
        }
        let id = String::from_utf8_lossy(&command[1]).into_owned();
        executed.lock().expect("no thread panics with the lock").push(id.clone());
        if output.write_all(&encode(&id, &Answer::data("done"))).is_err() {
            return;
        }
    }
}
