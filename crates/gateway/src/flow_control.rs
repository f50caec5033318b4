//! Owns the turns of many streams on one link: who may send how much now, and how much may still come in.
//!
//! Credit by stream and by link, as in RFC 9113: a reader that stops holds up its own stream and no other. Among those
//! that may send, higher priorities go first and equal ones take turns; the lowest is never left out for good. Must
//! never let through more than was granted, nor keep more than its bounds.

use std::collections::{BTreeMap, VecDeque};

/// Who goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    Booking,
    /// The first part of an object: somebody waits for it to begin.
    FirstPart,
    LaterPart,
}

const PRIORITIES: [Priority; 3] = [Priority::Booking, Priority::FirstPart, Priority::LaterPart];

/// The bounds of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowControlConfig {
    /// Streams at once, in each direction.
    pub max_streams: usize,
    /// What may be sent on a stream, and on the link, before more is granted.
    pub stream_window_bytes: u64,
    pub link_window_bytes: u64,
    /// The most that goes in one turn.
    pub max_turn_bytes: u64,
    /// After so many turns of higher priorities a lower one has one.
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

/// What the other side has done that it may not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FlowControlError {
    #[error("more bytes than were granted")]
    WindowExceeded,
    #[error("more credit than can be counted")]
    CreditOverflow,
    #[error("a stream that is not open")]
    UnknownStream,
    #[error("a stream that was used before")]
    StreamReused,
}

#[derive(Debug, Clone)]
struct OutgoingStream {
    priority: Priority,
    credit: u64,
    queued_bytes: u64,
    /// Nothing more will be added; it is over once all has gone.
    is_complete: bool,
    is_ready: bool,
}

/// What may be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendTurn {
    pub stream: u32,
    pub bytes: u64,
    /// All that there is of the stream has gone with this.
    pub is_last: bool,
}

/// The sending side of a link.
#[derive(Debug, Clone)]
pub struct SendScheduler {
    config: FlowControlConfig,
    link_credit: u64,
    streams: BTreeMap<u32, OutgoingStream>,
    /// Those that have something to send and credit for it, in their turns.
    ready: [VecDeque<u32>; 3],
    skipped_turns: [u32; 3],
}

impl SendScheduler {
    pub fn new(bounds: FlowControlConfig) -> Self {
        Self {
            link_credit: bounds.link_window_bytes,
            config: bounds,
            streams: BTreeMap::new(),
            ready: Default::default(),
            skipped_turns: [0; 3],
        }
    }

    pub fn len(&self) -> usize {
        self.streams.len()
    }

    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Bytes that wait.
    pub fn queued_bytes(&self) -> u64 {
        self.streams.values().map(|out| out.queued_bytes).sum()
    }

    /// Whether somebody could send now, credit of the link allowing.
    pub fn has_ready_stream(&self) -> bool {
        let able = |stream: &u32| {
            self.streams
                .get(stream)
                .is_some_and(|out| out.is_complete && out.queued_bytes == 0 || self.link_credit > 0)
        };
        self.ready.iter().any(|ready| ready.iter().any(able))
    }

    /// A new stream; false where there are as many as may be.
    pub fn open_stream(&mut self, stream: u32, priority: Priority) -> bool {
        if self.streams.len() >= self.config.max_streams || self.streams.contains_key(&stream) {
            return false;
        }
        let credit = self.config.stream_window_bytes;
        self.streams.insert(
            stream,
            OutgoingStream { priority, credit, queued_bytes: 0, is_complete: false, is_ready: false },
        );
        true
    }

    /// More bytes are there to be sent; `last` says that these are all.
    pub fn queue_bytes(&mut self, stream: u32, bytes: u64, last: bool) {
        if let Some(out) = self.streams.get_mut(&stream) {
            out.queued_bytes += bytes;
            out.is_complete |= last;
        }
        self.enqueue_if_ready(stream);
    }

    /// The stream is called off.
    pub fn cancel_stream(&mut self, stream: u32) {
        self.streams.remove(&stream);
    }

    /// The other side grants more, on a stream or, on stream 0, on the link.
    pub fn add_credit(&mut self, stream: u32, bytes: u32) -> Result<(), FlowControlError> {
        // Whoever grants without end wants the count to overflow.
        let more = |credit: u64| {
            let sum = credit + u64::from(bytes);
            (sum <= u64::from(u32::MAX)).then_some(sum).ok_or(FlowControlError::CreditOverflow)
        };
        if stream == 0 {
            self.link_credit = more(self.link_credit)?;
            return Ok(());
        }
        // One that has just ended may still be granted something.
        let Some(out) = self.streams.get_mut(&stream) else { return Ok(()) };
        out.credit = more(out.credit)?;
        self.enqueue_if_ready(stream);
        Ok(())
    }

    fn enqueue_if_ready(&mut self, stream: u32) {
        let Some(out) = self.streams.get_mut(&stream) else { return };
        let able = out.queued_bytes > 0 && out.credit > 0 || out.is_complete && out.queued_bytes == 0;
        if able && !out.is_ready {
            out.is_ready = true;
            self.ready[out.priority as usize].push_back(stream);
        }
    }

    /// Who sends next, and how much; `room` is what the connection takes now.
    pub fn next_turn(&mut self, room: u64) -> Option<SendTurn> {
        let place = self.choose_priority()?;
        for n in 0..PRIORITIES.len() {
            let waits = n > place && !self.ready[n].is_empty();
            self.skipped_turns[n] = if waits { self.skipped_turns[n] + 1 } else { 0 };
        }
        while let Some(stream) = self.ready[place].pop_front() {
            let Some(out) = self.streams.get_mut(&stream) else { continue };
            out.is_ready = false;
            let bytes = out
                .queued_bytes
                .min(out.credit)
                .min(self.link_credit)
                .min(self.config.max_turn_bytes)
                .min(room);
            let end = out.is_complete && bytes == out.queued_bytes;
            if bytes == 0 && !end {
                // The link's credit or the connection's room is at its end; the stream keeps its turn.
                out.is_ready = true;
                self.ready[place].push_front(stream);
                return None;
            }
            out.queued_bytes -= bytes;
            out.credit -= bytes;
            self.link_credit -= bytes;
            match end {
                true => drop(self.streams.remove(&stream)),
                false => self.enqueue_if_ready(stream),
            }
            return Some(SendTurn { stream, bytes, is_last: end });
        }
        None
    }

    /// The highest priority that has somebody ready, or a lower one that was passed over for too long.
    fn choose_priority(&mut self) -> Option<usize> {
        for (ready, streams) in self.ready.iter_mut().zip([&self.streams; 3]) {
            while ready.front().is_some_and(|stream| !streams.contains_key(stream)) {
                ready.pop_front();
            }
        }
        let waits = |n: &usize| !self.ready[*n].is_empty();
        let starved = (0..3).filter(waits).find(|n| self.skipped_turns[*n] >= self.config.max_skipped_turns);
        starved.or_else(|| (0..3).find(waits))
    }
}

#[derive(Debug, Clone, Copy)]
struct IncomingStream {
    /// What may still come, and what was taken out and not granted again.
    remaining: u64,
    consumed: u64,
}

/// The receiving side of a link.
#[derive(Debug, Clone)]
pub struct ReceiveWindow {
    config: FlowControlConfig,
    link_remaining: u64,
    link_consumed: u64,
    streams: BTreeMap<u32, IncomingStream>,
}

/// Credit for the other side.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CreditGrant {
    /// The stream; 0 for the connection.
    pub stream: u32,
    /// How many more bytes it may send.
    pub bytes: u32,
}

impl ReceiveWindow {
    pub fn new(bounds: FlowControlConfig) -> Self {
        Self {
            link_remaining: bounds.link_window_bytes,
            link_consumed: 0,
            config: bounds,
            streams: BTreeMap::new(),
        }
    }

    pub fn len(&self) -> usize {
        self.streams.len()
    }

    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Something is to come on a stream that this side has opened.
    pub fn open_stream(&mut self, stream: u32) {
        self.streams
            .insert(stream, IncomingStream { remaining: self.config.stream_window_bytes, consumed: 0 });
    }

    /// Bytes came in. On a stream that was called off here they count for the link alone.
    pub fn receive(&mut self, stream: u32, bytes: u64) -> Result<Vec<CreditGrant>, FlowControlError> {
        self.link_remaining =
            self.link_remaining.checked_sub(bytes).ok_or(FlowControlError::WindowExceeded)?;
        match self.streams.get_mut(&stream) {
            Some(open) => {
                open.remaining = open.remaining.checked_sub(bytes).ok_or(FlowControlError::WindowExceeded)?;
                Ok(Vec::new())
            }
            None => Ok(self.consume_link(bytes)),
        }
    }

    /// Bytes were passed on: what may be granted for them.
    pub fn consume(&mut self, stream: u32, bytes: u64) -> Vec<CreditGrant> {
        let mut grants = self.consume_link(bytes);
        let half = self.config.stream_window_bytes / 2;
        if let Some(open) = self.streams.get_mut(&stream) {
            open.consumed += bytes;
            if open.consumed >= half {
                open.remaining += open.consumed;
                grants.push(CreditGrant { stream, bytes: std::mem::take(&mut open.consumed) as u32 });
            }
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

    /// The stream is over, or was called off; `unread` bytes of it will never be passed on.
    pub fn close_stream(&mut self, stream: u32, unread: u64) -> Vec<CreditGrant> {
        match self.streams.remove(&stream) {
            Some(_) => self.consume_link(unread),
            None => Vec::new(),
        }
    }
}
