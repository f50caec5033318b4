//! Owns how a link is felt: whether the other side is still there, by accrual over what comes in (Hayashibara 2004),
//! and when to try again where it is not.
//!
//! Every byte that comes in is a sign of life, and so is an answered ping. Must never call a link down sooner or later
//! than its bounds, whatever was seen before.

use std::collections::VecDeque;

use linnethook::interface::Ms;

/// How a link is felt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HeartbeatConfig {
    /// How often the other side is pinged.
    pub interval: Ms,
    /// Gaps between signs of life that are remembered.
    pub max_samples: usize,
    /// A gap counts as at least so uneven.
    pub min_deviation: Ms,
    /// The suspicion at which it is silent: the chance that it is not is one in ten to that.
    pub phi_threshold: f64,
    /// It is never called silent sooner than after the first, and always after the second.
    pub min_silence: Ms,
    pub max_silence: Ms,
    /// An answer to a ping that takes that many times the best one: the link is slow.
    pub slow_ratio: f64,
    /// So often down within so long: the link flaps.
    pub flap_threshold: usize,
    pub flap_window: Ms,
}

impl Default for HeartbeatConfig {
    fn default() -> Self {
        Self {
            interval: 60.0,
            max_samples: 64,
            min_deviation: 20.0,
            phi_threshold: 8.0,
            min_silence: 400.0,
            max_silence: 2_000.0,
            slow_ratio: 8.0,
            flap_threshold: 3,
            flap_window: 10_000.0,
        }
    }
}

/// What a link is like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkHealth {
    Healthy,
    /// Pings are answered, far later than they can be.
    Slow,
    /// What is sent is not answered, though something comes in: one direction is dead.
    HalfOpen,
    /// Nothing comes in.
    Silent,
}

impl LinkHealth {
    /// The name that commands print.
    pub fn name(self) -> &'static str {
        match self {
            Self::Healthy => "well",
            Self::Slow => "slow",
            Self::HalfOpen => "halfopen",
            Self::Silent => "silent",
        }
    }
}

#[derive(Debug, Clone)]
pub struct Heartbeat {
    config: HeartbeatConfig,
    gaps: VecDeque<f64>,
    last_received: Ms,
    /// The ping that is out: its number, and since when.
    pending_ping: Option<(u64, Ms)>,
    last_ping: u64,
    best_round_trip: f64,
    smoothed_round_trip: f64,
    /// When the latest ping that was answered had been sent.
    answered_ping_sent: Option<Ms>,
}

impl Heartbeat {
    /// A session that has just come up.
    pub fn new(now: Ms, rule: HeartbeatConfig) -> Self {
        let (gaps, out) = (VecDeque::from([rule.interval]), None);
        Self {
            config: rule,
            gaps,
            last_received: now,
            pending_ping: out,
            last_ping: 0,
            best_round_trip: f64::INFINITY,
            smoothed_round_trip: 0.0,
            answered_ping_sent: None,
        }
    }

    /// Something came in.
    pub fn record_receipt(&mut self, now: Ms) {
        let gap = now - self.last_received;
        // What comes in one breath is one sign.
        if gap >= 1.0 {
            if self.gaps.len() >= self.config.max_samples.max(1) {
                self.gaps.pop_front();
            }
            self.gaps.push_back(gap.min(self.config.max_silence));
            self.last_received = now;
        }
    }

    /// The number of a ping to be sent now, if one is due. One that was not answered is not followed by others.
    pub fn next_ping(&mut self, now: Ms) -> Option<u64> {
        let due = match self.pending_ping {
            Some(_) => false,
            None => {
                self.last_ping == 0
                    || now - self.last_received >= self.config.interval / 2.0
                    || self.smoothed_round_trip > 0.0
            }
        };
        if !due {
            return None;
        }
        self.last_ping += 1;
        self.pending_ping = Some((self.last_ping, now));
        Some(self.last_ping)
    }

    /// A ping was answered. An answer to another number than the one that is out tells nothing.
    pub fn record_pong(&mut self, now: Ms, number: u64) {
        self.record_receipt(now);
        if let Some((_, since)) = self.pending_ping.filter(|(out, _)| *out == number) {
            self.pending_ping = None;
            self.answered_ping_sent = Some(since);
            let took = (now - since).max(0.1);
            self.best_round_trip = self.best_round_trip.min(took);
            self.smoothed_round_trip +=
                (took - self.smoothed_round_trip) * if self.smoothed_round_trip > 0.0 { 0.3 } else { 1.0 };
        }
    }

    /// All that the other side had said up to then is here: its answer to a ping comes behind that.
    pub fn all_received_until(&self) -> Option<Ms> {
        self.answered_ping_sent
    }

    /// How long an answer to a ping takes; 0 where none came yet.
    pub fn round_trip(&self) -> Ms {
        self.smoothed_round_trip
    }

    /// How unlikely it is that nothing came for so long if the other side is there: -log10 of that chance.
    pub fn phi(&self, now: Ms) -> f64 {
        let count = self.gaps.len().max(1) as f64;
        let mean = self.gaps.iter().sum::<f64>() / count;
        let variance = self.gaps.iter().map(|gap| (gap - mean).powi(2)).sum::<f64>() / count;
        let spread = variance.sqrt().max(self.config.min_deviation);
        let y = (now - self.last_received - mean) / spread;
        // The logistic approximation of the normal distribution's tail; far out its logarithm by parts.
        let exponent = y * (1.5976 + 0.070566 * y * y);
        match exponent > 300.0 {
            true => exponent / std::f64::consts::LN_10,
            false => -(1.0 / (1.0 + exponent.exp())).log10(),
        }
    }

    /// What the link is like now.
    pub fn health(&self, now: Ms) -> LinkHealth {
        let quiet = now - self.last_received;
        let (least, most) = (self.config.min_silence, self.config.max_silence);
        if quiet >= most || (quiet >= least && self.phi(now) >= self.config.phi_threshold) {
            return LinkHealth::Silent;
        }
        match self.pending_ping {
            Some((_, since)) if now - since >= most => LinkHealth::HalfOpen,
            _ if self.smoothed_round_trip > self.best_round_trip * self.config.slow_ratio
                && self.smoothed_round_trip > self.config.min_deviation =>
            {
                LinkHealth::Slow
            }
            _ => LinkHealth::Healthy,
        }
    }

    /// When it has to be looked at again.
    pub fn next_check(&self, now: Ms) -> Ms {
        (self.last_received + self.config.min_silence)
            .max(now + self.config.interval / 4.0)
            .min(now + self.config.interval)
    }
}

/// When a link that is down is tried again.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReconnectConfig {
    pub initial_delay: Ms,
    pub delay_multiplier: f64,
    pub max_delay: Ms,
    /// So long up, and the next pause is the first one again.
    pub reset_after: Ms,
}

impl Default for ReconnectConfig {
    fn default() -> Self {
        Self { initial_delay: 50.0, delay_multiplier: 2.0, max_delay: 2_000.0, reset_after: 5_000.0 }
    }
}

/// The pauses between tries, and how often the link went down.
#[derive(Debug, Clone)]
pub struct ReconnectBackoff {
    config: ReconnectConfig,
    heartbeat: HeartbeatConfig,
    delay: Ms,
    up_since: Option<Ms>,
    downs: VecDeque<Ms>,
}

impl ReconnectBackoff {
    pub fn new(rule: ReconnectConfig, flap: HeartbeatConfig) -> Self {
        Self {
            config: rule,
            heartbeat: flap,
            delay: rule.initial_delay,
            up_since: None,
            downs: VecDeque::new(),
        }
    }

    /// The link came up.
    pub fn record_up(&mut self, now: Ms) {
        self.up_since = Some(now);
    }

    /// It went down, or could not be had; the time of the next try. `draw` is from 0 up to 1: full jitter, so that not
    /// all come at once.
    pub fn record_down(&mut self, now: Ms, draw: f64) -> Ms {
        let up = self.up_since.take();
        if up.is_some() {
            self.downs.push_back(now);
            if self.downs.len() > self.heartbeat.flap_threshold.max(1) {
                self.downs.pop_front();
            }
        }
        if up.is_some_and(|since| now - since >= self.config.reset_after) {
            self.delay = self.config.initial_delay;
        }
        let wait = self.delay * (0.5 + 0.5 * draw.clamp(0.0, 1.0));
        self.delay = (self.delay * self.config.delay_multiplier).min(self.config.max_delay);
        now + wait
    }

    /// Whether it went down so often of late that being up tells little.
    pub fn is_flapping(&self, now: Ms) -> bool {
        let lately = self.downs.iter().filter(|at| now - **at < self.heartbeat.flap_window).count();
        lately >= self.heartbeat.flap_threshold
    }
}
