//! Reading requests, cancellations and readiness checks, with a bounded read budget for each client and turn.

use std::io;

use crate::event_handler::EventHandler;
use crate::permission::CloseReason;
use crate::policy_adapter::{Ms, Ticket};

use super::closing::withdraw_request;
use super::codec::{self, ClientMessage, Fields};
use super::connection::{ConnectionPhase, ReadAheadEnd};
use super::protocol_error::ProtocolError;
use super::request::parse_request;
use super::{ClientEvent, ClientId, ClientStream, Downstreams};
use crate::buffers::BufferChain;
use crate::system_error::is_interrupted;

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
            if matches!(client.phase, ConnectionPhase::Closing { .. }) {
                return;
            }
            let output_is_full =
                client.is_open() && client.output.len() > self.limits.clients.max_unwritten_bytes;
            if output_is_full || budget == 0 {
                // Cancellations must still be found, so that cancelled requests are not forwarded.
                self.paused.insert(id);
                if !output_is_full {
                    client.unread_since.get_or_insert(self.earliest_arrival.min(now));
                }
                return self.scan_ahead(now, id, events);
            }
            if std::mem::take(&mut has_unread_input) {
                self.decode_input(now, id, events);
                continue;
            }
            let read = match client.input.read_from(&*client.stream) {
                Ok(0) => return self.remove(id, CloseReason::ClosedByClient, events),
                Ok(n) => n,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    client.last_read = now;
                    client.unread_since = None;
                    return;
                }
                Err(error) if is_interrupted(&error) => continue,
                Err(error) => return self.on_transfer_error(now, id, &error, events),
            };
            budget = budget.saturating_sub(read);
            match &mut client.phase {
                ConnectionPhase::Lingering { bytes, .. } => {
                    client.input.consume(read);
                    *bytes = bytes.saturating_sub(read);
                    if *bytes == 0 {
                        return self.remove(id, CloseReason::Finished, events);
                    }
                }
                ConnectionPhase::Open | ConnectionPhase::Closing { .. } => {
                    self.decode_input(now, id, events);
                }
            }
        }
    }

    /// Reads ahead from a paused client to detect a disconnect or cancellations; other input is buffered up
    /// to a limit. While buffers are short, each client may still use one block.
    fn scan_ahead(&mut self, now: Ms, id: ClientId, events: &mut Vec<ClientEvent>) {
        let max_input = if self.buffers.is_short() {
            self.limits.buffers.block_bytes
        } else {
            self.limits.clients.max_read_ahead_bytes
        };
        let Some(client) = self.clients.get_mut(&id).filter(|client| client.is_open()) else { return };
        client.last_read = now;
        match client.read_ahead(max_input) {
            ReadAheadEnd::Connected => {}
            ReadAheadEnd::Disconnected => return self.remove(id, CloseReason::ClosedByClient, events),
            ReadAheadEnd::Repeat => self.retries.insert(now, id),
        }
        let Some(client) = self.clients.get_mut(&id) else { return };
        let max_frame = self.limits.clients.max_frame_bytes;
        while let Ok(Some(head)) = codec::decode_head(&client.input, client.scanned, max_frame) {
            client.scanned += head.length;
            if let Some(ticket) = head.cancels().and_then(|stream| client.open.remove(&stream)) {
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

    /// Repeats the reads and writes that failed by errors of this machine.
    pub(super) fn retry_transfers(&mut self, now: Ms, events: &mut Vec<ClientEvent>) {
        for id in self.retries.take_due(now) {
            self.register(now, id);
            self.read(now, id, events);
        }
    }

    /// Resumes reading from paused clients.
    pub fn read_paused(&mut self, now: Ms, events: &mut Vec<ClientEvent>) {
        self.discard_partial_messages();
        for id in self.paused.clone() {
            self.read(now, id, events);
        }
    }

    /// While buffers are short, discards partially received messages that need several blocks: those of clients
    /// without any answer before the others, and the oldest first. Otherwise a few clients that send slowly
    /// could keep the buffers from all others. A request is rejected once the rest of it has arrived.
    fn discard_partial_messages(&mut self) {
        let block_bytes = self.limits.buffers.block_bytes;
        let max_frame = self.limits.clients.max_frame_bytes;
        while self.buffers.is_short() {
            let clients = self.clients.values_mut();
            let large = clients.filter(|client| client.is_receiving_more_than(block_bytes, max_frame));
            let oldest = large.min_by(|a, b| {
                let answered = a.has_been_answered.cmp(&b.has_been_answered);
                answered.then(a.receiving_since().total_cmp(&b.receiving_since()))
            });
            if oldest.is_none_or(|client| client.discard_frame(max_frame).is_err()) {
                return;
            }
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
        self.paused.iter().any(is_readable)
    }

    fn decode_input(&mut self, now: Ms, id: ClientId, events: &mut Vec<ClientEvent>) {
        while let Some(client) = self.clients.get_mut(&id).filter(|client| client.is_open()) {
            let max_frame = self.limits.clients.max_frame_bytes;
            let message = match client.next_message(max_frame) {
                Ok(Some(message)) => message,
                Ok(None) => {
                    client.scanned = 0;
                    let is_partial = client.has_partial_message();
                    client.partial_since = is_partial.then(|| client.partial_since.unwrap_or(now));
                    return self.discard_partial_messages();
                }
                Err(error) => return self.close_with_error(now, id, error.into(), events),
            };
            client.partial_since = None;
            client.last_used = now;
            match message {
                ClientMessage::Request { stream, fields, body } => match self.open_request(id, stream) {
                    Ok(ticket) => {
                        let stream = ClientStream { client: id, stream };
                        events.push(self.request_event(now, ticket, stream, &fields, body));
                    }
                    Err(error) => return self.close_with_error(now, id, error, events),
                },
                ClientMessage::DiscardedRequest { stream } => match self.open_request(id, stream) {
                    Ok(ticket) => {
                        events.push(ClientEvent::Discarded(ticket, ClientStream { client: id, stream }));
                    }
                    Err(error) => return self.close_with_error(now, id, error, events),
                },
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

    /// Opens a request on a stream; an error means that the connection has to be closed.
    fn open_request(&mut self, id: ClientId, stream: u32) -> Result<Ticket, ProtocolError> {
        let max_streams = self.limits.clients.max_streams_per_connection;
        self.last_ticket += 1;
        let Some(client) = self.clients.get_mut(&id) else { return Ok(self.last_ticket) };
        if !client.streams.insert(stream, max_streams) {
            return Err(ProtocolError::StreamReused);
        }
        if client.open.len() >= max_streams {
            return Err(ProtocolError::TooManyOpenRequests);
        }
        client.open.insert(stream, self.last_ticket);
        Ok(self.last_ticket)
    }

    /// The event of a request that was opened on a stream.
    fn request_event(
        &mut self,
        now: Ms,
        ticket: Ticket,
        stream: ClientStream,
        fields: &Fields,
        body: BufferChain,
    ) -> ClientEvent {
        let Some(mut request) = parse_request(stream, fields, body, &self.limits) else {
            return ClientEvent::Invalid(stream);
        };
        let unread_since = self.clients.get(&stream.client).and_then(|client| client.unread_since);
        request.arrived_at = Some(unread_since.into_iter().fold(self.earliest_arrival.min(now), Ms::min));
        if let Some(client) = self.clients.get_mut(&stream.client) {
            let until = now + request.spec.budget + self.limits.requests.network_allowance_ms;
            client.answers_awaited_until = client.answers_awaited_until.max(until);
        }
        ClientEvent::Request(ticket, Box::new(request))
    }
}
