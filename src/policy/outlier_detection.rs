//! Outlier detection: ejection and recovery of endpoints.
//!
//! Failures are attributed to the endpoint or to its fill source, which is ejected if its failure ratio
//! exceeds a limit. An endpoint that stops responding is ejected at once. After an ejection, trial requests,
//! one at a time, decide whether the endpoint recovers. A slow cache is not ejected, but serves a smaller
//! share of its objects.

use std::collections::BTreeMap;

use super::load_estimate::MIN_SAMPLES;
use super::Policy;
use crate::endpoint_health::EjectionConfig;
use crate::interface::{
    AttemptId, AttemptOutcome, AttemptStatus, CacheStatus, EndpointId, Ms, OutcomeDetail,
};
use crate::records::{AttemptRecord, EndpointRecord};

/// Ejection and recovery parameters, see [`EndpointHealth`](crate::endpoint_health). Three consecutive
/// failures eject an endpoint that had none before, as do failures above the ratio among about the last
/// seven outcomes.
pub(super) const EJECTION: EjectionConfig = EjectionConfig {
    outcome_weight: 0.15,
    max_failure_ratio: 0.35,
    base_duration: 500.0,
    duration_growth: 2.0,
    max_duration: 3_000.0,
    recovery_successes: 4,
};

/// If a cache fails a larger share of the requests for its cached copies, the fault is in the cache and not
/// in its fill source. For a parent, a larger share of failed fills than a healthy parent has.
pub(super) const MAX_SELF_FAILURE_RATIO: f64 = 0.15;

/// An endpoint is silent if it has not responded for at least this time and for [`SILENCE_INTERVALS`] times
/// the mean interval between its responses, while [`SILENCE_OVERDUE_ATTEMPTS`] attempts are overdue.
const SILENCE: Ms = 300.0;
/// See [`SILENCE`].
const SILENCE_INTERVALS: f64 = 6.0;
/// See [`SILENCE`]; a single overdue attempt is enough while the endpoint is recovering.
const SILENCE_OVERDUE_ATTEMPTS: usize = 2;

/// A cache serves its full arc of the ring up to this multiple of the typical slowness, which is the lower
/// median of the location's caches: a mean would rise with the slow caches.
const MAX_RELATIVE_SLOWNESS: f64 = 1.7;
/// Minimum share of its arc that a slow cache serves.
const MIN_ARC_SHARE: f64 = 0.2;

/// The result of an outcome for an endpoint: `Some(true)` for success, `Some(false)` for failure, `None` if
/// the outcome is not attributed to it.
type Verdict = Option<bool>;

/// The verdicts of an attempt's outcome on its endpoint and on its fill source.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Attribution {
    endpoint: Verdict,
    source: Verdict,
}

impl Attribution {
    const NONE: Self = Self { endpoint: None, source: None };

    const fn endpoint(success: bool) -> Self {
        Self { endpoint: Some(success), source: None }
    }

    const fn source(success: bool) -> Self {
        Self { endpoint: None, source: Some(success) }
    }
}

impl Policy {
    /// Records failed requests for cached copies at the endpoint, and rejected fills at their source.
    pub(super) fn record_failure_ratios(&mut self, attempt: &AttemptRecord, outcome: &AttemptOutcome) {
        let weight = EJECTION.outcome_weight;
        let status = outcome.status;
        if let Some(endpoint) = self.endpoints.get_mut(&attempt.endpoint) {
            let is_conclusive =
                matches!(status, AttemptStatus::Ok | AttemptStatus::Rejected | AttemptStatus::Error);
            if !attempt.fills_from_upstream && is_conclusive {
                let failed = status != AttemptStatus::Ok;
                endpoint.self_failure_ratio.update(f64::from(u8::from(failed)), weight);
            }
        }
        let used_source = matches!(status, AttemptStatus::Ok | AttemptStatus::Rejected)
            && outcome.cache_status != Some(CacheStatus::Hit);
        let source = attempt.source.filter(|_| attempt.fills_from_upstream && used_source);
        if let Some(source) = source.and_then(|id| self.endpoints.get_mut(&id)) {
            let rejected = status == AttemptStatus::Rejected;
            source.self_failure_ratio.update(f64::from(u8::from(rejected)), weight);
        }
    }

    /// Records an outcome in the health of the endpoint and of the parent that it filled from. Returns the
    /// endpoint that later attempts of the request should avoid, if any.
    pub(super) fn record_health(
        &mut self,
        attempt: &AttemptRecord,
        outcome: &AttemptOutcome,
        origin_rejected: bool,
    ) -> Option<EndpointId> {
        let attribution = self.attribute_outcome(attempt, outcome, origin_rejected);
        let was_healthy = self.endpoints.get(&attempt.endpoint).is_some_and(|r| r.health.is_healthy());
        self.record_connection_and_copy(attempt, outcome);
        let is_parent = |id: &EndpointId| {
            self.endpoints.get(id).is_some_and(|record| self.settings.is_parent(&record.endpoint))
        };
        let parent = attempt.source.filter(is_parent);
        self.record_verdict(attempt.endpoint, attribution.endpoint);
        if let Some(parent) = parent {
            self.record_verdict(parent, attribution.source);
        }
        match outcome.status {
            AttemptStatus::Ok
            | AttemptStatus::CacheMiss
            | AttemptStatus::NotSent
            | AttemptStatus::NotExecuted => None,
            _ if attribution.source == Some(false) && parent.is_some() => parent,
            AttemptStatus::Cancelled if attempt.fills_from_upstream && was_healthy => parent,
            _ => Some(attempt.endpoint),
        }
    }

    /// Attributes an outcome to the endpoint or its fill source, by the status and the reported cache status
    /// or, if there is none, by whether the endpoint also fails requests that need no fill.
    fn attribute_outcome(
        &self,
        attempt: &AttemptRecord,
        outcome: &AttemptOutcome,
        origin_rejected: bool,
    ) -> Attribution {
        let detail = self.settings.outcome_detail;
        if outcome.status == AttemptStatus::Ok {
            return attribute_success(attempt, outcome, detail);
        }
        let origin_impaired = !self.origin_admission.is_healthy();
        let waited_long = outcome.source_wait > attempt.latency_objective / 2.0;
        match outcome.cache_status {
            // A parent whose slots are occupied by requests that wait for a slow origin rejects fills or
            // delays them until the cache times out. Ejecting it would send all its fills to the origin.
            Some(CacheStatus::SourceRejected) if origin_impaired => return Attribution::NONE,
            Some(CacheStatus::SourceUnreachable) if origin_impaired && waited_long => {
                return Attribution::NONE
            }
            Some(CacheStatus::SourceRejected | CacheStatus::SourceUnreachable) => {
                return Attribution::source(false)
            }
            Some(CacheStatus::OriginFailed | CacheStatus::NoCapacity) => return Attribution::NONE,
            _ if origin_rejected => return Attribution::NONE,
            _ => {}
        }
        self.attribute_failure(attempt, outcome.status)
    }

    /// Attributes a failure for which no cause is reported.
    fn attribute_failure(&self, attempt: &AttemptRecord, status: AttemptStatus) -> Attribution {
        let record = self.endpoints.get(&attempt.endpoint);
        let has_responded = record.is_some_and(|record| record.last_response_at > attempt.sent_at);
        let fails_by_itself =
            record.is_some_and(|record| record.self_failure_ratio.value > MAX_SELF_FAILURE_RATIO);
        let is_unreported = self.settings.outcome_detail != OutcomeDetail::Full;
        let may_be_source = is_unreported && attempt.fills_from_upstream && !fails_by_itself;
        match status {
            AttemptStatus::Rejected | AttemptStatus::Error if may_be_source => Attribution::source(false),
            // A rejection is caused by load and not by a fault: ejecting the cache would move its load to
            // other caches.
            AttemptStatus::Rejected => Attribution::NONE,
            AttemptStatus::Error | AttemptStatus::ConnectFailed | AttemptStatus::Reset => {
                Attribution::endpoint(false)
            }
            AttemptStatus::TimedOut if attempt.fills_from_upstream => Attribution::NONE,
            AttemptStatus::TimedOut => Attribution::endpoint(has_responded),
            AttemptStatus::Ok
            | AttemptStatus::CacheMiss
            | AttemptStatus::Cancelled
            | AttemptStatus::NotSent
            | AttemptStatus::NotExecuted => Attribution::NONE,
        }
    }

    /// Records a failed connection to an unhealthy endpoint, and the copy that the endpoint caches by now.
    fn record_connection_and_copy(&mut self, attempt: &AttemptRecord, outcome: &AttemptOutcome) {
        let Some(endpoint) = self.endpoints.get_mut(&attempt.endpoint) else { return };
        if outcome.status == AttemptStatus::ConnectFailed && !endpoint.health.is_healthy() {
            endpoint.connect_failed_at = self.now;
        }
        let is_hit = outcome.cache_status == Some(CacheStatus::Hit);
        if outcome.status == AttemptStatus::Ok && (attempt.caches_fill || is_hit) {
            endpoint.cached_copies.insert(attempt.copy_key);
        }
    }

    fn record_verdict(&mut self, id: EndpointId, verdict: Verdict) {
        let Some(record) = self.endpoints.get_mut(&id) else { return };
        if verdict == Some(true) && record.last_response_at < self.now {
            record.record_response(self.now, EJECTION.outcome_weight);
        }
        record.health.record_outcome(self.now, verdict, &EJECTION);
    }

    /// Starts the recovery of every endpoint whose ejection has expired.
    pub(super) fn start_due_recoveries(&mut self) {
        for record in self.endpoints.values_mut() {
            record.health.start_due_recovery(self.now);
        }
    }

    /// Ejects endpoints that have stopped responding, and cancels the attempts that wait for them so that
    /// they are retried elsewhere. Covers hung and lost endpoints, long pauses and broken links.
    pub(super) fn eject_silent_endpoints(&mut self) {
        let overdue = self.count_overdue_attempts();
        let mut silent = Vec::new();
        for (id, count) in overdue {
            if self.eject_if_silent(id, count) {
                silent.push(id);
            }
        }
        if !silent.is_empty() {
            self.cancel_attempts_waiting_for(&silent);
        }
    }

    /// The number of overdue attempts by endpoint and by fill source.
    ///
    /// An overdue attempt counts for its fill source only if the cache has responded since the attempt was
    /// sent, as otherwise attempts at a silent cache would count against its parents, and only while the
    /// origin is not slow.
    fn count_overdue_attempts(&self) -> BTreeMap<EndpointId, usize> {
        let mut counts: BTreeMap<EndpointId, usize> = BTreeMap::new();
        for attempt in self.attempts.values().filter(|attempt| self.is_overdue(attempt)) {
            *counts.entry(attempt.endpoint).or_default() += 1;
            let record = self.endpoints.get(&attempt.endpoint);
            let cache_responded = record.is_some_and(|record| record.last_response_at > attempt.sent_at);
            let waits_for_source =
                attempt.fills_from_upstream && cache_responded && !self.origin_admission.is_slow();
            if let Some(source) = attempt.source.filter(|_| waits_for_source) {
                *counts.entry(source).or_default() += 1;
            }
        }
        counts
    }

    /// Ejects the endpoint if it is silent. Returns whether attempts that wait for it are to be cancelled:
    /// not for the origin, which is never ejected, nor for a parent that is ejected already, as retried
    /// fills would be requested from the origin again.
    fn eject_if_silent(&mut self, id: EndpointId, overdue_attempts: usize) -> bool {
        let now = self.now;
        let Some(record) = self.endpoints.get_mut(&id) else { return false };
        let min_silence = SILENCE.max(record.response_interval.value * SILENCE_INTERVALS);
        let is_silent = now - record.last_response_at > min_silence;
        let has_enough_overdue =
            overdue_attempts >= SILENCE_OVERDUE_ATTEMPTS || record.health.is_recovering();
        let is_local = self.settings.is_local_cache(&record.endpoint);
        let is_ejectable = is_local || !record.health.is_ejected();
        let is_origin = self.settings.is_origin(&record.endpoint);
        if !is_silent || !has_enough_overdue || !is_ejectable || is_origin {
            return false;
        }
        record.health.eject_unless_ejected(now, &EJECTION);
        true
    }

    fn cancel_attempts_waiting_for(&mut self, silent: &[EndpointId]) {
        let waits = |attempt: &AttemptRecord| {
            let source = attempt.source.filter(|_| attempt.fills_from_upstream);
            silent.contains(&attempt.endpoint) || source.is_some_and(|source| silent.contains(&source))
        };
        let is_stuck = |id: AttemptId, attempt: &AttemptRecord| {
            waits(attempt) && self.is_overdue(attempt) && self.may_cancel_for_retry(id)
        };
        let stuck = self.attempts.iter().filter(|(id, attempt)| is_stuck(**id, attempt));
        let stuck: Vec<AttemptId> = stuck.map(|(id, _)| *id).collect();
        for id in stuck {
            self.cancel_attempt(id);
        }
    }

    /// The share of its arc that a cache serves, from 0 to 1: the slower the cache is than the others, the
    /// smaller. Covers caches that are degraded without failing, or have less capacity than listed.
    pub(super) fn slowness_share(&self, record: &EndpointRecord) -> f64 {
        let share = if record.slowness.samples >= MIN_SAMPLES {
            self.typical_slowness * MAX_RELATIVE_SLOWNESS / record.slowness.value
        } else {
            1.0
        };
        share.clamp(MIN_ARC_SHARE, 1.0)
    }
}

/// Attributes a successful outcome. It is also a success of the fill source if a fill was reported, or was
/// expected where outcomes never report one.
fn attribute_success(
    attempt: &AttemptRecord,
    outcome: &AttemptOutcome,
    detail: OutcomeDetail,
) -> Attribution {
    let is_reported_fill = matches!(
        outcome.cache_status,
        Some(CacheStatus::FilledByParent | CacheStatus::FilledByOrigin | CacheStatus::Coalesced)
    );
    let is_likely_fill = detail == OutcomeDetail::None && attempt.fills_from_upstream;
    let source = (is_reported_fill || is_likely_fill).then_some(true);
    Attribution { endpoint: Some(true), source }
}
