//! Compares the decisions of other settings with those that are carried out, and counts the differences.
//!
//! A second instance of the decision module receives the same events, with the detail that its settings
//! provide for, and none of its actions is carried out. Each decision about a request is compared with the
//! one that was carried out:
//!
//! - if they are the same, the request goes on in both instances;
//! - if not, the kind of difference is counted, and the request is withdrawn from the second instance, as
//!   the result of its own attempt is unknown.
//!
//! The second instance therefore learns only from attempts that both instances have sent.
//!
//! - [`comparison`]: decisions, and the kinds of difference between them;
//! - [`visibility`]: what an event contains under the other settings;
//! - [`shadow`]: the second instance, its timers, and the requests that both instances agree on.
//!
//! No file, socket or clock. All state belongs to an open request or to an attempt in flight.

pub mod comparison;
pub mod shadow;
pub mod visibility;

pub use comparison::DifferenceCounts;
pub use shadow::{DueTimer, ShadowPolicy};
