//! Owns how much may be under way to one site at a time, by what the way there was seen to carry.
//!
//! Additive increase, multiplicative decrease over whether answers come within their wanted time. Must never let more
//! out than its most, nor shut so far that nothing tells it that all is well again.

use linnethook::interface::Ms;

use crate::flow_control::Priority;

/// How a window moves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConcurrencyWindowConfig {
    /// Requests under way: at the beginning and after a cut, at the least, and at the most.
    pub initial: f64,
    pub min: f64,
    pub max: f64,
    /// The share of late ones that is borne, the weight of one in it, the factor of a cut, and the pause between two.
    pub max_late_ratio: f64,
    pub sample_weight: f64,
    pub decrease_factor: f64,
    pub decrease_interval: Ms,
    /// The parts of the window that bookings, first parts and the rest may fill.
    pub priority_shares: [f64; 3],
    /// Bytes of answers that may be expected at a time.
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

/// The window of one site.
#[derive(Debug, Clone)]
pub struct ConcurrencyWindow {
    config: ConcurrencyWindowConfig,
    limit: f64,
    in_flight: u32,
    late_ratio: f64,
    decreased_at: Ms,
    /// The usual length of an answer.
    mean_answer_bytes: f64,
}

impl ConcurrencyWindow {
    pub fn new(rule: ConcurrencyWindowConfig) -> Self {
        Self {
            config: rule,
            limit: rule.initial,
            in_flight: 0,
            late_ratio: 0.0,
            decreased_at: f64::NEG_INFINITY,
            mean_answer_bytes: 0.0,
        }
    }

    /// The way there was cut: it begins anew.
    pub fn reset(&mut self) {
        (self.limit, self.late_ratio) = (self.config.initial.min(self.limit), 0.0);
    }

    pub fn limit(&self) -> f64 {
        self.limit
    }

    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether one more may go.
    pub fn may_send(&self, priority: Priority) -> bool {
        let share = self.config.priority_shares[priority as usize];
        let count = f64::from(self.in_flight) + 1.0;
        let bytes = (count * self.mean_answer_bytes) <= self.config.max_expected_bytes || self.in_flight == 0;
        count <= (self.limit * share).max(1.0) && bytes
    }

    pub fn start_request(&mut self) {
        self.in_flight += 1;
    }

    /// One has ended; `late` where it came after the time wanted, or not at all. `length` is that of its answer.
    pub fn finish_request(&mut self, now: Ms, late: Option<bool>, length: Option<f64>) {
        let full = f64::from(self.in_flight) >= self.limit * 0.5;
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(length) = length {
            self.mean_answer_bytes += (length - self.mean_answer_bytes) * self.config.sample_weight;
        }
        let Some(late) = late else { return };
        self.late_ratio += (f64::from(u8::from(late)) - self.late_ratio) * self.config.sample_weight;
        if self.late_ratio > self.config.max_late_ratio {
            if now - self.decreased_at >= self.config.decrease_interval {
                self.decreased_at = now;
                self.limit = (self.limit * self.config.decrease_factor).max(self.config.min);
                self.late_ratio *= self.config.decrease_factor;
            }
        } else if full && !late {
            // What is not used need not grow.
            self.limit = (self.limit + 1.0 / self.limit.max(1.0) * 4.0).min(self.config.max);
        }
    }
}
