use super::*;

/// Clocks ten minutes apart, one of which jumps back: what a message proves is never turned round.
#[test]
fn timestamps_respect_causality_despite_clock_skew() {
    let (mut ahead, mut behind) = (HybridClock::default(), HybridClock::default());
    let sent = ahead.next_timestamp(600_000.0);
    behind.observe(0.0, sent);
    let follows = behind.next_timestamp(1.0);
    assert!(follows > sent);
    // Its clock jumps back by an hour.
    let later = ahead.next_timestamp(-3_000_000.0);
    assert!(later > sent);
    ahead.observe(-3_000_000.0, follows);
    assert!(ahead.next_timestamp(-2_999_999.0) > follows);
    assert_eq!(
        behind.next_timestamp(700_000.0),
        Timestamp { ms: 700_000, counter: 0 },
        "the clock again, once it is ahead"
    );
}
