//! Owns the time by which acts of several routers are ordered: a hybrid logical clock (Kulkarni and others 2014).
//!
//! It follows the system's clock where that is ahead, and counts on where a message proves that it is behind. Must
//! never go back, nor give a message that was heard a later time than what follows from it.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Ms;

/// Milliseconds, and a count within them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Stamp {
    pub ms: u64,
    pub count: u32,
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.ms, self.count)
    }
}

#[derive(Debug, Clone, Copy, Default)]
pub struct Hlc {
    last: Stamp,
}

impl Hlc {
    /// The time of something that happens here: later than all before.
    pub fn stamp(&mut self, now: Ms) -> Stamp {
        let ms = now.max(0.0) as u64;
        self.last = if ms > self.last.ms { Stamp { ms, count: 0 } } else { self.after(self.last) };
        self.last
    }

    fn after(&self, stamp: Stamp) -> Stamp {
        match stamp.count.checked_add(1) {
            Some(count) => Stamp { ms: stamp.ms, count },
            None => Stamp { ms: stamp.ms + 1, count: 0 },
        }
    }

    /// A message with that time was heard: what follows is later.
    pub fn heard(&mut self, now: Ms, other: Stamp) {
        self.last = self.last.max(other);
        self.stamp(now);
    }

    pub fn last(&self) -> Stamp {
        self.last
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Clocks ten minutes apart, one of which jumps back: what a message proves is never turned round.
    #[test]
    fn what_messages_prove_holds_whatever_the_clocks_say() {
        let (mut ahead, mut behind) = (Hlc::default(), Hlc::default());
        let sent = ahead.stamp(600_000.0);
        behind.heard(0.0, sent);
        let follows = behind.stamp(1.0);
        assert!(follows > sent);
        // Its clock jumps back by an hour.
        let later = ahead.stamp(-3_000_000.0);
        assert!(later > sent);
        ahead.heard(-3_000_000.0, follows);
        assert!(ahead.stamp(-2_999_999.0) > follows);
        assert_eq!(
            behind.stamp(700_000.0),
            Stamp { ms: 700_000, count: 0 },
            "the clock again, once it is ahead"
        );
    }
}
