//! The limit on requests in flight to a site, adjusted by additive increase and multiplicative decrease
//! according to whether answers meet their latency objective.
//!
//! The window never exceeds its maximum, and always allows at least one request, so that a recovery can be
//! detected.

use linnethook::interface::Ms;

use crate::flow_control::Priority;

/// The settings of a window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConcurrencyWindowConfig {
    /// The initial window, which is also the largest one right after an outage.
    pub initial: f64,
    /// Minimum window.
    pub min: f64,
    /// Maximum window.
    pub max: f64,
    /// The ratio of late answers above which the window is decreased.
    pub max_late_ratio: f64,
    /// The weight of one request in this ratio and in the mean length of answers.
    pub sample_weight: f64,
    /// The factor by which the window is decreased.
    pub decrease_factor: f64,
    /// Minimum time between two decreases, in milliseconds.
    pub decrease_interval: Ms,
    /// The fractions of the window that bookings, first parts and later parts may use.
    pub priority_shares: [f64; 3],
    /// Maximum number of bytes of answers that may be expected at a time.
    pub max_expected_bytes: f64,
}

impl Default for ConcurrencyWindowConfig {
    fn default() -> Self {
        Self {
            initial: 8.0,
            min: 2.0,
            max: 256.0,
            max_late_ratio: 0.1,
            sample_weight: 0.05,
            decrease_factor: 0.7,
            decrease_interval: 200.0,
            priority_shares: [1.0, 0.9, 0.75],
            max_expected_bytes: (4 << 20) as f64,
        }
    }
}

/// The increase of the window after a full window of answers in time.
const INCREASE_PER_WINDOW: f64 = 4.0;

/// The window is increased only while at least this fraction of it is in use.
const MIN_USED_RATIO: f64 = 0.5;

/// The window of one site.
#[derive(Debug, Clone)]
pub struct ConcurrencyWindow {
    config: ConcurrencyWindowConfig,
    limit: f64,
    in_flight: u32,
    late_ratio: f64,
    decreased_at: Ms,
    mean_answer_bytes: f64,
}

impl ConcurrencyWindow {
    /// Creates the window of a site without any recorded requests.
    pub fn new(config: ConcurrencyWindowConfig) -> Self {
        Self {
            config,
            limit: config.initial,
            in_flight: 0,
            late_ratio: 0.0,
            decreased_at: f64::NEG_INFINITY,
            mean_answer_bytes: 0.0,
        }
    }

    /// Resets the window after the site was unreachable: it is at most the initial one.
    pub fn reset(&mut self) {
        self.limit = self.config.initial.min(self.limit);
        self.late_ratio = 0.0;
    }

    /// The number of requests that may be in flight.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// The number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether one more request may be sent. One request is always allowed.
    pub fn may_send(&self, priority: Priority) -> bool {
        let share = self.config.priority_shares[priority as usize];
        let count = f64::from(self.in_flight) + 1.0;
        let is_within_byte_limit =
            (count * self.mean_answer_bytes) <= self.config.max_expected_bytes || self.in_flight == 0;
        count <= (self.limit * share).max(1.0) && is_within_byte_limit
    }

    /// Records that a request is sent.
    pub fn start_request(&mut self) {
        self.in_flight += 1;
    }

    /// Records the end of a request. `is_late` is whether it missed its latency objective or failed; `None`
    /// if its end has no bearing on the site. `answer_bytes` is the length of its answer, if it has one.
    pub fn finish_request(&mut self, now: Ms, is_late: Option<bool>, answer_bytes: Option<f64>) {
        let is_used = f64::from(self.in_flight) >= self.limit * MIN_USED_RATIO;
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(bytes) = answer_bytes {
            self.mean_answer_bytes += (bytes - self.mean_answer_bytes) * self.config.sample_weight;
        }
        let Some(is_late) = is_late else { return };
        self.late_ratio += (f64::from(u8::from(is_late)) - self.late_ratio) * self.config.sample_weight;
        if self.late_ratio > self.config.max_late_ratio {
            self.decrease(now);
        } else if is_used && !is_late {
            let increase = 1.0 / self.limit.max(1.0) * INCREASE_PER_WINDOW;
            self.limit = (self.limit + increase).min(self.config.max);
        }
    }

    fn decrease(&mut self, now: Ms) {
        if now - self.decreased_at >= self.config.decrease_interval {
            self.decreased_at = now;
            self.limit = (self.limit * self.config.decrease_factor).max(self.config.min);
            self.late_ratio *= self.config.decrease_factor;
        }
    }
}
