//! The queued fills, by priority and order of arrival.

use std::collections::{BTreeMap, HashMap};

use linnethook::interface::Ms;
use rustc_hash::FxBuildHasher;

use super::{FillRequest, Priority, Ticket};
use crate::lease::FetchKey;
use crate::node::NodeId;

/// A position in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    priority: Priority,
    sequence: u64,
}

/// A queued fill.
#[derive(Debug, Clone)]
pub(super) struct QueuedFill {
    pub fill: FillRequest,
    /// When its queueing time expires, in milliseconds of Unix time.
    pub until: Ms,
}

/// All queued fills: those that need a rate budget, and those of a key that another fill is fetching.
#[derive(Debug, Clone, Default)]
pub(super) struct FillQueue {
    fills: BTreeMap<QueuePosition, QueuedFill>,
    positions: HashMap<Ticket, QueuePosition, FxBuildHasher>,
    /// Fills that are queued until a fetch ends, in order of arrival.
    queued_for_fetch: BTreeMap<FetchKey, Vec<Ticket>>,
    bytes: f64,
    last_sequence: u64,
}

impl FillQueue {
    pub fn len(&self) -> usize {
        self.fills.len()
    }

    /// The total expected size of the queued fills.
    pub fn bytes(&self) -> f64 {
        self.bytes
    }

    /// The queued fills in their order.
    pub fn fills(&self) -> impl Iterator<Item = &QueuedFill> {
        self.fills.values()
    }

    pub fn tickets(&self) -> Vec<Ticket> {
        self.fills().map(|queued| queued.fill.ticket).collect()
    }

    pub fn get(&self, ticket: Ticket) -> Option<&QueuedFill> {
        self.positions.get(&ticket).and_then(|position| self.fills.get(position))
    }

    /// Adds a fill behind all others of its priority.
    pub fn push(&mut self, queued: QueuedFill, is_queued_for_fetch: bool) {
        self.last_sequence += 1;
        let QueuedFill { fill, .. } = &queued;
        let position = QueuePosition { priority: fill.priority, sequence: self.last_sequence };
        self.bytes += fill.bytes;
        self.positions.insert(fill.ticket, position);
        if is_queued_for_fetch {
            self.queued_for_fetch.entry(fill.fetch).or_default().push(fill.ticket);
        }
        self.fills.insert(position, queued);
    }

    pub fn remove(&mut self, ticket: Ticket) -> Option<QueuedFill> {
        let position = self.positions.remove(&ticket)?;
        let queued = self.fills.remove(&position)?;
        self.bytes = (self.bytes - queued.fill.bytes).max(0.0);
        if let Some(others) = self.queued_for_fetch.get_mut(&queued.fill.fetch) {
            others.retain(|other| *other != ticket);
            if others.is_empty() {
                self.queued_for_fetch.remove(&queued.fill.fetch);
            }
        }
        Some(queued)
    }

    /// Removes all fills from a source.
    pub fn remove_source(&mut self, source: NodeId) -> Vec<Ticket> {
        let affected = self.fills().filter(|queued| queued.fill.fetch.source == source);
        let tickets: Vec<Ticket> = affected.map(|queued| queued.fill.ticket).collect();
        for ticket in &tickets {
            self.remove(*ticket);
        }
        tickets
    }

    /// The fills that are queued until `fetch` ends, in order of arrival.
    pub fn queued_for(&self, fetch: FetchKey) -> &[Ticket] {
        self.queued_for_fetch.get(&fetch).map_or(&[], Vec::as_slice)
    }

    pub fn has_fills_queued_for_fetch(&self) -> bool {
        !self.queued_for_fetch.is_empty()
    }

    /// Whether all fills need the budget of the same source, so that none can be admitted before the first
    /// one.
    pub fn needs_single_budget(&self) -> bool {
        let mut targets = self.fills().map(|queued| queued.fill.tier_costs.first().map(|cost| cost.target));
        let first = targets.next();
        targets.all(|target| Some(target) == first)
    }

    /// When the first fill times out, in milliseconds of Unix time.
    pub fn next_timeout(&self) -> Option<Ms> {
        self.fills().map(|queued| queued.until).reduce(f64::min)
    }
}
