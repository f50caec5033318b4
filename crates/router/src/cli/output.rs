//! The two forms in which commands print: text for people, JSON for programs.

use clap::ValueEnum;
use serde::Serialize;

/// The form in which a command prints. The variants have no comments, since `--help` would print them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    Text,
    Json,
}

impl OutputFormat {
    /// A value in this form; `text` makes the text of it.
    pub fn render<T: Serialize + ?Sized>(self, value: &T, text: impl FnOnce(&T) -> String) -> String {
        match self {
            Self::Text => text(value),
            Self::Json => json_text(value),
        }
    }

    /// What a router says that it has done.
    pub fn render_done(self, message: &str) -> String {
        self.render(message, |message| format!("{message}\n"))
    }
}

/// A value as indented JSON.
pub fn json_text<T: Serialize + ?Sized>(value: &T) -> String {
    serde_json::to_string_pretty(value).map(|text| text + "\n").unwrap_or_default()
}

/// Counters, or any struct of numbers, as `name=value` in the order of the names.
pub fn counters_text<T: Serialize>(counters: &T) -> String {
    let counters = serde_json::to_value(counters).unwrap_or_default();
    let counters = counters.as_object().into_iter().flatten();
    counters.map(|(name, count)| format!("{name}={count}")).collect::<Vec<_>>().join(" ")
}
