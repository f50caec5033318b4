//! The receiving side of a session: decodes frames and checks that the peer may send each message in the
//! current state.

use linnethook::interface::Ms;

use super::{CloseReason, IncomingRequest, OutgoingRequest, Session, SessionEvent};
use crate::attempt_ledger::Ticket;
use crate::codec::{Frame, Hello, Message, RejectReason, SUPPORTED_VERSIONS};
use crate::flow_control::FlowControlError;

impl Session {
    /// Processes received bytes. The resulting events are appended to `events`, also those before an error.
    ///
    /// # Errors
    ///
    /// The peer violated the protocol or does not read its output: the connection has to be closed.
    pub fn receive(
        &mut self,
        now: Ms,
        bytes: &[u8],
        events: &mut Vec<SessionEvent>,
    ) -> Result<(), CloseReason> {
        self.heartbeat.record_receipt(now);
        self.decoder.push_bytes(bytes);
        while let Some(frame) = self.decoder.next_frame(self.config.max_frame_bytes)? {
            events.extend(self.handle_frame(now, frame)?);
        }
        if self.output.len() > self.config.max_output_bytes {
            let (bytes, max_bytes) = (self.output.len(), self.config.max_output_bytes);
            return Err(CloseReason::OutputBacklog { bytes, max_bytes });
        }
        Ok(())
    }

    fn handle_frame(&mut self, now: Ms, frame: Frame) -> Result<Option<SessionEvent>, CloseReason> {
        let Frame { stream, message } = frame;
        if let Message::Hello(hello) = message {
            return self.handle_hello(hello).map(Some);
        }
        if !self.has_hello {
            return Err(CloseReason::NoHello);
        }
        let event = match message {
            Message::Hello(_) => return Ok(None),
            Message::Request(request) => {
                if !self.admit_stream(stream)? {
                    return Ok(None);
                }
                SessionEvent::Request(stream, request)
            }
            Message::Response(_) | Message::Data(_) | Message::End | Message::Reject { .. } => {
                return self.handle_response(stream, message)
            }
            Message::Cancel => return self.handle_cancel(stream),
            Message::Credit(bytes) => {
                self.scheduler.add_credit(stream, bytes)?;
                return Ok(None);
            }
            Message::Ping(number) => {
                self.send(&Message::Pong(number));
                return Ok(None);
            }
            Message::Pong(number) => {
                self.heartbeat.record_pong(now, number);
                return Ok(None);
            }
            Message::CancelToken(token) => SessionEvent::TokenCancelled(token),
            Message::OutcomeQuery(token) => SessionEvent::OutcomeQuery(token),
            Message::OutcomeReport(token, outcome) => SessionEvent::OutcomeReport(token, outcome),
            Message::StateUpdate(update) => SessionEvent::StateUpdate(update),
            Message::StateRequest(position) => SessionEvent::StateRequest(position),
            Message::DirectFacts(facts) => SessionEvent::DirectFacts(facts),
            Message::GoAway => {
                self.received_go_away = true;
                SessionEvent::GoAway
            }
        };
        Ok(Some(event))
    }

    fn handle_hello(&mut self, hello: Hello) -> Result<SessionEvent, CloseReason> {
        if self.has_hello {
            return Err(CloseReason::DuplicateHello);
        }
        let (offered, supported) = (hello.versions, SUPPORTED_VERSIONS);
        if !offered.overlaps(supported) {
            return Err(CloseReason::UnsupportedVersions { offered, supported });
        }
        self.has_hello = true;
        self.peer_version = offered.max;
        Ok(SessionEvent::Hello(hello))
    }

    /// Handles a message on a stream that this side opened. Returns `None` if the stream was cancelled here.
    fn handle_response(
        &mut self,
        stream: u32,
        message: Message,
    ) -> Result<Option<SessionEvent>, CloseReason> {
        if let Message::Data(bytes) = &message {
            let length = bytes.len() as u64;
            self.received_body_bytes += length;
            let grants = self.receive_window.receive(stream, length)?;
            self.send_credit(grants);
        }
        let Some(request) = self.request_of(stream)? else { return Ok(None) };
        // Data and the end follow a head; a head or a rejection is the first message.
        let follows_head = matches!(message, Message::Data(_) | Message::End);
        if request.response_begun != follows_head {
            return Err(CloseReason::UnexpectedResponse);
        }
        let ticket = request.ticket;
        let event = match message {
            Message::Response(head) => {
                if head.offset > head.body_length {
                    return Err(CloseReason::UnexpectedResponse);
                }
                request.response_begun = true;
                SessionEvent::ResponseHead(ticket, head)
            }
            Message::Data(bytes) => {
                // Credit is granted again at once: the request that buffers the bytes has its own limit.
                let grants = self.receive_window.consume(stream, bytes.len() as u64);
                self.send_credit(grants);
                SessionEvent::Data(ticket, bytes)
            }
            Message::Reject { reason, retry_after_ms } => {
                self.finish_stream(stream);
                SessionEvent::Rejected { ticket, reason, retry_after: f64::from(retry_after_ms) }
            }
            _ => {
                self.finish_stream(stream);
                SessionEvent::ResponseEnd(ticket)
            }
        };
        Ok(Some(event))
    }

    fn handle_cancel(&mut self, stream: u32) -> Result<Option<SessionEvent>, CloseReason> {
        if self.incoming.remove(&stream).is_some() {
            self.scheduler.cancel_stream(stream);
            return Ok(Some(SessionEvent::Cancelled(stream)));
        }
        // The response may have been completed before the cancellation arrived.
        if stream == 0 || stream > self.last_remote_stream {
            return Err(FlowControlError::UnknownStream(stream).into());
        }
        Ok(None)
    }

    /// Accepts a stream that the peer opens. Returns false if the limit is reached; the request is then
    /// rejected.
    fn admit_stream(&mut self, stream: u32) -> Result<bool, CloseReason> {
        if stream == 0 || stream <= self.last_remote_stream {
            return Err(FlowControlError::StreamReused(stream).into());
        }
        self.last_remote_stream = stream;
        if self.incoming.len() >= self.config.flow_control.max_streams {
            self.send_rejection(stream, RejectReason::AtCapacity, 0);
            return Ok(false);
        }
        self.incoming.insert(stream, IncomingRequest::default());
        Ok(true)
    }

    /// The request that a response belongs to; `None` if it was cancelled here while the response was in
    /// transit.
    fn request_of(&mut self, stream: u32) -> Result<Option<&mut OutgoingRequest>, CloseReason> {
        if stream == 0 || stream > self.last_stream {
            return Err(CloseReason::UnexpectedResponse);
        }
        match self.outgoing.get_mut(&stream) {
            Some(request) => Ok(Some(request)),
            None if self.cancelled_streams.contains(&stream) => Ok(None),
            None => Err(CloseReason::UnexpectedResponse),
        }
    }

    /// The tickets of the requests without a complete response.
    pub fn open_tickets(&self) -> Vec<Ticket> {
        self.tickets.keys().copied().collect()
    }
}
