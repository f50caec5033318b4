//! Unit tests of `src/answers.rs`, a part of its module.

use super::*;

const LONGEST: Ms = 1_000.0;

fn rejected(retry_after: Ms) -> FinalAnswer {
    FinalAnswer::Rejected { retry_after }
}

fn frame(
    answer: FinalAnswer,
    payload: ResponsePayload,
) -> (AnswerCode, Option<(&'static str, String)>, Vec<u8>) {
    let answer = ClientAnswer::new(&BufferPool::new(64, 1, 8), answer, payload);
    (answer.code, answer.field.map(|field| (field.name, field.value)), answer.body.to_vec())
}

#[test]
fn the_later_retry_after_counts_up_to_the_longest() {
    assert_eq!(with_hierarchy_retry_after(rejected(100.0), None, LONGEST), rejected(100.0));
    assert_eq!(with_hierarchy_retry_after(rejected(100.0), Some(50.0), LONGEST), rejected(100.0));
    assert_eq!(with_hierarchy_retry_after(rejected(100.0), Some(300.0), LONGEST), rejected(300.0));
    assert_eq!(with_hierarchy_retry_after(rejected(100.0), Some(5_000.0), LONGEST), rejected(LONGEST));
}

#[test]
fn a_rejection_without_a_retry_after_gets_none_and_other_answers_stay() {
    assert_eq!(with_hierarchy_retry_after(rejected(0.0), Some(300.0), LONGEST), rejected(0.0));
    assert_eq!(with_hierarchy_retry_after(FinalAnswer::Failed, Some(300.0), LONGEST), FinalAnswer::Failed);
    assert_eq!(with_hierarchy_retry_after(FinalAnswer::Served, Some(300.0), LONGEST), FinalAnswer::Served);
}

#[test]
fn a_served_request_carries_its_body_or_says_that_the_copy_is_valid() {
    let body = BufferChain::from_bytes(&BufferPool::new(64, 1, 8), b"object");
    let served = frame(FinalAnswer::Served, ResponsePayload::Body(body, None));
    assert_eq!(served, (AnswerCode::Served, None, b"object".to_vec()));
    let not_modified = frame(FinalAnswer::Served, ResponsePayload::NotModified);
    assert_eq!(not_modified, (AnswerCode::Served, Some(("valid", "1".to_string())), Vec::new()));
}

#[test]
fn a_rejection_has_integer_milliseconds_and_no_field_for_0() {
    let wait = |retry_after| frame(rejected(retry_after), ResponsePayload::Empty);
    assert_eq!(wait(0.0), (AnswerCode::Rejected, None, Vec::new()));
    assert_eq!(wait(12.2), (AnswerCode::Rejected, Some(("w", "13".to_string())), Vec::new()));
}

#[test]
fn a_failure_and_a_served_request_without_a_payload_are_failed() {
    let failed = (AnswerCode::Failed, None, Vec::new());
    assert_eq!(frame(FinalAnswer::Failed, ResponsePayload::Empty), failed);
    assert_eq!(frame(FinalAnswer::Served, ResponsePayload::Empty), failed);
}
