//! Owns a body that comes across in pieces: where it stands when its stream stops, and what may be asked for next.
//!
//! The client gets one whole, unchanged body, or one that it can tell is cut off. Must never join pieces of two copies.

use linnethook::interface::Ms;
use serde::{Deserialize, Serialize};

/// By what two copies are told to be the same.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ObjectVersion {
    pub tag: String,
    pub issued_at: Ms,
    pub length: u64,
}

/// What is asked for after a stream has stopped.
#[derive(Debug, Clone, PartialEq)]
pub enum Resumption {
    /// The rest of that copy, from that byte on.
    Remainder { offset: u64, version: ObjectVersion },
    /// All of it: nothing of it has been passed on yet.
    Restart,
    /// Some of it was passed on, and it can't be had unchanged in time: cut off.
    GiveUp,
}

/// How an answer to that fits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseFit {
    /// Its bytes go on where the others stopped.
    Continues,
    /// It is another copy, from its start; nothing was passed on yet, so it takes the place of what there is.
    Restarts,
    /// It is another copy, and some of the first was passed on.
    Mismatch,
}

/// One body under way.
#[derive(Debug, Clone)]
pub struct Transfer {
    version: Option<ObjectVersion>,
    /// Bytes that came, and of these the bytes passed on to the client.
    received: u64,
    delivered: u64,
    deadline: Ms,
    remaining_tries: u32,
    /// Bytes that crossed more than once.
    repeated_bytes: u64,
}

impl Transfer {
    /// A body that is wanted whole by then; it may be asked for so many times more.
    pub fn new(deadline: Ms, tries: u32) -> Self {
        Self { version: None, received: 0, delivered: 0, deadline, remaining_tries: tries, repeated_bytes: 0 }
    }

    /// An answer begins, from that byte of the copy on.
    pub fn begin_response(&mut self, copy: ObjectVersion, from: u64) -> ResponseFit {
        let same = self.version.as_ref().is_some_and(|known| *known == copy);
        match (&self.version, same) {
            (None, _) if from == 0 => {}
            (Some(_), true) if from == self.received => return ResponseFit::Continues,
            // It gives more than was asked for: what is there already is passed over.
            (Some(_), true) if from < self.received && self.delivered == 0 => {}
            _ if from == 0 && self.delivered == 0 => {}
            _ => return ResponseFit::Mismatch,
        }
        let anew = self.version.is_some();
        self.repeated_bytes += self.received;
        self.received = 0;
        self.version = Some(copy);
        if anew && from == 0 {
            return ResponseFit::Restarts;
        }
        self.received = from;
        ResponseFit::Continues
    }

    /// Bytes came; false if there are more than the copy has.
    pub fn receive(&mut self, bytes: u64) -> bool {
        self.received += bytes;
        self.version.as_ref().is_some_and(|copy| self.received <= copy.length)
    }

    pub fn mark_delivered(&mut self, bytes: u64) {
        self.delivered = (self.delivered + bytes).min(self.received);
    }

    /// Which copy it is, once one has begun.
    pub fn version(&self) -> Option<&ObjectVersion> {
        self.version.as_ref()
    }

    /// What came of it is dropped.
    pub fn discard(&mut self) {
        self.repeated_bytes += self.received;
        (self.version, self.received) = (None, 0);
    }

    /// Bytes of it that are there.
    pub fn received_bytes(&self) -> u64 {
        self.received
    }

    pub fn is_complete(&self) -> bool {
        self.version.as_ref().is_some_and(|copy| copy.length == self.received)
    }

    /// Bytes that crossed more than once.
    pub fn repeated_bytes(&self) -> u64 {
        self.repeated_bytes
    }

    /// The stream stopped before the body was whole. `least` is the time that a further try needs.
    pub fn resume(&mut self, now: Ms, least: Ms) -> Resumption {
        let in_time = now + least <= self.deadline && self.remaining_tries > 0;
        if !in_time {
            return Resumption::GiveUp;
        }
        self.remaining_tries -= 1;
        match &self.version {
            Some(copy) if self.received > 0 => {
                Resumption::Remainder { offset: self.received, version: copy.clone() }
            }
            _ => Resumption::Restart,
        }
    }
}
