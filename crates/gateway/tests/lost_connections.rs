//! Reads whose connection to the other site is lost: a read has one attempt at a time, also while the other site
//! has not noticed the loss.

mod support;

use bytes::Bytes;
use linnethook_gateway::codec::{Frame, Message, RejectReason, ResponseHead};
use linnethook_gateway::forwarding::ForwardRequest;
use linnethook_gateway::gateway::{Action, ConnectionId, Gateway, GatewayConfig, Reply};
use support::*;

const TICKET: u64 = 1;
const SECOND_CONNECTION: ConnectionId = 2;
const LOST_AT: f64 = 63.0;
/// Far behind the time in which a loss is noticed.
const DEADLINE: f64 = 20_000.0;
/// The interval of the timers in these tests.
const STEP: f64 = 10.0;

fn config() -> GatewayConfig {
    let mut config = GatewayConfig::default();
    config.routing.initial_share = 1.0;
    config.routing.retries_per_request = 1.0;
    config
}

/// The time by which the other site has noticed a loss at [`LOST_AT`].
fn noticed_at() -> f64 {
    let heartbeat = GatewayConfig::default().session.heartbeat;
    LOST_AT + heartbeat.max_silence + heartbeat.interval
}

fn read(deadline: f64) -> ForwardRequest {
    ForwardRequest { body: Bytes::new(), ..forward_request(false, deadline) }
}

/// A gateway that has sent a read to the other site, and could serve it itself by now.
fn with_read_sent(request: ForwardRequest) -> Gateway {
    let mut gateway = connected(config());
    gateway.report_local_load(61.0, 0, 0.1);
    sent_frames(&mut gateway);
    gateway.submit_request(62.0, TICKET, request);
    assert!(sends_request(&mut gateway, FIRST_CONNECTION));
    gateway.report_local_load(62.0, 3, 0.1);
    actions(&mut gateway);
    gateway
}

fn sends_request(gateway: &mut Gateway, connection: ConnectionId) -> bool {
    sent_frames_on(gateway, connection).iter().any(|frame| matches!(frame.message, Message::Request(_)))
}

/// The first decision about the read after `from`, with its time; `None` until `to`.
fn decision(gateway: &mut Gateway, from: f64, to: f64) -> Option<(f64, Action)> {
    let mut now = from;
    while now <= to {
        gateway.on_timer(now);
        let decides =
            |action: &Action| matches!(action, Action::ServeLocally(TICKET) | Action::Answer(TICKET, _));
        if let Some(action) = actions(gateway).into_iter().find(decides) {
            return Some((now, action));
        }
        now += STEP;
    }
    None
}

/// Guards against two attempts of a read at once: the network reset one end of a link, and the read was served
/// here while the other site still worked on it.
#[test]
fn a_read_is_served_here_once_the_other_site_has_noticed_the_loss() {
    let mut gateway = with_read_sent(read(DEADLINE));
    gateway.connection_lost(LOST_AT, FIRST_CONNECTION);
    let (at, action) = decision(&mut gateway, LOST_AT, DEADLINE).expect("a decision");
    assert_eq!(action, Action::ServeLocally(TICKET));
    assert!(at >= noticed_at(), "served here after {} ms", at - LOST_AT);
    assert!(at <= noticed_at() + 100.0, "served here after {} ms", at - LOST_AT);
}

/// Guards against the same where this gateway closes a silent connection.
#[test]
fn a_read_over_a_silent_connection_is_served_here_once_the_other_site_has_noticed_the_silence() {
    let mut gateway = with_read_sent(read(DEADLINE));
    let silence = GatewayConfig::default().session.heartbeat;
    let mut now = LOST_AT;
    loop {
        gateway.on_timer(now);
        if actions(&mut gateway).iter().any(|action| matches!(action, Action::Close(FIRST_CONNECTION, _))) {
            break;
        }
        now += STEP;
        assert!(now < LOST_AT + 2.0 * silence.max_silence, "the silence is noticed");
    }
    let (at, action) = decision(&mut gateway, now, DEADLINE).expect("a decision");
    assert_eq!(action, Action::ServeLocally(TICKET));
    assert!(at - now >= silence.max_silence + silence.interval, "served here after {} ms", at - now);
}

/// Where no attempt is left at the other site, or two may run at once, nothing is waited for.
#[test]
fn a_read_is_served_here_at_once_where_its_attempt_has_ended_or_may_run_in_parallel() {
    let mut gateway = with_read_sent(read(DEADLINE));
    gateway.connection_closed(LOST_AT, FIRST_CONNECTION);
    assert!(actions(&mut gateway).contains(&Action::ServeLocally(TICKET)), "the other site has closed it");

    let mut gateway = with_read_sent(ForwardRequest { parallel_attempts: true, ..read(DEADLINE) });
    gateway.connection_lost(LOST_AT, FIRST_CONNECTION);
    assert!(actions(&mut gateway).contains(&Action::ServeLocally(TICKET)), "two attempts are allowed");

    let mut gateway = with_read_sent(read(DEADLINE));
    let head = ResponseHead { served: true, fields: Vec::new(), body_length: 100, offset: 0, version: None };
    send(&mut gateway, 62.5, 1, Message::Response(Box::new(head)));
    gateway.connection_lost(LOST_AT, FIRST_CONNECTION);
    assert!(actions(&mut gateway).contains(&Action::ServeLocally(TICKET)), "its response has begun");
}

#[test]
fn a_read_that_can_not_wait_for_the_end_is_rejected_before_its_deadline() {
    let deadline = noticed_at() - 500.0;
    let mut gateway = with_read_sent(read(deadline));
    gateway.connection_lost(LOST_AT, FIRST_CONNECTION);
    let (at, action) = decision(&mut gateway, LOST_AT, deadline).expect("a decision");
    assert!(matches!(action, Action::Answer(TICKET, Reply::Rejected { .. })), "{action:?}");
    assert!(at < deadline);
}

#[test]
fn the_gateway_that_may_still_run_a_read_is_asked_again_on_a_new_connection() {
    let mut gateway = with_read_sent(read(DEADLINE));
    gateway.connection_lost(LOST_AT, FIRST_CONNECTION);
    connect(&mut gateway, SECOND_CONNECTION, LOST_AT + 10.0, PEER_EPOCH);
    assert_eq!(decision(&mut gateway, LOST_AT + 20.0, LOST_AT + 100.0), None);
    assert!(sends_request(&mut gateway, SECOND_CONNECTION));
}

#[test]
fn a_read_is_served_here_once_the_gateway_that_ran_it_has_restarted() {
    let mut gateway = with_read_sent(read(DEADLINE));
    gateway.connection_lost(LOST_AT, FIRST_CONNECTION);
    connect(&mut gateway, SECOND_CONNECTION, LOST_AT + 10.0, PEER_EPOCH + 1);
    let decision = decision(&mut gateway, LOST_AT + 20.0, LOST_AT + 100.0).map(|(_, action)| action);
    assert_eq!(decision, Some(Action::ServeLocally(TICKET)));
}

/// Guards against two attempts of a read at once: it was sent again over a new connection while its first attempt
/// still ran for a connection that only its sender had lost.
#[test]
fn a_request_that_a_peer_sends_again_on_another_connection_replaces_the_earlier_one() {
    let mut gateway = connected(config());
    connect(&mut gateway, SECOND_CONNECTION, 61.0, PEER_EPOCH);
    actions(&mut gateway);
    let ticket_of = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::ServeRemote(request) => Some(request.ticket),
            _ => None,
        })
    };
    send(&mut gateway, 63.5, 1, request(None));
    let earlier = ticket_of(&actions(&mut gateway)).expect("served");
    sent_frames(&mut gateway);
    // Two clients may ask for the same over one connection.
    send(&mut gateway, 63.6, 2, request(None));
    let same_connection = actions(&mut gateway);
    let latest = ticket_of(&same_connection).expect("served");
    assert!(!same_connection.contains(&Action::CancelServe(earlier)));
    send_on(&mut gateway, SECOND_CONNECTION, 64.0, 1, request(None));
    let actions = actions(&mut gateway);
    let cancelled = actions.iter().position(|action| *action == Action::CancelServe(latest));
    let served = actions.iter().position(|action| matches!(action, Action::ServeRemote(_)));
    assert!(cancelled.expect("cancelled") < served.expect("served"), "{actions:?}");
    let rejected = Message::Reject { reason: RejectReason::Unusable, retry_after_ms: 0 };
    assert!(sent_frames(&mut gateway).contains(&Frame { stream: 2, message: rejected }));
}
