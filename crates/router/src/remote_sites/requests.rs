//! Requests that cross sites, and their answers: between the terms of the gateway and those of the router.

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

/// Requests from other sites have no connection of a client.
pub const NO_CLIENT: ClientStream = ClientStream { client: 0, stream: 0 };

/// A request as the gateway needs it again, should it be forwarded.
#[derive(Debug, Clone)]
pub struct CrossSiteRequest {
    pub spec: RequestSpec,
    /// A second execution would do harm.
    pub not_idempotent: bool,
    pub write: bool,
    /// The latency objective, in milliseconds.
    pub objective: Ms,
    pub deadline: Ms,
    /// Sites that it has passed.
    pub passed: Vec<String>,
}

impl CrossSiteRequest {
    pub fn need(&self) -> RequestKind {
        if self.write {
            RequestKind::Write
        } else {
            RequestKind::Read
        }
    }
}

/// What the gateway needs to forward a request; `home` is the site that its class is bound to.
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
        home_site: home,
        priority,
        latency_objective: request.objective,
        deadline: request.deadline,
        passed_sites: request.passed.clone(),
        fields: request_fields(&request.spec, message),
        body: Bytes::from(message.body.to_vec()),
    }
}

/// The fields of a request as clients write them.
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

/// Reads a request from another site; `None` where it can't be used.
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

/// The reply to another site for an answer of this site.
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
        (FinalAnswer::Rejected { retry_after: wait }, _) => Reply::Rejected { retry_after: wait },
        (FinalAnswer::Served | FinalAnswer::Failed, _) => Reply::Failed,
    }
}

/// The answer to a client for a reply of another site; `holds_copy` is whether the client has a copy of its own.
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
        Reply::Rejected { retry_after: wait } => {
            (FinalAnswer::Rejected { retry_after: wait.min(max_retry_after) }, ResponsePayload::Empty)
        }
        Reply::Failed => (FinalAnswer::Failed, ResponsePayload::Empty),
    }
}

/// Whether the copy that the client holds is the current one.
fn is_not_modified(head: &GatewayFields) -> bool {
    head.iter().any(|(name, value)| name == "valid" && value == "1")
}
