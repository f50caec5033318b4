//! Backoff between connection attempts, and detection of flapping links.

use std::collections::VecDeque;

use linnethook::interface::Ms;

use crate::heartbeat::HeartbeatConfig;

/// The settings of the backoff.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReconnectConfig {
    /// Initial delay, in milliseconds.
    pub initial_delay: Ms,
    /// The factor by which each delay is longer than the previous one.
    pub delay_multiplier: f64,
    /// Maximum delay, in milliseconds.
    pub max_delay: Ms,
    /// The duration of a connection, in milliseconds, after which the backoff is reset.
    pub reset_after: Ms,
}

impl Default for ReconnectConfig {
    fn default() -> Self {
        Self { initial_delay: 50.0, delay_multiplier: 2.0, max_delay: 2_000.0, reset_after: 5_000.0 }
    }
}

/// The backoff of one dialled connection.
#[derive(Debug, Clone)]
pub struct ReconnectBackoff {
    config: ReconnectConfig,
    flap_threshold: usize,
    flap_window: Ms,
    delay: Ms,
    up_since: Option<Ms>,
    /// The times of the latest disconnects, the oldest first.
    disconnect_times: VecDeque<Ms>,
}

impl ReconnectBackoff {
    /// Creates the backoff of a connection that was not tried yet. The thresholds for flapping are taken from
    /// `heartbeat`.
    pub fn new(config: ReconnectConfig, heartbeat: HeartbeatConfig) -> Self {
        Self {
            config,
            flap_threshold: heartbeat.flap_threshold,
            flap_window: heartbeat.flap_window,
            delay: config.initial_delay,
            up_since: None,
            disconnect_times: VecDeque::new(),
        }
    }

    /// Records that the connection was established.
    pub fn record_up(&mut self, now: Ms) {
        self.up_since = Some(now);
    }

    /// Records that the connection was lost or could not be established, and returns the time of the next
    /// attempt. `draw` is a random number from 0 to 1 for the jitter, so that gateways do not all reconnect
    /// at the same time.
    pub fn record_down(&mut self, now: Ms, draw: f64) -> Ms {
        let up_since = self.up_since.take();
        if up_since.is_some() {
            self.disconnect_times.push_back(now);
            if self.disconnect_times.len() > self.flap_threshold.max(1) {
                self.disconnect_times.pop_front();
            }
        }
        if up_since.is_some_and(|since| now - since >= self.config.reset_after) {
            self.delay = self.config.initial_delay;
        }
        let delay = self.delay * (0.5 + 0.5 * draw.clamp(0.0, 1.0));
        self.delay = (self.delay * self.config.delay_multiplier).min(self.config.max_delay);
        now + delay
    }

    /// Whether the connection went down so often recently that it may go down again at any time.
    pub fn is_flapping(&self, now: Ms) -> bool {
        let recent = self.disconnect_times.iter().filter(|at| now - **at < self.flap_window).count();
        recent >= self.flap_threshold
    }
}
