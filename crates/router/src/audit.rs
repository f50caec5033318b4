//! Owns the commands that read accounts: they ask routers for all that these keep, or read files, and judge by that
//! alone.
//!
//! Must never ask a router to judge, nor say more than the accounts prove.

use std::path::{Path, PathBuf};

use clap::Subcommand;
use linnethook_audit::record::{read_file, write_file, AuditedAction, ChainLink};
use linnethook_audit::verification::{AttemptTrace, AttributedSpan, Finding, VerifiedLogs};
use linnethook_membership::hybrid_clock::Timestamp;
use serde_json::json;

use crate::cli::{as_json, ask, At, Failed, Format};
use crate::control::{ControlRequest, ControlResponse};

#[derive(Debug, Subcommand)]
pub enum Verb {
    /// Who acted on a version: a number or digest of the hierarchy, journal:N, build:X, settings:X, operator:X
    Who { version: String },
    /// What each acted on at a time, in seconds or milliseconds of Unix time
    At { time: f64 },
    /// All attempts of a request that must not run twice
    Request { id: String },
    /// When each router first acted on a version, and who acted on another one afterwards
    Settled { version: String },
    /// Who heeded the drain or purge of a number of the journal, and when
    Heeded { number: u64 },
    /// Routers that filled by two shapes of the hierarchy at once
    Shapes,
    /// Write all that the routers keep to a file
    Export { file: PathBuf },
    /// Whether the accounts hold together, and what is missing; exit code 1 where anything is
    Verify,
}

fn read(file: &Path) -> Result<Vec<ChainLink>, Failed> {
    let wrong = |what: String| Failed::Input(format!("{}: {what}", file.display()));
    let bytes = std::fs::read(file).map_err(|why| wrong(why.to_string()))?;
    read_file(&bytes).ok_or_else(|| wrong("this is no file of accounts, or it is cut short".to_string()))
}

/// Carries a command out; from files, or from the routers at these sockets.
pub fn carry_out(verb: &Verb, from: &[PathBuf], at: &At) -> Result<String, Failed> {
    if from.is_empty() && at.socket.is_empty() {
        return Err(Failed::Input(
            "--socket (or LB_CONTROL) or --from is needed: whose accounts?".to_string(),
        ));
    }
    let mut links = Vec::new();
    for file in from {
        links.extend(read(file)?);
    }
    for socket in at.socket.iter().filter(|_| from.is_empty()) {
        match ask(socket, &ControlRequest::ListAuditRecords)? {
            ControlResponse::AuditRecords(all) => links.extend(all),
            ControlResponse::Refused(why) => {
                return Err(Failed::Other(format!("{}: {why}", socket.display())))
            }
            _ => {
                return Err(Failed::Other(format!("{}: another answer than was asked for", socket.display())))
            }
        }
    }
    if let Verb::Export { file } = verb {
        std::fs::write(file, write_file(&links))
            .map_err(|why| Failed::Other(format!("{}: {why}", file.display())))?;
        return Ok(format!("{}: {} records\n", file.display(), links.len()));
    }
    let accounts = VerifiedLogs::new(links);
    let said = judged(verb, &accounts);
    let text = if at.format == Format::Json { as_json(&said.0) } else { said.1 };
    match verb {
        Verb::Verify if !accounts.findings.is_empty() => Err(Failed::Other(text.trim_end().to_string())),
        _ => Ok(text),
    }
}

/// What a command says, for programs and for people.
fn judged(verb: &Verb, accounts: &VerifiedLogs) -> (serde_json::Value, String) {
    match verb {
        Verb::Who { version } => lines(accounts, accounts.spans_on_version(version).collect()),
        Verb::At { time } => {
            // What can't be milliseconds of our time is seconds.
            let time = if *time < 1e11 { time * 1_000.0 } else { *time };
            lines(accounts, accounts.spans_at(time).collect())
        }
        Verb::Request { id } => {
            let traces = accounts.attempts_of_request(id);
            let text = traces.iter().map(trace).collect::<String>() + &gaps(accounts);
            (json!({ "attempts": traces, "missing": accounts.findings }), text)
        }
        Verb::Settled { version } => {
            let all = accounts.first_spans_on_version(version);
            let digest =
                accounts.spans_on_version(version).next().map(|line| line.span.versions.hierarchy.digest);
            let since = all.last().map(|(.., at, _)| *at).unwrap_or_default();
            let behind =
                digest.map(|digest| accounts.spans_on_other_hierarchy(digest, since)).unwrap_or_default();
            let first = all.first().map_or(0, |(.., at, _)| at.ms);
            let line = |(name, start, at, clock): &(String, u64, Timestamp, f64)| {
                format!(
                    "{name} (start {start}) from {at}, {} ms after the first; by its clock {clock:.0}\n",
                    at.ms - first
                )
            };
            let mut text: String = all.iter().map(line).collect();
            let later = behind.iter().map(|line| {
                let span = &line.span;
                format!(
                    "{} acted on version {} from {} to {}\n",
                    line.name, span.versions.hierarchy.version, span.from, span.to
                )
            });
            text.extend(later);
            (
                json!({ "settled": all, "behind": behind, "missing": accounts.findings }),
                text + &gaps(accounts),
            )
        }
        Verb::Heeded { number } => {
            let all = accounts.journal_event_applied(*number);
            let line = |(name, start, at, fellows): &(String, u64, Timestamp, bool)| {
                let by = if *fellows { "by the word of fellows" } else { "by its journal" };
                format!("{name} (start {start}) at {at}, {by}\n")
            };
            let text = all.iter().map(line).collect::<String>() + &gaps(accounts);
            (json!({ "heeded": all, "missing": accounts.findings }), text)
        }
        Verb::Shapes => {
            let all = accounts.conflicting_hierarchies();
            let line = |(a, b, from, to): &(String, String, Timestamp, Timestamp)| {
                format!("{a} and {b} filled by two shapes between {from} and {to}\n")
            };
            let text = all.iter().map(line).collect::<String>() + &gaps(accounts);
            (json!({ "two_shapes": all, "missing": accounts.findings }), text)
        }
        Verb::Verify | Verb::Export { .. } => {
            let count = accounts.incarnations().count();
            let from = accounts.earliest_known();
            let mut text = match accounts.findings.is_empty() {
                true => format!("{count} accounts, whole\n"),
                false => accounts.findings.iter().map(finding).collect(),
            };
            text.extend(
                from.iter().map(|(name, at)| format!("{name}: known from {at} on, and not before\n")),
            );
            (json!({ "accounts": count, "known_from": from, "findings": accounts.findings }), text)
        }
    }
}

fn lines(accounts: &VerifiedLogs, lines: Vec<AttributedSpan>) -> (serde_json::Value, String) {
    let text = lines.iter().map(line).collect::<String>() + &gaps(accounts);
    (json!({ "spans": lines, "missing": accounts.findings }), text)
}

fn line(line: &AttributedSpan) -> String {
    let span = &line.span;
    let name = |id: &u64| {
        let known = span.node_names.iter().find(|(known, _)| known == id);
        known.map_or_else(|| format!("#{id:016x}"), |(_, name)| name.clone())
    };
    let act = |act: &AuditedAction| match act {
        AuditedAction::Attempt { target: to } => format!("attempts to {}", name(to)),
        AuditedAction::Fill { child, source } => format!("fills {} from {}", name(child), name(source)),
        AuditedAction::WriteAttempt { target: to } => format!("bookings to {}", name(to)),
        AuditedAction::Refused => "refusals".to_string(),
        AuditedAction::Failed => "failures".to_string(),
        AuditedAction::RolloutStage { target: to, stage } => {
            let stages = ["planned", "announced", "warming", "settled", "rolled back"];
            format!("to {}: {}", name(to), stages.get(usize::from(*stage)).unwrap_or(&"?"))
        }
        AuditedAction::Drain { cache, journal_position: number, from_gossip: fellows } => {
            format!("{} drained ({number}{})", name(cache), if *fellows { ", fellows" } else { "" })
        }
        AuditedAction::CacheRestored { cache, journal_position: number, from_gossip: fellows } => {
            format!("{} back ({number}{})", name(cache), if *fellows { ", fellows" } else { "" })
        }
        AuditedAction::Purge { journal_position: number, from_gossip: fellows } => {
            format!("purge ({number}{})", if *fellows { ", fellows" } else { "" })
        }
        AuditedAction::Batch { author, number, from_gossip: fellows } => {
            format!("batch {author}/{number}{}", if *fellows { " (fellows)" } else { "" })
        }
        AuditedAction::RejectedAsStraggler => "not done, shut out".to_string(),
    };
    let acts: Vec<String> =
        span.counts.iter().map(|(kind, tally)| format!("{} {}", tally.count, act(kind))).collect();
    let acts = if acts.is_empty() { "nothing".to_string() } else { acts.join(", ") };
    format!(
        "{} (start {}) {} to {}, by its clock {:.0} to {:.0}: hierarchy {} ({:016x}), journal {}, build {}: {acts}\n",
        line.name,
        line.incarnation,
        span.from,
        span.to,
        span.wall_clock.0,
        span.wall_clock.1,
        span.versions.hierarchy.version,
        span.versions.hierarchy.digest,
        span.versions.journal_position,
        span.versions.build
    )
}

fn trace(trace: &AttemptTrace) -> String {
    let (mut sent, mut ended) = ("attempt not known".to_string(), "end not known".to_string());
    if let Some(attempt) = &trace.attempt {
        let to = trace.target.clone().unwrap_or_else(|| format!("#{:016x}", attempt.target));
        sent = format!("attempt {} to {to} at {}", attempt.attempt, attempt.at);
    }
    if let Some(end) = &trace.outcome {
        ended = format!("{} at {}", end.outcome, end.at);
    }
    let AttemptTrace {
        name, incarnation: start, hierarchy_version: shape, journal_position: journal, ..
    } = trace;
    format!("{name} (start {start}), hierarchy {shape}, journal {journal}: {sent}; {ended}\n")
}

fn stamp(stamp: &Option<Timestamp>) -> String {
    stamp.map_or("an unknown time".to_string(), |stamp| stamp.to_string())
}

fn finding(finding: &Finding) -> String {
    match finding {
        Finding::Gap { name, incarnation: start, after, from, to } => format!(
            "{name} (start {start}): MISSING after record {after}, from {} to {}\n",
            stamp(from),
            stamp(to)
        ),
        Finding::Fork { name, incarnation: start, number } => {
            format!("{name} (start {start}): TWO ACCOUNTS from record {number} on\n")
        }
        Finding::Broken { name, incarnation: start, number } => {
            format!("{name} (start {start}): record {number} DOES NOT FOLLOW from the one before it\n")
        }
        Finding::Unreadable { name, incarnation: start, number } => {
            format!("{name} (start {start}): record {number} can't be read by this build\n")
        }
    }
}

/// What is missing beside an answer: there might be more to it.
fn gaps(accounts: &VerifiedLogs) -> String {
    accounts.findings.iter().map(finding).collect()
}
