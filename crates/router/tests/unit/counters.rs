//! Unit tests of `src/counters.rs`, included there as the module `tests`.

use super::*;

/// The printed counters that are not 0.
fn printed(counters: &Counters) -> String {
    let text = counters.to_string();
    let counts: Vec<&str> = text.split_whitespace().filter(|count| !count.ends_with("=0")).collect();
    counts.join(" ")
}

#[test]
fn each_outcome_has_its_counter() {
    let ends = [
        (AttemptEnd::Answered, "ended_data=1"),
        (AttemptEnd::Failed, "ended_failed=1"),
        (AttemptEnd::Rejected, "ended_full=1"),
        (AttemptEnd::CacheMiss, "ended_absent=1"),
        (AttemptEnd::NotExecuted, "ended_moot=1"),
        (AttemptEnd::TimedOut, "ended_timed_out=1"),
        (AttemptEnd::NotSent, "ended_unreached=1"),
        (AttemptEnd::NotSentLocally, "ended_unsent=1"),
        (AttemptEnd::ConnectionLost, "ended_broken=1"),
        (AttemptEnd::Cancelled, "ended_cancelled=1"),
    ];
    for (end, expected) in ends {
        let mut counters = Counters::default();
        counters.record_outcome(end, &ResponsePayload::Empty);
        assert_eq!(printed(&counters), expected);
    }
    let mut counters = Counters::default();
    counters.record_outcome(AttemptEnd::Answered, &ResponsePayload::NotModified);
    assert_eq!(printed(&counters), "ended_unchanged=1");
}

#[test]
fn requests_and_answers_are_counted_with_their_bytes() {
    let mut counters = Counters::default();
    counters.record_request(10);
    counters.record_request(5);
    counters.record_answer(AnswerCode::Served, 7);
    counters.record_answer(AnswerCode::Rejected, 0);
    counters.record_answer(AnswerCode::Failed, 0);
    let expected = "taken_in=2 taken_in_bytes=15 served=1 served_bytes=7 refused=1 failed=1";
    assert_eq!(printed(&counters), expected);
}

#[test]
fn a_report_omits_disabled_components() {
    let mut report = CounterReport {
        counters: Counters::default(),
        discovery: DiscoveryCounts { position: 3, bytes_in: 2, bytes_out: 1 },
        gauges: Gauges::default(),
        turns: TurnReport::default(),
        links: None,
        cluster: None,
        shadow: None,
    };
    let plain = report.to_string();
    assert!(plain.starts_with("counters taken_in=0 taken_in_bytes=0 "), "{plain}");
    let rest = " journal_lost=0 ended_unsent=0 repeated_calls=0 closed_open=0 violations=0 \
                sent_after_cancel=0 sent_after_link_loss=0 deferred_for_sender=0 journal_number=3 journal_bytes_in=2 \
                journal_bytes_out=1 held_clients=0 held_caches=0 held_connections=0 open=0 out=0 buffers=0 turns=0 \
                turns_over_bound=0 turn_p99_us=0 turn_max_us=0 turn_max_accepts_us=0 turn_max_clients_us=0 \
                turn_max_caches_us=0 turn_max_journal_us=0 turn_max_links_us=0 turn_max_commands_us=0 \
                turn_max_timers_us=0";
    assert!(plain.ends_with(rest), "{plain}");
    report.links = Some("links=2".to_string());
    assert_eq!(report.to_string(), format!("{plain} links=2"));
}
