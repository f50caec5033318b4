//! The protocol of one connection of a link: frames, flow control, heartbeat and open streams.
//!
//! A session stays within its limits regardless of how the peer behaves, and reports violations for which the
//! connection has to be closed. It does not interpret what a message means for a request.
//!
//! - this file: settings, events, and the sending side;
//! - `incoming`: the receiving side;
//! - [`CloseReason`]: why a connection is closed.

mod close_reason;
mod incoming;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::{Bytes, BytesMut};
use linnethook::interface::Ms;

use crate::attempt_ledger::{AttemptOutcome, Ticket, Token};
use crate::codec::{
    write_data, write_message, ForwardedRequest, FrameDecoder, Hello, Message, RejectReason, ResponseHead,
    CANCEL_TOKEN_VERSION,
};
use crate::flow_control::{CreditGrant, FlowControlConfig, Priority, ReceiveWindow, SendScheduler};
use crate::heartbeat::{Heartbeat, HeartbeatConfig, LinkHealth};
use crate::site_state::{Fact, StatePosition, StateUpdate};

pub use close_reason::CloseReason;

/// Limits of a session.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SessionConfig {
    /// Flow control and scheduling of streams.
    pub flow_control: FlowControlConfig,
    /// Pings and failure detection.
    pub heartbeat: HeartbeatConfig,
    /// Maximum size of a frame, without its length field.
    pub max_frame_bytes: usize,
    /// High-water mark of the queued messages: no new request is sent from this many bytes on.
    pub high_water_output_bytes: usize,
    /// Maximum number of bytes of queued messages; beyond it the connection is closed.
    pub max_output_bytes: usize,
    /// Maximum time until the hello of the peer is received, in milliseconds.
    pub hello_timeout: Ms,
    /// Maximum number of cancelled streams that are retained, since responses on them may still be in
    /// transit.
    pub max_cancelled_streams: usize,
}

impl Default for SessionConfig {
    fn default() -> Self {
        Self {
            flow_control: FlowControlConfig::default(),
            heartbeat: HeartbeatConfig::default(),
            max_frame_bytes: 1 << 20,
            high_water_output_bytes: 256 << 10,
            max_output_bytes: 2 << 20,
            hello_timeout: 2_000.0,
            max_cancelled_streams: 4_096,
        }
    }
}

/// An event of a session. Events have the order in which the peer sent the messages.
#[derive(Debug, Clone, PartialEq)]
pub enum SessionEvent {
    /// The hello of the peer.
    Hello(Hello),
    /// A request on a stream, which requires a response or a rejection.
    Request(u32, Box<ForwardedRequest>),
    /// The response to a request begins.
    ResponseHead(Ticket, Box<ResponseHead>),
    /// Bytes of a response body.
    Data(Ticket, Bytes),
    /// The response is complete.
    ResponseEnd(Ticket),
    /// A request was rejected without having run.
    Rejected {
        /// The request.
        ticket: Ticket,
        /// Why it was rejected.
        reason: RejectReason,
        /// The time until it may be sent again, in milliseconds; 0 if unknown.
        retry_after: Ms,
    },
    /// The peer no longer needs the response on this stream.
    Cancelled(u32),
    /// The peer needs the outcome of an attempt no longer, whose connection has ended.
    TokenCancelled(Token),
    /// The peer queries the outcome of an attempt.
    OutcomeQuery(Token),
    /// The peer reports the outcome of an attempt.
    OutcomeReport(Token, AttemptOutcome),
    /// The published state of the peer has changed.
    StateUpdate(StateUpdate),
    /// The peer requests the state of this side after a position.
    StateRequest(StatePosition),
    /// The peer accepts no new requests.
    GoAway,
    /// Facts outside the versioned updates.
    DirectFacts(Vec<Fact>),
}

/// A stream that this side opened.
#[derive(Debug, Clone, Copy)]
struct OutgoingRequest {
    ticket: Ticket,
    response_begun: bool,
}

/// A stream that the peer opened.
#[derive(Debug, Clone, Default)]
struct IncomingRequest {
    /// The unsent rest of the response body.
    body: Bytes,
}

/// The end of a request with a token in the output of the connection.
#[derive(Debug, Clone, Copy)]
struct RequestEnd {
    /// Bytes of output up to and including the last byte of the request.
    position: u64,
    token: Token,
}

/// The numbers of open streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenStreams {
    /// Opened by this side.
    pub outgoing: usize,
    /// Opened by the peer.
    pub incoming: usize,
}

/// The state of one connection.
#[derive(Debug)]
pub struct Session {
    config: SessionConfig,
    opened_at: Ms,
    has_hello: bool,
    /// The latest protocol version that the peer supports; 0 before its hello.
    peer_version: u16,
    decoder: FrameDecoder,
    /// Messages that are queued for writing.
    output: BytesMut,
    scheduler: SendScheduler,
    receive_window: ReceiveWindow,
    /// The failure detector.
    pub heartbeat: Heartbeat,
    next_ping: Ms,
    last_stream: u32,
    /// The last stream that the peer opened; it numbers them in ascending order.
    last_remote_stream: u32,
    outgoing: BTreeMap<u32, OutgoingRequest>,
    tickets: BTreeMap<Ticket, u32>,
    incoming: BTreeMap<u32, IncomingRequest>,
    /// The number of bytes of output that were taken.
    handed_over_bytes: u64,
    /// The number of these bytes that the operating system has accepted.
    written_bytes: u64,
    request_ends: VecDeque<RequestEnd>,
    cancelled_streams: BTreeSet<u32>,
    /// The version of the published state that was sent to the peer.
    pub sent_version: u64,
    /// The peer has announced that it accepts no new requests.
    pub received_go_away: bool,
    /// The number of received bytes of response bodies.
    pub received_body_bytes: u64,
}

impl Session {
    /// Creates the session of a connection that has just been opened.
    pub fn new(now: Ms, config: SessionConfig) -> Self {
        Self {
            config,
            opened_at: now,
            has_hello: false,
            peer_version: 0,
            decoder: FrameDecoder::default(),
            output: BytesMut::new(),
            scheduler: SendScheduler::new(config.flow_control),
            receive_window: ReceiveWindow::new(config.flow_control),
            heartbeat: Heartbeat::new(now, config.heartbeat),
            next_ping: now,
            last_stream: 0,
            last_remote_stream: 0,
            outgoing: BTreeMap::new(),
            tickets: BTreeMap::new(),
            incoming: BTreeMap::new(),
            handed_over_bytes: 0,
            written_bytes: 0,
            request_ends: VecDeque::new(),
            cancelled_streams: BTreeSet::new(),
            sent_version: 0,
            received_go_away: false,
            received_body_bytes: 0,
        }
    }

    /// Queues a message that belongs to no stream.
    pub fn send(&mut self, message: &Message) {
        write_message(&mut self.output, 0, message);
    }

    /// Whether the hello of the peer was received.
    pub fn has_hello(&self) -> bool {
        self.has_hello
    }

    /// Whether the peer takes [`Message::CancelToken`].
    pub fn supports_cancelled_tokens(&self) -> bool {
        self.peer_version >= CANCEL_TOKEN_VERSION
    }

    /// The numbers of open streams.
    pub fn open_streams(&self) -> OpenStreams {
        OpenStreams { outgoing: self.outgoing.len(), incoming: self.incoming.len() }
    }

    /// The number of bytes that are queued for writing, including bodies.
    pub fn queued_bytes(&self) -> u64 {
        self.output.len() as u64 + self.scheduler.queued_bytes()
    }

    /// Whether a new request may be sent.
    pub fn may_open_stream(&self) -> bool {
        self.has_hello
            && !self.received_go_away
            && self.output.len() < self.config.high_water_output_bytes
            && self.outgoing.len() < self.config.flow_control.max_streams
            && self.last_stream < u32::MAX
    }

    // ---- Requests of this side.

    /// Sends a request. Events of its response carry the ticket.
    pub fn send_request(&mut self, ticket: Ticket, request: ForwardedRequest) {
        self.last_stream += 1;
        let (stream, token) = (self.last_stream, request.token);
        write_message(&mut self.output, stream, &Message::Request(Box::new(request)));
        if let Some(token) = token {
            let position = self.handed_over_bytes + self.output.len() as u64;
            self.request_ends.push_back(RequestEnd { position, token });
        }
        self.outgoing.insert(stream, OutgoingRequest { ticket, response_begun: false });
        self.tickets.insert(ticket, stream);
        self.receive_window.open_stream(stream);
    }

    fn finish_stream(&mut self, stream: u32) {
        if let Some(request) = self.outgoing.remove(&stream) {
            self.tickets.remove(&request.ticket);
        }
        let grants = self.receive_window.close_stream(stream, 0);
        self.send_credit(grants);
    }

    /// Cancels a request whose response is no longer needed. Returns false if it has no stream here.
    pub fn cancel_request(&mut self, ticket: Ticket) -> bool {
        let Some(stream) = self.tickets.get(&ticket).copied() else { return false };
        self.finish_stream(stream);
        write_message(&mut self.output, stream, &Message::Cancel);
        self.cancelled_streams.insert(stream);
        if self.cancelled_streams.len() > self.config.max_cancelled_streams {
            self.cancelled_streams.pop_first();
        }
        true
    }

    fn send_credit(&mut self, grants: Vec<CreditGrant>) {
        for grant in grants {
            write_message(&mut self.output, grant.stream, &Message::Credit(grant.bytes));
        }
    }

    // ---- Responses of this side.

    /// Sends the response to a request of the peer. Returns false if its stream has ended.
    pub fn send_response(
        &mut self,
        stream: u32,
        priority: Priority,
        head: ResponseHead,
        body: Bytes,
    ) -> bool {
        let Some(request) = self.incoming.get_mut(&stream) else { return false };
        let bytes = body.len() as u64;
        request.body = body;
        write_message(&mut self.output, stream, &Message::Response(Box::new(head)));
        self.scheduler.open_stream(stream, priority);
        self.scheduler.queue_bytes(stream, bytes, true);
        true
    }

    /// Rejects a request of the peer. `retry_after` is in milliseconds; 0 if unknown.
    pub fn reject_stream(&mut self, stream: u32, reason: RejectReason, retry_after: Ms) {
        if self.incoming.remove(&stream).is_some() {
            self.send_rejection(stream, reason, retry_after.clamp(0.0, f64::from(u32::MAX)) as u32);
        }
    }

    fn send_rejection(&mut self, stream: u32, reason: RejectReason, retry_after_ms: u32) {
        write_message(&mut self.output, stream, &Message::Reject { reason, retry_after_ms });
    }

    /// Drops a request of the peer and the unsent rest of its response.
    pub fn drop_stream(&mut self, stream: u32) {
        self.incoming.remove(&stream);
        self.scheduler.cancel_stream(stream);
    }

    // ---- Output.

    /// Moves the output to be written next to `into`, about `max_bytes` of it.
    pub fn take_output(&mut self, max_bytes: usize, into: &mut BytesMut) {
        let start = into.len();
        if !self.output.is_empty() {
            into.extend_from_slice(&self.output);
            self.output.clear();
        }
        while into.len() - start < max_bytes {
            let remaining = max_bytes - (into.len() - start);
            let Some(turn) = self.scheduler.next_turn(remaining as u64) else { break };
            let Some(request) = self.incoming.get_mut(&turn.stream) else { continue };
            if turn.bytes > 0 {
                let bytes = request.body.split_to((turn.bytes as usize).min(request.body.len()));
                write_data(into, turn.stream, &bytes);
            }
            if turn.is_last {
                self.incoming.remove(&turn.stream);
                write_message(into, turn.stream, &Message::End);
            }
        }
        self.handed_over_bytes += (into.len() - start) as u64;
    }

    /// Records that the operating system has accepted this many further bytes of the taken output. Returns
    /// the tokens of the requests that are now written completely.
    pub fn mark_written(&mut self, bytes: usize) -> Vec<Token> {
        self.written_bytes += bytes as u64;
        let mut written = Vec::new();
        while let Some(end) = self.request_ends.front().filter(|end| end.position <= self.written_bytes) {
            written.push(end.token);
            self.request_ends.pop_front();
        }
        written
    }

    /// Whether there is output that can be written now.
    pub fn has_output(&self) -> bool {
        !self.output.is_empty() || self.scheduler.has_ready_stream()
    }

    // ---- Time.

    /// Checks the liveness of the peer and sends a ping if one is due.
    ///
    /// # Errors
    ///
    /// The peer counts as failed, or its hello was not received in time.
    pub fn on_timer(&mut self, now: Ms) -> Result<(), CloseReason> {
        if !self.has_hello {
            let is_late = now - self.opened_at >= self.config.hello_timeout;
            let timeout = self.config.hello_timeout;
            return if is_late { Err(CloseReason::HelloTimeout(timeout)) } else { Ok(()) };
        }
        match self.heartbeat.health(now) {
            LinkHealth::Silent => return Err(CloseReason::Silent),
            LinkHealth::HalfOpen => return Err(CloseReason::HalfOpen),
            LinkHealth::Healthy | LinkHealth::Slow => {}
        }
        if now >= self.next_ping {
            self.next_ping = now + self.config.heartbeat.interval;
            if let Some(number) = self.heartbeat.next_ping(now) {
                self.send(&Message::Ping(number));
            }
        }
        Ok(())
    }

    /// When [`Self::on_timer`] is due.
    pub fn next_deadline(&self, now: Ms) -> Ms {
        match self.has_hello {
            true => self.next_ping.min(self.heartbeat.next_check(now)),
            false => self.opened_at + self.config.hello_timeout,
        }
    }
}
