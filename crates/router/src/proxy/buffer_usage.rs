//! Logging what holds the buffers while they are short.

use crate::event_handler::EventHandler;
use crate::log::log_line;
use crate::policy_adapter::Ms;

use super::Proxy;

/// The minimum interval between two log lines.
const LOG_INTERVAL_MS: Ms = 500.0;

impl<W: EventHandler> Proxy<W> {
    /// Logs what holds the buffers, if they are short or requests were rejected for that reason.
    pub(super) fn log_buffer_shortage(&mut self, now: Ms) {
        let is_short = self.buffers.is_short() || self.rejections_without_buffers > 0;
        if !is_short || now < self.next_buffer_log {
            return;
        }
        self.next_buffer_log = now + LOG_INTERVAL_MS;
        let (client_input, client_output) = self.downstreams.buffered_bytes();
        let (upstream_input, upstream_output) = self.upstreams.buffered_bytes();
        log_line!(
            blocks = self.buffers.in_use(),
            open_requests = self.requests.len(),
            request_body_bytes = self.requests.body_bytes(),
            client_input_bytes = client_input,
            client_output_bytes = client_output,
            upstream_input_bytes = upstream_input,
            upstream_output_bytes = upstream_output,
            rejected = std::mem::take(&mut self.rejections_without_buffers),
            "buffers are short"
        );
    }
}
