//! Owns how a link is felt: whether the other side is still there, by accrual over what comes in (Hayashibara 2004),
//! and when to try again where it is not.
//!
//! Every byte that comes in is a sign of life, and so is an answered ping. Must never call a link down sooner or later
//! than its bounds, whatever was seen before.

use std::collections::VecDeque;

use linnethook::interface::Ms;

/// How a link is felt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PulseRule {
    /// How often the other side is pinged.
    pub every: Ms,
    /// Gaps between signs of life that are remembered.
    pub gaps: usize,
    /// A gap counts as at least so uneven.
    pub least_spread: Ms,
    /// The suspicion at which it is silent: the chance that it is not is one in ten to that.
    pub phi: f64,
    /// It is never called silent sooner than after the first, and always after the second.
    pub least: Ms,
    pub most: Ms,
    /// An answer to a ping that takes that many times the best one: the link is slow.
    pub slow: f64,
    /// So often down within so long: the link flaps.
    pub flaps: usize,
    pub flap_span: Ms,
}

impl Default for PulseRule {
    fn default() -> Self {
        Self {
            every: 60.0,
            gaps: 64,
            least_spread: 20.0,
            phi: 8.0,
            least: 400.0,
            most: 2_000.0,
            slow: 8.0,
            flaps: 3,
            flap_span: 10_000.0,
        }
    }
}

/// What a link is like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Feel {
    Well,
    /// Pings are answered, far later than they can be.
    Slow,
    /// What is sent is not answered, though something comes in: one direction is dead.
    HalfOpen,
    /// Nothing comes in.
    Silent,
}

impl Feel {
    /// The name that commands print.
    pub fn name(self) -> &'static str {
        match self {
            Self::Well => "well",
            Self::Slow => "slow",
            Self::HalfOpen => "halfopen",
            Self::Silent => "silent",
        }
    }
}

#[derive(Debug, Clone)]
pub struct Pulse {
    rule: PulseRule,
    gaps: VecDeque<f64>,
    heard: Ms,
    /// The ping that is out: its number, and since when.
    out: Option<(u64, Ms)>,
    last: u64,
    best: f64,
    trip: f64,
    /// When the latest ping that was answered had been sent.
    proven: Option<Ms>,
}

impl Pulse {
    /// A session that has just come up.
    pub fn new(now: Ms, rule: PulseRule) -> Self {
        let (gaps, out) = (VecDeque::from([rule.every]), None);
        Self { rule, gaps, heard: now, out, last: 0, best: f64::INFINITY, trip: 0.0, proven: None }
    }

    /// Something came in.
    pub fn heard(&mut self, now: Ms) {
        let gap = now - self.heard;
        // What comes in one breath is one sign.
        if gap >= 1.0 {
            if self.gaps.len() >= self.rule.gaps.max(1) {
                self.gaps.pop_front();
            }
            self.gaps.push_back(gap.min(self.rule.most));
            self.heard = now;
        }
    }

    /// The number of a ping to be sent now, if one is due. One that was not answered is not followed by others.
    pub fn ping(&mut self, now: Ms) -> Option<u64> {
        let due = match self.out {
            Some(_) => false,
            None => self.last == 0 || now - self.heard >= self.rule.every / 2.0 || self.trip > 0.0,
        };
        if !due {
            return None;
        }
        self.last += 1;
        self.out = Some((self.last, now));
        Some(self.last)
    }

    /// A ping was answered. An answer to another number than the one that is out tells nothing.
    pub fn pong(&mut self, now: Ms, number: u64) {
        self.heard(now);
        if let Some((_, since)) = self.out.filter(|(out, _)| *out == number) {
            self.out = None;
            self.proven = Some(since);
            let took = (now - since).max(0.1);
            self.best = self.best.min(took);
            self.trip += (took - self.trip) * if self.trip > 0.0 { 0.3 } else { 1.0 };
        }
    }

    /// All that the other side had said up to then is here: its answer to a ping comes behind that.
    pub fn proven(&self) -> Option<Ms> {
        self.proven
    }

    /// How long an answer to a ping takes; 0 where none came yet.
    pub fn trip(&self) -> Ms {
        self.trip
    }

    /// How unlikely it is that nothing came for so long if the other side is there: -log10 of that chance.
    pub fn phi(&self, now: Ms) -> f64 {
        let count = self.gaps.len().max(1) as f64;
        let mean = self.gaps.iter().sum::<f64>() / count;
        let variance = self.gaps.iter().map(|gap| (gap - mean).powi(2)).sum::<f64>() / count;
        let spread = variance.sqrt().max(self.rule.least_spread);
        let y = (now - self.heard - mean) / spread;
        // The logistic approximation of the normal distribution's tail; far out its logarithm by parts.
        let exponent = y * (1.5976 + 0.070566 * y * y);
        match exponent > 300.0 {
            true => exponent / std::f64::consts::LN_10,
            false => -(1.0 / (1.0 + exponent.exp())).log10(),
        }
    }

    /// What the link is like now.
    pub fn feel(&self, now: Ms) -> Feel {
        let quiet = now - self.heard;
        let (least, most) = (self.rule.least, self.rule.most);
        if quiet >= most || (quiet >= least && self.phi(now) >= self.rule.phi) {
            return Feel::Silent;
        }
        match self.out {
            Some((_, since)) if now - since >= most => Feel::HalfOpen,
            _ if self.trip > self.best * self.rule.slow && self.trip > self.rule.least_spread => Feel::Slow,
            _ => Feel::Well,
        }
    }

    /// When it has to be looked at again.
    pub fn next(&self, now: Ms) -> Ms {
        (self.heard + self.rule.least).max(now + self.rule.every / 4.0).min(now + self.rule.every)
    }
}

/// When a link that is down is tried again.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryRule {
    pub first: Ms,
    pub longer: f64,
    pub longest: Ms,
    /// So long up, and the next pause is the first one again.
    pub well: Ms,
}

impl Default for RetryRule {
    fn default() -> Self {
        Self { first: 50.0, longer: 2.0, longest: 2_000.0, well: 5_000.0 }
    }
}

/// The pauses between tries, and how often the link went down.
#[derive(Debug, Clone)]
pub struct Retry {
    rule: RetryRule,
    flap: PulseRule,
    pause: Ms,
    up_since: Option<Ms>,
    downs: VecDeque<Ms>,
}

impl Retry {
    pub fn new(rule: RetryRule, flap: PulseRule) -> Self {
        Self { rule, flap, pause: rule.first, up_since: None, downs: VecDeque::new() }
    }

    /// The link came up.
    pub fn up(&mut self, now: Ms) {
        self.up_since = Some(now);
    }

    /// It went down, or could not be had; the time of the next try. `draw` is from 0 up to 1: full jitter, so that not
    /// all come at once.
    pub fn down(&mut self, now: Ms, draw: f64) -> Ms {
        let up = self.up_since.take();
        if up.is_some() {
            self.downs.push_back(now);
            if self.downs.len() > self.flap.flaps.max(1) {
                self.downs.pop_front();
            }
        }
        if up.is_some_and(|since| now - since >= self.rule.well) {
            self.pause = self.rule.first;
        }
        let wait = self.pause * (0.5 + 0.5 * draw.clamp(0.0, 1.0));
        self.pause = (self.pause * self.rule.longer).min(self.rule.longest);
        now + wait
    }

    /// Whether it went down so often of late that being up tells little.
    pub fn flaps(&self, now: Ms) -> bool {
        let lately = self.downs.iter().filter(|at| now - **at < self.flap.flap_span).count();
        lately >= self.flap.flaps
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Signs of life that often, up to then; how long after the last one it is called silent.
    fn silent_after(rule: PulseRule, every: Ms, jitter: Ms) -> Ms {
        let mut pulse = Pulse::new(0.0, rule);
        let mut now = 0.0;
        for n in 0..200 {
            now += every + if n % 2 == 0 { jitter } else { -jitter };
            pulse.heard(now);
            assert_eq!(pulse.feel(now), Feel::Well);
        }
        let heard = now;
        while pulse.feel(now) != Feel::Silent {
            now += 5.0;
        }
        now - heard
    }

    #[test]
    fn silence_is_told_by_what_was_usual_and_within_bounds() {
        let rule = PulseRule::default();
        let (even, uneven) = (silent_after(rule, 200.0, 5.0), silent_after(rule, 300.0, 150.0));
        assert!((400.0..=450.0).contains(&even), "{even}");
        assert!(uneven > even + 300.0 && uneven <= 2_000.0, "{uneven}");
        assert!(silent_after(rule, 10.0, 1.0) >= 400.0, "never sooner than its bound");
        assert!(silent_after(rule, 1_500.0, 400.0) <= 2_005.0, "never later");
    }

    #[test]
    fn a_slow_link_and_a_half_open_one_are_told_from_a_silent_one() {
        let rule = PulseRule::default();
        let mut pulse = Pulse::new(0.0, rule);
        let mut now = 0.0;
        for _ in 0..10 {
            let number = pulse.ping(now).expect("a ping is due");
            assert_eq!(pulse.ping(now + 1.0), None, "one at a time");
            pulse.pong(now + 10.0, number + 7);
            pulse.pong(now + 10.0, number);
            now += 200.0;
        }
        assert_eq!(pulse.feel(now), Feel::Well);
        for _ in 0..10 {
            let number = pulse.ping(now).expect("a ping is due");
            pulse.heard(now + 100.0);
            pulse.pong(now + 180.0, number);
            now += 200.0;
        }
        assert_eq!(pulse.feel(now), Feel::Slow);
        pulse.ping(now).expect("a ping is due");
        for _ in 0..25 {
            now += 100.0;
            pulse.heard(now);
        }
        assert_eq!(pulse.feel(now), Feel::HalfOpen, "something comes in, and nothing is answered");
        assert_eq!(pulse.feel(now + 2_000.0), Feel::Silent);
    }

    #[test]
    fn pauses_grow_with_jitter_up_to_a_bound_and_begin_anew_after_a_good_while() {
        let mut retry = Retry::new(RetryRule::default(), PulseRule::default());
        let waits: Vec<Ms> = (0..8).map(|n| retry.down(0.0, f64::from(n % 2))).collect();
        assert!(waits[..6].windows(2).all(|pair| pair[1] >= pair[0]), "{waits:?}");
        assert!(waits[7] <= 2_000.0 && waits[6] >= 1_000.0, "{waits:?}");
        assert!(!retry.flaps(0.0), "it was never up");
        for n in 0..3 {
            let now = f64::from(n) * 300.0;
            retry.up(now);
            retry.down(now + 100.0, 1.0);
        }
        assert!(retry.flaps(800.0) && !retry.flaps(12_000.0));
        retry.up(20_000.0);
        assert!(retry.down(26_000.0, 1.0) <= 26_050.0);
    }
}
