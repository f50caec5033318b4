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
pub struct Fair {
    /// Bytes per microsecond, of the link and at most of one transfer.
    carries: f64,
    most: f64,
    /// Bytes that a transfer has received if it has been in progress since the counter was last reset.
    served: f64,
    at: Micros,
    /// By the value of the counter at completion. Values are never negative, so their bits sort like the
    /// numbers.
    ends: BTreeMap<(u64, Transfer), ()>,
    by_transfer: BTreeMap<Transfer, u64>,
}

impl Fair {
    pub fn new(carries: f64, most: f64) -> Self {
        let (ends, by_transfer) = (BTreeMap::new(), BTreeMap::new());
        Self { carries, most, served: 0.0, at: 0, ends, by_transfer }
    }

    /// Number of transfers in progress.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// The current rate of each transfer, in bytes per microsecond.
    pub fn pace(&self) -> f64 {
        (self.carries / self.ends.len().max(1) as f64).min(self.most)
    }

    fn pass(&mut self, now: Micros) {
        if !self.ends.is_empty() {
            self.served += self.pace() * now.saturating_sub(self.at) as f64;
        }
        self.at = self.at.max(now);
    }

    /// Begins a transfer of `bytes` bytes.
    pub fn begin(&mut self, now: Micros, transfer: Transfer, bytes: f64) {
        self.pass(now);
        if self.ends.is_empty() {
            // No transfer depends on the counter, and small values have smaller rounding errors.
            self.served = 0.0;
        }
        let end = (self.served + bytes.max(0.0)).to_bits();
        self.ends.insert((end, transfer), ());
        self.by_transfer.insert(transfer, end);
    }

    /// Removes a completed or cancelled transfer. Returns the bytes that remained, or `None` if it is
    /// unknown.
    pub fn end(&mut self, now: Micros, transfer: Transfer) -> Option<f64> {
        self.pass(now);
        let end = self.by_transfer.remove(&transfer)?;
        self.ends.remove(&(end, transfer));
        Some((f64::from_bits(end) - self.served).max(0.0))
    }

    /// Changes the bandwidth of the link and the maximum rate of a transfer, both in bytes per microsecond.
    pub fn carry(&mut self, now: Micros, carries: f64, most: f64) {
        self.pass(now);
        (self.carries, self.most) = (carries, most);
    }

    /// The transfer that completes next, and when, if nothing changes; `None` if there is no transfer or no
    /// bandwidth.
    pub fn next(&self) -> Option<(Micros, Transfer)> {
        let ((end, transfer), ()) = self.ends.first_key_value()?;
        let pace = self.pace();
        let left = (f64::from_bits(*end) - self.served).max(0.0);
        (pace > 0.0).then(|| (self.at + (left / pace).ceil() as Micros, *transfer))
    }
}
