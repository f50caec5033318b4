//! Flow control of a connection: credit per stream and per connection as in RFC 9113, and scheduling by
//! priority.
//!
//! A reader that stops reading blocks only its own stream. Among the streams that can send, higher priorities
//! go first and equal ones take turns; the lowest priority is never starved. Nothing is sent beyond the
//! granted credit, and nothing is buffered beyond its limit.

use std::collections::{BTreeMap, VecDeque};

/// The priority of a stream. The number of its variant is on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// A request that is not idempotent.
    Booking,
    /// The first part of an object, for which a viewer is waiting.
    FirstPart,
    /// Any other part.
    LaterPart,
}

const PRIORITY_COUNT: usize = 3;

/// The limits of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowControlConfig {
    /// Maximum number of open streams in each direction.
    pub max_streams: usize,
    /// The initial credit of a stream.
    pub stream_window_bytes: u64,
    /// The initial credit of a connection.
    pub link_window_bytes: u64,
    /// Maximum number of bytes sent in one turn.
    pub max_turn_bytes: u64,
    /// The number of turns that higher priorities may take before a waiting lower one gets a turn.
    pub max_skipped_turns: u32,
}

impl Default for FlowControlConfig {
    fn default() -> Self {
        Self {
            max_streams: 256,
            stream_window_bytes: 256 << 10,
            link_window_bytes: 4 << 20,
            max_turn_bytes: 16 << 10,
            max_skipped_turns: 8,
        }
    }
}

/// A violation of flow control by the peer. The connection has to be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FlowControlError {
    /// The peer sent more bytes than were granted.
    #[error("peer sent {bytes} bytes on stream {stream}, expected at most the granted {granted}")]
    WindowExceeded {
        /// The stream.
        stream: u32,
        /// The bytes received at once.
        bytes: u64,
        /// The bytes that were granted and not used before, of the stream or of the connection.
        granted: u64,
    },
    /// The granted credit exceeds the largest window, `u32::MAX` bytes.
    #[error("peer granted more than {} bytes of credit in all", u32::MAX)]
    CreditOverflow,
    /// The peer refers to a stream that was never opened.
    #[error("peer sent a message on stream {0}, which was never opened")]
    UnknownStream(u32),
    /// The peer opens a stream whose number was used before.
    #[error("peer opened stream {0}, whose number was used before")]
    StreamReused(u32),
}

#[derive(Debug, Clone)]
struct OutgoingStream {
    priority: Priority,
    credit: u64,
    queued_bytes: u64,
    /// No more bytes will be queued; the stream ends once all of them are sent.
    is_complete: bool,
    /// Whether the stream is in the queue of its priority.
    is_ready: bool,
}

/// The bytes of one stream that are to be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendTurn {
    /// The stream.
    pub stream: u32,
    /// The number of bytes to send.
    pub bytes: u64,
    /// Whether the stream ends with these bytes.
    pub is_last: bool,
}

/// The sending side of a connection.
#[derive(Debug, Clone)]
pub struct SendScheduler {
    config: FlowControlConfig,
    link_credit: u64,
    streams: BTreeMap<u32, OutgoingStream>,
    /// For each priority, the streams that have something to send and credit for it, in order of their turns.
    ready: [VecDeque<u32>; PRIORITY_COUNT],
    skipped_turns: [u32; PRIORITY_COUNT],
}

impl SendScheduler {
    /// Creates the state of a connection without streams.
    pub fn new(config: FlowControlConfig) -> Self {
        Self {
            link_credit: config.link_window_bytes,
            config,
            streams: BTreeMap::new(),
            ready: Default::default(),
            skipped_turns: [0; PRIORITY_COUNT],
        }
    }

    /// The number of open streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether no stream is open.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// The number of bytes that are queued for sending.
    pub fn queued_bytes(&self) -> u64 {
        self.streams.values().map(|stream| stream.queued_bytes).sum()
    }

    /// Whether a stream can send now, within the credit of the connection.
    pub fn has_ready_stream(&self) -> bool {
        let may_send = |id: &u32| {
            let stream = self.streams.get(id);
            stream.is_some_and(|s| s.is_complete && s.queued_bytes == 0 || self.link_credit > 0)
        };
        self.ready.iter().any(|ready| ready.iter().any(may_send))
    }

    /// Opens a stream. Returns false if it is already open or the limit of streams is reached.
    pub fn open_stream(&mut self, id: u32, priority: Priority) -> bool {
        if self.streams.len() >= self.config.max_streams || self.streams.contains_key(&id) {
            return false;
        }
        let credit = self.config.stream_window_bytes;
        let stream =
            OutgoingStream { priority, credit, queued_bytes: 0, is_complete: false, is_ready: false };
        self.streams.insert(id, stream);
        true
    }

    /// Queues bytes of a stream; `is_last` means that none follow.
    pub fn queue_bytes(&mut self, id: u32, bytes: u64, is_last: bool) {
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.queued_bytes += bytes;
            stream.is_complete |= is_last;
        }
        self.enqueue_if_ready(id);
    }

    /// Drops a stream and its queued bytes.
    pub fn cancel_stream(&mut self, id: u32) {
        self.streams.remove(&id);
    }

    /// Adds credit that the peer granted to a stream or, on stream 0, to the connection.
    ///
    /// # Errors
    ///
    /// The credit would exceed `u32::MAX` bytes.
    pub fn add_credit(&mut self, id: u32, bytes: u32) -> Result<(), FlowControlError> {
        let add = |credit: u64| {
            let sum = credit + u64::from(bytes);
            (sum <= u64::from(u32::MAX)).then_some(sum).ok_or(FlowControlError::CreditOverflow)
        };
        if id == 0 {
            self.link_credit = add(self.link_credit)?;
            return Ok(());
        }
        // The stream may have ended while the credit was in transit.
        let Some(stream) = self.streams.get_mut(&id) else { return Ok(()) };
        stream.credit = add(stream.credit)?;
        self.enqueue_if_ready(id);
        Ok(())
    }

    fn enqueue_if_ready(&mut self, id: u32) {
        let Some(stream) = self.streams.get_mut(&id) else { return };
        let has_bytes = stream.queued_bytes > 0 && stream.credit > 0;
        let has_end = stream.is_complete && stream.queued_bytes == 0;
        if (has_bytes || has_end) && !stream.is_ready {
            stream.is_ready = true;
            self.ready[stream.priority as usize].push_back(id);
        }
    }

    /// Takes the next turn: the stream to send and how many of its bytes. `max_bytes` is the number of bytes
    /// that the connection accepts now.
    pub fn next_turn(&mut self, max_bytes: u64) -> Option<SendTurn> {
        let priority = self.choose_priority()?;
        for lower in 0..PRIORITY_COUNT {
            let is_skipped = lower > priority && !self.ready[lower].is_empty();
            self.skipped_turns[lower] = if is_skipped { self.skipped_turns[lower] + 1 } else { 0 };
        }
        while let Some(id) = self.ready[priority].pop_front() {
            let Some(stream) = self.streams.get_mut(&id) else { continue };
            stream.is_ready = false;
            let bytes = stream.queued_bytes.min(stream.credit).min(self.link_credit);
            let bytes = bytes.min(self.config.max_turn_bytes).min(max_bytes);
            let is_last = stream.is_complete && bytes == stream.queued_bytes;
            if bytes == 0 && !is_last {
                // The credit of the connection, or `max_bytes`, is used up; the stream stays first in its
                // queue.
                stream.is_ready = true;
                self.ready[priority].push_front(id);
                return None;
            }
            stream.queued_bytes -= bytes;
            stream.credit -= bytes;
            self.link_credit -= bytes;
            if is_last {
                self.streams.remove(&id);
            } else {
                self.enqueue_if_ready(id);
            }
            return Some(SendTurn { stream: id, bytes, is_last });
        }
        None
    }

    /// The highest priority with a ready stream, or a lower one that has been skipped too often.
    fn choose_priority(&mut self) -> Option<usize> {
        for ready in &mut self.ready {
            while ready.front().is_some_and(|id| !self.streams.contains_key(id)) {
                ready.pop_front();
            }
        }
        let is_ready = |priority: &usize| !self.ready[*priority].is_empty();
        let is_starved = |priority: &usize| self.skipped_turns[*priority] >= self.config.max_skipped_turns;
        let starved = (0..PRIORITY_COUNT).filter(is_ready).find(is_starved);
        starved.or_else(|| (0..PRIORITY_COUNT).find(is_ready))
    }
}

#[derive(Debug, Clone, Copy)]
struct IncomingStream {
    /// Granted bytes that have not been received yet.
    remaining: u64,
    /// Consumed bytes for which no new credit was granted yet.
    consumed: u64,
}

/// The receiving side of a connection.
#[derive(Debug, Clone)]
pub struct ReceiveWindow {
    config: FlowControlConfig,
    link_remaining: u64,
    link_consumed: u64,
    streams: BTreeMap<u32, IncomingStream>,
}

/// Credit to be granted to the peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CreditGrant {
    /// The stream; 0 means the connection.
    pub stream: u32,
    /// How many more bytes the peer may send.
    pub bytes: u32,
}

impl ReceiveWindow {
    /// Creates the state of a connection without streams.
    pub fn new(config: FlowControlConfig) -> Self {
        Self { link_remaining: config.link_window_bytes, link_consumed: 0, config, streams: BTreeMap::new() }
    }

    /// The number of open streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether no stream is open.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Starts to expect bytes on a stream that this side opened.
    pub fn open_stream(&mut self, id: u32) {
        let stream = IncomingStream { remaining: self.config.stream_window_bytes, consumed: 0 };
        self.streams.insert(id, stream);
    }

    /// Records received bytes. On a stream that is no longer open they count only towards the connection and
    /// are consumed at once.
    ///
    /// # Errors
    ///
    /// The peer sent more bytes than were granted.
    pub fn receive(&mut self, id: u32, bytes: u64) -> Result<Vec<CreditGrant>, FlowControlError> {
        let exceeded = |granted| FlowControlError::WindowExceeded { stream: id, bytes, granted };
        let link_remaining = self.link_remaining.checked_sub(bytes);
        self.link_remaining = link_remaining.ok_or(exceeded(self.link_remaining))?;
        match self.streams.get_mut(&id) {
            Some(stream) => {
                let remaining = stream.remaining.checked_sub(bytes);
                stream.remaining = remaining.ok_or(exceeded(stream.remaining))?;
                Ok(Vec::new())
            }
            None => Ok(self.consume_link(bytes)),
        }
    }

    /// Records consumed bytes and returns the credit to grant for them.
    pub fn consume(&mut self, id: u32, bytes: u64) -> Vec<CreditGrant> {
        let mut grants = self.consume_link(bytes);
        let half = self.config.stream_window_bytes / 2;
        let Some(stream) = self.streams.get_mut(&id) else { return grants };
        stream.consumed += bytes;
        if stream.consumed >= half {
            stream.remaining += stream.consumed;
            grants.push(CreditGrant { stream: id, bytes: std::mem::take(&mut stream.consumed) as u32 });
        }
        grants
    }

    fn consume_link(&mut self, bytes: u64) -> Vec<CreditGrant> {
        self.link_consumed += bytes;
        if self.link_consumed < self.config.link_window_bytes / 2 {
            return Vec::new();
        }
        self.link_remaining += self.link_consumed;
        vec![CreditGrant { stream: 0, bytes: std::mem::take(&mut self.link_consumed) as u32 }]
    }

    /// Removes a stream that ended or was cancelled and returns the credit to grant; `unread` bytes of it
    /// will never be consumed.
    pub fn close_stream(&mut self, id: u32, unread: u64) -> Vec<CreditGrant> {
        match self.streams.remove(&id) {
            Some(_) => self.consume_link(unread),
            None => Vec::new(),
        }
    }
}
