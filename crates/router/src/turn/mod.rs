//! Turns of the event loop: one wait for events, and the handling of what is ready after it.
//!
//! - [`clock`]: how long what is read in a turn may have been waiting;
//! - [`ready_queue`]: the connections that are ready, and their shares of a turn;
//! - [`fair_queue`]: the order in which they are served;
//! - [`work_budget`]: the work that a connection may cause before others have their turn;
//! - [`durations`]: how long turns take, by kind of work.

mod clock;
mod durations;
mod fair_queue;
mod ready_queue;
mod work_budget;

pub use clock::TurnClock;
pub use durations::{TurnDurations, TurnReport, TurnWork};
pub use ready_queue::{ConnectionKind, ReadyConnection, ReadyQueue, Side, READABLE, READABLE_AND_WRITABLE};
pub use work_budget::WorkBudget;
