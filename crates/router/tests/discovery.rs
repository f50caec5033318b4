//! The router with a journal service in trouble, with the built program.

mod common;

use std::time::{Duration, Instant};

use common::pending_connections::*;
use common::*;
use serde_json::json;

/// Whatever the service has to tell counts as told by then.
const EVENTS_DUE: Duration = Duration::from_secs(7);

/// Guards against a router that never hears of a drain, as it gave up each poll before its response came.
#[test]
fn a_drain_is_received_though_each_response_is_later_than_the_timeout_of_a_poll() {
    const RESPONSE_DELAY: Duration = Duration::from_millis(3_000);
    /// Late responses are the rule by then.
    const SETTLED: Duration = Duration::from_millis(3_500);

    let fleet = fleet();
    fleet.journal.delay_responses(RESPONSE_DELAY);
    std::thread::sleep(SETTLED);
    let mut client = fleet.router.client();
    client.ask(1, &video(&format!("{:016x}", 1), OBJECT_OF_A), b"").expect("sent");
    assert!(client.read().expect("an answer").body.starts_with(b"a "), "cache-a serves until it drains");

    let draining = endpoint("cache-a", fleet.a.address, "Terminating");
    fleet.journal.publish(json!({"hosts": {"rev": 2, "all": false, "targets": [draining]}}));
    let published = Instant::now();
    std::thread::sleep(EVENTS_DUE);
    let mut client = fleet.router.client();
    client.ask(2, &video(&format!("{:016x}", 2), OBJECT_OF_A), b"").expect("sent");
    let body = client.read().expect("an answer").body;
    assert!(body.starts_with(b"b "), "a draining cache was asked {:?} after the drain", published.elapsed());
}
