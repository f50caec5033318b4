//! The settings of cluster membership.

use crate::aggregation::tree::AggregationConfig;
use crate::gossip::entry_table::TableLimits;
use crate::gossip::plumtree::PlumtreeConfig;
use crate::gossip::rate_limit::RateLimitConfig;
use crate::membership::MembershipTimeouts;
use crate::snapshot_transfer::SnapshotTransferConfig;
use crate::versions::NEWEST_STATUS_VERSION;
use crate::Ms;

/// All settings of a [`crate::cluster::Cluster`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MembershipConfig {
    /// When an unreachable router is suspect, dead and forgotten.
    pub timeouts: MembershipTimeouts,
    /// When a snapshot is requested from a peer.
    pub snapshot_transfer: SnapshotTransferConfig,
    /// How much may be sent to all peers together.
    pub rate_limit: RateLimitConfig,
    /// How many entries and bytes the table stores.
    pub table_limits: TableLimits,
    /// The interval in which entries are sent.
    pub flush_interval: Ms,
    /// The most bytes of entries that are sent together.
    pub bundle_bytes: usize,
    /// The interval in which peers compare their tables by digests.
    pub comparison_interval: Ms,
    /// How long entries of purges, and of caches that are ready again or removed, are retained.
    pub purge_retention: Ms,
    /// How many change batches of the hierarchy are retained, the newest ones.
    pub max_batches: usize,
    /// A process that did not run for this long counts as frozen. At most the suspect timeout: otherwise a
    /// frozen process could be replaced without detecting that it was frozen.
    pub freeze_threshold: Ms,
    /// How long after a freeze a process still yields its name to a later incarnation.
    pub yield_window: Ms,
    /// The version in which this router writes its status.
    pub status_version: u16,
    /// When summaries of locations are published.
    pub aggregation: AggregationConfig,
    /// Which links carry complete entries.
    pub plumtree: PlumtreeConfig,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            timeouts: MembershipTimeouts::default(),
            snapshot_transfer: SnapshotTransferConfig::default(),
            rate_limit: RateLimitConfig::default(),
            table_limits: TableLimits::default(),
            flush_interval: 100.0,
            bundle_bytes: 16 << 10,
            comparison_interval: 5_000.0,
            purge_retention: 600_000.0,
            max_batches: 1_024,
            freeze_threshold: 1_000.0,
            yield_window: 10_000.0,
            status_version: NEWEST_STATUS_VERSION,
            aggregation: AggregationConfig::default(),
            plumtree: PlumtreeConfig::default(),
        }
    }
}
