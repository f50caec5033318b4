//! Owns how a router that can't catch up by facts alone gets the whole from a fellow: when it asks, whom, and how the
//! pieces come together.
//!
//! Must never hand on anything but a whole of one answer, keep more than its bound, or wait for a fellow that says
//! nothing more.

use serde::{Deserialize, Serialize};

use crate::Ms;

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SnapshotTransferConfig {
    /// Behind a fellow for so long, it asks: facts would have come by then.
    pub start_after: Ms,
    /// Nothing came for so long: another one is asked.
    pub peer_timeout: Ms,
    /// Bytes of a whole, and of a piece.
    pub max_bytes: usize,
    pub chunk_bytes: usize,
}

impl Default for SnapshotTransferConfig {
    fn default() -> Self {
        Self { start_after: 3_000.0, peer_timeout: 3_000.0, max_bytes: 4 << 20, chunk_bytes: 8 << 10 }
    }
}

/// A piece of a whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Which asking it answers.
    pub request_id: u64,
    pub index: u32,
    pub total: u32,
    pub bytes: Vec<u8>,
}

/// Cuts a whole into pieces; nothing where it is too long.
pub fn split_snapshot(asking: u64, whole: &[u8], rule: &SnapshotTransferConfig) -> Vec<SnapshotChunk> {
    if whole.len() > rule.max_bytes || whole.is_empty() {
        return Vec::new();
    }
    let of = whole.len().div_ceil(rule.chunk_bytes) as u32;
    let cut = whole.chunks(rule.chunk_bytes).zip(0..);
    cut.map(|(bytes, number)| SnapshotChunk {
        request_id: asking,
        index: number,
        total: of,
        bytes: bytes.to_vec(),
    })
    .collect()
}

#[derive(Debug, Clone)]
struct ActiveTransfer {
    request_id: u64,
    peer: String,
    last_chunk_at: Ms,
    next_index: u32,
    bytes: Vec<u8>,
}

#[derive(Debug, Clone, Default)]
pub struct SnapshotTransfer {
    config: SnapshotTransferConfig,
    active: Option<ActiveTransfer>,
    /// Since when some fellow has been ahead.
    behind_since: Option<Ms>,
    /// Whom it asked last, so that another one is next.
    last_peer: Option<String>,
    request_count: u64,
}

impl SnapshotTransfer {
    pub fn new(rule: SnapshotTransferConfig) -> Self {
        Self { config: rule, ..Self::default() }
    }

    /// Looks at who is ahead of this router; whom to ask now, and with which number.
    pub fn next_request(&mut self, now: Ms, ahead: &[&str]) -> Option<(String, u64)> {
        if ahead.is_empty() {
            (self.behind_since, self.active) = (None, None);
            return None;
        }
        let since = *self.behind_since.get_or_insert(now);
        if let Some(under) = &self.active {
            let there = ahead.contains(&under.peer.as_str());
            if there && now - under.last_chunk_at < self.config.peer_timeout {
                return None;
            }
            self.active = None;
        } else if now - since < self.config.start_after {
            return None;
        }
        // The one after whom it asked last, in the order of their names, and so round.
        let after =
            ahead.iter().filter(|name| self.last_peer.as_deref().is_none_or(|last| **name > last)).min();
        let of = after.or(ahead.iter().min())?.to_string();
        self.request_count += 1;
        self.last_peer = Some(of.clone());
        self.active = Some(ActiveTransfer {
            request_id: self.request_count,
            peer: of.clone(),
            last_chunk_at: now,
            next_index: 0,
            bytes: Vec::new(),
        });
        Some((of, self.request_count))
    }

    /// A piece came; the whole, once all have in their order.
    pub fn receive_chunk(&mut self, now: Ms, from: &str, piece: &SnapshotChunk) -> Option<Vec<u8>> {
        let under = self.active.as_mut()?;
        let fits =
            under.request_id == piece.request_id && under.peer == from && under.next_index == piece.index;
        if !fits || under.bytes.len() + piece.bytes.len() > self.config.max_bytes {
            return None;
        }
        under.last_chunk_at = now;
        under.next_index += 1;
        under.bytes.extend(&piece.bytes);
        if under.next_index < piece.total {
            return None;
        }
        self.behind_since = None;
        self.active.take().map(|under| under.bytes)
    }

    pub fn set_config(&mut self, rule: SnapshotTransferConfig) {
        self.config = rule;
    }

    pub fn config(&self) -> &SnapshotTransferConfig {
        &self.config
    }

    pub fn is_active(&self) -> bool {
        self.active.is_some()
    }
}

#[cfg(test)]
#[path = "../tests/unit/snapshot_transfer.rs"]
mod tests;
