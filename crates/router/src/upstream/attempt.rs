//! An attempt, from its order to its outcome.

use crate::buffers::BufferChain;
use crate::policy_adapter::{AttemptKey, AttemptReport, EndpointKey, FillSpec, Ms};

use super::response::{CopyVersion, FillLoop};

/// The parts of a client's request that are forwarded unchanged.
#[derive(Debug)]
pub struct RequestMessage {
    pub id: String,
    pub class: String,
    pub object: String,
    pub part: String,
    /// The group of the object.
    pub group: u32,
    /// The tag of the copy that the client has.
    pub client_copy: Option<String>,
    /// By which caches recognize a repeated request.
    pub idempotency_key: Option<String>,
    pub body: BufferChain,
}

/// An attempt as the policy ordered it.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptOrder {
    pub attempt: AttemptKey,
    pub endpoint: EndpointKey,
    /// How long it may take, in milliseconds.
    pub timeout: Ms,
    pub fill: FillSpec,
}

/// Fields that go with a fill where nodes understand them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FillPath {
    /// The nodes passed so far, with the version of the hierarchy.
    pub passed: String,
    /// Where the source continues if it lacks the object; a name that ends with `:h` gives only what it has cached.
    pub via: Vec<String>,
}

/// What the reply to an attempt carried.
#[derive(Debug)]
pub enum ResponsePayload {
    Empty,
    /// The object, and which copy of it that is, where that is asked for and reported.
    Body(BufferChain, Option<CopyVersion>),
    /// The client's own copy is valid.
    NotModified,
}

/// An attempt that has ended.
#[derive(Debug)]
pub struct CompletedAttempt {
    pub report: AttemptReport,
    pub payload: ResponsePayload,
    /// Where its fill came back to a node that it had passed.
    pub fill_loop: Option<FillLoop>,
}
