//! The source lists of one cache whose fill sources this router selects.

use crate::node::{preferred_sources, NodeId, Source};
use crate::rollout::MigrationId;
use crate::version::BatchPosition;

use super::FillSources;

/// A cache whose fill sources this router selects.
#[derive(Debug, Clone, Default)]
pub(super) struct Child {
    /// The sources from before the migrations that are not settled yet; equal to `desired` without
    /// migrations.
    pub settled: Vec<Source>,
    /// The sources that the topology lists for the cache, without retiring ones.
    pub desired: Vec<Source>,
    /// The newest batch that wrote the desired sources.
    pub written_by: BatchPosition,
    /// The value published last.
    pub published: FillSources,
}

impl Child {
    /// The migrations from the settled to the desired sources.
    pub fn migrations(&self) -> impl Iterator<Item = MigrationId> + '_ {
        let position = self.written_by;
        self.migration_targets().into_iter().map(move |target| MigrationId { target, position })
    }

    /// The sources that receive more fills of this cache than before: the preferred sources that are new, or
    /// all preferred sources if some were removed and none was added.
    pub fn migration_targets(&self) -> Vec<NodeId> {
        let old: Vec<NodeId> = preferred_sources(&self.settled).collect();
        let new: Vec<NodeId> = preferred_sources(&self.desired).collect();
        let added: Vec<NodeId> = new.iter().copied().filter(|id| !old.contains(id)).collect();
        let has_removed = old.iter().any(|id| !new.contains(id));
        if added.is_empty() && has_removed {
            new
        } else {
            added
        }
    }
}
