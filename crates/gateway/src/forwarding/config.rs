//! Limits of requests between sites.

use linnethook::interface::Ms;

/// Limits of requests between sites.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ForwardingConfig {
    /// Attempts with tokens that may be open.
    pub max_attempts: usize,
    /// Requests of other sites that may be here.
    pub max_remote_requests: usize,
    /// A retry needs at least so much time before the deadline, in milliseconds.
    pub min_retry_time: Ms,
    /// How often a body that stopped is requested again.
    pub max_retries: u32,
    /// How long a body that stopped may wait for a connection, in milliseconds.
    pub max_wait: Ms,
    /// How many requests may wait so.
    pub max_waiting: usize,
    /// Bytes of bodies that may be buffered.
    pub max_buffered_bytes: usize,
    /// How many waiting requests resume at each check once a connection is back.
    pub max_resumed_per_check: usize,
    /// Whether a body that stopped resumes where it stopped.
    pub resumes_bodies: bool,
    /// Whether the outcome of an uncertain attempt is queried; else it fails at once, as with a plain gateway.
    pub queries_outcomes: bool,
    /// The longest answer, in bytes.
    pub max_answer_bytes: u64,
    /// How long an answer to another site may take to be written, in milliseconds.
    pub answer_write_timeout: Ms,
    /// When a rejected client may try again, in milliseconds, where nothing better is known.
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
