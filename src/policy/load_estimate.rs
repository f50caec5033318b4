//! Estimates of transfer times, of the capacity and load of endpoints, and of the slowness of caches.

use super::admission::LOAD_LIMIT;
use super::Policy;
use crate::estimators::Ewma;
use crate::interface::{AttemptOutcome, AttemptStatus, CacheStatus, EndpointId, EndpointPhase, Ms, Request};
use crate::records::AttemptRecord;

/// Initial mean transfer time of a class, and its lower bound until enough requests have been observed.
const DEFAULT_WORK: Ms = 400.0;
/// Number of requests after which the observed mean transfer time of a class is used as it is.
const WORK_SAMPLES: f64 = 20.0;
const WORK_WEIGHT: f64 = 0.02;

/// Capacity of an endpoint, in simultaneous transfers, until it has been learned from its answers.
pub(super) const DEFAULT_CAPACITY: f64 = 5.0;
/// Weight of one answer in the learned capacity.
const CAPACITY_WEIGHT: f64 = 0.1;
/// An answer that takes more than this multiple of its transfer time was slowed down by other transfers.
const SLOWED_TRANSFER_RATIO: f64 = 1.3;
/// Total capacity of all parents, as a share of the default capacity of all caches together.
const PARENT_CAPACITY_RATIO: f64 = 0.3;
const MIN_CAPACITY: f64 = 0.01;

/// Weight of one answer in the slowness of a cache.
const SLOWNESS_WEIGHT: f64 = 0.08;
/// Upper limit on the slowness of one answer, as a multiple of its latency objective.
const MAX_SLOWNESS: f64 = 2.0;
/// Number of answers after which the slowness or learned capacity of a cache is used.
pub(super) const MIN_SAMPLES: f64 = 6.0;

/// Time constant of the means of attempts and fills in flight, from which the load of the other routers is
/// estimated.
pub(super) const LOAD_TIME_CONSTANT: Ms = 2_000.0;

/// Mean transfer times by request class, at the maximum rate of one transfer to a client.
#[derive(Debug)]
pub(super) struct TransferTimes {
    by_class: Vec<Ewma>,
}

impl TransferTimes {
    pub(super) fn new(classes: usize) -> Self {
        Self { by_class: vec![Ewma::new(DEFAULT_WORK); classes] }
    }

    fn record(&mut self, class: u16, work: Ms) {
        if let Some(mean) = self.by_class.get_mut(usize::from(class)) {
            mean.update_from_mean(work, WORK_WEIGHT);
        }
    }

    /// The mean of a class; at least the default until enough requests have been observed.
    pub(super) fn mean(&self, class: u16) -> Ms {
        let Some(mean) = self.by_class.get(usize::from(class)) else { return DEFAULT_WORK };
        let lower_bound = if mean.samples < WORK_SAMPLES { DEFAULT_WORK } else { 0.0 };
        mean.value.max(lower_bound)
    }

    /// The mean of the class with the largest answers, at least 1 ms.
    pub(super) fn largest_mean(&self) -> Ms {
        let observed = self.by_class.iter().filter(|mean| mean.samples > 0.0);
        observed.map(|mean| mean.value).reduce(f64::max).unwrap_or(DEFAULT_WORK).max(1.0)
    }
}

impl Policy {
    /// The transfer time of the request's answer: from its size, or the mean of the class if the size or the
    /// transfer rate is unknown.
    pub(super) fn estimate_work(&mut self, request: &Request) -> Ms {
        let flow_kb_per_s = self.settings.flow_kb_per_s;
        if request.size_kb <= 0.0 || flow_kb_per_s <= 0.0 {
            return self.transfer_times.mean(request.class);
        }
        let work = request.size_kb / flow_kb_per_s * 1000.0;
        self.transfer_times.record(request.class, work);
        work
    }

    /// The number of transfers that an endpoint can send at once: its weight in the endpoint list or, where
    /// the list has no capacities, the learned capacity. The capacity of a parent is then derived from the
    /// number of caches per parent.
    pub(super) fn capacity(&self, id: EndpointId) -> f64 {
        let Some(record) = self.endpoints.get(&id) else { return DEFAULT_CAPACITY };
        if !self.settings.weights_unknown {
            return record.endpoint.weight.max(MIN_CAPACITY);
        }
        if self.settings.is_parent(&record.endpoint) {
            let parents = self.parents().count().max(1) as f64;
            return PARENT_CAPACITY_RATIO * DEFAULT_CAPACITY * self.total_caches as f64 / parents;
        }
        record.learned_capacity.value.max(MIN_CAPACITY)
    }

    /// This router's attempts in flight at an endpoint, per unit of capacity.
    pub(super) fn own_load(&self, id: EndpointId) -> f64 {
        let Some(record) = self.endpoints.get(&id) else { return 0.0 };
        f64::from(record.in_flight) / self.capacity(id)
    }

    /// Estimated attempts in flight of all routers at an endpoint, per unit of capacity.
    ///
    /// Each of the other routers is assumed to have the usual number of attempts in flight there: a mean of
    /// this router's own attempts at the endpoint, weighted by this router's share of the routers, and of
    /// its mean load of the location's caches. The attempts of one of many routers at a single cache are
    /// too few to be representative.
    pub(super) fn total_load(&self, id: EndpointId) -> f64 {
        let Some(record) = self.endpoints.get(&id) else { return 0.0 };
        let capacity = self.capacity(id);
        let routers = f64::from(self.settings.routers_sharing(&record.endpoint));
        let own_mean = record.mean_in_flight.mean;
        let usual = own_mean / routers + (1.0 - 1.0 / routers) * self.mean_cache_load * capacity;
        (f64::from(record.in_flight) + (routers - 1.0) * usual) / capacity
    }

    /// Updates the load limit, slowness and capacity of a cache from an answer that it served without a fill,
    /// which only the load of the cache itself can have delayed. An attempt that ended late without an answer
    /// counts with the maximum slowness.
    pub(super) fn record_cached_answer(&mut self, attempt: &AttemptRecord, outcome: &AttemptOutcome) {
        let needed_no_fill = !attempt.fills_from_upstream && attempt.source.is_some();
        let is_cached = outcome.cache_status == Some(CacheStatus::Hit) || needed_no_fill;
        let is_ok = outcome.status == AttemptStatus::Ok;
        let is_late =
            outcome.elapsed > attempt.latency_objective || outcome.status == AttemptStatus::TimedOut;
        if !is_cached || !(is_late || is_ok) {
            return;
        }
        self.record_slowness(attempt, if is_ok { outcome.elapsed } else { f64::INFINITY });
        if self.settings.weights_unknown {
            self.learn_capacity(attempt, outcome);
        }
    }

    fn record_slowness(&mut self, attempt: &AttemptRecord, elapsed: Ms) {
        let latency_objective = attempt.latency_objective.max(1.0);
        let in_use = self.total_load(attempt.endpoint) * attempt.work / latency_objective;
        let Some(record) = self.endpoints.get_mut(&attempt.endpoint) else { return };
        let late = elapsed > latency_objective;
        record.load_limit.record(self.now, late, in_use, &LOAD_LIMIT);
        let slowness = (elapsed / latency_objective).min(MAX_SLOWNESS);
        record.slowness.update_from_mean(slowness, SLOWNESS_WEIGHT);
    }

    /// Learns the capacity of an endpoint from the duration of an answer and the reported number of requests
    /// in flight. If the transfers slowed each other down, they used the full capacity; otherwise the
    /// capacity that they used is a lower bound.
    fn learn_capacity(&mut self, attempt: &AttemptRecord, outcome: &AttemptOutcome) {
        let Some(record) = self.endpoints.get_mut(&attempt.endpoint) else { return };
        let reported = outcome.load_report.in_flight.filter(|_| outcome.status == AttemptStatus::Ok);
        let Some(in_flight) = reported else { return };
        let used = in_flight.max(1.0) * attempt.work / outcome.elapsed.max(1.0);
        let was_slowed = outcome.elapsed > SLOWED_TRANSFER_RATIO * attempt.work;
        if used > record.learned_capacity.value || was_slowed {
            record.learned_capacity.update(used, CAPACITY_WEIGHT);
        }
    }

    /// Updates the lower median of the slowness of all endpoints for which it is known.
    pub(super) fn update_typical_slowness(&mut self) {
        let known = self.endpoints.values().filter(|record| record.slowness.samples >= MIN_SAMPLES);
        let mut slowness: Vec<f64> = known.map(|record| record.slowness.value).collect();
        slowness.sort_by(f64::total_cmp);
        let middle = slowness.len().saturating_sub(1) / 2;
        self.typical_slowness = slowness.get(middle).copied().unwrap_or(f64::INFINITY);
    }

    /// Updates the mean attempts in flight at each endpoint, the mean work on the fill link, and the mean
    /// load of the location's ready caches.
    pub(super) fn update_mean_loads(&mut self) {
        for record in self.endpoints.values_mut() {
            record.advance(self.now, LOAD_TIME_CONSTANT);
        }
        self.fill_link.advance(self.now);
        let (mut in_flight, mut capacity) = (0.0, 0.0);
        for record in self.endpoints.values() {
            let is_ready = record.endpoint.phase == EndpointPhase::Ready;
            if is_ready && self.settings.is_local_cache(&record.endpoint) {
                in_flight += record.mean_in_flight.mean;
                capacity += self.capacity(record.endpoint.id);
            }
        }
        self.mean_cache_load = in_flight / f64::max(capacity, MIN_CAPACITY);
    }
}
