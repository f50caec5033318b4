//! One connection to a cache, a parent or the origin: its state, its message queue, and its open exchanges.

use std::collections::{HashMap, HashSet, VecDeque};
use std::io;
use std::net::TcpStream;
use std::rc::Rc;

use calloop::RegistrationToken;

use crate::buffers::{BufferChain, BufferPool};
use crate::permission::{self, SendOrder, SendRefusal};
use crate::policy_adapter::{AttemptEnd, AttemptKey, EndpointKey, Ms};
use crate::system_error::is_interrupted;

use super::codec::{self, Reply, ReplyDecoder, ReplyError, StringLimits};
use super::request::RequestFields;

/// The id of a connection; ids are never reused.
pub type ConnectionId = u64;

/// The state of a connect.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ConnectionState {
    /// This machine could not begin the connect yet; it is tried again until the deadline.
    Waiting {
        deadline: Ms,
    },
    /// The connect is abandoned at the deadline.
    Connecting {
        deadline: Ms,
    },
    Up,
}

/// The object that a queued attempt requests, and its purge group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RequestedObject {
    pub object: u64,
    pub group: u32,
}

/// A message that is queued for writing.
#[derive(Debug)]
pub(super) struct QueuedMessage {
    /// The id that its reply will repeat; `None` for a cancellation, which has no reply.
    pub id: Option<String>,
    /// The attempt, if the message is one; `sources` are the endpoints that its fill may pass.
    pub attempt: Option<AttemptKey>,
    pub sources: Vec<EndpointKey>,
    pub object: Option<RequestedObject>,
    pub queued_at: Ms,
    pub content: MessageContent,
}

/// The content of a queued message.
#[derive(Debug)]
pub(super) enum MessageContent {
    /// A cancellation or a health check, encoded.
    Control(BufferChain),
    /// A request, which is encoded when its first byte is written: only then it is known how much time is left.
    Request { fields: RequestFields, body: BufferChain },
}

impl MessageContent {
    /// The approximate number of bytes.
    fn len(&self) -> usize {
        match self {
            Self::Control(bytes) => bytes.len(),
            Self::Request { body, .. } => body.len(),
        }
    }
}

impl QueuedMessage {
    /// A cancellation or a health check.
    pub fn control(id: Option<String>, queued_at: Ms, bytes: BufferChain) -> Self {
        let content = MessageContent::Control(bytes);
        Self { id, attempt: None, sources: Vec::new(), object: None, queued_at, content }
    }

    /// The encoded message, as it is written now.
    fn into_bytes(self, now: Ms, buffers: &BufferPool) -> BufferChain {
        match self.content {
            MessageContent::Control(bytes) => bytes,
            MessageContent::Request { fields, body } => {
                let id = self.id.unwrap_or_default();
                codec::encode_request(buffers, &id, &fields.at(now), body)
            }
        }
    }
}

/// The operation that a reply completes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ExchangeOwner {
    Attempt(AttemptKey),
    HealthCheck,
}

/// A message without a reply so far.
#[derive(Debug)]
pub(super) struct Exchange {
    pub owner: ExchangeOwner,
    /// Its last byte was handed to the system, so the endpoint may execute it.
    pub fully_sent: bool,
}

/// How much of an attempt was handed to the system when it was taken off its connection. No byte of it is
/// written after that.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SendProgress {
    Queued,
    /// A part of it: the endpoint never receives the rest, and can't execute it.
    Partial {
        unwritten_bytes: usize,
    },
    /// All of it: the endpoint may execute it.
    Sent,
}

impl Exchange {
    /// The exchange of a message that was just queued.
    pub fn new(owner: ExchangeOwner) -> Self {
        Self { owner, fully_sent: false }
    }
}

/// The result of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteProgress {
    /// Everything is written, or the socket is not writable for now.
    Done,
    /// The next attempt was queued before the given time.
    Stalled,
    /// The next attempt may not be sent.
    Refused(AttemptKey, SendRefusal),
}

/// The socket of a connection, and its registration with the event loop.
#[derive(Debug)]
pub(super) struct UpstreamSocket {
    pub stream: Rc<TcpStream>,
    pub token: RegistrationToken,
}

/// A connection to an endpoint.
#[derive(Debug)]
pub(super) struct Connection {
    pub endpoint: EndpointKey,
    /// `None` while the connect waits to be begun.
    socket: Option<UpstreamSocket>,
    state: ConnectionState,
    input: BufferChain,
    decoder: ReplyDecoder,
    pub queue: VecDeque<QueuedMessage>,
    /// The unwritten rest of the current message; `writing_id` is the id of its exchange.
    output: BufferChain,
    writing_id: Option<String>,
    /// The current message was abandoned, so that the endpoint would take any further byte for a part of it.
    is_write_stopped: bool,
    /// Messages without a reply, by id.
    pub open: HashMap<String, Exchange>,
    /// Ids that were answered with an error on this connection: a second reply may follow, and would be
    /// mistaken for that of a retry with the same id.
    pub retired_ids: HashSet<String>,
    pub last_used: Ms,
    /// Accepts no new messages, and is closed once nothing is open: a cancelled message may still be answered
    /// here, or the endpoint was removed or restarted.
    pub draining: bool,
}

impl Connection {
    /// Creates the state of a connect that is begun until `deadline`.
    pub fn new(endpoint: EndpointKey, buffers: &BufferPool, now: Ms, deadline: Ms) -> Self {
        Self {
            endpoint,
            socket: None,
            state: ConnectionState::Waiting { deadline },
            input: BufferChain::new(buffers),
            decoder: ReplyDecoder::default(),
            queue: VecDeque::new(),
            output: BufferChain::new(buffers),
            writing_id: None,
            is_write_stopped: false,
            open: HashMap::new(),
            retired_ids: HashSet::new(),
            last_used: now,
            draining: false,
        }
    }

    /// Begins the connect, which is abandoned at `deadline`.
    pub fn begin_connect(&mut self, socket: UpstreamSocket, deadline: Ms) {
        self.socket = Some(socket);
        self.state = ConnectionState::Connecting { deadline };
    }

    /// Takes the socket off, to be closed.
    pub fn take_socket(&mut self) -> Option<UpstreamSocket> {
        self.socket.take()
    }

    /// Whether this machine could not begin the connect yet.
    pub fn is_waiting(&self) -> bool {
        matches!(self.state, ConnectionState::Waiting { .. })
    }

    /// How an attempt ends that was not sent completely.
    pub fn unsent_end(&self) -> AttemptEnd {
        if self.is_waiting() {
            AttemptEnd::NotSentLocally
        } else {
            AttemptEnd::NotSent
        }
    }

    /// Whether the system has established the connection.
    pub fn is_connected(&self) -> bool {
        self.is_up() || self.stream().is_ok_and(|stream| stream.peer_addr().is_ok())
    }

    /// Whether the connect is known to have succeeded.
    pub fn is_up(&self) -> bool {
        self.state == ConnectionState::Up
    }

    /// Marks the connect as succeeded.
    pub fn mark_up(&mut self) {
        self.state = ConnectionState::Up;
    }

    fn stream(&self) -> io::Result<Rc<TcpStream>> {
        let socket = self.socket.as_ref().ok_or(io::ErrorKind::NotConnected)?;
        Ok(socket.stream.clone())
    }

    /// The error of a connect that has failed. `Ok` does not mean that it has succeeded.
    pub fn connect_result(&self) -> io::Result<()> {
        match self.stream()?.take_error() {
            Ok(None) => Ok(()),
            Ok(Some(error)) | Err(error) => Err(error),
        }
    }

    /// The deadline of the connect; `None` once the connection is up.
    pub fn connect_deadline(&self) -> Option<Ms> {
        match self.state {
            ConnectionState::Waiting { deadline } | ConnectionState::Connecting { deadline } => {
                Some(deadline)
            }
            ConnectionState::Up => None,
        }
    }

    /// Whether it is up and has no open exchanges.
    pub fn is_idle(&self) -> bool {
        self.open.is_empty() && self.is_up()
    }

    /// Whether it is draining and has no open exchanges left.
    pub fn is_drained(&self) -> bool {
        self.draining && self.open.is_empty()
    }

    /// Whether a message with this id may be sent here.
    pub fn accepts(&self, id: &str, max_streams: usize) -> bool {
        self.open.len() < max_streams
            && !self.draining
            && !self.open.contains_key(id)
            && !self.retired_ids.contains(id)
    }

    /// Appends a message to the queue, and opens its exchange.
    pub fn enqueue(&mut self, now: Ms, message: QueuedMessage, owner: ExchangeOwner) {
        self.last_used = now;
        if let Some(id) = &message.id {
            self.open.insert(id.clone(), Exchange::new(owner));
        }
        self.queue.push_back(message);
    }

    /// Whether an attempt is queued and no byte of it was written.
    pub fn has_queued(&self, attempt: AttemptKey) -> bool {
        self.queue.iter().any(|queued| queued.attempt == Some(attempt))
    }

    /// Removes a queued attempt; returns false if it is not queued.
    fn remove_queued(&mut self, attempt: AttemptKey) -> bool {
        let position = self.queue.iter().position(|queued| queued.attempt == Some(attempt));
        position.and_then(|position| self.queue.remove(position)).is_some()
    }

    /// Drops a queued attempt with its exchange.
    pub fn drop_queued(&mut self, attempt: AttemptKey) {
        let position = self.queue.iter().position(|queued| queued.attempt == Some(attempt));
        let queued = position.and_then(|position| self.queue.remove(position));
        if let Some(id) = queued.and_then(|queued| queued.id) {
            self.open.remove(&id);
        }
    }

    /// Takes an attempt off the connection, with its exchange. If it was written in part, nothing more is
    /// written to the connection: its other exchanges may still be answered.
    pub fn take_off(&mut self, attempt: AttemptKey, id: &str) -> SendProgress {
        let exchange = self.open.remove(id);
        if exchange.is_some_and(|exchange| exchange.fully_sent) {
            return SendProgress::Sent;
        }
        if self.remove_queued(attempt) {
            return SendProgress::Queued;
        }
        let is_current = self.writing_id.as_deref() == Some(id) && !self.output.is_empty();
        if !is_current {
            return SendProgress::Sent;
        }
        self.draining = true;
        self.is_write_stopped = true;
        self.writing_id = None;
        let unwritten_bytes = self.output.len();
        self.output.consume(unwritten_bytes);
        SendProgress::Partial { unwritten_bytes }
    }

    /// Takes off the messages that can't be written any more because the one before them was abandoned.
    pub fn take_unwritable(&mut self) -> Vec<Exchange> {
        if !self.is_write_stopped {
            return Vec::new();
        }
        let queue = std::mem::take(&mut self.queue);
        queue.into_iter().filter_map(|queued| self.open.remove(&queued.id?)).collect()
    }

    /// Whether a cancellation is queued or only partially written.
    pub fn has_unsent_cancellation(&self) -> bool {
        let is_writing_one = !self.output.is_empty() && self.writing_id.is_none();
        is_writing_one || self.queue.iter().any(|queued| queued.id.is_none())
    }

    /// The bytes of a reply that is not complete yet.
    pub fn input_bytes(&self) -> usize {
        self.input.len()
    }

    /// The bytes of the messages that are not written yet.
    pub fn unwritten_bytes(&self) -> usize {
        let queued: usize = self.queue.iter().map(|message| message.content.len()).sum();
        self.output.len() + queued
    }

    /// Whether a reply has begun although no exchange is open.
    pub fn has_unexpected_input(&self) -> bool {
        self.open.is_empty() && (!self.input.is_empty() || !self.decoder.is_idle())
    }

    /// Reads once; returns the number of bytes, 0 if the endpoint has closed the connection.
    ///
    /// # Errors
    ///
    /// Errors of the system.
    pub fn read(&mut self) -> io::Result<usize> {
        let stream = self.stream()?;
        self.input.read_from(&*stream)
    }

    /// The next complete reply; `None` until one is read.
    ///
    /// # Errors
    ///
    /// A reply that violates the protocol.
    pub fn next_reply(&mut self, limits: StringLimits) -> Result<Option<Reply>, ReplyError> {
        self.decoder.decode(&mut self.input, limits)
    }

    /// Writes queued messages until the socket would block, but no attempt that was queued before `oldest`.
    ///
    /// # Errors
    ///
    /// Errors of the system.
    ///
    /// `order_of` returns the order of an attempt that is in flight.
    pub fn write(
        &mut self,
        now: Ms,
        buffers: &BufferPool,
        oldest: Ms,
        order_of: impl Fn(AttemptKey) -> Option<SendOrder>,
    ) -> io::Result<WriteProgress> {
        let stream = self.stream()?;
        if self.is_write_stopped {
            return Ok(WriteProgress::Done);
        }
        loop {
            if self.output.is_empty() {
                self.finish_message();
                let next = self.queue.front();
                if next.is_some_and(|next| next.attempt.is_some() && next.queued_at < oldest) {
                    return Ok(WriteProgress::Stalled);
                }
                if let Some(attempt) = next.and_then(|next| next.attempt) {
                    if let Err(refusal) = permission::may_send(now, order_of(attempt)) {
                        return Ok(WriteProgress::Refused(attempt, refusal));
                    }
                }
                let Some(next) = self.queue.pop_front() else { return Ok(WriteProgress::Done) };
                self.writing_id = next.id.clone();
                self.output = next.into_bytes(now, buffers);
            }
            match self.output.write_to(&*stream) {
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(WriteProgress::Done),
                Err(error) if is_interrupted(&error) => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Marks the exchange of the current message as fully sent.
    fn finish_message(&mut self) {
        let Some(id) = self.writing_id.take() else { return };
        if let Some(exchange) = self.open.get_mut(&id) {
            exchange.fully_sent = true;
        }
    }
}
