//! Owns a link that its transfers share evenly: each gets the same part of it, and none more than a transfer may have.
//!
//! In virtual time: a counter runs as fast as one transfer is served, and a transfer ends when the counter has come as
//! far as its size. So a transfer that begins or ends changes the pace of the counter and nothing else: O(log n), where a
//! plain one goes over all of them.

use std::collections::BTreeMap;

use crate::Micros;

/// A transfer under way.
pub type Transfer = u64;

/// One link.
#[derive(Debug, Clone)]
pub struct Fair {
    /// Bytes a microsecond, of the link and of one transfer at the most.
    carries: f64,
    most: f64,
    /// How far each transfer that has been there from the beginning has come.
    served: f64,
    at: Micros,
    /// By where the counter must be at their end; their order is that of their bits, for none is below zero.
    ends: BTreeMap<(u64, Transfer), ()>,
    by_transfer: BTreeMap<Transfer, u64>,
}

impl Fair {
    pub fn new(carries: f64, most: f64) -> Self {
        let (ends, by_transfer) = (BTreeMap::new(), BTreeMap::new());
        Self { carries, most, served: 0.0, at: 0, ends, by_transfer }
    }

    /// Transfers under way.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Bytes a microsecond that each has now.
    pub fn pace(&self) -> f64 {
        (self.carries / self.ends.len().max(1) as f64).min(self.most)
    }

    fn pass(&mut self, now: Micros) {
        if !self.ends.is_empty() {
            self.served += self.pace() * now.saturating_sub(self.at) as f64;
        }
        self.at = self.at.max(now);
    }

    /// A transfer of that many bytes begins.
    pub fn begin(&mut self, now: Micros, transfer: Transfer, bytes: f64) {
        self.pass(now);
        if self.ends.is_empty() {
            // Nothing depends on how far it was: small numbers are exact ones.
            self.served = 0.0;
        }
        let end = (self.served + bytes.max(0.0)).to_bits();
        self.ends.insert((end, transfer), ());
        self.by_transfer.insert(transfer, end);
    }

    /// A transfer is called off, or has ended; the bytes that it lacked.
    pub fn end(&mut self, now: Micros, transfer: Transfer) -> Option<f64> {
        self.pass(now);
        let end = self.by_transfer.remove(&transfer)?;
        self.ends.remove(&(end, transfer));
        Some((f64::from_bits(end) - self.served).max(0.0))
    }

    /// The link carries another amount from now on, and one transfer may have another.
    pub fn carry(&mut self, now: Micros, carries: f64, most: f64) {
        self.pass(now);
        (self.carries, self.most) = (carries, most);
    }

    /// Which transfer ends next, and when, if nothing changes; none while nothing moves.
    pub fn next(&self) -> Option<(Micros, Transfer)> {
        let ((end, transfer), ()) = self.ends.first_key_value()?;
        let pace = self.pace();
        let left = (f64::from_bits(*end) - self.served).max(0.0);
        (pace > 0.0).then(|| (self.at + (left / pace).ceil() as Micros, *transfer))
    }
}
