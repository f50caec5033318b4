//! The sockets of links with other sites: connecting, accepting, reading and writing. The gateway encodes and
//! decodes the frames.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use bytes::{Buf, BytesMut};
use calloop::{LoopHandle, Readiness, RegistrationToken};
use linnethook_gateway::gateway::{ConnectionId, Gateway};

use crate::config::Limits;
use crate::event_handler::EventHandler;
use crate::log::log_line;
use crate::policy_adapter::Ms;
use crate::retry_queue::RetryQueue;
use crate::sockets;
use crate::system_error::{
    is_interrupted, source_of_accept_error, source_of_transfer_error, AcceptErrorSource, ErrorSource,
};
use crate::turn::{ConnectionKind, ReadyQueue, WorkBudget, READABLE, READABLE_AND_WRITABLE};

/// The backlog of the listening socket for links.
const LINK_BACKLOG: i32 = 64;

struct Connection {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    /// Output taken from the gateway that the operating system has not accepted yet.
    output: BytesMut,
    /// Set while an outgoing connection is being established.
    connecting: Option<Connecting>,
}

/// A connection attempt in progress.
#[derive(Debug, Clone, Copy)]
struct Connecting {
    deadline: Ms,
    /// The dialer index of the gateway.
    dialer: usize,
}

/// All sockets of links.
pub struct SiteLinks<W: EventHandler> {
    limits: Limits,
    handle: LoopHandle<'static, W>,
    connections: BTreeMap<ConnectionId, Connection>,
    last_id: ConnectionId,
    ready: ReadyQueue,
    read_buffer: Box<[u8]>,
    listener: Option<RegistrationToken>,
    /// When the listener is enabled again after a failed accept.
    resume_accepting: Option<Ms>,
    /// Connections on which a read or write failed by an error of this machine.
    retries: RetryQueue<ConnectionId>,
    pub accepted: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
}

impl<W: EventHandler> SiteLinks<W> {
    pub fn new(limits: Limits, ready: &ReadyQueue, handle: LoopHandle<'static, W>) -> Self {
        let read_buffer = vec![0; limits.links.block_bytes].into_boxed_slice();
        Self {
            limits,
            handle,
            connections: BTreeMap::new(),
            last_id: 0,
            ready: ready.clone(),
            read_buffer,
            listener: None,
            resume_accepting: None,
            retries: RetryQueue::default(),
            accepted: 0,
            bytes_in: 0,
            bytes_out: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Listens for links, and returns the local address.
    ///
    /// # Errors
    ///
    /// Errors of the operating system, for example that the address is in use.
    pub fn listen(&mut self, address: SocketAddr) -> io::Result<SocketAddr> {
        let listener = sockets::listen(address, LINK_BACKLOG)?;
        let address = listener.local_addr()?;
        let token = sockets::register_listener(&self.handle, listener, W::accept_links)?;
        self.listener = Some(token);
        Ok(address)
    }

    /// Accepts a bounded number of links; those above the limit are closed at once. Returns false if no more
    /// can be accepted for now.
    pub fn accept(&mut self, now: Ms, listener: &TcpListener, gateway: &mut Gateway) -> bool {
        for _ in 0..self.limits.accept.max_per_turn {
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(error) => match source_of_accept_error(&error) {
                    AcceptErrorSource::NoneWaiting => return true,
                    AcceptErrorSource::Client => continue,
                    AcceptErrorSource::Local => {
                        // Without the pause the event loop would spin when descriptors run out.
                        log_line!("gateway: accepting a link connection failed: {error}");
                        self.resume_accepting = Some(now + self.limits.accept.retry_pause_ms);
                        return false;
                    }
                },
            };
            self.accepted += 1;
            if self.connections.len() >= self.limits.links.max_connections {
                continue;
            }
            match self.add(stream, None) {
                Ok(conn) => gateway.connection_opened(now, conn, None),
                Err(error) => log_line!("gateway: registering an accepted link connection failed: {error}"),
            }
        }
        true
    }

    fn add(&mut self, stream: TcpStream, connecting: Option<Connecting>) -> io::Result<ConnectionId> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        self.last_id += 1;
        let conn = self.last_id;
        let stream = Rc::new(stream);
        let on_ready = move |handler: &mut W, readiness| handler.on_link_ready(conn, readiness);
        let token = sockets::register_stream(&self.handle, &stream, on_ready)?;
        self.connections.insert(conn, Connection { stream, token, output: BytesMut::new(), connecting });
        Ok(conn)
    }

    /// Starts to connect to an address for a dialer of the gateway.
    pub fn dial(&mut self, now: Ms, dialer: usize, address: SocketAddr, gateway: &mut Gateway) {
        let connecting = Connecting { deadline: now + self.limits.upstreams.connect_timeout_ms, dialer };
        let started = match self.connections.len() < self.limits.links.max_connections {
            true => sockets::connect(address).and_then(|stream| self.add(stream, Some(connecting))),
            false => Err(io::Error::other(format!(
                "the limit of {} link connections is reached",
                self.limits.links.max_connections
            ))),
        };
        if let Err(error) = started {
            log_line!("gateway: connect of a link to {address} failed: {error}");
            gateway.dial_failed(now, dialer);
        }
    }

    /// Marks a connection as ready: it is read, or written, when it is its turn.
    pub fn mark_ready(&mut self, conn: ConnectionId, readiness: Readiness) {
        if self.connections.contains_key(&conn) {
            self.ready.insert(ConnectionKind::Link, conn, readiness);
        }
    }

    /// Marks all connections that are up as ready, whether or not they were reported.
    pub fn mark_all_ready(&mut self) {
        let up = self.connections.iter().filter(|(_, connection)| connection.connecting.is_none());
        for (conn, _) in up {
            self.ready.insert(ConnectionKind::Link, *conn, READABLE_AND_WRITABLE);
        }
    }

    /// Finishes connecting, writes or reads, according to the readiness of a connection.
    pub fn serve(&mut self, now: Ms, conn: ConnectionId, readiness: Readiness, gateway: &mut Gateway) {
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        if let Some(Connecting { dialer, .. }) = connection.connecting {
            match connection.stream.take_error() {
                Ok(None) if readiness.writable => {
                    connection.connecting = None;
                    gateway.connection_opened(now, conn, Some(dialer));
                }
                Ok(None) => return,
                Ok(Some(_)) | Err(_) => {
                    self.close(conn);
                    return gateway.dial_failed(now, dialer);
                }
            }
        }
        if readiness.writable || readiness.error {
            self.write(now, conn, gateway);
        }
        if readiness.readable || readiness.error {
            self.read(now, conn, gateway);
        }
    }

    /// Reads a connection, as far as its budget goes.
    fn read(&mut self, now: Ms, conn: ConnectionId, gateway: &mut Gateway) {
        let mut budget = self.ready.connection_budget(ConnectionKind::Link);
        self.read_within(now, conn, &mut budget, gateway);
        self.ready.charge(ConnectionKind::Link, conn, &budget);
    }

    fn read_within(&mut self, now: Ms, conn: ConnectionId, budget: &mut WorkBudget, gateway: &mut Gateway) {
        while let Some(connection) = self.connections.get_mut(&conn) {
            if budget.is_spent() {
                return self.ready.insert(ConnectionKind::Link, conn, READABLE);
            }
            match (&*connection.stream).read(&mut self.read_buffer) {
                Ok(0) => {
                    self.close(conn);
                    return gateway.connection_closed(now, conn);
                }
                Ok(n) => {
                    budget.spend_bytes(n);
                    self.bytes_in += n as u64;
                    gateway.receive(now, conn, &self.read_buffer[..n]);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if is_interrupted(&error) => {}
                Err(error) => return self.on_transfer_error(now, conn, &error, gateway),
            }
        }
    }

    /// Writes as much as the operating system accepts.
    pub fn write(&mut self, now: Ms, conn: ConnectionId, gateway: &mut Gateway) {
        while let Some(connection) = self.connections.get_mut(&conn).filter(|c| c.connecting.is_none()) {
            if connection.output.is_empty() {
                connection.output.clear();
                gateway.take_output(conn, self.limits.links.block_bytes, &mut connection.output);
                if connection.output.is_empty() {
                    return;
                }
            }
            match (&*connection.stream).write(&connection.output) {
                Ok(n) => {
                    connection.output.advance(n);
                    self.bytes_out += n as u64;
                    gateway.mark_written(conn, n);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if is_interrupted(&error) => {}
                Err(error) => return self.on_transfer_error(now, conn, &error, gateway),
            }
        }
    }

    /// Handles an error of a read or write: one of this machine is repeated later, any other ends the connection.
    fn on_transfer_error(&mut self, now: Ms, conn: ConnectionId, error: &io::Error, gateway: &mut Gateway) {
        match source_of_transfer_error(error) {
            ErrorSource::Local => self.retries.insert(now, conn),
            ErrorSource::Peer => self.on_lost(now, conn, gateway),
        }
    }

    fn on_lost(&mut self, now: Ms, conn: ConnectionId, gateway: &mut Gateway) {
        self.close(conn);
        gateway.connection_lost(now, conn);
    }

    /// Closes a connection without notifying the gateway.
    pub fn close(&mut self, conn: ConnectionId) {
        self.ready.remove(ConnectionKind::Link, conn);
        self.retries.remove(conn);
        if let Some(connection) = self.connections.remove(&conn) {
            self.handle.remove(connection.token);
        }
    }

    /// Aborts connection attempts that have timed out, and enables the listener again once its pause is over.
    pub fn on_timer(&mut self, now: Ms, gateway: &mut Gateway) {
        if self.resume_accepting.take_if(|due| now >= *due).is_some() {
            if let Some(error) = self.listener.as_ref().and_then(|token| self.handle.enable(token).err()) {
                log_line!("gateway: enabling the listener for links again failed: {error}");
                self.resume_accepting = Some(now + self.limits.accept.retry_pause_ms);
            }
        }
        for conn in self.retries.take_due(now) {
            self.mark_ready(conn, READABLE_AND_WRITABLE);
        }
        let is_late = |connecting: &Connecting| now >= connecting.deadline;
        let late = self.connections.iter().filter_map(|(conn, connection)| {
            connection.connecting.filter(is_late).map(|connecting| (*conn, connecting.dialer))
        });
        let late: Vec<(ConnectionId, usize)> = late.collect();
        for (conn, dialer) in late {
            self.close(conn);
            gateway.dial_failed(now, dialer);
        }
    }

    /// When [`Self::on_timer`] is due.
    pub fn next_deadline(&self) -> Option<Ms> {
        let connecting = self.connections.values().filter_map(|connection| connection.connecting);
        let deadlines = connecting.map(|connecting| connecting.deadline);
        deadlines.chain(self.resume_accepting).chain(self.retries.next_deadline()).reduce(f64::min)
    }
}
