//! The repair of gaps: peers compare digests of their tables, and each sends what the other lacks.
//!
//! A partition counts as different only where neither table has changed between two comparisons. What is still on its
//! way is no gap.

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
    /// Compares tables at that time first.
    pub fn new(first_comparison: Ms) -> Self {
        Self { last_comparisons: BTreeMap::new(), next_comparison: first_comparison }
    }

    /// When digests are sent to all peers.
    pub fn next_comparison(&self) -> Ms {
        self.next_comparison
    }

    /// Sets when digests are sent next.
    pub fn schedule(&mut self, next_comparison: Ms) {
        self.next_comparison = next_comparison;
    }

    /// Forgets the last comparison with a peer.
    pub fn forget_peer(&mut self, peer: &str) {
        self.last_comparisons.remove(peer);
    }

    /// Compares the digests of a peer with those of the own table. The peer's digests, with the own ones in place of
    /// partitions that have changed since the last comparison; `None` at the first one.
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
