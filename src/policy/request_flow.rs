//! The life cycle of a request: accepted, routed, sent, and then retried or answered.

use super::load_estimate::LOAD_TIME_CONSTANT;
use super::outlier_detection::EJECTION;
use super::retry::RetryDecision;
use super::Policy;
use crate::interface::{
    Action, AttemptId, AttemptOutcome, AttemptStatus, EndpointId, FillInstruction, Ms, RejectReason, Request,
    RequestId,
};
use crate::records::{AttemptRecord, RequestRecord, Route};

/// Margin before the deadline, in clock ticks, within which an answer can no longer be sent in time.
const DEADLINE_TICKS: f64 = 2.0;

impl Policy {
    /// Records a new request and sends its first attempt.
    pub(super) fn accept_request(&mut self, request: &Request) {
        let work = self.estimate_work(request);
        self.retry_budget.deposit();
        let draw = self.draw();
        let record = RequestRecord::new(*request, work, self.now + request.time_limit, draw);
        self.requests.insert(request.id, record);
        self.dispatch_request(request.id);
    }

    /// Records that the client is receiving the answer, so that no further attempt may replace this one.
    pub(super) fn mark_response_started(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.response_started = true;
        }
    }

    /// Drops a request that has its final answer or whose client disconnected, and cancels its attempts in
    /// flight.
    pub(super) fn close_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        if request.attempts_in_flight == 0 {
            return;
        }
        for number in 0..request.attempts_sent as u8 {
            self.cancel_attempt(AttemptId { request: id, number });
        }
    }

    /// Sends the next attempt, starts a backoff, or ends the request with a rejection or failure.
    pub(super) fn dispatch_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.response_started || request.attempts_in_flight > 0 {
            return;
        }
        let time_left = request.deadline - self.now - DEADLINE_TICKS * self.settings.clock_resolution;
        if let Some(reason) = self.attempt_rejection(request, time_left) {
            return self.give_up(id, reason);
        }
        let is_write = self.is_write(&request.request);
        let attempts_sent = request.attempts_sent;
        let is_retry = attempts_sent > 0;
        if is_retry && !is_write && !self.retry_budget.withdraw() {
            return self.give_up(id, RejectReason::RetryBudgetExhausted);
        }
        let route = if is_write { self.route_write(request) } else { self.route_read(request) };
        match route {
            Ok(route) => self.send_if_repeatable(id, route, time_left),
            Err(reason) => match self.decide_backoff(is_write, attempts_sent, time_left) {
                RetryDecision::After(pause) => self.start_backoff(id, pause),
                RetryDecision::NoTime => self.give_up(id, RejectReason::NoTimeForBackoff),
                RetryDecision::Never => self.give_up(id, reason),
            },
        }
    }

    /// Whether the request is a write, as marked by its class or by the client. Writes are executed at the
    /// origin.
    pub(super) fn is_write(&self, request: &Request) -> bool {
        self.settings.class(request.class).is_write || request.is_write
    }

    fn send_if_repeatable(&mut self, id: RequestId, route: Route, time_left: Ms) {
        let Some(request) = self.requests.get(&id) else { return };
        if !self.may_repeat_at(request, route.endpoint) {
            return self.give_up(id, RejectReason::RepeatNotAllowed);
        }
        let class = self.settings.class(request.request.class);
        let latency_objective = class.objective_for(request.work);
        let timeout = self.attempt_timeout(request, time_left);
        self.send_attempt(id, route, timeout, latency_objective);
    }

    fn send_attempt(&mut self, id: RequestId, route: Route, timeout: Ms, latency_objective: Ms) {
        let Some(request) = self.requests.get(&id) else { return };
        let copy_key = self.copy_key(&request.request);
        let is_known = self.is_known_copy(route.endpoint, copy_key);
        let send_by = self.repeat_deadline(request);
        let attempt = self.attempt_record(request, &route, latency_objective, copy_key, is_known);
        self.spend_slow_start_budgets(&attempt, is_known);
        self.record_attempt_sent(&attempt);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt_id = AttemptId { request: id, number: request.attempts_sent as u8 };
        self.attempts.insert(attempt_id, attempt);
        request.attempts_sent += 1;
        request.attempts_in_flight += 1;
        request.fill_denied = route.fill_denied;
        self.actions.push(forward_action(id, route.endpoint, timeout, send_by, route.fill));
    }

    fn attempt_record(
        &self,
        request: &RequestRecord,
        route: &Route,
        latency_objective: Ms,
        copy_key: u64,
        is_known: bool,
    ) -> AttemptRecord {
        let work = request.work;
        let class = request.request.class;
        let source = route.fill.map(|fill| fill.source).filter(|&source| source != route.endpoint);
        let source_record = source.and_then(|id| self.endpoints.get(&id));
        let fills_from_sibling =
            source_record.is_some_and(|record| self.settings.is_local_cache(&record.endpoint));
        let source_is_upstream = source.is_some() && !fills_from_sibling;
        let fills_from_upstream = source_is_upstream && !is_known;
        let expires = self.settings.class(class).freshness_lifetime > 0.0;
        AttemptRecord {
            endpoint: route.endpoint,
            source,
            sent_at: self.now,
            class,
            work,
            latency_objective,
            caches_fill: route.fill.is_some_and(|fill| fill.retention > 0),
            fills_from_sibling,
            fills_from_upstream,
            fill_link_work: if fills_from_upstream { work } else { 0.0 },
            may_revalidate: source_is_upstream && is_known && expires,
            copy_key,
            cancelled: false,
            counted_late: false,
        }
    }

    /// Adds the attempt to those in flight at its endpoint and on the fill link. While the endpoint or source
    /// is recovering, the attempt is its trial request.
    fn record_attempt_sent(&mut self, attempt: &AttemptRecord) {
        if let Some(source) = attempt.source.and_then(|id| self.endpoints.get_mut(&id)) {
            source.health.record_request();
        }
        if let Some(endpoint) = self.endpoints.get_mut(&attempt.endpoint) {
            endpoint.health.record_request();
            endpoint.advance(self.now, LOAD_TIME_CONSTANT);
            endpoint.in_flight += 1;
        }
        self.fill_link.add(self.now, attempt.fill_link_work);
    }

    /// Updates all estimates from the outcome of an attempt, and continues its request.
    pub(super) fn finish_attempt(&mut self, outcome: &AttemptOutcome) {
        let Some(attempt) = self.attempts.remove(&outcome.attempt) else { return };
        self.record_attempt_ended(&attempt, outcome);
        self.record_failure_ratios(&attempt, outcome);
        let origin_rejected = self.is_origin_rejection(&attempt, outcome);
        self.record_origin_and_link(&attempt, outcome, origin_rejected);
        self.record_cached_answer(&attempt, outcome);
        let avoid = self.record_health(&attempt, outcome, origin_rejected);
        self.continue_request(&attempt, outcome, origin_rejected, avoid);
    }

    fn record_attempt_ended(&mut self, attempt: &AttemptRecord, outcome: &AttemptOutcome) {
        self.fill_link.remove(self.now, attempt.fill_link_work);
        let Some(endpoint) = self.endpoints.get_mut(&attempt.endpoint) else { return };
        endpoint.advance(self.now, LOAD_TIME_CONSTANT);
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        if outcome.status.endpoint_responded() {
            endpoint.record_response(self.now, EJECTION.outcome_weight);
        }
    }

    fn continue_request(
        &mut self,
        attempt: &AttemptRecord,
        outcome: &AttemptOutcome,
        origin_rejected: bool,
        avoid: Option<EndpointId>,
    ) {
        let id = outcome.attempt.request;
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
        request.avoid.extend(avoid);
        if outcome.request_finished {
            return self.close_request(id);
        }
        if !outcome.status.never_executed() && request.may_have_executed.is_none() {
            request.may_have_executed = Some((attempt.sent_at, attempt.endpoint));
        }
        match outcome.status {
            AttemptStatus::NotExecuted => return self.give_up(id, RejectReason::AttemptNotExecuted),
            // Every other cache would fill from the same origin.
            AttemptStatus::Rejected if origin_rejected && !request.request.is_write => {
                request.nothing_cached = true;
                request.fill_denied = Some(RejectReason::OriginOverloaded);
            }
            AttemptStatus::CacheMiss => {
                request.nothing_cached |= !attempt.fills_from_sibling;
                request.owner_only = true;
            }
            _ => {}
        }
        self.dispatch_request(id);
    }
}

fn forward_action(
    request: RequestId,
    endpoint: EndpointId,
    timeout: Ms,
    send_by: Option<Ms>,
    fill: Option<FillInstruction>,
) -> Action {
    match fill {
        None => Action::Forward { request, endpoint, timeout, send_by },
        Some(fill) => Action::ForwardWithFill { request, endpoint, timeout, send_by, fill },
    }
}
