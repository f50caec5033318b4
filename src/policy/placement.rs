//! Placement: which cache serves a request.
//!
//! The owner on the hash ring serves an object. Objects in parts are spread over several holders. A far
//! busier owner passes a cached copy to the least busy cache of the location.

use super::admission::ANSWER_TRANSIT;
use super::Policy;
use crate::bloom_filter::cached_copy_key;
use crate::hash_ring::{hash_pair, unit_fraction};
use crate::interface::{EndpointId, FillInstruction, Ms, RejectReason, SiblingFill};
use crate::records::{RequestRecord, Route};

/// Separates the hash that finds an object's owner from its other hashes.
const SALT_OWNER: u64 = 0x6f77_6e65;
/// Separates the hash that assigns a part to a holder from its other hashes.
const SALT_HOLDER: u64 = 0x6465_616c;

/// Number of caches that hold the parts of an object in parts. A client that reads part after part takes
/// a good share of one cache's link for as long as it reads.
const HOLDERS_OF_PARTS: usize = 5;

/// A holder is passed over while it has this many times as many transfers in flight as its capacity:
/// latency objectives allow for more than the capacity, and each further holder costs another fill.
const MAX_HOLDER_CROWDING: f64 = 2.2;

/// A sibling serves instead of the owner when the owner has this multiple of the others' mean attempts in
/// flight ...
const OVERFLOW_LOAD_RATIO: f64 = 3.0;
/// ... and this multiple of the router's share of the owner's capacity more than that mean. The fill from
/// the owner uses the owner's link as much as an answer does.
const OVERFLOW_EXTRA_CAPACITY_RATIO: f64 = 1.6;

/// Retention of a copy that its owner caches; siblings and parents that are asked directly cache nothing.
const OWNER_RETENTION: u8 = 1;
const NO_RETENTION: u8 = 0;

impl Policy {
    /// Routes a write: to the origin, or by way of the object's owner where caches may not be bypassed.
    ///
    /// # Errors
    ///
    /// [`RejectReason::NoUsableEndpoint`] if the origin, or every cache on the way to it, is unusable.
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

    /// Routes a read: to a cache of the location, or past them where none is left.
    ///
    /// # Errors
    ///
    /// The rule that sheds the request.
    pub(super) fn route_read(&self, request: &RequestRecord) -> Result<Route, RejectReason> {
        let candidates = self.candidate_caches(request);
        let holders = self.holders(request, &candidates);
        let Some(owner) = self.choose_holder(request, &holders) else {
            return self.route_past_caches(request);
        };
        if let Some(route) = self.route_to_sibling(request, owner, &candidates) {
            return Ok(route);
        }
        let owner = self.admit_at_holder(request, owner, &holders)?;
        Ok(self.route_to_holder(request, owner))
    }

    /// The caches that may serve the request, in ring order from its owner on.
    ///
    /// A cache that is warming up or slow takes only a share of its objects; the next one on the ring
    /// stands in for the others. If no cache is usable and caches may not be bypassed, ejected ones are
    /// candidates too: all of them failing at once points to a fault behind them.
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
        let takes_object = |id: &EndpointId| self.takes_object(*id, object);
        let taking: Vec<EndpointId> = usable.iter().copied().filter(takes_object).collect();
        if taking.is_empty() {
            usable
        } else {
            taking
        }
    }

    /// The caches that may hold the requested part, the preferred one first.
    ///
    /// An object in one part has one holder. The parts of an object are spread over the same few holders
    /// by every router, by weighted rendezvous hashing over their capacities. Where capacities are
    /// unknown, the arcs of the ring do not follow them, and every object is spread over all caches. The
    /// hash leaves out purges, whose time stamps differ between routers.
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

    /// The holder that serves the request: the first one that is not crowded and is known to have the
    /// copy, else the first that is not crowded, else the least busy.
    fn choose_holder(&self, request: &RequestRecord, holders: &[EndpointId]) -> Option<EndpointId> {
        let copy_key = self.copy_key(&request.request);
        let is_crowded = |id: EndpointId| self.crowding(id) >= MAX_HOLDER_CROWDING;
        let mut uncrowded = holders.iter().copied().filter(|&id| !is_crowded(id)).peekable();
        let first = uncrowded.peek().copied();
        let with_copy = uncrowded.find(|&id| self.is_known_copy(id, copy_key));
        with_copy.or(first).or_else(|| self.least_busy(holders))
    }

    /// No cache of the location is usable: forwards the request to its fill source directly.
    ///
    /// # Errors
    ///
    /// The rule that does not admit it: caches may not be bypassed or no source is usable, the fill link
    /// is overloaded, or the origin is.
    fn route_past_caches(&self, request: &RequestRecord) -> Result<Route, RejectReason> {
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

    /// Sibling overflow: a far busier owner that has the copy serves it by way of the least busy cache.
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
        let sibling = self.far_less_busy(owner, caches)?;
        let may_be_stale = self.may_serve_stale(request);
        let fill = self.fill_instruction(&request.request, owner, NO_RETENTION, may_be_stale);
        Some(Route::with_fill(sibling, FillInstruction { only_if_cached: true, ..fill }))
    }

    /// The least busy cache, if the owner has far more of this router's attempts in flight.
    ///
    /// Both limits are relative to this router's share of the owner, as each of many routers has only a
    /// few attempts in flight there.
    fn far_less_busy(&self, owner: EndpointId, caches: &[EndpointId]) -> Option<EndpointId> {
        let others: Vec<EndpointId> = caches.iter().copied().filter(|&id| id != owner).collect();
        let least_busy = self.least_busy(&others)?;
        let mean_load = others.iter().map(|&id| self.own_load(id)).sum::<f64>() / others.len() as f64;
        let owner_record = &self.endpoints[&owner];
        let even = mean_load * self.capacity(owner);
        let in_flight = f64::from(owner_record.in_flight);
        let routers = f64::from(self.settings.routers_sharing(&owner_record.endpoint));
        let extra = OVERFLOW_EXTRA_CAPACITY_RATIO * self.capacity(owner) / routers;
        (in_flight > even * OVERFLOW_LOAD_RATIO && in_flight > even + extra).then_some(least_busy)
    }

    /// The cache with the fewest of this router's attempts in flight per unit of capacity.
    fn least_busy(&self, caches: &[EndpointId]) -> Option<EndpointId> {
        caches.iter().copied().min_by(|&a, &b| self.own_load(a).total_cmp(&self.own_load(b)))
    }

    /// Sends the request to its holder, with a fill source where the fill is admitted.
    ///
    /// A miss that the fill link or the origin does not admit asks only for a cached copy, at the holder
    /// or at its parent, and is rejected at once if there is none. A known copy needs no fill, unless it
    /// may have expired and then has to be revalidated at the origin. A stale copy in time is preferred
    /// to a fresh one that would miss the latency objective.
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

    /// Whether a fill by way of that source is expected to miss the latency objective.
    fn is_too_late(&self, source: EndpointId, work: Ms, latency_objective: Ms) -> bool {
        self.endpoints[&source].origin_wait.value + work + ANSWER_TRANSIT > latency_objective
    }
}
