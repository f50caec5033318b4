//! The requests that are open at this router.

use std::collections::HashMap;

use crate::downstream::ClientStream;
use crate::hierarchy_adapter::RequestProfile;
use crate::policy_adapter::{Ms, PolicyAdapter, RequestNeeds, RequestSpec, Ticket};
use crate::remote_sites::CrossSiteRequest;
use crate::upstream::RequestMessage;

/// Bytes of a kilobyte, in which clients state sizes.
const BYTES_PER_KB: f64 = 1_000.0;

/// A request without its final answer.
pub struct OpenRequest {
    /// The stream that is owed the answer.
    pub stream: ClientStream,
    /// The request as caches are sent it.
    pub message: RequestMessage,
    /// What the admission of its fills depends on.
    pub profile: RequestProfile,
    /// What the gateway needs of it; `None` where requests can't go to other sites.
    pub cross_site: Option<Box<CrossSiteRequest>>,
}

impl OpenRequest {
    /// A request that only this site decides about.
    pub fn new(
        now: Ms,
        policy: &PolicyAdapter,
        stream: ClientStream,
        spec: &RequestSpec,
        message: RequestMessage,
    ) -> Self {
        let RequestNeeds { latency_objective, is_write } = policy.needs(spec);
        let profile = RequestProfile {
            object: spec.object,
            part: spec.part,
            is_write,
            size_bytes: spec.size_kb * BYTES_PER_KB,
            latency_objective,
            received_at: now,
        };
        Self { stream, message, profile, cross_site: None }
    }

    /// The same as a request that may go to other sites but those that it has `passed`.
    pub fn across_sites(
        mut self,
        now: Ms,
        policy: &PolicyAdapter,
        spec: RequestSpec,
        passed: Vec<String>,
    ) -> Self {
        self.cross_site = Some(Box::new(CrossSiteRequest {
            not_idempotent: policy.needs_repeat_protection(&spec),
            write: self.profile.is_write,
            objective: self.profile.latency_objective,
            deadline: now + spec.budget,
            spec,
            passed,
        }));
        self
    }
}

/// The open requests with their ids.
pub struct OpenRequests {
    /// How many there may be.
    max: usize,
    by_ticket: HashMap<Ticket, OpenRequest>,
    by_id: HashMap<String, IdInUse>,
}

/// The object that an id stands for, and how many open requests have it.
struct IdInUse {
    object: String,
    requests: usize,
}

impl OpenRequests {
    /// None so far, of `max` that there may be.
    pub fn new(max: usize) -> Self {
        Self { max, by_ticket: HashMap::new(), by_id: HashMap::new() }
    }

    /// Whether there are as many as there may be.
    pub fn is_full(&self) -> bool {
        self.len() >= self.max
    }

    /// The share of the requests that there may be.
    pub fn open_ratio(&self) -> f64 {
        self.len() as f64 / self.max.max(1) as f64
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.by_ticket.len()
    }

    /// The request with that number; `None` where it is not open.
    pub fn get(&self, ticket: Ticket) -> Option<&OpenRequest> {
        self.by_ticket.get(&ticket)
    }

    /// The numbers of all of them, in no order.
    pub fn tickets(&self) -> impl Iterator<Item = Ticket> + '_ {
        self.by_ticket.keys().copied()
    }

    /// Whether the message's id is open for another object: caches tell requests apart by their ids only.
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

    /// Removes a request; `None` where it is not open.
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
