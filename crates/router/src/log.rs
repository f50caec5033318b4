//! Owns the log lines: one macro for standard error, held to a rate.
//!
//! Must never flood the log, end the router because nobody reads it, or take part in a decision.

use std::cell::Cell;
use std::fmt;
use std::io::{self, Write};
use std::time::{Duration, Instant};

/// How many lines may go out in each second.
#[derive(Debug, Clone, Copy)]
struct Budget {
    since: Instant,
    per_second: u32,
    left: u32,
    held_back: u32,
}

thread_local! {
    static BUDGET: Cell<Option<Budget>> = const { Cell::new(None) };
}

/// Sets the rate; before that every line goes out.
pub fn hold_to(per_second: u32) {
    let since = Instant::now();
    BUDGET.set(Some(Budget { since, per_second, left: per_second, held_back: 0 }));
}

/// Whether a line may go out now, and how many were held back before it.
pub fn admit() -> Option<u32> {
    let Some(mut budget) = BUDGET.get() else { return Some(0) };
    if budget.since.elapsed() >= Duration::from_secs(1) {
        budget.since = Instant::now();
        budget.left = budget.per_second;
    }
    let admitted = budget.left > 0;
    let held_back = if admitted { std::mem::take(&mut budget.held_back) } else { 0 };
    match admitted {
        true => budget.left -= 1,
        false => budget.held_back += 1,
    }
    BUDGET.set(Some(budget));
    admitted.then_some(held_back)
}

/// Writes a line as `eprintln` does, but for its panic when the line can't be written: guards against the end
/// of whoever reads the log being the router's end too.
pub fn write(line: fmt::Arguments) {
    let _ = io::stderr().lock().write_fmt(format_args!("linnethook: {line}\n"));
}

/// Writes a line to the log; one that begins with `always` is not held back.
macro_rules! log_line {
    (always $($part:tt)*) => {
        $crate::log::write(format_args!($($part)*))
    };
    ($($part:tt)*) => {
        if let Some(held_back) = $crate::log::admit() {
            if held_back > 0 {
                $crate::log::write(format_args!("{held_back} lines held back"));
            }
            $crate::log::write(format_args!($($part)*));
        }
    };
}
pub(crate) use log_line;

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_beyond_the_rate_are_held_back_and_counted() {
        assert_eq!(admit(), Some(0));
        hold_to(2);
        assert_eq!([admit(), admit(), admit(), admit()], [Some(0), Some(0), None, None]);
        let late = BUDGET.get().map(|budget| Budget {
            since: budget.since.checked_sub(Duration::from_secs(2)).unwrap_or(budget.since),
            ..budget
        });
        BUDGET.set(late);
        assert_eq!(admit(), Some(2));
    }
}
