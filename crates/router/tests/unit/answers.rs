//! Unit tests of `src/answers.rs`, included there as the module `tests`.

use super::*;

const MAX_RETRY_AFTER: Ms = 1_000.0;

fn rejected(retry_after: Ms) -> FinalAnswer {
    FinalAnswer::Rejected { retry_after, may_run_elsewhere: true }
}

fn frame(
    answer: FinalAnswer,
    payload: ResponsePayload,
) -> (AnswerCode, Option<(&'static str, String)>, Vec<u8>) {
    let answer = ClientAnswer::new(&BufferPool::new(64, 1, 8), answer, payload);
    (answer.code, answer.field.map(|field| (field.name, field.value)), answer.body.to_vec())
}

#[test]
fn the_longer_retry_after_is_used_up_to_the_maximum() {
    assert_eq!(with_hierarchy_retry_after(rejected(100.0), None, MAX_RETRY_AFTER), rejected(100.0));
    assert_eq!(with_hierarchy_retry_after(rejected(100.0), Some(50.0), MAX_RETRY_AFTER), rejected(100.0));
    assert_eq!(with_hierarchy_retry_after(rejected(100.0), Some(300.0), MAX_RETRY_AFTER), rejected(300.0));
    assert_eq!(
        with_hierarchy_retry_after(rejected(100.0), Some(5_000.0), MAX_RETRY_AFTER),
        rejected(MAX_RETRY_AFTER)
    );
}

#[test]
fn a_rejection_without_a_retry_after_and_other_answers_are_unchanged() {
    assert_eq!(with_hierarchy_retry_after(rejected(0.0), Some(300.0), MAX_RETRY_AFTER), rejected(0.0));
    assert_eq!(
        with_hierarchy_retry_after(FinalAnswer::Failed, Some(300.0), MAX_RETRY_AFTER),
        FinalAnswer::Failed
    );
    assert_eq!(
        with_hierarchy_retry_after(FinalAnswer::Served, Some(300.0), MAX_RETRY_AFTER),
        FinalAnswer::Served
    );
}

#[test]
fn a_served_request_has_its_body_or_confirms_the_client_copy() {
    let body = BufferChain::from_bytes(&BufferPool::new(64, 1, 8), b"object");
    let served = frame(FinalAnswer::Served, ResponsePayload::Body(body, None));
    assert_eq!(served, (AnswerCode::Served, None, b"object".to_vec()));
    let not_modified = frame(FinalAnswer::Served, ResponsePayload::NotModified);
    assert_eq!(not_modified, (AnswerCode::Served, Some(("valid", "1".to_string())), Vec::new()));
}

#[test]
fn a_retry_after_is_rounded_up_to_milliseconds_and_omitted_for_0() {
    let with_retry_after = |retry_after| frame(rejected(retry_after), ResponsePayload::Empty);
    assert_eq!(with_retry_after(0.0), (AnswerCode::Rejected, None, Vec::new()));
    assert_eq!(with_retry_after(12.2), (AnswerCode::Rejected, Some(("w", "13".to_string())), Vec::new()));
}

#[test]
fn a_failure_and_a_served_request_without_payload_are_answered_as_failed() {
    let failed = (AnswerCode::Failed, None, Vec::new());
    assert_eq!(frame(FinalAnswer::Failed, ResponsePayload::Empty), failed);
    assert_eq!(frame(FinalAnswer::Served, ResponsePayload::Empty), failed);
}

/// Guards against a client that is told to stay away until the endpoints have forgotten the key.
#[test]
fn the_retry_after_of_a_rejection_for_the_same_endpoints_is_not_raised() {
    let keyed = FinalAnswer::Rejected { retry_after: 50.0, may_run_elsewhere: false };
    assert_eq!(with_hierarchy_retry_after(keyed, Some(700.0), MAX_RETRY_AFTER), keyed);
    assert_eq!(with_hierarchy_retry_after(rejected(50.0), Some(700.0), MAX_RETRY_AFTER), rejected(700.0));
}
