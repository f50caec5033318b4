//! The phases of a router, with their deadlines: serving, draining and closing.

use crate::config::Limits;
use crate::policy_adapter::Ms;

/// The durations of the shutdown phases, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShutdownTimes {
    /// The minimum duration of a drain: requests may still be in transit.
    pub min_drain: Ms,
    /// The maximum duration of a drain, whatever is open.
    pub max_drain: Ms,
    /// How long writing the last answers may take.
    pub close: Ms,
}

impl ShutdownTimes {
    /// The durations from the transport limits.
    pub fn new(limits: &Limits) -> Self {
        Self {
            min_drain: limits.shutdown.min_drain_ms,
            max_drain: limits.shutdown.max_drain_ms,
            close: limits.shutdown.close_ms,
        }
    }
}

/// The open work that a drain waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenWork {
    /// Requests without a final answer, here or at other sites.
    Requests,
    /// Clients that may still send a request, or have unwritten answers.
    Clients,
    /// Everything is answered, and no new requests are expected.
    Nothing,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    Serving,
    /// Open requests are being finished.
    Draining {
        since: Ms,
    },
    /// The last answers are being written; new requests are rejected.
    Closing {
        until: Ms,
    },
}

/// The current phase of a router. Times are in milliseconds, on the clock of the process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunPhase {
    phase: Phase,
    times: ShutdownTimes,
}

impl RunPhase {
    /// Creates the phase of a serving router.
    pub fn serving(times: ShutdownTimes) -> Self {
        Self { phase: Phase::Serving, times }
    }

    /// Whether the router is serving: no shutdown has begun.
    pub fn is_serving(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Whether open requests are being finished.
    pub fn is_draining(&self) -> bool {
        matches!(self.phase, Phase::Draining { .. })
    }

    /// Whether the last answers are being written. `Proxy::begin_close`, called together with
    /// [`Self::begin_close`], rejects new requests.
    pub fn is_closing(&self) -> bool {
        matches!(self.phase, Phase::Closing { .. })
    }

    /// Enters the draining phase.
    pub fn begin_drain(&mut self, now: Ms) {
        self.phase = Phase::Draining { since: now };
    }

    /// Enters the closing phase.
    pub fn begin_close(&mut self, now: Ms) {
        self.phase = Phase::Closing { until: now + self.times.close };
    }

    /// Whether the drain is over: nothing is open after its minimum duration, or its maximum duration has
    /// passed.
    pub fn is_drained(&self, now: Ms, open: OpenWork) -> bool {
        let Phase::Draining { since } = self.phase else { return false };
        let elapsed = now - since;
        elapsed >= self.times.max_drain || (elapsed >= self.times.min_drain && open == OpenWork::Nothing)
    }

    /// Whether the time for writing the last answers is over.
    pub fn is_close_over(&self, now: Ms) -> bool {
        matches!(self.phase, Phase::Closing { until } if now >= until)
    }

    /// When the phase may end next without further events; `None` while the router is serving.
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
