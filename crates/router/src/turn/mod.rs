//! Turns of the event loop: one wait for events, and the handling of what is ready after it.
//!
//! - [`clock`]: how long what is read in a turn may have been waiting;
//! - [`durations`]: how long turns take, by kind of work.

mod clock;
mod durations;

pub use clock::TurnClock;
pub use durations::{TurnDurations, TurnReport, TurnWork};
