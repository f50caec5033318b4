//! Conversion of requests that cross sites, and of their answers, between the types of the gateway and of the
//! router.

use bytes::Bytes;
use linnethook_gateway::codec::Fields as GatewayFields;
use linnethook_gateway::flow_control::Priority;
use linnethook_gateway::forwarding::ForwardRequest;
use linnethook_gateway::gateway::{RemoteRequest, Reply};
use linnethook_gateway::local_capacity::RequestKind;
use linnethook_gateway::routing::SiteId;
use linnethook_gateway::transfer::ObjectVersion;

use crate::buffers::{BufferChain, BufferPool};
use crate::config::Limits;
use crate::downstream::codec::Fields;
use crate::downstream::{parse_request, ClientRequest, ClientStream};
use crate::policy_adapter::{FinalAnswer, Ms, RequestSpec};
use crate::upstream::{CopyVersion, RequestMessage, ResponsePayload};

/// Placeholder for requests from other sites, which have no client connection.
pub const NO_CLIENT: ClientStream = ClientStream { client: 0, stream: 0 };

/// The data of a request that is required to forward it.
#[derive(Debug, Clone)]
pub struct CrossSiteRequest {
    pub spec: RequestSpec,
    /// Whether it must not be executed twice.
    pub not_idempotent: bool,
    /// Whether it may have two attempts at the same time.
    pub parallel_attempts: bool,
    /// Whether it is a write, which runs at the origin.
    pub write: bool,
    /// The latency objective, in milliseconds.
    pub objective: Ms,
    /// The time by which it must have its answer.
    pub deadline: Ms,
    /// The names of the sites that it has passed.
    pub passed: Vec<String>,
}

impl CrossSiteRequest {
    /// What it requires of the site that serves it.
    pub fn kind(&self) -> RequestKind {
        if self.write {
            RequestKind::Write
        } else {
            RequestKind::Read
        }
    }
}

/// Converts a request to the form that the gateway forwards; `home` is the site that its class is bound to.
pub(super) fn forward_spec(
    request: &CrossSiteRequest,
    message: &RequestMessage,
    home: Option<SiteId>,
) -> ForwardRequest {
    let priority = match (request.not_idempotent, request.spec.part) {
        (true, _) => Priority::Booking,
        (false, 0) => Priority::FirstPart,
        _ => Priority::LaterPart,
    };
    ForwardRequest {
        object: request.spec.object,
        write: request.write,
        not_idempotent: request.not_idempotent,
        parallel_attempts: request.parallel_attempts,
        home_site: home,
        priority,
        latency_objective: request.objective,
        deadline: request.deadline,
        passed_sites: request.passed.clone(),
        fields: request_fields(&request.spec, message),
        body: Bytes::from(message.body.to_vec()),
    }
}

/// The fields of a request in the form in which clients send them.
fn request_fields(spec: &RequestSpec, message: &RequestMessage) -> GatewayFields {
    let mut fields: GatewayFields = Vec::with_capacity(9);
    let mut put = |name: &str, value: String| fields.push((name.to_string(), value));
    put("c", message.class.clone());
    put("i", message.id.clone());
    put("o", message.object.clone());
    put("chunk", message.part.clone());
    put("tag", spec.group.to_string());
    if spec.size_kb > 0.0 {
        put("m", spec.size_kb.to_string());
    }
    if spec.repeat {
        put("r", "1".to_string());
    }
    message.client_copy.iter().for_each(|tag| put("known", tag.clone()));
    message.idempotency_key.iter().for_each(|key| put("k", key.clone()));
    fields
}

/// Parses a request from another site; `None` if it is invalid.
pub fn parse_remote_request(
    request: &RemoteRequest,
    buffers: &BufferPool,
    limits: &Limits,
) -> Option<ClientRequest> {
    let mut fields = Fields::from(request.fields.clone());
    fields.put(
        "d",
        &format!(
            "{}",
            (request.remaining + limits.requests.network_allowance_ms).min(limits.requests.max_wait_ms)
        ),
    );
    let body = BufferChain::from_bytes(buffers, &request.body);
    parse_request(NO_CLIENT, &fields, body, limits)
}

/// Converts an answer of this site to a reply to another site.
///
/// A rejection tells the other site that the request was not executed here, or that executing it again does
/// no harm anywhere. One that holds for the endpoints of this site only is a failure to the other one.
pub fn reply_of(answer: FinalAnswer, payload: ResponsePayload) -> Reply {
    match (answer, payload) {
        (FinalAnswer::Served, ResponsePayload::Body(body, version)) => {
            let body = Bytes::from(body.to_vec());
            let length = body.len() as u64;
            let copy =
                version.map(|CopyVersion { tag, issued }| ObjectVersion { tag, issued_at: issued, length });
            Reply::Served { fields: Vec::new(), body, version: copy }
        }
        (FinalAnswer::Served, ResponsePayload::NotModified) => {
            let head = vec![("valid".to_string(), "1".to_string())];
            Reply::Served { fields: head, body: Bytes::new(), version: None }
        }
        (FinalAnswer::Rejected { retry_after, may_run_elsewhere: true }, _) => {
            Reply::Rejected { retry_after }
        }
        (FinalAnswer::Served | FinalAnswer::Failed | FinalAnswer::Rejected { .. }, _) => Reply::Failed,
    }
}

/// Converts a reply of another site to the answer to a client. `holds_copy` is whether the client has a copy
/// of the object.
pub fn answer_of(
    reply: Reply,
    holds_copy: bool,
    buffers: &BufferPool,
    max_retry_after: Ms,
) -> (FinalAnswer, ResponsePayload) {
    match reply {
        Reply::Served { fields: head, .. } if is_not_modified(&head) && holds_copy => {
            (FinalAnswer::Served, ResponsePayload::NotModified)
        }
        Reply::Served { fields: head, .. } if is_not_modified(&head) => {
            (FinalAnswer::Failed, ResponsePayload::Empty)
        }
        Reply::Served { body, .. } => {
            let body = BufferChain::from_bytes(buffers, &body);
            (FinalAnswer::Served, ResponsePayload::Body(body, None))
        }
        Reply::Rejected { retry_after } => {
            let retry_after = retry_after.min(max_retry_after);
            (FinalAnswer::Rejected { retry_after, may_run_elsewhere: true }, ResponsePayload::Empty)
        }
        Reply::Failed => (FinalAnswer::Failed, ResponsePayload::Empty),
    }
}

/// Whether a reply confirms that the copy of the client is current.
fn is_not_modified(head: &GatewayFields) -> bool {
    head.iter().any(|(name, value)| name == "valid" && value == "1")
}
