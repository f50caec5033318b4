//! Requests with a token whose senders cancel them: nothing further is begun for them, and what is retained of the
//! token is what is known.

mod support;

use bytes::Bytes;
use linnethook_gateway::attempt_ledger::{AttemptOutcome, Ticket, Token};
use linnethook_gateway::codec::{encode_frame, Frame, Message};
use linnethook_gateway::gateway::{Action, Departure, Gateway, GatewayConfig, Reply};
use support::*;

const TOKEN: Token = Token { epoch: PEER_EPOCH, number: 1 };
const STREAM: u32 = 1;

fn served() -> Reply {
    Reply::Served { fields: Vec::new(), body: Bytes::from_static(b"booked"), version: None }
}

/// A gateway that serves the request with [`TOKEN`], which its sender has cancelled.
fn with_cancelled_request() -> (Gateway, Ticket) {
    let mut gateway = connected(GatewayConfig::default());
    send(&mut gateway, 61.0, STREAM, request(Some(TOKEN)));
    let ticket = served_ticket(&mut gateway).expect("served");
    assert_eq!(gateway.departure_of(ticket), None);
    send(&mut gateway, 62.0, STREAM, Message::Cancel);
    assert!(actions(&mut gateway).contains(&Action::CancelServe(ticket)));
    assert_eq!(gateway.departure_of(ticket), Some(Departure::Cancelled));
    sent_frames(&mut gateway);
    (gateway, ticket)
}

/// The outcomes of [`TOKEN`] that the gateway has reported since the last call.
fn reported(gateway: &mut Gateway) -> Vec<AttemptOutcome> {
    let reports = sent_frames(gateway).into_iter().filter_map(|frame| match frame.message {
        Message::OutcomeReport(TOKEN, outcome) => Some(outcome),
        _ => None,
    });
    reports.collect()
}

/// The outcome of [`TOKEN`] that the gateway reports to a query.
fn queried(gateway: &mut Gateway) -> AttemptOutcome {
    send(gateway, 64.0, 0, Message::OutcomeQuery(TOKEN));
    let reports = reported(gateway);
    assert_eq!(reports.len(), 1);
    reports[0].clone()
}

/// Guards against a token that is reported as never run while its last attempt may still be executed.
#[test]
fn a_cancelled_request_is_running_until_its_outcome_is_known() {
    let (mut gateway, _) = with_cancelled_request();
    assert_eq!(queried(&mut gateway), AttemptOutcome::Running);
}

#[test]
fn a_cancelled_request_that_was_not_executed_never_runs() {
    let (mut gateway, ticket) = with_cancelled_request();
    gateway.complete_remote_request(63.0, ticket, Reply::Rejected { retry_after: 0.0 });
    assert_eq!(reported(&mut gateway), [AttemptOutcome::NeverRan], "a sender may await the outcome");
    assert_eq!(queried(&mut gateway), AttemptOutcome::NeverRan);
    send(&mut gateway, 65.0, STREAM + 1, request(Some(TOKEN)));
    assert_eq!(served_ticket(&mut gateway), None, "it is fenced");
}

#[test]
fn a_cancelled_request_that_was_or_may_have_been_executed_is_never_reported_as_not_run() {
    for reply in [served(), Reply::Failed] {
        let (mut gateway, ticket) = with_cancelled_request();
        gateway.complete_remote_request(63.0, ticket, reply);
        sent_frames(&mut gateway);
        assert!(matches!(queried(&mut gateway), AttemptOutcome::Completed(_)));
        assert_eq!(gateway.departure_of(ticket), None, "its place is given back");
        send(&mut gateway, 65.0, STREAM + 1, request(Some(TOKEN)));
        assert_eq!(served_ticket(&mut gateway), None, "it does not run twice");
    }
}

#[test]
fn a_cancellation_that_crosses_with_the_reply_changes_nothing() {
    let mut gateway = connected(GatewayConfig::default());
    send(&mut gateway, 61.0, STREAM, request(Some(TOKEN)));
    let ticket = served_ticket(&mut gateway).expect("served");
    gateway.complete_remote_request(62.0, ticket, served());
    sent_frames(&mut gateway);
    send(&mut gateway, 63.0, STREAM, Message::Cancel);
    assert!(!actions(&mut gateway).contains(&Action::CancelServe(ticket)));
    assert!(matches!(queried(&mut gateway), AttemptOutcome::Completed(Some(_))));
}

/// Guards against an attempt for nobody: a request and its cancellation, read at once, were served first.
#[test]
fn a_request_that_is_cancelled_before_it_was_passed_on_is_not_served() {
    for token in [None, Some(TOKEN)] {
        let mut gateway = connected(GatewayConfig::default());
        actions(&mut gateway);
        let frames = [request(token), Message::Cancel].map(|message| Frame { stream: STREAM, message });
        let bytes: Vec<u8> = frames.iter().flat_map(|frame| encode_frame(frame).to_vec()).collect();
        gateway.receive(61.0, FIRST_CONNECTION, &bytes);
        let actions = actions(&mut gateway);
        let is_served = |action: &Action| matches!(action, Action::ServeRemote(_) | Action::CancelServe(_));
        assert!(!actions.iter().any(is_served), "{actions:?}");
        sent_frames(&mut gateway);
        if token.is_some() {
            assert_eq!(queried(&mut gateway), AttemptOutcome::NeverRan);
        }
    }
}

/// A query of the sender, written before its cancellation on another connection, says no longer that it waits.
#[test]
fn a_query_does_not_undo_a_cancellation() {
    let (mut gateway, ticket) = with_cancelled_request();
    assert_eq!(queried(&mut gateway), AttemptOutcome::Running);
    assert_eq!(gateway.departure_of(ticket), Some(Departure::Cancelled));
    assert!(!gateway.may_begin_attempt(64.0, ticket));
}
