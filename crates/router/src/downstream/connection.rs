//! The state of one client's connection.

use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::TcpStream;
use std::rc::Rc;

use calloop::{LoopHandle, Readiness, RegistrationToken};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::retry_on_intr;

use crate::buffers::{BufferChain, BufferPool};
use crate::policy_adapter::{Ms, Ticket};
use crate::sockets;
use crate::system_error::{is_interrupted, source_of_transfer_error, ErrorSource};
use crate::turn::ConnectionKind;

use super::codec::{self, ClientMessage, FrameError, FrameHead};

/// The phases of a connection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum ConnectionPhase {
    Open,
    /// The remaining output is being written; requests that still arrive are rejected.
    Closing {
        /// The number of requests that are still rejected. Later ones get no answer: no client may have so
        /// many open.
        rejections_left: usize,
    },
    /// All output is written, and the write side is shut down. Further input is read and discarded: closing
    /// with unread input would send a reset, by which the client could lose the last answers.
    Lingering {
        until: Ms,
        /// The number of bytes that may still be discarded before the connection is closed.
        bytes: usize,
    },
}

/// The streams that were used on a connection, in bounded memory: all streams far below the highest ones
/// count as used.
#[derive(Debug, Default)]
pub(super) struct UsedStreams {
    /// All streams up to this one are used.
    up_to: u32,
    above: BTreeSet<u32>,
}

impl UsedStreams {
    /// Marks a stream as used; returns false if it was already used. At most `max_tracked` streams are
    /// tracked individually.
    pub fn insert(&mut self, stream: u32, max_tracked: usize) -> bool {
        if stream <= self.up_to || !self.above.insert(stream) {
            return false;
        }
        while self
            .above
            .first()
            .is_some_and(|&first| first - 1 == self.up_to || self.above.len() > max_tracked)
        {
            self.up_to = self.above.pop_first().unwrap_or(self.up_to);
        }
        true
    }
}

/// A frame whose payload is discarded as it arrives, so that it takes no buffers.
#[derive(Debug, Clone, Copy)]
struct DiscardedFrame {
    head: FrameHead,
    /// The number of bytes that have not arrived or are still in the input.
    remaining: usize,
}

/// How reading ahead has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadAheadEnd {
    /// Nothing more can be read, or the limit is reached.
    Connected,
    /// The client has closed the connection, or it is lost.
    Disconnected,
    /// By an error of this machine.
    Repeat,
}

impl ReadAheadEnd {
    fn of_error(error: &io::Error) -> Self {
        match source_of_transfer_error(error) {
            ErrorSource::Local => Self::Repeat,
            ErrorSource::Peer => Self::Disconnected,
        }
    }
}

/// The state of one connection.
pub(super) struct ClientConnection {
    pub stream: Rc<TcpStream>,
    /// `None` while the connection could not be registered with the event loop.
    pub token: Option<RegistrationToken>,
    /// Whether small writes are sent at once (`TCP_NODELAY`).
    sends_at_once: bool,
    pub input: BufferChain,
    /// The current frame, if its payload is discarded.
    discarded: Option<DiscardedFrame>,
    /// Whether the input may hold complete messages that were not decoded yet.
    pub has_undecoded_input: bool,
    /// The number of input bytes that were already scanned for cancellations.
    pub scanned: usize,
    pub output: BufferChain,
    /// Open requests by stream.
    pub open: HashMap<u32, Ticket>,
    pub streams: UsedStreams,
    pub accepted_at: Ms,
    /// When a message was last received or bytes were last sent.
    pub last_used: Ms,
    /// Until when the client waits for the answers to its requests.
    pub answers_awaited_until: Ms,
    /// Since when the connection has been ready to be read, until it is read.
    pub ready_since: Option<Ms>,
    /// Since when input may have been left unread; `None` once it was read until it would block.
    pub unread_since: Option<Ms>,
    /// Whether it has sent neither a complete message so far, nor more than a new client may send at once.
    pub is_new: bool,
    /// When the connection was last read until it would block or the read-ahead limit was reached.
    pub last_read: Ms,
    /// Since when a message has been partially received.
    pub partial_since: Option<Ms>,
    /// Whether a request or readiness check of this client was answered.
    pub has_been_answered: bool,
    /// The number of invalid requests.
    pub invalid_requests: u32,
    pub phase: ConnectionPhase,
}

impl ClientConnection {
    /// Creates the state of a connection that was just accepted.
    pub fn new(stream: Rc<TcpStream>, buffers: &BufferPool, now: Ms) -> Self {
        Self {
            stream,
            token: None,
            sends_at_once: false,
            input: BufferChain::new(buffers),
            discarded: None,
            has_undecoded_input: false,
            scanned: 0,
            output: BufferChain::new(buffers),
            open: HashMap::new(),
            streams: UsedStreams::default(),
            accepted_at: now,
            last_used: now,
            answers_awaited_until: now,
            ready_since: None,
            unread_since: None,
            is_new: true,
            last_read: now,
            partial_since: None,
            has_been_answered: false,
            invalid_requests: 0,
            phase: ConnectionPhase::Open,
        }
    }

    /// Prepares the socket and registers it with the event loop, as far as that has not been done.
    ///
    /// # Errors
    ///
    /// Errors of this machine; what has succeeded is not repeated.
    pub fn register<W: 'static>(
        &mut self,
        handle: &LoopHandle<'static, W>,
        on_ready: impl Fn(&mut W, Readiness) + 'static,
    ) -> io::Result<()> {
        if self.token.is_none() {
            self.stream.set_nonblocking(true)?;
            self.token = Some(sockets::register_stream(handle, &self.stream, on_ready)?);
        }
        if !self.sends_at_once {
            self.stream.set_nodelay(true)?;
            self.sends_at_once = true;
        }
        Ok(())
    }

    /// Whether its messages are still read.
    pub fn is_open(&self) -> bool {
        self.phase == ConnectionPhase::Open
    }

    /// Its kind in the queue of ready connections.
    pub fn kind(&self) -> ConnectionKind {
        if self.is_new {
            ConnectionKind::NewClient
        } else {
            ConnectionKind::Client
        }
    }

    /// The earliest time at which a request that is read now can have arrived; `arrived` is that of what has just
    /// become ready.
    pub fn earliest_arrival(&self, arrived: Ms) -> Ms {
        [self.ready_since, self.unread_since].into_iter().flatten().fold(arrived, Ms::min)
    }

    /// Whether the connection can be closed without losing an answer.
    pub fn is_idle(&self) -> bool {
        self.open.is_empty() && self.output.is_empty()
    }

    /// Whether a message has been received in part.
    pub fn has_partial_message(&self) -> bool {
        !self.input.is_empty() || self.discarded.is_some()
    }

    /// The next complete message; `None` until one has been read. `max_frame` is as for [`codec::decode`].
    ///
    /// # Errors
    ///
    /// A frame that violates the protocol.
    pub fn next_message(&mut self, max_frame: usize) -> Result<Option<ClientMessage>, FrameError> {
        self.discard_input();
        match self.discarded {
            Some(frame) if frame.remaining > 0 => Ok(None),
            Some(frame) => {
                self.discarded = None;
                frame.head.without_payload().map(Some)
            }
            None => codec::decode(&mut self.input, max_frame),
        }
    }

    /// The size of the first frame if it is being received and its head has been read, in bytes.
    pub fn partial_frame_bytes(&self, max_frame: usize) -> Option<usize> {
        if self.discarded.is_some() {
            return None;
        }
        let head = codec::decode_head(&self.input, max_frame).ok()??;
        (head.length > self.input.len()).then_some(head.length)
    }

    /// Whether a frame of more than `bytes` is being received, and its payload is kept.
    pub fn is_receiving_more_than(&self, bytes: usize, max_frame: usize) -> bool {
        self.partial_frame_bytes(max_frame).is_some_and(|frame_bytes| frame_bytes > bytes)
    }

    /// Records bytes that were appended to the input. Returns true if the connection is to be closed: it lingers, and
    /// no more is discarded.
    pub fn note_read(&mut self, read: usize) -> bool {
        let ConnectionPhase::Lingering { bytes, .. } = &mut self.phase else {
            self.has_undecoded_input = true;
            return false;
        };
        self.input.consume(read);
        *bytes = bytes.saturating_sub(read);
        *bytes == 0
    }

    /// Records that the input holds no further complete message.
    pub fn note_partial_input(&mut self, now: Ms) {
        self.has_undecoded_input = false;
        self.scanned = 0;
        let is_partial = self.has_partial_message();
        self.partial_since = is_partial.then(|| self.partial_since.unwrap_or(now));
    }

    /// Records that a message of so many bytes was taken from the input.
    pub fn note_message(&mut self, now: Ms, bytes: usize) {
        self.scanned = self.scanned.saturating_sub(bytes);
        self.partial_since = None;
        self.last_used = now;
    }

    /// Since when a partially received message has been incomplete, or could not be read further.
    pub fn receiving_since(&self) -> Ms {
        self.partial_since.unwrap_or(self.last_used)
    }

    /// Discards the payload of the current frame from here on. Returns false if its head has not been read
    /// completely.
    ///
    /// # Errors
    ///
    /// A head that violates the protocol.
    pub fn discard_frame(&mut self, max_frame: usize) -> Result<bool, FrameError> {
        if self.discarded.is_some() {
            return Ok(true);
        }
        let Some(head) = codec::decode_head(&self.input, max_frame)? else { return Ok(false) };
        self.discarded = Some(DiscardedFrame { head, remaining: head.length });
        self.scanned = 0;
        self.discard_input();
        Ok(true)
    }

    /// Discards all input that has been read.
    pub fn discard_all_input(&mut self) {
        self.input.consume(self.input.len());
        self.discarded = None;
        self.has_undecoded_input = false;
        self.scanned = 0;
    }

    /// Removes the input that belongs to a discarded frame.
    fn discard_input(&mut self) {
        let Some(frame) = &mut self.discarded else { return };
        let n = frame.remaining.min(self.input.len());
        self.input.consume(n);
        frame.remaining -= n;
    }

    /// Whether the client has closed the connection, even if earlier input is still unread.
    ///
    /// # Errors
    ///
    /// Errors of this machine, by which it is not known.
    fn is_closed_by_client(&self) -> io::Result<bool> {
        let mut fds = [PollFd::new(&*self.stream, PollFlags::RDHUP)];
        let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
        let ends = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        retry_on_intr(|| poll(&mut fds, Some(&no_wait)))?;
        Ok(fds[0].revents().intersects(ends))
    }

    /// Whether the payload of the current frame is discarded as it arrives.
    pub fn is_discarding(&self) -> bool {
        self.discarded.is_some()
    }

    /// Copies unread input into `into` without reading it; returns the number of bytes as well.
    pub fn peek_unread(&self, into: &mut [u8]) -> (usize, ReadAheadEnd) {
        let bytes = match retry_on_interrupt(|| self.stream.peek(into)) {
            Ok(0) => return (0, ReadAheadEnd::Disconnected),
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => 0,
            Err(error) => return (0, ReadAheadEnd::of_error(&error)),
        };
        (bytes, self.find_disconnect())
    }

    /// Whether so much input is unread that it fills `into`.
    pub fn has_unread(&self, into: &mut [u8]) -> bool {
        retry_on_interrupt(|| self.stream.peek(into)).is_ok_and(|bytes| bytes == into.len())
    }

    /// Reads until the input holds `max_input` bytes.
    pub fn read_ahead(&mut self, max_input: usize) -> ReadAheadEnd {
        self.has_undecoded_input = true;
        while self.input.len() < max_input {
            match self.input.read_from(&*self.stream) {
                Ok(0) => return ReadAheadEnd::Disconnected,
                Ok(_) => self.discard_input(),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return ReadAheadEnd::Connected,
                Err(error) if is_interrupted(&error) => {}
                Err(error) => return ReadAheadEnd::of_error(&error),
            }
        }
        self.find_disconnect()
    }

    fn find_disconnect(&self) -> ReadAheadEnd {
        match self.is_closed_by_client() {
            Ok(true) => ReadAheadEnd::Disconnected,
            Ok(false) => ReadAheadEnd::Connected,
            Err(_) => ReadAheadEnd::Repeat,
        }
    }
}

/// Repeats a call that was interrupted by a signal.
fn retry_on_interrupt<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if is_interrupted(&error) => {}
            outcome => return outcome,
        }
    }
}
