//! Requests that end while an attempt of them waits to be sent: by the end of the router, or by another site.
//! With the built program.

mod common;

use std::time::{Duration, Instant};

use common::pending_connections::*;
use common::*;
use linnethook_quickstart::{Answer, CacheEvent, Journal};
use nix::sys::signal::Signal;
use serde_json::json;

/// When the system repeats an unanswered SYN for the fourth time, where it repeats the first ones every second. A
/// system that doubles the interval at once leaves the first test without its race.
const FOURTH_SYN: Duration = Duration::from_millis(4_100);

/// Guards against a request that is sent after its final answer: it was answered as failed at the end of the
/// drain, while its attempt waited for a connection that came up in the last turns of the loop.
#[test]
fn nothing_is_sent_for_a_request_that_was_answered_at_the_end_of_the_drain() {
    /// From SIGTERM to the answer of what is still open: the longest wait that counts, and a margin.
    const DRAIN: Duration = Duration::from_millis(3_450);
    /// The connection comes up this long after that, within the 0.15 s for the last answers.
    const AFTER_DRAIN: Duration = Duration::from_millis(60);
    /// The listener accepts connections from this long before the end of the drain.
    const OPEN_BEFORE: Duration = Duration::from_millis(200);

    let mut fleet = pending_fleet(|config| config["settings"]["allowed"]["may-cancel"] = json!(false));
    let connected_at = Instant::now();
    let mut client = fleet.client_with_pending_request();
    std::thread::sleep((FOURTH_SYN - DRAIN - AFTER_DRAIN).saturating_sub(connected_at.elapsed()));
    fleet.router.signal(Signal::SIGTERM);
    std::thread::sleep(DRAIN - OPEN_BEFORE);
    let a = fleet.accept_connections();
    let answer = std::iter::from_fn(|| client.read().ok()).find(|frame| frame.kind == 66);
    let code = answer.expect("an answer").code;
    fleet.router.wait_for_exit();
    let sent = a.events.try_iter().filter(|event| matches!(event, CacheEvent::Request { .. })).count();
    // On a busy machine the connection may come up before the end of the drain.
    assert!([FAILED, SERVED].contains(&code), "{code}");
    assert_eq!(sent, usize::from(code == SERVED), "sent after its final answer");
}

/// Guards against a request that is sent to a cache after the site that forwarded it has cancelled it.
#[test]
fn nothing_is_sent_for_a_request_that_another_site_has_cancelled() {
    const GATEWAY: &str = "first = 1.0, window = 64, flapping = 1.0, retry_most = 0.1";

    let (pending, b, parent) = (PendingListener::new(), echo("b"), echo("parent"));
    let origin = echo("origin");
    let journal_of = |a| {
        let targets = ready_endpoints(a, b.address, parent.address, origin.address);
        Journal::start("127.0.0.1:0", vec![json!({"hosts": {"rev": 1, "all": true, "targets": targets}})])
            .expect("the journal listens")
    };
    let change = |config: &mut serde_json::Value| {
        extend_timeouts(config);
        config["settings"]["allowed"]["may-cancel"] = json!(false);
    };
    let link = free_address();
    let south = format!("gateway(site = \"south\", listen = \"{link}\", {GATEWAY})\nsite(\"north\")\n");
    let north = format!(
        "gateway(site = \"north\", {GATEWAY})\nsite(\"south\", classes = [\"video\"])\n\
         link(\"south\", connect = \"{link}\")\n"
    );
    let (south_journal, north_journal) = (journal_of(pending.address), journal_of(b.address));
    let south = Router::start_with(&south_journal, change, Some(&south), None);
    let north = Router::start_with(&north_journal, change, Some(&north), None);
    // The link is up once a video comes from the south's cache-b: the north has no such cache.
    let mut client = north.client();
    let is_up = (1..=100).any(|stream| {
        client.ask(stream, &video(&format!("{stream:016x}"), OBJECT_OF_B), b"").expect("sent");
        client.read().expect("an answer");
        std::thread::sleep(Duration::from_millis(50));
        south.counters().0["taken_in"] > 0
    });
    assert!(is_up, "videos reach the south");

    client.ask(200, &video(&format!("{:016x}", 200), OBJECT_OF_A), b"").expect("sent");
    std::thread::sleep(Duration::from_millis(300));
    assert!(south.counters().0["out"] > 0, "the video waits for a connection at the south");
    client.give_up(200).expect("sent");
    std::thread::sleep(Duration::from_millis(300));
    let a = pending.accept_connections(|id, _, _| Some(Answer::data(format!("a {id}"))));
    std::thread::sleep(Duration::from_millis(3_000));
    assert_eq!(count_unread_requests(&a), 0, "sent after its client had left");
}
