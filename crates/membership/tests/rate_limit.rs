//! The send budget.

use linnethook_membership::gossip::rate_limit::{RateLimitConfig, TokenBucket};

#[test]
fn token_bucket_allows_rate_plus_burst() {
    let mut pace = TokenBucket::new(0.0, RateLimitConfig { bytes_per_second: 1_000.0, burst_seconds: 2.0 });
    let mut said = [0usize; 10];
    for ms in 0..10_000 {
        while pace.try_consume(f64::from(ms), 100) {
            said[ms as usize / 1_000] += 100;
        }
    }
    assert!(said[0] <= 3_100 && said[1..].iter().all(|bytes| (900..=1_100).contains(bytes)), "{said:?}");
    assert!(pace.try_consume(13_000.0, 9_000), "one that is longer than all that is saved up");
    assert!(
        !pace.try_consume(19_000.0, 1_000) && pace.try_consume(21_500.0, 1_000),
        "is paid off afterwards"
    );
    pace.set_config(RateLimitConfig { bytes_per_second: 100.0, burst_seconds: 1.0 });
    assert!(
        pace.try_consume(30_000.0, 100) && !pace.try_consume(30_500.0, 100),
        "another rate holds from then on"
    );
}
