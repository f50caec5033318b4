//! Tests of the modules `heartbeat` and `reconnect`.

use linnethook::interface::Ms;
use linnethook_gateway::heartbeat::{Heartbeat, HeartbeatConfig, LinkHealth};
use linnethook_gateway::reconnect::{ReconnectBackoff, ReconnectConfig};

/// Simulates 200 receipts at an interval of `every` with the given jitter, and returns how long after the
/// last one the peer counts as silent.
fn silent_after(config: HeartbeatConfig, every: Ms, jitter: Ms) -> Ms {
    let mut heartbeat = Heartbeat::new(0.0, config);
    let mut now = 0.0;
    for n in 0..200 {
        now += every + if n % 2 == 0 { jitter } else { -jitter };
        heartbeat.record_receipt(now);
        assert_eq!(heartbeat.health(now), LinkHealth::Healthy);
    }
    let last_received = now;
    while heartbeat.health(now) != LinkHealth::Silent {
        now += 5.0;
    }
    now - last_received
}

#[test]
fn silence_timeout_adapts_to_observed_intervals_within_limits() {
    let config = HeartbeatConfig::default();
    let (even, uneven) = (silent_after(config, 200.0, 5.0), silent_after(config, 300.0, 150.0));
    assert!((400.0..=450.0).contains(&even), "{even}");
    assert!(uneven > even + 300.0 && uneven <= 2_000.0, "{uneven}");
    assert!(silent_after(config, 10.0, 1.0) >= 400.0, "never sooner than the least silence");
    assert!(silent_after(config, 1_500.0, 400.0) <= 2_005.0, "never later than the longest silence");
}

#[test]
fn slow_half_open_and_silent_links_are_distinguished() {
    let config = HeartbeatConfig::default();
    let mut heartbeat = Heartbeat::new(0.0, config);
    let mut now = 0.0;
    for _ in 0..10 {
        let number = heartbeat.next_ping(now).expect("a ping is due");
        assert_eq!(heartbeat.next_ping(now + 1.0), None, "only one ping is pending at a time");
        heartbeat.record_pong(now + 10.0, number + 7);
        heartbeat.record_pong(now + 10.0, number);
        now += 200.0;
    }
    assert_eq!(heartbeat.health(now), LinkHealth::Healthy);
    for _ in 0..10 {
        let number = heartbeat.next_ping(now).expect("a ping is due");
        heartbeat.record_receipt(now + 100.0);
        heartbeat.record_pong(now + 180.0, number);
        now += 200.0;
    }
    assert_eq!(heartbeat.health(now), LinkHealth::Slow);
    heartbeat.next_ping(now).expect("a ping is due");
    for _ in 0..25 {
        now += 100.0;
        heartbeat.record_receipt(now);
    }
    assert_eq!(heartbeat.health(now), LinkHealth::HalfOpen, "data is received, but pings are not answered");
    assert_eq!(heartbeat.health(now + 2_000.0), LinkHealth::Silent);
}

#[test]
fn backoff_grows_with_jitter_to_a_limit_and_resets_after_a_long_connection() {
    let mut backoff = ReconnectBackoff::new(ReconnectConfig::default(), HeartbeatConfig::default());
    let delays: Vec<Ms> = (0..8).map(|n| backoff.record_down(0.0, f64::from(n % 2))).collect();
    assert!(delays[..6].windows(2).all(|pair| pair[1] >= pair[0]), "{delays:?}");
    assert!(delays[7] <= 2_000.0 && delays[6] >= 1_000.0, "{delays:?}");
    assert!(!backoff.is_flapping(0.0), "the connection was never up");
    for n in 0..3 {
        let now = f64::from(n) * 300.0;
        backoff.record_up(now);
        backoff.record_down(now + 100.0, 1.0);
    }
    assert!(backoff.is_flapping(800.0) && !backoff.is_flapping(12_000.0));
    backoff.record_up(20_000.0);
    assert!(backoff.record_down(26_000.0, 1.0) <= 26_050.0);
}
