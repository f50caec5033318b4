//! A router that is excluded as a straggler, without a hierarchy in its operator file. With the built program.

mod common;

use std::time::Duration;

use common::pending_connections::*;
use common::*;

const CLUSTER: &str = "gateway(site = \"north\", listen = \"127.0.0.1:0\")\nfellows()\n";
/// Excluded as soon as neither a peer nor the journal is heard for half a second.
const STRAGGLER: &str = "straggler(alone = 0.5)\n";
/// Longer than the test: the journal falls silent.
const SILENCE: Duration = Duration::from_secs(60);

/// Requests a small object on the first stream, and returns the hints of the fill that its cache was sent.
fn requested_hints(fleet: &Fleet) -> String {
    let mut client = fleet.router.client();
    client.ask(1, &small_object("00000000000000e1"), b"").expect("sent");
    let (_, _, fields, _) = next_request(&fleet.b);
    assert!(fields.contains_key("parent"), "the attempt names the source of its fill: {fields:?}");
    assert_eq!(client.read().expect("an answer").code, SERVED);
    fields.get("hints").cloned().unwrap_or_default()
}

/// Guards against fills of an excluded router: they were admitted where the operator file has no hierarchy.
#[test]
fn an_excluded_router_without_a_hierarchy_requests_cached_copies_only() {
    let fleet = fleet_with_operator_file(CLUSTER);
    assert!(!requested_hints(&fleet).contains('h'), "a router that is never excluded may fill");
    let fleet = fleet_with_operator_file(&format!("{CLUSTER}{STRAGGLER}"));
    fleet.journal.delay_responses(SILENCE);
    fleet.router.wait_for_log("THIS ROUTER IS EXCLUDED");
    assert!(requested_hints(&fleet).contains('h'), "only cached copies");
}
