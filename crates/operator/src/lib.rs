//! The operator file: all that is set beside what the platform gives, in Starlark, typed and checked.
//!
//! - [`knobs`]: the tables of settings, with defaults and ranges;
//! - [`script`]: the functions of the file, and its evaluation within the language's bounds;
//! - [`apart`]: the same in a process of its own, within the system's.
//!
//! [`Operator::read`] gives the whole file or one error with its place; nothing of a bad file is used.

pub mod apart;
pub mod knobs;
pub mod script;

use std::fmt;

use linnethook_hierarchy::named::{self, ChangeSpec, NodeSpec};

use serde::{Deserialize, Serialize};

use script::{evaluate, At, HierarchyPart, Kind, Log};

/// How far an evaluation may go.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Of the file.
    pub bytes: usize,
    /// Instructions and turns of loops.
    pub steps: u64,
    pub depth: usize,
    /// Bytes of values, looked at as it goes.
    pub memory: usize,
    /// Milliseconds.
    pub millis: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { bytes: 16 << 20, steps: 4_000_000, depth: 64, memory: 96 << 20, millis: 5_000 }
    }
}

/// What is wrong with a file, and where.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wrong {
    pub file: String,
    pub at: Option<At>,
    pub what: String,
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.at {
            Some((line, column)) => write!(f, "{}:{line}:{column}: {}", self.file, self.what),
            None => write!(f, "{}: {}", self.file, self.what),
        }
    }
}

impl std::error::Error for Wrong {}

/// A whole operator file.
#[derive(Debug, Clone, Default)]
pub struct Operator {
    /// The path of the control socket.
    pub control: Option<String>,
    pub log: Option<Log>,
    pub hierarchy: Option<Hierarchy>,
}

/// The hierarchy as the file has it.
#[derive(Debug, Clone)]
pub struct Hierarchy {
    pub part: HierarchyPart,
    pub nodes: Vec<NodeSpec>,
}

impl Operator {
    /// Reads a file's text.
    pub fn read(file: &str, text: &str, bounds: &Bounds) -> Result<Self, Wrong> {
        let parts = evaluate(Kind::Operator, file, text, bounds)?;
        let wrong = |at: Option<At>, what: String| Wrong { file: file.to_string(), at, what };
        let first = parts.nodes.first().map(|(at, _)| *at);
        let (places, nodes): (Vec<At>, Vec<NodeSpec>) = parts.nodes.into_iter().unzip();
        let hierarchy = match parts.hierarchy {
            None if !nodes.is_empty() => {
                return Err(wrong(first, "node(): expected a hierarchy() beside it".to_string()));
            }
            None => None,
            Some((at, part)) => {
                if nodes.len() > part.rules.bounds.nodes {
                    let most = part.rules.bounds.nodes;
                    return Err(wrong(
                        Some(at),
                        format!("{} nodes, expected {most} at the most", nodes.len()),
                    ));
                }
                // Without nodes the shape comes from elsewhere.
                if let Err(bad) =
                    named::check(&nodes).or_else(|bad| if nodes.is_empty() { Ok(()) } else { Err(bad) })
                {
                    let place = bad.node().and_then(|name| nodes.iter().rposition(|node| node.name == name));
                    return Err(wrong(place.map(|n| places[n]).or(Some(at)), bad.to_string()));
                }
                Some(Hierarchy { part, nodes })
            }
        };
        let control = parts.control.map(|(_, path)| path);
        Ok(Self { control, log: parts.log.map(|(_, log)| log), hierarchy })
    }
}

/// Reads a file of changes, as `linnethook hierarchy plan` and `apply` take them.
pub fn changes(file: &str, text: &str, bounds: &Bounds) -> Result<Vec<ChangeSpec>, Wrong> {
    let parts = evaluate(Kind::Changes, file, text, bounds)?;
    match parts.changes.is_empty() {
        true => {
            Err(Wrong { file: file.to_string(), at: None, what: "expected at least one change".to_string() })
        }
        false => Ok(parts.changes),
    }
}

/// The reference of `hierarchy()`: each setting with its default, range and unit, one a line.
pub fn reference() -> String {
    let rules = linnethook_hierarchy::Rules::default();
    let line = |knob: &knobs::Knob<linnethook_hierarchy::Rules>| {
        let unit = if knob.unit.is_empty() { "" } else { " " };
        let (least, most) = (knob.least, knob.most);
        let default = knob.default(&rules);
        format!("| `{}` | {default}{unit}{} | {least} to {most} | {} |\n", knob.name, knob.unit, knob.about)
    };
    knobs::HIERARCHY.iter().map(line).collect()
}
