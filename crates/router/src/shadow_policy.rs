//! The shadow policy of the operator file: the settings that it changes, and when its counts are logged.

use linnethook_operator_config::config::ShadowPolicySection;
use linnethook_settings::DecodedSettings;
use serde_json::{json, Map, Value};

use crate::config::{Config, ConfigError};
use crate::policy_adapter::Ms;

/// Milliseconds of a second.
const MS_PER_SECOND: Ms = 1_000.0;

/// What a shadow policy starts from.
#[derive(Debug)]
pub struct ShadowSetup {
    /// The router's settings with those of the section in their place.
    pub settings: DecodedSettings,
    /// How often its counts are logged, in milliseconds.
    pub log_interval: Ms,
}

impl ShadowSetup {
    /// Merges a section of the operator file with the router's settings.
    ///
    /// # Errors
    ///
    /// A changed setting that can't be used.
    pub fn new(config: &Config, section: &ShadowPolicySection) -> Result<Self, ConfigError> {
        let settings = config.decode_changed_settings(&changed_settings(section))?;
        Ok(Self { settings, log_interval: section.log_interval_seconds * MS_PER_SECOND })
    }
}

/// The settings that `watch()` changes, by their names in `LB_CONFIG`.
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

/// When the counts of the shadow policy are logged.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShadowReport {
    interval: Ms,
    next: Ms,
}

impl ShadowReport {
    /// The first report is due after one interval.
    pub fn new(now: Ms, interval: Ms) -> Self {
        Self { interval, next: now + interval }
    }

    /// Whether a report is due; the next one is then due after one interval.
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
