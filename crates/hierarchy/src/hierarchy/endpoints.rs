//! The state of nodes in the endpoint list, and the times at which nodes began to retire.

use std::collections::BTreeMap;

use linnethook::interface::{EndpointPhase, Ms};

use crate::node::NodeId;
use crate::topology::Topology;

#[derive(Debug, Clone, Copy)]
struct EndpointState {
    phase: EndpointPhase,
    started: Ms,
}

/// The phases of nodes in the endpoint list, and since when nodes of the topology retire.
#[derive(Debug, Clone, Default)]
pub(super) struct Endpoints {
    states: BTreeMap<NodeId, EndpointState>,
    retiring_since: BTreeMap<NodeId, Ms>,
}

impl Endpoints {
    /// Records an entry of the endpoint list. Returns whether the node has restarted since the last one.
    pub fn update(&mut self, id: NodeId, phase: EndpointPhase, started: Ms, topology: &Topology) -> bool {
        let before = self.states.get(&id).copied();
        // A removed node that the topology still contains keeps its entry: nodes without one count as ready.
        if phase == EndpointPhase::Removed && topology.node(id).is_none() {
            self.states.remove(&id);
        } else {
            self.states.insert(id, EndpointState { phase, started });
        }
        before.is_some_and(|before| started > before.started)
    }

    /// Drops the state of nodes that the topology no longer contains, and records the start of retirements.
    pub fn topology_changed(&mut self, now: Ms, topology: &Topology) {
        self.states.retain(|id, state| state.phase != EndpointPhase::Removed || topology.node(*id).is_some());
        self.retiring_since.retain(|id, _| topology.node(*id).is_some_and(|node| node.retiring));
        for record in topology.records().into_iter().filter(|record| record.node.retiring) {
            self.retiring_since.entry(record.node.id).or_insert(now);
        }
    }

    /// Whether a node may be used as a source. A node that was never in the endpoint list may, since the
    /// topology contains it.
    pub fn is_ready(&self, id: NodeId) -> bool {
        self.states.get(&id).is_none_or(|state| state.phase == EndpointPhase::Ready)
    }

    /// When a node started, in milliseconds of Unix time; 0 if unknown.
    pub fn started(&self, id: NodeId) -> Ms {
        self.states.get(&id).map_or(0.0, |state| state.started)
    }

    /// Whether a node still serves requests for cached objects: it does not retire, or its grace period has
    /// not ended.
    pub fn is_within_grace(&self, now: Ms, id: NodeId, grace: Ms) -> bool {
        self.retiring_since.get(&id).is_none_or(|since| now - since < grace)
    }
}
