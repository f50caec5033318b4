//! Load shedding: how many misses the origin and the fill link take, and how crowded a cache may be.
//!
//! Each limit is adaptive: it shrinks while too many of its answers are late, and grows with those in time.

use super::load_estimate::LOAD_TIME_CONSTANT;
use super::outlier_detection::MAX_SELF_FAILURE_RATIO;
use super::Policy;
use crate::estimators::{ConcurrencyLimit, ConcurrencyLimitConfig, Ewma, TimeWeightedMean};
use crate::interface::{
    AttemptOutcome, AttemptStatus, CacheStatus, EndpointId, EndpointPhase, Ms, OutcomeDetail, RejectReason,
};
use crate::records::{AttemptRecord, RequestRecord};

/// The share of misses that may reach the origin. The memory is short, so that a thin stream of misses
/// does not take longer to notice an overload than the origin takes to fail.
const ORIGIN_LIMIT: ConcurrencyLimitConfig = ConcurrencyLimitConfig {
    observation_weight: 0.15,
    memory: 1_500.0,
    max_late_ratio: 0.2,
    decrease_factor: 0.8,
    decrease_interval: 100.0,
    increase: 0.02,
    min_limit: 0.05,
    max_limit: 1.0,
};
/// Growth of that share per maintenance run, so that it recovers while nothing is sent to the origin ...
const ORIGIN_RECOVERY_RATIO: f64 = 0.004;
/// ... in proportion to the share itself, but to no less than this.
const ORIGIN_RECOVERY_MIN_SHARE: f64 = 0.2;
/// Below this share of admitted misses, the origin counts as impaired.
const ORIGIN_HEALTHY_SHARE: f64 = 0.8;

/// Weight of a fill from the origin in the ratio of those whose first byte was late.
const ORIGIN_WAIT_WEIGHT: f64 = 0.15;
/// Above this ratio, late fills are attributed to the origin and not to the fill link.
const SLOW_ORIGIN_RATIO: f64 = 0.25;

/// The fills in flight on the location's fill link, in transfers of the largest class. `max_limit` is a
/// multiple of what the location's caches can send at once: below it the link cannot be the bottleneck.
/// `increase` is divided by the limit, so that one window of timely fills adds one transfer.
const FILL_LINK_LIMIT: ConcurrencyLimitConfig = ConcurrencyLimitConfig {
    observation_weight: 0.08,
    memory: 5_000.0,
    max_late_ratio: 0.25,
    decrease_factor: 0.85,
    decrease_interval: 200.0,
    increase: 1.0,
    min_limit: 1.0,
    max_limit: 2.0,
};

/// How crowded a cache may be, as a multiple of the load with which an answer just meets its latency
/// objective. `max_limit` allows for a queue during a short pause.
pub(super) const CROWDING_LIMIT: ConcurrencyLimitConfig = ConcurrencyLimitConfig {
    observation_weight: 0.1,
    memory: 5_000.0,
    max_late_ratio: 0.1,
    decrease_factor: 0.85,
    decrease_interval: 200.0,
    increase: 0.02,
    min_limit: 0.25,
    max_limit: 1.5,
};

/// Weight of a fill in its source's ratio of late fills.
const LATE_FILL_WEIGHT: f64 = 0.1;
/// The least time that an answer takes to reach the client.
pub(super) const ANSWER_TRANSIT: Ms = 10.0;
/// A cache with less than this share of its arc is slow by itself: its late fills say nothing of the link.
const OWN_SLOWNESS_SHARE: f64 = 0.85;

/// What is known about the origin's ability to answer misses.
#[derive(Debug)]
pub(super) struct OriginAdmission {
    /// Share of misses that is admitted, from 0 to 1.
    share: ConcurrencyLimit,
    /// Share of fills from the origin whose first byte came later than their latency objective.
    late_first_byte_ratio: Ewma,
}

impl Default for OriginAdmission {
    fn default() -> Self {
        Self { share: ConcurrencyLimit::new(ORIGIN_LIMIT.max_limit), late_first_byte_ratio: Ewma::new(0.0) }
    }
}

impl OriginAdmission {
    /// Whether a request with that random draw, from 0 up to 1, may reach the origin.
    pub(super) fn admits(&self, draw: f64) -> bool {
        draw < self.share.limit
    }

    /// Whether nearly all misses are admitted. While they are not, stale copies are served and not
    /// revalidated.
    pub(super) fn is_healthy(&self) -> bool {
        self.share.limit >= ORIGIN_HEALTHY_SHARE
    }

    /// Whether the origin itself takes longer than clients would wait.
    pub(super) fn is_slow(&self) -> bool {
        self.late_first_byte_ratio.value > SLOW_ORIGIN_RATIO
    }

    /// Records an answer of the origin that was in time, or late or failed.
    fn record(&mut self, now: Ms, late: bool) {
        self.share.record(now, late, ORIGIN_LIMIT.max_limit, &ORIGIN_LIMIT);
    }

    fn record_first_byte(&mut self, late: bool) {
        self.late_first_byte_ratio.update(f64::from(u8::from(late)), ORIGIN_WAIT_WEIGHT);
    }

    /// Admits a little more, once per maintenance run.
    pub(super) fn recover(&mut self) {
        let share = self.share.limit;
        let increase = ORIGIN_RECOVERY_RATIO * share.max(ORIGIN_RECOVERY_MIN_SHARE);
        self.share.limit = (share + increase).min(ORIGIN_LIMIT.max_limit);
    }
}

/// This router's fills on the location's fill link, and the limit for those of all its routers.
#[derive(Debug)]
pub(super) struct FillLinkAdmission {
    limit: ConcurrencyLimit,
    /// Transfer time of this router's fills in flight.
    filling: Ms,
    mean_filling: TimeWeightedMean,
}

impl Default for FillLinkAdmission {
    fn default() -> Self {
        Self {
            limit: ConcurrencyLimit::new(f64::INFINITY),
            filling: 0.0,
            mean_filling: TimeWeightedMean::default(),
        }
    }
}

impl FillLinkAdmission {
    /// Updates the mean up to `now`.
    pub(super) fn advance(&mut self, now: Ms) {
        self.mean_filling.advance(now, self.filling, LOAD_TIME_CONSTANT);
    }

    /// Counts a fill of that transfer time in flight.
    pub(super) fn add(&mut self, now: Ms, work: Ms) {
        self.advance(now);
        self.filling += work;
    }

    /// Counts a fill of that transfer time as ended.
    pub(super) fn remove(&mut self, now: Ms, work: Ms) {
        self.advance(now);
        self.filling = (self.filling - work).max(0.0);
    }

    /// Transfer time of all routers' fills in flight; each of the others is assumed to have this one's mean.
    fn total_filling(&self, routers: u32) -> Ms {
        self.filling + f64::from(routers.max(1) - 1) * self.mean_filling.mean
    }

    /// Whether a fill of that transfer time fits in; an idle link takes any. `transfer` is the transfer time
    /// of the largest class, the unit of the limit.
    fn admits(&self, work: Ms, routers: u32, transfer: Ms) -> bool {
        let filling = self.total_filling(routers);
        filling <= 0.0 || filling + work <= self.limit.limit * transfer
    }

    /// Records a fill that was in time or late. `capacity` is what the location's caches can send at once.
    fn record(&mut self, now: Ms, late: bool, routers: u32, transfer: Ms, capacity: f64) {
        let max_limit = FILL_LINK_LIMIT.max_limit * capacity.max(1.0);
        self.limit.limit = self.limit.limit.min(max_limit);
        let in_use = self.total_filling(routers) / transfer;
        let increase = FILL_LINK_LIMIT.increase / self.limit.limit.max(1.0);
        let config = ConcurrencyLimitConfig { max_limit, increase, ..FILL_LINK_LIMIT };
        self.limit.record(now, late, in_use, &config);
    }
}

impl Policy {
    /// Whether the location's fill link takes another fill of that transfer time. Large ones are held back
    /// first. Without this limit, late fills would occupy the slots of their caches until even answers
    /// from the cache are late.
    pub(super) fn fill_link_admits(&self, work: Ms) -> bool {
        self.fill_link.admits(work, self.routers_in_zone(), self.transfer_times.largest_mean())
    }

    fn routers_in_zone(&self) -> u32 {
        self.settings.routers_by_zone.get(usize::from(self.settings.zone)).copied().unwrap_or(1)
    }

    /// Admits the request at the chosen holder, or at the next one where capacities are only learnt.
    ///
    /// # Errors
    ///
    /// [`RejectReason::EndpointTooCrowded`] if the answer would miss the latency objective.
    pub(super) fn admit_at_holder(
        &self,
        request: &RequestRecord,
        chosen: EndpointId,
        holders: &[EndpointId],
    ) -> Result<EndpointId, RejectReason> {
        if !self.is_too_crowded(chosen, request) {
            return Ok(chosen);
        }
        let mut others = holders.iter().copied().filter(|_| self.settings.weights_unknown);
        others.find(|&id| !self.is_too_crowded(id, request)).ok_or(RejectReason::EndpointTooCrowded)
    }

    /// Whether the cache would send the answer later than the latency objective, by its crowding and the
    /// request's transfer time. Requests with much work for their latency objective are shed first.
    fn is_too_crowded(&self, id: EndpointId, request: &RequestRecord) -> bool {
        let class = self.settings.class(request.request.class);
        let latency_objective = class.objective_for(request.work);
        let limit = self.endpoints[&id].crowding_limit.limit;
        self.crowding(id) * request.work > limit * latency_objective
    }

    /// Learns from an attempt's end how much the origin and the fill link can take.
    ///
    /// An attempt that its client abandoned before the latency objective says nothing: many of them would
    /// shut out all fills.
    pub(super) fn record_origin_and_link(
        &mut self,
        attempt: &AttemptRecord,
        outcome: &AttemptOutcome,
        origin_rejected: bool,
    ) {
        if outcome.cache_status == Some(CacheStatus::OriginFailed) || origin_rejected {
            self.origin_admission.record(self.now, true);
        }
        let is_cancelled = outcome.status == AttemptStatus::Cancelled;
        let is_abandoned = is_cancelled && outcome.elapsed <= attempt.latency_objective;
        if is_abandoned {
            return;
        }
        self.record_direct_origin_answer(attempt, outcome);
        self.record_fill(attempt, outcome);
    }

    /// A read that was sent to the origin past the caches.
    fn record_direct_origin_answer(&mut self, attempt: &AttemptRecord, outcome: &AttemptOutcome) {
        let is_read = !self.settings.class(attempt.class).is_write;
        let is_direct = Some(attempt.endpoint) == self.origin() && is_read;
        if is_direct && outcome.status != AttemptStatus::NotExecuted {
            let late = outcome.status != AttemptStatus::Ok || outcome.elapsed > attempt.latency_objective;
            self.origin_admission.record(self.now, late);
        }
    }

    /// A fill or revalidation by way of the fill link.
    fn record_fill(&mut self, attempt: &AttemptRecord, outcome: &AttemptOutcome) {
        let may_have_filled = attempt.fills_from_above || attempt.may_revalidate;
        let is_lost = matches!(outcome.status, AttemptStatus::TimedOut | AttemptStatus::Cancelled);
        let is_conclusive = is_lost || outcome.status == AttemptStatus::Ok;
        if !may_have_filled || !is_conclusive || outcome.cache_status == Some(CacheStatus::Hit) {
            return;
        }
        let late = is_lost || outcome.elapsed > attempt.latency_objective;
        let source_was_late = outcome.source_wait > attempt.latency_objective / 2.0;
        if outcome.cache_status == Some(CacheStatus::FilledByOrigin) {
            self.record_origin_fill(attempt, outcome.source_wait, late && source_was_late);
        }
        if !attempt.counted_late && !source_was_late {
            self.attribute_fill(attempt, late);
        }
    }

    fn record_origin_fill(&mut self, attempt: &AttemptRecord, source_wait: Ms, late: bool) {
        if let Some(source) = attempt.source.and_then(|id| self.endpoints.get_mut(&id)) {
            source.origin_wait.update_from_mean(source_wait, ORIGIN_WAIT_WEIGHT);
        }
        // The objective of a small answer, without the time for its transfer.
        let class_objective = self.settings.class(attempt.class).latency_objective;
        self.origin_admission.record_first_byte(source_wait > class_objective);
        self.origin_admission.record(self.now, late);
    }

    /// Attributes a fill, in time or late, to the origin, its source, its cache or the fill link.
    ///
    /// A source or cache that is slow by itself must not reduce the link's limit, which would shut out the
    /// fills of all others.
    pub(super) fn attribute_fill(&mut self, attempt: &AttemptRecord, late: bool) {
        if late && self.origin_admission.is_slow() {
            return self.origin_admission.record(self.now, true);
        }
        let Some(source) = attempt.source.filter(|_| attempt.fills_from_above) else { return };
        if let Some(record) = self.endpoints.get_mut(&source) {
            record.late_fill_ratio.update(f64::from(u8::from(late)), LATE_FILL_WEIGHT);
        }
        let cache = self.endpoints.get(&attempt.endpoint);
        let cache_is_slow = cache.is_some_and(|record| self.slowness_share(record) < OWN_SLOWNESS_SHARE);
        if late && (cache_is_slow || self.is_slow_parent(source)) {
            return;
        }
        let routers = self.routers_in_zone();
        let transfer = self.transfer_times.largest_mean();
        self.fill_link.record(self.now, late, routers, transfer, self.location_capacity);
    }

    /// Whether a rejected fill was rejected by the origin, where outcomes do not report it.
    ///
    /// Past its rate the origin rejects what is sent to it directly, and what every parent fetches; a
    /// parent that fails by itself has others beside it that do not.
    pub(super) fn is_origin_rejection(&self, attempt: &AttemptRecord, outcome: &AttemptOutcome) -> bool {
        let is_unreported = self.settings.outcome_detail != OutcomeDetail::Full;
        let is_rejected_fill = outcome.status == AttemptStatus::Rejected && attempt.fills_from_above;
        let Some(source) = attempt.source.filter(|_| is_unreported && is_rejected_fill) else { return false };
        if Some(source) == self.origin() {
            return true;
        }
        let mut failure_ratios = 0.0;
        let mut others = 0.0;
        for parent in self.parents() {
            if parent.endpoint.id != source && parent.endpoint.phase == EndpointPhase::Ready {
                failure_ratios += parent.self_failure_ratio.value;
                others += 1.0;
            }
        }
        others == 0.0 || failure_ratios > MAX_SELF_FAILURE_RATIO * others
    }
}
