//! Compares the decisions under other settings with those that are carried out, and counts the differences.
//!
//! A second instance of the decision module receives the same events, reduced to the detail that its settings
//! provide. None of its actions is carried out. Each decision about a request is compared with the one that
//! was carried out:
//!
//! - if they are equal, the request continues in both instances;
//! - otherwise the kind of difference is counted, and the request is withdrawn from the second instance, as
//!   the result of its own attempt is unknown.
//!
//! The second instance therefore learns only from attempts that both instances have sent.
//!
//! - [`comparison`]: decisions and the kinds of difference between them;
//! - [`visibility`]: the content of an event under the other settings;
//! - [`shadow`]: the second instance, its timers, and the requests that both instances agree on.
//!
//! The package uses no file, socket or clock. All its state belongs to an open request or to an attempt in
//! flight.

#![warn(missing_docs)]
#![warn(clippy::missing_errors_doc, clippy::too_many_lines, clippy::unwrap_used, clippy::wildcard_imports)]

pub mod comparison;
pub mod shadow;
pub mod visibility;

pub use comparison::DifferenceCounts;
pub use shadow::{DueTimer, ShadowPolicy};
