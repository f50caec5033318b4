//! The connection of one client.

use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::TcpStream;
use std::rc::Rc;

use calloop::RegistrationToken;
use rustix::event::{poll, PollFd, PollFlags, Timespec};

use crate::buffers::{BufferChain, BufferPool};
use crate::policy_adapter::{Ms, Ticket};

/// The phases of a connection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum ConnectionPhase {
    Open,
    /// No more messages are read; the rest of the output is written first.
    Closing,
    /// All is written, and the writing side is shut down. What the client still sends is discarded, since a reset would
    /// discard the last answers.
    Lingering {
        until: Ms,
        /// Bytes that are still discarded.
        bytes: usize,
    },
}

/// The streams that were used on a connection, in bounded memory: far below the highest ones all count as used.
#[derive(Debug, Default)]
pub(super) struct UsedStreams {
    /// All up to this one.
    up_to: u32,
    above: BTreeSet<u32>,
}

impl UsedStreams {
    /// Marks a stream as used; false where it was used before. At most `max_tracked` single streams are remembered.
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

/// The state of one connection.
pub(super) struct ClientConnection {
    pub stream: Rc<TcpStream>,
    pub token: RegistrationToken,
    pub input: BufferChain,
    /// Bytes of the input that were searched for cancellations while reading is paused.
    pub scanned: usize,
    pub output: BufferChain,
    /// Open requests by stream.
    pub open: HashMap<u32, Ticket>,
    pub streams: UsedStreams,
    pub accepted_at: Ms,
    /// When a message was last received or something was sent.
    pub last_used: Ms,
    /// When all that had arrived was last read.
    pub last_read: Ms,
    /// Since when a message has been incomplete.
    pub partial_since: Option<Ms>,
    /// A request or readiness check of it was answered.
    pub proven: bool,
    /// Requests that could not be used.
    pub invalid_requests: u32,
    pub phase: ConnectionPhase,
}

impl ClientConnection {
    /// A connection that was just accepted.
    pub fn new(stream: Rc<TcpStream>, token: RegistrationToken, buffers: &BufferPool, now: Ms) -> Self {
        Self {
            stream,
            token,
            input: BufferChain::new(buffers),
            scanned: 0,
            output: BufferChain::new(buffers),
            open: HashMap::new(),
            streams: UsedStreams::default(),
            accepted_at: now,
            last_used: now,
            last_read: now,
            partial_since: None,
            proven: false,
            invalid_requests: 0,
            phase: ConnectionPhase::Open,
        }
    }

    /// Whether its messages are read.
    pub fn is_open(&self) -> bool {
        self.phase == ConnectionPhase::Open
    }

    /// Whether nothing is lost for the client where its connection is closed.
    pub fn is_idle(&self) -> bool {
        !self.is_open() || (self.open.is_empty() && self.output.is_empty())
    }

    /// Whether its connection has ended, though something that it sent before may still be to be read.
    fn has_ended(&self) -> bool {
        let mut fds = [PollFd::new(&*self.stream, PollFlags::RDHUP)];
        let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
        let ends = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        poll(&mut fds, Some(&no_wait)).is_ok() && fds[0].revents().intersects(ends)
    }

    /// Reads ahead until the input holds `max_input` bytes. True where the connection has ended.
    pub fn read_ahead(&mut self, max_input: usize) -> bool {
        while self.input.len() < max_input {
            match self.input.read_from(&*self.stream) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return false,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return true,
            }
        }
        self.has_ended()
    }
}
