//! The settings of cluster membership.

use crate::aggregation::tree::AggregationConfig;
use crate::gossip::entry_table::TableLimits;
use crate::gossip::plumtree::PlumtreeConfig;
use crate::gossip::rate_limit::RateLimitConfig;
use crate::membership::MembershipTimeouts;
use crate::snapshot_transfer::SnapshotTransferConfig;
use crate::versions::NEWEST_STATUS_VERSION;
use crate::Ms;

/// All that can be set.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MembershipConfig {
    pub timeouts: MembershipTimeouts,
    pub snapshot_transfer: SnapshotTransferConfig,
    pub rate_limit: RateLimitConfig,
    pub table_limits: TableLimits,
    /// What has changed is said so often at the most, and so many bytes of it in one go.
    pub flush_interval: Ms,
    pub bundle_bytes: usize,
    /// How often tables are compared by digests.
    pub comparison_interval: Ms,
    /// How long purges, and lines of caches that are back or gone, are passed on.
    pub purge_retention: Ms,
    /// Batches of the hierarchy that are passed on: the newest.
    pub max_batches: usize,
    /// A process that did nothing for so long was frozen; so long afterwards it leaves its name to a later start. No
    /// longer than it takes to suspect one, or a frozen one could be replaced and not know why.
    pub freeze_threshold: Ms,
    pub yield_window: Ms,
    /// The version of what this router says of itself.
    pub status_version: u16,
    /// Where routers have places.
    pub aggregation: AggregationConfig,
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
