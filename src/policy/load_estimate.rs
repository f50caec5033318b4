//! Estimates from outcomes: transfer times by class, capacity and load of endpoints, slowness of caches.

use super::admission::CROWDING_LIMIT;
use super::Policy;
use crate::estimators::Ewma;
use crate::interface::{AttemptOutcome, AttemptStatus, CacheStatus, EndpointId, EndpointPhase, Ms, Request};
use crate::records::AttemptRecord;

/// Mean transfer time of a class until enough of its requests were seen.
const DEFAULT_WORK: Ms = 400.0;
/// Requests that make a class's mean transfer time known.
const WORK_SAMPLES: f64 = 20.0;
const WORK_WEIGHT: f64 = 0.02;

/// Capacity of an endpoint, in simultaneous transfers, until its answers show it.
pub(super) const DEFAULT_CAPACITY: f64 = 5.0;
/// Weight of an answer in a learnt capacity.
const CAPACITY_WEIGHT: f64 = 0.1;
/// An answer that takes more than this multiple of its transfer time was slowed down by others.
const SLOWED_TRANSFER_RATIO: f64 = 1.3;
/// Capacity of the parents together, as a share of the default capacity of all caches.
const PARENT_CAPACITY_RATIO: f64 = 0.3;
const MIN_CAPACITY: f64 = 0.01;

/// Weight of an answer in a cache's slowness.
const SLOWNESS_WEIGHT: f64 = 0.08;
/// The most that one answer counts, as a multiple of its latency objective.
const MAX_SLOWNESS: f64 = 2.0;
/// Answers that make a cache's slowness or capacity known.
pub(super) const MIN_SAMPLES: f64 = 6.0;

/// Time constant of the means of what is in flight. A router assumes that each of the others has as much.
pub(super) const LOAD_TIME_CONSTANT: Ms = 2_000.0;

/// Mean transfer times by class, in milliseconds at the rate of one client's flow.
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

    /// The mean of a class; at least the default until enough requests were seen.
    pub(super) fn mean(&self, class: u16) -> Ms {
        let Some(mean) = self.by_class.get(usize::from(class)) else { return DEFAULT_WORK };
        let least = if mean.samples < WORK_SAMPLES { DEFAULT_WORK } else { 0.0 };
        mean.value.max(least)
    }

    /// The mean of the class with the largest answers, at least 1 ms.
    pub(super) fn largest_mean(&self) -> Ms {
        let seen = self.by_class.iter().filter(|mean| mean.samples > 0.0);
        seen.map(|mean| mean.value).reduce(f64::max).unwrap_or(DEFAULT_WORK).max(1.0)
    }
}

impl Policy {
    /// The request's transfer time: by its size, or its class's mean where the size is unknown.
    pub(super) fn estimate_work(&mut self, request: &Request) -> Ms {
        let flow_kb_per_s = self.settings.flow_kb_per_s;
        if request.size_kb <= 0.0 || flow_kb_per_s <= 0.0 {
            return self.transfer_times.mean(request.class);
        }
        let work = request.size_kb / flow_kb_per_s * 1000.0;
        self.transfer_times.record(request.class, work);
        work
    }

    /// The number of transfers that an endpoint can send at once: as listed, or where the list has no
    /// capacities, as learnt; of a parent, by the number of caches that share it.
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

    /// All routers' attempts in flight at an endpoint, per unit of capacity.
    ///
    /// Each of the other routers is assumed to have the usual number there: this router's mean, with this
    /// router's share as its weight, and else the location's mean. What one of many routers sees at one
    /// cache is mostly chance.
    pub(super) fn crowding(&self, id: EndpointId) -> f64 {
        let Some(record) = self.endpoints.get(&id) else { return 0.0 };
        let capacity = self.capacity(id);
        let routers = f64::from(self.settings.routers_sharing(&record.endpoint));
        let own_mean = record.mean_in_flight.mean;
        let usual = own_mean / routers + (1.0 - 1.0 / routers) * self.mean_cache_load * capacity;
        (f64::from(record.in_flight) + (routers - 1.0) * usual) / capacity
    }

    /// Learns from an answer that was served from the cache, so that only the cache's own load can have
    /// made it late; a lost one counts as late.
    pub(super) fn record_cached_answer(&mut self, attempt: &AttemptRecord, outcome: &AttemptOutcome) {
        let needed_no_fill = !attempt.fills_from_above && attempt.source.is_some();
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
        let in_use = self.crowding(attempt.endpoint) * attempt.work / latency_objective;
        let Some(record) = self.endpoints.get_mut(&attempt.endpoint) else { return };
        let late = elapsed > latency_objective;
        record.crowding_limit.record(self.now, late, in_use, &CROWDING_LIMIT);
        let slowness = (elapsed / latency_objective).min(MAX_SLOWNESS);
        record.slowness.update_from_mean(slowness, SLOWNESS_WEIGHT);
    }

    /// Learns an endpoint's capacity from how long an answer took beside the others in flight: they used
    /// all of it if they slowed each other down, and at least as much as they got if not.
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

    /// Updates the lower median of the endpoints' slowness.
    pub(super) fn update_typical_slowness(&mut self) {
        let known = self.endpoints.values().filter(|record| record.slowness.samples >= MIN_SAMPLES);
        let mut slowness: Vec<f64> = known.map(|record| record.slowness.value).collect();
        slowness.sort_by(f64::total_cmp);
        let middle = slowness.len().saturating_sub(1) / 2;
        self.typical_slowness = slowness.get(middle).copied().unwrap_or(f64::INFINITY);
    }

    /// Updates the means of what is in flight at each endpoint, on the fill link, and at the location's
    /// ready caches together.
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
