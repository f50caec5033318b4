//! One connection of a link: its frames, flow control and heartbeat, and the streams that are open on it.
//!
//! A session keeps its bounds however the other side behaves, and reports what has to close the connection. What a
//! message means for a request is not its business.
//!
//! - this file: settings, events, and what a session sends;
//! - `incoming`: what it reads;
//! - [`CloseReason`]: why a connection is closed.

mod close_reason;
mod incoming;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::{Bytes, BytesMut};
use linnethook::interface::Ms;

use crate::attempt_ledger::{AttemptOutcome, Ticket, Token};
use crate::codec::{
    write_data, write_message, ForwardedRequest, FrameDecoder, Hello, Message, RejectReason, ResponseHead,
};
use crate::flow_control::{CreditGrant, FlowControlConfig, Priority, ReceiveWindow, SendScheduler};
use crate::heartbeat::{Heartbeat, HeartbeatConfig, LinkHealth};
use crate::site_state::{Fact, StatePosition, StateUpdate};

pub use close_reason::CloseReason;

/// Limits of a session.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SessionConfig {
    /// Windows and turns of streams.
    pub flow_control: FlowControlConfig,
    /// Pings, and when the other side counts as silent.
    pub heartbeat: HeartbeatConfig,
    /// The longest frame, without its length.
    pub max_frame_bytes: usize,
    /// While more bytes of messages wait to be written, no new request is sent.
    pub crowded_output_bytes: usize,
    /// If more bytes of messages wait to be written, the connection is closed.
    pub max_output_bytes: usize,
    /// How long the other side may take to introduce itself, in milliseconds.
    pub hello_timeout: Ms,
    /// Cancelled streams that are remembered, since their responses may be on the way.
    pub max_cancelled_streams: usize,
}

impl Default for SessionConfig {
    fn default() -> Self {
        Self {
            flow_control: FlowControlConfig::default(),
            heartbeat: HeartbeatConfig::default(),
            max_frame_bytes: 1 << 20,
            crowded_output_bytes: 256 << 10,
            max_output_bytes: 2 << 20,
            hello_timeout: 2_000.0,
            max_cancelled_streams: 4_096,
        }
    }
}

/// What the other side has sent, in its order.
#[derive(Debug, Clone, PartialEq)]
pub enum SessionEvent {
    /// It has introduced itself.
    Hello(Hello),
    /// A request on that stream, which is owed a response or a rejection.
    Request(u32, Box<ForwardedRequest>),
    /// The response to a request begins.
    ResponseHead(Ticket, Box<ResponseHead>),
    /// Bytes of the body of a response.
    Data(Ticket, Bytes),
    /// The response is complete.
    ResponseEnd(Ticket),
    /// A request was rejected, and never ran there.
    Rejected {
        /// The request.
        ticket: Ticket,
        /// Why.
        reason: RejectReason,
        /// When it may be sent there again, in milliseconds; 0 if that is not known.
        retry_after: Ms,
    },
    /// The other side does not wait for the response on that stream any more.
    Cancelled(u32),
    /// The other side asks what became of an attempt.
    OutcomeQuery(Token),
    /// The other side reports what became of an attempt.
    OutcomeReport(Token, AttemptOutcome),
    /// The state of the other side has changed.
    StateUpdate(StateUpdate),
    /// The other side knows the state of this one up to there, and lacks the rest.
    StateRequest(StatePosition),
    /// The other side wants no new requests.
    GoAway,
    /// Facts outside of the order of updates.
    DirectFacts(Vec<Fact>),
}

/// A stream that this side has opened.
#[derive(Debug, Clone, Copy)]
struct OutgoingRequest {
    ticket: Ticket,
    response_begun: bool,
}

/// A stream that the other side has opened.
#[derive(Debug, Clone, Default)]
struct IncomingRequest {
    /// What is still to be sent of the body of the response.
    body: Bytes,
}

/// A request with a token, by the place of its last byte in the output.
#[derive(Debug, Clone, Copy)]
struct RequestEnd {
    position: u64,
    token: Token,
}

/// The number of streams that are open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenStreams {
    /// Opened by this side.
    pub outgoing: usize,
    /// Opened by the other side.
    pub incoming: usize,
}

/// One connection.
#[derive(Debug)]
pub struct Session {
    config: SessionConfig,
    opened_at: Ms,
    has_hello: bool,
    decoder: FrameDecoder,
    /// Messages that wait to be written.
    output: BytesMut,
    scheduler: SendScheduler,
    receive_window: ReceiveWindow,
    /// Whether the other side is still there.
    pub heartbeat: Heartbeat,
    next_ping: Ms,
    last_stream: u32,
    /// The last stream of the other side, which numbers them upwards.
    last_remote_stream: u32,
    outgoing: BTreeMap<u32, OutgoingRequest>,
    tickets: BTreeMap<Ticket, u32>,
    incoming: BTreeMap<u32, IncomingRequest>,
    /// Bytes of output that were taken.
    handed_over_bytes: u64,
    /// Bytes of these that the system has accepted.
    written_bytes: u64,
    request_ends: VecDeque<RequestEnd>,
    cancelled_streams: BTreeSet<u32>,
    /// The version of the own state that the other side was sent.
    pub sent_version: u64,
    /// The other side sends no new requests here, or wants none.
    pub is_leaving: bool,
    /// Bytes of bodies that were received.
    pub received_body_bytes: u64,
}

impl Session {
    /// A connection that has just been opened.
    pub fn new(now: Ms, config: SessionConfig) -> Self {
        Self {
            config,
            opened_at: now,
            has_hello: false,
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
            is_leaving: false,
            received_body_bytes: 0,
        }
    }

    /// Queues a message on no stream.
    pub fn send(&mut self, message: &Message) {
        write_message(&mut self.output, 0, message);
    }

    /// Whether the other side has introduced itself.
    pub fn has_hello(&self) -> bool {
        self.has_hello
    }

    /// The number of streams that are open.
    pub fn open_streams(&self) -> OpenStreams {
        OpenStreams { outgoing: self.outgoing.len(), incoming: self.incoming.len() }
    }

    /// Bytes that wait to be written, those of bodies included.
    pub fn queued_bytes(&self) -> u64 {
        self.output.len() as u64 + self.scheduler.queued_bytes()
    }

    /// Whether a new request may be sent.
    pub fn may_open_stream(&self) -> bool {
        self.has_hello
            && !self.is_leaving
            && self.output.len() < self.config.crowded_output_bytes
            && self.outgoing.len() < self.config.flow_control.max_streams
            && self.last_stream < u32::MAX
    }

    // ---- Requests of this side.

    /// Sends a request; events of its response bear the ticket.
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

    /// Cancels a request: nobody waits for its response any more.
    pub fn cancel_request(&mut self, ticket: Ticket) {
        let Some(stream) = self.tickets.get(&ticket).copied() else { return };
        self.finish_stream(stream);
        write_message(&mut self.output, stream, &Message::Cancel);
        self.cancelled_streams.insert(stream);
        if self.cancelled_streams.len() > self.config.max_cancelled_streams {
            self.cancelled_streams.pop_first();
        }
    }

    fn send_credit(&mut self, grants: Vec<CreditGrant>) {
        for grant in grants {
            write_message(&mut self.output, grant.stream, &Message::Credit(grant.bytes));
        }
    }

    // ---- Responses of this side.

    /// Sends the response to a request of the other side; false if its stream has ended.
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

    /// Rejects a request of the other side; `retry_after` is in milliseconds, 0 if that is not known.
    pub fn reject_stream(&mut self, stream: u32, reason: RejectReason, retry_after: Ms) {
        if self.incoming.remove(&stream).is_some() {
            self.send_rejection(stream, reason, retry_after.clamp(0.0, f64::from(u32::MAX)) as u32);
        }
    }

    fn send_rejection(&mut self, stream: u32, reason: RejectReason, retry_after_ms: u32) {
        write_message(&mut self.output, stream, &Message::Reject { reason, retry_after_ms });
    }

    /// Drops a request of the other side, and what is still to be sent of its response.
    pub fn drop_stream(&mut self, stream: u32) {
        self.incoming.remove(&stream);
        self.scheduler.cancel_stream(stream);
    }

    // ---- Output.

    /// Appends what is to be written next, about `max_bytes`; it counts as taken.
    pub fn take_output(&mut self, max_bytes: usize, into: &mut BytesMut) {
        let start = into.len();
        if !self.output.is_empty() {
            into.extend_from_slice(&self.output);
            self.output.clear();
        }
        while into.len() - start < max_bytes {
            let room = max_bytes - (into.len() - start);
            let Some(turn) = self.scheduler.next_turn(room as u64) else { break };
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

    /// The system has accepted so many bytes of what was taken: the tokens of the requests that are written with them.
    pub fn mark_written(&mut self, bytes: usize) -> Vec<Token> {
        self.written_bytes += bytes as u64;
        let mut written = Vec::new();
        while let Some(end) = self.request_ends.front().filter(|end| end.position <= self.written_bytes) {
            written.push(end.token);
            self.request_ends.pop_front();
        }
        written
    }

    /// Whether something could be written.
    pub fn has_output(&self) -> bool {
        !self.output.is_empty() || self.scheduler.has_ready_stream()
    }

    // ---- Time.

    /// Sends a ping if one is due.
    ///
    /// # Errors
    ///
    /// The other side is not there any more, or has not introduced itself in time.
    pub fn on_timer(&mut self, now: Ms) -> Result<(), CloseReason> {
        if !self.has_hello {
            let is_late = now - self.opened_at >= self.config.hello_timeout;
            return if is_late { Err(CloseReason::HelloTimeout) } else { Ok(()) };
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
