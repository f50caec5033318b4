//! Whether the other side of a connection is still there: a phi accrual failure detector (Hayashibara 2004).
//!
//! Every byte that is received is a sign of life. How long a silence is suspicious follows from the intervals seen
//! before, within fixed bounds. Pings tell a slow connection, and one that works in one direction only, from a silent
//! one.

use std::collections::VecDeque;

use linnethook::interface::Ms;

/// When a connection counts as slow, silent or flapping.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HeartbeatConfig {
    /// How often the other side is pinged, in milliseconds.
    pub interval: Ms,
    /// Intervals between signs of life that are remembered.
    pub max_samples: usize,
    /// The standard deviation of the intervals counts as at least that, in milliseconds.
    pub min_deviation: Ms,
    /// The suspicion at which the other side is silent: the chance that it is not is one in ten to that.
    pub phi_threshold: f64,
    /// It is never silent sooner, in milliseconds.
    pub min_silence: Ms,
    /// It is always silent after that, in milliseconds.
    pub max_silence: Ms,
    /// The connection is slow if pings take that many times the best round trip.
    pub slow_ratio: f64,
    /// The link flaps if it went down so often within `flap_window`.
    pub flap_threshold: usize,
    /// See `flap_threshold`; in milliseconds.
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

/// What a connection is like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkHealth {
    /// Nothing is wrong.
    Healthy,
    /// Pings are answered far later than they can be.
    Slow,
    /// Something is received, but pings are not answered: one direction is dead.
    HalfOpen,
    /// Nothing is received.
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

/// Receipts closer to each other than that are one sign of life, in milliseconds.
const MIN_SAMPLE_INTERVAL: Ms = 1.0;

/// Shorter round trips can't be told apart, in milliseconds.
const MIN_ROUND_TRIP: Ms = 0.1;

/// The weight of one ping in the smoothed round trip.
const ROUND_TRIP_WEIGHT: f64 = 0.3;

#[derive(Debug, Clone, Copy)]
struct PendingPing {
    number: u64,
    sent_at: Ms,
}

/// The failure detector of one connection.
#[derive(Debug, Clone)]
pub struct Heartbeat {
    config: HeartbeatConfig,
    /// Intervals between signs of life, the oldest first.
    intervals: VecDeque<Ms>,
    last_received: Ms,
    pending_ping: Option<PendingPing>,
    last_ping: u64,
    best_round_trip: Ms,
    smoothed_round_trip: Ms,
    /// When the latest answered ping was sent.
    answered_ping_sent: Option<Ms>,
}

impl Heartbeat {
    /// A connection that has just been opened.
    pub fn new(now: Ms, config: HeartbeatConfig) -> Self {
        Self {
            config,
            intervals: VecDeque::from([config.interval]),
            last_received: now,
            pending_ping: None,
            last_ping: 0,
            best_round_trip: f64::INFINITY,
            smoothed_round_trip: 0.0,
            answered_ping_sent: None,
        }
    }

    /// Something was received.
    pub fn record_receipt(&mut self, now: Ms) {
        let interval = now - self.last_received;
        if interval < MIN_SAMPLE_INTERVAL {
            return;
        }
        if self.intervals.len() >= self.config.max_samples.max(1) {
            self.intervals.pop_front();
        }
        self.intervals.push_back(interval.min(self.config.max_silence));
        self.last_received = now;
    }

    /// The number of a ping to be sent now, if one is due. There is one at a time.
    pub fn next_ping(&mut self, now: Ms) -> Option<u64> {
        let is_first = self.last_ping == 0;
        let is_quiet = now - self.last_received >= self.config.interval / 2.0;
        let has_round_trip = self.smoothed_round_trip > 0.0;
        if self.pending_ping.is_some() || !(is_first || is_quiet || has_round_trip) {
            return None;
        }
        self.last_ping += 1;
        self.pending_ping = Some(PendingPing { number: self.last_ping, sent_at: now });
        Some(self.last_ping)
    }

    /// A ping was answered. An answer to any but the pending one is a sign of life only.
    pub fn record_pong(&mut self, now: Ms, number: u64) {
        self.record_receipt(now);
        let Some(ping) = self.pending_ping.filter(|ping| ping.number == number) else { return };
        self.pending_ping = None;
        self.answered_ping_sent = Some(ping.sent_at);
        let round_trip = (now - ping.sent_at).max(MIN_ROUND_TRIP);
        self.best_round_trip = self.best_round_trip.min(round_trip);
        let weight = if self.smoothed_round_trip > 0.0 { ROUND_TRIP_WEIGHT } else { 1.0 };
        self.smoothed_round_trip += (round_trip - self.smoothed_round_trip) * weight;
    }

    /// All that the other side had queued up to then has been received, since its answer to a ping comes behind that.
    pub fn all_received_until(&self) -> Option<Ms> {
        self.answered_ping_sent
    }

    /// How long an answer to a ping takes, in milliseconds; 0 if none was received yet.
    pub fn round_trip(&self) -> Ms {
        self.smoothed_round_trip
    }

    /// The suspicion that the other side is silent: `-log10` of the chance that nothing comes for so long if it is
    /// there.
    pub fn phi(&self, now: Ms) -> f64 {
        let count = self.intervals.len().max(1) as f64;
        let mean = self.intervals.iter().sum::<f64>() / count;
        let variance = self.intervals.iter().map(|interval| (interval - mean).powi(2)).sum::<f64>() / count;
        let deviation = variance.sqrt().max(self.config.min_deviation);
        let y = (now - self.last_received - mean) / deviation;
        // The logistic approximation of the tail of the normal distribution. Far out, where the power overflows, its
        // logarithm is taken directly.
        let exponent = y * (1.5976 + 0.070566 * y * y);
        match exponent > 300.0 {
            true => exponent / std::f64::consts::LN_10,
            false => -(1.0 / (1.0 + exponent.exp())).log10(),
        }
    }

    /// What the connection is like now.
    pub fn health(&self, now: Ms) -> LinkHealth {
        let silence = now - self.last_received;
        let is_suspect = silence >= self.config.min_silence && self.phi(now) >= self.config.phi_threshold;
        if silence >= self.config.max_silence || is_suspect {
            return LinkHealth::Silent;
        }
        if self.pending_ping.is_some_and(|ping| now - ping.sent_at >= self.config.max_silence) {
            return LinkHealth::HalfOpen;
        }
        let is_slow = self.smoothed_round_trip > self.best_round_trip * self.config.slow_ratio
            && self.smoothed_round_trip > self.config.min_deviation;
        if is_slow {
            LinkHealth::Slow
        } else {
            LinkHealth::Healthy
        }
    }

    /// When [`Self::health`] has to be asked for again.
    pub fn next_check(&self, now: Ms) -> Ms {
        let may_be_silent = self.last_received + self.config.min_silence;
        may_be_silent.max(now + self.config.interval / 4.0).min(now + self.config.interval)
    }
}
