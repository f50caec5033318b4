//! The pauses between attempts to connect, and whether a link flaps.

use std::collections::VecDeque;

use linnethook::interface::Ms;

use crate::heartbeat::HeartbeatConfig;

/// The pauses between attempts to connect.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReconnectConfig {
    /// The first pause, in milliseconds.
    pub initial_delay: Ms,
    /// By how much each pause is longer than the one before.
    pub delay_multiplier: f64,
    /// The longest pause, in milliseconds.
    pub max_delay: Ms,
    /// After a connection that lasted so long, in milliseconds, the next pause is the first one again.
    pub reset_after: Ms,
}

impl Default for ReconnectConfig {
    fn default() -> Self {
        Self { initial_delay: 50.0, delay_multiplier: 2.0, max_delay: 2_000.0, reset_after: 5_000.0 }
    }
}

/// The backoff of one connection that this side opens.
#[derive(Debug, Clone)]
pub struct ReconnectBackoff {
    config: ReconnectConfig,
    flap_threshold: usize,
    flap_window: Ms,
    delay: Ms,
    up_since: Option<Ms>,
    /// When the connection went down, the oldest first.
    downs: VecDeque<Ms>,
}

impl ReconnectBackoff {
    /// A connection that was not tried yet. When it flaps is a setting of the heartbeat.
    pub fn new(config: ReconnectConfig, heartbeat: HeartbeatConfig) -> Self {
        Self {
            config,
            flap_threshold: heartbeat.flap_threshold,
            flap_window: heartbeat.flap_window,
            delay: config.initial_delay,
            up_since: None,
            downs: VecDeque::new(),
        }
    }

    /// The connection came up.
    pub fn record_up(&mut self, now: Ms) {
        self.up_since = Some(now);
    }

    /// The connection went down or could not be made; the time of the next attempt. `draw` is a random number from 0
    /// to 1 for the jitter, so that not all gateways reconnect at once.
    pub fn record_down(&mut self, now: Ms, draw: f64) -> Ms {
        let up_since = self.up_since.take();
        if up_since.is_some() {
            self.downs.push_back(now);
            if self.downs.len() > self.flap_threshold.max(1) {
                self.downs.pop_front();
            }
        }
        if up_since.is_some_and(|since| now - since >= self.config.reset_after) {
            self.delay = self.config.initial_delay;
        }
        let pause = self.delay * (0.5 + 0.5 * draw.clamp(0.0, 1.0));
        self.delay = (self.delay * self.config.delay_multiplier).min(self.config.max_delay);
        now + pause
    }

    /// Whether the connection went down so often of late that being up tells little.
    pub fn is_flapping(&self, now: Ms) -> bool {
        let recent = self.downs.iter().filter(|at| now - **at < self.flap_window).count();
        recent >= self.flap_threshold
    }
}
