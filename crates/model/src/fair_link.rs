//! A link whose bandwidth is shared evenly by its transfers, up to a maximum rate for each (processor
//! sharing).
//!
//! A counter advances at the rate of a single transfer, and a transfer completes when the counter has
//! advanced by its size. A transfer that begins or ends changes only the rate of the counter, so each
//! operation is O(log n), where updating every transfer would be O(n).

use std::collections::BTreeMap;

use crate::Micros;

/// Identifies a transfer.
pub type Transfer = u64;

/// A link with the transfers that are in progress.
#[derive(Debug, Clone)]
pub struct FairLink {
    /// Bytes per microsecond, of the link and at most of one transfer.
    bandwidth: f64,
    max_rate: f64,
    /// Bytes that a transfer has received if it has been in progress since the counter was last reset.
    bytes_per_transfer: f64,
    updated_at: Micros,
    /// By the value of the counter at completion. Values are never negative, so their bits sort like the
    /// numbers.
    completions: BTreeMap<(u64, Transfer), ()>,
    completion_values: BTreeMap<Transfer, u64>,
}

impl FairLink {
    /// Creates a link without transfers; both rates are in bytes per microsecond.
    pub fn new(bandwidth: f64, max_rate: f64) -> Self {
        let (completions, completion_values) = (BTreeMap::new(), BTreeMap::new());
        Self { bandwidth, max_rate, bytes_per_transfer: 0.0, updated_at: 0, completions, completion_values }
    }

    /// Number of transfers in progress.
    pub fn len(&self) -> usize {
        self.completions.len()
    }

    pub fn is_empty(&self) -> bool {
        self.completions.is_empty()
    }

    /// The current rate of each transfer, in bytes per microsecond.
    pub fn transfer_rate(&self) -> f64 {
        (self.bandwidth / self.completions.len().max(1) as f64).min(self.max_rate)
    }

    fn advance(&mut self, now: Micros) {
        if !self.completions.is_empty() {
            self.bytes_per_transfer += self.transfer_rate() * now.saturating_sub(self.updated_at) as f64;
        }
        self.updated_at = self.updated_at.max(now);
    }

    /// Begins a transfer of `bytes` bytes.
    pub fn begin(&mut self, now: Micros, transfer: Transfer, bytes: f64) {
        self.advance(now);
        if self.completions.is_empty() {
            // No transfer depends on the counter, and small values have smaller rounding errors.
            self.bytes_per_transfer = 0.0;
        }
        let end = (self.bytes_per_transfer + bytes.max(0.0)).to_bits();
        self.completions.insert((end, transfer), ());
        self.completion_values.insert(transfer, end);
    }

    /// Removes a completed or cancelled transfer. Returns the bytes that remained, or `None` if it is
    /// unknown.
    pub fn end(&mut self, now: Micros, transfer: Transfer) -> Option<f64> {
        self.advance(now);
        let end = self.completion_values.remove(&transfer)?;
        self.completions.remove(&(end, transfer));
        Some((f64::from_bits(end) - self.bytes_per_transfer).max(0.0))
    }

    /// Changes the bandwidth of the link and the maximum rate of a transfer, both in bytes per microsecond.
    pub fn set_bandwidth(&mut self, now: Micros, bandwidth: f64, max_rate: f64) {
        self.advance(now);
        (self.bandwidth, self.max_rate) = (bandwidth, max_rate);
    }

    /// The transfer that completes next, and when, if nothing changes; `None` if there is no transfer or no
    /// bandwidth.
    pub fn next_completion(&self) -> Option<(Micros, Transfer)> {
        let ((end, transfer), ()) = self.completions.first_key_value()?;
        let transfer_rate = self.transfer_rate();
        let remaining = (f64::from_bits(*end) - self.bytes_per_transfer).max(0.0);
        (transfer_rate > 0.0)
            .then(|| (self.updated_at + (remaining / transfer_rate).ceil() as Micros, *transfer))
    }
}
