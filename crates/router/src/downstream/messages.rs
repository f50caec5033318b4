//! Handling the messages of clients.

use crate::buffers::BufferChain;
use crate::event_handler::EventHandler;
use crate::policy_adapter::{Ms, Ticket};
use crate::turn::WorkBudget;

use super::closing::withdraw_request;
use super::codec::{self, ClientMessage, Fields};
use super::protocol_error::ProtocolError;
use super::request::parse_request;
use super::{ClientEvent, ClientId, ClientStream, Downstreams};

impl<W: EventHandler> Downstreams<W> {
    /// Handles the messages that were read, as far as the budget goes.
    pub(super) fn handle_input(
        &mut self,
        now: Ms,
        id: ClientId,
        budget: &mut WorkBudget,
        events: &mut Vec<ClientEvent>,
    ) {
        while let Some(client) = self.clients.get_mut(&id).filter(|client| client.is_open()) {
            if budget.is_spent() {
                return;
            }
            let unread_bytes = client.input.len();
            let message = match client.next_message(self.limits.clients.max_frame_bytes) {
                Ok(Some(message)) => message,
                Ok(None) => {
                    client.note_partial_input(now);
                    return self.discard_partial_messages();
                }
                Err(error) => return self.close_with_error(now, id, error.into(), events),
            };
            let frame_bytes = unread_bytes - client.input.len();
            client.note_message(now, frame_bytes);
            self.spend_message(budget, &message, frame_bytes);
            self.promote(id);
            if let Err(error) = self.handle_message(now, id, message, events) {
                return self.close_with_error(now, id, error, events);
            }
        }
    }

    /// Counts the work of a message.
    fn spend_message(&self, budget: &mut WorkBudget, message: &ClientMessage, frame_bytes: usize) {
        budget.spend_message();
        let ClientMessage::Request { body, .. } = message else { return };
        let field_bytes = frame_bytes.saturating_sub(body.len());
        budget.spend_bytes(field_bytes * self.limits.turn.field_byte_cost);
        // It is passed on, too.
        budget.spend_bytes(body.len());
    }

    /// Lets a client count as one that is known, from its first message on.
    fn promote(&mut self, id: ClientId) {
        let Some(client) = self.clients.get_mut(&id).filter(|client| client.is_new) else { return };
        client.is_new = false;
        self.ready.promote_client(id);
    }

    /// Handles a message; an error means that the connection has to be closed.
    fn handle_message(
        &mut self,
        now: Ms,
        id: ClientId,
        message: ClientMessage,
        events: &mut Vec<ClientEvent>,
    ) -> Result<(), ProtocolError> {
        match message {
            ClientMessage::Request { stream, fields, body } => {
                let ticket = self.open_request(id, stream)?;
                let stream = ClientStream { client: id, stream };
                events.push(self.request_event(now, ticket, stream, &fields, body));
            }
            ClientMessage::DiscardedRequest { stream } => {
                let ticket = self.open_request(id, stream)?;
                events.push(ClientEvent::Discarded(ticket, ClientStream { client: id, stream }));
            }
            ClientMessage::Cancel { stream } => {
                self.cancel_request(ClientStream { client: id, stream }, events)
            }
            ClientMessage::ReadinessCheck { stream } => {
                self.answer_readiness_check(ClientStream { client: id, stream });
            }
        }
        Ok(())
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
        // The input behind it may hold its cancellation, which had no effect before.
        client.scanned = 0;
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
        let arrival = self.earliest_arrival.min(now);
        request.arrived_at = Some(arrival);
        if let Some(client) = self.clients.get_mut(&stream.client) {
            request.arrived_at = Some(client.earliest_arrival(arrival));
            let until = now + request.spec.budget + self.limits.requests.network_allowance_ms;
            client.answers_awaited_until = client.answers_awaited_until.max(until);
        }
        ClientEvent::Request(ticket, Box::new(request))
    }

    /// Cancels a request, if it is open.
    fn cancel_request(&mut self, stream: ClientStream, events: &mut Vec<ClientEvent>) {
        let client = self.clients.get_mut(&stream.client);
        let Some(ticket) = client.and_then(|client| client.open.remove(&stream.stream)) else { return };
        self.counts.withdrawn += u64::from(withdraw_request(ticket, events));
    }

    /// Answers whether this router takes requests.
    fn answer_readiness_check(&mut self, stream: ClientStream) {
        let Some(client) = self.clients.get_mut(&stream.client) else { return };
        client.has_been_answered = true;
        let readiness = codec::encode_readiness(&self.buffers, stream.stream, !self.draining);
        client.output.append(readiness);
    }

    /// While buffers are short, discards partially received messages that need several blocks: those of clients
    /// without any answer before the others, and the oldest first. Otherwise a few clients that send slowly
    /// could keep the buffers from all others. A request is rejected once the rest of it has arrived.
    pub(super) fn discard_partial_messages(&mut self) {
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
}
