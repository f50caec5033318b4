use super::*;

/// Two clocks are ten minutes apart and one of them jumps back: an event after a received message still has a
/// later timestamp than the message.
#[test]
fn timestamps_respect_causality_despite_clock_skew() {
    let (mut ahead, mut behind) = (HybridClock::default(), HybridClock::default());
    let sent = ahead.next_timestamp(600_000.0);
    behind.observe(0.0, sent);
    let after_message = behind.next_timestamp(1.0);
    assert!(after_message > sent);
    // The system clock of the sender jumps back by an hour.
    let later = ahead.next_timestamp(-3_000_000.0);
    assert!(later > sent);
    ahead.observe(-3_000_000.0, after_message);
    assert!(ahead.next_timestamp(-2_999_999.0) > after_message);
    assert_eq!(
        behind.next_timestamp(700_000.0),
        Timestamp { ms: 700_000, counter: 0 },
        "the system clock, once it is ahead again"
    );
}
