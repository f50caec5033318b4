//! Closing clients' connections. Each request that has arrived completely gets its answer before.

use std::collections::HashSet;
use std::io;
use std::net::Shutdown;

use crate::buffers::{BufferChain, BufferPool};
use crate::config::Limits;
use crate::event_handler::EventHandler;
use crate::log::log_line;
use crate::permission::{self, CloseReason};
use crate::policy_adapter::{Ms, Ticket};
use crate::system_error::{is_interrupted, source_of_transfer_error, ErrorSource};

use super::codec::{self, AnswerCode, ClientMessage, FrameError};
use super::connection::{ClientConnection, ConnectionPhase};
use super::protocol_error::ProtocolError;
use super::{ClientEvent, ClientId, Downstreams};

/// Whether the peer has closed its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PeerState {
    Connected,
    Disconnected,
    /// A read failed by an error of this machine.
    Unknown,
}

/// What a closing connection had still to be read.
#[derive(Debug, Clone, Copy)]
struct Arrived {
    bytes: usize,
    peer: PeerState,
}

impl<W: EventHandler> Downstreams<W> {
    /// Closes a connection after a protocol error: its open requests are answered as failed and reported as
    /// cancelled, those that arrive until the connection is shut down are rejected, and the client is sent the
    /// reason.
    pub(super) fn close_with_error(
        &mut self,
        now: Ms,
        id: ClientId,
        error: ProtocolError,
        events: &mut Vec<ClientEvent>,
    ) {
        let Some(client) = self.clients.get_mut(&id).filter(|client| client.is_open()) else { return };
        self.counts.malformed += 1;
        let open_requests = client.open.len();
        let partial_ms = client.partial_since.map_or(0.0, |since| now - since).round();
        let frame_bytes = client.partial_frame_bytes(self.limits.clients.max_frame_bytes).unwrap_or_default();
        let read_bytes = client.input.len();
        let rejections_left = match error {
            // The end of the frame is unknown, so that nothing behind it can be decoded.
            ProtocolError::Frame(FrameError::Length) => 0,
            _ => self.limits.clients.max_streams_per_connection.saturating_sub(client.open.len()),
        };
        client.begin_close(rejections_left);
        let mut streams: Vec<u32> = client.open.keys().copied().collect();
        streams.sort_unstable();
        for stream in streams {
            client.output.append(empty_answer(&self.buffers, stream, AnswerCode::Failed));
        }
        let open: HashSet<Ticket> = client.open.drain().map(|(_, ticket)| ticket).collect();
        cancel_requests(open, events);
        let arrived = client.reject_arrived(&self.limits, &self.buffers);
        log_line!(
            client = id,
            reason = %error,
            open = open_requests,
            partial_ms,
            frame_bytes,
            read_bytes,
            unread_bytes = arrived.bytes,
            buffers = self.buffers.in_use(),
            "closing a client's connection with an error"
        );
        if arrived.peer == PeerState::Disconnected {
            return self.remove(id, CloseReason::Broken, events);
        }
        // In one write with the answers: none of them invites another request before the error.
        let body = BufferChain::from_bytes(&self.buffers, error.to_string().as_bytes());
        client.output.append(codec::encode_answer(&self.buffers, 0, AnswerCode::Failed, &[], body));
        self.flush(now, id, events);
    }

    /// Closes a connection without open requests once its output is written. Requests that arrive until then
    /// are rejected.
    pub(super) fn close_gracefully(&mut self, now: Ms, id: ClientId, events: &mut Vec<ClientEvent>) {
        if let Some(client) = self.clients.get_mut(&id).filter(|client| client.is_open()) {
            client.begin_close(self.limits.clients.max_streams_per_connection);
            self.flush(now, id, events);
        }
    }

    /// Continues to close a connection whose output is written: rejects what has arrived meanwhile, and then
    /// shuts the connection down. Returns whether there is output to be written before.
    pub(super) fn continue_closing(&mut self, now: Ms, id: ClientId, events: &mut Vec<ClientEvent>) -> bool {
        let Some(client) = self.clients.get_mut(&id) else { return false };
        if !matches!(client.phase, ConnectionPhase::Closing { .. }) {
            return false;
        }
        match client.reject_arrived(&self.limits, &self.buffers).peer {
            PeerState::Connected => {}
            PeerState::Disconnected => {
                self.remove(id, CloseReason::Broken, events);
                return false;
            }
            // Requests that have arrived must be read before the connection is shut down.
            PeerState::Unknown => {
                self.retries.insert(now, id);
                return false;
            }
        }
        if !client.output.is_empty() {
            return true;
        }
        // The shutdown fails if the client has closed the connection.
        if client.stream.shutdown(Shutdown::Write).is_err() {
            self.remove(id, CloseReason::ClosedByClient, events);
            return false;
        }
        client.discard_all_input();
        let until = now + self.limits.clients.linger_timeout_ms;
        client.phase = ConnectionPhase::Lingering { until, bytes: self.limits.clients.max_linger_bytes };
        self.read(now, id, events);
        false
    }

    /// Handles an error of a read or write: one of this machine is repeated later, any other ends the connection.
    pub(super) fn on_transfer_error(
        &mut self,
        now: Ms,
        id: ClientId,
        error: &io::Error,
        events: &mut Vec<ClientEvent>,
    ) {
        match source_of_transfer_error(error) {
            ErrorSource::Local => {
                self.retries.insert(now, id);
                self.note_unread_input(now, id);
            }
            ErrorSource::Peer => self.remove(id, CloseReason::Broken, events),
        }
    }

    /// Closes and removes a connection; its open requests are reported as cancelled.
    pub(super) fn remove(&mut self, id: ClientId, reason: CloseReason, events: &mut Vec<ClientEvent>) {
        let Some(client) = self.clients.remove(&id) else { return };
        self.record_close(id, &client, reason);
        self.paused.remove(&id);
        self.retries.remove(id);
        self.ready.remove(client.kind(), id);
        if let Some(token) = client.token {
            self.handle.remove(token);
        }
        cancel_requests(client.open.into_values().collect(), events);
    }
}

impl<W: EventHandler> Downstreams<W> {
    /// Logs and counts a connection that ends while answers are owed on it.
    fn record_close(&mut self, id: ClientId, client: &ClientConnection, reason: CloseReason) {
        let owes_answers = !client.is_idle();
        let is_violation = !permission::may_close(reason, owes_answers);
        self.counts.closed_open += u64::from(!client.open.is_empty());
        self.counts.violations += u64::from(is_violation);
        if owes_answers {
            log_line!(
                client = id,
                %reason,
                open = client.open.len(),
                unwritten_bytes = client.output.len(),
                is_violation,
                "a client's connection ended while answers were owed"
            );
        }
    }
}

impl ClientConnection {
    /// Begins to close the connection. Its open requests are no longer reported.
    fn begin_close(&mut self, rejections_left: usize) {
        self.phase = ConnectionPhase::Closing { rejections_left };
        self.partial_since = None;
    }

    /// Rejects the requests that have arrived, as many as a client may have open. Their payloads take no
    /// buffers.
    fn reject_arrived(&mut self, limits: &Limits, buffers: &BufferPool) -> Arrived {
        let max_bytes = limits.clients.max_streams_per_connection * limits.clients.max_frame_bytes;
        let mut arrived = Arrived { bytes: 0, peer: PeerState::Connected };
        loop {
            if self.reject_read(limits, buffers).is_err() {
                self.end_rejections();
            }
            if arrived.bytes >= max_bytes || !self.may_reject() {
                return arrived;
            }
            match self.input.read_from(&*self.stream) {
                // The client sends no more; it may still read its answers.
                Ok(0) => self.end_rejections(),
                Ok(read) => arrived.bytes += read,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return arrived,
                Err(error) if is_interrupted(&error) => {}
                Err(error) => {
                    let peer = match source_of_transfer_error(&error) {
                        ErrorSource::Local => PeerState::Unknown,
                        ErrorSource::Peer => PeerState::Disconnected,
                    };
                    return Arrived { peer, ..arrived };
                }
            }
        }
    }

    /// Rejects the requests that have been read. Other messages have no effect any more.
    fn reject_read(&mut self, limits: &Limits, buffers: &BufferPool) -> Result<(), FrameError> {
        let max_frame = limits.clients.max_frame_bytes;
        while self.may_reject() && self.discard_frame(max_frame)? {
            match self.next_message(max_frame)? {
                Some(ClientMessage::DiscardedRequest { stream }) => {
                    let is_new = self.streams.insert(stream, limits.clients.max_streams_per_connection);
                    if is_new {
                        self.output.append(empty_answer(buffers, stream, AnswerCode::Rejected));
                        self.count_rejection();
                    }
                }
                Some(_) => {}
                None => return Ok(()),
            }
        }
        Ok(())
    }

    fn may_reject(&self) -> bool {
        matches!(self.phase, ConnectionPhase::Closing { rejections_left: 1.. })
    }

    fn count_rejection(&mut self) {
        if let ConnectionPhase::Closing { rejections_left } = &mut self.phase {
            *rejections_left = rejections_left.saturating_sub(1);
        }
    }

    fn end_rejections(&mut self) {
        if let ConnectionPhase::Closing { rejections_left } = &mut self.phase {
            *rejections_left = 0;
        }
        self.discard_all_input();
    }
}

/// An answer without fields and body.
fn empty_answer(buffers: &BufferPool, stream: u32, code: AnswerCode) -> BufferChain {
    codec::encode_answer(buffers, stream, code, &[], BufferChain::new(buffers))
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
