//! The shadow policy of the operator file: its changed settings, and the interval at which its counts are
//! logged.

use linnethook_operator_config::config::ShadowPolicySection;
use linnethook_settings::DecodedSettings;
use serde_json::{json, Map, Value};

use crate::config::{Config, ConfigError};
use crate::policy_adapter::Ms;

/// Milliseconds per second.
const MS_PER_SECOND: Ms = 1_000.0;

/// The settings of a shadow policy.
#[derive(Debug)]
pub struct ShadowSetup {
    /// The router's settings, with the changes of the section applied.
    pub settings: DecodedSettings,
    /// The interval at which its counts are logged, in milliseconds.
    pub log_interval: Ms,
}

impl ShadowSetup {
    /// Applies a section of the operator file to the router's settings.
    ///
    /// # Errors
    ///
    /// A changed setting is invalid.
    pub fn new(config: &Config, section: &ShadowPolicySection) -> Result<Self, ConfigError> {
        let settings = config.decode_changed_settings(&changed_settings(section))?;
        Ok(Self { settings, log_interval: section.log_interval_seconds * MS_PER_SECOND })
    }
}

/// The settings changed by `watch()`, with their names in the configuration file.
fn changed_settings(section: &ShadowPolicySection) -> Value {
    let mut all = Map::new();
    let mut family = Map::new();
    let mut put =
        |name: &str, value: Option<Value>| value.map(|value| family.insert(name.to_string(), value));
    put("tells", section.tells.clone().map(Value::from));
    put("peers-fill", section.peers_fill.clone().map(Value::from));
    put("merges-fills", section.merges_fills.map(Value::from));
    put("bypass-allowed", section.bypass_allowed.map(Value::from));
    if let Some(source) = &section.weight_source {
        all.insert("weight-source".to_string(), Value::from(source.as_str()));
    }
    if let Some(most) = section.max_attempts {
        all.insert("allowed".to_string(), json!({ "max-attempts": most }));
    }
    all.insert("family-info".to_string(), Value::Object(family));
    Value::Object(all)
}

/// The schedule by which the counts of the shadow policy are logged.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShadowReport {
    interval: Ms,
    next: Ms,
}

impl ShadowReport {
    /// Creates a schedule whose first report is due after one interval.
    pub fn new(now: Ms, interval: Ms) -> Self {
        Self { interval, next: now + interval }
    }

    /// Whether a report is due. If it is, the next one is due one interval after `now`.
    pub fn take_due(&mut self, now: Ms) -> bool {
        let is_due = self.next <= now;
        if is_due {
            self.next = now + self.interval;
        }
        is_due
    }
}

#[cfg(test)]
#[path = "../tests/unit/shadow_policy.rs"]
mod tests;
