//! Updates of the endpoint list, and the hash ring of the ready caches.

use super::admission::LOAD_LIMIT;
use super::load_estimate::DEFAULT_CAPACITY;
use super::Policy;
use crate::bloom_filter::RotatingBloomFilter;
use crate::hash_ring::{hash_pair, HashRing};
use crate::interface::{Action, Endpoint, EndpointId, EndpointPhase, EndpointUpdate, FillSources};
use crate::records::EndpointRecord;

/// Bits per generation of the filter of a cache's copies. Some 2,000 copies are requested from a cache per
/// rotation; at 8 bits per copy, the false-positive rate is below 3%.
const FILTER_BITS: usize = 1 << 14;
const FILTER_HASHES: u32 = 4;

/// Ring points of a cache of mean weight. With this number the arcs of equal caches differ by about a tenth.
const RING_POINTS: f64 = 96.0;
/// Upper limit on the ring points of a cache, as a multiple of [`RING_POINTS`].
const MAX_RING_POINTS_RATIO: f64 = 4.0;
/// Makes the hashes of ring points independent of other hashes of an endpoint.
const SALT_POINT: u64 = 0x706f_696e;

impl Policy {
    /// Applies an update of the endpoint list.
    ///
    /// An endpoint that is missing from a snapshot is removed. When the list is unavailable, the last known
    /// list remains in use and the router subscribes again.
    pub(super) fn update_endpoints(&mut self, update: EndpointUpdate, endpoints: &[Endpoint]) {
        match update {
            EndpointUpdate::Unavailable if self.settings.subscribe_to_endpoints => {
                self.actions.push(Action::SubscribeEndpoints);
            }
            EndpointUpdate::Snapshot => self.begin_snapshot(endpoints),
            EndpointUpdate::Unavailable | EndpointUpdate::Incremental => {}
        }
        for endpoint in endpoints {
            if self.is_relevant(endpoint) {
                self.update_endpoint(*endpoint);
            }
        }
        self.rebuild_ring();
    }

    /// Marks all endpoints as removed; those in the snapshot are updated afterwards.
    fn begin_snapshot(&mut self, endpoints: &[Endpoint]) {
        for record in self.endpoints.values_mut() {
            record.endpoint.phase = EndpointPhase::Removed;
        }
        let is_cache =
            |endpoint: &&Endpoint| !self.settings.is_parent(endpoint) && !self.settings.is_origin(endpoint);
        self.total_caches = endpoints.iter().filter(is_cache).count();
    }

    /// Whether this router sends requests to the endpoint: caches of its own location, parents and the
    /// origin. Caches of other locations, the majority in a large fleet, are not recorded.
    fn is_relevant(&self, endpoint: &Endpoint) -> bool {
        let settings = &self.settings;
        settings.is_local_cache(endpoint) || settings.is_parent(endpoint) || settings.is_origin(endpoint)
    }

    /// Records a new or changed endpoint. A restart empties a cache, so that the record is reset, except for
    /// the learned capacity and the attempts in flight.
    fn update_endpoint(&mut self, endpoint: Endpoint) {
        let now = self.now;
        let new_record = |capacity| {
            let cached_copies = RotatingBloomFilter::new(FILTER_BITS, FILTER_HASHES, endpoint.id.0);
            EndpointRecord::new(endpoint, now, capacity, cached_copies, LOAD_LIMIT.max_limit)
        };
        let record = self.endpoints.entry(endpoint.id).or_insert_with(|| new_record(DEFAULT_CAPACITY));
        if endpoint.started_at > record.endpoint.started_at {
            let in_flight = record.in_flight;
            *record = EndpointRecord { in_flight, ..new_record(record.learned_capacity.value) };
        }
        record.endpoint = endpoint;
    }

    /// Gives each ready cache of the location ring points in proportion to its weight.
    fn rebuild_ring(&mut self) {
        let ready = self.ready_caches();
        let capacity: f64 = ready.iter().map(|endpoint| self.capacity(endpoint.id)).sum();
        self.location_capacity = self.location_capacity.max(capacity);
        let total_weight: f64 = ready.iter().map(|endpoint| endpoint.weight).sum();
        let mean_weight = total_weight / ready.len() as f64;
        let points = |endpoint: &Endpoint| {
            let ratio = if mean_weight > 0.0 { endpoint.weight / mean_weight } else { 1.0 };
            (RING_POINTS * ratio).clamp(1.0, RING_POINTS * MAX_RING_POINTS_RATIO) as u32
        };
        let members = ready.iter().map(|endpoint| (endpoint.id, points(endpoint)));
        self.ring =
            HashRing::new(members, |id, point| hash_pair(id.0, SALT_POINT.wrapping_add(u64::from(point))));
    }

    fn ready_caches(&self) -> Vec<Endpoint> {
        let endpoints = self.endpoints.values().map(|record| record.endpoint);
        let is_ready = |endpoint: &Endpoint| {
            endpoint.phase == EndpointPhase::Ready && self.settings.is_local_cache(endpoint)
        };
        endpoints.filter(is_ready).collect()
    }

    /// Drops the records of removed endpoints without an attempt in flight.
    pub(super) fn drop_removed_endpoints(&mut self) {
        self.endpoints
            .retain(|_, record| record.endpoint.phase != EndpointPhase::Removed || record.in_flight > 0);
    }

    /// Sets the sources that the cache may be filled from; `None` removes the restriction.
    pub(super) fn set_fill_sources(&mut self, cache: EndpointId, sources: Option<&FillSources>) {
        match sources {
            Some(sources) => self.fill_sources.insert(cache, sources.clone()),
            None => self.fill_sources.remove(&cache),
        };
    }

    /// The parents in any phase.
    pub(super) fn parents(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.endpoints.values().filter(|record| self.settings.is_parent(&record.endpoint))
    }

    /// The origin, if it is ready.
    pub(super) fn origin(&self) -> Option<EndpointId> {
        let is_ready_origin = |record: &&EndpointRecord| {
            self.settings.is_origin(&record.endpoint) && record.endpoint.phase == EndpointPhase::Ready
        };
        self.endpoints.values().find(is_ready_origin).map(|record| record.endpoint.id)
    }
}
