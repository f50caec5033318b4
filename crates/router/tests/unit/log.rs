//! Unit tests of `src/log.rs`, a part of its module.

use super::*;

#[test]
fn lines_beyond_the_rate_are_suppressed_and_counted() {
    assert_eq!(admit_line(), Some(0));
    limit_rate(2);
    assert_eq!([admit_line(), admit_line(), admit_line(), admit_line()], [Some(0), Some(0), None, None]);
    let late = BUDGET.get().map(|budget| LineBudget {
        window_start: budget.window_start.checked_sub(Duration::from_secs(2)).unwrap_or(budget.window_start),
        ..budget
    });
    BUDGET.set(late);
    assert_eq!(admit_line(), Some(2));
}
