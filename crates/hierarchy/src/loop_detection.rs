//! Owns the way of a fill: the nodes that it has passed, as RFC 8586 marks a request, and the edges that are
//! held back because somebody found itself on such a way.
//!
//! Routers and nodes may be at different versions of the shape for a moment; each shape is free of loops, but a
//! fill that goes by two of them may come round. Must never take in a way that is longer than its bound, nor hold
//! an edge back for ever on one word.

use std::collections::BTreeMap;
use std::fmt;

use linnethook::interface::Ms;

use crate::topology::NodeId;

/// Most nodes that a fill may pass, and the most bytes of the field that names them.
pub const MAX_HOPS: usize = 16;
const MAX_FIELD_BYTES: usize = 512;

/// The nodes that a fill has passed, in their order, and the version of the shape by which it was sent.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct FillPath {
    pub version: u64,
    names: Vec<String>,
}

/// What is wrong with a field that should name the nodes passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FillPathError {
    #[error("the way of a fill is longer than {MAX_FIELD_BYTES} bytes or {MAX_HOPS} nodes")]
    TooLong,
    #[error("the way of a fill is not VERSION:NODE+NODE+...")]
    Malformed,
}

/// Why a fill goes no further here. It has not run.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PathRejection {
    /// From the node that sent it on to the one that it came back to.
    #[error("it came back to {to}, sent on by {from}")]
    Loop { from: String, to: String },
    #[error("it has passed {MAX_HOPS} nodes")]
    HopLimit,
}

impl FillPath {
    pub fn new(version: u64) -> Self {
        Self { version, names: Vec::new() }
    }

    /// Reads the field; a long one is turned away before anything of it is kept.
    pub fn parse(text: &str) -> Result<Self, FillPathError> {
        if text.len() > MAX_FIELD_BYTES {
            return Err(FillPathError::TooLong);
        }
        let (version, names) = text.split_once(':').ok_or(FillPathError::Malformed)?;
        let version = version.parse().map_err(|_| FillPathError::Malformed)?;
        let plain = |name: &str| {
            !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_graphic() && !b",=+:>".contains(&byte))
        };
        let names: Vec<&str> = names.split('+').filter(|_| !names.is_empty()).collect();
        match () {
            () if names.len() > MAX_HOPS => Err(FillPathError::TooLong),
            () if !names.iter().all(|name| plain(name)) => Err(FillPathError::Malformed),
            () => Ok(Self { version, names: names.into_iter().map(str::to_string).collect() }),
        }
    }

    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.names.iter().map(String::as_str)
    }

    /// The same way, and then by `node`; turned away where it has been there before.
    pub fn append_node(mut self, node: &str) -> Result<Self, PathRejection> {
        if self.names.iter().any(|name| name == node) {
            let from = self.names.last().cloned().unwrap_or_default();
            return Err(PathRejection::Loop { from, to: node.to_string() });
        }
        if self.names.len() >= MAX_HOPS {
            return Err(PathRejection::HopLimit);
        }
        self.names.push(node.to_string());
        Ok(self)
    }
}

impl fmt::Display for FillPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.version, self.names.join("+"))
    }
}

/// How long an edge is held back, and how many may be.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EdgeBackoffConfig {
    pub initial: Ms,
    /// So many times as long each time that it is found again soon after.
    pub factor: f64,
    pub max: Ms,
    pub max_edges: usize,
}

impl Default for EdgeBackoffConfig {
    fn default() -> Self {
        Self { initial: 1_000.0, factor: 2.0, max: 30_000.0, max_edges: 1_024 }
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Held {
    until: Ms,
    span: Ms,
    /// The version of the shape at which it was found.
    version: u64,
}

/// The edges held back.
#[derive(Debug, Clone, Default)]
pub struct EdgeBackoff {
    rule: EdgeBackoffConfig,
    edges: BTreeMap<(NodeId, NodeId), Held>,
}

impl EdgeBackoff {
    pub fn new(rule: EdgeBackoffConfig) -> Self {
        Self { rule, edges: BTreeMap::new() }
    }

    /// Somebody found itself on the way of a fill that came by this edge.
    pub fn back_off(&mut self, now: Ms, from: NodeId, to: NodeId, version: u64) {
        self.expire(now);
        let rule = self.rule;
        if self.edges.len() >= rule.max_edges && !self.edges.contains_key(&(from, to)) {
            // The one that would be let go next makes room.
            let soonest = self.edges.iter().min_by(|a, b| a.1.until.total_cmp(&b.1.until)).map(|(e, _)| *e);
            soonest.and_then(|edge| self.edges.remove(&edge));
        }
        let before = self.edges.get(&(from, to)).copied();
        let span = match before {
            // Told once more of the same loop, by fills that were under way.
            Some(held) if now < held.until => held.span,
            Some(held) => (held.span * rule.factor).min(rule.max),
            None => rule.initial,
        };
        self.edges.insert((from, to), Held { until: now + span, span, version });
    }

    /// Whether a fill may not use the edge now. A newer shape, in which both ends may be of one mind, is tried.
    pub fn is_backed_off(&self, now: Ms, from: NodeId, to: NodeId, version: u64) -> bool {
        let fits = |held: &Held| now < held.until && version <= held.version;
        self.edges.get(&(from, to)).is_some_and(fits)
    }

    /// Those held now, with when they are let go.
    pub fn backed_off_edges(&self, now: Ms) -> impl Iterator<Item = (NodeId, NodeId, Ms)> + '_ {
        let all = self.edges.iter().filter(move |(_, held)| now < held.until);
        all.map(|((from, to), held)| (*from, *to, held.until))
    }

    /// Forgets those that were let go long enough ago not to be found again.
    pub fn expire(&mut self, now: Ms) {
        self.edges.retain(|_, held| now < held.until + held.span);
    }

    pub fn len(&self) -> usize {
        self.edges.len()
    }

    pub fn is_empty(&self) -> bool {
        self.edges.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_way_is_read_back_and_a_node_on_it_turns_the_fill_away() {
        let way =
            FillPath::new(7).append_node("a").and_then(|way| way.append_node("b")).expect("no loop yet");
        assert_eq!(way.to_string(), "7:a+b");
        let read = FillPath::parse("7:a+b").expect("what was written");
        assert_eq!(read, way);
        let back = read.clone().append_node("a").expect_err("a loop");
        assert_eq!(back, PathRejection::Loop { from: "b".to_string(), to: "a".to_string() });
        assert_eq!(FillPath::parse("3:").map(|way| way.names().count()), Ok(0));
        let far = (0..MAX_HOPS)
            .try_fold(FillPath::new(1), |way, n| way.append_node(&format!("n{n}")))
            .expect("so many");
        assert_eq!(far.append_node("one-more"), Err(PathRejection::HopLimit));
    }

    #[test]
    fn what_is_no_way_is_an_error() {
        for text in ["", "7", "x:a", "7:a++b", "7:a=b", "-1:a", "7:a b", "18446744073709551616:a"] {
            assert_eq!(FillPath::parse(text), Err(FillPathError::Malformed), "{text}");
        }
        let many = format!("1:{}", vec!["n"; MAX_HOPS + 1].join("+"));
        let megabyte = format!("1:{}", "n".repeat(1 << 20));
        assert_eq!(FillPath::parse(&many), Err(FillPathError::TooLong));
        assert_eq!(FillPath::parse(&megabyte), Err(FillPathError::TooLong));
    }

    #[test]
    fn an_edge_is_held_longer_each_time_and_tried_at_a_newer_shape() {
        let (mut held, a, b) = (
            EdgeBackoff::new(EdgeBackoffConfig { max_edges: 3, ..EdgeBackoffConfig::default() }),
            NodeId(1),
            NodeId(2),
        );
        held.back_off(0.0, a, b, 5);
        held.back_off(10.0, a, b, 5);
        assert!(
            held.is_backed_off(1_005.0, a, b, 5)
                && !held.is_backed_off(1_005.0, a, b, 6)
                && !held.is_backed_off(1_005.0, b, a, 5)
        );
        assert!(!held.is_backed_off(1_011.0, a, b, 5));
        held.back_off(1_500.0, a, b, 5);
        assert!(held.is_backed_off(3_499.0, a, b, 5), "twice as long when it is found again soon after");
        (10..20).for_each(|n| held.back_off(1_600.0, NodeId(n), b, 5));
        assert_eq!(held.len(), 3);
        held.expire(100_000.0);
        assert!(held.is_empty());
    }
}
