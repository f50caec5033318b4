//! The source lists of one cache that sources are chosen for.

use crate::node::{preferred_sources, NodeId, Source};
use crate::rollout::MigrationId;
use crate::version::BatchPosition;

use super::FillSources;

/// A cache that sources are chosen for.
#[derive(Debug, Clone, Default)]
pub(super) struct Child {
    /// The sources in use where migrations are not settled yet.
    pub settled: Vec<Source>,
    /// The sources that the topology gives it, retiring ones left out.
    pub wanted: Vec<Source>,
    /// The newest batch that wrote the wanted sources.
    pub written_by: BatchPosition,
    /// What was published last.
    pub published: FillSources,
}

impl Child {
    /// Its migrations from the settled to the wanted sources.
    pub fn migrations(&self) -> impl Iterator<Item = MigrationId> + '_ {
        let position = self.written_by;
        self.migration_targets().into_iter().map(move |target| MigrationId { target, position })
    }

    /// The sources that get more of its fills than before: those that are new among the preferred ones, or all
    /// preferred ones where one has only left.
    pub fn migration_targets(&self) -> Vec<NodeId> {
        let old: Vec<NodeId> = preferred_sources(&self.settled).collect();
        let new: Vec<NodeId> = preferred_sources(&self.wanted).collect();
        let added: Vec<NodeId> = new.iter().copied().filter(|id| !old.contains(id)).collect();
        let has_removed = old.iter().any(|id| !new.contains(id));
        if added.is_empty() && has_removed {
            new
        } else {
            added
        }
    }
}
