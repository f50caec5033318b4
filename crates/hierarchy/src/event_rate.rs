//! An exponentially weighted rate of events.

use linnethook::interface::Ms;

/// A rate is computed over at least the window divided by this: over a shorter time, single events would give
/// a high rate.
const MIN_HISTORY_DIVISOR: f64 = 5.0;

/// Events per second, in which the weight of past events decays exponentially over a window.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventRate {
    decayed_sum: f64,
    updated_at: Ms,
    first_event: Option<Ms>,
}

impl EventRate {
    /// Adds an amount of events; a negative amount subtracts earlier ones.
    pub fn add(&mut self, now: Ms, amount: f64, window: Ms) {
        self.first_event.get_or_insert(now);
        self.decayed_sum = (self.decayed_sum_at(now, window) + amount).max(0.0);
        self.updated_at = now;
    }

    fn decayed_sum_at(&self, now: Ms, window: Ms) -> f64 {
        self.decayed_sum * (-(now - self.updated_at).max(0.0) / window).exp()
    }

    /// Milliseconds since the first event; 0 without events.
    pub fn age(&self, now: Ms) -> Ms {
        self.first_event.map_or(0.0, |first_event| now - first_event)
    }

    /// Events per second, corrected for a history that is shorter than the window.
    pub fn per_second(&self, now: Ms, window: Ms) -> f64 {
        let Some(first_event) = self.first_event else { return 0.0 };
        let history = (now - first_event).max(window / MIN_HISTORY_DIVISOR);
        let history_weight = 1.0 - (-history / window).exp();
        self.decayed_sum_at(now, window) / (window * history_weight) * 1000.0
    }
}
