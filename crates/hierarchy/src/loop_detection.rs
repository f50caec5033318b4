//! The path of a fill, by which a node detects that a fill has returned to it (compare RFC 8586, CDN-Loop).
//!
//! Routers and nodes may act on different versions of the topology for a short time. No version has a cycle,
//! but a fill that is forwarded by two versions may return to a node.

use std::fmt;

/// Maximum number of nodes that a fill may pass.
pub const MAX_HOPS: usize = 16;

/// Maximum length of the path field, in bytes.
const MAX_FIELD_BYTES: usize = 512;

/// Characters that separate names or fields on the wire, and that a name can't contain.
const SEPARATORS: &[u8] = b",=+:>";

/// The nodes that a fill has passed, and the version of the topology by which it was forwarded. Its text
/// format is `VERSION:NODE+NODE+...`.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct FillPath {
    /// The version of the topology, as a Lamport timestamp.
    pub version: u64,
    names: Vec<String>,
}

/// Why a field is not a valid fill path.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FillPathError {
    /// It exceeds the maximum length: the number of bytes.
    #[error("fill path has {0} bytes, expected at most {MAX_FIELD_BYTES}")]
    TooManyBytes(usize),
    /// It exceeds the maximum number of nodes: their number.
    #[error("fill path has {0} nodes, expected at most {MAX_HOPS}")]
    TooManyNodes(usize),
    /// The field does not have the text format of a path.
    #[error("fill path does not have the form VERSION:NODE+NODE+..., got {0:?}")]
    Malformed(String),
}

/// Why a node rejects a fill. The fill had no effect at the node.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PathRejection {
    /// The fill has returned to a node that it has passed before.
    #[error("the fill has returned to {to}, forwarded by {from}")]
    Loop {
        /// The node that forwarded it last.
        from: String,
        /// The node that it returned to.
        to: String,
    },
    /// The fill has passed the maximum number of nodes.
    #[error("the fill has passed {MAX_HOPS} nodes, the maximum")]
    HopLimit,
}

impl FillPath {
    /// The path of a fill that has passed no node.
    pub fn new(version: u64) -> Self {
        Self { version, names: Vec::new() }
    }

    /// Parses the path field of a fill.
    ///
    /// # Errors
    ///
    /// The field exceeds a bound or is malformed. Nothing is copied before its length is checked.
    pub fn parse(text: &str) -> Result<Self, FillPathError> {
        if text.len() > MAX_FIELD_BYTES {
            return Err(FillPathError::TooManyBytes(text.len()));
        }
        let malformed = || FillPathError::Malformed(text.to_string());
        let (version, names) = text.split_once(':').ok_or_else(malformed)?;
        let version = version.parse().map_err(|_| malformed())?;
        if names.is_empty() {
            return Ok(Self::new(version));
        }
        let names: Vec<&str> = names.split('+').collect();
        if names.len() > MAX_HOPS {
            return Err(FillPathError::TooManyNodes(names.len()));
        }
        if !names.iter().all(|name| is_valid_name(name)) {
            return Err(malformed());
        }
        Ok(Self { version, names: names.into_iter().map(str::to_string).collect() })
    }

    /// The nodes passed, in their order.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.names.iter().map(String::as_str)
    }

    /// The path after the fill has passed `node`.
    ///
    /// # Errors
    ///
    /// The fill has passed that node before, or has passed the maximum number of nodes.
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

fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_graphic() && !SEPARATORS.contains(&byte))
}
