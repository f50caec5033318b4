//! Owns where a router stands in the tree of the fleet: the names from the outermost part down to its site.
//!
//! Must never take two places for one because their names run together, nor a place for one within itself only.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Names of a place, and bytes of each.
pub const MAX_DEPTH: usize = 6;
pub const MAX_NAME_BYTES: usize = 64;

/// The names from the outermost part inwards; none stands for the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Location(Vec<String>);

#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum LocationError {
    #[error("expected 1 to {MAX_DEPTH} names with / between them, got {0}")]
    Depth(usize),
    #[error("expected names of 1 to {MAX_NAME_BYTES} letters, digits or signs without /, got {0:?}")]
    Name(String),
}

impl Location {
    /// Reads names with `/` between them, the outermost first.
    ///
    /// # Errors
    ///
    /// Too many names, or one that is empty, too long or of other signs.
    pub fn parse(text: &str) -> Result<Self, LocationError> {
        let names: Vec<String> = text.split('/').map(str::to_string).collect();
        if names.len() > MAX_DEPTH {
            return Err(LocationError::Depth(names.len()));
        }
        let plain = |name: &String| {
            (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(|byte| byte.is_ascii_graphic())
        };
        match names.iter().find(|name| !plain(name)) {
            Some(bad) => Err(LocationError::Name(bad.chars().take(MAX_NAME_BYTES).collect())),
            None => Ok(Self(names)),
        }
    }

    /// How many names it has: 0 for the whole fleet.
    pub fn depth(&self) -> usize {
        self.0.len()
    }

    /// The place around it that has so many names.
    pub fn ancestor(&self, depth: usize) -> Self {
        Self(self.0[..depth.min(self.0.len())].to_vec())
    }

    /// How many of the outermost names both have.
    pub fn common_depth(&self, other: &Self) -> usize {
        self.0.iter().zip(&other.0).take_while(|(a, b)| a == b).count()
    }

    /// Whether another place is within this one, or is this one.
    pub fn contains(&self, other: &Self) -> bool {
        self.common_depth(other) == self.depth()
    }

    /// Whether it stands right within that one.
    pub fn is_child_of(&self, parent: &Self) -> bool {
        self.depth() == parent.depth() + 1 && parent.contains(self)
    }

    /// Whether a place that was heard is one at all.
    pub fn is_valid(&self) -> bool {
        (1..=MAX_DEPTH).contains(&self.depth()) && Self::parse(&self.to_string()).as_ref() == Ok(self)
    }
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join("/"))
    }
}
