//! Owns how many bytes may be said: so many a second, saved up to a bound.
//!
//! Must never let more through in a second than its rate and what was saved up, whatever there is to say.

use crate::Ms;

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimitConfig {
    /// Bytes a second, and how many seconds' bytes may be saved up.
    pub bytes_per_second: f64,
    pub burst_seconds: f64,
}

impl Default for RateLimitConfig {
    fn default() -> Self {
        Self { bytes_per_second: 32_768.0, burst_seconds: 2.0 }
    }
}

#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    config: RateLimitConfig,
    tokens: f64,
    refilled_at: Ms,
}

impl TokenBucket {
    pub fn new(now: Ms, rule: RateLimitConfig) -> Self {
        Self { config: rule, tokens: rule.bytes_per_second * rule.burst_seconds, refilled_at: now }
    }

    pub fn set_config(&mut self, rule: RateLimitConfig) {
        self.config = rule;
    }

    fn refill(&mut self, now: Ms) {
        let gained = (now - self.refilled_at).max(0.0) / 1_000.0 * self.config.bytes_per_second;
        self.tokens = (self.tokens + gained).min(self.config.bytes_per_second * self.config.burst_seconds);
        self.refilled_at = now;
    }

    /// Whether half of all that can be saved up would be left after so many.
    pub fn has_ample_tokens(&mut self, now: Ms, bytes: usize) -> bool {
        self.refill(now);
        self.tokens - bytes as f64 >= self.config.bytes_per_second * self.config.burst_seconds / 2.0
    }

    /// Whether so many may be said now; then they count. What is longer than all that can be saved up goes once all
    /// of that is there, and is paid off afterwards.
    pub fn try_consume(&mut self, now: Ms, bytes: usize) -> bool {
        self.refill(now);
        let most = self.config.bytes_per_second * self.config.burst_seconds;
        let may = self.tokens >= (bytes as f64).min(most);
        if may {
            self.tokens -= bytes as f64;
        }
        may
    }
}
