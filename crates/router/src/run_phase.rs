//! The phases of a router's run, with their deadlines: it serves, drains, closes, and ends.

use crate::config::Limits;
use crate::policy_adapter::Ms;

/// How long the shutdown may take, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShutdownTimes {
    /// A drain takes at least this long: requests may be on their way.
    pub min_drain: Ms,
    /// After this time a drain ends, whatever is open.
    pub max_drain: Ms,
    /// How long the last answers may take to be written.
    pub close: Ms,
}

impl ShutdownTimes {
    /// The times that the limits of the transport have.
    pub fn new(limits: &Limits) -> Self {
        Self {
            min_drain: limits.shutdown.min_drain_ms,
            max_drain: limits.shutdown.max_drain_ms,
            close: limits.shutdown.close_ms,
        }
    }
}

/// What a drain waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenWork {
    /// Requests that are not answered, whether here or at other sites.
    Requests,
    /// Clients that may still send a request, or take an answer.
    Clients,
    /// All is answered, and no new requests are expected.
    Nothing,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    Serving,
    /// Open requests are finished since then.
    Draining {
        since: Ms,
    },
    /// The last answers may be written until then; new requests are rejected.
    Closing {
        until: Ms,
    },
}

/// The phase that a router is in. Times are in milliseconds, on the clock of the process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunPhase {
    phase: Phase,
    times: ShutdownTimes,
}

impl RunPhase {
    /// A router that serves.
    pub fn serving(times: ShutdownTimes) -> Self {
        Self { phase: Phase::Serving, times }
    }

    /// Whether no shutdown has begun.
    pub fn is_serving(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Whether open requests are being finished.
    pub fn is_draining(&self) -> bool {
        matches!(self.phase, Phase::Draining { .. })
    }

    /// Whether the last answers are being written. `Proxy::begin_close`, called in the same step, has new requests rejected.
    pub fn is_closing(&self) -> bool {
        matches!(self.phase, Phase::Closing { .. })
    }

    /// Enters the drain.
    pub fn begin_drain(&mut self, now: Ms) {
        self.phase = Phase::Draining { since: now };
    }

    /// Enters the time in which the last answers are written.
    pub fn begin_close(&mut self, now: Ms) {
        self.phase = Phase::Closing { until: now + self.times.close };
    }

    /// Whether the drain is over: it waits for nothing, or its time is up.
    pub fn is_drained(&self, now: Ms, open: OpenWork) -> bool {
        let Phase::Draining { since } = self.phase else { return false };
        let elapsed = now - since;
        elapsed >= self.times.max_drain || (elapsed >= self.times.min_drain && open == OpenWork::Nothing)
    }

    /// Whether the time for the last answers is up.
    pub fn is_close_over(&self, now: Ms) -> bool {
        matches!(self.phase, Phase::Closing { until } if now >= until)
    }

    /// When the phase may end next by itself; `None` while the router serves.
    pub fn next_deadline(&self, now: Ms) -> Option<Ms> {
        match self.phase {
            Phase::Serving => None,
            Phase::Draining { since } if now < since + self.times.min_drain => {
                Some(since + self.times.min_drain)
            }
            Phase::Draining { since } => Some(since + self.times.max_drain),
            Phase::Closing { until } => Some(until),
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/run_phase.rs"]
mod tests;
