//! The token bucket of the send budget.

use linnethook_membership::gossip::rate_limit::{RateLimitConfig, TokenBucket};

#[test]
fn token_bucket_allows_rate_plus_burst() {
    let mut bucket = TokenBucket::new(0.0, RateLimitConfig { bytes_per_second: 1_000.0, burst_seconds: 2.0 });
    let mut sent_by_second = [0usize; 10];
    for ms in 0..10_000 {
        while bucket.try_consume(f64::from(ms), 100) {
            sent_by_second[ms as usize / 1_000] += 100;
        }
    }
    assert!(sent_by_second[0] <= 3_100, "{sent_by_second:?}");
    assert!(sent_by_second[1..].iter().all(|bytes| (900..=1_100).contains(bytes)), "{sent_by_second:?}");
    assert!(bucket.try_consume(13_000.0, 9_000), "a message larger than the bucket, while it is full");
    assert!(
        !bucket.try_consume(19_000.0, 1_000) && bucket.try_consume(21_500.0, 1_000),
        "the negative tokens are refilled first"
    );
    bucket.set_config(RateLimitConfig { bytes_per_second: 100.0, burst_seconds: 1.0 });
    assert!(
        bucket.try_consume(30_000.0, 100) && !bucket.try_consume(30_500.0, 100),
        "the changed rate applies"
    );
}
