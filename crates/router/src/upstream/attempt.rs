//! The types of an attempt, from its order to its outcome.

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
    /// The purge group of the object.
    pub group: u32,
    /// The tag of the client's own copy, if it has one.
    pub client_copy: Option<String>,
    /// The key by which caches recognize a repeated request.
    pub idempotency_key: Option<String>,
    pub body: BufferChain,
}

/// An attempt ordered by the policy.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptOrder {
    pub attempt: AttemptKey,
    pub endpoint: EndpointKey,
    /// The timeout of the attempt, in milliseconds.
    pub timeout: Ms,
    /// The time at which the attempt may no longer be sent: if it is not sent completely by then, it ends as
    /// not sent.
    pub send_by: Option<Ms>,
    pub fill: FillSpec,
}

/// The path of a fill through the hierarchy, sent to nodes that support it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FillPath {
    /// The nodes that the fill has passed, with the version of the hierarchy.
    pub passed: String,
    /// The nodes from which the source itself fills the object if it has no copy. A name that ends with `:h`
    /// is asked for a cached copy only.
    pub via: Vec<String>,
    /// The endpoints of `via`.
    pub via_endpoints: Vec<EndpointKey>,
}

/// The payload of a reply to an attempt.
#[derive(Debug)]
pub enum ResponsePayload {
    Empty,
    /// The object, with the version of the copy if versions are enabled and the reply names it.
    Body(BufferChain, Option<CopyVersion>),
    /// The client's own copy is valid.
    NotModified,
    /// The object was not kept as it arrived, since buffers were exhausted.
    Discarded,
}

/// A completed attempt.
#[derive(Debug)]
pub struct CompletedAttempt {
    pub report: AttemptReport,
    /// Whether the endpoint may have executed it.
    pub may_have_run: bool,
    pub payload: ResponsePayload,
    /// The edge by which its fill returned to a node that it had already passed.
    pub fill_loop: Option<FillLoop>,
}
