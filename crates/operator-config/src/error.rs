//! The error for an invalid file.

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
    /// The beginning of a file, used if no better position is known.
    pub(crate) const START: Self = Self { line: 1, column: 1 };
}

/// Why a file is invalid. Displayed as one line, `FILE:LINE:COLUMN: MESSAGE`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigError {
    /// The name of the file, as given by the caller.
    pub file: String,
    /// The position in the file; `None` if the error concerns the entire file.
    pub position: Option<Position>,
    /// What is invalid, what was expected and what was got.
    pub message: String,
}

impl ConfigError {
    /// An error that concerns the entire file.
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
