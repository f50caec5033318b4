//! The open requests of this router.

use std::collections::HashMap;

use crate::downstream::ClientStream;
use crate::hierarchy_adapter::RequestProfile;
use crate::policy_adapter::{Ms, PolicyAdapter, RequestProperties, RequestSpec, Ticket};
use crate::remote_sites::CrossSiteRequest;
use crate::upstream::{CompletedAttempt, RequestMessage};

/// The number of bytes in a kilobyte, the unit in which clients state sizes.
const BYTES_PER_KB: f64 = 1_000.0;

/// A request without a final answer so far.
pub struct OpenRequest {
    /// The stream on which the request is answered.
    pub stream: ClientStream,
    /// The request as it is sent to caches.
    pub message: RequestMessage,
    /// The properties on which the admission of its fills depends.
    pub profile: RequestProfile,
    /// Whether it may be executed again, so that it may be rejected although it was executed.
    pub is_idempotent: bool,
    /// Whether an attempt that has ended may have been executed.
    pub may_have_run: bool,
    /// Whether no further attempt is begun, since its sender may not wait any more.
    pub has_lost_sender: bool,
    /// The gateway's data for the request; `None` if requests are not forwarded to other sites.
    pub cross_site: Option<Box<CrossSiteRequest>>,
}

impl OpenRequest {
    /// Creates a request that is handled by this site only.
    pub fn new(
        now: Ms,
        policy: &PolicyAdapter,
        stream: ClientStream,
        spec: &RequestSpec,
        message: RequestMessage,
    ) -> Self {
        let RequestProperties { latency_objective, is_write } = policy.request_properties(spec);
        let profile = RequestProfile {
            object: spec.object,
            part: spec.part,
            group: spec.group,
            is_write,
            size_bytes: spec.size_kb * BYTES_PER_KB,
            latency_objective,
            received_at: now,
        };
        let is_idempotent = !policy.needs_repeat_protection(spec);
        Self {
            stream,
            message,
            profile,
            is_idempotent,
            may_have_run: false,
            has_lost_sender: false,
            cross_site: None,
        }
    }

    /// Marks the request as one that may be forwarded to other sites, except those that it has `passed`.
    pub fn allow_forwarding(
        mut self,
        now: Ms,
        policy: &PolicyAdapter,
        spec: RequestSpec,
        passed: Vec<String>,
    ) -> Self {
        self.cross_site = Some(Box::new(CrossSiteRequest {
            not_idempotent: policy.needs_repeat_protection(&spec),
            parallel_attempts: policy.allows_parallel_attempts(),
            write: self.profile.is_write,
            objective: self.profile.latency_objective,
            deadline: now + spec.budget,
            spec,
            passed,
        }));
        self
    }
}

/// The open requests, indexed by ticket and id.
pub struct OpenRequests {
    /// The maximum number of open requests.
    max: usize,
    by_ticket: HashMap<Ticket, OpenRequest>,
    by_id: HashMap<String, IdInUse>,
}

/// The object for which an id is in use, and the number of open requests with that id.
struct IdInUse {
    object: String,
    requests: usize,
}

impl OpenRequests {
    /// Creates an empty table for at most `max` requests.
    pub fn new(max: usize) -> Self {
        Self { max, by_ticket: HashMap::new(), by_id: HashMap::new() }
    }

    /// Whether the maximum number of requests is open.
    pub fn is_full(&self) -> bool {
        self.len() >= self.max
    }

    /// The number of open requests, divided by the maximum.
    pub fn open_ratio(&self) -> f64 {
        self.len() as f64 / self.max.max(1) as f64
    }

    /// The number of open requests.
    pub fn len(&self) -> usize {
        self.by_ticket.len()
    }

    /// The bytes of the bodies of all open requests.
    pub fn body_bytes(&self) -> usize {
        self.by_ticket.values().map(|request| request.message.body.len()).sum()
    }

    /// The request with a ticket; `None` if it is not open.
    pub fn get(&self, ticket: Ticket) -> Option<&OpenRequest> {
        self.by_ticket.get(&ticket)
    }

    /// Records that no further attempt of a request is to be begun.
    pub fn mark_lost_sender(&mut self, ticket: Ticket) {
        if let Some(request) = self.by_ticket.get_mut(&ticket) {
            request.has_lost_sender = true;
        }
    }

    /// Whether a request is open for which no further attempt is to be begun.
    pub fn has_lost_sender(&self, ticket: Ticket) -> bool {
        self.by_ticket.get(&ticket).is_some_and(|request| request.has_lost_sender)
    }

    /// Records the outcome of an attempt.
    pub fn record_attempt(&mut self, completed: &CompletedAttempt) {
        if let Some(request) = self.by_ticket.get_mut(&completed.report.attempt.ticket) {
            request.may_have_run |= completed.may_have_run;
        }
    }

    /// The tickets of all open requests, in no particular order.
    pub fn tickets(&self) -> impl Iterator<Item = Ticket> + '_ {
        self.by_ticket.keys().copied()
    }

    /// Whether the message's id is in use for another object: caches distinguish requests by their ids only.
    pub fn id_conflicts(&self, message: &RequestMessage) -> bool {
        self.by_id.get(&message.id).is_some_and(|id| id.object != message.object)
    }

    /// Adds a request.
    pub fn insert(&mut self, ticket: Ticket, request: OpenRequest) {
        let RequestMessage { id, object, .. } = &request.message;
        let new_id = || IdInUse { object: object.clone(), requests: 0 };
        self.by_id.entry(id.clone()).or_insert_with(new_id).requests += 1;
        self.by_ticket.insert(ticket, request);
    }

    /// Removes a request and returns it; `None` if it is not open.
    pub fn remove(&mut self, ticket: Ticket) -> Option<OpenRequest> {
        let request = self.by_ticket.remove(&ticket)?;
        if let Some(id) = self.by_id.get_mut(&request.message.id) {
            id.requests -= 1;
            if id.requests == 0 {
                self.by_id.remove(&request.message.id);
            }
        }
        Some(request)
    }
}

#[cfg(test)]
#[path = "../tests/unit/requests.rs"]
mod tests;
