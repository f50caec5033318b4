//! The commands that query audit logs, either those that routers store or those in files.
//!
//! The logs alone determine the output: no router is called to verify them.

use std::path::{Path, PathBuf};

use clap::Subcommand;
use linnethook_audit::record::{read_file, write_file, ChainLink};
use linnethook_audit::verification::VerifiedLogs;
use linnethook_membership::Ms;
use serde_json::{json, Value};

use super::audit_text::{
    applied_line, attempt_line, conflict_line, finding_lines, first_span_lines, later_span_line, span_line,
    verification_text,
};
use super::client::{call, unexpected_response};
use super::error::{CommandError, FileError, LogFileReadError};
use super::output::{json_text, OutputFormat};
use super::ControlTarget;
use crate::control::{ControlRequest, ControlResponse};

/// A time below this is in seconds: in milliseconds it would be in the distant past.
const MAX_UNIX_SECONDS: f64 = 1e11;
const MS_PER_SECOND: Ms = 1_000.0;

#[derive(Debug, Subcommand)]
pub enum AuditCommand {
    /// List who acted on a version: a number or digest of the hierarchy, journal:N, build:X, settings:X,
    /// operator:X
    Who { version: String },
    /// Show the versions that routers acted on at a time, in seconds or milliseconds of Unix time
    At { time: f64 },
    /// List all attempts of a request that must not be executed twice
    Request { id: String },
    /// Show when each router first acted on a version, and who acted on another one later
    Settled { version: String },
    /// Show when each router applied the drain or purge at a position of the journal
    Heeded { number: u64 },
    /// List routers that filled with different hierarchies at the same time
    Shapes,
    /// Write all audit logs that the routers store to a file
    Export { file: PathBuf },
    /// Verify that the logs are complete and consistent; exit code 1 if they are not
    Verify,
}

/// The result of a command in both output formats.
struct AuditReport {
    json: Value,
    text: String,
}

impl AuditReport {
    /// A report that ends with the findings of the logs' verification, since it may be incomplete.
    fn with_findings(logs: &VerifiedLogs, json: Value, text: String) -> Self {
        Self { json, text: text + &finding_lines(logs) }
    }
}

/// Runs a command on the logs in files, or without files on those of the routers at the sockets.
///
/// # Errors
///
/// Incorrect usage, files that can't be read or written, errors of the routers, and findings of `verify`.
pub fn run(
    command: &AuditCommand,
    files: &[PathBuf],
    target: &ControlTarget,
) -> Result<String, CommandError> {
    if files.is_empty() && target.socket.is_empty() {
        return Err(CommandError::NoAuditSource);
    }
    let links = read_links(files, &target.socket)?;
    if let AuditCommand::Export { file } = command {
        return export_links(file, &links);
    }
    let logs = VerifiedLogs::new(links);
    let report = make_report(command, &logs);
    let output = match target.format {
        OutputFormat::Text => report.text,
        OutputFormat::Json => json_text(&report.json),
    };
    match command {
        AuditCommand::Verify if !logs.findings.is_empty() => {
            Err(CommandError::LogsNotVerified(output.trim_end().to_string()))
        }
        _ => Ok(output),
    }
}

fn read_links(files: &[PathBuf], sockets: &[PathBuf]) -> Result<Vec<ChainLink>, CommandError> {
    let mut links = Vec::new();
    for file in files {
        links.extend(read_log_file(file)?);
    }
    if files.is_empty() {
        for socket in sockets {
            match call(socket, &ControlRequest::ListAuditRecords)? {
                ControlResponse::AuditRecords(records) => links.extend(records),
                other => return Err(unexpected_response(socket, other).into()),
            }
        }
    }
    Ok(links)
}

fn read_log_file(file: &Path) -> Result<Vec<ChainLink>, CommandError> {
    let bytes = std::fs::read(file).map_err(|error| CommandError::ReadFile(FileError::new(file, error)))?;
    read_file(&bytes)
        .map_err(|source| CommandError::LogFile(LogFileReadError { path: file.to_path_buf(), source }))
}

fn export_links(file: &Path, links: &[ChainLink]) -> Result<String, CommandError> {
    std::fs::write(file, write_file(links))
        .map_err(|error| CommandError::WriteFile(FileError::new(file, error)))?;
    Ok(format!("{}: {} records\n", file.display(), links.len()))
}

fn make_report(command: &AuditCommand, logs: &VerifiedLogs) -> AuditReport {
    match command {
        AuditCommand::Who { version } => {
            let spans: Vec<_> = logs.spans_on_version(version).collect();
            let text = spans.iter().map(span_line).collect();
            AuditReport::with_findings(logs, json!({ "spans": spans, "missing": logs.findings }), text)
        }
        AuditCommand::At { time } => {
            let spans: Vec<_> = logs.spans_at(unix_ms(*time)).collect();
            let text = spans.iter().map(span_line).collect();
            AuditReport::with_findings(logs, json!({ "spans": spans, "missing": logs.findings }), text)
        }
        AuditCommand::Request { id } => {
            let attempts = logs.attempts_of_request(id);
            let text = attempts.iter().map(attempt_line).collect();
            AuditReport::with_findings(logs, json!({ "attempts": attempts, "missing": logs.findings }), text)
        }
        AuditCommand::Settled { version } => report_settled(logs, version),
        AuditCommand::Heeded { number } => {
            let applied = logs.journal_event_applied(*number);
            let text = applied.iter().map(applied_line).collect();
            AuditReport::with_findings(logs, json!({ "heeded": applied, "missing": logs.findings }), text)
        }
        AuditCommand::Shapes => {
            let conflicts = logs.conflicting_hierarchies();
            let text = conflicts.iter().map(conflict_line).collect();
            AuditReport::with_findings(
                logs,
                json!({ "two_shapes": conflicts, "missing": logs.findings }),
                text,
            )
        }
        AuditCommand::Verify | AuditCommand::Export { .. } => report_verification(logs),
    }
}

/// Converts a time, given in seconds or milliseconds, to Unix milliseconds.
fn unix_ms(time: f64) -> Ms {
    match time < MAX_UNIX_SECONDS {
        true => time * MS_PER_SECOND,
        false => time,
    }
}

fn report_settled(logs: &VerifiedLogs, version: &str) -> AuditReport {
    let first_spans = logs.first_spans_on_version(version);
    let digest = logs.spans_on_version(version).next().map(|span| span.span.versions.hierarchy.digest);
    let settled_at = first_spans.last().map(|first| first.at).unwrap_or_default();
    let behind = digest.map(|digest| logs.spans_on_other_hierarchy(digest, settled_at)).unwrap_or_default();
    let mut text = first_span_lines(&first_spans);
    text.extend(behind.iter().map(later_span_line));
    let json = json!({ "settled": first_spans, "behind": behind, "missing": logs.findings });
    AuditReport::with_findings(logs, json, text)
}

fn report_verification(logs: &VerifiedLogs) -> AuditReport {
    let count = logs.incarnations().count();
    let earliest_known = logs.earliest_known();
    let json = json!({ "accounts": count, "known_from": earliest_known, "findings": logs.findings });
    AuditReport { json, text: verification_text(logs, count) }
}
