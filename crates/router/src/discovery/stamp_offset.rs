//! The offset between this machine's wall clock and the one by which the journal stamps its events.
//!
//! The clock of the process starts at the wall clock, which may be off by an hour at that moment. Deadlines and
//! windows do not depend on it, but the age of a purge does.

use std::collections::VecDeque;

use crate::policy_adapter::Ms;

use super::event::WatchEvent;

/// The number of purges whose delays are compared.
const MAX_DELAYS: usize = 16;
/// Delays up to this are those of the journal, and no offset of the clocks.
const MAX_USUAL_DELAY_MS: Ms = 1_000.0;

/// The delays between the stamps of recent purges and their arrival, by this machine's clock.
#[derive(Debug, Default)]
pub struct StampOffset {
    delays: VecDeque<Ms>,
}

impl StampOffset {
    /// Converts the stamps of purges that have just arrived to this machine's clock. A purge that is later than
    /// usual counts as newer than it is, never as older.
    pub fn correct(&mut self, now: Ms, events: &mut [WatchEvent]) {
        let purges = events.iter().filter_map(|event| event.purge.as_ref());
        self.delays.extend(purges.map(|purge| now - purge.issued_at));
        while self.delays.len() > MAX_DELAYS {
            self.delays.pop_front();
        }
        let offset = self.offset();
        for purge in events.iter_mut().filter_map(|event| event.purge.as_mut()) {
            purge.issued_at += offset;
        }
    }

    /// How far this machine's clock is ahead; 0 if the clocks agree.
    fn offset(&self) -> Ms {
        let least = self.delays.iter().copied().fold(f64::INFINITY, f64::min);
        if least.is_finite() && least.abs() > MAX_USUAL_DELAY_MS {
            least
        } else {
            0.0
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/stamp_offset.rs"]
mod tests;
