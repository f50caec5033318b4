//! Decodes the settings of one router from their JSON text.
//!
//! The simulator sends this text on its wire, and a real router reads it from its configuration. Unknown keys
//! are ignored; a missing key has the value that stands for "unknown". The names of the keys appear in `text`
//! and in the paths of errors only.

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

/// Everything that the text contains.
#[derive(Debug, Clone)]
pub struct DecodedSettings {
    /// What the decision module is configured with.
    pub settings: Settings,
    /// What the values of a load report are, in their order.
    pub report_fields: Vec<LoadReportField>,
    /// The text's own names for the values of a load report, in the same order.
    pub report_names: Vec<String>,
    /// The names behind the numbers of `settings`.
    pub names: SettingNames,
    /// What concerns connections only.
    pub connections: ConnectionSettings,
}

/// The names behind the numbers that [`Settings`] uses, by number.
#[derive(Debug, Clone, Default)]
pub struct SettingNames {
    /// Names of request classes.
    pub classes: Vec<String>,
    /// Names of zones.
    pub zones: Vec<String>,
    /// Names of roles.
    pub roles: Vec<String>,
}

/// Settings that concern connections only.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionSettings {
    /// Time after which a connection attempt fails.
    pub connect_timeout: Ms,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Ms,
    /// The most requests in flight on one connection, at least 1.
    pub streams_per_connection: u32,
    /// The most connections that are open at once.
    pub max_open: u32,
}

/// Decodes the text.
///
/// # Errors
///
/// The path of the first value that is malformed or out of its range, and what is expected there.
pub fn decode(text: &[u8]) -> Result<DecodedSettings, SettingsError> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let text: text::SettingsText =
        serde_path_to_error::deserialize(&mut json).map_err(SettingsError::malformed)?;
    json.end().map_err(SettingsError::trailing)?;
    ranges::check(&text)?;
    Ok(convert::decoded(text))
}

/// Applies changes to the JSON of settings: objects are merged, any other value is replaced.
pub fn merge(settings: &Value, changes: &Value) -> Value {
    let (Value::Object(old), Value::Object(new)) = (settings, changes) else { return changes.clone() };
    let mut merged = old.clone();
    for (key, value) in new {
        let value = old.get(key).map_or_else(|| value.clone(), |old| merge(old, value));
        merged.insert(key.clone(), value);
    }
    Value::Object(merged)
}
