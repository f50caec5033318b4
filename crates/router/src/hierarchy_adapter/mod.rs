//! The router's side of the hierarchy: what the policy may choose from, and what becomes of the fills that it has
//! chosen on their way to the sockets.
//!
//! - [`changes`]: batches of changes and where they come from, plans, and snapshots for other routers;
//! - [`endpoints`]: the endpoint list, and the sources of fills that the policy may choose from;
//! - [`fills`]: what is admitted, queued, cancelled and completed, and detected loops;
//! - [`transitions`]: the stages of a rollout, for the log and for the audit log;
//! - [`error`]: why a change was not applied.
//!
//! No source is chosen here: the policy chooses, and the hierarchy decides what is admitted.

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

/// Marks the authors of control sockets: half of the numbers are for these.
const CONTROL_SOCKET_AUTHOR: u16 = 0x8000;

/// The hierarchy, the names of its nodes, and the fills that wait or are in flight.
pub struct HierarchyAdapter {
    hierarchy: Hierarchy,
    names: NameTable,
    /// The author of the operator file's batches.
    operator_file_author: AuthorId,
    /// The author of the batches that come by the control socket.
    control_socket_author: AuthorId,
    /// Whether nodes understand more than the platform's protocol.
    extended: bool,
    queued: HashMap<AttemptKey, QueuedFill>,
    in_flight: HashMap<AttemptKey, InFlightFill>,
    /// The Retry-After of requests whose fills were not admitted, should they be rejected.
    retry_after: HashMap<Ticket, Ms>,
    /// When [`tick`](Self::tick) is due.
    next_deadline: Ms,
    /// `None` where there are no other routers.
    outgoing_batches: Option<OutgoingBatches>,
    /// `None` where there are no other routers.
    entered_stages: Option<StageRecorder>,
}

/// The author of a router's control socket. It is another one at each start, since a start does not know how many
/// batches the one before it has numbered.
fn control_socket_author(router: &str, started_at: Ms) -> AuthorId {
    let start_us = (started_at * 1_000.0) as u64;
    AuthorId(CONTROL_SOCKET_AUTHOR | (xxh3_64_with_seed(router.as_bytes(), start_us) as u16))
}

impl HierarchyAdapter {
    /// Starts with the nodes of the operator file.
    ///
    /// # Errors
    ///
    /// The nodes make no valid hierarchy.
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

    /// Records batches and stages for other routers and the audit log from now on.
    pub fn enable_gossip(&mut self) {
        self.outgoing_batches.get_or_insert_default();
        self.entered_stages.get_or_insert_default();
    }

    /// The version of the hierarchy that this router acts on.
    pub fn active_version(&self) -> HierarchyVersion {
        HierarchyVersion { version: self.hierarchy.version(), digest: self.hierarchy.topology().digest() }
    }

    /// The state of the hierarchy, for commands.
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

    /// Follows the passing of time. Decisions on queued fills are returned.
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
