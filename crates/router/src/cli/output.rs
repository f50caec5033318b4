//! The output formats of commands: text for people, JSON for programs.

use clap::ValueEnum;
use serde::Serialize;

/// The output format of a command. The variants have no doc comments, since `--help` would print them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    Text,
    Json,
}

impl OutputFormat {
    /// Formats a value; `text` formats it as text.
    pub fn render<T: Serialize + ?Sized>(self, value: &T, text: impl FnOnce(&T) -> String) -> String {
        match self {
            Self::Text => text(value),
            Self::Json => json_text(value),
        }
    }

    /// Formats a router's message about an executed request.
    pub fn render_done(self, message: &str) -> String {
        self.render(message, |message| format!("{message}\n"))
    }
}

/// A value as indented JSON.
pub fn json_text<T: Serialize + ?Sized>(value: &T) -> String {
    serde_json::to_string_pretty(value).map(|text| text + "\n").unwrap_or_default()
}

/// Formats a struct of numbers as `name=value`, in the order of the names.
pub fn counters_text<T: Serialize>(counters: &T) -> String {
    let counters = serde_json::to_value(counters).unwrap_or_default();
    let counters = counters.as_object().into_iter().flatten();
    counters.map(|(name, count)| format!("{name}={count}")).collect::<Vec<_>>().join(" ")
}
