//! The server of the control socket: its connections and their timeouts.
//!
//! A message is its length, four bytes in network order, followed by its postcard encoding. Each connection
//! has one request, which is executed once it is complete.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;

use calloop::generic::{Generic, NoIoDrop};
use calloop::{Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};

use crate::buffers::{BufferChain, BufferPool};
use crate::config::Limits;
use crate::descriptors::{DescriptorPurpose, DescriptorReserve};
use crate::event_handler::EventHandler;
use crate::log::log_line;
use crate::policy_adapter::Ms;

use super::{ControlRequest, ControlResponse};

/// The size in bytes of the length that precedes a message.
const LENGTH_BYTES: usize = 4;
/// The permissions of the socket. Whoever may write to it controls the router, so only its owner may.
const SOCKET_MODE: u32 = 0o600;

struct Connection {
    stream: Rc<UnixStream>,
    token: RegistrationToken,
    input: BufferChain,
    output: BufferChain,
    /// Whether the response is in `output`; the connection is closed once it is written.
    is_answered: bool,
    deadline: Ms,
}

/// The control socket of a router.
pub struct ControlServer<W: EventHandler> {
    limits: Limits,
    pool: BufferPool,
    reserve: DescriptorReserve,
    handle: LoopHandle<'static, W>,
    path: PathBuf,
    listener: RegistrationToken,
    /// When the listener is enabled again after a failed accept.
    accept_retry: Option<Ms>,
    connections: BTreeMap<u64, Connection>,
    last_id: u64,
}

impl<W: EventHandler> ControlServer<W> {
    /// Listens at `path`. A stale socket of an earlier process is replaced.
    ///
    /// # Errors
    ///
    /// Another process listens on the socket, and errors of the system.
    pub fn listen(
        limits: Limits,
        pool: &BufferPool,
        reserve: &DescriptorReserve,
        handle: LoopHandle<'static, W>,
        path: &Path,
    ) -> io::Result<Self> {
        let listener = bind_socket(path)?;
        let source = Generic::new(listener, Interest::READ, Mode::Level);
        let on_ready = |_: Readiness, listener: &mut NoIoDrop<UnixListener>, router: &mut W| {
            Ok(if router.accept_commands(listener) { PostAction::Continue } else { PostAction::Disable })
        };
        let listener =
            handle.insert_source(source, on_ready).map_err(|error| io::Error::other(error.error))?;
        Ok(Self {
            limits,
            pool: pool.clone(),
            reserve: reserve.clone(),
            handle,
            path: path.to_path_buf(),
            listener,
            accept_retry: None,
            connections: BTreeMap::new(),
            last_id: 0,
        })
    }

    /// Accepts all waiting connections; those above the limit are closed at once. Returns whether the
    /// listener may stay enabled.
    pub fn accept(&mut self, now: Ms, listener: &UnixListener) -> bool {
        loop {
            match self.reserve.open(DescriptorPurpose::Control, || listener.accept()) {
                Ok((stream, _)) => self.add_connection(now, stream),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return true,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => {
                    // An enabled listener would fail again immediately, in a busy loop.
                    log_line!("control: accepting a connection to the control socket failed: {error}");
                    self.accept_retry = Some(now + self.limits.accept.retry_pause_ms);
                    return false;
                }
            }
        }
    }

    fn add_connection(&mut self, now: Ms, stream: UnixStream) {
        if self.connections.len() >= self.limits.control.max_connections
            || stream.set_nonblocking(true).is_err()
        {
            return;
        }
        self.last_id += 1;
        let id = self.last_id;
        let stream = Rc::new(stream);
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let on_ready = move |_: Readiness, _: &mut _, router: &mut W| {
            router.on_command_ready(id);
            Ok(PostAction::Continue)
        };
        let Ok(token) = self.handle.insert_source(source, on_ready) else { return };
        let connection = Connection {
            stream,
            token,
            input: BufferChain::new(&self.pool),
            output: BufferChain::new(&self.pool),
            is_answered: false,
            deadline: now + self.limits.control.connection_timeout_ms,
        };
        self.connections.insert(id, connection);
    }

    /// Reads a connection; returns its request once it is complete. A malformed request is rejected.
    pub fn read(&mut self, id: u64) -> Option<ControlRequest> {
        loop {
            let connection = self.connections.get_mut(&id).filter(|connection| !connection.is_answered)?;
            match connection.input.read_from(&*connection.stream) {
                Ok(0) => {
                    self.remove(id);
                    return None;
                }
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return None,
                Err(_) => {
                    self.remove(id);
                    return None;
                }
            }
            let mut head = [0; LENGTH_BYTES];
            if connection.input.peek(&mut head) < LENGTH_BYTES {
                continue;
            }
            let length = u32::from_be_bytes(head) as usize;
            if length > self.limits.control.max_message_bytes || self.pool.is_exhausted() {
                self.reject(id, format!("request of {length} bytes is too long, or buffers are exhausted"));
                return None;
            }
            if connection.input.len() < LENGTH_BYTES + length {
                continue;
            }
            connection.input.consume(LENGTH_BYTES);
            let bytes = connection.input.split_to(length).to_vec();
            return self.decode_request(id, &bytes);
        }
    }

    fn decode_request(&mut self, id: u64, bytes: &[u8]) -> Option<ControlRequest> {
        let request = postcard::from_bytes(bytes);
        if let Err(error) = &request {
            log_line!("control: a request on the control socket can't be decoded: {error}");
            self.reject(id, format!("the request can't be decoded: {error}"));
        }
        request.ok()
    }

    fn reject(&mut self, id: u64, reason: String) {
        self.respond(id, &ControlResponse::Refused(reason));
    }

    /// Sends the response to the connection's request.
    pub fn respond(&mut self, id: u64, response: &ControlResponse) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let bytes = postcard::to_stdvec(response).unwrap_or_default();
        connection.is_answered = true;
        connection.output.push(&(bytes.len() as u32).to_be_bytes());
        connection.output.push(&bytes);
        self.flush(id);
    }

    /// Writes pending output, and closes the connection after its response.
    pub fn flush(&mut self, id: u64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        while !connection.output.is_empty() {
            match connection.output.write_to(&*connection.stream) {
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(_) => break,
            }
        }
        if connection.is_answered {
            self.remove(id);
        }
    }

    fn remove(&mut self, id: u64) {
        if let Some(connection) = self.connections.remove(&id) {
            self.handle.remove(connection.token);
        }
    }

    /// The time, in milliseconds, at which `on_timer` has work.
    pub fn next_deadline(&self) -> Option<Ms> {
        self.connections
            .values()
            .map(|connection| connection.deadline)
            .chain(self.accept_retry)
            .reduce(Ms::min)
    }

    /// Closes the connections that timed out, and enables the listener again after a failed accept.
    pub fn on_timer(&mut self, now: Ms) {
        let expired = self.connections.iter().filter(|(_, connection)| now >= connection.deadline);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.remove(id);
        }
        if self.accept_retry.take_if(|retry| now >= *retry).is_some() {
            let enabled = self.handle.enable(&self.listener);
            let _ = enabled
                .inspect_err(|error| log_line!("control: enabling the control socket again failed: {error}"));
        }
    }
}

fn bind_socket(path: &Path) -> io::Result<UnixListener> {
    if path.exists() {
        if UnixStream::connect(path).is_ok() {
            return Err(io::Error::new(ErrorKind::AddrInUse, "another process listens on the socket"));
        }
        std::fs::remove_file(path)?;
    }
    let listener = UnixListener::bind(path)?;
    std::fs::set_permissions(path, PermissionsExt::from_mode(SOCKET_MODE))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

impl<W: EventHandler> Drop for ControlServer<W> {
    fn drop(&mut self) {
        // Errors are ignored: the next process replaces a stale socket anyway.
        let _ = std::fs::remove_file(&self.path);
    }
}
