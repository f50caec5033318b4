//! A server that acts as a cache, a parent or an origin: requests and responses are RESP arrays.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, ToSocketAddrs};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;

/// An event on a connection; connections are numbered from 1.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CacheEvent {
    Opened { connection: usize },
    Request { connection: usize, id: String, fields: HashMap<String, String>, body: Vec<u8> },
    Cancel { connection: usize, id: String },
    Closed { connection: usize },
}

/// A response to a request: status, fields as `name=value,...` or `-`, and body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    pub status: &'static str,
    pub fields: String,
    pub body: Vec<u8>,
}

impl Answer {
    /// A response with a cached copy.
    pub fn data(body: impl Into<Vec<u8>>) -> Self {
        Self { status: "data", fields: "res=HIT,first=0".to_string(), body: body.into() }
    }

    /// A response without fields or body.
    pub fn with_status(status: &'static str) -> Self {
        Self { status, fields: "-".to_string(), body: Vec::new() }
    }
}

/// Returns the response to a request with this id, fields and body; `None` leaves the request open, for
/// [`Cache::answer`].
pub type RequestHandler = Arc<dyn Fn(&str, &HashMap<String, String>, &[u8]) -> Option<Answer> + Send + Sync>;

type Connections = Arc<Mutex<HashMap<usize, TcpStream>>>;

/// A server for the protocol between routers and caches.
pub struct Cache {
    /// The address that it listens at.
    pub address: SocketAddr,
    /// Events of all connections, in order.
    pub events: Receiver<CacheEvent>,
    connections: Connections,
}

impl Cache {
    /// Listens at an address, and responds with what `handler` returns.
    pub fn start(address: impl ToSocketAddrs, handler: RequestHandler) -> io::Result<Self> {
        Self::serve(TcpListener::bind(address)?, handler)
    }

    /// Serves the connections of a listener.
    pub fn serve(listener: TcpListener, handler: RequestHandler) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let (sender, events) = channel();
        let connections = Connections::default();
        let all = connections.clone();
        thread::spawn(move || {
            for (n, stream) in listener.incoming().enumerate() {
                let Ok(stream) = stream else { return };
                let connection = n + 1;
                if let (Ok(copy), Ok(mut all)) = (stream.try_clone(), all.lock()) {
                    all.insert(connection, copy);
                }
                let (sender, handler) = (sender.clone(), handler.clone());
                thread::spawn(move || {
                    let _ = sender.send(CacheEvent::Opened { connection });
                    let _ = serve_connection(connection, &stream, &sender, &handler);
                    let _ = sender.send(CacheEvent::Closed { connection });
                });
            }
        });
        Ok(Self { address, events, connections })
    }

    /// Responds to a request that was left open.
    pub fn answer(&self, connection: usize, id: &str, answer: &Answer) -> io::Result<()> {
        let stream = self.stream(connection)?;
        (&stream).write_all(&encode(id, answer))
    }

    /// Writes raw bytes to a connection.
    pub fn write(&self, connection: usize, bytes: &[u8]) -> io::Result<()> {
        (&self.stream(connection)?).write_all(bytes)
    }

    /// Closes a connection.
    pub fn close(&self, connection: usize) -> io::Result<()> {
        self.stream(connection)?.shutdown(Shutdown::Both)
    }

    fn stream(&self, connection: usize) -> io::Result<TcpStream> {
        let all = self
            .connections
            .lock()
            .map_err(|_| io::Error::other("a thread panicked while it held the connections"))?;
        all.get(&connection).ok_or(io::ErrorKind::NotConnected.into()).and_then(TcpStream::try_clone)
    }
}

fn serve_connection(
    connection: usize,
    stream: &TcpStream,
    sender: &Sender<CacheEvent>,
    handler: &RequestHandler,
) -> io::Result<()> {
    let mut input = BufReader::new(stream);
    let mut output = stream;
    loop {
        let mut parts = array(&mut input)?.into_iter();
        let mut text = || parts.next().map(|part| String::from_utf8_lossy(&part).into_owned());
        let (command, id) = (text().unwrap_or_default(), text().unwrap_or_default());
        match command.as_str() {
            "ASK" => {
                let fields = fields(&text().unwrap_or_default());
                let body = parts.next().unwrap_or_default();
                let answer = handler(&id, &fields, &body);
                let _ = sender.send(CacheEvent::Request { connection, id: id.clone(), fields, body });
                if let Some(answer) = answer {
                    output.write_all(&encode(&id, &answer))?;
                }
            }
            "QUIT" => {
                let _ = sender.send(CacheEvent::Cancel { connection, id });
            }
            "NOOP" | "INFO" => output.write_all(&encode(&id, &Answer::with_status("well")))?,
            _ => return Err(io::ErrorKind::InvalidData.into()),
        }
    }
}

/// Parses fields in the form `name=value,name=value`.
pub fn fields(text: &str) -> HashMap<String, String> {
    let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_string(), value.to_string())).collect()
}

/// Reads the next RESP array of bulk strings.
pub fn array(input: &mut impl BufRead) -> io::Result<Vec<Vec<u8>>> {
    let count = number(input, '*')?;
    (0..count)
        .map(|_| {
            let mut part = vec![0; number(input, '$')? + 2];
            input.read_exact(&mut part)?;
            part.truncate(part.len() - 2);
            Ok(part)
        })
        .collect()
}

fn number(input: &mut impl BufRead, sign: char) -> io::Result<usize> {
    let mut line = String::new();
    if input.by_ref().take(32).read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let digits = line.trim_end().strip_prefix(sign).and_then(|digits| digits.parse().ok());
    digits.ok_or(io::ErrorKind::InvalidData.into())
}

/// Encodes a response.
pub fn encode(id: &str, answer: &Answer) -> Vec<u8> {
    let mut out = b"*4\r\n".to_vec();
    for part in [id.as_bytes(), answer.status.as_bytes(), answer.fields.as_bytes(), &answer.body] {
        out.extend(format!("${}\r\n", part.len()).bytes());
        out.extend(part);
        out.extend(b"\r\n");
    }
    out
}
