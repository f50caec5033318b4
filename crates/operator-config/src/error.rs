//! The error of an invalid file.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A position in a file. Line and column count from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// The line.
    pub line: usize,
    /// The column, in characters.
    pub column: usize,
}

impl Position {
    /// The beginning of a file, where no better position is known.
    pub(crate) const START: Self = Self { line: 1, column: 1 };
}

/// Why a file is not used. It is shown as one line, `FILE:LINE:COLUMN: MESSAGE`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigError {
    /// The file as its reader named it.
    pub file: String,
    /// Where in the file; `None` if the error is not about one place.
    pub position: Option<Position>,
    /// What is invalid, and what was expected.
    pub message: String,
}

impl ConfigError {
    /// An error that is about the file as a whole.
    pub fn of_file(file: &str, message: impl Into<String>) -> Self {
        Self { file: file.to_string(), position: None, message: message.into() }
    }

    /// An error at a position.
    pub(crate) fn at(file: &str, position: Position, message: impl Into<String>) -> Self {
        Self { file: file.to_string(), position: Some(position), message: message.into() }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.position {
            Some(Position { line, column }) => write!(f, "{}:{line}:{column}: {}", self.file, self.message),
            None => write!(f, "{}: {}", self.file, self.message),
        }
    }
}

impl std::error::Error for ConfigError {}
