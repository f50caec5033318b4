//! Owns how much may be under way to one site at a time, by what the way there was seen to carry.
//!
//! Additive increase, multiplicative decrease over whether answers come within their wanted time. Must never let more
//! out than its most, nor shut so far that nothing tells it that all is well again.

use linnethook::interface::Ms;

use crate::streams::Priority;

/// How a window moves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowRule {
    /// Requests under way: at the beginning and after a cut, at the least, and at the most.
    pub first: f64,
    pub least: f64,
    pub most: f64,
    /// The share of late ones that is borne, the weight of one in it, the factor of a cut, and the pause between two.
    pub bear: f64,
    pub weight: f64,
    pub cut: f64,
    pub pause: Ms,
    /// The parts of the window that bookings, first parts and the rest may fill.
    pub shares: [f64; 3],
    /// Bytes of answers that may be expected at a time.
    pub bytes: f64,
}

impl Default for WindowRule {
    fn default() -> Self {
        Self {
            first: 8.0,
            least: 2.0,
            most: 256.0,
            bear: 0.1,
            weight: 0.05,
            cut: 0.7,
            pause: 200.0,
            shares: [1.0, 0.9, 0.75],
            bytes: (4 << 20) as f64,
        }
    }
}

/// The window of one site.
#[derive(Debug, Clone)]
pub struct Window {
    rule: WindowRule,
    limit: f64,
    out: u32,
    late: f64,
    cut_at: Ms,
    /// The usual length of an answer.
    length: f64,
}

impl Window {
    pub fn new(rule: WindowRule) -> Self {
        Self { rule, limit: rule.first, out: 0, late: 0.0, cut_at: f64::NEG_INFINITY, length: 0.0 }
    }

    /// The way there was cut: it begins anew.
    pub fn reset(&mut self) {
        (self.limit, self.late) = (self.rule.first.min(self.limit), 0.0);
    }

    pub fn limit(&self) -> f64 {
        self.limit
    }

    pub fn out(&self) -> u32 {
        self.out
    }

    /// Whether one more may go.
    pub fn takes(&self, priority: Priority) -> bool {
        let share = self.rule.shares[priority as usize];
        let count = f64::from(self.out) + 1.0;
        let bytes = (count * self.length) <= self.rule.bytes || self.out == 0;
        count <= (self.limit * share).max(1.0) && bytes
    }

    pub fn begin(&mut self) {
        self.out += 1;
    }

    /// One has ended; `late` where it came after the time wanted, or not at all. `length` is that of its answer.
    pub fn end(&mut self, now: Ms, late: Option<bool>, length: Option<f64>) {
        let full = f64::from(self.out) >= self.limit * 0.5;
        self.out = self.out.saturating_sub(1);
        if let Some(length) = length {
            self.length += (length - self.length) * self.rule.weight;
        }
        let Some(late) = late else { return };
        self.late += (f64::from(u8::from(late)) - self.late) * self.rule.weight;
        if self.late > self.rule.bear {
            if now - self.cut_at >= self.rule.pause {
                self.cut_at = now;
                self.limit = (self.limit * self.rule.cut).max(self.rule.least);
                self.late *= self.rule.cut;
            }
        } else if full && !late {
            // What is not used need not grow.
            self.limit = (self.limit + 1.0 / self.limit.max(1.0) * 4.0).min(self.rule.most);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Against a way that bears 20 at a time, whatever it began with: it comes near that and stays there.
    #[test]
    fn it_finds_what_the_way_bears() {
        for first in [2.0, 200.0] {
            let mut window = Window::new(WindowRule { first, ..WindowRule::default() });
            let (mut now, mut sum) = (0.0, 0.0);
            for turn in 0..4_000 {
                now += 10.0;
                while window.takes(Priority::Booking) {
                    window.begin();
                }
                let late = window.out() > 20;
                (0..window.out().div_ceil(4)).for_each(|_| window.end(now, Some(late), Some(1_000.0)));
                if turn >= 2_000 {
                    sum += window.limit() / 2_000.0;
                }
            }
            assert!((10.0..=32.0).contains(&sum), "{sum} from {first}");
        }
    }

    #[test]
    fn bookings_have_room_where_the_rest_has_none_and_something_always_goes() {
        let mut window = Window::new(WindowRule { bytes: 10_000.0, ..WindowRule::default() });
        let mut count = |priority, least: u32| {
            while window.takes(priority) {
                window.begin();
            }
            assert_eq!(window.out(), least, "{priority:?}");
        };
        count(Priority::Rest, 6);
        count(Priority::First, 7);
        count(Priority::Booking, 8);
        for n in 0..300 {
            window.end(f64::from(n) * 1_000.0, Some(true), Some(9_000.0));
        }
        assert_eq!((window.limit(), window.out()), (2.0, 0));
        assert!(window.takes(Priority::Rest));
        window.begin();
        assert!(!window.takes(Priority::Booking), "two such answers are more bytes than may be expected");
        let limit = window.limit();
        window.reset();
        assert!(window.limit() <= limit);
    }
}
