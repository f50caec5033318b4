//! The serialized form of a recording does not change: experiments store it, and must be able to read earlier
//! files.

use linnethook_testbed::recording::{
    Asked, LinkState, LocationSummary, Phase, RecordEntry, RecordedEvent, WarmUpCapacity,
};

const GOLDEN: &str = include_str!("golden/recording.jsonl");

/// One event of each kind and state, at ascending times.
fn recording() -> Vec<RecordEntry> {
    let text = |text: &str| text.to_string();
    let asked = Asked {
        at: text("cache-1"),
        id: text("7"),
        class: text("video"),
        object: text("o"),
        part: 3,
        source: Some(text("south")),
        via: vec![text("origin")],
        cached_only: true,
        passed: vec![text("cache-0")],
        version: Some(5),
        router: None,
    };
    let cold =
        WarmUpCapacity { capacity: 10.0, from: 0.2, warm_in: 4_000.0, fall_multiple: 1.5, window: 500.0 };
    let place = LocationSummary {
        place: text("a/b"),
        fresh: true,
        alive: 3,
        counted: 4,
        oldest: Some(2),
        stragglers: vec![text("r1")],
        behind: 1,
    };
    let (router, node) = (text("r0"), text("cache-1"));
    let listed = |phase| RecordedEvent::Listed { router: router.clone(), node: node.clone(), phase };
    let linked = |state| RecordedEvent::Linked { from: text("r0"), to: text("r1"), state };
    let events = vec![
        RecordedEvent::Asked { attempt: 1, asked },
        RecordedEvent::Ended { attempt: 1, status: text("data"), res: text("HIT"), ran: true },
        listed(Phase::Ready),
        listed(Phase::Draining),
        listed(Phase::Removed),
        RecordedEvent::Purged { router: router.clone(), object: Some(text("o")), group: None, stamp: 9.0 },
        RecordedEvent::Shape { version: 2, edges: vec![(text("cache-1"), text("south"))] },
        RecordedEvent::Requested {
            request: 1,
            id: text("7"),
            object: text("o"),
            group: 3,
            deadline: 11.5,
            harmful: true,
            router: router.clone(),
        },
        RecordedEvent::Final { request: 1, code: 1, dated: Some(2.5) },
        RecordedEvent::Released { request: 2 },
        RecordedEvent::Started { node: node.clone(), cold },
        RecordedEvent::Fell { node: node.clone() },
        RecordedEvent::Crossed {
            to: text("south"),
            id: text("7"),
            token: Some((1, 2)),
            passed: vec![text("north")],
        },
        RecordedEvent::Paused { router: router.clone() },
        RecordedEvent::Woken { router: router.clone() },
        RecordedEvent::Floored { router: router.clone(), version: 3 },
        RecordedEvent::Proven { token: (1, 2) },
        RecordedEvent::Ran { router: router.clone(), place: text("a/b") },
        RecordedEvent::Ceased { router: router.clone() },
        linked(LinkState::Open),
        linked(LinkState::Closed),
        linked(LinkState::Uneven),
        RecordedEvent::Raised { version: 4, bound: 100.0 },
        RecordedEvent::Shown { router: router.clone(), since: 1.0, fleet_size: Some(9), places: vec![place] },
    ];
    events.into_iter().enumerate().map(|(n, what)| RecordEntry { at: n as f64, what }).collect()
}

#[test]
fn events_are_written_in_the_stored_format() {
    let lines: Vec<String> = recording()
        .iter()
        .map(|line| serde_json::to_string(line).expect("an event that can be serialized"))
        .collect();
    assert_eq!(lines.join("\n"), GOLDEN.trim_end());
}

#[test]
fn events_are_read_from_the_stored_format() {
    let read: Vec<RecordEntry> =
        GOLDEN.lines().map(|line| serde_json::from_str(line).expect("a line of a recording")).collect();
    assert_eq!(read, recording());
}
