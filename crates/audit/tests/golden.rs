//! The bytes of audit logs, on links and in files, and the names that commands print: compared with fixtures
//! that an earlier build has written, read by this build and written again.

#[path = "../../membership/tests/support/mod.rs"]
mod support;

use std::path::{Path, PathBuf};

use linnethook_audit::audit_log::{AuditLog, AuditLogConfig};
use linnethook_audit::record::{
    read_file, write_file, AuditedAction, ChainLink, Record, Span, Tally, WriteAttempt, WriteOutcome,
};
use linnethook_audit::verification::{Finding, VerifiedLogs};
use linnethook_membership::hybrid_clock::{HybridClock, Timestamp};
use linnethook_membership::versions::{ActiveVersions, HierarchyVersion};
use support::{hex, unhex, Fixtures};

fn file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn timestamp(ms: u64) -> Timestamp {
    Timestamp { ms, counter: 300 }
}

fn active_versions() -> ActiveVersions {
    ActiveVersions {
        build: "0.1.0".to_string(),
        settings_digest: 0x0102_0304_0506_0708,
        operator_digest: 0x1112_1314_1516_1718,
        hierarchy: HierarchyVersion { version: 300, digest: 0x2122_2324_2526_2728 },
        journal_position: 70_000,
        drains_applied: 3,
        purges_applied: 200,
    }
}

fn actions() -> Vec<AuditedAction> {
    vec![
        AuditedAction::Attempt { target: 1 << 40 },
        AuditedAction::Fill { child: 1, source: 2 },
        AuditedAction::WriteAttempt { target: 3 },
        AuditedAction::Refused,
        AuditedAction::Failed,
        AuditedAction::RolloutStage { target: 4, stage: 5 },
        AuditedAction::Drain { cache: 6, journal_position: 70_000, from_gossip: true },
        AuditedAction::CacheRestored { cache: 6, journal_position: 70_001, from_gossip: false },
        AuditedAction::Purge { journal_position: 70_002, from_gossip: true },
        AuditedAction::Batch { author: 500, number: 70_003, from_gossip: false },
        AuditedAction::RejectedAsStraggler,
    ]
}

fn span() -> Span {
    let tally = |n: u64| Tally { count: n, first: timestamp(n), last: timestamp(n * 2) };
    Span {
        from: timestamp(1_000),
        to: timestamp(6_000),
        wall_clock: (1_000.5, 6_000.5),
        versions: active_versions(),
        counts: actions().into_iter().zip(1..).map(|(action, n)| (action, tally(n))).collect(),
        write_attempts: vec![WriteAttempt {
            request_id: "request-1".to_string(),
            attempt: 2,
            target: 3,
            at: timestamp(2_000),
        }],
        write_outcomes: vec![WriteOutcome {
            request_id: "request-1".to_string(),
            attempt: 2,
            outcome: "answered".to_string(),
            at: timestamp(3_000),
        }],
        omitted_writes: 4,
        omitted_actions: 5,
        node_names: vec![(3, "node-3".to_string())],
    }
}

fn records() -> Vec<(&'static str, Record)> {
    vec![
        ("began", Record::Started { at: timestamp(1_000), wall_clock: 1_000.5 }),
        ("span", Record::Span(Box::new(span()))),
        ("ended", Record::Closed { at: timestamp(9_000) }),
    ]
}

fn links() -> Vec<ChainLink> {
    let mut previous_hash = [0; 32];
    let link = |(number, (_, record)): (u64, (_, Record))| {
        let link = ChainLink::new("r1", 1 << 40, number, previous_hash, &record);
        previous_hash = link.hash();
        link
    };
    (1..).zip(records()).map(link).collect()
}

/// A closed log as a router writes it.
fn written_log() -> AuditLog {
    let node_name = |id: u64| Some(format!("node-{id}"));
    let mut clock = HybridClock::default();
    let config = AuditLogConfig { max_action_kinds: 9, max_write_attempts: 2, ..AuditLogConfig::default() };
    let mut log = AuditLog::new(0.0, clock.next_timestamp(0.0), config, "r1", 1_000, active_versions());
    for n in 0..40u64 {
        let now = n as f64 * 700.0;
        let actions = actions();
        log.record_action(clock.next_timestamp(now), actions[n as usize % actions.len()]);
        let id = format!("request-{n}");
        log.record_write_attempt(WriteAttempt {
            request_id: id.clone(),
            attempt: 1,
            target: n % 3,
            at: clock.next_timestamp(now),
        });
        let (outcome, at) = ("answered".to_string(), clock.next_timestamp(now + 1.0));
        log.record_write_outcome(WriteOutcome { request_id: id, attempt: 1, outcome, at });
        let journal_position = 70_000 + n / 10;
        log.set_versions(
            now + 2.0,
            clock.next_timestamp(now + 2.0),
            &ActiveVersions { journal_position, ..active_versions() },
            node_name,
        );
        log.tick(now + 3.0, clock.next_timestamp(now + 3.0), node_name);
    }
    log.finish(30_000.0, clock.next_timestamp(30_000.0), node_name);
    log
}

#[test]
fn links_and_files_keep_their_bytes() {
    let mut fixtures = Fixtures::new();
    for ((name, record), link) in records().into_iter().zip(links()) {
        assert_eq!(link.decode_record(), Ok(record));
        fixtures.insert(format!("link.{name}"), hex(&link.encode()));
        fixtures.insert(format!("hash.{name}"), hex(&link.hash()));
    }
    fixtures.insert("file".to_string(), hex(&write_file(&links())));
    let written: Vec<ChainLink> = written_log().records_from(1).cloned().collect();
    fixtures.insert("written".to_string(), hex(&write_file(&written)));
    support::compare(&file("links.txt"), &fixtures);
}

/// Fixtures of an earlier build are decoded, and encoded again to the same bytes.
#[test]
fn fixtures_are_read_and_written_again_to_the_same_bytes() {
    let fixtures = support::read(&file("links.txt"));
    for ((name, record), link) in records().into_iter().zip(links()) {
        let bytes = unhex(&fixtures[&format!("link.{name}")]);
        let read = ChainLink::decode(&bytes).expect("a link");
        assert_eq!((&read, read.decode_record()), (&link, Ok(record)), "{name}");
        assert_eq!(read.encode(), bytes, "{name}");
    }
    for name in ["file", "written"] {
        let bytes = unhex(&fixtures[name]);
        let links = read_file(&bytes).expect("a file");
        assert_eq!(write_file(&links), bytes, "{name}");
        assert!(VerifiedLogs::new(links).findings.iter().all(|f| matches!(f, Finding::Gap { .. })), "{name}");
    }
}

#[test]
fn printed_json_keeps_its_names() {
    let mut fixtures = Fixtures::new();
    let mut add = |name: &str, text: String| fixtures.insert(name.to_string(), text);
    let (name, incarnation) = ("r1".to_string(), 7);
    let (from, to) = (Some(timestamp(1)), None);
    let findings = [
        Finding::Gap { name: name.clone(), incarnation, after: 3, from, to },
        Finding::Fork { name: name.clone(), incarnation, number: 3 },
        Finding::Broken { name: name.clone(), incarnation, number: 3 },
        Finding::Unreadable { name, incarnation, number: 3 },
    ];
    add("findings", support::json::to_string(&findings));
    add("span", support::json::to_string(&span()));
    let logs = VerifiedLogs::new(links());
    add("who", support::json::to_string(&logs.spans_on_version("300").collect::<Vec<_>>()));
    add("request", support::json::to_string(&logs.attempts_of_request("request-1")));
    add("settled", support::json::to_string(&logs.first_spans_on_version("300")));
    add("drained", support::json::to_string(&logs.journal_event_applied(70_000)));
    support::compare(&file("json.txt"), &fixtures);
}
