//! Placement: the choice of the cache that serves a request.
//!
//! An object is served by its owner on the hash ring. Objects in parts are spread over several holders. If
//! the owner is far busier than the other caches, the least busy one serves the object with a copy from the
//! owner (sibling overflow).

use super::admission::MIN_DELIVERY_TIME;
use super::Policy;
use crate::bloom_filter::cached_copy_key;
use crate::hash_ring::{hash_pair, unit_fraction};
use crate::interface::{EndpointId, FillInstruction, Ms, RejectReason, SiblingFill};
use crate::records::{RequestRecord, Route};

/// Makes the hash that selects the owner of an object independent of its other hashes.
const SALT_OWNER: u64 = 0x6f77_6e65;
/// Makes the hash that assigns a part to a holder independent of its other hashes.
const SALT_HOLDER: u64 = 0x6465_616c;

/// Number of caches that the parts of one object are spread over. With a single cache, a client that reads
/// part after part would use a large share of that cache's link for as long as it reads.
const HOLDERS_OF_PARTS: usize = 5;

/// A holder is skipped while its load, in transfers in flight per unit of capacity, is at least this. The
/// limit exceeds 1 because latency objectives allow more transfers than the capacity, and because each
/// further holder costs an additional fill.
const MAX_HOLDER_LOAD: f64 = 2.2;

/// A sibling serves instead of the owner if the owner has more attempts in flight than this multiple of the
/// mean of the other caches, and exceeds that mean by [`OVERFLOW_EXTRA_CAPACITY_RATIO`].
const OVERFLOW_LOAD_RATIO: f64 = 3.0;
/// See [`OVERFLOW_LOAD_RATIO`]; a multiple of the router's share of the owner's capacity. The fill from the
/// owner uses the owner's link as much as an answer would.
const OVERFLOW_EXTRA_CAPACITY_RATIO: f64 = 1.6;

/// Retention of a copy at its owner. Siblings, and parents that are sent requests directly, cache nothing.
const OWNER_RETENTION: u8 = 1;
const NO_RETENTION: u8 = 0;

impl Policy {
    /// Routes a write to the origin, through the object's owner where caches may not be bypassed.
    ///
    /// # Errors
    ///
    /// [`RejectReason::NoUsableEndpoint`] if the origin, or every cache through which it is reached, is
    /// unusable.
    pub(super) fn route_write(&self, request: &RequestRecord) -> Result<Route, RejectReason> {
        let is_avoided = |id: &EndpointId| request.avoid.contains(id);
        let origin = self.origin().filter(|id| !is_avoided(id)).ok_or(RejectReason::NoUsableEndpoint)?;
        if self.settings.may_bypass_caches {
            return Ok(Route::without_fill(origin));
        }
        let mut caches = self.ring.successors(hash_pair(request.request.object.0, SALT_OWNER)).into_iter();
        let cache = caches.find(|id| !is_avoided(id) && self.is_usable(*id, request.work));
        let cache = cache.ok_or(RejectReason::NoUsableEndpoint)?;
        let fill = self.fill_instruction(&request.request, origin, NO_RETENTION, false);
        Ok(Route::with_fill(cache, fill))
    }

    /// Routes a read to a cache of the location, or directly to the fill source if no cache is usable.
    ///
    /// # Errors
    ///
    /// The reason for which the request is shed.
    pub(super) fn route_read(&self, request: &RequestRecord) -> Result<Route, RejectReason> {
        let candidates = self.candidate_caches(request);
        let holders = self.holders(request, &candidates);
        let Some(owner) = self.choose_holder(request, &holders) else {
            return self.route_bypassing_caches(request);
        };
        if let Some(route) = self.route_to_sibling(request, owner, &candidates) {
            return Ok(route);
        }
        let owner = self.admit_at_holder(request, owner, &holders)?;
        Ok(self.route_to_holder(request, owner))
    }

    /// The caches that may serve the request, in ring order, starting with its owner.
    ///
    /// A cache that is warming up or slow serves only a share of its objects; the next cache on the ring
    /// serves the others. If no cache is usable and caches may not be bypassed, ejected caches are candidates
    /// too: if all of them fail at the same time, the fault is probably upstream of them.
    fn candidate_caches(&self, request: &RequestRecord) -> Vec<EndpointId> {
        let object = request.request.object;
        let mean_work = self.transfer_times.mean(request.request.class);
        let mut allowed = self.ring.successors(hash_pair(object.0, SALT_OWNER));
        allowed.retain(|id| !request.avoid.contains(id));
        let is_usable = |id: &EndpointId| self.is_usable(*id, mean_work);
        let mut usable: Vec<EndpointId> = allowed.iter().copied().filter(is_usable).collect();
        if usable.is_empty() && !self.settings.may_bypass_caches {
            usable = allowed.into_iter().filter(|id| self.is_ready_for(*id, mean_work)).collect();
        }
        let serves_object = |id: &EndpointId| self.serves_object(*id, object);
        let serving: Vec<EndpointId> = usable.iter().copied().filter(serves_object).collect();
        if serving.is_empty() {
            usable
        } else {
            serving
        }
    }

    /// The caches that may hold the requested part, in order of preference.
    ///
    /// An object in one part has one holder. The parts of a larger object are spread over a few holders by
    /// rendezvous hashing, weighted by capacity, so that all routers select the same ones. Where the endpoint
    /// list has no capacities, the arcs of the ring do not reflect them, and every object is spread over all
    /// caches. Purges do not enter the hash, as their timestamps differ between routers.
    fn holders(&self, request: &RequestRecord, candidates: &[EndpointId]) -> Vec<EndpointId> {
        let count = match request.request.part {
            _ if self.settings.weights_unknown => candidates.len(),
            0 => 1,
            _ => HOLDERS_OF_PARTS,
        };
        let mut holders = candidates[..count.min(candidates.len())].to_vec();
        let part_key = cached_copy_key(request.request.object.0, request.request.part, 0);
        let distance = |id: &EndpointId| {
            let fraction = unit_fraction(hash_pair(part_key, id.0 ^ SALT_HOLDER));
            -fraction.ln() / self.capacity(*id)
        };
        holders.sort_by(|a, b| distance(a).total_cmp(&distance(b)));
        holders
    }

    /// The holder that serves the request: the first one below the load limit that is known to have the copy,
    /// otherwise the first one below the limit, otherwise the least busy one.
    fn choose_holder(&self, request: &RequestRecord, holders: &[EndpointId]) -> Option<EndpointId> {
        let copy_key = self.copy_key(&request.request);
        let is_busy = |id: EndpointId| self.total_load(id) >= MAX_HOLDER_LOAD;
        let mut available = holders.iter().copied().filter(|&id| !is_busy(id)).peekable();
        let first = available.peek().copied();
        let with_copy = available.find(|&id| self.is_known_copy(id, copy_key));
        with_copy.or(first).or_else(|| self.least_busy(holders))
    }

    /// Forwards the request directly to its fill source, as no cache of the location is usable.
    ///
    /// # Errors
    ///
    /// - [`RejectReason::NoUsableEndpoint`] if caches may not be bypassed or no source is usable;
    /// - [`RejectReason::FillLinkOverloaded`] if the fill link does not admit the request;
    /// - [`RejectReason::OriginOverloaded`] if the origin does not.
    fn route_bypassing_caches(&self, request: &RequestRecord) -> Result<Route, RejectReason> {
        let parent = self.fill_source(request, None).filter(|_| self.settings.may_bypass_caches);
        let parent = parent.ok_or(RejectReason::NoUsableEndpoint)?;
        if !self.fill_link_admits(request.work) {
            return Err(RejectReason::FillLinkOverloaded);
        }
        let source = self.origin().unwrap_or(parent);
        if parent == source && !self.origin_admission.admits(request.draw) {
            return Err(RejectReason::OriginOverloaded);
        }
        let may_be_stale = self.may_serve_stale(request);
        let fill = self.fill_instruction(&request.request, source, NO_RETENTION, may_be_stale);
        Ok(Route::with_fill(parent, fill))
    }

    /// Sibling overflow: if the owner has the copy but is far busier than the other caches, the least busy
    /// one serves the request with a copy from the owner.
    fn route_to_sibling(
        &self,
        request: &RequestRecord,
        owner: EndpointId,
        caches: &[EndpointId],
    ) -> Option<Route> {
        let copy_key = self.copy_key(&request.request);
        let disabled = self.settings.sibling_fill == SiblingFill::Disabled;
        if disabled || request.owner_only || !self.is_known_copy(owner, copy_key) {
            return None;
        }
        let sibling = self.overflow_sibling(owner, caches)?;
        let may_be_stale = self.may_serve_stale(request);
        let fill = self.fill_instruction(&request.request, owner, NO_RETENTION, may_be_stale);
        Some(Route::with_fill(sibling, FillInstruction { only_if_cached: true, ..fill }))
    }

    /// The least busy other cache, if the owner has far more of this router's attempts in flight.
    ///
    /// Both limits are relative to this router's share of the owner, as each of many routers has only a few
    /// attempts in flight there.
    fn overflow_sibling(&self, owner: EndpointId, caches: &[EndpointId]) -> Option<EndpointId> {
        let others: Vec<EndpointId> = caches.iter().copied().filter(|&id| id != owner).collect();
        let least_busy = self.least_busy(&others)?;
        let mean_load = others.iter().map(|&id| self.own_load(id)).sum::<f64>() / others.len() as f64;
        let owner_record = &self.endpoints[&owner];
        let balanced = mean_load * self.capacity(owner);
        let in_flight = f64::from(owner_record.in_flight);
        let routers = f64::from(self.settings.routers_sharing(&owner_record.endpoint));
        let extra = OVERFLOW_EXTRA_CAPACITY_RATIO * self.capacity(owner) / routers;
        (in_flight > balanced * OVERFLOW_LOAD_RATIO && in_flight > balanced + extra).then_some(least_busy)
    }

    /// The cache with the fewest of this router's attempts in flight per unit of capacity.
    fn least_busy(&self, caches: &[EndpointId]) -> Option<EndpointId> {
        caches.iter().copied().min_by(|&a, &b| self.own_load(a).total_cmp(&self.own_load(b)))
    }

    /// Routes the request to its holder, with a fill source if the fill is admitted.
    ///
    /// If the fill link or the origin does not admit the fill, only a cached copy of the holder or of its
    /// parent is requested, and the request is rejected at once if there is none. A known copy needs no fill
    /// unless it may have expired, as it then has to be revalidated at the origin. A stale copy in time is
    /// preferred to a fresh one that would miss the latency objective.
    fn route_to_holder(&self, request: &RequestRecord, holder: EndpointId) -> Route {
        let class = self.settings.class(request.request.class);
        let latency_objective = class.objective_for(request.work);
        let is_known = self.is_known_copy(holder, self.copy_key(&request.request));
        let expires = class.freshness_lifetime > 0.0;
        let link_admits = is_known || self.fill_link_admits(request.work);
        let origin_admits = (is_known && !expires) || self.origin_admission.admits(request.draw);

        let source = self.fill_source(request, Some(holder));
        let source = source.filter(|&source| link_admits && (origin_admits || Some(source) != self.origin()));
        let source_is_late = source.is_some_and(|id| self.is_too_late(id, request.work, latency_objective));

        let may_be_stale = self.may_serve_stale(request) || source_is_late;
        let fill =
            self.fill_instruction(&request.request, source.unwrap_or(holder), OWNER_RETENTION, may_be_stale);
        let revalidate = fill.revalidate && self.origin_admission.is_healthy();
        let fill_denied = match source {
            _ if !link_admits => Some(RejectReason::FillLinkOverloaded),
            _ if !origin_admits => Some(RejectReason::OriginOverloaded),
            None => Some(RejectReason::NoUsableEndpoint),
            Some(_) => None,
        };
        Route {
            endpoint: holder,
            fill: Some(FillInstruction { only_if_cached: !origin_admits, revalidate, ..fill }),
            fill_denied,
        }
    }

    /// Whether a fill from that source is expected to miss the latency objective.
    fn is_too_late(&self, source: EndpointId, work: Ms, latency_objective: Ms) -> bool {
        self.endpoints[&source].origin_wait.value + work + MIN_DELIVERY_TIME > latency_objective
    }
}
