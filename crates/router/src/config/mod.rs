//! The configuration file named by `LB_CONFIG`, and the transport limits derived from it.
//!
//! The settings of routing decisions are decoded here, but interpreted only by the policy.

mod error;
mod limits;

use std::net::SocketAddr;
use std::path::Path;

use linnethook_settings::DecodedSettings;
use serde::Deserialize;

use crate::descriptors;
use crate::discovery::event::EventPage;
use crate::start_retry;

pub use error::ConfigError;
use limits::PlatformLimits;
pub use limits::{Limits, PartLimits, TurnLimits};

/// The configuration file named by `LB_CONFIG`.
#[derive(Debug, Deserialize)]
#[serde(rename = "File")]
pub struct ConfigFile {
    /// The name of the router.
    pub name: String,
    /// The address at which it accepts clients.
    #[serde(rename = "listen")]
    pub listen_address: SocketAddr,
    /// The seed of the policy, in hexadecimal.
    pub seed: String,
    #[serde(rename = "limits")]
    platform: PlatformLimits,
    /// The address of the journal service.
    #[serde(rename = "journal")]
    pub journal_address: SocketAddr,
    /// The events of the journal that the router starts with.
    #[serde(rename = "known")]
    pub initial_events: EventPage,
    settings: serde_json::Value,
}

impl ConfigFile {
    /// The number of descriptors that the platform promises.
    pub fn promised_descriptors(&self) -> usize {
        self.platform.descriptors
    }
}

/// A decoded configuration.
#[derive(Debug)]
pub struct Config {
    /// The fields of the file.
    pub file: ConfigFile,
    /// The settings in the file.
    pub settings: DecodedSettings,
    /// The seed of the policy.
    pub seed: u64,
    /// The transport limits derived from the file.
    pub limits: Limits,
}

impl Config {
    /// Reads a configuration file.
    ///
    /// # Errors
    ///
    /// The file can't be read or is invalid; the error names it.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read(path).map_err(ConfigError::Read);
        let config = text.and_then(|text| Self::decode(&text, descriptors::soft_limit()));
        config.map_err(|error| ConfigError::File { path: path.to_path_buf(), source: Box::new(error) })
    }

    /// Reads a configuration file at the start, again where it can't be read for a moment.
    ///
    /// # Errors
    ///
    /// As [`Self::read`].
    pub fn read_at_start(path: &Path) -> Result<Self, ConfigError> {
        start_retry::retry(|| Self::read(path), ConfigError::may_be_momentary)
    }

    /// Decodes a configuration for a process that may open at most `descriptors` descriptors, even if the
    /// configuration promises more.
    ///
    /// # Errors
    ///
    /// The text is not a configuration, or a setting is invalid.
    pub fn decode(text: &[u8], descriptors: usize) -> Result<Self, ConfigError> {
        let file: ConfigFile = serde_json::from_slice(text).map_err(ConfigError::Format)?;
        let settings = serde_json::to_vec(&file.settings).map_err(ConfigError::Format)?;
        let settings = linnethook_settings::decode(&settings).map_err(ConfigError::Setting)?;
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|_| ConfigError::Seed(file.seed.clone()))?;
        let deadlines = settings.settings.classes.iter().map(|class| class.deadline);
        let longest_wait_ms = deadlines.fold(0.0, f64::max);
        let limits = Limits::new(file.platform, descriptors, settings.connections, longest_wait_ms);
        Ok(Self { file, settings, seed, limits })
    }

    /// The digest of the settings, which routers compare with each other.
    pub fn settings_digest(&self) -> u64 {
        // The serialization is deterministic: the fields of objects are written in the order of their names.
        xxhash_rust::xxh3::xxh3_64(self.file.settings.to_string().as_bytes())
    }

    /// Decodes the settings with some of them changed, for the shadow policy.
    ///
    /// # Errors
    ///
    /// A changed setting is invalid.
    pub fn decode_changed_settings(
        &self,
        changes: &serde_json::Value,
    ) -> Result<DecodedSettings, ConfigError> {
        let settings = linnethook_settings::merge(&self.file.settings, changes);
        let settings = serde_json::to_vec(&settings).map_err(ConfigError::Format)?;
        linnethook_settings::decode(&settings).map_err(ConfigError::ShadowSetting)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/config.rs"]
mod tests;
