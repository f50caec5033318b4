//! Clients that send at full speed, whatever the router makes of it, and read all that is sent to them.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use linnethook_quickstart::client::{cancellation, readiness_query, request};

/// How many threads write for all clients.
const THREADS: usize = 6;
/// The least number of bytes that are encoded together.
const BATCH_BYTES: usize = 60_000;
/// How many batches a client may write before the next one.
const BATCHES_PER_ROUND: usize = 4;
/// The pause of a thread after each round of its clients.
const ROUND_PAUSE: Duration = Duration::from_micros(200);
const READ_BYTES: usize = 65_536;

/// What the clients send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flood {
    /// So many requests at a time, and then their cancellations.
    CancelledRequests(u32),
    ReadinessQueries,
}

/// One client; it connects again when the router has closed its connection.
struct FloodingClient {
    prefix: u32,
    flood: Flood,
    stream: Option<TcpStream>,
    output: Vec<u8>,
    written: usize,
    last_stream: u32,
}

impl FloodingClient {
    fn new(prefix: u32, flood: Flood) -> Self {
        Self { prefix, flood, stream: None, output: Vec::new(), written: 0, last_stream: 0 }
    }

    fn connect(&mut self, router: SocketAddr) {
        let connected = TcpStream::connect(router);
        self.stream = connected.ok().filter(|stream| stream.set_nonblocking(true).is_ok());
        (self.output, self.written, self.last_stream) = (Vec::new(), 0, 0);
    }

    /// Encodes the next messages.
    fn encode_batch(&mut self) {
        self.output.clear();
        self.written = 0;
        while self.output.len() < BATCH_BYTES {
            let first = self.last_stream + 1;
            match self.flood {
                Flood::CancelledRequests(together) => {
                    self.last_stream += together;
                    for stream in first..=self.last_stream {
                        let id = format!("{:08x}{stream:08x}", self.prefix);
                        let fields = [("c", "page"), ("i", &*id), ("d", "1000"), ("o", &*id)];
                        self.output.extend(request(stream, &fields, b""));
                    }
                    (first..=self.last_stream).for_each(|stream| self.output.extend(cancellation(stream)));
                }
                Flood::ReadinessQueries => {
                    self.last_stream = first;
                    self.output.extend(readiness_query(first));
                }
            }
        }
    }

    /// Reads what has arrived, and writes what the socket takes. Returns false if the connection has ended.
    fn transfer(&mut self) -> bool {
        let Some(mut stream) = self.stream.as_ref() else { return false };
        let mut block = [0; READ_BYTES];
        loop {
            match stream.read(&mut block) {
                Ok(0) => return false,
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return false,
            }
        }
        for _ in 0..BATCHES_PER_ROUND {
            if self.written == self.output.len() {
                self.encode_batch();
            }
            let Some(mut stream) = self.stream.as_ref() else { return false };
            match stream.write(&self.output[self.written..]) {
                Ok(written) => self.written += written,
                Err(error) => return error.kind() == ErrorKind::WouldBlock,
            }
        }
        true
    }
}

/// Many flooding clients; dropping them ends them.
pub struct FloodingClients {
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl FloodingClients {
    /// Starts so many clients.
    pub fn start(router: SocketAddr, count: u32, flood: Flood) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let run = |part: usize| {
            let is_over = is_over.clone();
            let prefixes = (1..=count).skip(part).step_by(THREADS);
            let mut clients: Vec<_> = prefixes.map(|prefix| FloodingClient::new(prefix, flood)).collect();
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    for client in &mut clients {
                        if !client.transfer() {
                            client.connect(router);
                        }
                    }
                    thread::sleep(ROUND_PAUSE);
                }
            })
        };
        let threads = (0..THREADS).map(run).collect();
        Self { is_over, threads }
    }
}

impl Drop for FloodingClients {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}
