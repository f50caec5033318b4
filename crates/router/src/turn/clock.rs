//! How long what is read now may have been waiting: a turn of the event loop that takes long reads late.

use crate::policy_adapter::Ms;

/// A wait that takes longer than this has found nothing at its begin.
const BLOCKED_MS: Ms = 1.0;

/// The times of the present and of the previous turn.
#[derive(Debug, Clone, Copy)]
pub struct TurnClock {
    /// When the wait of this turn began.
    wait_began: Ms,
    /// When the first event of this turn was handled.
    events_since: Option<Ms>,
    /// When the previous turn began to handle events: what arrived after that may have been left to this turn.
    previous_events_since: Ms,
}

impl TurnClock {
    /// Begins the first turn.
    pub fn new(now: Ms) -> Self {
        Self { wait_began: now, events_since: None, previous_events_since: now }
    }

    /// Begins a turn, which waits for events.
    pub fn begin_wait(&mut self, now: Ms) {
        self.previous_events_since = self.events_since.unwrap_or(self.wait_began);
        self.wait_began = now;
        self.events_since = None;
    }

    /// Records that an event is handled.
    pub fn note_event(&mut self, now: Ms) {
        self.events_since.get_or_insert(now);
    }

    /// How long the turn has taken since its first event.
    pub fn duration(&self, now: Ms) -> Ms {
        self.events_since.map_or(0.0, |since| now - since)
    }

    /// The earliest time at which what is read in this turn can have arrived.
    pub fn earliest_arrival(&self) -> Ms {
        match self.events_since {
            Some(since) if since - self.wait_began > BLOCKED_MS => since,
            _ => self.previous_events_since,
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/turn_clock.rs"]
mod tests;
