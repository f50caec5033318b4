//! Connects the router to the hierarchy of caches: the fill sources that the policy may choose from, and the
//! admission of the fills that it has chosen before they are sent.
//!
//! - [`changes`]: batches of changes from all sources, plans, and snapshots for other routers;
//! - [`endpoints`]: the endpoint list, and the fill sources that the policy may choose from;
//! - [`fills`]: the admission, queueing, cancellation and completion of fills, and detected loops;
//! - [`transitions`]: the stages of a rollout, for the log and the audit log;
//! - [`error`]: why a change was not applied.
//!
//! No source is chosen here: the policy chooses it, and the hierarchy decides whether the fill is admitted.

mod changes;
mod endpoints;
mod error;
mod fills;
mod transitions;

use std::collections::HashMap;

use linnethook_hierarchy::change_spec::{NameTable, NodeSpec};
use linnethook_hierarchy::{AuthorId, Hierarchy, HierarchyView, NodeId};
use linnethook_membership::versions::HierarchyVersion;
use linnethook_operator_config::config::HierarchySection;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::policy_adapter::{AttemptKey, Ms, Ticket};

use changes::OutgoingBatches;
use fills::{InFlightFill, QueuedFill};
use transitions::StageRecorder;

pub use endpoints::ChangedFillSources;
pub use error::HierarchyError;
pub use fills::{FillCounts, FillDecision, RequestProfile};
pub use transitions::EnteredStage;

/// The bit that is set in the author ids of control sockets: half of the ids are reserved for these.
const CONTROL_SOCKET_AUTHOR_BIT: u16 = 0x8000;

/// The hierarchy, the names of its nodes, and the fills that are queued or in flight.
pub struct HierarchyAdapter {
    hierarchy: Hierarchy,
    names: NameTable,
    /// The author of the operator file's batches.
    operator_file_author: AuthorId,
    /// The author of the batches that are created through the control socket.
    control_socket_author: AuthorId,
    /// Whether the nodes support fields beyond the platform's protocol.
    extended: bool,
    queued: HashMap<AttemptKey, QueuedFill>,
    in_flight: HashMap<AttemptKey, InFlightFill>,
    /// The Retry-After of requests whose fills were not admitted, for the case that the request is rejected.
    retry_after: HashMap<Ticket, Ms>,
    /// When [`tick`](Self::tick) is due.
    next_deadline: Ms,
    /// `None` if gossip is disabled.
    outgoing_batches: Option<OutgoingBatches>,
    /// `None` if gossip is disabled.
    entered_stages: Option<StageRecorder>,
}

/// The author id of a router's control socket. It depends on the start time, as a restarted router does not
/// know how many batches it numbered before the restart.
fn control_socket_author(router: &str, started_at: Ms) -> AuthorId {
    let start_us = (started_at * 1_000.0) as u64;
    AuthorId(CONTROL_SOCKET_AUTHOR_BIT | (xxh3_64_with_seed(router.as_bytes(), start_us) as u16))
}

impl HierarchyAdapter {
    /// Creates the hierarchy with the nodes of the operator file. `router` is this router's name.
    ///
    /// # Errors
    ///
    /// The nodes do not form a valid hierarchy.
    pub fn new(now: Ms, router: &str, settings: &HierarchySection) -> Result<Self, HierarchyError> {
        let mut adapter = Self {
            hierarchy: Hierarchy::new(settings.parameters),
            names: NameTable::default(),
            operator_file_author: AuthorId(settings.author),
            control_socket_author: control_socket_author(router, now),
            extended: settings.extended,
            queued: HashMap::new(),
            in_flight: HashMap::new(),
            retry_after: HashMap::new(),
            next_deadline: now,
            outgoing_batches: None,
            entered_stages: None,
        };
        adapter.apply_initial_nodes(now, &settings.nodes)?;
        Ok(adapter)
    }

    /// Starts recording batches for gossip and rollout stages for the audit log.
    pub fn enable_gossip(&mut self) {
        self.outgoing_batches.get_or_insert_default();
        self.entered_stages.get_or_insert_default();
    }

    /// The version of the hierarchy that this router acts on.
    pub fn active_version(&self) -> HierarchyVersion {
        HierarchyVersion { version: self.hierarchy.version(), digest: self.hierarchy.topology().digest() }
    }

    /// The state of the hierarchy, as commands show it.
    pub fn view(&self, now: Ms) -> HierarchyView {
        self.hierarchy.view(now)
    }

    /// All nodes, sorted by name.
    pub fn node_specs(&self) -> Vec<NodeSpec> {
        self.names.node_specs(self.hierarchy.topology())
    }

    /// The name of a node.
    pub fn node_name(&self, id: u64) -> String {
        self.names.node_name(NodeId(id))
    }

    /// Whether [`tick`](Self::tick) is due.
    pub fn is_due(&self, now: Ms) -> bool {
        now >= self.next_deadline
    }

    /// When [`tick`](Self::tick) is due, in milliseconds.
    pub fn next_deadline(&self) -> Ms {
        self.next_deadline
    }

    /// Runs the work that is due, such as rollouts and queue timeouts. Returns the decisions on queued fills.
    pub fn tick(&mut self, now: Ms) -> Vec<FillDecision> {
        let outcome = self.hierarchy.tick(now);
        self.next_deadline = self.hierarchy.next_deadline(now);
        self.record_transitions(&outcome.transitions);
        self.apply_queue_decisions(now, outcome.decisions)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/hierarchy_adapter.rs"]
mod tests;
