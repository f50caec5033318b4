//! Graceful shutdown of clients' connections.

use std::net::Shutdown;

use crate::event_handler::EventHandler;
use crate::policy_adapter::Ms;
use crate::turn::ConnectionKind;

use super::codec;
use super::connection::ClientConnection;
use super::protocol_error::ProtocolError;
use super::{ClientEvent, ClientId, Downstreams};

impl<W: EventHandler> Downstreams<W> {
    /// Sends every client, also those accepted later, a go-away: it should send no new requests.
    pub fn begin_drain(&mut self, now: Ms, events: &mut Vec<ClientEvent>) {
        self.draining = true;
        let ids: Vec<ClientId> = self.clients.keys().copied().collect();
        for id in ids {
            if let Some(client) = self.clients.get_mut(&id).filter(|client| client.is_open()) {
                client.output.append(codec::encode_go_away(&self.buffers));
            }
            self.flush(now, id, events);
        }
    }

    /// Whether every answer is written, no client is waiting to be accepted or read, and no message is
    /// partially received.
    pub fn has_no_pending_work(&self) -> bool {
        let has_no_pending_work =
            |client: &ClientConnection| client.output.is_empty() && client.partial_since.is_none();
        let has_ready = |kind| self.ready.has_any(kind);
        let is_ready = has_ready(ConnectionKind::NewClient) || has_ready(ConnectionKind::Client);
        let is_read = self.paused.is_empty() && self.retries.is_empty() && !is_ready;
        !self.accept_pending && is_read && self.clients.values().all(has_no_pending_work)
    }

    /// Reads all received input, from every client.
    pub fn read_all(&mut self, now: Ms, events: &mut Vec<ClientEvent>) {
        for id in self.sorted_ids() {
            self.read(now, id, events);
        }
    }

    /// Starts to close the connections without open requests: the remaining output is written, and further
    /// input is discarded after that, since a reset could lose the last answers. A client that has sent a part
    /// of a message may finish it.
    pub fn close_finished(&mut self, now: Ms, events: &mut Vec<ClientEvent>) {
        for id in self.sorted_ids() {
            if !self.is_finished(id) {
                continue;
            }
            // What has arrived since the last turn may be a request, or a part of one.
            self.read(now, id, events);
            if self.is_finished(id) {
                self.close_gracefully(now, id, events);
            }
        }
    }

    /// Whether a connection is open without open requests, unread input, or a partially received message.
    fn is_finished(&self, id: ClientId) -> bool {
        let Some(client) = self.clients.get(&id) else { return false };
        let has_no_request = client.open.is_empty() && client.partial_since.is_none();
        client.is_open() && has_no_request && !self.has_unread_input(id)
    }

    /// Shuts down the remaining connections; a client with a partially received message is sent an error.
    pub fn close_all(&mut self, now: Ms, events: &mut Vec<ClientEvent>) {
        for id in self.sorted_ids() {
            if self.clients.get(&id).is_some_and(|client| client.partial_since.is_some()) {
                self.close_with_error(now, id, ProtocolError::PartialMessageAtShutdown, events);
            }
            self.close_gracefully(now, id, events);
            if let Some(client) = self.clients.get(&id) {
                // The shutdown fails if the client has closed the connection; that is not an error here.
                let _ = client.stream.shutdown(Shutdown::Write);
            }
        }
    }

    /// Whether a client may have sent more than was read.
    pub(super) fn has_unread_input(&self, id: ClientId) -> bool {
        let client = self.clients.get(&id);
        let is_ready = client.is_some_and(|client| self.ready.contains(client.kind(), id));
        is_ready || self.paused.contains(&id) || self.retries.contains(id)
    }

    pub(super) fn sorted_ids(&self) -> Vec<ClientId> {
        let mut ids: Vec<ClientId> = self.clients.keys().copied().collect();
        ids.sort_unstable();
        ids
    }
}
