//! Audit logs that are truncated, rewritten, received twice and verified in any order.

use linnethook_audit::audit_log::{AuditLog, AuditLogConfig};
use linnethook_audit::record::{AuditedAction, ChainLink, Record, WriteAttempt, WriteOutcome};
use linnethook_audit::replicas::{LogReplicas, ReplicaOutcome};
use linnethook_audit::verification::{Finding, VerifiedLogs};
use linnethook_membership::hybrid_clock::{HybridClock, Timestamp};
use linnethook_membership::versions::{ActiveVersions, HierarchyVersion};
use proptest::prelude::*;

fn node_name(id: u64) -> Option<String> {
    Some(format!("node-{id}"))
}

fn versions(version: u64) -> ActiveVersions {
    ActiveVersions {
        hierarchy: HierarchyVersion { version, digest: version * 7 },
        journal_position: version,
        ..ActiveVersions::default()
    }
}

/// A log with this many spans, each on the next version, which is closed or not.
fn audit_log(name: &str, incarnation: u64, spans: u64, is_closed: bool) -> AuditLog {
    let mut clock = HybridClock::default();
    let begin = incarnation as f64;
    let at = clock.next_timestamp(begin);
    let mut log = AuditLog::new(begin, at, AuditLogConfig::default(), name, incarnation, versions(1));
    for n in 1..=spans {
        let now = begin + n as f64 * 100.0;
        log.record_action(clock.next_timestamp(now), AuditedAction::Attempt { target: 3 });
        log.record_action(clock.next_timestamp(now), AuditedAction::Attempt { target: 3 });
        log.record_action(clock.next_timestamp(now), AuditedAction::Fill { child: 3, source: n });
        let (id, at) = (format!("{name}-{n}"), clock.next_timestamp(now));
        log.record_write_attempt(WriteAttempt { request_id: id.clone(), attempt: 1, target: 3, at });
        log.record_write_outcome(WriteOutcome {
            request_id: id,
            attempt: 1,
            outcome: "answered".to_string(),
            at: clock.next_timestamp(now),
        });
        log.set_versions(now + 50.0, clock.next_timestamp(now + 50.0), &versions(n + 1), node_name);
    }
    if is_closed {
        log.finish(begin + 10_000.0, clock.next_timestamp(begin + 10_000.0), node_name);
    }
    log
}

fn links(log: &AuditLog) -> Vec<ChainLink> {
    log.records_from(1).cloned().collect()
}

#[test]
fn queries_find_spans_attempts_and_conflicts_by_version_and_time() {
    let all = [links(&audit_log("a", 1_000, 3, true)), links(&audit_log("b", 1_020, 3, true))].concat();
    let logs = VerifiedLogs::new(all);
    assert!(logs.findings.is_empty(), "{:?}", logs.findings);
    let spans: Vec<_> = logs.spans_on_version("2").collect();
    assert_eq!(spans.iter().map(|span| span.name.as_str()).collect::<Vec<_>>(), ["a", "b"]);
    let attempts =
        spans[0].span.counts.iter().find(|(action, _)| *action == AuditedAction::Attempt { target: 3 });
    assert_eq!(attempts.map(|(_, tally)| tally.count), Some(2));
    assert_eq!(logs.spans_at(1_175.0).count(), 2);
    assert_eq!(logs.spans_at(1_175.0).next().map(|span| span.span.versions.hierarchy.version), Some(2));
    let first_spans = logs.first_spans_on_version("2");
    assert_eq!(first_spans.iter().map(|first| first.name.as_str()).collect::<Vec<_>>(), ["a", "b"]);
    let traces = logs.attempts_of_request("b-2");
    assert_eq!((traces.len(), traces[0].name.as_str(), traces[0].hierarchy_version), (1, "b", 2));
    assert_eq!(traces[0].outcome.as_ref().map(|outcome| outcome.outcome.as_str()), Some("answered"));
    assert_eq!(traces[0].target.as_deref(), Some("node-3"));
    // At each change of the version the first router acts on the next one 20 ms before the second router.
    assert_eq!(logs.conflicting_hierarchies().len(), 1);
    assert!(!logs.spans_on_other_hierarchy(14, Timestamp { ms: 1_200, counter: 0 }).is_empty());
}

#[test]
fn missing_records_are_gaps_with_bounds() {
    let killed = links(&audit_log("a", 1_000, 3, false));
    let next = links(&audit_log("a", 9_000, 1, true));
    let logs = VerifiedLogs::new(killed.iter().chain(&next).cloned());
    let known_until = killed[3].decode_record().ok().map(|record| record.covered_until());
    let next_start = next[0].decode_record().ok().map(|record| record.covered_until());
    let gap = Finding::Gap {
        name: "a".to_string(),
        incarnation: 1_000,
        after: 4,
        from: known_until,
        to: next_start,
    };
    assert_eq!(logs.findings, [gap]);
    // A missing record in the middle of a log.
    let logs = VerifiedLogs::new(next.iter().filter(|link| link.number != 2).cloned());
    assert!(
        matches!(&logs.findings[..], [Finding::Gap { after: 1, from: Some(_), to: Some(_), .. }]),
        "{:?}",
        logs.findings
    );
}

#[test]
fn rewritten_record_and_second_log_of_incarnation_are_found() {
    let original = links(&audit_log("a", 1_000, 3, true));
    let mut rewritten = original.clone();
    let Ok(Record::Span(mut span)) = rewritten[2].decode_record() else { panic!("a span") };
    span.write_attempts.clear();
    rewritten[2] = ChainLink::new("a", 1_000, 3, rewritten[2].previous_hash, &Record::Span(span));
    // Without the original: the following record has another previous hash.
    let rewritten_only = VerifiedLogs::new(rewritten.clone());
    assert!(rewritten_only.findings.contains(&Finding::Broken {
        name: "a".to_string(),
        incarnation: 1_000,
        number: 4
    }));
    // Together with the original: a fork, and the record to which the following one refers is used.
    let both = VerifiedLogs::new(rewritten.into_iter().chain(original.clone()));
    assert_eq!(both.findings, [Finding::Fork { name: "a".to_string(), incarnation: 1_000, number: 3 }]);
    assert_eq!(both.attempts_of_request("a-2").len(), 1);
    let second_log = links(&audit_log("a", 1_000, 2, true));
    assert!(VerifiedLogs::new(original.into_iter().chain(second_log))
        .findings
        .iter()
        .any(|f| matches!(f, Finding::Fork { .. })));
}

#[test]
fn replica_accepts_records_in_order_and_reports_missing_ones() {
    let all = links(&audit_log("a", 1_000, 4, true));
    let mut replicas = LogReplicas::new(1 << 20);
    assert_eq!(replicas.insert(all[0].clone()), ReplicaOutcome::New);
    assert_eq!(replicas.insert(all[3].clone()), ReplicaOutcome::Missing(2));
    for link in &all[1..] {
        assert_eq!(replicas.insert(link.clone()), ReplicaOutcome::New);
    }
    assert_eq!(replicas.insert(all[2].clone()), ReplicaOutcome::Known);
    assert_eq!(replicas.next_number("a", 1_000), 8);
    let mut forged = all[2].clone();
    forged.body.push(0);
    assert_eq!(replicas.insert(forged), ReplicaOutcome::Forked);
    let logs = VerifiedLogs::new(replicas.iter().cloned());
    assert_eq!(logs.findings.len(), 1, "{:?}", logs.findings);
    // The oldest records are removed beyond the size limit.
    let mut small = LogReplicas::new(all[1].size_estimate() * 2);
    all.iter().for_each(|link| _ = small.insert(link.clone()));
    assert!(small.sizes().records < all.len());
    let findings = VerifiedLogs::new(small.iter().cloned()).findings;
    assert!(matches!(&findings[..], [Finding::Gap { after: 0, .. }]), "{findings:?}");
}

#[test]
fn span_limits_are_enforced_and_omissions_counted() {
    let config = AuditLogConfig { max_action_kinds: 10, max_write_attempts: 5, ..AuditLogConfig::default() };
    let mut clock = HybridClock::default();
    let mut log = AuditLog::new(0.0, clock.next_timestamp(0.0), config, "a", 1, versions(1));
    for n in 0..100 {
        log.record_action(clock.next_timestamp(1.0), AuditedAction::Attempt { target: n });
        log.record_write_attempt(WriteAttempt {
            request_id: n.to_string(),
            attempt: 1,
            target: 1,
            at: clock.next_timestamp(1.0),
        });
    }
    log.finish(2.0, clock.next_timestamp(2.0), node_name);
    let logs = VerifiedLogs::new(links(&log));
    let span = logs.spans().next().expect("a span").span;
    assert_eq!((span.write_attempts.len(), span.omitted_writes), (5, 95));
    let counted: u64 = span.counts.iter().map(|(_, tally)| tally.count).sum();
    assert_eq!(counted + span.omitted_actions, 200);
}

proptest! {
    /// Links are lost, duplicated and reordered: missing ones are reported as gaps, and the spans are those
    /// of the remaining links.
    #[test]
    fn any_subset_of_records_is_verified_correctly(
        spans in 1u64..8,
        is_closed in any::<bool>(),
        is_retained in proptest::collection::vec(any::<bool>(), 10),
        moves in proptest::collection::vec(any::<prop::sample::Index>(), 0..10),
    ) {
        let all = links(&audit_log("a", 1_000, spans, is_closed));
        let links = all.iter().zip(is_retained.iter().cycle());
        let retained = links.filter(|(_, is_retained)| **is_retained).map(|(link, _)| link.clone());
        let retained: Vec<ChainLink> = retained.collect();
        let mut received = retained.clone();
        for index in moves {
            if !received.is_empty() {
                let link = received.remove(index.index(received.len()));
                received.push(link.clone());
                received.push(link);
            }
        }
        let logs = VerifiedLogs::new(received);
        let is_complete = retained.len() == all.len() && is_closed;
        prop_assert_eq!(logs.findings.is_empty(), is_complete || retained.is_empty());
        let are_all_gaps = logs.findings.iter().all(|finding| matches!(finding, Finding::Gap { .. }));
        prop_assert!(are_all_gaps);
        let is_span = |link: &&ChainLink| matches!(link.decode_record(), Ok(Record::Span(_)));
        prop_assert_eq!(logs.spans().count(), retained.iter().filter(is_span).count());
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(link) = ChainLink::decode(&bytes) {
            let _ = VerifiedLogs::new([link]);
        }
    }
}
