//! Why a configuration is invalid.

use std::fmt;
use std::io;
use std::path::PathBuf;

use linnethook_settings::SettingsError;

/// Why a configuration is invalid.
#[derive(Debug)]
pub enum ConfigError {
    /// The file can't be read.
    Read(io::Error),
    /// The text is not JSON, or a field is missing or of another type.
    Format(serde_json::Error),
    /// A setting is invalid.
    Setting(SettingsError),
    /// The seed is not hexadecimal; its text in the file.
    Seed(String),
    /// A setting changed by the `watch()` function of the operator file is invalid.
    ShadowSetting(SettingsError),
    /// An error of a file.
    File {
        /// The file.
        path: PathBuf,
        /// The error.
        source: Box<ConfigError>,
    },
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(error) => write!(f, "the configuration file can't be read: {error}"),
            Self::Format(error) if error.is_eof() => {
                write!(f, "the configuration file is not complete JSON, it may be truncated: {error}")
            }
            Self::Format(error) => write!(f, "the configuration file is invalid: {error}"),
            Self::Setting(error) => write!(f, "settings.{error}"),
            Self::Seed(seed) => write!(f, "seed: expected a hexadecimal 64-bit number, got {seed:?}"),
            Self::ShadowSetting(error) => write!(f, "watch(): settings.{error}"),
            Self::File { path, source } => write!(f, "{}: {source}", path.display()),
        }
    }
}

impl ConfigError {
    /// Whether the file may be readable soon: reading has failed, or it is still being written.
    pub fn may_be_momentary(&self) -> bool {
        match self {
            Self::Read(error) => error.kind() != io::ErrorKind::NotFound,
            Self::Format(error) => error.is_eof(),
            Self::File { source, .. } => source.may_be_momentary(),
            Self::Setting(_) | Self::Seed(_) | Self::ShadowSetting(_) => false,
        }
    }
}

impl std::error::Error for ConfigError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Read(error) => Some(error),
            Self::Format(error) => Some(error),
            Self::Setting(error) | Self::ShadowSetting(error) => Some(error),
            Self::File { source, .. } => Some(source),
            Self::Seed(_) => None,
        }
    }
}
