//! Audit logs that are cut short, rewritten, received twice and verified in any order.

use linnethook_audit::audit_log::{AuditLog, AuditLogConfig};
use linnethook_audit::record::{AuditedAction, ChainLink, Record, WriteAttempt, WriteOutcome};
use linnethook_audit::replicas::{LogReplicas, ReplicaOutcome};
use linnethook_audit::verification::{Finding, VerifiedLogs};
use linnethook_membership::hybrid_clock::{HybridClock, Timestamp};
use linnethook_membership::versions::{ActiveVersions, HierarchyVersion};
use proptest::prelude::*;

fn names(id: u64) -> Option<String> {
    Some(format!("node-{id}"))
}

fn on(version: u64) -> ActiveVersions {
    ActiveVersions {
        hierarchy: HierarchyVersion { version, digest: version * 7 },
        journal_position: version,
        ..ActiveVersions::default()
    }
}

/// A log with that many spans, each on the version after the one before; closed or not.
fn account(name: &str, start: u64, spans: u64, end: bool) -> AuditLog {
    let mut clock = HybridClock::default();
    let begin = start as f64;
    let mut account =
        AuditLog::new(begin, clock.next_timestamp(begin), AuditLogConfig::default(), name, start, on(1));
    for n in 1..=spans {
        let now = begin + n as f64 * 100.0;
        account.record_action(clock.next_timestamp(now), AuditedAction::Attempt { target: 3 });
        account.record_action(clock.next_timestamp(now), AuditedAction::Attempt { target: 3 });
        account.record_action(clock.next_timestamp(now), AuditedAction::Fill { child: 3, source: n });
        let (id, at) = (format!("{name}-{n}"), clock.next_timestamp(now));
        account.record_write_attempt(WriteAttempt { request_id: id.clone(), attempt: 1, target: 3, at });
        account.record_write_outcome(WriteOutcome {
            request_id: id,
            attempt: 1,
            outcome: "answered".to_string(),
            at: clock.next_timestamp(now),
        });
        account.set_versions(now + 50.0, clock.next_timestamp(now + 50.0), &on(n + 1), names);
    }
    if end {
        account.finish(begin + 10_000.0, clock.next_timestamp(begin + 10_000.0), names);
    }
    account
}

fn links(account: &AuditLog) -> Vec<ChainLink> {
    account.records_from(1).cloned().collect()
}

#[test]
fn log_tells_who_did_what_on_which_version_and_since_when() {
    let all = [links(&account("a", 1_000, 3, true)), links(&account("b", 1_020, 3, true))].concat();
    let accounts = VerifiedLogs::new(all);
    assert!(accounts.findings.is_empty(), "{:?}", accounts.findings);
    let who: Vec<_> = accounts.spans_on_version("2").collect();
    assert_eq!(who.iter().map(|line| line.name.as_str()).collect::<Vec<_>>(), ["a", "b"]);
    let attempts = who[0].span.counts.iter().find(|(act, _)| *act == AuditedAction::Attempt { target: 3 });
    assert_eq!(attempts.map(|(_, tally)| tally.count), Some(2));
    assert_eq!(accounts.spans_at(1_175.0).count(), 2);
    assert_eq!(accounts.spans_at(1_175.0).next().map(|line| line.span.versions.hierarchy.version), Some(2));
    let settled = accounts.first_spans_on_version("2");
    assert_eq!(settled.iter().map(|first| first.name.as_str()).collect::<Vec<_>>(), ["a", "b"]);
    let trace = accounts.attempts_of_request("b-2");
    assert_eq!((trace.len(), trace[0].name.as_str(), trace[0].hierarchy_version), (1, "b", 2));
    assert_eq!(trace[0].outcome.as_ref().map(|end| end.outcome.as_str()), Some("answered"));
    assert_eq!(trace[0].target.as_deref(), Some("node-3"));
    // For 20 ms each the first router acts on the next version and the second does not yet.
    assert_eq!(accounts.conflicting_hierarchies().len(), 1);
    assert!(!accounts.spans_on_other_hierarchy(14, Timestamp { ms: 1_200, counter: 0 }).is_empty());
}

#[test]
fn missing_records_are_gaps_with_bounds() {
    let killed = links(&account("a", 1_000, 3, false));
    let next = links(&account("a", 9_000, 1, true));
    let accounts = VerifiedLogs::new(killed.iter().chain(&next).cloned());
    let last = killed[3].decode_record().ok().map(|record| record.covered_until());
    let began = next[0].decode_record().ok().map(|record| record.covered_until());
    let gap = Finding::Gap { name: "a".to_string(), incarnation: 1_000, after: 4, from: last, to: began };
    assert_eq!(accounts.findings, [gap]);
    // A missing record in the middle of a log.
    let accounts = VerifiedLogs::new(next.iter().filter(|link| link.number != 2).cloned());
    assert!(
        matches!(&accounts.findings[..], [Finding::Gap { after: 1, from: Some(_), to: Some(_), .. }]),
        "{:?}",
        accounts.findings
    );
}

#[test]
fn rewritten_record_and_second_log_of_incarnation_are_found() {
    let good = links(&account("a", 1_000, 3, true));
    let mut bad = good.clone();
    let Ok(Record::Span(mut span)) = bad[2].decode_record() else { panic!("a span") };
    span.write_attempts.clear();
    bad[2] = ChainLink::new("a", 1_000, 3, bad[2].previous_hash, &Record::Span(span));
    // Without the original: the following record has another previous hash.
    let alone = VerifiedLogs::new(bad.clone());
    assert!(alone.findings.contains(&Finding::Broken {
        name: "a".to_string(),
        incarnation: 1_000,
        number: 4
    }));
    // Together with the original: a fork, and the record that the following one refers to is used.
    let both = VerifiedLogs::new(bad.into_iter().chain(good.clone()));
    assert_eq!(both.findings, [Finding::Fork { name: "a".to_string(), incarnation: 1_000, number: 3 }]);
    assert_eq!(both.attempts_of_request("a-2").len(), 1);
    let other = links(&account("a", 1_000, 2, true));
    assert!(VerifiedLogs::new(good.into_iter().chain(other))
        .findings
        .iter()
        .any(|f| matches!(f, Finding::Fork { .. })));
}

#[test]
fn replica_accepts_records_in_order_and_reports_missing_ones() {
    let all = links(&account("a", 1_000, 4, true));
    let mut copies = LogReplicas::new(1 << 20);
    assert_eq!(copies.insert(all[0].clone()), ReplicaOutcome::New);
    assert_eq!(copies.insert(all[3].clone()), ReplicaOutcome::Missing(2));
    for link in &all[1..] {
        assert_eq!(copies.insert(link.clone()), ReplicaOutcome::New);
    }
    assert_eq!(copies.insert(all[2].clone()), ReplicaOutcome::Known);
    assert_eq!(copies.next_number("a", 1_000), 8);
    let mut forged = all[2].clone();
    forged.body.push(0);
    assert_eq!(copies.insert(forged), ReplicaOutcome::Forked);
    let accounts = VerifiedLogs::new(copies.iter().cloned());
    assert_eq!(accounts.findings.len(), 1, "{:?}", accounts.findings);
    // The oldest records are removed to make room for the newest.
    let mut small = LogReplicas::new(all[1].size_estimate() * 2);
    all.iter().for_each(|link| _ = small.insert(link.clone()));
    assert!(small.sizes().records < all.len());
    let found = VerifiedLogs::new(small.iter().cloned()).findings;
    assert!(matches!(&found[..], [Finding::Gap { after: 0, .. }]), "{found:?}");
}

#[test]
fn span_limits_are_enforced_and_omissions_counted() {
    let rules = AuditLogConfig { max_action_kinds: 10, max_write_attempts: 5, ..AuditLogConfig::default() };
    let mut clock = HybridClock::default();
    let mut account = AuditLog::new(0.0, clock.next_timestamp(0.0), rules, "a", 1, on(1));
    for n in 0..100 {
        account.record_action(clock.next_timestamp(1.0), AuditedAction::Attempt { target: n });
        account.record_write_attempt(WriteAttempt {
            request_id: n.to_string(),
            attempt: 1,
            target: 1,
            at: clock.next_timestamp(1.0),
        });
    }
    account.finish(2.0, clock.next_timestamp(2.0), names);
    let accounts = VerifiedLogs::new(links(&account));
    let span = accounts.spans().next().expect("a span").span;
    assert_eq!((span.write_attempts.len(), span.omitted_writes), (5, 95));
    let published: u64 = span.counts.iter().map(|(_, tally)| tally.count).sum();
    assert_eq!(published + span.omitted_actions, 200);
}

proptest! {
    /// Links are lost, duplicated and reordered: those that remain are read, missing ones are gaps, and only the spans of
    /// remaining links are counted.
    #[test]
    fn any_subset_of_records_is_verified_correctly(
        spans in 1u64..8,
        end in any::<bool>(),
        keep in proptest::collection::vec(any::<bool>(), 10),
        turns in proptest::collection::vec(any::<prop::sample::Index>(), 0..10),
    ) {
        let all = links(&account("a", 1_000, spans, end));
        let retained: Vec<ChainLink> = all.iter().zip(keep.iter().cycle()).filter(|(_, keep)| **keep).map(|(l, _)| l.clone()).collect();
        let mut published = retained.clone();
        for turn in turns {
            if !published.is_empty() {
                let at = turn.index(published.len());
                let link = published.remove(at);
                published.push(link.clone());
                published.push(link);
            }
        }
        let accounts = VerifiedLogs::new(published);
        let total = retained.len() == all.len() && end;
        prop_assert_eq!(accounts.findings.is_empty(), total || retained.is_empty());
        let gaps = accounts.findings.iter().all(|finding| matches!(finding, Finding::Gap { .. }));
        prop_assert!(gaps);
        prop_assert_eq!(accounts.spans().count(), retained.iter().filter(|l| matches!(l.decode_record(), Ok(Record::Span(_)))).count());
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(link) = ChainLink::decode(&bytes) {
            let _ = VerifiedLogs::new([link]);
        }
    }
}
