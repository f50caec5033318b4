//! Load on cold starts: counts above N that chance explains, counts above the bound, and which routers caused
//! them.

use linnethook_testbed::cold_start::{bound, loads_after_starts};
use linnethook_testbed::recording::{Asked, Ms, Phase, RecordEntry, RecordedEvent, WarmUpCapacity};

/// At first it can take 20 x 0.25 x 3 x 3 s = 45 requests in the window.
const COLD: WarmUpCapacity =
    WarmUpCapacity { capacity: 20.0, from: 0.25, warm_in: 15_000.0, fall_multiple: 3.0, window: 3_000.0 };

fn started(at: Ms) -> RecordEntry {
    RecordEntry { at, what: RecordedEvent::Started { node: "c".to_string(), cold: COLD } }
}

fn notified(at: Ms, router: &str) -> RecordEntry {
    let (router, node) = (router.to_string(), "c".to_string());
    RecordEntry { at, what: RecordedEvent::Listed { router, node, phase: Phase::Ready } }
}

fn received(at: Ms, router: &str) -> RecordEntry {
    let asked = Asked { at: "c".to_string(), router: Some(router.to_string()), ..Asked::default() };
    RecordEntry { at, what: RecordedEvent::Asked { attempt: 1, asked } }
}

/// `count` requests at once after the start; every `n`th one is from a router that was notified of it.
fn record(count: u32, n: u32) -> Vec<RecordEntry> {
    let mut lines = vec![started(1_000.0), notified(1_010.0, "notified")];
    let from = |k: u32| if k.is_multiple_of(n) { "notified" } else { "unaware" };
    lines.extend((0..count).map(|k| received(1_020.0, from(k))));
    lines
}

#[test]
fn counts_within_chance_are_tolerated_and_higher_ones_are_over() {
    assert!((bound(45.0) - 60.4).abs() < 0.1);
    let by_chance = &loads_after_starts(&record(60, 1), 7_000.0)[0];
    assert_eq!((by_chance.windows, by_chance.over_budget, by_chance.over), (60, 15, 0));
    assert!(!by_chance.broken && by_chance.worst_budget > 1.3);
    let over = &loads_after_starts(&record(62, 1), 7_000.0)[0];
    assert_eq!((over.over, over.broken), (2, true));
}

#[test]
fn requests_of_routers_that_were_not_notified_break_nothing() {
    let over = &loads_after_starts(&record(70, 2), 7_000.0)[0];
    assert!(over.over > 0 && !over.broken);
    // After seven seconds all routers count as notified; by then the node can take 2.4 times as much.
    let mut lines = vec![started(0.0)];
    lines.extend((0..150).map(|_| received(7_010.0, "unaware")));
    let late = &loads_after_starts(&lines, 7_000.0)[0];
    assert!(late.over > 0 && late.broken);
}

#[test]
fn each_start_is_counted_separately_and_windows_end() {
    let mut lines = record(40, 1);
    lines.extend((0..40).map(|_| received(4_100.0, "notified")));
    lines.push(started(5_000.0));
    lines.extend((0..5).map(|_| received(5_100.0, "notified")));
    let all = loads_after_starts(&lines, 7_000.0);
    assert_eq!(all.iter().map(|sum| (sum.windows, sum.over)).collect::<Vec<_>>(), [(80, 0), (5, 0)]);
}
