//! Owns the connections of links with other sites: dialled, taken in, read and written.
//!
//! Must never look into a frame, hold more of a connection's output than a few blocks, or read one without end while
//! others wait.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use bytes::{Buf, BytesMut};
use calloop::generic::{Generic, NoIoDrop};
use calloop::{Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use linnethook_gateway::gateway::{Conn, Gateway};
use socket2::{Domain, Socket, Type};

use crate::config::{Failure, Limits};
use crate::decider::Ms;
use crate::event_handler::EventHandler;
use crate::log::log_line;
use crate::upstream::connect;

struct Connection {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    /// What the gateway has handed over and the system has not taken yet.
    output: BytesMut,
    /// Not up yet: until when, and for which entry of the dials.
    dialling: Option<(Ms, usize)>,
}

/// All connections of links.
pub struct Links<W: EventHandler> {
    limits: Limits,
    handle: LoopHandle<'static, W>,
    connections: BTreeMap<Conn, Connection>,
    last: Conn,
    /// Read in part only, so that others had their turn.
    held: BTreeSet<Conn>,
    block: Box<[u8]>,
    listener: Option<RegistrationToken>,
    /// When the listener is looked at again: those that wait could not be taken in.
    again: Option<Ms>,
    pub accepted: u64,
    /// Bytes that came in and went out.
    pub bytes: [u64; 2],
}

impl<W: EventHandler> Links<W> {
    pub fn new(limits: Limits, handle: LoopHandle<'static, W>) -> Self {
        let block = vec![0; limits.link_block].into_boxed_slice();
        let (connections, held) = (BTreeMap::new(), BTreeSet::new());
        let (listener, again, bytes) = (None, None, [0; 2]);
        Self { limits, handle, connections, last: 0, held, block, listener, again, accepted: 0, bytes }
    }

    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Starts to listen for gateways of other sites; the address comes back.
    pub fn listen(&mut self, address: SocketAddr) -> Result<SocketAddr, Failure> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(64)?;
        let listener = TcpListener::from(socket);
        let address = listener.local_addr()?;
        let source = Generic::new(listener, Interest::READ, Mode::Level);
        let ready = |_: Readiness, listener: &mut NoIoDrop<TcpListener>, router: &mut W| {
            Ok(if router.accept_links(listener) { PostAction::Continue } else { PostAction::Disable })
        };
        self.listener = Some(self.handle.insert_source(source, ready).map_err(|wrong| wrong.error)?);
        Ok(address)
    }

    /// Takes in those that wait, a few at a turn; beyond the most they are closed at once. False where they can't be
    /// taken in now.
    pub fn accept(&mut self, now: Ms, listener: &TcpListener, gateway: &mut Gateway) -> bool {
        for _ in 0..self.limits.accept_turn {
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(wrong) if wrong.kind() == ErrorKind::WouldBlock => return true,
                Err(wrong) => {
                    // Guards against a turn without end where descriptors are short.
                    log_line!("a link's listener: {wrong}");
                    self.again = Some(now + self.limits.client_sweep);
                    return false;
                }
            };
            self.accepted += 1;
            if self.connections.len() >= self.limits.links {
                continue;
            }
            match self.take_in(stream, None) {
                Ok(conn) => gateway.opened(now, conn, None),
                Err(wrong) => log_line!("a link could not be taken in: {wrong}"),
            }
        }
        true
    }

    fn take_in(&mut self, stream: TcpStream, dialling: Option<(Ms, usize)>) -> io::Result<Conn> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        self.last += 1;
        let conn = self.last;
        let stream = Rc::new(stream);
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let ready = move |readiness: Readiness, _: &mut _, router: &mut W| {
            router.on_link_ready(conn, readiness);
            Ok(PostAction::Continue)
        };
        let token = self.handle.insert_source(source, ready).map_err(|w| io::Error::other(w.error))?;
        self.connections.insert(conn, Connection { stream, token, output: BytesMut::new(), dialling });
        Ok(conn)
    }

    /// Begins to connect for an entry of the dials.
    pub fn dial(&mut self, now: Ms, dialer: usize, address: SocketAddr, gateway: &mut Gateway) {
        let until = now + self.limits.connect;
        let dialled = match self.connections.len() < self.limits.links {
            true => connect(address).and_then(|stream| self.take_in(stream, Some((until, dialer)))),
            false => Err(io::Error::other("as many connections of links as may be")),
        };
        if let Err(wrong) = dialled {
            log_line!("a link to {address}: {wrong}");
            gateway.dial_failed(now, dialer);
        }
    }

    /// Goes on after a connection became ready.
    pub fn ready(&mut self, now: Ms, conn: Conn, readiness: Readiness, gateway: &mut Gateway) {
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        if let Some((_, dialer)) = connection.dialling {
            match connection.stream.take_error() {
                Ok(None) if readiness.writable => {
                    connection.dialling = None;
                    gateway.opened(now, conn, Some(dialer));
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

    fn read(&mut self, now: Ms, conn: Conn, gateway: &mut Gateway) {
        self.held.remove(&conn);
        let mut budget = self.limits.link_turn;
        while let Some(connection) = self.connections.get_mut(&conn) {
            if budget == 0 {
                self.held.insert(conn);
                return;
            }
            match (&*connection.stream).read(&mut self.block) {
                Ok(0) => return self.lose(now, conn, gateway),
                Ok(n) => {
                    budget = budget.saturating_sub(n);
                    self.bytes[0] += n as u64;
                    gateway.came(now, conn, &self.block[..n]);
                }
                Err(wrong) if wrong.kind() == ErrorKind::WouldBlock => return,
                Err(wrong) if wrong.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.lose(now, conn, gateway),
            }
        }
    }

    /// Whether somebody who was held back could be read on at once.
    pub fn waits(&self) -> bool {
        !self.held.is_empty()
    }

    /// Goes on with those that were held back.
    pub fn read_held(&mut self, now: Ms, gateway: &mut Gateway) {
        for conn in std::mem::take(&mut self.held) {
            self.read(now, conn, gateway);
        }
    }

    /// Writes as much as the other side takes.
    pub fn write(&mut self, now: Ms, conn: Conn, gateway: &mut Gateway) {
        while let Some(connection) = self.connections.get_mut(&conn).filter(|c| c.dialling.is_none()) {
            if connection.output.is_empty() {
                connection.output.clear();
                gateway.pull(conn, self.limits.link_block, &mut connection.output);
                if connection.output.is_empty() {
                    return;
                }
            }
            match (&*connection.stream).write(&connection.output) {
                Ok(n) => {
                    connection.output.advance(n);
                    self.bytes[1] += n as u64;
                    gateway.wrote(conn, n);
                }
                Err(wrong) if wrong.kind() == ErrorKind::WouldBlock => return,
                Err(wrong) if wrong.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.lose(now, conn, gateway),
            }
        }
    }

    fn lose(&mut self, now: Ms, conn: Conn, gateway: &mut Gateway) {
        self.close(conn);
        gateway.closed(now, conn);
    }

    /// Ends a connection.
    pub fn close(&mut self, conn: Conn) {
        self.held.remove(&conn);
        if let Some(connection) = self.connections.remove(&conn) {
            self.handle.remove(connection.token);
        }
    }

    /// Gives up connects that take too long.
    pub fn tick(&mut self, now: Ms, gateway: &mut Gateway) {
        if self.again.take_if(|again| now >= *again).is_some() {
            if let Some(wrong) = self.listener.as_ref().and_then(|token| self.handle.enable(token).err()) {
                log_line!("a link's listener: {wrong}");
            }
        }
        let late = |connection: &Connection| connection.dialling.filter(|(until, _)| now >= *until);
        let late: Vec<(Conn, usize)> =
            self.connections.iter().filter_map(|(conn, c)| late(c).map(|(_, n)| (*conn, n))).collect();
        for (conn, dialer) in late {
            self.close(conn);
            gateway.dial_failed(now, dialer);
        }
    }

    /// When `tick` is due.
    pub fn next(&self) -> Option<Ms> {
        let dialling = self.connections.values().filter_map(|c| c.dialling.map(|(until, _)| until));
        dialling.chain(self.again).reduce(f64::min)
    }
}
