//! Limits of requests between sites.

use linnethook::interface::Ms;

/// Limits of requests between sites.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ForwardingConfig {
    /// Maximum number of open attempts with tokens.
    pub max_attempts: usize,
    /// Maximum number of open requests from other sites.
    pub max_remote_requests: usize,
    /// Minimum time left before the deadline for a retry, in milliseconds.
    pub min_retry_time: Ms,
    /// Maximum number of retries of a request.
    pub max_retries: u32,
    /// Maximum time that an interrupted request waits for a connection, in milliseconds.
    pub max_wait: Ms,
    /// Maximum number of requests that wait for a connection.
    pub max_waiting: usize,
    /// Maximum number of buffered bytes of response bodies.
    pub max_buffered_bytes: usize,
    /// Maximum number of waiting requests that are resumed per check after a reconnect.
    pub max_resumed_per_check: usize,
    /// Whether an interrupted body is resumed instead of being requested again from the start.
    pub resumes_bodies: bool,
    /// Whether the outcome of an uncertain attempt is queried; otherwise it fails at once, as with a plain
    /// gateway.
    pub queries_outcomes: bool,
    /// Maximum length of an answer, in bytes.
    pub max_answer_bytes: u64,
    /// Maximum time for writing an answer to another site, in milliseconds.
    pub answer_write_timeout: Ms,
    /// Minimum time after which a rejected client may try again, in milliseconds.
    pub retry_after: Ms,
}

impl Default for ForwardingConfig {
    fn default() -> Self {
        Self {
            max_attempts: 4_096,
            max_remote_requests: 1_024,
            min_retry_time: 100.0,
            max_retries: 4,
            max_wait: 1_000.0,
            max_waiting: 256,
            max_buffered_bytes: 32 << 20,
            max_resumed_per_check: 4,
            resumes_bodies: true,
            queries_outcomes: true,
            max_answer_bytes: 262_144,
            answer_write_timeout: 60_000.0,
            retry_after: 500.0,
        }
    }
}
