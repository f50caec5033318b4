//! Decodes the settings of one router from their JSON text.
//!
//! The simulator sends this text in its protocol, and a real router reads it from its configuration. Unknown
//! keys are ignored; a missing key has a default, which for most keys means "unknown" or "off". The names of
//! the keys appear only in `text` and in the paths of errors.

#![warn(missing_docs)]
#![warn(clippy::missing_errors_doc, clippy::too_many_lines, clippy::unwrap_used, clippy::wildcard_imports)]

mod convert;
mod error;
mod load_report;
mod ranges;
mod text;

use linnethook::interface::{Ms, Settings};
use serde_json::Value;

pub use error::SettingsError;
pub use load_report::{load_report, LoadReportField};

/// All settings in the text.
#[derive(Debug, Clone)]
pub struct DecodedSettings {
    /// The settings of the decision module.
    pub settings: Settings,
    /// The fields of a load report, in the order of its values.
    pub report_fields: Vec<LoadReportField>,
    /// The names that the text gives to these fields, in the same order.
    pub report_names: Vec<String>,
    /// The names of the numbers in `settings`.
    pub names: SettingNames,
    /// Settings that concern only connections.
    pub connections: ConnectionSettings,
}

/// The names of the numbers in [`Settings`]; the index is the number.
#[derive(Debug, Clone, Default)]
pub struct SettingNames {
    /// Names of request classes.
    pub classes: Vec<String>,
    /// Names of zones.
    pub zones: Vec<String>,
    /// Names of roles.
    pub roles: Vec<String>,
}

/// Settings that concern only connections.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionSettings {
    /// Time after which a connection attempt fails.
    pub connect_timeout: Ms,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Ms,
    /// Maximum number of requests in flight on one connection, at least 1.
    pub streams_per_connection: u32,
    /// Maximum number of open connections.
    pub max_open: u32,
}

/// Decodes the JSON text of the settings.
///
/// # Errors
///
/// The path of the first value that is malformed or out of range, with what was got and expected.
pub fn decode(text: &[u8]) -> Result<DecodedSettings, SettingsError> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let text: text::SettingsText =
        serde_path_to_error::deserialize(&mut json).map_err(SettingsError::malformed)?;
    json.end().map_err(SettingsError::trailing)?;
    ranges::check(&text)?;
    Ok(convert::decoded(text))
}

/// Merges changes into the JSON of settings: objects are merged recursively, all other values are replaced.
pub fn merge(settings: &Value, changes: &Value) -> Value {
    let (Value::Object(old), Value::Object(new)) = (settings, changes) else { return changes.clone() };
    let mut merged = old.clone();
    for (key, value) in new {
        let value = old.get(key).map_or_else(|| value.clone(), |old| merge(old, value));
        merged.insert(key.clone(), value);
    }
    Value::Object(merged)
}
