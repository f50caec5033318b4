//! The transfer of a response body over links: how much of it was received when its stream ends, and what to
//! request next.
//!
//! A client receives either one complete, unmodified body or one that is recognizably truncated. Bytes of two
//! versions of an object are never combined.

use linnethook::interface::Ms;
use serde::{Deserialize, Serialize};

/// Identifies a version of an object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ObjectVersion {
    /// The tag that the origin gave to the version.
    pub tag: String,
    /// When the origin issued it, in Unix milliseconds.
    pub issued_at: Ms,
    /// The length of the body, in bytes.
    pub length: u64,
}

/// What to request after an interruption.
#[derive(Debug, Clone, PartialEq)]
pub enum Resumption {
    /// The rest of the same version.
    Remainder {
        /// The offset of the first missing byte.
        offset: u64,
        /// The required version.
        version: ObjectVersion,
    },
    /// The complete body, since no part of it is usable.
    Restart,
    /// Nothing: the time or the number of retries is used up.
    GiveUp,
}

/// How a response relates to the bytes that were received before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseFit {
    /// Its bytes follow the received ones.
    Continues,
    /// It starts at the first byte and replaces the received bytes, none of which were delivered yet.
    Restarts,
    /// It can't be combined with the received bytes: it is of another version or has the wrong offset, and
    /// bytes may already have been delivered.
    Mismatch,
}

/// The state of one transfer.
#[derive(Debug, Clone)]
pub struct Transfer {
    version: Option<ObjectVersion>,
    /// The number of received bytes.
    received: u64,
    /// The number of these bytes that were delivered to the client.
    delivered: u64,
    deadline: Ms,
    remaining_tries: u32,
    /// The number of bytes that were discarded and have to be transferred again.
    repeated_bytes: u64,
}

impl Transfer {
    /// Creates a transfer that must be complete by `deadline` and may be requested again `max_retries` times.
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

    /// Begins a response whose first byte is at `offset` of that version.
    pub fn begin_response(&mut self, version: ObjectVersion, offset: u64) -> ResponseFit {
        let is_same = self.version.as_ref() == Some(&version);
        if is_same && offset == self.received {
            return ResponseFit::Continues;
        }
        // As long as nothing was delivered, a response that repeats bytes or is of another version replaces
        // the received bytes.
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

    /// Records received bytes. Returns false if they exceed the length of the version.
    pub fn receive(&mut self, bytes: u64) -> bool {
        self.received += bytes;
        self.version.as_ref().is_some_and(|version| self.received <= version.length)
    }

    /// Records that this number of further bytes was delivered to the client.
    pub fn mark_delivered(&mut self, bytes: u64) {
        self.delivered = (self.delivered + bytes).min(self.received);
    }

    /// The version of the object, once a response has begun.
    pub fn version(&self) -> Option<&ObjectVersion> {
        self.version.as_ref()
    }

    /// Discards the received bytes.
    pub fn discard(&mut self) {
        self.repeated_bytes += self.received;
        self.version = None;
        self.received = 0;
    }

    /// The number of received bytes.
    pub fn received_bytes(&self) -> u64 {
        self.received
    }

    /// Whether the body is complete.
    pub fn is_complete(&self) -> bool {
        self.version.as_ref().is_some_and(|version| version.length == self.received)
    }

    /// The number of bytes that were discarded and have to be transferred again.
    pub fn repeated_bytes(&self) -> u64 {
        self.repeated_bytes
    }

    /// Decides what to request after the stream ended before the body was complete. A retry needs at least
    /// `min_retry_time` milliseconds.
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
