//! Unit tests of `src/log.rs`, included there as the module `tests`.

use super::*;

#[test]
fn lines_above_the_rate_limit_are_suppressed_and_counted() {
    assert_eq!(admit(), Some(0));
    limit_rate(2);
    assert_eq!([admit(), admit(), admit(), admit()], [Some(0), Some(0), None, None]);
    let expired = BUDGET.get().map(|budget| Budget {
        since: budget.since.checked_sub(Duration::from_secs(2)).unwrap_or(budget.since),
        ..budget
    });
    BUDGET.set(expired);
    assert_eq!(admit(), Some(2));
}
