//! The error for settings that cannot be decoded.

use std::fmt;

/// The first invalid value of the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The path of the value, as in `family-info.tells`.
    pub path: String,
    /// What was got, and what was expected.
    pub message: String,
}

impl SettingsError {
    /// A value of the wrong type or with an unknown name.
    pub(crate) fn malformed(error: serde_path_to_error::Error<serde_json::Error>) -> Self {
        Self { path: error.path().to_string(), message: error.inner().to_string() }
    }

    /// Text after the end of the settings.
    pub(crate) fn trailing(error: serde_json::Error) -> Self {
        Self { path: ".".to_string(), message: error.to_string() }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.path, self.message)
    }
}

impl std::error::Error for SettingsError {}
