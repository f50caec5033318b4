//! Liveness of the peer of a connection: a phi accrual failure detector (Hayashibara 2004).
//!
//! Every receipt of data is a heartbeat. How long a silence is suspicious follows from the intervals observed
//! before, within fixed limits. Pings distinguish a slow connection, and one that works in only one
//! direction, from a silent one.

use std::collections::VecDeque;

use linnethook::interface::Ms;

/// When a connection counts as slow, silent or flapping.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HeartbeatConfig {
    /// The interval between pings, in milliseconds.
    pub interval: Ms,
    /// The number of intervals between receipts that are retained.
    pub max_samples: usize,
    /// Lower bound for the standard deviation of the intervals, in milliseconds.
    pub min_deviation: Ms,
    /// The suspicion level from which the peer counts as silent: at level n, the probability that it is alive
    /// is 10^-n.
    pub phi_threshold: f64,
    /// Minimum time without a receipt before the peer can count as silent, in milliseconds.
    pub min_silence: Ms,
    /// Maximum time without a receipt: after it the peer always counts as silent, in milliseconds.
    pub max_silence: Ms,
    /// The connection counts as slow if the smoothed round trip exceeds the best one by this factor.
    pub slow_ratio: f64,
    /// The number of disconnects within `flap_window` from which the link counts as flapping.
    pub flap_threshold: usize,
    /// The period over which disconnects are counted, in milliseconds.
    pub flap_window: Ms,
}

impl HeartbeatConfig {
    /// The longest time from the last receipt until a gateway notices that nothing more arrives, in
    /// milliseconds.
    pub fn max_detection_time(&self) -> Ms {
        // The health is checked at least once per interval.
        self.max_silence + self.interval
    }
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

/// The health of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkHealth {
    /// No problem was detected.
    Healthy,
    /// Pings take far longer than the best round trip.
    Slow,
    /// Data is received, but pings are not answered: one direction has failed.
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

/// Receipts that follow each other more closely count as one, in milliseconds.
const MIN_SAMPLE_INTERVAL: Ms = 1.0;

/// Shorter round trips can't be distinguished and count as this long, in milliseconds.
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
    /// Intervals between receipts, the oldest first.
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
    /// Creates the failure detector of a connection that has just been opened.
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

    /// Records that data was received.
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

    /// The number of the ping to be sent now, if one is due. Only one ping is pending at a time.
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

    /// Records the answer to a ping. An answer to any but the pending ping counts only as a receipt.
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

    /// The time up to which everything that the peer had queued has been received: its answer to a ping is
    /// queued behind it.
    pub fn all_received_until(&self) -> Option<Ms> {
        self.answered_ping_sent
    }

    /// The smoothed round-trip time of pings, in milliseconds; 0 if no answer was received yet.
    pub fn round_trip(&self) -> Ms {
        self.smoothed_round_trip
    }

    /// The suspicion level: `-log10` of the probability that a live peer sends nothing for this long.
    pub fn phi(&self, now: Ms) -> f64 {
        let count = self.intervals.len().max(1) as f64;
        let mean = self.intervals.iter().sum::<f64>() / count;
        let variance = self.intervals.iter().map(|interval| (interval - mean).powi(2)).sum::<f64>() / count;
        let deviation = variance.sqrt().max(self.config.min_deviation);
        let y = (now - self.last_received - mean) / deviation;
        // The logistic approximation of the tail of the normal distribution. For large exponents, where the
        // power overflows, its logarithm is computed directly.
        let exponent = y * (1.5976 + 0.070566 * y * y);
        match exponent > 300.0 {
            true => exponent / std::f64::consts::LN_10,
            false => -(1.0 / (1.0 + exponent.exp())).log10(),
        }
    }

    /// The health of the connection now.
    pub fn health(&self, now: Ms) -> LinkHealth {
        let silence = self.silence(now);
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

    /// How long nothing has been received, in milliseconds.
    pub fn silence(&self, now: Ms) -> Ms {
        now - self.last_received
    }

    /// When [`Self::health`] has to be checked again.
    pub fn next_check(&self, now: Ms) -> Ms {
        let may_be_silent = self.last_received + self.config.min_silence;
        may_be_silent.max(now + self.config.interval / 4.0).min(now + self.config.interval)
    }
}
