//! The send budget of a router: a token bucket over bytes.

use crate::Ms;

/// The settings of the rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimitConfig {
    /// The rate at which the bucket fills.
    pub bytes_per_second: f64,
    /// The size of the bucket, as seconds of the rate.
    pub burst_seconds: f64,
}

impl Default for RateLimitConfig {
    fn default() -> Self {
        Self { bytes_per_second: 32_768.0, burst_seconds: 2.0 }
    }
}

impl RateLimitConfig {
    /// The size of the bucket in bytes.
    fn burst_bytes(&self) -> f64 {
        self.bytes_per_second * self.burst_seconds
    }
}

const MS_PER_SECOND: f64 = 1_000.0;

/// A token bucket; one token is one byte.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    config: RateLimitConfig,
    tokens: f64,
    refilled_at: Ms,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(now: Ms, config: RateLimitConfig) -> Self {
        Self { config, tokens: config.burst_bytes(), refilled_at: now }
    }

    /// Applies other settings from now on.
    pub fn set_config(&mut self, config: RateLimitConfig) {
        self.config = config;
    }

    fn refill(&mut self, now: Ms) {
        let seconds = (now - self.refilled_at).max(0.0) / MS_PER_SECOND;
        let gained = seconds * self.config.bytes_per_second;
        self.tokens = (self.tokens + gained).min(self.config.burst_bytes());
        self.refilled_at = now;
    }

    /// Whether half of a full bucket would be left after sending this many bytes.
    pub fn has_ample_tokens(&mut self, now: Ms, bytes: usize) -> bool {
        self.refill(now);
        self.tokens - bytes as f64 >= self.config.burst_bytes() / 2.0
    }

    /// Takes tokens for this many bytes. Returns false, and takes nothing, if there are too few. A message
    /// that is larger than the bucket is allowed while the bucket is full, and leaves a negative number of
    /// tokens.
    pub fn try_consume(&mut self, now: Ms, bytes: usize) -> bool {
        self.refill(now);
        let required = (bytes as f64).min(self.config.burst_bytes());
        let is_allowed = self.tokens >= required;
        if is_allowed {
            self.tokens -= bytes as f64;
        }
        is_allowed
    }
}
