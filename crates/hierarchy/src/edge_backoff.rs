//! Excludes edges on which a fill loop was detected, for a time that grows with each repetition.

use std::collections::BTreeMap;

use linnethook::interface::Ms;

use crate::node::NodeId;

/// How long an edge is excluded, in milliseconds, and how many may be.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EdgeBackoffConfig {
    /// The first exclusion.
    pub initial: Ms,
    /// By what each further exclusion grows that follows soon after the last.
    pub factor: f64,
    /// The longest exclusion.
    pub max: Ms,
    /// Edges that may be excluded at a time.
    pub max_edges: usize,
}

impl Default for EdgeBackoffConfig {
    fn default() -> Self {
        Self { initial: 1_000.0, factor: 2.0, max: 30_000.0, max_edges: 1_024 }
    }
}

/// An edge, from the node that fills to the source.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EdgeId {
    from: NodeId,
    to: NodeId,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Exclusion {
    until: Ms,
    duration: Ms,
    /// The version of the topology at which the loop was detected.
    version: u64,
}

/// The edges excluded after a detected loop.
///
/// An edge is excluded at the version of the topology at which the loop was detected and at older ones. A newer
/// version is tried at once, as both ends may agree on it. A loop that is detected again within as much time after
/// the exclusion as the exclusion lasted extends the next one by [`EdgeBackoffConfig::factor`].
#[derive(Debug, Clone, Default)]
pub struct EdgeBackoff {
    config: EdgeBackoffConfig,
    exclusions: BTreeMap<EdgeId, Exclusion>,
}

impl EdgeBackoff {
    /// No edge excluded.
    pub fn new(config: EdgeBackoffConfig) -> Self {
        Self { config, exclusions: BTreeMap::new() }
    }

    /// Excludes an edge on which a loop was detected at that version of the topology.
    pub fn back_off(&mut self, now: Ms, from: NodeId, to: NodeId, version: u64) {
        self.expire(now);
        let edge = EdgeId { from, to };
        if self.exclusions.len() >= self.config.max_edges && !self.exclusions.contains_key(&edge) {
            self.remove_soonest_to_end();
        }
        let duration = match self.exclusions.get(&edge) {
            // Another report of the same loop, by a fill that was in flight.
            Some(exclusion) if now < exclusion.until => exclusion.duration,
            Some(exclusion) => (exclusion.duration * self.config.factor).min(self.config.max),
            None => self.config.initial,
        };
        self.exclusions.insert(edge, Exclusion { until: now + duration, duration, version });
    }

    fn remove_soonest_to_end(&mut self) {
        let soonest = self.exclusions.iter().min_by(|a, b| a.1.until.total_cmp(&b.1.until));
        if let Some(edge) = soonest.map(|(edge, _)| *edge) {
            self.exclusions.remove(&edge);
        }
    }

    /// Whether fills may not use the edge now, at that version of the topology.
    pub fn is_backed_off(&self, now: Ms, from: NodeId, to: NodeId, version: u64) -> bool {
        let exclusion = self.exclusions.get(&EdgeId { from, to });
        exclusion.is_some_and(|exclusion| now < exclusion.until && version <= exclusion.version)
    }

    /// Edges excluded now.
    pub fn active_count(&self, now: Ms) -> usize {
        self.exclusions.values().filter(|exclusion| now < exclusion.until).count()
    }

    /// Forgets exclusions that ended as long ago as they lasted.
    pub fn expire(&mut self, now: Ms) {
        self.exclusions.retain(|_, exclusion| now < exclusion.until + exclusion.duration);
    }

    /// Edges that are excluded or were lately.
    pub fn len(&self) -> usize {
        self.exclusions.len()
    }

    /// Whether no edge is excluded or was lately.
    pub fn is_empty(&self) -> bool {
        self.exclusions.is_empty()
    }
}
