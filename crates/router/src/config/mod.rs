//! The configuration that `LB_CONFIG` names, and the limits of the transport that follow from it.
//!
//! Nothing here decides about requests: the policy does that.

mod error;
mod limits;

use std::net::SocketAddr;
use std::path::Path;

use linnethook_settings::DecodedSettings;
use serde::Deserialize;

use crate::descriptors;
use crate::discovery::event::EventPage;

pub use error::ConfigError;
pub use limits::Limits;
use limits::PlatformLimits;

/// The file that `LB_CONFIG` names.
#[derive(Debug, Deserialize)]
#[serde(rename = "File")]
pub struct ConfigFile {
    /// The router's name.
    pub name: String,
    /// Where it accepts clients.
    #[serde(rename = "listen")]
    pub listen_address: SocketAddr,
    /// In hexadecimal.
    pub seed: String,
    #[serde(rename = "limits")]
    platform: PlatformLimits,
    /// The address of the journal service.
    #[serde(rename = "journal")]
    pub journal_address: SocketAddr,
    /// The events of the journal that the router starts from.
    #[serde(rename = "known")]
    pub initial_events: EventPage,
    settings: serde_json::Value,
}

impl ConfigFile {
    /// How many descriptors it promises.
    pub fn promised_descriptors(&self) -> usize {
        self.platform.descriptors
    }
}

/// All that a router starts from.
#[derive(Debug)]
pub struct Config {
    /// The file as it was read.
    pub file: ConfigFile,
    /// The settings that the file has.
    pub settings: DecodedSettings,
    /// The seed of the policy.
    pub seed: u64,
    /// The limits of the transport that follow from the file.
    pub limits: Limits,
}

impl Config {
    /// Reads the configuration of a file.
    ///
    /// # Errors
    ///
    /// A file that can't be read or used; the error names it.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read(path).map_err(ConfigError::Read);
        let config = text.and_then(|text| Self::decode(&text, descriptors::soft_limit()));
        config.map_err(|error| ConfigError::File { path: path.to_path_buf(), source: Box::new(error) })
    }

    /// Decodes a configuration for a process that may have `descriptors` of them, however many it promises.
    ///
    /// # Errors
    ///
    /// A text that is no configuration, or a setting that can't be used.
    pub fn decode(text: &[u8], descriptors: usize) -> Result<Self, ConfigError> {
        let file: ConfigFile = serde_json::from_slice(text).map_err(ConfigError::Format)?;
        let settings = serde_json::to_vec(&file.settings).map_err(ConfigError::Format)?;
        let settings = linnethook_settings::decode(&settings).map_err(ConfigError::Setting)?;
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|_| ConfigError::Seed)?;
        let deadlines = settings.settings.classes.iter().map(|class| class.deadline);
        let longest_wait_ms = deadlines.fold(0.0, f64::max);
        let limits = Limits::new(file.platform, descriptors, settings.connections, longest_wait_ms);
        Ok(Self { file, settings, seed, limits })
    }

    /// The digest by which routers compare their settings.
    pub fn settings_digest(&self) -> u64 {
        // Objects are written in the order of their names.
        xxhash_rust::xxh3::xxh3_64(self.file.settings.to_string().as_bytes())
    }

    /// Decodes the settings with some of them changed, for the shadow policy.
    ///
    /// # Errors
    ///
    /// A changed setting that can't be used.
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
