//! The transfer of a complete snapshot from a peer, for a router that gossip alone cannot bring up to date.
//!
//! A snapshot is assembled only from chunks of the same request. Its size is bounded, and if a peer stops
//! sending, the snapshot is requested from another one.

use serde::{Deserialize, Serialize};

use crate::Ms;

/// When a snapshot is requested, and its limits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SnapshotTransferConfig {
    /// How long a router is behind a peer before it requests a snapshot: entries would have arrived by gossip
    /// by then.
    pub start_after: Ms,
    /// How long a peer may send nothing before the snapshot is requested from another one.
    pub peer_timeout: Ms,
    /// The largest snapshot, in bytes.
    pub max_bytes: usize,
    /// The size of a chunk, in bytes.
    pub chunk_bytes: usize,
}

impl Default for SnapshotTransferConfig {
    fn default() -> Self {
        Self { start_after: 3_000.0, peer_timeout: 3_000.0, max_bytes: 4 << 20, chunk_bytes: 8 << 10 }
    }
}

/// A part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The id of the request.
    pub request_id: u64,
    /// The chunk's position among the chunks, from 0.
    pub index: u32,
    /// The number of chunks.
    pub total: u32,
    /// The chunk's bytes of the snapshot.
    pub bytes: Vec<u8>,
}

/// Splits a snapshot into chunks. Returns none if the snapshot is empty or larger than the limit.
pub fn split_snapshot(
    request_id: u64,
    snapshot: &[u8],
    config: &SnapshotTransferConfig,
) -> Vec<SnapshotChunk> {
    if snapshot.len() > config.max_bytes || snapshot.is_empty() {
        return Vec::new();
    }
    let total = snapshot.len().div_ceil(config.chunk_bytes) as u32;
    let numbered = snapshot.chunks(config.chunk_bytes).zip(0..);
    let chunk =
        |(bytes, index): (&[u8], u32)| SnapshotChunk { request_id, index, total, bytes: bytes.to_vec() };
    numbered.map(chunk).collect()
}

/// A request for a snapshot to send now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotRequest {
    /// The peer to which the request is sent.
    pub peer: String,
    /// The id that the chunks carry.
    pub request_id: u64,
}

#[derive(Debug, Clone)]
struct ActiveTransfer {
    request_id: u64,
    peer: String,
    last_chunk_at: Ms,
    next_index: u32,
    bytes: Vec<u8>,
}

/// The transfer of a snapshot to this router.
#[derive(Debug, Clone, Default)]
pub struct SnapshotTransfer {
    config: SnapshotTransferConfig,
    active: Option<ActiveTransfer>,
    /// Since when some peer has been ahead.
    behind_since: Option<Ms>,
    /// The peer of the last request: the next request goes to the next peer by name.
    last_peer: Option<String>,
    request_count: u64,
}

impl SnapshotTransfer {
    /// No transfer yet.
    pub fn new(config: SnapshotTransferConfig) -> Self {
        Self { config, ..Self::default() }
    }

    /// The request that is due, given the peers that are ahead of this router.
    pub fn next_request(&mut self, now: Ms, peers_ahead: &[&str]) -> Option<SnapshotRequest> {
        if peers_ahead.is_empty() {
            self.behind_since = None;
            self.active = None;
            return None;
        }
        let behind_since = *self.behind_since.get_or_insert(now);
        if let Some(active) = &self.active {
            let is_peer_ahead = peers_ahead.contains(&active.peer.as_str());
            if is_peer_ahead && now - active.last_chunk_at < self.config.peer_timeout {
                return None;
            }
            self.active = None;
        } else if now - behind_since < self.config.start_after {
            return None;
        }
        let peer = self.next_peer(peers_ahead)?.to_string();
        self.request_count += 1;
        self.last_peer = Some(peer.clone());
        let request_id = self.request_count;
        self.active = Some(ActiveTransfer {
            request_id,
            peer: peer.clone(),
            last_chunk_at: now,
            next_index: 0,
            bytes: Vec::new(),
        });
        Some(SnapshotRequest { peer, request_id })
    }

    /// The peer after the one of the last request, by name, starting over after the last name.
    fn next_peer<'a>(&self, peers: &[&'a str]) -> Option<&'a str> {
        let is_after_last = |name: &&&str| self.last_peer.as_deref().is_none_or(|last| **name > last);
        let following = peers.iter().filter(is_after_last).min();
        following.or(peers.iter().min()).copied()
    }

    /// Accepts a chunk. Returns the complete snapshot once all chunks have arrived in order.
    pub fn receive_chunk(&mut self, now: Ms, from: &str, chunk: &SnapshotChunk) -> Option<Vec<u8>> {
        let active = self.active.as_mut()?;
        let is_answer = active.request_id == chunk.request_id && active.peer == from;
        let is_next = active.next_index == chunk.index;
        if !is_answer || !is_next || active.bytes.len() + chunk.bytes.len() > self.config.max_bytes {
            return None;
        }
        active.last_chunk_at = now;
        active.next_index += 1;
        active.bytes.extend(&chunk.bytes);
        if active.next_index < chunk.total {
            return None;
        }
        self.behind_since = None;
        self.active.take().map(|active| active.bytes)
    }

    /// Applies other settings.
    pub fn set_config(&mut self, config: SnapshotTransferConfig) {
        self.config = config;
    }

    /// The settings.
    pub fn config(&self) -> &SnapshotTransferConfig {
        &self.config
    }

    /// Whether a transfer is active.
    pub fn is_active(&self) -> bool {
        self.active.is_some()
    }
}

#[cfg(test)]
#[path = "../tests/unit/snapshot_transfer.rs"]
mod tests;
