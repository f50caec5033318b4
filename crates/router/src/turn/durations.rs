//! How long turns of the event loop take, in total and by kind of work.

use std::fmt;
use std::io;

use hdrhistogram::Histogram;

use crate::policy_adapter::{micros, Ms};

/// The longest duration that is told from longer ones, in microseconds.
const MAX_RECORDED_US: u64 = 60_000_000;
/// The precision of a recorded duration, in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 2;
/// The percentile that is printed beside the longest turn.
const PRINTED_PERCENTILE: f64 = 99.0;

/// The kinds of work in a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TurnWork {
    /// Accepting connections of clients.
    Accepts,
    /// Connections of clients.
    Clients,
    /// Connections to caches, parents and the origin.
    Upstreams,
    /// Connections to the journal service.
    Discovery,
    /// Links with other sites.
    Links,
    /// The control socket, signals, and the evaluation of the operator file.
    Commands,
    /// Deadlines that have passed.
    Timers,
}

impl TurnWork {
    const ALL: [Self; 7] = [
        Self::Accepts,
        Self::Clients,
        Self::Upstreams,
        Self::Discovery,
        Self::Links,
        Self::Commands,
        Self::Timers,
    ];

    /// The printed name of the longest time in one turn.
    fn printed_maximum(self) -> &'static str {
        match self {
            Self::Accepts => "turn_max_accepts_us",
            Self::Clients => "turn_max_clients_us",
            Self::Upstreams => "turn_max_caches_us",
            Self::Discovery => "turn_max_journal_us",
            Self::Links => "turn_max_links_us",
            Self::Commands => "turn_max_commands_us",
            Self::Timers => "turn_max_timers_us",
        }
    }
}

/// The time that one turn has spent on each kind of work, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TurnTimes([Ms; TurnWork::ALL.len()]);

impl TurnTimes {
    /// The time spent on a kind of work.
    pub fn get(&self, work: TurnWork) -> Ms {
        self.0[work as usize]
    }
}

/// The durations of all turns since the start.
#[derive(Debug)]
pub struct TurnDurations {
    /// A turn that takes longer is reported.
    max_turn: Ms,
    current: TurnTimes,
    /// In microseconds.
    turns: Histogram<u32>,
    longest: TurnTimes,
    over_bound: u64,
}

impl TurnDurations {
    /// Creates the record before the first turn. Turns that take longer than `max_turn` milliseconds are reported.
    ///
    /// # Errors
    ///
    /// Bounds that a histogram can't have.
    pub fn new(max_turn: Ms) -> io::Result<Self> {
        let turns = Histogram::new_with_bounds(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS);
        let turns = turns.map_err(io::Error::other)?;
        let (current, longest) = (TurnTimes::default(), TurnTimes::default());
        Ok(Self { max_turn, current, turns, longest, over_bound: 0 })
    }

    /// Adds time that the current turn has spent.
    pub fn add(&mut self, work: TurnWork, duration: Ms) {
        self.current.0[work as usize] += duration;
    }

    /// Ends the current turn, which has taken `duration` milliseconds since its wait; returns how that was spent if
    /// it is over the bound.
    pub fn end_turn(&mut self, duration: Ms) -> Option<TurnTimes> {
        let times = std::mem::take(&mut self.current);
        for (longest, time) in self.longest.0.iter_mut().zip(times.0) {
            *longest = longest.max(time);
        }
        self.turns.saturating_record(micros(duration));
        let is_over_bound = duration > self.max_turn;
        self.over_bound += u64::from(is_over_bound);
        is_over_bound.then_some(times)
    }

    /// The durations since the start, for the counters.
    pub fn report(&self) -> TurnReport {
        TurnReport {
            turns: self.turns.len(),
            over_bound: self.over_bound,
            percentile_us: self.turns.value_at_percentile(PRINTED_PERCENTILE),
            longest_us: self.turns.max(),
            longest: self.longest,
        }
    }
}

/// The durations of turns as they are printed with the counters.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TurnReport {
    turns: u64,
    /// How many turns took longer than the bound.
    over_bound: u64,
    percentile_us: u64,
    longest_us: u64,
    /// The longest time in one turn, by kind of work.
    longest: TurnTimes,
}

impl fmt::Display for TurnReport {
    /// Writes ` name=number` for each number.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, " turns={} turns_over_bound={}", self.turns, self.over_bound)?;
        write!(f, " turn_p99_us={} turn_max_us={}", self.percentile_us, self.longest_us)?;
        for work in TurnWork::ALL {
            write!(f, " {}={}", work.printed_maximum(), micros(self.longest.get(work)))?;
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "../../tests/unit/turn_durations.rs"]
mod tests;
