//! Conversion of final answers to the answer frames of clients.

use crate::buffers::{BufferChain, BufferPool};
use crate::downstream::codec::AnswerCode;
use crate::policy_adapter::{FinalAnswer, Ms};
use crate::upstream::ResponsePayload;

/// The field with the Retry-After of a rejected request, in integer milliseconds.
const RETRY_AFTER_FIELD: &str = "w";
/// The field of an answer that confirms the client's copy as current.
const NOT_MODIFIED_FIELD: &str = "valid";

/// A field of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerField {
    /// The name in the frame.
    pub name: &'static str,
    /// The value.
    pub value: String,
}

/// The content of the frame of a final answer.
#[derive(Debug)]
pub struct ClientAnswer {
    /// The result.
    pub code: AnswerCode,
    /// The only field, if there is one.
    pub field: Option<AnswerField>,
    /// The payload.
    pub body: BufferChain,
}

impl ClientAnswer {
    /// The answer frame for a final answer, with the payload of the attempt that completed the request.
    pub fn new(buffers: &BufferPool, answer: FinalAnswer, payload: ResponsePayload) -> Self {
        let empty = BufferChain::new(buffers);
        match (answer, payload) {
            (FinalAnswer::Served, ResponsePayload::Body(body, _)) => {
                Self { code: AnswerCode::Served, field: None, body }
            }
            (FinalAnswer::Served, ResponsePayload::NotModified) => {
                let field = AnswerField { name: NOT_MODIFIED_FIELD, value: "1".to_string() };
                Self { code: AnswerCode::Served, field: Some(field), body: empty }
            }
            (FinalAnswer::Rejected { retry_after, .. }, _) => {
                Self { code: AnswerCode::Rejected, field: retry_after_field(retry_after), body: empty }
            }
            (FinalAnswer::Failed, _)
            | (FinalAnswer::Served, ResponsePayload::Empty | ResponsePayload::Discarded) => {
                Self { code: AnswerCode::Failed, field: None, body: empty }
            }
        }
    }
}

/// The field for a Retry-After in milliseconds, rounded up; `None` for 0.
fn retry_after_field(retry_after: Ms) -> Option<AnswerField> {
    let value = format!("{}", retry_after.ceil());
    (value != "0").then_some(AnswerField { name: RETRY_AFTER_FIELD, value })
}

/// Raises the Retry-After of a rejection to that of the hierarchy, limited to `longest`. A rejection without
/// a Retry-After, or one that holds only while the endpoints remember the request's key, and all other answers
/// are unchanged. Times are in milliseconds.
pub fn with_hierarchy_retry_after(
    answer: FinalAnswer,
    from_hierarchy: Option<Ms>,
    longest: Ms,
) -> FinalAnswer {
    match (answer, from_hierarchy) {
        (FinalAnswer::Rejected { retry_after, may_run_elsewhere: true }, Some(later))
            if retry_after > 0.0 =>
        {
            let retry_after = retry_after.max(later.min(longest));
            FinalAnswer::Rejected { retry_after, may_run_elsewhere: true }
        }
        _ => answer,
    }
}

#[cfg(test)]
#[path = "../tests/unit/answers.rs"]
mod tests;
