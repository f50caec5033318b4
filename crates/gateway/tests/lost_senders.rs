//! Requests with a token whose connection is lost: the site that serves them begins nothing further until it hears
//! their sender, and the sender tells it on the next connection whose clients have gone.

mod support;

use linnethook_gateway::attempt_ledger::{AttemptOutcome, Ticket, Token};
use linnethook_gateway::codec::{Frame, Message, VersionRange};
use linnethook_gateway::gateway::{Action, ConnectionId, Departure, Gateway, GatewayConfig, Reply};
use support::*;

const TICKET: Ticket = 1;
const SECOND_CONNECTION: ConnectionId = 2;
const LOST_AT: f64 = 70.0;
const DEADLINE: f64 = 3_000.0;
/// The token of a request of the peer.
const PEER_TOKEN: Token = Token { epoch: PEER_EPOCH, number: 1 };

/// A gateway whose only site for writes is the other one.
fn config() -> GatewayConfig {
    let mut config = GatewayConfig::default();
    config.routing.initial_share = 1.0;
    config.routing.retries_per_request = 1.0;
    config
}

/// A gateway that has sent a booking to the other site, with its token.
fn with_booking_sent() -> (Gateway, Token) {
    let mut gateway = connected(config());
    gateway.report_local_load(61.0, 0, 0.1);
    for n in 0..8 {
        gateway.record_local_outcome(61.0, linnethook_gateway::local_capacity::RequestKind::Write, n < 8);
    }
    sent_frames(&mut gateway);
    gateway.submit_request(62.0, TICKET, forward_request(true, DEADLINE));
    let token = sent_token(&sent_frames(&mut gateway)).expect("a booking is sent");
    actions(&mut gateway);
    (gateway, token)
}

fn sent_token(frames: &[Frame]) -> Option<Token> {
    frames.iter().find_map(|frame| match &frame.message {
        Message::Request(request) => request.token,
        _ => None,
    })
}

fn reconnect(gateway: &mut Gateway, now: f64) -> Vec<Message> {
    connect_with(gateway, SECOND_CONNECTION, now, hello(PEER_EPOCH))
}

// ---- The sender.

/// Guards against attempts for nobody: a client left while its booking was uncertain, and the other site heard only
/// the queries for those that were still open.
#[test]
fn a_departure_while_the_attempt_is_uncertain_is_sent_on_the_next_connection() {
    let (mut gateway, token) = with_booking_sent();
    gateway.connection_lost(LOST_AT, FIRST_CONNECTION);
    gateway.cancel_request(LOST_AT + 1.0, TICKET);
    let sent = reconnect(&mut gateway, LOST_AT + 50.0);
    assert!(sent.contains(&Message::CancelToken(token)), "{sent:?}");
    assert!(!sent.contains(&Message::OutcomeQuery(token)), "{sent:?}");
    // It was told to this process: a further connection beside the first one needs no repetition.
    assert!(!connect_with(&mut gateway, 3, LOST_AT + 60.0, hello(PEER_EPOCH))
        .contains(&Message::CancelToken(token)));
}

/// A cancellation is lost with the connection that it was written to.
#[test]
fn a_cancellation_is_sent_again_if_its_connection_is_lost() {
    let (mut gateway, token) = with_booking_sent();
    gateway.cancel_request(LOST_AT - 1.0, TICKET);
    assert!(sent_frames(&mut gateway).iter().any(|frame| frame.message == Message::Cancel));
    gateway.connection_lost(LOST_AT, FIRST_CONNECTION);
    assert!(reconnect(&mut gateway, LOST_AT + 50.0).contains(&Message::CancelToken(token)));
}

#[test]
fn a_departure_is_sent_at_once_on_another_connection() {
    let (mut gateway, token) = with_booking_sent();
    reconnect(&mut gateway, LOST_AT - 5.0);
    gateway.connection_lost(LOST_AT, FIRST_CONNECTION);
    gateway.cancel_request(LOST_AT + 1.0, TICKET);
    let sent = sent_frames_on(&mut gateway, SECOND_CONNECTION);
    assert!(sent.iter().any(|frame| frame.message == Message::CancelToken(token)), "{sent:?}");
}

/// Guards against a departure that nobody is told of: the attempt was reported as running on a new connection, where
/// it has no stream to cancel.
#[test]
fn a_departure_after_a_report_as_running_is_sent_by_the_token() {
    let (mut gateway, token) = with_booking_sent();
    gateway.connection_lost(LOST_AT, FIRST_CONNECTION);
    assert!(reconnect(&mut gateway, LOST_AT + 50.0).contains(&Message::OutcomeQuery(token)));
    let running = Message::OutcomeReport(token, AttemptOutcome::Running);
    send_on(&mut gateway, SECOND_CONNECTION, LOST_AT + 60.0, 0, running);
    gateway.cancel_request(LOST_AT + 70.0, TICKET);
    let sent = sent_frames_on(&mut gateway, SECOND_CONNECTION);
    assert!(sent.iter().any(|frame| frame.message == Message::CancelToken(token)), "{sent:?}");
}

#[test]
fn a_peer_of_an_earlier_version_is_sent_no_cancellation_by_token() {
    let (mut gateway, token) = with_booking_sent();
    gateway.connection_lost(LOST_AT, FIRST_CONNECTION);
    gateway.cancel_request(LOST_AT + 1.0, TICKET);
    let earlier = hello_with(PEER_EPOCH, VersionRange { min: 1, max: 2 });
    let sent = connect_with(&mut gateway, SECOND_CONNECTION, LOST_AT + 50.0, earlier);
    assert!(!sent.contains(&Message::CancelToken(token)), "{sent:?}");
}

#[test]
fn a_cancellation_is_owed_to_one_start_of_the_peer_and_no_longer_than_it_matters() {
    for (now, epoch) in [(LOST_AT + 50.0, PEER_EPOCH + 1), (DEADLINE + 1_000.0, PEER_EPOCH)] {
        let (mut gateway, token) = with_booking_sent();
        gateway.connection_lost(LOST_AT, FIRST_CONNECTION);
        gateway.cancel_request(LOST_AT + 1.0, TICKET);
        gateway.on_timer(now - 1.0);
        gateway.on_timer(now);
        let sent = connect_with(&mut gateway, SECOND_CONNECTION, now, hello(epoch));
        assert!(!sent.contains(&Message::CancelToken(token)), "at {now}: {sent:?}");
    }
}

/// The request has its final answer: the other site begins no attempt of it later.
#[test]
fn an_uncertain_attempt_whose_deadline_has_passed_is_cancelled() {
    let (mut gateway, token) = with_booking_sent();
    gateway.connection_lost(LOST_AT, FIRST_CONNECTION);
    gateway.on_timer(DEADLINE);
    assert!(actions(&mut gateway).contains(&Action::Answer(TICKET, Reply::Failed)));
    assert!(reconnect(&mut gateway, DEADLINE + 10.0).contains(&Message::CancelToken(token)));
}

/// What becomes known of a token after its client has left begins nothing.
#[test]
fn a_token_that_is_freed_after_the_departure_is_not_sent_again() {
    let (mut gateway, token) = with_booking_sent();
    gateway.connection_lost(LOST_AT, FIRST_CONNECTION);
    reconnect(&mut gateway, LOST_AT + 50.0);
    gateway.cancel_request(LOST_AT + 60.0, TICKET);
    let never_ran = Message::OutcomeReport(token, AttemptOutcome::NeverRan);
    send_on(&mut gateway, SECOND_CONNECTION, LOST_AT + 70.0, 0, never_ran);
    gateway.on_timer(LOST_AT + 200.0);
    assert_eq!(sent_token(&sent_frames_on(&mut gateway, SECOND_CONNECTION)), None);
}

#[test]
fn a_request_that_waits_for_a_connection_is_not_sent_after_the_departure() {
    let (mut gateway, _) = with_booking_sent();
    // It is proven not to have run, and waits for a connection.
    send(&mut gateway, LOST_AT, 0, Message::GoAway);
    let token = Token { epoch: 7, number: 1 };
    send(&mut gateway, LOST_AT, 0, Message::OutcomeReport(token, AttemptOutcome::NeverRan));
    gateway.cancel_request(LOST_AT + 1.0, TICKET);
    reconnect(&mut gateway, LOST_AT + 50.0);
    gateway.on_timer(LOST_AT + 200.0);
    assert_eq!(sent_token(&sent_frames_on(&mut gateway, SECOND_CONNECTION)), None);
}

/// A site between two others: the sender of a request that it has forwarded is lost.
#[test]
fn a_forwarded_request_whose_sender_is_lost_is_cancelled_there_and_not_sent_again() {
    let (mut gateway, token) = with_booking_sent();
    assert!(gateway.stop_retries(TICKET));
    assert!(sent_frames(&mut gateway).iter().any(|frame| frame.message == Message::Cancel));
    send(&mut gateway, LOST_AT, 0, Message::OutcomeReport(token, AttemptOutcome::NeverRan));
    let actions = actions(&mut gateway);
    assert!(
        actions.iter().any(|action| matches!(action, Action::Answer(TICKET, Reply::Rejected { .. }))),
        "{actions:?}"
    );
    assert_eq!(sent_token(&sent_frames(&mut gateway)), None);
}

// ---- The receiver.

/// A gateway that serves the request with [`PEER_TOKEN`].
fn with_request_served() -> (Gateway, Ticket) {
    let mut gateway = connected(config());
    send(&mut gateway, 61.0, 1, request(Some(PEER_TOKEN)));
    let ticket = served_ticket(&mut gateway).expect("served");
    assert!(gateway.may_begin_attempt(61.0, ticket));
    (gateway, ticket)
}

#[test]
fn no_attempt_begins_for_a_lost_sender_until_it_queries_the_outcome() {
    let (mut gateway, ticket) = with_request_served();
    gateway.connection_lost(LOST_AT, FIRST_CONNECTION);
    assert!(actions(&mut gateway).contains(&Action::SuspendServe(ticket)));
    assert_eq!(gateway.departure_of(ticket), Some(Departure::ConnectionLost));
    assert!(!gateway.may_begin_attempt(LOST_AT, ticket));
    // A connection alone does not tell which clients have stayed.
    reconnect(&mut gateway, LOST_AT + 50.0);
    assert!(!gateway.may_begin_attempt(LOST_AT + 59.0, ticket));
    send_on(&mut gateway, SECOND_CONNECTION, LOST_AT + 60.0, 0, Message::OutcomeQuery(PEER_TOKEN));
    assert!(gateway.may_begin_attempt(LOST_AT + 60.0, ticket));
    gateway.on_timer(LOST_AT + 2_000.0);
    assert!(!actions(&mut gateway).contains(&Action::StopRetries(ticket)));
}

/// Guards against attempts for nobody: a cancellation waits on a link that passes nothing on, whose loss is not noticed
/// for seconds.
#[test]
fn no_attempt_begins_for_a_sender_that_is_silent() {
    const LAST_RECEIPT: f64 = 61.0;
    let (mut gateway, ticket) = with_request_served();
    assert!(gateway.may_begin_attempt(LAST_RECEIPT + 100.0, ticket));
    assert!(!gateway.may_begin_attempt(LAST_RECEIPT + 101.0, ticket));
    assert_eq!(gateway.departure_of(ticket), None);
    // What counts is the connection on which the sender waits.
    reconnect(&mut gateway, LAST_RECEIPT + 200.0);
    assert!(!gateway.may_begin_attempt(LAST_RECEIPT + 210.0, ticket));
    send(&mut gateway, LAST_RECEIPT + 220.0, 0, Message::Ping(1));
    assert!(gateway.may_begin_attempt(LAST_RECEIPT + 220.0, ticket));
}

/// A read has no token that its sender could cancel on another connection.
#[test]
fn a_read_waits_while_its_connection_is_silent_and_ends_with_it() {
    let mut gateway = connected(config());
    send(&mut gateway, 61.0, 1, request(None));
    let ticket = served_ticket(&mut gateway).expect("served");
    assert!(gateway.may_begin_attempt(161.0, ticket));
    assert!(!gateway.may_begin_attempt(162.0, ticket));
    gateway.connection_lost(170.0, FIRST_CONNECTION);
    assert!(actions(&mut gateway).contains(&Action::CancelServe(ticket)));
}

#[test]
fn a_lost_sender_that_does_not_return_in_time_is_given_up() {
    let (mut gateway, ticket) = with_request_served();
    gateway.connection_lost(LOST_AT, FIRST_CONNECTION);
    actions(&mut gateway);
    let until = LOST_AT + config().forwarding.max_wait;
    gateway.on_timer(until - 1.0);
    assert!(!actions(&mut gateway).contains(&Action::StopRetries(ticket)));
    assert!(gateway.next_deadline(until - 1.0) <= until);
    gateway.on_timer(until);
    assert!(actions(&mut gateway).contains(&Action::StopRetries(ticket)));
}

/// Guards against a client that waits in vain: its site had lost one end of the connection, and the answer was written
/// to the other end.
#[test]
fn the_outcome_is_reported_on_the_connection_on_which_it_was_queried() {
    let (mut gateway, ticket) = with_request_served();
    reconnect(&mut gateway, LOST_AT);
    send_on(&mut gateway, SECOND_CONNECTION, LOST_AT + 1.0, 0, Message::OutcomeQuery(PEER_TOKEN));
    gateway.connection_lost(LOST_AT + 5.0, FIRST_CONNECTION);
    assert!(gateway.may_begin_attempt(LOST_AT + 5.0, ticket), "the sender was heard on another connection");
    sent_frames_on(&mut gateway, SECOND_CONNECTION);
    gateway.complete_remote_request(LOST_AT + 10.0, ticket, Reply::Failed);
    let sent = sent_frames_on(&mut gateway, SECOND_CONNECTION);
    assert!(
        sent.iter().any(|frame| matches!(
            frame.message,
            Message::OutcomeReport(PEER_TOKEN, AttemptOutcome::Completed(_))
        )),
        "{sent:?}"
    );
    // That connection can be lost, too.
    let (mut gateway, ticket) = with_request_served();
    reconnect(&mut gateway, LOST_AT);
    send_on(&mut gateway, SECOND_CONNECTION, LOST_AT + 1.0, 0, Message::OutcomeQuery(PEER_TOKEN));
    gateway.connection_lost(LOST_AT + 5.0, SECOND_CONNECTION);
    assert!(actions(&mut gateway).contains(&Action::SuspendServe(ticket)));
}

#[test]
fn a_cancelled_token_ends_its_request_on_any_connection() {
    let (mut gateway, ticket) = with_request_served();
    gateway.connection_lost(LOST_AT, FIRST_CONNECTION);
    reconnect(&mut gateway, LOST_AT + 50.0);
    send_on(&mut gateway, SECOND_CONNECTION, LOST_AT + 60.0, 0, Message::CancelToken(PEER_TOKEN));
    assert!(actions(&mut gateway).contains(&Action::CancelServe(ticket)));
    assert_eq!(gateway.departure_of(ticket), Some(Departure::Cancelled));
}

#[test]
fn a_token_that_was_cancelled_before_its_request_arrived_never_runs() {
    let mut gateway = connected(config());
    reconnect(&mut gateway, 61.0);
    send_on(&mut gateway, SECOND_CONNECTION, 65.0, 0, Message::CancelToken(PEER_TOKEN));
    send(&mut gateway, 66.0, 1, request(Some(PEER_TOKEN)));
    assert_eq!(served_ticket(&mut gateway), None);
    sent_frames(&mut gateway);
}
