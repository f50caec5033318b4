//! Reading requests, cancellations and readiness checks, with a bounded read budget for each client and turn.

use std::io;

use crate::event_handler::EventHandler;
use crate::policy_adapter::Ms;

use super::codec::{self, ClientMessage, Fields};
use super::connection::ConnectionPhase;
use super::protocol_error::ProtocolError;
use super::request::parse_request;
use super::writer::withdraw_request;
use super::{ClientEvent, ClientId, ClientStream, Downstreams};
use crate::buffers::BufferChain;

impl<W: EventHandler> Downstreams<W> {
    /// Reads what a client has sent, and writes pending output. Open requests of a client that has
    /// disconnected are reported as cancelled.
    pub fn read(&mut self, now: Ms, id: ClientId, events: &mut Vec<ClientEvent>) {
        self.read_turn(now, id, events);
        // The socket may be writable without another readiness event.
        self.flush(now, id, events);
    }

    fn read_turn(&mut self, now: Ms, id: ClientId, events: &mut Vec<ClientEvent>) {
        let mut has_unread_input = self.paused.remove(&id);
        let mut budget = self.limits.clients.max_read_bytes_per_turn;
        while let Some(client) = self.clients.get_mut(&id) {
            if client.phase == ConnectionPhase::Closing {
                return;
            }
            let output_is_full =
                client.is_open() && client.output.len() > self.limits.clients.max_unwritten_bytes;
            if output_is_full || budget == 0 || self.buffers.is_exhausted() {
                // Cancellations must still be found, so that cancelled requests are not forwarded.
                self.paused.insert(id);
                return self.scan_ahead(now, id, events);
            }
            if std::mem::take(&mut has_unread_input) {
                self.decode_input(now, id, events);
                continue;
            }
            let read = match client.input.read_from(&*client.stream) {
                Ok(0) => return self.remove(id, events),
                Ok(n) => n,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    client.last_read = now;
                    return;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => return self.remove(id, events),
            };
            budget = budget.saturating_sub(read);
            match &mut client.phase {
                ConnectionPhase::Lingering { bytes, .. } => {
                    client.input.consume(read);
                    *bytes = bytes.saturating_sub(read);
                    if *bytes == 0 {
                        return self.remove(id, events);
                    }
                }
                ConnectionPhase::Open | ConnectionPhase::Closing => self.decode_input(now, id, events),
            }
        }
    }

    /// Reads ahead from a paused client to detect a disconnect or cancellations; other input is buffered up
    /// to a limit. While buffers are exhausted, each client may still use one block.
    fn scan_ahead(&mut self, now: Ms, id: ClientId, events: &mut Vec<ClientEvent>) {
        let exhausted = self.buffers.is_exhausted();
        let max_input = if exhausted {
            self.limits.buffers.block_bytes
        } else {
            self.limits.clients.max_read_ahead_bytes
        };
        let Some(client) = self.clients.get_mut(&id).filter(|client| client.is_open()) else { return };
        client.last_read = now;
        if client.read_ahead(max_input) {
            return self.remove(id, events);
        }
        while let Some(head) =
            codec::peek_head(&client.input, client.scanned, self.limits.clients.max_frame_bytes)
        {
            client.scanned += head.length;
            if let Some(ticket) = head.cancels.and_then(|stream| client.open.remove(&stream)) {
                self.counts.withdrawn += u64::from(withdraw_request(ticket, events));
            }
        }
    }

    /// Checks a client for a disconnect or cancellations, unless it was read within the check interval.
    /// Called before something is sent for it, as a turn of the event loop may be long.
    pub fn check(&mut self, now: Ms, id: ClientId, events: &mut Vec<ClientEvent>) {
        let Some(client) = self.clients.get(&id) else { return };
        if now - client.last_read < self.limits.clients.check_interval_ms {
            return;
        }
        let before = client.input.len();
        self.scan_ahead(now, id, events);
        // Other messages are handled in the next turn of this client.
        if self.clients.get(&id).is_some_and(|client| client.input.len() > before) {
            self.paused.insert(id);
        }
    }

    /// Resumes reading from paused clients.
    pub fn read_paused(&mut self, now: Ms, events: &mut Vec<ClientEvent>) {
        self.relieve_buffers(now, events);
        if !self.buffers.is_exhausted() {
            for id in self.paused.clone() {
                self.read(now, id, events);
            }
        }
    }

    /// While buffers are exhausted, closes the clients with the longest partially received messages, those
    /// without any answered request first. Otherwise a few clients could keep all others from being read.
    fn relieve_buffers(&mut self, now: Ms, events: &mut Vec<ClientEvent>) {
        while self.buffers.is_exhausted() {
            let partial = self.clients.iter().filter(|(_, client)| client.partial_since.is_some());
            let longest = partial.max_by_key(|(_, client)| (!client.has_been_answered, client.input.len()));
            let Some(id) = longest.map(|(id, _)| *id) else { return };
            self.close_with_error(now, id, ProtocolError::PartialMessageWithoutBuffers, events);
        }
    }

    /// Whether a paused client can be read at once.
    pub fn has_readable_paused(&self) -> bool {
        let is_readable = |id| {
            let client = self.clients.get(id);
            client.is_some_and(|client| {
                !client.is_open() || client.output.len() <= self.limits.clients.max_unwritten_bytes
            })
        };
        !self.buffers.is_exhausted() && self.paused.iter().any(is_readable)
    }

    fn decode_input(&mut self, now: Ms, id: ClientId, events: &mut Vec<ClientEvent>) {
        while let Some(client) = self.clients.get_mut(&id).filter(|client| client.is_open()) {
            let message = match codec::decode(&mut client.input, self.limits.clients.max_frame_bytes) {
                Ok(Some(message)) => message,
                Ok(None) => {
                    client.scanned = 0;
                    let is_partial = !client.input.is_empty();
                    client.partial_since = is_partial.then(|| client.partial_since.unwrap_or(now));
                    return;
                }
                Err(error) => return self.close_with_error(now, id, error.into(), events),
            };
            client.partial_since = None;
            client.last_used = now;
            match message {
                ClientMessage::Request { stream, fields, body } => {
                    if let Err(error) = self.add_request(id, stream, &fields, body, events) {
                        return self.close_with_error(now, id, error, events);
                    }
                }
                ClientMessage::Cancel { stream } => {
                    let Some(ticket) = client.open.remove(&stream) else { continue };
                    self.counts.withdrawn += u64::from(withdraw_request(ticket, events));
                }
                ClientMessage::ReadinessCheck { stream } => {
                    client.has_been_answered = true;
                    let readiness = codec::encode_readiness(&self.buffers, stream, !self.draining);
                    client.output.append(readiness);
                }
            }
        }
    }

    /// Opens a request; an error means that the connection has to be closed.
    fn add_request(
        &mut self,
        id: ClientId,
        stream: u32,
        fields: &Fields,
        body: BufferChain,
        events: &mut Vec<ClientEvent>,
    ) -> Result<(), ProtocolError> {
        let Some(client) = self.clients.get_mut(&id) else { return Ok(()) };
        if !client.streams.insert(stream, self.limits.clients.max_streams_per_connection) {
            return Err(ProtocolError::StreamReused);
        }
        if client.open.len() >= self.limits.clients.max_streams_per_connection {
            return Err(ProtocolError::TooManyOpenRequests);
        }
        let client_stream = ClientStream { client: id, stream };
        self.last_ticket += 1;
        client.open.insert(stream, self.last_ticket);
        match parse_request(client_stream, fields, body, &self.limits) {
            Some(request) => events.push(ClientEvent::Request(self.last_ticket, Box::new(request))),
            None => events.push(ClientEvent::Invalid(client_stream)),
        }
        Ok(())
    }
}
