//! The sockets of a server: RESP arrays in, answers out, a thread for each connection.
//!
//! A server can be killed (connections reset, nobody listens) and started again at its address.

use std::collections::HashMap;
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use linnethook_quickstart::cache::{array, encode, fields, Answer};
use socket2::{Domain, Socket, Type};

/// One request, as it came in.
#[derive(Debug, Clone)]
pub struct CacheRequest {
    /// The request's id.
    pub id: String,
    /// The fields of its head.
    pub fields: HashMap<String, String>,
    /// Its body.
    pub body: Vec<u8>,
}

/// What is done about it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HandlerResponse {
    /// The answer in full.
    Answer(Answer),
    /// Nothing, for as long as the connection lasts.
    Nothing,
    /// The connection ends without an answer.
    Reset,
    /// A part of the answer, then the end.
    Half(Answer),
}

/// Whoever answers; it may take its time, it has a thread of its own.
pub trait RequestHandler: Send + Sync + 'static {
    /// What is done about a request.
    fn answer(&self, ask: &CacheRequest) -> HandlerResponse;
}

type Connections = Arc<Mutex<HashMap<u64, TcpStream>>>;

/// A server at its address.
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    connections: Connections,
    down: Arc<AtomicBool>,
    /// Its address, once it was killed.
    _reserved: Arc<Mutex<Option<Socket>>>,
}

impl Server {
    /// Listens, on a port that the system gives where none is said.
    ///
    /// # Errors
    /// The socket fails or its answer is late.
    pub fn start(address: SocketAddr, answers: Arc<dyn RequestHandler>) -> io::Result<Self> {
        let listener = listen(address)?;
        let address = listener.local_addr()?;
        let (connections, down) = (Connections::default(), Arc::new(AtomicBool::new(false)));
        let (all, over) = (connections.clone(), down.clone());
        let reserved = Arc::new(Mutex::new(None));
        let keeps = reserved.clone();
        thread::spawn(move || {
            let count = AtomicU64::new(0);
            for stream in listener.incoming() {
                if over.load(Ordering::Acquire) {
                    drop(listener);
                    *keeps.lock().unwrap_or_else(PoisonError::into_inner) = keep(address);
                    return;
                }
                let Ok(stream) = stream else { continue };
                let n = count.fetch_add(1, Ordering::Relaxed);
                if let Ok(copy) = stream.try_clone() {
                    all.lock().unwrap_or_else(PoisonError::into_inner).insert(n, copy);
                }
                let (answers, all) = (answers.clone(), all.clone());
                thread::spawn(move || {
                    let _ = talk(&stream, &*answers);
                    let _ = stream.shutdown(Shutdown::Both);
                    all.lock().unwrap_or_else(PoisonError::into_inner).remove(&n);
                });
            }
        });
        Ok(Self { address, connections, down, _reserved: reserved })
    }

    /// Nobody listens any more, and all connections end.
    pub fn kill(&self) {
        if self.down.swap(true, Ordering::AcqRel) {
            return;
        }
        // Wakes the listener, which then sees that it is over.
        drop(TcpStream::connect(self.address));
        let mut all = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        for (_, stream) in all.drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Holds the address of one that was killed without listening, so that the system gives it to nobody else: who still
/// calls there is to meet a closed door, and not the server of another fleet.
fn keep(address: SocketAddr) -> Option<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None).ok()?;
    socket.set_reuse_address(true).ok()?;
    socket.bind(&address.into()).ok()?;
    Some(socket)
}

/// Binds; one that was killed at that address may need a moment to let go of it.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    for _ in 0..200 {
        match TcpListener::bind(address) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {
                thread::sleep(Duration::from_millis(10))
            }
            bound => return bound,
        }
    }
    TcpListener::bind(address)
}

fn talk(stream: &TcpStream, answers: &dyn RequestHandler) -> io::Result<()> {
    let mut input = BufReader::new(stream);
    let mut output = stream;
    stream.set_nodelay(true)?;
    loop {
        let mut parts = array(&mut input)?.into_iter();
        let mut text = || parts.next().map(|part| String::from_utf8_lossy(&part).into_owned());
        let (command, id) = (text().unwrap_or_default(), text().unwrap_or_default());
        match command.as_str() {
            "ASK" => {
                let fields = fields(&text().unwrap_or_default());
                let ask = CacheRequest { id, fields, body: parts.next().unwrap_or_default() };
                match answers.answer(&ask) {
                    HandlerResponse::Answer(answer) => output.write_all(&encode(&ask.id, &answer))?,
                    HandlerResponse::Nothing => {}
                    HandlerResponse::Reset => return Ok(()),
                    HandlerResponse::Half(answer) => {
                        let bytes = encode(&ask.id, &answer);
                        output.write_all(&bytes[..bytes.len() / 2])?;
                        return Ok(());
                    }
                }
            }
            "QUIT" => {}
            "NOOP" | "INFO" => output.write_all(&encode(&id, &Answer::with_status("well")))?,
            _ => return Err(io::ErrorKind::InvalidData.into()),
        }
    }
}

/// Asks a node and waits for its answer: word, fields, body.
///
/// # Errors
/// The socket fails or its answer is late.
pub fn ask(
    address: SocketAddr,
    id: &str,
    fields_text: &str,
    body: &[u8],
    patience: Duration,
) -> io::Result<(String, HashMap<String, String>, Vec<u8>)> {
    let stream = TcpStream::connect_timeout(&address, patience)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    let mut out = b"*4\r\n$3\r\nASK\r\n".to_vec();
    for part in [id.as_bytes(), fields_text.as_bytes(), body] {
        out.extend(format!("${}\r\n", part.len()).bytes());
        out.extend(part);
        out.extend(b"\r\n");
    }
    (&stream).write_all(&out)?;
    let mut parts = array(&mut BufReader::new(&stream))?.into_iter();
    let mut text = || parts.next().map(|part| String::from_utf8_lossy(&part).into_owned());
    let (_, status) = (text(), text().unwrap_or_default());
    let answered = fields(&text().unwrap_or_default());
    Ok((status, answered, parts.next().unwrap_or_default()))
}
