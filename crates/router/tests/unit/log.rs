//! Unit tests of `src/log.rs`, a part of its module.

use super::*;

#[test]
fn lines_over_the_rate_are_suppressed_and_counted() {
    assert_eq!(admit(), Some(0));
    limit_rate(2);
    assert_eq!([admit(), admit(), admit(), admit()], [Some(0), Some(0), None, None]);
    let late = BUDGET.get().map(|budget| Budget {
        since: budget.since.checked_sub(Duration::from_secs(2)).unwrap_or(budget.since),
        ..budget
    });
    BUDGET.set(late);
    assert_eq!(admit(), Some(2));
}
