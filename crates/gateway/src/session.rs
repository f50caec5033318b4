//! Owns one connection of a link: frames in and out, its turns and credit, its pulse, and which streams are open on it.
//!
//! Must never keep more than its bounds however the other side behaves, nor go on after a word that may not be said:
//! the session ends. What a word means for a request is not its business.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::{Bytes, BytesMut};
use linnethook::interface::Ms;

use crate::attempt_ledger::{AttemptOutcome, Ticket, Token};
use crate::codec::{
    write_data, write_message, ForwardedRequest, Frame, FrameDecoder, Hello, MalformedFrame, Message,
    RejectReason, ResponseHead, SUPPORTED_VERSIONS,
};
use crate::flow_control::{FlowControlConfig, FlowControlError, Priority, ReceiveWindow, SendScheduler};
use crate::heartbeat::{Heartbeat, HeartbeatConfig, LinkHealth};
use crate::site_state::{FactKey, FactValue, StateUpdate};

/// The bounds of a session.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SessionConfig {
    pub flow_control: FlowControlConfig,
    pub heartbeat: HeartbeatConfig,
    /// The longest frame, after its length.
    pub max_frame_bytes: usize,
    /// Bytes of words that may wait to be written: beyond the first no new request goes out, beyond the second the
    /// session ends.
    pub crowded_output_bytes: usize,
    pub max_output_bytes: usize,
    /// How long the other side may take to say who it is.
    pub hello_timeout: Ms,
    /// Streams that were called off here and are remembered, since their answers may be on the way.
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

/// Why a session ended.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
pub enum CloseReason {
    #[error(transparent)]
    MalformedFrame(#[from] MalformedFrame),
    #[error(transparent)]
    FlowControl(#[from] FlowControlError),
    #[error("a word before its hello")]
    NoHello,
    #[error("a second hello")]
    DuplicateHello,
    #[error("no hello in time")]
    HelloTimeout,
    #[error("it speaks versions {0} to {1}, expected {2} to {3}")]
    UnsupportedVersions(u16, u16, u16, u16),
    #[error("an answer to a stream that was never opened, or that has one")]
    UnexpectedResponse,
    #[error("it takes nothing of what waits for it")]
    OutputBacklog,
    #[error("it says that it is this site")]
    OwnIdentity,
    #[error("it is of a site that is not known here")]
    UnknownSite,
    #[error("an earlier start of its, or another than it had")]
    InvalidEpoch,
    #[error("it says more of its site than is kept")]
    TooManyFacts,
    #[error("more gateways than may be")]
    TooManyGateways,
    #[error("nothing comes in any more")]
    Silent,
    #[error("nothing that is sent is answered")]
    HalfOpen,
    #[error("closed by the other side, or broken")]
    Closed,
    #[error("this gateway ends")]
    Stopped,
    #[error("a newer connection has taken its place")]
    Replaced,
}

/// What the other side has said, in its order.
#[derive(Debug, Clone, PartialEq)]
pub enum SessionEvent {
    Hello(Hello),
    /// A request; `stream` is to be answered.
    Request(u32, Box<ForwardedRequest>),
    /// Words on a stream that this side has opened for that ticket.
    ResponseHead(Ticket, Box<ResponseHead>),
    Data(Ticket, Bytes),
    ResponseEnd(Ticket),
    Rejected(Ticket, RejectReason, Ms),
    /// The other side does not wait for that stream any more.
    Cancelled(u32),
    OutcomeQuery(Token),
    OutcomeReport(Token, AttemptOutcome),
    StateUpdate(StateUpdate),
    StateRequest(u64, u64),
    GoAway,
    DirectFacts(Vec<(FactKey, FactValue)>),
}

/// A stream that this side has opened.
#[derive(Debug, Clone, Copy)]
struct OutgoingRequest {
    ticket: Ticket,
    response_begun: bool,
}

/// What is to be sent on a stream that the other side has opened.
#[derive(Debug, Clone, Default)]
struct IncomingRequest {
    body: Bytes,
}

#[derive(Debug)]
pub struct Session {
    config: SessionConfig,
    opened_at: Ms,
    has_hello: bool,
    decoder: FrameDecoder,
    /// Words that wait to be written.
    output: BytesMut,
    scheduler: SendScheduler,
    receive_window: ReceiveWindow,
    pub heartbeat: Heartbeat,
    next_ping: Ms,
    last_stream: u32,
    /// The highest stream of the other side: they are numbered upwards.
    last_remote_stream: u32,
    outgoing: BTreeMap<u32, OutgoingRequest>,
    streams_by_ticket: BTreeMap<Ticket, u32>,
    incoming: BTreeMap<u32, IncomingRequest>,
    /// Bytes handed over to be written, and of these the bytes that the system has taken.
    handed_bytes: u64,
    written_bytes: u64,
    /// Tokens whose request ends with that byte.
    request_ends: VecDeque<(u64, Token)>,
    cancelled_streams: BTreeSet<u32>,
    /// The version of the own state up to which the other side was told.
    pub sent_version: u64,
    /// The other side brings nothing new here, or wants nothing new.
    pub is_leaving: bool,
    /// Bytes of bodies that came in.
    pub received_body_bytes: u64,
}

impl Session {
    pub fn new(now: Ms, rule: SessionConfig) -> Self {
        Self {
            config: rule,
            opened_at: now,
            has_hello: false,
            decoder: FrameDecoder::default(),
            output: BytesMut::new(),
            scheduler: SendScheduler::new(rule.flow_control),
            receive_window: ReceiveWindow::new(rule.flow_control),
            heartbeat: Heartbeat::new(now, rule.heartbeat),
            next_ping: now,
            last_stream: 0,
            last_remote_stream: 0,
            outgoing: BTreeMap::new(),
            streams_by_ticket: BTreeMap::new(),
            incoming: BTreeMap::new(),
            handed_bytes: 0,
            written_bytes: 0,
            request_ends: VecDeque::new(),
            cancelled_streams: BTreeSet::new(),
            sent_version: 0,
            is_leaving: false,
            received_body_bytes: 0,
        }
    }

    /// Says something on no stream.
    pub fn send(&mut self, word: &Message) {
        write_message(&mut self.output, 0, word);
    }

    pub fn has_hello(&self) -> bool {
        self.has_hello
    }

    /// Streams that this side has opened, and those that the other side has.
    pub fn open_streams(&self) -> (usize, usize) {
        (self.outgoing.len(), self.incoming.len())
    }

    /// Bytes that wait to be written, those of bodies included.
    pub fn queued_bytes(&self) -> u64 {
        self.output.len() as u64 + self.scheduler.queued_bytes()
    }

    /// Whether a new request may go out here.
    pub fn may_open_stream(&self) -> bool {
        self.has_hello
            && !self.is_leaving
            && self.output.len() < self.config.crowded_output_bytes
            && self.outgoing.len() < self.config.flow_control.max_streams
            && self.last_stream < u32::MAX
    }

    // ---- This side asks.

    /// Sends a request; its answer comes back with the ticket.
    pub fn send_request(&mut self, ticket: Ticket, open: ForwardedRequest) {
        self.last_stream += 1;
        let (stream, token) = (self.last_stream, open.token);
        write_message(&mut self.output, stream, &Message::Request(Box::new(open)));
        if let Some(token) = token {
            self.request_ends.push_back((self.handed_bytes + self.output.len() as u64, token));
        }
        self.outgoing.insert(stream, OutgoingRequest { ticket, response_begun: false });
        self.streams_by_ticket.insert(ticket, stream);
        self.receive_window.open_stream(stream);
    }

    fn finish_stream(&mut self, stream: u32) {
        if let Some(asked) = self.outgoing.remove(&stream) {
            self.streams_by_ticket.remove(&asked.ticket);
        }
        let grants = self.receive_window.close_stream(stream, 0);
        self.send_credit(grants);
    }

    /// Nobody waits for it any more.
    pub fn cancel_request(&mut self, ticket: Ticket) {
        if let Some(stream) = self.streams_by_ticket.get(&ticket).copied() {
            self.finish_stream(stream);
            write_message(&mut self.output, stream, &Message::Cancel);
            self.cancelled_streams.insert(stream);
            if self.cancelled_streams.len() > self.config.max_cancelled_streams {
                self.cancelled_streams.pop_first();
            }
        }
    }

    fn send_credit(&mut self, grants: Vec<(u32, u32)>) {
        for (stream, bytes) in grants {
            write_message(&mut self.output, stream, &Message::Credit(bytes));
        }
    }

    // ---- This side answers.

    /// An answer to a stream of the other side; false where that has ended.
    pub fn send_response(
        &mut self,
        stream: u32,
        priority: Priority,
        begins: ResponseHead,
        body: Bytes,
    ) -> bool {
        let Some(serving) = self.incoming.get_mut(&stream) else { return false };
        let bytes = body.len() as u64;
        serving.body = body;
        write_message(&mut self.output, stream, &Message::Response(Box::new(begins)));
        self.scheduler.open_stream(stream, priority);
        self.scheduler.queue_bytes(stream, bytes, true);
        true
    }

    /// Turns a stream of the other side away.
    pub fn reject_stream(&mut self, stream: u32, why: RejectReason, come_back: Ms) {
        if self.incoming.remove(&stream).is_some() {
            let come_back = come_back.clamp(0.0, f64::from(u32::MAX)) as u32;
            write_message(
                &mut self.output,
                stream,
                &Message::Reject { reason: why, retry_after_ms: come_back },
            );
        }
    }

    /// A stream of the other side has had its time.
    pub fn drop_stream(&mut self, stream: u32) {
        self.incoming.remove(&stream);
        self.scheduler.cancel_stream(stream);
    }

    // ---- Bytes.

    /// What is to be written next, up to about that much; it counts as handed over.
    pub fn take_output(&mut self, room: usize, into: &mut BytesMut) {
        let begun = into.len();
        if !self.output.is_empty() {
            into.extend_from_slice(&self.output);
            self.output.clear();
        }
        while into.len() - begun < room {
            let Some(turn) = self.scheduler.next_turn((room - (into.len() - begun)) as u64) else { break };
            let Some(serving) = self.incoming.get_mut(&turn.stream) else { continue };
            if turn.bytes > 0 {
                let bytes = serving.body.split_to((turn.bytes as usize).min(serving.body.len()));
                write_data(into, turn.stream, &bytes);
            }
            if turn.is_last {
                self.incoming.remove(&turn.stream);
                write_message(into, turn.stream, &Message::End);
            }
        }
        self.handed_bytes += (into.len() - begun) as u64;
    }

    /// So many bytes of what was pulled were taken by the system: the requests that are whole with them.
    pub fn mark_written(&mut self, bytes: usize) -> Vec<Token> {
        self.written_bytes += bytes as u64;
        let mut whole = Vec::new();
        while let Some((_, token)) = self.request_ends.front().filter(|(at, _)| *at <= self.written_bytes) {
            whole.push(*token);
            self.request_ends.pop_front();
        }
        whole
    }

    /// Takes in bytes; what they say.
    pub fn receive(
        &mut self,
        now: Ms,
        bytes: &[u8],
        heard: &mut Vec<SessionEvent>,
    ) -> Result<(), CloseReason> {
        self.heartbeat.record_receipt(now);
        self.decoder.push_bytes(bytes);
        while let Some(frame) = self.decoder.next_frame(self.config.max_frame_bytes)? {
            self.handle_frame(now, frame, heard)?;
        }
        if self.output.len() > self.config.max_output_bytes {
            return Err(CloseReason::OutputBacklog);
        }
        Ok(())
    }

    fn handle_frame(
        &mut self,
        now: Ms,
        frame: Frame,
        heard: &mut Vec<SessionEvent>,
    ) -> Result<(), CloseReason> {
        let Frame { stream, message: word } = frame;
        let word = match word {
            Message::Hello(_) if self.has_hello => return Err(CloseReason::DuplicateHello),
            Message::Hello(hello) => {
                let ((from, to), (least, most)) = (hello.versions, SUPPORTED_VERSIONS);
                if from > to || to < least || from > most {
                    return Err(CloseReason::UnsupportedVersions(from, to, least, most));
                }
                self.has_hello = true;
                heard.push(SessionEvent::Hello(hello));
                return Ok(());
            }
            _ if !self.has_hello => return Err(CloseReason::NoHello),
            word => word,
        };
        match word {
            Message::Hello(_) => {}
            Message::Request(open) => {
                // One that may not be opened for want of room is turned away, and never ran.
                if self.admit_stream(stream)? {
                    self.incoming.insert(stream, IncomingRequest::default());
                    heard.push(SessionEvent::Request(stream, open));
                } else {
                    write_message(
                        &mut self.output,
                        stream,
                        &Message::Reject { reason: RejectReason::AtCapacity, retry_after_ms: 0 },
                    );
                }
            }
            Message::Response(begins) => {
                let Some(asked) = self.response_stream(stream)? else { return Ok(()) };
                if asked.response_begun || begins.offset > begins.body_length {
                    return Err(CloseReason::UnexpectedResponse);
                }
                asked.response_begun = true;
                let ticket = asked.ticket;
                heard.push(SessionEvent::ResponseHead(ticket, begins));
            }
            Message::Data(bytes) => {
                let length = bytes.len() as u64;
                self.received_body_bytes += length;
                let grants = self.receive_window.receive(stream, length)?;
                self.send_credit(grants);
                let Some(asked) = self.response_stream(stream)? else { return Ok(()) };
                if !asked.response_begun {
                    return Err(CloseReason::UnexpectedResponse);
                }
                let ticket = asked.ticket;
                // What came is kept with its request, which has its own bound: it is granted again at once.
                let grants = self.receive_window.consume(stream, length);
                self.send_credit(grants);
                heard.push(SessionEvent::Data(ticket, bytes));
            }
            Message::End => {
                let Some(asked) = self.response_stream(stream)? else { return Ok(()) };
                if !asked.response_begun {
                    return Err(CloseReason::UnexpectedResponse);
                }
                let ticket = asked.ticket;
                self.finish_stream(stream);
                heard.push(SessionEvent::ResponseEnd(ticket));
            }
            Message::Reject { reason: why, retry_after_ms: come_back } => {
                let Some(asked) = self.response_stream(stream)? else { return Ok(()) };
                if asked.response_begun {
                    return Err(CloseReason::UnexpectedResponse);
                }
                let ticket = asked.ticket;
                self.finish_stream(stream);
                heard.push(SessionEvent::Rejected(ticket, why, f64::from(come_back)));
            }
            Message::Cancel => {
                if self.incoming.remove(&stream).is_some() {
                    self.scheduler.cancel_stream(stream);
                    heard.push(SessionEvent::Cancelled(stream));
                } else if stream == 0 || stream > self.last_remote_stream {
                    return Err(FlowControlError::UnknownStream.into());
                }
            }
            Message::Credit(bytes) => self.scheduler.add_credit(stream, bytes)?,
            Message::Ping(number) => self.send(&Message::Pong(number)),
            Message::Pong(number) => self.heartbeat.record_pong(now, number),
            Message::OutcomeQuery(token) => heard.push(SessionEvent::OutcomeQuery(token)),
            Message::OutcomeReport(token, fate) => heard.push(SessionEvent::OutcomeReport(token, fate)),
            Message::StateUpdate(state) => heard.push(SessionEvent::StateUpdate(state)),
            Message::StateRequest(epoch, version) => heard.push(SessionEvent::StateRequest(epoch, version)),
            Message::DirectFacts(facts) => heard.push(SessionEvent::DirectFacts(facts)),
            Message::GoAway => {
                self.is_leaving = true;
                heard.push(SessionEvent::GoAway);
            }
        }
        Ok(())
    }

    /// A stream that the other side opens; those that it has answered to the end make room.
    fn admit_stream(&mut self, stream: u32) -> Result<bool, CloseReason> {
        if stream == 0 || stream <= self.last_remote_stream {
            return Err(FlowControlError::StreamReused.into());
        }
        self.last_remote_stream = stream;
        Ok(self.incoming.len() < self.config.flow_control.max_streams)
    }

    /// The stream that an answer is for; nothing where it was called off here, which a few answers may cross.
    fn response_stream(&mut self, stream: u32) -> Result<Option<&mut OutgoingRequest>, CloseReason> {
        if stream == 0 || stream > self.last_stream {
            return Err(CloseReason::UnexpectedResponse);
        }
        match self.outgoing.get_mut(&stream) {
            Some(asked) => Ok(Some(asked)),
            None if self.cancelled_streams.contains(&stream) => Ok(None),
            None => Err(CloseReason::UnexpectedResponse),
        }
    }

    // ---- Time.

    /// Pings where one is due; an error where the other side is not there any more.
    pub fn on_timer(&mut self, now: Ms) -> Result<(), CloseReason> {
        if !self.has_hello {
            return if now - self.opened_at >= self.config.hello_timeout {
                Err(CloseReason::HelloTimeout)
            } else {
                Ok(())
            };
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

    /// When `tick` is due.
    pub fn next_deadline(&self, now: Ms) -> Ms {
        match self.has_hello {
            true => self.next_ping.min(self.heartbeat.next_check(now)),
            false => self.opened_at + self.config.hello_timeout,
        }
    }

    /// Whether something waits that could be written.
    pub fn has_output(&self) -> bool {
        !self.output.is_empty() || self.scheduler.has_ready_stream()
    }

    /// The tickets whose answers are lost with it.
    pub fn open_tickets(&self) -> Vec<Ticket> {
        self.streams_by_ticket.keys().copied().collect()
    }
}
