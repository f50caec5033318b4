//! Deadlines of attempts, health checks, connects, queued messages and idle connections.

use crate::event_handler::EventHandler;
use crate::policy_adapter::{AttemptEnd, Ms};

use super::Upstreams;

impl<W: EventHandler> Upstreams<W> {
    /// The earliest deadline, in milliseconds, at which [`Self::on_timer`] has work.
    pub fn next_deadline(&self) -> Option<Ms> {
        let attempts = self.attempts.next_deadline();
        let health_checks = self.health_checks.next_deadline();
        let connections = self.connections.values().map(|connection| {
            connection
                .connect_deadline()
                .unwrap_or(connection.last_used + self.limits.upstreams.idle_timeout_ms)
        });
        let up = self.connections.values().filter(|connection| connection.is_up());
        let queues = up.filter_map(|connection| {
            connection.queue.front().map(|queued| queued.queued_at + self.limits.upstreams.connect_timeout_ms)
        });
        let retries = self.retries.next_deadline();
        let single = attempts.into_iter().chain(health_checks).chain(retries);
        single.chain(connections).chain(queues).reduce(Ms::min)
    }

    /// Ends attempts, health checks and connects that timed out, withdraws attempts that were queued too
    /// long, and closes idle connections.
    pub fn on_timer(&mut self, now: Ms) {
        self.retry(now);
        let overdue = std::iter::from_fn(|| self.attempts.pop_overdue(now)).collect();
        self.abandon_all(now, overdue, AttemptEnd::TimedOut);
        self.withdraw_unsendable(now);
        self.time_out_health_checks(now);
        // The decisions behind messages that were queued for so long are outdated.
        let oldest = now - self.limits.upstreams.connect_timeout_ms;
        self.withdraw(now, AttemptEnd::TimedOut, |_, queued| queued.queued_at <= oldest);
        self.close_overdue_connections(now);
    }

    fn close_overdue_connections(&mut self, now: Ms) {
        let mut overdue = Vec::new();
        let mut idle = Vec::new();
        for (&id, connection) in &mut self.connections {
            match connection.connect_deadline() {
                Some(deadline) if now >= deadline => overdue.push(id),
                None if now >= connection.last_used + self.limits.upstreams.idle_timeout_ms => {
                    // A connection with open messages is checked again after the same time.
                    connection.last_used = now;
                    if connection.open.is_empty() {
                        idle.push(id);
                    }
                }
                _ => {}
            }
        }
        for id in overdue {
            self.close(now, id, "connect timed out");
        }
        for id in idle {
            self.remove(id);
        }
    }
}
