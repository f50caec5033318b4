//! The sockets of a server: reads RESP arrays and writes responses, with a thread for each connection.
//!
//! A server can be killed (connections end, nothing listens) and started again at its address.

use std::collections::HashMap;
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use linnethook_quickstart::cache::{array, encode, fields, Answer};
use socket2::{Domain, Socket, Type};

/// A request as it was received.
#[derive(Debug, Clone)]
pub struct CacheRequest {
    /// The request's id.
    pub id: String,
    /// Its header fields.
    pub fields: HashMap<String, String>,
    /// Its body.
    pub body: Vec<u8>,
}

/// How a server responds to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HandlerResponse {
    /// The complete response.
    Answer(Answer),
    /// No response; the connection stays open.
    NoResponse,
    /// The connection ends without a response.
    Reset,
    /// The first half of the response, then the end of the connection.
    Truncated(Answer),
}

/// Handles requests; it may block, as each connection has a thread of its own.
pub trait RequestHandler: Send + Sync + 'static {
    /// Responds to a request.
    fn handle(&self, request: &CacheRequest) -> HandlerResponse;
}

type Connections = Arc<Mutex<HashMap<u64, TcpStream>>>;

/// A server that listens at an address; it is killed on drop.
pub struct Server {
    /// The address that it listens at.
    pub address: SocketAddr,
    connections: Connections,
    down: Arc<AtomicBool>,
    /// Reserves its address after it was killed.
    _reserved: Arc<Mutex<Option<Socket>>>,
}

impl Server {
    /// Listens at an address; with port 0 the system assigns one.
    ///
    /// # Errors
    /// The address can't be bound.
    pub fn start(address: SocketAddr, handler: Arc<dyn RequestHandler>) -> io::Result<Self> {
        let listener = listen(address)?;
        let address = listener.local_addr()?;
        let (connections, down) = (Connections::default(), Arc::new(AtomicBool::new(false)));
        let (all, over) = (connections.clone(), down.clone());
        let reserved = Arc::new(Mutex::new(None));
        let shared_reservation = reserved.clone();
        thread::spawn(move || {
            let count = AtomicU64::new(0);
            for stream in listener.incoming() {
                if over.load(Ordering::Acquire) {
                    drop(listener);
                    *shared_reservation.lock().unwrap_or_else(PoisonError::into_inner) = reserve(address);
                    return;
                }
                let Ok(stream) = stream else { continue };
                let n = count.fetch_add(1, Ordering::Relaxed);
                if let Ok(copy) = stream.try_clone() {
                    all.lock().unwrap_or_else(PoisonError::into_inner).insert(n, copy);
                }
                let (handler, all) = (handler.clone(), all.clone());
                thread::spawn(move || {
                    let _ = serve_connection(&stream, &*handler);
                    let _ = stream.shutdown(Shutdown::Both);
                    all.lock().unwrap_or_else(PoisonError::into_inner).remove(&n);
                });
            }
        });
        Ok(Self { address, connections, down, _reserved: reserved })
    }

    /// Stops listening and ends all connections.
    pub fn kill(&self) {
        if self.down.swap(true, Ordering::AcqRel) {
            return;
        }
        // Wakes the listener's thread, which then sees that the server is down.
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

/// Binds the address of a killed server without listening, so that the system does not reassign it: clients
/// that still connect there must be refused, and not reach the server of another fleet.
fn reserve(address: SocketAddr) -> Option<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None).ok()?;
    socket.set_reuse_address(true).ok()?;
    socket.bind(&address.into()).ok()?;
    Some(socket)
}

/// Binds an address, with retries for 2 s: a server that was killed there may take a moment to release it.
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

fn serve_connection(stream: &TcpStream, handler: &dyn RequestHandler) -> io::Result<()> {
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
                let request = CacheRequest { id, fields, body: parts.next().unwrap_or_default() };
                match handler.handle(&request) {
                    HandlerResponse::Answer(answer) => output.write_all(&encode(&request.id, &answer))?,
                    HandlerResponse::NoResponse => {}
                    HandlerResponse::Reset => return Ok(()),
                    HandlerResponse::Truncated(answer) => {
                        let bytes = encode(&request.id, &answer);
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

/// Sends a request to a server and waits for its response: status, fields, body.
///
/// # Errors
/// The socket fails, or a connection or the response takes longer than `timeout`.
pub fn send_request(
    address: SocketAddr,
    id: &str,
    fields_text: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<(String, HashMap<String, String>, Vec<u8>)> {
    let stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
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
