//! The shadow policy on sockets: what it counts, and that no client notices it.

mod common;

use common::*;
use nix::sys::signal::Signal;

fn read<'a>(id: &'a str, object: &'a str) -> [(&'a str, &'a str); 6] {
    [("c", "video"), ("i", id), ("o", object), ("d", "3000"), ("chunk", "0"), ("m", "100")]
}

/// Sends twenty requests one after the other; returns their answers and the line of the counters.
fn answers_and_counters(fleet: &Fleet) -> (Vec<String>, String) {
    let mut client = fleet.router.client();
    let mut answers = Vec::new();
    for n in 0..20u32 {
        let (id, object) = (format!("{:016x}", 0xe100 + n), format!("{:016x}", 0xaa00 + n));
        client.ask(n + 1, &read(&id, &object), b"").expect("sent");
        let answer = client.read().expect("an answer");
        answers.push(format!("{} {}", answer.code, String::from_utf8_lossy(&answer.body)));
    }
    fleet.router.signal(Signal::SIGUSR1);
    (answers, fleet.router.wait_for_log("counters"))
}

#[test]
fn differences_of_the_shadow_policy_are_counted_and_no_answer_changes() {
    let (answers, without_watch) = answers_and_counters(&fleet());
    assert!(!without_watch.contains("watch_"), "{without_watch}");
    let (with_equal_policy, no_difference) = answers_and_counters(&fleet_with_operator_file("watch()"));
    assert_eq!(with_equal_policy, answers);
    let zero =
        "watch_compared=20 watch_owner=0 watch_source=0 watch_fill=0 watch_refusal=0 watch_cancellation=0 \
                watch_wait=0 watch_ended=0";
    assert!(no_difference.ends_with(zero), "{no_difference}");
    // Under the shadow policy each of the twenty requests would have joined a fill in flight.
    let (with_merged_fills, fills) =
        answers_and_counters(&fleet_with_operator_file("watch(merges_fills = True)"));
    assert_eq!(with_merged_fills, answers);
    assert!(fills.ends_with(&zero.replace("watch_fill=0", "watch_fill=20")), "{fills}");
    // Without weights about half of the objects have the other cache as their owner.
    let (without_weights, owners) =
        answers_and_counters(&fleet_with_operator_file("watch(weight_source = \"off\", tells = \"hit\")"));
    assert_eq!(without_weights, answers);
    assert!(owners.contains("watch_compared=20") && !owners.contains("watch_owner=0"), "{owners}");
}

#[test]
fn the_counts_of_the_shadow_policy_are_logged_periodically() {
    let fleet = fleet_with_operator_file("watch(every = 1)");
    let line = fleet.router.wait_for_log("watch_compared=");
    assert!(!line.contains("counters"), "{line}");
}

/// A reload with an invalid operator file changes nothing, and the shadow policy stays as it is.
#[test]
fn an_invalid_operator_file_changes_nothing() {
    let mut fleet = fleet_with_operator_file("watch(merges_fills = True)");
    fleet.router.rewrite_operator("watch(tells = \"maybe\")");
    let line = fleet.router.wait_for_log("not reloaded");
    assert!(line.contains(".star:1:1: watch(): tells: expected \"all\" or \"hit\" or \"off\""), "{line}");
    let (_, fills) = answers_and_counters(&fleet);
    assert!(fills.contains("watch_compared=20") && fills.contains("watch_fill=20"), "{fills}");
}
