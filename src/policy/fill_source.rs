//! Choice of the fill source: the parent, or the origin, that a missing copy is filled from.

use super::Policy;
use crate::hash_ring::{hash_pair, unit_fraction};
use crate::interface::{
    EndpointId, EndpointPhase, FillInstruction, FillSource, FillSources, OutcomeDetail, Request,
};
use crate::records::{EndpointRecord, RequestRecord};

/// Makes the hash that ranks the parents of an object independent of its other hashes.
const SALT_PARENT: u64 = 0x7061_7265;

/// A parent is slow while its late-fill ratio exceeds both this value and
/// [`SLOW_PARENT_RELATIVE_RATIO`] times the ratio of the best other parent.
const SLOW_PARENT_LATE_RATIO: f64 = 0.25;
/// See [`SLOW_PARENT_LATE_RATIO`].
const SLOW_PARENT_RELATIVE_RATIO: f64 = 3.0;
/// Share of requests that still use a slow parent, so that its recovery is detected.
const SLOW_PARENT_TRIAL_RATIO: f64 = 0.04;

/// The rank of a parent for an object. The parent with the lowest rank is the object's home parent.
pub fn parent_rank_hash(object: u64, parent: u64) -> u64 {
    hash_pair(object, parent ^ SALT_PARENT)
}

impl Policy {
    /// The source that `cache` fills a missing copy from, or the one to forward to directly if `cache` is
    /// `None`.
    ///
    /// Where the hierarchy defines the cache's sources, this is the usable one with the lowest priority
    /// number. Otherwise it is the usable parent with the lowest [`parent_rank_hash`], or the origin if there
    /// is none.
    pub(super) fn fill_source(
        &self,
        request: &RequestRecord,
        cache: Option<EndpointId>,
    ) -> Option<EndpointId> {
        let object = request.request.object.0;
        let is_acceptable = |id: &EndpointId| self.is_acceptable_source(request, *id);
        let rank = |id: &EndpointId| parent_rank_hash(object, id.0);
        let configured = match cache {
            Some(cache) => self.fill_sources.get(&cache),
            // Without a cache, the sources of any cache of the location apply.
            None => self.fill_sources.values().next(),
        };
        let Some(configured) = configured else {
            let parents = self.parents().map(|record| record.endpoint.id);
            return parents.filter(is_acceptable).min_by_key(rank).or(self.origin());
        };
        let is_origin = |id: EndpointId| Some(id) == self.origin();
        let candidates = sources_for_object(configured, object).iter();
        let is_usable = |source: &&FillSource| is_origin(source.endpoint) || is_acceptable(&source.endpoint);
        let usable = candidates.filter(is_usable);
        let first = usable.min_by_key(|source| (source.priority, rank(&source.endpoint)));
        first.map(|source| source.endpoint)
    }

    /// Whether the request may be filled from that parent: it is usable, is not slow, and has not failed this
    /// request before.
    fn is_acceptable_source(&self, request: &RequestRecord, id: EndpointId) -> bool {
        let is_trial = request.draw < SLOW_PARENT_TRIAL_RATIO;
        self.is_usable(id, request.work)
            && self.serves_object(id, request.request.object)
            && !request.avoid.contains(&id)
            && (is_trial || !self.is_slow_parent(id))
    }

    /// Whether fills from a parent are late far more often than those from the best other parent.
    ///
    /// The link and the origin delay the fills of all parents alike, so that a parent above both limits must
    /// itself be slow. If there is no other parent and outcomes do not report the time spent waiting for the
    /// origin, the parent is compared with fills from the origin itself.
    pub(super) fn is_slow_parent(&self, id: EndpointId) -> bool {
        let is_comparable = |other: &&EndpointRecord| {
            let is_ready = other.endpoint.phase == EndpointPhase::Ready;
            other.endpoint.id != id && is_ready && other.health.is_healthy()
        };
        let others = self.parents().filter(is_comparable);
        let best_parent = others.map(|other| other.late_fill_ratio.value).reduce(f64::min);
        let origin = self.origin().filter(|_| self.settings.outcome_detail != OutcomeDetail::Full);
        let origin_ratio = origin.map(|id| self.endpoints[&id].late_fill_ratio.value);
        let best = best_parent.or(origin_ratio).unwrap_or(f64::INFINITY);
        let parent = self.endpoints.get(&id).filter(|record| self.settings.is_parent(&record.endpoint));
        let late_ratio = parent.map_or(0.0, |record| record.late_fill_ratio.value);
        late_ratio > SLOW_PARENT_LATE_RATIO && late_ratio > best * SLOW_PARENT_RELATIVE_RATIO
    }

    /// The instruction for a cache without a usable copy: fill it from `source`. If `source` is the cache
    /// itself, it does not fill.
    pub(super) fn fill_instruction(
        &self,
        request: &Request,
        source: EndpointId,
        retention: u8,
        may_be_stale: bool,
    ) -> FillInstruction {
        let expires = self.settings.class(request.class).freshness_lifetime > 0.0;
        FillInstruction {
            source,
            retention,
            max_age: self.max_age(request, may_be_stale),
            max_stale_age: self.max_age(request, true),
            coalesce: self.settings.coalesces_fills,
            only_if_cached: false,
            revalidate: retention > 0 && expires,
        }
    }
}

/// The sources that apply to the object while the cache is migrated from one list of sources to another.
fn sources_for_object(sources: &FillSources, object: u64) -> &[FillSource] {
    let has_migrated = unit_fraction(hash_pair(object, sources.salt)) < sources.migrated_ratio;
    if has_migrated {
        &sources.current
    } else {
        &sources.previous
    }
}
