//! Completion of attempts, by a reply or without one.

use crate::event_handler::EventHandler;
use crate::policy_adapter::{AttemptEnd, AttemptKey, AttemptReport, EndpointKey, Ms, Ticket};

use super::attempt::{CompletedAttempt, ResponsePayload};
use super::codec::{FieldList, Reply, ReplyBody, ReplyStatus};
use super::connection::{ConnectionId, ExchangeOwner};
use super::response::{self, CopyVersion};
use super::Upstreams;

/// The outcome of an attempt that was answered by a reply.
struct AttemptOutcome {
    end: AttemptEnd,
    payload: ResponsePayload,
}

/// How an attempt without a reply has ended.
#[derive(Debug, Clone, Copy)]
struct Execution {
    end: AttemptEnd,
    may_have_run: bool,
}

impl AttemptOutcome {
    fn without_payload(end: AttemptEnd) -> Self {
        Self { end, payload: ResponsePayload::Empty }
    }
}

impl<W: EventHandler> Upstreams<W> {
    /// Completes the attempt or health check that a reply belongs to.
    pub(super) fn on_reply(&mut self, now: Ms, id: ConnectionId, reply: Reply) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.last_used = now;
        // Without an exchange, the reply crossed the cancellation of its request.
        let Some(exchange) = connection.open.remove(&reply.id) else { return };
        match exchange.owner {
            ExchangeOwner::Attempt(attempt) => self.on_attempt_reply(now, id, attempt, reply),
            ExchangeOwner::HealthCheck => {
                let gauges = response::load_report(&reply.fields);
                let is_healthy = reply.status == ReplyStatus::Healthy;
                self.health_checks.report(connection.endpoint, is_healthy, gauges);
                self.close_if_drained(id);
            }
        }
    }

    fn on_attempt_reply(&mut self, now: Ms, id: ConnectionId, attempt: AttemptKey, reply: Reply) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let Some(in_flight) = self.attempts.remove(attempt) else { return };
        let Reply { id: request_id, status, fields, body } = reply;
        if !matches!(status, ReplyStatus::Data | ReplyStatus::NotModified) {
            connection.retired_ids.insert(request_id);
            connection.draining |=
                connection.retired_ids.len() >= self.limits.upstreams.max_streams_per_connection;
        }
        let endpoint = connection.endpoint;
        let outcome = self.outcome(in_flight.client_copy.as_deref(), status, &fields, body);
        let report = AttemptReport {
            attempt,
            endpoint,
            end: outcome.end,
            elapsed: now - in_flight.sent_at,
            source_wait: response::source_wait(&fields),
            cache_result: response::cache_result(&fields),
            gauges: response::load_report(&fields),
        };
        let fill_loop = response::fill_loop(&fields);
        let may_have_run = report.end.may_have_run();
        let payload = outcome.payload;
        self.completed.push_back(CompletedAttempt { report, may_have_run, payload, fill_loop });
        self.close_if_drained(id);
    }

    fn outcome(
        &self,
        client_copy: Option<&str>,
        status: ReplyStatus,
        fields: &FieldList,
        body: ReplyBody,
    ) -> AttemptOutcome {
        match status {
            ReplyStatus::Data => {
                let version = if self.reports_versions { CopyVersion::of_reply(fields) } else { None };
                let payload = match body {
                    ReplyBody::Received(body) => ResponsePayload::Body(body, version),
                    ReplyBody::Discarded => ResponsePayload::Discarded,
                };
                AttemptOutcome { end: AttemptEnd::Answered, payload }
            }
            // The reply must name the copy that this client has.
            ReplyStatus::NotModified if response::confirms_client_copy(fields, client_copy) => {
                AttemptOutcome { end: AttemptEnd::Answered, payload: ResponsePayload::NotModified }
            }
            ReplyStatus::CacheMiss => AttemptOutcome::without_payload(AttemptEnd::CacheMiss),
            ReplyStatus::Rejected => AttemptOutcome::without_payload(AttemptEnd::Rejected),
            ReplyStatus::NotExecuted => AttemptOutcome::without_payload(AttemptEnd::NotExecuted),
            ReplyStatus::NotModified
            | ReplyStatus::Failed
            | ReplyStatus::Healthy
            | ReplyStatus::Unhealthy => AttemptOutcome::without_payload(AttemptEnd::Failed),
        }
    }

    /// Completes an attempt without a reply.
    pub(super) fn complete(
        &mut self,
        now: Ms,
        attempt: AttemptKey,
        endpoint: EndpointKey,
        sent_at: Ms,
        end: AttemptEnd,
    ) {
        self.complete_with(
            now,
            attempt,
            endpoint,
            sent_at,
            Execution { end, may_have_run: end.may_have_run() },
        );
    }

    /// Completes an attempt without a reply of which no byte, or not all, was sent: it was not executed.
    pub(super) fn complete_unsent(
        &mut self,
        now: Ms,
        attempt: AttemptKey,
        endpoint: EndpointKey,
        sent_at: Ms,
        end: AttemptEnd,
    ) {
        self.complete_with(now, attempt, endpoint, sent_at, Execution { end, may_have_run: false });
    }

    fn complete_with(
        &mut self,
        now: Ms,
        attempt: AttemptKey,
        endpoint: EndpointKey,
        sent_at: Ms,
        Execution { end, may_have_run }: Execution,
    ) {
        let report = AttemptReport {
            attempt,
            endpoint,
            end,
            elapsed: now - sent_at,
            source_wait: 0.0,
            cache_result: None,
            gauges: Vec::new(),
        };
        self.push_completed(report, may_have_run);
    }

    /// Queues the report of an attempt without a reply.
    pub(super) fn push_completed(&mut self, report: AttemptReport, may_have_run: bool) {
        let payload = ResponsePayload::Empty;
        self.completed.push_back(CompletedAttempt { report, may_have_run, payload, fill_loop: None });
    }

    /// Whether an attempt of a request is in flight of which a byte was written.
    pub fn has_sent_attempt(&self, ticket: Ticket) -> bool {
        let mut attempts = self.attempts.of_request(ticket);
        attempts.any(|(attempt, in_flight)| !self.is_queued(attempt, in_flight))
    }

    /// Whether an attempt of a request is in flight, or has an outcome that was not taken yet.
    pub fn has_unreported_attempt(&self, ticket: Ticket) -> bool {
        let is_of_request = |completed: &CompletedAttempt| completed.report.attempt.ticket == ticket;
        self.attempts.of_request(ticket).next().is_some() || self.completed.iter().any(is_of_request)
    }
}
