//! Everything that crosses the boundary of the decision module: settings and events in, actions out.
//!
//! The module does no input or output and reads no clock. Every protocol that shares these decisions is
//! translated into these types by an adapter.
//!
//! - [`settings`]: what one router is configured with;
//! - [`events`]: what it is notified of;
//! - [`actions`]: what it orders, and why a request is rejected.

pub mod actions;
pub mod events;
pub mod settings;

pub use actions::{Action, FillInstruction, RejectReason};
pub use events::{
    AttemptId, AttemptOutcome, AttemptStatus, CacheStatus, Endpoint, EndpointId, EndpointPhase,
    EndpointUpdate, Event, FillSource, FillSources, LoadReport, ObjectId, Request, RequestId,
};
pub use settings::{
    DeduplicationScope, Idempotence, OutcomeDetail, RequestClass, Settings, SiblingFill, SlowStart,
};

/// A point in time or a duration, in milliseconds, on one monotonic clock.
pub type Ms = f64;
