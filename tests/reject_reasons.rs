//! The reason that a final answer carries, for each rule that can end a request.

mod common;

use common::*;
use linnethook::interface::*;

/// The reasons of all final answers so far, in order.
fn reasons(harness: &PolicyHarness) -> Vec<RejectReason> {
    let reason = |action: &Action| match action {
        Action::Reject { reason, .. } | Action::Fail { reason, .. } => Some(*reason),
        _ => None,
    };
    harness.final_answers.iter().filter_map(reason).collect()
}

fn is_miss_without_fill(sent: &SentAttempt) -> bool {
    sent.fill.is_some_and(|fill| fill.source == sent.endpoint || fill.only_if_cached)
}

#[test]
fn deadline_exceeded() {
    let mut harness = PolicyHarness::new(settings());
    let request = Request { time_limit: 0.5, ..harness.build_request(IDEMPOTENT, 9) };
    assert_eq!(harness.submit(request), None);
    assert_eq!(reasons(&harness), [RejectReason::DeadlineExceeded]);
}

#[test]
fn attempts_exhausted() {
    let mut harness = PolicyHarness::new(Settings { max_attempts: 1, ..settings() });
    let sent = harness.request(IDEMPOTENT, 9).expect("an attempt");
    harness.finish(sent, AttemptStatus::Reset, None);
    assert_eq!(reasons(&harness), [RejectReason::AttemptsExhausted]);
}

#[test]
fn deadline_too_close_for_a_retry() {
    let mut harness = PolicyHarness::new(settings());
    // The transfer takes 1 s, but only 0.8 s are left after the first attempt.
    let request = Request { size_kb: 1_000.0, time_limit: 1_200.0, ..harness.build_request(IDEMPOTENT, 9) };
    let sent = harness.submit(request).expect("an attempt");
    harness.advance(400.0);
    harness.finish(sent, AttemptStatus::ConnectFailed, None);
    assert_eq!(reasons(&harness), [RejectReason::DeadlineTooClose]);
}

#[test]
fn nothing_cached_although_a_fill_was_admitted() {
    let mut harness = PolicyHarness::new(settings());
    let sent = harness.request(IDEMPOTENT, 9).expect("an attempt");
    harness.finish(sent, AttemptStatus::CacheMiss, None);
    assert_eq!(reasons(&harness), [RejectReason::NothingCached]);
}

#[test]
fn repeat_not_allowed() {
    let mut harness = PolicyHarness::new(settings());
    let sent = harness.request(NOT_IDEMPOTENT, 9).expect("an attempt");
    harness.finish(sent, AttemptStatus::Reset, None);
    assert_eq!(harness.final_answers, [failed(sent, RejectReason::RepeatNotAllowed)]);
}

#[test]
fn retry_budget_exhausted() {
    let mut harness = PolicyHarness::new(settings());
    for object in 0..100 {
        let mut last = harness.request(IDEMPOTENT, object);
        while let Some(sent) = last {
            last = harness.finish(sent, AttemptStatus::Rejected, None);
        }
    }
    assert_eq!(reasons(&harness).last(), Some(&RejectReason::RetryBudgetExhausted));
}

#[test]
fn no_usable_endpoint() {
    let mut harness = PolicyHarness::with_endpoints(settings(), Vec::new());
    for class in [IDEMPOTENT, NOT_IDEMPOTENT] {
        assert_eq!(harness.request(class, 9), None);
    }
    assert_eq!(reasons(&harness), [RejectReason::NoUsableEndpoint; 2]);
}

#[test]
fn origin_overloaded() {
    let origin_only = vec![endpoint(ORIGIN)];
    let mut harness = PolicyHarness::with_endpoints(settings(), origin_only);
    for object in 0..150 {
        harness.advance(150.0);
        if let Some(sent) = harness.request(IDEMPOTENT, object) {
            harness.finish(sent, AttemptStatus::TimedOut, None);
        }
    }
    assert_eq!(harness.request(IDEMPOTENT, 500), None);
    assert_eq!(reasons(&harness).last(), Some(&RejectReason::OriginOverloaded));
}

/// Fills that are late although the origin is not slow reduce the limit of the fill link.
#[test]
fn fill_link_overloaded() {
    let mut harness = PolicyHarness::new(settings());
    for wave in 0..10 {
        let late: Vec<SentAttempt> =
            (0..6).filter_map(|n| harness.request(IDEMPOTENT, 1_000 + wave * 10 + n)).collect();
        harness.advance(800.0);
        for sent in late {
            let is_miss = is_miss_without_fill(&sent);
            let status = if is_miss { AttemptStatus::CacheMiss } else { AttemptStatus::Ok };
            harness.finish_after(sent, status, None, 800.0);
        }
    }
    let attempts: Vec<SentAttempt> =
        (2_000..2_030).filter_map(|object| harness.request(IDEMPOTENT, object)).collect();
    let miss = attempts.into_iter().find(is_miss_without_fill).expect("an attempt without a fill");
    assert_eq!(harness.finish(miss, AttemptStatus::CacheMiss, None), None);
    assert_eq!(reasons(&harness).last(), Some(&RejectReason::FillLinkOverloaded));
}

#[test]
fn endpoint_too_crowded() {
    let mut harness = PolicyHarness::new(Settings { sibling_fill: SiblingFill::Disabled, ..settings() });
    let owned = harness.objects_owned_by(CACHES[0]);
    let admitted = owned.iter().filter(|&&object| harness.request(IDEMPOTENT, object).is_some()).count();
    assert!(admitted > 0 && admitted < owned.len());
    assert_eq!(reasons(&harness).last(), Some(&RejectReason::EndpointOverloaded));
}

#[test]
fn no_time_for_a_backoff() {
    let mut harness = PolicyHarness::new(settings());
    let request = Request { size_kb: 10.0, time_limit: 60.0, ..harness.build_request(NOT_IDEMPOTENT, 9) };
    let sent = harness.submit(request).expect("an attempt");
    harness.advance(20.0);
    harness.finish(sent, AttemptStatus::ConnectFailed, None);
    assert_eq!(reasons(&harness), [RejectReason::NoTimeForBackoff]);
    assert!(
        matches!(harness.final_answers[..], [Action::Reject { .. }]),
        "a write that was never executed is rejected and not failed"
    );
}

#[test]
fn attempt_not_executed() {
    let mut harness = PolicyHarness::new(settings());
    let sent = harness.request(IDEMPOTENT, 9).expect("an attempt");
    harness.finish(sent, AttemptStatus::NotExecuted, None);
    assert_eq!(reasons(&harness), [RejectReason::AttemptNotExecuted]);
}
