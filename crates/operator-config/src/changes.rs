//! Files of hierarchy changes, which `linnethook hierarchy plan` and `linnethook hierarchy apply` read.

use linnethook_hierarchy::change_spec::ChangeSpec;

use crate::error::ConfigError;
use crate::evaluation::{evaluate, EvaluationLimits, FileKind};

/// Evaluates the text of a file of hierarchy changes; `file` is its name in errors.
///
/// # Errors
///
/// The first error of the file, with its position. A file without changes is an error.
pub fn parse_changes(
    file: &str,
    text: &str,
    limits: &EvaluationLimits,
) -> Result<Vec<ChangeSpec>, ConfigError> {
    let calls = evaluate(FileKind::Changes, file, text, limits)?;
    if calls.changes.is_empty() {
        return Err(ConfigError::of_file(file, "expected at least one change"));
    }
    Ok(calls.changes)
}
