//! Accepting connections of clients, and evicting idle ones when there are too many.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use crate::event_handler::EventHandler;
use crate::log::log_line;
use crate::policy_adapter::Ms;
use crate::sockets;
use crate::system_error::is_out_of_descriptors;

use super::codec;
use super::connection::ClientConnection;
use super::protocol_error::ProtocolError;
use super::{ClientEvent, ClientId, Downstreams};

/// How to continue after a failed accept.
enum AfterAcceptError {
    AcceptNext,
    /// No connection is waiting.
    NoneWaiting,
    /// Disable the listener until the next sweep.
    Pause,
}

impl<W: EventHandler> Downstreams<W> {
    /// Listens at an address; returns the bound address, which differs from it for port 0.
    ///
    /// # Errors
    ///
    /// Errors of the system, for example an address in use.
    pub fn listen(&mut self, address: SocketAddr) -> io::Result<SocketAddr> {
        let listener = sockets::listen(address, self.limits.accept.backlog)?;
        let address = listener.local_addr()?;
        let token = sockets::register_listener(&self.handle, listener, W::accept_clients)?;
        self.listener = Some(token);
        Ok(address)
    }

    /// Accepts a bounded number of connections; returns false if no more can be accepted for now.
    ///
    /// Each is read at once, so that a connection with a request does not count as idle.
    pub fn accept(&mut self, now: Ms, listener: &TcpListener, events: &mut Vec<ClientEvent>) -> bool {
        self.accept_pending = true;
        // The descriptor reserve takes precedence over new clients.
        if !self.refill_reserve(now, events) && !self.clients.is_empty() {
            self.accept_paused = true;
            return false;
        }
        for _ in 0..self.limits.accept.max_per_turn {
            if self.clients.len() >= self.max_clients && !self.evict_idle(now, events) {
                self.accept_paused = true;
                return false;
            }
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(error) => match self.on_accept_error(now, &error) {
                    AfterAcceptError::AcceptNext => continue,
                    AfterAcceptError::NoneWaiting => {
                        self.accept_pending = false;
                        return true;
                    }
                    AfterAcceptError::Pause => {
                        self.accept_paused = true;
                        return false;
                    }
                },
            };
            match self.add_client(now, stream) {
                Ok(id) => self.read(now, id, events),
                Err(error) => log_line!(reason = %error, "registering an accepted client connection failed"),
            }
        }
        true
    }

    fn on_accept_error(&mut self, now: Ms, error: &io::Error) -> AfterAcceptError {
        match error.kind() {
            io::ErrorKind::WouldBlock => return AfterAcceptError::NoneWaiting,
            // The client closed the connection before it was accepted.
            io::ErrorKind::ConnectionAborted => return AfterAcceptError::AcceptNext,
            io::ErrorKind::Interrupted => return AfterAcceptError::AcceptNext,
            _ => {}
        }
        if is_out_of_descriptors(error) && !self.clients.is_empty() {
            // Fewer descriptors are available than configured: from now on idle clients are evicted for new
            // ones.
            if self.descriptors_short_since.is_none() {
                log_line!("accept: a client connection can't be accepted: {error}");
            }
            self.max_clients = self.clients.len();
            self.descriptors_short_since = Some(now);
            return AfterAcceptError::AcceptNext;
        }
        // Without the pause, the next accept would fail immediately and the event loop would spin.
        log_line!("accept: a client connection can't be accepted: {error}");
        AfterAcceptError::Pause
    }

    fn add_client(&mut self, now: Ms, stream: TcpStream) -> io::Result<ClientId> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        self.last_id += 1;
        let id = self.last_id;
        let stream = Rc::new(stream);
        let on_ready = move |handler: &mut W, readiness| handler.on_client_ready(id, readiness);
        let token = sockets::register_stream(&self.handle, &stream, on_ready)?;
        let mut client = ClientConnection::new(stream, token, &self.buffers, now);
        if self.draining {
            client.output.append(codec::encode_go_away(&self.buffers));
        }
        self.clients.insert(id, client);
        self.counts.accepted += 1;
        Ok(id)
    }

    /// Closes an idle connection to free its descriptor: preferably one that is closing, then one without any
    /// answered request, then the one that has been idle longest. A connection with a partially received
    /// message is chosen last, and gets an error. Returns false if no connection was freed.
    ///
    /// Connections that were just accepted or answered are spared, since their next request may be in
    /// transit. The chosen connection is read first, so that a request that has arrived is not lost.
    fn evict_idle(&mut self, now: Ms, events: &mut Vec<ClientEvent>) -> bool {
        loop {
            let Some(id) = self.eviction_candidate(now) else { return false };
            self.read(now, id, events);
            let Some(client) = self.clients.get(&id) else { return true };
            if !self.may_be_evicted(now, &id, client) {
                continue;
            }
            self.counts.evicted += 1;
            if client.partial_since.is_some() {
                // Its descriptor is freed only after the error was written and the linger time is over.
                self.close_with_error(now, id, ProtocolError::PartialMessageEvicted, events);
                return false;
            }
            self.remove(id, events);
            return true;
        }
    }

    fn eviction_candidate(&self, now: Ms) -> Option<ClientId> {
        let priority = |client: &ClientConnection| {
            (client.partial_since.is_some(), client.is_open(), client.has_been_answered)
        };
        let candidates = self.clients.iter().filter(|(id, client)| self.may_be_evicted(now, id, client));
        let candidate = candidates
            .min_by(|(_, a), (_, b)| priority(a).cmp(&priority(b)).then(a.last_used.total_cmp(&b.last_used)));
        candidate.map(|(id, _)| *id)
    }

    /// Evicts a bounded number of idle connections until the descriptor reserve is complete; returns whether
    /// it is.
    pub(super) fn refill_reserve(&mut self, now: Ms, events: &mut Vec<ClientEvent>) -> bool {
        let mut closed = 0;
        while !self.reserve.refill() {
            if closed == self.limits.accept.max_per_turn || !self.evict_idle(now, events) {
                return false;
            }
            closed += 1;
        }
        true
    }

    /// Whether a connection has been idle for the eviction grace period, in which a request may be in
    /// transit.
    fn may_be_evicted(&self, now: Ms, id: &ClientId, client: &ClientConnection) -> bool {
        let spared_since = now - self.limits.clients.eviction_grace_ms;
        let unread = client.is_open() && self.has_unread_input(*id);
        let partial_is_old = client.partial_since.is_none_or(|since| since <= spared_since);
        client.is_idle() && !unread && client.last_used <= spared_since && partial_is_old
    }
}
