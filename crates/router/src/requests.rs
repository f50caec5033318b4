//! The requests that are open at this router.

use std::collections::HashMap;

use crate::downstream::ClientStream;
use crate::hierarchy_adapter::RequestProfile;
use crate::policy_adapter::Ticket;
use crate::remote_sites::CrossSiteRequest;
use crate::upstream::RequestMessage;

/// A request without its final answer.
pub struct OpenRequest {
    pub stream: ClientStream,
    pub message: RequestMessage,
    pub profile: RequestProfile,
    /// What the gateway needs of it; `None` where there is no gateway.
    pub cross_site: Option<Box<CrossSiteRequest>>,
}

/// The open requests with their ids.
#[derive(Default)]
pub struct OpenRequests {
    by_ticket: HashMap<Ticket, OpenRequest>,
    by_id: HashMap<String, IdInUse>,
}

/// The object that an id stands for, and how many open requests have it.
struct IdInUse {
    object: String,
    requests: usize,
}

impl OpenRequests {
    pub fn len(&self) -> usize {
        self.by_ticket.len()
    }

    pub fn get(&self, ticket: Ticket) -> Option<&OpenRequest> {
        self.by_ticket.get(&ticket)
    }

    pub fn tickets(&self) -> impl Iterator<Item = Ticket> + '_ {
        self.by_ticket.keys().copied()
    }

    /// Whether the message's id is open for another object: caches tell requests apart by their ids only.
    pub fn id_conflicts(&self, message: &RequestMessage) -> bool {
        self.by_id.get(&message.id).is_some_and(|id| id.object != message.object)
    }

    pub fn insert(&mut self, ticket: Ticket, request: OpenRequest) {
        let RequestMessage { id, object, .. } = &request.message;
        let id =
            self.by_id.entry(id.clone()).or_insert_with(|| IdInUse { object: object.clone(), requests: 0 });
        id.requests += 1;
        self.by_ticket.insert(ticket, request);
    }

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
