//! Anti-entropy: peers compare digests of their tables, and each sends the entries that the other lacks.
//!
//! A partition counts as different only if neither table has changed between two comparisons, because entries
//! that are still in transit are not missing.

use std::collections::BTreeMap;

use crate::gossip::entry_table::{PartitionDigests, PARTITIONS};
use crate::Ms;

/// The digests of both tables at a comparison.
#[derive(Debug, Clone, Copy)]
struct Comparison {
    theirs: PartitionDigests,
    own: PartitionDigests,
}

/// When tables are compared, and the last comparison with each peer.
#[derive(Debug, Clone)]
pub struct AntiEntropy {
    last_comparisons: BTreeMap<String, Comparison>,
    next_comparison: Ms,
}

impl AntiEntropy {
    /// Schedules the first comparison.
    pub fn new(first_comparison: Ms) -> Self {
        Self { last_comparisons: BTreeMap::new(), next_comparison: first_comparison }
    }

    /// When digests are sent to all peers next.
    pub fn next_comparison(&self) -> Ms {
        self.next_comparison
    }

    /// Sets when digests are sent next.
    pub fn schedule(&mut self, next_comparison: Ms) {
        self.next_comparison = next_comparison;
    }

    /// Removes the last comparison with a peer.
    pub fn forget_peer(&mut self, peer: &str) {
        self.last_comparisons.remove(peer);
    }

    /// Compares the digests of a peer with this router's own. Returns the peer's digests, with the own ones
    /// in place of those of partitions that have changed since the last comparison; `None` at the first
    /// comparison.
    pub fn compare(
        &mut self,
        peer: &str,
        theirs: PartitionDigests,
        own: PartitionDigests,
    ) -> Option<PartitionDigests> {
        let last = self.last_comparisons.insert(peer.to_string(), Comparison { theirs, own })?;
        let mut stable = own;
        for n in 0..PARTITIONS {
            if last.theirs[n] == theirs[n] && last.own[n] == own[n] {
                stable[n] = theirs[n];
            }
        }
        Some(stable)
    }
}
