//! Accepting connections of clients, and evicting idle ones when there are too many.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use crate::descriptors;
use crate::event_handler::EventHandler;
use crate::log::log_line;
use crate::permission::CloseReason;
use crate::policy_adapter::Ms;
use crate::retry_queue::RETRY_PAUSE_MS;
use crate::sockets;
use crate::system_error::{is_out_of_descriptors, source_of_accept_error, AcceptErrorSource};
use crate::turn::READABLE;

use super::codec;
use super::connection::ClientConnection;
use super::protocol_error::ProtocolError;
use super::{ClientEvent, ClientId, Downstreams};

/// The number of accepts that may fail in a row before the listener rests.
const MAX_FAILED_CALLS: usize = 8;

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
    /// Each counts as ready until it is read, so that a connection with a request does not count as idle.
    pub fn accept(&mut self, now: Ms, listener: &TcpListener, events: &mut Vec<ClientEvent>) -> bool {
        self.accept_pending = true;
        self.backlog_since.get_or_insert(self.earliest_arrival.min(now));
        // The descriptor reserve takes precedence over new clients.
        let is_short = !self.refill_reserve(now, events) && self.shortage.is_present(now);
        if is_short && !self.clients.is_empty() {
            self.backlog_since = None;
            return self.pause_accepting(now, RETRY_PAUSE_MS);
        }
        let (mut failed_calls, mut last_error) = (0, None);
        for _ in 0..self.limits.accept.max_per_turn {
            if self.clients.len() >= self.limits.clients.max_connections && !self.evict_idle(now, events) {
                self.backlog_since = None;
                return self.pause_accepting(now, self.limits.clients.sweep_interval_ms);
            }
            let error = match listener.accept() {
                Ok((stream, _)) => {
                    (failed_calls, last_error) = (0, None);
                    self.shortage.record_success();
                    let id = self.add_client(now, stream);
                    self.mark_ready(now, id, READABLE);
                    continue;
                }
                Err(error) => error,
            };
            match source_of_accept_error(&error) {
                AcceptErrorSource::NoneWaiting => {
                    self.accept_pending = false;
                    self.backlog_since = None;
                    return true;
                }
                AcceptErrorSource::Client => {}
                AcceptErrorSource::Local => {
                    self.counts.repeated_calls += 1;
                    if is_out_of_descriptors(&error) {
                        _ = self.make_room(now, events);
                        self.backlog_since.take_if(|_| self.shortage.is_present(now));
                    }
                    last_error = Some(error);
                    failed_calls += 1;
                    if failed_calls == MAX_FAILED_CALLS {
                        break;
                    }
                }
            }
        }
        match last_error {
            Some(error) => {
                log_line!("accept: a client connection can't be accepted: {error}");
                self.pause_accepting(now, RETRY_PAUSE_MS)
            }
            None => true,
        }
    }

    /// Without a pause, the event loop would spin while nothing can be accepted.
    fn pause_accepting(&mut self, now: Ms, pause: Ms) -> bool {
        self.accept_again_at = Some(now + pause);
        false
    }

    /// Evicts an idle client for others, if descriptors are short; returns whether it did.
    fn make_room(&mut self, now: Ms, events: &mut Vec<ClientEvent>) -> bool {
        let is_short = self.shortage.record_failure(now, descriptors::are_all_in_use());
        let has_room = is_short && self.evict_idle(now, events);
        if has_room {
            self.shortage.record_success();
        }
        has_room
    }

    /// Enables the listener again once its pause is over.
    pub(super) fn resume_accepting(&mut self, now: Ms) {
        if self.accept_again_at.is_none_or(|due| now < due) {
            return;
        }
        self.accept_again_at = None;
        let Some(token) = &self.listener else { return };
        if let Err(error) = self.handle.enable(token) {
            log_line!(reason = %error, "enabling the listener for clients again failed");
            self.accept_again_at = Some(now + RETRY_PAUSE_MS);
        }
    }

    /// Adds an accepted connection. It may hold a request already, so that no error drops it.
    fn add_client(&mut self, now: Ms, stream: TcpStream) -> ClientId {
        self.last_id += 1;
        let id = self.last_id;
        let mut client = ClientConnection::new(Rc::new(stream), &self.buffers, now);
        client.unread_since = self.backlog_since;
        if self.draining {
            client.output.append(codec::encode_go_away(&self.buffers));
        }
        self.clients.insert(id, client);
        self.counts.accepted += 1;
        self.register(now, id);
        id
    }

    /// Prepares the socket of a connection and registers it with the event loop. What fails is tried again later.
    pub(super) fn register(&mut self, now: Ms, id: ClientId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let on_ready = move |handler: &mut W, readiness| handler.on_client_ready(id, readiness);
        if let Err(error) = client.register(&self.handle, on_ready) {
            log_line!(client = id, reason = %error, "registering a client connection failed");
            self.retries.insert(now, id);
        }
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
            self.remove(id, CloseReason::Evicted, events);
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

    /// Completes the descriptor reserve; returns whether it is complete. If descriptors are short, idle
    /// connections are evicted for it, a bounded number of them.
    pub(super) fn refill_reserve(&mut self, now: Ms, events: &mut Vec<ClientEvent>) -> bool {
        for _ in 0..self.limits.accept.max_per_turn {
            if self.reserve.refill() {
                return true;
            }
            if !self.make_room(now, events) {
                return false;
            }
        }
        false
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
