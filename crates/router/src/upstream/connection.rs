//! One connection to a cache, parent or the origin: its state, its queue of messages, and what is open on it.

use std::collections::{HashMap, HashSet, VecDeque};
use std::io;
use std::net::TcpStream;
use std::rc::Rc;

use calloop::RegistrationToken;

use crate::buffers::{BufferChain, BufferPool};
use crate::policy_adapter::{AttemptKey, EndpointKey, Ms};

use super::codec::{Reply, ReplyDecoder, ReplyError};

/// The number of a connection; numbers are not used again.
pub type ConnectionId = u64;

/// Whether the system has established a connection.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ConnectionState {
    /// Abandoned at that time.
    Connecting {
        deadline: Ms,
    },
    Up,
}

/// What purges name: an object and its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RequestedObject {
    pub object: u64,
    pub group: u32,
}

/// A message that waits to be written.
#[derive(Debug)]
pub(super) struct QueuedMessage {
    /// The id under which it is answered; `None` for a cancellation.
    pub id: Option<String>,
    /// The attempt that it is, and the source that the attempt fills from.
    pub attempt: Option<AttemptKey>,
    pub source: Option<EndpointKey>,
    pub object: Option<RequestedObject>,
    pub queued_at: Ms,
    pub bytes: BufferChain,
}

impl QueuedMessage {
    /// A message that is not an attempt.
    pub fn control(id: Option<String>, queued_at: Ms, bytes: BufferChain) -> Self {
        Self { id, attempt: None, source: None, object: None, queued_at, bytes }
    }
}

/// Who waits for the answer to a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ExchangeOwner {
    Attempt(AttemptKey),
    HealthCheck,
}

/// A message that has not been answered yet.
#[derive(Debug)]
pub(super) struct Exchange {
    pub owner: ExchangeOwner,
    /// Its last byte was handed to the system: from here on it may be executed.
    pub fully_sent: bool,
}

impl Exchange {
    /// A message that was queued.
    pub fn new(owner: ExchangeOwner) -> Self {
        Self { owner, fully_sent: false }
    }
}

/// How far a write came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteProgress {
    /// Nothing is queued, or the system takes no more for now.
    Done,
    /// The next attempt has been queued since before the given time.
    Stalled,
}

/// A connection to an endpoint.
#[derive(Debug)]
pub(super) struct Connection {
    pub endpoint: EndpointKey,
    pub stream: Rc<TcpStream>,
    pub token: RegistrationToken,
    state: ConnectionState,
    input: BufferChain,
    decoder: ReplyDecoder,
    pub queue: VecDeque<QueuedMessage>,
    /// The rest of the message that is being written, and the id of its exchange.
    output: BufferChain,
    writing_id: Option<String>,
    /// Unanswered messages by id.
    pub open: HashMap<String, Exchange>,
    /// Ids that were answered with an error here: a second answer may follow, and would be taken for that of a retry
    /// under the same id.
    pub retired_ids: HashSet<String>,
    pub last_used: Ms,
    /// Takes no new messages and is closed once nothing is open: a cancelled message may still be answered here, or the
    /// endpoint is gone or was restarted.
    pub draining: bool,
}

impl Connection {
    /// A connect in progress; it is abandoned at `deadline`.
    pub fn new(
        endpoint: EndpointKey,
        stream: Rc<TcpStream>,
        token: RegistrationToken,
        buffers: &BufferPool,
        now: Ms,
        deadline: Ms,
    ) -> Self {
        Self {
            endpoint,
            stream,
            token,
            state: ConnectionState::Connecting { deadline },
            input: BufferChain::new(buffers),
            decoder: ReplyDecoder::default(),
            queue: VecDeque::new(),
            output: BufferChain::new(buffers),
            writing_id: None,
            open: HashMap::new(),
            retired_ids: HashSet::new(),
            last_used: now,
            draining: false,
        }
    }

    /// Whether the connect has succeeded.
    pub fn is_up(&self) -> bool {
        self.state == ConnectionState::Up
    }

    /// Notes that the connect has succeeded.
    pub fn set_up(&mut self) {
        self.state = ConnectionState::Up;
    }

    /// What the system says of a connect in progress.
    pub fn connect_result(&self) -> io::Result<()> {
        match self.stream.take_error() {
            Ok(None) => Ok(()),
            Ok(Some(error)) | Err(error) => Err(error),
        }
    }

    /// Until when a connect may take; `None` once it is up.
    pub fn connect_deadline(&self) -> Option<Ms> {
        match self.state {
            ConnectionState::Connecting { deadline } => Some(deadline),
            ConnectionState::Up => None,
        }
    }

    /// Whether it is up with nothing open on it.
    pub fn is_idle(&self) -> bool {
        self.open.is_empty() && self.is_up()
    }

    /// Whether it is to be closed now.
    pub fn is_drained(&self) -> bool {
        self.draining && self.open.is_empty()
    }

    /// Whether a message under that id may be sent here.
    pub fn accepts(&self, id: &str, max_streams: usize) -> bool {
        let id_in_use = self.open.contains_key(id) || self.retired_ids.contains(id);
        self.open.len() < max_streams && !self.draining && !id_in_use
    }

    /// Queues a message as the last one, with its exchange.
    pub fn enqueue(&mut self, now: Ms, message: QueuedMessage, owner: ExchangeOwner) {
        self.last_used = now;
        if let Some(id) = &message.id {
            self.open.insert(id.clone(), Exchange::new(owner));
        }
        self.queue.push_back(message);
    }

    /// Whether an attempt is queued and not a byte of it was written.
    pub fn has_queued(&self, attempt: AttemptKey) -> bool {
        self.queue.iter().any(|queued| queued.attempt == Some(attempt))
    }

    /// Takes a queued attempt back; false where it is not queued.
    pub fn remove_queued(&mut self, attempt: AttemptKey) -> bool {
        let position = self.queue.iter().position(|queued| queued.attempt == Some(attempt));
        position.and_then(|position| self.queue.remove(position)).is_some()
    }

    /// Whether a cancellation is queued or written in part only.
    pub fn has_unsent_cancellation(&self) -> bool {
        let is_writing_one = !self.output.is_empty() && self.writing_id.is_none();
        is_writing_one || self.queue.iter().any(|queued| queued.id.is_none())
    }

    /// Whether a reply has begun though nothing is open.
    pub fn has_unexpected_input(&self) -> bool {
        self.open.is_empty() && (!self.input.is_empty() || !self.decoder.is_idle())
    }

    /// Reads once; 0 means that the other side has closed the connection.
    ///
    /// # Errors
    ///
    /// Errors of the system.
    pub fn read(&mut self) -> io::Result<usize> {
        self.input.read_from(&*self.stream)
    }

    /// The next reply that was read in full.
    ///
    /// # Errors
    ///
    /// A reply that breaks the protocol.
    pub fn next_reply(&mut self, max_string: usize) -> Result<Option<Reply>, ReplyError> {
        self.decoder.decode(&mut self.input, max_string)
    }

    /// Writes as much as the system takes, but no attempt that was queued before `oldest`.
    ///
    /// # Errors
    ///
    /// Errors of the system.
    pub fn write(&mut self, oldest: Ms) -> io::Result<WriteProgress> {
        loop {
            if self.output.is_empty() {
                self.finish_message();
                let next = self.queue.front();
                if next.is_some_and(|next| next.attempt.is_some() && next.queued_at < oldest) {
                    return Ok(WriteProgress::Stalled);
                }
                let Some(next) = self.queue.pop_front() else { return Ok(WriteProgress::Done) };
                self.output = next.bytes;
                self.writing_id = next.id;
            }
            match self.output.write_to(&*self.stream) {
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(WriteProgress::Done),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Notes that the message being written has left in full.
    fn finish_message(&mut self) {
        let Some(id) = self.writing_id.take() else { return };
        if let Some(exchange) = self.open.get_mut(&id) {
            exchange.fully_sent = true;
        }
    }
}
