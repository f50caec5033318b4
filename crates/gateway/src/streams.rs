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
    First,
    Rest,
}

const PRIORITIES: [Priority; 3] = [Priority::Booking, Priority::First, Priority::Rest];

/// The bounds of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Streams at once, in each direction.
    pub streams: usize,
    /// What may be sent on a stream, and on the link, before more is granted.
    pub stream_window: u64,
    pub link_window: u64,
    /// The most that goes in one turn.
    pub turn: u64,
    /// After so many turns of higher priorities a lower one has one.
    pub patience: u32,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { streams: 256, stream_window: 256 << 10, link_window: 4 << 20, turn: 16 << 10, patience: 8 }
    }
}

/// What the other side has done that it may not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Breach {
    #[error("more bytes than were granted")]
    Overrun,
    #[error("more credit than can be counted")]
    Credit,
    #[error("a stream that is not open")]
    Unknown,
    #[error("a stream that was used before")]
    Again,
}

#[derive(Debug, Clone)]
struct Out {
    priority: Priority,
    credit: u64,
    waiting: u64,
    /// Nothing more will be added; it is over once all has gone.
    last: bool,
    queued: bool,
}

/// What may be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Turn {
    pub stream: u32,
    pub bytes: u64,
    /// All that there is of the stream has gone with this.
    pub end: bool,
}

/// The sending side of a link.
#[derive(Debug, Clone)]
pub struct Sending {
    bounds: Bounds,
    credit: u64,
    streams: BTreeMap<u32, Out>,
    /// Those that have something to send and credit for it, in their turns.
    ready: [VecDeque<u32>; 3],
    passed_over: [u32; 3],
}

impl Sending {
    pub fn new(bounds: Bounds) -> Self {
        Self {
            credit: bounds.link_window,
            bounds,
            streams: BTreeMap::new(),
            ready: Default::default(),
            passed_over: [0; 3],
        }
    }

    pub fn len(&self) -> usize {
        self.streams.len()
    }

    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Bytes that wait.
    pub fn waiting(&self) -> u64 {
        self.streams.values().map(|out| out.waiting).sum()
    }

    /// Whether somebody could send now, credit of the link allowing.
    pub fn has_turn(&self) -> bool {
        let able = |stream: &u32| {
            self.streams.get(stream).is_some_and(|out| out.last && out.waiting == 0 || self.credit > 0)
        };
        self.ready.iter().any(|ready| ready.iter().any(able))
    }

    /// A new stream; false where there are as many as may be.
    pub fn open(&mut self, stream: u32, priority: Priority) -> bool {
        if self.streams.len() >= self.bounds.streams || self.streams.contains_key(&stream) {
            return false;
        }
        let credit = self.bounds.stream_window;
        self.streams.insert(stream, Out { priority, credit, waiting: 0, last: false, queued: false });
        true
    }

    /// More bytes are there to be sent; `last` says that these are all.
    pub fn push(&mut self, stream: u32, bytes: u64, last: bool) {
        if let Some(out) = self.streams.get_mut(&stream) {
            out.waiting += bytes;
            out.last |= last;
        }
        self.line_up(stream);
    }

    /// The stream is called off.
    pub fn cancel(&mut self, stream: u32) {
        self.streams.remove(&stream);
    }

    /// The other side grants more, on a stream or, on stream 0, on the link.
    pub fn grant(&mut self, stream: u32, bytes: u32) -> Result<(), Breach> {
        // Whoever grants without end wants the count to overflow.
        let more = |credit: u64| {
            let sum = credit + u64::from(bytes);
            (sum <= u64::from(u32::MAX)).then_some(sum).ok_or(Breach::Credit)
        };
        if stream == 0 {
            self.credit = more(self.credit)?;
            return Ok(());
        }
        // One that has just ended may still be granted something.
        let Some(out) = self.streams.get_mut(&stream) else { return Ok(()) };
        out.credit = more(out.credit)?;
        self.line_up(stream);
        Ok(())
    }

    fn line_up(&mut self, stream: u32) {
        let Some(out) = self.streams.get_mut(&stream) else { return };
        let able = out.waiting > 0 && out.credit > 0 || out.last && out.waiting == 0;
        if able && !out.queued {
            out.queued = true;
            self.ready[out.priority as usize].push_back(stream);
        }
    }

    /// Who sends next, and how much; `room` is what the connection takes now.
    pub fn next(&mut self, room: u64) -> Option<Turn> {
        let place = self.choose()?;
        for n in 0..PRIORITIES.len() {
            let waits = n > place && !self.ready[n].is_empty();
            self.passed_over[n] = if waits { self.passed_over[n] + 1 } else { 0 };
        }
        while let Some(stream) = self.ready[place].pop_front() {
            let Some(out) = self.streams.get_mut(&stream) else { continue };
            out.queued = false;
            let bytes = out.waiting.min(out.credit).min(self.credit).min(self.bounds.turn).min(room);
            let end = out.last && bytes == out.waiting;
            if bytes == 0 && !end {
                // The link's credit or the connection's room is at its end; the stream keeps its turn.
                out.queued = true;
                self.ready[place].push_front(stream);
                return None;
            }
            out.waiting -= bytes;
            out.credit -= bytes;
            self.credit -= bytes;
            match end {
                true => drop(self.streams.remove(&stream)),
                false => self.line_up(stream),
            }
            return Some(Turn { stream, bytes, end });
        }
        None
    }

    /// The highest priority that has somebody ready, or a lower one that was passed over for too long.
    fn choose(&mut self) -> Option<usize> {
        for (ready, streams) in self.ready.iter_mut().zip([&self.streams; 3]) {
            while ready.front().is_some_and(|stream| !streams.contains_key(stream)) {
                ready.pop_front();
            }
        }
        let waits = |n: &usize| !self.ready[*n].is_empty();
        let starved = (0..3).filter(waits).find(|n| self.passed_over[*n] >= self.bounds.patience);
        starved.or_else(|| (0..3).find(waits))
    }
}

#[derive(Debug, Clone, Copy)]
struct In {
    /// What may still come, and what was taken out and not granted again.
    left: u64,
    used: u64,
}

/// The receiving side of a link.
#[derive(Debug, Clone)]
pub struct Receiving {
    bounds: Bounds,
    left: u64,
    used: u64,
    streams: BTreeMap<u32, In>,
}

/// Credit to be given to the other side: a stream, or 0 for the link, and how much.
pub type Grant = (u32, u32);

impl Receiving {
    pub fn new(bounds: Bounds) -> Self {
        Self { left: bounds.link_window, used: 0, bounds, streams: BTreeMap::new() }
    }

    pub fn len(&self) -> usize {
        self.streams.len()
    }

    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Something is to come on a stream that this side has opened.
    pub fn expect(&mut self, stream: u32) {
        self.streams.insert(stream, In { left: self.bounds.stream_window, used: 0 });
    }

    /// Bytes came in. On a stream that was called off here they count for the link alone.
    pub fn came(&mut self, stream: u32, bytes: u64) -> Result<Vec<Grant>, Breach> {
        self.left = self.left.checked_sub(bytes).ok_or(Breach::Overrun)?;
        match self.streams.get_mut(&stream) {
            Some(open) => {
                open.left = open.left.checked_sub(bytes).ok_or(Breach::Overrun)?;
                Ok(Vec::new())
            }
            None => Ok(self.used_up(bytes)),
        }
    }

    /// Bytes were passed on: what may be granted for them.
    pub fn taken(&mut self, stream: u32, bytes: u64) -> Vec<Grant> {
        let mut grants = self.used_up(bytes);
        let half = self.bounds.stream_window / 2;
        if let Some(open) = self.streams.get_mut(&stream) {
            open.used += bytes;
            if open.used >= half {
                open.left += open.used;
                grants.push((stream, std::mem::take(&mut open.used) as u32));
            }
        }
        grants
    }

    fn used_up(&mut self, bytes: u64) -> Vec<Grant> {
        self.used += bytes;
        if self.used < self.bounds.link_window / 2 {
            return Vec::new();
        }
        self.left += self.used;
        vec![(0, std::mem::take(&mut self.used) as u32)]
    }

    /// The stream is over, or was called off; `unread` bytes of it will never be passed on.
    pub fn close(&mut self, stream: u32, unread: u64) -> Vec<Grant> {
        match self.streams.remove(&stream) {
            Some(_) => self.used_up(unread),
            None => Vec::new(),
        }
    }
}
