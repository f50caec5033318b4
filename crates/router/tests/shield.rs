//! Requests whose fills wait at the origin shield, with the built program.

mod common;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use common::pending_connections::*;
use common::*;
use linnethook_quickstart::{CacheEvent, Journal};
use serde_json::json;

/// Fills wait for longer than the grace of a purge.
const OPERATOR: &str = r#"
hierarchy(wait = 2.0)
node("origin", role = "origin", site = "hub", capacity = 20)
node("parent", role = "parent", site = "hub", capacity = 30, sources = ["origin"])
for cache in ["cache-a", "cache-b"]:
    node(cache, site = "shop", capacity = 8, sources = [("parent", 0), ("origin", 9)])
"#;

/// Guards against an answer from a copy that is older than a purge: a fill that waited at the shield was sent
/// with the age limit from before the purge, later than its grace allows.
#[test]
fn a_fill_that_waits_at_the_shield_during_a_purge_accepts_no_older_copy() {
    /// From the purge to the end of the longest wait, and a margin.
    const UNTIL_SENT: Duration = Duration::from_millis(2_300);

    for by_group in [false, true] {
        let (a, b, parent, origin) = (manual(), manual(), echo("parent"), echo("origin"));
        let targets = ready_endpoints(a.address, b.address, parent.address, origin.address);
        let events = vec![json!({"hosts": {"rev": 1, "all": true, "targets": targets}})];
        let journal = Journal::start("127.0.0.1:0", events).expect("the journal listens");
        let router = Router::start_with(&journal, extend_timeouts, Some(OPERATOR), None);
        let mut client = router.client();
        let waiting = format!("{:016x}", 2);
        client.ask(1, &video(&format!("{:016x}", 1), OBJECT_OF_A), b"").expect("sent");
        let (_, first, fields, _) = next_request(&a);
        assert_eq!((first, fields.contains_key("accept")), (format!("{:016x}", 1), false));
        client.ask(2, &video(&waiting, OBJECT_OF_A), b"").expect("sent");
        client.ask_ready(3).expect("sent");
        client.read().expect("an answer");
        assert_eq!(count_unread_requests(&a), 0, "the second fill waits for the first one");

        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_millis() as u64;
        let purge = match by_group {
            true => json!({"set": 17, "stamp": now}),
            false => json!({"name": OBJECT_OF_A, "stamp": now}),
        };
        journal.publish(json!({"expire": purge}));
        std::thread::sleep(UNTIL_SENT);
        let sent = a.events.try_iter().chain(b.events.try_iter()).find_map(|event| match event {
            CacheEvent::Request { id, fields, .. } if id == waiting => Some(fields),
            _ => None,
        });
        let fields = sent.expect("the second request is sent when its wait is over");
        assert!(fields.contains_key("accept"), "by group: {by_group}, {fields:?}");
    }
}

/// Guards against a fill that passes a draining parent: the path was checked when the attempt was ordered, and
/// the parent began to drain while the attempt waited for a connection.
#[test]
fn a_fill_that_waits_for_a_connection_does_not_pass_an_endpoint_that_drains_meanwhile() {
    let mut fleet = pending_fleet_with_operator(echo("b"), |_| (), Some(&extended_operator()));
    let _client = fleet.client_with_pending_request();
    fleet.publish(json!({"hosts": {"rev": 2, "all": false, "targets": [
        endpoint("origin", fleet.origin.address, "Terminating")
    ]}}));
    let sent = fleet.remaining_requests();
    let via_origin = sent.iter().filter(|fields| fields.get("via").is_some_and(|via| via.contains("origin")));
    assert_eq!(via_origin.count(), 0, "{sent:?}");
}

/// The operator file with paths in the fills.
fn extended_operator() -> String {
    OPERATOR.replace("wait = 2.0", "extended = True")
}
