//! Owns a body that comes across in pieces: where it stands when its stream stops, and what may be asked for next.
//!
//! The client gets one whole, unchanged body, or one that it can tell is cut off. Must never join pieces of two copies.

use linnethook::interface::Ms;
use serde::{Deserialize, Serialize};

/// By what two copies are told to be the same.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Copy {
    pub tag: String,
    pub dated: Ms,
    pub length: u64,
}

/// What is asked for after a stream has stopped.
#[derive(Debug, Clone, PartialEq)]
pub enum Next {
    /// The rest of that copy, from that byte on.
    Rest { from: u64, copy: Copy },
    /// All of it: nothing of it has been passed on yet.
    Start,
    /// Some of it was passed on, and it can't be had unchanged in time: cut off.
    CutOff,
}

/// How an answer to that fits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fit {
    /// Its bytes go on where the others stopped.
    Goes,
    /// It is another copy, from its start; nothing was passed on yet, so it takes the place of what there is.
    Anew,
    /// It is another copy, and some of the first was passed on.
    Strange,
}

/// One body under way.
#[derive(Debug, Clone)]
pub struct Transfer {
    copy: Option<Copy>,
    /// Bytes that came, and of these the bytes passed on to the client.
    came: u64,
    passed_on: u64,
    deadline: Ms,
    tries: u32,
    /// Bytes that crossed more than once.
    again: u64,
}

impl Transfer {
    /// A body that is wanted whole by then; it may be asked for so many times more.
    pub fn new(deadline: Ms, tries: u32) -> Self {
        Self { copy: None, came: 0, passed_on: 0, deadline, tries, again: 0 }
    }

    /// An answer begins, from that byte of the copy on.
    pub fn begin(&mut self, copy: Copy, from: u64) -> Fit {
        let same = self.copy.as_ref().is_some_and(|known| *known == copy);
        match (&self.copy, same) {
            (None, _) if from == 0 => {}
            (Some(_), true) if from == self.came => return Fit::Goes,
            // It gives more than was asked for: what is there already is passed over.
            (Some(_), true) if from < self.came && self.passed_on == 0 => {}
            _ if from == 0 && self.passed_on == 0 => {}
            _ => return Fit::Strange,
        }
        let anew = self.copy.is_some();
        self.again += self.came;
        self.came = 0;
        self.copy = Some(copy);
        if anew && from == 0 {
            return Fit::Anew;
        }
        self.came = from;
        Fit::Goes
    }

    /// Bytes came; false if there are more than the copy has.
    pub fn came(&mut self, bytes: u64) -> bool {
        self.came += bytes;
        self.copy.as_ref().is_some_and(|copy| self.came <= copy.length)
    }

    pub fn passed_on(&mut self, bytes: u64) {
        self.passed_on = (self.passed_on + bytes).min(self.came);
    }

    /// Which copy it is, once one has begun.
    pub fn copy(&self) -> Option<&Copy> {
        self.copy.as_ref()
    }

    /// What came of it is dropped.
    pub fn forget(&mut self) {
        self.again += self.came;
        (self.copy, self.came) = (None, 0);
    }

    /// Bytes of it that are there.
    pub fn there(&self) -> u64 {
        self.came
    }

    pub fn is_whole(&self) -> bool {
        self.copy.as_ref().is_some_and(|copy| copy.length == self.came)
    }

    /// Bytes that crossed more than once.
    pub fn again(&self) -> u64 {
        self.again
    }

    /// The stream stopped before the body was whole. `least` is the time that a further try needs.
    pub fn stopped(&mut self, now: Ms, least: Ms) -> Next {
        let in_time = now + least <= self.deadline && self.tries > 0;
        if !in_time {
            return Next::CutOff;
        }
        self.tries -= 1;
        match &self.copy {
            Some(copy) if self.came > 0 => Next::Rest { from: self.came, copy: copy.clone() },
            _ => Next::Start,
        }
    }
}
