//! Slow start: what all routers together may send to an endpoint that is warming up.

use super::load_estimate::{DEFAULT_CAPACITY, MIN_SAMPLES};
use super::Policy;
use crate::hash_ring::{hash_pair, unit_fraction};
use crate::interface::{EndpointId, EndpointPhase, Ms, ObjectId};
use crate::records::{AttemptRecord, EndpointRecord};

/// Share of the load that overloads a warming endpoint that all routers together may send. The capacity
/// it is based on is the least that the endpoint has.
const SAFE_LOAD_RATIO: f64 = 0.6;
/// Share of the overload window that may be spent at once.
const BURST_RATIO: f64 = 0.75;
/// Weight of a known copy, which is seldom filled, in the load of the fill source.
const KNOWN_COPY_WEIGHT: f64 = 0.3;
/// Share of the smallest known capacity that a cache has for certain.
const CERTAIN_CAPACITY_RATIO: f64 = 0.55;
/// Separates the hash that selects a warming cache's objects from their other hashes.
const SALT_SHARE: u64 = 0x7261_6d70;

/// The rate and burst, in milliseconds of transfer time, that one router may send while an endpoint warms
/// up. The rate is per millisecond.
#[derive(Debug, Clone, Copy)]
struct SlowStartLimit {
    rate: f64,
    burst: Ms,
}

impl Policy {
    /// The share of its full capacity that may be sent to an endpoint; `None` once it has warmed up.
    ///
    /// The capacity rises linearly over the slow-start duration. An endpoint that refused a connection is
    /// treated as restarted, as its restart may not be listed yet.
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
        let rate = self.slow_start_share(record)? * self.certain_capacity(record) / routers;
        let window = self.settings.slow_start(&record.endpoint).overload_window;
        Some(SlowStartLimit { rate, burst: rate * window * BURST_RATIO })
    }

    /// The capacity, in simultaneous transfers, that an endpoint has for certain. A learnt capacity may be
    /// too high, as transfers that wait for a fill count too; of a cache, it is a share of the smallest
    /// known one.
    fn certain_capacity(&self, record: &EndpointRecord) -> f64 {
        let is_learned = self.settings.weights_unknown && self.settings.is_local_cache(&record.endpoint);
        if !is_learned {
            return self.capacity(record.endpoint.id);
        }
        let known = self.endpoints.values().filter(|other| other.learned_capacity.samples >= MIN_SAMPLES);
        let smallest = known.map(|other| other.learned_capacity.value).fold(DEFAULT_CAPACITY, f64::min);
        CERTAIN_CAPACITY_RATIO * smallest
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

    /// Whether the object is among the share that a warming or slow endpoint serves by now. All routers
    /// select much the same objects.
    pub(super) fn takes_object(&self, id: EndpointId, object: ObjectId) -> bool {
        let Some(record) = self.endpoints.get(&id) else { return true };
        let warm_share = self.slow_start_share(record).unwrap_or(1.0);
        let share = warm_share.min(self.slowness_share(record));
        share >= 1.0 || unit_fraction(hash_pair(object.0, id.0 ^ SALT_SHARE)) < share
    }

    /// Whether that much work may be sent to the endpoint now, or filled from it: it is ready, not ejected,
    /// and warm enough.
    pub(super) fn is_usable(&self, id: EndpointId, work: Ms) -> bool {
        let accepts = |record: &EndpointRecord| record.health.accepts_request();
        self.is_ready_for(id, work) && self.endpoints.get(&id).is_some_and(accepts)
    }

    /// Whether the endpoint is ready, and its slow-start budget allows for that much work.
    ///
    /// One router's budget may be far less than a single request, and all routers would overdraw theirs at
    /// once. Each may therefore send a request with a probability that makes up for it, drawn anew in each
    /// overload window.
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
