//! A body that crosses a link: how much of it is here when its stream stops, and what is requested next.
//!
//! A client gets one complete, unchanged body, or one that it can tell is cut off. Bytes of two versions of an object
//! are never joined.

use linnethook::interface::Ms;
use serde::{Deserialize, Serialize};

/// What two copies of an object are told apart by.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ObjectVersion {
    /// The origin's name for the version.
    pub tag: String,
    /// When the origin issued it, in Unix milliseconds.
    pub issued_at: Ms,
    /// The length of the body, in bytes.
    pub length: u64,
}

/// What is requested after a stream has stopped.
#[derive(Debug, Clone, PartialEq)]
pub enum Resumption {
    /// The rest of that version.
    Remainder {
        /// The first byte that is missing.
        offset: u64,
        /// The version that it has to be.
        version: ObjectVersion,
    },
    /// The complete body: nothing of it was received.
    Restart,
    /// Nothing: there is no time, or no try, left.
    GiveUp,
}

/// How a response fits what was received before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseFit {
    /// Its bytes follow those that are here.
    Continues,
    /// It is another version, from its start, and nothing was delivered yet: it replaces what is here.
    Restarts,
    /// It is another version, and some of the first one was delivered.
    Mismatch,
}

/// One body.
#[derive(Debug, Clone)]
pub struct Transfer {
    version: Option<ObjectVersion>,
    /// Bytes that were received.
    received: u64,
    /// Bytes of these that the client has.
    delivered: u64,
    deadline: Ms,
    remaining_tries: u32,
    /// Bytes that have crossed more than once.
    repeated_bytes: u64,
}

impl Transfer {
    /// A body that must be complete by then, and may be requested again so many times.
    pub fn new(deadline: Ms, max_retries: u32) -> Self {
        Self {
            version: None,
            received: 0,
            delivered: 0,
            deadline,
            remaining_tries: max_retries,
            repeated_bytes: 0,
        }
    }

    /// A response begins, with that byte of the version.
    pub fn begin_response(&mut self, version: ObjectVersion, offset: u64) -> ResponseFit {
        let is_same = self.version.as_ref() == Some(&version);
        if is_same && offset == self.received {
            return ResponseFit::Continues;
        }
        // Where nothing was delivered, a response that repeats bytes, or is of another version, replaces what is here.
        let may_replace = match self.version {
            None => offset == 0,
            Some(_) => self.delivered == 0 && (offset == 0 || is_same && offset < self.received),
        };
        if !may_replace {
            return ResponseFit::Mismatch;
        }
        let had_version = self.version.replace(version).is_some();
        self.repeated_bytes += self.received;
        self.received = offset;
        if had_version && offset == 0 {
            ResponseFit::Restarts
        } else {
            ResponseFit::Continues
        }
    }

    /// Bytes were received; false if there are more than the version has.
    pub fn receive(&mut self, bytes: u64) -> bool {
        self.received += bytes;
        self.version.as_ref().is_some_and(|version| self.received <= version.length)
    }

    /// The client has got so many more bytes.
    pub fn mark_delivered(&mut self, bytes: u64) {
        self.delivered = (self.delivered + bytes).min(self.received);
    }

    /// The version, once a response has begun.
    pub fn version(&self) -> Option<&ObjectVersion> {
        self.version.as_ref()
    }

    /// Discards what was received.
    pub fn discard(&mut self) {
        self.repeated_bytes += self.received;
        self.version = None;
        self.received = 0;
    }

    /// Bytes that are here.
    pub fn received_bytes(&self) -> u64 {
        self.received
    }

    /// Whether the body is complete.
    pub fn is_complete(&self) -> bool {
        self.version.as_ref().is_some_and(|version| version.length == self.received)
    }

    /// Bytes that have crossed more than once.
    pub fn repeated_bytes(&self) -> u64 {
        self.repeated_bytes
    }

    /// The stream has stopped before the body was complete: what to request next. A retry needs `min_retry_time`
    /// milliseconds.
    pub fn resume(&mut self, now: Ms, min_retry_time: Ms) -> Resumption {
        if now + min_retry_time > self.deadline || self.remaining_tries == 0 {
            return Resumption::GiveUp;
        }
        self.remaining_tries -= 1;
        match &self.version {
            Some(version) if self.received > 0 => {
                Resumption::Remainder { offset: self.received, version: version.clone() }
            }
            _ => Resumption::Restart,
        }
    }
}
