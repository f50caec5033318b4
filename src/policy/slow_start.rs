//! Slow start: limits on the load that all routers together send to an endpoint that is warming up.

use super::load_estimate::{DEFAULT_CAPACITY, MIN_SAMPLES};
use super::Policy;
use crate::hash_ring::{hash_pair, unit_fraction};
use crate::interface::{EndpointId, EndpointPhase, Ms, ObjectId};
use crate::records::{AttemptRecord, EndpointRecord};

/// Share of the overload threshold of a warming endpoint that all routers together may send. The threshold is
/// computed from a conservative estimate of the endpoint's capacity.
const SAFE_LOAD_RATIO: f64 = 0.6;
/// Burst, as a share of the work allowed within one overload window.
const BURST_RATIO: f64 = 0.75;
/// Weight of a request for a known copy, which rarely needs a fill, in the load of its fill source.
const KNOWN_COPY_WEIGHT: f64 = 0.3;
/// Conservative capacity of a cache whose capacity is not listed, as a share of the smallest learned one.
const CONSERVATIVE_CAPACITY_RATIO: f64 = 0.55;
/// Makes the hash that selects the objects of a warming cache independent of their other hashes.
const SALT_SHARE: u64 = 0x7261_6d70;

/// What one router may send to an endpoint that is warming up.
#[derive(Debug, Clone, Copy)]
struct SlowStartLimit {
    /// Milliseconds of transfer time per millisecond.
    rate: f64,
    /// Milliseconds of transfer time.
    burst: Ms,
}

impl Policy {
    /// The load that may be sent to an endpoint, as a share of its full capacity; `None` once it has warmed
    /// up.
    ///
    /// The capacity rises linearly over the slow-start duration. An unhealthy endpoint to which a connection
    /// failed is treated as restarted at that time, as its restart may not be in the endpoint list yet.
    fn slow_start_share(&self, record: &EndpointRecord) -> Option<f64> {
        let slow_start = self.settings.slow_start(&record.endpoint);
        let started_at = record.endpoint.started_at.max(record.connect_failed_at);
        let age = self.now - started_at;
        if started_at <= 0.0 || age >= slow_start.duration {
            return None;
        }
        let progress = (age / slow_start.duration).max(0.0);
        let capacity = slow_start.initial_ratio + (1.0 - slow_start.initial_ratio) * progress;
        Some(capacity * slow_start.overload_multiple * SAFE_LOAD_RATIO)
    }

    /// This router's share of the slow-start limit; `None` where there is no limit.
    fn slow_start_limit(&self, record: &EndpointRecord) -> Option<SlowStartLimit> {
        let routers = f64::from(self.settings.routers_sharing(&record.endpoint));
        let rate = self.slow_start_share(record)? * self.conservative_capacity(record) / routers;
        let window = self.settings.slow_start(&record.endpoint).overload_window;
        Some(SlowStartLimit { rate, burst: rate * window * BURST_RATIO })
    }

    /// A conservative estimate of an endpoint's capacity, in simultaneous transfers. For a cache whose
    /// capacity is not listed, this is a share of the smallest learned one: learned capacities may be too
    /// high, as transfers that wait for a fill are counted too.
    fn conservative_capacity(&self, record: &EndpointRecord) -> f64 {
        let is_learned = self.settings.weights_unknown && self.settings.is_local_cache(&record.endpoint);
        if !is_learned {
            return self.capacity(record.endpoint.id);
        }
        let known = self.endpoints.values().filter(|other| other.learned_capacity.samples >= MIN_SAMPLES);
        let smallest = known.map(|other| other.learned_capacity.value).fold(DEFAULT_CAPACITY, f64::min);
        CONSERVATIVE_CAPACITY_RATIO * smallest
    }

    /// Spends the attempt's work from the budgets of its endpoint and of its fill source.
    pub(super) fn spend_slow_start_budgets(&mut self, attempt: &AttemptRecord, is_known: bool) {
        let mean_work = self.transfer_times.mean(attempt.class);
        self.spend_slow_start_budget(attempt.endpoint, mean_work);
        if let Some(source) = attempt.source {
            let fill_work =
                if is_known { mean_work * KNOWN_COPY_WEIGHT } else { mean_work.max(attempt.work) };
            self.spend_slow_start_budget(source, fill_work);
        }
    }

    fn spend_slow_start_budget(&mut self, id: EndpointId, work: Ms) {
        let Some(record) = self.endpoints.get(&id) else { return };
        let Some(limit) = self.slow_start_limit(record) else { return };
        if let Some(record) = self.endpoints.get_mut(&id) {
            record.slow_start_budget.spend(self.now, limit.rate, limit.burst, work);
        }
    }

    /// Whether the object is in the share of objects that a warming or slow endpoint serves at present. All
    /// routers select nearly the same objects.
    pub(super) fn serves_object(&self, id: EndpointId, object: ObjectId) -> bool {
        let Some(record) = self.endpoints.get(&id) else { return true };
        let warm_share = self.slow_start_share(record).unwrap_or(1.0);
        let share = warm_share.min(self.slowness_share(record));
        share >= 1.0 || unit_fraction(hash_pair(object.0, id.0 ^ SALT_SHARE)) < share
    }

    /// Whether a request with that transfer time may be sent to the endpoint, or filled from it: the endpoint
    /// is ready, accepts requests, and has a sufficient slow-start budget.
    pub(super) fn is_usable(&self, id: EndpointId, work: Ms) -> bool {
        let accepts = |record: &EndpointRecord| record.health.accepts_request();
        self.is_ready_for(id, work) && self.endpoints.get(&id).is_some_and(accepts)
    }

    /// Whether the endpoint is ready and its slow-start budget is sufficient for that transfer time.
    ///
    /// The budget of one router may be far smaller than a single request, and all routers would overdraw
    /// their budgets at the same time. The required budget is therefore scaled by a random number, drawn once
    /// per router, endpoint and overload window, so that each router sends with a probability in proportion
    /// to its budget.
    pub(super) fn is_ready_for(&self, id: EndpointId, work: Ms) -> bool {
        let Some(record) = self.endpoints.get(&id) else { return false };
        if record.endpoint.phase != EndpointPhase::Ready {
            return false;
        }
        let Some(limit) = self.slow_start_limit(record) else { return true };
        let window = self.settings.slow_start(&record.endpoint).overload_window.max(1.0);
        let window_number = (self.now / window) as u64;
        let chance = unit_fraction(hash_pair(id.0 ^ self.seed, window_number));
        record.slow_start_budget.available(self.now, limit.rate, limit.burst) > chance * work
    }
}
