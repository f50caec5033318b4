//! Graceful shutdown of clients' connections.

use std::net::Shutdown;

use crate::event_handler::EventHandler;
use crate::policy_adapter::Ms;

use super::codec;
use super::connection::{ClientConnection, ConnectionPhase};
use super::protocol_error::ProtocolError;
use super::{ClientEvent, ClientId, Downstreams};

impl<W: EventHandler> Downstreams<W> {
    /// From here on every client, also one that is accepted later, is asked to send nothing new.
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

    /// Whether every answer has been written, and no client waits to be accepted or read, or has sent a part of a message.
    pub fn is_settled(&self) -> bool {
        let is_settled =
            |client: &ClientConnection| client.output.is_empty() && client.partial_since.is_none();
        !self.accept_pending && self.paused.is_empty() && self.clients.values().all(is_settled)
    }

    /// Reads all that has arrived, from every client.
    pub fn read_all(&mut self, now: Ms, events: &mut Vec<ClientEvent>) {
        for id in self.sorted_ids() {
            self.read(now, id, events);
        }
    }

    /// Closes the connections without open requests: the rest of the output is written, and what the client still sends is
    /// discarded, since a reset would discard the last answers. A client that has sent a part of a message may finish it.
    pub fn close_finished(&mut self, now: Ms, events: &mut Vec<ClientEvent>) {
        let is_finished = |client: &ClientConnection| {
            client.is_open() && client.open.is_empty() && client.partial_since.is_none()
        };
        let mut ids = self.sorted_ids();
        ids.retain(|id| self.clients.get(id).is_some_and(is_finished) && !self.paused.contains(id));
        for id in ids {
            if let Some(client) = self.clients.get_mut(&id) {
                client.phase = ConnectionPhase::Closing;
            }
            self.flush(now, id, events);
        }
    }

    /// Closes the remaining connections; a client with an incomplete message is sent an error.
    pub fn close_all(&mut self, now: Ms, events: &mut Vec<ClientEvent>) {
        for id in self.sorted_ids() {
            if self.clients.get(&id).is_some_and(|client| client.partial_since.is_some()) {
                self.break_off(now, id, ProtocolError::PartialMessageAtShutdown, events);
            }
            if let Some(client) = self.clients.get(&id) {
                // The shutdown fails where the client has ended the connection.
                let _ = client.stream.shutdown(Shutdown::Write);
            }
        }
    }

    fn sorted_ids(&self) -> Vec<ClientId> {
        let mut ids: Vec<ClientId> = self.clients.keys().copied().collect();
        ids.sort_unstable();
        ids
    }
}
