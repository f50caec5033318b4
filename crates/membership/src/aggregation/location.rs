//! Topology locations: the names of nested regions, from the outermost region down to a site.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The largest number of names in a location.
pub const MAX_DEPTH: usize = 6;
/// The longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// A location as its names, the outermost region first. A location without names is the entire fleet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Location(Vec<String>);

/// Reasons why a text is not a location.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum LocationError {
    /// Too many names; the number found.
    #[error("expected 1 to {MAX_DEPTH} names separated by /, got {0}")]
    Depth(usize),
    /// A name that is empty, too long, or not visible ASCII.
    #[error("expected names of 1 to {MAX_NAME_BYTES} visible ASCII characters other than /, got {0:?}")]
    Name(String),
}

impl Location {
    /// Parses names separated by `/`, the outermost region first.
    ///
    /// # Errors
    ///
    /// Too many names, or a name that is empty, too long or not visible ASCII.
    pub fn parse(text: &str) -> Result<Self, LocationError> {
        let names: Vec<String> = text.split('/').map(str::to_string).collect();
        if names.len() > MAX_DEPTH {
            return Err(LocationError::Depth(names.len()));
        }
        match names.iter().find(|name| !is_valid_name(name)) {
            Some(name) => Err(LocationError::Name(name.chars().take(MAX_NAME_BYTES).collect())),
            None => Ok(Self(names)),
        }
    }

    /// The number of names: 0 for the entire fleet.
    pub fn depth(&self) -> usize {
        self.0.len()
    }

    /// The enclosing location of this depth, or the location itself if it is not deeper.
    pub fn ancestor(&self, depth: usize) -> Self {
        Self(self.0[..depth.min(self.0.len())].to_vec())
    }

    /// How many of the outermost names both locations share.
    pub fn common_depth(&self, other: &Self) -> usize {
        let pairs = self.0.iter().zip(&other.0);
        pairs.take_while(|(own, theirs)| own == theirs).count()
    }

    /// Whether the other location is this one or lies within it.
    pub fn contains(&self, other: &Self) -> bool {
        self.common_depth(other) == self.depth()
    }

    /// Whether this location lies directly within that one.
    pub fn is_child_of(&self, parent: &Self) -> bool {
        self.depth() == parent.depth() + 1 && parent.contains(self)
    }

    /// Whether a received location is one that [`Location::parse`] accepts.
    pub fn is_valid(&self) -> bool {
        let is_depth_valid = (1..=MAX_DEPTH).contains(&self.depth());
        is_depth_valid && Self::parse(&self.to_string()).as_ref() == Ok(self)
    }
}

fn is_valid_name(name: &str) -> bool {
    let is_length_valid = (1..=MAX_NAME_BYTES).contains(&name.len());
    is_length_valid && name.bytes().all(|byte| byte.is_ascii_graphic())
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join("/"))
    }
}
