//! Freshness: age limits of copies, and their invalidation by purges.

use super::Policy;
use crate::bloom_filter::cached_copy_key;
use crate::interface::{EndpointId, Ms, ObjectId, Request};
use crate::records::RequestRecord;

/// A purge is assumed to be this much more recent than reported, to allow for rounding of its age.
const PURGE_ROUNDING: Ms = 2.0;
/// Time after the completion of a purge during which older copies are still excluded.
const PURGE_MARGIN: Ms = 500.0;
/// Smallest age limit; 0 would mean unlimited.
const MIN_AGE_LIMIT: Ms = 0.01;

/// Time between two rotations of the filters of cached copies. A copy that has not been observed for two
/// rotations may have been evicted.
const FILTER_ROTATION: Ms = 10_000.0;
/// Number of rotations for which purges are retained: filters may contain copies from before a purge for as
/// long.
const ROTATIONS_IN_FILTER: f64 = 3.0;

impl Policy {
    /// Records a purge of an object or a group; it applies to all later attempts.
    pub(super) fn record_purge(&mut self, object: Option<ObjectId>, group: u32, age: Ms) {
        self.purges.record(object, group, self.now - age + PURGE_ROUNDING);
    }

    /// The key of the requested copy in the filters of cached copies.
    ///
    /// Single entries cannot be removed from a filter, so that the key changes with each purge.
    pub(super) fn copy_key(&self, request: &Request) -> u64 {
        let purged_at = self.purges.last_purge(request.object, request.group);
        cached_copy_key(request.object.0, request.part, purged_at.map_or(0, f64::to_bits))
    }

    /// Whether the endpoint is known, from earlier outcomes, to cache that copy.
    pub(super) fn is_known_copy(&self, id: EndpointId, copy_key: u64) -> bool {
        self.endpoints.get(&id).is_some_and(|record| record.cached_copies.contains(copy_key))
    }

    /// The maximum age of a usable copy, including the grace period for stale copies if `may_be_stale`; 0
    /// means unlimited.
    ///
    /// The age of a copy is counted from when the origin sent it. Until a purge is complete, the age is
    /// limited to the time since the purge, which excludes all older copies.
    pub(super) fn max_age(&self, request: &Request, may_be_stale: bool) -> Ms {
        let class = self.settings.class(request.class);
        let class_limit = match (class.freshness_lifetime > 0.0, may_be_stale) {
            (true, true) => class.freshness_lifetime + class.stale_grace,
            (true, false) => class.freshness_lifetime,
            (false, _) => 0.0,
        };
        let purged_at = self.purges.last_purge(request.object, request.group);
        let since_purge = purged_at.map(|at| self.now - at);
        let purge_effective = self.settings.purge_completion + PURGE_MARGIN;
        match since_purge.filter(|&since| since < purge_effective) {
            Some(since) if class_limit > 0.0 => since.clamp(MIN_AGE_LIMIT, class_limit),
            Some(since) => since.max(MIN_AGE_LIMIT),
            None => class_limit,
        }
    }

    /// Whether a stale copy is accepted: for a retry, and while the origin is impaired.
    pub(super) fn may_serve_stale(&self, request: &RequestRecord) -> bool {
        request.attempts_sent > 0 || !self.origin_admission.is_healthy()
    }

    /// Sets the time of the next filter rotation.
    pub(super) fn schedule_filter_rotation(&mut self) {
        self.next_filter_rotation = self.now + FILTER_ROTATION;
    }

    /// Rotates the filters of cached copies if that is due, and drops removed endpoints and expired purges.
    pub(super) fn rotate_filters_if_due(&mut self) {
        if self.now < self.next_filter_rotation {
            return;
        }
        self.schedule_filter_rotation();
        for record in self.endpoints.values_mut() {
            record.cached_copies.rotate();
        }
        self.drop_removed_endpoints();
        let filter_retention = ROTATIONS_IN_FILTER * FILTER_ROTATION;
        let oldest = self.now - self.settings.purge_completion.max(filter_retention) - PURGE_MARGIN;
        self.purges.remove_before(oldest);
    }
}
