//! Whether a server does its work: a mechanical judge whose every figure is given by whoever uses it.

use crate::interface::Ms;
use crate::measure::Mean;

/// When a server is taken out, and how it comes back.
#[derive(Debug, Clone, Copy)]
pub struct HealthRule {
    /// Weight of a new answer in the share of bad ones, and the share at which it is taken out.
    pub weight: f64,
    pub bad: f64,
    /// How long it is left alone at first, how many times longer for each failed way back, and at the longest.
    pub out_first: Ms,
    pub longer: f64,
    pub out_longest: Ms,
    /// Good trials in a row, one at a time, after which it is trusted again.
    pub trials: u32,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Up,
    /// Left alone until then.
    Out {
        until: Ms,
    },
    /// On its way back: good trials so far, and whether one is out.
    Trial {
        good: u32,
        out: bool,
    },
}

#[derive(Debug, Clone, Copy)]
pub struct Health {
    state: State,
    bad: Mean,
    /// How long it was left alone the last time.
    span: Ms,
}

impl Default for Health {
    fn default() -> Self {
        Self { state: State::Up, bad: Mean::new(0.0), span: 0.0 }
    }
}

impl Health {
    pub fn is_up(&self) -> bool {
        self.state == State::Up
    }

    pub fn is_out(&self) -> bool {
        matches!(self.state, State::Out { .. })
    }

    pub fn on_trial(&self) -> bool {
        matches!(self.state, State::Trial { .. })
    }

    /// Whether it may be asked something now.
    pub fn admits(&self) -> bool {
        matches!(self.state, State::Up | State::Trial { out: false, .. })
    }

    /// Notes that it was asked something.
    pub fn asked(&mut self) {
        if let State::Trial { out, .. } = &mut self.state {
            *out = true;
        }
    }

    /// Takes it out: for longer if it was on its way back.
    pub fn take_out(&mut self, now: Ms, rule: &HealthRule) {
        let again = self.on_trial();
        self.span = if again { (self.span * rule.longer).min(rule.out_longest) } else { rule.out_first };
        self.state = State::Out { until: now + self.span };
    }

    /// Lets it try again once its time is over.
    pub fn look(&mut self, now: Ms) {
        if matches!(self.state, State::Out { until } if now >= until) {
            self.state = State::Trial { good: 0, out: false };
        }
    }

    /// Takes it out unless it is out already.
    pub fn keep_out(&mut self, now: Ms, rule: &HealthRule) {
        if !self.is_out() {
            self.take_out(now, rule);
        }
    }

    /// Takes in one answer, good or bad; `None` tells nothing of it.
    pub fn judge(&mut self, now: Ms, good: Option<bool>, rule: &HealthRule) {
        if let Some(good) = good {
            self.bad.blend(f64::from(u8::from(!good)), rule.weight);
        }
        match (self.state, good) {
            (State::Up, Some(false)) if self.bad.value > rule.bad => self.take_out(now, rule),
            (State::Trial { .. }, Some(false)) => self.take_out(now, rule),
            (State::Trial { good, .. }, Some(true)) if good + 1 >= rule.trials => *self = Self::default(),
            (State::Trial { good, .. }, Some(true)) => {
                self.state = State::Trial { good: good + 1, out: false };
            }
            (State::Trial { good, .. }, None) => self.state = State::Trial { good, out: false },
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const RULE: HealthRule =
        HealthRule { weight: 0.5, bad: 0.6, out_first: 100.0, longer: 2.0, out_longest: 300.0, trials: 2 };

    #[test]
    fn failures_take_it_out_and_good_trials_one_by_one_bring_it_back() {
        let mut health = Health::default();
        health.judge(0.0, Some(false), &RULE);
        assert!(health.is_up(), "one failure is borne");
        health.judge(0.0, Some(false), &RULE);
        assert!(health.is_out() && !health.admits());
        health.look(99.0);
        assert!(health.is_out());
        health.look(100.0);
        assert!(health.on_trial() && health.admits());
        health.asked();
        assert!(!health.admits(), "one trial at a time");
        health.judge(110.0, Some(true), &RULE);
        health.asked();
        health.judge(120.0, None, &RULE);
        assert!(health.admits() && health.on_trial());
        health.judge(130.0, Some(true), &RULE);
        assert!(health.is_up());
    }

    #[test]
    fn each_failed_way_back_takes_longer_up_to_a_limit() {
        let mut health = Health::default();
        health.take_out(0.0, &RULE);
        let mut now = 0.0;
        for span in [100.0, 200.0, 300.0, 300.0] {
            health.look(now + span - 1.0);
            assert!(health.is_out());
            now += span;
            health.look(now);
            health.judge(now, Some(false), &RULE);
        }
    }
}
