//! What the settings of another shape would have decided, counted beside the decisions that are carried out.
//!
//! A second instance of the decision module hears the same events, as its settings would have them told, and none of
//! its actions has an effect. Each decision about a request is compared with the one that was carried out:
//!
//! - *alike*: it goes on, and hears what came of the attempt;
//! - *different*: the kind is counted, and the request is taken from it as if it had never been sent, for what would
//!   have come of its own attempt nobody knows. So it learns from what both would have sent, and from nothing else.
//!
//! - [`counts`]: the kinds of difference, and how two decisions are compared;
//! - [`hearing`]: what the other shape would have been told of an event;
//! - [`watch`]: the second instance, its timers, and the requests in which it keeps step.
//!
//! No file, socket or clock. All that is kept belongs to an open request or an attempt that is out.

pub mod counts;
pub mod hearing;
pub mod watch;

pub use counts::Counts;
pub use watch::Watch;
