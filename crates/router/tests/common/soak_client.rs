//! A client of the soak: it keeps its connection open and records what it wrote and what it was answered.

use std::io::Write;
use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use linnethook_quickstart::client::request;
use linnethook_quickstart::Client;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// A client may have so many requests open.
const MAX_OPEN_REQUESTS: usize = 32;

/// A request that was written completely.
#[derive(Debug, Clone)]
pub struct SoakRequest {
    pub id: String,
    pub class: &'static str,
    pub written_at: Instant,
    pub deadline: Duration,
    /// When answers came, with their codes.
    pub answers: Vec<(Instant, u8)>,
    /// When the client closed its connection or cancelled the request without waiting for the answer.
    pub given_up_at: Option<Instant>,
    stream: u32,
}

/// What a client has recorded.
#[derive(Debug, Default)]
pub struct SoakRecord {
    pub requests: Vec<SoakRequest>,
    /// When the router's end of the connection was seen.
    pub ended_at: Option<Instant>,
    /// Errors that the router sent for the connection.
    pub errors: Vec<String>,
}

/// A connection with its record.
pub struct SoakClient {
    connection: Client,
    record: Arc<Mutex<SoakRecord>>,
    reader: JoinHandle<()>,
    next_stream: u32,
    prefix: u32,
}

impl SoakClient {
    /// Connects; `None` if the router does not accept it. Ids of requests begin with the prefix.
    pub fn connect(router: SocketAddr, prefix: u32) -> Option<Self> {
        let connection = Client::connect(router).ok()?;
        let reading = Client { stream: connection.stream.try_clone().ok()? };
        let record = Arc::new(Mutex::new(SoakRecord::default()));
        let shared = record.clone();
        let reader = thread::spawn(move || read_answers(reading, &shared));
        Some(Self { connection, record, reader, next_stream: 0, prefix })
    }

    /// Whether the router has ended the connection.
    pub fn has_ended(&self) -> bool {
        self.record.lock().expect("the record").ended_at.is_some()
    }

    /// Sends a request, unless too many are open.
    pub fn send(&mut self, random: &mut Pcg64Mcg, class: &'static str, deadline: Duration) {
        let mut record = self.record.lock().expect("the record");
        let open = record.requests.iter().filter(|request| request.answers.is_empty()).count();
        if record.ended_at.is_some() || open >= MAX_OPEN_REQUESTS {
            return;
        }
        self.next_stream += 1;
        let stream = self.next_stream;
        let (id, wait) = (format!("{:08x}{stream:08x}", self.prefix), deadline.as_millis().to_string());
        let object = match class {
            "booking" => format!("{:016x}", random.random::<u64>()),
            _ => format!("{:016x}", random.random_range(0..200_u64)),
        };
        let fields = [("c", class), ("i", &*id), ("o", &*object), ("d", &*wait)];
        let body = vec![7; if class == "booking" { random.random_range(0..2_000) } else { 0 }];
        let bytes = request(stream, &fields, &body);
        // The answer may arrive before the write returns: the request is recorded first.
        let written_at = Instant::now();
        record.requests.push(SoakRequest {
            id: id.clone(),
            class,
            written_at,
            deadline,
            answers: Vec::new(),
            given_up_at: None,
            stream,
        });
        drop(record);
        let written = self.connection.stream.write_all(&bytes);
        let mut record = self.record.lock().expect("the record");
        let position = record.requests.iter().position(|request| request.id == id).expect("recorded");
        match written {
            Ok(()) => record.requests[position].written_at = Instant::now(),
            Err(_) => _ = record.requests.remove(position),
        }
    }

    /// Closes the connection without waiting for answers, with what is still unread.
    pub fn leave(self) -> SoakRecord {
        let left_at = Instant::now();
        let _ = self.connection.stream.shutdown(Shutdown::Both);
        let Self { connection, record, reader, .. } = self;
        drop(connection);
        reader.join().expect("no panic");
        let mut record = std::mem::take(&mut *record.lock().expect("the record"));
        record.ended_at = None;
        for request in record.requests.iter_mut().filter(|request| request.answers.is_empty()) {
            request.given_up_at = Some(left_at);
        }
        record
    }

    /// Waits until the router has ended the connection, or ends it after a time.
    pub fn finish(self, latest: Instant) -> SoakRecord {
        while !self.has_ended() && Instant::now() < latest {
            thread::sleep(Duration::from_millis(5));
        }
        let _ = self.connection.stream.shutdown(Shutdown::Both);
        self.reader.join().expect("no panic");
        std::mem::take(&mut *self.record.lock().expect("the record"))
    }
}

/// Records the answers of a client until its connection ends.
fn read_answers(mut reader: Client, record: &Mutex<SoakRecord>) {
    loop {
        let frame = reader.read();
        let at = Instant::now();
        let mut record = record.lock().expect("the record");
        match frame {
            Ok(frame) if frame.kind == 66 && frame.stream > 0 => {
                let request = record.requests.iter_mut().find(|request| request.stream == frame.stream);
                request.expect("the answer to a request").answers.push((at, frame.code));
            }
            Ok(frame) if frame.kind == 66 => {
                record.errors.push(String::from_utf8_lossy(&frame.body).into_owned());
            }
            Ok(_) => {}
            Err(_) => {
                record.ended_at = Some(at);
                return;
            }
        }
    }
}
