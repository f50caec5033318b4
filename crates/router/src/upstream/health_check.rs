//! Health checks: sent when the policy orders them, answered or timed out.

use std::collections::VecDeque;

use crate::event_handler::EventHandler;
use crate::policy_adapter::{EndpointKey, Ms};

use super::codec;
use super::connection::{ConnectionId, ExchangeOwner, QueuedMessage};
use super::deadlines::DeadlineQueue;
use super::Upstreams;

/// The result of a health check.
#[derive(Debug)]
pub struct HealthCheckResult {
    pub endpoint: EndpointKey,
    pub healthy: bool,
    /// The values of the load report, with their names.
    pub gauges: Vec<(String, f64)>,
}

/// A health check that was sent.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct SentCheck {
    connection: ConnectionId,
    id: String,
}

/// Health checks in flight, and results that were not processed yet.
#[derive(Debug, Default)]
pub(super) struct HealthChecks {
    sent_count: u64,
    /// The deadlines of answered checks stay in the queue until they pass.
    deadlines: DeadlineQueue<SentCheck>,
    results: VecDeque<HealthCheckResult>,
}

impl HealthChecks {
    fn next_id(&mut self) -> String {
        self.sent_count += 1;
        format!("probe-{}", self.sent_count)
    }

    /// Queues a result.
    pub fn report(&mut self, endpoint: EndpointKey, healthy: bool, gauges: Vec<(String, f64)>) {
        self.results.push_back(HealthCheckResult { endpoint, healthy, gauges });
    }

    /// Reports a check as failed.
    pub fn fail(&mut self, endpoint: EndpointKey) {
        self.report(endpoint, false, Vec::new());
    }

    /// The earliest deadline of a check, in milliseconds.
    pub fn next_deadline(&self) -> Option<Ms> {
        self.deadlines.next()
    }
}

impl<W: EventHandler> Upstreams<W> {
    /// The next result that was not processed yet.
    pub fn next_health_check(&mut self) -> Option<HealthCheckResult> {
        self.health_checks.results.pop_front()
    }

    /// Sends a health check; it fails at once if there is no connection for it.
    pub fn send_health_check(&mut self, now: Ms, endpoint: EndpointKey) {
        let check = self.health_checks.next_id();
        let Some(id) = self.connection_for(now, endpoint, &check) else {
            return self.health_checks.fail(endpoint);
        };
        let bytes = codec::encode_health_check(&self.buffers, &check);
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let message = QueuedMessage::control(Some(check.clone()), now, bytes);
        connection.enqueue(now, message, ExchangeOwner::HealthCheck);
        let sent = SentCheck { connection: id, id: check };
        self.health_checks.deadlines.insert(now + self.limits.upstreams.health_check_timeout_ms, sent);
        self.flush(now, id);
    }

    /// Fails checks whose deadline has passed, and drains their connections.
    pub(super) fn time_out_health_checks(&mut self, now: Ms) {
        while let Some(check) = self.health_checks.deadlines.pop_overdue(now) {
            let Some(connection) = self.connections.get_mut(&check.connection) else { continue };
            if connection.open.remove(&check.id).is_some() {
                connection.draining = true;
                let endpoint = connection.endpoint;
                // A check that this machine could not send says nothing about the endpoint.
                if !connection.is_waiting() {
                    self.health_checks.fail(endpoint);
                }
                self.close_if_drained(check.connection);
            }
        }
    }
}
