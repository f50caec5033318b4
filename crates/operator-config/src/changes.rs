//! Files of changes, as `linnethook hierarchy plan` and `linnethook hierarchy apply` read them.

use linnethook_hierarchy::change_spec::ChangeSpec;

use crate::error::ConfigError;
use crate::evaluation::{evaluate, EvaluationLimits, FileKind};

/// Evaluates the text of a file of changes; `file` is its name in errors.
///
/// # Errors
///
/// The first error of the file, with its position; a file without any change is an error.
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
