//! Accepting connections of clients, and closing idle ones where there are too many.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use crate::descriptors::is_out_of_descriptors;
use crate::event_handler::EventHandler;
use crate::log::log_line;
use crate::policy_adapter::Ms;
use crate::sockets;

use super::codec;
use super::connection::ClientConnection;
use super::protocol_error::ProtocolError;
use super::{ClientEvent, ClientId, Downstreams};

/// What follows an accept that failed.
enum AfterAcceptError {
    AcceptNext,
    /// All that waited were accepted.
    NoneWaits,
    /// The listener is disabled until the next sweep.
    Pause,
}

impl<W: EventHandler> Downstreams<W> {
    /// Listens at an address; the one that it got is returned, since port 0 stands for any.
    ///
    /// # Errors
    ///
    /// Errors of the system, among them an address in use.
    pub fn listen(&mut self, address: SocketAddr) -> io::Result<SocketAddr> {
        let listener = sockets::listen(address, self.limits.accept.backlog)?;
        let address = listener.local_addr()?;
        let token = sockets::register_listener(&self.handle, listener, W::accept_clients)?;
        self.listener = Some(token);
        Ok(address)
    }

    /// Accepts a bounded number of connections; false where no more can be accepted for now.
    ///
    /// Each is read at once, so that one with a request is not taken for an idle one.
    pub fn accept(&mut self, now: Ms, listener: &TcpListener, events: &mut Vec<ClientEvent>) -> bool {
        self.accept_pending = true;
        // The reserve of descriptors is refilled first.
        if !self.refill_reserve(now, events) && !self.clients.is_empty() {
            self.accept_paused = true;
            return false;
        }
        for _ in 0..self.limits.accept.max_per_turn {
            if self.clients.len() >= self.max_clients && !self.displace_idle(now, events) {
                self.accept_paused = true;
                return false;
            }
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(error) => match self.on_accept_error(now, &error) {
                    AfterAcceptError::AcceptNext => continue,
                    AfterAcceptError::NoneWaits => {
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
                Err(error) => log_line!(reason = %error, "a client could not be taken in"),
            }
        }
        true
    }

    fn on_accept_error(&mut self, now: Ms, error: &io::Error) -> AfterAcceptError {
        match error.kind() {
            io::ErrorKind::WouldBlock => return AfterAcceptError::NoneWaits,
            // The client has closed the connection before it was accepted.
            io::ErrorKind::ConnectionAborted => return AfterAcceptError::AcceptNext,
            io::ErrorKind::Interrupted => return AfterAcceptError::AcceptNext,
            _ => {}
        }
        if is_out_of_descriptors(error) && !self.clients.is_empty() {
            // There are fewer descriptors than configured: from here on idle clients are closed for new ones.
            if self.short_since.is_none() {
                log_line!("accept: {error}");
            }
            self.max_clients = self.clients.len();
            self.short_since = Some(now);
            return AfterAcceptError::AcceptNext;
        }
        // Without the pause the next accept would fail at once, and the loop would spin.
        log_line!("accept: {error}");
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

    /// Closes the least useful idle connection: one that is closing, one that never asked anything, or the one that has
    /// been idle for longest. One with an incomplete message comes last, and is answered with an error. False where none
    /// may be closed.
    ///
    /// Connections that were just accepted or answered are spared, since their request may be on its way. What has arrived
    /// from the chosen one is read first: a close would leave it without an answer.
    fn displace_idle(&mut self, now: Ms, events: &mut Vec<ClientEvent>) -> bool {
        loop {
            let Some(id) = self.least_useful_idle(now) else { return false };
            self.read(now, id, events);
            let Some(client) = self.clients.get(&id) else { return true };
            if !self.may_be_displaced(now, &id, client) {
                continue;
            }
            self.counts.displaced += 1;
            if client.partial_since.is_some() {
                // Its descriptor is free only after it had the time to take the error.
                self.break_off(now, id, ProtocolError::PartialMessageDisplaced, events);
                return false;
            }
            self.remove(id, events);
            return true;
        }
    }

    fn least_useful_idle(&self, now: Ms) -> Option<ClientId> {
        let usefulness =
            |client: &ClientConnection| (client.partial_since.is_some(), client.is_open(), client.proven);
        let candidates = self.clients.iter().filter(|(id, client)| self.may_be_displaced(now, id, client));
        let least_useful = candidates.min_by(|(_, a), (_, b)| {
            usefulness(a).cmp(&usefulness(b)).then(a.last_used.total_cmp(&b.last_used))
        });
        least_useful.map(|(id, _)| *id)
    }

    /// Closes a bounded number of idle connections until the reserve of descriptors is complete; whether it is.
    pub(super) fn refill_reserve(&mut self, now: Ms, events: &mut Vec<ClientEvent>) -> bool {
        let mut closed = 0;
        while !self.reserve.refill() {
            if closed == self.limits.accept.max_per_turn || !self.displace_idle(now, events) {
                return false;
            }
            closed += 1;
        }
        true
    }

    /// Whether it has been idle for as long as a request of it may take to arrive.
    fn may_be_displaced(&self, now: Ms, id: &ClientId, client: &ClientConnection) -> bool {
        let spared_since = now - self.limits.clients.displacement_grace_ms;
        let unread = client.is_open() && self.paused.contains(id);
        let partial_is_old = client.partial_since.is_none_or(|since| since <= spared_since);
        client.is_idle() && !unread && client.last_used <= spared_since && partial_is_old
    }
}
