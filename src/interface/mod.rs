//! The interface of the decision module: settings and events in, actions out.
//!
//! The module performs no I/O and reads no clock. Adapters translate between these types and each protocol
//! that uses the module.
//!
//! - [`settings`]: the configuration of one router;
//! - [`events`]: the events that the policy handles;
//! - [`actions`]: the actions that it returns, and the reasons for rejections.

pub mod actions;
pub mod events;
pub mod settings;

pub use actions::{Action, FillInstruction, RejectReason, RetryScope};
pub use events::{
    AttemptId, AttemptOutcome, AttemptStatus, CacheStatus, Endpoint, EndpointId, EndpointPhase,
    EndpointUpdate, Event, FillSource, FillSources, LoadReport, ObjectId, Request, RequestId,
};
pub use settings::{
    DeduplicationScope, Idempotence, OutcomeDetail, RequestClass, Settings, SiblingFill, SlowStart,
};

/// A point in time on a monotonic clock, or a duration; in milliseconds.
pub type Ms = f64;
