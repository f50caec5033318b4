//! Health checks: sent to an endpoint on order, answered or timed out.

use std::collections::{BTreeSet, VecDeque};

use crate::event_handler::EventHandler;
use crate::policy_adapter::{micros, EndpointKey, Ms};

use super::codec;
use super::connection::{ConnectionId, ExchangeOwner, QueuedMessage};
use super::Upstreams;

/// The result of a health check.
#[derive(Debug)]
pub struct HealthCheckResult {
    pub endpoint: EndpointKey,
    pub healthy: bool,
    /// The load report, by the names of its values.
    pub gauges: Vec<(String, f64)>,
}

/// Health checks that were sent, and results that were not taken yet.
#[derive(Debug, Default)]
pub(super) struct HealthChecks {
    sent: u64,
    /// Deadlines in microseconds, with the connection and the id of the check.
    deadlines: BTreeSet<(u64, ConnectionId, String)>,
    results: VecDeque<HealthCheckResult>,
}

impl HealthChecks {
    fn next_id(&mut self) -> String {
        self.sent += 1;
        format!("probe-{}", self.sent)
    }

    pub fn report(&mut self, endpoint: EndpointKey, healthy: bool, gauges: Vec<(String, f64)>) {
        self.results.push_back(HealthCheckResult { endpoint, healthy, gauges });
    }

    /// Reports a check that was not answered.
    pub fn fail(&mut self, endpoint: EndpointKey) {
        self.report(endpoint, false, Vec::new());
    }

    pub fn next_deadline(&self) -> Option<Ms> {
        self.deadlines.first().map(|(deadline, ..)| *deadline as Ms / 1000.0)
    }

    /// The next check whose deadline has passed; the deadline is forgotten, though the check may have been answered.
    fn pop_overdue(&mut self, now: Ms) -> Option<(ConnectionId, String)> {
        let overdue = self.deadlines.first().is_some_and(|(deadline, ..)| *deadline <= micros(now));
        let (_, connection, id) = if overdue { self.deadlines.pop_first()? } else { return None };
        Some((connection, id))
    }
}

impl<W: EventHandler> Upstreams<W> {
    /// The next result.
    pub fn next_health_check(&mut self) -> Option<HealthCheckResult> {
        self.health_checks.results.pop_front()
    }

    pub fn send_health_check(&mut self, now: Ms, endpoint: EndpointKey) {
        let check = self.health_checks.next_id();
        let Some(id) = self.connection_for(now, endpoint, &check) else {
            return self.health_checks.fail(endpoint);
        };
        let bytes = codec::encode_health_check(&self.buffers, &check);
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let message = QueuedMessage::control(Some(check.clone()), now, bytes);
        connection.enqueue(now, message, ExchangeOwner::HealthCheck);
        self.health_checks.deadlines.insert((
            micros(now + self.limits.upstreams.health_check_timeout_ms),
            id,
            check,
        ));
        self.flush(now, id);
    }

    /// Fails checks that were not answered in time.
    pub(super) fn time_out_health_checks(&mut self, now: Ms) {
        while let Some((id, check)) = self.health_checks.pop_overdue(now) {
            let Some(connection) = self.connections.get_mut(&id) else { continue };
            if connection.open.remove(&check).is_some() {
                connection.draining = true;
                let endpoint = connection.endpoint;
                self.health_checks.fail(endpoint);
                self.close_if_drained(id);
            }
        }
    }
}
