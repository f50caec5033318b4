//! Updates of the endpoint list for the hierarchy, and the fill sources that the policy may choose from.

use linnethook_hierarchy::{EndpointPhase, FillSources, NodeId, Role, Source};

use crate::discovery::event::{EndpointEntry, EndpointUpdate};
use crate::policy_adapter::{AttemptKey, EndpointKey, FillSourceLists, Ms};

use super::fills::{attempt_of, shield_ticket};
use super::{FillDecision, HierarchyAdapter};

/// A cache whose fill sources have changed.
#[derive(Debug, Clone, PartialEq)]
pub struct ChangedFillSources {
    /// The cache.
    pub endpoint: EndpointKey,
    /// Its sources from now on; during a migration also the previous ones.
    pub sources: FillSourceLists,
}

/// The id of an endpoint's node in the hierarchy.
pub(super) fn node_id(endpoint: EndpointKey) -> NodeId {
    NodeId(endpoint.number())
}

fn phase_of(entry: &EndpointEntry) -> EndpointPhase {
    match (entry.is_ready(), entry.is_removed()) {
        (true, _) => EndpointPhase::Ready,
        (_, true) => EndpointPhase::Removed,
        _ => EndpointPhase::Draining,
    }
}

fn fill_source_lists(sources: &FillSources) -> FillSourceLists {
    let list = |sources: &[Source]| {
        sources.iter().map(|source| (EndpointKey::from_number(source.node.0), source.rank)).collect()
    };
    FillSourceLists {
        current: list(&sources.current),
        previous: list(&sources.previous),
        migrated_ratio: sources.fraction,
        salt: sources.salt,
    }
}

impl HierarchyAdapter {
    /// Applies an update of the endpoint list. `is_local` is true for entries in this router's zone. Returns
    /// the queued fills that are rejected, as their endpoints may no longer be used.
    pub fn update_endpoints(
        &mut self,
        now: Ms,
        update: &EndpointUpdate,
        is_local: impl Fn(&EndpointEntry) -> bool,
    ) -> Vec<FillDecision> {
        let mut rejected = Vec::new();
        self.next_deadline = now;
        for entry in &update.entries {
            let endpoint = EndpointKey::of(&entry.uid);
            let id = node_id(endpoint);
            let phase = phase_of(entry);
            let outcome = self.hierarchy.update_endpoint(now, id, phase, entry.started_at());
            self.record_transitions(&outcome.transitions);
            let cancelled = outcome.cancelled.into_iter();
            rejected.extend(cancelled.filter_map(|ticket| self.reject_queued(attempt_of(ticket))));
            if phase != EndpointPhase::Ready {
                self.reject_queued_at(endpoint, &mut rejected);
            }
            let is_cache = self.hierarchy.topology().node(id).is_none_or(|node| node.role == Role::Cache);
            if phase != EndpointPhase::Removed && is_cache && is_local(entry) {
                self.hierarchy.track_child(now, id);
            }
        }
        rejected
    }

    /// Rejects the queued fills of the attempts at an endpoint.
    fn reject_queued_at(&mut self, endpoint: EndpointKey, rejected: &mut Vec<FillDecision>) {
        let queued = self.queued.iter().filter(|(_, fill)| fill.order.endpoint == endpoint);
        let attempts: Vec<AttemptKey> = queued.map(|(attempt, _)| *attempt).collect();
        for attempt in attempts {
            self.hierarchy.cancel_fill(shield_ticket(attempt));
            rejected.extend(self.reject_queued(attempt));
        }
    }

    /// Returns the caches whose fill sources have changed since the last call.
    pub fn changed_fill_sources(&mut self, now: Ms) -> Vec<ChangedFillSources> {
        let changed = self.hierarchy.changed_fill_sources(now).into_iter();
        let published = changed.map(|(id, sources)| ChangedFillSources {
            endpoint: EndpointKey::from_number(id.0),
            sources: fill_source_lists(&sources),
        });
        published.collect()
    }
}
