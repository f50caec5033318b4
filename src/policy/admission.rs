//! Load shedding: limits on misses at the origin, on fills over the fill link, and on the load of a cache.
//!
//! Each limit is adaptive: it decreases while too many answers are late, and increases with each one in time.

use super::load_estimate::LOAD_TIME_CONSTANT;
use super::outlier_detection::MAX_SELF_FAILURE_RATIO;
use super::Policy;
use crate::estimators::{ConcurrencyLimit, ConcurrencyLimitConfig, Ewma, TimeWeightedMean};
use crate::interface::{
    AttemptOutcome, AttemptStatus, CacheStatus, EndpointId, EndpointPhase, Ms, OutcomeDetail, RejectReason,
};
use crate::records::{AttemptRecord, RequestRecord};

/// Limit on the share of misses that are sent to the origin. The time constant is short, so that an
/// overload is detected before the origin fails, even at a low rate of misses.
const ORIGIN_LIMIT: ConcurrencyLimitConfig = ConcurrencyLimitConfig {
    observation_weight: 0.15,
    time_constant: 1_500.0,
    max_late_ratio: 0.2,
    decrease_factor: 0.8,
    decrease_interval: 100.0,
    increase: 0.02,
    min_limit: 0.05,
    max_limit: 1.0,
};
/// Relative increase of that share per maintenance run, which lets it recover while nothing is sent to the
/// origin.
const ORIGIN_RECOVERY_RATIO: f64 = 0.004;
/// The increase is relative to the current share, or to this value if the share is smaller.
const ORIGIN_RECOVERY_MIN_SHARE: f64 = 0.2;
/// The origin is considered impaired while a smaller share of misses than this is admitted.
const ORIGIN_HEALTHY_SHARE: f64 = 0.8;

/// Weight of one fill in the means of the origin's time to first byte and of its late first bytes.
const ORIGIN_WAIT_WEIGHT: f64 = 0.15;
/// Ratio of late first bytes above which late fills are attributed to the origin, not to the fill link.
const SLOW_ORIGIN_RATIO: f64 = 0.25;

/// Limit on the fills in flight on the location's fill link, in transfers of the class with the largest
/// answers. `max_limit` is a multiple of the number of transfers that the location's caches can send at
/// once; below it the link cannot be the bottleneck. `increase` is divided by the limit, so that one window
/// of fills in time adds one transfer.
const FILL_LINK_LIMIT: ConcurrencyLimitConfig = ConcurrencyLimitConfig {
    observation_weight: 0.08,
    time_constant: 5_000.0,
    max_late_ratio: 0.25,
    decrease_factor: 0.85,
    decrease_interval: 200.0,
    increase: 1.0,
    min_limit: 1.0,
    max_limit: 2.0,
};

/// Limit on the load of a cache, as a multiple of the load at which an answer just meets its latency
/// objective. `max_limit` allows for the queue that builds up during a short pause.
pub(super) const LOAD_LIMIT: ConcurrencyLimitConfig = ConcurrencyLimitConfig {
    observation_weight: 0.1,
    time_constant: 5_000.0,
    max_late_ratio: 0.1,
    decrease_factor: 0.85,
    decrease_interval: 200.0,
    increase: 0.02,
    min_limit: 0.25,
    max_limit: 1.5,
};

/// Weight of one fill in the late-fill ratio of its source.
const LATE_FILL_WEIGHT: f64 = 0.1;
/// Lower bound of the time that an answer takes to reach the client.
pub(super) const MIN_DELIVERY_TIME: Ms = 10.0;
/// A cache whose slowness leaves it a smaller share of its ring arc than this is itself the cause of its late
/// fills; they are not evidence of an overloaded fill link.
const OWN_SLOWNESS_SHARE: f64 = 0.85;

/// The limit on misses at the origin, and the origin's observed time to first byte.
#[derive(Debug)]
pub(super) struct OriginAdmission {
    /// Share of misses that is admitted, from 0 to 1.
    share: ConcurrencyLimit,
    /// Share of fills from the origin whose first byte arrived later than the latency objective.
    late_first_byte_ratio: Ewma,
}

impl Default for OriginAdmission {
    fn default() -> Self {
        Self { share: ConcurrencyLimit::new(ORIGIN_LIMIT.max_limit), late_first_byte_ratio: Ewma::new(0.0) }
    }
}

impl OriginAdmission {
    /// Whether a request may be sent to the origin. `draw` is its random number, from 0 up to 1.
    pub(super) fn admits(&self, draw: f64) -> bool {
        draw < self.share.limit
    }

    /// Whether nearly all misses are admitted. Otherwise stale copies are served without revalidation.
    pub(super) fn is_healthy(&self) -> bool {
        self.share.limit >= ORIGIN_HEALTHY_SHARE
    }

    /// Whether the origin's first bytes are late often enough to be the cause of late fills.
    pub(super) fn is_slow(&self) -> bool {
        self.late_first_byte_ratio.value > SLOW_ORIGIN_RATIO
    }

    /// Records a response of the origin. `late` also covers failed ones.
    fn record(&mut self, now: Ms, late: bool) {
        self.share.record(now, late, ORIGIN_LIMIT.max_limit, &ORIGIN_LIMIT);
    }

    fn record_first_byte(&mut self, late: bool) {
        self.late_first_byte_ratio.update(f64::from(u8::from(late)), ORIGIN_WAIT_WEIGHT);
    }

    /// Raises the admitted share by one step; called once per maintenance run.
    pub(super) fn recover(&mut self) {
        let share = self.share.limit;
        let increase = ORIGIN_RECOVERY_RATIO * share.max(ORIGIN_RECOVERY_MIN_SHARE);
        self.share.limit = (share + increase).min(ORIGIN_LIMIT.max_limit);
    }
}

/// This router's fills on the location's fill link, and the limit on the fills of all routers there.
#[derive(Debug)]
pub(super) struct FillLinkAdmission {
    limit: ConcurrencyLimit,
    /// Total transfer time of this router's fills in flight.
    work_in_flight: Ms,
    mean_work_in_flight: TimeWeightedMean,
}

impl Default for FillLinkAdmission {
    fn default() -> Self {
        Self {
            limit: ConcurrencyLimit::new(f64::INFINITY),
            work_in_flight: 0.0,
            mean_work_in_flight: TimeWeightedMean::default(),
        }
    }
}

impl FillLinkAdmission {
    /// Updates the mean of the work in flight up to `now`.
    pub(super) fn advance(&mut self, now: Ms) {
        self.mean_work_in_flight.advance(now, self.work_in_flight, LOAD_TIME_CONSTANT);
    }

    /// Adds a fill of transfer time `work` to those in flight.
    pub(super) fn add(&mut self, now: Ms, work: Ms) {
        self.advance(now);
        self.work_in_flight += work;
    }

    /// Removes a fill of transfer time `work` from those in flight.
    pub(super) fn remove(&mut self, now: Ms, work: Ms) {
        self.advance(now);
        self.work_in_flight = (self.work_in_flight - work).max(0.0);
    }

    /// Estimated transfer time of the fills in flight of all routers. Every other router is assumed to have
    /// the mean of this one.
    fn total_work_in_flight(&self, routers: u32) -> Ms {
        self.work_in_flight + f64::from(routers.max(1) - 1) * self.mean_work_in_flight.mean
    }

    /// Whether the limit admits a further fill of transfer time `work`; an idle link admits any fill.
    /// `transfer` is the transfer time of the class with the largest answers, the unit of the limit.
    fn admits(&self, work: Ms, routers: u32, transfer: Ms) -> bool {
        let in_flight = self.total_work_in_flight(routers);
        in_flight <= 0.0 || in_flight + work <= self.limit.limit * transfer
    }

    /// Records whether a fill was late. `capacity` is the number of transfers that the location's caches can
    /// send at once.
    fn record(&mut self, now: Ms, late: bool, routers: u32, transfer: Ms, capacity: f64) {
        let max_limit = FILL_LINK_LIMIT.max_limit * capacity.max(1.0);
        self.limit.limit = self.limit.limit.min(max_limit);
        let in_use = self.total_work_in_flight(routers) / transfer;
        let increase = FILL_LINK_LIMIT.increase / self.limit.limit.max(1.0);
        let config = ConcurrencyLimitConfig { max_limit, increase, ..FILL_LINK_LIMIT };
        self.limit.record(now, late, in_use, &config);
    }
}

impl Policy {
    /// Whether the location's fill link admits a further fill of transfer time `work`. Large fills are denied
    /// first. Without this limit, late fills would occupy the slots of their caches until even hits are late.
    pub(super) fn fill_link_admits(&self, work: Ms) -> bool {
        self.fill_link.admits(work, self.routers_in_zone(), self.transfer_times.largest_mean())
    }

    fn routers_in_zone(&self) -> u32 {
        self.settings.routers_by_zone.get(usize::from(self.settings.zone)).copied().unwrap_or(1)
    }

    /// Admits the request at the chosen holder. Where the endpoint list has no capacities, the next holder
    /// that is not overloaded is used instead of an overloaded one.
    ///
    /// # Errors
    ///
    /// [`RejectReason::EndpointOverloaded`] if the answer is expected to miss the latency objective.
    pub(super) fn admit_at_holder(
        &self,
        request: &RequestRecord,
        chosen: EndpointId,
        holders: &[EndpointId],
    ) -> Result<EndpointId, RejectReason> {
        if !self.is_overloaded_for(chosen, request) {
            return Ok(chosen);
        }
        let mut others = holders.iter().copied().filter(|_| self.settings.weights_unknown);
        others.find(|&id| !self.is_overloaded_for(id, request)).ok_or(RejectReason::EndpointOverloaded)
    }

    /// Whether the answer is expected to miss its latency objective, by the load of the cache and the
    /// request's transfer time. Requests with a long transfer relative to their objective are shed first.
    fn is_overloaded_for(&self, id: EndpointId, request: &RequestRecord) -> bool {
        let class = self.settings.class(request.request.class);
        let latency_objective = class.objective_for(request.work);
        let limit = self.endpoints[&id].load_limit.limit;
        self.total_load(id) * request.work > limit * latency_objective
    }

    /// Updates the limits of the origin and of the fill link from the outcome of an attempt.
    ///
    /// An attempt that its client abandoned before the latency objective is ignored: if it counted as late,
    /// many of them would block all fills.
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

    /// Records a read that was sent directly to the origin, bypassing the caches.
    fn record_direct_origin_answer(&mut self, attempt: &AttemptRecord, outcome: &AttemptOutcome) {
        let is_read = !self.settings.class(attempt.class).is_write;
        let is_direct = Some(attempt.endpoint) == self.origin() && is_read;
        if is_direct && outcome.status != AttemptStatus::NotExecuted {
            let late = outcome.status != AttemptStatus::Ok || outcome.elapsed > attempt.latency_objective;
            self.origin_admission.record(self.now, late);
        }
    }

    /// Records a fill or revalidation over the fill link.
    fn record_fill(&mut self, attempt: &AttemptRecord, outcome: &AttemptOutcome) {
        let may_have_filled = attempt.fills_from_upstream || attempt.may_revalidate;
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
        // The objective of a small answer, without the allowance for its transfer time.
        let class_objective = self.settings.class(attempt.class).latency_objective;
        self.origin_admission.record_first_byte(source_wait > class_objective);
        self.origin_admission.record(self.now, late);
    }

    /// Attributes a fill, in time or late, to the origin, its source, its cache or the fill link.
    ///
    /// A slow source or cache must not reduce the limit of the fill link, as this would block the fills of
    /// all other sources and caches.
    pub(super) fn attribute_fill(&mut self, attempt: &AttemptRecord, late: bool) {
        if late && self.origin_admission.is_slow() {
            return self.origin_admission.record(self.now, true);
        }
        let Some(source) = attempt.source.filter(|_| attempt.fills_from_upstream) else { return };
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

    /// Whether a fill was rejected by the origin, inferred where outcomes do not report it.
    ///
    /// Above its maximum rate, the origin rejects direct requests and the fetches of all parents alike. If
    /// the other parents do not reject fills, the fault is in the parent itself.
    pub(super) fn is_origin_rejection(&self, attempt: &AttemptRecord, outcome: &AttemptOutcome) -> bool {
        let is_unreported = self.settings.outcome_detail != OutcomeDetail::Full;
        let is_rejected_fill = outcome.status == AttemptStatus::Rejected && attempt.fills_from_upstream;
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
