//! Excludes edges on which a fill loop was detected, for a time that grows with each repeated detection.

use std::collections::BTreeMap;

use linnethook::interface::Ms;

use crate::node::NodeId;

/// Durations and bounds of exclusions. Durations are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EdgeBackoffConfig {
    /// Duration of the first exclusion.
    pub initial: Ms,
    /// Factor between the durations of an exclusion and of one that follows soon after it.
    pub factor: f64,
    /// The longest duration of an exclusion.
    pub max: Ms,
    /// Maximum number of edges excluded at the same time.
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
/// An edge is excluded at the version of the topology at which the loop was detected and at older ones. At a
/// newer version it is used again at once, as both ends may agree on that version. If the loop is detected
/// again, and the time since the last exclusion is shorter than that exclusion was, the new exclusion is
/// longer by [`EdgeBackoffConfig::factor`].
#[derive(Debug, Clone, Default)]
pub struct EdgeBackoff {
    config: EdgeBackoffConfig,
    exclusions: BTreeMap<EdgeId, Exclusion>,
}

impl EdgeBackoff {
    /// A backoff without excluded edges.
    pub fn new(config: EdgeBackoffConfig) -> Self {
        Self { config, exclusions: BTreeMap::new() }
    }

    /// Excludes an edge on which a loop was detected at `version` of the topology.
    pub fn back_off(&mut self, now: Ms, from: NodeId, to: NodeId, version: u64) {
        self.expire(now);
        let edge = EdgeId { from, to };
        if self.exclusions.len() >= self.config.max_edges && !self.exclusions.contains_key(&edge) {
            self.remove_soonest_to_end();
        }
        let duration = match self.exclusions.get(&edge) {
            // Another report of the same loop, by a fill that was in flight at the first report.
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

    /// Whether the edge is excluded now, at `version` of the topology.
    pub fn is_backed_off(&self, now: Ms, from: NodeId, to: NodeId, version: u64) -> bool {
        let exclusion = self.exclusions.get(&EdgeId { from, to });
        exclusion.is_some_and(|exclusion| now < exclusion.until && version <= exclusion.version)
    }

    /// Number of edges excluded now.
    pub fn active_count(&self, now: Ms) -> usize {
        self.exclusions.values().filter(|exclusion| now < exclusion.until).count()
    }

    /// Drops exclusions that ended at least as long ago as they lasted.
    pub fn expire(&mut self, now: Ms) {
        self.exclusions.retain(|_, exclusion| now < exclusion.until + exclusion.duration);
    }

    /// Number of edges that are excluded or whose exclusion ended recently.
    pub fn len(&self) -> usize {
        self.exclusions.len()
    }

    /// Whether no edge is excluded and no exclusion ended recently.
    pub fn is_empty(&self) -> bool {
        self.exclusions.is_empty()
    }
}
