//! Watching another shape's settings on sockets: what is counted, and that clients see nothing of it.

mod common;

use common::*;
use nix::sys::signal::Signal;

fn read<'a>(id: &'a str, object: &'a str) -> [(&'a str, &'a str); 6] {
    [("c", "video"), ("i", id), ("o", object), ("d", "3000"), ("chunk", "0"), ("m", "100")]
}

/// Twenty requests one after the other: their answers, and what the counters say of the watch.
fn asked_of(fleet: &Fleet) -> (Vec<String>, String) {
    let mut client = fleet.router.client();
    let mut answers = Vec::new();
    for n in 0..20u32 {
        let (id, object) = (format!("{:016x}", 0xe100 + n), format!("{:016x}", 0xaa00 + n));
        client.ask(n + 1, &read(&id, &object), b"").expect("sent");
        let answer = client.read().expect("an answer");
        answers.push(format!("{} {}", answer.code, String::from_utf8_lossy(&answer.body)));
    }
    fleet.router.signal(Signal::SIGUSR1);
    (answers, fleet.router.logged("counters"))
}

#[test]
fn what_is_watched_is_counted_and_no_answer_changes() {
    let (plain, none) = asked_of(&fleet());
    assert!(!none.contains("watch_"), "{none}");
    let (same, equal) = asked_of(&operated_fleet("watch()"));
    assert_eq!(same, plain);
    let zero =
        "watch_compared=20 watch_owner=0 watch_source=0 watch_fill=0 watch_refusal=0 watch_cancellation=0 \
                watch_wait=0 watch_ended=0";
    assert!(equal.ends_with(zero), "{equal}");
    // Each of the twenty would have joined a fill under way.
    let (joined, fills) = asked_of(&operated_fleet("watch(merges_fills = True)"));
    assert_eq!(joined, plain);
    assert!(fills.ends_with(&zero.replace("watch_fill=0", "watch_fill=20")), "{fills}");
    // Without weights about half of the objects have the other cache for their owner.
    let (dealt, owners) = asked_of(&operated_fleet("watch(weight_source = \"off\", tells = \"hit\")"));
    assert_eq!(dealt, plain);
    assert!(owners.contains("watch_compared=20") && !owners.contains("watch_owner=0"), "{owners}");
}

#[test]
fn what_is_watched_is_logged_now_and_then() {
    let fleet = operated_fleet("watch(every = 1)");
    let line = fleet.router.logged("watch_compared=");
    assert!(!line.contains("counters"), "{line}");
}

/// A reload does not change what is watched, and a bad file changes nothing at all.
#[test]
fn a_bad_operator_file_changes_nothing() {
    let mut fleet = operated_fleet("watch(merges_fills = True)");
    fleet.router.rewrite_operator("watch(tells = \"maybe\")");
    let line = fleet.router.logged("not reloaded");
    assert!(line.contains(".star:1:1: watch(): tells: expected \"all\" or \"hit\" or \"off\""), "{line}");
    let (_, fills) = asked_of(&fleet);
    assert!(fills.contains("watch_compared=20") && fills.contains("watch_fill=20"), "{fills}");
}
