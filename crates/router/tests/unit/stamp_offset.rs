//! Unit tests of `src/discovery/stamp_offset.rs`, as a submodule of it.

use super::*;
use crate::policy_adapter::PolicyInput;

const HOUR: Ms = 3_600_000.0;

fn purge(stamp: Ms) -> WatchEvent {
    let text = format!(r#"{{"pos":1,"expire":{{"set":17,"stamp":{stamp}}}}}"#);
    serde_json::from_str(&text).expect("an event")
}

/// The age of a purge that arrives now, as the policy is told it.
fn age(offset: &mut StampOffset, now: Ms, stamp: Ms) -> Ms {
    let mut events = [purge(stamp)];
    offset.correct(now, &mut events);
    match events[0].purge.as_ref().and_then(|purge| purge.policy_input()) {
        Some(PolicyInput::Purged { stamp, .. }) => now - stamp,
        other => panic!("{other:?}"),
    }
}

#[test]
fn stamps_stay_as_they_are_while_the_clocks_agree() {
    let mut offset = StampOffset::default();
    assert_eq!(age(&mut offset, 1e12, 1e12 - 20.0), 20.0);
    assert_eq!(age(&mut offset, 1e12, 1e12 - 5_000.0), 5_000.0, "one late event among others");
}

/// Guards against purges that count as complete, or as never beginning, since the wall clock was stepped before
/// the start.
#[test]
fn a_clock_that_is_off_makes_no_purge_older_than_it_is() {
    for skew in [HOUR, 5_000.0, -5_000.0, -HOUR] {
        let mut offset = StampOffset::default();
        let now = 1e12 + skew;
        assert_eq!(age(&mut offset, now, 1e12 - 30.0), 0.0, "{skew}");
        assert_eq!(age(&mut offset, now + 1_000.0, 1e12 + 1_000.0 - 40.0), 10.0, "{skew}");
        assert_eq!(age(&mut offset, now + 2_000.0, 1e12 + 2_000.0 - 10.0), 0.0, "{skew}");
    }
}
