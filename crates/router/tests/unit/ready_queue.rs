//! Unit tests of `src/turn/ready_queue.rs`, as a submodule of it.

use super::*;
use crate::config::PartLimits;

const PART: PartLimits = PartLimits { max_bytes: 1_000, message_cost_bytes: 100 };
const LIMITS: TurnLimits = TurnLimits {
    max_duration_ms: 50.0,
    upstream_ms: 30.0,
    downstream_ms: 10.0,
    upstream_part: PART,
    client_part: PART,
    field_byte_cost: 4,
    max_new_client_bytes: 1_000,
};

/// Serves connections of a side; each uses all of its budget and is ready again. Returns them in their order.
fn serve_busy(queue: &ReadyQueue, side: Side, turns: usize) -> Vec<ReadyConnection> {
    let mut served = Vec::new();
    for _ in 0..turns {
        let (connection, readiness) = queue.pop(side).expect("a ready connection");
        let mut budget = queue.connection_budget(connection.kind);
        while !budget.is_spent() {
            budget.spend_message();
        }
        queue.charge(connection.kind, connection.id, &budget);
        queue.insert(connection.kind, connection.id, readiness);
        served.push(connection);
    }
    served
}

/// Guards against replies of endpoints that wait until all clients were read.
#[test]
fn what_clients_have_sent_delays_no_upstream_connection() {
    let queue = ReadyQueue::new(LIMITS);
    (0..400).for_each(|id| queue.insert(ConnectionKind::Client, id, READABLE));
    serve_busy(&queue, Side::Downstream, 1_000);
    for kind in [ConnectionKind::Discovery, ConnectionKind::Upstream, ConnectionKind::Link] {
        queue.insert(kind, 7, READABLE);
        let next = queue.pop(Side::Upstream).map(|(connection, _)| connection);
        assert_eq!(next, Some(ReadyConnection { kind, id: 7 }));
        assert!(queue.pop(Side::Upstream).is_none());
    }
}

/// Guards against an endpoint that keeps others waiting, since it always has more to be read.
#[test]
fn a_reply_is_read_before_the_backlog_of_other_endpoints() {
    let queue = ReadyQueue::new(LIMITS);
    (0..50).for_each(|id| queue.insert(ConnectionKind::Upstream, id, READABLE));
    queue.insert(ConnectionKind::Upstream, 100, READABLE);
    serve_busy(&queue, Side::Upstream, 51);
    queue.withdraw(ConnectionKind::Upstream, 100);
    serve_busy(&queue, Side::Upstream, 500);
    queue.insert(ConnectionKind::Upstream, 100, READABLE);
    let served = serve_busy(&queue, Side::Upstream, 51);
    assert!(served.contains(&ReadyConnection { kind: ConnectionKind::Upstream, id: 100 }), "{served:?}");
}

/// Guards against the first request of a connection that waits until all other clients were read.
#[test]
fn a_new_client_is_read_before_the_backlog_of_others() {
    let queue = ReadyQueue::new(LIMITS);
    (0..400).for_each(|id| queue.insert(ConnectionKind::Client, id, READABLE));
    serve_busy(&queue, Side::Downstream, 1_000);
    queue.insert(ConnectionKind::NewClient, 500, READABLE);
    let served = serve_busy(&queue, Side::Downstream, 2);
    assert!(served.contains(&ReadyConnection { kind: ConnectionKind::NewClient, id: 500 }), "{served:?}");
}

/// Guards against the second request of a connection that waits until all other clients were read.
#[test]
fn a_client_with_one_message_is_read_again_before_the_backlog_of_others() {
    let queue = ReadyQueue::new(LIMITS);
    (0..400).for_each(|id| queue.insert(ConnectionKind::Client, id, READABLE));
    serve_busy(&queue, Side::Downstream, 1_000);
    queue.insert(ConnectionKind::NewClient, 500, READABLE);
    assert!(queue.pop(Side::Downstream).is_some_and(|(connection, _)| connection.id == 500));
    queue.promote_client(500);
    let mut budget = queue.connection_budget(ConnectionKind::NewClient);
    budget.spend_message();
    queue.charge_connection(ConnectionKind::Client, 500, &budget);
    serve_busy(&queue, Side::Downstream, 400);
    queue.insert(ConnectionKind::Client, 500, READABLE);
    let served = serve_busy(&queue, Side::Downstream, 2);
    assert!(served.contains(&ReadyConnection { kind: ConnectionKind::Client, id: 500 }), "{served:?}");
}

/// Guards against new clients with much to be read that keep those with little waiting.
#[test]
fn a_client_that_begins_with_much_is_read_after_one_that_begins_with_little() {
    let queue = ReadyQueue::new(LIMITS);
    (0..401).for_each(|id| queue.insert(ConnectionKind::NewClient, id, READABLE));
    (0..401).for_each(|_| assert!(queue.pop(Side::Downstream).is_some()));
    (0..400).for_each(|id| queue.promote_busy_client(id));
    queue.promote_client(400);
    (0..401).for_each(|id| queue.insert(ConnectionKind::Client, id, READABLE));
    let next = queue.pop(Side::Downstream).map(|(connection, _)| connection);
    assert_eq!(next, Some(ReadyConnection { kind: ConnectionKind::Client, id: 400 }));
}

/// Guards against clients that keep all others waiting, since they connect anew again and again.
#[test]
fn kinds_that_are_always_ready_have_equal_shares() {
    let queue = ReadyQueue::new(LIMITS);
    let sides = [
        (Side::Upstream, vec![ConnectionKind::Discovery, ConnectionKind::Upstream, ConnectionKind::Link]),
        (Side::Downstream, vec![ConnectionKind::NewClient, ConnectionKind::Client]),
    ];
    for (side, kinds) in sides {
        for kind in &kinds {
            (0..10).for_each(|id| queue.insert(*kind, id, READABLE));
        }
        let share = 100;
        let served = serve_busy(&queue, side, share * kinds.len());
        for kind in kinds {
            let turns = served.iter().filter(|connection| connection.kind == kind).count();
            assert!(turns.abs_diff(share) <= 1, "{kind:?}: {turns} of {}", served.len());
        }
    }
}

#[test]
fn a_connection_that_is_marked_twice_is_served_once_for_both() {
    let queue = ReadyQueue::new(LIMITS);
    queue.insert(ConnectionKind::Client, 1, READABLE);
    queue.insert(ConnectionKind::Client, 1, Readiness { readable: false, writable: true, error: false });
    let (connection, readiness) = queue.pop(Side::Downstream).expect("a ready connection");
    assert_eq!(connection, ReadyConnection { kind: ConnectionKind::Client, id: 1 });
    assert!(readiness.readable && readiness.writable && !readiness.error);
    assert!(queue.is_empty() && queue.pop(Side::Downstream).is_none());
}

#[test]
fn a_connection_that_was_served_outside_its_turn_or_has_ended_is_not_ready() {
    let queue = ReadyQueue::new(LIMITS);
    (1..=3).for_each(|id| queue.insert(ConnectionKind::Client, id, READABLE));
    queue.withdraw(ConnectionKind::Client, 1);
    queue.remove(ConnectionKind::Client, 2);
    queue.withdraw(ConnectionKind::Link, 9);
    assert!(!queue.contains(ConnectionKind::Client, 1) && queue.contains(ConnectionKind::Client, 3));
    assert!(queue.has_any(ConnectionKind::Client) && !queue.has_any(ConnectionKind::Upstream));
    queue.withdraw(ConnectionKind::Client, 3);
    assert!(queue.is_empty() && !queue.has_any(ConnectionKind::Client));
}
