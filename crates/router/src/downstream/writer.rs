//! Writing answers to clients, and closing their connections.

use std::collections::HashSet;
use std::io;
use std::net::Shutdown;

use crate::buffers::BufferChain;
use crate::event_handler::EventHandler;
use crate::log::log_line;
use crate::policy_adapter::{Ms, Ticket};

use super::codec::{self, AnswerCode};
use super::connection::ConnectionPhase;
use super::protocol_error::ProtocolError;
use super::{ClientEvent, ClientId, ClientStream, Downstreams};

impl<W: EventHandler> Downstreams<W> {
    /// Queues the one final answer to a request, unless its client has cancelled it.
    pub fn answer(
        &mut self,
        stream: ClientStream,
        code: AnswerCode,
        fields: &[(&str, &str)],
        body: BufferChain,
    ) {
        let Some(client) = self.clients.get_mut(&stream.client) else { return };
        if client.open.remove(&stream.stream).is_some() {
            client.has_been_answered = true;
            let answer = codec::encode_answer(&self.buffers, stream.stream, code, fields, body);
            client.output.append(answer);
        }
    }

    /// Answers an invalid request as failed. A client that sends too many of them is closed, since it may do
    /// so at full speed.
    pub fn reject_invalid(&mut self, now: Ms, stream: ClientStream, events: &mut Vec<ClientEvent>) {
        let Some(client) = self.clients.get_mut(&stream.client) else { return };
        if client.open.remove(&stream.stream).is_none() {
            return;
        }
        client.invalid_requests += 1;
        let body = BufferChain::new(&self.buffers);
        let answer = codec::encode_answer(&self.buffers, stream.stream, AnswerCode::Failed, &[], body);
        client.output.append(answer);
        if client.invalid_requests >= self.limits.clients.max_invalid_requests {
            self.close_with_error(now, stream.client, ProtocolError::TooManyInvalidRequests, events);
        }
    }

    /// Writes queued output until the socket would block. A closing connection starts to linger once all is
    /// written.
    pub fn flush(&mut self, now: Ms, id: ClientId, events: &mut Vec<ClientEvent>) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        while !client.output.is_empty() {
            match client.output.write_to(&*client.stream) {
                Ok(_) => client.last_used = now,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.remove(id, events),
            }
        }
        if client.phase == ConnectionPhase::Closing {
            // The shutdown fails if the client has closed the connection.
            if client.stream.shutdown(Shutdown::Write).is_err() {
                return self.remove(id, events);
            }
            let until = now + self.limits.clients.linger_timeout_ms;
            client.phase = ConnectionPhase::Lingering { until, bytes: self.limits.clients.max_linger_bytes };
            self.read(now, id, events);
        }
    }

    /// Closes a connection after a protocol error: its open requests are answered as failed and reported as
    /// cancelled, and the client is sent the reason.
    pub(super) fn close_with_error(
        &mut self,
        now: Ms,
        id: ClientId,
        error: ProtocolError,
        events: &mut Vec<ClientEvent>,
    ) {
        let Some(client) = self.clients.get_mut(&id).filter(|client| client.is_open()) else { return };
        self.counts.malformed += 1;
        log_line!(
            client = id,
            reason = %error,
            open = client.open.len(),
            partial_ms = client.partial_since.map_or(0.0, |since| now - since).round(),
            frame_bytes = client.partial_frame_bytes(self.limits.clients.max_frame_bytes).unwrap_or_default(),
            read_bytes = client.input.len(),
            unread_bytes = rustix::io::ioctl_fionread(&*client.stream).unwrap_or_default(),
            buffers = self.buffers.in_use(),
            "closing a client's connection with an error"
        );
        client.phase = ConnectionPhase::Closing;
        client.partial_since = None;
        client.input = BufferChain::new(&self.buffers);
        let mut streams: Vec<u32> = client.open.keys().copied().collect();
        streams.sort_unstable();
        for stream in streams {
            let body = BufferChain::new(&self.buffers);
            let answer = codec::encode_answer(&self.buffers, stream, AnswerCode::Failed, &[], body);
            client.output.append(answer);
        }
        let body = BufferChain::from_bytes(&self.buffers, error.to_string().as_bytes());
        client.output.append(codec::encode_answer(&self.buffers, 0, AnswerCode::Failed, &[], body));
        let open: HashSet<Ticket> = client.open.drain().map(|(_, ticket)| ticket).collect();
        cancel_requests(open, events);
        self.flush(now, id, events);
    }

    /// Closes and removes a connection; its open requests are reported as cancelled.
    pub(super) fn remove(&mut self, id: ClientId, events: &mut Vec<ClientEvent>) {
        let Some(client) = self.clients.remove(&id) else { return };
        self.paused.remove(&id);
        self.handle.remove(client.token);
        cancel_requests(client.open.into_values().collect(), events);
    }
}

/// Cancels one request; returns true if it was withdrawn from `events`, so that it is never handled.
pub(super) fn withdraw_request(ticket: Ticket, events: &mut Vec<ClientEvent>) -> bool {
    let Some(position) = events.iter().rposition(|event| event.opened_request() == Some(ticket)) else {
        events.push(ClientEvent::Cancelled(ticket));
        return false;
    };
    events.remove(position);
    true
}

/// Cancels requests; those that are still in `events` are withdrawn.
fn cancel_requests(mut open: HashSet<Ticket>, events: &mut Vec<ClientEvent>) {
    events.retain(|event| !event.opened_request().is_some_and(|ticket| open.remove(&ticket)));
    let mut open: Vec<Ticket> = open.into_iter().collect();
    open.sort_unstable();
    events.extend(open.into_iter().map(ClientEvent::Cancelled));
}
